#include "daemon/store.h"

#include "controllers/store_position.h"
#include "daemon/evacuation.h"
#include "daemon/router.h"
#include "daemon/store_list.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000.0

/* A request times out if no data of its answer arrives for this long: many times the usual few
 * milliseconds, so that a slow store does not get every request twice. */
#define ANSWER_TIMEOUT_MS 1500

/* An answer must be complete this long after its first part, so that one that comes slowly and
 * without end does not keep the router from reading others. */
#define ANSWER_MAX_MS 6000

/* Largest answer: the changes of the store's history, with values of up to a megabyte. */
#define ANSWER_MAX_BYTES (32 * 1024 * 1024)

/* Added to the waiting time of a watch to get its timeout. The answer to a watch is a single event
 * or none. With the waiting time of routers that poll often (1.5 s), a change whose answer was lost
 * is active 2.3 s later. */
#define WATCH_TIMEOUT_MARGIN_MS 700

/* A connection to the store is closed if it is silent for this long, including a keep-alive probe.
 * That is one second before the platform assumes that a box is reachable again. Probes detect a
 * network fault long before a pending watch times out, and without calls that count against the
 * store. */
#define CONNECTION_SILENCE_MS 2000

/* A request younger than this is not restarted: it may still be in transit. */
#define RESTART_MIN_AGE_MS 300

/* A watch without a change is answered when its waiting time ends, a listing immediately. An answer
 * that is this much later shows that the store was unavailable, and that endpoints could not renew
 * their entries. */
#define OVERDUE_MS 400

/* Timeout of an immediate answer if the store did not answer the last request: the kernel retries a
 * connection whose first packet was lost only after a second. Each timeout doubles it, up to
 * ANSWER_TIMEOUT_MS; otherwise a store that takes 500 ms for an answer could never be read. */
#define FIRST_ANSWER_TIMEOUT_MS 300

/* Delays between failed requests. The first is short, since most failures are one lost connection;
 * the longest is a small part of the time within which a change must be active. */
#define RETRY_FIRST_MS 50
#define RETRY_MAX_MS 400
#define RETRY_FACTOR 2

/* A page that can't be had although the store answers is left out after this many tries. */
#define PAGE_TRIES 3

/* Maximum delay between requests for a page that was left out, while the store answers others: if
 * all routers of a large fleet start beside such a page, together they stay far below the calls
 * that the store allows. */
#define GAP_RETRY_MAX_MS 2500

/* Maximum delay between failed requests, and the factor by which the delay grows, for a router that
 * is not among the first of its hall: the first ones detect that the store is back, and forward its
 * changes. If all routers of a large fleet kept retrying, an unreachable store would get thousands
 * of calls. */
#define HALL_RETRY_MAX_MS 2500
#define HALL_RETRY_FACTOR 7

/* Like ASH_STORE_LAPSE_MS, but counted from the time at which peers report a newer list, if this
 * shows that the store is back before this router notices it: the first change after the store's
 * return is then at most one heartbeat period (300 ms) old. An endpoint that has left must get no
 * more requests 2 s after the store has removed it, so this is shorter than ASH_STORE_LAPSE_MS; it
 * suffices for endpoints that renew their entries every 1.2 s. */
#define BEHIND_LAPSE_MS 1500

/* Delays between a complete listing and the first watch. A router that has no link after
 * ISOLATED_WAIT_MS starts the watch then. Other routers wait for FIRST_WATCH_DELAY_MS: by then a
 * router that starts together with many others is linked to those of its hall that poll the store,
 * and most routers need not poll at all. */
#define ISOLATED_WAIT_MS 150
#define FIRST_WATCH_DELAY_MS 1000

/* After this long without an answer the store counts as unavailable: endpoints may have missed a
 * heartbeat to it. */
#define OUTAGE_MS 800

/* When all endpoints start, each adds its own entry, and every request to the store has a cost. So
 * after this many consecutive answers that changed the list, the next watch is delayed to collect
 * changes. The delay is a fifth of the time within which a leaving endpoint must be noticed. */
#define BURST_ANSWERS 3
#define BURST_DELAY_MS 400

/* ---- answers ---- */

