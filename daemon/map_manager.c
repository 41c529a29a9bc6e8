#include "daemon/map_manager.h"

#include "controllers/pass_model.h"
#include "daemon/rank_client.h"
#include "daemon/router.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define TICK_S 0.02

/* Counts that have not come by then are done without. */
#define COUNTS_TIMEOUT_MS 150

/* A router that has just come to lead waits: the one before may still be taking_over, which takes
 * two passes or three. */
#define LEAD_WAIT_MS 350

/* From one look at the counts to the next after passes have become longer: one or two passes,
 * each with some tokens of every stream. */
#define COUNTS_INTERVAL_MS 100

/* From a decision to the next look because of long passes: two passes or three, so that the next
 * one has shown something. A look costs a router and two ranks two questions; a second without one
 * costs most of a second at a skew of about 3. */
#define SAMPLE_AGAIN_MS 300

/* Within so many passes of an epoch all counts are of what is asked for now. */
#define FIRST_PASSES 40

/* Looks without any answer that are taken again at once, at other ranks. */
#define EMPTY_SAMPLES_MAX 3

/* Several words within the time after which others take it that this router is stuck. */
#define CHANGING_RESEND_MS 60

/* Part of a pass that experts take, from which a slow rank is worth a change: it costs orders to
 * all ranks, and a group with few streams is slow by the rank's own part. */
#define SLOW_EXPERT_FRACTION_MIN 0.1

/* How often a rank that is slow is asked whether it still is. */
#define REPORT_SLOW_MS 400

/* How often an endpoint that is in no group as yet is asked. */
#define REPORT_UNGROUPED_MS 1000

/* ---- what others are told ---- */

bool
ash_map_manager_is_changing (const struct ash_map_manager *groups)
{
  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (group->sw.phase != ASH_MAP_IDLE)
      return true;
  return false;
}

/* Those that would lead next hear of a change before its first order leaves, and then often, so
 * that they notice soon if this router stops in the midst of it. */
static void
report_changing (struct ash_map_manager *groups, struct ash_time now)
{
  bool changes = ash_map_manager_is_changing (groups);

  if (changes == groups->changes &&
      (!changes || ash_time_diff (groups->changing_sent_at, now) < CHANGING_RESEND_MS))
    return;
  groups->changes = changes;
  groups->changing_sent_at = now;
  ash_fleet_notify_successors (&groups->router->fleet);
}

/* ---- decisions ---- */

