/**
 * @file
 * Execution of requests by an agent's engine: start, end, cancellation and refusal. Part of the
 * agent's core.
 */
#ifndef ASH_AGENT_RUN_H
#define ASH_AGENT_RUN_H

#include "controllers/agent.h"

/** Records a refusal in the ledger, then sends it to every watcher. */
void ash_agent_refuse (struct ash_agent *agent,
                       struct ash_time now,
                       struct ash_record *record,
                       int reason,
                       int outcome);

/** Records the end of a run, complete or not, and notifies its watchers. */
void ash_agent_finish_run (struct ash_agent *agent,
                           struct ash_time now,
                           struct ash_record *record,
                           bool whole,
                           int reason);

/** Cancels a run at the engine and finishes it as incomplete. */
void ash_agent_cancel_run (struct ash_agent *agent,
                           struct ash_time now,
                           struct ash_record *record,
                           int reason);

/** Starts queued requests in order while slots are free. */
void ash_agent_start_queued (struct ash_agent *agent, struct ash_time now);

/**
 * @param wait_ms estimated time until the request could start.
 * @return why the queued request is to be refused now, or REASON_NONE.
 */
int ash_agent_give_up_reason (const struct ash_agent *agent,
                              struct ash_time now,
                              const struct ash_record *record,
                              int64_t wait_ms);

#endif
