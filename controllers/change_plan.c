#include "controllers/change_plan.h"

#include "controllers/pass_model.h"

/* From a decision to the first pass with the new map, beside copying: orders to all ranks and
 * back twice, and the pass that is under way. 100 to 140 ms on groups of 8 to 32 ranks. */
#define CHANGE_OVERHEAD_MS 120

/* Time lost by a change itself: the group stands between hold and go, and each rank reads
 * a map and answers orders. 20 to 60 ms are seen between hold and go. */
#define CHANGE_STALL_MS 40

/* A map is better for the counts that it was drawn from than for those after them: on groups of 8
 * to 24 ranks, 0.05 to 0.1 of skew more is counted half a second later. */
#define OVERFIT_SKEW 0.07

/* Without a shift seen before, demand is expected to last a few seconds; it never is to end within
 * one. */
#define REMAINING_DEFAULT_MS 4000
#define REMAINING_MIN_MS 1000

/* Part of the newest interval in the mean. */
#define NEW_INTERVAL_WEIGHT 0.5

/* Time lost a millisecond against even ranks. */
static double
loss_rate (const struct ash_change_terms *terms, double skew)
{
  return terms->expert_fraction * (skew - 1);
}

static double
least (double a, double b)
{
  return a < b ? a : b;
}

/* Copies for one change: the time until it is in use, and what is lost meanwhile. */
static double
change_ms (const struct ash_change_terms *terms, uint32_t copies)
{
  return CHANGE_OVERHEAD_MS + copies * terms->copy_ms;
}

static double
copy_loss (const struct ash_change_terms *terms, double skew, uint32_t copies)
{
  return copies * terms->copy_ms * ASH_PASS_COPY_SLOWDOWN * (1 + loss_rate (terms, skew)) +
         CHANGE_STALL_MS;
}

/* One change of so many copies, then the rest, if there is any, in a second one. */
static double
expected_loss (const struct ash_change_terms *terms,
               double skew,
               const double *after,
               uint32_t copies,
               uint32_t rest)
{
  double first_ms = least (change_ms (terms, copies), terms->remaining_ms);
  double second_ms = rest ? least (change_ms (terms, rest), terms->remaining_ms - first_ms) : 0;
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
                        uint32_t most)
{
  double best = terms->remaining_ms * loss_rate (terms, skew);
  uint32_t best_copies = 0;

  for (uint32_t copies = 1; copies <= most; copies++)
    for (uint32_t rest = 0; copies + rest <= most; rest++)
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

  if (times->any)
    times->interval_ms +=
        times->interval_ms > 0 ? NEW_INTERVAL_WEIGHT * (since_ms - times->interval_ms) : since_ms;
  times->last = now;
  times->any = true;
}

double
ash_shift_times_remaining_ms (const struct ash_shift_times *times, struct ash_time now)
{
  double left_ms = REMAINING_DEFAULT_MS;

  if (times->interval_ms > 0)
    left_ms = times->interval_ms - (double) ash_time_diff (times->last, now);
  return left_ms > REMAINING_MIN_MS ? left_ms : REMAINING_MIN_MS;
}
