#include "daemon/rank_client.h"

#include "daemon/router.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* The engine's facts of the one service that has experts; NULL if there is none. */
const struct ash_route_service *
ash_rank_service (const struct ash_map_manager *groups)
{
  const struct ash_route_table *table = groups->router->table;

  for (uint32_t i = 0; table && i < table->service_count; i++)
    if (table->services[i].has_engine && table->services[i].engine.layers)
      return &table->services[i];
  return NULL;
}

/* ---- maps as they are in use ---- */

static void
invalidate_map (struct ash_rank_group *group)
{
  memset (group->listed, 0, sizeof group->listed);
}

/* All ranks have told their part, and it is of the map that they use. */
bool
ash_rank_group_map_is_known (const struct ash_rank_group *group)
{
  for (uint32_t i = 0; i < group->sw.rank_count; i++)
    if (!group->listed[i] || group->sw.ranks[i].report.map != group->map.version)
      return false;
  return group->listed_epoch == group->sw.epoch;
}

bool
ash_rank_engine_fits (const struct ash_engine_facts *engine)
{
  return engine->layers <= ASH_LAYERS_MAX && engine->experts <= ASH_LAYER_EXPERTS_MAX &&
         engine->rank_slots <= ASH_LAYER_SLOTS_MAX;
}

/* ---- what comes back ---- */

/* A group beyond what is kept here stays on the map it has. Told once a while of leading: each of
 * its ranks reports again and again. */
static void
record_beyond_bounds (struct ash_map_manager *groups,
                      const struct ash_engine_facts *engine,
                      const struct ash_rank_report *report)
{
  groups->beyond_bounds++;
  if (groups->beyond_bounds_logged)
    return;
  groups->beyond_bounds_logged = true;
  ash_log_event (&groups->router->log, ASH_EV_GROUP_BEYOND_BOUNDS,
                 "group=%s ranks=%u layers=%u experts=%u slots=%u ranks_max=%d layers_max=%d "
                 "experts_max=%d slots_max=%d",
                 report->group, report->rank_count, engine->layers, engine->experts,
                 engine->rank_slots, ASH_LAYER_RANKS_MAX, ASH_LAYERS_MAX, ASH_LAYER_EXPERTS_MAX,
                 ASH_LAYER_SLOTS_MAX);
}

static struct ash_rank_group *
new_group (struct ash_map_manager *groups,
           const struct ash_route_service *service,
           const struct ash_rank_report *report)
{
  struct ash_rank_group *group = calloc (1, sizeof *group);

  if (!group)
    return NULL;
  snprintf (group->name, sizeof group->name, "%s", report->group);
  ash_map_switch_init (&group->sw, report->rank_count, service->engine.report_lag_ms,
                       ash_fleet_index (&groups->router->fleet));
  ash_layer_map_init (&group->map, service->engine.layers, report->rank_count,
                      service->engine.rank_slots, service->engine.experts);
  HASH_ADD_STR (groups->groups, name, group);
  return group;
}

static struct ash_rank_group *
find_group (struct ash_map_manager *groups, const struct ash_rank_report *report)
{
  const struct ash_route_service *service = ash_rank_service (groups);
  struct ash_rank_group *group;

  HASH_FIND_STR (groups->groups, report->group, group);
  if (group || !service || !report->rank_count)
    return group;
  if (!ash_rank_engine_fits (&service->engine) || report->rank_count > ASH_LAYER_RANKS_MAX)
    {
      record_beyond_bounds (groups, &service->engine, report);
      return NULL;
    }
  return new_group (groups, service, report);
}

static void
log_result (struct ash_rank_group *group, struct ash_map_manager *groups, struct ash_time now)
{
  struct ash_map_switch *sw = &group->sw;
  bool good = sw->result == ASH_MAP_CHANGED || sw->result == ASH_MAP_TAKEN_OVER;

  ash_log_event (&groups->router->log, good ? ASH_EV_MAP_CHANGED : ASH_EV_MAP_GIVEN_UP,
                 "group=%s epoch=%" PRIu64 " result=%d step=%" PRIu64 " took_ms=%lld holds=%u",
                 group->name, sw->epoch, (int) sw->result, sw->released,
                 (long long) ash_time_diff (sw->began, now), sw->holds);
}

