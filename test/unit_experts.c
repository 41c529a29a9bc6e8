/**
 * @file
 * Unit tests of what the router that leads knows and decides of groups of ranks: how long passes
 * take, whether a change of the expert map pays, and the maps.
 */
#include "bench/router_sim.h"
#include "common/random.h"
#include "controllers/change_plan.h"
#include "controllers/layer_policy.h"
#include "controllers/pass_model.h"
#include "controllers/pass_watch.h"
#include "test/unit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static struct ash_time
at (int64_t ms)
{
  return (struct ash_time){ ms };
}

/* ---- expert maps ---- */

#define LAYERS 2
#define RANKS 4
#define EXPERTS 16
#define SLOTS 6

/* Experts in turn, rank after rank; what is left of the slots is empty. */
static void
deal_sized (struct ash_layer_map *map,
            uint32_t layer_count,
            uint32_t rank_count,
            uint32_t slot_count,
            uint32_t expert_count)
{
  ash_layer_map_init (map, layer_count, rank_count, slot_count, expert_count);
  for (uint32_t layer = 0; layer < layer_count; layer++)
    for (uint32_t rank = 0; rank < rank_count; rank++)
      for (uint32_t slot = 0; slot < slot_count; slot++)
        {
          uint32_t expert = rank + slot * rank_count;

          map->slots[layer][rank][slot] = expert < expert_count ? (uint16_t) expert : ASH_NO_EXPERT;
        }
}

static void
deal (struct ash_layer_map *map)
{
  deal_sized (map, LAYERS, RANKS, SLOTS, EXPERTS);
}

/* Every expert stands somewhere, and none twice at a rank. */
static void
expect_sound (const struct ash_layer_map *map)
{
  for (uint32_t layer = 0; layer < map->layer_count; layer++)
    for (uint16_t expert = 0; expert < map->expert_count; expert++)
      {
        uint32_t held = 0;

        for (uint32_t rank = 0; rank < map->rank_count; rank++)
          {
            uint32_t here = 0;

            for (uint32_t slot = 0; slot < map->slot_count; slot++)
              here += map->slots[layer][rank][slot] == expert;
            CU_ASSERT (here <= 1);
            held += here;
          }
        CU_ASSERT (held >= 1);
      }
}

static uint32_t
changed_slots (const struct ash_layer_map *a, const struct ash_layer_map *b, uint32_t rank)
{
  uint32_t changed = 0;

  for (uint32_t layer = 0; layer < LAYERS; layer++)
    for (uint32_t slot = 0; slot < SLOTS; slot++)
      changed += a->slots[layer][rank][slot] != b->slots[layer][rank][slot];
  return changed;
}

static void
test_layers (void)
{
  const struct ash_layer_weights weights = {
    .decay = 0.5, .similarity_min = 0.9, .min_gain = 0.02, .layer_moves = 2, .rank_moves = 3
  };
  const struct ash_change_terms lasting = { .expert_fraction = 0.5, .remaining_ms = 1e5 };
  double counts[LAYERS * EXPERTS];
  struct ash_layer_policy policy;
  struct ash_layer_map map;
  struct ash_layer_map before;
  struct ash_layer_decision decision;
  double skew;

  deal (&map);
  ash_layer_policy_init (&policy, LAYERS, EXPERTS, &weights);
  for (int i = 0; i < LAYERS * EXPERTS; i++)
    counts[i] = 1;
  counts[5] = 20;
  counts[EXPERTS + 9] = 20;
  ash_layer_policy_report (&policy, counts);
  skew = ash_layer_skew (&policy, &map);
  CU_ASSERT (skew > 2);
  for (int i = 0; i < 4; i++)
    {
      before = map;
      ash_layer_policy_decide (&policy, &lasting, &map, &decision);
      expect_sound (&map);
      for (uint32_t rank = 0; rank < RANKS; rank++)
        CU_ASSERT (changed_slots (&before, &map, rank) <= weights.rank_moves);
      CU_ASSERT (decision.skew_after <= decision.skew_before);
    }
  CU_ASSERT (decision.skew_after < 1.25);
  CU_ASSERT_EQUAL (decision.moves, 0);
  /* A shift: what was counted before says nothing. */
  counts[5] = 1;
  counts[2] = 20;
  ash_layer_policy_report (&policy, counts);
  CU_ASSERT_EQUAL (policy.shifts, 1);
  CU_ASSERT (policy.demand[0][5] < 0.05);
  CU_ASSERT (ash_layer_skew (&policy, &map) > 1.4);
  for (int i = 0; i < 4; i++)
    ash_layer_policy_decide (&policy, &lasting, &map, &decision);
  expect_sound (&map);
  CU_ASSERT (decision.skew_after < 1.3);
}

