/**
 * @file
 * Unit tests of evacuated halls.
 */
#include "controllers/direct.h"
#include "controllers/store_position.h"
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

void
add_evacuation_tests (CU_pSuite suite)
{
  CU_add_test (suite, "evacuations: the newest report counts", test_orders_by_position);
  CU_add_test (suite, "evacuations: bounded", test_orders_bounded);
  CU_add_test (suite, "evacuations: missing from a listing", test_orders_unlisted);
  CU_add_test (suite, "evacuations: missing from a restored store", test_orders_restored);
  CU_add_test (suite, "evacuations: routers that were parted agree", test_orders_converge);
  CU_add_test (suite, "evacuations: endpoints of the hall get nothing", test_hall_gets_nothing);
}
