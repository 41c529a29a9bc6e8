/**
 * @file
 * Room of a service by priority. When callers ask for more than the endpoints have room for, a
 * burst of less urgent requests would fill them and slow the streams of more urgent ones. So when
 * room has run short, a request leaves a part of each endpoint's room free, into which more urgent
 * demand may grow: it follows the share of recent demand that is more urgent. While there is room
 * for all, priorities make no difference.
 *
 * Each router decides by the demand that it sees itself. Callers choose their router at random, so
 * the shares are alike at all routers; how full an endpoint is, all routers tell each other.
 */
#ifndef ASH_PRIORITY_ROOM_H
#define ASH_PRIORITY_ROOM_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** Number of priorities whose demand is kept; less urgent ones beyond it count as the last one. */
#define ASH_PRIORITY_ROOM_LEVELS_MAX 16

/** Recent demand of one priority. */
struct ash_priority_demand
{
  uint32_t priority;
  double asked; /**< requests, the older the less */
  double taken; /**< those of them that were sent */
};

/** Recent demand for one service by priority, most urgent first. Valid and empty when zeroed. */
struct ash_priority_room
{
  struct ash_priority_demand levels[ASH_PRIORITY_ROOM_LEVELS_MAX];
  uint32_t count;
  struct ash_time aged_at;  /**< when the demand was last aged */
  struct ash_time short_at; /**< when room was last seen to be short */
};

/** Counts a request. @param priority 0 is the most urgent. */
void ash_priority_room_ask (struct ash_priority_room *room, uint32_t priority, struct ash_time now);

/** @return the share, 0 to 1, of the demand that is more urgent than @p priority. */
double ash_priority_room_urgent_share (const struct ash_priority_room *room, uint32_t priority);

/**
 * Computes what part of an endpoint's room requests of a priority must leave free.
 * @param reserve part that is left free if all demand is more urgent and room is short now; 0:
 * priorities don't matter.
 * @return 0 to 1.
 */
double ash_priority_room_reserved (const struct ash_priority_room *room,
                                   uint32_t priority,
                                   double reserve,
                                   struct ash_time now);

/** Records that room is short: little is left, or a stream's pause exceeded its target. */
void ash_priority_room_record_shortage (struct ash_priority_room *room, struct ash_time now);

/** Counts a request that is sent to an endpoint for the first time. */
void
ash_priority_room_take (struct ash_priority_room *room, uint32_t priority, struct ash_time now);

/** @return whether the priority gets less than the part that is every priority's due, so that its
 * requests may use all room. */
bool ash_priority_room_is_starved (const struct ash_priority_room *room, uint32_t priority);

#endif
