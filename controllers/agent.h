/**
 * @file
 * The core of the endpoint role: decides which requests its endpoint runs, keeps the ledger, and
 * sends answers to the entries that requested them. It does no I/O: messages go in through
 * ash_agent_handle() and come out through the sink.
 */
#ifndef ASH_AGENT_H
#define ASH_AGENT_H

#include "common/log.h"
#include "common/metrics.h"
#include "common/random.h"
#include "controllers/config.h"
#include "controllers/ledger.h"
#include "controllers/membership.h"
#include "controllers/planned_stop.h"
#include "options/settings.h"
#include "proto/event.h"

/** Number of request priorities; higher values are treated as the last one. */
#define ASH_PRIORITIES 16

/** Smoothed duration of runs. */
struct ash_run_time
{
  uint32_t mean_us;   /**< moving average; 0: not known yet */
  uint32_t spread_us; /**< moving average of the deviation from mean_us */
};

/** An endpoint's agent. */
struct ash_agent
{
  const struct ash_settings *settings;
  struct ash_sink sink;
  struct ash_log log;
  struct ash_metrics *metrics; /**< may be NULL */
  struct ash_random random;
  uint64_t incarnation;
  struct ash_time started_at;
  struct ash_config config;
  struct ash_membership membership;
  struct ash_ledger ledger;
  bool leaving;
  struct ash_planned_stop stop;
  bool stalled;             /**< the engine has begun answers, but sent nothing for stall_ms */
  struct ash_time progress; /**< when the engine last sent anything */
  uint64_t last_run;        /**< number of the newest run */
  struct ash_run_time
      runs[ASH_PRIORITIES]; /**< per priority, since durations differ between them */
  struct ash_run_time all_runs;
};

/**
 * Initializes the agent with a new incarnation.
 * @param incarnation random, not 0.
 */
void ash_agent_init (struct ash_agent *agent,
                     const struct ash_settings *settings,
                     uint64_t incarnation,
                     struct ash_time now,
                     struct ash_sink sink);

void ash_agent_finish (struct ash_agent *agent);

/** Handles a message; the resulting messages go to the sink. */
void
ash_agent_handle (struct ash_agent *agent, struct ash_time now, const struct Ash__Event *event);

/** @return whether no request is queued or running, so that the process can stop without breaking
 * any. */
bool ash_agent_idle (const struct ash_agent *agent);

/** Fills in the agent's fields of the next heartbeat to an entry. */
void ash_agent_heartbeat (const struct ash_agent *agent, struct Ash__Heartbeat *heartbeat);

#endif