static void
handle_result (struct ash_rank_group *group, struct ash_map_manager *groups, struct ash_time now)
{
  struct ash_map_switch *sw = &group->sw;

  if (sw->result == ASH_MAP_NONE)
    return;
  log_result (group, groups, now);
  if (sw->result == ASH_MAP_CHANGED)
    {
      ash_layer_map_copy (&group->map, &group->next);
      group->skew = group->next_map_skew;
      /* What the ranks report will lag behind; this router knows better. */
      for (uint32_t i = 0; i < sw->rank_count; i++)
        ash_map_switch_set_active (sw, i, sw->epoch, group->map.version);
      ash_pass_watch_reset (&group->watch);
    }
  else
    {
      invalidate_map (group);
      for (uint32_t i = 0; i < sw->rank_count; i++)
        sw->ranks[i].known = false;
    }
  sw->result = ASH_MAP_NONE;
}

/* Callers' requests spare an endpoint that is slow, here and at the peers. @return whether it has
 * turned slow, or is as usual again. */
static bool
update_pace (struct ash_rank_endpoint *box, struct ash_time now, double pace)
{
  struct ash_router *router = box->groups->router;
  struct ash_direct_endpoint *endpoint = ash_direct_find_hash (&router->endpoints, box->hash);
  double before;

  if (!endpoint)
    return false;
  before = ash_direct_pace (endpoint, now);
  ash_direct_set_pace (endpoint, now, pace);
  box->pace = ash_direct_pace (endpoint, now);
  if (box->pace > 1 || before > 1)
    ash_fleet_loads_changed (&router->fleet);
  if ((box->pace > 1) == (before > 1))
    return false;
  ash_log_event (&router->log, ASH_EV_RANK_PACE, "endpoint=%s rank=%u pace=%.2f before=%.2f",
                 endpoint->facts.id, box->rank, box->pace, before);
  return true;
}

static void
handle_report (struct ash_rank_endpoint *box, const struct ash_rank_report *report)
{
  struct ash_map_manager *groups = box->groups;
  struct ash_time now = ash_clock_now ();
  struct ash_rank_group *group = *report->group ? find_group (groups, report) : NULL;
  uint64_t epoch;

  if (!group || report->rank >= group->sw.rank_count)
    return;
  if (update_pace (box, now, report->pace) && groups->policy && groups->policy->reports)
    group->needs_decision = true;
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
      invalidate_map (group);
    }
  handle_result (group, groups, now);
}

/* Whether a box's new counts are of the time that the look is about. Without its answer to the
 * look's first question they are of all its life. */
static bool
is_in_sample (const struct ash_rank_endpoint *box, bool is_continuous)
{
  const struct ash_map_manager *groups = box->groups;

  if (groups->counts_state != ASH_COUNTS_FINAL)
    return false;
  if (!groups->counts_from_baseline)
    return is_continuous || !groups->policy->reports;
  return is_continuous && !ash_time_before (box->counts_read, groups->baseline_requested_at);
}

/* Adds what is new since the box was last asked. */
static void
add_counts (struct ash_rank_endpoint *box, const struct ash_rank_counts *counts)
{
  struct ash_map_manager *groups = box->groups;
  bool is_continuous = box->has_counts && box->counts_epoch == counts->epoch;
  bool is_used = is_in_sample (box, is_continuous);

  if (!box->counts)
    box->counts = calloc (counts->count, sizeof *box->counts);
  if (!box->counts)
    return;
  groups->counts_used += is_used;
  for (uint32_t i = 0; i < counts->count; i++)
    {
      uint64_t before = is_continuous && box->counts[i] <= counts->numbers[i] ? box->counts[i] : 0;

      if (is_used)
        groups->counts[i] += (double) (counts->numbers[i] - before);
      box->counts[i] = counts->numbers[i];
    }
  box->has_counts = true;
  box->counts_epoch = counts->epoch;
  box->counts_read = ash_clock_now ();
}

