#include "daemon/groups.h"

#include "controllers/pass_watch.h"
#include "daemon/router.h"
#include "platform/rank.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define TICK_S 0.02

/* A question or order without an answer is given up after this; orders are then sent
 * again. Engines answer within a round trip, a few milliseconds. */
#define CALL_MS 400

/* Counts that have not come by then are done without. */
#define COUNTS_WAIT_MS 150

/* A router that has just come to lead waits: the one before may still be finishing. */
#define LEAD_WAIT_MS 700

/* From one look at the counts to the next after passes have become longer: a few passes,
 * each with some tokens of every stream. */
#define COUNTS_PAUSE_MS 150

/* Passes that stay long are looked at again after this: a change of a map takes as long. */
#define LOOK_AGAIN_MS 900

#define BITS_PER_MB 8.0

/* Within so many passes of an epoch all counts are of what is asked for now. */
#define FIRST_PASSES 40

/* How often an endpoint that is in no group as yet is asked. */
#define REPORT_ALONE_MS 1000

/** A question or order under way. */
struct rank_call
{
  struct ash_http_call call;
  struct ash_rank_box *box;
  bool is_order;
  enum ash_rank_question question;
  struct ash_rank_order order;
  uint16_t status;
  struct ash_buffer answer;
  struct ash_time sent;
  struct rank_call *prev;
  struct rank_call *next;
};

/** An endpoint with an engine. */
struct ash_rank_box
{
  struct ash_groups *groups;
  uint64_t hash;
  char address[ASH_DIRECT_NAME_BYTES];
  struct ash_http_pool pool;
  struct ash_rank_group *group; /* NULL: not known, or in none */
  uint32_t rank;
  struct ash_time asked[3]; /* by question */
  struct rank_call *calls;
  bool has_counts;
  uint64_t counts_epoch;
  uint64_t counts[ASH_LAYERS_MAX * ASH_LAYER_EXPERTS_MAX]; /* as last read */
  UT_hash_handle hh;
};

/** A group. */
struct ash_rank_group
{
  char name[ASH_GROUP_NAME_BYTES];
  struct ash_map_switch sw;
  struct ash_rank_box *boxes[ASH_LAYER_RANKS_MAX];
  struct ash_layer_map map; /* in use */
  bool listed[ASH_LAYER_RANKS_MAX];
  uint64_t lists_epoch;
  struct ash_layer_map next; /* that it is being changed to */
  struct ash_pass_watch watch;
  double skew;    /* that the map in use is believed to have */
  bool undecided; /* there is something to decide on */
  UT_hash_handle hh;
};

static void send_question (struct ash_rank_box *box, enum ash_rank_question question);

/* The engine's facts of the one service that has experts; NULL if there is none. */
static const struct ash_route_service *
expert_service (const struct ash_groups *groups)
{
  const struct ash_route_table *table = groups->router->table;

  for (uint32_t i = 0; table && i < table->service_count; i++)
    if (table->services[i].has_engine && table->services[i].engine.layers)
      return &table->services[i];
  return NULL;
}

/* ---- maps as they are in use ---- */

static void
forget_map (struct ash_rank_group *group)
{
  memset (group->listed, 0, sizeof group->listed);
}

/* All ranks have told their part, and it is of the map that they use. */
static bool
map_is_known (const struct ash_rank_group *group)
{
  for (uint32_t i = 0; i < group->sw.rank_count; i++)
    if (!group->listed[i] || group->sw.ranks[i].report.map != group->map.version)
      return false;
  return group->lists_epoch == group->sw.epoch;
}

static void
init_map (const struct ash_route_service *service, struct ash_rank_group *group)
{
  const struct ash_engine_facts *engine = &service->engine;

  group->map = (struct ash_layer_map){
    .layer_count = engine->layers,
    .rank_count = group->sw.rank_count,
    .slot_count = engine->rank_slots,
    .expert_count = engine->experts,
  };
}

static bool
fits (const struct ash_engine_facts *engine)
{
  return engine->layers <= ASH_LAYERS_MAX && engine->experts <= ASH_LAYER_EXPERTS_MAX &&
         engine->rank_slots <= ASH_LAYER_SLOTS_MAX;
}

