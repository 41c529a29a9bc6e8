#include "options/document.h"

#include "options/settings.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Bounds of one document; the platform's own is a megabyte. */
#define ROWS_MAX 100000
#define RATE_MAX 1000000

/* clang-format off */
#define TEXT(type, key, member, fallback, help) \
  { key, ASH_OPTION_TEXT, offsetof (struct type, member), fallback, 0, ASH_NAME_BYTES, \
    NULL, NULL, help }
#define COUNT(type, member, fallback, min, max, unit, help) \
  { #member, ASH_OPTION_UINT, offsetof (struct type, member), fallback, min, max, \
    NULL, unit, help }
/* clang-format on */

static const char *const service_kinds[] = { "model", "plain", NULL };

static const struct ash_option hall_options[] = {
  TEXT (ash_hall, "name", name, NULL, "the failure domain's name"),
  { 0 },
};

static const struct ash_option entry_options[] = {
  TEXT (ash_entry_box, "box", name, NULL, "the box's name"),
  TEXT (ash_entry_box, "hall", hall, NULL, "its failure domain"),
  TEXT (ash_entry_box, "http", http, NULL, "IP:PORT for callers"),
  TEXT (ash_entry_box, "peer", peer, NULL, "IP:PORT for peer links"),
  { 0 },
};

static const struct ash_option service_options[] = {
  TEXT (ash_service, "name", name, NULL, "what callers call it"),
  { "kind", ASH_OPTION_CHOICE, offsetof (struct ash_service, kind), "model", 0, 0, service_kinds,
    NULL, "what stands behind it" },
  { "no_repeat", ASH_OPTION_BOOL, offsetof (struct ash_service, no_repeat), "false", 0, 0, NULL,
    NULL, "its calls run at most once" },
  COUNT (ash_service,
         homes_since_s,
         "0",
         0,
         UINT32_MAX,
         "s",
         "Unix time at which its set of endpoints last changed; 0 if not stated"),
  { 0 },
};

static const struct ash_option endpoint_options[] = {
  TEXT (ash_endpoint, "box", name, NULL, "the box's name"),
  TEXT (ash_endpoint, "service", service, NULL, "what it serves"),
  TEXT (ash_endpoint, "hall", hall, NULL, "its failure domain"),
  TEXT (ash_endpoint, "peer", peer, NULL, "IP:PORT of its agent"),
  COUNT (ash_endpoint, slots, "32", 1, 100000, "requests", "requests it works on at once"),
  TEXT (ash_endpoint, "group", group, "", "the group that it runs in lock-step with"),
  COUNT (ash_endpoint, rank, "0", 0, 63, NULL, "its rank in that group"),
  { "checks_orders", ASH_OPTION_BOOL, offsetof (struct ash_endpoint, checks_orders), "false", 0, 0,
    NULL, NULL, "its engine checks the fence of an order itself" },
  { 0 },
};

static const struct ash_option group_options[] = {
  TEXT (ash_group, "name", name, NULL, "the group's name"),
  COUNT (ash_group, experts, NULL, 1, 256, "experts", "of a layer"),
  COUNT (ash_group, rank_slots, NULL, 1, 64, "slots", "experts that a rank holds"),
  COUNT (ash_group, moves, "4", 1, 16, "experts", "moved in an interval at most"),
  COUNT (ash_group, interval_ms, "1000", 100, 3600000, "ms", "between two decisions"),
  { "skew_weight", ASH_OPTION_NUMBER, offsetof (struct ash_group, skew_weight), "1", 0, 1000, NULL,
    NULL, "worth of a skew (slowest rank over mean) of one for an interval" },
  { "cost_weight", ASH_OPTION_NUMBER, offsetof (struct ash_group, cost_weight), "0.1", 0, 1000,
    NULL, NULL, "price of moving one expert's weights" },
  { 0 },
};

static const struct ash_option class_options[] = {
  TEXT (ash_class, "name", name, NULL, "the class's name"),
  COUNT (ash_class, priority, "1", 0, 15, NULL, "0 is the highest"),
  { 0 },
};

