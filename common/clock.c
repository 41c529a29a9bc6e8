#include "common/clock.h"

#include <math.h>
#include <time.h>

#define US_PER_S 1000000
#define NS_PER_US 1000
#define US_PER_MS 1000

int64_t
ash_clock_now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t) ts.tv_sec * US_PER_S + ts.tv_nsec / NS_PER_US;
}

struct ash_time
ash_clock_now (void)
{
  return (struct ash_time){ ash_clock_now_us () / US_PER_MS };
}

double
ash_time_decay (struct ash_time from, struct ash_time to, double half_life_ms)
{
  return exp2 ((double) -ash_time_diff (from, to) / half_life_ms);
}
