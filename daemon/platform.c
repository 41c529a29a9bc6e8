#include "daemon/platform.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000.0

/* A watch waits this long at the platform; a read may take that and a bit. While nothing is new
 * a watch looks the same whether it is heard or not, so the sum bounds how late a silent one is
 * noticed that nothing else shows: 5 s, of the 7 s in which a change is to be in force. The 32
 * readers of the size to come cost 48 reads a second with it, of the platform's 2,000. */
#define WATCH_MS 2000
#define READ_TIMEOUT_MS 3000

/* A connection to the platform that is silent for so long is given up, keep-alive probes
 * included: a cut shows before the watch's time is over. */
#define SILENCE_MS 2000

/* The platform answers all its readers within some milliseconds, and a new revision is told to
 * peers at once. Whose own watch has not brought it so long after has a silent one. */
#define BEHIND_MS 300

/* A watch that was sent less long ago may still be on its way. */
#define DOUBT_LEAST_MS 300

/* The list is read at this period. A leaving box tells its peers itself; the
 * list is one more source, which lags by more than this anyway. */
#define LIST_PERIOD_MS 1000

/* Whether to read is asked again at this period, while others do. */
#define ASK_AGAIN_MS 500

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

/* Doubles with each failure, then half to all of it at random, so that a fleet
 * does not come back to the platform in step. */
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
take_document (struct ash_platform_read *read)
{
  struct ash_platform *platform = read->platform;

  platform->seen_revision = read->revision;
  platform->handler.document (platform->handler.data, read->revision, read->body ? read->body : "",
                              read->body_bytes);
}

static bool
take_list (struct ash_platform_read *read)
{
  struct ash_platform *platform = read->platform;
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
      /* Refused below: more than a document may hold. */
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
take_answer (struct ash_platform_read *read, enum ash_fetch_result result)
{
  if (result != ASH_FETCH_COMPLETE)
    return false;
  if (read->status == HTTP_NOT_MODIFIED)
    return true;
  if (read->status != HTTP_OK)
    return false;
  if (read->is_list)
    return take_list (read);
  if (!read->revision)
    return false;
  take_document (read);
  return true;
}

static void
forget_answer (struct ash_platform_read *read)
{
  read->fetch = NULL;
  free (read->body);
  read->body = NULL;
  read->body_bytes = 0;
}

/* The read is over, answered or not. */
static void
note_result (struct ash_platform_read *read, bool ok, const char *why)
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
    read->platform->reads = ok;
}

/* Something shows that the watch may be silent: it is given up and asked anew, for an answer at
 * once. Until that comes this does not count as reading. */
static void
doubt_watch (struct ash_platform *platform, struct ash_time now, const char *why)
{
  struct ash_platform_read *read = &platform->config;

  if (!read->fetch || !read->waits || ash_time_diff (read->asked, now) < DOUBT_LEAST_MS)
    return;
  ash_http_client_cancel (read->fetch);
  forget_answer (read);
  note_result (read, false, why);
  start_later (read, 1);
}

/* What was asked has been answered: nothing that is not newer can be missing. */
static void
note_known (struct ash_platform_read *read)
{
  struct ash_platform *platform = read->platform;

  if (read->after > platform->known_revision)
    platform->known_revision = read->after;
  if (platform->seen_revision > platform->known_revision)
    platform->known_revision = platform->seen_revision;
}

static void
on_end (void *data, enum ash_fetch_result result)
{
  struct ash_platform_read *read = data;
  bool first_failure = read->failures == 0;
  bool ok = take_answer (read, result);

  forget_answer (read);
  note_result (read, ok, result == ASH_FETCH_COMPLETE ? "no answer of use" : "no answer in time");
  if (!ok)
    start_later (read, back_off_ms (read));
  else
    start_later (read, read->is_list ? LIST_PERIOD_MS : 1);
  if (ok && !read->is_list)
    note_known (read);
  /* What keeps one question from being answered may keep the other one too. */
  if (!ok && read->is_list && first_failure)
    doubt_watch (read->platform, ash_clock_now (), "the list failed");
}