static const struct ash_option account_options[] = {
  TEXT (ash_account, "name", name, NULL, "the account's name"),
  { "key_hash", ASH_OPTION_HEX, offsetof (struct ash_account, key_hash), NULL, 0,
    ASH_KEY_HASH_BYTES, NULL, NULL, "BLAKE2b-256 of its bearer key, in hex" },
  TEXT (ash_account, "class", class_name, NULL, "its class"),
  COUNT (ash_account, rate_per_s, "100", 1, RATE_MAX, "requests/s", "over all entries together"),
  COUNT (
      ash_account, burst, "100", 1, RATE_MAX, "requests", "above the rate, all entries together"),
  COUNT (ash_account, entries, "3", 1, 1000, "entries", "how many entries it is spread over"),
  { 0 },
};

/* What all rows begin with. */
struct row
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
};

static const struct row *
row_at (const void *rows, uint32_t index, size_t row_bytes)
{
  return (const struct row *) (const void *) ((const char *) rows + index * row_bytes);
}

/* Reads `[[key]]` into a new array of rows of row_bytes. */
static void *
read_rows (struct ash_node *root,
           const char *key,
           const struct ash_option *options,
           size_t row_bytes,
           uint32_t *count,
           struct ash_findings *findings)
{
  struct ash_node *array = ash_node_get (root, key);
  uint32_t length = 0;
  char *rows;
  char place[64];

  *count = 0;
  if (!array)
    return NULL;
  if (array->kind != ASH_NODE_ARRAY)
    {
      ash_findings_add (findings, array->line, key, "expected an array of tables, [[%s]]", key);
      return NULL;
    }
  for (struct ash_node *item = array->children; item; item = item->next)
    length++;
  if (length > ROWS_MAX)
    {
      ash_findings_add (findings, array->line, key, "more than %d", ROWS_MAX);
      return NULL;
    }
  rows = calloc (length ? length : 1, row_bytes);
  if (!rows)
    {
      ash_findings_add (findings, array->line, key, "out of memory");
      return NULL;
    }
  for (struct ash_node *item = array->children; item; item = item->next)
    {
      snprintf (place, sizeof place, "%s[%u]", key, *count);
      if (item->kind != ASH_NODE_TABLE)
        {
          ash_findings_add (findings, item->line, place, "expected a table");
          continue;
        }
      ash_options_read (options, item, place, rows + *count * row_bytes, findings);
      ((struct row *) (void *) (rows + *count * row_bytes))->line = item->line;
      ash_node_report_unused (item, place, findings);
      (*count)++;
    }
  return rows;
}

static const void *
find_row (const void *rows, uint32_t count, size_t row_bytes, const char *name)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const struct row *row = row_at (rows, i, row_bytes);

      if (strcmp (row->name, name) == 0)
        return row;
    }
  return NULL;
}

/* Names of one kind must differ. A table of hashes keeps this linear: 44,000
 * accounts are checked at every change. */
static void
check_names (const void *rows,
             uint32_t count,
             size_t row_bytes,
             const char *key,
             struct ash_findings *findings)
{
  uint32_t slot_count = 16;
  uint32_t *slots;
  char place[64];

  while (slot_count < 2 * count)
    slot_count *= 2;
  slots = calloc (slot_count, sizeof *slots);
  if (!slots)
    return;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct row *row = row_at (rows, i, row_bytes);
      uint32_t at = (uint32_t) ash_hash_text (row->name) & (slot_count - 1);

      snprintf (place, sizeof place, "%s[%u]", key, i);
      if (*row->name == '\0')
        ash_findings_add (findings, row->line, place, "its name is empty");
      for (; slots[at]; at = (at + 1) & (slot_count - 1))
        if (strcmp (row_at (rows, slots[at] - 1, row_bytes)->name, row->name) == 0)
          ash_findings_add (findings, row->line, place, "'%s' is declared twice", row->name);
      slots[at] = i + 1;
    }
  free (slots);
}

static void
check_hall (const struct ash_document *document,
            const char *hall,
            uint32_t line,
            const char *place,
            struct ash_findings *findings)
{
  if (!find_row (document->halls, document->hall_count, sizeof (struct ash_hall), hall))
    ash_findings_add (findings, line, place, "hall '%s' is not declared", hall);
}

static void
check_peer (const char *address, uint32_t line, const char *place, struct ash_findings *findings)
{
  char ip[16];
  uint16_t port;

  if (!ash_address_parse (address, ip, &port) || port == 0)
    ash_findings_add (findings, line, place, "'%s' is not IP:PORT", address);
}

