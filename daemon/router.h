/**
 * @file
 * The router: an entry that sends callers' requests straight to endpoints. Here
 * is what its tasks share; each task is a file of its own.
 */
#ifndef ASH_ROUTER_H
#define ASH_ROUTER_H

#include "common/log.h"
#include "common/metrics.h"
#include "controllers/direct.h"
#include "controllers/prompt_gate.h"
#include "controllers/resend_window.h"
#include "controllers/route_table.h"
#include "daemon/peer_sync.h"
#include "daemon/fleet.h"
#include "daemon/map_manager.h"
#include "daemon/store.h"
#include "daemon/suspects.h"
#include "net/http_conn.h"
#include "options/router_settings.h"

struct ash_exchange;

/** A service's count of requests sent again. */
struct ash_router_service
{
  char name[ASH_DIRECT_NAME_BYTES];
  struct ash_resend_window window;
  struct ash_prompt_gate gate;
  UT_hash_handle hh;
};

/** A router. */
struct ash_router
{
  struct ash_router_settings settings;
  const char *settings_path;
  struct ev_loop *loop;
  struct ash_log_sink log_sink;
  struct ash_log_bound log_bound;
  struct ash_log log;
  struct ash_metrics metrics;
  struct ash_random random;
  uint64_t incarnation;

  struct ash_route_table *table; /**< in force; NULL: none yet */
  char *config_text;             /**< what it was read from, for peers */
  size_t config_bytes;
  uint64_t refused_version; /**< of the last configuration that had findings; 0: none, or it had no
                               version */
  struct ash_direct_set endpoints;
  struct ash_router_service *services;

  struct ash_store store;
  struct ash_fleet fleet;
  struct ash_peer_sync peer_sync;
  struct ash_map_manager groups;
  struct ash_suspects suspects;
  struct ash_http_listener frontend;
  struct ash_http_listener readiness;
  struct ash_http_listener directory;
  struct ash_http_listener figures;

  struct ash_exchange *exchanges;
  uint32_t waiting_count; /**< exchanges that wait for room */
  bool room; /**< some may be had: those waiting are looked at before the loop sleeps */

  bool stopping;
  bool stop_expired; /**< the stop is at its end: nothing goes to endpoints any more */
  struct ash_time stop_started_at;
  ev_timer stop_timer;
  ev_timer tick;
  ev_check loop_check;
  struct ash_time last_iteration; /**< of the loop */
  ev_timer resume_timer;          /**< what came while the process was away is read by then */
  int64_t suspended_ms;           /**< until then: for how long it was away; else 0 */
  ev_prepare loop_prepare;
  ev_signal on_term;
  ev_signal on_int;
  ev_signal on_hup;
};

/** Runs a router to its end. @return false if it could not start. */
bool ash_router_run (struct ash_router *router, const char *settings_path);

/**
 * Takes a configuration into force unless it is not newer, or has findings.
 * @param source who gave it, for the log.
 */
void ash_router_offer_config (struct ash_router *router,
                              const char *text,
                              size_t text_bytes,
                              const char *source);

/** @return the version in force, 0 for none. */
uint64_t ash_router_version (const struct ash_router *router);

/** @return whether callers may be sent here. */
bool ash_router_ready (const struct ash_router *router);

/** @return when a planned stop that has begun gives up what is still under way. */
struct ash_time ash_router_stop_deadline (const struct ash_router *router);

/** @return what is kept of a service; made when first asked for. */
struct ash_router_service *ash_router_service (struct ash_router *router, const char *name);

/** @return what bounds requests that are sent again. */
struct ash_resend_bound ash_router_resend_bound (const struct ash_router *router);

/** Requests of callers: what the frontend's listener calls. */
extern const struct ash_conn_handler ash_requests_handler;

/** What requests under way hear of those that are suspected. */
extern const struct ash_suspects_handler ash_exchange_suspects_handler;

/** The process was away: looks at all requests as if their timers were due. */
void ash_exchange_check_all (struct ash_router *router);

/** Looks at all requests that wait for room. */
void ash_exchange_step_waiting (struct ash_router *router);

/**
 * Ends all requests: with a 503 what has surely not run, with a 502 what may have, broken off what
 * has begun. Afterwards none goes to an endpoint, and new ones are refused.
 */
void ash_requests_abort_all (struct ash_router *router);

/** Readiness, directory and figures: what their listeners call. */
extern const struct ash_conn_handler ash_readiness_handler;
extern const struct ash_conn_handler ash_directory_handler;
extern const struct ash_conn_handler ash_figures_handler;

/** @return the connections to an endpoint; made when first asked for. */
struct ash_http_pool *ash_router_pool (struct ash_router *router,
                                       struct ash_direct_endpoint *endpoint);

/** Open connections may have gone silent: closes idle ones to endpoints, not heard from since. */
void ash_router_close_idle_connections (struct ash_router *router, struct ash_time since);

#endif
