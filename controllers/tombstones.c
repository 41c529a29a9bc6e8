#include "controllers/tombstones.h"

#include <stddef.h>

/* An entry that nobody renews lapses after three heartbeats, some 4 s, and is missed a second
 * later. One that is still there belongs to an endpoint that lives. */
#define LAPSE_MS 6000

static struct ash_tombstone *
find (struct ash_tombstones *tombstones, uint64_t endpoint)
{
  for (uint32_t i = 0; i < ASH_TOMBSTONES_MAX; i++)
    if (tombstones->items[i].endpoint == endpoint)
      return &tombstones->items[i];
  return NULL;
}

void
ash_tombstones_add (struct ash_tombstones *tombstones, const struct ash_tombstone *one)
{
  struct ash_tombstone *found = find (tombstones, one->endpoint);
  bool draining = found && found->draining && found->born_ms == one->born_ms;

  if (!found)
    found = &tombstones->items[tombstones->next++ % ASH_TOMBSTONES_MAX];
  *found = *one;
  /* One that said that it was leaving and is then missing has said it all the same. */
  found->draining = found->draining || draining;
}

/* Born is another machine's time of day, which may jump: it tells two lives apart, not which came
 * first. */
static bool
is_other_incarnation (const struct ash_tombstone *one, int64_t born_ms)
{
  return born_ms && one->born_ms && born_ms != one->born_ms;
}

bool
ash_tombstones_is_stale (struct ash_tombstones *tombstones,
                         struct ash_time now,
                         uint64_t endpoint,
                         int64_t born_ms,
                         uint64_t era)
{
  struct ash_tombstone *found = find (tombstones, endpoint);

  if (!found)
    return false;
  /* Within one era an entry that comes back was written again. */
  if (era <= found->era || is_other_incarnation (found, born_ms))
    {
      found->endpoint = 0;
      return false;
    }
  /* It never takes back that it is leaving. */
  if (found->draining)
    return true;
  if (!found->listed.ms)
    found->listed = now;
  return ash_time_diff (found->listed, now) < LAPSE_MS;
}

uint64_t
ash_tombstones_pop_expired (struct ash_tombstones *tombstones, struct ash_time now)
{
  for (uint32_t i = 0; i < ASH_TOMBSTONES_MAX; i++)
    {
      struct ash_tombstone *one = &tombstones->items[i];
      uint64_t endpoint = one->endpoint;

      if (!endpoint || one->draining || !one->listed.ms ||
          ash_time_diff (one->listed, now) < LAPSE_MS)
        continue;
      one->endpoint = 0;
      return endpoint;
    }
  return 0;
}
