/**
 * @file
 * Unit tests of tracing a request through the logs of several processes.
 */
#include "cli/trace.h"
#include "test/unit.h"

#include <string.h>

#define ID "9c41"

/* Reads the log in a string and explains how the request ended. */
static void
explain (struct ash_trace *trace, const char *log, char *end, size_t end_bytes)
{
  FILE *file = fmemopen ((char *) (uintptr_t) log, strlen (log), "r");

  ash_trace_init (trace, ID);
  CU_ASSERT_PTR_NOT_NULL (file);
  CU_ASSERT (ash_trace_read (trace, file));
  fclose (file);
  ash_trace_explain (trace, end, end_bytes);
}

static void
test_order (void)
{
  /* Logs of two processes, one as text and one as JSON, the later one first. */
  static const char log[] =
      "2026-12-02T10:00:02.000Z info 405 forward_served box=b module=router id=9c41 route=r "
      "status=200 sent=1 age_ms=30\n"
      "{\"time\":\"2026-12-02T10:00:01.000Z\",\"level\":\"info\",\"event\":404,\"name\":"
      "\"forward_sent\",\"box\":\"a\",\"module\":\"router\",\"id\":\"9c41\",\"endpoint\":\"i-7\"}\n"
      "2026-12-02T10:00:01.500Z info 404 forward_sent box=a module=router id=9c410 endpoint=i-8\n"
      "half a line";
  struct ash_trace trace;
  char end[512];

  explain (&trace, log, end, sizeof end);
  CU_ASSERT_EQUAL (trace.count, 2);
  CU_ASSERT_EQUAL (trace.lines[0].event, 404);
  CU_ASSERT_EQUAL (trace.read, 4);
  CU_ASSERT_STRING_EQUAL (end, "Answered with 200 by i-7, 30 ms after it arrived.");
  ash_trace_finish (&trace);
}

static void
test_ends (void)
{
  static const char refused[] =
      "2026-12-02T10:00:02.000Z info 406 forward_refused box=b module=router id=9c41 status=503 "
      "reason=no_room sent=0 unsure=0 age_ms=81 retry_after_ms=250\n";
  static const char denied[] =
      "2026-12-02T10:00:02.000Z info 410 forward_denied box=b module=router id=9c41 status=401 "
      "why=\"no such key\" version=7\n";
  static const char unended[] =
      "2026-12-02T10:00:01.000Z info 404 forward_sent box=a module=router id=9c41 endpoint=i-7\n"
      "2026-12-02T10:00:03.000Z info 110 log_left_out box=a module=router lines=12 total=40\n";
  struct ash_trace trace;
  char end[512];

  explain (&trace, refused, end, sizeof end);
  CU_ASSERT_PTR_NOT_NULL (strstr (end, "Refused after 81 ms: each endpoint had"));
  CU_ASSERT_PTR_NOT_NULL (strstr (end, "did not run; the caller was asked to retry in 250 ms"));
  ash_trace_finish (&trace);
  explain (&trace, denied, end, sizeof end);
  CU_ASSERT_STRING_EQUAL (end, "Denied with 401 under configuration 7: no such key.");
  ash_trace_finish (&trace);
  /* The log has no line that shows how the request ended. */
  explain (&trace, unended, end, sizeof end);
  CU_ASSERT_PTR_NOT_NULL (strstr (end, "No line shows how it ended"));
  CU_ASSERT_PTR_NOT_NULL (strstr (end, "(12 were). It was last at i-7 and may have run."));
  ash_trace_finish (&trace);
  explain (&trace, "nothing of it\n", end, sizeof end);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (end, "None of the 1 lines is about this request; 0 lines were dropped."));
  ash_trace_finish (&trace);
}

void
add_trace_tests (CU_pSuite suite)
{
  CU_add_test (suite, "trace: lines of several logs in order", test_order);
  CU_add_test (suite, "trace: how a request ended", test_ends);
}
