/**
 * @file
 * Callers that don't read their answers: what a router keeps for them is bounded, and neither other
 * callers nor the endpoints suffer from them.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* All connections that the testbed's routers accept but one. */
#define IDLE_CALLERS 9
#define MEMORY_SETTINGS "grace_s = 3\nmemory_mb = 2"
/* A quarter of the memory, and one read from the endpoint for each caller. */
#define ANSWERS_MAX_BYTES (512 * 1024 + IDLE_CALLERS * 16384)
/* Of each body; four of them don't fit an eighth of the memory. */
#define BODY_BYTES 90000
/* Time in which a caller that reads nothing must be cut off. */
#define CUT_OFF_MS 6000

/* Receive buffer of a caller's socket: without a limit, the kernel would take whole answers. */
#define RECEIVE_BYTES (64 * 1024)

/* How long the slow caller reads slowly: longer than a caller may read nothing. */
#define SLOW_MS 2800
#define SLOW_READ_BYTES 8192

static void
start_small (void)
{
  testbed_start (&testbed);
  testbed.grace = MEMORY_SETTINGS;
  fleet_end_process (&testbed.routers[0].pid, SIGKILL);
  testbed_start_router (&testbed, 0);
  testbed_publish (&testbed);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
}

static long
metric (const char *name)
{
  const char *text = testbed_fetch (testbed.routers[0].metrics_port, "GET", "/metrics", "");
  const char *found = strstr (text, name);

  return found ? strtol (found + strlen (name), NULL, 10) : -1;
}

/* Sends a request for an answer that is much larger than all buffers on the way. */
static int
begin_caller (int number, const char *path, const char *action)
{
  char text[512];
  int fd = testbed_connect (&testbed, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &(int){ RECEIVE_BYTES }, sizeof (int));
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\n" HEAD "idle-%d\r\nX-Do: *=%s\r\nContent-Length: 5\r\n\r\nhello",
            path, number, action);
  testbed_send (fd, text);
  return fd;
}

static void
check_idle_callers (const char *path, const char *action)
{
  int64_t began_ms = fleet_now_ms ();
  int fds[IDLE_CALLERS];
  int cut_off = 0;

  start_small ();
  for (int i = 0; i < IDLE_CALLERS; i++)
    fds[i] = begin_caller (i, path, action);
  while (cut_off < IDLE_CALLERS && fleet_now_ms () < began_ms + CUT_OFF_MS)
    {
      CU_ASSERT (metric ("\nash_answer_bytes{} ") <= ANSWERS_MAX_BYTES);
      testbed_call (&testbed, "other", "/once/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
      cut_off = testbed_count_logged (&testbed, 0, " forward_unread ");
      fleet_sleep_ms (50);
    }
  CU_ASSERT_EQUAL (cut_off, IDLE_CALLERS);
  /* The endpoints did nothing wrong, and got each request once. */
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " endpoint_passed "));
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " forward_resent "));
  for (int i = 0; i < IDLE_CALLERS; i++)
    {
      close (fds[i]);
      fds[i] = -1;
    }
  CU_ASSERT_EQUAL (metric ("\nash_answer_bytes{} "), 0);
  testbed_stop (&testbed);
}

static void
test_idle_callers (void)
{
  check_idle_callers ("/any/x", "big");
  check_idle_callers ("/long/x", "streambig");
}

/* A caller that reads slowly, but all the time, gets its whole answer. */
static void
test_slow_caller (void)
{
  static char bytes[65536];
  int64_t began_ms = fleet_now_ms ();
  size_t total = 0;
  ssize_t got;
  int fd;

  start_small ();
  fd = begin_caller (0, "/long/x", "streambig");
  do
    {
      bool is_slow = fleet_now_ms () < began_ms + SLOW_MS;

      got = recv (fd, bytes, is_slow ? SLOW_READ_BYTES : sizeof bytes, 0);
      total += got > 0 ? (size_t) got : 0;
      if (is_slow)
        fleet_sleep_ms (10);
    }
  while (got > 0 && memcmp (bytes + got - 5, "0\r\n\r\n", 5) != 0);
  CU_ASSERT (total > 8000000);
  close (fd);
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " forward_unread "));
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " forward_resent "));
  testbed_stop (&testbed);
}

/* Bodies that are not sent completely fill the memory for bodies: the callers whose bodies don't
 * fit are refused for now, which is not the same as a body that is too large. Which callers these
 * are depends on the order in which the router reads from them; the others time out. */
static void
test_bodies (void)
{
  static char body[BODY_BYTES + 1];
  int fds[IDLE_CALLERS];
  int refused = 0;

  start_small ();
  memset (body, 'x', BODY_BYTES);
  for (int i = 0; i < IDLE_CALLERS; i++)
    {
      fds[i] = testbed_connect (&testbed, 0);
      testbed_send (fds[i],
                    "POST /once/x HTTP/1.1\r\n" HEAD "body\r\nContent-Length: 99999\r\n\r\n");
      testbed_send (fds[i], body);
    }
  for (int i = 0; i < IDLE_CALLERS; i++)
    {
      testbed_read (fds[i], &answer);
      close (fds[i]);
      refused += answer.status == 503;
      CU_ASSERT (answer.status == 408 || (answer.status == 503 && answer_has ("Retry-After: 1")));
    }
  CU_ASSERT (refused > 0);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "body"), 0);
  testbed_stop (&testbed);
}

const struct fault_test router_slow_reader_tests[] = {
  { "callers that read nothing", test_idle_callers },
  { "a caller that reads slowly", test_slow_caller },
  { "bodies that fill the memory", test_bodies },
  { NULL, NULL },
};
