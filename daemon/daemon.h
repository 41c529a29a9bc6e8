/**
 * @file
 * The part of the daemon that both roles share: event loop, peer links, configuration, timer,
 * signals and shutdown.
 */
#ifndef ASH_DAEMON_H
#define ASH_DAEMON_H

#include "common/log.h"
#include "common/metrics.h"
#include "controllers/config.h"
#include "controllers/membership.h"
#include "net/http_client.h"
#include "net/peer.h"
#include "options/settings.h"

#include <ev.h>
#include <jansson.h>

/** Callbacks of a role. */
struct ash_role
{
  void (*event) (void *data, const struct Ash__Event *event); /**< a message, tick or stop */
  void (*configured) (void *data);                            /**< a new configuration is active */
  void (*heartbeat) (
      void *data,
      struct Ash__Heartbeat *heartbeat); /**< adds the role's fields to an outgoing heartbeat */
  void (*resumed) (void *data);          /**< the process resumed after it had been suspended */
  bool (*may_exit) (void *data); /**< during a planned stop: whether the process may end now */
  /** Answers an operator's query. @return a new JSON object, or NULL if nothing is known. */
  json_t *(*explain) (void *data, const struct Ash__Query *query);
  void *data;
};

/** State of the daemon. */
struct ash_daemon
{
  const struct ash_settings *settings;
  struct ev_loop *loop;
  struct ash_log_sink log_sink;
  struct ash_log log;
  struct ash_metrics metrics;
  struct ash_peers peers;
  struct ash_http_client http_client;
  struct ash_role role;
  struct ash_config *config;         /**< owned by the role */
  struct ash_membership *membership; /**< owned by the role */
  uint64_t incarnation;              /**< random number of this run of the process, never 0 */
  bool stopping;
  ev_timer tick;
  ev_check pause_check;
  struct ash_time last_wakeup; /**< when the event loop last woke up */
  ev_signal on_term;
  ev_signal on_int;
};

/** Initializes event loop, log, signals, HTTP client and incarnation. The caller has to set role,
 * config and membership before ash_daemon_run(). @return false on failure. */
bool ash_daemon_init (struct ash_daemon *daemon, const struct ash_settings *settings);

/** Opens the peer links and runs the event loop until a planned stop has ended.
 * @return false if the peer address can't be listened on. */
bool ash_daemon_run (struct ash_daemon *daemon);

void ash_daemon_finish (struct ash_daemon *daemon);

/** Handles a configuration from the platform or a peer: activates and forwards it if it is newer
 * than the active one and valid.
 * @param source name of the sender, for the log. */
void ash_daemon_offer_config (struct ash_daemon *daemon,
                              uint64_t revision,
                              const char *text,
                              size_t text_bytes,
                              const char *source);

/** Sends a message to the box event->peer. @return false if it could not be sent. */
bool ash_daemon_send (struct ash_daemon *daemon, const struct Ash__Event *event);

/** Run the daemon in the role of an entry or an endpoint until the process is to end. @return false
 * on failure. */
bool ash_run_entry (const struct ash_settings *settings);
bool ash_run_endpoint (const struct ash_settings *settings);

#endif
