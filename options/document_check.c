#include "options/document_check.h"

#include "options/settings.h"

#include <stdlib.h>

/* The names of all rows of one kind must differ. A hash table keeps the check linear: up to 44,000
 * accounts are checked at each change of the document. */
static void
check_names (const void *rows,
             uint32_t count,
             size_t row_bytes,
             const char *key,
             struct ash_findings *findings)
{
  uint32_t slot_count = 16;
  uint32_t *slots;
  char key_path[64];

  while (slot_count < 2 * count)
    slot_count *= 2;
  slots = calloc (slot_count, sizeof *slots);
  if (!slots)
    return;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct ash_row *row = ash_row_at (rows, i, row_bytes);
      uint32_t at = (uint32_t) ash_hash_text (row->name) & (slot_count - 1);

      snprintf (key_path, sizeof key_path, "%s[%u]", key, i);
      if (*row->name == '\0')
        ash_findings_add (findings, row->line, key_path, "its name is empty");
      for (; slots[at]; at = (at + 1) & (slot_count - 1))
        if (strcmp (ash_row_at (rows, slots[at] - 1, row_bytes)->name, row->name) == 0)
          ash_findings_add (findings, row->line, key_path, "'%s' is declared twice", row->name);
      slots[at] = i + 1;
    }
  free (slots);
}

static void
check_hall (const struct ash_document *document,
            const char *hall,
            uint32_t line,
            const char *key_path,
            struct ash_findings *findings)
{
  if (!ash_row_find (document->halls, document->hall_count, sizeof (struct ash_hall), hall))
    ash_findings_add (findings, line, key_path, "hall '%s' is not declared", hall);
}

static void
check_address (const char *address,
               uint32_t line,
               const char *key_path,
               struct ash_findings *findings)
{
  char ip[16];
  uint16_t port;

  if (!ash_address_parse (address, ip, &port) || port == 0)
    ash_findings_add (findings, line, key_path, "'%s' is not IP:PORT", address);
}

static void
check_boxes (const struct ash_document *document, struct ash_findings *findings)
{
  char key_path[64];

  for (uint32_t i = 0; i < document->entry_count; i++)
    {
      const struct ash_entry_box *entry = &document->entries[i];

      snprintf (key_path, sizeof key_path, "entry[%u]", i);
      check_hall (document, entry->hall, entry->line, key_path, findings);
      check_address (entry->http, entry->line, key_path, findings);
      check_address (entry->peer, entry->line, key_path, findings);
    }
  for (uint32_t i = 0; i < document->endpoint_count; i++)
    {
      const struct ash_endpoint *endpoint = &document->endpoints[i];

      snprintf (key_path, sizeof key_path, "endpoint[%u]", i);
      check_hall (document, endpoint->hall, endpoint->line, key_path, findings);
      check_address (endpoint->peer, endpoint->line, key_path, findings);
      if (!ash_document_service (document, endpoint->service))
        ash_findings_add (findings, endpoint->line, key_path, "service '%s' is not declared",
                          endpoint->service);
      if (ash_document_entry (document, endpoint->name))
        ash_findings_add (findings, endpoint->line, key_path,
                          "box '%s' is declared as an entry too", endpoint->name);
    }
}

/* The endpoints of a group must have the ranks 0 to rank_count - 1, each once, and together must
 * have a slot for each expert. */
static void
check_groups (struct ash_document *document, struct ash_findings *findings)
{
  for (uint32_t g = 0; g < document->group_count; g++)
    {
      struct ash_group *group = &document->groups[g];
      uint64_t seen = 0;
      char key_path[64];

      snprintf (key_path, sizeof key_path, "group[%u]", g);
      for (uint32_t i = 0; i < document->endpoint_count; i++)
        if (strcmp (document->endpoints[i].group, group->name) == 0)
          {
            seen |= UINT64_C (1) << document->endpoints[i].rank;
            group->rank_count++;
          }
      if (group->rank_count == 0 || group->rank_count > 64 ||
          seen != UINT64_MAX >> (64 - group->rank_count))
        ash_findings_add (findings, group->line, key_path,
                          "its endpoints' ranks must be 0, 1, 2 and so on, each once");
      if (group->rank_count * group->rank_slots < group->experts)
        ash_findings_add (findings, group->line, key_path,
                          "%u experts do not fit into %u x %u slots", group->experts,
                          group->rank_count, group->rank_slots);
    }
  for (uint32_t i = 0; i < document->endpoint_count; i++)
    {
      const struct ash_endpoint *endpoint = &document->endpoints[i];
      char key_path[64];

      snprintf (key_path, sizeof key_path, "endpoint[%u]", i);
      if (*endpoint->group && !ash_document_group (document, endpoint->group))
        ash_findings_add (findings, endpoint->line, key_path, "group '%s' is not declared",
                          endpoint->group);
    }
}