static void
handle_item (void *data, const struct ash_store_item *item)
{
  struct ash_store_reader *reader = data;
  struct ash_router *router = reader->router;
  uint64_t position = ash_store_position (router->store.era, item->revision);

  switch (item->kind)
    {
    case ASH_STORE_ITEM_CONFIG:
      if (!item->removed)
        ash_router_offer_config (router, (const char *) item->value, item->value_bytes, "store");
      break;
    case ASH_STORE_ITEM_EVACUATION:
      ash_evacuation_item (router, item, position, reader->listing_id);
      break;
    case ASH_STORE_ITEM_SERVER:
      ash_store_list_item (reader, item, position);
      break;
    case ASH_STORE_ITEM_FOREIGN:
      ash_store_list_foreign (&router->store, item);
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
delay (struct ash_store_reader *reader, int64_t ms)
{
  reader->state = ASH_STORE_DELAYED;
  set_timer (reader, ms);
}

/* Whether other routers of the hall retry on behalf of this one. A router that has read nothing yet
 * must retry itself. */
static bool
relies_on_hall (const struct ash_store_reader *reader)
{
  return reader->position && !*reader->pages.page &&
         !ash_fleet_first_of_hall (&reader->router->fleet);
}

/* Whether the store answers, but not with the page that was left out: the router serves from the
 * others. */
static bool
lacks_page_only (const struct ash_store_reader *reader)
{
  const struct ash_store *store = &reader->router->store;

  for (int part = 0; part < ASH_STORE_PARTS; part++)
    if (&store->readers[part] != reader && !store->readers[part].is_answering)
      return false;
  return reader->pages.filling;
}

static int64_t
retry_max_ms (const struct ash_store_reader *reader, bool relies)
{
  if (relies)
    return HALL_RETRY_MAX_MS;
  return lacks_page_only (reader) ? GAP_RETRY_MAX_MS : RETRY_MAX_MS;
}

/* @return the delay before a failed request is retried. */
static int64_t
retry_ms (const struct ash_store_reader *reader)
{
  const struct ash_store_reader *list = &reader->router->store.readers[ASH_STORE_SERVERS];
  bool relies = relies_on_hall (reader);
  int64_t max_ms = retry_max_ms (reader, relies);
  int64_t wait_ms = RETRY_FIRST_MS;

  /* Only the reader of the list retries before the maximum delay: one request at a time shows
   * whether the store is back. */
  if (relies && reader != list && list->failures > 1)
    return max_ms;
  for (uint32_t i = 1; i < reader->failures && wait_ms < max_ms; i++)
    wait_ms *= relies ? HALL_RETRY_FACTOR : RETRY_FACTOR;
  return wait_ms;
}

/* Leaves out a page that can't be had although the store answers. */
static void
skip_page (struct ash_store_reader *reader)
{
  struct ash_store_pages *pages = &reader->pages;
  const char *prefix = ash_platform_store_prefix (reader->part);

  if (reader->state != ASH_STORE_LISTING || !reader->status || reader->failures < PAGE_TRIES)
    return;
  if (ash_store_pages_skip (pages, strlen (prefix)))
    ash_log_event (&reader->router->log, ASH_EV_PAGE_SKIPPED,
                   "part=%d left_out=\"%s\" page=\"%s\" tries=%u", (int) reader->part, pages->gap,
                   pages->page, reader->failures);
}

static void
handle_failure (struct ash_store_reader *reader, const char *why)
{
  struct ash_router *router = reader->router;
  struct ash_time now = ash_clock_now ();
  int64_t wait_ms;

  if (reader->is_answering || !reader->failures)
    ash_log_event (&router->log, ASH_EV_PLATFORM_DOWN,
                   "part=%d why=\"%s\" status=%u revision=%" PRIu64 " page=\"%s\" age_ms=%lld",
                   (int) reader->part, why, reader->status, reader->position, reader->pages.page,
                   (long long) ash_time_diff (reader->last_answer, now));
  if (!reader->failures)
    reader->failing_since = now;
  /* A single lost connection does not make the list unreliable; a store that stays unreachable
   * does. */
  if (ash_time_diff (reader->failing_since, now) > OUTAGE_MS)
    reader->last_outage = now;
  /* A listing goes on with the page that failed, or with one after it: what has been read of it is
   * kept, and changes are watched from its first page's position on. */
  reader->is_answering = false;
  reader->failures++;
  skip_page (reader);
  wait_ms = retry_ms (reader);
  /* Random, 0.5 to 1.5 times the delay, so that routers that failed together don't retry
   * together. */
  wait_ms = wait_ms / 2 + ash_random_below (&router->random, (uint32_t) wait_ms + 1);
  delay (reader, wait_ms);
}

static void send_request (struct ash_store_reader *reader);

/* The store answers again: the other reader retries immediately. */
static void
retry_other_readers (const struct ash_store_reader *reader)
{
  struct ash_store *store = &reader->router->store;

  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      struct ash_store_reader *other = &store->readers[part];

      if (other == reader || other->state != ASH_STORE_DELAYED || !other->failures)
        continue;
      ev_timer_stop (reader->router->loop, &other->timer);
      send_request (other);
    }
}

static void
record_success (struct ash_store_reader *reader)
{
  bool had_failed = reader->failures > 0;

  if (!reader->is_answering)
    ash_log_event (&reader->router->log, ASH_EV_PLATFORM_UP, "part=%d revision=%" PRIu64,
                   (int) reader->part, reader->position);
  reader->is_answering = true;
  reader->failures = 0;
  reader->timeouts = 0;
  reader->distrust_idle = false;
  reader->was_suspended = false;
  reader->last_answer = ash_clock_now ();
  if (had_failed)
    retry_other_readers (reader);
}

/* Counts answers that changed the list, and restarts from 0 after a pause. @return whether there
 * were several within a short time. */
static bool
is_burst (struct ash_store_reader *reader)
{
  struct ash_time now = ash_clock_now ();

  if (!reader->list_changed)
    return false;
  if (ash_time_diff (reader->list_changed_at, now) > 2 * BURST_DELAY_MS)
    reader->burst = 0;
  reader->list_changed_at = now;
  return ++reader->burst > BURST_ANSWERS;
}

static void
restart_listing (struct ash_store_reader *reader)
{
  reader->position = 0;
  reader->pages = (struct ash_store_pages){ 0 };
  reader->state = ASH_STORE_DELAYED;
  send_request (reader);
}

/* Restarts the listings of the other parts after a change of the store's era. The restored store
 * assigns revisions that it had assigned before, so its contents at a revision may differ from
 * those that were read at the same revision. */
static void
restart_other_listings (const struct ash_store_reader *reader)
{
  struct ash_store *store = &reader->router->store;

  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      struct ash_store_reader *other = &store->readers[part];

      if (other == reader || other->state == ASH_STORE_FOLLOWING)
        continue;
      ash_http_call_cancel (&other->call);
      restart_listing (other);
    }
}

