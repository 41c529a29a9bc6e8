#include "daemon/router.h"

#include "daemon/evacuation.h"

#include "platform/config.h"

#include <errno.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.1

/* A longer gap between two iterations of the event loop means that the process was suspended. */
#define SUSPEND_GAP_MS 1000

/* In a planned stop callers may still come for this multiple of address_keep_ms, the time for which
 * they may cache the router's address. */
#define ADDRESS_KEEP_FACTOR 3

/* Requests are aborted this long before the time to stop is over: callers must still read the
 * answers, and a small busy box needs the rest until its process has exited. */
#define STOP_MARGIN_MS 400

/* A connection to an endpoint, also an idle one, is closed if the endpoint's kernel has
 * acknowledged nothing for this long: a keep-alive probe after a second and the time for its
 * answer. Idle connections are kept for up to 3.3 s. A lost packet is retransmitted after 0.2, 0.6
 * and 1.4 s, and then only after 3 s. */
#define ENDPOINT_SILENCE_MS 2000

/* How long callers have to read the last answers. It takes them some milliseconds; closing a
 * connection sooner loses the data that its socket could not send immediately. */
#define STOP_FLUSH_MS 150

/* Data that arrived while the process was suspended is read within some milliseconds of its
 * resumption. */
#define RESUME_READ_MS 50

/* Fractions of the box's memory that request bodies and answers may use. A body is held twice while
 * it is being sent. */
#define BODIES_DIVISOR 8
#define ANSWERS_DIVISOR 4

/* Memory for answers if the box's memory is not known. */
#define ANSWERS_MAX_BYTES (48 * BYTES_PER_MB)

#define BYTES_PER_MB (UINT64_C (1024) * 1024)
#define MS_PER_S 1000.0

uint64_t
ash_router_version (const struct ash_router *router)
{
  return router->table ? router->table->version : 0;
}

bool
ash_router_ready (const struct ash_router *router)
{
  return router->table && router->endpoints.endpoints && !router->stopping;
}

struct ash_resend_bound
ash_router_resend_bound (const struct ash_router *router)
{
  return (struct ash_resend_bound){ router->settings.resend_window_ms,
                                    router->settings.resend_ratio, router->settings.resend_slack };
}

struct ash_router_service *
ash_router_service (struct ash_router *router, const char *name)
{
  static struct ash_router_service fallback; /* used when out of memory; its retry budget is shared
                                                by all services and soon used up */
  struct ash_router_service *found;

  HASH_FIND_STR (router->services, name, found);
  if (found)
    return found;
  found = calloc (1, sizeof *found);
  if (!found)
    return &fallback;
  snprintf (found->name, sizeof found->name, "%s", name);
  HASH_ADD_STR (router->services, name, found);
  return found;
}

/* ---- connections to endpoints ---- */

struct ash_http_pool *
ash_router_pool (struct ash_router *router, struct ash_direct_endpoint *endpoint)
{
  struct ash_http_pool *pool = endpoint->owner;

  if (pool)
    return pool;
  pool = calloc (1, sizeof *pool);
  if (pool && !ash_http_pool_init (pool, router->loop, endpoint->facts.address))
    ash_log_event (&router->log, ASH_EV_CONFIG_REFUSED,
                   "endpoint=%s address=%s why=\"invalid address\"", endpoint->facts.id,
                   endpoint->facts.address);
  if (pool)
    pool->silence_ms = ENDPOINT_SILENCE_MS;
  endpoint->owner = pool;
  return pool;
}

void
ash_router_close_idle_connections (struct ash_router *router, struct ash_time since)
{
  for (struct ash_direct_endpoint *endpoint = router->endpoints.endpoints; endpoint;
       endpoint = endpoint->hh.next)
    if (endpoint->owner)
      ash_http_pool_close_idle (endpoint->owner, since);
}

static void
on_endpoint_removed (void *data, struct ash_direct_endpoint *endpoint)
{
  struct ash_router *router = data;

  ash_map_manager_remove_endpoint (&router->map_manager, endpoint->hash);
  if (endpoint->owner)
    ash_http_pool_finish (endpoint->owner);
  free (endpoint->owner);
  endpoint->owner = NULL;
}