static void
handle_counts (struct ash_rank_endpoint *box, const struct ash_rank_call *call)
{
  struct ash_map_manager *groups = box->groups;
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
        ash_map_switch_sample_step (&box->group->sw, ash_clock_now (), counts.step);
      add_counts (box, &counts);
    }
  free (counts.numbers);
}

static void
handle_lists (struct ash_rank_endpoint *box, const struct ash_rank_call *call)
{
  struct ash_rank_group *group = box->group;
  struct ash_rank_lists lists;
  uint64_t version;

  if (!group)
    return;
  version = group->map.version;
  if (!ash_platform_lists_read ((const char *) call->answer.bytes + call->answer.start,
                                call->answer.length, box->rank, &group->map, &lists))
    {
      ash_log_event (&box->groups->router->log, ASH_EV_MAP_GIVEN_UP,
                     "group=%s rank=%u why=\"unreadable lists\" bytes=%zu", group->name, box->rank,
                     call->answer.length);
      invalidate_map (group);
      return;
    }
  /* Parts of two maps do not make one. */
  if (version != group->map.version || lists.epoch != group->listed_epoch)
    invalidate_map (group);
  group->listed_epoch = lists.epoch;
  group->listed[box->rank] = true;
  /* Lists do not lag as reports do. */
  ash_map_switch_set_active (&group->sw, box->rank, lists.epoch, group->map.version);
  ash_map_switch_set_prepared (&group->sw, box->rank, lists.epoch, lists.prepared, call->sent);
}

static void
handle_answer (struct ash_rank_call *call)
{
  struct ash_rank_endpoint *box = call->box;
  struct ash_rank_report report;

  switch (call->question)
    {
    case ASH_RANK_REPORT:
      if (ash_platform_report_read ((const char *) call->answer.bytes + call->answer.start,
                                    call->answer.length, &report))
        handle_report (box, &report);
      break;
    case ASH_RANK_COUNTS:
      handle_counts (box, call);
      break;
    case ASH_RANK_LISTS:
      handle_lists (box, call);
      break;
    }
}

static void
free_call (struct ash_rank_call *call)
{
  ash_http_call_cancel (&call->call);
  DL_DELETE (call->box->calls, call);
  ash_buffer_finish (&call->answer);
  free (call);
}

static void
finish_order (struct ash_rank_call *call, uint16_t status)
{
  struct ash_rank_endpoint *box = call->box;
  struct ash_time now = ash_clock_now ();

  if (!box->group)
    return;
  if (status >= 300)
    ash_log_event (&box->groups->router->log, ASH_EV_MAP_ORDER_REFUSED,
                   "group=%s rank=%u order=%d version=%" PRIu64 " step=%" PRIu64 " status=%u",
                   box->group->name, box->rank, (int) call->order.kind, call->order.version,
                   call->order.step, status);
  ash_map_switch_handle_answer (&box->group->sw, now, &call->order, status);
  handle_result (box->group, box->groups, now);
}

static bool
on_head (struct ash_http_call *http_call, const struct ash_http_head *head)
{
  struct ash_rank_call *call = http_call->owner;

  call->status = head->status;
  return true;
}

static void
on_body (struct ash_http_call *http_call, const uint8_t *bytes, size_t length)
{
  struct ash_rank_call *call = http_call->owner;

  ash_buffer_append (&call->answer, bytes, length);
}

static void
on_end (struct ash_http_call *http_call, enum ash_call_end end)
{
  struct ash_rank_call *call = http_call->owner;
  struct ash_rank_endpoint *box = call->box;
  uint16_t status = end == ASH_CALL_COMPLETE ? call->status : 0;

  if (call->is_order)
    finish_order (call, status);
  else if (status == 200)
    handle_answer (call);
  free_call (call);
  /* The next orders of a change leave at once: the group may be held. */
  if (box->group)
    ash_rank_group_send_orders (box->group, box->groups);
}

static const struct ash_call_handler call_handler = { on_head, on_body, on_end };

/* ---- what goes out ---- */

