/**
 * @file
 * Requests that crash endpoints are quarantined.
 *
 * The failure: one caller's request crashed each endpoint that began to run it, eight in a row.
 * Each crash stopped the endpoint's group of ranks for 3 s, and three streams in ten were rejected
 * or failed for 15 s. The router resent the request to another endpoint, and the caller repeated it
 * every few seconds, under six ids at five routers.
 *
 * The cause: a router kept evidence about a request only until that submission of it ended, so
 * nothing connected the submissions. What they have in common is account, target and body, and
 * that no event had been sent when the connection broke; other requests whose connections broke at
 * the same time had sent events.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A request that has crashed this many endpoints must not be sent to any other endpoint. */
#define CRASHES_MAX 3

#define SUBMISSIONS 6

/* Repeats a request that crashes its endpoint, under new ids, at both routers in turn. */
static void
check_quarantined (const char *path, const char *action)
{
  int crashes = 0;
  char id[16];

  start_routers (2);
  for (int i = 0; i < SUBMISSIONS; i++)
    {
      bool proved = crashes >= CRASHES_MAX;

      snprintf (id, sizeof id, "end-%d", i);
      testbed_call_at (&testbed, i % 2, id, path, action, "", &answer);
      crashes += restart_servers ();
      CU_ASSERT (!proved || (answer.status == 503 && answer_has ("Retry-After:")));
      CU_ASSERT (!proved || testbed_count_runs (&testbed, id) == 0);
      /* Other requests are still served. */
      snprintf (id, sizeof id, "calm-%d", i);
      testbed_call_at (&testbed, i % 2, id, "/safe/calm", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  CU_ASSERT (crashes > 0 && crashes <= CRASHES_MAX);
  testbed_stop (&testbed);
}

static void
test_quarantined (void)
{
  check_quarantined ("/safe/ends", "*=end");
  check_quarantined ("/stream/ends", "*=streamend");
  /* A request that may not be repeated crashes at most one endpoint per submission. */
  check_quarantined ("/once/ends", "*=end");
}

/* A router that starts learns from its peers which requests are quarantined. */
static void
test_new_router (void)
{
  start_routers (2);
  for (int i = 0; i < 2; i++)
    {
      testbed_call_at (&testbed, 0, "end", "/once/ends", "*=end", "", &answer);
      CU_ASSERT_EQUAL (answer.status, 502);
      CU_ASSERT_EQUAL (restart_servers (), 1);
    }
  CU_ASSERT (testbed_wait_logged (&testbed, 1, " quarantined "));
  fleet_end_process (&testbed.routers[1].pid, SIGKILL);
  testbed_start_router (&testbed, 1);
  CU_ASSERT (testbed_wait_ready (&testbed, 1, true));
  CU_ASSERT (testbed_wait_logged (&testbed, 1, "ends=2 spoke=0 for_ms=59"));
  testbed_call_at (&testbed, 1, "end-2", "/once/ends", "*=end", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (answer_has ("quarantined: the request did not run"));
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "end-2"), 0);
  testbed_stop (&testbed);
}

/* An endpoint that exits may accept connections for some time after it has closed the request's
 * connection. A probe that was accepted then showed nothing, and the request went on to the next
 * endpoint. */
static void
test_late_listener (void)
{
  start_routers (2);
  for (int i = 0; i < 2; i++)
    {
      testbed_call_at (&testbed, 0, "end", "/once/ends", "*=endlate", "", &answer);
      CU_ASSERT_EQUAL (answer.status, 502);
      CU_ASSERT_EQUAL (restart_servers (), 1);
    }
  CU_ASSERT (testbed_wait_logged (&testbed, 1, " quarantined "));
  testbed_call_at (&testbed, 1, "end-2", "/once/ends", "*=endlate", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "end-2"), 0);
  testbed_stop (&testbed);
}

/* An endpoint's address may accept connections also after its process has ended: a link in front of
 * it does, or its next process. That the list then has another endpoint there shows the end. */
