/**
 * @file
 * Compares the expert placement policy on seeded traces with two baselines: a fixed
 * placement and a full repack in each interval. Prints Markdown tables to standard output.
 */
#include "bench/stats.h"
#include "common/clock.h"
#include "common/random.h"
#include "controllers/expert_policy.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INTERVALS 600
#define REPORT_LAG_INTERVALS 3
#define TOKENS_PER_INTERVAL 20000
#define SWING_INTERVALS 4

/* The forecast of a declared event is active for this many intervals before the event starts. */
#define FORECAST_LEAD_INTERVALS 30

/* Number of intervals that are reported as the start of an event. */
#define EVENT_START_INTERVALS 20

enum trace
{
  TRACE_STEADY,
  TRACE_DRIFT,
  TRACE_FLIP,
  TRACE_SWING,
  TRACE_STALL,
  TRACE_LOSSY,
  TRACE_COUNT,
};

static const char *const trace_names[TRACE_COUNT] = { "steady",       "drift",
                                                      "flip",         "swing",
                                                      "stalled rank", "late and missing reports" };

struct size
{
  uint32_t ranks;
  uint32_t experts;
  uint32_t rank_slots;
};

static const struct size sizes[] = { { 8, 64, 10 }, { 16, 64, 6 }, { 64, 128, 3 } };

enum forecast
{
  FORECAST_NONE,
  FORECAST_RIGHT,
  FORECAST_HALF_RIGHT, /* half way between the popularity before the event and the real one */
  FORECAST_WRONG,      /* the real popularity, assigned to the wrong experts */
};

struct method
{
  const char *name;
  bool repack;
  bool none;
  struct ash_expert_weights weights;
  enum forecast forecast; /* of the event declared at the popularity flip */
};

static const struct method methods[] = {
  { .name = "no change", .none = true },
  { .name = "repack each interval", .repack = true },
  { .name = "radar", .weights = { .skew = 1, .cost = 0.1, .horizon = 10, .moves = 8 } },
  { .name = "Wadi", .weights = { .skew = 1, .cost = 0.15, .horizon = 10, .moves = 2 } },
};

/* Methods that are compared on the start of a declared event, with forecasts of varying quality. */
static const struct method forecasts[] = {
  { .name = "no change", .none = true },
  { .name = "radar, no forecast", .weights = { 1, 0.1, 10, 8 } },
  { .name = "radar, forecast", .weights = { 1, 0.1, 10, 8 }, .forecast = FORECAST_RIGHT },
  { .name = "radar, half right", .weights = { 1, 0.1, 10, 8 }, .forecast = FORECAST_HALF_RIGHT },
  { .name = "radar, wrong", .weights = { 1, 0.1, 10, 8 }, .forecast = FORECAST_WRONG },
  { .name = "Wadi, no forecast", .weights = { 1, 0.15, 10, 2 } },
  { .name = "Wadi, forecast", .weights = { 1, 0.15, 10, 2 }, .forecast = FORECAST_RIGHT },
  { .name = "Wadi, half right", .weights = { 1, 0.15, 10, 2 }, .forecast = FORECAST_HALF_RIGHT },
  { .name = "Wadi, wrong", .weights = { 1, 0.15, 10, 2 }, .forecast = FORECAST_WRONG },
};

struct popularity
{
  double first[ASH_EXPERTS_MAX];
  double second[ASH_EXPERTS_MAX];
};

/* Draws the popularity of the experts: a Zipf-like distribution over a random order. */
static void
make_shares (struct ash_random *random, uint32_t experts, double *shares)
{
  uint32_t order[ASH_EXPERTS_MAX] = { 0 };
  double sum = 0;

  for (uint32_t e = 0; e < experts; e++)
    order[e] = e;
  for (uint32_t e = experts - 1; e > 0; e--)
    {
      uint32_t other = ash_random_below (random, e + 1);
      uint32_t swapped = order[e];

      order[e] = order[other];
      order[other] = swapped;
    }
  for (uint32_t e = 0; e < experts; e++)
    {
      shares[order[e]] = 1 / pow (e + 3, 0.7);
      sum += shares[order[e]];
    }
  for (uint32_t e = 0; e < experts; e++)
    shares[e] /= sum;
}

