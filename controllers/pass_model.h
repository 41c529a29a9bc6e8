/**
 * @file
 * How long the passes of a group of ranks take, worked out from the figures that its engine
 * publishes. All ranks make a pass together: the experts' part lasts as long as the most loaded
 * rank takes, which grows with the skew of the map in use.
 */
#ifndef ASH_PASS_MODEL_H
#define ASH_PASS_MODEL_H

#include "controllers/route_table.h"

/** Passes take so much longer while a rank copies experts, as engines publish it. */
#define ASH_PASS_COPY_SLOWDOWN 0.15

/** @return milliseconds of a pass that reads no prompt, with so many streams at each rank. */
double ash_pass_model_ms (const struct ash_engine_facts *engine, double streams, double skew);

/** @return the part of a pass of even ranks that grows with the skew of the map, 0 to 1. */
double ash_pass_model_expert_fraction (const struct ash_engine_facts *engine, double streams);

/** @return milliseconds that a rank takes to copy one expert; 0 if its link is not known. */
double ash_pass_model_copy_ms (const struct ash_engine_facts *engine);

/**
 * How many streams a rank may have so that callers get most of it. More streams write more a
 * second; but where passes take longer than the pause that is good, while demand for experts has
 * just shifted, ranks copy and a prompt is read, all streams under way are late. Most often that is
 * the largest number whose passes stay within it; on an engine too slow for its aim, more.
 * @param pause_aim_ms longest pause that is good.
 * @param bound streams at most.
 * @return 1 to @p bound.
 */
uint32_t ash_pass_model_streams (const struct ash_engine_facts *engine,
                                 uint32_t pause_aim_ms,
                                 uint32_t bound);

#endif
