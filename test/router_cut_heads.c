/**
 * @file
 * Answers that are cut within their heads, by a close and by a reset: on no route does a caller get
 * an answer that looks whole, or a second run of what may not be repeated.
 */
#include "test/router_raw.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TEXT_BYTES 2048

#define OK_HEAD "HTTP/1.1 200 OK\\r\\n\\h"

/* By what would have delimited the body. */
static const char *const heads[] = {
  "HTTP/1.1 20",
  OK_HEAD "Content-Length: 1",
  OK_HEAD "Content-Length: 0\\r\\n",
  OK_HEAD "Transfer-Encoding: chunked\\r\\n\\r",
  OK_HEAD,
  "HTTP/1.0 200 OK\\r\\n\\h",
  "HTTP/1.1 204 None\\r\\n\\h",
  "HTTP/1.1 103 Early\\r\\n\\r\\n" OK_HEAD "Content-Length: 0\\r\\n",
  "HTTP/1.1 503 Full\\r\\n\\hAshspindle-Not-Executed: 1\\r\\nContent-Length: 0\\r\\n",
};

static const char *const ends[] = { "rawclose", "rawreset" };

#define COUNT(list) (sizeof (list) / sizeof (list)[0])

/* Guards against a cut head that passes for an answer, or for a rejection, of a request that may
 * not be repeated: its caller learns that it may have run, and it ran once. */
static void
test_once (void)
{
  raw_start ();
  for (size_t end = 0; end < COUNT (ends); end++)
    for (size_t i = 0; i < COUNT (heads); i++)
      raw_check_once (i % 2 ? "/once/x" : "/longonce/x", ends[end], heads[i]);
  CU_ASSERT (testbed_logged (&testbed, 0, " forward_cut "));
  testbed_stop (&testbed);
}

/* Guards against a cut head that passes for the answer to a request that may be repeated. */
static void
test_safe (void)
{
  raw_start ();
  for (size_t end = 0; end < COUNT (ends); end++)
    for (size_t i = 0; i < COUNT (heads); i++)
      raw_check_safe (i % 2 ? "/safe/x" : "/any/x", ends[end], heads[i]);
  testbed_stop (&testbed);
}

/* The first endpoint's head is cut: the other one begins the stream. */
static void
check_begun_elsewhere (const char *path, const char *end, const char *head)
{
  char id[RAW_ID_BYTES];

  raw_keep_connections ();
  for (int round = 0; round < RAW_ROUNDS; round++)
    {
      raw_call_by_turns (id, path, round, end, "stream", head);
      CU_ASSERT (answer.status == 200 && answer.complete);
      testbed_expect_events (&answer, 1, 6);
    }
}

/* The heads of both endpoints are cut: the caller gets an error that is whole. */
static void
check_never_begun (const char *path, const char *end, const char *head)
{
  char all[32];
  char id[RAW_ID_BYTES];

  snprintf (all, sizeof all, "*=%s", end);
  raw_keep_connections ();
  raw_call (id, path, all, head);
  raw_expect_unknown (head);
}

/* Guards against a cut head that passes for a stream without events, or for its end. */
static void
test_streams (void)
{
  raw_start ();
  for (size_t end = 0; end < COUNT (ends); end++)
    for (size_t i = 0; i < COUNT (heads); i++)
      {
        check_begun_elsewhere (i % 2 ? "/stream/x" : "/long/x", ends[end], heads[i]);
        check_never_begun (i % 2 ? "/long/x" : "/stream/x", ends[end], heads[i]);
      }
  testbed_stop (&testbed);
}

/* Requests a stream that A breaks off after two events and that B is to resume, until both were
 * asked. @return what recv() returned at the end of the answer: 0 at a close, -1 at a reset. */
static ssize_t
call_broken_stream (const char *version, const char *end, const char *head, char text[TEXT_BYTES])
{
  ssize_t got = 0;

  *text = '\0';
  for (int i = 0; i < 100 && !strstr (text, "id: 2\n"); i++)
    {
      int fd = testbed_connect (&testbed, 0);
      size_t length = 0;

      snprintf (text, TEXT_BYTES,
                "POST /stream/x HTTP/%s\r\n" HEAD "cut\r\nX-Do: A=streamcut B=%s\r\nX-Raw: %s\r\n"
                "Connection: close\r\nContent-Length: 0\r\n\r\n",
                version, end, head);
      testbed_send (fd, text);
      while ((got = recv (fd, text + length, TEXT_BYTES - 1 - length, 0)) > 0)
        length += (size_t) got;
      text[length] = '\0';
      close (fd);
      fleet_sleep_ms (50);
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "id: 2\n"));
  return got;
}

/* Guards against a stream that looks complete because the head of the answer that was to resume it
 * was cut. */
static void
test_resumed (void)
{
  char text[TEXT_BYTES];

  raw_start ();
  for (size_t end = 0; end < COUNT (ends); end++)
    for (size_t i = 0; i < COUNT (heads); i++)
      {
        raw_keep_connections ();
        call_broken_stream ("1.1", ends[end], heads[i], text);
        CU_ASSERT_PTR_NULL (strstr (text, "\r\n0\r\n"));
        CU_ASSERT_EQUAL (call_broken_stream ("1.0", ends[end], heads[i], text), -1);
      }
  testbed_stop (&testbed);
}

/* Guards against a cut head of a rank that passes for a stream of its group. */
static void
test_model (void)
{
  testbed_start (&testbed);
  testbed_start_group (&testbed);
  testbed_publish (&testbed);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
  for (size_t i = 0; i < COUNT (heads); i++)
    {
      testbed_call (&testbed, "kept", "/model/x", NULL, "", &answer);
      testbed_fetch (testbed.ranks[0], "PUT", i % 2 ? "/raw?/model&close" : "/raw?/model&reset",
                     heads[i]);
      testbed_call (&testbed, "cut", "/model/x", NULL, "", &answer);
      raw_expect_unknown (heads[i]);
      testbed_fetch (testbed.ranks[0], "PUT", "/raw?/model", "");
    }
  testbed_stop (&testbed);
}

/* Guards against a cut head of the store that passes for an answer without changes, or for the word
 * that its history is gone. */
static void
test_store (void)
{
  static const char *const cases[] = {
    "HTTP/1.1 20",
    "HTTP/1.1 200 OK\\r\\n",
    "HTTP/1.1 200 OK\\r\\nContent-Length: 1",
    "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r",
    "HTTP/1.0 200 OK\\r\\n",
    "HTTP/1.1 410 Gone\\r\\nContent-Length: 0\\r\\n",
  };

  raw_start ();
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      raw_check_store (cases[i]);
      testbed_fetch (testbed.store_port, "PUT", "/mode?reset", "");
      raw_check_store (cases[i]);
    }
  testbed_stop (&testbed);
}

const struct fault_test router_cut_head_tests[] = {
  { "cut heads: requests that may not be repeated", test_once },
  { "cut heads: requests that may be repeated", test_safe },
  { "cut heads: streams", test_streams },
  { "cut heads: resumed streams", test_resumed },
  { "cut heads: streams of a group", test_model },
  { "cut heads: the store", test_store },
  { NULL, NULL },
};
