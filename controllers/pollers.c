#include "controllers/pollers.h"

#include <string.h>

bool
ash_pollers_before (struct ash_poller a, struct ash_poller b)
{
  if (a.link_mbps != b.link_mbps)
    return a.link_mbps > b.link_mbps;
  return strcmp (a.box, b.box) < 0;
}

/* @return how many of the other routers of its hall are ordered before the poller. If the
 * poller is in @p others, it is not counted. */
static uint32_t
rank_in_hall (struct ash_poller poller, const struct ash_poller *others, size_t count)
{
  uint32_t before = 0;

  for (size_t i = 0; i < count; i++)
    before += ash_pollers_before (others[i], poller) && strcmp (others[i].hall, poller.hall) == 0;
  return before;
}

bool
ash_pollers_is_chosen (struct ash_poller own,
                       const struct ash_poller *others,
                       size_t count,
                       uint32_t wanted)
{
  uint32_t own_rank = rank_in_hall (own, others, count);
  uint32_t before = 0;

  /* Stops once the result is known: early for all but a few of 400 routers. */
  for (size_t i = 0; i < count && own_rank < wanted && before < wanted; i++)
    {
      struct ash_poller other = others[i];
      uint32_t rank = rank_in_hall (other, others, count);

      rank += ash_pollers_before (own, other) && strcmp (own.hall, other.hall) == 0;
      before += rank < own_rank || (rank == own_rank && ash_pollers_before (other, own));
    }
  return own_rank < wanted && before < wanted;
}

bool
ash_pollers_is_chosen_in_hall (struct ash_poller own,
                               const struct ash_poller *others,
                               size_t count,
                               uint32_t wanted)
{
  return rank_in_hall (own, others, count) < wanted;
}
