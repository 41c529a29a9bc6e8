/**
 * @file
 * Sees from the pauses between events of streams that a group's passes take longer
 * than its map explains: other experts are asked for than it is made for. Costs
 * nothing, unlike asking the engines.
 */
#ifndef ASH_PASS_WATCH_H
#define ASH_PASS_WATCH_H

#include "controllers/route_table.h"

/** One group's passes. */
struct ash_pass_watch
{
  double pass_ms;  /**< mean of the last few pauses */
  double ratio;    /**< the same over a pass whose ranks are all even */
  double accepted; /**< the lowest ratio since a look at the counts found no shift; 0: none did */
  double expert_fraction; /**< of an even pass: what grows with skew */
  uint32_t seen;          /**< pauses since it was reset */
};

/** Forgets what was seen: the map has changed. */
void ash_pass_watch_reset (struct ash_pass_watch *watch);

/**
 * A stream has paused so long between two events.
 * @param streams that each rank of the group has, in the mean.
 */
void ash_pass_watch_add_pause (struct ash_pass_watch *watch,
                               const struct ash_engine_facts *engine,
                               double streams,
                               int64_t pause_ms);

/** Counts show that passes are so long without a shift: only longer ones are too long. */
void ash_pass_watch_accept_ratio (struct ash_pass_watch *watch);

/**
 * @param ranks of all groups that a look at the counts serves.
 * @param skew that the map in use is believed to have.
 * @return whether passes take much longer than that explains.
 */
bool ash_pass_watch_is_slow (const struct ash_pass_watch *watch, uint32_t ranks, double skew);

#endif
