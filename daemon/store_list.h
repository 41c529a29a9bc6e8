/**
 * @file
 * The list of endpoints, as the store and peers supply it: the part of the router's view of the
 * store (store.h) that keeps entries, derives endpoints from them, and forwards changes to peers.
 * It sends no requests to the store; store.c does, and calls these functions.
 */
#ifndef ASH_STORE_LIST_H
#define ASH_STORE_LIST_H

#include "daemon/store.h"

/**
 * For this long after the store has come back, in ms, an entry may be missing because it expired
 * while the store was unavailable: running endpoints renew their entries within 2 s.
 */
#define ASH_STORE_LAPSE_MS 2300

void ash_store_list_init (struct ash_store *store);

void ash_store_list_finish (struct ash_store *store);

/** Applies an item of the store's answer. @param position the store position of the item. */
void ash_store_list_item (struct ash_store_reader *reader,
                          const struct ash_store_item *item,
                          uint64_t position);

/** Logs and counts an item that stands among the endpoints' entries under a name that is not one of
 * an endpoint. It changes nothing else. */
void ash_store_list_foreign (struct ash_store *store, const struct ash_store_item *item);

/**
 * Removes the entries that a complete listing lacked, unless a peer has reported them at a later
 * position.
 * @param position the store position of the listing's first page.
 */
void ash_store_list_remove_unlisted (struct ash_store_reader *reader, uint64_t position);

/**
 * Sends the changes in the store's last answer to the own hall immediately.
 * @param since the store position before the answer.
 * @param position the store position of the answer. The router's list may be newer, if a peer has
 * sent changes.
 */
void ash_store_list_publish (struct ash_store *store, uint64_t since, uint64_t position);

/**
 * Runs the timers. An endpoint that reported that it is leaving is used again after a restored
 * store has listed it for a long time.
 */
void ash_store_list_tick (struct ash_store *store, struct ash_time now);

/**
 * Records that the store has been restored from an older copy, as an answer or a peer reports.
 * Within 2 s running endpoints write the entries again that the copy lacks; until then, endpoints
 * that are missing from the list may be running.
 * @param source who reported it, for the log.
 */
void ash_store_begin_era (struct ash_store *store, uint64_t era, const char *source);

#endif
