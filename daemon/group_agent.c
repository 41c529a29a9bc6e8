#include "daemon/group_agent.h"

#include "common/id.h"
#include "controllers/declared.h"
#include "proto/json.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>
#include <xxhash.h>

#define POLL_MS 200
#define HTTP_TIMEOUT_MS 1000

/* Limit of an engine's answer. A state with the largest placement, in hex, is a tenth of this. */
#define ANSWER_MAX_BYTES 65536

/* If the own rank stays armed (waits for a commit) or blank (its engine was replaced) for this
 * long, the coordinator has abandoned the change, and another agent takes over. Each rank waits
 * longer than the one before, so that a single agent takes over. */
#define TAKEOVER_MS 400
#define TAKEOVER_STAGGER_MS 150

/* The gain of a move is summed over this many intervals between decisions. */
#define GAIN_HORIZON_INTERVALS 10

enum call_kind
{
  CALL_STATE,
  CALL_LOADS,
  CALL_ORDER,
};

/* Paths below the engine's URL, by call_kind. */
static const char *const call_paths[] = { "state", "loads", "order" };

/* A request to the engine of the own rank. */
struct engine_call
{
  struct ash_group_agent *group;
  enum call_kind kind;
  char peer[ASH_NAME_BYTES]; /* the coordinator that gets the answer to an order */
  char *body;
  size_t length;
  bool failed;
  struct engine_call *prev;
  struct engine_call *next;
};

/* ---- placements ---- */

static uint64_t
digest_of (const struct ash_expert_placement *placement)
{
  uint64_t digest =
      XXH3_64bits (placement->slots, 2 * (size_t) placement->rank_count * placement->rank_slots);

  return digest ? digest : 1;
}

static void
fill_map (const struct ash_expert_placement *placement, struct ash_expert_map *map)
{
  map->digest = digest_of (placement);
  map->length = 2 * placement->rank_count * placement->rank_slots;
  memcpy (map->placement, placement->slots, map->length);
}

/* ---- the engine's answers ---- */

static void
deliver_state (struct ash_group_agent *group, const char *peer, const struct Ash__RankState *state)
{
  struct Ash__Event event = ASH__EVENT__INIT;

  event.peer = ash_proto_text (peer);
  event.kind_case = ASH__EVENT__KIND_RANK_STATE;
  event.rank_state = (struct Ash__RankState *) (uintptr_t) state;
  if (strcmp (peer, group->daemon->settings->box) == 0)
    ash_expert_change_handle_state (&group->change, ash_clock_now (), state);
  else
    ash_daemon_send (group->daemon, &event);
}

/* Updates the agent from the state of its own rank, which shows whether a change is unfinished and
 * may have been abandoned. */
static void
update_from_state (struct ash_group_agent *group, const struct Ash__RankState *state)
{
  size_t expected = 2 * (size_t) group->placement.rank_count * group->placement.rank_slots;

  if (!state->blank && !state->armed)
    group->unsettled_since = ASH_TIME_NEVER;
  else if (group->unsettled_since.ms == ASH_TIME_NEVER.ms)
    group->unsettled_since = ash_clock_now ();
  group->rank_map = state->map;
  if (!state->blank && state->placement.len == expected)
    memcpy (group->placement.slots, state->placement.data, expected);
}

static bool
handle_state (struct engine_call *call)
{
  json_t *root = json_loadb (call->body ? call->body : "", call->length, 0, NULL);
  struct Ash__RankState *state =
      (struct Ash__RankState *) (void *) ash_proto_from_json (&ash__rank_state__descriptor, root);

  json_decref (root);
  if (!state)
    return false;
  /* Group and rank come from the configuration, not from the engine. */
  free (state->group);
  state->group = strdup (call->group->name);
  state->rank = call->group->rank;
  update_from_state (call->group, state);
  ash_expert_guard_answer (&call->group->guard, ash_clock_now (), call->kind == CALL_ORDER, state);
  if (call->kind == CALL_ORDER)
    deliver_state (call->group, call->peer, state);
  ash__rank_state__free_unpacked (state, NULL);
  return true;
}

