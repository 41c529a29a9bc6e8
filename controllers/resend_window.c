#include "controllers/resend_window.h"

/* Fraction of its share that a router uses. Clients count requests and resends at other times than
 * routers do, and a router that was just restarted has lost its counts. */
#define USED_FRACTION 0.6

/* Buckets per window. There are two more than that, so that the kept buckets always cover the whole
 * window, though the newest covers only part of its time. */
#define WINDOW_BUCKETS (ASH_RESEND_BUCKETS - 2)

/* Moves the window to the current bucket and clears the buckets it skips. */
static void
advance_window (struct ash_resend_window *window,
                const struct ash_resend_bound *bound,
                struct ash_time now)
{
  int64_t bucket_ms = bound->window_ms / WINDOW_BUCKETS + 1;
  int64_t bucket = now.ms / bucket_ms;

  if (bucket - window->bucket >= ASH_RESEND_BUCKETS)
    {
      *window = (struct ash_resend_window){ .bucket = bucket };
      return;
    }
  while (window->bucket < bucket)
    {
      window->bucket++;
      window->requests[window->bucket % ASH_RESEND_BUCKETS] = 0;
      window->resends[window->bucket % ASH_RESEND_BUCKETS] = 0;
    }
}

void
ash_resend_window_request (struct ash_resend_window *window,
                           const struct ash_resend_bound *bound,
                           struct ash_time now)
{
  advance_window (window, bound, now);
  window->requests[window->bucket % ASH_RESEND_BUCKETS]++;
}

bool
ash_resend_window_spend (struct ash_resend_window *window,
                         const struct ash_resend_bound *bound,
                         uint32_t routers,
                         struct ash_time now)
{
  uint32_t requests = 0;
  uint32_t resends = 0;
  double allowed;

  advance_window (window, bound, now);
  for (uint32_t i = 0; i < ASH_RESEND_BUCKETS; i++)
    {
      requests += window->requests[i];
      resends += window->resends[i];
    }
  allowed = USED_FRACTION * (bound->ratio * requests + bound->slack / (routers ? routers : 1));
  if (resends + 1 > allowed)
    return false;
  window->resends[window->bucket % ASH_RESEND_BUCKETS]++;
  return true;
}