static void
test_address_reused (void)
{
  testbed_start_linked (&testbed);
  testbed_publish (&testbed);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, true));
  for (int i = 0; i < 2; i++)
    {
      testbed_call_at (&testbed, 0, "end", "/once/ends", "*=end", "", &answer);
      CU_ASSERT_EQUAL (answer.status, 502);
      CU_ASSERT_EQUAL (testbed_restart_servers (&testbed), 1);
      CU_ASSERT (testbed_wait_logged (&testbed, 0, "proof=address_reused"));
    }
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " quarantined "));
  testbed_call_at (&testbed, 0, "end-2", "/once/ends", "*=end", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "end-2"), 0);
  testbed_stop (&testbed);
}

/* A connection reset by an endpoint that keeps running is no evidence against the request. */
static void
test_reset_only (void)
{
  start_routers (2);
  for (int i = 0; i < 6; i++)
    {
      testbed_call_at (&testbed, i % 2, "reset", "/safe/x", "*=reset", "", &answer);
      CU_ASSERT_EQUAL (answer.status, 502);
    }
  testbed_call (&testbed, "ok", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " endpoint_ended "));
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " quarantined "));
  testbed_stop (&testbed);
}

/* A frequent request is answered between crashes that have another cause: the answer clears the
 * evidence against the request. */
static void
test_cleared (void)
{
  start_routers (2);
  for (int i = 0; i < 4; i++)
    {
      testbed_call_at (&testbed, i % 2, "end", "/once/often", "*=end", "", &answer);
      CU_ASSERT_EQUAL (answer.status, 502);
      CU_ASSERT_EQUAL (restart_servers (), 1);
      CU_ASSERT (testbed_wait_logged (&testbed, (i + 1) % 2, " link_up "));
      testbed_call_at (&testbed, (i + 1) % 2, "often", "/once/often", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
      fleet_sleep_ms (50);
    }
  CU_ASSERT (testbed_logged (&testbed, 0, " quarantine_cleared "));
  CU_ASSERT (testbed_logged (&testbed, 1, "source=router-0"));
  testbed_stop (&testbed);
}

/* @return the server that runs a request, once the second router's metrics show it there. */
static int
server_with (const char *id)
{
  char wanted[64];
  int s = 0;

  wait_arrived (id);
  while (s + 1 < TESTBED_SERVERS && !strstr (server_log (s), id))
    s++;
  snprintf (wanted, sizeof wanted, "ash_endpoint_elsewhere{endpoint=\"%s\"} 1",
            testbed.servers[s].id);
  for (int i = 0; i < 200; i++)
    {
      if (strstr (testbed_fetch (testbed.routers[1].metrics_port, "GET", "/metrics", ""), wanted))
        return s;
      fleet_sleep_ms (10);
    }
  CU_FAIL ("the second router does not show the request in its metrics");
  return s;
}

/* A copy of the request that is running is aborted once other copies have crashed two endpoints. */
static void
test_copy_aborted (void)
{
  struct testbed_answer copy;
  int fd;
  int s;

  start_routers (2);
  testbed_call_at (&testbed, 0, "end-1", "/once/ends", "*=end", "", &answer);
  CU_ASSERT_EQUAL (restart_servers (), 1);
  fd = testbed_connect (&testbed, 0);
  testbed_send (fd, "POST /once/ends HTTP/1.1\r\n" HEAD
                    "copy\r\nX-Do: *=mute\r\nContent-Length: 5\r\n\r\nhello");
  s = server_with ("copy");
  testbed_call_at (&testbed, 1, "end-2", "/once/ends", "*=end", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  testbed_read (fd, &copy);
  close (fd);
  CU_ASSERT_EQUAL (copy.status, 502);
  CU_ASSERT_PTR_NOT_NULL (strstr (copy.body, "quarantined"));
  CU_ASSERT_EQUAL (atoi (testbed_fetch (testbed.servers[s].port, "GET", "/gone", "")), 1);
  testbed_stop (&testbed);
}

const struct fault_test router_quarantine_tests[] = {
  { "requests that end endpoints are kept away", test_quarantined },
  { "a router that comes learns what is kept away", test_new_router },
  { "endpoints that end accept connections for a while", test_late_listener },
  { "endpoints that end, another one at their address", test_address_reused },
  { "connections reset at endpoints that stand", test_reset_only },
  { "a request that is answered is not suspected", test_cleared },
  { "a copy of a request that is kept away is taken back", test_copy_aborted },
  { NULL, NULL },
};