static void
check_boxes (const struct ash_document *document, struct ash_findings *findings)
{
  char place[64];

  for (uint32_t i = 0; i < document->entry_count; i++)
    {
      const struct ash_entry_box *entry = &document->entries[i];

      snprintf (place, sizeof place, "entry[%u]", i);
      check_hall (document, entry->hall, entry->line, place, findings);
      check_peer (entry->http, entry->line, place, findings);
      check_peer (entry->peer, entry->line, place, findings);
    }
  for (uint32_t i = 0; i < document->endpoint_count; i++)
    {
      const struct ash_endpoint *endpoint = &document->endpoints[i];

      snprintf (place, sizeof place, "endpoint[%u]", i);
      check_hall (document, endpoint->hall, endpoint->line, place, findings);
      check_peer (endpoint->peer, endpoint->line, place, findings);
      if (!ash_document_service (document, endpoint->service))
        ash_findings_add (findings, endpoint->line, place, "service '%s' is not declared",
                          endpoint->service);
      if (ash_document_entry (document, endpoint->name))
        ash_findings_add (findings, endpoint->line, place, "box '%s' is declared as an entry too",
                          endpoint->name);
    }
}

/* The ranks of a group must be 0 to one less than its endpoints, each once, and
 * all experts must have a slot. */
static void
check_groups (struct ash_document *document, struct ash_findings *findings)
{
  for (uint32_t g = 0; g < document->group_count; g++)
    {
      struct ash_group *group = &document->groups[g];
      uint64_t seen = 0;
      char place[64];

      snprintf (place, sizeof place, "group[%u]", g);
      for (uint32_t i = 0; i < document->endpoint_count; i++)
        if (strcmp (document->endpoints[i].group, group->name) == 0)
          {
            seen |= UINT64_C (1) << document->endpoints[i].rank;
            group->rank_count++;
          }
      if (group->rank_count == 0 || group->rank_count > 64 ||
          seen != UINT64_MAX >> (64 - group->rank_count))
        ash_findings_add (findings, group->line, place,
                          "its endpoints' ranks must be 0, 1, 2 and so on, each once");
      if (group->rank_count * group->rank_slots < group->experts)
        ash_findings_add (findings, group->line, place, "%u experts do not fit into %u x %u slots",
                          group->experts, group->rank_count, group->rank_slots);
    }
  for (uint32_t i = 0; i < document->endpoint_count; i++)
    {
      const struct ash_endpoint *endpoint = &document->endpoints[i];
      char place[64];

      snprintf (place, sizeof place, "endpoint[%u]", i);
      if (*endpoint->group && !ash_document_group (document, endpoint->group))
        ash_findings_add (findings, endpoint->line, place, "group '%s' is not declared",
                          endpoint->group);
    }
}

static uint32_t
key_slot (const uint8_t *key_hash, uint32_t slot_count)
{
  uint32_t start;

  memcpy (&start, key_hash, sizeof start);
  return start & (slot_count - 1);
}

static void
check_accounts (struct ash_document *document, struct ash_findings *findings)
{
  char place[64];

  document->account_slot_count = 16;
  while (document->account_slot_count < 2 * document->account_count)
    document->account_slot_count *= 2;
  document->account_slots = calloc (document->account_slot_count, sizeof *document->account_slots);
  for (uint32_t i = 0; document->account_slots && i < document->account_count; i++)
    {
      struct ash_account *account = &document->accounts[i];
      const struct ash_class *class_found = find_row (
          document->classes, document->class_count, sizeof (struct ash_class), account->class_name);
      uint32_t at;

      snprintf (place, sizeof place, "account[%u]", i);
      if (class_found)
        account->class_index = (uint32_t) (class_found - document->classes);
      else
        ash_findings_add (findings, account->line, place, "class '%s' is not declared",
                          account->class_name);
      if (ash_document_account_by_key (document, account->key_hash))
        ash_findings_add (findings, account->line, place, "its key is another account's too");
      at = key_slot (account->key_hash, document->account_slot_count);
      while (document->account_slots[at])
        at = (at + 1) & (document->account_slot_count - 1);
      document->account_slots[at] = i + 1;
    }
}

