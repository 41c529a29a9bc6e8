/**
 * @file
 * Detects, from the pauses between the events of streams, that a group's passes take longer than
 * the skew of its map explains: the demand has shifted to other experts. Unlike querying the
 * engines, this costs no requests.
 */
#ifndef ASH_PASS_WATCH_H
#define ASH_PASS_WATCH_H

#include "controllers/route_table.h"

/** Smoothed pauses of the streams of one group. */
struct ash_pass_watch
{
  double pass_ms;         /**< smoothed duration of a pass */
  double ratio;           /**< smoothed duration, relative to a pass with evenly loaded ranks */
  double accepted_ratio;  /**< lowest ratio since the experts' token counts last showed no shift; 0:
                             never */
  double expert_fraction; /**< see ash_pass_model_expert_fraction() */
  uint32_t pause_count;   /**< number of pauses since the last reset */
};

/** Discards all pauses, after a change of the map. */
void ash_pass_watch_reset (struct ash_pass_watch *watch);

/**
 * Updates the smoothed durations with the pause between two events of a stream.
 * @param streams mean number of streams per rank of the group.
 */
void ash_pass_watch_add_pause (struct ash_pass_watch *watch,
                               const struct ash_engine_facts *engine,
                               double streams,
                               int64_t pause_ms);

/** Accepts the present duration as normal, because the experts' token counts show no shift of the
 * demand. */
void ash_pass_watch_accept_ratio (struct ash_pass_watch *watch);

/**
 * @param ranks number of ranks of all groups whose demand one sample of the token counts covers.
 * @param skew estimated skew of the map in use.
 * @return whether passes take much longer than the skew explains.
 */
bool ash_pass_watch_is_slow (const struct ash_pass_watch *watch, uint32_t ranks, double skew);

#endif
