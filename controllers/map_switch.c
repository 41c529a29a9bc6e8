#include "controllers/map_takeover.h"
#include "controllers/map_steps.h"

/* An order without an answer is sent again after this: ten times a calm round trip between
 * halls, since the group may stand still meanwhile. A map is long and goes to all ranks at
 * once, which takes a small box's link a tenth of a second. */
#define RESEND_MS 40
#define PREPARE_RESEND_MS 120

/* Ranks that have not copied all by then won't: ten times what a full change takes. */
#define PREPARE_TIMEOUT_MS 12000

/* Steps beyond the one that is believed to run now. A hold that comes too late is refused
 * and tried for the next step, which costs one round trip; one for a step far ahead costs
 * all passes until then. */
#define STEPS_AHEAD 1
#define HOLDS_MAX 16

/* A prepare that is refused so often won't be taken. */
#define PREPARE_REFUSALS_MAX 6

/* A rank that should have copied all is asked again so often. */
#define PREPARE_POLL_MS 80

/* How long a hold must have been seen before another router finishes it: longer than a
 * change takes from hold to go, an answer lost included. */
#define FOREIGN_HOLD_MIN_MS 120

/* How long reports may still tell of a hold that was let go. */
#define RELEASED_HOLD_MS 1200

/* A rank that has not taken an arm by then is not waited for any longer: nearly what a full
 * change copies for, and the group stands still meanwhile. */
#define ARM_TIMEOUT_MS 1000

/* Without the map in use there is no fence. Its lists come within a round trip, or are asked
 * for again after 400 ms. */
#define FENCE_TIMEOUT_MS 2000

/* Reports are asked for this often: of all ranks in the long run, of the first one to see
 * a new epoch or a hold, and of those that something hangs on. */
#define REPORT_ALL_MS 4000
#define REPORT_FIRST_MS 500
#define REPORT_SOON_MS 150

/* Versions of different routers differ in their lower bits. */
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
  /* Of the ranks those of the group alone: there is room for many more. */
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

  /* All orders of the former epoch are refused from now on. */
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

/* Of several holds that are not this router's, the one at the lowest step is where the group
 * stands; the others come next. */
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
    return; /* an old word */
  if (report->epoch > sw->epoch)
    reset_for_epoch (sw, now, report->epoch);
  /* Maps only grow within an epoch: a lower one is the word of before a change. */
  map = rank->report.map > report->map ? rank->report.map : report->map;
  rank->report = *report;
  rank->report.map = map;
  rank->reported = now;
  rank->known = true;
  ash_map_record_step (sw, ash_time_add (now, -(int64_t) sw->lag_ms), report->step);
  /* That a rank tells to be armed with the version does not do for an answer: it does not tell
   * for which step, and another router may have armed it for another one. */
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
                             struct ash_time asked)
{
  if (epoch != sw->epoch)
    return;
  sw->ranks[rank].prepared = version;
  sw->ranks[rank].lists_requested = asked;
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
  /* Ranks are armed until the step begins that was let go, and prepare nothing till then. */
  bool settled = ash_map_current_step (sw, now) >= sw->released;

  return sw->phase == ASH_MAP_IDLE && !sw->foreign_held && settled && all_known (sw);
}

uint64_t
ash_map_switch_new_version (const struct ash_map_switch *sw, uint64_t draw)
{
  uint64_t above = sw->version > sw->fence ? sw->version : sw->fence;
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

/* A rank that has fewer copies to make than the slowest one is not asked once that one is done,
 * but it may have begun later: a lost order, or a slow link. */
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

/* A step that was let go is not held again, though it may not have begun: whoever finished under
 * the hold before may still send its own order to go. */
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
  /* With nothing to arm the group is just let go. Else the step is held here as well: the
   * other router may live, and let go what it holds while ranks are being armed. */
  sw->holder = sw->version ? ash_map_takeover_rank (sw, sw->step) : sw->foreign_rank;
  enter_phase (sw, now, sw->version ? ASH_MAP_HOLD : ASH_MAP_GO);
}