static void
on_endpoint_added (void *data, struct ash_direct_endpoint *endpoint)
{
  struct ash_router *router = data;

  ash_suspects_record_new_endpoint (&router->suspects, endpoint);
}

/* Idle connections and requests to the endpoint's rank belong to the endpoint's former process, and
 * their connections may be broken. */
static void
on_endpoint_restarted (void *data, struct ash_direct_endpoint *endpoint)
{
  struct ash_router *router = data;

  ash_log_event (&router->log, ASH_EV_ENDPOINT_REBORN, "endpoint=%s address=%s born_ms=%lld",
                 endpoint->facts.id, endpoint->facts.address, (long long) endpoint->facts.born_ms);
  ash_suspects_record_restart (&router->suspects, endpoint->hash);
  ash_map_manager_remove_endpoint (&router->map_manager, endpoint->hash);
  if (endpoint->owner)
    ash_http_pool_set_address (endpoint->owner, endpoint->facts.address);
}

/* ---- configuration ---- */

static void
apply_limits (struct ash_router *router)
{
  const struct ash_route_limits *limits = &router->table->limits;

  router->frontend.bounds = (struct ash_http_bounds){
    .head_max_bytes = limits->head_max_bytes,
    .body_max_bytes = limits->body_max_bytes,
    .head_timeout_ms = limits->head_timeout_ms,
    .idle_timeout_ms = limits->idle_timeout_ms,
  };
}

static void
log_findings (struct ash_router *router, const struct ash_findings *findings, const char *source)
{
  for (uint32_t i = 0; i < findings->count && i < ASH_FINDINGS_MAX; i++)
    ash_log_event (&router->log, ASH_EV_CONFIG_REFUSED,
                   "source=%s place=%s why=\"%s\" in_force=%llu", source,
                   findings->items[i].key_path, findings->items[i].text,
                   (unsigned long long) ash_router_version (router));
}

/* Activates a configuration. Takes ownership of table and text. */
static void
activate_config (struct ash_router *router,
                 struct ash_route_table *table,
                 char *text,
                 size_t text_bytes)
{
  char *old_text = router->config_text;
  struct ash_config_text before = { ash_router_version (router), old_text, router->config_bytes };
  struct ash_config_text after = { table->version, text, text_bytes };

  ash_route_table_unref (router->table);
  router->table = table;
  router->config_text = text;
  router->config_bytes = text_bytes;
  apply_limits (router);
  if (ash_store_is_polled (&router->store, ASH_STORE_CONFIG))
    ash_peer_sync_publish_config (&router->peer_sync, &before, &after);
  free (old_text);
}

void
ash_router_offer_config (struct ash_router *router,
                         const char *text,
                         size_t text_bytes,
                         const char *source)
{
  struct ash_route_table *table = ash_route_table_new ();
  char *copy = malloc (text_bytes + 1);
  struct ash_findings findings;

  ash_findings_init (&findings, "configuration");
  if (table && copy)
    ash_platform_config_read (table, router->table, text, text_bytes, &findings);
  if (!table || !copy || findings.count || table->version <= ash_router_version (router))
    {
      if (findings.count)
        log_findings (router, &findings, source);
      if (findings.count && table && table->version > router->refused_version)
        router->refused_version = table->version;
      ash_route_table_unref (table);
      free (copy);
      ash_findings_finish (&findings);
      return;
    }
  ash_findings_finish (&findings);
  memcpy (copy, text, text_bytes);
  ash_log_event (&router->log, ASH_EV_CONFIG_ACCEPTED,
                 "version=%llu before=%llu source=%s routes=%u services=%u accounts=%u",
                 (unsigned long long) table->version,
                 (unsigned long long) ash_router_version (router), source, table->route_count,
                 table->service_count, table->account_count);
  activate_config (router, table, copy, text_bytes);
}

/* ---- timers and signals ---- */

struct ash_time
ash_router_stop_deadline (const struct ash_router *router)
{
  return ash_time_add (router->stop_started_at,
                       (int64_t) router->settings.grace_ms - STOP_MARGIN_MS);
}

