/**
 * @file
 * The core of the entry role: takes callers' requests through the filter
 * chain, to endpoints, and brings the answers back whole. It does no I/O:
 * messages go in through ash_entry_handle() and come out through its sink.
 */
#ifndef ASH_ENTRY_H
#define ASH_ENTRY_H

#include "common/metrics.h"
#include "filters/filter.h"
#include "filters/request_history.h"

/** An endpoint gets this much less time than the caller gave, so that its own
 * refusal, a true "not run", arrives before this entry has to give up. */
#define ASH_ENTRY_MARGIN_MS 100

/** An entry. */
struct ash_entry
{
  const struct ash_settings *settings;
  struct ash_sink sink;
  struct ash_log log;
  struct ash_metrics *metrics; /**< may be NULL */
  struct ash_random random;
  uint8_t fleet_key[32];
  struct ash_config config;
  struct ash_membership membership;
  struct ash_chain chain;
  struct ash_filter_context context;
  struct ash_retry_budget budget;
  struct ash_request_history past;
  struct ash_request *by_call;
  struct ash_request *by_attempt;
  uint64_t last_attempt;
  uint32_t round_robin_counter; /**< of round robin */
  bool leaving;
  struct ash_planned_stop stop;
};

/**
 * Starts an entry.
 * @param seed for its random choices.
 * @return false without memory.
 */
bool ash_entry_init (struct ash_entry *entry,
                     const struct ash_settings *settings,
                     uint64_t seed,
                     struct ash_sink sink);

void ash_entry_finish (struct ash_entry *entry);

/** Takes in a message; gives out what follows from it. */
void
ash_entry_handle (struct ash_entry *entry, struct ash_time now, const struct Ash__Event *event);

/** Chooses an endpoint of a service, for a key to be minted: sets box and incarnation. */
bool ash_entry_choose (struct ash_entry *entry, const char *service, struct ash_request *choice);

/** @return whether no request is in its hands. */
bool ash_entry_idle (const struct ash_entry *entry);

/** @return the HTTP status that goes with a reason. */
uint32_t ash_entry_status (int reason);

/** @return one sentence for the caller. */
const char *ash_entry_reason_text (int reason);

/** @return the name of a reason as errors and logs give it. */
const char *ash_entry_reason_name (int reason);

/** @return "ran", "not-run" or "unknown". */
const char *ash_entry_outcome_name (int outcome);

#endif
