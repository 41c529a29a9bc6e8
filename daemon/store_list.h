/**
 * @file
 * The list of endpoints as the store and peers tell it: the part of the router's store (store.h)
 * that keeps entries, decides which endpoints they make, and tells peers. It asks nothing itself;
 * store.c does, and calls this.
 */
#ifndef ASH_STORE_LIST_H
#define ASH_STORE_LIST_H

#include "daemon/store.h"

/**
 * So long after the store's return an entry that is missing may just have lapsed: endpoints
 * that live are back in the list within two seconds.
 */
#define ASH_STORE_LAPSE_MS 2300

void ash_store_list_init (struct ash_store *store);

void ash_store_list_finish (struct ash_store *store);

/** Takes an item of an answer of the store. @param place of it, see controllers/store_position.h.
 */
void ash_store_list_item (struct ash_store_reader *reader,
                          const struct ash_store_item *item,
                          uint64_t place);

/** What a whole listing did not have is missing, as far as no peer had it later. @param place of
 * the listing's first page. */
void ash_store_list_remove_unlisted (struct ash_store_reader *reader, uint64_t place);

/** What the store has just said goes to the own hall at once. @param since the place before.
 * @param place up to which it has said it: the list may be newer here, through a peer. */
void ash_store_list_publish (struct ash_store *store, uint64_t since, uint64_t place);

/** Time goes on. */
void ash_store_list_tick (struct ash_store *store, struct ash_time now);

/**
 * The store has come back from an older copy, as an answer or a peer tells. What it lacks endpoints
 * write again within two seconds, so what is missing until then may live.
 */
void ash_store_begin_era (struct ash_store *store, uint64_t era, const char *source);

#endif
