#include "daemon/store_list.h"

#include "common/id.h"
#include "controllers/store_position.h"
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

/* Any odd number with bits all over will do. A complement instead would cancel out, since digests
 * are combined by XOR: two endpoints that leave would change nothing. */
#define DRAINING_FACTOR UINT64_C (0x9e3779b97f4a7c15)

/* Of an empty list. Not 0, which peers tell that know of no digests. */
#define DIGEST_OF_NONE 1

/* Of what counts for use: which endpoint, and whether it is leaving. */
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

/* The store here and peers may tell of the same entry in any order: an older word does not
 * undo a newer one. */
static bool
is_outdated (const struct ash_store_entry *entry, uint64_t place)
{
  return entry && place < entry->place;
}

static void
keep_entry (struct ash_store *store,
            const struct ash_store_item *item,
            uint64_t place,
            const struct ash_direct_facts *facts)
{
  struct ash_store_entry *entry = find_entry (store, item->name);
  uint8_t *value;

  if (!entry)
    {
      entry = calloc (1, sizeof *entry);
      if (!entry)
        return;
      snprintf (entry->id, sizeof entry->id, "%s", item->name);
      HASH_ADD_STR (store->entries, id, entry);
    }
  /* The item's value may be the entry's own. */
  value = malloc (item->value_bytes + 1);
  if (value)
    memcpy (value, item->value, item->value_bytes);
  free (entry->value);
  entry->value = value;
  entry->value_bytes = value ? item->value_bytes : 0;
  entry->place = place;
  store->digest ^= entry->digest;
  entry->digest = digest_of (facts);
  store->digest ^= entry->digest;
}

static void
drop_entry (struct ash_store *store, struct ash_store_entry *entry)
{
  HASH_DEL (store->entries, entry);
  store->digest ^= entry->digest;
  free (entry->value);
  free (entry);
}

/* Until when an endpoint that is missing now may just have lapsed. */
static struct ash_time
uncertain_until (const struct ash_store *store)
{
  struct ash_time lapse_until =
      ash_time_add (store->readers[ASH_STORE_SERVERS].trouble, ASH_STORE_LAPSE_MS);

  return ash_time_before (lapse_until, store->uncertain_until) ? store->uncertain_until
                                                               : lapse_until;
}

/* An entry is missing. Whether the endpoint is gone depends on whether the store was
 * sound: while it is away entries lapse although their endpoints live. The id may be
 * the entry's own, so the entry goes last. */
static void
lose_endpoint (struct ash_store *store, const char *id, const char *source)
{
  struct ash_router *router = store->router;
  struct ash_time until = uncertain_until (store);
  bool trusted = ash_time_before (until, ash_clock_now ());
  struct ash_store_entry *entry = find_entry (store, id);
  struct ash_direct_endpoint *endpoint = ash_direct_find (&router->endpoints, id);

  if (endpoint)
    ash_tombstones_add (&store->tombstones,
                        &(struct ash_tombstone){ .endpoint = endpoint->hash,
                                                 .born_ms = endpoint->facts.born_ms,
                                                 .era = store->era,
                                                 .draining = endpoint->announced_leaving });
  if (endpoint && ash_direct_remove (&router->endpoints, id, trusted, until))
    {
      store->readers[ASH_STORE_SERVERS].changed = true;
      log_endpoint (router, ASH_EV_ENDPOINT_MISSING, &endpoint->facts, source);
    }
  if (entry)
    drop_entry (store, entry);
}

/* An entry of another writer, or one that was spoiled, names no endpoint to use. What stood there
 * before gets nothing new, and the others hold. */
static void
drop_unusable (struct ash_store *store,
               const struct ash_store_item *item,
               const char *wrong,
               const char *source)
{
  struct ash_router *router = store->router;
  struct ash_direct_endpoint *endpoint = ash_direct_find (&router->endpoints, item->name);
  struct ash_store_entry *entry = find_entry (store, item->name);

  ash_log_event (&router->log, ASH_EV_ENTRY_UNUSABLE,
                 "endpoint=%.63s wrong=\"%s\" bytes=%zu used_before=%d source=%s", item->name,
                 wrong, item->value_bytes, endpoint && ash_direct_usable (endpoint), source);
  if (endpoint && ash_direct_remove (&router->endpoints, item->name, true, (struct ash_time){ 0 }))
    store->readers[ASH_STORE_SERVERS].changed = true;
  if (entry)
    drop_entry (store, entry);
}

/* One that says it is leaving is remembered, and so is one that is missing: a store that comes back
 * from an older copy lists both as if they stood ready. Such a one gets nothing new for now. */
static void
note_departure (struct ash_store *store, struct ash_direct_facts *facts)
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
take_endpoint (struct ash_store *store,
               const struct ash_store_item *item,
               uint64_t place,
               const char *source)
{
  struct ash_router *router = store->router;
  struct ash_direct_facts facts;
  const char *wrong;

  if (is_outdated (find_entry (store, item->name), place))
    return;
  wrong = ash_platform_server_read (item->name, item->value, item->value_bytes, &facts);
  if (wrong)
    {
      drop_unusable (store, item, wrong, source);
      return;
    }
  keep_entry (store, item, place, &facts);
  note_departure (store, &facts);
  if (!ash_direct_update (&router->endpoints, &facts))
    return;
  store->readers[ASH_STORE_SERVERS].changed = true;
  router->room = true;
  log_endpoint (router, facts.draining ? ASH_EV_ENDPOINT_LEAVING : ASH_EV_ENDPOINT_LISTED, &facts,
                source);
}