static void
check_accounts (struct ash_document *document, struct ash_findings *findings)
{
  char key_path[64];

  document->account_slot_count = 16;
  while (document->account_slot_count < 2 * document->account_count)
    document->account_slot_count *= 2;
  document->account_slots = calloc (document->account_slot_count, sizeof *document->account_slots);
  for (uint32_t i = 0; document->account_slots && i < document->account_count; i++)
    {
      struct ash_account *account = &document->accounts[i];
      const struct ash_class *class_found = ash_row_find (
          document->classes, document->class_count, sizeof (struct ash_class), account->class_name);
      uint32_t at;

      snprintf (key_path, sizeof key_path, "account[%u]", i);
      if (class_found)
        account->class_index = (uint32_t) (class_found - document->classes);
      else
        ash_findings_add (findings, account->line, key_path, "class '%s' is not declared",
                          account->class_name);
      if (ash_document_account_by_key (document, account->key_hash))
        ash_findings_add (findings, account->line, key_path, "its key is another account's too");
      at = ash_account_slot (account->key_hash, document->account_slot_count);
      while (document->account_slots[at])
        at = (at + 1) & (document->account_slot_count - 1);
      document->account_slots[at] = i + 1;
    }
}

/* ---- events ---- */

static void
check_reservations (const struct ash_document *document, struct ash_findings *findings)
{
  char key_path[64];

  for (uint32_t i = 0; i < document->reservation_count; i++)
    {
      const struct ash_reservation *reservation = &document->reservations[i];

      snprintf (key_path, sizeof key_path, "reservation[%u]", i);
      if (!ash_document_event (document, reservation->event))
        ash_findings_add (findings, reservation->line, key_path, "event '%s' is not declared",
                          reservation->event);
      if (!ash_document_account (document, reservation->account))
        ash_findings_add (findings, reservation->line, key_path, "account '%s' is not declared",
                          reservation->account);
      if (!ash_document_service (document, reservation->service))
        ash_findings_add (findings, reservation->line, key_path, "service '%s' is not declared",
                          reservation->service);
      for (uint32_t j = 0; j < i; j++)
        if (strcmp (document->reservations[j].event, reservation->event) == 0 &&
            strcmp (document->reservations[j].account, reservation->account) == 0 &&
            strcmp (document->reservations[j].service, reservation->service) == 0)
          ash_findings_add (findings, reservation->line, key_path,
                            "'%s' reserves for the same event, account and service",
                            document->reservations[j].name);
    }
}

static void
check_profiles (const struct ash_document *document, struct ash_findings *findings)
{
  double loads[ASH_PROFILE_EXPERTS_MAX];
  char key_path[64];

  for (uint32_t i = 0; i < document->profile_count; i++)
    {
      const struct ash_profile *profile = &document->profiles[i];
      const struct ash_group *group = ash_document_group (document, profile->group);
      uint32_t count = ash_profile_loads (profile, loads);

      snprintf (key_path, sizeof key_path, "profile[%u]", i);
      if (!ash_document_event (document, profile->event))
        ash_findings_add (findings, profile->line, key_path, "event '%s' is not declared",
                          profile->event);
      if (!group)
        ash_findings_add (findings, profile->line, key_path, "group '%s' is not declared",
                          profile->group);
      else if (count != group->experts)
        ash_findings_add (findings, profile->line, key_path,
                          "%u loads, and group '%s' has %u experts", count, group->name,
                          group->experts);
    }
}

#define CHECK_NAMES(rows, count, key)                                                              \
  check_names (document->rows, document->count, sizeof *document->rows, key, findings)

void
ash_document_check (struct ash_document *document, struct ash_findings *findings)
{
  CHECK_NAMES (halls, hall_count, "hall");
  CHECK_NAMES (entries, entry_count, "entry");
  CHECK_NAMES (services, service_count, "service");
  CHECK_NAMES (endpoints, endpoint_count, "endpoint");
  CHECK_NAMES (groups, group_count, "group");
  CHECK_NAMES (classes, class_count, "class");
  CHECK_NAMES (accounts, account_count, "account");
  CHECK_NAMES (events, event_count, "event");
  CHECK_NAMES (reservations, reservation_count, "reservation");
  CHECK_NAMES (profiles, profile_count, "profile");
  check_boxes (document, findings);
  check_groups (document, findings);
  check_accounts (document, findings);
  check_reservations (document, findings);
  check_profiles (document, findings);
}
