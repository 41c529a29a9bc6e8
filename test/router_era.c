/**
 * @file
 * The store is restored from an older copy: its revisions go back and are reused for other
 * contents, its era increases, and what was written after the copy is missing until it is written
 * again.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Revisions of the stand-in store after start(): two servers are listed, then the configuration is
 * published. */
#define SERVER_A_REVISION 1
#define SERVER_B_REVISION 2
#define CONFIG_REVISION 3

static void
control_store (const char *target)
{
  testbed_fetch (testbed.store_port, "PUT", target, "");
}

static void
start_in_era (void)
{
  testbed_start (&testbed);
  control_store ("/era?7");
  testbed_publish (&testbed);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
  /* Wait until the router has learned the era. */
  fleet_sleep_ms (1100);
}

static void
restore (int revision)
{
  char target[32];

  snprintf (target, sizeof target, "/restore?%d", revision);
  control_store (target);
}

static int
status_of (const char *id, const char *action)
{
  testbed_call (&testbed, id, "/safe/x", action, "", &answer);
  return answer.status;
}

/* A key is revoked at a revision number that the router had already read with other contents. When
 * the router polls again, the store is past that revision; polling on from its old position, the
 * router missed the change and kept accepting the key. */
static void
test_revision_reused (void)
{
  start_in_era ();
  for (int i = 0; i < 4; i++)
    control_store ("/put?op/other");
  fleet_sleep_ms (200);
  control_store ("/mode?silent");
  restore (CONFIG_REVISION);
  testbed.has_key = false;
  testbed_publish (&testbed);
  for (int i = 0; i < 6; i++)
    control_store ("/put?op/other");
  control_store ("/mode?ok");
  for (int i = 0; i < 100 && status_of ("given", NULL) != 401; i++)
    fleet_sleep_ms (30);
  CU_ASSERT_EQUAL (answer.status, 401);
  CU_ASSERT (testbed_logged (&testbed, 0, " store_era "));
  testbed_stop (&testbed);
}

/* The copy contains the previous configuration, which must not become active again. */
static void
test_configuration_kept (void)
{
  start_in_era ();
  testbed.has_key = false;
  testbed_publish (&testbed);
  for (int i = 0; i < 100 && status_of ("stays", NULL) != 401; i++)
    fleet_sleep_ms (20);
  for (int round = 0; round < 2; round++)
    {
      restore (CONFIG_REVISION);
      for (int i = 0; i < 20; i++)
        {
          CU_ASSERT_EQUAL (status_of ("stays", NULL), 401);
          fleet_sleep_ms (20);
        }
    }
  /* The configuration is written again with the same version and contents, then a newer one, which
   * becomes active. */
  testbed.version -= 3;
  testbed_publish (&testbed);
  testbed.has_key = true;
  testbed_publish (&testbed);
  for (int i = 0; i < 100 && status_of ("stays", NULL) != 200; i++)
    fleet_sleep_ms (20);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

/* The copy lists a server as ready that was drained or removed after the copy. The router must not
 * use it. */
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
  /* The other server is removed without draining first. The first server's next incarnation may be
   * used. */
  kill (testbed.servers[0].pid, SIGKILL);
  while (!testbed_restart_servers (&testbed))
    fleet_sleep_ms (10);
  control_store ("/remove?servers/i-B1");
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
  /* A server that keeps being listed after the restore is used again after some time. */
  for (int i = 0; i < 400 && !strstr (server_log (1), "lives"); i++)
    {
      status_of ("lives", NULL);
      fleet_sleep_ms (20);
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (server_log (1), "lives"));
  testbed_stop (&testbed);
}

/* A server that was added after the copy is missing in it until it writes its entry again. It stays
 * in use. */
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

/* An invalid era is ignored; an answer without the Store-Era header belongs to the current era. */
static void
test_bad_era (void)
{
  static const char *const bad[] = { "x", "-1", "8%20", "8;9", "99999999999999999999", "0x8" };
  int era_changes;

  start_in_era ();
  /* The router may have logged the first era if its first answer came before the store had one. */
  era_changes = testbed_count_logged (&testbed, 0, " store_era ");
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      char target[64];

      snprintf (target, sizeof target, "/era?%s", bad[i]);
      control_store (target);
      testbed_list_server (&testbed, 0, "ready");
      CU_ASSERT (testbed_wait_logged (&testbed, 0, "its era can't be read"));
      CU_ASSERT_EQUAL (status_of ("bad", NULL), 200);
    }
  control_store ("/era?");
  testbed.has_key = false;
  testbed_publish (&testbed);
  for (int i = 0; i < 100 && status_of ("none", NULL) != 401; i++)
    fleet_sleep_ms (20);
  CU_ASSERT_EQUAL (answer.status, 401);
  CU_ASSERT_EQUAL (testbed_count_logged (&testbed, 0, " store_era "), era_changes);
  testbed_stop (&testbed);
}

/* One router still reads the former era, another one starts in the new era: what they send each
 * other is ordered by era. */
static void
test_routers_of_two_eras (void)
{
  start_in_era ();
  for (int i = 0; i < 20; i++)
    control_store ("/put?servers/none");
  fleet_sleep_ms (300);
  /* The first router is stopped while the store is restored. */
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
