/**
 * @file
 * A stand-in for one of the platform's servers, as a process. The request's header field X-Do
 * selects what the server does with the request, as NAME=ACTION pairs separated by blanks; NAME is
 * the server's name, or * for all servers. Actions:
 *
 *     ok          answers with 200; the default
 *     fail        answers with 500
 *     shed        rejects the request with 503, as not executed
 *     rest        the same, and asks for a back-off of 30 s
 *     moved       rejects the request with 421
 *     limit       answers and announces a rate limit of one request per second
 *     leave       answers and announces that it is shutting down
 *     slow        answers after 300 ms
 *     slower      answers after 800 ms
 *     slowlarge   answers after 800 ms with a body of 120 kB
 *     mute        never answers
 *     reset       closes the connection without an answer
 *     end         the process exits once it has begun to run the request
 *     endlate     the same, but its listening socket stays open for 200 ms after the connection
 *     foreign     first sends an answer to another request
 *     extra       sends a second answer
 *     noid        answers without the attempt id
 *     unsigned    answers without the server's seal
 *     encoded     answers with a Content-Encoding
 *     cut         closes the connection before the end of the answer
 *     unframed    ends the answer by closing the connection
 *     big         answers with a body of 8 MB
 *     large       answers with a body of 120 kB, which a router buffers
 *     pauselarge  answers with a body of 400 kB, and pauses for 1.9 s in its middle
 *     stream      answers with a stream of six events
 *     streamagain the same, but a resumed stream begins with the caller's last event
 *     streambig   answers with a stream of 2,000 events of 4 kB each
 *     streamcut   closes the connection in the middle of the third event
 *     streamopen  answers with a stream of six events that ends with the connection
 *     streamopencut   the same, but closes the connection in the middle of the third event
 *     streamopennone  the same, but closes the connection before the first event
 *     raw         sends the bytes of the field X-Raw (test/standin_raw.h; \h: attempt id and seal),
 *                 and no more on this connection
 *     rawclose    the same, then closes the connection
 *     rawreset    the same, and resets the connection a little later
 *     rawloop     the same, and repeats without end what follows \*
 *     streamhang  sends nothing after the second event
 *     streampause the same, but for 1.9 s only
 *     streamend   the process exits after the second event
 *     streambegin the process exits after it has begun a stream, before the first event
 *
 * GET /log returns a line for each request received, "-" for a missing field:
 *     ID METHOD TARGET body=BYTES deadline=MS expect=ID tenant=NAME last=ID urgency=N
 *     authorization=TEXT connection=TEXT (all on one line; connection is the field X-Hop)
 * GET /gone returns how many callers disconnected before their answer.
 */
#include "net/http_conn.h"
#include "test/standin_raw.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#define TICK_S 0.01
#define BODY "whole answer"
#define BIG_BYTES (8 * 1024 * 1024)
#define LARGE_BYTES 120000

/* An answer in two halves, larger than what a router buffers. */
#define HALF_BYTES 200000
#define PAUSE_MS 1900
#define STREAM_EVENTS 6
#define BIG_STREAM_EVENTS 2000
#define BIG_EVENT_BYTES 4096
#define EVENT_MS 30
#define SLOW_MS 300
#define SLOWER_MS 800
#define RESET_MS 10
#define END_MS 40
#define END_LISTENING_US 200000

struct server
{
  struct ash_http_listener listener;
  const char *name;
  const char *id;
  struct ash_buffer log;
  uint32_t disconnects; /* callers that disconnected during a request */
  ev_timer tick;
};

/* A request that is answered later, or in several parts. */
struct work
{
  char action[16];
  int next;          /* the next event's number */
  int cut_before;    /* number of the event before which the stream is cut; 0: none */
  int silent_before; /* number of the event before which the stream becomes silent; 0: none */
  int exit_before;   /* number of the event before which the process exits; 0: none */
  struct ash_time due;
};

static struct server server;

static const char *
field (const struct ash_http_conn *conn, const char *name)
{
  const char *value = ash_http_field (&conn->reader.head, name);

  return value ? value : "-";
}

static void
action_of (const struct ash_http_conn *conn, char action[16])
{
  char text[256];
  char *rest = text;
  char *pair;

  snprintf (text, sizeof text, "%s", field (conn, "X-Do"));
  snprintf (action, 16, "ok");
  while ((pair = strsep (&rest, " ")))
    {
      char *equals = strchr (pair, '=');

      if (!equals)
        continue;
      *equals = '\0';
      if (strcmp (pair, server.name) == 0 || strcmp (pair, "*") == 0)
        snprintf (action, 16, "%.15s", equals + 1);
    }
}

