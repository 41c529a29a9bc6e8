#include "controllers/rate_limit.h"

/* A rate that differs by less than this part of it is no news. */
#define SAME_PART 10

static bool
is_new (uint32_t before, uint32_t after)
{
  uint32_t apart = before > after ? before - after : after - before;

  return !before != !after || apart > before / SAME_PART;
}

bool
ash_rate_limit_heard (struct ash_rate_limit *limit,
                      uint32_t milli_per_s,
                      struct ash_time said,
                      struct ash_time asked)
{
  uint32_t before = limit->milli_per_s;

  if (!before && !milli_per_s)
    return false;
  if (before && (!ash_time_before (limit->heard, said) ||
                 (!milli_per_s && ash_time_before (asked, limit->heard))))
    return false;
  limit->milli_per_s = milli_per_s;
  limit->heard = said;
  return is_new (before, milli_per_s);
}
