#include "net/http_conn.h"

#include "net/bind.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

/* Default limits, used until the configuration sets others. */
#define HEAD_MAX_BYTES 16384
#define BODY_MAX_BYTES (4 * 1024 * 1024)
#define HEAD_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 15000

#define SWEEP_S 0.1

/* Keep-alive timeout of callers' connections. After this time without a response from the caller's
 * kernel, the caller counts as disconnected and its request is cancelled. The timeout leaves time
 * for the retransmission of a lost packet, like USER_TIMEOUT_MS in net/stream.c. */
#define CALLER_SILENCE_MS 3000

/* Bytes that a caller may send while its request is served, before reading is stopped. */
#define PIPELINED_MAX_BYTES 16384

/* Default limit on all request bodies of a listener together. */
#define BODIES_MAX_BYTES (48 * 1024 * 1024)

/* When a caller may send a request again whose body did not fit the memory: bodies are held until
 * their requests are answered. */
#define BODY_RETRY_AFTER_S "1"

/* While a listener closes, how long a connection without a request may still send its first one,
 * which may be in transit: as long as callers wait for a connection to be established. */
#define FIRST_REQUEST_WAIT_MS 1000

/* How long a caller may take to close a connection after its last response, and how long it may
 * read nothing of a response. */
#define CLOSING_TIMEOUT_MS 3000

static void
set_state (struct ash_http_conn *conn, enum ash_conn_state state)
{
  conn->state = state;
  conn->since = ash_clock_now ();
  /* What was seen of the send queue before belongs to an earlier response. */
  conn->unwritten_bytes = 0;
}

static void
drop_body (struct ash_http_conn *conn)
{
  conn->listener->body_bytes -= conn->body.length;
  ash_buffer_finish (&conn->body);
}

/* Closes the stream. The sweep frees the connection, as functions on the call stack may still use
 * it. */
static void
close_caller (struct ash_http_conn *conn)
{
  ash_stream_finish (&conn->stream);
  drop_body (conn);
  ash_buffer_finish (&conn->pipelined);
  conn->is_closed = true;
}

static void
free_conn (struct ash_http_conn *conn)
{
  ash_stream_finish (&conn->stream);
  ash_http_reader_finish (&conn->reader);
  ash_buffer_finish (&conn->body);
  ash_buffer_finish (&conn->pipelined);
  DL_DELETE (conn->listener->conns, conn);
  conn->listener->conn_count--;
  free (conn);
}

/* ---- responses ---- */

/* While the listener closes, pipelined requests that were received are still served: if they were
 * dropped, the caller could not know whether they ran. */
static bool
stays_open (const struct ash_http_conn *conn)
{
  return conn->reader.head.keep_alive && conn->reader.done &&
         (!conn->listener->closing || conn->pipelined.length);
}

static void
write_head (struct ash_http_conn *conn,
            uint16_t status,
            const char *fields,
            size_t fields_bytes,
            const char *framing)
{
  char line[256];
  int length;

  conn->keep_open = stays_open (conn);
  length = snprintf (line, sizeof line, "HTTP/1.1 %u %s\r\n%s%s", status,
                     ash_http_reason_phrase (status), framing,
                     conn->keep_open ? "" : "Connection: close\r\n");
  conn->head_sent = true;
  /* Only queued: the head is sent in one system call together with the start of the body. */
  ash_stream_queue (&conn->stream, line, (size_t) length);
  ash_stream_queue (&conn->stream, fields, fields_bytes);
  ash_stream_queue (&conn->stream, "\r\n", 2);
}

static void feed (struct ash_http_conn *conn, const uint8_t *bytes, size_t length);

static void
finish_response (struct ash_http_conn *conn)
{
  struct ash_buffer pipelined = conn->pipelined;

  conn->request = NULL;
  conn->head_sent = false;
  conn->had_request = true;
  drop_body (conn);
  if (!conn->keep_open)
    {
      set_state (conn, ASH_CONN_CLOSING);
      if (!conn->stream.out.length)
        {
          shutdown (conn->stream.fd, SHUT_WR);
          ash_stream_pause (&conn->stream, false);
        }
      return;
    }
  set_state (conn, ASH_CONN_IDLE);
  ash_http_reader_next (&conn->reader);
  conn->continue_sent = false;
  ash_stream_pause (&conn->stream, false);
  if (!pipelined.length)
    return;
  conn->pipelined = (struct ash_buffer){ 0 };
  feed (conn, pipelined.bytes + pipelined.start, pipelined.length);
  ash_buffer_finish (&pipelined);
}

