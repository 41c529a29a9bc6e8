/**
 * @file
 * How much work each router has at each endpoint, as routers tell each other: those of the own hall
 * often, the others less often where there are many. For the files of the fleet only.
 */
#ifndef ASH_FLEET_LOADS_H
#define ASH_FLEET_LOADS_H

#include "daemon/fleet.h"

/** Peers that are reported at the same times: see ASH_DIRECT_AUDIENCES. */
enum ash_fleet_audience_kind
{
  ASH_FLEET_NEAR,
  ASH_FLEET_FAR,
};

/** @return the audience that a peer belongs to; one whose hall is not known yet is near. */
int ash_fleet_audience_of (const struct ash_fleet *fleet, const struct ash_fleet_peer *peer);

/** Starts to tell the others. */
void ash_fleet_start_load_reports (struct ash_fleet *fleet);

void ash_fleet_stop_load_reports (struct ash_fleet *fleet);

/** Takes a peer's word. */
void ash_fleet_apply_loads (struct ash_fleet *fleet,
                            struct ash_fleet_peer *peer,
                            const struct Ash__EndpointLoads *loads);

/** Takes back what a peer said last. */
void ash_fleet_clear_loads (struct ash_fleet *fleet, struct ash_fleet_peer *peer);

#endif
