/**
 * @file
 * What an agent may take, and what a life can know of a request's earlier
 * attempts. Part of the agent's core.
 */
#ifndef ASH_AGENT_ADMIT_H
#define ASH_AGENT_ADMIT_H

#include "controllers/agent_send.h"

/** @return how long this life has lasted, in milliseconds. */
int64_t ash_agent_age_ms (const struct ash_agent *agent, struct ash_time now);

/** @return whether a caller's first attempt may have been sent before this life began. */
bool ash_agent_guarded (const struct ash_agent *agent, struct ash_time now);

/** @return whether this life can know of every earlier attempt of the request. */
bool ash_agent_knows_all_attempts (const struct ash_agent *agent,
                                   struct ash_time now,
                                   const struct ash_requester *requester);

/** @return up to which of the caller's attempts a refusal told to the requester holds. */
uint32_t ash_requester_covered_attempts (const struct ash_requester *requester);

/** @return how many requests the engine works on at once. */
uint32_t ash_agent_slots (const struct ash_agent *agent);

/** @return whether a model's engine stands behind this agent. */
bool ash_agent_is_model (const struct ash_agent *agent);

/** @return whether one more request may run. */
bool ash_agent_has_slot (const struct ash_agent *agent);

/** Takes in how long a run took: what is expected of the next ones of its priority. */
void ash_agent_add_run_time (struct ash_agent *agent, uint32_t priority, uint32_t took_us);

/** @return how long a run of that priority is expected to take, in milliseconds. */
int64_t ash_agent_run_ms (const struct ash_agent *agent, uint32_t priority);

/** @return work of a queued request, for ash_agent_wait_ms(), in microseconds. */
int64_t ash_agent_expected_run_us (const struct ash_agent *agent, const struct ash_record *record);

/**
 * @param slots as ash_agent_slots() has it, which looks through the document.
 * @return how long a request waits that has so much work before it in the queue.
 */
int64_t ash_agent_wait_ms (const struct ash_agent *agent, int64_t work_us, uint32_t slots);

/** @return the queued request that must make way for this one in a full queue, or NULL. */
struct ash_record *ash_agent_least_urgent (const struct ash_agent *agent,
                                           const struct Ash__Submit *submit);

/** @return why a request that the ledger does not hold can't be taken, or REASON_NONE. */
int ash_agent_admission (const struct ash_agent *agent,
                         struct ash_time now,
                         const struct ash_requester *requester,
                         const struct Ash__Submit *submit);

#endif