/* ---- what comes back ---- */

static struct ash_rank_group *
find_group (struct ash_groups *groups, const struct ash_rank_report *report)
{
  const struct ash_route_service *service = expert_service (groups);
  struct ash_rank_group *group;

  HASH_FIND_STR (groups->groups, report->group, group);
  if (group || !service || !fits (&service->engine) || report->rank_count > ASH_LAYER_RANKS_MAX ||
      !report->rank_count)
    return group;
  group = calloc (1, sizeof *group);
  if (!group)
    return NULL;
  snprintf (group->name, sizeof group->name, "%s", report->group);
  ash_map_switch_init (&group->sw, report->rank_count, service->engine.report_lag_ms,
                       ash_fleet_index (&groups->router->fleet));
  init_map (service, group);
  HASH_ADD_STR (groups->groups, name, group);
  return group;
}

static void
log_result (struct ash_rank_group *group, struct ash_groups *groups, struct ash_time now)
{
  struct ash_map_switch *sw = &group->sw;
  bool good = sw->result == ASH_MAP_CHANGED || sw->result == ASH_MAP_FINISHED;

  ash_log_event (&groups->router->log, good ? ASH_EV_MAP_CHANGED : ASH_EV_MAP_GIVEN_UP,
                 "group=%s epoch=%" PRIu64 " result=%d step=%" PRIu64 " took_ms=%lld holds=%u",
                 group->name, sw->epoch, (int) sw->result, sw->released,
                 (long long) ash_time_diff (sw->began, now), sw->holds);
}

static void
take_result (struct ash_rank_group *group, struct ash_groups *groups, struct ash_time now)
{
  struct ash_map_switch *sw = &group->sw;

  if (sw->result == ASH_MAP_NONE)
    return;
  log_result (group, groups, now);
  if (sw->result == ASH_MAP_CHANGED)
    {
      group->map = group->next;
      /* What the ranks report will lag behind; this router knows better. */
      for (uint32_t i = 0; i < sw->rank_count; i++)
        ash_map_switch_uses (sw, i, sw->epoch, group->map.version);
      ash_pass_watch_reset (&group->watch);
    }
  else
    {
      forget_map (group);
      for (uint32_t i = 0; i < sw->rank_count; i++)
        sw->ranks[i].known = false;
    }
  sw->result = ASH_MAP_NONE;
}

static void
take_report (struct ash_rank_box *box, const struct ash_rank_report *report)
{
  struct ash_groups *groups = box->groups;
  struct ash_time now = ash_clock_now ();
  struct ash_rank_group *group = *report->group ? find_group (groups, report) : NULL;
  uint64_t epoch;

  if (!group || report->rank >= group->sw.rank_count)
    return;
  if (box->group && box->group != group)
    box->group->boxes[box->rank] = NULL;
  box->group = group;
  box->rank = report->rank;
  group->boxes[report->rank] = box;
  epoch = group->sw.epoch;
  ash_map_switch_report (&group->sw, now, report);
  if (group->sw.epoch != epoch)
    {
      ash_log_event (&groups->router->log, ASH_EV_MAP_EPOCH,
                     "group=%s epoch=%" PRIu64 " before=%" PRIu64 " broken=%d", group->name,
                     group->sw.epoch, epoch, report->broken);
      forget_map (group);
    }
  take_result (group, groups, now);
}

/* Adds what is new since the box was last asked. */
static void
add_counts (struct ash_rank_box *box, const struct ash_rank_counts *counts)
{
  struct ash_groups *groups = box->groups;
  bool goes_on = box->has_counts && box->counts_epoch == counts->epoch;

  for (uint32_t i = 0; i < counts->count; i++)
    {
      uint64_t before = goes_on && box->counts[i] <= counts->numbers[i] ? box->counts[i] : 0;

      if (groups->counts_state == ASH_COUNTS_ASKED)
        groups->counts[i] += (double) (counts->numbers[i] - before);
      box->counts[i] = counts->numbers[i];
    }
  box->has_counts = true;
  box->counts_epoch = counts->epoch;
}