static void
start_read (struct ash_platform_read *read)
{
  struct ash_platform *platform = read->platform;
  struct ash_daemon *daemon = platform->daemon;
  char url[2 * ASH_OPTION_TEXT_BYTES];
  struct ash_fetch_handler handler = { on_head, on_bytes, on_end, read };
  struct ash_fetch_request request = {
    .url = url, .method = "GET", .timeout_ms = READ_TIMEOUT_MS, .silence_ms = SILENCE_MS
  };
  uint64_t after = platform->seen_revision;
  /* Whoever does not know whether the platform answers asks for an answer at once: a watch
   * would tell only at its end. */
  int wait_ms = platform->reads ? WATCH_MS : 0;

  /* An older answer must not make this wait for what it has already. */
  if (daemon->config->ready && daemon->config->document.revision > after)
    after = daemon->config->document.revision;
  if (read->is_list)
    snprintf (url, sizeof url, "%s/v1/boxes", daemon->settings->platform_url);
  else
    {
      snprintf (url, sizeof url, "%s/v1/config?after=%llu&wait_ms=%d",
                daemon->settings->platform_url, (unsigned long long) after, wait_ms);
      request.timeout_ms += (uint32_t) wait_ms;
    }
  read->status = 0;
  read->asked = ash_clock_now ();
  read->after = after;
  read->waits = !read->is_list && wait_ms > 0;
  read->fetch = ash_http_client_start (&daemon->http_client, &request, &handler);
  if (!read->fetch)
    start_later (read, BACK_OFF_MAX_MS);
}

/* ---- what peers tell ---- */

void
ash_platform_told (struct ash_platform *platform, struct ash_time now, uint64_t revision)
{
  ash_peer_version_reported (&platform->news, now, revision, platform->known_revision);
}

void
ash_platform_tick (struct ash_platform *platform, struct ash_time now)
{
  /* Whether the watch waits is asked first: who does not read has nothing to doubt. */
  if (platform->config.waits &&
      ash_peer_version_is_behind (&platform->news, now, platform->known_revision, BEHIND_MS))
    doubt_watch (platform, now, "peers have a newer configuration");
}

bool
ash_platform_failed (const struct ash_platform *platform)
{
  return platform->config.failures > 0;
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_platform_read *read = timer->data;
  struct ash_platform *platform = read->platform;

  (void) loop;
  (void) events;
  if (platform->handler.should_read (platform->handler.data))
    {
      start_read (read);
      return;
    }
  if (!read->is_list)
    platform->reads = false;
  /* What it knew of the platform is out of date. */
  read->failures = 0;
  start_later (read, ASK_AGAIN_MS);
}

static void
init_read (struct ash_platform_read *read, struct ash_platform *platform, bool is_list)
{
  *read = (struct ash_platform_read){ .platform = platform, .is_list = is_list };
  ev_timer_init (&read->timer, on_timer, 0, 0);
  read->timer.data = read;
  start_later (read, 1);
}

void
ash_platform_init (struct ash_platform *platform,
                   struct ash_daemon *daemon,
                   const struct ash_platform_handler *handler)
{
  *platform = (struct ash_platform){ .daemon = daemon, .handler = *handler };
  platform->log = (struct ash_log){ &daemon->log_sink, "platform" };
  ash_random_init (&platform->random, daemon->incarnation);
  init_read (&platform->config, platform, false);
  init_read (&platform->list, platform, true);
}

void
ash_platform_finish (struct ash_platform *platform)
{
  ev_timer_stop (platform->daemon->loop, &platform->config.timer);
  ev_timer_stop (platform->daemon->loop, &platform->list.timer);
  free (platform->config.body);
  free (platform->list.body);
}
