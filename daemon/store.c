#include "daemon/store.h"

#include "common/id.h"
#include "controllers/place.h"
#include "daemon/router.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000.0

/* An answer is due so long after the store should have given it: many times its usual
 * few milliseconds, so that a slow store is not asked twice. */
#define ANSWER_SLACK_MS 1500

/* The same for a watch, whose answer is one event or none. With the wait of those that ask often
 * (1.5 s), a change whose answer was lost on its way is in force 2.3 s later. */
#define WATCH_SLACK_MS 700

/* A connection to the store that is silent for so long is given up, a keep-alive probe
 * included: a second before the platform takes for granted that a box is in touch again. It
 * notices a cut without any call that the store would count: after 2.0 s instead of 21.5 s,
 * measured with questions that wait for 20 s and peers that tell nothing. */
#define SILENCE_MS 2000

/* A question asked less long ago may still be on its way. */
#define DOUBT_LEAST_MS 300

/* A watch without a change is answered when its wait is over, a listing at once; an answer that
 * comes so much later shows that the store was silent, and that endpoints could not tell it that
 * they live. */
#define OVERDUE_MS 400

/* An answer that is due at once from a store that has not answered the last question: a
 * connection whose first packet was lost would try again only after a second. With each
 * time-out the next question has twice the time, up to ANSWER_SLACK_MS: a store that takes 500 ms
 * for an answer would not be read at all otherwise. */
#define ANSWER_SOON_MS 300

/* Waits between failed questions: the first soon, since most failures are one lost
 * connection; the longest a small part of the time in which a change must be in force. */
#define RETRY_FIRST_MS 50
#define RETRY_LONGEST_MS 400
#define RETRY_FACTOR 2

/* The same for a router that others of its hall come before: these see first that the store is
 * back, and tell. 149 routers made 6,000 calls, a price of 0.05 a day, to a store that was down for
 * 8 s. */
#define RETRY_OTHERS_MS 2500
#define RETRY_OTHERS_FACTOR 7

/* So long after the store's return an entry that is missing may just have lapsed: endpoints
 * that live are back in the list within two seconds. */
#define LAPSE_MS 2300

/* The same where peers know of the store's return first, from when they tell of a newer list: its
 * first change is a heartbeat (300 ms) older at most. An endpoint that has left must get nothing
 * more 2 s after the store has said so, so there is less time than above; it is enough for those
 * that renew their entries every 1.2 s. */
#define BEHIND_LAPSE_MS 1500

/* From a whole listing to the first question for changes: by then a router that starts with many
 * others sees those of its hall that ask, and most need not ask at all. A router that has no link
 * by the first of the two times does not wait for others. 149 routers that started at once and did
 * not wait made 2,300 calls. */
#define ALONE_MS 150
#define FIRST_WATCH_MS 1000

/* Without an answer for so long, the store is away: endpoints may have missed a heartbeat. */
#define AWAY_MS 800

/* When all endpoints start, each adds its entry by itself, and each question has a price.
 * So after a few answers in a row that changed the list, what comes next is gathered for a
 * while: a fifth of the time in which a leaving endpoint must have been noticed. */
#define BURST_ANSWERS 3
#define BURST_MS 400

/* ---- the list of endpoints ---- */

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

  if (!entry)
    {
      entry = calloc (1, sizeof *entry);
      if (!entry)
        return;
      snprintf (entry->id, sizeof entry->id, "%s", item->name);
      HASH_ADD_STR (store->entries, id, entry);
    }
  free (entry->value);
  entry->value = malloc (item->value_bytes + 1);
  entry->value_bytes = entry->value ? item->value_bytes : 0;
  if (entry->value)
    memcpy (entry->value, item->value, item->value_bytes);
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
doubtful_until (const struct ash_store *store)
{
  struct ash_time lapse_until = ash_time_add (store->readers[ASH_STORE_SERVERS].trouble, LAPSE_MS);

  return ash_time_before (lapse_until, store->doubtful_until) ? store->doubtful_until : lapse_until;
}

