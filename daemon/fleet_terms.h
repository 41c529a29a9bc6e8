/**
 * @file
 * The usage terms that endpoints send with their answers: a rate limit, a back-off time, and a
 * shutdown notice. Limits and shutdown notices are forwarded to all peers; fleet_rates.h splits the
 * limits among the routers.
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
 * Applies the terms that came with an endpoint's answer to this router.
 * @param requested_at when the request was sent.
 */
void ash_fleet_update_terms (struct ash_fleet *fleet,
                             struct ash_direct_endpoint *endpoint,
                             const struct ash_endpoint_terms *terms,
                             struct ash_time requested_at);

/** Applies terms of endpoints that a peer forwards. */
void ash_fleet_apply_terms (struct ash_fleet *fleet,
                            const struct ash_fleet_peer *peer,
                            const struct Ash__EndpointTermsList *list);

/** Sends the known terms of all endpoints to a peer. */
void ash_fleet_send_terms (struct ash_fleet *fleet, const struct ash_fleet_peer *peer);

#endif
