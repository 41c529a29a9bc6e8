/**
 * @file
 * How a configuration gets from box to box: a peer that has an older one is sent
 * how the present one follows from it, or the whole document.
 */
#ifndef ASH_CONFIG_SYNC_H
#define ASH_CONFIG_SYNC_H

#include "daemon/daemon.h"

/** Sends a peer that has an older configuration the present one, once. */
void ash_config_sync_peer (struct ash_daemon *daemon, const char *name);

/** A configuration has just come into force: peers that can be sent a delta get it. */
void ash_config_sync_push_deltas (struct ash_daemon *daemon);

/** Takes a peer's ConfigOffer, ConfigDelta or ConfigWant. @return false if it is none. */
bool ash_config_sync_handle (struct ash_daemon *daemon, const struct Ash__Event *event);

#endif
