/**
 * @file
 * Which configuration is in force. Revisions only grow; a document with
 * findings is refused and the last accepted one stays. Earlier sets of
 * endpoints are remembered for a key's life, because a key's home depends on
 * them.
 */
#ifndef ASH_CONFIG_H
#define ASH_CONFIG_H

#include "common/clock.h"
#include "options/document.h"
#include "proto/event.h"

/** Earlier sets of endpoints that are remembered at most. */
#define ASH_CONFIG_HISTORY_MAX 8

/** Deltas between the last revisions that are kept for peers. */
#define ASH_CONFIG_DELTAS_MAX 8

/** What came of an offer. */
enum ash_config_result
{
  ASH_CONFIG_ACCEPTED,
  ASH_CONFIG_SAME,
  ASH_CONFIG_OLDER,
  ASH_CONFIG_REFUSED,
};

/** A document that was in force before, and until when. */
struct ash_config_past
{
  struct ash_document document;
  struct ash_time until;
};

/** The configuration of a process. */
struct ash_config
{
  bool ready; /**< false until the first document was accepted */
  struct ash_document document;
  char *text; /**< as published, for peers */
  size_t text_bytes;
  struct ash_config_past past[ASH_CONFIG_HISTORY_MAX];
  uint32_t past_count;
  struct ash_time known_since; /**< from then on no accepted set is unknown here */
  uint64_t refused_revision;   /**< newest that was refused, not to check it again */
  struct Ash__ConfigDelta *deltas[ASH_CONFIG_DELTAS_MAX]; /**< oldest first, each on the last */
  uint32_t delta_count;
};

void ash_config_init (struct ash_config *config);
void ash_config_finish (struct ash_config *config);

/** @return the revision in force; 0: none yet. */
uint64_t ash_config_revision (const struct ash_config *config);

/**
 * Offers a document. Findings are added only for one that is refused.
 * @param keep_ms how long earlier sets of endpoints matter: a key's life.
 */
enum ash_config_result ash_config_offer (struct ash_config *config,
                                         struct ash_time now,
                                         uint64_t revision,
                                         const char *text,
                                         size_t text_bytes,
                                         int64_t keep_ms,
                                         struct ash_findings *findings);

/**
 * Finds the deltas that bring a peer from its revision to the present one.
 * @return how many, from @p first on; 0 if there are none, or the whole document is
 * hardly longer.
 */
uint32_t ash_config_deltas (const struct ash_config *config, uint64_t revision, uint32_t *first);

/**
 * Whether this process knows every home that a key of the service may have had
 * in the last @p life_ms.
 * @param unix_s wall clock in seconds, against the document's homes_since_s.
 */
bool ash_config_knows_homes (const struct ash_config *config,
                             const char *service,
                             struct ash_time now,
                             int64_t unix_s,
                             int64_t life_ms);

/**
 * Homes that a key had before its present one, within @p life_ms.
 * @return how many names were written to @p homes.
 */
uint32_t ash_config_past_homes (const struct ash_config *config,
                                const char *service,
                                struct ash_id id,
                                struct ash_time now,
                                int64_t life_ms,
                                const char *homes[ASH_CONFIG_HISTORY_MAX]);

#endif
