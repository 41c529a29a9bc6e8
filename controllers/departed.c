#include "controllers/departed.h"

#include <stddef.h>

/* An entry that nobody renews lapses after three heartbeats, some 4 s, and is missed a second
 * later. One that is still there belongs to an endpoint that lives. */
#define LAPSE_MS 6000

static struct ash_departed_one *
find (struct ash_departed *departed, uint64_t endpoint)
{
  for (uint32_t i = 0; i < ASH_DEPARTED_MAX; i++)
    if (departed->items[i].endpoint == endpoint)
      return &departed->items[i];
  return NULL;
}

void
ash_departed_note (struct ash_departed *departed, const struct ash_departed_one *one)
{
  struct ash_departed_one *found = find (departed, one->endpoint);
  bool draining = found && found->draining && found->born_ms == one->born_ms;

  if (!found)
    found = &departed->items[departed->next++ % ASH_DEPARTED_MAX];
  *found = *one;
  /* One that said that it was leaving and is then missing has said it all the same. */
  found->draining = found->draining || draining;
}

/* Born is another machine's time of day, which may jump: it tells two lives apart, not which came
 * first. */
static bool
is_other_life (const struct ash_departed_one *one, int64_t born_ms)
{
  return born_ms && one->born_ms && born_ms != one->born_ms;
}

bool
ash_departed_doubts (struct ash_departed *departed,
                     struct ash_time now,
                     uint64_t endpoint,
                     int64_t born_ms,
                     uint64_t era)
{
  struct ash_departed_one *found = find (departed, endpoint);

  if (!found)
    return false;
  /* Within one era an entry that comes back was written again. */
  if (era <= found->era || is_other_life (found, born_ms))
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
ash_departed_due (struct ash_departed *departed, struct ash_time now)
{
  for (uint32_t i = 0; i < ASH_DEPARTED_MAX; i++)
    {
      struct ash_departed_one *one = &departed->items[i];
      uint64_t endpoint = one->endpoint;

      if (!endpoint || one->draining || !one->listed.ms ||
          ash_time_diff (one->listed, now) < LAPSE_MS)
        continue;
      one->endpoint = 0;
      return endpoint;
    }
  return 0;
}