/* An entry is missing. Whether the endpoint is gone depends on whether the store was
 * sound: while it is away entries lapse although their endpoints live. The id may be
 * the entry's own, so the entry goes last. */
static void
lose_endpoint (struct ash_store *store, const char *id, const char *source)
{
  struct ash_router *router = store->router;
  struct ash_time until = doubtful_until (store);
  bool trusted = ash_time_before (until, ash_clock_now ());
  struct ash_store_entry *entry = find_entry (store, id);
  struct ash_direct_endpoint *endpoint = ash_direct_find (&router->endpoints, id);

  if (endpoint)
    ash_departed_note (&store->departed,
                       &(struct ash_departed_one){ .endpoint = endpoint->hash,
                                                   .born_ms = endpoint->facts.born_ms,
                                                   .era = store->era });
  if (endpoint && ash_direct_removed (&router->endpoints, id, trusted, until))
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
  if (endpoint && ash_direct_removed (&router->endpoints, item->name, true, (struct ash_time){ 0 }))
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
    ash_departed_note (&store->departed, &(struct ash_departed_one){ .endpoint = endpoint,
                                                                     .born_ms = facts->born_ms,
                                                                     .era = store->era,
                                                                     .draining = true });
  else if (ash_departed_doubts (&store->departed, ash_clock_now (), endpoint, facts->born_ms,
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
  if (!ash_direct_listed (&router->endpoints, &facts))
    return;
  store->readers[ASH_STORE_SERVERS].changed = true;
  router->room = true;
  log_endpoint (router, facts.draining ? ASH_EV_ENDPOINT_LEAVING : ASH_EV_ENDPOINT_LISTED, &facts,
                source);
}

/* What a whole listing did not have, as far as no peer had it later. @param place of the
 * listing's first page. */
static void
lose_unlisted (struct ash_store_reader *reader, uint64_t place)
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
  int64_t left_ms = ash_time_diff (ash_clock_now (), doubtful_until (store));

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

/* What the store has just said goes to the own hall at once. @param since the place before.
 * @param place up to which it has said it: the list may be newer here, through a peer. */
static void
tell_changes (struct ash_store *store, uint64_t since, uint64_t place)
{
  struct ash_store_changes *changes = &store->changes;
  struct Ash__EndpointList list = ASH__ENDPOINT_LIST__INIT;
  struct Ash__Event event = ash_event_of ("", ASH__EVENT__KIND_ENDPOINT_CHANGES, &list);
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
      ash_fleet_send_near (&store->router->fleet, &event);
    }
  free (list.removed);
  ash_store_list_free (&list);
}

/* ---- answers ---- */

static void
take_item (void *data, const struct ash_store_item *item)
{
  struct ash_store_reader *reader = data;
  struct ash_router *router = reader->router;
  uint64_t place = ash_place_of (router->store.era, item->revision);

  switch (reader->part)
    {
    case ASH_STORE_CONFIG:
      if (!item->removed)
        ash_router_offer_config (router, (const char *) item->value, item->value_bytes, "store");
      break;
    case ASH_STORE_SERVERS:
      if (!item->removed)
        take_endpoint (&router->store, item, place, "store");
      else if (!is_outdated (find_entry (&router->store, item->name), place))
        lose_endpoint (&router->store, item->name, "store");
      mark_listed (reader, item->name);
      if (reader->state == ASH_STORE_WATCHING)
        note_change (&router->store.changes, item->name);
      break;
    }
}

static void
set_timer (struct ash_store_reader *reader, int64_t ms)
{
  ev_timer_stop (reader->router->loop, &reader->timer);
  ev_timer_set (&reader->timer, (double) ms / MS_PER_S, 0);
  ev_timer_start (reader->router->loop, &reader->timer);
}

static void
rest (struct ash_store_reader *reader, int64_t ms)
{
  reader->state = ASH_STORE_RESTING;
  set_timer (reader, ms);
}

/* Whether others of the hall try for this router too. One that has read nothing yet can't do with
 * what they have read. */
static bool
leaves_it_to_others (const struct ash_store_reader *reader)
{
  return reader->place && !ash_fleet_first_of_hall (&reader->router->fleet);
}

/* How long a question that has failed rests. */
static int64_t
retry_ms (const struct ash_store_reader *reader)
{
  const struct ash_store_reader *list = &reader->router->store.readers[ASH_STORE_SERVERS];
  bool others = leaves_it_to_others (reader);
  int64_t longest_ms = others ? RETRY_OTHERS_MS : RETRY_LONGEST_MS;
  int64_t wait_ms = RETRY_FIRST_MS;

  /* One question at a time shows whether the store is back. */
  if (others && reader != list && list->failures > 1)
    return longest_ms;
  for (uint32_t i = 1; i < reader->failures && wait_ms < longest_ms; i++)
    wait_ms *= others ? RETRY_OTHERS_FACTOR : RETRY_FACTOR;
  return wait_ms;
}

static void
fail (struct ash_store_reader *reader, const char *why)
{
  struct ash_router *router = reader->router;
  struct ash_time now = ash_clock_now ();
  int64_t wait_ms;

  if (reader->answers || !reader->failures)
    ash_log_event (&router->log, ASH_EV_PLATFORM_DOWN,
                   "part=%d why=\"%s\" status=%u revision=%" PRIu64 " age_ms=%lld",
                   (int) reader->part, why, reader->status, reader->place,
                   (long long) ash_time_diff (reader->answered, now));
  if (!reader->failures)
    reader->failing_since = now;
  /* One connection that was cut says nothing of the list; a store that stays away does. */
  if (ash_time_diff (reader->failing_since, now) > AWAY_MS)
    reader->trouble = now;
  /* A listing that broke off begins anew. */
  if (reader->state == ASH_STORE_LISTING)
    reader->place = 0;
  *reader->page = '\0';
  reader->answers = false;
  reader->failures++;
  wait_ms = retry_ms (reader);
  /* Half to one and a half times, so that routers that failed together spread. */
  wait_ms = wait_ms / 2 + ash_random_below (&router->random, (uint32_t) wait_ms + 1);
  rest (reader, wait_ms);
}

static void ask (struct ash_store_reader *reader);

/* The list's reader has an answer: the other one need not wait longer. */
static void
wake_others (const struct ash_store_reader *reader)
{
  struct ash_store *store = &reader->router->store;

  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      struct ash_store_reader *other = &store->readers[part];

      if (other == reader || other->state != ASH_STORE_RESTING || !other->failures)
        continue;
      ev_timer_stop (reader->router->loop, &other->timer);
      ask (other);
    }
}

