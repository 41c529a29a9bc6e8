#include "controllers/addresses.h"

#include <string.h>

static bool
serves (const struct ash_membership *membership,
        const struct ash_settings *settings,
        bool leaving,
        const char *entry)
{
  const struct ash_box *box;

  if (strcmp (entry, settings->box) == 0)
    return !leaving;
  box = ash_membership_find (membership, entry);
  return box && ash_box_usable (box);
}

/* Collects the entries of the account's subset, indexed by rank. @return their number. */
static uint32_t
collect (const struct ash_document *document,
         const struct ash_account *account,
         const struct ash_entry_box *ranked[ASH_ADDRESSES_MAX])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < document->entry_count; i++)
    {
      int32_t rank = ash_document_entry_rank (document, account, document->entries[i].name);

      if (rank < 0 || rank >= ASH_ADDRESSES_MAX)
        continue;
      ranked[rank] = &document->entries[i];
      count++;
    }
  return count;
}

/* Lists the whole published subset, this entry last. Used if this box is probably isolated, or no
 * entry is known to serve: callers may still reach other entries that serve. */
static void
list_published (struct ash_addresses *addresses,
                const struct ash_entry_box *const ranked[ASH_ADDRESSES_MAX],
                uint32_t count,
                const char *self)
{
  const struct ash_entry_box *own = NULL;

  for (uint32_t i = 0; i < count; i++)
    if (ranked[i] && strcmp (ranked[i]->name, self) == 0)
      own = ranked[i];
    else if (ranked[i])
      addresses->boxes[addresses->count++] = ranked[i];
  if (own)
    addresses->boxes[addresses->count++] = own;
}

void
ash_addresses_find (struct ash_addresses *addresses,
                    const struct ash_document *document,
                    const struct ash_membership *membership,
                    const struct ash_settings *settings,
                    bool leaving,
                    const struct ash_account *account,
                    struct ash_random *random)
{
  const struct ash_entry_box *ranked[ASH_ADDRESSES_MAX] = { 0 };
  uint32_t count = collect (document, account, ranked);
  /* Starts at a random rank, so that an account's callers are spread over its entries. */
  uint32_t start = ash_random_below (random, count);

  addresses->count = 0;
  for (uint32_t i = 0; !membership->isolated && i < count; i++)
    {
      const struct ash_entry_box *entry = ranked[(start + i) % count];

      if (entry && serves (membership, settings, leaving, entry->name))
        addresses->boxes[addresses->count++] = entry;
    }
  if (addresses->count == 0)
    list_published (addresses, ranked, count, settings->box);
  addresses->keep_ms =
      settings->address_keep_ms / 2 +
      ash_random_below (random, settings->address_keep_ms - settings->address_keep_ms / 2 + 1);
}
