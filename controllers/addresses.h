/**
 * @file
 * Answers address queries of callers, the first level of load balancing. Callers send their
 * requests to entries; an account is spread over a subset of the published ones. The answer lists
 * the entries of the subset that are believed to serve, starting at a random one, with a randomized
 * lifetime.
 */
#ifndef ASH_ADDRESSES_H
#define ASH_ADDRESSES_H

#include "common/random.h"
#include "controllers/membership.h"
#include "options/document.h"
#include "options/settings.h"

/** Maximum number of entries in an answer. */
#define ASH_ADDRESSES_MAX 16

/** The answer to an address query. */
struct ash_addresses
{
  const struct ash_entry_box *boxes[ASH_ADDRESSES_MAX]; /**< owned by the document */
  uint32_t count;
  uint32_t keep_ms; /**< how long the caller may use the answer */
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
