#include "controllers/map_takeover.h"

/* Margin by which reports may be older than their declared lag: many times the round-trip time of a
 * request. */
#define REPORT_MARGIN_MS 120

/* Whether a rank's lists of experts are newer than its last report. Reports lag behind the rank's
 * state, lists do not. */
static bool
lists_are_newer (const struct ash_map_switch *sw, const struct ash_map_rank *rank)
{
  return ash_time_before (ash_time_add (rank->reported, -(int64_t) sw->lag_ms),
                          rank->lists_requested);
}

static uint64_t
prepared_version (const struct ash_map_switch *sw, const struct ash_map_rank *rank)
{
  return lists_are_newer (sw, rank) ? rank->prepared : rank->report.prepared;
}

/* The version that a rank is armed with. Lists do not contain it, but only a prepared version can
 * be armed: if newer lists show another prepared version, the report's one was disarmed since. */
static uint64_t
armed_version (const struct ash_map_switch *sw, const struct ash_map_rank *rank)
{
  bool is_over = lists_are_newer (sw, rank) && rank->prepared != rank->report.armed;

  return is_over ? 0 : rank->report.armed;
}

uint64_t
ash_map_takeover_version (const struct ash_map_switch *sw)
{
  uint64_t lowest = 0;

  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (armed_version (sw, &sw->ranks[i]) > sw->ranks[i].report.map)
      return sw->ranks[i].report.armed;
  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      uint64_t prepared = prepared_version (sw, &sw->ranks[i]);

      if (prepared > sw->ranks[i].report.map && (!lowest || prepared < lowest))
        lowest = prepared;
    }
  return lowest;
}

bool
ash_map_takeover_state_is_current (const struct ash_map_switch *sw, struct ash_time since)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      const struct ash_map_rank *rank = &sw->ranks[i];
      int64_t reported_ms = ash_time_diff (since, rank->reported);

      if (ash_time_before (rank->lists_requested, since) &&
          reported_ms < (int64_t) sw->lag_ms + REPORT_MARGIN_MS)
        return false;
    }
  return true;
}

/* Whether this router can hold a step at that rank without any other order releasing it. A rank has
 * one hold at most. A present hold may have been placed by this router before it restarted, and its
 * go order may still arrive. If this router has already released that step or a later one at the
 * rank, a delayed go order, of this router or of one that took over from it, may release the step
 * again. */
static bool
can_hold (const struct ash_map_switch *sw, uint32_t rank, uint64_t step)
{
  return !sw->ranks[rank].report.held && sw->ranks[rank].released_step < step;
}

uint32_t
ash_map_takeover_rank (const struct ash_map_switch *sw, uint64_t step)
{
  uint32_t spare = (sw->own_rank + sw->rank_count / 2) % sw->rank_count;

  if (can_hold (sw, sw->own_rank, step))
    return sw->own_rank;
  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (can_hold (sw, (spare + i) % sw->rank_count, step))
      return (spare + i) % sw->rank_count;
  return spare;
}