static void
take_counts (struct ash_rank_box *box, const struct rank_call *call)
{
  struct ash_groups *groups = box->groups;
  struct ash_layer_policy *policy = groups->policy;
  uint32_t wanted = policy ? policy->layer_count * policy->expert_count : 0;
  struct ash_rank_counts counts = { .numbers = calloc (wanted + 1, sizeof *counts.numbers) };

  if (groups->counts_awaited)
    groups->counts_awaited--;
  if (counts.numbers)
    ash_platform_counts_read ((const char *) call->answer.bytes + call->answer.start,
                              call->answer.length, wanted, &counts);
  groups->reads += counts.count;
  if (wanted && counts.count == wanted)
    {
      if (box->group && box->group->sw.epoch == counts.epoch)
        ash_map_switch_step (&box->group->sw, ash_clock_now (), counts.step);
      add_counts (box, &counts);
    }
  free (counts.numbers);
}

static void
take_lists (struct ash_rank_box *box, const struct rank_call *call)
{
  struct ash_rank_group *group = box->group;
  uint64_t version;
  uint64_t epoch;

  if (!group)
    return;
  version = group->map.version;
  if (!ash_platform_lists_read ((const char *) call->answer.bytes + call->answer.start,
                                call->answer.length, box->rank, &group->map, &epoch))
    {
      ash_log_event (&box->groups->router->log, ASH_EV_MAP_GIVEN_UP,
                     "group=%s rank=%u why=\"unreadable lists\" bytes=%zu", group->name, box->rank,
                     call->answer.length);
      forget_map (group);
      return;
    }
  /* Parts of two maps do not make one. */
  if (version != group->map.version || epoch != group->lists_epoch)
    forget_map (group);
  group->lists_epoch = epoch;
  group->listed[box->rank] = true;
  /* Lists do not lag as reports do. */
  ash_map_switch_uses (&group->sw, box->rank, epoch, group->map.version);
}

static void
take_answer (struct rank_call *call)
{
  struct ash_rank_box *box = call->box;
  struct ash_rank_report report;

  switch (call->question)
    {
    case ASH_RANK_REPORT:
      if (ash_platform_report_read ((const char *) call->answer.bytes + call->answer.start,
                                    call->answer.length, &report))
        take_report (box, &report);
      break;
    case ASH_RANK_COUNTS:
      take_counts (box, call);
      break;
    case ASH_RANK_LISTS:
      take_lists (box, call);
      break;
    }
}

static void
free_call (struct rank_call *call)
{
  ash_http_call_cancel (&call->call);
  DL_DELETE (call->box->calls, call);
  ash_buffer_finish (&call->answer);
  free (call);
}

static void
answer_order (struct rank_call *call, uint16_t status)
{
  struct ash_rank_box *box = call->box;
  struct ash_time now = ash_clock_now ();

  if (!box->group)
    return;
  if (status >= 300)
    ash_log_event (&box->groups->router->log, ASH_EV_MAP_ORDER_REFUSED,
                   "group=%s rank=%u order=%d version=%" PRIu64 " step=%" PRIu64 " status=%u",
                   box->group->name, box->rank, (int) call->order.kind, call->order.version,
                   call->order.step, status);
  ash_map_switch_answered (&box->group->sw, now, &call->order, status);
  take_result (box->group, box->groups, now);
}

static bool
on_head (struct ash_http_call *http_call, const struct ash_http_head *head)
{
  struct rank_call *call = http_call->owner;

  call->status = head->status;
  return true;
}

static void
on_body (struct ash_http_call *http_call, const uint8_t *bytes, size_t length)
{
  struct rank_call *call = http_call->owner;

  ash_buffer_append (&call->answer, bytes, length);
}

static void send_orders (struct ash_rank_group *group, struct ash_groups *groups);

static void
on_end (struct ash_http_call *http_call, enum ash_call_end end)
{
  struct rank_call *call = http_call->owner;
  struct ash_rank_box *box = call->box;
  uint16_t status = end == ASH_CALL_WHOLE ? call->status : 0;

  if (call->is_order)
    answer_order (call, status);
  else if (status == 200)
    take_answer (call);
  free_call (call);
  /* The next orders of a change leave at once: the group may be held. */
  if (box->group)
    send_orders (box->group, box->groups);
}

