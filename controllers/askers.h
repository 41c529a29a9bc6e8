/**
 * @file
 * Which routers ask the store often, for the whole fleet: a few, spread over halls, since
 * what cuts a hall off cuts off all routers in it. Nobody is appointed: each goes by who it
 * sees, and those that see the same choose the same.
 */
#ifndef ASH_ASKERS_H
#define ASH_ASKERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A router that may ask. Its texts are the caller's. */
struct ash_asker
{
  const char *box;
  const char *hall;
};

/**
 * The order is by place within the hall, then by name: the first of each hall, then the
 * second ones, and so on.
 * @param others all but this router; those that can't ask are left out.
 * @return whether this router is one of the first @p wanted.
 */
bool ash_askers_has (struct ash_asker own,
                     const struct ash_asker *others,
                     size_t count,
                     uint32_t wanted);

#endif
