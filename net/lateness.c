#include "net/lateness.h"

void
ash_lateness_init (struct ash_lateness *lateness)
{
  *lateness = (struct ash_lateness){ 0 };
}

/* Lets the least difference grow with time: else a receiver whose clock is the
 * faster one would find all frames late after some days. */
static void
allow_drift (struct ash_lateness *lateness, struct ash_time now)
{
  int64_t passed_ms = ash_time_diff (lateness->since, now) + lateness->drift_rest_ms;

  lateness->least_ms += passed_ms / ASH_LATENESS_DRIFT;
  lateness->drift_rest_ms = passed_ms % ASH_LATENESS_DRIFT;
  lateness->since = now;
}

int64_t
ash_lateness_of (struct ash_lateness *lateness, struct ash_time now, uint32_t sent_ms)
{
  int64_t difference_ms;

  if (!lateness->known)
    {
      lateness->known = true;
      lateness->since = now;
      lateness->least_ms = (int32_t) ((uint32_t) now.ms - sent_ms);
      return 0;
    }
  allow_drift (lateness, now);
  /* Near the least difference, so that the sender's clock may wrap around. */
  difference_ms =
      lateness->least_ms + (int32_t) ((uint32_t) now.ms - sent_ms - (uint32_t) lateness->least_ms);
  if (difference_ms < lateness->least_ms)
    lateness->least_ms = difference_ms;
  return difference_ms - lateness->least_ms;
}