static void
note_success (struct ash_store_reader *reader)
{
  bool was_away = reader->failures > 0;

  if (!reader->answers)
    ash_log_event (&reader->router->log, ASH_EV_PLATFORM_UP, "part=%d revision=%" PRIu64,
                   (int) reader->part, reader->place);
  reader->answers = true;
  reader->failures = 0;
  reader->timeouts = 0;
  reader->suspicious = false;
  reader->paused = false;
  reader->answered = ash_clock_now ();
  if (was_away)
    wake_others (reader);
}

/* Counts answers that changed the list, as long as they come close together. */
static bool
is_burst (struct ash_store_reader *reader)
{
  struct ash_time now = ash_clock_now ();

  if (!reader->changed)
    return false;
  if (ash_time_diff (reader->changed_at, now) > 2 * BURST_MS)
    reader->burst = 0;
  reader->changed_at = now;
  return ++reader->burst > BURST_ANSWERS;
}

static void
list_anew (struct ash_store_reader *reader)
{
  reader->place = 0;
  *reader->page = '\0';
  reader->state = ASH_STORE_RESTING;
  ask (reader);
}

/* The store has come back from an older copy, as an answer or a peer tells. What it lacks endpoints
 * write again within two seconds, so what is missing until then may live. */
static void
begin_era (struct ash_store *store, uint64_t era, const char *source)
{
  ash_log_event (&store->router->log, ASH_EV_STORE_ERA,
                 "era=%" PRIu64 " before=%" PRIu64 " source=%s", era, store->era, source);
  store->era = era;
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    store->readers[part].trouble = ash_clock_now ();
}