static void
log_request (const struct ash_http_conn *conn)
{
  ash_buffer_printf (&server.log,
                     "%s %s %s body=%zu deadline=%s expect=%s tenant=%s last=%s urgency=%s "
                     "authorization=%s connection=%s\n",
                     field (conn, "Ashspindle-Attempt-Id"), conn->reader.head.method,
                     conn->reader.head.target, conn->body.length,
                     field (conn, "Ashspindle-Deadline-Ms"),
                     field (conn, "Ashspindle-Expect-Instance"), field (conn, "Ashspindle-Tenant"),
                     field (conn, "Last-Event-Id"), field (conn, "Ashspindle-Request-Urgency"),
                     field (conn, "Authorization"), field (conn, "X-Hop"));
}

/* ---- answers ---- */

static void
fields_of (const struct ash_http_conn *conn, const char *more, char *out, size_t out_bytes)
{
  snprintf (out, out_bytes,
            "Ashspindle-Attempt-Id: %s\r\nAshspindle-Server-Seal: seal-%s\r\n"
            "Ashspindle-Server-Load: 1,0,8\r\n%s",
            field (conn, "Ashspindle-Attempt-Id"), server.id, more);
}

static void
answer (struct ash_http_conn *conn, uint16_t status, const char *more)
{
  char fields[512];

  fields_of (conn, more, fields, sizeof fields);
  ash_http_conn_respond (conn, status, fields, strlen (fields), BODY, strlen (BODY));
}

static void
answer_big (struct ash_http_conn *conn, size_t body_bytes)
{
  char fields[512];
  char *body = calloc (1, body_bytes);

  if (!body)
    abort ();
  memset (body, 'x', body_bytes);
  fields_of (conn, "", fields, sizeof fields);
  ash_http_conn_respond (conn, 200, fields, strlen (fields), body, body_bytes);
  free (body);
}

/* Sends one half of a body, of 'x'. */
static void
write_half (struct ash_http_conn *conn)
{
  static char half[HALF_BYTES];

  memset (half, 'x', sizeof half);
  ash_http_conn_write (conn, half, sizeof half);
}

/* Answers with all events at once. */
static void
stream_big (struct ash_http_conn *conn)
{
  char fields[512];
  char event[BIG_EVENT_BYTES];

  fields_of (conn, "Content-Type: text/event-stream\r\n", fields, sizeof fields);
  ash_http_conn_begin (conn, 200, fields, strlen (fields));
  for (int i = 1; i <= BIG_STREAM_EVENTS; i++)
    {
      memset (event, 'x', sizeof event);
      event[snprintf (event, sizeof event, "id: %d\ndata: ", i)] = 'x';
      memcpy (event + sizeof event - 2, "\n\n", 2);
      ash_http_conn_write (conn, event, sizeof event);
    }
  ash_http_conn_end (conn, true);
}

static void
write_raw (struct ash_http_conn *conn, const char *id, const char *framing, const char *body)
{
  char text[1024];
  int length = snprintf (text, sizeof text,
                         "HTTP/1.1 200 OK\r\nAshspindle-Attempt-Id: %s\r\n"
                         "Ashspindle-Server-Seal: seal-%s\r\n%s\r\n%s",
                         id, server.id, framing, body);

  ash_stream_write (&conn->stream, text, (size_t) length);
}

static void
answer_raw (struct ash_http_conn *conn)
{
  char fields[256];

  snprintf (fields, sizeof fields,
            "Ashspindle-Attempt-Id: %s\r\nAshspindle-Server-Seal: seal-%s\r\n",
            field (conn, "Ashspindle-Attempt-Id"), server.id);
  standin_raw_send (conn, field (conn, "X-Raw"), fields);
}