void
ash_http_conn_respond (struct ash_http_conn *conn,
                       uint16_t status,
                       const char *fields,
                       size_t fields_bytes,
                       const void *body,
                       size_t body_bytes)
{
  bool has_body = ash_http_status_has_body (status);
  bool is_head = conn->reader.head.method && strcmp (conn->reader.head.method, "HEAD") == 0;
  bool head_only = is_head || !has_body;
  char framing[64] = "";

  if (conn->is_closed)
    return;
  if (has_body)
    snprintf (framing, sizeof framing, "Content-Length: %zu\r\n", body_bytes);
  write_head (conn, status, fields, fields_bytes, framing);
  ash_stream_write (&conn->stream, body, head_only ? 0 : body_bytes);
  if (!body_bytes || head_only)
    ash_stream_write (&conn->stream, "", 0);
  finish_response (conn);
}

void
ash_http_conn_begin (struct ash_http_conn *conn,
                     uint16_t status,
                     const char *fields,
                     size_t fields_bytes)
{
  if (conn->is_closed)
    return;
  conn->chunked = !conn->reader.head.http_1_0;
  if (!conn->chunked)
    conn->reader.head.keep_alive = false;
  write_head (conn, status, fields, fields_bytes,
              conn->chunked ? "Transfer-Encoding: chunked\r\n" : "");
}

void
ash_http_conn_write (struct ash_http_conn *conn, const void *bytes, size_t length)
{
  char size[32];

  if (conn->is_closed || !length)
    return;
  if (conn->chunked)
    {
      snprintf (size, sizeof size, "%zx\r\n", length);
      ash_stream_queue (&conn->stream, size, strlen (size));
      ash_stream_queue (&conn->stream, bytes, length);
      ash_stream_write (&conn->stream, "\r\n", 2);
    }
  else
    ash_stream_write (&conn->stream, bytes, length);
}

void
ash_http_conn_reset (struct ash_http_conn *conn)
{
  if (conn->is_closed)
    return;
  ash_stream_reset (&conn->stream);
  close_caller (conn);
}

void
ash_http_conn_end (struct ash_http_conn *conn, bool complete)
{
  if (conn->is_closed)
    return;
  if (complete && conn->chunked)
    ash_stream_write (&conn->stream, "0\r\n\r\n", 5);
  if (!complete)
    {
      conn->keep_open = false;
      /* Without chunked coding, a regular close would mark the end of a complete response. */
      if (!conn->chunked)
        {
          ash_http_conn_reset (conn);
          conn->request = NULL;
          return;
        }
    }
  finish_response (conn);
}

size_t
ash_http_conn_queued (const struct ash_http_conn *conn)
{
  return conn->stream.out.length;
}

/* ---- requests ---- */

static void
respond_final (struct ash_http_conn *conn, uint16_t status, const char *fields, const char *text)
{
  conn->reader.head.keep_alive = false;
  set_state (conn, ASH_CONN_SERVING);
  ash_http_conn_respond (conn, status, fields, strlen (fields), text, strlen (text));
}

static void
respond_error (struct ash_http_conn *conn, uint16_t status, const char *text)
{
  respond_final (conn, status, "", text);
}

static void
respond_unreadable (struct ash_http_conn *conn)
{
  switch (conn->reader.error)
    {
    case ASH_HTTP_HEAD_TOO_LARGE:
      respond_error (conn, 431, "the head of the request is too large\n");
      break;
    case ASH_HTTP_BODY_TOO_LARGE:
      if (conn->body_refused)
        respond_final (conn, 503, "Retry-After: " BODY_RETRY_AFTER_S "\r\n",
                       "no memory for the body now: the request did not run\n");
      else
        respond_error (conn, 413, "the body of the request is too large\n");
      break;
    case ASH_HTTP_UNSUPPORTED_CODING:
      respond_error (conn, 501, "only the transfer coding chunked is known\n");
      break;
    case ASH_HTTP_MALFORMED:
    case ASH_HTTP_OK:
      respond_error (conn, 400, "the request is malformed\n");
      break;
    }
}

static void
on_head (void *data, const struct ash_http_head *head)
{
  struct ash_http_conn *conn = data;
  const char *expect = ash_http_field (head, "Expect");

  if (expect && strcasecmp (expect, "100-continue") == 0 && !conn->continue_sent)
    {
      static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";

      conn->continue_sent = true;
      ash_stream_write (&conn->stream, text, sizeof text - 1);
    }
}

static void
on_body (void *data, const uint8_t *bytes, size_t length)
{
  struct ash_http_conn *conn = data;

  if (conn->listener->body_bytes + length > conn->listener->bodies_max_bytes ||
      !ash_buffer_append (&conn->body, bytes, length))
    {
      conn->body_refused = true;
      conn->reader.error = ASH_HTTP_BODY_TOO_LARGE;
      return;
    }
  conn->listener->body_bytes += length;
}