/* Its revisions were given out again since, so what was read up to one of them says nothing of what
 * is below it now: all of the other part is read anew too. */
static void
list_others_anew (const struct ash_store_reader *reader)
{
  struct ash_store *store = &reader->router->store;

  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      struct ash_store_reader *other = &store->readers[part];

      if (other == reader || other->state == ASH_STORE_FOLLOWING)
        continue;
      ash_http_call_cancel (&other->call);
      list_anew (other);
    }
}

/* Looks at the era that an answer is of. @return false if there is nothing more to take from it. */
static bool
take_era (struct ash_store_reader *reader)
{
  struct ash_store *store = &reader->router->store;
  bool first =
      !store->era && !reader->place && reader->state == ASH_STORE_LISTING && !*reader->page;

  if (reader->era_told == ASH_STORE_ERA_BAD)
    {
      fail (reader, "its era can't be read");
      return false;
    }
  if (reader->era_told == ASH_STORE_ERA_NONE || reader->era == store->era)
    return true;
  if (reader->era < store->era)
    {
      fail (reader, "an answer of a former era");
      return false;
    }
  if (first && !store->entries && !ash_router_version (reader->router))
    {
      /* The first word from the store: nothing is known of another era. */
      store->era = reader->era;
      return true;
    }
  begin_era (store, reader->era, "store");
  list_others_anew (reader);
  if (reader->state == ASH_STORE_LISTING && !*reader->page && !reader->place)
    return true;
  list_anew (reader);
  return false;
}

static void
take_answer (struct ash_store_reader *reader)
{
  struct ash_router *router = reader->router;
  struct ash_store_taker taker = { take_item, reader };
  struct ash_store_answer answer;
  bool listing = reader->state == ASH_STORE_LISTING;
  uint64_t since = reader->place;
  uint64_t place;

  reader->changed = false;
  if (reader->part == ASH_STORE_SERVERS)
    router->store.changes.count = 0;
  if (!take_era (reader))
    return;
  if (reader->status == 410)
    {
      /* The changes since then are gone: all is read anew. What is missing then was
       * removed in between. */
      list_anew (reader);
      return;
    }
  if (reader->status != 200 ||
      !ash_platform_store_read ((const char *) reader->answer.bytes + reader->answer.start,
                                reader->answer.length, &taker, &answer))
    {
      fail (reader, reader->status == 200 ? "unreadable answer" : "refused");
      return;
    }
  place = ash_place_of (router->store.era, answer.revision);
  if (listing && answer.more)
    {
      memcpy (reader->page, answer.next_page, sizeof reader->page);
      /* Pages are no snapshot: changes are watched from the first one on. */
      if (!reader->place)
        reader->place = place;
      ask (reader);
      return;
    }
  if (listing && reader->part == ASH_STORE_SERVERS)
    lose_unlisted (reader, reader->place ? reader->place : place);
  *reader->page = '\0';
  if (!listing || !reader->place)
    reader->place = place > reader->place ? place : reader->place;
  if (reader->part == ASH_STORE_SERVERS && reader->place > router->endpoints.revision)
    router->endpoints.revision = reader->place;
  if (reader->part == ASH_STORE_SERVERS && !listing)
    tell_changes (&router->store, since, reader->place);
  note_success (reader);
  reader->state = ASH_STORE_WATCHING;
  reader->listed = listing;
  if (listing)
    rest (reader, ALONE_MS);
  else if (is_burst (reader))
    rest (reader, BURST_MS);
  else
    ask (reader);
}

