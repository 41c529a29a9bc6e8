#include "daemon/daemon.h"

#include "common/id.h"
#include "daemon/config_sync.h"

#include <errno.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.05

/* ---- configuration ---- */

static void
log_findings (struct ash_daemon *daemon, const struct ash_findings *findings)
{
  uint32_t kept = findings->count < ASH_FINDINGS_MAX ? findings->count : ASH_FINDINGS_MAX;

  for (uint32_t i = 0; findings->items && i < kept; i++)
    ash_log_event (&daemon->log, ASH_EV_CONFIG_REFUSED, "line=%u place=\"%s\" finding=\"%s\"",
                   findings->items[i].line, findings->items[i].key_path, findings->items[i].text);
}

void
ash_daemon_offer_config (struct ash_daemon *daemon,
                         uint64_t revision,
                         const char *text,
                         size_t text_bytes,
                         const char *source)
{
  struct ash_findings findings;

  ash_findings_init (&findings, "published");
  switch (ash_config_offer (daemon->config, ash_clock_now (), revision, text, text_bytes,
                            daemon->settings->key_life_ms, &findings))
    {
    case ASH_CONFIG_ACCEPTED:
      ash_log_event (&daemon->log, ASH_EV_CONFIG_ACCEPTED, "revision=%llu digest=%016llx source=%s",
                     (unsigned long long) revision,
                     (unsigned long long) daemon->config->document.digest, source);
      daemon->role.configured (daemon->role.data);
      ash_config_sync_push_deltas (daemon);
      ash_peers_send_heartbeats (&daemon->peers);
      break;
    case ASH_CONFIG_OLDER:
      ash_log_event (&daemon->log, ASH_EV_CONFIG_OLDER, "revision=%llu in_force=%llu source=%s",
                     (unsigned long long) revision,
                     (unsigned long long) daemon->config->document.revision, source);
      break;
    case ASH_CONFIG_REFUSED:
      log_findings (daemon, &findings);
      break;
    case ASH_CONFIG_SAME:
      break;
    }
  ash_findings_finish (&findings);
}

/* ---- messages ---- */

bool
ash_daemon_send (struct ash_daemon *daemon, const struct Ash__Event *event)
{
  return ash_peers_send (&daemon->peers, event->peer, event);
}

static void
answer_query (struct ash_daemon *daemon, const char *peer, const struct Ash__Query *query)
{
  struct Ash__QueryAnswer answer = ASH__QUERY_ANSWER__INIT;
  struct Ash__Event event = ash_event_wrap (peer, ASH__EVENT__KIND_QUERY_ANSWER, &answer);
  json_t *known = daemon->role.explain (daemon->role.data, query);
  char *text = known ? json_dumps (known, JSON_COMPACT) : NULL;

  answer.number = query->number;
  answer.text = text ? text : ash_proto_text ("");
  ash_daemon_send (daemon, &event);
  free (text);
  json_decref (known);
}

static void
handle_drain_message (struct ash_daemon *daemon, const struct Ash__Event *event)
{
  if (event->drain->incarnation != daemon->incarnation)
    return;
  ash_log_event (&daemon->log, ASH_EV_DRAINED, "source=%s", event->peer);
  daemon->role.event (daemon->role.data, event);
  ash_peers_send_heartbeats (&daemon->peers);
}

static void
on_peer_event (void *data, const struct Ash__Event *event)
{
  struct ash_daemon *daemon = data;
  struct ash_box *box;

  if (ash_config_sync_handle (daemon, event))
    return;
  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_QUERY:
      answer_query (daemon, event->peer, event->query);
      return;
    case ASH__EVENT__KIND_DRAIN:
      handle_drain_message (daemon, event);
      return;
    case ASH__EVENT__KIND_LINK_UP:
      daemon->role.event (daemon->role.data, event);
      /* The peer may have restarted and then has no configuration: offer the active one again. */
      box = ash_membership_find (daemon->membership, event->peer);
      if (box)
        box->offered = 0;
      return;
    case ASH__EVENT__KIND_HEARTBEAT:
      daemon->role.event (daemon->role.data, event);
      ash_config_sync_peer (daemon, event->peer);
      return;
    default:
      daemon->role.event (daemon->role.data, event);
    }
}

static uint64_t
active_revision (void *data)
{
  const struct ash_daemon *daemon = data;

  return ash_config_revision (daemon->config);
}

static void
fill_heartbeat (void *data, const char *box, struct Ash__Heartbeat *heartbeat)
{
  struct ash_daemon *daemon = data;

  (void) box;
  daemon->role.heartbeat (daemon->role.data, heartbeat);
}

/* ---- timer and signals ---- */

static void
send_to_role (struct ash_daemon *daemon, Ash__Event__KindCase kind, const void *message)
{
  struct ash_sink sink = { daemon->role.event, daemon->role.data };

  ash_emit (&sink, "", kind, message);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_daemon *daemon = timer->data;
  struct Ash__Tick tick = ASH__TICK__INIT;

  (void) events;
  send_to_role (daemon, ASH__EVENT__KIND_TICK, &tick);
  if (daemon->stopping && daemon->role.may_exit (daemon->role.data))
    ev_break (loop, EVBREAK_ALL);
}

/* Runs before all other watchers each time the event loop wakes up, which the tick makes it do at
 * least every TICK_S. A longer gap means that the process was suspended, and that messages that it
 * has not read yet may be as old as the gap. */
