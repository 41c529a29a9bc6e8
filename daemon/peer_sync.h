/**
 * @file
 * Exchange between routers of what the store holds: the configuration and the list of endpoints. If
 * a router gets no change from the store although peers have a newer version, it requests that
 * version from a peer, and restarts its watch at the store, whose connection may be dead.
 */
#ifndef ASH_PEER_SYNC_H
#define ASH_PEER_SYNC_H

#include "controllers/config_delta.h"
#include "controllers/peer_version.h"
#include "proto/event.h"

struct ash_fleet_peer;
struct ash_router;

/** Number of parts of the store that peers exchange: all parts that routers read. */
#define ASH_PEER_SYNC_PARTS 2

/** The newest revisions that peers have reported. */
struct ash_peer_sync
{
  struct ash_router *router;
  struct ash_peer_version peer_revisions[ASH_PEER_SYNC_PARTS];
  struct ash_time
      last_request[ASH_PEER_SYNC_PARTS]; /**< when a peer was last sent a request for this part */
};

void ash_peer_sync_open (struct ash_peer_sync *peer_sync, struct ash_router *router);

/** Records the revisions that a peer's heartbeat reports. */
void ash_peer_sync_update_peer (struct ash_peer_sync *peer_sync,
                                struct ash_time now,
                                const struct ash_fleet_peer *peer);

/** Runs the timers: requests from a peer the changes that the store has not delivered in time. */
void ash_peer_sync_tick (struct ash_peer_sync *peer_sync, struct ash_time now);

/** @return whether peers have a newer configuration than this router. */
bool ash_peer_sync_config_is_behind (struct ash_peer_sync *peer_sync, struct ash_time now);

/** Applies the list of endpoints, or changes of it, that a peer has sent. */
void ash_peer_sync_apply_list (struct ash_peer_sync *peer_sync,
                               const struct Ash__EndpointList *list,
                               const char *box);

/**
 * Sends the difference between two configurations to the own hall, after the newer one has come
 * from the store and been activated.
 * @param before the former configuration; its text is empty if there was none.
 * @param after the active configuration.
 */
void ash_peer_sync_publish_config (struct ash_peer_sync *peer_sync,
                                   const struct ash_config_text *before,
                                   const struct ash_config_text *after);

/** Applies a delta, received from a peer, that changes one configuration into a newer one. */
void ash_peer_sync_apply_delta (struct ash_peer_sync *peer_sync,
                                const struct Ash__ConfigDelta *delta,
                                const char *box);

/** Send a peer the configuration, or the list of endpoints, after it has requested that. */
void ash_peer_sync_send_config (struct ash_peer_sync *peer_sync, const char *box);
void ash_peer_sync_send_list (struct ash_peer_sync *peer_sync, const char *box);

#endif