static struct ash_rank_call *
start_call (struct ash_rank_endpoint *box, const struct ash_buffer *request)
{
  struct ash_rank_call *call = calloc (1, sizeof *call);

  if (!call)
    return NULL;
  call->call = (struct ash_http_call){ .handler = &call_handler, .owner = call };
  call->box = box;
  call->sent = ash_clock_now ();
  if (!ash_http_call_start (&call->call, &box->pool, request->bytes + request->start,
                            request->length, (struct ash_time){ 0 }))
    {
      free (call);
      return NULL;
    }
  DL_APPEND (box->calls, call);
  return call;
}

void
ash_rank_query (struct ash_rank_endpoint *box, enum ash_rank_query_type question)
{
  struct ash_buffer request = { 0 };
  struct ash_rank_call *call;

  box->asked[question] = ash_clock_now ();
  ash_platform_rank_query (&request, box->address, question);
  call = start_call (box, &request);
  if (call)
    call->question = question;
  ash_buffer_finish (&request);
}

/* An order's text: written once for all ranks, as that of a map is long. */
static const struct ash_buffer *
order_body (struct ash_rank_group *group, const struct ash_rank_order *order)
{
  const struct ash_rank_order *encoded_order = &group->encoded_order;

  if (group->text.length && encoded_order->kind == order->kind &&
      encoded_order->epoch == order->epoch && encoded_order->version == order->version &&
      encoded_order->step == order->step)
    return &group->text;
  ash_buffer_consume (&group->text, group->text.length);
  group->encoded_order = *order;
  if (!ash_platform_order_body (&group->text, order,
                                order->kind == ASH_RANK_PREPARE ? &group->next : NULL))
    ash_buffer_consume (&group->text, group->text.length);
  return &group->text;
}

static void
send_order (struct ash_rank_group *group,
            struct ash_map_manager *groups,
            const struct ash_rank_order *order)
{
  struct ash_rank_endpoint *box = group->boxes[order->rank];
  struct ash_buffer request = { 0 };
  struct ash_rank_call *call;

  if (!box)
    return;
  groups->orders++;
  ash_platform_rank_order (&request, box->address, order_body (group, order));
  call = start_call (box, &request);
  if (call)
    {
      call->is_order = true;
      call->order = *order;
    }
  ash_buffer_finish (&request);
}

/* A change that goes back has its ranks prepare the map in use under a newer version. */
static void
set_fence (struct ash_rank_group *group, struct ash_map_manager *groups)
{
  if (!ash_map_switch_needs_fence (&group->sw) || !ash_rank_group_map_is_known (group))
    return;
  ash_layer_map_copy (&group->next, &group->map);
  group->next.version =
      ash_map_switch_new_version (&group->sw, ash_random_next (&groups->router->random));
  ash_map_switch_set_fence (&group->sw, group->next.version);
}

void
ash_rank_group_send_orders (struct ash_rank_group *group, struct ash_map_manager *groups)
{
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  struct ash_time now = ash_clock_now ();
  uint32_t count;

  set_fence (group, groups);
  count = ash_map_switch_orders (&group->sw, now, orders);
  handle_result (group, groups, now);
  for (uint32_t i = 0; i < count; i++)
    send_order (group, groups, &orders[i]);
}

void
ash_rank_expire_calls (struct ash_rank_endpoint *box, struct ash_time now)
{
  struct ash_rank_call *call;
  struct ash_rank_call *next;

  DL_FOREACH_SAFE (box->calls, call, next)
    if (ash_time_diff (call->sent, now) > ASH_RANK_CALL_TIMEOUT_MS)
      {
        if (call->is_order)
          finish_order (call, 0);
        free_call (call);
      }
}

void
ash_rank_group_free (struct ash_map_manager *groups, struct ash_rank_group *group)
{
  HASH_DEL (groups->groups, group);
  ash_buffer_finish (&group->text);
  free (group);
}

void
ash_rank_endpoint_free (struct ash_map_manager *groups, struct ash_rank_endpoint *box)
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
  free (box->counts);
  free (box);
}
