/**
 * @file
 * Delays new prompts of a service. Ranks run their passes together, so the time that reading a
 * prompt adds to a pass delays the events of all running streams:
 *  - when passes have just become long, prompts are held for a moment: after a shift of the demand
 *    for experts, passes take twice as long until the maps are adapted, and prompts are read at the
 *    speed of the most loaded ranks;
 *  - prompts that arrive at once, for example when callers reconnect together, are sent a few per
 *    pass.
 * A short wait for the first event costs a caller little, but a stream with too long a pause has
 * missed its target.
 */
#ifndef ASH_PROMPT_GATE_H
#define ASH_PROMPT_GATE_H

#include "common/clock.h"
#include "controllers/route_table.h"

/** The gate of one service. Valid and open when zeroed. */
struct ash_prompt_gate
{
  double usual_ms; /**< smoothed duration of a pass while the gate is open; 0: unknown */
  bool closed;     /**< prompts are held since passes have become long */
  struct ash_time closed_at;
  double allowed;             /**< number of prompts that may be sent now */
  struct ash_time allowed_at; /**< when @ref allowed was last updated */
};

/** Limits for the prompts that this router sends. */
struct ash_prompt_terms
{
  double per_pass;           /**< prompts per pass; 0: unlimited */
  bool maps_adapt_in_time;   /**< see ash_prompt_gate_maps_adapt_in_time() */
  uint32_t pause_target_ms;  /**< target for the longest pause of a stream; 0: no prompt is held */
  uint32_t answer_target_ms; /**< target for the time to the first event */
  bool resumed;              /**< the stream broke before: it has already missed its target */
};

/**
 * @param pause_target_ms target for the longest pause of a stream.
 * @param ranks number of ranks that read prompts.
 * @param routers number of routers that send prompts.
 * @return prompts that each router may send per pass so that passes stay within the target; 0: the
 * engine's figures are unknown.
 */
double ash_prompt_gate_per_pass (const struct ash_engine_facts *engine,
                                 uint32_t pause_target_ms,
                                 uint32_t ranks,
                                 uint32_t routers);

/**
 * @param answer_target_ms target for the time to the first event.
 * @return whether ranks copy experts fast enough that the map is adapted to a shift before a held
 * prompt misses its target; otherwise prompts are not held after a shift.
 */
bool ash_prompt_gate_maps_adapt_in_time (const struct ash_engine_facts *engine,
                                         uint32_t answer_target_ms);

/**
 * Updates the gate with the pause between two events of a stream, which may close or open it.
 * @param pause_target_ms target for the longest pause of a stream.
 * @return whether the gate has just closed or opened.
 */
bool ash_prompt_gate_add_pause (struct ash_prompt_gate *gate,
                                struct ash_time now,
                                int64_t pause_ms,
                                uint32_t pause_target_ms);

/**
 * @param arrived when the request arrived.
 * @return @p now if the prompt may be sent, otherwise the time at which to check again.
 */
struct ash_time ash_prompt_gate_send_time (struct ash_prompt_gate *gate,
                                           const struct ash_prompt_terms *terms,
                                           struct ash_time arrived,
                                           struct ash_time now);

/** Records that a prompt is sent. */
void ash_prompt_gate_record_sent (struct ash_prompt_gate *gate);

#endif
