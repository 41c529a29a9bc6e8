#include "controllers/outlier.h"

/* How long a report counts: most faults of endpoints last seconds. */
#define REPORT_MAX_AGE_MS 4000

/* An endpoint is left out for at least this long. */
#define OUT_MIN_MS 500

/* Mean time between two routers that return to an endpoint, so that a few requests a second show
 * whether it still fails, however many routers there are. */
#define RETURN_PERIOD_MS 250

/* All routers have returned after this time, so that an endpoint is not left out for long after the
 * word of its recovery was lost. */
#define OUT_MAX_MS 8000

static bool
counts (const struct ash_outlier *outlier, int i, struct ash_time now)
{
  return outlier->reports[i].hall &&
         ash_time_diff (outlier->reports[i].at, now) <= REPORT_MAX_AGE_MS;
}

bool
ash_outlier_report (struct ash_outlier *outlier, uint64_t hall, struct ash_time now)
{
  int at = 0;

  /* Replaces the hall's former report, else the older one. */
  for (int i = 1; i < ASH_OUTLIER_HALLS; i++)
    if (outlier->reports[at].hall != hall &&
        (outlier->reports[i].hall == hall ||
         ash_time_before (outlier->reports[i].at, outlier->reports[at].at)))
      at = i;
  outlier->reports[at].hall = hall;
  outlier->reports[at].at = now;
  for (int i = 0; i < ASH_OUTLIER_HALLS; i++)
    if (!counts (outlier, i, now))
      return false;
  return true;
}

int64_t
ash_outlier_leave_out (struct ash_outlier *outlier,
                       struct ash_random *random,
                       uint32_t routers,
                       struct ash_time now)
{
  uint64_t spread_ms = (uint64_t) routers * RETURN_PERIOD_MS;
  int64_t ms;

  if (spread_ms > OUT_MAX_MS - OUT_MIN_MS)
    spread_ms = OUT_MAX_MS - OUT_MIN_MS;
  ms = OUT_MIN_MS + ash_random_below (random, (uint32_t) spread_ms + 1);
  outlier->out_until = ash_time_add (now, ms);
  outlier->on_probation = true;
  return ms;
}

void
ash_outlier_clear (struct ash_outlier *outlier)
{
  *outlier = (struct ash_outlier){ 0 };
}

bool
ash_outlier_is_out (const struct ash_outlier *outlier, uint32_t in_flight, struct ash_time now)
{
  return outlier->on_probation && (in_flight || ash_time_before (now, outlier->out_until));
}

bool
ash_outlier_may_leave_out (uint32_t left_out, uint32_t endpoints, double part)
{
  return left_out + 1 <= part * endpoints;
}
