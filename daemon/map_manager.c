#include "daemon/map_manager.h"

#include "controllers/pass_model.h"
#include "daemon/fleet_loads.h"
#include "daemon/rank_client.h"
#include "daemon/router.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define TICK_S 0.02

/* Time after which a sample continues without the counts that have not arrived. */
#define COUNTS_TIMEOUT_MS 150

/* Time for which a new leader waits before it decides on maps: the previous leader may still be
 * completing a change, which takes two or three passes. */
#define LEAD_WAIT_MS 350

/* Time between the two queries of a sample: one or two passes, each with some tokens of every
 * stream. */
#define COUNTS_INTERVAL_MS 100

/* Minimum time from the end of a sample to the next sample that slow passes cause: two or three
 * passes, so that the effect of the last decision has been measured. A sample costs the router and
 * two ranks two requests each. At a skew of about 3, a second by which a needed sample is delayed
 * costs most of a second of the group's work. */
#define SAMPLE_AGAIN_MS 300

/* If a group has run at most this many passes since it formed, all its counts reflect the present
 * demand. */
#define FIRST_PASSES 40

/* Maximum number of consecutive samples without any answer that are repeated at once, on other
 * ranks. */
#define EMPTY_SAMPLES_MAX 3

/* Interval at which the next leaders are notified of a change in progress: several times within the
 * time after which they consider this router stuck. */
#define CHANGING_RESEND_MS 60

/* How long a group counts as stalled after it was reported so, and the interval at which the report
 * is repeated: several times in that period. */
#define STALLED_FOR_MS 1500
#define STALLED_RESEND_MS 500

/* Minimum fraction of a pass that the experts take for the slowness of a rank to be considered in
 * decisions. A change costs orders to all ranks; in a group with few streams, moving experts off a
 * slow rank hardly shortens the passes. */
#define SLOW_EXPERT_FRACTION_MIN 0.1

/* Interval at which reports are requested from a slow rank. */
#define REPORT_SLOW_MS 400

/* Interval at which reports are requested from an endpoint that is not in a group yet. */
#define REPORT_UNGROUPED_MS 1000

/* ---- notifications to other routers ---- */

bool
ash_map_manager_is_changing (const struct ash_map_manager *manager)
{
  for (const struct ash_rank_group *group = manager->groups; group; group = group->hh.next)
    if (group->sw.phase != ASH_MAP_IDLE)
      return true;
  return false;
}

/* Notifies the routers that would lead next of a change of a map before its first order is sent,
 * and frequently while it is in progress, so that they notice soon if this router fails during
 * it. */
static void
report_changing (struct ash_map_manager *manager, struct ash_time now)
{
  bool is_changing = ash_map_manager_is_changing (manager);

  if (is_changing == manager->reported_changing &&
      (!is_changing || ash_time_diff (manager->changing_sent_at, now) < CHANGING_RESEND_MS))
    return;
  manager->reported_changing = is_changing;
  manager->changing_sent_at = now;
  ash_fleet_notify_successors (&manager->router->fleet);
}

/* Tells all routers that a group is stalled, so that not each of them finds out by requests that
 * its ranks reject; repeatedly, as this expires, and at once when the group runs again. */
static void
report_stalled (struct ash_rank_group *group, struct ash_map_manager *manager, struct ash_time now)
{
  bool stalled = ash_map_switch_is_broken (&group->sw);
  uint64_t hashes[ASH_LAYER_RANKS_MAX];
  uint32_t count = 0;

  if (stalled == group->reported_stalled &&
      (!stalled || ash_time_diff (group->stalled_sent_at, now) < STALLED_RESEND_MS))
    return;
  group->reported_stalled = stalled;
  group->stalled_sent_at = now;
  for (uint32_t rank = 0; rank < group->sw.rank_count; rank++)
    if (group->endpoints[rank])
      hashes[count++] = group->endpoints[rank]->hash;
  ash_fleet_send_stalled (&manager->router->fleet, hashes, count, stalled ? STALLED_FOR_MS : 0);
}

