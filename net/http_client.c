#include "net/http_client.h"

#include "net/curl_answer.h"
#include "net/keep_alive.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define MS_PER_S 1000.0
#define CONNECT_TIMEOUT_MS 1000
#define REVISION_FIELD "Ash-Revision"

struct ash_fetch
{
  struct ash_http_client *client;
  struct ash_fetch_handler handler;
  CURL *easy;
  struct curl_slist *headers;
  struct ash_curl_answer answer;
  bool head_reported;
  bool cancelled;
  uint32_t silence_ms;
  struct ash_fetch *prev;
  struct ash_fetch *next;
};

struct socket_watch
{
  ev_io io;
  struct ash_http_client *client;
};

static void
free_fetch (struct ash_fetch *fetch)
{
  DL_DELETE (fetch->client->fetches, fetch);
  curl_multi_remove_handle (fetch->client->multi, fetch->easy);
  curl_easy_cleanup (fetch->easy);
  curl_slist_free_all (fetch->headers);
  ash_curl_answer_finish (&fetch->answer);
  free (fetch);
}

static enum ash_fetch_result
result_of (CURLcode code)
{
  switch (code)
    {
    case CURLE_OK:
      return ASH_FETCH_COMPLETE;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
      return ASH_FETCH_NOT_SENT;
    default:
      return ASH_FETCH_FAILED;
    }
}

/* libcurl does not allow a transfer to be removed from within its callbacks. */
static void
free_cancelled_fetches (struct ash_http_client *client)
{
  struct ash_fetch *fetch;
  struct ash_fetch *next;

  if (!client->has_cancelled || client->curl_depth)
    return;
  client->has_cancelled = false;
  DL_FOREACH_SAFE (client->fetches, fetch, next)
    if (fetch->cancelled)
      free_fetch (fetch);
}

static void
report_head (struct ash_fetch *fetch)
{
  const struct ash_http_head *head = &fetch->answer.reader.head;
  const char *content_type = ash_http_field (head, "Content-Type");
  const char *revision = ash_http_field (head, REVISION_FIELD);

  if (fetch->head_reported)
    return;
  fetch->head_reported = true;
  fetch->handler.head (fetch->handler.data, head->status, content_type ? content_type : "",
                       revision ? strtoull (revision, NULL, 10) : 0);
}

/* ---- the answer ---- */

static void
on_answer_head (void *data, const struct ash_http_head *head)
{
  (void) data;
  (void) head;
}

static void
on_answer_body (void *data, const uint8_t *bytes, size_t length)
{
  struct ash_fetch *fetch = data;

  report_head (fetch);
  if (!fetch->cancelled)
    fetch->handler.bytes (fetch->handler.data, bytes, length);
}

static const struct ash_http_handler answer_handler = { on_answer_head, on_answer_body };

static void
finish_transfers (struct ash_http_client *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)))
    {
      struct ash_fetch *fetch;
      struct ash_fetch_handler handler;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &fetch);
      if (fetch->cancelled)
        {
          free_fetch (fetch);
          continue;
        }
      if (code == CURLE_OK && !ash_curl_answer_is_complete (&fetch->answer))
        code = CURLE_WEIRD_SERVER_REPLY;
      if (code == CURLE_OK)
        report_head (fetch);
      handler = fetch->handler;
      free_fetch (fetch);
      handler.end (handler.data, result_of (code));
    }
}

static void
run_socket_action (struct ash_http_client *client, curl_socket_t fd, int action)
{
  int running;

  client->curl_depth++;
  curl_multi_socket_action (client->multi, fd, action, &running);
  client->curl_depth--;
  finish_transfers (client);
  free_cancelled_fetches (client);
}

static void
on_socket (struct ev_loop *loop, ev_io *io, int events)
{
  struct socket_watch *watch = io->data;
  struct ash_http_client *client = watch->client;
  int action =
      (events & EV_READ ? CURL_CSELECT_IN : 0) | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

  (void) loop;
  run_socket_action (client, io->fd, action);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void) loop;
  (void) events;
  run_socket_action (timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
  struct ash_http_client *client = data;
  struct socket_watch *watch = socket_data;
  int events = (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0);

  (void) easy;
  if (!watch)
    {
      if (what == CURL_POLL_REMOVE)
        return 0;
      watch = calloc (1, sizeof *watch);
      if (!watch)
        return -1;
      watch->client = client;
      ev_init (&watch->io, on_socket);
      watch->io.data = watch;
      curl_multi_assign (client->multi, fd, watch);
    }
  ev_io_stop (client->loop, &watch->io);
  if (what == CURL_POLL_REMOVE)
    {
      curl_multi_assign (client->multi, fd, NULL);
      free (watch);
      return 0;
    }
  ev_io_set (&watch->io, fd, events);
  ev_io_start (client->loop, &watch->io);
  return 0;
}

