#include "daemon/store_list.h"

#include "common/id.h"
#include "controllers/store_position.h"
#include "daemon/fleet_rates.h"
#include "daemon/router.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* ---- entries ---- */

static void
log_endpoint (struct ash_router *router,
              enum ash_event event,
              const struct ash_direct_facts *facts,
              const char *source)
{
  ash_log_event (&router->log, event,
                 "endpoint=%s service=%s address=%s hall=%s revision=%" PRIu64 " source=%s",
                 facts->id, facts->service, facts->address, facts->hall, router->endpoints.revision,
                 source);
}

/* Multiplies the digest of a draining endpoint: an odd number with bits in all positions.
 * Complementing the digest instead would cancel out, since digests are combined by XOR: two
 * draining endpoints would change nothing. */
#define DRAINING_FACTOR UINT64_C (0x9e3779b97f4a7c15)

/* Digest of an empty list. Not 0, because peers that don't support digests send 0. */
#define EMPTY_LIST_DIGEST 1

/* @return a digest of the data that determines whether the endpoint is used: its id, and whether it
 * is draining. */
static uint64_t
digest_of (const struct ash_direct_facts *facts)
{
  uint64_t digest = ash_hash_text (facts->id);

  return facts->draining ? digest * DRAINING_FACTOR : digest;
}

static struct ash_store_entry *
find_entry (const struct ash_store *store, const char *id)
{
  struct ash_store_entry *entry;

  HASH_FIND_STR (store->entries, id, entry);
  return entry;
}

/* Whether the entry is newer than an update at this store position. Updates come from the store and
 * from peers in any order, and an older one must not replace a newer one. */
static bool
is_outdated (const struct ash_store_entry *entry, uint64_t position)
{
  return entry && position < entry->position;
}

/* @return whether the entry's contents are new. */
static bool
put_entry (struct ash_store *store,
           const struct ash_store_item *item,
           uint64_t position,
           const struct ash_direct_facts *facts)
{
  struct ash_store_entry *entry = find_entry (store, item->name);
  uint8_t *value;
  bool is_new;

  if (!entry)
    {
      entry = calloc (1, sizeof *entry);
      if (!entry)
        return true;
      snprintf (entry->id, sizeof entry->id, "%s", item->name);
      HASH_ADD_STR (store->entries, id, entry);
    }
  is_new = !entry->value || entry->value_bytes != item->value_bytes ||
           memcmp (entry->value, item->value, item->value_bytes) != 0;
  /* item->value may be the entry's own value, so it is copied before the entry's is freed. */
  value = malloc (item->value_bytes + 1);
  if (value)
    memcpy (value, item->value, item->value_bytes);
  free (entry->value);
  entry->value = value;
  entry->value_bytes = value ? item->value_bytes : 0;
  entry->position = position;
  store->digest ^= entry->digest;
  entry->digest = digest_of (facts);
  store->digest ^= entry->digest;
  return is_new;
}

static void
remove_entry (struct ash_store *store, struct ash_store_entry *entry)
{
  HASH_DEL (store->entries, entry);
  store->digest ^= entry->digest;
  free (entry->value);
  free (entry);
}

/* @return the time until which an entry may be missing because it expired while the store was
 * unavailable, although its endpoint runs. */
static struct ash_time
uncertain_until (const struct ash_store *store)
{
  struct ash_time lapse_until =
      ash_time_add (store->readers[ASH_STORE_SERVERS].last_outage, ASH_STORE_LAPSE_MS);

  return ash_time_before (lapse_until, store->uncertain_until) ? store->uncertain_until
                                                               : lapse_until;
}

/* Removes a missing entry. Its endpoint is removed too if the store has been available all the
 * time; otherwise the entry may have expired although the endpoint runs. `id` may point into the
 * entry, which is therefore freed last. */