static bool
stop_is_complete (const struct ash_router *router, struct ash_time now)
{
  int64_t keep_ms = (int64_t) router->settings.address_keep_ms * ADDRESS_KEEP_FACTOR;

  return ash_time_diff (router->stop_started_at, now) > keep_ms &&
         !ash_map_manager_holds_step (&router->map_manager) &&
         !ash_http_listener_busy (&router->frontend);
}

static void
set_stop_timer (struct ash_router *router, int64_t ms)
{
  ev_now_update (router->loop);
  ev_timer_stop (router->loop, &router->stop_timer);
  ev_timer_set (&router->stop_timer, (double) (ms > 0 ? ms : 0) / MS_PER_S, 0);
  ev_timer_start (router->loop, &router->stop_timer);
}

/* Ends all requests, shortly before the process exits. Requests end first: each one depends on its
 * caller's connection, and a closed call to an endpoint would be retried at another one. */
static void
abort_requests (struct ash_router *router)
{
  router->stop_expired = true;
  ash_requests_abort_all (router);
  ash_http_listener_stop_accepting (&router->frontend);
  set_stop_timer (router, STOP_FLUSH_MS);
}

static void
on_stop_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_router *router = timer->data;

  (void) events;
  if (router->stop_expired)
    ev_break (loop, EVBREAK_ALL);
  else
    abort_requests (router);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_router *router = timer->data;
  struct ash_time now = ash_clock_now ();

  (void) loop;
  (void) events;
  ash_fleet_tick (&router->fleet, now);
  ash_peer_sync_tick (&router->peer_sync, now);
  ash_store_tick (&router->store, now);
  ash_evacuation_tick (router, now);
  ash_direct_tick (&router->endpoints, now);
  ash_suspects_tick (&router->suspects, now);
  router->capacity_freed = true;
  if (router->stopping && !router->stop_expired && stop_is_complete (router, now))
    abort_requests (router);
}

/* The loop's timers don't count the time for which the machine was suspended: everything that waits
 * for a timer is checked when the process resumes. */
static void
on_resume_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_router *router = timer->data;

  (void) loop;
  (void) events;
  router->suspended_ms = 0;
  ash_exchange_check_all (router);
  if (router->stopping && !router->stop_expired)
    set_stop_timer (router, ash_time_diff (ash_clock_now (), ash_router_stop_deadline (router)));
}

/* Requests to peers and the store are repeated, and idle connections closed, since the other side
 * may have closed them during the suspension. Callers' requests that are read now may be as old as
 * the suspension is long. */
static void
on_process_resumed (struct ash_router *router, struct ash_time now, int64_t gap_ms)
{
  ash_log_event (&router->log, ASH_EV_WOKE, "gap_ms=%lld", (long long) gap_ms);
  ash_map_manager_resumed (&router->map_manager);
  ash_fleet_reset_links (&router->fleet);
  ash_store_resume (&router->store);
  ash_router_close_idle_connections (router, now);
  router->suspended_ms = gap_ms;
  ev_timer_stop (router->loop, &router->resume_timer);
  ev_timer_set (&router->resume_timer, RESUME_READ_MS / MS_PER_S, 0);
  ev_timer_start (router->loop, &router->resume_timer);
}

/* Runs first after the loop has blocked, which it does for one tick at most. A longer gap means
 * that the process or its machine was suspended: what it knows of other processes is outdated. */
static void
on_loop_check (struct ev_loop *loop, ev_check *check, int events)
{
  struct ash_router *router = check->data;
  struct ash_time now = ash_clock_now ();
  int64_t gap_ms = ash_time_diff (router->last_iteration, now);

  (void) loop;
  (void) events;
  router->last_iteration = now;
  if (gap_ms > SUSPEND_GAP_MS)
    on_process_resumed (router, now, gap_ms);
}

/* Runs last before the loop blocks: retries waiting requests if a slot may have become free in this
 * iteration. */
static void
on_loop_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  struct ash_router *router = prepare->data;

  (void) events;
  if (router->capacity_freed)
    ash_exchange_step_waiting (router);
  if (router->stop_expired && !ash_http_listener_has_callers (&router->frontend))
    ev_break (loop, EVBREAK_ALL);
}

