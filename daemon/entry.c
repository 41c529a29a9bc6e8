/**
 * @file
 * The entry role: connects an entry's core to its callers, its peer links and the platform.
 */
#include "controllers/readers.h"
#include "daemon/api.h"
#include "daemon/explain.h"
#include "daemon/platform_reader.h"
#include "filters/entry.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Period of the check for links to boxes that are no longer declared. */
#define LINK_CHECK_MS 5000

struct entry
{
  struct ash_daemon daemon;
  struct ash_entry core;
  struct ash_api api;
  struct ash_explain explain;
  struct ash_platform_reader platform;
  struct ash_time configured_since; /* when the first configuration became active */
  struct ash_time next_link_check;
  struct ash_time stop_since;
  bool serving;
  bool
      logged_isolated; /* whether the last log line about isolation reported this box as isolated */
  bool failed;         /* the entry could not listen for callers */
};

/* ---- links ---- */

/* Between two entries, the one whose name sorts first connects to the other. */
static bool
dials_entry (const struct entry *entry, const char *name)
{
  return strcmp (entry->daemon.settings->box, name) < 0;
}

static bool
is_declared (const struct entry *entry,
             const struct ash_document *document,
             const char *box,
             const char *address)
{
  const struct ash_endpoint *endpoint = ash_document_endpoint (document, box);
  const struct ash_entry_box *other = ash_document_entry (document, box);

  if (endpoint)
    return strcmp (endpoint->peer, address) == 0;
  return other && dials_entry (entry, box) && strcmp (other->peer, address) == 0;
}

/* The link to a box that is no longer declared is kept for key_life_ms: the box finishes its
 * requests, and this entry may have to request that the box disown keys whose home it was. No
 * request lasts longer than that. */
static bool
is_link_needed (void *data, const char *box, const char *address)
{
  const struct entry *entry = data;
  const struct ash_config *config = &entry->core.config;
  struct ash_time oldest =
      ash_time_add (ash_clock_now (), -(int64_t) entry->daemon.settings->key_life_ms);

  if (is_declared (entry, &config->document, box, address))
    return true;
  for (uint32_t i = 0; i < config->previous_count; i++)
    if (ash_time_before (oldest, config->previous[i].until) &&
        is_declared (entry, &config->previous[i].document, box, address))
      return true;
  return false;
}

static void
close_unneeded_links (struct entry *entry)
{
  struct ash_time now = ash_clock_now ();

  if (!entry->core.config.ready || ash_time_before (now, entry->next_link_check))
    return;
  entry->next_link_check = ash_time_add (now, LINK_CHECK_MS);
  ash_peers_drop_dials (&entry->daemon.peers, is_link_needed, entry);
}

static void
on_configured (void *data)
{
  struct entry *entry = data;
  const struct ash_document *document = &entry->core.config.document;
  struct ash_peers *peers = &entry->daemon.peers;

  for (uint32_t i = 0; i < document->endpoint_count; i++)
    ash_peers_dial (peers, document->endpoints[i].name, document->endpoints[i].peer);
  for (uint32_t i = 0; i < document->entry_count; i++)
    if (dials_entry (entry, document->entries[i].name))
      ash_peers_dial (peers, document->entries[i].name, document->entries[i].peer);
  if (!entry->configured_since.ms)
    entry->configured_since = ash_clock_now ();
}

/* ---- readiness ---- */

static bool
is_reachable (const struct entry *entry, const struct ash_service *service)
{
  const struct ash_document *document = &entry->core.config.document;

  for (uint32_t i = 0; i < service->endpoint_count; i++)
    {
      const char *name = ash_document_service_endpoint (document, service, i)->name;
      const struct ash_box *box = ash_membership_find (&entry->core.membership, name);

      if (box && ash_box_usable (box))
        return true;
    }
  return service->endpoint_count == 0;
}

/* Callers keep this box's address across a restart. Without its links this box would refuse
 * requests that another entry could serve, so it first waits until each service has an endpoint. A
 * service that no entry can reach delays readiness by at most ready_wait_ms. */
static bool
is_ready (const struct entry *entry)
{
  const struct ash_document *document = &entry->core.config.document;
  struct ash_time latest =
      ash_time_add (entry->configured_since, entry->daemon.settings->ready_wait_ms);

  if (!entry->core.config.ready)
    return false;
  /* A peer has a newer configuration and is about to send it. The active configuration may come
   * from a stale answer of the platform. */
  if (ash_membership_has_newer_config (&entry->core.membership, document->revision))
    return false;
  for (uint32_t i = 0; i < document->service_count; i++)
    if (!is_reachable (entry, &document->services[i]))
      return !ash_time_before (ash_clock_now (), latest);
  return true;
}

