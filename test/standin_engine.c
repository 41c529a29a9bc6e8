/**
 * @file
 * Stand-in of a model engine and of a plain service. It runs a batch of up to SLOTS requests, each
 * of which gets one token per step. It records each run of each request id; tests compare these
 * records with the outcomes that callers got.
 *
 * POST /v1/chat/completions, /v1/completions  an answer of `max_tokens` tokens
 * any method, other paths                     a plain call that takes ?work_ms=W
 * GET  /runs                                  {"ID": {"runs": n, "ended": n, "cancelled": n}}
 * GET  /load                                  running and waiting requests, up to 200 ms old
 * GET  /resume?id=ID&offset=N&max_tokens=T    a streamed answer from byte N on
 * GET  /cache?after=N                         cache events with numbers above N, 300 ms late and
 *                                             without every seventh
 * POST /control?break_after=N                 breaks streamed answers off after N tokens
 * POST /control?drop=1                        closes connections of new requests without an answer
 * POST /control?step_ms=T                     sets the duration of a step
 *
 * The text of an answer depends only on the request's id, so that tests can check that each byte
 * belongs to the caller's own request.
 */
#include "test/standin.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOAD_LAG_MS 200
#define TOKENS_DEFAULT 16
#define CACHE_EVENTS 64
#define CACHE_LAG_MS 300
#define CACHE_LOST_EVERY 7

struct generation
{
  char id[64];
  bool stream;
  int64_t tokens;
  int64_t sent;
  bool done_sent; /* the whole answer was sent, including the end of a stream */
};

struct cache_event
{
  int64_t number; /* from 1; 0: unused */
  int64_t visible_from_ms;
  char id[64];
};

static struct cache_event cache_events[CACHE_EVENTS]; /* a ring buffer */
static int64_t cache_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *runs; /* request id -> {"runs", "ended", "cancelled"} */
static int64_t slots = 8;
static int64_t step_ms = 5;
static int64_t running;
static int64_t waiting;
static int64_t break_after = -1;
static bool drop;
static int64_t reported_running;
static int64_t reported_waiting;
static int64_t load_sampled_ms;

static void
count_run (const char *id, const char *what)
{
  json_t *row;

  pthread_mutex_lock (&lock);
  row = json_object_get (runs, id);
  if (!row)
    {
      row = json_pack ("{s:i, s:i, s:i}", "runs", 0, "ended", 0, "cancelled", 0);
      json_object_set_new (runs, id, row);
    }
  json_object_set_new (row, what,
                       json_integer (json_integer_value (json_object_get (row, what)) + 1));
  pthread_mutex_unlock (&lock);
}

static void
enter_batch (void)
{
  pthread_mutex_lock (&lock);
  waiting++;
  while (running >= slots)
    {
      pthread_mutex_unlock (&lock);
      standin_sleep_ms (1);
      pthread_mutex_lock (&lock);
    }
  waiting--;
  running++;
  pthread_mutex_unlock (&lock);
}

static void
leave_batch (void)
{
  pthread_mutex_lock (&lock);
  running--;
  pthread_mutex_unlock (&lock);
}

/* Sleeps until the next multiple of step_ms: all requests of the batch step at the same time. */
static void
wait_step (void)
{
  standin_sleep_ms (step_ms - standin_now_ms () % step_ms);
}

static int
print_token (const struct generation *generation, char *out)
{
  return sprintf (
      out,
      "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":"
      "0,\"delta\":{\"content\":\"%.8s-%lld \"}}]}\n\n",
      generation->id, generation->id, (long long) generation->sent);
}

static ssize_t
read_answer (void *data, uint64_t position, char *out, size_t room)
{
  struct generation *generation = data;

  (void) position;
  if (room < 512)
    return 0;
  if (generation->done_sent)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (break_after >= 0 && generation->sent >= break_after)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (generation->sent == generation->tokens)
    {
      generation->done_sent = true;
      return sprintf (out, "data: [DONE]\n\n");
    }
  wait_step ();
  generation->sent++;
  return print_token (generation, out);
}

static void
end_generation (void *data)
{
  struct generation *generation = data;

  leave_batch ();
  count_run (generation->id, generation->done_sent ? "ended" : "cancelled");
  free (generation);
}

