#include "controllers/map_takeover.h"
#include "controllers/map_steps.h"

/* Unanswered orders are sent again after this time: ten times the normal round trip between halls,
 * and no longer, since the group may be stalled meanwhile. A prepare order contains the map and is
 * sent to all ranks at once, which takes 100 ms on the link of a small box. */
#define RESEND_MS 40
#define PREPARE_RESEND_MS 120

/* Maximum time for all ranks to copy their experts: ten times what a full change takes. */
#define PREPARE_TIMEOUT_MS 12000

/* The held step is this many steps after the one that is estimated to be running. A hold that
 * arrives too late is refused and tried again for a later step, which costs one round trip; a hold
 * far ahead delays the change by all passes up to it. The change is aborted if
 * HOLDS_MAX holds are refused. */
#define STEPS_AHEAD 1
#define HOLDS_MAX 16

/* A change is aborted after this number of refusals of a prepare order by one rank. */
#define PREPARE_REFUSALS_MAX 6

/* Interval at which a rank that should have finished copying is polled. */
#define PREPARE_POLL_MS 80

/* Time for which another router's hold must have been observed before it is taken over: longer than
 * a change takes from hold to go with one lost answer. */
#define FOREIGN_HOLD_MIN_MS 120

/* Time for which reports may still show a hold that this router has released. */
#define RELEASED_HOLD_MS 1200

/* Maximum time for all ranks to accept the arm order: nearly the copying time of a full change. The
 * group is stalled meanwhile. */
#define ARM_TIMEOUT_MS 1000

/* Maximum time to wait for the map in use, without which ranks cannot be fenced. It is read
 * from the ranks' lists of experts, which arrive within a round trip, or are requested again after
 * 400 ms. */
#define FENCE_TIMEOUT_MS 2000

/* Intervals at which reports are requested: from all ranks; from the first rank, to notice new
 * epochs and holds; and from ranks whose state the present change waits for. */
#define REPORT_ALL_MS 4000
#define REPORT_FIRST_MS 500
#define REPORT_SOON_MS 150

/* If the first rank's reports are this late, it may have ended. */
#define REPORT_MISSED_MS 700

/* Number of low bits of a version that are random, so that versions of different routers differ. */
#define VERSION_RANDOM_BITS 20

static void
enter_phase (struct ash_map_switch *sw, struct ash_time now, enum ash_map_phase phase)
{
  sw->phase = phase;
  sw->phase_began = now;
  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      sw->ranks[i].answered = false;
      sw->ranks[i].copying = false;
      sw->ranks[i].disarm_first = false;
      sw->ranks[i].refusals = 0;
      sw->ranks[i].sent = (struct ash_time){ 0 };
    }
}

static void
end (struct ash_map_switch *sw, struct ash_time now, enum ash_map_result result)
{
  enter_phase (sw, now, ASH_MAP_IDLE);
  sw->result = result;
  sw->version = 0;
  sw->fence_is_set = false;
  sw->step = 0;
  sw->taking_over = false;
}

void
ash_map_switch_init (struct ash_map_switch *sw,
                     uint32_t rank_count,
                     uint32_t lag_ms,
                     uint32_t own_rank)
{
  /* Clears only the ranks that the group has; the array is much larger. */
  memset (sw, 0, offsetof (struct ash_map_switch, ranks));
  memset (sw->ranks, 0, rank_count * sizeof sw->ranks[0]);
  sw->rank_count = rank_count;
  sw->lag_ms = lag_ms;
  sw->own_rank = own_rank % rank_count;
}

/* ---- reports ---- */

static void
reset_for_epoch (struct ash_map_switch *sw, struct ash_time now, uint64_t epoch)
{
  uint32_t rank_count = sw->rank_count;
  uint32_t lag_ms = sw->lag_ms;
  uint32_t own_rank = sw->own_rank;
  bool under_way = sw->phase != ASH_MAP_IDLE;

  /* Ranks refuse all orders of the former epoch from now on. */
  ash_map_switch_init (sw, rank_count, lag_ms, own_rank);
  sw->epoch = epoch;
  sw->phase_began = now;
  sw->result = under_way ? ASH_MAP_GROUP_REFORMED : ASH_MAP_NONE;
}

