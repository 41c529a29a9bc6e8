/**
 * @file
 * Unit tests of evacuated halls, stalled groups and cold endpoints.
 */
#include "common/id.h"
#include "controllers/direct.h"
#include "controllers/store_position.h"
#include "filters/forward.h"
#include "test/unit.h"

#include <string.h>

#define LAPSE_MS 2000

static struct ash_time
at (int64_t ms)
{
  return (struct ash_time){ ms };
}

/* ---- orders ---- */

/* The newest report of a hall counts, in whatever order reports arrive. */
static void
test_orders_by_position (void)
{
  struct ash_evacuations evacuations = { 0 };
  struct ash_evacuations other = { 0 };

  CU_ASSERT_EQUAL (ash_evacuations_digest (&evacuations), 0);
  CU_ASSERT_EQUAL (ash_evacuations_set (&evacuations, "a", 5, true), ASH_EVACUATIONS_CHANGED);
  CU_ASSERT_EQUAL (ash_evacuations_set (&evacuations, "a", 5, true), ASH_EVACUATIONS_UNCHANGED);
  CU_ASSERT_EQUAL (ash_evacuations_set (&evacuations, "a", 9, false), ASH_EVACUATIONS_CHANGED);
  /* A peer that lacks the withdrawal still reports the order. */
  CU_ASSERT_EQUAL (ash_evacuations_set (&evacuations, "a", 5, true), ASH_EVACUATIONS_UNCHANGED);
  CU_ASSERT_FALSE (ash_evacuations_include (&evacuations, "a"));
  CU_ASSERT_EQUAL (ash_evacuations_set (&evacuations, "a", 11, true), ASH_EVACUATIONS_CHANGED);
  CU_ASSERT_EQUAL (ash_evacuations_set (&evacuations, "b", 12, true), ASH_EVACUATIONS_CHANGED);
  CU_ASSERT (ash_evacuations_include (&evacuations, "a"));
  CU_ASSERT_FALSE (ash_evacuations_include (&evacuations, "c"));
  /* The withdrawal comes before the order that it withdraws. */
  ash_evacuations_set (&other, "b", 12, true);
  ash_evacuations_set (&other, "a", 9, false);
  ash_evacuations_set (&other, "a", 5, true);
  CU_ASSERT_FALSE (ash_evacuations_include (&other, "a"));
  CU_ASSERT_NOT_EQUAL (ash_evacuations_digest (&other), ash_evacuations_digest (&evacuations));
  ash_evacuations_set (&other, "a", 11, true);
  CU_ASSERT_EQUAL (ash_evacuations_digest (&other), ash_evacuations_digest (&evacuations));
}

static void
test_orders_bounded (void)
{
  struct ash_evacuations evacuations = { 0 };
  char name[ASH_EVACUATIONS_NAME_BYTES + 1];

  memset (name, 'x', sizeof name);
  name[ASH_EVACUATIONS_NAME_BYTES] = '\0';
  CU_ASSERT_EQUAL (ash_evacuations_set (&evacuations, name, 1, true), ASH_EVACUATIONS_REFUSED);
  CU_ASSERT_EQUAL (ash_evacuations_set (&evacuations, "", 1, true), ASH_EVACUATIONS_REFUSED);
  for (int i = 0; i < ASH_EVACUATIONS_MAX; i++)
    {
      snprintf (name, sizeof name, "h%d", i);
      CU_ASSERT_EQUAL (ash_evacuations_set (&evacuations, name, 1, true), ASH_EVACUATIONS_CHANGED);
    }
  CU_ASSERT_EQUAL (ash_evacuations_set (&evacuations, "h", 1, true), ASH_EVACUATIONS_REFUSED);
  CU_ASSERT (ash_evacuations_include (&evacuations, "h0"));
}

/* Ends a listing that has the order for no hall. */
static void
end_empty_listing (struct ash_evacuations *evacuations, int64_t now_ms, uint64_t position)
{
  ash_evacuations_end_listing (evacuations, at (now_ms), 2, position, LAPSE_MS);
}

/* The store's history is gone, and with it the event of a withdrawal: a complete listing lacks the
 * order. */
