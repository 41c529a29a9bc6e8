/**
 * @file
 * Streams that one endpoint breaks off inside an event and another one resumes: the caller gets
 * each event once, however long the broken one was.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <unistd.h>

/* Endpoint A sends so many events, and part of the next one. */
#define RAW_MAX_BYTES 512

/* Longer than an endpoint may be silent, and than a stream waits for another one after that. */
#define LATER_MS 2500

/* More bytes than two events of the stand-in have. */
#define LONG_DATA                                                                                  \
  "data: the longest event of this stream, of which only the last byte is missing\\n"

static void
write_broken_stream (char raw[RAW_MAX_BYTES], int whole_events)
{
  int length = snprintf (raw, RAW_MAX_BYTES, "X-Raw: HTTP/1.1 200 OK\\r\\n\\h\\r\\n");

  for (int id = 1; id <= whole_events; id++)
    length +=
        snprintf (raw + length, RAW_MAX_BYTES - (size_t) length, "id: %d\\ndata: a\\n\\n", id);
  snprintf (raw + length, RAW_MAX_BYTES - (size_t) length, "id: %d\\n" LONG_DATA "\r\n",
            whole_events + 1);
}

/* Calls until A was chosen first, which breaks its stream off after @p whole_events, and B has
 * resumed it. */
static void
check_resumed (const char *action, int whole_events)
{
  char raw[RAW_MAX_BYTES];
  char resumed[16];

  write_broken_stream (raw, whole_events);
  snprintf (resumed, sizeof resumed, "last=%d ", whole_events);
  start ();
  for (int i = 0; i < 30 && !server_logs_contain (resumed); i++)
    {
      testbed_call (&testbed, "broken", "/stream/x", action, raw, &answer);
      CU_ASSERT (answer.status == 200 && answer.complete);
      testbed_expect_events (&answer, 1, 6);
      CU_ASSERT_FALSE (answer_has ("longest"));
    }
  CU_ASSERT (server_logs_contain (resumed));
  testbed_stop (&testbed);
}

/* Guards against a resumed stream that counts as broken off although its last event has come. */
static void
test_last_event (void)
{
  check_resumed ("A=rawclose B=stream", 5);
}

/* Guards against the loss of an event that follows a repeated one. */
static void
test_repeated_event (void)
{
  check_resumed ("A=rawclose B=streamagain", 3);
}

/* Streams whose endpoint is silent longer than it should be are cut although no other endpoint may
 * go on with them. */
static void
test_no_budget (void)
{
  start ();
  testbed.grace = "resend_slack = 0";
  restart_router ();
  testbed_call (&testbed, "silent", "/long/x", "*=streampause", "", &answer);
  CU_ASSERT (answer.status == 200 && answer.complete);
  testbed_expect_events (&answer, 1, 6);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "silent"), 1);
  CU_ASSERT_EQUAL (testbed_count_logged (&testbed, 0, "forward_resent"), 0);
  testbed_stop (&testbed);
}

/* The other endpoint may go on with the stream once it is there, also later than the first silence.
 */
static void
test_later_endpoint (void)
{
  int fd;

  start ();
  testbed_list_server (&testbed, 1, "draining");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "endpoint_leaving"));
  fd = testbed_connect (&testbed, 0);
  testbed_send (fd, "POST /long/x HTTP/1.1\r\n" HEAD "later\r\nX-Do: A=streamhang B=stream\r\n"
                    "Connection: close\r\nContent-Length: 5\r\n\r\nhello");
  fleet_sleep_ms (LATER_MS);
  testbed_list_server (&testbed, 1, "ready");
  testbed_read (fd, &answer);
  close (fd);
  CU_ASSERT (answer.status == 200 && answer.complete);
  testbed_expect_events (&answer, 1, 6);
  CU_ASSERT_EQUAL (testbed_count_logged (&testbed, 0, "endpoint_passed"), 1);
  testbed_stop (&testbed);
}

const struct fault_test router_resumed_stream_tests[] = {
  { "resumed streams: the last event was broken", test_last_event },
  { "resumed streams: an event is repeated after a broken one", test_repeated_event },
  { "resumed streams: a silent one that none may take over goes on", test_no_budget },
  { "resumed streams: a silent one is taken over late", test_later_endpoint },
  { NULL, NULL },
};
