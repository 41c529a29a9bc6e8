#include "controllers/map_steps.h"

/* Minimum time between two samples of the step from which the duration of a pass is computed: one
 * or two passes. */
#define SAMPLES_APART_MS 80

/* Fraction of the expected passes since the last report that the estimate counts. If the estimate
 * is too low, a hold is refused and tried again; if it is too high, the change waits until
 * the group reaches the held step. */
#define ELAPSED_FRACTION 0.8

/* A group whose last new step was observed within this time is running steps. Reports are requested
 * every half second, and lag. */
#define STEPPING_MS 1000

void
ash_map_record_step (struct ash_map_switch *sw, struct ash_time at, uint64_t step)
{
  if (step <= sw->last_step)
    return;
  sw->last_step = step;
  sw->last_step_at = at;
}

void
ash_map_switch_set_pass_ms (struct ash_map_switch *sw, double pass_ms)
{
  sw->pass_ms = pass_ms;
}

void
ash_map_switch_sample_step (struct ash_map_switch *sw, struct ash_time now, uint64_t step)
{
  int64_t since_ms = ash_time_diff (sw->sampled_at, now);

  ash_map_record_step (sw, now, step);
  /* A new step shortly after the last sample gives no duration: ranks that are queried at the same
   * time may answer before and after a pass begins. */
  if (step <= sw->sampled_step || since_ms < SAMPLES_APART_MS)
    return;
  if (sw->sampled_step && since_ms < STEPPING_MS)
    sw->step_ms = (double) since_ms / (double) (step - sw->sampled_step);
  sw->sampled_step = step;
  sw->sampled_at = now;
}

/* Duration of the group's passes, from the streams of this router, or else from the steps that its
 * ranks report. If the duration is unknown, up to nine holds are refused before one arrives in
 * time. */
static double
pass_ms_of (const struct ash_map_switch *sw)
{
  return sw->pass_ms > 1 ? sw->pass_ms : sw->step_ms;
}

bool
ash_map_is_stepping (const struct ash_map_switch *sw, struct ash_time now)
{
  return sw->last_step && ash_time_diff (sw->last_step_at, now) < STEPPING_MS;
}

uint64_t
ash_map_current_step (const struct ash_map_switch *sw, struct ash_time now)
{
  int64_t elapsed_ms = ash_time_diff (sw->last_step_at, now);

  if (!ash_map_is_stepping (sw, now) || pass_ms_of (sw) <= 1 || elapsed_ms <= 0)
    return sw->last_step;
  return sw->last_step + (uint64_t) (ELAPSED_FRACTION * (double) elapsed_ms / pass_ms_of (sw));
}