/* ---- decisions ---- */

/* Computes the time that each rank will take to copy the experts that are new to it. */
static void
compute_copy_ms (const struct ash_rank_group *group,
                 const struct ash_engine_facts *engine,
                 uint32_t copy_ms[ASH_LAYER_RANKS_MAX])
{
  double expert_copy_ms = ash_pass_model_copy_ms (engine);

  for (uint32_t rank = 0; rank < group->map.rank_count; rank++)
    {
      uint32_t copies = 0;

      for (uint32_t layer = 0; layer < group->map.layer_count; layer++)
        for (uint32_t slot = 0; slot < group->map.slot_count; slot++)
          copies += group->next_map.slots[layer][rank][slot] != ASH_NO_EXPERT &&
                    group->next_map.slots[layer][rank][slot] != group->map.slots[layer][rank][slot];
      copy_ms[rank] = (uint32_t) (copies * expert_copy_ms);
    }
}

/* Mean number of streams per rank of the group. */
static double
mean_streams (const struct ash_rank_group *group)
{
  const struct ash_direct_set *set;
  uint32_t streams = 0;

  for (uint32_t rank = 0; rank < group->sw.rank_count; rank++)
    if (group->endpoints[rank])
      {
        const struct ash_direct_endpoint *direct;

        set = &group->endpoints[rank]->manager->router->endpoints;
        direct = ash_direct_find_hash (set, group->endpoints[rank]->hash);
        if (direct)
          streams += direct->in_flight + direct->peers_in_flight;
      }
  return (double) streams / group->sw.rank_count;
}

static void
decide_group (struct ash_rank_group *group, struct ash_map_manager *manager)
{
  struct ash_router *router = manager->router;
  const struct ash_route_service *service = ash_rank_service (manager);
  struct ash_layer_decision decision;
  struct ash_change_terms terms;
  double pace[ASH_LAYER_RANKS_MAX];
  uint32_t copy_ms[ASH_LAYER_RANKS_MAX] = { 0 };
  struct ash_time now = ash_clock_now ();

  if (!group->needs_decision || !service || !ash_map_switch_ready (&group->sw, now) ||
      !ash_rank_group_map_is_known (group))
    return;
  ash_layer_map_copy (&group->next_map, &group->map);
  terms = (struct ash_change_terms){
    .copy_ms = ash_pass_model_copy_ms (&service->engine),
    .expert_fraction = ash_pass_model_expert_fraction (&service->engine, mean_streams (group)),
    .remaining_ms = ash_shift_times_remaining_ms (&manager->shifts, now),
  };
  /* Consider slow ranks only if the experts take a relevant part of a pass. */
  if (terms.expert_fraction >= SLOW_EXPERT_FRACTION_MIN)
    terms.pace = pace;
  for (uint32_t rank = 0; rank < group->sw.rank_count; rank++)
    pace[rank] = group->endpoints[rank] && group->endpoints[rank]->pace > 1
                     ? group->endpoints[rank]->pace
                     : 1;
  ash_layer_policy_decide (manager->policy, &terms, &group->next_map, &decision);
  group->needs_decision = decision.more;
  group->skew = decision.skew_before;
  group->next_map_skew = decision.skew_after;
  ash_log_event (&router->log, ASH_EV_MAP_CHANGE,
                 "group=%s epoch=%" PRIu64 " moves=%u copies=%u more=%d skew=%.3f expected=%.3f "
                 "lasts_ms=%.0f counts=%" PRIu64
                 " age_ms=%lld pass_ms=%.1f ratio=%.2f step=%" PRIu64,
                 group->name, group->sw.epoch, decision.moves, decision.copies, decision.more,
                 decision.skew_before, decision.skew_after, terms.remaining_ms,
                 manager->policy->reports, (long long) ash_time_diff (manager->last_decided, now),
                 group->sw.pass_ms, group->watch.ratio, group->sw.last_step);
  if (!decision.moves)
    return;
  compute_copy_ms (group, &service->engine, copy_ms);
  group->next_map.version =
      ash_map_switch_new_version (&group->sw, ash_random_next (&router->random));
  ash_map_switch_begin (&group->sw, now, group->next_map.version, copy_ms);
  report_changing (manager, now);
  ash_rank_group_send_orders (group, manager);
}