static bool
is_own_hold (const struct ash_map_switch *sw,
             struct ash_time now,
             const struct ash_rank_report *report)
{
  uint64_t held = report->held;

  if (sw->phase >= ASH_MAP_HOLD && held == sw->step && report->rank == sw->holder)
    return true;
  return held == sw->released && ash_time_diff (sw->released_at, now) < RELEASED_HOLD_MS;
}

/* If other routers hold several steps, the group is stalled at the lowest of them: this hold is
 * handled first. */
static void
record_hold (struct ash_map_switch *sw, struct ash_time now, const struct ash_rank_report *report)
{
  bool foreign = report->held && !is_own_hold (sw, now, report);
  bool known = sw->foreign_held && report->rank == sw->foreign_rank;

  if (foreign && (known || !sw->foreign_held || report->held < sw->foreign_held))
    {
      if (sw->foreign_held != report->held)
        sw->foreign_since = now;
      sw->foreign_held = report->held;
      sw->foreign_rank = report->rank;
    }
  else if (!foreign && known)
    sw->foreign_held = 0;
}

void
ash_map_switch_report (struct ash_map_switch *sw,
                       struct ash_time now,
                       const struct ash_rank_report *report)
{
  struct ash_map_rank *rank = &sw->ranks[report->rank];
  uint64_t map;

  if (report->epoch < sw->epoch)
    return; /* an outdated report */
  if (report->epoch > sw->epoch)
    reset_for_epoch (sw, now, report->epoch);
  /* Map versions only increase within an epoch: a lower one is from before a change. */
  map = rank->report.map > report->map ? rank->report.map : report->map;
  rank->report = *report;
  rank->report.map = map;
  rank->reported = now;
  rank->known = true;
  ash_map_record_step (sw, ash_time_add (now, -(int64_t) sw->lag_ms), report->step);
  /* A report that the rank is armed with the version does not replace its answer to the arm order:
   * the report lacks the step, and another router may have armed the rank for another one. */
  record_hold (sw, now, report);
}

void
ash_map_switch_set_active (struct ash_map_switch *sw,
                           uint32_t rank,
                           uint64_t epoch,
                           uint64_t version)
{
  if (epoch == sw->epoch && version > sw->ranks[rank].report.map)
    sw->ranks[rank].report.map = version;
}

void
ash_map_switch_set_prepared (struct ash_map_switch *sw,
                             uint32_t rank,
                             uint64_t epoch,
                             uint64_t version,
                             struct ash_time requested)
{
  if (epoch != sw->epoch)
    return;
  sw->ranks[rank].prepared = version;
  sw->ranks[rank].lists_requested = requested;
}

bool
ash_map_switch_needs_lists (const struct ash_map_switch *sw, uint32_t rank)
{
  return sw->phase == ASH_MAP_IDLE && sw->foreign_held &&
         ash_time_before (sw->ranks[rank].lists_requested, sw->foreign_since);
}

bool
ash_map_switch_has_foreign_hold (const struct ash_map_switch *sw)
{
  return sw->foreign_held != 0;
}

bool
ash_map_switch_is_deciding (const struct ash_map_switch *sw)
{
  return sw->foreign_held || (sw->phase != ASH_MAP_IDLE && sw->phase != ASH_MAP_PREPARE);
}

static bool
all_known (const struct ash_map_switch *sw)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (!sw->ranks[i].known || sw->ranks[i].report.epoch != sw->epoch || sw->ranks[i].report.broken)
      return false;
  return true;
}

bool
ash_map_switch_ready (const struct ash_map_switch *sw, struct ash_time now)
{
  /* Ranks stay armed until the released step begins, and refuse prepare orders until then. */
  bool settled = ash_map_current_step (sw, now) >= sw->released;

  return sw->phase == ASH_MAP_IDLE && !sw->foreign_held && settled && all_known (sw);
}

