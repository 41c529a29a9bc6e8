#include "net/http_call.h"

#include "net/bind.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

/* How long an idle connection is kept when the server names no time, and how
 * long before the named time it is closed here, so that no request meets the
 * server's close. */
#define IDLE_DEFAULT_MS 4000
#define IDLE_MARGIN_MS 700

/* Idle connections kept to one address: what a calm second needs. */
#define IDLE_MAX 8

struct ash_http_link
{
  struct ash_http_pool *pool;
  struct ash_http_call *call; /* NULL: idle */
  struct ash_stream stream;
  struct ash_http_reader reader;
  struct ash_time idle_until;
  struct ash_time heard; /* the last bytes; unset before the first */
  bool foreign;          /* the present answer belongs to no request of ours */
  bool closing;          /* not to be used again */
  bool feeding;          /* its reader is at work further up: not to be freed by a sweep */
  struct ash_http_link *prev;
  struct ash_http_link *next;
};

static void
free_link (struct ash_http_link *link)
{
  ash_stream_finish (&link->stream);
  ash_http_reader_finish (&link->reader);
  DL_DELETE (link->pool->links, link);
  link->pool->open_count--;
  free (link);
}

/* Takes the call off its link and tells its end, after the link is in order. */
static void
end_call (struct ash_http_call *call, enum ash_call_end end)
{
  call->link = NULL;
  call->handler->end (call, end);
}

static void
fail (struct ash_http_link *link, enum ash_call_end end)
{
  struct ash_http_call *call = link->call;

  free_link (link);
  if (call)
    end_call (call, end);
}

static int64_t
idle_ms (const struct ash_http_head *head)
{
  const char *keep_alive = ash_http_field (head, "Keep-Alive");
  const char *timeout = keep_alive ? strstr (keep_alive, "timeout=") : NULL;

  if (!timeout)
    return IDLE_DEFAULT_MS;
  return strtol (timeout + strlen ("timeout="), NULL, 10) * 1000;
}

static uint32_t
idle_count (const struct ash_http_pool *pool)
{
  const struct ash_http_link *link;
  uint32_t count = 0;

  DL_FOREACH (pool->links, link)
    count += link->call == NULL;
  return count;
}

static void
end_answer (struct ash_http_link *link, bool clean)
{
  struct ash_http_call *call = link->call;
  int64_t keep_ms = idle_ms (&link->reader.head) - IDLE_MARGIN_MS;
  struct ash_http_pool *pool = link->pool;

  clean = clean && link->reader.head.keep_alive && link->reader.head.framed && !link->closing &&
          !link->stream.out.length && !link->stream.paused && keep_ms > 0 &&
          idle_count (pool) < pool->idle_max;
  if (clean)
    {
      link->call = NULL;
      link->idle_until = ash_time_add (ash_clock_now (), keep_ms);
      ash_http_reader_next (&link->reader);
      DL_DELETE (pool->links, link);
      DL_PREPEND (pool->links, link);
    }
  else
    free_link (link);
  end_call (call, ASH_CALL_WHOLE);
}

static bool
is_interim (const struct ash_http_reader *reader)
{
  return reader->head.status >= 100 && reader->head.status < 200;
}

/* ---- the reader's handler ---- */

static void
on_head (void *data, const struct ash_http_head *head)
{
  struct ash_http_link *link = data;

  if (head->status < 200)
    return;
  link->foreign = !link->call->handler->head (link->call, head);
}

static void
on_body (void *data, const uint8_t *bytes, size_t length)
{
  struct ash_http_link *link = data;

  if (link->call && !link->foreign && !is_interim (&link->reader))
    link->call->handler->body (link->call, bytes, length);
}

static const struct ash_http_handler reader_handler = { on_head, on_body };

/* ---- the stream's handler ---- */

static void
on_data (struct ash_stream *stream, const uint8_t *bytes, size_t length)
{
  struct ash_http_link *link = stream->owner;
  size_t taken = 0;

  link->heard = ash_clock_now ();
  /* An idle connection has nothing to say: an answer that nobody asked for. */
  if (!link->call)
    {
      free_link (link);
      return;
    }
  while (taken < length)
    {
      link->feeding = true;
      taken += ash_http_reader_feed (&link->reader, bytes + taken, length - taken);
      link->feeding = false;
      /* The owner gave the call up while it was handed a part of the answer. */
      if (!link->call)
        {
          free_link (link);
          return;
        }
      if (link->reader.error)
        {
          fail (link, ASH_CALL_BAD);
          return;
        }
      if (!link->reader.done)
        return;
      if (!is_interim (&link->reader) && !link->foreign)
        {
          end_answer (link, taken == length);
          return;
        }
      link->closing = link->closing || link->foreign;
      link->foreign = false;
      ash_http_reader_next (&link->reader);
      link->reader.no_body = link->call->no_body;
    }
}

