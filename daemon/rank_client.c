#include "daemon/rank_client.h"

#include "daemon/router.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

const struct ash_route_service *
ash_rank_service (const struct ash_map_manager *manager)
{
  const struct ash_route_table *table = manager->router->table;

  for (uint32_t i = 0; table && i < table->service_count; i++)
    if (table->services[i].has_engine && table->services[i].engine.layers)
      return &table->services[i];
  return NULL;
}

/* ---- maps in use ---- */

static void
invalidate_map (struct ash_rank_group *group)
{
  memset (group->has_lists, 0, sizeof group->has_lists);
}

bool
ash_rank_group_map_is_known (const struct ash_rank_group *group)
{
  for (uint32_t i = 0; i < group->sw.rank_count; i++)
    if (!group->has_lists[i] || group->sw.ranks[i].report.map != group->map.version)
      return false;
  return group->listed_epoch == group->sw.epoch;
}

bool
ash_rank_engine_fits (const struct ash_engine_facts *engine)
{
  return engine->layers <= ASH_LAYERS_MAX && engine->experts <= ASH_LAYER_EXPERTS_MAX &&
         engine->rank_slots <= ASH_LAYER_SLOTS_MAX;
}

/* ---- answers ---- */

/* Counts and logs a group that exceeds the maximum sizes, and therefore keeps its map. Logs it only
 * once while this router leads, since every rank of the group reports repeatedly. */
static void
record_beyond_bounds (struct ash_map_manager *manager,
                      const struct ash_engine_facts *engine,
                      const struct ash_rank_report *report)
{
  manager->beyond_bounds++;
  if (manager->beyond_bounds_logged)
    return;
  manager->beyond_bounds_logged = true;
  ash_log_event (&manager->router->log, ASH_EV_GROUP_BEYOND_BOUNDS,
                 "group=%s ranks=%u layers=%u experts=%u slots=%u ranks_max=%d layers_max=%d "
                 "experts_max=%d slots_max=%d",
                 report->group, report->rank_count, engine->layers, engine->experts,
                 engine->rank_slots, ASH_LAYER_RANKS_MAX, ASH_LAYERS_MAX, ASH_LAYER_EXPERTS_MAX,
                 ASH_LAYER_SLOTS_MAX);
}

static struct ash_rank_group *
new_group (struct ash_map_manager *manager,
           const struct ash_route_service *service,
           const struct ash_rank_report *report)
{
  struct ash_rank_group *group = calloc (1, sizeof *group);

  if (!group)
    return NULL;
  snprintf (group->name, sizeof group->name, "%s", report->group);
  ash_map_switch_init (&group->sw, report->rank_count, service->engine.report_lag_ms,
                       ash_fleet_index (&manager->router->fleet));
  ash_layer_map_init (&group->map, service->engine.layers, report->rank_count,
                      service->engine.rank_slots, service->engine.experts);
  HASH_ADD_STR (manager->groups, name, group);
  return group;
}

static struct ash_rank_group *
find_group (struct ash_map_manager *manager, const struct ash_rank_report *report)
{
  const struct ash_route_service *service = ash_rank_service (manager);
  struct ash_rank_group *group;

  HASH_FIND_STR (manager->groups, report->group, group);
  if (group || !service || !report->rank_count)
    return group;
  if (!ash_rank_engine_fits (&service->engine) || report->rank_count > ASH_LAYER_RANKS_MAX)
    {
      record_beyond_bounds (manager, &service->engine, report);
      return NULL;
    }
  return new_group (manager, service, report);
}

static void
log_result (struct ash_rank_group *group, struct ash_map_manager *manager, struct ash_time now)
{
  struct ash_map_switch *sw = &group->sw;
  bool good = sw->result == ASH_MAP_CHANGED || sw->result == ASH_MAP_TAKEN_OVER;

  ash_log_event (&manager->router->log, good ? ASH_EV_MAP_CHANGED : ASH_EV_MAP_GIVEN_UP,
                 "group=%s epoch=%" PRIu64 " result=%d step=%" PRIu64 " took_ms=%lld holds=%u",
                 group->name, sw->epoch, (int) sw->result, sw->released,
                 (long long) ash_time_diff (sw->began, now), sw->holds);
}