static void
remove_endpoint (struct ash_store *store, const char *id, const char *source)
{
  struct ash_router *router = store->router;
  struct ash_time until = uncertain_until (store);
  bool is_certain = ash_time_before (until, ash_clock_now ());
  struct ash_store_entry *entry = find_entry (store, id);
  struct ash_direct_endpoint *endpoint = ash_direct_find (&router->endpoints, id);

  if (endpoint)
    ash_tombstones_add (&store->tombstones,
                        &(struct ash_tombstone){ .endpoint = endpoint->hash,
                                                 .born_ms = endpoint->facts.born_ms,
                                                 .era = store->era,
                                                 .draining = endpoint->announced_leaving });
  if (endpoint && ash_direct_remove (&router->endpoints, id, is_certain, until))
    {
      store->readers[ASH_STORE_SERVERS].list_changed = true;
      log_endpoint (router, ASH_EV_ENDPOINT_MISSING, &endpoint->facts, source);
    }
  if (entry)
    remove_entry (store, entry);
}

/* Counts an entry that can't be used, and logs it. A listing repeats entries that have not changed:
 * these are not reported again. */
static void
report_unusable (struct ash_store *store,
                 const struct ash_store_item *item,
                 const char *error,
                 bool used_before,
                 const char *source)
{
  if (!ash_seen_changes_add (&store->unusable, item->name, item->value, item->value_bytes) &&
      !used_before)
    return;
  store->unusable_total++;
  ash_log_event (&store->router->log, ASH_EV_ENTRY_UNUSABLE,
                 "endpoint=%s wrong=\"%s\" bytes=%zu used_before=%d source=%s", item->name, error,
                 item->value_bytes, used_before, source);
}

/* Removes an entry that can't be read, since another program wrote it or it is corrupt. The
 * endpoint that had the id gets no new requests; other endpoints are not affected. */
static void
remove_unusable (struct ash_store *store,
                 const struct ash_store_item *item,
                 const char *error,
                 const char *source)
{
  struct ash_router *router = store->router;
  struct ash_direct_endpoint *endpoint = ash_direct_find (&router->endpoints, item->name);
  struct ash_store_entry *entry = find_entry (store, item->name);

  report_unusable (store, item, error, endpoint && ash_direct_usable (endpoint), source);
  if (endpoint && ash_direct_remove (&router->endpoints, item->name, true, (struct ash_time){ 0 }))
    store->readers[ASH_STORE_SERVERS].list_changed = true;
  if (entry)
    remove_entry (store, entry);
}

void
ash_store_list_foreign (struct ash_store *store, const struct ash_store_item *item)
{
  if (item->removed)
    ash_seen_changes_remove (&store->unusable, item->name);
  else
    report_unusable (store, item, "name", false, "store");
}

/* Remembers endpoints that report to be leaving. A store that is restored from an older copy lists
 * these, and endpoints that have been removed, as ready. A ready entry of such an endpoint is
 * treated as draining for now. */
static void
record_departure (struct ash_store *store, struct ash_direct_facts *facts)
{
  uint64_t endpoint = ash_hash_text (facts->id);

  if (facts->draining)
    ash_tombstones_add (&store->tombstones, &(struct ash_tombstone){ .endpoint = endpoint,
                                                                     .born_ms = facts->born_ms,
                                                                     .era = store->era,
                                                                     .draining = true });
  else if (ash_tombstones_is_stale (&store->tombstones, ash_clock_now (), endpoint, facts->born_ms,
                                    store->era))
    facts->draining = true;
}

static void
apply_endpoint (struct ash_store *store,
                const struct ash_store_item *item,
                uint64_t position,
                const char *source)
{
  struct ash_router *router = store->router;
  struct ash_direct_facts facts;
  struct ash_direct_endpoint *endpoint;
  const char *error;
  bool is_new;
  bool changed;

  if (is_outdated (find_entry (store, item->name), position))
    return;
  error = ash_platform_server_read (item->name, item->value, item->value_bytes, &facts);
  if (error)
    {
      remove_unusable (store, item, error, source);
      return;
    }
  is_new = put_entry (store, item, position, &facts);
  record_departure (store, &facts);
  changed = ash_direct_update (&router->endpoints, &facts);
  endpoint = ash_direct_find (&router->endpoints, facts.id);
  /* An entry that was known does not tell how much of the cold time has passed since then. */
  if (is_new && endpoint)
    ash_fleet_report_cold (&router->fleet, endpoint, facts.cold_ms);
  if (!changed)
    return;
  store->readers[ASH_STORE_SERVERS].list_changed = true;
  router->capacity_freed = true;
  log_endpoint (router, facts.draining ? ASH_EV_ENDPOINT_LEAVING : ASH_EV_ENDPOINT_LISTED, &facts,
                source);
}

