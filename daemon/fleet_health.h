/**
 * @file
 * Reports to peers which endpoints fail requests of this router, or serve them again, and applies
 * their reports: see controllers/outlier.
 */
#ifndef ASH_FLEET_HEALTH_H
#define ASH_FLEET_HEALTH_H

#include "controllers/direct.h"
#include "daemon/fleet.h"

/** Reports to all peers that the endpoint has failed requests of this router. */
void ash_fleet_report_failure (struct ash_fleet *fleet, struct ash_direct_endpoint *endpoint);

/** Reports to all peers that the endpoint, which was left out, has answered this router. */
void ash_fleet_report_recovery (struct ash_fleet *fleet, struct ash_direct_endpoint *endpoint);

/** Applies a peer's reports, which come with its loads. */
void ash_fleet_apply_health (struct ash_fleet *fleet,
                             const struct ash_fleet_peer *peer,
                             const struct Ash__EndpointLoads *loads);

#endif