/* @return weight (0 to 1) of the second popularity in the mix of the two at this interval. */
static double
progress (enum trace trace, uint32_t interval)
{
  switch (trace)
    {
    case TRACE_DRIFT:
    case TRACE_LOSSY:
      return (double) interval / INTERVALS;
    case TRACE_FLIP:
      return interval >= INTERVALS / 2;
    case TRACE_SWING:
      return interval / SWING_INTERVALS % 2;
    default:
      return 0;
    }
}

static void
draw_tokens (struct ash_random *random,
             const struct popularity *popularity,
             double second_weight,
             uint32_t experts,
             double *tokens)
{
  for (uint32_t e = 0; e < experts; e++)
    {
      double mean = TOKENS_PER_INTERVAL * (popularity->first[e] * (1 - second_weight) +
                                           popularity->second[e] * second_weight);
      double noise = 0;

      /* The sum of 12 uniform numbers minus 6 approximates a standard normal variable. */
      for (int i = 0; i < 12; i++)
        noise += ash_random_below (random, 1000000) / 1e6;
      tokens[e] = mean + (noise - 6) * sqrt (mean);
      if (tokens[e] < 0)
        tokens[e] = 0;
    }
}

static uint32_t
count_moves (const struct ash_expert_placement *a, const struct ash_expert_placement *b)
{
  uint32_t moves = 0;

  /* Slots of a rank are interchangeable: an expert that stays on its rank is not a move. */
  for (uint32_t r = 0; r < a->rank_count; r++)
    for (uint32_t i = 0; i < a->rank_slots; i++)
      {
        uint32_t first = r * a->rank_slots;
        bool was_there = false;

        for (uint32_t j = 0; j < a->rank_slots; j++)
          was_there |= a->slots[first + j] == b->slots[first + i];
        moves += !was_there;
      }
  return moves;
}

struct result
{
  double skews[INTERVALS];
  uint32_t moves;
  uint32_t decisions;
  double decision_us[INTERVALS];
};

static void
decide (const struct method *method,
        const struct ash_expert_policy *policy,
        const double *report,
        const double *speeds,
        struct ash_expert_placement *placement,
        struct result *result)
{
  struct ash_expert_placement before = *placement;
  struct ash_expert_decision decision;
  int64_t start_us = ash_clock_now_us ();

  if (method->repack && report)
    ash_expert_repack (placement, report);
  else if (!method->repack && !method->none)
    {
      ash_expert_policy_decide (policy, placement, speeds, &decision);
      ash_expert_placement_apply (placement, decision.moves, decision.move_count);
    }
  result->decision_us[result->decisions++] = (double) (ash_clock_now_us () - start_us);
  result->moves += count_moves (&before, placement);
}

static void
apply_forecast (const struct method *method,
                const struct popularity *popularity,
                uint32_t interval,
                struct ash_expert_policy *policy)
{
  double expected[ASH_EXPERTS_MAX] = { 0 };

  if (interval == INTERVALS / 2 - FORECAST_LEAD_INTERVALS)
    {
      for (uint32_t e = 0; e < policy->expert_count; e++)
        {
          double other = popularity->second[policy->expert_count - 1 - e];

          expected[e] = 1e6 * popularity->second[e];
          if (method->forecast == FORECAST_HALF_RIGHT)
            expected[e] = 5e5 * (popularity->first[e] + popularity->second[e]);
          if (method->forecast == FORECAST_WRONG)
            expected[e] = 1e6 * other;
        }
      ash_expert_policy_set_forecast (policy, expected);
    }
  if (interval == INTERVALS / 2)
    ash_expert_policy_end_forecast (policy, true);
}