static void
handle_loads (struct engine_call *call)
{
  json_t *root = json_loadb (call->body ? call->body : "", call->length, 0, NULL);
  json_t *tokens = json_object_get (root, "tokens");
  double loads[ASH_EXPERTS_MAX] = { 0 };
  json_t *value;
  size_t i;

  if (json_array_size (tokens) == call->group->policy.expert_count)
    {
      json_array_foreach (tokens, i, value)
        loads[i] = json_number_value (value);
      ash_expert_policy_report (&call->group->policy, loads);
    }
  json_decref (root);
}

static void
on_head (void *data, uint32_t status, const char *content_type, uint64_t revision)
{
  struct engine_call *call = data;

  (void) content_type;
  (void) revision;
  call->failed = status != 200;
}

static void
on_bytes (void *data, const uint8_t *bytes, size_t length)
{
  struct engine_call *call = data;
  char *grown;

  if (call->length + length > ANSWER_MAX_BYTES)
    {
      call->failed = true;
      return;
    }
  grown = realloc (call->body, call->length + length);
  if (!grown)
    return;
  call->body = grown;
  memcpy (call->body + call->length, bytes, length);
  call->length += length;
}

static void
free_call (struct engine_call *call)
{
  DL_DELETE (call->group->calls, call);
  free (call->body);
  free (call);
}

static void
on_end (void *data, enum ash_fetch_result result)
{
  struct engine_call *call = data;

  bool ok = result == ASH_FETCH_COMPLETE && !call->failed;

  if (call->kind == CALL_STATE)
    call->group->polling = false;
  if (ok && call->kind == CALL_LOADS)
    handle_loads (call);
  else if (ok)
    ok = handle_state (call);
  if (!ok && call->kind == CALL_ORDER)
    ash_expert_guard_lost (&call->group->guard);
  free_call (call);
}

static void
call_engine (struct ash_group_agent *group, enum call_kind kind, const char *peer, json_t *body)
{
  struct engine_call *call = calloc (1, sizeof *call);
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  char url[2 * ASH_OPTION_TEXT_BYTES];
  struct ash_fetch_handler handler = { on_head, on_bytes, on_end, call };
  struct ash_fetch_request request = {
    .url = url,
    .method = body ? "POST" : "GET",
    .content_type = "application/json",
    .body = (const uint8_t *) text,
    .body_bytes = text ? strlen (text) : 0,
    .timeout_ms = HTTP_TIMEOUT_MS,
  };

  if (call)
    {
      call->group = group;
      call->kind = kind;
      snprintf (call->peer, sizeof call->peer, "%s", peer);
      snprintf (url, sizeof url, "%s/%s", group->daemon->settings->engine_url, call_paths[kind]);
      DL_APPEND (group->calls, call);
      if (!ash_http_client_start (&group->daemon->http_client, &request, &handler))
        on_end (call, ASH_FETCH_FAILED);
    }
  free (text);
  json_decref (body);
}

/* ---- orders ---- */

static void
refuse (struct ash_group_agent *group, const char *peer, const struct Ash__RankOrder *order)
{
  struct Ash__RankState state = ASH__RANK_STATE__INIT;

  state.group = group->name;
  state.rank = group->rank;
  ash_expert_guard_refusal (&group->guard, order, &state);
  deliver_state (group, peer, &state);
}

static void
order_own_rank (struct ash_group_agent *group, const char *peer, const struct Ash__RankOrder *order)
{
  struct Ash__RankOrder forwarded;

  switch (ash_expert_guard_order (&group->guard, ash_clock_now (), order, &forwarded))
    {
    case ASH_EXPERT_FORWARD:
      call_engine (group, CALL_ORDER, peer, ash_proto_to_json (&forwarded.base));
      break;
    case ASH_EXPERT_REFUSE:
      refuse (group, peer, order);
      break;
    case ASH_EXPERT_WAIT:
      break;
    }
}

static void
on_emit (void *data, const struct Ash__Event *event)
{
  struct ash_group_agent *group = data;

  if (strcmp (event->peer, group->daemon->settings->box) == 0)
    order_own_rank (group, event->peer, event->rank_order);
  else
    ash_daemon_send (group->daemon, event);
}

