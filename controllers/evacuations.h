/**
 * @file
 * Evacuations: the operator's orders that the endpoints of a hall get no requests. An order is in
 * force until it is withdrawn. The store and peers report orders and withdrawals, possibly several
 * times and out of order; per hall the report with the highest store position counts.
 */
#ifndef ASH_EVACUATIONS_H
#define ASH_EVACUATIONS_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** Size in bytes of a hall's name, including the terminating NUL. */
#define ASH_EVACUATIONS_NAME_BYTES 64

/** Maximum number of halls that can be recorded. */
#define ASH_EVACUATIONS_MAX 64

/** The last reported order for a hall. A withdrawn order is kept, because a peer may still report
 * the order itself, which is older. */
struct ash_evacuation
{
  char hall[ASH_EVACUATIONS_NAME_BYTES];
  uint64_t position; /**< store position at which the order was given or withdrawn */
  bool ordered;      /**< false: withdrawn */
  /** When an order that a restored store lacks counts as withdrawn; ASH_TIME_NEVER: not at all. */
  struct ash_time withdraw_at;
  uint64_t withdraw_position; /**< store position of that listing */
  uint32_t listing_id;        /**< number of the last listing that had the order */
};

/** All orders. Zeroed memory is an empty set. */
struct ash_evacuations
{
  struct ash_evacuation halls[ASH_EVACUATIONS_MAX];
  uint32_t count;
};

/** Result of ash_evacuations_set(). */
enum ash_evacuations_result
{
  ASH_EVACUATIONS_UNCHANGED, /**< the hall's state was known, or the report is outdated */
  ASH_EVACUATIONS_CHANGED,   /**< the hall is evacuated, or no longer */
  ASH_EVACUATIONS_REFUSED,   /**< the name is empty or too long, or there are too many halls */
};

/** @return the record of a hall, or NULL. */
struct ash_evacuation *ash_evacuations_find (struct ash_evacuations *evacuations, const char *hall);

/** @return whether the hall is evacuated. */
bool ash_evacuations_include (const struct ash_evacuations *evacuations, const char *hall);

/** Records that an order was given or withdrawn at a store position. */
enum ash_evacuations_result ash_evacuations_set (struct ash_evacuations *evacuations,
                                                 const char *hall,
                                                 uint64_t position,
                                                 bool ordered);

/**
 * Handles the end of a complete listing of the store.
 * @param listing_id number of the listing; orders with another number are missing from it.
 * @param position store position of the listing's first page.
 * @param lapse_ms orders that a store of a later era lacks count as withdrawn after this time: the
 * operator writes them again if they are still in force.
 */
void ash_evacuations_end_listing (struct ash_evacuations *evacuations,
                                  struct ash_time now,
                                  uint32_t listing_id,
                                  uint64_t position,
                                  int64_t lapse_ms);

/** @return a hall whose order has now been withdrawn because a listing lacked it; NULL: none. */
const struct ash_evacuation *ash_evacuations_pop_withdrawn (struct ash_evacuations *evacuations,
                                                            struct ash_time now);

/** @return a digest of all records, equal for equal records; 0 if there are none. */
uint64_t ash_evacuations_digest (const struct ash_evacuations *evacuations);

#endif