static void
begin_work (struct ash_http_conn *conn, const char *action)
{
  struct work *work = calloc (1, sizeof *work);
  const char *last = ash_http_field (&conn->reader.head, "Last-Event-Id");
  char fields[512];

  if (!work)
    abort ();
  snprintf (work->action, sizeof work->action, "%s", action);
  work->next = last ? atoi (last) + 1 : 1;
  if (last && strcmp (action, "streamagain") == 0)
    work->next--;
  work->cut_before = strcmp (action, "streamcut") == 0 || strcmp (action, "streamopencut") == 0 ? 3
                     : strcmp (action, "streamopennone") == 0                                   ? 1
                                                                                                : 0;
  work->silent_before = strcmp (action, "streamhang") == 0 ? 3 : 0;
  work->exit_before = strcmp (action, "streamend") == 0     ? 3
                      : strcmp (action, "streambegin") == 0 ? 1
                                                            : 0;
  work->due = ash_clock_now ();
  /* Later, so that the bytes have been read by then. */
  if (strcmp (action, "rawreset") == 0)
    work->due = ash_time_add (work->due, RESET_MS);
  if (strcmp (action, "slow") == 0)
    work->due = ash_time_add (work->due, SLOW_MS);
  if (strcmp (action, "slower") == 0 || strcmp (action, "slowlarge") == 0)
    work->due = ash_time_add (work->due, SLOWER_MS);
  if (strncmp (action, "end", 3) == 0 || work->exit_before == 1)
    work->due = ash_time_add (work->due, END_MS);
  conn->request = work;
  if (strncmp (action, "raw", 3) == 0)
    answer_raw (conn);
  if (strcmp (action, "rawclose") == 0)
    {
      standin_raw_end (conn, false);
      free (work);
    }
  if (strcmp (action, "pauselarge") == 0)
    {
      fields_of (conn, "", fields, sizeof fields);
      ash_http_conn_begin (conn, 200, fields, strlen (fields));
      write_half (conn);
      work->due = ash_time_add (work->due, PAUSE_MS);
    }
  if (strncmp (action, "stream", 6) != 0)
    return;
  if (strncmp (action, "streamopen", 10) == 0)
    conn->reader.head.http_1_0 = true; /* the answer has no chunks, and ends with the connection */
  fields_of (conn, "Content-Type: text/event-stream\r\n", fields, sizeof fields);
  ash_http_conn_begin (conn, 200, fields, strlen (fields));
  /* Sends the head, which would otherwise wait for the first event. */
  ash_stream_write (&conn->stream, "", 0);
}

/* Exits as a process does whose listening socket the kernel closes after its connections. */
static void
end_late (struct ash_http_conn *conn)
{
  standin_raw_end (conn, false);
  usleep (END_LISTENING_US);
  _exit (EXIT_FAILURE);
}

/* Whether nothing is sent for a while before the next event. */
static bool
is_pause (const struct work *work)
{
  return strcmp (work->action, "streampause") == 0 && work->next == 3;
}

static void
continue_work (struct ash_http_conn *conn, struct ash_time now)
{
  struct work *work = conn->request;
  char event[64];

  if (ash_time_before (now, work->due) || strcmp (work->action, "mute") == 0 ||
      strcmp (work->action, "raw") == 0 ||
      (work->silent_before && work->next == work->silent_before))
    return;
  if (strcmp (work->action, "rawreset") == 0)
    {
      standin_raw_end (conn, true);
      free (work);
      return;
    }
  if (strcmp (work->action, "rawloop") == 0)
    {
      standin_raw_repeat (conn, field (conn, "X-Raw"), STANDIN_RAW_QUEUE_BYTES);
      return;
    }
  if (strcmp (work->action, "end") == 0 || (work->exit_before && work->next == work->exit_before))
    _exit (EXIT_FAILURE);
  if (strcmp (work->action, "endlate") == 0)
    end_late (conn);
  if (strncmp (work->action, "slow", 4) == 0)
    {
      conn->request = NULL;
      if (strcmp (work->action, "slowlarge") == 0)
        answer_big (conn, LARGE_BYTES);
      else
        answer (conn, 200, "");
    }
  else if (strcmp (work->action, "pauselarge") == 0)
    {
      conn->request = NULL;
      write_half (conn);
      ash_http_conn_end (conn, true);
    }
  else if (work->next == work->cut_before)
    {
      /* Cuts the stream in the middle of an event, or before the first one. */
      if (work->next > 1)
        ash_http_conn_write (conn, "id: 3\nda", 8);
      standin_raw_end (conn, false);
    }
  else if (work->next > STREAM_EVENTS)
    {
      conn->request = NULL;
      ash_http_conn_end (conn, true);
    }
  else
    {
      int length =
          snprintf (event, sizeof event, "id: %d\ndata: from %s\n\n", work->next, server.name);

      work->next++;
      work->due = ash_time_add (now, is_pause (work) ? PAUSE_MS : EVENT_MS);
      ash_http_conn_write (conn, event, (size_t) length);
      return;
    }
  free (work);
}