static void
test_orders_unlisted (void)
{
  struct ash_evacuations evacuations = { 0 };

  ash_evacuations_set (&evacuations, "a", 5, true);
  ash_evacuations_set (&evacuations, "b", 20, true);
  ash_evacuations_set (&evacuations, "c", 6, true);
  ash_evacuations_find (&evacuations, "c")->listing_id = 2;
  end_empty_listing (&evacuations, 100, 10);
  CU_ASSERT_STRING_EQUAL (ash_evacuations_pop_withdrawn (&evacuations, at (100))->hall, "a");
  CU_ASSERT_PTR_NULL (ash_evacuations_pop_withdrawn (&evacuations, at (100)));
  CU_ASSERT_FALSE (ash_evacuations_include (&evacuations, "a"));
  /* This order is newer than the listing. */
  CU_ASSERT (ash_evacuations_include (&evacuations, "b"));
  CU_ASSERT (ash_evacuations_include (&evacuations, "c"));
  /* The order is older than the listing that lacked it. */
  CU_ASSERT_EQUAL (ash_evacuations_set (&evacuations, "a", 7, true), ASH_EVACUATIONS_UNCHANGED);
}

/* A store that is restored from an older copy lacks an order until it is written again. */
static void
test_orders_restored (void)
{
  struct ash_evacuations evacuations = { 0 };

  ash_evacuations_set (&evacuations, "a", ash_store_position (3, 500), true);
  end_empty_listing (&evacuations, 100, ash_store_position (4, 490));
  CU_ASSERT_PTR_NULL (ash_evacuations_pop_withdrawn (&evacuations, at (100 + LAPSE_MS - 1)));
  ash_evacuations_set (&evacuations, "a", ash_store_position (4, 491), true);
  CU_ASSERT_PTR_NULL (ash_evacuations_pop_withdrawn (&evacuations, at (100 + LAPSE_MS)));
  CU_ASSERT (ash_evacuations_include (&evacuations, "a"));
  /* It is not written again: it had been withdrawn. */
  end_empty_listing (&evacuations, 200, ash_store_position (5, 490));
  CU_ASSERT_PTR_NOT_NULL (ash_evacuations_pop_withdrawn (&evacuations, at (200 + LAPSE_MS)));
  CU_ASSERT_FALSE (ash_evacuations_include (&evacuations, "a"));
}

#define ROUTERS 5
#define WRITES 40
#define STEPS_MAX 400

/* @return whether all routers have the same orders, and these are the last written ones. */
static bool
all_agree (struct ash_evacuations routers[ROUTERS], const bool last[2])
{
  static const char *const halls[] = { "a", "b" };
  bool agree = true;

  for (int r = 0; r < ROUTERS; r++)
    {
      agree = agree && ash_evacuations_digest (&routers[r]) == ash_evacuations_digest (&routers[0]);
      for (int h = 0; h < 2; h++)
        agree = agree && ash_evacuations_include (&routers[r], halls[h]) == last[h];
    }
  return agree;
}

static void
send_all (const struct ash_evacuations *from, struct ash_evacuations *to)
{
  for (uint32_t i = 0; i < from->count; i++)
    ash_evacuations_set (to, from->halls[i].hall, from->halls[i].position, from->halls[i].ordered);
}

/* Orders for two halls are given and withdrawn in quick succession while routers are cut off: each
 * write reaches a random router, or none, and random pairs exchange what they have. Once the last
 * writes have reached one router and all have exchanged, all have them. */
static void
test_orders_converge (void)
{
  static const char *const halls[] = { "a", "b" };

  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      struct ash_evacuations routers[ROUTERS] = { 0 };
      uint64_t position[2] = { 0 };
      bool last[2] = { false };
      struct ash_random random;
      uint64_t revision = 0;

      ash_random_init (&random, seed);
      for (int step = 0; step < STEPS_MAX; step++)
        {
          uint32_t hall = ash_random_below (&random, 2);

          if (ash_random_below (&random, STEPS_MAX / WRITES) == 0)
            {
              last[hall] = !last[hall];
              position[hall] = ++revision;
              ash_evacuations_set (&routers[ash_random_below (&random, ROUTERS)], halls[hall],
                                   revision, last[hall]);
            }
          send_all (&routers[ash_random_below (&random, ROUTERS)],
                    &routers[ash_random_below (&random, ROUTERS)]);
        }
      for (int hall = 0; hall < 2; hall++)
        if (position[hall])
          ash_evacuations_set (&routers[0], halls[hall], position[hall], last[hall]);
      for (int r = 1; r < ROUTERS; r++)
        {
          send_all (&routers[r], &routers[0]);
          send_all (&routers[0], &routers[r]);
        }
      CU_ASSERT (all_agree (routers, last));
    }
}

/* ---- endpoints ---- */

static const struct ash_direct_criteria criteria = { .service = "s", .hall = "a", .cap = 8 };

