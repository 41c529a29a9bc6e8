/**
 * @file
 * What both roles of the daemon share: the loop, the links, the configuration,
 * time and the end of the process.
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

/** What a role does with what the shared part sees. */
struct ash_role
{
  void (*event) (void *data, const struct Ash__Event *event);
  void (*configured) (void *data); /**< a new configuration is in force */
  void (*heartbeat) (void *data, struct Ash__Heartbeat *heartbeat);
  void (*resumed) (void *data);  /**< the process had been paused */
  bool (*may_exit) (void *data); /**< in a planned stop: nothing is in flight */
  /** An operator's question. @return a new JSON object, or NULL if nothing is known. */
  json_t *(*explain) (void *data, const struct Ash__Query *query);
  void *data;
};

/** A daemon. */
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
  struct ash_config *config;         /**< the role's */
  struct ash_membership *membership; /**< the role's */
  uint64_t incarnation;
  bool stopping;
  ev_timer tick;
  ev_check pause_check;
  struct ash_time last_wakeup;
  ev_signal on_term;
  ev_signal on_int;
};

/** Sets up loop, log and incarnation; the role comes next. */
bool ash_daemon_init (struct ash_daemon *daemon, const struct ash_settings *settings);

/** Opens the links and runs until a planned stop is through. */
bool ash_daemon_run (struct ash_daemon *daemon);

void ash_daemon_finish (struct ash_daemon *daemon);

/** Offers a configuration, from the platform or a peer. */
void ash_daemon_offer_config (struct ash_daemon *daemon,
                              uint64_t revision,
                              const char *text,
                              size_t text_bytes,
                              const char *source);

/** Sends what a core gives out to a peer; other messages are the role's. */
bool ash_daemon_send (struct ash_daemon *daemon, const struct Ash__Event *event);

/** The entry role, and the endpoint role: each runs to its end. */
bool ash_run_entry (const struct ash_settings *settings);
bool ash_run_endpoint (const struct ash_settings *settings);

#endif