static const struct ash_http_handler reader_handler = { on_head, on_body };

/* The bounds may have changed since the last request on the connection. */
static void
begin_request (struct ash_http_conn *conn)
{
  conn->reader.head_max_bytes = conn->listener->bounds.head_max_bytes;
  conn->reader.body_max_bytes = conn->listener->bounds.body_max_bytes;
  set_state (conn, ASH_CONN_READING);
}

static void
feed (struct ash_http_conn *conn, const uint8_t *bytes, size_t length)
{
  size_t consumed;

  if (conn->state == ASH_CONN_IDLE)
    begin_request (conn);
  consumed = ash_http_reader_feed (&conn->reader, bytes, length);
  if (!conn->reader.started)
    set_state (conn, ASH_CONN_IDLE);
  if (consumed < length && !conn->reader.error)
    ash_buffer_append (&conn->pipelined, bytes + consumed, length - consumed);
  if (conn->reader.error)
    respond_unreadable (conn);
  else if (conn->reader.done)
    {
      set_state (conn, ASH_CONN_SERVING);
      conn->listener->handler->request (conn);
    }
}

static void
on_data (struct ash_stream *stream, const uint8_t *bytes, size_t length)
{
  struct ash_http_conn *conn = stream->owner;

  switch (conn->state)
    {
    case ASH_CONN_IDLE:
    case ASH_CONN_READING:
      feed (conn, bytes, length);
      break;
    case ASH_CONN_SERVING:
      ash_buffer_append (&conn->pipelined, bytes, length);
      if (conn->pipelined.length > PIPELINED_MAX_BYTES)
        ash_stream_pause (&conn->stream, true);
      break;
    case ASH_CONN_CLOSING:
      break; /* discarded: closing a socket with unread bytes would reset the connection */
    }
}

static void
on_end (struct ash_stream *stream, enum ash_stream_end end)
{
  struct ash_http_conn *conn = stream->owner;
  bool serving = conn->state == ASH_CONN_SERVING;

  (void) end;
  close_caller (conn);
  if (serving)
    conn->listener->handler->disconnected (conn);
}

static void
on_drained (struct ash_stream *stream)
{
  struct ash_http_conn *conn = stream->owner;

  if (conn->state == ASH_CONN_CLOSING)
    shutdown (conn->stream.fd, SHUT_WR);
  else if (conn->state == ASH_CONN_SERVING && conn->listener->handler->drained)
    conn->listener->handler->drained (conn);
}

static const struct ash_stream_handler stream_handler = { on_data, on_end, on_drained };

/* ---- the listener ---- */

static void
add_conn (struct ash_http_listener *listener, int fd)
{
  struct ash_http_conn *conn = calloc (1, sizeof *conn);

  if (!conn)
    {
      close (fd);
      return;
    }
  conn->listener = listener;
  ash_stream_init (&conn->stream, listener->loop, fd, &stream_handler, conn);
  conn->stream.queued_total = listener->queued_total;
  ash_stream_keep_alive (&conn->stream, CALLER_SILENCE_MS);
  ash_http_reader_init (&conn->reader, ASH_HTTP_REQUEST, &reader_handler, conn);
  set_state (conn, ASH_CONN_IDLE);
  DL_APPEND (listener->conns, conn);
  listener->conn_count++;
}

static void
accept_all (struct ash_http_listener *listener)
{
  int fd;

  for (;;)
    {
      /* Further connections wait in the kernel's queue until the sweep has freed some. */
      if (listener->conn_count >= listener->conn_max)
        {
          ev_io_stop (listener->loop, &listener->io);
          return;
        }
      fd = accept4 (listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0 && errno == EINTR)
        continue;
      /* Out of file descriptors: the sweep accepts again, so that not every loop iteration tries.
       */
      if (fd < 0 && (errno == EMFILE || errno == ENFILE))
        ev_io_stop (listener->loop, &listener->io);
      if (fd < 0)
        return;
      add_conn (listener, fd);
    }
}

static void
on_acceptable (struct ev_loop *loop, ev_io *io, int events)
{
  (void) loop;
  (void) events;
  accept_all (io->data);
}

/* Closing a socket with unread bytes resets the connection, so that a request which arrived in time
 * would get no response. */
