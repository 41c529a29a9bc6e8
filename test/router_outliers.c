/**
 * @file
 * Routers tell each other which endpoints fail requests.
 *
 * The failure: an endpoint that resets each connection has the least load, so each router of a
 * fleet sent it its next requests, until it had found out for itself.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>

/* Half of the two servers may be left out. */
#define OUTLIER_SETTINGS "grace_s = 3\noutlier_part = 0.5"

#define CALLS_MAX 50

static void
start_two_halls (const char *second_hall)
{
  start ();
  testbed.grace = OUTLIER_SETTINGS;
  testbed.odd_hall = second_hall;
  restart_router ();
  testbed_start_router (&testbed, 1);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 1, true));
  CU_ASSERT (testbed_wait_logged (&testbed, 1, " link_up "));
}

/* Calls router @p r until it has sent a request to server A, which resets the connection. */
static void
fail_at (int r)
{
  char id[24];

  for (int i = 0; i < CALLS_MAX && !testbed_logged (&testbed, r, " endpoint_passed "); i++)
    {
      snprintf (id, sizeof id, "fail-%d-%d", r, i);
      testbed_call_at (&testbed, r, id, "/safe/x", "A=reset B=ok", "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  CU_ASSERT (testbed_logged (&testbed, r, " endpoint_passed "));
}

/* Routers of two halls see the endpoint fail: both leave it out. The first answer at one of them
 * brings it back at the other. */
static void
test_two_halls (void)
{
  char id[24];

  start_two_halls ("hall-b");
  fail_at (0);
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " endpoint_out "));
  fail_at (1);
  CU_ASSERT (testbed_wait_logged (&testbed, 1, " endpoint_out "));
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " endpoint_out "));
  for (int i = 0; i < CALLS_MAX && !testbed_logged (&testbed, 0, " out_ms=0 source=own"); i++)
    {
      snprintf (id, sizeof id, "back-%d", i);
      testbed_call_at (&testbed, 0, id, "/safe/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
      fleet_sleep_ms (100);
    }
  CU_ASSERT (testbed_wait_logged (&testbed, 1, " out_ms=0 source=router-0"));
  testbed_stop (&testbed);
}

/* Routers of one hall, which may share a broken link, leave nothing out. */
static void
test_one_hall (void)
{
  start_two_halls (NULL);
  fail_at (0);
  fail_at (1);
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " endpoint_out "));
  CU_ASSERT_FALSE (testbed_logged (&testbed, 1, " endpoint_out "));
  testbed_stop (&testbed);
}

/* Attempts at a request in its 1.5 s while no endpoint accepts connections: one in 50 ms. */
#define ATTEMPTS_MAX 30

/* Servers besides those that run. */
#define MORE_SERVERS 18

/* A request was sent some hundred times to endpoints that refuse connections. */
static void
test_all_refuse (void)
{
  start ();
  list_dead_servers (MORE_SERVERS, true);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "endpoint=i-dead17"));
  for (int s = 0; s < TESTBED_SERVERS; s++)
    fleet_end_process (&testbed.servers[s].pid, SIGKILL);
  testbed_call (&testbed, "refused", "/safe/x", NULL, "", &answer);
  CU_ASSERT (answer.status == 503 && answer.complete && answer_has ("Retry-After:"));
  CU_ASSERT (testbed_count_logged (&testbed, 0, "forward_sent") <= ATTEMPTS_MAX);
  testbed_stop (&testbed);
}

const struct fault_test router_outlier_tests[] = {
  { "outliers: two halls see an endpoint fail", test_two_halls },
  { "outliers: one hall sees an endpoint fail", test_one_hall },
  { "outliers: all endpoints refuse connections", test_all_refuse },
  { NULL, NULL },
};
