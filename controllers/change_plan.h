/**
 * @file
 * Decides whether a change of a group's expert map is worth its cost, and how many experts each
 * rank copies in the first change. The plan minimizes the time lost while the present demand is
 * expected to last. A small first change takes effect soon and a second one follows with the other
 * copies; if copying is fast compared to the fixed cost of a change, one change with all copies is
 * better.
 */
#ifndef ASH_CHANGE_PLAN_H
#define ASH_CHANGE_PLAN_H

#include "common/clock.h"

/** Maximum number of expert copies per rank in one change. */
#define ASH_CHANGE_COPIES_MAX 8

/** The cost of a change and the time during which it brings a gain. */
struct ash_change_terms
{
  double copy_ms;         /**< time that a rank takes to copy one expert */
  double expert_fraction; /**< fraction, 0 to 1, of the duration of a pass that is proportional to
                               the skew, if ranks are evenly loaded */
  double remaining_ms;    /**< expected remaining time of the present demand */
  /** Slowdown of each rank: 1 is normal speed, 2 takes twice as long; NULL: no rank is slow. */
  const double *pace;
};

/**
 * @param skew skew of the map in use: load of the most loaded rank divided by the mean load.
 * @param after skew of the map after 1, 2 ... @p copies_max copies per rank.
 * @return copies per rank in the first change; 0: no change is worth its cost.
 */
uint32_t ash_change_plan_copies (const struct ash_change_terms *terms,
                                 double skew,
                                 const double *after,
                                 uint32_t copies_max);

/** The times of shifts of the demand. Valid when zeroed. */
struct ash_shift_times
{
  struct ash_time last; /**< time of the last shift */
  double interval_ms;   /**< smoothed time between two shifts; 0: unknown */
  bool has_last;        /**< @ref last is set */
};

/** Records that the demand has shifted. */
void ash_shift_times_record (struct ash_shift_times *times, struct ash_time now);

/** @return milliseconds for which the present demand is expected to last. */
double ash_shift_times_remaining_ms (const struct ash_shift_times *times, struct ash_time now);

#endif