#define MANY_LAYERS 16
#define MANY_EXPERTS 192

static const struct ash_layer_weights many_ranks_weights = {
  .decay = 0.5, .similarity_min = 0.9, .min_gain = 0.03, .layer_moves = 2, .rank_moves = 2
};

/* What a change for a group of many ranks is drawn up with: too large for the stack. */
struct many_ranks
{
  double *counts; /* of each expert of each layer */
  struct ash_layer_policy *policy;
  struct ash_layer_map *map;
};

static struct many_ranks
many_ranks_new (void)
{
  return (struct many_ranks){
    .counts = calloc ((size_t) MANY_LAYERS * MANY_EXPERTS, sizeof (double)),
    .policy = calloc (1, sizeof (struct ash_layer_policy)),
    .map = calloc (1, sizeof (struct ash_layer_map)),
  };
}

static void
many_ranks_free (struct many_ranks *many)
{
  free (many->counts);
  free (many->policy);
  free (many->map);
}

/* A group of 96 ranks kept its first map all day: holders of an expert were a set of 64 bits, and
 * its reports were dropped without a word. The most loaded rank had 3.7 times the mean, 15,000 of
 * 22,800 streams were late. Also drawn up for 300 ranks, whose bits fill the fifth word in part. */
static void
test_large_groups (void)
{
  static const uint32_t rank_counts[] = { 64, 65, 96, 300, ASH_LAYER_RANKS_MAX };
  const struct ash_change_terms lasting = { .expert_fraction = 0.5, .remaining_ms = 1e5 };
  struct many_ranks many = many_ranks_new ();
  struct ash_layer_decision decision;

  for (uint32_t i = 0; i < MANY_LAYERS * MANY_EXPERTS; i++)
    many.counts[i] = i % MANY_EXPERTS == i / MANY_EXPERTS ? 30 : 1;
  for (size_t i = 0; i < sizeof rank_counts / sizeof rank_counts[0]; i++)
    {
      uint32_t slot_count = (MANY_EXPERTS + rank_counts[i] - 1) / rank_counts[i] + 1;

      deal_sized (many.map, MANY_LAYERS, rank_counts[i], slot_count, MANY_EXPERTS);
      ash_layer_policy_init (many.policy, MANY_LAYERS, MANY_EXPERTS, &many_ranks_weights);
      ash_layer_policy_report (many.policy, many.counts);
      ash_layer_policy_decide (many.policy, &lasting, many.map, &decision);
      expect_sound (many.map);
      CU_ASSERT (decision.moves > 0);
      CU_ASSERT (decision.skew_before > 3);
      CU_ASSERT (decision.skew_after < 0.75 * decision.skew_before);
      CU_ASSERT_DOUBLE_EQUAL (decision.skew_after, ash_layer_skew (many.policy, many.map), 1e-9);
    }
  many_ranks_free (&many);
}

/* Demand of 16 layers has shifted for 96 ranks with one place more a rank than experts need. With
 * the least gain of a move as for few ranks, the change left a skew of 1.8 here; it leaves 1.3. */