/* ---- calls ---- */

static bool
on_head (struct ash_http_call *call, const struct ash_http_head *head)
{
  struct ash_store_reader *reader = call->owner;

  reader->status = head->status;
  reader->era_told = ash_platform_store_era (head, &reader->era);
  return true;
}

static void
on_body (struct ash_http_call *call, const uint8_t *bytes, size_t length)
{
  struct ash_store_reader *reader = call->owner;

  ash_buffer_append (&reader->answer, bytes, length);
  /* A long answer over a slow link is not silent: cut and asked again, it would come no sooner. */
  set_timer (reader, ANSWER_SLACK_MS);
}

static void
on_end (struct ash_http_call *call, enum ash_call_end end)
{
  struct ash_store_reader *reader = call->owner;

  ev_timer_stop (reader->router->loop, &reader->timer);
  if (end == ASH_CALL_WHOLE && ash_time_before (reader->due, ash_clock_now ()))
    reader->trouble = ash_clock_now ();
  if (end == ASH_CALL_WHOLE)
    take_answer (reader);
  else
    fail (reader, end == ASH_CALL_NOT_SENT ? "can't connect" : "cut off");
}

static const struct ash_call_handler call_handler = { on_head, on_body, on_end };

/* How long the store may hold a question. A watch that brings nothing can't be told from one whose
 * answer was lost, so a few routers ask often, for the whole fleet: if all waited for 20 s, one
 * lost answer at each would leave all of them behind for as long. */
static uint32_t
watch_wait_ms (const struct ash_store_reader *reader)
{
  const struct ash_router_settings *settings = &reader->router->settings;
  uint32_t wait_ms =
      reader->part == ASH_STORE_SERVERS ? settings->list_wait_ms : settings->store_wait_ms;

  if (settings->short_wait_ms < wait_ms && ash_fleet_asks_often (&reader->router->fleet))
    return settings->short_wait_ms;
  return wait_ms;
}

/* How long an answer that is due at once may take. */
static int64_t
answer_due_ms (const struct ash_store_reader *reader)
{
  int64_t due_ms = ANSWER_SOON_MS;

  if (reader->answers)
    return ANSWER_SLACK_MS;
  for (uint32_t i = 0; i < reader->timeouts && due_ms < ANSWER_SLACK_MS; i++)
    due_ms *= 2;
  return due_ms < ANSWER_SLACK_MS ? due_ms : ANSWER_SLACK_MS;
}

/* Whether others ask for this part: all of it was read here once, and none of what they told since
 * was lost in a pause. */
static bool
may_follow (const struct ash_store_reader *reader)
{
  return !reader->paused && reader->place && !*reader->page && reader->state != ASH_STORE_LISTING &&
         !ash_fleet_reads_store (&reader->router->fleet);
}