static void
set_counts_state (struct ash_map_manager *manager, enum ash_counts_state state, struct ash_time now)
{
  manager->counts_state = state;
  manager->counts_since = now;
}

/* Queries the token counts of some ranks only: the requests at these ranks are representative of
 * all, and each query costs processing time. */
static void
query_counts (struct ash_map_manager *manager)
{
  uint32_t count = HASH_COUNT (manager->endpoints);
  uint32_t samples = manager->router->settings.count_samples;
  uint32_t stride = count / samples ? count / samples : 1;
  uint32_t index = 0;

  manager->counts_awaited = 0;
  manager->counts_used = 0;
  for (struct ash_rank_endpoint *endpoint = manager->endpoints; endpoint;
       endpoint = endpoint->hh.next, index++)
    if (index % stride == manager->sample_offset % stride)
      {
        ash_rank_query (endpoint, ASH_RANK_COUNTS);
        manager->counts_awaited++;
      }
}

/* Starts a sample of the demand from now on. */
static void
query_baseline (struct ash_map_manager *manager, struct ash_time now)
{
  query_counts (manager);
  manager->counts_from_baseline = true;
  manager->baseline_requested_at = now;
  set_counts_state (manager, ASH_COUNTS_BASELINE, now);
}

/* Makes the query that was just sent the final one: the sample covers all tokens since the previous
 * sample or the engines' start. */
static void
use_counts_so_far (struct ash_map_manager *manager, struct ash_time now)
{
  manager->counts_from_baseline = false;
  set_counts_state (manager, ASH_COUNTS_FINAL, now);
}

static void
decide (struct ash_map_manager *manager, struct ash_time now)
{
  uint32_t counts_length = manager->policy->layer_count * manager->policy->expert_count;

  /* Without any answer the sample is repeated. An empty sample must not be taken for one that shows
   * no shift of the demand: with the answers of 43 of 72 endpoints lost, a shift was then detected
   * 4.9 s late. */
  if (!manager->counts_used && manager->empty_samples < EMPTY_SAMPLES_MAX)
    {
      manager->empty_samples++;
      manager->sample_offset++;
      query_baseline (manager, now);
      return;
    }
  manager->empty_samples = 0;
  set_counts_state (manager, ASH_COUNTS_IDLE, now);
  manager->counts_awaited = 0;
  manager->last_decided = now;
  ash_layer_policy_report (manager->policy, manager->counts);
  /* A shift in fewer than half of the layers may be noise of small counts. */
  if (manager->policy->reports > 1 && manager->policy->shifts * 2 > manager->policy->layer_count)
    ash_shift_times_record (&manager->shifts, now);
  memset (manager->counts, 0, counts_length * sizeof *manager->counts);
  for (struct ash_rank_group *group = manager->groups; group; group = group->hh.next)
    {
      group->needs_decision = true;
      if (manager->policy->shifts)
        ash_pass_watch_reset (&group->watch);
      else if (manager->slow_passes)
        ash_pass_watch_accept_ratio (&group->watch);
    }
  manager->slow_passes = false;
}

/* Whether any group is running steps. A stalled group counts no tokens, which a sample would
 * mistake for a lack of demand. */
static bool
is_running (const struct ash_map_manager *manager)
{
  for (const struct ash_rank_group *group = manager->groups; group; group = group->hh.next)
    if (group->sw.last_step && !ash_map_switch_has_foreign_hold (&group->sw) &&
        !group->sw.taking_over)
      return true;
  return false;
}