/* Groups the endpoints by service, by counting. Names were checked before. */
static void
index_endpoints (struct ash_document *document)
{
  uint32_t first = 0;

  document->by_service = calloc (document->endpoint_count + 1, sizeof *document->by_service);
  if (!document->by_service)
    return;
  for (uint32_t s = 0; s < document->service_count; s++)
    {
      struct ash_service *service = &document->services[s];

      service->endpoint_first = first;
      for (uint32_t i = 0; i < document->endpoint_count; i++)
        if (strcmp (document->endpoints[i].service, service->name) == 0)
          document->by_service[first++] = i;
      service->endpoint_count = first - service->endpoint_first;
    }
}

#define READ_ROWS(rows, count, key)                                                                \
  (document->rows =                                                                                \
       read_rows (root, #key, key##_options, sizeof *document->rows, &document->count, findings))
#define CHECK_NAMES(rows, count, key)                                                              \
  check_names (document->rows, document->count, sizeof *document->rows, key, findings)

void
ash_document_init (struct ash_document *document,
                   uint64_t revision,
                   const char *text,
                   size_t text_bytes,
                   struct ash_findings *findings)
{
  struct ash_node *root;

  *document =
      (struct ash_document){ .revision = revision, .digest = XXH3_64bits (text, text_bytes) };
  if (text_bytes > ASH_DOCUMENT_MAX_BYTES)
    {
      ash_findings_add (findings, 0, "document", "above %d bytes", ASH_DOCUMENT_MAX_BYTES);
      return;
    }
  root = ash_node_read (text, text_bytes, findings);
  if (!root)
    return;
  READ_ROWS (halls, hall_count, hall);
  READ_ROWS (entries, entry_count, entry);
  READ_ROWS (services, service_count, service);
  READ_ROWS (endpoints, endpoint_count, endpoint);
  READ_ROWS (groups, group_count, group);
  READ_ROWS (classes, class_count, class);
  READ_ROWS (accounts, account_count, account);
  ash_node_report_unused (root, "", findings);
  CHECK_NAMES (halls, hall_count, "hall");
  CHECK_NAMES (entries, entry_count, "entry");
  CHECK_NAMES (services, service_count, "service");
  CHECK_NAMES (endpoints, endpoint_count, "endpoint");
  CHECK_NAMES (groups, group_count, "group");
  CHECK_NAMES (classes, class_count, "class");
  CHECK_NAMES (accounts, account_count, "account");
  check_boxes (document, findings);
  check_groups (document, findings);
  check_accounts (document, findings);
  if (findings->count == 0)
    index_endpoints (document);
  ash_node_free (root);
}

void
ash_document_finish (struct ash_document *document)
{
  free (document->halls);
  free (document->entries);
  free (document->services);
  free (document->endpoints);
  free (document->by_service);
  free (document->groups);
  free (document->classes);
  free (document->accounts);
  free (document->account_slots);
  *document = (struct ash_document){ 0 };
}

const struct ash_service *
ash_document_service (const struct ash_document *document, const char *name)
{
  return find_row (document->services, document->service_count, sizeof *document->services, name);
}

const struct ash_endpoint *
ash_document_endpoint (const struct ash_document *document, const char *name)
{
  return find_row (document->endpoints, document->endpoint_count, sizeof *document->endpoints,
                   name);
}

const struct ash_group *
ash_document_group (const struct ash_document *document, const char *name)
{
  return find_row (document->groups, document->group_count, sizeof *document->groups, name);
}

const struct ash_entry_box *
ash_document_entry (const struct ash_document *document, const char *name)
{
  return find_row (document->entries, document->entry_count, sizeof *document->entries, name);
}

const struct ash_account *
ash_document_account (const struct ash_document *document, const char *name)
{
  return find_row (document->accounts, document->account_count, sizeof *document->accounts, name);
}

const struct ash_account *
ash_document_account_by_key (const struct ash_document *document,
                             const uint8_t key_hash[ASH_KEY_HASH_BYTES])
{
  uint32_t at;

  if (!document->account_slots)
    return NULL;
  at = key_slot (key_hash, document->account_slot_count);
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
      uint64_t weight = ash_hash_pair (id, endpoint->name);

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
  uint64_t own = ash_hash_pair (id, entry);
  int32_t rank = 0;

  if (!ash_document_entry (document, entry))
    return -1;
  for (uint32_t i = 0; i < document->entry_count; i++)
    if (ash_hash_pair (id, document->entries[i].name) > own)
      rank++;
  return rank < (int32_t) account->entries ? rank : -1;
}
