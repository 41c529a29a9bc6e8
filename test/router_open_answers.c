/**
 * @file
 * Answers that have neither a length nor chunks and end with their connection: a complete one is
 * told from one that was broken off, from endpoints and towards callers.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void
test_complete (void)
{
  start ();
  for (int i = 0; i < 4; i++)
    {
      testbed_call (&testbed, "open", "/stream/x", "*=streamopen", "", &answer);
      CU_ASSERT (answer.status == 200 && answer.complete);
      testbed_expect_events (&answer, 1, 6);
      testbed_call (&testbed, "next", "/safe/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "open"), 4);
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " forward_cut "));
  testbed_stop (&testbed);
}

/* Calls until server A, which breaks its stream off, was chosen first and B has continued it.
 * @param resumed part of the line that B then logs. */
static void
check_resumed (const char *action, const char *resumed)
{
  start ();
  for (int i = 0; i < 30 && !testbed_logged (&testbed, 0, " forward_cut "); i++)
    {
      testbed_call (&testbed, "open", "/stream/x", action, "", &answer);
      CU_ASSERT (answer.status == 200 && answer.complete);
      testbed_expect_events (&answer, 1, 6);
    }
  CU_ASSERT (testbed_logged (&testbed, 0, " forward_cut "));
  CU_ASSERT (server_logs_contain (resumed));
  testbed_stop (&testbed);
}

/* A stream that ends inside an event, or without any event, was broken off: it is continued at
 * another endpoint, and counts as a lost connection. */
static void
test_broken_off (void)
{
  check_resumed ("A=streamopencut B=streamopen", "last=2");
  check_resumed ("A=streamopencut B=stream", "last=2");
  check_resumed ("A=streamopennone B=streamopen", "last=-");
}

/* @return what recv() returned at the end of the answer to an HTTP/1.0 request: 0 at a regular end,
 * -1 at a reset. */
static ssize_t
end_of_http_1_0_answer (const char *action)
{
  int fd = testbed_connect (&testbed, 0);
  char text[1024];
  ssize_t got;

  snprintf (text, sizeof text,
            "POST /stream/x HTTP/1.0\r\n" HEAD "old\r\nX-Do: %s\r\nContent-Length: 0\r\n\r\n",
            action);
  testbed_send (fd, text);
  do
    got = recv (fd, text, sizeof text, 0);
  while (got > 0);
  close (fd);
  return got;
}

/* For a caller without chunked coding, only a reset marks a stream that was broken off. */
static void
test_towards_callers (void)
{
  start ();
  CU_ASSERT_EQUAL (end_of_http_1_0_answer ("*=stream"), 0);
  CU_ASSERT_EQUAL (end_of_http_1_0_answer ("*=streamopen"), 0);
  CU_ASSERT_EQUAL (end_of_http_1_0_answer ("*=streamcut"), -1);
  CU_ASSERT_EQUAL (end_of_http_1_0_answer ("*=streamopencut"), -1);
  testbed_stop (&testbed);
}

const struct fault_test router_open_answer_tests[] = {
  { "answers that end with their connection are complete", test_complete },
  { "streams that end inside an event are continued", test_broken_off },
  { "a caller of HTTP/1.0 sees a stream broken off", test_towards_callers },
  { NULL, NULL },
};
