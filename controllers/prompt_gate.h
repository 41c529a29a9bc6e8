/**
 * @file
 * When a router lets new prompts go to the engines of a service. Ranks make their passes together,
 * and what each prompt adds to a pass makes the events of all streams under way come later:
 *  - while passes have just become long, prompts are kept back for a moment. When demand for
 *    experts shifts, passes take twice as long until the maps have followed, and what is read
 *    meanwhile is read at the most loaded ranks' pace;
 *  - many that come at once, as when callers return together, go a few a pass.
 * A caller that waits a little for its first event loses nothing; one whose stream pauses too long
 * has lost it.
 */
#ifndef ASH_PROMPT_GATE_H
#define ASH_PROMPT_GATE_H

#include "common/clock.h"
#include "controllers/route_table.h"

/** One service's gate; all zero: open, nothing seen yet. */
struct ash_prompt_gate
{
  double usual_ms; /**< mean of passes while it was open; 0: not known */
  bool closed;
  struct ash_time closed_at;
  double allowed; /**< prompts that may go at once */
  struct ash_time allowed_at;
};

/** What this router may send. */
struct ash_prompt_terms
{
  double per_pass;         /**< prompts that may go each pass; 0: any number */
  bool maps_adapt_in_time; /**< see ash_prompt_gate_maps_adapt_in_time() */
  uint32_t pause_aim_ms;   /**< longest pause of a stream that is good; 0: none is kept back */
  uint32_t aim_ms;         /**< in which a caller is to see the first event */
  bool resumed;            /**< the stream broke before: its caller has paused too long already */
};

/**
 * @param ranks that read prompts.
 * @param routers that send them.
 * @return prompts that one of the routers may send each pass, so that passes stay within what is
 * good; 0: the engine's figures don't tell.
 */
double ash_prompt_gate_per_pass (const struct ash_engine_facts *engine,
                                 uint32_t pause_aim_ms,
                                 uint32_t ranks,
                                 uint32_t routers);

/**
 * @return whether ranks copy experts so fast that a map has followed a shift before a prompt that
 * waits for it would be late: else it is not kept back for that.
 */
bool ash_prompt_gate_maps_adapt_in_time (const struct ash_engine_facts *engine, uint32_t aim_ms);

/**
 * A stream has paused so long between two events.
 * @param pause_aim_ms longest pause that is good.
 * @return whether the gate has just closed or opened.
 */
bool ash_prompt_gate_add_pause (struct ash_prompt_gate *gate,
                                struct ash_time now,
                                int64_t pause_ms,
                                uint32_t pause_aim_ms);

/**
 * @param came when the request came.
 * @return when it may go: now, or when it is to be looked at again.
 */
struct ash_time ash_prompt_gate_send_time (struct ash_prompt_gate *gate,
                                           const struct ash_prompt_terms *terms,
                                           struct ash_time came,
                                           struct ash_time now);

/** A prompt goes. */
void ash_prompt_gate_record_sent (struct ash_prompt_gate *gate);

#endif
