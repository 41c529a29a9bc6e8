/**
 * @file
 * Runs of an agent's engine, from the queue to their end. Part of the agent's core.
 */
#ifndef ASH_AGENT_RUN_H
#define ASH_AGENT_RUN_H

#include "controllers/agent.h"

/** Writes a refusal into the ledger, then tells every entry that waits. */
void ash_agent_refuse (struct ash_agent *agent,
                       struct ash_time now,
                       struct ash_record *record,
                       int reason,
                       int outcome);

/** A run has ended, whole or not: its watchers are told. */
void ash_agent_finish_run (struct ash_agent *agent,
                           struct ash_time now,
                           struct ash_record *record,
                           bool whole,
                           int reason);

/** Ends a run at the engine. */
void ash_agent_cancel_run (struct ash_agent *agent,
                           struct ash_time now,
                           struct ash_record *record,
                           int reason);

/** Starts what waits, in the queue's order, as long as there are slots. */
void ash_agent_start_queued (struct ash_agent *agent, struct ash_time now);

/**
 * @return why a queued request is not to wait any longer, if it would start after
 * @p wait_ms, or REASON_NONE.
 */
int ash_agent_give_up_reason (const struct ash_agent *agent,
                              struct ash_time now,
                              const struct ash_record *record,
                              int64_t wait_ms);

#endif
