/**
 * @file
 * Estimates the duration of the passes of a group of ranks from the performance figures that its
 * engine publishes. All ranks run a pass together: the time for the experts is that of the most
 * loaded rank, which grows with the skew of the map in use (maximum load divided by the mean load).
 */
#ifndef ASH_PASS_MODEL_H
#define ASH_PASS_MODEL_H

#include "controllers/route_table.h"

/** Fraction by which passes are longer while a rank copies experts, as published by engines. */
#define ASH_PASS_COPY_SLOWDOWN 0.15

/** @return milliseconds of a pass without prompts. @param streams number of streams at each rank.
 */
double ash_pass_model_ms (const struct ash_engine_facts *engine, double streams, double skew);

/** @return the fraction, 0 to 1, of the duration of a pass that is proportional to the skew, if
 * ranks are evenly loaded. */
double ash_pass_model_expert_fraction (const struct ash_engine_facts *engine, double streams);

/** @return milliseconds that a rank takes to copy one expert; 0 if its link speed is unknown. */
double ash_pass_model_copy_ms (const struct ash_engine_facts *engine);

/**
 * Computes the number of streams per rank that maximizes the useful output. More streams produce
 * more tokens per second. But passes must not exceed the target pause even when the demand for
 * experts has just shifted, ranks copy experts and a prompt is read, or else all running streams
 * are late. The result is usually the highest number of streams that meets the target; on an engine
 * too slow to meet it, more.
 * @param pause_target_ms target for the longest pause between two events of a stream.
 * @param bound maximum number of streams.
 * @return 1 to @p bound.
 */
uint32_t ash_pass_model_streams (const struct ash_engine_facts *engine,
                                 uint32_t pause_target_ms,
                                 uint32_t bound);

#endif
