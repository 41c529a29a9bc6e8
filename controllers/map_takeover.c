#include "controllers/map_takeover.h"

/* Reports may be so much older than their lag says: the time an answer takes, many times. */
#define REPORT_MARGIN_MS 120

/* Whether a rank's lists are its newest word: they don't lag, reports do. */
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

/* Lists don't say what is armed, but only what is prepared can be: an older report's word may be of
 * a change that was taken back since. */
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

/* Whether a hold at that rank is this router's alone to end. A hold that stands there takes no
 * other, and it may be one of this router's former life, whose order to go may still come. So may
 * one of this life, or of whoever finished for it, where it has let that step go before: also if it
 * has let a later one go since, the group not having moved. */
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
