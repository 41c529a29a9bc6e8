/**
 * @file
 * Which routers do what for all: who asks the store, who leads the groups. Each works it out for
 * itself; two that do the same thing do no harm. For the files of the fleet only.
 */
#ifndef ASH_FLEET_ROLES_H
#define ASH_FLEET_ROLES_H

#include "daemon/fleet.h"

/** Works out who of the fleet asks the store, as this router sees it. */
void ash_fleet_choose_readers (struct ash_fleet *fleet);

#endif