uint64_t
ash_map_switch_new_version (const struct ash_map_switch *sw, uint64_t draw)
{
  /* The version of a change that is taken over is another router's. */
  uint64_t above = sw->ordered_version > sw->version ? sw->ordered_version : sw->version;
  uint64_t mask = (UINT64_C (1) << VERSION_RANDOM_BITS) - 1;

  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      const struct ash_rank_report *report = &sw->ranks[i].report;

      above = report->map > above ? report->map : above;
      above = report->prepared > above ? report->prepared : above;
      above = report->armed > above ? report->armed : above;
    }
  return ((above >> VERSION_RANDOM_BITS) + 1) << VERSION_RANDOM_BITS | (draw & mask);
}

/* ---- phases ---- */

void
ash_map_switch_begin (struct ash_map_switch *sw,
                      struct ash_time now,
                      uint64_t version,
                      const uint32_t copy_ms[ASH_LAYER_RANKS_MAX])
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    sw->ranks[i].copy_ms = copy_ms[i];
  sw->version = version;
  sw->ordered_version = version;
  sw->began = now;
  sw->holds = 0;
  sw->refused = 0;
  sw->result = ASH_MAP_NONE;
  enter_phase (sw, now, ASH_MAP_PREPARE);
}

static bool
all_answered (const struct ash_map_switch *sw)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (!sw->ranks[i].answered)
      return false;
  return true;
}

/* Marks ranks as prepared that should have finished copying. Only the rank with the most copies is
 * polled. Once it is done, the others are done as well, unless they began later because of a lost
 * order or a slow link: each rank's copying time is counted from when it began. */
static void
mark_copied (struct ash_map_switch *sw, struct ash_time now)
{
  uint32_t slowest = 0;

  for (uint32_t i = 1; i < sw->rank_count; i++)
    if (sw->ranks[i].copy_ms > sw->ranks[slowest].copy_ms)
      slowest = i;
  if (!sw->ranks[slowest].answered)
    return;
  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      struct ash_map_rank *rank = &sw->ranks[i];

      if (rank->copying && ash_time_diff (rank->copying_since, now) >= rank->copy_ms)
        rank->answered = true;
    }
}

/* Holds the next step. A released step is not held again even if it has not begun: a router that
 * took over the former hold may still send a go order for it. */
static void
begin_hold (struct ash_map_switch *sw, struct ash_time now)
{
  uint64_t begun = ash_map_current_step (sw, now);

  enter_phase (sw, now, ASH_MAP_HOLD);
  sw->holder = sw->own_rank;
  begun = begun > sw->released ? begun : sw->released;
  begun = begun > sw->refused ? begun : sw->refused;
  sw->step = begun + STEPS_AHEAD;
  sw->holds++;
}

static void
take_over (struct ash_map_switch *sw, struct ash_time now)
{
  if (!sw->foreign_held || ash_time_diff (sw->foreign_since, now) < FOREIGN_HOLD_MIN_MS ||
      !all_known (sw) || !ash_map_takeover_state_is_current (sw, sw->foreign_since))
    return;
  sw->version = ash_map_takeover_version (sw);
  sw->step = sw->foreign_held;
  sw->foreign_held = 0;
  sw->taking_over = true;
  sw->began = now;
  /* If no rank can be armed, the step is just released. Otherwise this router holds the step as
   * well: the other router may still be running, and release its hold while ranks are being
   * disarmed. */
  sw->holder = sw->version ? ash_map_takeover_rank (sw, sw->step) : sw->foreign_rank;
  enter_phase (sw, now, sw->version ? ASH_MAP_HOLD : ASH_MAP_GO);
}

/* Whether the rank has had a newer version than the present one, and so never accepts the present
 * one. A rank that has not reported the present version as prepared may still be copying it. */
static bool
has_newer_version (const struct ash_map_switch *sw, const struct ash_map_rank *rank)
{
  return rank->report.prepared > sw->version || rank->report.map > sw->version;
}

static bool
cannot_arm (const struct ash_map_switch *sw, struct ash_time now)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (has_newer_version (sw, &sw->ranks[i]))
      return true;
  return ash_time_diff (sw->phase_began, now) > ARM_TIMEOUT_MS;
}

/* Whether no rank can be armed with the abandoned version any more: each rank has prepared the
 * fence, or has refused it because it had a newer version. */
