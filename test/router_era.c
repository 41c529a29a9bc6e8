/**
 * @file
 * A store that comes back from an older copy: revisions go back and are given out again with other
 * contents, its era rises, and what was written since the copy is gone until it is written again.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* What the stand-in's revisions are once start() is through: two servers, one configuration. */
#define LISTED_ONE 1
#define LISTED_TWO 2
#define PUBLISHED 3

static void
store (const char *target)
{
  world_get (world.store_port, "PUT", target, "");
}

static void
start_in_era (void)
{
  world_start (&world);
  store ("/era?7");
  world_publish (&world);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true));
  /* The era is known before anything goes wrong. */
  fleet_sleep_ms (1100);
}

static void
restore (int revision)
{
  char target[32];

  snprintf (target, sizeof target, "/restore?%d", revision);
  store (target);
}

static int
status_of (const char *id, const char *action)
{
  world_call (&world, id, "/safe/x", action, "", &answer);
  return answer.status;
}

/* A key is taken away under a revision that had stood for something else, which the router had read
 * up to; by the time it asks again the store is past that. It asked from where it was on and missed
 * the change: the key worked on without end. */
static void
test_revision_given_again (void)
{
  start_in_era ();
  for (int i = 0; i < 4; i++)
    store ("/put?op/other");
  fleet_sleep_ms (200);
  store ("/mode?silent");
  restore (PUBLISHED);
  world.has_key = false;
  world_publish (&world);
  for (int i = 0; i < 6; i++)
    store ("/put?op/other");
  store ("/mode?ok");
  for (int i = 0; i < 100 && status_of ("given", NULL) != 401; i++)
    fleet_sleep_ms (30);
  CU_ASSERT_EQUAL (answer.status, 401);
  CU_ASSERT (world_logged (&world, 0, " store_era "));
  world_stop (&world);
}

/* The copy has the configuration before the last one. */
static void
test_configuration_stays (void)
{
  start_in_era ();
  world.has_key = false;
  world_publish (&world);
  for (int i = 0; i < 100 && status_of ("stays", NULL) != 401; i++)
    fleet_sleep_ms (20);
  for (int twice = 0; twice < 2; twice++)
    {
      restore (PUBLISHED);
      for (int i = 0; i < 20; i++)
        {
          CU_ASSERT_EQUAL (status_of ("stays", NULL), 401);
          fleet_sleep_ms (20);
        }
    }
  /* Written again as it was, it is the same; what comes after it is new. */
  world.version -= 3;
  world_publish (&world);
  world.has_key = true;
  world_publish (&world);
  for (int i = 0; i < 100 && status_of ("stays", NULL) != 200; i++)
    fleet_sleep_ms (20);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_stop (&world);
}

/* A server that left since the copy stands in it as if it were ready. */
static void
test_left_since (void)
{
  start_in_era ();
  world_list (&world, 0, "draining");
  fleet_sleep_ms (300);
  restore (PUBLISHED);
  CU_ASSERT (world_wait_logged (&world, 0, " store_era "));
  fleet_sleep_ms (300);
  for (int i = 0; i < 20; i++)
    {
      CU_ASSERT_EQUAL (status_of ("drained", NULL), 200);
      fleet_sleep_ms (10);
    }
  CU_ASSERT_PTR_NULL (strstr (server_log (0), "drained"));
  /* The other one left without a word. The first one's next life may be used. */
  kill (world.servers[0].pid, SIGKILL);
  while (!world_revive (&world))
    fleet_sleep_ms (10);
  store ("/remove?servers/i-B1");
  fleet_sleep_ms (2500);
  restore (PUBLISHED);
  world_list (&world, 0, "ready");
  fleet_sleep_ms (300);
  for (int i = 0; i < 20; i++)
    {
      CU_ASSERT_EQUAL (status_of ("removed", NULL), 200);
      fleet_sleep_ms (10);
    }
  CU_ASSERT_PTR_NULL (strstr (server_log (1), "removed"));
  /* One that is listed on and on lives after all. */
  for (int i = 0; i < 400 && !strstr (server_log (1), "lives"); i++)
    {
      status_of ("lives", NULL);
      fleet_sleep_ms (20);
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (server_log (1), "lives"));
  world_stop (&world);
}

/* A server that came after the copy is missing in it until it writes its entry again. */
static void
test_missing_in_copy (void)
{
  start_in_era ();
  restore (LISTED_ONE);
  CU_ASSERT (world_wait_logged (&world, 0, " store_era "));
  world_publish (&world);
  fleet_sleep_ms (300);
  CU_ASSERT_EQUAL (status_of ("missing", "A=shed"), 200);
  CU_ASSERT (has ("seal-i-B1"));
  world_list (&world, 1, "ready");
  fleet_sleep_ms (3000);
  CU_ASSERT_EQUAL (status_of ("back", "A=shed"), 200);
  CU_ASSERT (has ("seal-i-B1"));
  world_stop (&world);
}

/* What can't be read changes nothing; no header at all is the era before. */
static void
test_bad_era (void)
{
  static const char *const bad[] = { "x", "-1", "8%20", "8;9", "99999999999999999999", "0x8" };
  int begun;

  start_in_era ();
  /* A router whose first answer came before the store had an era has seen that begin. */
  begun = world_count_logged (&world, 0, " store_era ");
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      char target[64];

      snprintf (target, sizeof target, "/era?%s", bad[i]);
      store (target);
      world_list (&world, 0, "ready");
      CU_ASSERT (world_wait_logged (&world, 0, "its era can't be read"));
      CU_ASSERT_EQUAL (status_of ("bad", NULL), 200);
    }
  store ("/era?");
  world.has_key = false;
  world_publish (&world);
  for (int i = 0; i < 100 && status_of ("none", NULL) != 401; i++)
    fleet_sleep_ms (20);
  CU_ASSERT_EQUAL (answer.status, 401);
  CU_ASSERT_EQUAL (world_count_logged (&world, 0, " store_era "), begun);
  world_stop (&world);
}

/* One router asks the store in the former era's time, another starts in the new one: what they tell
 * each other is ordered by the era. */
static void
test_routers_of_two_eras (void)
{
  start_in_era ();
  for (int i = 0; i < 20; i++)
    store ("/put?servers/none");
  fleet_sleep_ms (300);
  /* The first router is away while the store comes back. */
  kill (world.routers[0].pid, SIGSTOP);
  restore (PUBLISHED);
  world_list (&world, 0, "draining");
  world_start_router (&world, 1);
  CU_ASSERT (world_wait_ready (&world, 1, true));
  kill (world.routers[0].pid, SIGCONT);
  fleet_sleep_ms (1500);
  for (int i = 0; i < 10; i++)
    for (int r = 0; r < 2; r++)
      {
        world_call_at (&world, r, "two", "/safe/x", NULL, "", &answer);
        CU_ASSERT_EQUAL (answer.status, 200);
      }
  CU_ASSERT_PTR_NULL (strstr (server_log (0), "two"));
  world_stop (&world);
}

const struct fault_test router_era_tests[] = {
  { "older copy: a revision given out again", test_revision_given_again },
  { "older copy: the configuration stays", test_configuration_stays },
  { "older copy: servers that left since", test_left_since },
  { "older copy: a server that it lacks", test_missing_in_copy },
  { "older copy: an era that can't be read", test_bad_era },
  { "older copy: routers of two eras", test_routers_of_two_eras },
  { NULL, NULL },
};