static void
serve_when_ready (struct entry *entry)
{
  const struct ash_document *document = &entry->core.config.document;

  if (entry->serving || entry->core.leaving || !is_ready (entry))
    return;
  entry->serving = ash_http_server_listen (&entry->api.server);
  if (entry->serving)
    ash_log_event (&entry->daemon.log, ASH_EV_READY, "revision=%llu endpoints=%u",
                   (unsigned long long) document->revision, document->endpoint_count);
  else
    {
      ash_log_event (&entry->daemon.log, ASH_EV_CANNOT_LISTEN, "address=%s error=\"%s\"",
                     entry->daemon.settings->http_listen, strerror (errno));
      entry->failed = true;
      ev_break (entry->daemon.loop, EVBREAK_ALL);
    }
}

/* Logs when this box begins or ceases to reach so few other boxes that it is probably isolated
 * itself. While it is isolated, its view of other boxes is unreliable. */
static void
log_isolation (struct entry *entry)
{
  bool is_isolated = entry->serving && entry->core.membership.isolated;

  if (is_isolated != entry->logged_isolated)
    ash_log_event (&entry->daemon.log, is_isolated ? ASH_EV_ALONE : ASH_EV_NOT_ALONE,
                   "endpoints=%u", entry->core.config.document.endpoint_count);
  entry->logged_isolated = is_isolated;
}

static uint32_t
leaving_count (const struct ash_membership *membership)
{
  uint32_t count = 0;

  for (const struct ash_box *box = membership->boxes; box; box = box->hh.next)
    count += ash_box_leaving (box);
  return count;
}

/* Every heartbeat lists all boxes known to be leaving, so that all boxes learn of them. */
static void
on_heartbeat (void *data, struct Ash__Heartbeat *heartbeat)
{
  struct entry *entry = data;
  const struct ash_membership *membership = &entry->core.membership;
  uint32_t count = leaving_count (membership);

  heartbeat->revision = ash_config_revision (&entry->core.config);
  heartbeat->leaving = entry->core.leaving;
  heartbeat->reads_platform = entry->platform.is_reading;
  if (!count)
    return;
  heartbeat->leaving_boxes = calloc (count, sizeof *heartbeat->leaving_boxes);
  heartbeat->leaving_incarnations = calloc (count, sizeof *heartbeat->leaving_incarnations);
  if (!heartbeat->leaving_boxes || !heartbeat->leaving_incarnations)
    return;
  for (struct ash_box *box = membership->boxes; box; box = box->hh.next)
    {
      if (!ash_box_leaving (box))
        continue;
      heartbeat->leaving_boxes[heartbeat->n_leaving_boxes++] = box->name;
      heartbeat->leaving_incarnations[heartbeat->n_leaving_incarnations++] = box->incarnation;
    }
}

/* ---- messages ---- */

static void
on_emit (void *data, const struct Ash__Event *event)
{
  struct entry *entry = data;

  if (!ash_api_handle_event (&entry->api, event))
    ash_daemon_send (&entry->daemon, event);
}

static void
on_event (void *data, const struct Ash__Event *event)
{
  struct entry *entry = data;
  uint32_t leaving = leaving_count (&entry->core.membership);

  if (event->kind_case == ASH__EVENT__KIND_QUERY_ANSWER)
    {
      ash_explain_handle_answer (&entry->explain, event->peer, event->query_answer);
      return;
    }
  ash_entry_handle (&entry->core, ash_clock_now (), event);
  if (event->kind_case == ASH__EVENT__KIND_LINK_UP)
    ash_explain_link_up (&entry->explain, event->peer);
  if (event->kind_case == ASH__EVENT__KIND_STOP)
    ash_http_server_disable_keep_alive (&entry->api.server);
  if (event->kind_case == ASH__EVENT__KIND_HEARTBEAT)
    ash_platform_reader_peer_revision (&entry->platform, ash_clock_now (),
                                       event->heartbeat->revision);
  if (event->kind_case == ASH__EVENT__KIND_TICK)
    {
      ash_platform_reader_tick (&entry->platform, ash_clock_now ());
      close_unneeded_links (entry);
      ash_explain_tick (&entry->explain);
      log_isolation (entry);
    }
  serve_when_ready (entry);
  if (leaving_count (&entry->core.membership) > leaving)
    ash_peers_send_heartbeats (&entry->daemon.peers);
}

static bool
should_read (void *data)
{
  const struct entry *entry = data;
  const struct ash_settings *settings = entry->daemon.settings;

  return ash_readers_should_read (&entry->core.config, &entry->core.membership, settings->box,
                                  settings->platform_readers);
}