static void
test_skew_of_many_ranks (void)
{
  const struct ash_change_terms terms = { .expert_fraction = 0.5,
                                          .remaining_ms = 3600,
                                          .copy_ms = 18 };
  struct many_ranks many = many_ranks_new ();
  struct ash_layer_decision decision;
  struct ash_random random;

  ash_random_init (&random, 7);
  deal_sized (many.map, MANY_LAYERS, 96, 3, MANY_EXPERTS);
  ash_layer_policy_init (many.policy, MANY_LAYERS, MANY_EXPERTS, &many_ranks_weights);
  for (uint32_t i = 0; i < MANY_LAYERS * MANY_EXPERTS; i++)
    many.counts[i] = exp ((double) ash_random_below (&random, 1000) / 333 - 1);
  ash_layer_policy_report (many.policy, many.counts);
  ash_layer_policy_decide (many.policy, &terms, many.map, &decision);
  expect_sound (many.map);
  CU_ASSERT (decision.skew_before > 2.4);
  CU_ASSERT (decision.skew_after < 1.45);
  many_ranks_free (&many);
}

static uint32_t
held_slots (const struct ash_layer_map *map, uint32_t rank)
{
  uint32_t held = 0;

  for (uint32_t layer = 0; layer < map->layer_count; layer++)
    for (uint32_t slot = 0; slot < map->slot_count; slot++)
      held += map->slots[layer][rank][slot] != ASH_NO_EXPERT;
  return held;
}

/* All ranks wait for a slow one: others come to hold what it holds, it gives that up, and the time
 * of the slowest rank falls. As usual again, it takes its part. */
static void
test_slow_rank (void)
{
  static const uint32_t slow = 5;
  double pace[ASH_LAYER_RANKS_MAX];
  struct ash_change_terms terms = { .expert_fraction = 0.5, .remaining_ms = 1e5, .pace = pace };
  struct many_ranks many = many_ranks_new ();
  struct ash_layer_decision decision;
  uint32_t held;

  for (uint32_t rank = 0; rank < ASH_LAYER_RANKS_MAX; rank++)
    pace[rank] = 1;
  for (uint32_t i = 0; i < MANY_LAYERS * MANY_EXPERTS; i++)
    many.counts[i] = 1 + i % 7;
  deal_sized (many.map, MANY_LAYERS, 32, 8, MANY_EXPERTS);
  ash_layer_policy_init (many.policy, MANY_LAYERS, MANY_EXPERTS, &many_ranks_weights);
  ash_layer_policy_report (many.policy, many.counts);
  for (int i = 0; i < 6; i++)
    ash_layer_policy_decide (many.policy, &terms, many.map, &decision);
  held = held_slots (many.map, slow);
  pace[slow] = 4;
  ash_layer_policy_decide (many.policy, &terms, many.map, &decision);
  expect_sound (many.map);
  CU_ASSERT (held_slots (many.map, slow) <= held);
  CU_ASSERT (decision.skew_before > 3);
  CU_ASSERT (decision.skew_after < 0.75 * decision.skew_before);
  for (int i = 0; i < 6; i++)
    ash_layer_policy_decide (many.policy, &terms, many.map, &decision);
  expect_sound (many.map);
  /* Others hold by now what it held alone. */
  CU_ASSERT (held_slots (many.map, slow) < held);
  CU_ASSERT (decision.skew_after < 1.3);
  pace[slow] = 1;
  for (int i = 0; i < 6; i++)
    ash_layer_policy_decide (many.policy, &terms, many.map, &decision);
  expect_sound (many.map);
  CU_ASSERT (decision.skew_after < 1.3);
  many_ranks_free (&many);
}

/* ---- passes and changes ---- */

/* The experiment tool's engine, whose ranks copy an expert of that size over a link of 60 gigabits.
 */
static struct ash_engine_facts
engine_of (double sequence_ms, double expert_mb)
{
  struct ash_engine_facts engine;

  router_sim_engine (&engine, sequence_ms, expert_mb * 8 / 60);
  return engine;
}

