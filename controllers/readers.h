/**
 * @file
 * Selects the entries that read the configuration from the platform: the first few of each hall in
 * a fixed order, so that a hall is still updated if a network partition separates it from the
 * others. The others receive the configuration from them. There is no election: an entry reads as
 * long as too few of the entries before it report that they read successfully.
 */
#ifndef ASH_READERS_H
#define ASH_READERS_H

#include "controllers/config.h"
#include "controllers/membership.h"

/**
 * @param box name of this entry.
 * @param per_hall number of entries that are to read in each hall.
 * @return whether this entry is to read the platform now.
 */
bool ash_readers_should_read (const struct ash_config *config,
                              const struct ash_membership *membership,
                              const char *box,
                              uint32_t per_hall);

/** @return whether any connected entry reports that it reads the platform successfully. */
bool ash_readers_any (const struct ash_membership *membership);

#endif
