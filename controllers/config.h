/**
 * @file
 * The active configuration of a process. Revisions only grow; a document with findings is refused,
 * and the last accepted one stays active. Earlier sets of endpoints are kept for the lifetime of a
 * key, because the home of a key, the endpoint that runs its requests, depends on them.
 */
#ifndef ASH_CONFIG_H
#define ASH_CONFIG_H

#include "common/clock.h"
#include "options/document.h"
#include "proto/event.h"

/** Maximum number of earlier sets of endpoints that are kept. */
#define ASH_CONFIG_HISTORY_MAX 8

/** Maximum number of deltas between the last revisions that are kept for peers. */
#define ASH_CONFIG_DELTAS_MAX 8

/** Result of ash_config_offer(). */
enum ash_config_result
{
  ASH_CONFIG_ACCEPTED,
  ASH_CONFIG_SAME,
  ASH_CONFIG_OLDER,
  ASH_CONFIG_REFUSED,
};

/** A previously active document, and until when it was active. */
struct ash_config_previous
{
  struct ash_document document;
  struct ash_time until;
};

/** The configuration of a process. */
struct ash_config
{
  bool ready; /**< a document has been accepted */
  struct ash_document document;
  char *text; /**< the document as published, to send to peers */
  size_t text_bytes;
  struct ash_config_previous previous[ASH_CONFIG_HISTORY_MAX];
  uint32_t previous_count;
  struct ash_time known_since; /**< since when all sets of endpoints are known */
  uint64_t refused_revision;   /**< last refused revision, which is not checked again */
  struct Ash__ConfigDelta
      *deltas[ASH_CONFIG_DELTAS_MAX]; /**< oldest first, each based on the previous revision */
  uint32_t delta_count;
};

void ash_config_init (struct ash_config *config);
void ash_config_finish (struct ash_config *config);

/** @return the active revision; 0: none yet. */
uint64_t ash_config_revision (const struct ash_config *config);

/**
 * Offers a document, which becomes active if it is newer and has no findings.
 * @param text the document; copied.
 * @param keep_ms how long earlier sets of endpoints are kept: the lifetime of a key.
 * @param findings what is wrong with a refused document; unchanged otherwise.
 */
enum ash_config_result ash_config_offer (struct ash_config *config,
                                         struct ash_time now,
                                         uint64_t revision,
                                         const char *text,
                                         size_t text_bytes,
                                         int64_t keep_ms,
                                         struct ash_findings *findings);

/**
 * Finds the deltas that bring a peer from @p revision to the active one.
 * @param first set to the index of the first of them in deltas.
 * @return their number; 0 if they are not all kept, or hardly smaller than the document.
 */
uint32_t ash_config_deltas (const struct ash_config *config, uint64_t revision, uint32_t *first);

/**
 * @return whether this process knows every home that a key of the service may have had in the last
 * @p life_ms.
 * @param unix_s wall-clock time in seconds, compared with the document's homes_since_s.
 */
bool ash_config_homes_are_known (const struct ash_config *config,
                                 const char *service,
                                 struct ash_time now,
                                 int64_t unix_s,
                                 int64_t life_ms);

/**
 * Finds the homes that a key had before its current one, within the last @p life_ms.
 * @param homes set to their names, newest first; the strings are owned by @p config.
 * @return the number of names.
 */
uint32_t ash_config_previous_homes (const struct ash_config *config,
                                    const char *service,
                                    struct ash_id id,
                                    struct ash_time now,
                                    int64_t life_ms,
                                    const char *homes[ASH_CONFIG_HISTORY_MAX]);

#endif