/* Checks the era of an answer. @return false: the answer must not be used. */
static bool
check_era (struct ash_store_reader *reader)
{
  struct ash_store *store = &reader->router->store;
  bool first = !store->era && !reader->position && reader->state == ASH_STORE_LISTING &&
               !*reader->pages.page;

  if (reader->era_status == ASH_STORE_ERA_INVALID)
    {
      handle_failure (reader, "its era can't be read");
      return false;
    }
  if (reader->era_status == ASH_STORE_ERA_NONE || reader->era == store->era)
    return true;
  if (reader->era < store->era)
    {
      handle_failure (reader, "answer from an older era");
      return false;
    }
  if (first && !store->entries && !ash_router_version (reader->router))
    {
      /* The first answer from the store: nothing is known from another era. */
      store->era = reader->era;
      return true;
    }
  ash_store_begin_era (store, reader->era, "store");
  restart_other_listings (reader);
  if (reader->state == ASH_STORE_LISTING && !*reader->pages.page && !reader->position)
    return true;
  restart_listing (reader);
  return false;
}

/* What a complete listing lacks has been removed. @param position the store position of the
 * listing's first page. */
static void
handle_listing_end (struct ash_store_reader *reader, uint64_t position)
{
  switch (reader->part)
    {
    case ASH_STORE_CONFIG:
      ash_evacuation_listing_end (reader->router, position, reader->listing_id);
      break;
    case ASH_STORE_SERVERS:
      ash_store_list_remove_unlisted (reader, position);
      break;
    }
}

/* Goes on to the next page. */
static void
read_next_page (struct ash_store_reader *reader, uint64_t position)
{
  /* The pages are not a snapshot: changes are watched from the position of the first page on. */
  if (!reader->position)
    reader->position = position;
  reader->failures = 0;
  send_request (reader);
}