void
ash_store_list_remove_unlisted (struct ash_store_reader *reader, uint64_t position)
{
  struct ash_store *store = &reader->router->store;
  struct ash_store_entry *entry;
  struct ash_store_entry *next;

  HASH_ITER (hh, store->entries, entry, next)
    if (entry->listing_id != reader->listing_id && entry->position <= position)
      remove_endpoint (store, entry->id, "store");
}

/* Marks an entry as contained in the current listing. */
static void
mark_listed (struct ash_store_reader *reader, const char *id)
{
  struct ash_store_entry *entry = find_entry (&reader->router->store, id);

  if (entry)
    entry->listing_id = reader->listing_id;
}

/* ---- changes for the routers that don't poll the store ---- */

static void
record_change (struct ash_store_changes *changes, const char *id)
{
  if (changes->count == changes->capacity)
    {
      uint32_t capacity = 2 * changes->capacity + 16;
      char (*ids)[ASH_DIRECT_NAME_BYTES] = realloc (changes->ids, capacity * sizeof *ids);

      /* The routers that get changes from this one find out by heartbeats that they lack this
       * change. */
      if (!ids)
        return;
      changes->ids = ids;
      changes->capacity = capacity;
    }
  snprintf (changes->ids[changes->count++], sizeof changes->ids[0], "%s", id);
}

/* @return for how many ms more an entry may be missing because it expired while the store was
 * unavailable, although its endpoint runs. */
static uint32_t
uncertain_ms (const struct ash_store *store)
{
  int64_t left_ms = ash_time_diff (ash_clock_now (), uncertain_until (store));

  return left_ms > 0 ? (uint32_t) left_ms : 0;
}

static void
add_change (const struct ash_store *store, char *id, struct Ash__EndpointList *list)
{
  struct ash_store_entry *entry = find_entry (store, id);

  if (!entry)
    {
      list->removed[list->n_removed++] = id;
      return;
    }
  list->ids[list->n_ids++] = entry->id;
  list->values[list->n_values++] = (struct ProtobufCBinaryData){ entry->value_bytes, entry->value };
}

void
ash_store_list_publish (struct ash_store *store, uint64_t since, uint64_t position)
{
  struct ash_store_changes *changes = &store->changes;
  struct Ash__EndpointList list = ASH__ENDPOINT_LIST__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_ENDPOINT_CHANGES, &list);
  size_t room = changes->count;

  if (!room || !since)
    return;
  list.revision = position;
  list.since = since;
  list.doubtful_ms = uncertain_ms (store);
  list.ids = calloc (room, sizeof *list.ids);
  list.values = calloc (room, sizeof *list.values);
  list.removed = calloc (room, sizeof *list.removed);
  if (list.ids && list.values && list.removed)
    {
      for (uint32_t i = 0; i < changes->count; i++)
        add_change (store, changes->ids[i], &list);
      ash_fleet_send_hall (&store->router->fleet, &event);
    }
  free (list.removed);
  ash_store_list_free (&list);
}

/* ---- the store's answers ---- */

void
ash_store_list_item (struct ash_store_reader *reader,
                     const struct ash_store_item *item,
                     uint64_t position)
{
  struct ash_store *store = &reader->router->store;

  if (!item->removed)
    apply_endpoint (store, item, position, "store");
  else if (!is_outdated (find_entry (store, item->name), position))
    {
      ash_seen_changes_remove (&store->unusable, item->name);
      remove_endpoint (store, item->name, "store");
    }
  mark_listed (reader, item->name);
  if (reader->state == ASH_STORE_WATCHING)
    record_change (&store->changes, item->name);
}

void
ash_store_begin_era (struct ash_store *store, uint64_t era, const char *source)
{
  ash_log_event (&store->router->log, ASH_EV_STORE_ERA,
                 "era=%" PRIu64 " before=%" PRIu64 " source=%s", era, store->era, source);
  store->era = era;
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    store->readers[part].last_outage = ash_clock_now ();
}

/* Applies the entries of endpoints that a restored store has listed for so long that they must be
 * running. */
