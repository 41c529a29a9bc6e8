/**
 * @file
 * Places in the store's history. Its revisions rise with each change, but a store that comes back
 * from an older copy goes back and gives them out again; its era, which rises each time, tells the
 * two apart. All that is ordered by what the store has said goes by its place: the era first, then
 * the revision. A place is one number, so that it is compared, kept and told to peers as a revision
 * was; in a log 3000000000282 is revision 282 of era 3.
 */
#ifndef ASH_STORE_POSITION_H
#define ASH_STORE_POSITION_H

#include <stdint.h>

/** Revisions of one era: a thousand changes a second for thirty years. */
#define ASH_STORE_POSITION_REVISIONS UINT64_C (1000000000000)

/** Eras that can be told apart: a thousand a day for fifty years. */
#define ASH_STORE_POSITION_ERA_MAX UINT64_C (18000000)

/** @return the place of a revision in an era; 0 of revision 0, which is no place. */
static inline uint64_t
ash_store_position (uint64_t era, uint64_t revision)
{
  return revision ? era * ASH_STORE_POSITION_REVISIONS + revision : 0;
}

static inline uint64_t
ash_store_position_era (uint64_t place)
{
  return place / ASH_STORE_POSITION_REVISIONS;
}

static inline uint64_t
ash_store_position_revision (uint64_t place)
{
  return place % ASH_STORE_POSITION_REVISIONS;
}

#endif