static struct ash_direct_endpoint *
add_endpoint (struct ash_direct_set *set, const char *id, const char *hall)
{
  struct ash_direct_facts facts = { .service = "s", .slots = 8 };

  snprintf (facts.id, sizeof facts.id, "%s", id);
  snprintf (facts.hall, sizeof facts.hall, "%s", hall);
  snprintf (facts.address, sizeof facts.address, "1.2.3.4:%s", id);
  ash_direct_update (set, &facts);
  return ash_direct_find (set, id);
}

static void
test_hall_gets_nothing (void)
{
  struct ash_direct_endpoint *chosen;
  struct ash_direct_set set;

  ash_direct_init (&set, 1);
  add_endpoint (&set, "1", "a");
  ash_evacuations_set (&set.evacuations, "a", 1, true);
  ash_direct_apply_evacuations (&set);
  CU_ASSERT_EQUAL (ash_direct_choose (&set, at (0), &criteria, &chosen), ASH_DIRECT_NONE);
  CU_ASSERT_EQUAL (ash_direct_count (&set, "s"), 0);
  /* An endpoint that is added to the hall later gets nothing either. */
  add_endpoint (&set, "2", "a");
  CU_ASSERT_EQUAL (ash_direct_choose (&set, at (0), &criteria, &chosen), ASH_DIRECT_NONE);
  add_endpoint (&set, "3", "b");
  CU_ASSERT_EQUAL (ash_direct_choose (&set, at (0), &criteria, &chosen), ASH_DIRECT_CHOSEN);
  CU_ASSERT_STRING_EQUAL (chosen->facts.id, "3");
  ash_evacuations_set (&set.evacuations, "a", 2, false);
  ash_direct_apply_evacuations (&set);
  CU_ASSERT_EQUAL (ash_direct_count (&set, "s"), 3);
  ash_direct_finish (&set);
}

/* An endpoint that is listed in another hall is usable again, and that counts as a change: requests
 * that wait are tried at once. */
static void
test_endpoint_changes_hall (void)
{
  struct ash_direct_endpoint *endpoint;
  struct ash_direct_facts facts;
  struct ash_direct_set set;

  ash_direct_init (&set, 1);
  endpoint = add_endpoint (&set, "1", "a");
  ash_evacuations_set (&set.evacuations, "a", 1, true);
  ash_direct_apply_evacuations (&set);
  facts = endpoint->facts;
  CU_ASSERT_FALSE (ash_direct_update (&set, &facts));
  CU_ASSERT_EQUAL (ash_direct_count (&set, "s"), 0);
  snprintf (facts.hall, sizeof facts.hall, "b");
  CU_ASSERT (ash_direct_update (&set, &facts));
  CU_ASSERT_EQUAL (ash_direct_count (&set, "s"), 1);
  ash_direct_finish (&set);
}

/* Callers of a service whose last endpoints stand in an evacuated hall would return in vain within
 * a second. Where endpoints are gone, new ones may be listed at any moment. */
static void
test_return_after_evacuation (void)
{
  struct ash_direct_set set;
  struct ash_resend_window window = { 0 };
  struct ash_forward_context context = { .endpoints = &set, .window = &window, .entries = 1 };
  struct ash_forward forward = {
    .servers_max = 1, .service = "s", .cap = 8, .arrived = at (0), .deadline = at (8000)
  };
  struct ash_forward_decision decision;

  ash_direct_init (&set, 1);
  decision = ash_forward_next (&forward, &context, at (0));
  CU_ASSERT_EQUAL_FATAL (decision.action, ASH_FORWARD_ANSWER);
  CU_ASSERT (decision.answer.retry_after_ms <= 1000);
  add_endpoint (&set, "1", "a");
  ash_evacuations_set (&set.evacuations, "a", 1, true);
  ash_direct_apply_evacuations (&set);
  decision = ash_forward_next (&forward, &context, at (0));
  CU_ASSERT_EQUAL_FATAL (decision.action, ASH_FORWARD_ANSWER);
  CU_ASSERT (decision.answer.retry_after_ms >= 5000);
  ash_direct_finish (&set);
}

/* Endpoints of a stalled group are passed over, whatever their load; they are tried if there are no
 * others. */
