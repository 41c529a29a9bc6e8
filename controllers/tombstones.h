/**
 * @file
 * Tombstones: a record of endpoints that were removed from the list, or announced their shutdown. A
 * store that is restored from an older copy may list such an endpoint as ready. The endpoint then
 * gets no requests until there is newer evidence that it is running.
 */
#ifndef ASH_TOMBSTONES_H
#define ASH_TOMBSTONES_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of tombstones; the oldest is overwritten. A restored copy is some seconds old, in
 * which a rolling release replaces some dozens of endpoints. */
#define ASH_TOMBSTONES_MAX 256

/** An endpoint that was removed from the list, or announced its shutdown. */
struct ash_tombstone
{
  uint64_t endpoint; /**< hash of the endpoint's id; 0: unused */
  int64_t born_ms;   /**< start time of the removed incarnation, by its wall clock; 0: not known */
  uint64_t era;      /**< era of the store that reported the removal */
  struct ash_time
      relisted; /**< since when the store lists the endpoint again in a later era; 0: it does not */
  bool draining; /**< shutdown announced by the endpoint; final for its incarnation */
};

/** All tombstones. Zeroed memory is an empty set. */
struct ash_tombstones
{
  struct ash_tombstone items[ASH_TOMBSTONES_MAX];
  uint32_t next; /**< number of tombstones added; the next one goes to next % ASH_TOMBSTONES_MAX */
};

/** Adds a tombstone, or updates that of the same endpoint. */
void ash_tombstones_add (struct ash_tombstones *tombstones, const struct ash_tombstone *added);

/**
 * Checks an endpoint that is listed as ready.
 * @param endpoint hash of its id.
 * @param born_ms start time of the listed incarnation; 0: not known.
 * @param era era of the store that lists it.
 * @return whether the entry may be stale: from an older copy of the store, for an endpoint that no
 * longer runs. If it is certainly not, the tombstone is deleted.
 */
bool ash_tombstones_is_stale (struct ash_tombstones *tombstones,
                              struct ash_time now,
                              uint64_t endpoint,
                              int64_t born_ms,
                              uint64_t era);

/** Deletes one tombstone whose endpoint has been listed again for so long that it must be running.
 * @return the endpoint's hash; 0: there is none. */
uint64_t ash_tombstones_pop_expired (struct ash_tombstones *tombstones, struct ash_time now);

#endif
