/**
 * @file
 * The core of the endpoint role: decides what its endpoint runs, keeps the
 * ledger, and hands answers to the entries that ask for them. It does no I/O:
 * messages go in through ash_agent_handle() and come out through its sink.
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

/** Priorities of requests; higher numbers count as the last. */
#define ASH_PRIORITIES 16

/** How long runs take, smoothed. */
struct ash_run_time
{
  uint32_t mean_us;   /**< 0: not known yet */
  uint32_t spread_us; /**< how far runs are from that */
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
  bool stalled;             /**< the engine streams, and has given nothing for stall_ms */
  struct ash_time progress; /**< when it last gave anything */
  uint64_t last_run;
  struct ash_run_time runs[ASH_PRIORITIES]; /**< of each priority: they differ in length */
  struct ash_run_time all_runs;
};

/**
 * Starts a new life.
 * @param incarnation random, never 0.
 */
void ash_agent_init (struct ash_agent *agent,
                     const struct ash_settings *settings,
                     uint64_t incarnation,
                     struct ash_time now,
                     struct ash_sink sink);

void ash_agent_finish (struct ash_agent *agent);

/** Takes in a message; gives out what follows from it. */
void
ash_agent_handle (struct ash_agent *agent, struct ash_time now, const struct Ash__Event *event);

/** @return whether nothing is queued or running, so that a stop cuts nothing. */
bool ash_agent_idle (const struct ash_agent *agent);

/** Fills what the next heartbeat to an entry says. */
void ash_agent_heartbeat (const struct ash_agent *agent, struct Ash__Heartbeat *heartbeat);

#endif