static void
test_stalled_group (void)
{
  struct ash_direct_endpoint *chosen;
  struct ash_direct_endpoint *stalled;
  struct ash_direct_set set;

  ash_direct_init (&set, 1);
  stalled = add_endpoint (&set, "1", "a");
  ash_direct_set_stalled (stalled, at (0), 1500);
  CU_ASSERT_EQUAL (ash_direct_choose (&set, at (100), &criteria, &chosen), ASH_DIRECT_CHOSEN);
  CU_ASSERT_STRING_EQUAL (chosen->facts.id, "1");
  add_endpoint (&set, "2", "b")->in_flight = 5;
  CU_ASSERT_EQUAL (ash_direct_choose (&set, at (100), &criteria, &chosen), ASH_DIRECT_CHOSEN);
  CU_ASSERT_STRING_EQUAL (chosen->facts.id, "2");
  /* Nobody reports it as stalled any more. */
  CU_ASSERT_EQUAL (ash_direct_choose (&set, at (1600), &criteria, &chosen), ASH_DIRECT_CHOSEN);
  CU_ASSERT_STRING_EQUAL (chosen->facts.id, "1");
  ash_direct_set_stalled (stalled, at (1600), 1500);
  ash_direct_set_stalled (stalled, at (1700), 0);
  CU_ASSERT_EQUAL (ash_direct_choose (&set, at (1700), &criteria, &chosen), ASH_DIRECT_CHOSEN);
  CU_ASSERT_STRING_EQUAL (chosen->facts.id, "1");
  ash_direct_find (&set, "2")->in_flight = 0;
  ash_direct_finish (&set);
}

/* ---- cold endpoints ---- */

#define ROUTERS_MAX 300
#define STEP_MS 10
#define WINDOW_STEPS 100
#define COLD_STEPS 600

static const struct ash_cold_rate cold_rate = { .per_s = 26, .overrun = 1.5, .slack = 5 };

/* Most requests that a cold endpoint may get in one second. */
#define COLD_MAX 44
/* The fraction of the rate that must be used if there is enough demand. */
#define COLD_MIN_UTILIZATION 0.8

static uint64_t
hash_of (uint32_t router)
{
  return ash_hash_bytes (&router, sizeof router);
}

/* Assigns the share of router @p own, which is linked to all others but @p unseen. */
static void
assign_share (struct ash_cold_start *cold, uint32_t own, uint32_t routers, uint32_t unseen)
{
  struct ash_rate_split split = ash_cold_start_split (&cold_rate);
  uint32_t count = 0;
  uint32_t before = 0;

  for (uint32_t i = 0; i < routers; i++)
    if (i == own || i != unseen)
      {
        count++;
        before += ash_rate_limit_order (1, hash_of (i)) < ash_rate_limit_order (1, hash_of (own));
      }
  ash_rate_limit_assign (&cold->share, at (0), &split, 1, count, before);
}

/* Simulates routers that each have more demand than a cold endpoint accepts.
 * @param sees_all false: each router knows all routers but one. */
static void
simulate_cold (uint32_t routers, bool sees_all)
{
  static struct ash_cold_start cold[ROUTERS_MAX];
  uint32_t sent[COLD_STEPS] = { 0 };
  uint32_t window = 0;
  uint32_t total = 0;

  for (uint32_t i = 0; i < routers; i++)
    {
      cold[i] = (struct ash_cold_start){ 0 };
      CU_ASSERT (
          ash_cold_start_report (&cold[i], at (0), (int64_t) COLD_STEPS * STEP_MS, &cold_rate));
      assign_share (&cold[i], i, routers, sees_all ? UINT32_MAX : (i + 1) % routers);
    }
  for (uint32_t n = 0; n < COLD_STEPS; n++)
    {
      struct ash_time now = at ((int64_t) n * STEP_MS);

      for (uint32_t i = 0; i < routers; i++)
        if (!ash_cold_start_wait_ms (&cold[i], now))
          {
            ash_cold_start_spend (&cold[i], now);
            sent[n]++;
          }
      total += sent[n];
      window += sent[n] - (n >= WINDOW_STEPS ? sent[n - WINDOW_STEPS] : 0);
      CU_ASSERT (window <= COLD_MAX);
    }
  CU_ASSERT (total >= COLD_MIN_UTILIZATION * cold_rate.per_s * COLD_STEPS * STEP_MS / 1000);
}

static void
test_cold_fleets (void)
{
  static const uint32_t sizes[] = { 1, 2, 7, 38, ROUTERS_MAX };

  for (uint32_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      simulate_cold (sizes[i], true);
      if (sizes[i] > 2)
        simulate_cold (sizes[i], false);
    }
}

