#include "controllers/askers.h"

#include <string.h>

bool
ash_askers_before (struct ash_asker a, struct ash_asker b)
{
  if (a.link_mbps != b.link_mbps)
    return a.link_mbps > b.link_mbps;
  return strcmp (a.box, b.box) < 0;
}

/* How many of its hall come before it. Itself among the others does not count. */
static uint32_t
place_in_hall (struct ash_asker asker, const struct ash_asker *others, size_t count)
{
  uint32_t before = 0;

  for (size_t i = 0; i < count; i++)
    before += ash_askers_before (others[i], asker) && strcmp (others[i].hall, asker.hall) == 0;
  return before;
}

bool
ash_askers_has (struct ash_asker own, const struct ash_asker *others, size_t count, uint32_t wanted)
{
  uint32_t own_place = place_in_hall (own, others, count);
  uint32_t before = 0;

  /* Stops at the first few: of 400 routers all but those few are done soon. */
  for (size_t i = 0; i < count && own_place < wanted && before < wanted; i++)
    {
      struct ash_asker other = others[i];
      uint32_t place = place_in_hall (other, others, count);

      place += ash_askers_before (own, other) && strcmp (own.hall, other.hall) == 0;
      before += place < own_place || (place == own_place && ash_askers_before (other, own));
    }
  return own_place < wanted && before < wanted;
}

bool
ash_askers_in_hall (struct ash_asker own,
                    const struct ash_asker *others,
                    size_t count,
                    uint32_t wanted)
{
  return place_in_hall (own, others, count) < wanted;
}