/* @return whether the list has been read to its end. */
static bool
handle_page (struct ash_store_reader *reader,
             const struct ash_store_answer *answer,
             uint64_t position)
{
  switch (ash_store_pages_advance (&reader->pages, answer->more, answer->next_page))
    {
    case ASH_STORE_PAGES_NEXT:
      read_next_page (reader, position);
      return false;
    case ASH_STORE_PAGES_NOT_FORWARD:
      handle_failure (reader, "the next page does not follow");
      return false;
    case ASH_STORE_PAGES_END:
      break;
    }
  return true;
}

static void
handle_answer (struct ash_store_reader *reader)
{
  struct ash_router *router = reader->router;
  struct ash_store_item_handler taker = { handle_item, reader };
  struct ash_store_answer answer;
  bool listing = reader->state == ASH_STORE_LISTING;
  uint64_t since = reader->position;
  uint64_t position;

  reader->list_changed = false;
  if (reader->part == ASH_STORE_SERVERS)
    router->store.changes.count = 0;
  if (!check_era (reader))
    return;
  if (reader->status == 410)
    {
      /* The store no longer has all changes since the position: restarts the listing. Entries that
       * the new listing lacks were removed in between. */
      restart_listing (reader);
      return;
    }
  if (reader->status != 200 ||
      !ash_platform_store_read ((const char *) reader->answer.bytes + reader->answer.start,
                                reader->answer.length, &taker, &answer))
    {
      handle_failure (reader, reader->status == 200 ? "malformed answer" : "refused");
      return;
    }
  position = ash_store_position (router->store.era, answer.revision);
  if (listing && !handle_page (reader, &answer, position))
    return;
  if (listing)
    {
      handle_listing_end (reader, reader->position ? reader->position : position);
      reader->has_listed = true;
    }
  reader->pages = (struct ash_store_pages){ 0 };
  if (!listing || !reader->position)
    reader->position = position > reader->position ? position : reader->position;
  if (reader->part == ASH_STORE_SERVERS && reader->position > router->endpoints.revision)
    router->endpoints.revision = reader->position;
  if (reader->part == ASH_STORE_SERVERS && !listing)
    ash_store_list_publish (&router->store, since, reader->position);
  record_success (reader);
  reader->state = ASH_STORE_WATCHING;
  reader->just_listed = listing;
  if (listing)
    delay (reader, ISOLATED_WAIT_MS);
  else if (is_burst (reader))
    delay (reader, BURST_DELAY_MS);
  else
    send_request (reader);
}

/* ---- calls ---- */

static enum ash_call_choice
on_head (struct ash_http_call *call, const struct ash_http_head *head)
{
  struct ash_store_reader *reader = call->owner;

  reader->status = head->status;
  reader->answer_began = ash_clock_now ();
  reader->era_status = ash_platform_store_era (head, &reader->era);
  return ASH_CALL_ACCEPT;
}

static bool
on_body (struct ash_http_call *call, const uint8_t *bytes, size_t length)
{
  struct ash_store_reader *reader = call->owner;
  int64_t left_ms = ANSWER_MAX_MS - ash_time_diff (reader->answer_began, ash_clock_now ());

  /* The timeout restarts with each part of the answer: repeating a request over a slow link would
   * not be faster. */
  if (left_ms > 0)
    set_timer (reader, left_ms < ANSWER_TIMEOUT_MS ? left_ms : ANSWER_TIMEOUT_MS);
  return ash_buffer_append (&reader->answer, bytes, length);
}

/* @return why a call failed, for the log. */
static const char *
failure_text (enum ash_call_end end)
{
  switch (end)
    {
    case ASH_CALL_NOT_SENT:
      return "can't connect";
    case ASH_CALL_TRUNCATED:
      return "cut off";
    case ASH_CALL_MALFORMED:
      return "malformed answer";
    case ASH_CALL_COMPLETE:
      break;
    }
  return "";
}

static void
on_end (struct ash_http_call *call, enum ash_call_end end)
{
  struct ash_store_reader *reader = call->owner;

  ev_timer_stop (reader->router->loop, &reader->timer);
  if (end == ASH_CALL_COMPLETE && ash_time_before (reader->overdue_at, ash_clock_now ()))
    reader->last_outage = ash_clock_now ();
  if (end == ASH_CALL_COMPLETE)
    handle_answer (reader);
  else
    handle_failure (reader, failure_text (end));
}