static const struct ash_call_handler call_handler = { on_head, on_body, on_end };

/* ---- what goes out ---- */

static struct rank_call *
start_call (struct ash_rank_box *box, const struct ash_buffer *request)
{
  struct rank_call *call = calloc (1, sizeof *call);

  if (!call)
    return NULL;
  call->call = (struct ash_http_call){ .handler = &call_handler, .owner = call };
  call->box = box;
  call->sent = ash_clock_now ();
  if (!ash_http_call_start (&call->call, &box->pool, request->bytes + request->start,
                            request->length, true))
    {
      free (call);
      return NULL;
    }
  DL_APPEND (box->calls, call);
  return call;
}

static void
send_question (struct ash_rank_box *box, enum ash_rank_question question)
{
  struct ash_buffer request = { 0 };
  struct rank_call *call;

  box->asked[question] = ash_clock_now ();
  ash_platform_rank_ask (&request, box->address, question);
  call = start_call (box, &request);
  if (call)
    call->question = question;
  ash_buffer_finish (&request);
}

static void
send_order (struct ash_rank_group *group,
            struct ash_groups *groups,
            const struct ash_rank_order *order)
{
  struct ash_rank_box *box = group->boxes[order->rank];
  struct ash_buffer request = { 0 };
  struct rank_call *call;

  if (!box)
    return;
  groups->orders++;
  ash_platform_rank_order (&request, box->address, order,
                           order->kind == ASH_RANK_PREPARE ? &group->next : NULL);
  call = start_call (box, &request);
  if (call)
    {
      call->is_order = true;
      call->order = *order;
    }
  ash_buffer_finish (&request);
}

static void
send_orders (struct ash_rank_group *group, struct ash_groups *groups)
{
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  struct ash_time now = ash_clock_now ();
  uint32_t count = ash_map_switch_orders (&group->sw, now, orders);

  take_result (group, groups, now);
  for (uint32_t i = 0; i < count; i++)
    send_order (group, groups, &orders[i]);
}

/* ---- decisions ---- */

/* How long each rank will copy what is new to it. */
static void
expect_copies (const struct ash_rank_group *group,
               const struct ash_engine_facts *engine,
               uint32_t copy_ms[ASH_LAYER_RANKS_MAX])
{
  double one_ms =
      engine->link_mbps > 0 ? engine->expert_mb * BITS_PER_MB * 1000 / engine->link_mbps : 0;

  for (uint32_t rank = 0; rank < group->map.rank_count; rank++)
    {
      uint32_t copies = 0;

      for (uint32_t layer = 0; layer < group->map.layer_count; layer++)
        for (uint32_t slot = 0; slot < group->map.slot_count; slot++)
          copies += group->next.slots[layer][rank][slot] != group->map.slots[layer][rank][slot];
      copy_ms[rank] = (uint32_t) (copies * one_ms);
    }
}

static void
decide_group (struct ash_rank_group *group, struct ash_groups *groups)
{
  struct ash_router *router = groups->router;
  const struct ash_route_service *service = expert_service (groups);
  struct ash_layer_decision decision;
  uint32_t copy_ms[ASH_LAYER_RANKS_MAX] = { 0 };
  struct ash_time now = ash_clock_now ();

  if (!group->undecided || !service || !ash_map_switch_ready (&group->sw, now) ||
      !map_is_known (group))
    return;
  group->next = group->map;
  ash_layer_policy_decide (groups->policy, &group->next, &decision);
  group->undecided = decision.more;
  group->skew = decision.skew_after;
  ash_log_event (&router->log, ASH_EV_MAP_CHANGE,
                 "group=%s epoch=%" PRIu64 " moves=%u more=%d skew=%.3f expected=%.3f "
                 "counts=%" PRIu64 " age_ms=%lld pass_ms=%.1f ratio=%.2f step=%" PRIu64,
                 group->name, group->sw.epoch, decision.moves, decision.more, decision.skew_before,
                 decision.skew_after, groups->policy->reports,
                 (long long) ash_time_diff (groups->decided, now), group->sw.pass_ms,
                 group->watch.ratio, group->sw.last_step);
  if (!decision.moves ||
      decision.skew_before - decision.skew_after < router->settings.map_change_gain)
    {
      group->undecided = false;
      group->skew = decision.skew_before;
      return;
    }
  expect_copies (group, &service->engine, copy_ms);
  group->next.version = ash_map_switch_version (&group->sw, ash_random_next (&router->random));
  ash_map_switch_begin (&group->sw, now, group->next.version, copy_ms);
  send_orders (group, groups);
}

