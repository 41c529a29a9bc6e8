#include "controllers/resend_window.h"

/* An entry uses this part of what it might: clients count differently from here, and
 * an entry that was just replaced has forgotten what it spent. */
#define USED_FRACTION 0.6

/* One step is in part outside the window; so the newest steps cover it whole. */
#define WINDOW_BUCKETS (ASH_RESEND_BUCKETS - 2)

static void
advance (struct ash_resend_window *window,
         const struct ash_resend_bound *bound,
         struct ash_time now)
{
  int64_t step_ms = bound->window_ms / WINDOW_BUCKETS + 1;
  int64_t step = now.ms / step_ms;

  if (step - window->step >= ASH_RESEND_BUCKETS)
    {
      *window = (struct ash_resend_window){ .step = step };
      return;
    }
  while (window->step < step)
    {
      window->step++;
      window->requests[window->step % ASH_RESEND_BUCKETS] = 0;
      window->resends[window->step % ASH_RESEND_BUCKETS] = 0;
    }
}

void
ash_resend_window_request (struct ash_resend_window *window,
                           const struct ash_resend_bound *bound,
                           struct ash_time now)
{
  advance (window, bound, now);
  window->requests[window->step % ASH_RESEND_BUCKETS]++;
}

bool
ash_resend_window_spend (struct ash_resend_window *window,
                         const struct ash_resend_bound *bound,
                         uint32_t entries,
                         struct ash_time now)
{
  uint32_t requests = 0;
  uint32_t resends = 0;
  double allowed;

  advance (window, bound, now);
  for (uint32_t i = 0; i < ASH_RESEND_BUCKETS; i++)
    {
      requests += window->requests[i];
      resends += window->resends[i];
    }
  allowed = USED_FRACTION * (bound->ratio * requests + bound->slack / (entries ? entries : 1));
  if (resends + 1 > allowed)
    return false;
  window->resends[window->step % ASH_RESEND_BUCKETS]++;
  return true;
}