bool
ash_group_agent_handle (struct ash_group_agent *group, const struct Ash__Event *event)
{
  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_RANK_ORDER:
      if (group->is_member && event->rank_order->rank == group->rank &&
          strcmp (event->rank_order->group, group->name) == 0)
        order_own_rank (group, event->peer, event->rank_order);
      return true;
    case ASH__EVENT__KIND_RANK_STATE:
      if (group->is_member && strcmp (event->rank_state->group, group->name) == 0)
        ash_expert_change_handle_state (&group->change, ash_clock_now (), event->rank_state);
      return true;
    default:
      return false;
    }
}

/* ---- configuration ---- */

void
ash_group_agent_init (struct ash_group_agent *group, struct ash_daemon *daemon)
{
  *group = (struct ash_group_agent){ .daemon = daemon };
  group->log = (struct ash_log){ &daemon->log_sink, "group" };
  group->unsettled_since = ASH_TIME_NEVER;
  ash_expert_guard_init (&group->guard, daemon->incarnation, false);
}

/* Whether the active configuration leaves this rank's settings unchanged. Then the loads learned so
 * far and a change in progress are kept. */
static bool
is_same_member (const struct ash_group_agent *group,
                const struct ash_group *settings,
                const struct ash_endpoint *own)
{
  const struct ash_expert_weights *weights = &group->policy.weights;

  return group->is_member && strcmp (group->name, settings->name) == 0 &&
         group->rank == own->rank && group->rank_count == settings->rank_count &&
         group->placement.rank_slots == settings->rank_slots &&
         group->placement.expert_count == settings->experts &&
         weights->skew == settings->skew_weight && weights->cost == settings->cost_weight &&
         weights->moves == settings->moves;
}

static void
start_member (struct ash_group_agent *group,
              const struct ash_group *settings,
              const struct ash_endpoint *own)
{
  struct ash_expert_weights weights = {
    .skew = settings->skew_weight,
    .cost = settings->cost_weight,
    .horizon = GAIN_HORIZON_INTERVALS,
    .moves = settings->moves,
  };
  struct ash_sink sink = { on_emit, group };

  group->is_member = true;
  *group->profile = '\0'; /* a new policy has no forecast yet */
  strcpy (group->name, settings->name);
  group->rank = own->rank;
  group->rank_count = settings->rank_count;
  group->interval_ms = settings->interval_ms;
  group->placement.rank_count = settings->rank_count;
  group->placement.rank_slots = settings->rank_slots;
  group->placement.expert_count = settings->experts;
  ash_expert_policy_init (&group->policy, settings->experts, &weights);
  ash_expert_change_init (&group->change, group->name, group->boxes, group->rank_count,
                          (uint32_t) group->daemon->incarnation, sink);
}

/* Between two agents of a group, the one whose box name sorts first connects to the other. */
static void
link_members (struct ash_group_agent *group, const struct ash_document *document)
{
  for (uint32_t i = 0; i < document->endpoint_count; i++)
    {
      const struct ash_endpoint *endpoint = &document->endpoints[i];

      if (strcmp (endpoint->group, group->name) != 0 || endpoint->rank >= ASH_EXPERT_RANKS_MAX)
        continue;
      strcpy (group->box_names[endpoint->rank], endpoint->name);
      group->boxes[endpoint->rank] = group->box_names[endpoint->rank];
      if (strcmp (group->daemon->settings->box, endpoint->name) < 0)
        ash_peers_dial (&group->daemon->peers, endpoint->name, endpoint->peer);
    }
}

