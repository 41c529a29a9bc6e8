#include "bench/router_policy.h"

#include "bench/router_world.h"
#include "controllers/pass_model.h"

#include <stdio.h>

#define SEEDS 5

/* What the ways below differ from by one thing each, and streams a second as the users' sheets have
 * them. */
#define CAP 9
#define WAIT_MS 80
#define TELL_MS 100
#define CALLS_S 63

struct day
{
  const char *name;
  struct router_world_setup setup;
};

#define USUAL .length_ms = 40000, .calls_s = CALLS_S
#define BURST .burst_at_ms = 12000, .burst_for_ms = 5000, .burst_times = 2
#define SLOW .slow_at_ms = 8000, .slow_for_ms = 12000, .slow_times = 4
#define ROLLS .rolls = 2, .roll_at_ms = { 9000, 25000 }, .roll_gap_ms = 700

static const struct day days[] = {
  { "calm", { USUAL } },
  { "double burst", { USUAL, BURST } },
  { "half slow", { USUAL, SLOW, .slow_groups = 1 } },
  { "half slow, burst, rolls", { USUAL, SLOW, BURST, ROLLS, .slow_groups = 1 } },
  { "all slow, burst, rolls", { USUAL, SLOW, BURST, ROLLS, .slow_groups = 2 } },
};

struct policy
{
  const char *name;
  struct router_world_setup way;
};

#define SOONER .returning = RETURN_SPREAD, .return_least_ms = 300, .return_spread_ms = 700
#define LATER .returning = RETURN_SPREAD, .return_least_ms = 1000, .return_spread_ms = 1600
#define BY_RATE .returning = RETURN_BY_RATE, .return_least_ms = 300

#define EVERY(wait) .wait_ms = (wait), .returned_wait_ms = (wait)

static const struct policy policies[] = {
  { "as it runs", { .cap = CAP, EVERY (WAIT_MS) } },
  { "by class and deadline", { .cap = CAP, EVERY (WAIT_MS), .by_deadline = true } },
  { "refuse at once", { .cap = CAP } },
  { "wait 240 ms", { .cap = CAP, EVERY (240) } },
  { "wait 240 ms, by class and deadline", { .cap = CAP, EVERY (240), .by_deadline = true } },
  { "wait 1 s, by class and deadline", { .cap = CAP, EVERY (1000), .by_deadline = true } },
  { "back after 0.3 to 1 s", { .cap = CAP, EVERY (WAIT_MS), SOONER } },
  { "back after 1 to 2.6 s", { .cap = CAP, EVERY (WAIT_MS), LATER } },
  { "back after 1 to 2.6 s, refuse at once", { .cap = CAP, LATER } },
  { "back by rate of completions", { .cap = CAP, EVERY (WAIT_MS), BY_RATE } },
  { "1 to 2.6 s, 2 places kept for returned", { .cap = CAP, .kept = 2, LATER } },
  { "1 to 2.6 s, returned wait 1.5 s", { .cap = CAP, .returned_wait_ms = 1500, LATER } },
  { "1 to 2.6 s, new ones first by 2", { .cap = CAP, .kept = -2, LATER } },
  { "the same, returned wait 1.5 s",
    { .cap = CAP, .kept = -2, .returned_wait_ms = 1500, .by_deadline = true, LATER } },
  { "cap does not fall", { .cap = CAP, EVERY (WAIT_MS), .fixed_cap = true } },
  { "loads told each 30 ms", { .cap = CAP, EVERY (WAIT_MS), .tell_ms = 30 } },
  { "cap 7", { .cap = 7, EVERY (WAIT_MS) } },
  { "cap 12", { .cap = 12, EVERY (WAIT_MS) } },
};

/* A day, played in that way. */
static struct router_world_setup
setup_of (const struct day *day, const struct policy *policy, uint64_t seed)
{
  struct router_world_setup setup = policy->way;
  const struct router_world_setup *what = &day->setup;

  setup.seed = seed;
  setup.tell_ms = setup.tell_ms ? setup.tell_ms : TELL_MS;
  setup.length_ms = what->length_ms;
  setup.calls_s = what->calls_s;
  setup.slow_at_ms = what->slow_at_ms;
  setup.slow_for_ms = what->slow_for_ms;
  setup.slow_times = what->slow_times;
  setup.slow_groups = what->slow_groups;
  setup.burst_at_ms = what->burst_at_ms;
  setup.burst_for_ms = what->burst_for_ms;
  setup.burst_times = what->burst_times;
  setup.rolls = what->rolls;
  for (uint32_t i = 0; i < setup.rolls; i++)
    setup.roll_at_ms[i] = what->roll_at_ms[i];
  setup.roll_gap_ms = what->roll_gap_ms;
  return setup;
}

static void
add (struct router_world_class *sum, const struct router_world_class *class)
{
  struct router_world_result both = { .classes = { *sum, *class } };

  *sum = router_world_all (&both);
}

static void
measure (const struct day *day, const struct policy *policy)
{
  struct router_world_class all = { 0 };
  struct router_world_class urgent = { 0 };
  double worst = 1;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct router_world_setup setup = setup_of (day, policy, seed);
      struct router_world_result result;
      struct router_world_class class;

      router_world_play (&setup, &result);
      class = router_world_all (&result);
      worst = router_world_worth (&class) < worst ? router_world_worth (&class) : worst;
      add (&all, &class);
      add (&urgent, &result.classes[0]);
    }
  printf (
      "| %s | %s | %.3f | %.3f | %.3f | %.1f | %.1f | %.1f | %.2f | %.1f | %.1f | %.2f | %.1f |\n",
      day->name, policy->name, router_world_worth (&all), worst, router_world_worth (&urgent),
      100.0 * all.in_aim / all.asked, 100.0 * all.late / all.asked,
      100.0 * all.refused_once / all.asked, 100.0 * all.refused_twice / all.asked,
      100.0 * all.held / all.asked, 100.0 * all.cut / all.asked, 100.0 * all.overtaken / all.asked,
      100.0 * all.big_served / (all.big ? all.big : 1));
  fflush (stdout);
}

/* Streams a rank on engines of other figures: worked out, and fixed. */
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

        router_world_engine (&engine, sequence_ms[s], copy_ms[c]);
        streams = ash_pass_model_streams (&engine, ROUTER_WORLD_PAUSE_MS, engine.slots);
        printf ("| %.2f | %.0f | %u | %.3f |", sequence_ms[s], copy_ms[c], streams,
                router_world_shifted_worth (&engine, streams));
        for (size_t f = 0; f < sizeof fixed / sizeof fixed[0]; f++)
          printf (" %.3f |", router_world_shifted_worth (&engine, fixed[f]));
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
  for (size_t d = 0; d < sizeof days / sizeof days[0]; d++)
    for (size_t p = 0; p < sizeof policies / sizeof policies[0]; p++)
      measure (&days[d], &policies[p]);
}
