#include "options/document.h"

#include "options/document_check.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Limits of the contents of a document; the platform limits its size to a megabyte. */
#define ROWS_MAX 100000
#define RATE_MAX 1000000

/* clang-format off */
#define TEXT(type, key, member, default_value, help) \
  { key, ASH_OPTION_TEXT, offsetof (struct type, member), default_value, 0, ASH_NAME_BYTES, \
    NULL, NULL, help }
#define COUNT(type, member, default_value, min, max, unit, help) \
  { #member, ASH_OPTION_UINT, offsetof (struct type, member), default_value, min, max, \
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
  TEXT (ash_service, "name", name, NULL, "the name that callers use"),
  { "kind", ASH_OPTION_CHOICE, offsetof (struct ash_service, kind), "model", 0, 0, service_kinds,
    NULL, "kind of its endpoints" },
  { "no_repeat", ASH_OPTION_BOOL, offsetof (struct ash_service, no_repeat), "false", 0, 0, NULL,
    NULL, "its requests run at most once" },
  COUNT (ash_service,
         homes_since_s,
         "0",
         0,
         UINT32_MAX,
         "s",
         "Unix time at which its set of endpoints last changed; 0: not given"),
  { 0 },
};

static const struct ash_option endpoint_options[] = {
  TEXT (ash_endpoint, "box", name, NULL, "the box's name"),
  TEXT (ash_endpoint, "service", service, NULL, "the service that it runs"),
  TEXT (ash_endpoint, "hall", hall, NULL, "its failure domain"),
  TEXT (ash_endpoint, "peer", peer, NULL, "IP:PORT of its agent"),
  COUNT (ash_endpoint, slots, "32", 1, 100000, "requests", "requests it runs at the same time"),
  TEXT (ash_endpoint, "group", group, "", "the group of engines that it runs in lock-step with"),
  COUNT (ash_endpoint, rank, "0", 0, 63, NULL, "its rank in that group"),
  { "checks_orders", ASH_OPTION_BOOL, offsetof (struct ash_endpoint, checks_orders), "false", 0, 0,
    NULL, NULL,
    "its engine itself rejects orders for another incarnation or with an outdated ballot" },
  { 0 },
};

static const struct ash_option group_options[] = {
  TEXT (ash_group, "name", name, NULL, "the group's name"),
  COUNT (ash_group, experts, NULL, 1, 256, "experts", "number of experts in a layer"),
  COUNT (ash_group, rank_slots, NULL, 1, 64, "slots", "experts that a rank holds in a layer"),
  COUNT (ash_group, moves, "4", 1, 16, "experts", "experts moved in an interval at most"),
  COUNT (ash_group, interval_ms, "1000", 100, 3600000, "ms", "time between two decisions"),
  { "skew_weight", ASH_OPTION_NUMBER, offsetof (struct ash_group, skew_weight), "1", 0, 1000, NULL,
    NULL, "benefit of removing a skew (slowest rank over mean) of 1 for an interval" },
  { "cost_weight", ASH_OPTION_NUMBER, offsetof (struct ash_group, cost_weight), "0.1", 0, 1000,
    NULL, NULL, "cost of moving one expert's weights, in the same unit" },
  { 0 },
};

static const struct ash_option event_options[] = {
  TEXT (ash_declared_event, "name", name, NULL, "the event's name"),
  COUNT (
      ash_declared_event, start_s, NULL, 1, UINT32_MAX, "s", "Unix time at which demand arrives"),
  COUNT (ash_declared_event, length_s, "3600", 1, 604800, "s", "how long it lasts"),
  COUNT (ash_declared_event,
         lead_s,
         "60",
         0,
         86400,
         "s",
         "how long before its start it already counts as started"),
  { 0 },
};

static const struct ash_option reservation_options[] = {
  TEXT (ash_reservation, "name", name, NULL, "the reservation's name"),
  TEXT (ash_reservation, "event", event, NULL, "the event for which it is made"),
  TEXT (ash_reservation, "account", account, NULL, "the account whose requests it is for"),
  TEXT (ash_reservation, "service", service, NULL, "the service that the requests are for"),
  COUNT (ash_reservation, rate_per_s, NULL, 1, RATE_MAX, "requests/s", "over all entries together"),
  COUNT (ash_reservation,
         priority,
         "0",
         0,
         15,
         NULL,
         "priority of its requests, instead of that of their class"),
  { 0 },
};

static const struct ash_option profile_options[] = {
  TEXT (ash_profile, "name", name, NULL, "the profile's name"),
  TEXT (ash_profile, "event", event, NULL, "the event during which these loads are expected"),
  TEXT (ash_profile, "group", group, NULL, "the group of ranks"),
  { "loads", ASH_OPTION_TEXT, offsetof (struct ash_profile, loads), NULL, 0, ASH_PROFILE_BYTES,
    NULL, NULL, "relative load of each expert: integers, separated by commas" },
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
    ASH_KEY_HASH_BYTES, NULL, NULL, "BLAKE2b-256 hash of its bearer key, in hex" },
  TEXT (ash_account, "class", class_name, NULL, "its class"),
  COUNT (ash_account, rate_per_s, "100", 1, RATE_MAX, "requests/s", "over all entries together"),
  COUNT (ash_account,
         burst,
         "100",
         1,
         RATE_MAX,
         "requests",
         "requests above the rate that may come at once, over all entries together"),
  COUNT (
      ash_account, entries, "3", 1, 1000, "entries", "number of entries that share its requests"),
  { 0 },
};

/* Reads the array of tables `[[key]]` into a new array of structs of row_bytes each. @return the
 * array, owned by the caller, or NULL if the key is missing or has the wrong type. */
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
  char key_path[64];

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
      snprintf (key_path, sizeof key_path, "%s[%u]", key, *count);
      if (item->kind != ASH_NODE_TABLE)
        {
          ash_findings_add (findings, item->line, key_path, "expected a table");
          continue;
        }
      ash_options_read (options, item, key_path, rows + *count * row_bytes, findings);
      ((struct ash_row *) (void *) (rows + *count * row_bytes))->line = item->line;
      ash_node_report_unused (item, key_path, findings);
      (*count)++;
    }
  return rows;
}

/* Builds by_service, the index of endpoints grouped by service. All names were checked before. */
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
  READ_ROWS (events, event_count, event);
  READ_ROWS (reservations, reservation_count, reservation);
  READ_ROWS (profiles, profile_count, profile);
  ash_node_report_unused (root, "", findings);
  ash_document_check (document, findings);
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
  free (document->events);
  free (document->reservations);
  free (document->profiles);
  *document = (struct ash_document){ 0 };
}