static int
watch_timer (CURLM *multi, long timeout_ms, void *data)
{
  struct ash_http_client *client = data;

  (void) multi;
  ev_timer_stop (client->loop, &client->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&client->timer, (double) timeout_ms / MS_PER_S, 0);
  ev_timer_start (client->loop, &client->timer);
  return 0;
}

bool
ash_http_client_init (struct ash_http_client *client, struct ev_loop *loop)
{
  *client = (struct ash_http_client){ .loop = loop };
  curl_global_init (CURL_GLOBAL_DEFAULT);
  client->multi = curl_multi_init ();
  if (!client->multi)
    return false;
  ev_timer_init (&client->timer, on_timer, 0, 0);
  client->timer.data = client;
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, watch_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  return true;
}

void
ash_http_client_finish (struct ash_http_client *client)
{
  while (client->fetches)
    free_fetch (client->fetches);
  curl_multi_cleanup (client->multi);
  ev_timer_stop (client->loop, &client->timer);
  curl_global_cleanup ();
}

/* Receives the lines of heads, with their line ends, and the body, as they came. */
static size_t
on_bytes (char *bytes, size_t size, size_t count, void *data)
{
  struct ash_fetch *fetch = data;

  if (fetch->cancelled || !ash_curl_answer_read (&fetch->answer, bytes, size * count) ||
      fetch->cancelled)
    return 0;
  return size * count;
}

static int
on_new_socket (void *data, curl_socket_t fd, curlsocktype purpose)
{
  const struct ash_fetch *fetch = data;

  if (purpose == CURLSOCKTYPE_IPCXN && fetch->silence_ms)
    ash_keep_alive (fd, fetch->silence_ms);
  return CURL_SOCKOPT_OK;
}

static void
add_header (struct ash_fetch *fetch, const char *name, const char *value)
{
  char line[512];

  snprintf (line, sizeof line, "%s%s", name, value);
  fetch->headers = curl_slist_append (fetch->headers, line);
}

static void
set_options (struct ash_fetch *fetch, const struct ash_fetch_request *request)
{
  CURL *easy = fetch->easy;

  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, fetch);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  ash_curl_answer_set_options (easy, on_bytes, fetch);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, on_new_socket);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTDATA, fetch);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long) CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long) request->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, request->fresh_connection ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, request->fresh_connection ? 1L : 0L);
  if (request->body_bytes)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t) request->body_bytes);
      curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, request->body);
    }
  else if (strcmp (request->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (strcmp (request->method, "POST") == 0)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, 0L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  add_header (fetch, "Expect:", "");
  add_header (fetch, "Content-Type: ", request->content_type ? request->content_type : "");
  if (request->request_id)
    add_header (fetch, "X-Request-Id: ", request->request_id);
  if (request->extra_header)
    add_header (fetch, request->extra_header, "");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, fetch->headers);
}

struct ash_fetch *
ash_http_client_start (struct ash_http_client *client,
                       const struct ash_fetch_request *request,
                       const struct ash_fetch_handler *handler)
{
  struct ash_fetch *fetch = calloc (1, sizeof *fetch);

  if (!fetch)
    return NULL;
  fetch->client = client;
  fetch->handler = *handler;
  fetch->silence_ms = request->silence_ms;
  fetch->easy = curl_easy_init ();
  if (!fetch->easy)
    {
      free (fetch);
      return NULL;
    }
  ash_curl_answer_init (&fetch->answer, strcmp (request->method, "HEAD") == 0, &answer_handler,
                        fetch);
  set_options (fetch, request);
  DL_APPEND (client->fetches, fetch);
  curl_multi_add_handle (client->multi, fetch->easy);
  return fetch;
}

void
ash_http_client_cancel (struct ash_fetch *fetch)
{
  if (!fetch->client->curl_depth)
    {
      free_fetch (fetch);
      return;
    }
  fetch->cancelled = true;
  fetch->client->has_cancelled = true;
}