/* Nine streams a rank, right on one engine, had passes of 145 ms on another whose streams cost 2.5
 * times as much, once demand had shifted: callers waited over 120 ms for an event, and 0.25 of them
 * got a good stream where 0.6 did with six. */
static void
test_pass_streams (void)
{
  double sequence_ms = 0.2;

  for (int i = 0; i < 9; i++, sequence_ms *= 1.3)
    {
      struct ash_engine_facts engine = engine_of (sequence_ms, 1000);
      uint32_t streams = ash_pass_model_streams (&engine, 120, engine.slots);
      double shifted_ms = ash_pass_model_ms (&engine, streams, 3);

      CU_ASSERT (streams >= 1 && streams <= engine.slots);
      CU_ASSERT (sequence_ms > 0.95 || shifted_ms < 120);
      /* Not fewer than needed. */
      CU_ASSERT (streams == engine.slots || ash_pass_model_ms (&engine, streams + 1, 4) > 100);
      /* In time while demand does not shift. */
      CU_ASSERT (ash_pass_model_ms (&engine, streams, 1.2) < 120);
    }
  /* An engine that is late in any case serves as many as it can; one without figures is bounded. */
  CU_ASSERT_EQUAL (
      ash_pass_model_streams (&(struct ash_engine_facts){ .stride = 50, .step_ms = 9 }, 120, 12),
      12);
  CU_ASSERT_EQUAL (ash_pass_model_streams (&(struct ash_engine_facts){ 0 }, 120, 12), 12);
}

static uint32_t
copies_of (double expert_mb, double remaining_ms, double skew, const double *after, uint32_t most)
{
  struct ash_engine_facts engine = engine_of (0.7, expert_mb);
  struct ash_change_terms terms = {
    .copy_ms = ash_pass_model_copy_ms (&engine),
    .expert_fraction = ash_pass_model_expert_fraction (&engine, 6),
    .remaining_ms = remaining_ms,
  };

  return ash_change_plan_copies (&terms, skew, after, most);
}

/* Two copies a rank in one change took 0.93 s where one copy takes 0.4 s: passes were long twice as
 * long as with one at a time. */
static void
test_change_plan (void)
{
  const double after[] = { 1.7, 1.25, 1.2 };
  const double little[] = { 1.22, 1.21, 1.2 };

  /* Copying takes 0.4 s, 0.13 s, 0.03 s, 2 s. */
  CU_ASSERT_EQUAL (copies_of (3000, 3500, 3.2, after, 3), 1);
  CU_ASSERT_EQUAL (copies_of (1000, 3500, 3.2, after, 3), 1);
  CU_ASSERT_EQUAL (copies_of (220, 3500, 3.2, after, 3), 3);
  CU_ASSERT_EQUAL (copies_of (15000, 1500, 3.2, after, 3), 0);
  /* What takes little off pays only if it lasts, or costs nothing much. */
  CU_ASSERT_EQUAL (copies_of (3000, 2500, 1.3, little, 3), 0);
  CU_ASSERT (copies_of (3000, 60000, 1.4, little, 3) > 0);
  CU_ASSERT_EQUAL (copies_of (3000, 3500, 3.2, after, 0), 0);
}

static void
test_shift_times (void)
{
  struct ash_shift_times times = { 0 };
  double first = ash_shift_times_remaining_ms (&times, at (0));

  CU_ASSERT (first > 1000);
  ash_shift_times_record (&times, at (10000));
  CU_ASSERT_EQUAL (ash_shift_times_remaining_ms (&times, at (12000)), first);
  ash_shift_times_record (&times, at (13600));
  ash_shift_times_record (&times, at (17200));
  CU_ASSERT_DOUBLE_EQUAL (ash_shift_times_remaining_ms (&times, at (17700)), 3100, 1);
  /* Overdue: soon, but not at once. */
  CU_ASSERT_DOUBLE_EQUAL (ash_shift_times_remaining_ms (&times, at (30000)), 1000, 1);
}

