#include "net/http_call.h"

#include "net/bind.h"
#include "net/http_grammar.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

/* How long an idle connection is kept if the server sends no Keep-Alive timeout. */
#define IDLE_TIMEOUT_DEFAULT_MS 4000

/* A longer Keep-Alive timeout of a server counts as this one. */
#define IDLE_TIMEOUT_MAX_S INT64_C (3600)

/* An idle connection is closed here this long before the Keep-Alive timeout of the server, so that
 * no request is sent while the server closes the connection. */
#define IDLE_MARGIN_MS 700

/* Idle connections kept per address: enough for a second of low load. */
#define IDLE_CONNS_MAX 8

struct ash_pool_conn
{
  struct ash_http_pool *pool;
  struct ash_http_call *call; /* NULL: the connection is idle */
  struct ash_stream stream;
  struct ash_http_reader reader;
  struct ash_time idle_until;
  struct ash_time last_read; /* when bytes were last received; zero if never */
  bool accepted;             /* the head of the call's response was accepted */
  size_t skipped_bytes;      /* received during the call, before its response */
  bool discarding;           /* the current response belongs to another request */
  bool closing;              /* the connection is not reused after the current response */
  bool reader_running;       /* the reader is on the call stack: the connection must not be freed */
  struct ash_pool_conn *prev;
  struct ash_pool_conn *next;
};

static void
free_pool_conn (struct ash_pool_conn *conn)
{
  ash_stream_finish (&conn->stream);
  ash_http_reader_finish (&conn->reader);
  DL_DELETE (conn->pool->conns, conn);
  conn->pool->open_count--;
  free (conn);
}

/* Detaches the call from its connection and calls its end handler, which may start another call:
 * the connection must be idle or freed already. */
static void
end_call (struct ash_http_call *call, enum ash_call_end end)
{
  call->conn = NULL;
  call->handler->end (call, end);
}

static void
fail (struct ash_pool_conn *conn, enum ash_call_end end)
{
  struct ash_http_call *call = conn->call;

  free_pool_conn (conn);
  if (call)
    end_call (call, end);
}

static int64_t
keep_alive_ms (const struct ash_http_head *head)
{
  const char *keep_alive = ash_http_field (head, "Keep-Alive");
  const char *timeout = keep_alive ? strstr (keep_alive, "timeout=") : NULL;
  long timeout_s;

  if (!timeout)
    return IDLE_TIMEOUT_DEFAULT_MS;
  timeout_s = strtol (timeout + strlen ("timeout="), NULL, 10);
  if (timeout_s < 0)
    return 0;
  return timeout_s > IDLE_TIMEOUT_MAX_S ? IDLE_TIMEOUT_MAX_S * 1000 : timeout_s * 1000;
}

static uint32_t
idle_count (const struct ash_http_pool *pool)
{
  const struct ash_pool_conn *conn;
  uint32_t count = 0;

  DL_FOREACH (pool->conns, conn)
    count += conn->call == NULL;
  return count;
}

static void
complete_response (struct ash_pool_conn *conn, bool reusable)
{
  struct ash_http_call *call = conn->call;
  int64_t keep_ms = keep_alive_ms (&conn->reader.head) - IDLE_MARGIN_MS;
  struct ash_http_pool *pool = conn->pool;

  reusable = reusable && conn->reader.head.keep_alive && conn->reader.head.framed &&
             !conn->closing && !conn->stream.out.length && !conn->stream.paused && keep_ms > 0 &&
             idle_count (pool) < pool->idle_max;
  if (reusable)
    {
      conn->call = NULL;
      conn->idle_until = ash_time_add (ash_clock_now (), keep_ms);
      ash_http_reader_next (&conn->reader);
      DL_DELETE (pool->conns, conn);
      DL_PREPEND (pool->conns, conn);
    }
  else
    free_pool_conn (conn);
  end_call (call, ASH_CALL_COMPLETE);
}

