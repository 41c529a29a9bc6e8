/**
 * @file
 * Parts of prompts that crash endpoints are quarantined.
 *
 * The failure: each endpoint that began an answer to a prompt with one certain part crashed,
 * whatever else the prompt held. No two such requests were alike, and other requests shared their
 * account and their other parts.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* A part that has crashed this many endpoints must not reach any other endpoint. */
#define CRASHES_MAX 5

#define SUBMISSIONS 10

/* Sends a streaming request whose path and last part are its own.
 * @param shared_parts the parts before the last one. */
static void
call_with_parts (int r, const char *id, const char *action, const char *shared_parts)
{
  static uint32_t last_part = 0x1000;
  char path[32];
  char more[128];

  snprintf (path, sizeof path, "/stream/%s", id);
  snprintf (more, sizeof more, "Ashspindle-Prefix-Hash: %s,%x:80\r\n", shared_parts, last_part++);
  testbed_call_at (&testbed, r, id, path, action, more, &answer);
}

/* No two requests with the part "bad" are alike; each comes at the other router than the last one.
 * Requests with its neighbours are served throughout. */
static void
test_part_quarantined (void)
{
  int crashes = 0;
  char id[16];

  start_routers (2);
  for (int i = 0; i < SUBMISSIONS; i++)
    {
      bool proved = crashes >= CRASHES_MAX;

      snprintf (id, sizeof id, "sound-%d", i);
      call_with_parts (i % 2, id, "*=stream", "aaa:40,ccc:30");
      CU_ASSERT (answer.status == 200 && answer.complete);
      snprintf (id, sizeof id, "bad-%d", i);
      call_with_parts (i % 2, id, "*=streambegin", "aaa:40,bad:200,ccc:30");
      crashes += restart_servers ();
      CU_ASSERT (!proved || (answer.status == 503 && answer_has ("Retry-After:")));
      CU_ASSERT (!proved || testbed_count_runs (&testbed, id) == 0);
    }
  CU_ASSERT (crashes > 0 && crashes <= CRASHES_MAX);
  testbed_stop (&testbed);
}

/* Makes router 0 see how common parts are: all other requests have "aaa" and "ccc". */
static void
send_sound_requests (void)
{
  for (int i = 0; i < 40; i++)
    {
      testbed_call_at (&testbed, 0, "usual", "/safe/x", NULL,
                       "Ashspindle-Prefix-Hash: aaa:40,ccc:30,ddd:5\r\n", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
}

/* Crashes the endpoint that a new request with the part "bad" reaches.
 * @param action what the servers do with it. */
static void
crash_endpoint (int number, const char *action)
{
  char id[16];

  snprintf (id, sizeof id, "bad-%d", number);
  call_with_parts (0, id, action, "aaa:40,bad:200,ccc:30");
  CU_ASSERT (restart_servers () > 0);
}

static void
quarantine_part (void)
{
  send_sound_requests ();
  for (int i = 0; i < CRASHES_MAX && !testbed_logged (&testbed, 0, " part_quarantined "); i++)
    crash_endpoint (i, "*=streambegin");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " part_quarantined "));
  CU_ASSERT (testbed_wait_logged (&testbed, 1, " part_quarantined "));
}

/* A router that starts learns from its peers which parts are quarantined. */
static void
test_new_router (void)
{
  start_routers (2);
  quarantine_part ();
  fleet_end_process (&testbed.routers[1].pid, SIGKILL);
  testbed_start_router (&testbed, 1);
  CU_ASSERT (testbed_wait_ready (&testbed, 1, true));
  CU_ASSERT (testbed_wait_logged (&testbed, 1, "part=bad exits="));
  call_with_parts (1, "bad-again", "*=streambegin", "aaa:40,bad:200,ccc:30");
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (answer_has ("quarantined: the request did not run"));
  CU_ASSERT (answer_has ("Retry-After:"));
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "bad-again"), 0);
  /* As the last part it belongs to the request alone, and is never the cause. */
  testbed_call_at (&testbed, 1, "last", "/stream/x", "*=stream",
                   "Ashspindle-Prefix-Hash: aaa:40,bad:200\r\n", &answer);
  CU_ASSERT (answer.status == 200 && answer.complete);
  testbed_stop (&testbed);
}