static void
ask (struct ash_store_reader *reader)
{
  struct ash_router *router = reader->router;
  const struct ash_router_settings *settings = &router->settings;
  struct ash_buffer request = { 0 };
  /* A reader with trouble behind it asks for little at first: it learns sooner whether
   * the store is back. */
  uint32_t wait_ms = watch_wait_ms (reader);
  int64_t due_ms = answer_due_ms (reader);

  /* A place of a former era is none in this one. */
  if (ash_place_era (reader->place) < router->store.era)
    {
      reader->place = 0;
      *reader->page = '\0';
    }
  if (may_follow (reader))
    {
      ev_timer_stop (router->loop, &reader->timer);
      reader->state = ASH_STORE_FOLLOWING;
      return;
    }
  reader->listed = false;
  reader->status = 0;
  reader->asked = ash_clock_now ();
  reader->due = ash_time_add (reader->asked, OVERDUE_MS);
  reader->wait_ms = 0;
  ash_buffer_consume (&reader->answer, reader->answer.length);
  if (reader->place && !*reader->page && reader->state != ASH_STORE_LISTING)
    {
      reader->state = ASH_STORE_WATCHING;
      if (!reader->answers)
        wait_ms = 0;
      else
        due_ms = WATCH_SLACK_MS;
      due_ms += wait_ms;
      reader->wait_ms = wait_ms;
      reader->due = ash_time_add (reader->due, wait_ms);
      ash_platform_store_watch (&request, settings->store_address, reader->part,
                                ash_place_revision (reader->place), wait_ms);
    }
  else
    {
      if (!*reader->page)
        reader->listing++;
      reader->state = ASH_STORE_LISTING;
      ash_platform_store_range (&request, settings->store_address, reader->part,
                                *reader->page ? reader->page : NULL);
    }
  router->store.calls++;
  if (!ash_http_call_start (&reader->call, &router->store.pool, request.bytes + request.start,
                            request.length,
                            reader->suspicious ? ASH_TIME_NEVER : (struct ash_time){ 0 }))
    fail (reader, "no socket");
  else
    set_timer (reader, due_ms);
  ash_buffer_finish (&request);
}

/* Whether the store said nothing at all since the answer was due: not even to another reader. */
static bool
was_silent (const struct ash_store_reader *reader)
{
  const struct ash_store *store = &reader->router->store;

  if (!ash_time_before (reader->due, ash_clock_now ()))
    return false;
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    if (!ash_time_before (store->readers[part].answered, reader->due))
      return false;
  return true;
}

/* Entries may have lapsed meanwhile, and may be all that it tells when it is back, whichever
 * question shows the silence. */
static void
note_silence (struct ash_store *store, struct ash_time since)
{
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    if (ash_time_before (store->readers[part].trouble, since))
      store->readers[part].trouble = since;
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_store_reader *reader = timer->data;

  (void) loop;
  (void) events;
  if (reader->state == ASH_STORE_RESTING)
    {
      if (reader->listed && ash_fleet_linked (&reader->router->fleet))
        {
          reader->listed = false;
          rest (reader, FIRST_WATCH_MS - ALONE_MS);
        }
      else
        ask (reader);
      return;
    }
  ash_http_call_cancel (&reader->call);
  if (was_silent (reader))
    note_silence (&reader->router->store, reader->due);
  /* What ends the watch of a reader that was well says nothing of how slow the store is. */
  if (!reader->answers)
    reader->timeouts++;
  reader->suspicious = true;
  fail (reader, "no answer in time");
  /* What keeps one question from being answered may keep the other one too. */
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    ash_store_doubt (&reader->router->store, (enum ash_store_part) part, "the other one is silent");
}

/* ---- life ---- */

bool
ash_store_open (struct ash_store *store, struct ash_router *router)
{
  struct ash_time now = ash_clock_now ();

  store->router = router;
  if (!ash_http_pool_init (&store->pool, router->loop, router->settings.store_address))
    return false;
  store->pool.silence_ms = SILENCE_MS;
  store->digest = DIGEST_OF_NONE;
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      struct ash_store_reader *reader = &store->readers[part];

      *reader = (struct ash_store_reader){
        .router = router,
        .part = (enum ash_store_part) part,
        .call = { .handler = &call_handler, .owner = reader },
        .answered = now,
        .trouble = { now.ms - LAPSE_MS },
      };
      ev_timer_init (&reader->timer, on_timer, 0, 0);
      reader->timer.data = reader;
      ask (reader);
    }
  return true;
}

void
ash_store_close (struct ash_store *store)
{
  struct ash_store_entry *entry;
  struct ash_store_entry *next;

  if (!store->router)
    return;
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      ev_timer_stop (store->router->loop, &store->readers[part].timer);
      ash_http_call_cancel (&store->readers[part].call);
      ash_buffer_finish (&store->readers[part].answer);
    }
  ash_http_pool_finish (&store->pool);
  HASH_ITER (hh, store->entries, entry, next)
    drop_entry (store, entry);
  free (store->changes.ids);
}

