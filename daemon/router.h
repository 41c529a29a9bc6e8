/**
 * @file
 * The router: accepts callers' requests and sends them directly to endpoints. Declares the state
 * that its modules share.
 */
#ifndef ASH_ROUTER_H
#define ASH_ROUTER_H

#include "common/log.h"
#include "common/metrics.h"
#include "controllers/answer_memory.h"
#include "controllers/direct.h"
#include "controllers/fair_share.h"
#include "controllers/prompt_gate.h"
#include "controllers/priority_room.h"
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

/** A service's retry budget, prompt gate and recent demand. */
struct ash_router_service
{
  char name[ASH_DIRECT_NAME_BYTES];
  struct ash_resend_window window;
  struct ash_prompt_gate gate;
  struct ash_priority_room room;
  struct ash_fair_share shares; /**< among the accounts that call it */
  UT_hash_handle hh;
};

/** State of a router process. */
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

  struct ash_route_table *table; /**< the active configuration; NULL: none yet */
  char *config_text;             /**< the text of the active configuration, to send to peers */
  size_t config_bytes;
  uint64_t refused_version; /**< version of the newest configuration that had errors; 0: none, or it
                               had no version */
  struct ash_direct_set endpoints;
  struct ash_router_service *services;

  struct ash_store store;
  struct ash_fleet fleet;
  struct ash_peer_sync peer_sync;
  struct ash_map_manager map_manager;
  struct ash_suspects suspects;
  struct ash_http_listener frontend;
  struct ash_http_listener readiness;
  struct ash_http_listener directory;
  struct ash_http_listener metrics_page;

  struct ash_answer_memory answer_memory;
  struct ash_exchange *exchanges;
  bool evacuation_in_progress;     /**< an evacuated hall still has requests of this router */
  struct ash_time no_socket_until; /**< no socket could be had: no exchange tries again before */
  uint64_t no_socket_total;        /**< requests that could not be sent for lack of a socket */
  uint32_t waiting_count;          /**< exchanges that wait for a free slot */
  bool capacity_freed; /**< an endpoint may have a free slot: waiting exchanges retry before the
                          loop blocks */

  bool stopping;
  bool stop_expired; /**< the time to stop is over: requests are aborted, and none goes to an
                        endpoint */
  struct ash_time stop_started_at;
  ev_timer stop_timer;
  ev_timer tick;
  ev_check loop_check;
  struct ash_time last_iteration; /**< when the event loop last woke up */
  ev_timer resume_timer; /**< runs when data that arrived during a suspension has been read */
  int64_t suspended_ms;  /**< how long the process was suspended, until resume_timer runs; else 0 */
  ev_prepare loop_prepare;
  ev_signal on_term;
  ev_signal on_int;
  ev_signal on_hup;
};

/** Runs a router until it is stopped. @return false: it could not start. */
bool ash_router_run (struct ash_router *router, const char *settings_path);

/**
 * Activates a configuration, unless its version is not newer than the active one or it has errors.
 * @param source who sent it, for the log.
 */
void ash_router_offer_config (struct ash_router *router,
                              const char *text,
                              size_t text_bytes,
                              const char *source);

/** @return the version of the active configuration; 0: none. */
uint64_t ash_router_version (const struct ash_router *router);

/** @return whether callers may send requests to this router. */
bool ash_router_ready (const struct ash_router *router);

/** @return when a planned stop that has begun aborts the remaining requests. */
struct ash_time ash_router_stop_deadline (const struct ash_router *router);

/** @return the state of a service, created on first use. */
struct ash_router_service *ash_router_service (struct ash_router *router, const char *name);

/** @return the limits on resending requests. */
struct ash_resend_bound ash_router_resend_bound (const struct ash_router *router);

/** Callbacks of the frontend listener, for callers' requests. */
extern const struct ash_conn_handler ash_requests_handler;

/** Callbacks for exchanges when an endpoint has been probed or a request quarantined. */
extern const struct ash_suspects_handler ash_exchange_suspects_handler;

/** After the process was suspended: checks all requests as if their timers had expired. */
void ash_exchange_check_all (struct ash_router *router);

/** Retries all requests that wait for a free slot. */
void ash_exchange_step_waiting (struct ash_router *router);

/**
 * Ends all requests: with status 503 if they have certainly not run, with 502 if they may have run.
 * Answers that have begun are cut off. Afterwards no request goes to an endpoint, and new ones are
 * rejected.
 */
void ash_requests_abort_all (struct ash_router *router);

/** Callbacks of the listeners for the readiness, directory and metrics pages. */
extern const struct ash_conn_handler ash_readiness_handler;
extern const struct ash_conn_handler ash_directory_handler;
extern const struct ash_conn_handler ash_metrics_handler;

/** @return the connection pool of an endpoint, created on first use; NULL: out of memory. */
struct ash_http_pool *ash_router_pool (struct ash_router *router,
                                       struct ash_direct_endpoint *endpoint);

/**
 * After a sign of dead connections: closes idle ones to all endpoints that have received nothing
 * since @p since.
 */
void ash_router_close_idle_connections (struct ash_router *router, struct ash_time since);

#endif
