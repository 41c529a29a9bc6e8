#include "daemon/platform_reader.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000.0

/* How long a watch waits at the platform for a new configuration, and the time beyond that after
 * which a read has failed. While there is nothing new, a watch whose connection is dead can't be
 * distinguished from one that waits, so the sum of both, 5 s, limits how late a dead watch is
 * noticed if nothing else reveals it. A change has to be active within 7 s. At these values 32
 * readers send 48 reads a second, of the 2,000 that the platform can serve. */
#define WATCH_MS 2000
#define READ_TIMEOUT_MS 3000

/* A connection to the platform on which nothing arrives for this long, keep-alive probes included,
 * is closed. This reveals a network partition before the watch times out. */
#define IDLE_TIMEOUT_MS 2000

/* The platform answers all its readers within some milliseconds, and entries send a new revision to
 * their peers at once. If an entry's own watch has not delivered it this long after a peer reported
 * it, the connection of the watch is likely dead. */
#define PEER_NEWER_MS 300

/* A watch younger than this is not restarted: its request may not have arrived yet. */
#define WATCH_RESTART_MIN_MS 300

/* Period of reads of the list. A leaving box also notifies its peers itself, and the list lags by
 * more than this period anyway. */
#define LIST_PERIOD_MS 1000

/* How often an entry that leaves reading to others checks whether it should read. */
#define ROLE_CHECK_MS 500

#define BACK_OFF_FIRST_MS 100
#define BACK_OFF_MAX_MS 5000
#define HTTP_OK 200
#define HTTP_NOT_MODIFIED 304

static void start_read (struct ash_platform_read *read);

static void
start_later (struct ash_platform_read *read, uint32_t wait_ms)
{
  ev_timer_stop (read->platform->daemon->loop, &read->timer);
  ev_timer_set (&read->timer, wait_ms / MS_PER_S, 0);
  ev_timer_start (read->platform->daemon->loop, &read->timer);
}

/* Exponential back-off with jitter between half and all of the delay, so that the readers don't
 * retry at the same time. */
static uint32_t
back_off_ms (struct ash_platform_read *read)
{
  uint32_t wait_ms = BACK_OFF_FIRST_MS;

  for (uint32_t i = 1; i < read->failures && wait_ms < BACK_OFF_MAX_MS; i++)
    wait_ms *= 2;
  if (wait_ms > BACK_OFF_MAX_MS)
    wait_ms = BACK_OFF_MAX_MS;
  return wait_ms / 2 + ash_random_below (&read->platform->random, wait_ms / 2 + 1);
}

static void
handle_document (struct ash_platform_read *read)
{
  struct ash_platform_reader *platform = read->platform;

  platform->read_revision = read->revision;
  platform->handler.document (platform->handler.data, read->revision, read->body ? read->body : "",
                              read->body_bytes);
}

static bool
handle_box_list (struct ash_platform_read *read)
{
  struct ash_platform_reader *platform = read->platform;
  json_t *root = json_loadb (read->body ? read->body : "", read->body_bytes, 0, NULL);
  json_t *boxes = json_object_get (root, "boxes");
  json_t *row;
  size_t i;
  bool is_list = json_is_array (boxes);

  json_array_foreach (boxes, i, row)
    {
      const char *name = json_string_value (json_object_get (row, "box"));
      const char *state = json_string_value (json_object_get (row, "state"));

      if (name && state)
        platform->handler.box (platform->handler.data, name, strcmp (state, "leaving") == 0);
    }
  json_decref (root);
  return is_list;
}

static void
on_head (void *data, uint32_t status, const char *content_type, uint64_t revision)
{
  struct ash_platform_read *read = data;

  (void) content_type;
  read->status = status;
  read->revision = revision;
}

static void
on_bytes (void *data, const uint8_t *bytes, size_t length)
{
  struct ash_platform_read *read = data;
  char *grown;

  if (read->body_bytes + length > ASH_DOCUMENT_MAX_BYTES)
    {
      /* The body is longer than a document may be. handle_answer() rejects an answer with status
       * 0. */
      read->status = 0;
      return;
    }
  grown = realloc (read->body, read->body_bytes + length);
  if (!grown)
    return;
  read->body = grown;
  memcpy (read->body + read->body_bytes, bytes, length);
  read->body_bytes += length;
}

static bool
handle_answer (struct ash_platform_read *read, enum ash_fetch_result result)
{
  if (result != ASH_FETCH_COMPLETE)
    return false;
  if (read->status == HTTP_NOT_MODIFIED)
    return true;
  if (read->status != HTTP_OK)
    return false;
  if (read->is_list)
    return handle_box_list (read);
  if (!read->revision)
    return false;
  handle_document (read);
  return true;
}

static void
free_answer (struct ash_platform_read *read)
{
  read->fetch = NULL;
  free (read->body);
  read->body = NULL;
  read->body_bytes = 0;
}

/* Logs and counts the result of a read. */
static void
record_result (struct ash_platform_read *read, bool ok, const char *why)
{
  const struct ash_log *log = &read->platform->log;
  const char *what = read->is_list ? "boxes" : "configuration";

  if (ok && read->failures)
    ash_log_event (log, ASH_EV_PLATFORM_UP, "what=%s failures=%u", what, read->failures);
  if (!ok && !read->failures)
    ash_log_event (log, ASH_EV_PLATFORM_DOWN, "what=%s status=%u why=\"%s\"", what, read->status,
                   why);
  read->failures = ok ? 0 : read->failures + 1;
  if (!read->is_list)
    read->platform->is_reading = ok;
}

/* Cancels a watch whose connection may be dead and starts a read that is answered at once. Until
 * that read has succeeded, this entry counts as not reading the platform. */
