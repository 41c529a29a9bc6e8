/**
 * @file
 * Requests under which endpoints end.
 *
 * What users saw: for a quarter of a minute three streams in ten were refused or failed, while one
 * endpoint after the other ended and started anew, eight in all, each taking its group of ranks
 * with it for three seconds. One caller's request ended each endpoint that began to run it. It was
 * sent to another endpoint at once, which ended too; and it came again every few seconds under a
 * new id, at whichever router, where nothing was known of it.
 *
 * The cause: what a request met was kept with its submission and freed with it. The evidence: of
 * the requests whose connections broke off together, one of the same account, target and body was
 * among them each time, at five routers, under six ids, and had given no event yet; the others had.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Ends that prove it: from then on no endpoint is to get the request. */
#define CRASHES_MAX 3

#define SUBMISSIONS 6

/* Starts what answer_has ended anew, and waits until both routers have it. @return how many ended.
 */
static int
restart_servers (void)
{
  int count = testbed_restart_servers (&testbed);

  for (int s = 0; count && s < TESTBED_SERVERS; s++)
    for (int r = 0; r < 2; r++)
      {
        char text[48];

        snprintf (text, sizeof text, "endpoint=%s ", testbed.servers[s].id);
        CU_ASSERT (testbed_wait_logged (&testbed, r, text));
      }
  return count;
}

/* The same request under further ids, at either router in turn. */
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
      /* Others are served all the while. */
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
  /* One that may not be repeated crashes one endpoint a submission. */
  check_quarantined ("/once/ends", "*=end");
}

/* A router that comes learns from its peers what is kept away. */
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

/* Connections that end under a request at endpoints that stand say nothing of the request. */
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

/* An end, an answer, an end: a request that is asked often, at endpoints that end for another
 * reason. */
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

/* @return the server that answer_has a request, once the second router knows that it answer_has
 * one. */
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
  CU_FAIL ("the second router does not know of the request");
  return s;
}

/* A copy of the request that waits at an endpoint is taken back once two others have ended. */
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
  { "connections reset at endpoints that stand", test_reset_only },
  { "a request that is answered is not suspected", test_cleared },
  { "a copy of a request that is kept away is taken back", test_copy_aborted },
  { NULL, NULL },
};
