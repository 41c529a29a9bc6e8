/**
 * @file
 * Look-ups in a published document: rows by name, accounts by key, homes of requests, and the
 * entries that share an account.
 */
#include "options/document.h"
#include "options/document_check.h"

#include <stdlib.h>
#include <string.h>

const void *
ash_row_find (const void *rows, uint32_t count, size_t row_bytes, const char *name)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const struct ash_row *row = ash_row_at (rows, i, row_bytes);

      if (strcmp (row->name, name) == 0)
        return row;
    }
  return NULL;
}

const struct ash_service *
ash_document_service (const struct ash_document *document, const char *name)
{
  return ash_row_find (document->services, document->service_count, sizeof *document->services,
                       name);
}

const struct ash_endpoint *
ash_document_endpoint (const struct ash_document *document, const char *name)
{
  return ash_row_find (document->endpoints, document->endpoint_count, sizeof *document->endpoints,
                       name);
}

const struct ash_group *
ash_document_group (const struct ash_document *document, const char *name)
{
  return ash_row_find (document->groups, document->group_count, sizeof *document->groups, name);
}

const struct ash_entry_box *
ash_document_entry (const struct ash_document *document, const char *name)
{
  return ash_row_find (document->entries, document->entry_count, sizeof *document->entries, name);
}

const struct ash_account *
ash_document_account (const struct ash_document *document, const char *name)
{
  return ash_row_find (document->accounts, document->account_count, sizeof *document->accounts,
                       name);
}

const struct ash_account *
ash_document_account_by_key (const struct ash_document *document,
                             const uint8_t key_hash[ASH_KEY_HASH_BYTES])
{
  uint32_t at;

  if (!document->account_slots)
    return NULL;
  at = ash_account_slot (key_hash, document->account_slot_count);
  while (document->account_slots[at])
    {
      const struct ash_account *account = &document->accounts[document->account_slots[at] - 1];

      if (memcmp (account->key_hash, key_hash, ASH_KEY_HASH_BYTES) == 0)
        return account;
      at = (at + 1) & (document->account_slot_count - 1);
    }
  return NULL;
}

const struct ash_endpoint *
ash_document_service_endpoint (const struct ash_document *document,
                               const struct ash_service *service,
                               uint32_t i)
{
  return &document->endpoints[document->by_service[service->endpoint_first + i]];
}

const struct ash_endpoint *
ash_document_home (const struct ash_document *document, const char *service_name, struct ash_id id)
{
  const struct ash_service *service = ash_document_service (document, service_name);
  const struct ash_endpoint *home = NULL;
  uint64_t best = 0;

  for (uint32_t i = 0; service && i < service->endpoint_count; i++)
    {
      const struct ash_endpoint *endpoint = ash_document_service_endpoint (document, service, i);
      uint64_t weight = ash_rendezvous_weight (id, endpoint->name);

      if (home && weight <= best)
        continue;
      home = endpoint;
      best = weight;
    }
  return home;
}

int32_t
ash_document_entry_rank (const struct ash_document *document,
                         const struct ash_account *account,
                         const char *entry)
{
  struct ash_id id = { ash_hash_text (account->name), 0 };
  uint64_t own = ash_rendezvous_weight (id, entry);
  int32_t rank = 0;

  if (!ash_document_entry (document, entry))
    return -1;
  for (uint32_t i = 0; i < document->entry_count; i++)
    if (ash_rendezvous_weight (id, document->entries[i].name) > own)
      rank++;
  return rank < (int32_t) account->entries ? rank : -1;
}

const struct ash_declared_event *
ash_document_event (const struct ash_document *document, const char *name)
{
  return ash_row_find (document->events, document->event_count, sizeof *document->events, name);
}

uint32_t
ash_profile_loads (const struct ash_profile *profile, double loads[ASH_PROFILE_EXPERTS_MAX])
{
  const char *text = profile->loads;
  uint32_t count = 0;

  while (count < ASH_PROFILE_EXPERTS_MAX)
    {
      char *end;
      unsigned long load = strtoul (text, &end, 10);

      if (end == text || *text == '-' || load > UINT32_MAX)
        return 0;
      loads[count++] = (double) load;
      if (*end == '\0')
        return count;
      if (*end != ',')
        return 0;
      text = end + 1;
    }
  return 0;
}
