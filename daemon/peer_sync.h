/**
 * @file
 * What routers give each other of what the store holds. A router whose own questions at
 * the store bring nothing, though peers have something newer, asks them for it, and
 * no longer trusts the question that it waits for.
 */
#ifndef ASH_PEER_SYNC_H
#define ASH_PEER_SYNC_H

#include "controllers/config_delta.h"
#include "controllers/peer_version.h"
#include "proto/event.h"

struct ash_fleet_peer;
struct ash_router;

/** Parts of the store that peers tell of: those that are read. */
#define ASH_PEER_SYNC_PARTS 2

/** What peers have told of the store's contents. */
struct ash_peer_sync
{
  struct ash_router *router;
  struct ash_peer_version news[ASH_PEER_SYNC_PARTS];
  struct ash_time asked[ASH_PEER_SYNC_PARTS]; /**< when a peer was last asked */
};

void ash_peer_sync_open (struct ash_peer_sync *peer_sync, struct ash_router *router);

/** A peer's heartbeat has told what it has. */
void ash_peer_sync_update_peer (struct ash_peer_sync *peer_sync,
                                struct ash_time now,
                                const struct ash_fleet_peer *peer);

/** Time goes on: what does not come by itself is asked for. */
void ash_peer_sync_tick (struct ash_peer_sync *peer_sync, struct ash_time now);

/** @return whether peers have a newer configuration than this router. */
bool ash_peer_sync_config_is_behind (struct ash_peer_sync *peer_sync, struct ash_time now);

/** A peer sends the list of endpoints, or its changes. */
void ash_peer_sync_apply_list (struct ash_peer_sync *peer_sync,
                               const struct Ash__EndpointList *list,
                               const char *box);

/** A configuration from the store is in force: the own hall is told how it follows from the one
 * before. @param before its text is empty if there was none. */
void ash_peer_sync_publish_config (struct ash_peer_sync *peer_sync,
                                   const struct ash_config_text *before,
                                   const struct ash_config_text *after);

/** A peer tells how a configuration follows from the one before. */
void ash_peer_sync_apply_delta (struct ash_peer_sync *peer_sync,
                                const struct Ash__ConfigDelta *delta,
                                const char *box);

/** A peer asks for the configuration, or for the list of endpoints. */
void ash_peer_sync_send_config (struct ash_peer_sync *peer_sync, const char *box);
void ash_peer_sync_send_list (struct ash_peer_sync *peer_sync, const char *box);

#endif