/* Whether all groups have formed so recently that all their counts reflect the present demand. */
static bool
is_newly_formed (const struct ash_map_manager *manager)
{
  for (const struct ash_rank_group *group = manager->groups; group; group = group->hh.next)
    if (group->sw.last_step > FIRST_PASSES)
      return false;
  return true;
}

static bool
passes_are_slow (const struct ash_map_manager *manager)
{
  for (const struct ash_rank_group *group = manager->groups; group; group = group->hh.next)
    if (ash_pass_watch_is_slow (&group->watch, HASH_COUNT (manager->endpoints), group->skew))
      return true;
  return false;
}

/* Requests reports from all ranks: passes are slow because the demand has shifted or because a rank
 * has become slow. */
static void
query_reports (struct ash_map_manager *manager, struct ash_time now)
{
  for (struct ash_rank_endpoint *endpoint = manager->endpoints; endpoint;
       endpoint = endpoint->hh.next)
    if (ash_time_diff (endpoint->queried_at[ASH_RANK_REPORT], now) >= REPORT_SLOW_MS)
      ash_rank_query (endpoint, ASH_RANK_REPORT);
}

static bool
ensure_policy (struct ash_map_manager *manager)
{
  const struct ash_route_service *service = ash_rank_service (manager);
  const struct ash_router_settings *settings = &manager->router->settings;
  struct ash_layer_weights weights;

  if (manager->policy)
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
  manager->policy = calloc (1, sizeof *manager->policy);
  manager->counts =
      calloc ((size_t) service->engine.layers * service->engine.experts, sizeof *manager->counts);
  if (!manager->policy || !manager->counts)
    return false;
  ash_layer_policy_init (manager->policy, service->engine.layers, service->engine.experts,
                         &weights);
  return true;
}

/* Starts a sample if one is due, and decides at which time it starts. */
static void
begin_sample (struct ash_map_manager *manager, struct ash_time now)
{
  int64_t since_ms = ash_time_diff (manager->last_decided, now);

  if (!manager->policy->reports)
    {
      query_baseline (manager, now);
      if (is_newly_formed (manager))
        use_counts_so_far (manager, now);
    }
  else if (since_ms > SAMPLE_AGAIN_MS && passes_are_slow (manager))
    {
      manager->slow_passes = true;
      query_reports (manager, now);
      query_baseline (manager, now);
    }
  else if (since_ms > manager->router->settings.map_period_ms)
    {
      query_counts (manager);
      use_counts_so_far (manager, now);
    }
}

static void
run_policy (struct ash_map_manager *manager, struct ash_time now)
{
  int64_t since_ms = ash_time_diff (manager->counts_since, now);
  bool counts_complete = !manager->counts_awaited || since_ms > COUNTS_TIMEOUT_MS;

  if (!manager->endpoints || !is_running (manager) || !ensure_policy (manager))
    return;
  switch (manager->counts_state)
    {
    case ASH_COUNTS_IDLE:
      begin_sample (manager, now);
      break;
    case ASH_COUNTS_BASELINE:
      if (counts_complete)
        set_counts_state (manager, ASH_COUNTS_INTERVAL, now);
      break;
    case ASH_COUNTS_INTERVAL:
      if (since_ms < COUNTS_INTERVAL_MS)
        break;
      query_counts (manager);
      set_counts_state (manager, ASH_COUNTS_FINAL, now);
      break;
    case ASH_COUNTS_FINAL:
      if (counts_complete)
        decide (manager, now);
      break;
    }
  for (struct ash_rank_group *group = manager->groups; group; group = group->hh.next)
    decide_group (group, manager);
}

