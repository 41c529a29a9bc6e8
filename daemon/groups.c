#include "daemon/groups.h"

#include "controllers/pass_model.h"
#include "daemon/rank_group.h"
#include "daemon/router.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define TICK_S 0.02

/* Counts that have not come by then are done without. */
#define COUNTS_WAIT_MS 150

/* A router that has just come to lead waits: the one before may still be finishing, which takes
 * two passes or three. */
#define LEAD_WAIT_MS 350

/* From one look at the counts to the next after passes have become longer: one or two passes,
 * each with some tokens of every stream. */
#define COUNTS_PAUSE_MS 100

/* From a decision to the next look because of long passes: two passes or three, so that the next
 * one has shown something. A look costs a router and two ranks two questions; a second without one
 * costs most of a second at a skew of about 3. */
#define LOOK_AGAIN_MS 300

/* Within so many passes of an epoch all counts are of what is asked for now. */
#define FIRST_PASSES 40

/* Looks without any answer that are taken again at once, at other ranks. */
#define LOOKS_LOST_MAX 3

/* Several words within the time after which others take it that this router is stuck. */
#define CHANGES_TOLD_MS 60

/* Part of a pass that experts take, from which a slow rank is worth a change: it costs orders to
 * all ranks, and a group with few streams is slow by the rank's own part. */
#define SLOW_PART_LEAST 0.1

/* How often a rank that is slow is asked whether it still is. */
#define REPORT_SLOW_MS 400

/* How often an endpoint that is in no group as yet is asked. */
#define REPORT_ALONE_MS 1000

/* ---- what others are told ---- */

bool
ash_groups_changes (const struct ash_groups *groups)
{
  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (group->sw.phase != ASH_MAP_IDLE)
      return true;
  return false;
}

/* Those that would lead next hear of a change before its first order leaves, and then often, so
 * that they notice soon if this router stops in the midst of it. */