static enum MHD_Result
reply_stream (struct standin_request *request, struct generation *generation)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, 1024, read_answer, generation, end_generation);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  result = MHD_queue_response (request->connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply_whole (struct standin_request *request, struct generation *generation)
{
  size_t room = 256 + (size_t) generation->tokens * 32;
  char *text = malloc (room);
  int length = snprintf (text, room,
                         "{\"id\":\"%s\",\"object\":\"chat.completion\",\"choices\":[{\"index\":0,"
                         "\"message\":{\"role\":\"assistant\",\"content\":\"",
                         generation->id);
  enum MHD_Result result;

  for (int64_t i = 1; i <= generation->tokens; i++)
    {
      wait_step ();
      length += sprintf (text + length, "%.8s-%lld ", generation->id, (long long) i);
    }
  length += sprintf (text + length, "\"}}]}\n");
  result = standin_reply (request, MHD_HTTP_OK, "application/json", text, (size_t) length);
  generation->done_sent = true;
  end_generation (generation);
  free (text);
  return result;
}

/* Records that a request's prefix was cached; /cache reports the event after CACHE_LAG_MS. */
static void
add_cache_event (const char *id)
{
  struct cache_event *event;

  pthread_mutex_lock (&lock);
  event = &cache_events[cache_count++ % CACHE_EVENTS];
  event->number = cache_count;
  event->visible_from_ms = standin_now_ms () + CACHE_LAG_MS;
  snprintf (event->id, sizeof event->id, "%s", id);
  pthread_mutex_unlock (&lock);
}

static enum MHD_Result
handle_completion (struct standin_request *request, const char *id)
{
  struct generation *generation = calloc (1, sizeof *generation);
  json_t *body = json_loadb (request->body, request->body_bytes, 0, NULL);
  const json_t *tokens = json_object_get (body, "max_tokens");

  snprintf (generation->id, sizeof generation->id, "%s", id);
  generation->stream = json_is_true (json_object_get (body, "stream"));
  generation->tokens = tokens ? json_integer_value (tokens) : TOKENS_DEFAULT;
  json_decref (body);
  enter_batch ();
  count_run (id, "runs");
  add_cache_event (id);
  return generation->stream ? reply_stream (request, generation)
                            : reply_whole (request, generation);
}

static enum MHD_Result
handle_plain (struct standin_request *request, const char *id)
{
  char text[256];
  int length;

  enter_batch ();
  count_run (id, "runs");
  standin_sleep_ms (standin_query_number (request, "work_ms", 1));
  leave_batch ();
  count_run (id, "ended");
  length = snprintf (text, sizeof text,
                     "{\"id\":\"%s\",\"method\":\"%s\",\"path\":\"%s\",\"body_bytes\":%zu}\n", id,
                     request->method, request->path, request->body_bytes);
  return standin_reply (request, MHD_HTTP_OK, "application/json", text, (size_t) length);
}

/* Generates the answer again from the request's id and sends it from the offset on, as an engine
 * that can resume streams would from its cache. */
static enum MHD_Result
handle_resume (struct standin_request *request)
{
  const char *id = MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, "id");
  struct generation generation = { .tokens = standin_query_number (request, "max_tokens",
                                                                   TOKENS_DEFAULT) };
  size_t offset = (size_t) standin_query_number (request, "offset", 0);
  char *text = calloc ((size_t) generation.tokens + 1, 256);
  size_t length = 0;
  enum MHD_Result result;

  snprintf (generation.id, sizeof generation.id, "%s", id ? id : "direct");
  for (generation.sent = 1; generation.sent <= generation.tokens; generation.sent++)
    length += (size_t) print_token (&generation, text + length);
  length += (size_t) sprintf (text + length, "data: [DONE]\n\n");
  if (offset > length)
    offset = length;
  result =
      standin_reply (request, MHD_HTTP_OK, "text/event-stream", text + offset, length - offset);
  free (text);
  return result;
}

static enum MHD_Result
handle_cache (struct standin_request *request)
{
  int64_t after = standin_query_number (request, "after", 0);
  json_t *list = json_array ();
  enum MHD_Result result;
  char *text;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < CACHE_EVENTS; i++)
    {
      const struct cache_event *event = &cache_events[i];

      if (event->number > after && event->number % CACHE_LOST_EVERY &&
          event->visible_from_ms <= standin_now_ms ())
        json_array_append_new (list, json_pack ("{s:I, s:s}", "number", (json_int_t) event->number,
                                                "prefix", event->id));
    }
  pthread_mutex_unlock (&lock);
  text = json_dumps (list, JSON_COMPACT);
  result = standin_reply (request, MHD_HTTP_OK, "application/json", text, strlen (text));
  free (text);
  json_decref (list);
  return result;
}

static enum MHD_Result
handle_runs (struct standin_request *request)
{
  enum MHD_Result result;
  char *text;

  pthread_mutex_lock (&lock);
  text = json_dumps (runs, JSON_COMPACT);
  pthread_mutex_unlock (&lock);
  result = standin_reply (request, MHD_HTTP_OK, "application/json", text, strlen (text));
  free (text);
  return result;
}

static enum MHD_Result
handle_load (struct standin_request *request)
{
  char text[96];
  int length;

  pthread_mutex_lock (&lock);
  if (standin_now_ms () - load_sampled_ms > LOAD_LAG_MS)
    {
      reported_running = running;
      reported_waiting = waiting;
      load_sampled_ms = standin_now_ms ();
    }
  length = sprintf (text, "{\"running\":%lld,\"waiting\":%lld,\"step_us\":%lld}\n",
                    (long long) reported_running, (long long) reported_waiting,
                    (long long) step_ms * 1000);
  pthread_mutex_unlock (&lock);
  return standin_reply (request, MHD_HTTP_OK, "application/json", text, (size_t) length);
}

static enum MHD_Result
handle (struct standin_request *request)
{
  const char *id =
      MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, "X-Request-Id");

  if (strcmp (request->path, "/runs") == 0)
    return handle_runs (request);
  if (strcmp (request->path, "/load") == 0)
    return handle_load (request);
  if (strcmp (request->path, "/resume") == 0)
    return handle_resume (request);
  if (strcmp (request->path, "/cache") == 0)
    return handle_cache (request);
  if (strcmp (request->path, "/control") == 0)
    {
      break_after = standin_query_number (request, "break_after", break_after);
      drop = standin_query_number (request, "drop", drop) != 0;
      step_ms = standin_query_number (request, "step_ms", step_ms);
      return standin_reply (request, MHD_HTTP_OK, "text/plain", "ok\n", 3);
    }
  if (!id)
    id = "direct";
  if (drop)
    {
      count_run (id, "runs");
      return MHD_NO;
    }
  if (strcmp (request->path, "/v1/chat/completions") == 0 ||
      strcmp (request->path, "/v1/completions") == 0)
    return handle_completion (request, id);
  return handle_plain (request, id);
}

int
standin_engine (int argc, char **argv)
{
  if (argc < 2)
    return 2;
  if (argc > 2)
    slots = atoi (argv[2]);
  if (argc > 3)
    step_ms = atoi (argv[3]);
  runs = json_object ();
  return standin_serve ((uint16_t) atoi (argv[1]), handle);
}
