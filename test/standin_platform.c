/**
 * @file
 * Stand-in of the platform: a configuration that can be read and watched, and a list of boxes with
 * a lag. Tests publish documents and make it fail through /control.
 *
 * GET  /v1/config?after=R&wait_ms=W   the document if its revision is above R, else 304 after W ms
 * GET  /v1/boxes                      the list of boxes
 * PUT  /control/config?revision=R     publishes the body as revision R (without R: the next one)
 * PUT  /control/box?box=B&state=S     sets a box's state in the list, after the list's lag
 * POST /control/mode?config=M&list=M&lag_ms=L
 *      Sets the modes of /v1/config and /v1/boxes, and the list's lag. Modes:
 *      0  answers
 *      1  fails with status 503
 *      2  stale: /v1/config shows no newer document than the current one
 *      3  /v1/config answers with the previous document
 *      4  silent: reads of /v1/config with wait_ms get no answer, not even after another change of
 *         the mode; reads without wait_ms are answered
 * GET  /control/calls                 the number of calls of /v1/config and /v1/boxes
 */
#include "test/standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BOXES_MAX 64
#define NAME_BYTES 40

/* A read that gets no answer is held for longer than any client's timeout. */
#define UNANSWERED_HOLD_MS 60000

enum mode
{
  MODE_OK,
  MODE_FAIL,
  MODE_STALE,
  MODE_OLDER,
  MODE_SILENT,
};

struct document_version
{
  uint64_t revision;
  char *text;
};