void
ash_store_list_tick (struct ash_store *store, struct ash_time now)
{
  uint64_t endpoint;

  while ((endpoint = ash_tombstones_pop_expired (&store->tombstones, now)))
    {
      const struct ash_direct_endpoint *known =
          ash_direct_find_hash (&store->router->endpoints, endpoint);
      const struct ash_store_entry *entry = known ? find_entry (store, known->facts.id) : NULL;
      struct ash_store_item item;

      if (!entry)
        continue;
      item = (struct ash_store_item){ .name = entry->id,
                                      .value = entry->value,
                                      .value_bytes = entry->value_bytes };
      apply_endpoint (store, &item, entry->position, "kept");
    }
}

void
ash_store_list_init (struct ash_store *store)
{
  store->digest = EMPTY_LIST_DIGEST;
}

void
ash_store_list_finish (struct ash_store *store)
{
  struct ash_store_entry *entry;
  struct ash_store_entry *next;

  HASH_ITER (hh, store->entries, entry, next)
    remove_entry (store, entry);
  free (store->changes.ids);
}

/* ---- peers ---- */

bool
ash_store_fill_list (const struct ash_store *store, struct Ash__EndpointList *list)
{
  size_t count = HASH_COUNT (store->entries);

  list->revision = store->router->endpoints.revision;
  list->doubtful_ms = uncertain_ms (store);
  list->ids = calloc (count + 1, sizeof *list->ids);
  list->values = calloc (count + 1, sizeof *list->values);
  if (!list->ids || !list->values)
    {
      ash_store_list_free (list);
      return false;
    }
  for (struct ash_store_entry *entry = store->entries; entry; entry = entry->hh.next)
    {
      list->ids[list->n_ids++] = entry->id;
      list->values[list->n_values++] =
          (struct ProtobufCBinaryData){ entry->value_bytes, entry->value };
    }
  return true;
}

void
ash_store_list_free (struct Ash__EndpointList *list)
{
  free (list->ids);
  free (list->values);
}

/* Applies a peer's report that for `ms` more an entry may be missing because it expired while the
 * store was unavailable, although its endpoint runs. */
static void
extend_uncertainty (struct ash_store *store, uint32_t ms)
{
  struct ash_time until =
      ash_time_add (ash_clock_now (), ms < ASH_STORE_LAPSE_MS ? (int64_t) ms : ASH_STORE_LAPSE_MS);

  if (ash_time_before (store->uncertain_until, until))
    store->uncertain_until = until;
}

/* Removes the entries that a peer's list lacks, unless the store has reported them to this router
 * at a later position. */
static void
remove_older (struct ash_store *store, uint64_t position, const char *source)
{
  struct ash_store_entry *entry;
  struct ash_store_entry *next;

  HASH_ITER (hh, store->entries, entry, next)
    if (entry->position < position)
      remove_endpoint (store, entry->id, source);
}

static void
apply_removals (struct ash_store *store, const struct Ash__EndpointList *list, const char *source)
{
  for (size_t i = 0; i < list->n_removed; i++)
    remove_endpoint (store, list->removed[i], source);
}

bool
ash_store_apply_list (struct ash_store *store,
                      const struct Ash__EndpointList *list,
                      const char *source)
{
  struct ash_direct_set *endpoints = &store->router->endpoints;

  if (list->revision <= endpoints->revision)
    return true;
  if (list->since > endpoints->revision)
    return false;
  if (ash_store_position_era (list->revision) > store->era)
    ash_store_begin_era (store, ash_store_position_era (list->revision), source);
  endpoints->revision = list->revision;
  if (list->doubtful_ms)
    extend_uncertainty (store, list->doubtful_ms);
  for (size_t i = 0; i < list->n_ids && i < list->n_values; i++)
    {
      struct ash_store_item item = {
        .name = list->ids[i],
        .value = list->values[i].data,
        .value_bytes = list->values[i].len,
      };

      apply_endpoint (store, &item, list->revision, source);
    }
  if (list->since)
    apply_removals (store, list, source);
  else
    {
      remove_older (store, list->revision, source);
      store->readers[ASH_STORE_SERVERS].has_listed = true;
    }
  return true;
}
