/**
 * @file
 * A router whose machine was suspended: the event loop's timers and the monotonic clock did not
 * count that time, all other clocks did.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

static void
start_suspendable (void)
{
  testbed_start_suspendable (&testbed);
  testbed_publish (&testbed);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
}

/* Stops the first router's process, in place of suspending its machine. */
static void
suspend (void)
{
  kill (testbed.routers[0].pid, SIGSTOP);
  fleet_sleep_ms (50);
}

static void
resume (int64_t suspended_ms)
{
  testbed_advance_boot_clock (&testbed, suspended_ms);
  kill (testbed.routers[0].pid, SIGCONT);
}

/* Waits until the router has read what arrived while it was stopped, so that it does not take later
 * requests for ones that were sent during that time. */
static void
wait_resumed (void)
{
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " woke "));
  fleet_sleep_ms (200);
}

/* Sends a request on a new connection. @return the connection. */
static int
begin_call (const char *id, const char *path, const char *action, const char *more)
{
  char text[512];
  int fd = testbed_connect (&testbed, 0);

  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\n" HEAD "%s\r\nX-Do: %s\r\n%sContent-Length: 5\r\n\r\nhello", path,
            id, action, more);
  testbed_send (fd, text);
  return fd;
}

static void
finish_call (int fd)
{
  testbed_read (fd, &answer);
  close (fd);
}

/* A request that was sent while the machine was suspended may be as old as the suspension: the
 * endpoint gets only the time that is left as its deadline, and a request whose caller has given up
 * is not sent. */
static void
test_deadlines (void)
{
  static const int64_t away_ms[] = { 500, 2000, 5000, 30000 };

  start_suspendable ();
  for (size_t i = 0; i < sizeof away_ms / sizeof away_ms[0]; i++)
    {
      char id[24];
      char line[64];
      const char *logged_deadline;
      int fd;

      snprintf (id, sizeof id, "late-%zu", i);
      suspend ();
      fd = begin_call (id, "/any/x", "*=ok", "");
      resume (away_ms[i]);
      finish_call (fd);
      /* The caller's deadline is 4 s. */
      CU_ASSERT_EQUAL (answer.status, away_ms[i] < 4000 ? 200 : 503);
      CU_ASSERT_EQUAL (testbed_count_runs (&testbed, id), away_ms[i] < 4000 ? 1 : 0);
      if (away_ms[i] != 2000)
        continue;
      snprintf (line, sizeof line, "%s POST /any/x body=5 deadline=", id);
      logged_deadline = strstr (server_log (0), line);
      if (!logged_deadline)
        logged_deadline = strstr (server_log (1), line);
      CU_ASSERT (logged_deadline && atoi (logged_deadline + strlen (line)) <= 2000);
    }
  wait_resumed ();
  /* New requests get their full time. */
  finish_call (begin_call ("now", "/any/x", "*=ok", ""));
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

/* The time of a request in progress expires on resuming, not when its timer, which did not count
 * the suspension, fires. A request that arrives after that has its full 1.5 s. */
static void
test_requests_in_progress (void)
{
  char byte;
  int old;
  int fresh;

  start_suspendable ();
  old = begin_call ("old", "/any/x", "*=mute", "");
  wait_arrived ("old");
  suspend ();
  resume (5000);
  wait_resumed ();
  fresh = begin_call ("fresh", "/once/x", "*=mute", "");
  finish_call (old);
  CU_ASSERT_EQUAL (answer.status, 504);
  CU_ASSERT (recv (fresh, &byte, 1, MSG_DONTWAIT) < 0 && errno == EAGAIN);
  finish_call (fresh);
  CU_ASSERT_EQUAL (answer.status, 504);
  testbed_stop (&testbed);
}

/* Idle connections to endpoints may have been lost without notice during the suspension: a request
 * that may not be repeated must not be sent on such a connection. */
static void
test_kept_connections (void)
{
  start_suspendable ();
  for (int i = 0; i < 8; i++)
    finish_call (begin_call ("warm", "/once/x", "*=ok", ""));
  suspend ();
  for (int s = 0; s < TESTBED_SERVERS; s++)
    testbed_silence (&testbed, TESTBED_LINK_SERVERS + s, TESTBED_SILENT_BOTH);
  resume (2000);
  wait_resumed ();
  for (int i = 0; i < 4; i++)
    {
      finish_call (begin_call ("after", "/once/x", "*=ok", ""));
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  testbed_stop (&testbed);
}

/* A planned stop of 3 s whose machine is suspended for 5 s ends on resuming. */
static void
test_suspended_in_stop (void)
{
  int status = 0;
  bool ended = false;
  int fd;

  start_suspendable ();
  fd = begin_call ("stop", "/long/x", "*=mute", "");
  wait_arrived ("stop");
  kill (testbed.routers[0].pid, SIGTERM);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " stopping "));
  suspend ();
  resume (5000);
  finish_call (fd);
  CU_ASSERT (answer.status == 502 || answer.status == 504);
  for (int i = 0; i < 50 && !ended; i++)
    {
      fleet_sleep_ms (20);
      ended = waitpid (testbed.routers[0].pid, &status, WNOHANG) == testbed.routers[0].pid;
    }
  CU_ASSERT (ended);
  if (ended)
    testbed.routers[0].pid = 0;
  testbed_stop (&testbed);
}

/* Changes of configuration and list during a suspension become active soon after it, twice in a
 * row, and with all routers suspended. */
static void
test_changes_while_suspended (void)
{
  start_suspendable ();
  testbed_start_router (&testbed, 1);
  CU_ASSERT (testbed_wait_ready (&testbed, 1, true));
  for (int i = 1; i <= 2; i++)
    {
      suspend ();
      kill (testbed.routers[1].pid, SIGSTOP);
      testbed.has_key = !testbed.has_key;
      testbed_publish (&testbed);
      testbed_list_server (&testbed, 0, i == 1 ? "draining" : "ready");
      resume (5000 * i);
      kill (testbed.routers[1].pid, SIGCONT);
      for (int r = 0; r < 2; r++)
        {
          int wanted = testbed.has_key ? 200 : 401;

          answer.status = 0;
          for (int n = 0; n < 100 && answer.status != wanted; n++)
            {
              testbed_call_at (&testbed, r, "change", "/safe/x", NULL, "", &answer);
              fleet_sleep_ms (20);
            }
          CU_ASSERT_EQUAL (answer.status, wanted);
        }
    }
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " woke "));
  CU_ASSERT (testbed_wait_logged (&testbed, 1, " woke "));
  testbed_stop (&testbed);
}

const struct fault_test router_suspended_tests[] = {
  { "suspended: callers' deadlines", test_deadlines },
  { "suspended: requests under way", test_requests_in_progress },
  { "suspended: kept connections", test_kept_connections },
  { "suspended: in a planned stop", test_suspended_in_stop },
  { "suspended: what changed meanwhile", test_changes_while_suspended },
  { NULL, NULL },
};