/* Parts of a fleet that are cut off from each other must not each use the whole rate. */
static void
test_cold_isolated (void)
{
  CU_ASSERT_FALSE (ash_cold_start_may_share (100, 32, 32));
  CU_ASSERT (ash_cold_start_may_share (10000, 32, 32));
  CU_ASSERT (ash_cold_start_may_share (10000, 17, 32));
  CU_ASSERT_FALSE (ash_cold_start_may_share (10000, 16, 32));
  CU_ASSERT (ash_cold_start_may_share (10000, 1, 1));
}

static void
test_cold_reports (void)
{
  static const struct ash_cold_rate unlimited = { 0 };
  struct ash_cold_start cold = { 0 };

  CU_ASSERT_EQUAL (ash_cold_start_wait_ms (&cold, at (0)), 0);
  CU_ASSERT_FALSE (ash_cold_start_report (&cold, at (0), 3000, &unlimited));
  CU_ASSERT_EQUAL (ash_cold_start_wait_ms (&cold, at (0)), 0);
  CU_ASSERT (ash_cold_start_report (&cold, at (0), 3000, &cold_rate));
  /* Nothing is sent before the rate has been split, at most until the endpoint is warm. */
  CU_ASSERT_EQUAL (ash_cold_start_wait_ms (&cold, at (1000)), 2000);
  CU_ASSERT_FALSE (ash_cold_start_report (&cold, at (1000), 500, &cold_rate));
  CU_ASSERT_EQUAL (ash_cold_start_left_ms (&cold, at (1000)), 500);
  CU_ASSERT_EQUAL (ash_cold_start_wait_ms (&cold, at (1500)), 0);
  CU_ASSERT (ash_cold_start_report (&cold, at (2000), 3000, &cold_rate));
  CU_ASSERT (ash_cold_start_report (&cold, at (2100), 0, &cold_rate));
  CU_ASSERT_EQUAL (ash_cold_start_wait_ms (&cold, at (2100)), 0);
}

/* Requests for which no router has a share left go to warm endpoints; if there are none, the
 * caller is told when one will be warm. */
static void
test_cold_endpoint_passed_over (void)
{
  struct ash_direct_endpoint *chosen;
  struct ash_direct_endpoint *cold;
  struct ash_direct_endpoint *warm;
  struct ash_direct_set set;

  ash_direct_init (&set, 1);
  cold = add_endpoint (&set, "1", "a");
  warm = add_endpoint (&set, "2", "a");
  warm->in_flight = 6;
  ash_cold_start_report (&cold->cold, at (0), 3000, &cold_rate);
  CU_ASSERT_EQUAL (ash_direct_choose (&set, at (0), &criteria, &chosen), ASH_DIRECT_CHOSEN);
  CU_ASSERT_PTR_EQUAL (chosen, warm);
  warm->in_flight = criteria.cap;
  CU_ASSERT_EQUAL (ash_direct_choose (&set, at (0), &criteria, &chosen), ASH_DIRECT_THROTTLED);
  CU_ASSERT_EQUAL (ash_direct_wait_ms (&set, at (0), &criteria), 3000);
  CU_ASSERT_EQUAL (ash_direct_choose (&set, at (3000), &criteria, &chosen), ASH_DIRECT_CHOSEN);
  CU_ASSERT_PTR_EQUAL (chosen, cold);
  warm->in_flight = 0;
  ash_direct_finish (&set);
}

void
add_evacuation_tests (CU_pSuite suite)
{
  CU_add_test (suite, "evacuations: the newest report counts", test_orders_by_position);
  CU_add_test (suite, "evacuations: bounded", test_orders_bounded);
  CU_add_test (suite, "evacuations: missing from a listing", test_orders_unlisted);
  CU_add_test (suite, "evacuations: missing from a restored store", test_orders_restored);
  CU_add_test (suite, "evacuations: routers that were parted agree", test_orders_converge);
  CU_add_test (suite, "evacuations: endpoints of the hall get nothing", test_hall_gets_nothing);
  CU_add_test (suite, "evacuations: an endpoint changes its hall", test_endpoint_changes_hall);
  CU_add_test (suite, "evacuations: when callers may return", test_return_after_evacuation);
  CU_add_test (suite, "stalled groups: other endpoints come first", test_stalled_group);
  CU_add_test (suite, "cold: a fleet of any size keeps to the rate, and uses it", test_cold_fleets);
  CU_add_test (suite, "cold: isolated routers send nothing", test_cold_isolated);
  CU_add_test (suite, "cold: the newest report counts", test_cold_reports);
  CU_add_test (suite, "cold: other endpoints come first", test_cold_endpoint_passed_over);
}
