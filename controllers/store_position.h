/**
 * @file
 * Store positions: a total order of the store's states. The store's revision rises with each
 * change, but a store that is restored from an older copy falls back and reuses revisions; its era,
 * which rises with each restore, tells these apart. Everything that is ordered by the state of the
 * store is ordered by position: era first, then revision. A position is one integer, so it is
 * compared, stored and sent like a revision; in a log, 3000000000282 is revision 282 of era 3.
 */
#ifndef ASH_STORE_POSITION_H
#define ASH_STORE_POSITION_H

#include <stdint.h>

/** Number of revisions per era: enough for 1,000 changes per second over 30 years. */
#define ASH_STORE_POSITION_REVISIONS UINT64_C (1000000000000)

/** Highest era that fits: enough for 1,000 eras a day over 50 years. */
#define ASH_STORE_POSITION_ERA_MAX UINT64_C (18000000)

/** @return the position of a revision in an era; 0, which is no position, for revision 0. */
static inline uint64_t
ash_store_position (uint64_t era, uint64_t revision)
{
  return revision ? era * ASH_STORE_POSITION_REVISIONS + revision : 0;
}

static inline uint64_t
ash_store_position_era (uint64_t position)
{
  return position / ASH_STORE_POSITION_REVISIONS;
}

static inline uint64_t
ash_store_position_revision (uint64_t position)
{
  return position % ASH_STORE_POSITION_REVISIONS;
}

#endif