static void
set_counts_state (struct ash_groups *groups, enum ash_counts_state state, struct ash_time now)
{
  groups->counts_state = state;
  groups->counts_since = now;
}

static void
decide (struct ash_groups *groups, struct ash_time now)
{
  uint32_t wanted = groups->policy->layer_count * groups->policy->expert_count;

  set_counts_state (groups, ASH_COUNTS_RESTING, now);
  groups->counts_awaited = 0;
  groups->decided = now;
  ash_layer_policy_report (groups->policy, groups->counts);
  memset (groups->counts, 0, wanted * sizeof *groups->counts);
  for (struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    {
      group->undecided = true;
      if (groups->policy->shifts)
        ash_pass_watch_reset (&group->watch);
    }
}

static bool
has_begun (const struct ash_groups *groups)
{
  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (group->sw.last_step)
      return true;
  return false;
}

/* All that was counted so far is of the last seconds. */
static bool
is_young (const struct ash_groups *groups)
{
  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (group->sw.last_step > FIRST_PASSES)
      return false;
  return true;
}

static bool
is_slower (const struct ash_groups *groups)
{
  const struct ash_route_service *service = expert_service (groups);

  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (service && ash_pass_watch_slower (&group->watch, &service->engine, group->skew))
      return true;
  return false;
}

/* Some ranks by turns: their requests are a sample of all, and each number has a price. */
static void
ask_counts (struct ash_groups *groups)
{
  uint32_t count = HASH_COUNT (groups->boxes);
  uint32_t samples = groups->router->settings.count_samples;
  uint32_t stride = count / samples ? count / samples : 1;
  uint32_t index = 0;

  groups->counts_awaited = 0;
  for (struct ash_rank_box *box = groups->boxes; box; box = box->hh.next, index++)
    if ((index + groups->counts_turn) % stride == 0)
      {
        send_question (box, ASH_RANK_COUNTS);
        groups->counts_awaited++;
      }
}

static bool
open_policy (struct ash_groups *groups)
{
  const struct ash_route_service *service = expert_service (groups);
  const struct ash_router_settings *settings = &groups->router->settings;
  struct ash_layer_weights weights;

  if (groups->policy)
    return true;
  if (!service || !fits (&service->engine))
    return false;
  weights = (struct ash_layer_weights){
    .decay = settings->map_decay,
    .alike = settings->map_alike,
    .least_gain = settings->map_least_gain,
    .layer_moves = settings->map_layer_moves < service->engine.rank_changes
                       ? settings->map_layer_moves
                       : service->engine.rank_changes,
    .rank_moves = settings->map_rank_moves,
  };
  groups->policy = calloc (1, sizeof *groups->policy);
  groups->counts =
      calloc ((size_t) service->engine.layers * service->engine.experts, sizeof *groups->counts);
  if (!groups->policy || !groups->counts)
    return false;
  ash_layer_policy_init (groups->policy, service->engine.layers, service->engine.experts, &weights);
  return true;
}

/* Whether to look at the counts now, and from which moment on to count. */
static void
begin_look (struct ash_groups *groups, struct ash_time now)
{
  int64_t since_ms = ash_time_diff (groups->decided, now);

  if (!groups->policy->reports)
    {
      ask_counts (groups);
      set_counts_state (groups, is_young (groups) ? ASH_COUNTS_ASKED : ASH_COUNTS_BEFORE, now);
    }
  else if (since_ms > LOOK_AGAIN_MS && is_slower (groups))
    {
      ask_counts (groups);
      set_counts_state (groups, ASH_COUNTS_BEFORE, now);
    }
  else if (since_ms > groups->router->settings.map_period_ms)
    {
      ask_counts (groups);
      set_counts_state (groups, ASH_COUNTS_ASKED, now);
    }
}

static void
run_policy (struct ash_groups *groups, struct ash_time now)
{
  int64_t since_ms = ash_time_diff (groups->counts_since, now);
  bool here = !groups->counts_awaited || since_ms > COUNTS_WAIT_MS;

  if (!groups->boxes || !has_begun (groups) || !open_policy (groups))
    return;
  switch (groups->counts_state)
    {
    case ASH_COUNTS_RESTING:
      begin_look (groups, now);
      break;
    case ASH_COUNTS_BEFORE:
      if (here)
        set_counts_state (groups, ASH_COUNTS_PAUSE, now);
      break;
    case ASH_COUNTS_PAUSE:
      if (since_ms < COUNTS_PAUSE_MS)
        break;
      ask_counts (groups);
      set_counts_state (groups, ASH_COUNTS_ASKED, now);
      break;
    case ASH_COUNTS_ASKED:
      if (here)
        decide (groups, now);
      break;
    }
  for (struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    decide_group (group, groups);
}

/* Streams of a rank of the group, in the mean. */
static double
mean_streams (const struct ash_rank_group *group)
{
  const struct ash_direct_set *set;
  uint32_t streams = 0;

  for (uint32_t rank = 0; rank < group->sw.rank_count; rank++)
    if (group->boxes[rank])
      {
        const struct ash_direct_endpoint *endpoint;

        set = &group->boxes[rank]->groups->router->endpoints;
        endpoint = ash_direct_find_hash (set, group->boxes[rank]->hash);
        if (endpoint)
          streams += endpoint->in_flight + endpoint->elsewhere;
      }
  return (double) streams / group->sw.rank_count;
}

void
ash_groups_pause (struct ash_groups *groups, uint64_t endpoint_hash, int64_t pause_ms)
{
  const struct ash_route_service *service = expert_service (groups);
  struct ash_rank_box *box;

  HASH_FIND (hh, groups->boxes, &endpoint_hash, sizeof endpoint_hash, box);
  if (box && box->group && service)
    {
      ash_pass_watch_pause (&box->group->watch, &service->engine, mean_streams (box->group),
                            pause_ms);
      ash_map_switch_pass (&box->group->sw, box->group->watch.pass_ms);
    }
}

/* ---- watching ---- */

static void
sweep_calls (struct ash_rank_box *box, struct ash_time now)
{
  struct rank_call *call;
  struct rank_call *next;

  DL_FOREACH_SAFE (box->calls, call, next)
    if (ash_time_diff (call->sent, now) > CALL_MS)
      {
        if (call->is_order)
          answer_order (call, 0);
        free_call (call);
      }
}

static void
watch_box (struct ash_rank_box *box, struct ash_time now)
{
  struct ash_rank_group *group = box->group;
  int64_t asked_ms = ash_time_diff (box->asked[ASH_RANK_REPORT], now);

  sweep_calls (box, now);
  if (!group)
    {
      if (asked_ms >= REPORT_ALONE_MS)
        send_question (box, ASH_RANK_REPORT);
      return;
    }
  if (asked_ms >= 100 && ash_map_switch_wants_report (&group->sw, now, box->rank))
    send_question (box, ASH_RANK_REPORT);
  if (ash_map_switch_ready (&group->sw, now) && !map_is_known (group) &&
      !group->listed[box->rank] && ash_time_diff (box->asked[ASH_RANK_LISTS], now) >= CALL_MS)
    send_question (box, ASH_RANK_LISTS);
  /* A part of a map that is not the one in use any more. */
  if (group->listed[box->rank] && group->sw.phase == ASH_MAP_IDLE &&
      group->sw.ranks[box->rank].report.map != group->map.version &&
      ash_time_diff (box->asked[ASH_RANK_LISTS], now) >= CALL_MS)
    group->listed[box->rank] = false;
}

static void
free_box (struct ash_groups *groups, struct ash_rank_box *box)
{
  while (box->calls)
    free_call (box->calls);
  ash_http_pool_finish (&box->pool);
  if (box->group)
    {
      box->group->boxes[box->rank] = NULL;
      box->group->sw.ranks[box->rank].known = false;
    }
  HASH_DEL (groups->boxes, box);
  free (box);
}

static void
add_boxes (struct ash_groups *groups)
{
  const struct ash_route_service *service = expert_service (groups);
  struct ash_router *router = groups->router;

  if (!service)
    return;
  for (struct ash_direct_endpoint *endpoint = router->endpoints.endpoints; endpoint;
       endpoint = endpoint->hh.next)
    {
      struct ash_rank_box *box;

      if (endpoint->presence == ASH_DIRECT_GONE ||
          strcmp (endpoint->facts.service, service->name) != 0)
        continue;
      HASH_FIND (hh, groups->boxes, &endpoint->hash, sizeof endpoint->hash, box);
      if (box)
        continue;
      box = calloc (1, sizeof *box);
      if (!box || !ash_http_pool_init (&box->pool, router->loop, endpoint->facts.address))
        {
          free (box);
          continue;
        }
      box->groups = groups;
      box->hash = endpoint->hash;
      memcpy (box->address, endpoint->facts.address, sizeof box->address);
      HASH_ADD (hh, groups->boxes, hash, sizeof box->hash, box);
    }
}

void
ash_groups_forget (struct ash_groups *groups, uint64_t endpoint_hash)
{
  struct ash_rank_box *box;

  HASH_FIND (hh, groups->boxes, &endpoint_hash, sizeof endpoint_hash, box);
  if (box)
    free_box (groups, box);
}

/* ---- leading ---- */

static void
forget_all (struct ash_groups *groups)
{
  struct ash_rank_box *box;
  struct ash_rank_box *next_box;
  struct ash_rank_group *group;
  struct ash_rank_group *next_group;

  HASH_ITER (hh, groups->boxes, box, next_box)
    free_box (groups, box);
  HASH_ITER (hh, groups->groups, group, next_group)
    {
      HASH_DEL (groups->groups, group);
      free (group);
    }
  free (groups->policy);
  free (groups->counts);
  groups->policy = NULL;
  groups->counts = NULL;
  groups->counts_state = ASH_COUNTS_RESTING;
  groups->counts_awaited = 0;
}

bool
ash_groups_holds (const struct ash_groups *groups)
{
  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (group->sw.phase >= ASH_MAP_HOLD)
      return true;
  return false;
}

static void
set_leads (struct ash_groups *groups, bool leads, struct ash_time now)
{
  if (leads == groups->leads)
    return;
  /* A group that stands still because of this router is let go first. */
  if (!leads && ash_groups_holds (groups))
    return;
  groups->leads = leads;
  groups->leads_since = now;
  ash_log_event (&groups->router->log, ASH_EV_MAP_LEADER, "leads=%d entries=%u linked=%u", leads,
                 ash_fleet_size (&groups->router->fleet),
                 ash_fleet_linked (&groups->router->fleet));
  if (!leads)
    forget_all (groups);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_groups *groups = timer->data;
  struct ash_time now = ash_clock_now ();
  struct ash_rank_box *box;
  struct ash_rank_box *next_box;
  struct ash_rank_group *group;
  struct ash_rank_group *next_group;

  (void) loop;
  (void) events;
  set_leads (groups, ash_fleet_leads (&groups->router->fleet), now);
  if (!groups->leads)
    return;
  add_boxes (groups);
  HASH_ITER (hh, groups->boxes, box, next_box)
    watch_box (box, now);
  HASH_ITER (hh, groups->groups, group, next_group)
    send_orders (group, groups);
  if (ash_time_diff (groups->leads_since, now) > LEAD_WAIT_MS && !groups->router->stopping)
    run_policy (groups, now);
}

void
ash_groups_open (struct ash_groups *groups, struct ash_router *router)
{
  groups->router = router;
  ev_timer_init (&groups->timer, on_tick, TICK_S, TICK_S);
  groups->timer.data = groups;
  ev_timer_start (router->loop, &groups->timer);
}

void
ash_groups_close (struct ash_groups *groups)
{
  if (!groups->router)
    return;
  ev_timer_stop (groups->router->loop, &groups->timer);
  forget_all (groups);
}

void
ash_groups_woke (struct ash_groups *groups)
{
  groups->leads = false;
  forget_all (groups);
}