static void
handle_result (struct ash_rank_group *group, struct ash_map_manager *manager, struct ash_time now)
{
  struct ash_map_switch *sw = &group->sw;

  if (sw->result == ASH_MAP_NONE)
    return;
  log_result (group, manager, now);
  if (sw->result == ASH_MAP_CHANGED)
    {
      ash_layer_map_copy (&group->map, &group->next_map);
      group->skew = group->next_map_skew;
      /* The ranks' reports lag: for a while they still contain the previous map. */
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

/* Updates the pace of an endpoint, here and at the peers, which send fewer requests to slow
 * endpoints.
 * @return whether the endpoint has become slow, or normal again. */
static bool
update_pace (struct ash_rank_endpoint *endpoint, struct ash_time now, double pace)
{
  struct ash_router *router = endpoint->manager->router;
  struct ash_direct_endpoint *direct = ash_direct_find_hash (&router->endpoints, endpoint->hash);
  double before;

  if (!direct)
    return false;
  before = ash_direct_pace (direct, now);
  ash_direct_set_pace (direct, now, pace);
  endpoint->pace = ash_direct_pace (direct, now);
  if (endpoint->pace > 1 || before > 1)
    ash_fleet_loads_changed (&router->fleet);
  if ((endpoint->pace > 1) == (before > 1))
    return false;
  ash_log_event (&router->log, ASH_EV_RANK_PACE, "endpoint=%s rank=%u pace=%.2f before=%.2f",
                 direct->facts.id, endpoint->rank, endpoint->pace, before);
  return true;
}

static void
handle_report (struct ash_rank_endpoint *endpoint, const struct ash_rank_report *report)
{
  struct ash_map_manager *manager = endpoint->manager;
  struct ash_time now = ash_clock_now ();
  struct ash_rank_group *group = *report->group ? find_group (manager, report) : NULL;
  uint64_t epoch;

  if (!group || report->rank >= group->sw.rank_count)
    return;
  if (update_pace (endpoint, now, report->pace) && manager->policy && manager->policy->reports)
    group->needs_decision = true;
  if (endpoint->group && endpoint->group != group)
    endpoint->group->endpoints[endpoint->rank] = NULL;
  endpoint->group = group;
  endpoint->rank = report->rank;
  group->endpoints[report->rank] = endpoint;
  epoch = group->sw.epoch;
  ash_map_switch_report (&group->sw, now, report);
  if (group->sw.epoch != epoch)
    {
      ash_log_event (&manager->router->log, ASH_EV_MAP_EPOCH,
                     "group=%s epoch=%" PRIu64 " before=%" PRIu64 " broken=%d", group->name,
                     group->sw.epoch, epoch, report->broken);
      invalidate_map (group);
    }
  handle_result (group, manager, now);
}

/* Whether an endpoint's new counts are part of the present sample. They are not if its answer to
 * the sample's first query is missing: the difference would then cover an earlier time.
 * @param is_continuous the endpoint's previous counts are of the same epoch. */
static bool
is_in_sample (const struct ash_rank_endpoint *endpoint, bool is_continuous)
{
  const struct ash_map_manager *manager = endpoint->manager;

  if (manager->counts_state != ASH_COUNTS_FINAL)
    return false;
  if (!manager->counts_from_baseline)
    return is_continuous || !manager->policy->reports;
  return is_continuous &&
         !ash_time_before (endpoint->counts_received_at, manager->baseline_requested_at);
}

/* Adds the difference between an endpoint's new and previous token counts to the sample. */
static void
add_counts (struct ash_rank_endpoint *endpoint, const struct ash_rank_counts *counts)
{
  struct ash_map_manager *manager = endpoint->manager;
  bool is_continuous = endpoint->has_counts && endpoint->counts_epoch == counts->epoch;
  bool is_used = is_in_sample (endpoint, is_continuous);

  if (!endpoint->counts)
    endpoint->counts = calloc (counts->count, sizeof *endpoint->counts);
  if (!endpoint->counts)
    return;
  manager->counts_used += is_used;
  for (uint32_t i = 0; i < counts->count; i++)
    {
      uint64_t before =
          is_continuous && endpoint->counts[i] <= counts->numbers[i] ? endpoint->counts[i] : 0;

      if (is_used)
        manager->counts[i] += (double) (counts->numbers[i] - before);
      endpoint->counts[i] = counts->numbers[i];
    }
  endpoint->has_counts = true;
  endpoint->counts_epoch = counts->epoch;
  endpoint->counts_received_at = ash_clock_now ();
}

static void
handle_counts (struct ash_rank_endpoint *endpoint, const struct ash_rank_call *call)
{
  struct ash_map_manager *manager = endpoint->manager;
  struct ash_layer_policy *policy = manager->policy;
  uint32_t expected = policy ? policy->layer_count * policy->expert_count : 0;
  struct ash_rank_counts counts = { .numbers = calloc (expected + 1, sizeof *counts.numbers) };

  if (manager->counts_awaited)
    manager->counts_awaited--;
  if (counts.numbers)
    ash_platform_counts_read ((const char *) call->answer.bytes + call->answer.start,
                              call->answer.length, expected, &counts);
  manager->counts_received += counts.count;
  if (expected && counts.count == expected)
    {
      if (endpoint->group && endpoint->group->sw.epoch == counts.epoch)
        ash_map_switch_sample_step (&endpoint->group->sw, ash_clock_now (), counts.step);
      add_counts (endpoint, &counts);
    }
  free (counts.numbers);
}

static void
handle_lists (struct ash_rank_endpoint *endpoint, const struct ash_rank_call *call)
{
  struct ash_rank_group *group = endpoint->group;
  struct ash_rank_lists lists;
  uint64_t version;

  if (!group)
    return;
  version = group->map.version;
  if (!ash_platform_lists_read ((const char *) call->answer.bytes + call->answer.start,
                                call->answer.length, endpoint->rank, &group->map, &lists))
    {
      ash_log_event (&endpoint->manager->router->log, ASH_EV_MAP_GIVEN_UP,
                     "group=%s rank=%u why=\"unreadable lists\" bytes=%zu", group->name,
                     endpoint->rank, call->answer.length);
      invalidate_map (group);
      return;
    }
  /* Lists of different maps must not be combined. */
  if (version != group->map.version || lists.epoch != group->listed_epoch)
    invalidate_map (group);
  group->listed_epoch = lists.epoch;
  group->has_lists[endpoint->rank] = true;
  /* Unlike reports, lists do not lag: the rank uses the listed map already. */
  ash_map_switch_set_active (&group->sw, endpoint->rank, lists.epoch, group->map.version);
  ash_map_switch_set_prepared (&group->sw, endpoint->rank, lists.epoch, lists.prepared,
                               call->sent_at);
}

/* Whether the answers of the endpoint's group decide whether a step is released. */
static bool
is_deciding (const struct ash_rank_endpoint *endpoint)
{
  return endpoint->group && ash_map_switch_is_deciding (&endpoint->group->sw);
}

static void
handle_answer (struct ash_rank_call *call)
{
  struct ash_rank_endpoint *endpoint = call->endpoint;
  struct ash_rank_report report;

  switch (call->query_type)
    {
    case ASH_RANK_REPORT:
      /* Requested before a decision began, on a connection that other calls use. */
      if (is_deciding (endpoint) && !call->call.own_connection)
        break;
      if (ash_platform_report_read ((const char *) call->answer.bytes + call->answer.start,
                                    call->answer.length, &report))
        handle_report (endpoint, &report);
      break;
    case ASH_RANK_COUNTS:
      handle_counts (endpoint, call);
      break;
    case ASH_RANK_LISTS:
      handle_lists (endpoint, call);
      break;
    }
}

static void
free_call (struct ash_rank_call *call)
{
  ash_http_call_cancel (&call->call);
  DL_DELETE (call->endpoint->calls, call);
  ash_buffer_finish (&call->answer);
  free (call);
}

static void
finish_order (struct ash_rank_call *call, uint16_t status)
{
  struct ash_rank_endpoint *endpoint = call->endpoint;
  struct ash_time now = ash_clock_now ();

  if (!endpoint->group)
    return;
  if (status >= 300)
    ash_log_event (&endpoint->manager->router->log, ASH_EV_MAP_ORDER_REFUSED,
                   "group=%s rank=%u order=%d version=%" PRIu64 " step=%" PRIu64 " status=%u",
                   endpoint->group->name, endpoint->rank, (int) call->order.kind,
                   call->order.version, call->order.step, status);
  ash_map_switch_handle_answer (&endpoint->group->sw, now, &call->order, status);
  handle_result (endpoint->group, endpoint->manager, now);
}

static enum ash_call_choice
on_head (struct ash_http_call *http_call, const struct ash_http_head *head)
{
  struct ash_rank_call *call = http_call->owner;

  call->status = head->status;
  return ASH_CALL_ACCEPT;
}

static bool
on_body (struct ash_http_call *http_call, const uint8_t *bytes, size_t length)
{
  struct ash_rank_call *call = http_call->owner;

  return ash_buffer_append (&call->answer, bytes, length);
}

static void
on_end (struct ash_http_call *http_call, enum ash_call_end end)
{
  struct ash_rank_call *call = http_call->owner;
  struct ash_rank_endpoint *endpoint = call->endpoint;
  uint16_t status = end == ASH_CALL_COMPLETE ? call->status : 0;

  if (call->is_order)
    finish_order (call, status);
  else if (status == 200)
    handle_answer (call);
  free_call (call);
  /* Send the next orders of a change at once: the group may be stalled. */
  if (endpoint->group)
    ash_rank_group_send_orders (endpoint->group, endpoint->manager);
}

static const struct ash_call_handler call_handler = { on_head, on_body, on_end };

/* ---- queries and orders ---- */

/* Ranks' answers carry no id that would tie them to an order or query, and a faulty rank may send
 * one that belongs to neither. What decides whether a step is released is therefore asked and
 * ordered on connections of its own. The rest may be wrong: a rank that has prepared nothing
 * refuses to be armed. */
static bool
needs_own_connection (const struct ash_rank_call *call)
{
  if (is_deciding (call->endpoint))
    return true;
  return call->is_order ? call->order.kind != ASH_RANK_PREPARE : call->query_type == ASH_RANK_LISTS;
}

static void
start_call (struct ash_rank_endpoint *endpoint,
            const struct ash_buffer *request,
            const struct ash_rank_call *what)
{
  struct ash_rank_call *call = calloc (1, sizeof *call);

  if (!call)
    return;
  *call = *what;
  call->endpoint = endpoint;
  call->sent_at = ash_clock_now ();
  call->call = (struct ash_http_call){
    .handler = &call_handler,
    .owner = call,
    .own_connection = needs_own_connection (call),
  };
  if (!ash_http_call_start (&call->call, &endpoint->pool, request->bytes + request->start,
                            request->length, (struct ash_time){ 0 }))
    {
      free (call);
      return;
    }
  DL_APPEND (endpoint->calls, call);
}

void
ash_rank_query (struct ash_rank_endpoint *endpoint, enum ash_rank_query_type query_type)
{
  const struct ash_rank_call query = { .query_type = query_type };
  struct ash_buffer request = { 0 };

  endpoint->queried_at[query_type] = ash_clock_now ();
  ash_platform_rank_query (&request, endpoint->address, query_type);
  start_call (endpoint, &request, &query);
  ash_buffer_finish (&request);
}

/* The body of an order's request. Encoded once for all ranks, since a map is long. */
static const struct ash_buffer *
order_body (struct ash_rank_group *group, const struct ash_rank_order *order)
{
  const struct ash_rank_order *encoded_order = &group->encoded_order;

  if (group->order_body.length && encoded_order->kind == order->kind &&
      encoded_order->epoch == order->epoch && encoded_order->version == order->version &&
      encoded_order->step == order->step)
    return &group->order_body;
  ash_buffer_consume (&group->order_body, group->order_body.length);
  group->encoded_order = *order;
  if (!ash_platform_order_body (&group->order_body, order,
                                order->kind == ASH_RANK_PREPARE ? &group->next_map : NULL))
    ash_buffer_consume (&group->order_body, group->order_body.length);
  return &group->order_body;
}

static void
send_order (struct ash_rank_group *group,
            struct ash_map_manager *manager,
            const struct ash_rank_order *order)
{
  struct ash_rank_endpoint *endpoint = group->endpoints[order->rank];
  const struct ash_rank_call ordered = { .is_order = true, .order = *order };
  struct ash_buffer request = { 0 };

  if (!endpoint)
    return;
  manager->orders_sent++;
  ash_platform_rank_order (&request, endpoint->address, order_body (group, order));
  start_call (endpoint, &request, &ordered);
  ash_buffer_finish (&request);
}

/* If a change is being reverted, sets its fence: the map in use with a newer version. Ranks that
 * have prepared it refuse late orders to arm the reverted map. */
static void
set_fence (struct ash_rank_group *group, struct ash_map_manager *manager)
{
  if (!ash_map_switch_needs_fence (&group->sw) || !ash_rank_group_map_is_known (group))
    return;
  ash_layer_map_copy (&group->next_map, &group->map);
  group->next_map.version =
      ash_map_switch_new_version (&group->sw, ash_random_next (&manager->router->random));
  ash_map_switch_set_fence (&group->sw, group->next_map.version);
}

void
ash_rank_group_send_orders (struct ash_rank_group *group, struct ash_map_manager *manager)
{
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  struct ash_time now = ash_clock_now ();
  uint32_t count;

  set_fence (group, manager);
  count = ash_map_switch_orders (&group->sw, now, orders);
  handle_result (group, manager, now);
  for (uint32_t i = 0; i < count; i++)
    send_order (group, manager, &orders[i]);
}

void
ash_rank_expire_calls (struct ash_rank_endpoint *endpoint, struct ash_time now)
{
  struct ash_rank_call *call;
  struct ash_rank_call *next;

  DL_FOREACH_SAFE (endpoint->calls, call, next)
    if (ash_time_diff (call->sent_at, now) > ASH_RANK_CALL_TIMEOUT_MS)
      {
        if (call->is_order)
          finish_order (call, 0);
        free_call (call);
      }
}

void
ash_rank_group_free (struct ash_map_manager *manager, struct ash_rank_group *group)
{
  HASH_DEL (manager->groups, group);
  ash_buffer_finish (&group->order_body);
  free (group);
}

void
ash_rank_endpoint_free (struct ash_map_manager *manager, struct ash_rank_endpoint *endpoint)
{
  while (endpoint->calls)
    free_call (endpoint->calls);
  ash_http_pool_finish (&endpoint->pool);
  if (endpoint->group)
    {
      endpoint->group->endpoints[endpoint->rank] = NULL;
      endpoint->group->sw.ranks[endpoint->rank].known = false;
    }
  HASH_DEL (manager->endpoints, endpoint);
  free (endpoint->counts);
  free (endpoint);
}