bool
ash_store_answers (const struct ash_store *store, enum ash_store_part part)
{
  return store->readers[part].answers;
}

bool
ash_store_is_read (const struct ash_store *store, enum ash_store_part part)
{
  return store->readers[part].answers && store->readers[part].state != ASH_STORE_FOLLOWING;
}

bool
ash_store_is_followed (const struct ash_store *store, enum ash_store_part part)
{
  return store->readers[part].state == ASH_STORE_FOLLOWING;
}

void
ash_store_doubt (struct ash_store *store, enum ash_store_part part, const char *why)
{
  struct ash_store_reader *reader = &store->readers[part];

  /* Only a watch may wait; whatever else is under way has a short bound of its own, and so has an
   * answer that has begun to come. */
  if (reader->state != ASH_STORE_WATCHING || !reader->answers || reader->status ||
      ash_time_diff (reader->asked, ash_clock_now ()) < DOUBT_LEAST_MS)
    return;
  ash_http_call_cancel (&reader->call);
  reader->suspicious = true;
  fail (reader, why);
}

/* Whether a question that is asked now ends before the one under way may. */
static bool
asks_sooner (const struct ash_store_reader *reader, struct ash_time now)
{
  int64_t left_ms = reader->wait_ms - ash_time_diff (reader->asked, now);

  return reader->state == ASH_STORE_WATCHING && !reader->status &&
         left_ms > reader->router->settings.short_wait_ms && left_ms > watch_wait_ms (reader);
}

/* Those that asked for this router are gone or can't. What they told was whole up to its
 * revision. */
static void
stop_following (struct ash_store_reader *reader)
{
  uint64_t told = reader->router->endpoints.revision;

  if (reader->part == ASH_STORE_SERVERS && told > reader->place)
    reader->place = told;
  reader->state = ASH_STORE_WATCHING;
  ask (reader);
}

/* Those that an older copy has listed for so long that they must live. */
static void
take_back_departed (struct ash_store *store, struct ash_time now)
{
  uint64_t endpoint;

  while ((endpoint = ash_departed_due (&store->departed, now)))
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
ash_store_tick (struct ash_store *store, struct ash_time now)
{
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      struct ash_store_reader *reader = &store->readers[part];

      if (reader->state == ASH_STORE_FOLLOWING && ash_fleet_reads_store (&store->router->fleet))
        stop_following (reader);
      if (!asks_sooner (reader, now))
        continue;
      ash_http_call_cancel (&reader->call);
      ask (reader);
    }
  take_back_departed (store, now);
}

void
ash_store_behind (struct ash_store *store, struct ash_time since)
{
  store->doubtful_until = ash_time_add (since, BEHIND_LAPSE_MS);
}

void
ash_store_woke (struct ash_store *store)
{
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      struct ash_store_reader *reader = &store->readers[part];

      ash_http_call_cancel (&reader->call);
      reader->paused = true;
      fail (reader, "this process was paused");
    }
}

/* ---- peers ---- */

bool
ash_store_list (const struct ash_store *store, struct Ash__EndpointList *list)
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
  struct ash_time until = ash_time_add (ash_clock_now (), ms < LAPSE_MS ? (int64_t) ms : LAPSE_MS);

  if (ash_time_before (store->doubtful_until, until))
    store->doubtful_until = until;
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
ash_store_take_list (struct ash_store *store,
                     const struct Ash__EndpointList *list,
                     const char *source)
{
  struct ash_direct_set *endpoints = &store->router->endpoints;

  if (list->revision <= endpoints->revision)
    return true;
  if (list->since > endpoints->revision)
    return false;
  if (ash_place_era (list->revision) > store->era)
    begin_era (store, ash_place_era (list->revision), source);
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
