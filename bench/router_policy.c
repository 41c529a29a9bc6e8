#include "bench/router_policy.h"

#include "bench/router_sim.h"
#include "controllers/pass_model.h"

#include <stdio.h>

#define SEEDS 5

/* Defaults; most policies below change one of them. CALLS_PER_S is the rate in the users' data
 * sheets. */
#define CAP 9
#define WAIT_MS 80
#define REPORT_PERIOD_MS 100
#define CALLS_PER_S 63

struct scenario
{
  const char *name;
  struct router_sim_setup setup;
};

#define USUAL .duration_ms = 40000, .calls_per_s = CALLS_PER_S
#define BURST .burst_start_ms = 12000, .burst_duration_ms = 5000, .burst_factor = 2
#define SLOW .slow_start_ms = 8000, .slow_duration_ms = 12000, .slow_factor = 4
#define RESTARTS .rolling_restarts = 2, .restart_start_ms = { 9000, 25000 }, .restart_gap_ms = 700

static const struct scenario scenarios[] = {
  { "calm", { USUAL } },
  { "double burst", { USUAL, BURST } },
  { "half slow", { USUAL, SLOW, .slow_groups = 1 } },
  { "half slow, burst, rolls", { USUAL, SLOW, BURST, RESTARTS, .slow_groups = 1 } },
  { "all slow, burst, rolls", { USUAL, SLOW, BURST, RESTARTS, .slow_groups = 2 } },
};

struct policy
{
  const char *name;
  struct router_sim_setup base;
};

#define RETRY_SOON .retry_policy = RETRY_RANDOM, .retry_min_ms = 300, .retry_spread_ms = 700
#define RETRY_LATE .retry_policy = RETRY_RANDOM, .retry_min_ms = 1000, .retry_spread_ms = 1600
#define RETRY_PACED .retry_policy = RETRY_BY_RATE, .retry_min_ms = 300

#define WAIT_ALL(wait) .wait_ms = (wait), .retry_queue_ms = (wait)

static const struct policy policies[] = {
  { "as it runs", { .cap = CAP, WAIT_ALL (WAIT_MS) } },
  { "by class and deadline", { .cap = CAP, WAIT_ALL (WAIT_MS), .by_deadline = true } },
  { "refuse at once", { .cap = CAP } },
  { "wait 240 ms", { .cap = CAP, WAIT_ALL (240) } },
  { "wait 240 ms, by class and deadline", { .cap = CAP, WAIT_ALL (240), .by_deadline = true } },
  { "wait 1 s, by class and deadline", { .cap = CAP, WAIT_ALL (1000), .by_deadline = true } },
  { "back after 0.3 to 1 s", { .cap = CAP, WAIT_ALL (WAIT_MS), RETRY_SOON } },
  { "back after 1 to 2.6 s", { .cap = CAP, WAIT_ALL (WAIT_MS), RETRY_LATE } },
  { "back after 1 to 2.6 s, refuse at once", { .cap = CAP, RETRY_LATE } },
  { "back by rate of completions", { .cap = CAP, WAIT_ALL (WAIT_MS), RETRY_PACED } },
  { "1 to 2.6 s, 2 places kept for returned", { .cap = CAP, .retry_cap_extra = 2, RETRY_LATE } },
  { "1 to 2.6 s, returned wait 1.5 s", { .cap = CAP, .retry_queue_ms = 1500, RETRY_LATE } },
  { "1 to 2.6 s, new ones first by 2", { .cap = CAP, .retry_cap_extra = -2, RETRY_LATE } },
  { "the same, returned wait 1.5 s",
    { .cap = CAP,
      .retry_cap_extra = -2,
      .retry_queue_ms = 1500,
      .by_deadline = true,
      RETRY_LATE } },
  { "cap does not fall", { .cap = CAP, WAIT_ALL (WAIT_MS), .fixed_cap = true } },
  { "loads told each 30 ms", { .cap = CAP, WAIT_ALL (WAIT_MS), .report_period_ms = 30 } },
  { "cap 7", { .cap = 7, WAIT_ALL (WAIT_MS) } },
  { "cap 12", { .cap = 12, WAIT_ALL (WAIT_MS) } },
};

