#include "controllers/change_plan.h"

#include "controllers/pass_model.h"

/* Time from a decision to the first pass with the new map, without the copying: two round trips of
 * orders to all ranks, and the rest of the pass that is running. 100 to 140 ms on groups of 8 to
 * 32 ranks. */
#define CHANGE_OVERHEAD_MS 120

/* Time lost by the change itself: the group is stalled between the hold and go orders (20 to
 * 60 ms), and each rank parses a map and answers orders. */
#define CHANGE_STALL_MS 40

/* A map fits the token counts that it was computed from better than later ones: on groups of 8 to
 * 24 ranks, the skew is 0.05 to 0.1 higher half a second later. */
#define OVERFIT_SKEW 0.07

/* Expected remaining time of the present demand before the interval between shifts is known, and
 * its lower bound. */
#define REMAINING_DEFAULT_MS 4000
#define REMAINING_MIN_MS 1000

/* Weight of the newest interval in the smoothed interval between shifts. */
#define NEW_INTERVAL_WEIGHT 0.5

/* Milliseconds lost per millisecond of running time, compared to evenly loaded ranks. */
static double
loss_rate (const struct ash_change_terms *terms, double skew)
{
  return terms->expert_fraction * (skew - 1);
}

static double
min_ms (double a, double b)
{
  return a < b ? a : b;
}

/* Time until the map with so many new copies per rank is in use. */
static double
change_ms (const struct ash_change_terms *terms, uint32_t copies)
{
  return CHANGE_OVERHEAD_MS + copies * terms->copy_ms;
}

/* Time lost to copying, which slows passes down, and to the stall of the group. */
static double
copy_loss (const struct ash_change_terms *terms, double skew, uint32_t copies)
{
  return copies * terms->copy_ms * ASH_PASS_COPY_SLOWDOWN * (1 + loss_rate (terms, skew)) +
         CHANGE_STALL_MS;
}

/* Time lost if each rank copies @p copies experts in the first change and, if @p rest is not 0,
 * @p rest more in a second change. */
static double
expected_loss (const struct ash_change_terms *terms,
               double skew,
               const double *after,
               uint32_t copies,
               uint32_t rest)
{
  double first_ms = min_ms (change_ms (terms, copies), terms->remaining_ms);
  double second_ms = rest ? min_ms (change_ms (terms, rest), terms->remaining_ms - first_ms) : 0;
  double left_ms = terms->remaining_ms - first_ms - second_ms;
  double loss = first_ms * loss_rate (terms, skew) + copy_loss (terms, skew, copies) +
                (second_ms + left_ms) * loss_rate (terms, 1 + OVERFIT_SKEW);

  if (rest)
    loss += second_ms * loss_rate (terms, after[copies - 1]) +
            copy_loss (terms, after[copies - 1], rest);
  return loss + left_ms * loss_rate (terms, after[copies + rest - 1]);
}

uint32_t
ash_change_plan_copies (const struct ash_change_terms *terms,
                        double skew,
                        const double *after,
                        uint32_t copies_max)
{
  double best = terms->remaining_ms * loss_rate (terms, skew);
  uint32_t best_copies = 0;

  for (uint32_t copies = 1; copies <= copies_max; copies++)
    for (uint32_t rest = 0; copies + rest <= copies_max; rest++)
      {
        double loss = expected_loss (terms, skew, after, copies, rest);

        if (loss >= best)
          continue;
        best = loss;
        best_copies = copies;
      }
  return best_copies;
}

void
ash_shift_times_record (struct ash_shift_times *times, struct ash_time now)
{
  double since_ms = (double) ash_time_diff (times->last, now);

  if (times->has_last)
    times->interval_ms +=
        times->interval_ms > 0 ? NEW_INTERVAL_WEIGHT * (since_ms - times->interval_ms) : since_ms;
  times->last = now;
  times->has_last = true;
}

double
ash_shift_times_remaining_ms (const struct ash_shift_times *times, struct ash_time now)
{
  double left_ms = REMAINING_DEFAULT_MS;

  if (times->interval_ms > 0)
    left_ms = times->interval_ms - (double) ash_time_diff (times->last, now);
  return left_ms > REMAINING_MIN_MS ? left_ms : REMAINING_MIN_MS;
}
