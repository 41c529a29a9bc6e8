/**
 * @file
 * Distributes the configuration between boxes. A peer with an older revision gets the deltas from
 * its revision to the active one, or the whole document.
 */
#ifndef ASH_CONFIG_SYNC_H
#define ASH_CONFIG_SYNC_H

#include "daemon/daemon.h"

/** Sends the active configuration to a peer that has an older one, unless it has already been sent
 * to the peer. */
void ash_config_sync_peer (struct ash_daemon *daemon, const char *name);

/** Sends a configuration that has just become active to all peers that can be sent deltas. */
void ash_config_sync_push_deltas (struct ash_daemon *daemon);

/** Handles a peer's ConfigOffer, ConfigDelta or ConfigWant.
 * @return false if it is another message. */
bool ash_config_sync_handle (struct ash_daemon *daemon, const struct Ash__Event *event);

#endif