static void
tell_changes (struct ash_groups *groups, struct ash_time now)
{
  bool changes = ash_groups_changes (groups);

  if (changes == groups->changes &&
      (!changes || ash_time_diff (groups->changes_told, now) < CHANGES_TOLD_MS))
    return;
  groups->changes = changes;
  groups->changes_told = now;
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
decide_group (struct ash_rank_group *group, struct ash_groups *groups)
{
  struct ash_router *router = groups->router;
  const struct ash_route_service *service = ash_rank_service (groups);
  struct ash_layer_decision decision;
  struct ash_change_terms terms;
  double pace[ASH_LAYER_RANKS_MAX];
  uint32_t copy_ms[ASH_LAYER_RANKS_MAX] = { 0 };
  struct ash_time now = ash_clock_now ();

  if (!group->undecided || !service || !ash_map_switch_ready (&group->sw, now) ||
      !ash_rank_map_is_known (group))
    return;
  ash_layer_map_copy (&group->next, &group->map);
  terms = (struct ash_change_terms){
    .copy_ms = ash_pass_model_copy_ms (&service->engine),
    .expert_part = ash_pass_model_expert_part (&service->engine, mean_streams (group)),
    .lasts_ms = ash_shift_times_lasts_ms (&groups->shifts, now),
  };
  /* What slow ranks hold matters only where experts do. */
  if (terms.expert_part >= SLOW_PART_LEAST)
    terms.pace = pace;
  for (uint32_t rank = 0; rank < group->sw.rank_count; rank++)
    pace[rank] = group->boxes[rank] && group->boxes[rank]->pace > 1 ? group->boxes[rank]->pace : 1;
  ash_layer_policy_decide (groups->policy, &terms, &group->next, &decision);
  group->undecided = decision.more;
  group->skew = decision.skew_before;
  group->next_skew = decision.skew_after;
  ash_log_event (&router->log, ASH_EV_MAP_CHANGE,
                 "group=%s epoch=%" PRIu64 " moves=%u copies=%u more=%d skew=%.3f expected=%.3f "
                 "lasts_ms=%.0f counts=%" PRIu64
                 " age_ms=%lld pass_ms=%.1f ratio=%.2f step=%" PRIu64,
                 group->name, group->sw.epoch, decision.moves, decision.copies, decision.more,
                 decision.skew_before, decision.skew_after, terms.lasts_ms, groups->policy->reports,
                 (long long) ash_time_diff (groups->decided, now), group->sw.pass_ms,
                 group->watch.ratio, group->sw.last_step);
  if (!decision.moves)
    return;
  expect_copies (group, &service->engine, copy_ms);
  group->next.version = ash_map_switch_version (&group->sw, ash_random_next (&router->random));
  ash_map_switch_begin (&group->sw, now, group->next.version, copy_ms);
  tell_changes (groups, now);
  ash_rank_send_orders (group, groups);
}

static void
set_counts_state (struct ash_groups *groups, enum ash_counts_state state, struct ash_time now)
{
  groups->counts_state = state;
  groups->counts_since = now;
}

/* Some ranks: their requests are a sample of all, and each number has a price. */
static void
ask_counts (struct ash_groups *groups)
{
  uint32_t count = HASH_COUNT (groups->boxes);
  uint32_t samples = groups->router->settings.count_samples;
  uint32_t stride = count / samples ? count / samples : 1;
  uint32_t index = 0;

  groups->counts_awaited = 0;
  groups->counts_taken = 0;
  for (struct ash_rank_box *box = groups->boxes; box; box = box->hh.next, index++)
    if (index % stride == groups->sample_first % stride)
      {
        ash_rank_ask (box, ASH_RANK_COUNTS);
        groups->counts_awaited++;
      }
}

/* What is asked for from now on is counted. */
static void
begin_counting (struct ash_groups *groups, struct ash_time now)
{
  ask_counts (groups);
  groups->counts_from_look = true;
  groups->look_began = now;
  set_counts_state (groups, ASH_COUNTS_BEFORE, now);
}

/* The ranks were asked already: their answers are of all since the last look, or the start. */
static void
count_all_so_far (struct ash_groups *groups, struct ash_time now)
{
  groups->counts_from_look = false;
  set_counts_state (groups, ASH_COUNTS_ASKED, now);
}

static void
decide (struct ash_groups *groups, struct ash_time now)
{
  uint32_t wanted = groups->policy->layer_count * groups->policy->expert_count;

  /* All answers were lost. That was taken for a look that found no shift: with answers of 43 of 72
   * endpoints lost, a shift was seen 4.9 s late. */
  if (!groups->counts_taken && groups->looks_lost < LOOKS_LOST_MAX)
    {
      groups->looks_lost++;
      groups->sample_first++;
      begin_counting (groups, now);
      return;
    }
  groups->looks_lost = 0;
  set_counts_state (groups, ASH_COUNTS_RESTING, now);
  groups->counts_awaited = 0;
  groups->decided = now;
  ash_layer_policy_report (groups->policy, groups->counts);
  /* In some layers alone, it may be a few counts' chance. */
  if (groups->policy->reports > 1 && groups->policy->shifts * 2 > groups->policy->layer_count)
    ash_shift_times_note (&groups->shifts, now);
  memset (groups->counts, 0, wanted * sizeof *groups->counts);
  for (struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    {
      group->undecided = true;
      if (groups->policy->shifts)
        ash_pass_watch_reset (&group->watch);
      else if (groups->suspects)
        ash_pass_watch_accept (&group->watch);
    }
  groups->suspects = false;
}

/* A group that stands counts nothing: a look would take that for no demand at all. */
static bool
has_begun (const struct ash_groups *groups)
{
  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (group->sw.last_step && !ash_map_switch_held_elsewhere (&group->sw) && !group->sw.finishing)
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
  for (const struct ash_rank_group *group = groups->groups; group; group = group->hh.next)
    if (ash_pass_watch_slower (&group->watch, HASH_COUNT (groups->boxes), group->skew))
      return true;
  return false;
}

/* Passes are long: demand has shifted, or a rank has turned slow. */
static void
ask_reports (struct ash_groups *groups, struct ash_time now)
{
  for (struct ash_rank_box *box = groups->boxes; box; box = box->hh.next)
    if (ash_time_diff (box->asked[ASH_RANK_REPORT], now) >= REPORT_SLOW_MS)
      ash_rank_ask (box, ASH_RANK_REPORT);
}

static bool
open_policy (struct ash_groups *groups)
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
      begin_counting (groups, now);
      if (is_young (groups))
        count_all_so_far (groups, now);
    }
  else if (since_ms > LOOK_AGAIN_MS && is_slower (groups))
    {
      groups->suspects = true;
      ask_reports (groups, now);
      begin_counting (groups, now);
    }
  else if (since_ms > groups->router->settings.map_period_ms)
    {
      ask_counts (groups);
      count_all_so_far (groups, now);
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

void
ash_groups_pause (struct ash_groups *groups, uint64_t endpoint_hash, int64_t pause_ms)
{
  const struct ash_route_service *service = ash_rank_service (groups);
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

/* Of the map in use, to draw the next one; or to finish what another router holds. */
static bool
wants_lists (const struct ash_rank_group *group,
             const struct ash_rank_box *box,
             struct ash_time now)
{
  bool map_needed =
      ash_map_switch_ready (&group->sw, now) || ash_map_switch_wants_fence (&group->sw);

  if (ash_map_switch_wants_lists (&group->sw, box->rank))
    return true;
  return map_needed && !ash_rank_map_is_known (group) && !group->listed[box->rank];
}

static void
watch_box (struct ash_rank_box *box, struct ash_time now)
{
  struct ash_rank_group *group = box->group;
  int64_t asked_ms = ash_time_diff (box->asked[ASH_RANK_REPORT], now);

  ash_rank_sweep (box, now);
  if (!group)
    {
      if (asked_ms >= REPORT_ALONE_MS)
        ash_rank_ask (box, ASH_RANK_REPORT);
      return;
    }
  if ((asked_ms >= 100 && ash_map_switch_wants_report (&group->sw, now, box->rank)) ||
      (asked_ms >= REPORT_SLOW_MS && box->pace > 1))
    ash_rank_ask (box, ASH_RANK_REPORT);
  if (wants_lists (group, box, now) &&
      ash_time_diff (box->asked[ASH_RANK_LISTS], now) >= ASH_RANK_CALL_MS)
    ash_rank_ask (box, ASH_RANK_LISTS);
  /* A part of a map that is not the one in use any more. */
  if (group->listed[box->rank] &&
      (group->sw.phase == ASH_MAP_IDLE || ash_map_switch_wants_fence (&group->sw)) &&
      group->sw.ranks[box->rank].report.map != group->map.version &&
      ash_time_diff (box->asked[ASH_RANK_LISTS], now) >= ASH_RANK_CALL_MS)
    group->listed[box->rank] = false;
}

static void
add_boxes (struct ash_groups *groups)
{
  const struct ash_route_service *service = ash_rank_service (groups);
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
    ash_rank_free (groups, box);
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
    ash_rank_free (groups, box);
  HASH_ITER (hh, groups->groups, group, next_group)
    ash_rank_group_free (groups, group);
  free (groups->policy);
  free (groups->counts);
  groups->policy = NULL;
  groups->counts = NULL;
  groups->counts_state = ASH_COUNTS_RESTING;
  groups->counts_awaited = 0;
  groups->suspects = false;
  groups->beyond_bounds_logged = false;
  groups->shifts = (struct ash_shift_times){ 0 };
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
  tell_changes (groups, now);
  if (!groups->leads)
    return;
  add_boxes (groups);
  HASH_ITER (hh, groups->boxes, box, next_box)
    watch_box (box, now);
  HASH_ITER (hh, groups->groups, group, next_group)
    ash_rank_send_orders (group, groups);
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