static const struct ash_call_handler call_handler = { on_head, on_body, on_end };

/* @return how long the store may wait with the answer to a watch. A watch without changes looks the
 * same as one whose answer was lost, so a few routers poll often for the whole fleet: if all waited
 * for 20 s, one lost answer at each would leave them all outdated for as long. */
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

/* @return the timeout of a request that the store should answer immediately. */
static int64_t
answer_timeout_ms (const struct ash_store_reader *reader)
{
  int64_t timeout_ms = FIRST_ANSWER_TIMEOUT_MS;

  if (reader->is_answering)
    return ANSWER_TIMEOUT_MS;
  for (uint32_t i = 0; i < reader->timeouts && timeout_ms < ANSWER_TIMEOUT_MS; i++)
    timeout_ms *= 2;
  return timeout_ms < ANSWER_TIMEOUT_MS ? timeout_ms : ANSWER_TIMEOUT_MS;
}

/* Whether this reader may leave polling to other routers: these poll the store, and this reader has
 * read everything once and lost no forwarded changes in a suspension of the process. */
static bool
may_follow (const struct ash_store_reader *reader)
{
  return !reader->was_suspended && reader->position && !*reader->pages.page &&
         reader->state != ASH_STORE_LISTING && !ash_fleet_reads_store (&reader->router->fleet);
}

static void
send_request (struct ash_store_reader *reader)
{
  struct ash_router *router = reader->router;
  const struct ash_router_settings *settings = &router->settings;
  struct ash_buffer request = { 0 };
  /* After a failure the first watch has no waiting time: its answer shows sooner whether the store
   * is back. */
  uint32_t wait_ms = watch_wait_ms (reader);
  int64_t timeout_ms = answer_timeout_ms (reader);

  /* A position of an older era is not valid in the store's present era. */
  if (ash_store_position_era (reader->position) < router->store.era)
    {
      reader->position = 0;
      reader->pages = (struct ash_store_pages){ 0 };
    }
  if (may_follow (reader))
    {
      ev_timer_stop (router->loop, &reader->timer);
      reader->state = ASH_STORE_FOLLOWING;
      return;
    }
  reader->just_listed = false;
  reader->status = 0;
  reader->requested_at = ash_clock_now ();
  reader->overdue_at = ash_time_add (reader->requested_at, OVERDUE_MS);
  reader->wait_ms = 0;
  ash_buffer_consume (&reader->answer, reader->answer.length);
  if (reader->position && !*reader->pages.page && reader->state != ASH_STORE_LISTING)
    {
      reader->state = ASH_STORE_WATCHING;
      if (!reader->is_answering)
        wait_ms = 0;
      else
        timeout_ms = WATCH_TIMEOUT_MARGIN_MS;
      timeout_ms += wait_ms;
      reader->wait_ms = wait_ms;
      reader->overdue_at = ash_time_add (reader->overdue_at, wait_ms);
      ash_platform_store_watch (&request, settings->store_address, reader->part,
                                ash_store_position_revision (reader->position), wait_ms);
    }
  else
    {
      if (!*reader->pages.page)
        reader->listing_id++;
      reader->state = ASH_STORE_LISTING;
      ash_platform_store_range (&request, settings->store_address, reader->part,
                                *reader->pages.page ? reader->pages.page : NULL);
    }
  router->store.calls++;
  if (!ash_http_call_start (&reader->call, &router->store.pool, request.bytes + request.start,
                            request.length,
                            reader->distrust_idle ? ASH_TIME_NEVER : (struct ash_time){ 0 }))
    handle_failure (reader, "can't open a socket");
  else
    set_timer (reader, timeout_ms);
  ash_buffer_finish (&request);
}

/* Whether no reader has received a valid answer from the store since this reader's answer was
 * due. */
static bool
was_silent (const struct ash_store_reader *reader)
{
  const struct ash_store *store = &reader->router->store;

  if (!ash_time_before (reader->overdue_at, ash_clock_now ()))
    return false;
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    if (!ash_time_before (store->readers[part].last_answer, reader->overdue_at))
      return false;
  return true;
}

/* Records that the store has been unavailable since `since`. Entries may have expired meanwhile,
 * and the list may lack them when the store is back, whichever request shows that it was
 * unavailable. */