static bool
has_unread (const struct ash_http_conn *conn)
{
  uint8_t byte;

  return recv (conn->stream.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Whether a part of a response waits to be written, and the caller goes on reading: the connection
 * must not be closed, whatever its state. */
static bool
is_being_read (struct ash_http_conn *conn, struct ash_time now)
{
  if (!conn->stream.out.length)
    return false;
  if (conn->stream.out.length != conn->unwritten_bytes)
    {
      conn->unwritten_bytes = conn->stream.out.length;
      conn->written_at = now;
    }
  return ash_time_diff (conn->written_at, now) <= CLOSING_TIMEOUT_MS;
}

static void
sweep_idle (struct ash_http_conn *conn, struct ash_time now)
{
  int64_t idle_ms = conn->listener->bounds.idle_timeout_ms;

  /* A connection is idle from the time on at which its last response was written. */
  if (is_being_read (conn, now))
    {
      conn->since = now;
      return;
    }
  if (conn->listener->closing)
    idle_ms = conn->had_request ? -1 : FIRST_REQUEST_WAIT_MS;
  if (ash_time_diff (conn->since, now) > idle_ms && !has_unread (conn))
    close_caller (conn);
}

static void
sweep_conn (struct ash_http_conn *conn, struct ash_time now)
{
  const struct ash_http_bounds *bounds = &conn->listener->bounds;
  int64_t age_ms = ash_time_diff (conn->since, now);

  if (conn->is_closed)
    {
      if (conn->state != ASH_CONN_SERVING || !conn->request)
        free_conn (conn);
      return;
    }
  switch (conn->state)
    {
    case ASH_CONN_IDLE:
      sweep_idle (conn, now);
      break;
    case ASH_CONN_READING:
      if (age_ms > bounds->head_timeout_ms)
        respond_error (conn, 408, "the request did not arrive in time\n");
      break;
    case ASH_CONN_CLOSING:
      if (is_being_read (conn, now))
        conn->since = now;
      else if (age_ms > CLOSING_TIMEOUT_MS)
        close_caller (conn);
      break;
    case ASH_CONN_SERVING:
      break;
    }
}

static void
on_sweep (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_http_listener *listener = timer->data;
  struct ash_time now = ash_clock_now ();
  struct ash_http_conn *conn;
  struct ash_http_conn *next;

  (void) events;
  DL_FOREACH_SAFE (listener->conns, conn, next)
    sweep_conn (conn, now);
  if (listener->fd >= 0 && listener->conn_count < listener->conn_max)
    ev_io_start (loop, &listener->io);
}

bool
ash_http_listen (struct ash_http_listener *listener,
                 struct ev_loop *loop,
                 const char *address,
                 const struct ash_conn_handler *handler,
                 void *owner)
{
  *listener = (struct ash_http_listener){
    .loop = loop,
    .handler = handler,
    .owner = owner,
    .bounds = { HEAD_MAX_BYTES, BODY_MAX_BYTES, HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS },
    .conn_max = UINT32_MAX,
    .bodies_max_bytes = BODIES_MAX_BYTES,
  };
  listener->fd = ash_listen (address);
  if (listener->fd < 0)
    return false;
  ev_io_init (&listener->io, on_acceptable, listener->fd, EV_READ);
  listener->io.data = listener;
  ev_io_start (loop, &listener->io);
  ev_timer_init (&listener->sweep, on_sweep, SWEEP_S, SWEEP_S);
  listener->sweep.data = listener;
  ev_timer_start (loop, &listener->sweep);
  return true;
}

static void
stop_listening (struct ash_http_listener *listener)
{
  if (listener->fd < 0)
    return;
  ev_io_stop (listener->loop, &listener->io);
  close (listener->fd);
  listener->fd = -1;
}

void
ash_http_listener_finish (struct ash_http_listener *listener)
{
  struct ash_http_conn *conn;
  struct ash_http_conn *next;

  stop_listening (listener);
  if (listener->loop)
    ev_timer_stop (listener->loop, &listener->sweep);
  DL_FOREACH_SAFE (listener->conns, conn, next)
    free_conn (conn);
}

void
ash_http_listener_drain (struct ash_http_listener *listener)
{
  listener->closing = true;
}

void
ash_http_listener_stop_accepting (struct ash_http_listener *listener)
{
  struct ash_time now = ash_clock_now ();
  struct ash_http_conn *conn;

  ash_http_listener_drain (listener);
  if (listener->fd >= 0)
    accept_all (listener);
  stop_listening (listener);
  DL_FOREACH (listener->conns, conn)
    if (!conn->is_closed && conn->state == ASH_CONN_IDLE)
      sweep_idle (conn, now);
}

bool
ash_http_listener_has_callers (const struct ash_http_listener *listener)
{
  const struct ash_http_conn *conn;

  DL_FOREACH (listener->conns, conn)
    if (!conn->is_closed)
      return true;
  return false;
}

uint32_t
ash_http_listener_busy (const struct ash_http_listener *listener)
{
  const struct ash_http_conn *conn;
  uint32_t busy = 0;

  DL_FOREACH (listener->conns, conn)
    busy += !conn->is_closed && (conn->state != ASH_CONN_IDLE || conn->stream.out.length);
  return busy;
}