void
ash_group_agent_configured (struct ash_group_agent *group)
{
  const struct ash_document *document = &group->daemon->config->document;
  const struct ash_endpoint *own = ash_document_endpoint (document, group->daemon->settings->box);
  const struct ash_group *settings =
      own && *own->group ? ash_document_group (document, own->group) : NULL;

  if (own)
    group->guard.checks = own->checks_orders;
  if (settings && is_same_member (group, settings, own))
    {
      group->interval_ms = settings->interval_ms;
      link_members (group, document);
      return;
    }
  group->is_member = false;
  if (!settings || settings->rank_count > ASH_EXPERT_RANKS_MAX ||
      settings->rank_count * settings->rank_slots > ASH_EXPERT_SLOTS_MAX)
    return;
  start_member (group, settings, own);
  link_members (group, document);
}

/* ---- timers ---- */

/* The lowest rank that can be reached decides on moves. No election is needed: if two agents both
 * consider themselves the lowest, the ranks refuse the orders with the lower ballot. */
static bool
is_decider (const struct ash_group_agent *group)
{
  for (uint32_t r = 0; r < group->rank; r++)
    {
      const struct ash_box *box =
          ash_membership_find (group->daemon->membership, group->box_names[r]);

      if (box && box->linked)
        return false;
    }
  return true;
}

static void
add_history (struct ash_group_agent *group, enum ash_expert_note_kind kind)
{
  const struct ash_expert_change *change = &group->change;
  bool has_change = kind != ASH_EXPERT_NOTE_KEPT;
  struct ash_expert_note note = {
    .kind = kind,
    .at = ash_clock_now (),
    .ballot = has_change ? change->ballot : 0,
    .step = kind == ASH_EXPERT_NOTE_DONE ? change->step : 0,
    .moves = kind == ASH_EXPERT_NOTE_MOVES ? group->decision.move_count : 0,
    .forecast = group->policy.forecast,
    .skew_before = group->decision.skew_before,
    .skew_after = group->decision.skew_after,
    .refused_gain = group->decision.refused_gain,
  };

  ash_expert_history_add (&group->history, &note);
}

static void
log_phase (struct ash_group_agent *group)
{
  const struct ash_expert_change *change = &group->change;

  if (group->logged_phase == change->phase)
    return;
  group->logged_phase = change->phase;
  if (change->phase == ASH_EXPERT_DONE)
    {
      add_history (group, ASH_EXPERT_NOTE_DONE);
      ash_log_event (&group->log, ASH_EV_MAP_CHANGED,
                     "group=%s ballot=%" PRIu64 " map=%016" PRIx64 " step=%" PRIu64, group->name,
                     change->ballot, change->wanted.digest, change->step);
    }
  else if (change->phase == ASH_EXPERT_FAILED)
    {
      add_history (group, ASH_EXPERT_NOTE_GIVEN_UP);
      ash_log_event (&group->log, ASH_EV_MAP_GIVEN_UP,
                     "group=%s ballot=%" PRIu64 " highest=%" PRIu64, group->name, change->ballot,
                     change->highest);
    }
}

static const char *
change_cause (const struct ash_group_agent *group, const struct ash_expert_map *new_map)
{
  if (!new_map)
    return "takeover";
  return group->policy.forecast ? "forecast" : "skew";
}

static void
start_change (struct ash_group_agent *group, const struct ash_expert_map *new_map)
{
  group->logged_phase = ASH_EXPERT_IDLE;
  ash_expert_change_start (&group->change, ash_clock_now (), new_map);
  add_history (group, new_map ? ASH_EXPERT_NOTE_MOVES : ASH_EXPERT_NOTE_TAKEOVER);
  ash_log_event (&group->log, ASH_EV_MAP_CHANGE,
                 "group=%s why=%s ballot=%" PRIu64
                 " moves=%u skew=%.3f predicted=%.3f refused_gain=%.3f",
                 group->name, change_cause (group, new_map), group->change.ballot,
                 new_map ? group->decision.move_count : 0, group->decision.skew_before,
                 group->decision.skew_after, group->decision.refused_gain);
}

/* In the lead time before a declared event, moves are decided for the expert loads that the event's
 * profile forecasts. Once the event has begun, the reported loads are used again. */