void
ash_map_manager_add_pause (struct ash_map_manager *manager,
                           uint64_t endpoint_hash,
                           int64_t pause_ms)
{
  const struct ash_route_service *service = ash_rank_service (manager);
  struct ash_rank_endpoint *endpoint;

  HASH_FIND (hh, manager->endpoints, &endpoint_hash, sizeof endpoint_hash, endpoint);
  if (endpoint && endpoint->group && service)
    {
      ash_pass_watch_add_pause (&endpoint->group->watch, &service->engine,
                                mean_streams (endpoint->group), pause_ms);
      ash_map_switch_set_pass_ms (&endpoint->group->sw, endpoint->group->watch.pass_ms);
    }
}

/* ---- monitoring of ranks ---- */

/* Whether a rank's lists of experts are needed: as part of the map in use, from which the next map
 * is computed, or to take over another router's change. */
static bool
needs_lists (const struct ash_rank_group *group,
             const struct ash_rank_endpoint *endpoint,
             struct ash_time now)
{
  bool map_needed =
      ash_map_switch_ready (&group->sw, now) || ash_map_switch_needs_fence (&group->sw);

  if (ash_map_switch_needs_lists (&group->sw, endpoint->rank))
    return true;
  return map_needed && !ash_rank_group_map_is_known (group) && !group->has_lists[endpoint->rank];
}

static void
watch_endpoint (struct ash_rank_endpoint *endpoint, struct ash_time now)
{
  struct ash_rank_group *group = endpoint->group;
  int64_t since_query_ms = ash_time_diff (endpoint->queried_at[ASH_RANK_REPORT], now);

  ash_rank_expire_calls (endpoint, now);
  if (!group)
    {
      if (since_query_ms >= REPORT_UNGROUPED_MS)
        ash_rank_query (endpoint, ASH_RANK_REPORT);
      return;
    }
  if ((since_query_ms >= 100 && ash_map_switch_needs_report (&group->sw, now, endpoint->rank)) ||
      (since_query_ms >= REPORT_SLOW_MS && endpoint->pace > 1))
    ash_rank_query (endpoint, ASH_RANK_REPORT);
  if (needs_lists (group, endpoint, now) &&
      ash_time_diff (endpoint->queried_at[ASH_RANK_LISTS], now) >= ASH_RANK_CALL_TIMEOUT_MS)
    ash_rank_query (endpoint, ASH_RANK_LISTS);
  /* Discard the lists if they are of a map that the rank no longer uses. */
  if (group->has_lists[endpoint->rank] &&
      (group->sw.phase == ASH_MAP_IDLE || ash_map_switch_needs_fence (&group->sw)) &&
      group->sw.ranks[endpoint->rank].report.map != group->map.version &&
      ash_time_diff (endpoint->queried_at[ASH_RANK_LISTS], now) >= ASH_RANK_CALL_TIMEOUT_MS)
    group->has_lists[endpoint->rank] = false;
}

static void
add_endpoints (struct ash_map_manager *manager)
{
  const struct ash_route_service *service = ash_rank_service (manager);
  struct ash_router *router = manager->router;

  if (!service)
    return;
  for (struct ash_direct_endpoint *direct = router->endpoints.endpoints; direct;
       direct = direct->hh.next)
    {
      struct ash_rank_endpoint *endpoint;

      if (direct->presence == ASH_DIRECT_REMOVED ||
          strcmp (direct->facts.service, service->name) != 0)
        continue;
      HASH_FIND (hh, manager->endpoints, &direct->hash, sizeof direct->hash, endpoint);
      if (endpoint)
        continue;
      endpoint = calloc (1, sizeof *endpoint);
      if (!endpoint || !ash_http_pool_init (&endpoint->pool, router->loop, direct->facts.address))
        {
          free (endpoint);
          continue;
        }
      endpoint->pool.body_max_bytes = ASH_RANK_ANSWER_MAX_BYTES;
      endpoint->manager = manager;
      endpoint->hash = direct->hash;
      memcpy (endpoint->address, direct->facts.address, sizeof endpoint->address);
      HASH_ADD (hh, manager->endpoints, hash, sizeof endpoint->hash, endpoint);
    }
}