static bool
is_interim (const struct ash_http_reader *reader)
{
  return reader->head.status < ASH_HTTP_STATUS_FINAL;
}

/* ---- the reader's handler ---- */

static void
on_head (void *data, const struct ash_http_head *head)
{
  struct ash_pool_conn *conn = data;

  if (head->status < ASH_HTTP_STATUS_FINAL)
    return;
  switch (conn->call->handler->head (conn->call, head))
    {
    case ASH_CALL_ACCEPT:
      conn->accepted = true;
      break;
    case ASH_CALL_SKIP:
      conn->discarding = true;
      break;
    case ASH_CALL_REJECT:
      conn->reader.error = ASH_HTTP_MALFORMED;
      break;
    }
}

static void
on_body (void *data, const uint8_t *bytes, size_t length)
{
  struct ash_pool_conn *conn = data;

  if (conn->call && conn->accepted && !conn->call->handler->body (conn->call, bytes, length))
    conn->reader.error = ASH_HTTP_MALFORMED;
}

static const struct ash_http_handler reader_handler = { on_head, on_body };

/* ---- the stream's handler ---- */

static void
on_data (struct ash_stream *stream, const uint8_t *bytes, size_t length)
{
  struct ash_pool_conn *conn = stream->owner;
  size_t consumed = 0;
  size_t part;

  conn->last_read = ash_clock_now ();
  /* Unexpected data on an idle connection: no request is pending. */
  if (!conn->call)
    {
      free_pool_conn (conn);
      return;
    }
  while (consumed < length)
    {
      conn->reader_running = true;
      part = ash_http_reader_feed (&conn->reader, bytes + consumed, length - consumed);
      conn->reader_running = false;
      consumed += part;
      /* The owner cancelled the call from within its handler. */
      if (!conn->call)
        {
          free_pool_conn (conn);
          return;
        }
      conn->skipped_bytes += conn->accepted ? 0 : part;
      if (conn->reader.error || conn->skipped_bytes > ASH_HTTP_SKIPPED_MAX_BYTES)
        {
          fail (conn, ASH_CALL_MALFORMED);
          return;
        }
      if (!conn->reader.done)
        return;
      if (!is_interim (&conn->reader) && !conn->discarding)
        {
          complete_response (conn, consumed == length);
          return;
        }
      conn->closing = conn->closing || conn->discarding;
      conn->discarding = false;
      ash_http_reader_next (&conn->reader);
      conn->reader.no_body = conn->call->no_body;
    }
}

static void
on_end (struct ash_stream *stream, enum ash_stream_end end)
{
  struct ash_pool_conn *conn = stream->owner;

  if (!conn->call)
    free_pool_conn (conn);
  else if (end == ASH_STREAM_CONNECT_FAILED)
    fail (conn, ASH_CALL_NOT_SENT);
  else if (end == ASH_STREAM_EOF && !conn->discarding && ash_http_reader_eof (&conn->reader))
    complete_response (conn, false);
  else
    fail (conn, ASH_CALL_TRUNCATED);
}

static const struct ash_stream_handler stream_handler = { on_data, on_end, NULL };

/* ---- pool and calls ---- */

bool
ash_http_pool_init (struct ash_http_pool *pool, struct ev_loop *loop, const char *address)
{
  *pool = (struct ash_http_pool){ .loop = loop,
                                  .idle_max = IDLE_CONNS_MAX,
                                  .body_max_bytes = ASH_HTTP_BODY_UNBOUNDED };
  return ash_socket_address (address, &pool->address);
}

void
ash_http_pool_finish (struct ash_http_pool *pool)
{
  while (pool->conns)
    fail (pool->conns, ASH_CALL_TRUNCATED);
}

void
ash_http_pool_sweep (struct ash_http_pool *pool, struct ash_time now)
{
  struct ash_pool_conn *conn;
  struct ash_pool_conn *next;

  DL_FOREACH_SAFE (pool->conns, conn, next)
    if (!conn->call && !conn->reader_running && ash_time_before (conn->idle_until, now))
      free_pool_conn (conn);
}

