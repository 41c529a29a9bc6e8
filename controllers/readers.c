#include "controllers/readers.h"

#include <string.h>

/* Sort key of an entry within its hall. */
static uint64_t
order_of (const struct ash_entry_box *entry)
{
  return ash_rendezvous_weight ((struct ash_id){ ash_hash_text (entry->hall), 0 }, entry->name);
}

static bool
reports_reading (const struct ash_box *box)
{
  return box && box->reads_platform && ash_box_usable (box);
}

bool
ash_readers_should_read (const struct ash_config *config,
                         const struct ash_membership *membership,
                         const char *box,
                         uint32_t per_hall)
{
  const struct ash_document *document = &config->document;
  const struct ash_entry_box *own = config->ready ? ash_document_entry (document, box) : NULL;
  uint32_t before = 0;

  /* An entry without a configuration, or not listed in it, must read to get one. */
  if (!own)
    return true;
  for (uint32_t i = 0; i < document->entry_count; i++)
    {
      const struct ash_entry_box *other = &document->entries[i];

      if (strcmp (other->hall, own->hall) == 0 && order_of (other) > order_of (own))
        before += reports_reading (ash_membership_find (membership, other->name));
    }
  return before < per_hall;
}

bool
ash_readers_any (const struct ash_membership *membership)
{
  for (const struct ash_box *box = membership->boxes; box; box = box->hh.next)
    if (reports_reading (box))
      return true;
  return false;
}