static void
apply_forecast (struct ash_group_agent *group)
{
  const struct ash_document *document = &group->daemon->config->document;
  int64_t unix_s = (int64_t) time (NULL);
  const struct ash_profile *profile = ash_declared_profile (document, unix_s, group->name);
  const struct ash_declared_event *event =
      profile ? ash_document_event (document, profile->event) : NULL;
  double loads[ASH_PROFILE_EXPERTS_MAX];

  if (event && ash_declared_state (event, unix_s) == ASH_DECLARED_LEAD)
    {
      if (strcmp (group->profile, profile->name) == 0)
        return;
      ash_profile_loads (profile, loads);
      ash_expert_policy_set_forecast (&group->policy, loads);
      strcpy (group->profile, profile->name);
      ash_log_event (&group->log, ASH_EV_FORECAST, "group=%s event=\"%s\" profile=\"%s\"",
                     group->name, event->name, profile->name);
      return;
    }
  if (*group->profile)
    ash_expert_policy_end_forecast (&group->policy,
                                    profile && strcmp (group->profile, profile->name) == 0);
  *group->profile = '\0';
}

static void
decide_moves (struct ash_group_agent *group)
{
  double speeds[ASH_EXPERT_POLICY_RANKS_MAX];
  struct ash_expert_placement changed = group->placement;
  struct ash_expert_map new_map = { 0 };

  call_engine (group, CALL_LOADS, "", NULL);
  if (!group->rank_map || !is_decider (group) || ash_expert_change_running (&group->change))
    return;
  for (uint32_t r = 0; r < group->rank_count; r++)
    speeds[r] = 1;
  apply_forecast (group);
  ash_expert_policy_decide (&group->policy, &group->placement, speeds, &group->decision);
  if (!group->decision.move_count)
    {
      add_history (group, ASH_EXPERT_NOTE_KEPT);
      return;
    }
  ash_expert_placement_apply (&changed, group->decision.moves, group->decision.move_count);
  fill_map (&changed, &new_map);
  start_change (group, &new_map);
}

json_t *
ash_group_agent_explain (const struct ash_group_agent *group, const char *name)
{
  struct ash_time now = ash_clock_now ();
  const struct ash_expert_note *entry;
  json_t *list;

  if (!group->is_member || strcmp (group->name, name) != 0)
    return NULL;
  list = json_array ();
  for (uint32_t i = 0; (entry = ash_expert_history_last (&group->history, i)); i++)
    json_array_append_new (
        list, json_pack ("{s:s, s:I, s:i, s:b, s:I, s:I, s:i, s:f, s:f, s:f}", "what",
                         ash_expert_note_name (entry->kind), "ms_ago",
                         (json_int_t) ash_time_diff (entry->at, now), "times", (int) entry->times,
                         "forecast", (int) entry->forecast, "ballot", (json_int_t) entry->ballot,
                         "step", (json_int_t) entry->step, "moves", (int) entry->moves, "skew",
                         entry->skew_before, "predicted", entry->skew_after, "refused_gain",
                         entry->refused_gain));
  return json_pack ("{s:i, s:b, s:o}", "rank", (int) group->rank, "decides",
                    (int) is_decider (group), "decisions", list);
}

void
ash_group_agent_tick (struct ash_group_agent *group)
{
  struct ash_time now = ash_clock_now ();
  int64_t takeover_ms = TAKEOVER_MS + (int64_t) group->rank * TAKEOVER_STAGGER_MS;

  if (!group->is_member)
    return;
  ash_expert_change_tick (&group->change, now);
  log_phase (group);
  if (!group->polling && !ash_time_before (now, group->next_poll))
    {
      group->next_poll = ash_time_add (now, POLL_MS);
      group->polling = true;
      call_engine (group, CALL_STATE, "", NULL);
    }
  if (!ash_time_before (now, group->next_decision))
    {
      group->next_decision = ash_time_add (now, group->interval_ms);
      decide_moves (group);
    }
  if (!ash_expert_change_running (&group->change) &&
      !ash_time_before (now, ash_time_add (group->unsettled_since, takeover_ms)))
    {
      group->unsettled_since = now;
      start_change (group, NULL);
    }
}

void
ash_group_agent_finish (struct ash_group_agent *group)
{
  while (group->calls)
    free_call (group->calls);
}