static void
check_for_pause (struct ev_loop *loop, ev_check *check, int events)
{
  struct ash_daemon *daemon = check->data;
  struct ash_time now = ash_clock_now ();
  int64_t gap_ms = ash_time_diff (daemon->last_wakeup, now);

  (void) loop;
  (void) events;
  daemon->last_wakeup = now;
  if (gap_ms <= daemon->settings->pause_ms)
    return;
  ash_log_event (&daemon->log, ASH_EV_WOKE, "gap_ms=%lld", (long long) gap_ms);
  daemon->role.resumed (daemon->role.data);
  ash_peers_close_links (&daemon->peers);
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct ash_daemon *daemon = watcher->data;
  struct Ash__Stop stop = ASH__STOP__INIT;

  (void) events;
  /* A further SIGTERM does not take back the time that the first signal promised. */
  if (daemon->stopping && watcher->signum == SIGTERM)
    {
      ash_log_event (&daemon->log, ASH_EV_STOP_AGAIN, "signal=%d", watcher->signum);
      return;
    }
  if (daemon->stopping)
    {
      ash_log_event (&daemon->log, ASH_EV_CUT_SHORT, "signal=%d", watcher->signum);
      ev_break (loop, EVBREAK_ALL);
      return;
    }
  daemon->stopping = true;
  ash_log_event (&daemon->log, ASH_EV_STOPPING, "signal=%d", watcher->signum);
  send_to_role (daemon, ASH__EVENT__KIND_STOP, &stop);
  ash_peers_send_heartbeats (&daemon->peers);
}

/* ---- setup ---- */

static void
watch_signal (struct ash_daemon *daemon, ev_signal *watcher, int number)
{
  ev_signal_init (watcher, on_signal, number);
  watcher->data = daemon;
  ev_signal_start (daemon->loop, watcher);
}

bool
ash_daemon_init (struct ash_daemon *daemon, const struct ash_settings *settings)
{
  *daemon = (struct ash_daemon){ .settings = settings };
  signal (SIGPIPE, SIG_IGN);
  if (sodium_init () < 0)
    return false;
  daemon->log_sink = (struct ash_log_sink){
    .out = stderr,
    .level = (enum ash_log_level) settings->log_level,
    .json = settings->log_format == 1,
    .box = settings->box,
  };
  daemon->log = (struct ash_log){ &daemon->log_sink, "daemon" };
  daemon->loop = ev_default_loop (EVFLAG_AUTO);
  ash_metrics_init (&daemon->metrics);
  while (!daemon->incarnation)
    randombytes_buf (&daemon->incarnation, sizeof daemon->incarnation);
  if (!daemon->loop)
    return false;
  /* Signal handlers are installed before the process listens on any address: without them a signal
   * would end the process without a planned stop. */
  watch_signal (daemon, &daemon->on_term, SIGTERM);
  watch_signal (daemon, &daemon->on_int, SIGINT);
  return ash_http_client_init (&daemon->http_client, daemon->loop);
}

static bool
open_links (struct ash_daemon *daemon)
{
  struct ash_peers *peers = &daemon->peers;

  peers->settings = (struct ash_peer_settings){
    .listen = daemon->settings->peer_listen,
    .heartbeat_ms = daemon->settings->heartbeat_ms,
    .link_silence_ms = daemon->settings->link_silence_ms,
    .dial_retry_ms = daemon->settings->dial_retry_ms,
  };
  peers->identity.box = daemon->settings->box;
  peers->identity.role =
      daemon->settings->role == ASH_SETTINGS_ENTRY ? ASH__ROLE__ENTRY : ASH__ROLE__ENDPOINT;
  peers->identity.incarnation = daemon->incarnation;
  ash_hex_decode (daemon->settings->fleet_key, peers->identity.fleet_key,
                  sizeof peers->identity.fleet_key);
  peers->log = (struct ash_log){ &daemon->log_sink, "peer" };
  peers->handler = (struct ash_sink){ on_peer_event, daemon };
  peers->revision = active_revision;
  peers->heartbeat = fill_heartbeat;
  peers->data = daemon;
  if (ash_peers_init (peers, daemon->loop))
    return true;
  ash_log_event (&daemon->log, ASH_EV_CANNOT_LISTEN, "address=%s error=\"%s\"",
                 daemon->settings->peer_listen, strerror (errno));
  return false;
}

bool
ash_daemon_run (struct ash_daemon *daemon)
{
  if (!open_links (daemon))
    return false;
  for (uint32_t i = 0; i < daemon->settings->peer_count; i++)
    ash_peers_dial (&daemon->peers, "", daemon->settings->peers[i]);
  daemon->last_wakeup = ash_clock_now ();
  ev_timer_init (&daemon->tick, on_tick, TICK_S, TICK_S);
  daemon->tick.data = daemon;
  ev_timer_start (daemon->loop, &daemon->tick);
  ev_check_init (&daemon->pause_check, check_for_pause);
  ev_set_priority (&daemon->pause_check, EV_MAXPRI);
  daemon->pause_check.data = daemon;
  ev_check_start (daemon->loop, &daemon->pause_check);
  ash_log_event (&daemon->log, ASH_EV_STARTED, "incarnation=%016llx peer_port=%u",
                 (unsigned long long) daemon->incarnation, ash_peers_port (&daemon->peers));
  ev_run (daemon->loop, 0);
  ash_log_event (&daemon->log, ASH_EV_STOPPED, "bytes_in=%llu bytes_out=%llu",
                 (unsigned long long) daemon->peers.bytes_in,
                 (unsigned long long) daemon->peers.bytes_out);
  ash_peers_finish (&daemon->peers);
  return true;
}

void
ash_daemon_finish (struct ash_daemon *daemon)
{
  ash_http_client_finish (&daemon->http_client);
  ash_metrics_finish (&daemon->metrics);
  ev_loop_destroy (daemon->loop);
}
