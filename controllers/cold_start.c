#include "controllers/cold_start.h"

/* Part of the permitted excess that is used. The rest is for routers whose view of the fleet
 * differs for a moment, and for requests that are sent apart and arrive together. */
#define EXCESS_FRACTION 0.5

/* A router knows the other routers this long after its start: it has been linked to them all. */
#define SETTLE_MS 2000

#define MILLI 1000.0

bool
ash_cold_start_report (struct ash_cold_start *cold,
                       struct ash_time now,
                       int64_t cold_ms,
                       const struct ash_cold_rate *rate)
{
  bool before = ash_cold_start_left_ms (cold, now) > 0;
  bool after = cold_ms > 0 && rate->per_s > 0;

  if (!before || !after)
    *cold = (struct ash_cold_start){ 0 };
  if (after)
    {
      cold->until = ash_time_add (now, cold_ms);
      cold->share.milli_per_s = (uint32_t) (rate->per_s * MILLI);
    }
  return before != after;
}

int64_t
ash_cold_start_left_ms (const struct ash_cold_start *cold, struct ash_time now)
{
  int64_t left_ms = ash_time_diff (now, cold->until);

  return left_ms > 0 ? left_ms : 0;
}

int64_t
ash_cold_start_wait_ms (const struct ash_cold_start *cold, struct ash_time now)
{
  int64_t left_ms = ash_cold_start_left_ms (cold, now);
  int64_t share_ms = left_ms ? ash_rate_limit_wait_ms (&cold->share, now) : 0;

  return share_ms < 0 || share_ms > left_ms ? left_ms : share_ms;
}

void
ash_cold_start_spend (struct ash_cold_start *cold, struct ash_time now)
{
  if (ash_cold_start_left_ms (cold, now))
    ash_rate_limit_spend (&cold->share, now);
}

struct ash_rate_split
ash_cold_start_split (const struct ash_cold_rate *rate)
{
  double excess = rate->per_s * (rate->overrun - 1) + rate->slack;
  struct ash_rate_split split = { .per_s = rate->per_s, .burst = EXCESS_FRACTION * excess };

  /* Each router with a share may send one request at once. */
  split.holders = split.burst > 1 ? (uint32_t) split.burst : 1;
  return split;
}

bool
ash_cold_start_may_share (int64_t uptime_ms, uint32_t reachable, uint32_t known)
{
  return uptime_ms >= SETTLE_MS && 2 * reachable > known;
}