struct listed_box
{
  char name[NAME_BYTES];
  char state[16];
  char pending_state[16];
  int64_t pending_from_ms; /* when pending_state becomes the state; 0: none pending */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct document_version current;
static struct document_version previous;
static uint64_t stale_revision; /* newest revision that is shown in MODE_STALE */
static enum mode config_mode;
static enum mode list_mode;
static int64_t list_lag_ms;
static struct listed_box boxes[BOXES_MAX];
static unsigned box_count;
static unsigned config_calls;
static unsigned list_calls;

static void
publish (const char *text, uint64_t revision)
{
  free (previous.text);
  previous = current;
  current.revision = revision ? revision : previous.revision + 1;
  current.text = strdup (text);
}

static enum MHD_Result
reply_document (struct standin_request *request, const struct document_version *document)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (document->text), document->text, MHD_RESPMEM_MUST_COPY);
  char revision[32];
  enum MHD_Result result;

  snprintf (revision, sizeof revision, "%llu", (unsigned long long) document->revision);
  MHD_add_response_header (response, "Ash-Revision", revision);
  result = MHD_queue_response (request->connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

/* @return the document for a read with that `after` argument, or NULL. */
static const struct document_version *
find_visible (uint64_t after)
{
  if (config_mode == MODE_OLDER)
    return previous.text ? &previous : NULL;
  if (!current.text || current.revision <= after)
    return NULL;
  if (config_mode == MODE_STALE && current.revision > stale_revision)
    return NULL;
  return &current;
}

/* @return whether a read with that wait_ms gets no answer in the present mode. */
static bool
is_never_answered (int64_t wait_ms)
{
  return config_mode == MODE_SILENT && wait_ms > 0;
}

static enum MHD_Result
handle_config (struct standin_request *request)
{
  uint64_t after = (uint64_t) standin_query_number (request, "after", 0);
  int64_t wait_ms = standin_query_number (request, "wait_ms", 0);
  int64_t until_ms = standin_now_ms () + wait_ms;
  enum MHD_Result result;
  bool is_previous;

  pthread_mutex_lock (&lock);
  config_calls++;
  while (config_mode != MODE_FAIL && !is_never_answered (wait_ms) && !find_visible (after) &&
         standin_now_ms () < until_ms)
    {
      pthread_mutex_unlock (&lock);
      standin_sleep_ms (5);
      pthread_mutex_lock (&lock);
    }
  if (is_never_answered (wait_ms))
    {
      pthread_mutex_unlock (&lock);
      standin_sleep_ms (UNANSWERED_HOLD_MS);
      return MHD_NO;
    }
  if (config_mode == MODE_FAIL)
    result = standin_reply (request, MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain", "down\n", 5);
  else if (find_visible (after))
    result = reply_document (request, find_visible (after));
  else
    result = standin_reply (request, MHD_HTTP_NOT_MODIFIED, "text/plain", "", 0);
  is_previous = config_mode == MODE_OLDER;
  pthread_mutex_unlock (&lock);
  /* The previous document is sent at once for any `after`: this pause limits the rate of clients'
   * retries. */
  if (is_previous)
    standin_sleep_ms (50);
  return result;
}

static enum MHD_Result
handle_list (struct standin_request *request)
{
  char text[BOXES_MAX * 96 + 32];
  size_t length;
  bool fail;

  pthread_mutex_lock (&lock);
  list_calls++;
  fail = list_mode == MODE_FAIL;
  length = (size_t) sprintf (text, "{\"boxes\":[");
  for (unsigned i = 0; i < box_count; i++)
    {
      if (boxes[i].pending_from_ms && standin_now_ms () >= boxes[i].pending_from_ms)
        {
          strcpy (boxes[i].state, boxes[i].pending_state);
          boxes[i].pending_from_ms = 0;
        }
      length += (size_t) sprintf (text + length, "%s{\"box\":\"%s\",\"state\":\"%s\"}",
                                  i ? "," : "", boxes[i].name, boxes[i].state);
    }
  length += (size_t) sprintf (text + length, "]}\n");
  pthread_mutex_unlock (&lock);
  if (fail)
    return standin_reply (request, MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain", "down\n", 5);
  return standin_reply (request, MHD_HTTP_OK, "application/json", text, length);
}

static void
set_box (struct standin_request *request)
{
  const char *name =
      MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, "box");
  const char *state =
      MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, "state");
  unsigned i = 0;

  if (!name || !state)
    return;
  while (i < box_count && strcmp (boxes[i].name, name) != 0)
    i++;
  if (i == BOXES_MAX)
    return;
  if (i == box_count)
    {
      snprintf (boxes[i].name, sizeof boxes[i].name, "%s", name);
      strcpy (boxes[i].state, "live");
      box_count++;
    }
  snprintf (boxes[i].pending_state, sizeof boxes[i].pending_state, "%s", state);
  boxes[i].pending_from_ms = standin_now_ms () + list_lag_ms;
}

static enum MHD_Result
handle_control (struct standin_request *request)
{
  unsigned status = MHD_HTTP_OK;
  char text[96];
  int length;

  pthread_mutex_lock (&lock);
  if (strcmp (request->path, "/control/config") == 0)
    {
      uint64_t revision = (uint64_t) standin_query_number (request, "revision", 0);

      /* Like a real platform, publishes each revision number only once and in ascending order. */
      if (revision && revision <= current.revision)
        status = MHD_HTTP_CONFLICT;
      else
        publish (request->body, revision);
    }
  else if (strcmp (request->path, "/control/box") == 0)
    set_box (request);
  else if (strcmp (request->path, "/control/mode") == 0)
    {
      config_mode = (enum mode) standin_query_number (request, "config", config_mode);
      list_mode = (enum mode) standin_query_number (request, "list", list_mode);
      list_lag_ms = standin_query_number (request, "lag_ms", list_lag_ms);
      stale_revision = current.revision;
    }
  length = sprintf (text, "{\"config\":%u,\"list\":%u,\"revision\":%llu}\n", config_calls,
                    list_calls, (unsigned long long) current.revision);
  pthread_mutex_unlock (&lock);
  return standin_reply (request, status, "application/json", text, (size_t) length);
}

static enum MHD_Result
handle (struct standin_request *request)
{
  if (strcmp (request->path, "/v1/config") == 0)
    return handle_config (request);
  if (strcmp (request->path, "/v1/boxes") == 0)
    return handle_list (request);
  return handle_control (request);
}

int
standin_platform (int argc, char **argv)
{
  static char text[1024 * 1024];
  FILE *file;

  if (argc < 2)
    return 2;
  if (argc > 2)
    {
      file = fopen (argv[2], "rb");
      if (!file)
        {
          perror (argv[2]);
          return EXIT_FAILURE;
        }
      text[fread (text, 1, sizeof text - 1, file)] = '\0';
      fclose (file);
      publish (text, 1);
    }
  return standin_serve ((uint16_t) atoi (argv[1]), handle);
}
