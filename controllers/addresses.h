/**
 * @file
 * The answer to "which address": the first balancer. An account is spread over
 * a subset of the published entries; those of it that are believed to serve
 * are named, each account's in its own order, with a staggered time to keep.
 */
#ifndef ASH_ADDRESSES_H
#define ASH_ADDRESSES_H

#include "common/random.h"
#include "controllers/membership.h"
#include "options/document.h"
#include "options/settings.h"

/** Entries named at most. */
#define ASH_ADDRESSES_MAX 16

/** An answer. */
struct ash_addresses
{
  const struct ash_entry_box *boxes[ASH_ADDRESSES_MAX];
  uint32_t count;
  uint32_t keep_ms;
};

/**
 * Finds the addresses for an account.
 * @param leaving whether this entry itself is leaving.
 */
void ash_addresses_find (struct ash_addresses *addresses,
                         const struct ash_document *document,
                         const struct ash_membership *membership,
                         const struct ash_settings *settings,
                         bool leaving,
                         const struct ash_account *account,
                         struct ash_random *random);

#endif
