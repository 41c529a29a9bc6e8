#include "daemon/store.h"

#include "controllers/store_position.h"
#include "daemon/router.h"
#include "daemon/store_list.h"

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
 * notices a cut without any call that the store would count, long before a question that waits. */
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
 * back, and tell. If all of a large fleet tried on, a store that is away would get thousands of
 * calls. */
#define RETRY_OTHERS_MS 2500
#define RETRY_OTHERS_FACTOR 7

/* Like ASH_STORE_LAPSE_MS where peers know of the store's return first, from when they tell of a
 * newer list: its first change is a heartbeat (300 ms) older at most. An endpoint that has left
 * must get nothing more 2 s after the store has said so, so there is less time than above; it is
 * enough for those that renew their entries every 1.2 s. */
#define BEHIND_LAPSE_MS 1500

/* From a whole listing to the first question for changes: by then a router that starts with many
 * others sees those of its hall that ask, and most need not ask at all. A router that has no link
 * by the first of the two times does not wait for others. */
#define ALONE_MS 150
#define FIRST_WATCH_MS 1000

/* Without an answer for so long, the store is away: endpoints may have missed a heartbeat. */
#define AWAY_MS 800

/* When all endpoints start, each adds its entry by itself, and each question has a price.
 * So after a few answers in a row that changed the list, what comes next is gathered for a
 * while: a fifth of the time in which a leaving endpoint must have been noticed. */
#define BURST_ANSWERS 3
#define BURST_MS 400

/* ---- answers ---- */

static void
take_item (void *data, const struct ash_store_item *item)
{
  struct ash_store_reader *reader = data;
  struct ash_router *router = reader->router;

  switch (reader->part)
    {
    case ASH_STORE_CONFIG:
      if (!item->removed)
        ash_router_offer_config (router, (const char *) item->value, item->value_bytes, "store");
      break;
    case ASH_STORE_SERVERS:
      ash_store_list_item (reader, item, ash_store_position (router->store.era, item->revision));
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
  reader->state = ASH_STORE_DELAYED;
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

      if (other == reader || other->state != ASH_STORE_DELAYED || !other->failures)
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
  reader->distrust_idle = false;
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
  reader->state = ASH_STORE_DELAYED;
  ask (reader);
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

  if (reader->era_status == ASH_STORE_ERA_INVALID)
    {
      fail (reader, "its era can't be read");
      return false;
    }
  if (reader->era_status == ASH_STORE_ERA_NONE || reader->era == store->era)
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
  ash_store_begin_era (store, reader->era, "store");
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
  struct ash_store_item_handler taker = { take_item, reader };
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
  place = ash_store_position (router->store.era, answer.revision);
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
    ash_store_list_remove_unlisted (reader, reader->place ? reader->place : place);
  *reader->page = '\0';
  if (!listing || !reader->place)
    reader->place = place > reader->place ? place : reader->place;
  if (reader->part == ASH_STORE_SERVERS && reader->place > router->endpoints.revision)
    router->endpoints.revision = reader->place;
  if (reader->part == ASH_STORE_SERVERS && !listing)
    ash_store_list_publish (&router->store, since, reader->place);
  note_success (reader);
  reader->state = ASH_STORE_WATCHING;
  reader->just_listed = listing;
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
  reader->era_status = ash_platform_store_era (head, &reader->era);
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
  if (end == ASH_CALL_COMPLETE && ash_time_before (reader->due, ash_clock_now ()))
    reader->trouble = ash_clock_now ();
  if (end == ASH_CALL_COMPLETE)
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

  if (settings->short_wait_ms < wait_ms && ash_fleet_polls_often (&reader->router->fleet))
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
  if (ash_store_position_era (reader->place) < router->store.era)
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
  reader->just_listed = false;
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
                                ash_store_position_revision (reader->place), wait_ms);
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
                            reader->distrust_idle ? ASH_TIME_NEVER : (struct ash_time){ 0 }))
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
  if (reader->state == ASH_STORE_DELAYED)
    {
      if (reader->just_listed && ash_fleet_linked (&reader->router->fleet))
        {
          reader->just_listed = false;
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
  reader->distrust_idle = true;
  fail (reader, "no answer in time");
  /* What keeps one question from being answered may keep the other one too. */
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    ash_store_restart_watch (&reader->router->store, (enum ash_store_part) part,
                             "the other one is silent");
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
  ash_store_list_init (store);
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      struct ash_store_reader *reader = &store->readers[part];

      *reader = (struct ash_store_reader){
        .router = router,
        .part = (enum ash_store_part) part,
        .call = { .handler = &call_handler, .owner = reader },
        .answered = now,
        .trouble = { now.ms - ASH_STORE_LAPSE_MS },
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
  if (!store->router)
    return;
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      ev_timer_stop (store->router->loop, &store->readers[part].timer);
      ash_http_call_cancel (&store->readers[part].call);
      ash_buffer_finish (&store->readers[part].answer);
    }
  ash_http_pool_finish (&store->pool);
  ash_store_list_finish (store);
}

bool
ash_store_is_answering (const struct ash_store *store, enum ash_store_part part)
{
  return store->readers[part].answers;
}

bool
ash_store_is_polled (const struct ash_store *store, enum ash_store_part part)
{
  return store->readers[part].answers && store->readers[part].state != ASH_STORE_FOLLOWING;
}

bool
ash_store_is_followed (const struct ash_store *store, enum ash_store_part part)
{
  return store->readers[part].state == ASH_STORE_FOLLOWING;
}

void
ash_store_restart_watch (struct ash_store *store, enum ash_store_part part, const char *why)
{
  struct ash_store_reader *reader = &store->readers[part];

  /* Only a watch may wait; whatever else is under way has a short bound of its own, and so has an
   * answer that has begun to come. */
  if (reader->state != ASH_STORE_WATCHING || !reader->answers || reader->status ||
      ash_time_diff (reader->asked, ash_clock_now ()) < DOUBT_LEAST_MS)
    return;
  ash_http_call_cancel (&reader->call);
  reader->distrust_idle = true;
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
 * revision. Why they stopped is not known: in a silence of the store that this router has not seen
 * itself entries may have lapsed though their endpoints live. */
static void
stop_following (struct ash_store_reader *reader)
{
  struct ash_store *store = &reader->router->store;
  uint64_t told = reader->router->endpoints.revision;

  if (reader->part == ASH_STORE_SERVERS)
    {
      if (told > reader->place)
        reader->place = told;
      ash_store_expect_lapses (store, ash_clock_now ());
    }
  reader->state = ASH_STORE_WATCHING;
  ask (reader);
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
  ash_store_list_tick (store, now);
}

void
ash_store_expect_lapses (struct ash_store *store, struct ash_time since)
{
  struct ash_time until = ash_time_add (since, BEHIND_LAPSE_MS);

  if (ash_time_before (store->uncertain_until, until))
    store->uncertain_until = until;
}

void
ash_store_resume (struct ash_store *store)
{
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      struct ash_store_reader *reader = &store->readers[part];

      ash_http_call_cancel (&reader->call);
      reader->paused = true;
      fail (reader, "this process was paused");
    }
}
