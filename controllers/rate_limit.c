#include "controllers/rate_limit.h"

#include "common/random.h"

/* A rate counts as changed if it differs by more than 1/CHANGE_MIN_DIVISOR of the old one. */
#define CHANGE_MIN_DIVISOR 10

/* Lower bound of the rate used. With less, it would take long to learn that an endpoint has lifted
 * or raised its limit, since that is sent with answers. */
#define RATE_MIN_PER_S 0.25

/* Number of routers that share a rate: HOLDERS_BASE plus HOLDERS_PER_S for each request per second.
 * At low rates the number is small, since each of these routers may send one request at once. While
 * routers know different sets of routers, two routers may hold the same share. */
#define HOLDERS_BASE 2.0
#define HOLDERS_PER_S 1.5

/* Burst in requests over all routers that share the rate: BURST_BASE plus BURST_PER_S for each
 * request per second. */
#define BURST_BASE 3.0
#define BURST_PER_S 1.0

#define MS_PER_S 1000.0
#define MILLI 1000.0

static bool
is_changed (uint32_t before, uint32_t after)
{
  uint32_t apart = before > after ? before - after : after - before;

  return !before != !after || apart > before / CHANGE_MIN_DIVISOR;
}

bool
ash_rate_limit_update (struct ash_rate_limit *limit,
                       uint32_t milli_per_s,
                       struct ash_time answered,
                       struct ash_time sent)
{
  uint32_t before = limit->milli_per_s;

  if (!before && !milli_per_s)
    return false;
  if (!ash_time_before (limit->updated, answered))
    return false;
  if (!milli_per_s && ash_time_before (sent, limit->updated))
    return false;
  limit->milli_per_s = milli_per_s;
  limit->updated = answered;
  if (before != milli_per_s)
    limit->routers_digest = 0;
  if (!before)
    ash_rate_limit_release (limit);
  return is_changed (before, milli_per_s);
}

uint64_t
ash_rate_limit_order (uint64_t endpoint, uint64_t router)
{
  struct ash_random random;

  ash_random_init (&random, endpoint ^ router);
  return ash_random_next (&random);
}

static double
current_tokens (const struct ash_rate_limit *limit, struct ash_time now)
{
  double more = limit->share_per_s * (double) ash_time_diff (limit->refilled, now) / MS_PER_S;
  double sum = limit->tokens + (more > 0 ? more : 0);

  return sum < limit->burst ? sum : limit->burst;
}

struct ash_rate_split
ash_rate_limit_split (const struct ash_rate_limit *limit)
{
  double per_s = limit->milli_per_s / MILLI;

  return (struct ash_rate_split){
    .per_s = per_s < RATE_MIN_PER_S ? RATE_MIN_PER_S : per_s,
    .burst = BURST_BASE + BURST_PER_S * per_s,
    .holders = HOLDERS_BASE + HOLDERS_PER_S * per_s,
  };
}

void
ash_rate_limit_assign (struct ash_rate_limit *limit,
                       struct ash_time now,
                       const struct ash_rate_split *split,
                       uint64_t routers_digest,
                       uint32_t count,
                       uint32_t before)
{
  double holders = split->holders < count ? (uint32_t) split->holders : count;

  if (before >= holders)
    {
      ash_rate_limit_release (limit);
      limit->routers_digest = routers_digest;
      return;
    }
  limit->tokens = current_tokens (limit, now);
  limit->refilled = now;
  limit->routers_digest = routers_digest;
  limit->share_per_s = split->per_s / holders;
  limit->burst = split->burst / holders;
  if (limit->burst < 1)
    limit->burst = 1;
}

void
ash_rate_limit_release (struct ash_rate_limit *limit)
{
  limit->routers_digest = 0;
  limit->share_per_s = 0;
  limit->burst = 0;
  limit->tokens = 0;
}

int64_t
ash_rate_limit_wait_ms (const struct ash_rate_limit *limit, struct ash_time now)
{
  double missing;

  if (!limit->milli_per_s)
    return 0;
  missing = 1 - current_tokens (limit, now);
  if (missing <= 0)
    return 0;
  return limit->share_per_s > 0 ? (int64_t) (missing / limit->share_per_s * MS_PER_S) + 1 : -1;
}

void
ash_rate_limit_spend (struct ash_rate_limit *limit, struct ash_time now)
{
  if (!limit->milli_per_s)
    return;
  limit->tokens = current_tokens (limit, now) - 1;
  limit->refilled = now;
}