void
ash_store_list_remove_unlisted (struct ash_store_reader *reader, uint64_t place)
{
  struct ash_store *store = &reader->router->store;
  struct ash_store_entry *entry;
  struct ash_store_entry *next;

  HASH_ITER (hh, store->entries, entry, next)
    if (entry->listing != reader->listing && entry->place <= place)
      lose_endpoint (store, entry->id, "store");
}

/* Notes that the listing under way has it. */
static void
mark_listed (struct ash_store_reader *reader, const char *id)
{
  struct ash_store_entry *entry = find_entry (&reader->router->store, id);

  if (entry)
    entry->listing = reader->listing;
}

/* ---- what is told to those that follow ---- */

static void
note_change (struct ash_store_changes *changes, const char *id)
{
  if (changes->count == changes->room)
    {
      uint32_t room = 2 * changes->room + 16;
      char (*ids)[ASH_DIRECT_NAME_BYTES] = realloc (changes->ids, room * sizeof *ids);

      /* Those that follow see by heartbeats that they lack something. */
      if (!ids)
        return;
      changes->ids = ids;
      changes->room = room;
    }
  snprintf (changes->ids[changes->count++], sizeof changes->ids[0], "%s", id);
}

/* How long what is missing may still just have lapsed. */
static uint32_t
doubtful_ms (const struct ash_store *store)
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
ash_store_list_publish (struct ash_store *store, uint64_t since, uint64_t place)
{
  struct ash_store_changes *changes = &store->changes;
  struct Ash__EndpointList list = ASH__ENDPOINT_LIST__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_ENDPOINT_CHANGES, &list);
  size_t room = changes->count;

  if (!room || !since)
    return;
  list.revision = place;
  list.since = since;
  list.doubtful_ms = doubtful_ms (store);
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

/* ---- answers of the store ---- */

void
ash_store_list_item (struct ash_store_reader *reader,
                     const struct ash_store_item *item,
                     uint64_t place)
{
  struct ash_store *store = &reader->router->store;

  if (!item->removed)
    take_endpoint (store, item, place, "store");
  else if (!is_outdated (find_entry (store, item->name), place))
    lose_endpoint (store, item->name, "store");
  mark_listed (reader, item->name);
  if (reader->state == ASH_STORE_WATCHING)
    note_change (&store->changes, item->name);
}

void
ash_store_begin_era (struct ash_store *store, uint64_t era, const char *source)
{
  ash_log_event (&store->router->log, ASH_EV_STORE_ERA,
                 "era=%" PRIu64 " before=%" PRIu64 " source=%s", era, store->era, source);
  store->era = era;
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    store->readers[part].trouble = ash_clock_now ();
}

/* Those that an older copy has listed for so long that they must live. */
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
      take_endpoint (store, &item, entry->place, "kept");
    }
}

void
ash_store_list_init (struct ash_store *store)
{
  store->digest = DIGEST_OF_NONE;
}

void
ash_store_list_finish (struct ash_store *store)
{
  struct ash_store_entry *entry;
  struct ash_store_entry *next;

  HASH_ITER (hh, store->entries, entry, next)
    drop_entry (store, entry);
  free (store->changes.ids);
}

/* ---- peers ---- */

bool
ash_store_fill_list (const struct ash_store *store, struct Ash__EndpointList *list)
{
  size_t count = HASH_COUNT (store->entries);

  list->revision = store->router->endpoints.revision;
  list->doubtful_ms = doubtful_ms (store);
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

/* The peer that told knows of a silence of the store. */
static void
take_doubt (struct ash_store *store, uint32_t ms)
{
  struct ash_time until =
      ash_time_add (ash_clock_now (), ms < ASH_STORE_LAPSE_MS ? (int64_t) ms : ASH_STORE_LAPSE_MS);

  if (ash_time_before (store->uncertain_until, until))
    store->uncertain_until = until;
}

/* What a peer's list did not have and the store here has not told since. */
static void
lose_untold (struct ash_store *store, uint64_t place, const char *source)
{
  struct ash_store_entry *entry;
  struct ash_store_entry *next;

  HASH_ITER (hh, store->entries, entry, next)
    if (entry->place < place)
      lose_endpoint (store, entry->id, source);
}

static void
lose_removed (struct ash_store *store, const struct Ash__EndpointList *list, const char *source)
{
  for (size_t i = 0; i < list->n_removed; i++)
    lose_endpoint (store, list->removed[i], source);
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
    take_doubt (store, list->doubtful_ms);
  for (size_t i = 0; i < list->n_ids && i < list->n_values; i++)
    {
      struct ash_store_item item = {
        .name = list->ids[i],
        .value = list->values[i].data,
        .value_bytes = list->values[i].len,
      };

      take_endpoint (store, &item, list->revision, source);
    }
  if (list->since)
    lose_removed (store, list, source);
  else
    lose_untold (store, list->revision, source);
  return true;
}
