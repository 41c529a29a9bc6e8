/**
 * @file
 * Endpoints that send bytes that are no answer: no caller gets any of them as an answer, before or
 * after a byte of the answer has reached it, from new and from kept connections.
 */
#include "test/raw.h"
#include "test/router_raw.h"

#include <CUnit/CUnit.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LENGTH_5 "Content-Length: 5\\r\\n"

static void
check_all (const char *const *cases, size_t count)
{
  raw_start ();
  for (size_t i = 0; i < count; i++)
    {
      raw_check_once ("/once/x", "rawclose", cases[i]);
      raw_check_safe ("/safe/x", "rawclose", cases[i]);
    }
  CU_ASSERT (testbed_logged (&testbed, 0, " forward_malformed "));
  /* No answer of status 0 was served. */
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " route=r-once status=0 "));
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " route=r-safe status=0 "));
  testbed_stop (&testbed);
}

#define CHECK_ALL(cases) check_all (cases, sizeof (cases) / sizeof (cases)[0])

static void
test_status_lines (void)
{
  static const char *const cases[] = {
    "HTTP/1.1 000 Odd\\r\\n\\h" LENGTH_5 "\\r\\nhello",
    "HTTP/1.1 099 Odd\\r\\n\\h" LENGTH_5 "\\r\\nhello",
    "HTTP/1.1 20 Odd\\r\\n\\h" LENGTH_5 "\\r\\nhello",
    "HTTP/1.1 0200 Odd\\r\\n\\h" LENGTH_5 "\\r\\nhello",
    "HTTP/1.1 600 Odd\\r\\n\\h" LENGTH_5 "\\r\\nhello",
    "\\r\\nHTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "\\r\\nhello",
    "HTTP/1.1 200 O\\x00K\\r\\n\\h" LENGTH_5 "\\r\\nhello",
    "HTTP/1.1 000 Odd\\r\\n\\hAshspindle-Not-Executed: 1\\r\\n" LENGTH_5 "\\r\\nhello",
    "HTTP/1.1 100 Continue\\r\\n\\r\\nHTTP/1.1 000 Odd\\r\\n\\h" LENGTH_5 "\\r\\nhello",
    "hello",
  };

  CHECK_ALL (cases);
}

static void
test_field_names (void)
{
  static const char *const cases[] = {
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A b: x\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A : x\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A\\x01: x\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A\\x09: x\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A\\x7f: x\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A\\x00: x\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\hContent-Length : 5\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\hContent Length: 5\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 " A: x\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A\\r\\n\\r\\nhello",
    "HTTP/1.1 500 Failed\\r\\n\\h" LENGTH_5 "A b: x\\r\\n\\r\\nhello",
    "HTTP/1.1 103 Early\\r\\nA b: x\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "\\r\\nhello",
  };

  CHECK_ALL (cases);
}

