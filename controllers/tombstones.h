/**
 * @file
 * Endpoints that were seen leaving. A store that comes back from an older copy lists some of them
 * as if nothing had happened: they get no request until they have said something since.
 */
#ifndef ASH_TOMBSTONES_H
#define ASH_TOMBSTONES_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** Endpoints that are remembered; the oldest makes room. A copy is some seconds old, and a release
 * replaces some dozens in that time. */
#define ASH_TOMBSTONES_MAX 256

/** One that left, or said that it would. */
struct ash_tombstone
{
  uint64_t endpoint;      /**< hash of its id; 0: none */
  int64_t born_ms;        /**< of the life that left; 0: not known */
  uint64_t era;           /**< of the store that said so */
  struct ash_time listed; /**< since when an older copy lists it again; 0: none does */
  bool draining;          /**< it said so itself: that holds for its life */
};

/** Those that are remembered. Zeroed memory is a valid start. */
struct ash_tombstones
{
  struct ash_tombstone items[ASH_TOMBSTONES_MAX];
  uint32_t next; /**< that makes room */
};

/** An endpoint has left the list, or says that it is leaving. */
void ash_tombstones_add (struct ash_tombstones *tombstones, const struct ash_tombstone *one);

/**
 * The list has an endpoint that says it is ready.
 * @param era of the store that says so.
 * @return whether that may just be an older copy's word on one that has left.
 */
bool ash_tombstones_is_stale (struct ash_tombstones *tombstones,
                              struct ash_time now,
                              uint64_t endpoint,
                              int64_t born_ms,
                              uint64_t era);

/** @return the hash of one that has been listed again for so long that it lives; 0: none. Each is
 * named once. */
uint64_t ash_tombstones_pop_expired (struct ash_tombstones *tombstones, struct ash_time now);

#endif