/* Whether the rank has had a newer version than the present one, which it then never takes.
 * That it has not told of the present one says nothing: it may still copy. */
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

/* Whether no rank can be armed any more with the version that is given up: each has taken the
 * fence, or refuses it since it had something newer. */
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
  sw->fence_is_set = true;
}

static void
released_step (struct ash_map_switch *sw, struct ash_time now)
{
  sw->version = 0;
  enter_phase (sw, now, ASH_MAP_GO);
}

/* Another router may have let go what is held here: nothing is to be armed any more. */
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
advance (struct ash_map_switch *sw, struct ash_time now)
{
  if (has_begun (sw))
    released_step (sw, now);
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
        released_step (sw, now);
      break;
    case ASH_MAP_GO:
      if (sw->ranks[sw->holder].answered &&
          (!sw->taking_over || sw->ranks[sw->foreign_rank].answered))
        finish_release (sw, now);
      break;
    }
}

/* At once for the first time; an answer that stays the same has another cause. */
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
      /* It is still armed with the map before: its step has not begun. If that lasts, it is
       * another router's version, or a map that does not fit: read anew, tried anew. */
      if (++sw->ranks[rank].refusals >= PREPARE_REFUSALS_MAX)
        end (sw, now, ASH_MAP_ABORTED);
      break;
    case ASH_MAP_HOLD:
      /* The step has begun, or another router holds one; reports will tell which. */
      sw->refused = sw->step;
      /* What was to be finished is: its step has begun. */
      if (sw->taking_over)
        end (sw, now, ASH_MAP_ABORTED);
      else if (sw->holds >= HOLDS_MAX || sw->foreign_held)
        end (sw, now, ASH_MAP_ABORTED);
      else
        begin_hold (sw, now);
      break;
    case ASH_MAP_GO:
      /* It holds nothing any more: another router has let it go. */
    case ASH_MAP_DISARM:
      /* It is not armed. */
      sw->ranks[rank].answered = true;
      break;
    case ASH_MAP_ARM:
      sw->ranks[rank].refusals++; /* sent again, until it is clear that it can't */
      break;
    case ASH_MAP_FENCE:
      /* It had something newer; or it is armed, by an arm that came after the disarm. */
      if (sw->ranks[rank].disarm_first)
        sw->ranks[rank].disarm_first = false; /* that was refused: it is in use */
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

/* What that rank is to be told now. */
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

/* Whether the answer is to what is still to be done there. */
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
  /* An answer to something that is over. */
  if (!is_current_order (sw, order))
    return;
  /* To a prepare, 202 says that it has begun to copy, 200 that all is there. */
  if (status == 200 || status == 202)
    handle_success (sw, now, order->rank, status == 202);
  else if (status == 409)
    handle_refusal (sw, now, order->rank);
  advance (sw, now);
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

/* How long an order waits for its effect before it is sent again. A rank that copies is
 * asked whether it has all when it should. */
static int64_t
resend_ms (const struct ash_map_switch *sw, const struct ash_map_rank *rank, struct ash_time now)
{
  int64_t left_ms = rank->copy_ms - ash_time_diff (sw->phase_began, now);

  if (sw->phase != ASH_MAP_PREPARE)
    return RESEND_MS;
  if (!rank->copying)
    return PREPARE_RESEND_MS;
  /* The slowest is asked; its answer stands for those that had less to copy. */
  if (left_ms > 0 || rank->copy_ms < slowest_copy_ms (sw))
    return INT64_MAX;
  return PREPARE_POLL_MS;
}

/* Whether the present phase's order is for that rank. */
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

  advance (sw, now);
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

/* Requests are at work, and yet no step begins: some rank may be held. */
static bool
is_stalled (const struct ash_map_switch *sw, struct ash_time now)
{
  const struct ash_rank_report *first = &sw->ranks[0].report;

  return first->active && !ash_map_is_stepping (sw, now);
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
  return age_ms >= (rank == 0 ? REPORT_FIRST_MS : REPORT_ALL_MS);
}