/* How long each rank will copy what is new to it. */
static void
expect_copies (const struct ash_rank_group *group,
               const struct ash_engine_facts *engine,
               uint32_t copy_ms[ASH_LAYER_RANKS_MAX])
{
  double one_ms = ash_pass_model_copy_ms (engine);

  for (uint32_t rank = 0; rank < group->map.rank_count; rank++)
    {
      uint32_t copies = 0;

      for (uint32_t layer = 0; layer < group->map.layer_count; layer++)
        for (uint32_t slot = 0; slot < group->map.slot_count; slot++)
          copies += group->next.slots[layer][rank][slot] != ASH_NO_EXPERT &&
                    group->next.slots[layer][rank][slot] != group->map.slots[layer][rank][slot];
      copy_ms[rank] = (uint32_t) (copies * one_ms);
    }
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

static void
decide_group (struct ash_rank_group *group, struct ash_map_manager *groups)
{
  struct ash_router *router = groups->router;
  const struct ash_route_service *service = ash_rank_service (groups);
  struct ash_layer_decision decision;
  struct ash_change_terms terms;
  double pace[ASH_LAYER_RANKS_MAX];
  uint32_t copy_ms[ASH_LAYER_RANKS_MAX] = { 0 };
  struct ash_time now = ash_clock_now ();

  if (!group->needs_decision || !service || !ash_map_switch_ready (&group->sw, now) ||
      !ash_rank_group_map_is_known (group))
    return;
  ash_layer_map_copy (&group->next, &group->map);
  terms = (struct ash_change_terms){
    .copy_ms = ash_pass_model_copy_ms (&service->engine),
    .expert_fraction = ash_pass_model_expert_fraction (&service->engine, mean_streams (group)),
    .remaining_ms = ash_shift_times_remaining_ms (&groups->shifts, now),
  };
  /* What slow ranks hold matters only where experts do. */
  if (terms.expert_fraction >= SLOW_EXPERT_FRACTION_MIN)
    terms.pace = pace;
  for (uint32_t rank = 0; rank < group->sw.rank_count; rank++)
    pace[rank] = group->boxes[rank] && group->boxes[rank]->pace > 1 ? group->boxes[rank]->pace : 1;
  ash_layer_policy_decide (groups->policy, &terms, &group->next, &decision);
  group->needs_decision = decision.more;
  group->skew = decision.skew_before;
  group->next_map_skew = decision.skew_after;
  ash_log_event (&router->log, ASH_EV_MAP_CHANGE,
                 "group=%s epoch=%" PRIu64 " moves=%u copies=%u more=%d skew=%.3f expected=%.3f "
                 "lasts_ms=%.0f counts=%" PRIu64
                 " age_ms=%lld pass_ms=%.1f ratio=%.2f step=%" PRIu64,
                 group->name, group->sw.epoch, decision.moves, decision.copies, decision.more,
                 decision.skew_before, decision.skew_after, terms.remaining_ms,
                 groups->policy->reports, (long long) ash_time_diff (groups->decided, now),
                 group->sw.pass_ms, group->watch.ratio, group->sw.last_step);
  if (!decision.moves)
    return;
  expect_copies (group, &service->engine, copy_ms);
  group->next.version = ash_map_switch_new_version (&group->sw, ash_random_next (&router->random));
  ash_map_switch_begin (&group->sw, now, group->next.version, copy_ms);
  report_changing (groups, now);
  ash_rank_group_send_orders (group, groups);
}

static void
set_counts_state (struct ash_map_manager *groups, enum ash_counts_state state, struct ash_time now)
{
  groups->counts_state = state;
  groups->counts_since = now;
}

/* Some ranks: their requests are a sample of all, and each number has a price. */
static void
query_counts (struct ash_map_manager *groups)
{
  uint32_t count = HASH_COUNT (groups->boxes);
  uint32_t samples = groups->router->settings.count_samples;
  uint32_t stride = count / samples ? count / samples : 1;
  uint32_t index = 0;

  groups->counts_awaited = 0;
  groups->counts_used = 0;
  for (struct ash_rank_endpoint *box = groups->boxes; box; box = box->hh.next, index++)
    if (index % stride == groups->sample_offset % stride)
      {
        ash_rank_query (box, ASH_RANK_COUNTS);
        groups->counts_awaited++;
      }
}

/* What is asked for from now on is counted. */
static void
query_baseline (struct ash_map_manager *groups, struct ash_time now)
{
  query_counts (groups);
  groups->counts_from_baseline = true;
  groups->baseline_requested_at = now;
  set_counts_state (groups, ASH_COUNTS_BASELINE, now);
}

/* The ranks were asked already: their answers are of all since the last look, or the start. */
static void
use_counts_so_far (struct ash_map_manager *groups, struct ash_time now)
{
  groups->counts_from_baseline = false;
  set_counts_state (groups, ASH_COUNTS_FINAL, now);
}

static void
decide (struct ash_map_manager *groups, struct ash_time now)
{
  uint32_t wanted = groups->policy->layer_count * groups->policy->expert_count;

  /* All answers were lost. That was taken for a look that found no shift: with answers of 43 of 72
   * endpoints lost, a shift was seen 4.9 s late. */
  if (!groups->counts_used && groups->empty_samples < EMPTY_SAMPLES_MAX)
    {
      groups->empty_samples++;
      groups->sample_offset++;
      query_baseline (groups, now);
      return;
    }
  groups->empty_samples = 0;
  set_counts_state (groups, ASH_COUNTS_IDLE, now);
  groups->counts_awaited = 0;
  groups->decided = now;
  ash_layer_policy_report (groups->policy, groups->counts);
  /* In some layers alone, it may be a few counts' chance. */
  if (groups->policy->reports > 1 && groups->policy->shifts * 2 > groups->policy->layer_count)
    ash_shift_times_record (&groups->shifts, now);
  memset (groups->counts, 0, wanted * sizeof *groups->counts);
  for (struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    {
      group->needs_decision = true;
      if (groups->policy->shifts)
        ash_pass_watch_reset (&group->watch);
      else if (groups->slow_passes)
        ash_pass_watch_accept_ratio (&group->watch);
    }
  groups->slow_passes = false;
}

/* A group that stands counts nothing: a look would take that for no demand at all. */
static bool
is_running (const struct ash_map_manager *groups)
{
  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (group->sw.last_step && !ash_map_switch_has_foreign_hold (&group->sw) &&
        !group->sw.taking_over)
      return true;
  return false;
}

/* All that was counted so far is of the last seconds. */
static bool
is_newly_formed (const struct ash_map_manager *groups)
{
  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (group->sw.last_step > FIRST_PASSES)
      return false;
  return true;
}

static bool
passes_are_slow (const struct ash_map_manager *groups)
{
  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (ash_pass_watch_is_slow (&group->watch, HASH_COUNT (groups->boxes), group->skew))
      return true;
  return false;
}

/* Passes are long: demand has shifted, or a rank has turned slow. */
static void
query_reports (struct ash_map_manager *groups, struct ash_time now)
{
  for (struct ash_rank_endpoint *box = groups->boxes; box; box = box->hh.next)
    if (ash_time_diff (box->asked[ASH_RANK_REPORT], now) >= REPORT_SLOW_MS)
      ash_rank_query (box, ASH_RANK_REPORT);
}

static bool
ensure_policy (struct ash_map_manager *groups)
{
  const struct ash_route_service *service = ash_rank_service (groups);
  const struct ash_router_settings *settings = &groups->router->settings;
  struct ash_layer_weights weights;

  if (groups->policy)
    return true;
  if (!service || !ash_rank_engine_fits (&service->engine))
    return false;
  weights = (struct ash_layer_weights){
    .decay = settings->map_decay,
    .similarity_min = settings->map_alike,
    .min_gain = settings->map_least_gain,
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
begin_sample (struct ash_map_manager *groups, struct ash_time now)
{
  int64_t since_ms = ash_time_diff (groups->decided, now);

  if (!groups->policy->reports)
    {
      query_baseline (groups, now);
      if (is_newly_formed (groups))
        use_counts_so_far (groups, now);
    }
  else if (since_ms > SAMPLE_AGAIN_MS && passes_are_slow (groups))
    {
      groups->slow_passes = true;
      query_reports (groups, now);
      query_baseline (groups, now);
    }
  else if (since_ms > groups->router->settings.map_period_ms)
    {
      query_counts (groups);
      use_counts_so_far (groups, now);
    }
}

static void
run_policy (struct ash_map_manager *groups, struct ash_time now)
{
  int64_t since_ms = ash_time_diff (groups->counts_since, now);
  bool here = !groups->counts_awaited || since_ms > COUNTS_TIMEOUT_MS;

  if (!groups->boxes || !is_running (groups) || !ensure_policy (groups))
    return;
  switch (groups->counts_state)
    {
    case ASH_COUNTS_IDLE:
      begin_sample (groups, now);
      break;
    case ASH_COUNTS_BASELINE:
      if (here)
        set_counts_state (groups, ASH_COUNTS_INTERVAL, now);
      break;
    case ASH_COUNTS_INTERVAL:
      if (since_ms < COUNTS_INTERVAL_MS)
        break;
      query_counts (groups);
      set_counts_state (groups, ASH_COUNTS_FINAL, now);
      break;
    case ASH_COUNTS_FINAL:
      if (here)
        decide (groups, now);
      break;
    }
  for (struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    decide_group (group, groups);
}

void
ash_map_manager_add_pause (struct ash_map_manager *groups, uint64_t endpoint_hash, int64_t pause_ms)
{
  const struct ash_route_service *service = ash_rank_service (groups);
  struct ash_rank_endpoint *box;

  HASH_FIND (hh, groups->boxes, &endpoint_hash, sizeof endpoint_hash, box);
  if (box && box->group && service)
    {
      ash_pass_watch_add_pause (&box->group->watch, &service->engine, mean_streams (box->group),
                                pause_ms);
      ash_map_switch_set_pass_ms (&box->group->sw, box->group->watch.pass_ms);
    }
}

/* ---- watching ---- */

/* Of the map in use, to draw the next one; or to finish what another router holds. */
static bool
needs_lists (const struct ash_rank_group *group,
             const struct ash_rank_endpoint *box,
             struct ash_time now)
{
  bool map_needed =
      ash_map_switch_ready (&group->sw, now) || ash_map_switch_needs_fence (&group->sw);

  if (ash_map_switch_needs_lists (&group->sw, box->rank))
    return true;
  return map_needed && !ash_rank_group_map_is_known (group) && !group->listed[box->rank];
}

static void
watch_endpoint (struct ash_rank_endpoint *box, struct ash_time now)
{
  struct ash_rank_group *group = box->group;
  int64_t asked_ms = ash_time_diff (box->asked[ASH_RANK_REPORT], now);

  ash_rank_expire_calls (box, now);
  if (!group)
    {
      if (asked_ms >= REPORT_UNGROUPED_MS)
        ash_rank_query (box, ASH_RANK_REPORT);
      return;
    }
  if ((asked_ms >= 100 && ash_map_switch_needs_report (&group->sw, now, box->rank)) ||
      (asked_ms >= REPORT_SLOW_MS && box->pace > 1))
    ash_rank_query (box, ASH_RANK_REPORT);
  if (needs_lists (group, box, now) &&
      ash_time_diff (box->asked[ASH_RANK_LISTS], now) >= ASH_RANK_CALL_TIMEOUT_MS)
    ash_rank_query (box, ASH_RANK_LISTS);
  /* A part of a map that is not the one in use any more. */
  if (group->listed[box->rank] &&
      (group->sw.phase == ASH_MAP_IDLE || ash_map_switch_needs_fence (&group->sw)) &&
      group->sw.ranks[box->rank].report.map != group->map.version &&
      ash_time_diff (box->asked[ASH_RANK_LISTS], now) >= ASH_RANK_CALL_TIMEOUT_MS)
    group->listed[box->rank] = false;
}

static void
add_endpoints (struct ash_map_manager *groups)
{
  const struct ash_route_service *service = ash_rank_service (groups);
  struct ash_router *router = groups->router;

  if (!service)
    return;
  for (struct ash_direct_endpoint *endpoint = router->endpoints.endpoints; endpoint;
       endpoint = endpoint->hh.next)
    {
      struct ash_rank_endpoint *box;

      if (endpoint->presence == ASH_DIRECT_REMOVED ||
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
ash_map_manager_remove_endpoint (struct ash_map_manager *groups, uint64_t endpoint_hash)
{
  struct ash_rank_endpoint *box;

  HASH_FIND (hh, groups->boxes, &endpoint_hash, sizeof endpoint_hash, box);
  if (box)
    ash_rank_endpoint_free (groups, box);
}

/* ---- leading ---- */

static void
free_all (struct ash_map_manager *groups)
{
  struct ash_rank_endpoint *box;
  struct ash_rank_endpoint *next_box;
  struct ash_rank_group *group;
  struct ash_rank_group *next_group;

  HASH_ITER (hh, groups->boxes, box, next_box)
    ash_rank_endpoint_free (groups, box);
  HASH_ITER (hh, groups->groups, group, next_group)
    ash_rank_group_free (groups, group);
  free (groups->policy);
  free (groups->counts);
  groups->policy = NULL;
  groups->counts = NULL;
  groups->counts_state = ASH_COUNTS_IDLE;
  groups->counts_awaited = 0;
  groups->slow_passes = false;
  groups->beyond_bounds_logged = false;
  groups->shifts = (struct ash_shift_times){ 0 };
}

bool
ash_map_manager_holds_step (const struct ash_map_manager *groups)
{
  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (group->sw.phase >= ASH_MAP_HOLD)
      return true;
  return false;
}

static void
update_leadership (struct ash_map_manager *groups, bool leads, struct ash_time now)
{
  if (leads == groups->leads)
    return;
  /* A group that stands still because of this router is let go first. */
  if (!leads && ash_map_manager_holds_step (groups))
    return;
  groups->leads = leads;
  groups->leads_since = now;
  ash_log_event (&groups->router->log, ASH_EV_MAP_LEADER, "leads=%d entries=%u linked=%u", leads,
                 ash_fleet_size (&groups->router->fleet),
                 ash_fleet_linked (&groups->router->fleet));
  if (!leads)
    free_all (groups);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_map_manager *groups = timer->data;
  struct ash_time now = ash_clock_now ();
  struct ash_rank_endpoint *box;
  struct ash_rank_endpoint *next_box;
  struct ash_rank_group *group;
  struct ash_rank_group *next_group;

  (void) loop;
  (void) events;
  update_leadership (groups, ash_fleet_leads (&groups->router->fleet), now);
  report_changing (groups, now);
  if (!groups->leads)
    return;
  add_endpoints (groups);
  HASH_ITER (hh, groups->boxes, box, next_box)
    watch_endpoint (box, now);
  HASH_ITER (hh, groups->groups, group, next_group)
    ash_rank_group_send_orders (group, groups);
  if (ash_time_diff (groups->leads_since, now) > LEAD_WAIT_MS && !groups->router->stopping)
    run_policy (groups, now);
}

void
ash_map_manager_open (struct ash_map_manager *groups, struct ash_router *router)
{
  groups->router = router;
  ev_timer_init (&groups->timer, on_tick, TICK_S, TICK_S);
  groups->timer.data = groups;
  ev_timer_start (router->loop, &groups->timer);
}

void
ash_map_manager_close (struct ash_map_manager *groups)
{
  if (!groups->router)
    return;
  ev_timer_stop (groups->router->loop, &groups->timer);
  free_all (groups);
}

void
ash_map_manager_resumed (struct ash_map_manager *groups)
{
  groups->leads = false;
  free_all (groups);
}