static bool
all_fenced (const struct ash_map_switch *sw)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      const struct ash_map_rank *rank = &sw->ranks[i];
      bool fresh = ash_time_diff (sw->phase_began, rank->reported) > (int64_t) sw->lag_ms;
      bool armed_otherwise = fresh && rank->report.armed && rank->report.armed != sw->version;

      if (!rank->answered && !(rank->refusals && (has_newer_version (sw, rank) || armed_otherwise)))
        return false;
    }
  return true;
}

bool
ash_map_switch_needs_fence (const struct ash_map_switch *sw)
{
  return (sw->phase == ASH_MAP_DISARM || sw->phase == ASH_MAP_FENCE) && !sw->fence_is_set;
}

void
ash_map_switch_set_fence (struct ash_map_switch *sw, uint64_t version)
{
  sw->fence = version;
  sw->ordered_version = version;
  sw->fence_is_set = true;
}

static void
release_step (struct ash_map_switch *sw, struct ash_time now)
{
  sw->version = 0;
  enter_phase (sw, now, ASH_MAP_GO);
}

/* Whether the held step has begun, because another router has released it: no rank may be armed any
 * more. */
static bool
has_begun (const struct ash_map_switch *sw)
{
  return sw->phase >= ASH_MAP_ARM && sw->phase < ASH_MAP_GO && sw->last_step >= sw->step;
}

static void
finish_release (struct ash_map_switch *sw, struct ash_time now)
{
  enum ash_map_result result = sw->taking_over ? ASH_MAP_TAKEN_OVER : ASH_MAP_CHANGED;

  sw->released = sw->step;
  sw->released_at = now;
  end (sw, now, sw->version ? result : ASH_MAP_ABORTED);
}

static void
advance_phase (struct ash_map_switch *sw, struct ash_time now)
{
  if (has_begun (sw))
    release_step (sw, now);
  switch (sw->phase)
    {
    case ASH_MAP_IDLE:
      take_over (sw, now);
      break;
    case ASH_MAP_PREPARE:
      if (sw->foreign_held || ash_time_diff (sw->began, now) > PREPARE_TIMEOUT_MS)
        end (sw, now, ASH_MAP_ABORTED);
      else
        {
          mark_copied (sw, now);
          if (all_answered (sw) && all_known (sw))
            begin_hold (sw, now);
        }
      break;
    case ASH_MAP_HOLD:
      if (sw->ranks[sw->holder].answered)
        enter_phase (sw, now, sw->taking_over ? ASH_MAP_DISARM : ASH_MAP_ARM);
      break;
    case ASH_MAP_ARM:
      if (all_answered (sw))
        enter_phase (sw, now, ASH_MAP_GO);
      else if (cannot_arm (sw, now))
        enter_phase (sw, now, ASH_MAP_DISARM);
      break;
    case ASH_MAP_DISARM:
      if (all_answered (sw))
        enter_phase (sw, now, ASH_MAP_FENCE);
      break;
    case ASH_MAP_FENCE:
      if (all_fenced (sw) ||
          (!sw->fence_is_set && ash_time_diff (sw->phase_began, now) > FENCE_TIMEOUT_MS))
        release_step (sw, now);
      break;
    case ASH_MAP_GO:
      if (sw->ranks[sw->holder].answered &&
          (!sw->taking_over || sw->ranks[sw->foreign_rank].answered))
        finish_release (sw, now);
      break;
    }
}

/* Has the rank disarmed before it is fenced again: at once after the first refusal, later at the
 * resend interval, since repeated refusals have another cause. */
static void
request_disarm (struct ash_map_switch *sw, uint32_t rank)
{
  sw->ranks[rank].disarm_first = true;
  if (sw->ranks[rank].refusals++ == 0)
    sw->ranks[rank].sent = (struct ash_time){ 0 };
}

