/**
 * @file
 * Fetches with libcurl, from a server in the same event loop that answers with any bytes.
 */
#include "test/unit.h"

#include "net/http_client.h"
#include "test/answer_cases.h"
#include "test/unit_server.h"

#include <stdio.h>
#include <string.h>

#define TIMEOUT_S 10.0

static struct
{
  struct ev_loop *loop;
  struct unit_server server;
  struct ash_http_client client;
  char url[64];
  bool fresh_connection; /* of the next fetch */
  bool ended;
  enum ash_fetch_result result;
  uint32_t status; /* 0: no head was reported */
} world;

/* ---- fetches ---- */

static void
on_head (void *data, uint32_t status, const char *content_type, uint64_t revision)
{
  (void) data;
  (void) content_type;
  (void) revision;
  world.status = status;
}

static void
on_bytes (void *data, const uint8_t *bytes, size_t length)
{
  (void) data;
  (void) bytes;
  (void) length;
}

static void
on_end (void *data, enum ash_fetch_result result)
{
  (void) data;
  world.ended = true;
  world.result = result;
  ev_break (world.loop, EVBREAK_ALL);
}

/* @return how a fetch ends that is answered with the bytes. */
static enum ash_fetch_result
fetch (const struct answer_case *answer)
{
  struct ash_fetch_request request = {
    .url = world.url,
    .method = "GET",
    .fresh_connection = world.fresh_connection,
  };
  struct ash_fetch_handler handler = { on_head, on_bytes, on_end, NULL };

  world.server.answer = *answer;
  world.ended = false;
  world.status = 0;
  CU_ASSERT_PTR_NOT_NULL_FATAL (ash_http_client_start (&world.client, &request, &handler));
  unit_run_loop (world.loop, TIMEOUT_S);
  CU_ASSERT_TRUE_FATAL (world.ended);
  return world.result;
}

static void
start (void)
{
  memset (&world, 0, sizeof world);
  world.loop = ev_loop_new (EVFLAG_AUTO);
  CU_ASSERT_TRUE_FATAL (unit_server_start (&world.server, world.loop));
  world.server.end = UNIT_SERVER_CLOSES;
  snprintf (world.url, sizeof world.url, "http://%s/", world.server.address);
  CU_ASSERT_TRUE_FATAL (ash_http_client_init (&world.client, world.loop));
}

static void
finish (void)
{
  ash_http_client_finish (&world.client);
  unit_server_finish (&world.server);
  ev_loop_destroy (world.loop);
}

/* Whether the last fetch ended as it should. */
static void
check (const struct answer_case *c, bool ok)
{
  CU_ASSERT (ok);
  if (ok)
    return;
  printf ("\n  result %d, status %u: ", (int) world.result, world.status);
  for (size_t i = 0; i < c->length; i++)
    printf (c->text[i] >= ' ' && c->text[i] < '\177' ? "%c" : "\\x%02x",
            (unsigned char) c->text[i]);
}

static void
check_broken (struct answer_list list, bool head_is_valid)
{
  start ();
  for (size_t i = 0; i < list.count; i++)
    {
      enum ash_fetch_result result = fetch (&list.cases[i]);

      check (&list.cases[i], result == ASH_FETCH_FAILED && (head_is_valid || world.status == 0));
    }
  finish ();
}

static void
test_status_lines (void)
{
  check_broken (answer_cases.broken_status_lines, false);
}

static void
test_field_lines (void)
{
  check_broken (answer_cases.broken_field_lines, false);
}

static void
test_framing_fields (void)
{
  check_broken (answer_cases.broken_framing_fields, false);
}

static void
test_bodies (void)
{
  check_broken (answer_cases.broken_bodies, true);
}

static void
check_valid (struct answer_list list)
{
  start ();
  for (size_t i = 0; i < list.count; i++)
    /* Interim answers alone are no answer. libcurl knows no later HTTP/1.x. */
    if (strncmp (list.cases[i].text, "HTTP/1.1 1", 10) != 0 &&
        strncmp (list.cases[i].text, "HTTP/1.9", 8) != 0)
      {
        enum ash_fetch_result result = fetch (&list.cases[i]);

        check (&list.cases[i], result == ASH_FETCH_COMPLETE && world.status >= 200);
      }
  finish ();
}

