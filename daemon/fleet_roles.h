/**
 * @file
 * Which routers perform tasks for all: reading the store, and leading the changes of expert maps.
 * Each router decides on its own from its links; two that perform the same task do no harm.
 * Internal to the fleet modules.
 */
#ifndef ASH_FLEET_ROLES_H
#define ASH_FLEET_ROLES_H

#include "daemon/fleet.h"

/**
 * Decides whether this router reads the store, and how often, from the peers that it is linked to.
 */
void ash_fleet_choose_readers (struct ash_fleet *fleet);

#endif
