/**
 * @file
 * What endpoints say of how they want to be used: told to all peers, and the rates that they name
 * dealt out among the routers.
 */
#ifndef ASH_FLEET_TERMS_H
#define ASH_FLEET_TERMS_H

#include "common/clock.h"
#include "controllers/endpoint_terms.h"
#include "proto/event.h"

struct ash_direct_endpoint;
struct ash_fleet;
struct ash_fleet_peer;

/**
 * An endpoint said so in an answer to this router.
 * @param asked when the request of the answer was sent.
 */
void ash_fleet_update_terms (struct ash_fleet *fleet,
                             struct ash_direct_endpoint *endpoint,
                             const struct ash_endpoint_terms *terms,
                             struct ash_time asked);

/** A peer tells what endpoints said. */
void ash_fleet_apply_terms (struct ash_fleet *fleet,
                            const struct ash_fleet_peer *peer,
                            const struct Ash__EndpointTermsList *told);

/** Tells a peer all that is known. */
void ash_fleet_send_terms (struct ash_fleet *fleet, const struct ash_fleet_peer *peer);

/** Time goes on: parts of rates follow the routers that are there. */
void ash_fleet_split_rates (struct ash_fleet *fleet, struct ash_time now);

#endif