static void
test_valid (void)
{
  check_valid (answer_cases.valid_answers);
  check_valid (answer_cases.followed_answers);
}

/* Answers without end before the one that is awaited. */
static void
test_interim_answers (void)
{
  static const char interim[] = "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n";
  static const char final[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  struct ash_buffer text = { 0 };

  start ();
  for (int i = 0; i < 3; i++)
    ash_buffer_append (&text, interim, sizeof interim - 1);
  ash_buffer_append (&text, final, sizeof final - 1);
  CU_ASSERT_EQUAL (fetch (&(struct answer_case){ (char *) text.bytes, text.length }),
                   ASH_FETCH_COMPLETE);
  CU_ASSERT_EQUAL (world.status, 200);
  ash_buffer_consume (&text, text.length);
  while (text.length < 2 * ASH_HTTP_SKIPPED_MAX_BYTES)
    ash_buffer_append (&text, interim, sizeof interim - 1);
  ash_buffer_append (&text, final, sizeof final - 1);
  CU_ASSERT_EQUAL (fetch (&(struct answer_case){ (char *) text.bytes + text.start, text.length }),
                   ASH_FETCH_FAILED);
  ash_buffer_finish (&text);
  finish ();
}

/* Which connection a request goes over. */
enum connection
{
  NEW_CONNECTION,
  KEPT_CONNECTION,
  FRESH_CONNECTION, /* a new one on purpose, although another one is kept */
};

/* Cuts a head after @p length bytes, and checks that the fetch fails with nothing of an answer. */
static void
check_cut_head (const struct answer_case *head, size_t length, enum connection connection)
{
  static const char valid[] = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
  const struct answer_case first = { valid, sizeof valid - 1 };
  const struct answer_case cut = { head->text, length };
  enum unit_server_end end = world.server.end;
  uint32_t requests;

  world.fresh_connection = false;
  if (connection != NEW_CONNECTION)
    {
      world.server.end = UNIT_SERVER_KEEPS;
      CU_ASSERT_EQUAL (fetch (&first), ASH_FETCH_COMPLETE);
      world.server.end = end;
    }
  world.fresh_connection = connection == FRESH_CONNECTION;
  requests = world.server.requests;
  check (&cut, fetch (&cut) == ASH_FETCH_FAILED && world.status == 0);
  /* What may be repeated is sent again by libcurl, if not even a status line has come. */
  CU_ASSERT (world.server.requests == requests + 1 ||
             (connection == KEPT_CONNECTION && world.server.requests == requests + 2));
}

static void
check_cut_heads (enum unit_server_end end, enum connection connection)
{
  for (size_t i = 0; i < answer_cases.heads.count; i++)
    {
      const struct answer_case *head = &answer_cases.heads.cases[i];

      start ();
      world.server.end = end;
      for (size_t length = 0; length < head->length; length++)
        check_cut_head (head, length, connection);
      finish ();
    }
}

/* Guards against an answer that is cut within its head and passes for a whole one: after each byte,
 * by a close and by a reset; and against a second run of what may not be repeated. */
static void
test_cut_heads (void)
{
  for (int end = UNIT_SERVER_CLOSES; end <= UNIT_SERVER_RESETS; end++)
    for (int connection = NEW_CONNECTION; connection <= FRESH_CONNECTION; connection++)
      check_cut_heads ((enum unit_server_end) end, (enum connection) connection);
}

void
add_fetch_tests (CU_pSuite suite)
{
  CU_add_test (suite, "fetches: status lines", test_status_lines);
  CU_add_test (suite, "fetches: field lines", test_field_lines);
  CU_add_test (suite, "fetches: framing fields", test_framing_fields);
  CU_add_test (suite, "fetches: bodies", test_bodies);
  CU_add_test (suite, "fetches: valid answers", test_valid);
  CU_add_test (suite, "fetches: interim answers", test_interim_answers);
  CU_add_test (suite, "fetches: answers cut within their heads", test_cut_heads);
}
