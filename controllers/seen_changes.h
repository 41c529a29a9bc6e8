/**
 * @file
 * Remembers the last contents of named items, so that each change is reported once, however often
 * it is read. Memory is bounded: of two names with the same slot, only the last one is remembered,
 * and the other one is reported again.
 */
#ifndef ASH_SEEN_CHANGES_H
#define ASH_SEEN_CHANGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ASH_SEEN_CHANGES_MAX 256

/** The contents seen last. Zeroed memory is an empty set. */
struct ash_seen_changes
{
  uint64_t digests[ASH_SEEN_CHANGES_MAX]; /**< of a name and its contents; 0: none */
};

/** Remembers the contents of an item. @return whether they are new. */
bool ash_seen_changes_add (struct ash_seen_changes *seen,
                           const char *name,
                           const void *contents,
                           size_t contents_bytes);

/** Forgets an item that was removed. */
void ash_seen_changes_remove (struct ash_seen_changes *seen, const char *name);

#endif
