/**
 * @file
 * Streams that one endpoint breaks off inside an event and another one resumes: the caller gets
 * each event once, however long the broken one was.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <stdio.h>

/* Endpoint A sends so many events, and part of the next one. */
#define RAW_MAX_BYTES 512

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

const struct fault_test router_resumed_stream_tests[] = {
  { "resumed streams: the last event was broken", test_last_event },
  { "resumed streams: an event is repeated after a broken one", test_repeated_event },
  { NULL, NULL },
};
