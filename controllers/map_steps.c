#include "controllers/map_steps.h"

/* Steps that ranks told so far apart tell how long a pass takes: one or two passes. */
#define SAMPLES_APART_MS 80

/* Of the passes that should have gone by since the last report, so many are counted on:
 * rather one hold too many than some passes too far. */
#define ELAPSED_FRACTION 0.8

/* A group whose steps were seen so short ago is at work: reports come every half second
 * and lag. */
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
  /* A pass may have begun between the words of two ranks that were asked at once. */
  if (step <= sw->sampled_step || since_ms < SAMPLES_APART_MS)
    return;
  if (sw->sampled_step && since_ms < STEPPING_MS)
    sw->step_ms = (double) since_ms / (double) (step - sw->sampled_step);
  sw->sampled_step = step;
  sw->sampled_at = now;
}

/* Of the group's own passes. Where no stream of this router shows them, its ranks' steps do:
 * without either, up to nine steps were tried before one had not begun yet. */
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