void
ash_http_pool_close_idle (struct ash_http_pool *pool, struct ash_time since)
{
  struct ash_pool_conn *conn;
  struct ash_pool_conn *next;

  DL_FOREACH_SAFE (pool->conns, conn, next)
    if (!conn->call && !conn->reader_running && ash_time_before (conn->last_read, since))
      free_pool_conn (conn);
}

bool
ash_http_pool_set_address (struct ash_http_pool *pool, const char *address)
{
  ash_http_pool_close_idle (pool, ASH_TIME_NEVER);
  return ash_socket_address (address, &pool->address);
}

/* Returns the most recently used idle connection: it is the least likely to have been closed by the
 * server. One on which bytes have arrived meanwhile is closed: they answer no request, but would
 * be read as the answer to the next one. */
static struct ash_pool_conn *
find_idle (struct ash_http_pool *pool, struct ash_time read_since)
{
  struct ash_pool_conn *conn;
  struct ash_pool_conn *next;

  ash_http_pool_sweep (pool, ash_clock_now ());
  DL_FOREACH_SAFE (pool->conns, conn, next)
    if (!conn->call && !conn->reader_running && !ash_time_before (conn->last_read, read_since))
      {
        if (ash_stream_is_quiet (&conn->stream))
          return conn;
        free_pool_conn (conn);
      }
  return NULL;
}

static struct ash_pool_conn *
connect_conn (struct ash_http_pool *pool)
{
  struct ash_pool_conn *conn = calloc (1, sizeof *conn);

  if (!conn)
    return NULL;
  conn->pool = pool;
  if (!ash_stream_connect (&conn->stream, pool->loop, &pool->address, &stream_handler, conn))
    {
      free (conn);
      return NULL;
    }
  if (pool->silence_ms)
    ash_stream_keep_alive (&conn->stream, pool->silence_ms);
  ash_http_reader_init (&conn->reader, ASH_HTTP_RESPONSE, &reader_handler, conn);
  conn->reader.body_max_bytes = pool->body_max_bytes;
  pool->open_count++;
  DL_PREPEND (pool->conns, conn);
  return conn;
}

bool
ash_http_call_start (struct ash_http_call *call,
                     struct ash_http_pool *pool,
                     const void *request,
                     size_t request_bytes,
                     struct ash_time read_since)
{
  struct ash_pool_conn *conn = call->own_connection ? NULL : find_idle (pool, read_since);

  if (!conn)
    conn = connect_conn (pool);
  if (!conn)
    return false;
  conn->call = call;
  conn->closing = call->own_connection;
  conn->accepted = false;
  conn->skipped_bytes = 0;
  conn->discarding = false;
  conn->reader.no_body = call->no_body;
  call->conn = conn;
  ash_stream_write (&conn->stream, request, request_bytes);
  return true;
}

void
ash_http_call_cancel (struct ash_http_call *call)
{
  struct ash_pool_conn *conn = call->conn;

  if (!conn)
    return;
  call->conn = NULL;
  conn->call = NULL;
  /* This may be called from within the reader's callbacks: closes the stream now; the connection
   * is freed when the reader returns, or by the next sweep. */
  ash_stream_finish (&conn->stream);
  conn->idle_until = (struct ash_time){ 0 };
}

bool
ash_http_call_unacknowledged (const struct ash_http_call *call)
{
  return call->conn && ash_stream_unacknowledged (&call->conn->stream) > 0;
}

bool
ash_http_call_connecting (const struct ash_http_call *call)
{
  return call->conn && call->conn->stream.connecting;
}

void
ash_http_call_pause (struct ash_http_call *call, bool paused)
{
  if (call->conn)
    ash_stream_pause (&call->conn->stream, paused);
}
