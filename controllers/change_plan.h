/**
 * @file
 * Whether a change of a group's expert map pays, and how many copies a rank it is to begin with:
 * the least loss of time over what is left of the present demand. A few copies are in use soon,
 * the rest follows in a further change; where copying is quick against all else that a change
 * takes, one change with all copies is better.
 */
#ifndef ASH_CHANGE_PLAN_H
#define ASH_CHANGE_PLAN_H

#include "common/clock.h"

/** Copies a rank that are weighed for one change, at most. */
#define ASH_CHANGE_COPIES_MAX 8

/** What a change costs, and how long its gain lasts. */
struct ash_change_terms
{
  double copy_ms;         /**< a rank copies one expert */
  double expert_fraction; /**< of a pass of even ranks: what grows with skew */
  double remaining_ms;    /**< the present demand goes on so long */
  /** Of each rank: it takes so many times as long as usual; NULL: none is slow. */
  const double *pace;
};

/**
 * @param skew of the map in use.
 * @param after skew of the map with 1, 2 ... @p most copies a rank.
 * @return copies a rank to begin with; 0: no change pays.
 */
uint32_t ash_change_plan_copies (const struct ash_change_terms *terms,
                                 double skew,
                                 const double *after,
                                 uint32_t most);

/** When demand has shifted. Zeroed memory is a valid start. */
struct ash_shift_times
{
  struct ash_time last;
  double interval_ms; /**< mean time between two; 0: none known */
  bool any;
};

/** Demand has shifted. */
void ash_shift_times_record (struct ash_shift_times *times, struct ash_time now);

/** @return milliseconds that the present demand is expected to last. */
double ash_shift_times_remaining_ms (const struct ash_shift_times *times, struct ash_time now);

#endif