/* Combines the settings of a policy with the load and faults of a scenario. */
static struct router_sim_setup
setup_of (const struct scenario *scenario, const struct policy *policy, uint64_t seed)
{
  struct router_sim_setup setup = policy->base;
  const struct router_sim_setup *load = &scenario->setup;

  setup.seed = seed;
  setup.report_period_ms = setup.report_period_ms ? setup.report_period_ms : REPORT_PERIOD_MS;
  setup.duration_ms = load->duration_ms;
  setup.calls_per_s = load->calls_per_s;
  setup.slow_start_ms = load->slow_start_ms;
  setup.slow_duration_ms = load->slow_duration_ms;
  setup.slow_factor = load->slow_factor;
  setup.slow_groups = load->slow_groups;
  setup.burst_start_ms = load->burst_start_ms;
  setup.burst_duration_ms = load->burst_duration_ms;
  setup.burst_factor = load->burst_factor;
  setup.rolling_restarts = load->rolling_restarts;
  for (uint32_t i = 0; i < setup.rolling_restarts; i++)
    setup.restart_start_ms[i] = load->restart_start_ms[i];
  setup.restart_gap_ms = load->restart_gap_ms;
  return setup;
}

static void
add (struct router_sim_class *sum, const struct router_sim_class *class)
{
  struct router_sim_result both = { .classes = { *sum, *class } };

  *sum = router_sim_total (&both);
}

static void
measure (const struct scenario *scenario, const struct policy *policy)
{
  struct router_sim_class all = { 0 };
  struct router_sim_class urgent = { 0 };
  double worst = 1;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct router_sim_setup setup = setup_of (scenario, policy, seed);
      struct router_sim_result result;
      struct router_sim_class class;

      router_sim_run (&setup, &result);
      class = router_sim_total (&result);
      worst = router_sim_score (&class) < worst ? router_sim_score (&class) : worst;
      add (&all, &class);
      add (&urgent, &result.classes[0]);
    }
  printf (
      "| %s | %s | %.3f | %.3f | %.3f | %.1f | %.1f | %.1f | %.2f | %.1f | %.1f | %.2f | %.1f |\n",
      scenario->name, policy->name, router_sim_score (&all), worst, router_sim_score (&urgent),
      100.0 * all.on_target / all.offered, 100.0 * all.late / all.offered,
      100.0 * all.refused_once / all.offered, 100.0 * all.refused_twice / all.offered,
      100.0 * all.unserved_waits / all.offered, 100.0 * all.interrupted / all.offered,
      100.0 * all.overtaken / all.offered, 100.0 * all.large_served / (all.large ? all.large : 1));
  fflush (stdout);
}

/* Compares the calculated number of streams per rank with fixed numbers, on engines with other step
 * and copy times. */
static void
print_engines (void)
{
  static const double sequence_ms[] = { 0.12, 0.36, 0.6, 0.9, 1.1 };
  static const double copy_ms[] = { 50, 150, 450 };
  static const uint32_t fixed[] = { 3, 5, 7, 9, 12 };

  printf (
      "\nStreams a rank, with shifts of demand\n\n"
      "| a stream adds, ms a step | a copy takes, ms | worked out | worth | 3 | 5 | 7 | 9 | 12 |\n"
      "|---|---|---|---|---|---|---|---|---|\n");
  for (size_t s = 0; s < sizeof sequence_ms / sizeof sequence_ms[0]; s++)
    for (size_t c = 0; c < sizeof copy_ms / sizeof copy_ms[0]; c++)
      {
        struct ash_engine_facts engine;
        uint32_t streams;

        router_sim_engine (&engine, sequence_ms[s], copy_ms[c]);
        streams = ash_pass_model_streams (&engine, ROUTER_SIM_PAUSE_MAX_MS, engine.slots);
        printf ("| %.2f | %.0f | %u | %.3f |", sequence_ms[s], copy_ms[c], streams,
                router_sim_shift_score (&engine, streams));
        for (size_t f = 0; f < sizeof fixed / sizeof fixed[0]; f++)
          printf (" %.3f |", router_sim_shift_score (&engine, fixed[f]));
        printf ("\n");
      }
}

void
router_policy_print (void)
{
  print_engines ();
  printf ("\nA router's policy, of %d seeds; in hundred of the calls\n\n"
          "| day | policy | worth | worst seed | urgent | in aim | late | refused | twice | held, "
          "not served | cut | overtaken | big served |\n"
          "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
          SEEDS);
  for (size_t d = 0; d < sizeof scenarios / sizeof scenarios[0]; d++)
    for (size_t p = 0; p < sizeof policies / sizeof policies[0]; p++)
      measure (&scenarios[d], &policies[p]);
}