static void
perform_action (struct ash_http_conn *conn, const char *action)
{
  const char *id = field (conn, "Ashspindle-Attempt-Id");

  if (strcmp (action, "ok") == 0)
    answer (conn, 200, "");
  else if (strcmp (action, "big") == 0)
    answer_big (conn, BIG_BYTES);
  else if (strcmp (action, "large") == 0)
    answer_big (conn, LARGE_BYTES);
  else if (strcmp (action, "streambig") == 0)
    stream_big (conn);
  else if (strcmp (action, "limit") == 0)
    answer (conn, 200, "Server-Limit: 1.0\r\n");
  else if (strcmp (action, "leave") == 0)
    answer (conn, 200, "Server-Leaving: 1\r\n");
  else if (strcmp (action, "rest") == 0)
    answer (conn, 503, "Ashspindle-Not-Executed: 1\r\nRetry-After: 30\r\n");
  else if (strcmp (action, "fail") == 0)
    answer (conn, 500, "");
  else if (strcmp (action, "shed") == 0)
    answer (conn, 503, "Ashspindle-Not-Executed: 1\r\n");
  else if (strcmp (action, "moved") == 0)
    answer (conn, 421, "");
  else if (strcmp (action, "encoded") == 0)
    answer (conn, 200, "Content-Encoding: gzip\r\n");
  else if (strcmp (action, "reset") == 0)
    standin_raw_end (conn, false);
  else if (strcmp (action, "foreign") == 0)
    {
      write_raw (conn, "another-request", "Content-Length: 5\r\n", "wrong");
      answer (conn, 200, "");
    }
  else if (strcmp (action, "extra") == 0)
    {
      answer (conn, 200, "");
      write_raw (conn, id, "Content-Length: 5\r\n", "extra");
    }
  else if (strcmp (action, "noid") == 0)
    ash_http_conn_respond (conn, 200, "Ashspindle-Server-Seal: x\r\n", 27, BODY, strlen (BODY));
  else if (strcmp (action, "unsigned") == 0)
    {
      char fields[128];

      snprintf (fields, sizeof fields, "Ashspindle-Attempt-Id: %s\r\n", id);
      ash_http_conn_respond (conn, 200, fields, strlen (fields), BODY, strlen (BODY));
    }
  else if (strcmp (action, "cut") == 0)
    {
      write_raw (conn, id, "Content-Length: 100\r\n", BODY);
      standin_raw_end (conn, false);
    }
  else if (strcmp (action, "unframed") == 0)
    {
      write_raw (conn, id, "", BODY);
      standin_raw_end (conn, false);
    }
  else
    begin_work (conn, action);
}

static void
on_request (struct ash_http_conn *conn)
{
  const char *expected = ash_http_field (&conn->reader.head, "Ashspindle-Expect-Instance");
  char action[16];
  char count[32];

  if (strcmp (conn->reader.head.target, "/log") == 0)
    {
      ash_http_conn_respond (conn, 200, "", 0, server.log.bytes + server.log.start,
                             server.log.length);
      return;
    }
  if (strcmp (conn->reader.head.target, "/gone") == 0)
    {
      snprintf (count, sizeof count, "%u", server.disconnects);
      ash_http_conn_respond (conn, 200, "", 0, count, strlen (count));
      return;
    }
  /* The request was meant for another incarnation at this address: it does not run. */
  if (expected && strcmp (expected, server.id) != 0)
    {
      answer (conn, 421, "");
      return;
    }
  log_request (conn);
  action_of (conn, action);
  perform_action (conn, action);
}

static void
on_disconnected (struct ash_http_conn *conn)
{
  free (conn->request);
  conn->request = NULL;
  server.disconnects++;
}

static const struct ash_conn_handler handler = { on_request, on_disconnected, NULL };

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_time now = ash_clock_now ();
  struct ash_http_conn *conn;
  struct ash_http_conn *next;

  (void) loop;
  (void) timer;
  (void) events;
  DL_FOREACH_SAFE (server.listener.conns, conn, next)
    if (conn->request && !conn->is_closed)
      continue_work (conn, now);
}

int
main (int argc, char **argv)
{
  struct ev_loop *loop = ev_default_loop (EVFLAG_AUTO);
  char address[32];

  if (argc != 4)
    {
      fprintf (stderr, "usage: standin-server PORT NAME ID\n");
      return EXIT_FAILURE;
    }
  server.name = argv[2];
  server.id = argv[3];
  snprintf (address, sizeof address, "127.0.0.1:%s", argv[1]);
  if (!ash_http_listen (&server.listener, loop, address, &handler, NULL))
    {
      perror (address);
      return EXIT_FAILURE;
    }
  ev_timer_init (&server.tick, on_tick, TICK_S, TICK_S);
  ev_timer_start (loop, &server.tick);
  ev_run (loop, 0);
  return EXIT_SUCCESS;
}