static void
test_pass_watch (void)
{
  const struct ash_engine_facts engine = {
    .stride = 6, .step_ms = 4.84, .sequence_ms = 0.362, .expert_share = 0.85
  };
  struct ash_pass_watch watch;

  ash_pass_watch_reset (&watch);
  /* An even pass of four streams takes 38 ms, 9 of them for tokens; a skew of 1.2 adds 1.5. */
  for (int i = 0; i < 50; i++)
    ash_pass_watch_add_pause (&watch, &engine, 4, 46);
  CU_ASSERT_FALSE (ash_pass_watch_is_slow (&watch, 16, 1.2));
  for (int i = 0; i < 15; i++)
    ash_pass_watch_add_pause (&watch, &engine, 4, 80);
  CU_ASSERT (ash_pass_watch_is_slow (&watch, 16, 1.2));
  /* Nor does a skew of 2.5 explain twice an even pass: steps have a fixed time too. */
  CU_ASSERT (ash_pass_watch_is_slow (&watch, 16, 2.5));
  /* More streams explain longer passes: 55 ms, 26 of them for tokens. */
  ash_pass_watch_reset (&watch);
  for (int i = 0; i < 50; i++)
    ash_pass_watch_add_pause (&watch, &engine, 12, 70);
  CU_ASSERT_FALSE (ash_pass_watch_is_slow (&watch, 16, 1.2));
  for (int i = 0; i < 50; i++)
    ash_pass_watch_add_pause (&watch, &engine, 12, 95);
  CU_ASSERT (ash_pass_watch_is_slow (&watch, 16, 1.2));
  CU_ASSERT_FALSE (ash_pass_watch_is_slow (&watch, 16, 2.5));
  /* More ranks share the price of a look: less is enough for one. */
  for (int i = 0; i < 50; i++)
    ash_pass_watch_add_pause (&watch, &engine, 12, 76);
  CU_ASSERT_FALSE (ash_pass_watch_is_slow (&watch, 16, 1.2));
  CU_ASSERT (ash_pass_watch_is_slow (&watch, 64, 1.2));
  for (int i = 0; i < 50; i++)
    ash_pass_watch_add_pause (&watch, &engine, 12, 95);
  /* A look found no shift: only what is longer again is looked into. */
  ash_pass_watch_accept_ratio (&watch);
  CU_ASSERT_FALSE (ash_pass_watch_is_slow (&watch, 16, 1.2));
  for (int i = 0; i < 50; i++)
    ash_pass_watch_add_pause (&watch, &engine, 12, 130);
  CU_ASSERT (ash_pass_watch_is_slow (&watch, 16, 1.2));
  /* What was accepted holds no longer once passes were short in between. */
  for (int i = 0; i < 50; i++)
    ash_pass_watch_add_pause (&watch, &engine, 12, 60);
  for (int i = 0; i < 50; i++)
    ash_pass_watch_add_pause (&watch, &engine, 12, 95);
  CU_ASSERT (ash_pass_watch_is_slow (&watch, 16, 1.2));
}

void
add_expert_tests (CU_pSuite suite)
{
  CU_add_test (suite, "expert layers: moves, shifts", test_layers);
  CU_add_test (suite, "expert layers: groups of hundreds of ranks", test_large_groups);
  CU_add_test (suite, "expert layers: skew of many ranks", test_skew_of_many_ranks);
  CU_add_test (suite, "expert layers: a slow rank", test_slow_rank);
  CU_add_test (suite, "passes: streams that an engine bears", test_pass_streams);
  CU_add_test (suite, "maps: whether and how a change pays", test_change_plan);
  CU_add_test (suite, "maps: how long demand lasts", test_shift_times);
  CU_add_test (suite, "expert layers: passes too long", test_pass_watch);
}
