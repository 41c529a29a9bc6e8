#include "controllers/tombstones.h"

#include <stddef.h>

/* A list entry that is not renewed lapses after three heartbeats (4 s), which routers notice a
 * second later. An entry that is still listed after this time belongs to a running endpoint. */
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
ash_tombstones_add (struct ash_tombstones *tombstones, const struct ash_tombstone *added)
{
  struct ash_tombstone *found = find (tombstones, added->endpoint);
  bool draining = found && found->draining && found->born_ms == added->born_ms;

  if (!found)
    found = &tombstones->items[tombstones->next++ % ASH_TOMBSTONES_MAX];
  *found = *added;
  /* An endpoint that announced its shutdown and is then missing from the list remains marked as
   * draining. */
  found->draining = found->draining || draining;
}

/* Start times are from another box's wall clock, which may jump: they only show whether two
 * incarnations differ, not which came first. */
static bool
is_other_incarnation (const struct ash_tombstone *tombstone, int64_t born_ms)
{
  return born_ms && tombstone->born_ms && born_ms != tombstone->born_ms;
}

bool
ash_tombstones_is_stale (struct ash_tombstones *tombstones,
                         struct ash_time now,
                         uint64_t endpoint,
                         int64_t born_ms,
                         uint64_t era)
{
  struct ash_tombstone *tombstone = find (tombstones, endpoint);

  if (!tombstone)
    return false;
  /* In the era of the removal, an entry that is listed again was written again: the endpoint is
   * running. */
  if (era <= tombstone->era || is_other_incarnation (tombstone, born_ms))
    {
      tombstone->endpoint = 0;
      return false;
    }
  /* An announced shutdown is final for the incarnation. */
  if (tombstone->draining)
    return true;
  if (!tombstone->relisted.ms)
    tombstone->relisted = now;
  return ash_time_diff (tombstone->relisted, now) < LAPSE_MS;
}

uint64_t
ash_tombstones_pop_expired (struct ash_tombstones *tombstones, struct ash_time now)
{
  for (uint32_t i = 0; i < ASH_TOMBSTONES_MAX; i++)
    {
      struct ash_tombstone *tombstone = &tombstones->items[i];
      uint64_t endpoint = tombstone->endpoint;

      if (!endpoint || tombstone->draining || !tombstone->relisted.ms ||
          ash_time_diff (tombstone->relisted, now) < LAPSE_MS)
        continue;
      tombstone->endpoint = 0;
      return endpoint;
    }
  return 0;
}
