/**
 * @file
 * Which entries read the platform: in each hall the first few, in an order that all
 * agree on, so that a hall that is cut off still reads. The others learn from them.
 * Nobody is appointed: an entry reads as long as too few of those before it say
 * that they do, and that the platform answers them.
 */
#ifndef ASH_READERS_H
#define ASH_READERS_H

#include "controllers/config.h"
#include "controllers/membership.h"

/**
 * @param per_hall how many of a hall's entries read.
 * @return whether this entry is to read the platform now.
 */
bool ash_readers_should_read (const struct ash_config *config,
                              const struct ash_membership *membership,
                              const char *box,
                              uint32_t per_hall);

/** @return whether some entry that is linked says that the platform answers it. */
bool ash_readers_any (const struct ash_membership *membership);

#endif
