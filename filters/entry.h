/**
 * @file
 * The core of the entry role: runs callers' requests through the filter chain, sends them to
 * endpoints and passes the answers back. It does no I/O: messages go in through
 * ash_entry_handle() and come out through the sink.
 */
#ifndef ASH_ENTRY_H
#define ASH_ENTRY_H

#include "common/metrics.h"
#include "filters/filter.h"
#include "filters/request_history.h"

/** The time budget sent to an endpoint is shorter than the caller's by this margin, so that the
 * endpoint's refusal, which proves "not run", arrives before this entry has to answer without
 * knowing. */
#define ASH_ENTRY_MARGIN_MS 100

/** The part of an entry that the filters work on. */
struct ash_entry
{
  const struct ash_settings *settings;
  struct ash_sink sink;
  struct ash_log log;
  struct ash_metrics *metrics; /**< NULL: no metrics are recorded */
  struct ash_random random;
  uint8_t fleet_key[32];
  struct ash_config config;
  struct ash_membership membership;
  struct ash_chain chain;
  struct ash_filter_context context;
  struct ash_retry_budget budget;
  struct ash_request_history request_history;
  struct ash_request *by_call;
  struct ash_request *by_attempt;
  uint64_t last_attempt;
  uint32_t round_robin_counter; /**< incremented at each pick of the round-robin policy */
  bool leaving;
  struct ash_planned_stop stop;
};

/**
 * Initializes an entry.
 * @param seed of the random generator.
 * @return false if out of memory.
 */
bool ash_entry_init (struct ash_entry *entry,
                     const struct ash_settings *settings,
                     uint64_t seed,
                     struct ash_sink sink);

void ash_entry_finish (struct ash_entry *entry);

/** Handles a message; resulting messages go to the sink. */
void
ash_entry_handle (struct ash_entry *entry, struct ash_time now, const struct Ash__Event *event);

/** Chooses the endpoint that a new minted key names as its home.
 * @param choice gets box and incarnation.
 * @return false if no endpoint of the service is available. */
bool ash_entry_choose (struct ash_entry *entry, const char *service, struct ash_request *choice);

/** @return whether the entry has no requests. */
bool ash_entry_idle (const struct ash_entry *entry);

/** @return the HTTP status for an Ash__Reason. */
uint32_t ash_entry_status (int reason);

/** @return the message sent to callers for an Ash__Reason. */
const char *ash_entry_reason_text (int reason);

/** @return the name of an Ash__Reason in error bodies, logs and metrics. */
const char *ash_entry_reason_name (int reason);

/** @return "ran", "not-run" or "unknown". */
const char *ash_entry_outcome_name (int outcome);

#endif