static void
handle_refusal (struct ash_map_switch *sw, struct ash_time now, uint32_t rank)
{
  switch (sw->phase)
    {
    case ASH_MAP_PREPARE:
      /* The rank is still armed with the previous map, whose step has not begun. If refusals
       * continue, it is armed with another router's version or the map does not fit: the change is
       * aborted, the state is read again, and a new change can begin. */
      if (++sw->ranks[rank].refusals >= PREPARE_REFUSALS_MAX)
        end (sw, now, ASH_MAP_ABORTED);
      break;
    case ASH_MAP_HOLD:
      /* The step has begun, or another router holds a step at the rank; later reports show which.
       */
      sw->refused = sw->step;
      /* A taken-over change needs no more orders: its step has begun. */
      if (sw->taking_over)
        end (sw, now, ASH_MAP_ABORTED);
      else if (sw->holds >= HOLDS_MAX || sw->foreign_held)
        end (sw, now, ASH_MAP_ABORTED);
      else
        begin_hold (sw, now);
      break;
    case ASH_MAP_GO:
      /* The rank holds nothing any more: another router has released the step. */
    case ASH_MAP_DISARM:
      /* The rank is not armed. */
      sw->ranks[rank].answered = true;
      break;
    case ASH_MAP_ARM:
      sw->ranks[rank].refusals++; /* the order is sent again until cannot_arm() is true */
      break;
    case ASH_MAP_FENCE:
      /* The rank has had a newer version, or it is armed by an order that arrived after the disarm.
       */
      if (sw->ranks[rank].disarm_first)
        sw->ranks[rank].disarm_first = false; /* the disarm order was refused: the map is in use */
      else
        request_disarm (sw, rank);
      break;
    case ASH_MAP_IDLE:
      break;
    }
}

static enum ash_rank_order_kind
order_kind (const struct ash_map_switch *sw, uint32_t rank)
{
  switch (sw->phase)
    {
    case ASH_MAP_HOLD:
      return ASH_RANK_HOLD;
    case ASH_MAP_ARM:
      return ASH_RANK_ARM;
    case ASH_MAP_DISARM:
      return ASH_RANK_DISARM;
    case ASH_MAP_FENCE:
      return sw->ranks[rank].disarm_first ? ASH_RANK_DISARM : ASH_RANK_PREPARE;
    case ASH_MAP_GO:
      return ASH_RANK_GO;
    case ASH_MAP_IDLE:
    case ASH_MAP_PREPARE:
      break;
    }
  return ASH_RANK_PREPARE;
}

/* The present phase's order for that rank. */
static struct ash_rank_order
current_order (const struct ash_map_switch *sw, uint32_t rank)
{
  bool fence = sw->phase == ASH_MAP_FENCE && !sw->ranks[rank].disarm_first;

  return (struct ash_rank_order){
    .kind = order_kind (sw, rank),
    .rank = rank,
    .epoch = sw->epoch,
    .version = fence ? sw->fence : sw->version,
    .step = sw->step,
  };
}

/* Whether the answered order is still the rank's present order. */
static bool
is_current_order (const struct ash_map_switch *sw, const struct ash_rank_order *order)
{
  struct ash_rank_order due = current_order (sw, order->rank);

  return sw->phase != ASH_MAP_IDLE && order->kind == due.kind && order->epoch == due.epoch &&
         order->version == due.version && order->step == due.step;
}

static void
handle_success (struct ash_map_switch *sw, struct ash_time now, uint32_t i, bool copying_started)
{
  struct ash_map_rank *rank = &sw->ranks[i];

  if (sw->phase == ASH_MAP_PREPARE && copying_started)
    {
      if (!rank->copying)
        rank->copying_since = now;
      rank->copying = true;
    }
  else if (sw->phase == ASH_MAP_FENCE && rank->disarm_first)
    {
      rank->disarm_first = false;
      rank->sent = (struct ash_time){ 0 };
    }
  else
    rank->answered = true;
}

void
ash_map_switch_handle_answer (struct ash_map_switch *sw,
                              struct ash_time now,
                              const struct ash_rank_order *order,
                              uint16_t status)
{
  /* The order is outdated. */
  if (!is_current_order (sw, order))
    return;
  /* A prepare order is answered by 202 when copying has begun, and 200 when all experts are copied.
   */
  if (status == 200 || status == 202)
    handle_success (sw, now, order->rank, status == 202);
  else if (status == 409)
    handle_refusal (sw, now, order->rank);
  advance_phase (sw, now);
}

