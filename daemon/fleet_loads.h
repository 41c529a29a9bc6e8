/**
 * @file
 * Reports between routers of how many requests each has at each endpoint: frequent within a hall,
 * and less frequent to other halls if these have many routers. They also tell which endpoints the
 * leading router has found to be slow, or in a stalled group. Internal to the fleet modules, but
 * for ash_fleet_send_stalled().
 */
#ifndef ASH_FLEET_LOADS_H
#define ASH_FLEET_LOADS_H

#include "daemon/fleet.h"

/**
 * Peers that are sent reports at the same times, as indexes below ASH_DIRECT_AUDIENCES: those of
 * the own hall, and those of other halls.
 */
enum ash_fleet_audience_kind
{
  ASH_FLEET_NEAR,
  ASH_FLEET_FAR,
};

/**
 * @return the audience of a peer. A peer whose hall is not known yet counts as one of the own hall.
 */
int ash_fleet_audience_of (const struct ash_fleet *fleet, const struct ash_fleet_peer *peer);

/** Starts the periodic load reports. */
void ash_fleet_start_load_reports (struct ash_fleet *fleet);

void ash_fleet_stop_load_reports (struct ash_fleet *fleet);

/** Applies a peer's load report. */
void ash_fleet_apply_loads (struct ash_fleet *fleet,
                            struct ash_fleet_peer *peer,
                            const struct Ash__EndpointLoads *loads);

/** Subtracts the loads that a peer last reported from those of the endpoints, and discards them. */
void ash_fleet_clear_loads (struct ash_fleet *fleet, struct ash_fleet_peer *peer);

/**
 * Sends all linked peers the endpoints of a group that is stalled, or runs again, and applies this
 * to the own endpoints.
 * @param hashes hashes of the endpoints' ids.
 * @param for_ms other endpoints are preferred for this time; 0: they run again.
 */
void
ash_fleet_send_stalled (struct ash_fleet *fleet, uint64_t *hashes, uint32_t count, uint32_t for_ms);

/** Applies what a peer has sent by ash_fleet_send_stalled(). */
void ash_fleet_apply_stalled (struct ash_fleet *fleet,
                              const struct ash_fleet_peer *peer,
                              const struct Ash__StalledEndpoints *stalled);

#endif