/* Endpoints crash for another reason under the answers on a part, which get through in between. */
static void
test_part_cleared (void)
{
  char id[16];

  start_routers (2);
  for (int i = 0; i < SUBMISSIONS; i++)
    {
      snprintf (id, sizeof id, "crash-%d", i);
      call_with_parts (i % 2, id, "*=streambegin", "aaa:40,ccc:30");
      CU_ASSERT (restart_servers () > 0);
      snprintf (id, sizeof id, "sound-%d", i);
      call_with_parts ((i + 1) % 2, id, "*=stream", "aaa:40,ccc:30");
      CU_ASSERT (answer.status == 200 && answer.complete);
      fleet_sleep_ms (50);
    }
  CU_ASSERT (testbed_logged (&testbed, 0, " part_cleared "));
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " part_quarantined "));
  CU_ASSERT_FALSE (testbed_logged (&testbed, 1, " part_quarantined "));
  testbed_stop (&testbed);
}

/* Evidence about parts that a router sends to a peer must not make the peer suspect a request that
 * has been cleared. */
static void
test_cleared_request (void)
{
  static const char parts[] = "Ashspindle-Prefix-Hash: aaa:40,ccc:30,eee:5\r\n";

  start_routers (2);
  testbed_call_at (&testbed, 0, "end", "/once/often", "*=end", parts, &answer);
  CU_ASSERT_EQUAL (restart_servers (), 1);
  testbed_call_at (&testbed, 1, "often", "/once/often", NULL, parts, &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " quarantine_cleared "));
  fleet_end_process (&testbed.routers[1].pid, SIGKILL);
  testbed_start_router (&testbed, 1);
  CU_ASSERT (testbed_wait_ready (&testbed, 1, true));
  CU_ASSERT (testbed_wait_logged (&testbed, 1, " link_up "));
  fleet_sleep_ms (300);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (testbed_fetch (testbed.routers[1].metrics_port, "GET", "/metrics", ""),
              "\nash_suspects{} 0\n"));
  testbed_stop (&testbed);
}

/* A copy that waits at an endpoint when the part is found out is taken back. */
static void
test_copy_taken_back (void)
{
  struct testbed_answer copy;
  int fd;

  start_routers (2);
  send_sound_requests ();
  crash_endpoint (0, "A=streambegin B=shed");
  crash_endpoint (1, "A=streambegin B=shed");
  fd = testbed_connect (&testbed, 1);
  testbed_send (fd, "POST /stream/copy HTTP/1.1\r\n" HEAD
                    "copy\r\nX-Do: A=shed B=mute\r\nContent-Length: 5\r\n"
                    "Ashspindle-Prefix-Hash: aaa:40,bad:200,fff:1\r\n\r\nhello");
  wait_arrived ("copy");
  crash_endpoint (2, "A=streambegin B=shed");
  testbed_read (fd, &copy);
  close (fd);
  CU_ASSERT_EQUAL (copy.status, 502);
  CU_ASSERT_PTR_NOT_NULL (strstr (copy.body, "quarantined"));
  testbed_stop (&testbed);
}

const struct fault_test router_prompt_parts_tests[] = {
  { "a prompt part that ends endpoints is kept away", test_part_quarantined },
  { "a router that comes learns which parts are kept away", test_new_router },
  { "a prompt part whose answers get through is not suspected", test_part_cleared },
  { "a cleared request stays cleared at a router that comes", test_cleared_request },
  { "a copy with a prompt part that is kept away is taken back", test_copy_taken_back },
  { NULL, NULL },
};