static uint32_t
slowest_copy_ms (const struct ash_map_switch *sw)
{
  uint32_t slowest_ms = 0;

  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (sw->ranks[i].copy_ms > slowest_ms)
      slowest_ms = sw->ranks[i].copy_ms;
  return slowest_ms;
}

/* Time until an order is sent again. A rank that is copying gets the prepare order again, as a
 * poll, when it should have finished. */
static int64_t
resend_ms (const struct ash_map_switch *sw, const struct ash_map_rank *rank, struct ash_time now)
{
  int64_t left_ms = rank->copy_ms - ash_time_diff (sw->phase_began, now);

  if (sw->phase != ASH_MAP_PREPARE)
    return RESEND_MS;
  if (!rank->copying)
    return PREPARE_RESEND_MS;
  /* Only the rank with the most copies is polled, see mark_copied(). */
  if (left_ms > 0 || rank->copy_ms < slowest_copy_ms (sw))
    return INT64_MAX;
  return PREPARE_POLL_MS;
}

/* Whether the present phase sends orders to that rank. */
static bool
is_addressed (const struct ash_map_switch *sw, uint32_t rank)
{
  switch (sw->phase)
    {
    case ASH_MAP_HOLD:
      return rank == sw->holder;
    case ASH_MAP_GO:
      return rank == sw->holder || (sw->taking_over && rank == sw->foreign_rank);
    case ASH_MAP_FENCE:
      return sw->fence_is_set;
    case ASH_MAP_IDLE:
    case ASH_MAP_PREPARE:
    case ASH_MAP_ARM:
    case ASH_MAP_DISARM:
      break;
    }
  return true;
}

uint32_t
ash_map_switch_orders (struct ash_map_switch *sw,
                       struct ash_time now,
                       struct ash_rank_order orders[ASH_LAYER_RANKS_MAX])
{
  uint32_t count = 0;

  advance_phase (sw, now);
  if (sw->phase == ASH_MAP_IDLE)
    return 0;
  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      struct ash_map_rank *rank = &sw->ranks[i];

      if (rank->answered || !is_addressed (sw, i) ||
          (rank->sent.ms && ash_time_diff (rank->sent, now) < resend_ms (sw, rank, now)))
        continue;
      rank->sent = now;
      if (sw->phase == ASH_MAP_GO)
        rank->released_step = sw->step > rank->released_step ? sw->step : rank->released_step;
      orders[count++] = current_order (sw, i);
    }
  return count;
}

/* Whether requests are being executed but no step begins: some rank may hold a step. */
static bool
is_stalled (const struct ash_map_switch *sw, struct ash_time now)
{
  const struct ash_rank_report *first = &sw->ranks[0].report;

  return first->active && !ash_map_is_stepping (sw, now);
}

bool
ash_map_switch_is_broken (const struct ash_map_switch *sw)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (sw->ranks[i].known && sw->ranks[i].report.epoch == sw->epoch && sw->ranks[i].report.broken)
      return true;
  return false;
}

/* @return the rank that is watched closely: the first one, or if its reports don't arrive, the
 * others in turn. */
static uint32_t
watched_rank (const struct ash_map_switch *sw, struct ash_time now)
{
  int64_t age_ms = ash_time_diff (sw->ranks[0].reported, now);

  return (uint32_t) (age_ms / REPORT_MISSED_MS) % sw->rank_count;
}

bool
ash_map_switch_needs_report (const struct ash_map_switch *sw, struct ash_time now, uint32_t rank)
{
  const struct ash_map_rank *known = &sw->ranks[rank];
  int64_t age_ms = ash_time_diff (known->reported, now);

  if (!known->known || known->report.epoch != sw->epoch || known->report.broken)
    return age_ms >= REPORT_SOON_MS;
  if ((sw->phase == ASH_MAP_ARM || sw->phase == ASH_MAP_FENCE) && known->refusals)
    return age_ms >= REPORT_SOON_MS;
  if (sw->foreign_held || is_stalled (sw, now))
    return age_ms >= REPORT_SOON_MS;
  return age_ms >= (rank == watched_rank (sw, now) ? REPORT_FIRST_MS : REPORT_ALL_MS);
}