void
ash_map_manager_remove_endpoint (struct ash_map_manager *manager, uint64_t endpoint_hash)
{
  struct ash_rank_endpoint *endpoint;

  HASH_FIND (hh, manager->endpoints, &endpoint_hash, sizeof endpoint_hash, endpoint);
  if (endpoint)
    ash_rank_endpoint_free (manager, endpoint);
}

/* ---- leadership ---- */

static void
free_groups (struct ash_map_manager *manager)
{
  struct ash_rank_endpoint *endpoint;
  struct ash_rank_endpoint *next_endpoint;
  struct ash_rank_group *group;
  struct ash_rank_group *next_group;

  HASH_ITER (hh, manager->endpoints, endpoint, next_endpoint)
    ash_rank_endpoint_free (manager, endpoint);
  HASH_ITER (hh, manager->groups, group, next_group)
    ash_rank_group_free (manager, group);
  free (manager->policy);
  free (manager->counts);
  manager->policy = NULL;
  manager->counts = NULL;
  manager->counts_state = ASH_COUNTS_IDLE;
  manager->counts_awaited = 0;
  manager->slow_passes = false;
  manager->beyond_bounds_logged = false;
  manager->shifts = (struct ash_shift_times){ 0 };
}

bool
ash_map_manager_holds_step (const struct ash_map_manager *manager)
{
  for (const struct ash_rank_group *group = manager->groups; group; group = group->hh.next)
    if (group->sw.phase >= ASH_MAP_HOLD)
      return true;
  return false;
}

static void
update_leadership (struct ash_map_manager *manager, bool leads, struct ash_time now)
{
  if (leads == manager->leads)
    return;
  /* Release held steps first: their groups are stalled until then. */
  if (!leads && ash_map_manager_holds_step (manager))
    return;
  manager->leads = leads;
  manager->leads_since = now;
  ash_log_event (&manager->router->log, ASH_EV_MAP_LEADER, "leads=%d entries=%u linked=%u", leads,
                 ash_fleet_size (&manager->router->fleet),
                 ash_fleet_linked (&manager->router->fleet));
  if (!leads)
    free_groups (manager);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_map_manager *manager = timer->data;
  struct ash_time now = ash_clock_now ();
  struct ash_rank_endpoint *endpoint;
  struct ash_rank_endpoint *next_endpoint;
  struct ash_rank_group *group;
  struct ash_rank_group *next_group;

  (void) loop;
  (void) events;
  update_leadership (manager, ash_fleet_leads (&manager->router->fleet), now);
  report_changing (manager, now);
  if (!manager->leads)
    return;
  add_endpoints (manager);
  HASH_ITER (hh, manager->endpoints, endpoint, next_endpoint)
    watch_endpoint (endpoint, now);
  HASH_ITER (hh, manager->groups, group, next_group)
    {
      report_stalled (group, manager, now);
      ash_rank_group_send_orders (group, manager);
    }
  if (ash_time_diff (manager->leads_since, now) > LEAD_WAIT_MS && !manager->router->stopping)
    run_policy (manager, now);
}

void
ash_map_manager_open (struct ash_map_manager *manager, struct ash_router *router)
{
  manager->router = router;
  ev_timer_init (&manager->timer, on_tick, TICK_S, TICK_S);
  manager->timer.data = manager;
  ev_timer_start (router->loop, &manager->timer);
}

void
ash_map_manager_close (struct ash_map_manager *manager)
{
  if (!manager->router)
    return;
  ev_timer_stop (manager->router->loop, &manager->timer);
  free_groups (manager);
}

void
ash_map_manager_resumed (struct ash_map_manager *manager)
{
  manager->leads = false;
  free_groups (manager);
}