static void
test_field_values (void)
{
  static const char *const cases[] = {
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A: \\x01\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A: \\x1b[2J\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A: \\x7f\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A: x\\x01\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "A: x\\ny: z\\r\\n\\r\\nhello",
  };

  CHECK_ALL (cases);
}

#define CHUNKS "HTTP/1.1 200 OK\\r\\n\\hTransfer-Encoding: chunked\\r\\n\\r\\n"

/* Chunked bodies that are broken before a byte of the answer has reached the caller. */
static void
test_chunks (void)
{
  static const char *const cases[] = {
    CHUNKS "5\\r\\nhelloXX0\\r\\n\\r\\n",
    CHUNKS "5\\rXhello\\r\\n0\\r\\n\\r\\n",
    CHUNKS "5 x\\r\\nhello\\r\\n0\\r\\n\\r\\n",
    CHUNKS "5;a\\x00b\\r\\nhello\\r\\n0\\r\\n\\r\\n",
    CHUNKS "5\\r\\nhello\\r\\n0\\r\\nA b: x\\r\\n\\r\\n",
    CHUNKS "5\\r\\nhello\\r\\n0\\r\\n\\rX",
    CHUNKS "5\\r\\nhello\\r\\n0\\r\\n",
    CHUNKS "5\\r\\nhello\\r\\nhello",
  };

  CHECK_ALL (cases);
}

#define EVENT_1 "F\\r\\nid: 1\\ndata: a\\n\\n"

/* Streams whose framing breaks after an event has reached the caller: another endpoint goes on, and
 * what came after the first event is not passed on. */
static void
test_chunks_midway (void)
{
  static const char *const rests[] = {
    "XX0\\r\\n\\r\\n",
    "\\r\\n13 x\\r\\nid: 2\\ndata: hello\\n\\n",
    "\\r\\n0\\r\\nA b: x\\r\\n\\r\\n",
    "\\r\\n0\\r\\n\\rX",
    "\\r\\n-1\\r\\n",
    "\\r\\nhello",
  };

  raw_start ();
  for (size_t i = 0; i < sizeof rests / sizeof rests[0]; i++)
    for (int round = 0; round < RAW_ROUNDS; round++)
      {
        char raw[512];
        char id[24];

        snprintf (raw, sizeof raw, "%s" EVENT_1 "%s", CHUNKS, rests[i]);
        raw_call_by_turns (id, "/stream/x", round, "rawclose", "stream", raw);
        CU_ASSERT (answer.status == 200 && answer.complete);
        CU_ASSERT_FALSE (answer_has ("hello"));
        testbed_expect_events (&answer, 1, 6);
      }
  testbed_stop (&testbed);
}

/* Fields that delimit the body: contradictory ones, and a body that its status can't have. */
static void
test_framing (void)
{
  static const char *const cases[] = {
    "HTTP/1.1 204 None\\r\\n\\h" LENGTH_5 "\\r\\nhello",
    "HTTP/1.1 204 None\\r\\n\\hTransfer-Encoding: "
    "chunked\\r\\n\\r\\n5\\r\\nhello\\r\\n0\\r\\n\\r\\n",
    "HTTP/1.1 101 Other\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "\\r\\nhello",
    "HTTP/1.1 103 Early\\r\\n" LENGTH_5 "\\r\\nhelloHTTP/1.1 200 OK\\r\\n\\h" LENGTH_5
    "\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\hContent-Length:\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\hContent-Length: 5, 5\\r\\n\\r\\nhello",
    "HTTP/1.1 200 OK\\r\\n\\hContent-Length: 5\\r\\nContent-Length: 6\\r\\n\\r\\nhello!",
    "HTTP/1.1 200 OK\\r\\n\\h" LENGTH_5 "Transfer-Encoding: "
    "chunked\\r\\n\\r\\n5\\r\\nhello\\r\\n0\\r\\n\\r\\n",
  };

  CHECK_ALL (cases);
}

/* Sends two requests over one connection, whose endpoints do @p action with @p raw for the first
 * one. Checks that the first answer has @p status and no body, and the second one follows it. */
static void
check_no_body (const char *raw, const char *status)
{
  int fd = testbed_connect (&testbed, 0);
  char text[2048];
  char *body;

  snprintf (text, sizeof text,
            "POST /safe/x HTTP/1.1\r\n" HEAD "n1\r\nX-Do: *=rawclose\r\nX-Raw: %s\r\n"
            "Content-Length: 0\r\n\r\nPOST /safe/x HTTP/1.1\r\n" HEAD
            "n2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            raw);
  testbed_send (fd, text);
  raw_read_until_closed (fd, text, sizeof text);
  body = strstr (text, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (body);
  if (!body)
    return;
  CU_ASSERT_EQUAL (strncmp (body + 4, "HTTP/1.1 200 OK\r\n", 17), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (body, "whole answer"));
  *body = '\0';
  CU_ASSERT_PTR_NOT_NULL (strstr (text, status));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Ashspindle-Server-Seal"));
  CU_ASSERT_PTR_NULL (strstr (text, "Content-Length"));
  CU_ASSERT_PTR_NULL (strstr (text, "Transfer-Encoding"));
}

/* An answer whose status can have no body ends with its head, whatever its fields say, and so does
 * what the caller gets. */
static void
test_no_body (void)
{
  start ();
  check_no_body ("HTTP/1.1 204 None\\r\\n\\h\\r\\n", "HTTP/1.1 204 ");
  check_no_body ("HTTP/1.1 204 None\\r\\n\\hContent-Length: 0\\r\\n\\r\\n", "HTTP/1.1 204 ");
  check_no_body ("HTTP/1.1 304 Same\\r\\n\\hContent-Length: 500\\r\\n\\r\\n", "HTTP/1.1 304 ");
  check_no_body ("HTTP/1.1 304 Same\\r\\n\\h\\r\\n", "HTTP/1.1 304 ");
  testbed_stop (&testbed);
}

/* Blanks around a field's value are not part of it: such an answer is valid. */
static void
test_blanks (void)
{
  static const char more[] =
      "X-Raw: HTTP/1.1 200 OK\\r\\nAshspindle-Attempt-Id: \\x09blank\\x09 \\r\\n"
      "Ashspindle-Server-Seal: x \\r\\nTransfer-Encoding: chunked \\r\\n\\r\\n"
      "5\\r\\nhello\\r\\n0\\r\\n\\r\\n\r\n";

  start ();
  testbed_call (&testbed, "blank", "/once/x", "*=rawclose", more, &answer);
  CU_ASSERT (answer.status == 200 && answer.complete);
  CU_ASSERT_STRING_EQUAL (answer.body, "hello");
  testbed_stop (&testbed);
}

/* @return how many callers have disconnected from the endpoints before their answer. */
static int
count_gone (void)
{
  int count = 0;

  for (int s = 0; s < TESTBED_SERVERS; s++)
    count += atoi (testbed_fetch (testbed.servers[s].port, "GET", "/gone", ""));
  return count;
}

/* Bytes that are no answer come without end: the router closes the connection, and doesn't wait for
 * the caller's deadline. */
static void
check_endless (const char *path, const char *raw)
{
  int gone = count_gone ();
  char id[24];

  raw_call (id, path, "*=rawloop", raw);
  raw_expect_unknown (raw);
  for (int i = 0; i < 100 && count_gone () == gone; i++)
    fleet_sleep_ms (20);
  CU_ASSERT (count_gone () > gone);
  raw_call (id, "/any/x", "A=rawloop B=ok", raw);
  CU_ASSERT (answer.status == 200 && strcmp (answer.body, "whole answer") == 0);
}

#define OTHER "HTTP/1.1 200 OK\\r\\nAshspindle-Attempt-Id: other\\r\\n"

static void
test_endless (void)
{
  static const char *const cases[] = {
    "\\*HTTP/1.1 100 Continue\\r\\n\\r\\n",
    "\\*" OTHER LENGTH_5 "\\r\\nhello",
    OTHER "Transfer-Encoding: chunked\\r\\n\\r\\n\\*5\\r\\nhello\\r\\n",
    OTHER "\\r\\n\\*hello",
    "HTTP/1.1 200 OK\\r\\n\\r\\n\\*hello",
    "HTTP/1.1 500 No\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n\\*5\\r\\nhello\\r\\n",
    "HTTP/1.1 200 OK\\r\\n\\hContent-Encoding: gzip\\r\\n\\r\\n\\*hello",
    "\\*hello",
    "HTTP/1.1 200 OK\\r\\n\\hA: \\*hello",
    "HTTP/1.1 200 OK\\r\\n\\h\\*A: hello\\r\\n",
    CHUNKS "5\\*;hello",
    CHUNKS "5\\r\\nhello\\r\\n0\\r\\n\\*A: hello\\r\\n",
  };

  raw_start ();
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    check_endless ("/longonce/x", cases[i]);
  testbed_stop (&testbed);
}

/* An event without end: the stream goes on at another endpoint, with the event after the last one
 * that was complete. */
static void
test_endless_event (void)
{
  static const char raw[] =
      "HTTP/1.1 200 OK\\r\\n\\h\\r\\nid: 1\\ndata: a\\n\\nid: 2\\ndata: \\*hello";
  char id[24];

  start ();
  for (int i = 0; i < 2; i++)
    {
      raw_call_by_turns (id, "/long/x", i, "rawloop", "stream", raw);
      CU_ASSERT (answer.status == 200 && answer.complete);
      CU_ASSERT_FALSE (answer_has ("hello"));
      testbed_expect_events (&answer, 1, 6);
    }
  testbed_stop (&testbed);
}

/* Sends a request whose answer's beginning reaches the caller. Checks that it gets more than
 * @p bytes, and then a connection that ends without the end of the answer. */
static void
check_cut (const char *raw, size_t bytes)
{
  char text[65536];
  char last[16] = "";
  ssize_t got;
  size_t total = 0;
  int fd = testbed_connect (&testbed, 0);

  snprintf (text, sizeof text,
            "POST /once/x HTTP/1.1\r\n" HEAD "cut\r\nX-Do: *=rawloop\r\nX-Raw: %s\r\n"
            "Content-Length: 0\r\n\r\n",
            raw);
  testbed_send (fd, text);
  while ((got = recv (fd, text, sizeof text, 0)) > 0)
    {
      total += (size_t) got;
      snprintf (last, sizeof last, "%.*s", got < 5 ? (int) got : 5, text + (got < 5 ? 0 : got - 5));
    }
  CU_ASSERT (total > bytes);
  CU_ASSERT_EQUAL (got, 0);
  CU_ASSERT_STRING_NOT_EQUAL (last, "0\r\n\r\n");
  close (fd);
}

/* A valid answer without end goes on until the route's time-out, and one whose framing breaks ends
 * there: neither looks complete. */
static void
test_endless_answer (void)
{
  start ();
  check_cut (CHUNKS "\\*5\\r\\nhello\\r\\n", 200000);
  check_cut (CHUNKS "30000\\r\\n\\*hello", 150000);
  testbed_call (&testbed, "after", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

static void
test_store (void)
{
  static const char *const cases[] = {
    "HTTP/1.1 000 Odd\\r\\n\\r\\n" RAW_REMOVED,
    "HTTP/1.1 0200 OK\\r\\n\\r\\n" RAW_REMOVED,
    "\\r\\nHTTP/1.1 200 OK\\r\\n\\r\\n" RAW_REMOVED,
    "HTTP/1.1 200 OK\\r\\nA b: x\\r\\n\\r\\n" RAW_REMOVED,
    "HTTP/1.1 200 OK\\r\\nA: \\x01\\r\\n\\r\\n" RAW_REMOVED,
    "HTTP/1.1 200 OK\\r\\nContent-Length : 5\\r\\n\\r\\n" RAW_REMOVED,
    "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n98 x\\r\\n" RAW_REMOVED
    "\\r\\n0\\r\\n\\r\\n",
    "HTTP/1.1 200 OK\\r\\nContent-Length: 1000\\r\\n\\r\\n" RAW_REMOVED,
    "HTTP/1.1 200 OK\\r\\n\\r\\n" RAW_REMOVED "}",
    "HTTP/1.1 200 OK\\r\\n\\r\\n{\"events\":[],\"StoreRevision\":-1}",
    "HTTP/1.1 200 OK\\r\\n\\r\\n{\"events\":[],\"StoreRevision\":9223372036854775807}",
    "hello",
  };

  raw_start ();
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    raw_check_store (cases[i]);
  testbed_stop (&testbed);
}

/* The store's answer comes without end, fast or slowly. */
static void
test_store_endless (void)
{
  static const char *const cases[] = {
    "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n\\*5\\r\\nhello\\r\\n",
    "HTTP/1.1 200 OK\\r\\n\\r\\n\\*{\"events\":[],",
    "\\*HTTP/1.1 100 Continue\\r\\n\\r\\n",
  };

  raw_start ();
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      raw_check_store (cases[i]);
      testbed_fetch (testbed.store_port, "PUT", "/mode?trickle", "");
      raw_check_store (cases[i]);
    }
  testbed_stop (&testbed);
}

/* ---- another process at a peer's address ---- */

struct impostor
{
  pthread_t thread;
  int listener;
  const char *text; /* sent again and again on each connection */
  volatile bool stop;
  volatile int connections;
  volatile int closed; /* connections that the router has closed */
};

static void *
send_without_end (void *data)
{
  struct impostor *impostor = data;

  while (!impostor->stop)
    {
      int fd = accept (impostor->listener, NULL, NULL);

      if (fd < 0)
        break;
      impostor->connections++;
      while (!impostor->stop &&
             send (fd, impostor->text, strlen (impostor->text), MSG_NOSIGNAL) > 0)
        continue;
      impostor->closed += !impostor->stop;
      close (fd);
    }
  return NULL;
}

/* The router dials the address of its second seed, where @p text comes without end. */
static void
check_impostor (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct impostor impostor = { .text = text };
  int on = 1;

  impostor.listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (impostor.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (testbed.routers[1].peer_port);
  CU_ASSERT_EQUAL_FATAL (bind (impostor.listener, (struct sockaddr *) &address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (impostor.listener, 8), 0);
  pthread_create (&impostor.thread, NULL, send_without_end, &impostor);
  for (int i = 0; i < 500 && impostor.closed < 3; i++)
    fleet_sleep_ms (20);
  CU_ASSERT (impostor.closed >= 3);
  testbed_call (&testbed, "peer", "/once/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  impostor.stop = true;
  shutdown (impostor.listener, SHUT_RDWR);
  pthread_join (impostor.thread, NULL);
  close (impostor.listener);
}

static void
test_peers (void)
{
  static const char *const texts[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "hello",
    "\001\001\001\001",
  };

  start ();
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    check_impostor (texts[i]);
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " link_up "));
  /* A router that comes to that address is a peer at once. */
  testbed_start_router (&testbed, 1);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " link_up "));
  testbed_stop (&testbed);
}

const struct fault_test router_broken_answer_tests[] = {
  { "broken answers: status lines", test_status_lines },
  { "broken answers: names of fields", test_field_names },
  { "broken answers: values of fields", test_field_values },
  { "broken answers: chunks", test_chunks },
  { "broken answers: chunks after the first event", test_chunks_midway },
  { "broken answers: framing", test_framing },
  { "broken answers: without end", test_endless },
  { "broken answers: an event without end", test_endless_event },
  { "an answer without end", test_endless_answer },
  { "broken answers: the store", test_store },
  { "broken answers: peers", test_peers },
  { "broken answers: the store's without end", test_store_endless },
  { "answers without a body", test_no_body },
  { "answers whose fields have blanks around their values", test_blanks },
  { NULL, NULL },
};
