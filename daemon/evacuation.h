/**
 * @file
 * Evacuations of halls: applies the operator's orders from the store, and exchanges them with the
 * other routers. Requests that run in an evacuated hall are finished there; new ones, resends and
 * resumed streams go to other halls. Orders to the ranks of a group are still sent, because all of
 * its ranks take part in each pass.
 */
#ifndef ASH_EVACUATION_H
#define ASH_EVACUATION_H

#include "platform/store.h"
#include "proto/event.h"

struct ash_router;

/**
 * Applies an order, or its withdrawal, from the store.
 * @param position the store position of the item.
 * @param listing_id number of the reader's current or last listing.
 */
void ash_evacuation_item (struct ash_router *router,
                          const struct ash_store_item *item,
                          uint64_t position,
                          uint32_t listing_id);

/**
 * Handles the end of a complete listing: orders that it lacks have been withdrawn.
 * @param position the store position of the listing's first page.
 */
void ash_evacuation_listing_end (struct ash_router *router, uint64_t position, uint32_t listing_id);

/**
 * Handles the digest in a peer's heartbeat: if the peer's orders differ, sends it this router's.
 * The peer does the same, so both end with the newest order of each hall.
 */
void ash_evacuation_compare (struct ash_router *router, uint64_t digest, const char *box);

/** Applies the orders that a peer has sent. */
void ash_evacuation_receive (struct ash_router *router,
                             const struct Ash__EvacuationList *list,
                             const char *box);

/** @return how many requests of this router are in flight at the endpoints of a hall. */
uint32_t ash_evacuation_in_flight (const struct ash_router *router, const char *hall);

/** Runs the timers, and logs when an evacuated hall has no more requests of this router. */
void ash_evacuation_tick (struct ash_router *router, struct ash_time now);

#endif