static void
restart_watch (struct ash_platform_reader *platform, struct ash_time now, const char *why)
{
  struct ash_platform_read *read = &platform->config;

  if (!read->fetch || !read->is_long_poll ||
      ash_time_diff (read->sent_at, now) < WATCH_RESTART_MIN_MS)
    return;
  ash_http_client_cancel (read->fetch);
  free_answer (read);
  record_result (read, false, why);
  start_later (read, 1);
}

/* After a successful read no revision up to the requested or received one can be missing. */
static void
update_confirmed_revision (struct ash_platform_read *read)
{
  struct ash_platform_reader *platform = read->platform;

  if (read->after_revision > platform->confirmed_revision)
    platform->confirmed_revision = read->after_revision;
  if (platform->read_revision > platform->confirmed_revision)
    platform->confirmed_revision = platform->read_revision;
}

static void
on_end (void *data, enum ash_fetch_result result)
{
  struct ash_platform_read *read = data;
  bool first_failure = read->failures == 0;
  bool ok = handle_answer (read, result);

  free_answer (read);
  record_result (read, ok, result == ASH_FETCH_COMPLETE ? "unusable answer" : "no complete answer");
  if (!ok)
    start_later (read, back_off_ms (read));
  else
    start_later (read, read->is_list ? LIST_PERIOD_MS : 1);
  if (ok && !read->is_list)
    update_confirmed_revision (read);
  /* If reading the list failed, the connection of the watch may be dead, too. */
  if (!ok && read->is_list && first_failure)
    restart_watch (read->platform, ash_clock_now (), "the list failed");
}

static void
start_read (struct ash_platform_read *read)
{
  struct ash_platform_reader *platform = read->platform;
  struct ash_daemon *daemon = platform->daemon;
  char url[2 * ASH_OPTION_TEXT_BYTES];
  struct ash_fetch_handler handler = { on_head, on_bytes, on_end, read };
  struct ash_fetch_request request = {
    .url = url, .method = "GET", .timeout_ms = READ_TIMEOUT_MS, .silence_ms = IDLE_TIMEOUT_MS
  };
  uint64_t after_revision = platform->read_revision;
  /* Until a read has succeeded, reads don't wait at the platform: a watch would show only at its
   * end whether the platform answers. */
  int wait_ms = platform->is_reading ? WATCH_MS : 0;

  /* A peer may have sent a newer revision than the last one read here; that revision need not be
   * read again. */
  if (daemon->config->ready && daemon->config->document.revision > after_revision)
    after_revision = daemon->config->document.revision;
  if (read->is_list)
    snprintf (url, sizeof url, "%s/v1/boxes", daemon->settings->platform_url);
  else
    {
      snprintf (url, sizeof url, "%s/v1/config?after=%llu&wait_ms=%d",
                daemon->settings->platform_url, (unsigned long long) after_revision, wait_ms);
      request.timeout_ms += (uint32_t) wait_ms;
    }
  read->status = 0;
  read->sent_at = ash_clock_now ();
  read->after_revision = after_revision;
  read->is_long_poll = !read->is_list && wait_ms > 0;
  read->fetch = ash_http_client_start (&daemon->http_client, &request, &handler);
  if (!read->fetch)
    start_later (read, BACK_OFF_MAX_MS);
}

/* ---- revisions of peers ---- */

void
ash_platform_reader_peer_revision (struct ash_platform_reader *platform,
                                   struct ash_time now,
                                   uint64_t revision)
{
  ash_peer_version_reported (&platform->peer_revisions, now, revision,
                             platform->confirmed_revision);
}

void
ash_platform_reader_tick (struct ash_platform_reader *platform, struct ash_time now)
{
  /* An entry that does not watch the configuration has nothing to restart. */
  if (platform->config.is_long_poll &&
      ash_peer_version_is_behind (&platform->peer_revisions, now, platform->confirmed_revision,
                                  PEER_NEWER_MS))
    restart_watch (platform, now, "peers have a newer configuration");
}

bool
ash_platform_reader_failed (const struct ash_platform_reader *platform)
{
  return platform->config.failures > 0;
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_platform_read *read = timer->data;
  struct ash_platform_reader *platform = read->platform;

  (void) loop;
  (void) events;
  if (platform->handler.should_read (platform->handler.data))
    {
      start_read (read);
      return;
    }
  if (!read->is_list)
    platform->is_reading = false;
  /* Failures from before reading was paused don't show whether the platform answers now. */
  read->failures = 0;
  start_later (read, ROLE_CHECK_MS);
}

static void
init_read (struct ash_platform_read *read, struct ash_platform_reader *platform, bool is_list)
{
  *read = (struct ash_platform_read){ .platform = platform, .is_list = is_list };
  ev_timer_init (&read->timer, on_timer, 0, 0);
  read->timer.data = read;
  start_later (read, 1);
}

void
ash_platform_reader_init (struct ash_platform_reader *platform,
                          struct ash_daemon *daemon,
                          const struct ash_platform_reader_handler *handler)
{
  *platform = (struct ash_platform_reader){ .daemon = daemon, .handler = *handler };
  platform->log = (struct ash_log){ &daemon->log_sink, "platform" };
  ash_random_init (&platform->random, daemon->incarnation);
  init_read (&platform->config, platform, false);
  init_read (&platform->list, platform, true);
}

void
ash_platform_reader_finish (struct ash_platform_reader *platform)
{
  ev_timer_stop (platform->daemon->loop, &platform->config.timer);
  ev_timer_stop (platform->daemon->loop, &platform->list.timer);
  free (platform->config.body);
  free (platform->list.body);
}
