#include "controllers/priority_room.h"

#include <string.h>

/* Half-life of the demand. Bursts last seconds, and a router gets some ten requests a second. */
#define HALF_LIFE_MS 2000.0

/* Requests that a router without experience assumes to be more urgent than any other: until it
 * knows its callers, it leaves room free. */
#define PRIOR_REQUESTS 2.0

/* After room was short, the part that is left free halves in this time, until room is short again.
 * It outlasts the seconds from one shift of the demand for experts to the next, each of which makes
 * passes longer. */
#define SHORTAGE_HALF_LIFE_MS 5000.0

/* Part of the requests sent that is every priority's due, if it asks for so many. */
#define MINIMUM_SHARE 0.05

static void
age (struct ash_priority_room *room, struct ash_time now)
{
  double factor = ash_time_decay (room->aged_at, now, HALF_LIFE_MS);

  for (uint32_t i = 0; i < room->count; i++)
    {
      room->levels[i].asked *= factor;
      room->levels[i].taken *= factor;
    }
  room->aged_at = now;
}

/* @return the index of the first priority that is not more urgent. */
static uint32_t
position_of (const struct ash_priority_room *room, uint32_t priority)
{
  uint32_t at = 0;

  while (at < room->count && room->levels[at].priority < priority)
    at++;
  return at;
}

/* @return the demand of a priority, added if it is new. */
static struct ash_priority_demand *
demand_of (struct ash_priority_room *room, uint32_t priority)
{
  uint32_t at = position_of (room, priority);

  if (at < room->count && room->levels[at].priority == priority)
    return &room->levels[at];
  if (room->count == ASH_PRIORITY_ROOM_LEVELS_MAX)
    return &room->levels[at < room->count ? at : room->count - 1];
  memmove (&room->levels[at + 1], &room->levels[at], (room->count - at) * sizeof room->levels[0]);
  room->count++;
  room->levels[at] = (struct ash_priority_demand){ .priority = priority };
  return &room->levels[at];
}

void
ash_priority_room_ask (struct ash_priority_room *room, uint32_t priority, struct ash_time now)
{
  /* A router without experience takes room to be short. */
  if (!room->count)
    ash_priority_room_record_shortage (room, now);
  age (room, now);
  demand_of (room, priority)->asked += 1;
}

void
ash_priority_room_take (struct ash_priority_room *room, uint32_t priority, struct ash_time now)
{
  age (room, now);
  demand_of (room, priority)->taken += 1;
}

double
ash_priority_room_urgent_share (const struct ash_priority_room *room, uint32_t priority)
{
  double urgent = PRIOR_REQUESTS;
  double all = PRIOR_REQUESTS;

  for (uint32_t i = 0; i < room->count; i++)
    {
      all += room->levels[i].asked;
      if (room->levels[i].priority < priority)
        urgent += room->levels[i].asked;
    }
  return urgent / all;
}

double
ash_priority_room_reserved (const struct ash_priority_room *room,
                            uint32_t priority,
                            double reserve,
                            struct ash_time now)
{
  /* Nothing is kept from the most urgent priority, whichever that is. */
  if (!position_of (room, priority))
    return 0;
  return reserve * ash_time_decay (room->short_at, now, SHORTAGE_HALF_LIFE_MS) *
         ash_priority_room_urgent_share (room, priority);
}

void
ash_priority_room_record_shortage (struct ash_priority_room *room, struct ash_time now)
{
  room->short_at = now;
}

bool
ash_priority_room_is_starved (const struct ash_priority_room *room, uint32_t priority)
{
  double own = 0;
  double all = 0;

  for (uint32_t i = 0; i < room->count; i++)
    {
      all += room->levels[i].taken;
      if (room->levels[i].priority == priority)
        own = room->levels[i].taken;
    }
  return own < MINIMUM_SHARE * all;
}