/* The first signal promised the time of the planned stop, which a further SIGTERM does not take
 * back: two tools may stop one machine, or one may repeat its signal. SIGINT comes from a terminal.
 */
static void
handle_further_signal (struct ash_router *router, int signal)
{
  if (signal == SIGTERM)
    {
      ash_log_event (&router->log, ASH_EV_STOP_AGAIN, "signal=%d", signal);
      return;
    }
  ash_log_event (&router->log, ASH_EV_CUT_SHORT, "signal=%d", signal);
  if (!router->stop_expired)
    abort_requests (router);
}

static void
on_stop (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct ash_router *router = watcher->data;

  (void) loop;
  (void) events;
  if (router->stopping)
    {
      handle_further_signal (router, watcher->signum);
      return;
    }
  router->stopping = true;
  router->stop_started_at = ash_clock_now ();
  ash_log_event (&router->log, ASH_EV_STOPPING, "signal=%d busy=%u", watcher->signum,
                 ash_http_listener_busy (&router->frontend));
  ash_http_listener_drain (&router->frontend);
  ash_fleet_announce_stop (&router->fleet);
  set_stop_timer (router,
                  ash_time_diff (router->stop_started_at, ash_router_stop_deadline (router)));
}

static void
on_reload (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct ash_router *router = watcher->data;
  struct ash_router_settings settings;
  struct ash_findings findings;

  (void) loop;
  (void) events;
  ash_findings_init (&findings, router->settings_path);
  ash_router_settings_read_file (&settings, router->settings_path, &findings);
  ash_log_event (&router->log, ASH_EV_RELOADED, "findings=%u", findings.count);
  /* Addresses and the box's name can't change while the process runs. */
  if (!findings.count)
    {
      router->settings.wait_ms = settings.wait_ms;
      router->settings.rank_streams = settings.rank_streams;
      router->settings.plain_queue = settings.plain_queue;
      router->settings.address_keep_ms = settings.address_keep_ms;
      router->settings.resend_ratio = settings.resend_ratio;
      router->settings.resend_slack = settings.resend_slack;
    }
  else
    ash_findings_print (&findings, stderr);
  ash_findings_finish (&findings);
}

/* ---- start and end ---- */

static bool
listen_at (struct ash_router *router,
           struct ash_http_listener *listener,
           const char *address,
           const struct ash_conn_handler *handler)
{
  if (ash_http_listen (listener, router->loop, address, handler, router))
    return true;
  ash_log_event (&router->log, ASH_EV_CANNOT_LISTEN, "address=%s error=\"%s\"", address,
                 strerror (errno));
  return false;
}

static bool
open_listeners (struct ash_router *router)
{
  const struct ash_router_settings *settings = &router->settings;

  if (!listen_at (router, &router->frontend, settings->frontend_listen, &ash_requests_handler) ||
      !listen_at (router, &router->readiness, settings->readiness_listen, &ash_readiness_handler) ||
      !listen_at (router, &router->directory, settings->directory_listen, &ash_directory_handler) ||
      !listen_at (router, &router->metrics_page, settings->metrics_listen, &ash_metrics_handler))
    return false;
  router->frontend.conn_max = settings->connections_max;
  router->frontend.queued_total = &router->answer_memory.used_bytes;
  if (settings->memory_mb)
    router->frontend.bodies_max_bytes = settings->memory_mb * BYTES_PER_MB / BODIES_DIVISOR;
  router->answer_memory.max_bytes = settings->memory_mb
                                        ? settings->memory_mb * BYTES_PER_MB / ANSWERS_DIVISOR
                                        : ANSWERS_MAX_BYTES;
  ash_peer_sync_open (&router->peer_sync, router);
  ash_suspects_open (&router->suspects, router, &ash_exchange_suspects_handler);
  if (!ash_fleet_open (&router->fleet, router))
    {
      ash_log_event (&router->log, ASH_EV_CANNOT_LISTEN, "address=%s error=\"%s\"",
                     settings->peer_listen, strerror (errno));
      return false;
    }
  ash_map_manager_open (&router->map_manager, router);
  return ash_store_open (&router->store, router);
}

