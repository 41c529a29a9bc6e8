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
#define SERVER_A_REVISION 1
#define SERVER_B_REVISION 2
#define CONFIG_REVISION 3

static void
store (const char *target)
{
  testbed_fetch (testbed.store_port, "PUT", target, "");
}

static void
start_in_era (void)
{
  testbed_start (&testbed);
  store ("/era?7");
  testbed_publish (&testbed);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
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
  testbed_call (&testbed, id, "/safe/x", action, "", &answer);
  return answer.status;
}

/* A key is taken away under a revision that had stood for something else, which the router had read
 * up to; by the time it asks again the store is past that. It asked from where it was on and missed
 * the change: the key worked on without end. */
static void
test_revision_reused (void)
{
  start_in_era ();
  for (int i = 0; i < 4; i++)
    store ("/put?op/other");
  fleet_sleep_ms (200);
  store ("/mode?silent");
  restore (CONFIG_REVISION);
  testbed.has_key = false;
  testbed_publish (&testbed);
  for (int i = 0; i < 6; i++)
    store ("/put?op/other");
  store ("/mode?ok");
  for (int i = 0; i < 100 && status_of ("given", NULL) != 401; i++)
    fleet_sleep_ms (30);
  CU_ASSERT_EQUAL (answer.status, 401);
  CU_ASSERT (testbed_logged (&testbed, 0, " store_era "));
  testbed_stop (&testbed);
}

/* The copy answer_has the configuration before the last one. */
static void
test_configuration_kept (void)
{
  start_in_era ();
  testbed.has_key = false;
  testbed_publish (&testbed);
  for (int i = 0; i < 100 && status_of ("stays", NULL) != 401; i++)
    fleet_sleep_ms (20);
  for (int twice = 0; twice < 2; twice++)
    {
      restore (CONFIG_REVISION);
      for (int i = 0; i < 20; i++)
        {
          CU_ASSERT_EQUAL (status_of ("stays", NULL), 401);
          fleet_sleep_ms (20);
        }
    }
  /* Written again as it was, it is the same; what comes after it is new. */
  testbed.version -= 3;
  testbed_publish (&testbed);
  testbed.has_key = true;
  testbed_publish (&testbed);
  for (int i = 0; i < 100 && status_of ("stays", NULL) != 200; i++)
    fleet_sleep_ms (20);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

/* A server that left since the copy stands in it as if it were ready. */
static void
test_removed_since_copy (void)
{
  start_in_era ();
  testbed_list_server (&testbed, 0, "draining");
  fleet_sleep_ms (300);
  restore (CONFIG_REVISION);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " store_era "));
  fleet_sleep_ms (300);
  for (int i = 0; i < 20; i++)
    {
      CU_ASSERT_EQUAL (status_of ("drained", NULL), 200);
      fleet_sleep_ms (10);
    }
  CU_ASSERT_PTR_NULL (strstr (server_log (0), "drained"));
  /* The other one left without a word. The first one's next life may be used. */
  kill (testbed.servers[0].pid, SIGKILL);
  while (!testbed_restart_servers (&testbed))
    fleet_sleep_ms (10);
  store ("/remove?servers/i-B1");
  fleet_sleep_ms (2500);
  restore (CONFIG_REVISION);
  testbed_list_server (&testbed, 0, "ready");
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
  testbed_stop (&testbed);
}

/* A server that came after the copy is missing in it until it writes its entry again. */
static void
test_missing_in_copy (void)
{
  start_in_era ();
  restore (SERVER_A_REVISION);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " store_era "));
  testbed_publish (&testbed);
  fleet_sleep_ms (300);
  CU_ASSERT_EQUAL (status_of ("missing", "A=shed"), 200);
  CU_ASSERT (answer_has ("seal-i-B1"));
  testbed_list_server (&testbed, 1, "ready");
  fleet_sleep_ms (3000);
  CU_ASSERT_EQUAL (status_of ("back", "A=shed"), 200);
  CU_ASSERT (answer_has ("seal-i-B1"));
  testbed_stop (&testbed);
}

/* What can't be read changes nothing; no header at all is the era before. */
static void
test_bad_era (void)
{
  static const char *const bad[] = { "x", "-1", "8%20", "8;9", "99999999999999999999", "0x8" };
  int begun;

  start_in_era ();
  /* A router whose first answer came before the store had an era answer_has seen that begin. */
  begun = testbed_count_logged (&testbed, 0, " store_era ");
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      char target[64];

      snprintf (target, sizeof target, "/era?%s", bad[i]);
      store (target);
      testbed_list_server (&testbed, 0, "ready");
      CU_ASSERT (testbed_wait_logged (&testbed, 0, "its era can't be read"));
      CU_ASSERT_EQUAL (status_of ("bad", NULL), 200);
    }
  store ("/era?");
  testbed.has_key = false;
  testbed_publish (&testbed);
  for (int i = 0; i < 100 && status_of ("none", NULL) != 401; i++)
    fleet_sleep_ms (20);
  CU_ASSERT_EQUAL (answer.status, 401);
  CU_ASSERT_EQUAL (testbed_count_logged (&testbed, 0, " store_era "), begun);
  testbed_stop (&testbed);
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
  kill (testbed.routers[0].pid, SIGSTOP);
  restore (CONFIG_REVISION);
  testbed_list_server (&testbed, 0, "draining");
  testbed_start_router (&testbed, 1);
  CU_ASSERT (testbed_wait_ready (&testbed, 1, true));
  kill (testbed.routers[0].pid, SIGCONT);
  fleet_sleep_ms (1500);
  for (int i = 0; i < 10; i++)
    for (int r = 0; r < 2; r++)
      {
        testbed_call_at (&testbed, r, "two", "/safe/x", NULL, "", &answer);
        CU_ASSERT_EQUAL (answer.status, 200);
      }
  CU_ASSERT_PTR_NULL (strstr (server_log (0), "two"));
  testbed_stop (&testbed);
}

const struct fault_test router_era_tests[] = {
  { "older copy: a revision given out again", test_revision_reused },
  { "older copy: the configuration stays", test_configuration_kept },
  { "older copy: servers that left since", test_removed_since_copy },
  { "older copy: a server that it lacks", test_missing_in_copy },
  { "older copy: an era that can't be read", test_bad_era },
  { "older copy: routers of two eras", test_routers_of_two_eras },
  { NULL, NULL },
};
