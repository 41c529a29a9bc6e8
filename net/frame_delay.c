#include "net/frame_delay.h"

void
ash_frame_delay_init (struct ash_frame_delay *frame_delay)
{
  *frame_delay = (struct ash_frame_delay){ 0 };
}

/* Increases the baseline with elapsed time. Otherwise a receiver whose clock runs faster than the
 * sender's would consider all frames late after some days. */
static void
allow_drift (struct ash_frame_delay *frame_delay, struct ash_time now)
{
  int64_t passed_ms =
      ash_time_diff (frame_delay->drift_until, now) + frame_delay->drift_remainder_ms;

  frame_delay->baseline_ms += passed_ms / ASH_FRAME_DELAY_DRIFT_DIVISOR;
  frame_delay->drift_remainder_ms = passed_ms % ASH_FRAME_DELAY_DRIFT_DIVISOR;
  frame_delay->drift_until = now;
}

int64_t
ash_frame_delay_ms (struct ash_frame_delay *frame_delay, struct ash_time now, uint32_t sent_ms)
{
  int64_t difference_ms;

  if (!frame_delay->has_baseline)
    {
      frame_delay->has_baseline = true;
      frame_delay->drift_until = now;
      frame_delay->baseline_ms = (int32_t) ((uint32_t) now.ms - sent_ms);
      return 0;
    }
  allow_drift (frame_delay, now);
  /* Computed relative to the baseline, as sent_ms wraps around. */
  difference_ms = frame_delay->baseline_ms +
                  (int32_t) ((uint32_t) now.ms - sent_ms - (uint32_t) frame_delay->baseline_ms);
  if (difference_ms < frame_delay->baseline_ms)
    frame_delay->baseline_ms = difference_ms;
  return difference_ms - frame_delay->baseline_ms;
}