static void
on_end (struct ash_stream *stream, enum ash_stream_end end)
{
  struct ash_http_link *link = stream->owner;

  if (!link->call)
    free_link (link);
  else if (end == ASH_STREAM_NO_CONNECT)
    fail (link, ASH_CALL_NOT_SENT);
  else if (end == ASH_STREAM_EOF && !link->foreign && ash_http_reader_eof (&link->reader))
    end_answer (link, false);
  else
    fail (link, ASH_CALL_CUT);
}

static const struct ash_stream_handler stream_handler = { on_data, on_end, NULL };

/* ---- pool and calls ---- */

bool
ash_http_pool_init (struct ash_http_pool *pool, struct ev_loop *loop, const char *address)
{
  *pool = (struct ash_http_pool){ .loop = loop, .idle_max = IDLE_MAX };
  return ash_socket_address (address, &pool->address);
}

void
ash_http_pool_finish (struct ash_http_pool *pool)
{
  while (pool->links)
    fail (pool->links, ASH_CALL_CUT);
}

void
ash_http_pool_sweep (struct ash_http_pool *pool, struct ash_time now)
{
  struct ash_http_link *link;
  struct ash_http_link *next;

  DL_FOREACH_SAFE (pool->links, link, next)
    if (!link->call && !link->feeding && ash_time_before (link->idle_until, now))
      free_link (link);
}

void
ash_http_pool_doubt (struct ash_http_pool *pool, struct ash_time since)
{
  struct ash_http_link *link;
  struct ash_http_link *next;

  DL_FOREACH_SAFE (pool->links, link, next)
    if (!link->call && !link->feeding && ash_time_before (link->heard, since))
      free_link (link);
}

bool
ash_http_pool_move (struct ash_http_pool *pool, const char *address)
{
  ash_http_pool_doubt (pool, ASH_TIME_NEVER);
  return ash_socket_address (address, &pool->address);
}

/* The one used last comes first: it has had the least time to fall silent. */
static struct ash_http_link *
take_idle (struct ash_http_pool *pool, struct ash_time heard_since)
{
  struct ash_http_link *link;

  ash_http_pool_sweep (pool, ash_clock_now ());
  DL_FOREACH (pool->links, link)
    if (!link->call && !link->feeding && !ash_time_before (link->heard, heard_since))
      return link;
  return NULL;
}

static struct ash_http_link *
connect_link (struct ash_http_pool *pool)
{
  struct ash_http_link *link = calloc (1, sizeof *link);

  if (!link)
    return NULL;
  link->pool = pool;
  if (!ash_stream_connect (&link->stream, pool->loop, &pool->address, &stream_handler, link))
    {
      free (link);
      return NULL;
    }
  if (pool->silence_ms)
    ash_stream_keep_alive (&link->stream, pool->silence_ms);
  ash_http_reader_init (&link->reader, ASH_HTTP_RESPONSE, &reader_handler, link);
  pool->open_count++;
  DL_PREPEND (pool->links, link);
  return link;
}

bool
ash_http_call_start (struct ash_http_call *call,
                     struct ash_http_pool *pool,
                     const void *request,
                     size_t request_bytes,
                     struct ash_time heard_since)
{
  struct ash_http_link *link = take_idle (pool, heard_since);

  if (!link)
    link = connect_link (pool);
  if (!link)
    return false;
  link->call = call;
  link->foreign = false;
  link->reader.no_body = call->no_body;
  call->link = link;
  ash_stream_write (&link->stream, request, request_bytes);
  return true;
}

void
ash_http_call_cancel (struct ash_http_call *call)
{
  struct ash_http_link *link = call->link;

  if (!link)
    return;
  call->link = NULL;
  link->call = NULL;
  /* The reader may be in the middle of a call to the owner: the stream is closed
   * now, the rest goes when the reader comes back or the next sweep finds it. */
  ash_stream_finish (&link->stream);
  link->idle_until = (struct ash_time){ 0 };
}

bool
ash_http_call_unacknowledged (const struct ash_http_call *call)
{
  return call->link && ash_stream_unacknowledged (&call->link->stream) > 0;
}

bool
ash_http_call_connecting (const struct ash_http_call *call)
{
  return call->link && call->link->stream.connecting;
}

void
ash_http_call_pause (struct ash_http_call *call, bool paused)
{
  if (call->link)
    ash_stream_pause (&call->link->stream, paused);
}
