/**
 * @file
 * Admission control of the agent, and what its incarnation can know of a request's earlier
 * attempts. Part of the agent's core.
 */
#ifndef ASH_AGENT_ADMIT_H
#define ASH_AGENT_ADMIT_H

#include "controllers/agent_send.h"

/** @return ms since this incarnation started. */
int64_t ash_agent_age_ms (const struct ash_agent *agent, struct ash_time now);

/** @return whether a caller's first attempt that arrives now may have been sent before this
 * incarnation started. */
bool ash_agent_guarded (const struct ash_agent *agent, struct ash_time now);

/** @return whether this incarnation knows of every earlier attempt of the request. */
bool ash_agent_all_attempts_known (const struct ash_agent *agent,
                                   struct ash_time now,
                                   const struct ash_requester *requester);

/** @return the highest of the caller's attempts that a refusal sent to the requester covers. */
uint32_t ash_requester_covered_attempts (const struct ash_requester *requester);

/** @return the number of requests that the engine processes concurrently. */
uint32_t ash_agent_slots (const struct ash_agent *agent);

/** @return whether the agent's service is a model, not a plain service. */
bool ash_agent_is_model (const struct ash_agent *agent);

/** @return whether a slot is free. */
bool ash_agent_has_slot (const struct ash_agent *agent);

/** Adds the duration of a finished run to the estimates. */
void ash_agent_add_run_time (struct ash_agent *agent, uint32_t priority, uint32_t took_us);

/** @return an upper estimate of the duration of a run of that priority, in ms. */
int64_t ash_agent_run_ms (const struct ash_agent *agent, uint32_t priority);

/** @return the estimated duration of a queued request's run, in us, for ash_agent_wait_ms(). */
int64_t ash_agent_expected_run_us (const struct ash_agent *agent, const struct ash_record *record);

/**
 * @param work_us sum of ash_agent_expected_run_us() of the requests before it in the queue.
 * @param slots result of ash_agent_slots(), which searches the document and so is called once only.
 * @return estimated time in the queue, in ms.
 */
int64_t ash_agent_wait_ms (const struct ash_agent *agent, int64_t work_us, uint32_t slots);

/** @return the queued request to refuse in favour of this one if the queue is full, or NULL. */
struct ash_record *ash_agent_least_urgent (const struct ash_agent *agent,
                                           const struct Ash__Submit *submit);

/** @return why a request that is not in the ledger can't be accepted, or REASON_NONE. */
int ash_agent_admission (const struct ash_agent *agent,
                         struct ash_time now,
                         const struct ash_requester *requester,
                         const struct Ash__Submit *submit);

#endif
