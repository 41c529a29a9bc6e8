/**
 * @file
 * Calls over a pool of connections, to a server in the same event loop that answers with any bytes.
 */
#include "test/unit.h"

#include "net/http_call.h"
#include "test/answer_cases.h"
#include "test/unit_server.h"

#include <stdio.h>
#include <string.h>

#define TIMEOUT_S 10.0

/* A server, and the call that is made to it. */
struct world
{
  struct ev_loop *loop;
  struct unit_server server;
  struct ash_http_pool pool;
  struct ash_http_call call;
  bool own_connection; /* of the next call */
  bool ended;
  enum ash_call_end end;
  uint32_t heads; /* received by the call */
  char body[64];
};

static struct world world;

/* ---- the call ---- */

static enum ash_call_choice
on_head (struct ash_http_call *call, const struct ash_http_head *head)
{
  (void) call;
  (void) head;
  world.heads++;
  return ASH_CALL_ACCEPT;
}

static bool
on_body (struct ash_http_call *call, const uint8_t *bytes, size_t length)
{
  size_t held = strlen (world.body);

  (void) call;
  snprintf (world.body + held, sizeof world.body - held, "%.*s", (int) length,
            (const char *) bytes);
  return true;
}

static void
on_end (struct ash_http_call *call, enum ash_call_end end)
{
  (void) call;
  world.ended = true;
  world.end = end;
  ev_break (world.loop, EVBREAK_ALL);
}

static const struct ash_call_handler call_handler = { on_head, on_body, on_end };

/* Makes a call that is answered with the bytes. @return how it ended. */
static enum ash_call_end
call_answered (const struct answer_case *answer, bool no_body)
{
  static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

  world.server.answer = *answer;
  world.ended = false;
  world.heads = 0;
  *world.body = '\0';
  world.call = (struct ash_http_call){
    .handler = &call_handler,
    .no_body = no_body,
    .own_connection = world.own_connection,
  };
  CU_ASSERT_TRUE_FATAL (ash_http_call_start (&world.call, &world.pool, request, sizeof request - 1,
                                             (struct ash_time){ 0 }));
  unit_run_loop (world.loop, TIMEOUT_S);
  CU_ASSERT_TRUE_FATAL (world.ended);
  return world.end;
}

static enum ash_call_end
call (const char *text)
{
  return call_answered (&(struct answer_case){ text, strlen (text) }, false);
}

static void
start (void)
{
  memset (&world, 0, sizeof world);
  world.loop = ev_loop_new (EVFLAG_AUTO);
  CU_ASSERT_TRUE_FATAL (unit_server_start (&world.server, world.loop));
  CU_ASSERT_TRUE_FATAL (ash_http_pool_init (&world.pool, world.loop, world.server.address));
}

static void
finish (void)
{
  ash_http_pool_finish (&world.pool);
  unit_server_finish (&world.server);
  ev_loop_destroy (world.loop);
}

/* A body over the pool's bound ends the call, however the body is delimited. */
static void
test_body_bound (void)
{
  start ();
  world.pool.body_max_bytes = 10;
  CU_ASSERT_EQUAL (call ("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"),
                   ASH_CALL_COMPLETE);
  CU_ASSERT_STRING_EQUAL (world.body, "0123456789");
  CU_ASSERT_EQUAL (call ("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n"), ASH_CALL_MALFORMED);
  CU_ASSERT_EQUAL (call ("HTTP/1.1 200 OK\r\n\r\n01234567890"), ASH_CALL_MALFORMED);
  CU_ASSERT_EQUAL (call ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "6\r\n012345\r\n6\r\n67890"),
                   ASH_CALL_MALFORMED);
  finish ();
}

/* What arrived on a connection before a request was sent on it answers no request: the connection
 * is not used again, although the bytes look like an answer. */
static void
test_stale_bytes (void)
{
  static const char valid[] = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
  static const char *const stale[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale",
    "\r\n",
    "x",
  };

  start ();
  for (size_t i = 0; i < sizeof stale / sizeof stale[0]; i++)
    {
      struct ash_http_conn *conn;
      uint32_t connections;

      CU_ASSERT_EQUAL (call (valid), ASH_CALL_COMPLETE);
      connections = world.server.connections;
      CU_ASSERT_EQUAL (call (valid), ASH_CALL_COMPLETE);
      CU_ASSERT_EQUAL (world.server.connections, connections);
      /* The loop doesn't run before the next call, so these bytes are in the socket's buffer. */
      conn = world.server.listener.conns;
      while (conn->next)
        conn = conn->next;
      ash_stream_write (&conn->stream, stale[i], strlen (stale[i]));
      CU_ASSERT_EQUAL (call (valid), ASH_CALL_COMPLETE);
      CU_ASSERT_STRING_EQUAL (world.body, "own");
      CU_ASSERT_EQUAL (world.server.connections, connections + 1);
    }
  finish ();
}