static void
watch_signal (struct ash_router *router,
              ev_signal *watcher,
              int number,
              void (*handler) (struct ev_loop *, ev_signal *, int))
{
  ev_signal_init (watcher, handler, number);
  watcher->data = router;
  ev_signal_start (router->loop, watcher);
}

static void
start_watchers (struct ash_router *router)
{
  ev_timer_init (&router->tick, on_tick, TICK_S, TICK_S);
  router->tick.data = router;
  ev_timer_start (router->loop, &router->tick);
  ev_init (&router->stop_timer, on_stop_timer);
  router->stop_timer.data = router;
  ev_init (&router->resume_timer, on_resume_timer);
  router->resume_timer.data = router;
  router->last_iteration = ash_clock_now ();
  ev_check_init (&router->loop_check, on_loop_check);
  ev_set_priority (&router->loop_check, EV_MAXPRI);
  router->loop_check.data = router;
  ev_check_start (router->loop, &router->loop_check);
  ev_prepare_init (&router->loop_prepare, on_loop_prepare);
  router->loop_prepare.data = router;
  ev_prepare_start (router->loop, &router->loop_prepare);
  watch_signal (router, &router->on_term, SIGTERM, on_stop);
  watch_signal (router, &router->on_int, SIGINT, on_stop);
  watch_signal (router, &router->on_hup, SIGHUP, on_reload);
}

static bool
init (struct ash_router *router)
{
  const struct ash_router_settings *settings = &router->settings;

  signal (SIGPIPE, SIG_IGN);
  if (sodium_init () < 0)
    return false;
  ash_log_bound_init (&router->log_bound, stdout, settings->log_lines_s);
  router->log_sink = (struct ash_log_sink){
    .out = stdout,
    .bound = &router->log_bound,
    .level = (enum ash_log_level) settings->log_level,
    .json = settings->log_format == 1,
    .box = settings->box,
  };
  router->log = (struct ash_log){ &router->log_sink, "router" };
  router->loop = ev_default_loop (EVFLAG_AUTO);
  while (!router->incarnation)
    randombytes_buf (&router->incarnation, sizeof router->incarnation);
  ash_random_init (&router->random, router->incarnation);
  ash_direct_init (&router->endpoints, ash_random_next (&router->random));
  router->endpoints.before_free = on_endpoint_removed;
  router->endpoints.added = on_endpoint_added;
  router->endpoints.restarted = on_endpoint_restarted;
  router->endpoints.data = router;
  ash_metrics_init (&router->metrics);
  router->frontend.fd = router->readiness.fd = router->directory.fd = router->metrics_page.fd = -1;
  return router->loop != NULL;
}

static void
finish (struct ash_router *router)
{
  struct ash_router_service *service;
  struct ash_router_service *next;

  ash_http_listener_finish (&router->frontend);
  ash_http_listener_finish (&router->readiness);
  ash_http_listener_finish (&router->directory);
  ash_http_listener_finish (&router->metrics_page);
  ash_store_close (&router->store);
  ash_map_manager_close (&router->map_manager);
  ash_suspects_close (&router->suspects);
  ash_direct_finish (&router->endpoints);
  ash_fleet_close (&router->fleet);
  HASH_ITER (hh, router->services, service, next)
    {
      HASH_DEL (router->services, service);
      free (service);
    }
  ash_route_table_unref (router->table);
  free (router->config_text);
  ash_metrics_finish (&router->metrics);
}

bool
ash_router_run (struct ash_router *router, const char *settings_path)
{
  bool ok;

  router->settings_path = settings_path;
  if (!init (router))
    return false;
  /* Signal handlers must be installed before the listeners open: in a test that sent a signal as
   * soon as it could connect, the signal came first in 193 of 200 runs and ended the process
   * together with callers' requests. */
  start_watchers (router);
  ok = open_listeners (router);
  if (ok)
    {
      ash_log_event (&router->log, ASH_EV_STARTED, "incarnation=%016llx hall=%s frontend=%s",
                     (unsigned long long) router->incarnation, router->settings.hall,
                     router->settings.frontend_listen);
      ev_run (router->loop, 0);
      ash_log_event (&router->log, ASH_EV_STOPPED, "busy=%u",
                     ash_http_listener_busy (&router->frontend));
    }
  finish (router);
  return ok;
}