static void
record_outage (struct ash_store *store, struct ash_time since)
{
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    if (ash_time_before (store->readers[part].last_outage, since))
      store->readers[part].last_outage = since;
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
          delay (reader, FIRST_WATCH_DELAY_MS - ISOLATED_WAIT_MS);
        }
      else
        send_request (reader);
      return;
    }
  ash_http_call_cancel (&reader->call);
  if (was_silent (reader))
    record_outage (&reader->router->store, reader->overdue_at);
  /* The timeout of a watch, after the last request was answered, does not show that the store is
   * slow. */
  if (!reader->is_answering)
    reader->timeouts++;
  reader->distrust_idle = true;
  handle_failure (reader, "no answer in time");
  /* The fault that blocks one request may block the other reader's too. */
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    ash_store_restart_watch (&reader->router->store, (enum ash_store_part) part,
                             "the other request timed out");
}

/* ---- start and end ---- */

bool
ash_store_open (struct ash_store *store, struct ash_router *router)
{
  struct ash_time now = ash_clock_now ();

  store->router = router;
  if (!ash_http_pool_init (&store->pool, router->loop, router->settings.store_address))
    return false;
  store->pool.silence_ms = CONNECTION_SILENCE_MS;
  store->pool.body_max_bytes = ANSWER_MAX_BYTES;
  ash_store_list_init (store);
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      struct ash_store_reader *reader = &store->readers[part];

      *reader = (struct ash_store_reader){
        .router = router,
        .part = (enum ash_store_part) part,
        .call = { .handler = &call_handler, .owner = reader },
        .last_answer = now,
        .last_outage = { now.ms - ASH_STORE_LAPSE_MS },
      };
      ev_timer_init (&reader->timer, on_timer, 0, 0);
      reader->timer.data = reader;
      send_request (reader);
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
  return store->readers[part].is_answering;
}

bool
ash_store_is_polled (const struct ash_store *store, enum ash_store_part part)
{
  return store->readers[part].is_answering && store->readers[part].state != ASH_STORE_FOLLOWING;
}

bool
ash_store_list_is_complete (const struct ash_store *store)
{
  return store->readers[ASH_STORE_SERVERS].has_listed;
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

  /* Only a watch waits for long: all other requests have a short timeout, and so has an answer that
   * has begun to arrive. */
  if (reader->state != ASH_STORE_WATCHING || !reader->is_answering || reader->status ||
      ash_time_diff (reader->requested_at, ash_clock_now ()) < RESTART_MIN_AGE_MS)
    return;
  ash_http_call_cancel (&reader->call);
  reader->distrust_idle = true;
  handle_failure (reader, why);
}

/* Whether a watch that is sent now would end before the waiting time of the current one does. */
static bool
would_finish_sooner (const struct ash_store_reader *reader, struct ash_time now)
{
  int64_t left_ms = reader->wait_ms - ash_time_diff (reader->requested_at, now);

  return reader->state == ASH_STORE_WATCHING && !reader->status &&
         left_ms > reader->router->settings.short_wait_ms && left_ms > watch_wait_ms (reader);
}

/* Starts to poll: the routers that polled the store for this one have disappeared or can't reach
 * it. What they forwarded is complete up to the list's revision. This router does not know why they
 * stopped: the store may have been unavailable, and entries may have expired although their
 * endpoints run. */
static void
stop_following (struct ash_store_reader *reader)
{
  struct ash_store *store = &reader->router->store;
  uint64_t position = reader->router->endpoints.revision;

  if (reader->part == ASH_STORE_SERVERS)
    {
      if (position > reader->position)
        reader->position = position;
      ash_store_expect_lapses (store, ash_clock_now ());
    }
  reader->state = ASH_STORE_WATCHING;
  send_request (reader);
}

void
ash_store_tick (struct ash_store *store, struct ash_time now)
{
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      struct ash_store_reader *reader = &store->readers[part];

      if (reader->state == ASH_STORE_FOLLOWING && ash_fleet_reads_store (&store->router->fleet))
        stop_following (reader);
      if (!would_finish_sooner (reader, now))
        continue;
      ash_http_call_cancel (&reader->call);
      send_request (reader);
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
      reader->was_suspended = true;
      handle_failure (reader, "this process was suspended");
    }
}
