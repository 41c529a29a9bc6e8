/**
 * @file
 * The entry role: an entry's core, its callers, its links and the platform.
 */
#include "controllers/readers.h"
#include "daemon/api.h"
#include "daemon/explain.h"
#include "daemon/platform_reader.h"
#include "filters/entry.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Links to boxes that are not declared any more are looked for at this period. */
#define LINK_CHECK_MS 5000

struct entry
{
  struct ash_daemon daemon;
  struct ash_entry core;
  struct ash_api api;
  struct ash_explain explain;
  struct ash_platform_reader platform;
  struct ash_time configured_since; /* the first configuration came */
  struct ash_time next_link_check;
  struct ash_time stop_since;
  bool serving;
  bool isolated; /* sees so few boxes that it suspects itself */
  bool failed;   /* it could not begin to serve */
};

/* ---- links ---- */

/* Of two entries the one whose name comes first dials. */
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

/* The link to a box that is not declared any more is kept for a key's life: what
 * the box has in hand ends there, and it is asked to disown keys whose home it
 * was. No request lasts longer. */
static bool
is_link_needed (void *data, const char *box, const char *address)
{
  const struct entry *entry = data;
  const struct ash_config *config = &entry->core.config;
  struct ash_time oldest =
      ash_time_add (ash_clock_now (), -(int64_t) entry->daemon.settings->key_life_ms);

  if (is_declared (entry, &config->document, box, address))
    return true;
  for (uint32_t i = 0; i < config->past_count; i++)
    if (ash_time_before (oldest, config->past[i].until) &&
        is_declared (entry, &config->past[i].document, box, address))
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

/* ---- ready to serve ---- */

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

/* Callers keep this box's address over a restart. Until it has its links it
 * would refuse what another box could take; a service that nobody can reach
 * must not keep it waiting for ever, though. */
static bool
is_ready (const struct entry *entry)
{
  const struct ash_document *document = &entry->core.config.document;
  struct ash_time latest =
      ash_time_add (entry->configured_since, entry->daemon.settings->ready_wait_ms);

  if (!entry->core.config.ready)
    return false;
  /* A peer has a newer configuration, and sends it: what this box has may be what a
   * stale platform answered. */
  if (ash_membership_knows_newer (&entry->core.membership, document->revision))
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

/* Logged when it changes: what this box believes of others is doubtful then. */
static void
log_isolation (struct entry *entry)
{
  bool isolated = entry->serving && entry->core.membership.isolated;

  if (isolated != entry->isolated)
    ash_log_event (&entry->daemon.log, isolated ? ASH_EV_ALONE : ASH_EV_NOT_ALONE, "endpoints=%u",
                   entry->core.config.document.endpoint_count);
  entry->isolated = isolated;
}

static uint32_t
leaving_count (const struct ash_membership *membership)
{
  uint32_t count = 0;

  for (const struct ash_box *box = membership->boxes; box; box = box->hh.next)
    count += ash_box_leaving (box);
  return count;
}

/* Whoever hears that a box is leaving tells all peers. */
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

/* A reader goes by its own is_reading; who leaves that to others, or has only just come to read
 * itself, by their word. */
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

/* ---- time and the end ---- */

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

/* All requests have their final answers by then. What is left are callers that read or send
 * slowly: they must not keep the process until it is killed. */
static bool
is_grace_over (const struct entry *entry, struct ash_time now)
{
  uint32_t grace_ms = entry->daemon.settings->grace_ms;

  return grace_ms && ash_time_diff (entry->stop_since, now) >= grace_ms;
}

/* Callers that still keep this address are served while they may keep it; then
 * nothing new is taken, and what is in flight ends. */
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