/* Whether the platform answers. An entry that reads the platform knows this from its own reads. An
 * entry that does not read it, or has just begun to, relies on the reports of the entries that do.
 */
static bool
platform_answers (void *data)
{
  const struct entry *entry = data;

  if (entry->platform.is_reading)
    return true;
  if (should_read (data) && ash_platform_reader_failed (&entry->platform))
    return false;
  return ash_readers_any (&entry->core.membership);
}

static void
on_document (void *data, uint64_t revision, const char *text, size_t text_bytes)
{
  struct entry *entry = data;

  ash_daemon_offer_config (&entry->daemon, revision, text, text_bytes, "platform");
}

static void
on_listed_box (void *data, const char *name, bool leaving)
{
  struct entry *entry = data;

  if (!ash_membership_set_listed_leaving (&entry->core.membership, name, leaving) || !leaving)
    return;
  ash_log_event (&entry->daemon.log, ASH_EV_BOX_LEAVING, "box=%s source=platform", name);
  ash_peers_send_heartbeats (&entry->daemon.peers);
}

/* ---- resumption and shutdown ---- */

static void
on_resumed (void *data)
{
  struct entry *entry = data;

  entry->api.maybe_stale_until = ash_time_add (ash_clock_now (), entry->daemon.settings->wake_ms);
}

static json_t *
explain (void *data, const struct Ash__Query *query)
{
  const struct entry *entry = data;

  return ash_explain_request (&entry->core, query);
}

/* By the end of the grace period all requests have their final answers. Callers that read or send
 * slowly may still be connected; these connections must not keep the process running until it is
 * killed. */
static bool
is_grace_over (const struct entry *entry, struct ash_time now)
{
  uint32_t grace_ms = entry->daemon.settings->grace_ms;

  return grace_ms && ash_time_diff (entry->stop_since, now) >= grace_ms;
}

/* Callers may keep this entry's address for address_keep_ms and are served until then. After that
 * no new request is accepted, and the process ends when those in flight have ended. */
static bool
may_exit (void *data)
{
  struct entry *entry = data;
  struct ash_time now = ash_clock_now ();

  if (!entry->stop_since.ms)
    entry->stop_since = now;
  if (ash_time_diff (entry->stop_since, now) <
      entry->daemon.settings->address_keep_ms + ASH_STOP_LINGER_MS)
    return false;
  if (is_grace_over (entry, now))
    return true;
  return ash_http_server_drain (&entry->api.server, now) && ash_entry_idle (&entry->core);
}

static void
start_role (struct entry *entry)
{
  struct ash_daemon *daemon = &entry->daemon;

  entry->core.log = (struct ash_log){ &daemon->log_sink, "entry" };
  entry->core.metrics = &daemon->metrics;
  daemon->config = &entry->core.config;
  daemon->membership = &entry->core.membership;
  daemon->role = (struct ash_role){
    .event = on_event,
    .configured = on_configured,
    .heartbeat = on_heartbeat,
    .resumed = on_resumed,
    .may_exit = may_exit,
    .explain = explain,
    .data = entry,
  };
}

bool
ash_run_entry (const struct ash_settings *settings)
{
  struct entry entry = { 0 };
  struct ash_daemon *daemon = &entry.daemon;
  struct ash_platform_reader_handler platform = { on_document, on_listed_box, should_read, &entry };
  bool ok = false;

  if (!ash_daemon_init (daemon, settings))
    return false;
  if (!ash_entry_init (&entry.core, settings, daemon->incarnation,
                       (struct ash_sink){ on_emit, &entry }))
    goto finish_daemon;
  start_role (&entry);
  if (!ash_api_init (&entry.api, daemon, &entry.core))
    {
      ash_log_event (&daemon->log, ASH_EV_CANNOT_LISTEN, "address=%s error=\"%s\"",
                     settings->http_listen, strerror (errno));
      goto finish_core;
    }
  ash_platform_reader_init (&entry.platform, daemon, &platform);
  entry.api.platform_answers = platform_answers;
  entry.api.platform_data = &entry;
  entry.api.explain = &entry.explain;
  ash_explain_init (&entry.explain, &entry.api);
  ok = ash_daemon_run (daemon) && !entry.failed;
  ash_platform_reader_finish (&entry.platform);
  ash_explain_finish (&entry.explain);
  ash_api_finish (&entry.api);
finish_core:
  ash_entry_finish (&entry.core);
finish_daemon:
  ash_daemon_finish (daemon);
  return ok;
}