static void
run (const struct size *size, enum trace trace, const struct method *method, struct result *result)
{
  static double history[INTERVALS][ASH_EXPERTS_MAX];
  struct ash_random random;
  struct popularity popularity = { 0 };
  struct ash_expert_placement placement = { .rank_count = size->ranks,
                                            .rank_slots = size->rank_slots,
                                            .expert_count = size->experts };
  struct ash_expert_policy policy;
  double speeds[ASH_EXPERT_POLICY_RANKS_MAX] = { 0 };

  memset (result, 0, sizeof *result);
  ash_random_init (&random, 7 + (uint64_t) trace);
  make_shares (&random, size->experts, popularity.first);
  make_shares (&random, size->experts, popularity.second);
  ash_expert_repack (&placement, popularity.first);
  ash_expert_policy_init (&policy, size->experts, &method->weights);
  for (uint32_t i = 0; i < INTERVALS; i++)
    {
      bool stalled = trace == TRACE_STALL && i >= INTERVALS / 3 && i < 2 * INTERVALS / 3;
      uint32_t lag = trace == TRACE_LOSSY ? REPORT_LAG_INTERVALS : 1;
      const double *report = i >= lag ? history[i - lag] : NULL;
      bool lost = trace == TRACE_LOSSY && ash_random_below (&random, 10) < 3;

      for (uint32_t r = 0; r < size->ranks; r++)
        speeds[r] = stalled && r == 0 ? 0.7 : 1;
      draw_tokens (&random, &popularity, progress (trace, i), size->experts, history[i]);
      if (method->forecast)
        apply_forecast (method, &popularity, i, &policy);
      if (report && !lost)
        {
          ash_expert_policy_report (&policy, report);
          decide (method, &policy, report, speeds, &placement, result);
        }
      result->skews[i] = ash_expert_skew (&placement, history[i], speeds);
    }
}

static void
print_row (const struct size *size, enum trace trace, const struct method *method)
{
  static struct result result;
  double mean;

  run (size, trace, method, &result);
  mean = stats_mean (result.skews, INTERVALS);
  printf ("| %u x %u | %s | %s | %.3f | %.3f | %.3f | %u | %.0f | %.0f |\n", size->ranks,
          size->experts, trace_names[trace], method->name, mean,
          stats_percentile (result.skews, INTERVALS, 0.95),
          stats_percentile (result.skews, INTERVALS, 0.99), result.moves,
          stats_percentile (result.decision_us, result.decisions, 0.99),
          stats_percentile (result.decision_us, result.decisions, 1));
}

static void
print_forecast (const struct size *size, const struct method *method)
{
  static struct result result;
  const double *start = result.skews + INTERVALS / 2;

  run (size, TRACE_FLIP, method, &result);
  printf ("| %u x %u | %s | %.3f | %.3f | %.3f | %.3f | %u |\n", size->ranks, size->experts,
          method->name, stats_mean (start - FORECAST_LEAD_INTERVALS, FORECAST_LEAD_INTERVALS),
          *start, stats_mean (start, EVENT_START_INTERVALS),
          stats_mean (start + EVENT_START_INTERVALS, INTERVALS / 2 - EVENT_START_INTERVALS),
          result.moves);
}

int
main (void)
{
  printf (
      "| ranks x experts | trace | method | mean skew | 95 %% | 99 %% | experts moved | decision "
      "us 99 %% | worst |\n|---|---|---|---|---|---|---|---|---|\n");
  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    for (int t = 0; t < TRACE_COUNT; t++)
      for (size_t m = 0; m < sizeof methods / sizeof methods[0]; m++)
        print_row (&sizes[s], (enum trace) t, &methods[m]);
  printf (
      "\nA declared event at the flip, with a profile of its loads %d intervals before:\n\n"
      "| ranks x experts | method | skew before it | its first interval | its first %d | after | "
      "experts moved |\n|---|---|---|---|---|---|---|\n",
      FORECAST_LEAD_INTERVALS, EVENT_START_INTERVALS);
  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    for (size_t m = 0; m < sizeof forecasts / sizeof forecasts[0]; m++)
      print_forecast (&sizes[s], &forecasts[m]);
  return EXIT_SUCCESS;
}