/* A connection that the server has closed is not used again either. */
static void
test_closed_connection (void)
{
  static const char valid[] = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";

  start ();
  CU_ASSERT_EQUAL (call (valid), ASH_CALL_COMPLETE);
  ash_stream_finish (&world.server.listener.conns->stream);
  world.server.listener.conns->is_closed = true;
  CU_ASSERT_EQUAL (call (valid), ASH_CALL_COMPLETE);
  CU_ASSERT_EQUAL (world.server.requests, 2);
  finish ();
}

/* Guards against an answer to an earlier request that is taken for the answer to this one: the call
 * gets a connection that no other call uses, before or after it. */
static void
test_own_connection (void)
{
  static const char valid[] = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
  const struct answer_case answer = { valid, sizeof valid - 1 };

  start ();
  CU_ASSERT_EQUAL (call (valid), ASH_CALL_COMPLETE);
  for (uint32_t i = 0; i < 3; i++)
    {
      world.own_connection = true;
      CU_ASSERT_EQUAL (call_answered (&answer, false), ASH_CALL_COMPLETE);
      CU_ASSERT_EQUAL (world.server.connections, i + 2);
    }
  world.own_connection = false;
  CU_ASSERT_EQUAL (call (valid), ASH_CALL_COMPLETE);
  CU_ASSERT_EQUAL (world.server.connections, 4);
  finish ();
}

/* Cuts a head after @p length bytes, and checks that the call ends with a lost connection and
 * nothing of an answer. */
static void
check_cut_head (const struct answer_case *head, size_t length, bool kept, bool no_body)
{
  static const char valid[] = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
  const struct answer_case cut = { head->text, length };
  enum unit_server_end end = world.server.end;
  uint32_t connections;
  uint32_t requests;
  enum ash_call_end result;

  if (kept)
    {
      world.server.end = UNIT_SERVER_KEEPS;
      CU_ASSERT_EQUAL (call (valid), ASH_CALL_COMPLETE);
      world.server.end = end;
    }
  connections = world.server.connections;
  requests = world.server.requests;
  result = call_answered (&cut, no_body);
  CU_ASSERT (result == ASH_CALL_TRUNCATED && !world.heads && !*world.body);
  if (result != ASH_CALL_TRUNCATED || world.heads)
    printf ("\n  end %d, %u heads: %.*s", (int) result, world.heads, (int) length, head->text);
  CU_ASSERT_EQUAL (world.server.requests, requests + 1);
  CU_ASSERT_EQUAL (world.server.connections, connections + !kept);
}

/* Guards against an answer that is cut within its head and passes for a whole one: after each byte,
 * by a close and by a reset, on a new and on a kept connection, also where no body is awaited. */
static void
test_cut_heads (void)
{
  for (int end = UNIT_SERVER_CLOSES; end <= UNIT_SERVER_RESETS; end++)
    for (size_t i = 0; i < answer_cases.heads.count; i++)
      {
        const struct answer_case *head = &answer_cases.heads.cases[i];

        start ();
        world.server.end = (enum unit_server_end) end;
        for (size_t length = 0; length < head->length; length++)
          for (int variant = 0; variant < 4; variant++)
            check_cut_head (head, length, variant & 1, variant & 2);
        finish ();
      }
}

/* A time-out of any size that a server announces is one that can be computed with. */
static void
test_keep_alive_numbers (void)
{
  static const struct
  {
    const char *answer;
    bool kept;
  } cases[] = {
    { "HTTP/1.1 204 X\r\nKeep-Alive: timeout=5\r\n\r\n", true },
    { "HTTP/1.1 204 X\r\nKeep-Alive: timeout=99999999999999999999\r\n\r\n", true },
    { "HTTP/1.1 204 X\r\nKeep-Alive: timeout=9223372036854775\r\n\r\n", true },
    { "HTTP/1.1 204 X\r\nKeep-Alive: timeout=0\r\n\r\n", false },
    { "HTTP/1.1 204 X\r\nKeep-Alive: timeout=-99999999999999999999\r\n\r\n", false },
    { "HTTP/1.1 204 X\r\nKeep-Alive: timeout=x\r\n\r\n", false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      start ();
      CU_ASSERT_EQUAL (call (cases[i].answer), ASH_CALL_COMPLETE);
      CU_ASSERT_EQUAL (call (cases[i].answer), ASH_CALL_COMPLETE);
      CU_ASSERT_EQUAL (world.server.connections, cases[i].kept ? 1 : 2);
      finish ();
    }
}

void
add_call_tests (CU_pSuite suite)
{
  CU_add_test (suite, "calls: bodies over the bound", test_body_bound);
  CU_add_test (suite, "calls: bytes before the request", test_stale_bytes);
  CU_add_test (suite, "calls: a connection that was closed", test_closed_connection);
  CU_add_test (suite, "calls: a connection of its own", test_own_connection);
  CU_add_test (suite, "calls: answers cut within their heads", test_cut_heads);
  CU_add_test (suite, "calls: time-outs that servers announce", test_keep_alive_numbers);
}
