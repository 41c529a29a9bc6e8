#include "controllers/map_switch.h"

/* An order without an answer is sent again after this: ten times a calm round trip between
 * halls, since the group may stand still meanwhile. A map is long and goes to all ranks at
 * once, which takes a small box's link a tenth of a second. */
#define RESEND_MS 40
#define PREPARE_RESEND_MS 120

/* Reports may be so much older than their lag says: the time an answer takes, many times. */
#define REPORT_MARGIN_MS 120

/* Ranks that have not copied all by then won't: ten times what a full change takes. */
#define PREPARE_MS 12000

/* Steps beyond the one that is believed to run now. A hold that comes too late is refused
 * and tried for the next step, which costs one round trip; one for a step far ahead costs
 * all passes until then. */
#define STEPS_AHEAD 1
#define HOLDS_MAX 16

/* Of the passes that should have gone by since the last report, so many are counted on:
 * rather one hold too many than some passes too far. */
#define GONE_PART 0.8

/* A group whose steps were seen so short ago is at work: reports come every half second
 * and lag. */
#define MOVING_MS 1000

/* A prepare that is refused so often won't be taken. */
#define PREPARES_MAX 6

/* A rank that should have copied all is asked again so often. */
#define PREPARE_AGAIN_MS 80

/* How long a hold must have been seen before another router finishes it: longer than a
 * change takes from hold to go, an answer lost included. */
#define FOREIGN_MS 250

/* How long reports may still tell of a hold that was let go. */
#define RELEASED_MS 1200

/* Refusals of an arm after which reports are asked whether the rank can take it at all. */
#define REFUSALS_MAX 3

/* Reports are asked for this often: of all ranks in the long run, of the first one to see
 * a new epoch or a hold, and of those that something hangs on. */
#define REPORT_ALL_MS 4000
#define REPORT_FIRST_MS 500
#define REPORT_SOON_MS 150

/* Versions of different routers differ in their lower bits. */
#define VERSION_DRAW_BITS 20

static void
enter (struct ash_map_switch *sw, struct ash_time now, enum ash_map_phase phase)
{
  sw->phase = phase;
  sw->phase_began = now;
  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      sw->ranks[i].answered = false;
      sw->ranks[i].copying = false;
      sw->ranks[i].refusals = 0;
      sw->ranks[i].sent = (struct ash_time){ 0 };
    }
}

static void
end (struct ash_map_switch *sw, struct ash_time now, enum ash_map_result result)
{
  enter (sw, now, ASH_MAP_IDLE);
  sw->result = result;
  sw->version = 0;
  sw->step = 0;
  sw->finishing = false;
}

void
ash_map_switch_init (struct ash_map_switch *sw,
                     uint32_t rank_count,
                     uint32_t lag_ms,
                     uint32_t own_rank)
{
  *sw = (struct ash_map_switch){
    .rank_count = rank_count,
    .lag_ms = lag_ms,
    .own_rank = own_rank % rank_count,
  };
}

/* ---- reports ---- */

static void
note_step (struct ash_map_switch *sw, struct ash_time at, uint64_t step)
{
  if (step <= sw->last_step)
    return;
  sw->last_step = step;
  sw->last_step_at = at;
}

static void
form_anew (struct ash_map_switch *sw, struct ash_time now, uint64_t epoch)
{
  uint32_t rank_count = sw->rank_count;
  uint32_t lag_ms = sw->lag_ms;
  uint32_t own_rank = sw->own_rank;
  bool under_way = sw->phase != ASH_MAP_IDLE;

  /* All orders of the former epoch are refused from now on. */
  ash_map_switch_init (sw, rank_count, lag_ms, own_rank);
  sw->epoch = epoch;
  sw->phase_began = now;
  sw->result = under_way ? ASH_MAP_VOID : ASH_MAP_NONE;
}

static bool
own_hold (const struct ash_map_switch *sw,
          struct ash_time now,
          const struct ash_rank_report *report)
{
  uint64_t held = report->held;

  if (sw->phase >= ASH_MAP_HOLD && held == sw->step && report->rank == sw->holder)
    return true;
  return held == sw->released && ash_time_diff (sw->released_at, now) < RELEASED_MS;
}

/* Of several holds that are not this router's, the one at the lowest step is where the group
 * stands; the others come next. */
static void
note_hold (struct ash_map_switch *sw, struct ash_time now, const struct ash_rank_report *report)
{
  bool foreign = report->held && !own_hold (sw, now, report);
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
    form_anew (sw, now, report->epoch);
  /* Maps only grow within an epoch: a lower one is the word of before a change. */
  map = rank->report.map > report->map ? rank->report.map : report->map;
  rank->report = *report;
  rank->report.map = map;
  rank->reported = now;
  rank->known = true;
  note_step (sw, ash_time_add (now, -(int64_t) sw->lag_ms), report->step);
  /* That a rank tells to be armed with the version does not do for an answer: it does not tell
   * for which step, and another router may have armed it for another one. */
  note_hold (sw, now, report);
}

void
ash_map_switch_uses (struct ash_map_switch *sw, uint32_t rank, uint64_t epoch, uint64_t version)
{
  if (epoch == sw->epoch && version > sw->ranks[rank].report.map)
    sw->ranks[rank].report.map = version;
}

void
ash_map_switch_pass (struct ash_map_switch *sw, double pass_ms)
{
  sw->pass_ms = pass_ms;
}

void
ash_map_switch_step (struct ash_map_switch *sw, struct ash_time now, uint64_t step)
{
  note_step (sw, now, step);
}

static bool
all_known (const struct ash_map_switch *sw)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (!sw->ranks[i].known || sw->ranks[i].report.epoch != sw->epoch || sw->ranks[i].report.broken)
      return false;
  return true;
}

/* Steps were seen lately: an idle group makes none, however long a pass took before. */
static bool
moves (const struct ash_map_switch *sw, struct ash_time now)
{
  return sw->last_step && ash_time_diff (sw->last_step_at, now) < MOVING_MS;
}

/* The step that surely runs by now. */
static uint64_t
step_now (const struct ash_map_switch *sw, struct ash_time now)
{
  int64_t gone_ms = ash_time_diff (sw->last_step_at, now);

  if (!moves (sw, now) || sw->pass_ms <= 1 || gone_ms <= 0)
    return sw->last_step;
  return sw->last_step + (uint64_t) (GONE_PART * (double) gone_ms / sw->pass_ms);
}

bool
ash_map_switch_ready (const struct ash_map_switch *sw, struct ash_time now)
{
  /* Ranks are armed until the step begins that was let go, and prepare nothing till then. */
  bool settled = step_now (sw, now) >= sw->released;

  return sw->phase == ASH_MAP_IDLE && !sw->foreign_held && settled && all_known (sw);
}

uint64_t
ash_map_switch_version (const struct ash_map_switch *sw, uint64_t draw)
{
  uint64_t above = sw->version;
  uint64_t mask = (UINT64_C (1) << VERSION_DRAW_BITS) - 1;

  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      const struct ash_rank_report *report = &sw->ranks[i].report;

      above = report->map > above ? report->map : above;
      above = report->prepared > above ? report->prepared : above;
      above = report->armed > above ? report->armed : above;
    }
  return ((above >> VERSION_DRAW_BITS) + 1) << VERSION_DRAW_BITS | (draw & mask);
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
  sw->result = ASH_MAP_NONE;
  enter (sw, now, ASH_MAP_PREPARE);
}

static bool
all_answered (const struct ash_map_switch *sw)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (!sw->ranks[i].answered)
      return false;
  return true;
}

/* A rank that has fewer copies to make than the slowest one is done when that one is. */
static void
trust_copies (struct ash_map_switch *sw)
{
  uint32_t slowest = 0;

  for (uint32_t i = 1; i < sw->rank_count; i++)
    if (sw->ranks[i].copy_ms > sw->ranks[slowest].copy_ms)
      slowest = i;
  if (!sw->ranks[slowest].answered)
    return;
  for (uint32_t i = 0; i < sw->rank_count; i++)
    sw->ranks[i].answered = sw->ranks[i].answered || sw->ranks[i].copying;
}

static void
begin_hold (struct ash_map_switch *sw, struct ash_time now)
{
  enter (sw, now, ASH_MAP_HOLD);
  sw->holder = sw->own_rank;
  sw->step = step_now (sw, now) + STEPS_AHEAD;
  sw->holds++;
}

/* What all ranks are to take at a step that another router holds; 0: nothing. */
static uint64_t
version_to_finish (const struct ash_map_switch *sw)
{
  uint64_t prepared = sw->ranks[0].report.prepared;

  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (sw->ranks[i].report.armed)
      return sw->ranks[i].report.armed;
  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (sw->ranks[i].report.prepared != prepared)
      return 0;
  return prepared > sw->ranks[0].report.map ? prepared : 0;
}

/* Whether every rank has that version, or can still take it. */
static bool
all_can_arm (const struct ash_map_switch *sw, uint64_t version)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (sw->ranks[i].report.armed != version && sw->ranks[i].report.prepared != version)
      return false;
  return true;
}

/* The reports that tell what another router had done must be newer than its hold. */
static bool
reported_since (const struct ash_map_switch *sw, struct ash_time since)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    if (ash_time_diff (since, sw->ranks[i].reported) < (int64_t) sw->lag_ms + REPORT_MARGIN_MS)
      return false;
  return true;
}

static void
finish_foreign (struct ash_map_switch *sw, struct ash_time now)
{
  if (!sw->foreign_held || ash_time_diff (sw->foreign_since, now) < FOREIGN_MS || !all_known (sw) ||
      !reported_since (sw, sw->foreign_since))
    return;
  sw->version = version_to_finish (sw);
  sw->step = sw->foreign_held;
  sw->foreign_held = 0;
  sw->finishing = true;
  sw->began = now;
  /* With nothing to arm the group is just let go. Else the step is held here as well: the
   * other router may live, and let go what it holds while ranks are being armed. */
  sw->holder = sw->version ? sw->own_rank : sw->foreign_rank;
  enter (sw, now, sw->version ? ASH_MAP_HOLD : ASH_MAP_GO);
}

/* Whether a rank will never take the version: it refuses, and what it has prepared is
 * another one. The report must be newer than the phase. */
static bool
cannot_arm (const struct ash_map_switch *sw)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      const struct ash_map_rank *rank = &sw->ranks[i];

      if (!rank->answered && rank->refusals >= REFUSALS_MAX &&
          rank->report.prepared != sw->version && rank->report.armed != sw->version &&
          ash_time_diff (sw->phase_began, rank->reported) > (int64_t) sw->lag_ms)
        return true;
    }
  return false;
}

static void
end_release (struct ash_map_switch *sw, struct ash_time now)
{
  enum ash_map_result result = sw->finishing ? ASH_MAP_FINISHED : ASH_MAP_CHANGED;

  sw->released = sw->step;
  sw->released_at = now;
  end (sw, now, sw->version ? result : ASH_MAP_GIVEN_UP);
}

static void
move_on (struct ash_map_switch *sw, struct ash_time now)
{
  switch (sw->phase)
    {
    case ASH_MAP_IDLE:
      finish_foreign (sw, now);
      break;
    case ASH_MAP_PREPARE:
      if (sw->foreign_held || ash_time_diff (sw->began, now) > PREPARE_MS)
        end (sw, now, ASH_MAP_GIVEN_UP);
      else
        {
          trust_copies (sw);
          if (all_answered (sw) && all_known (sw))
            begin_hold (sw, now);
        }
      break;
    case ASH_MAP_HOLD:
      if (sw->ranks[sw->holder].answered)
        enter (sw, now,
               sw->finishing && !all_can_arm (sw, sw->version) ? ASH_MAP_DISARM : ASH_MAP_ARM);
      break;
    case ASH_MAP_ARM:
      if (all_answered (sw))
        enter (sw, now, ASH_MAP_GO);
      else if (cannot_arm (sw))
        enter (sw, now, ASH_MAP_DISARM);
      break;
    case ASH_MAP_DISARM:
      if (!all_answered (sw))
        break;
      sw->version = 0;
      enter (sw, now, ASH_MAP_GO);
      break;
    case ASH_MAP_GO:
      if (sw->ranks[sw->holder].answered &&
          (!sw->finishing || sw->ranks[sw->foreign_rank].answered))
        end_release (sw, now);
      break;
    }
}

static void
take_refusal (struct ash_map_switch *sw, struct ash_time now, uint32_t rank)
{
  switch (sw->phase)
    {
    case ASH_MAP_PREPARE:
      /* It is still armed with the map before: its step has not begun. If that lasts, it is
       * another router's version, or a map that does not fit: read anew, tried anew. */
      if (++sw->ranks[rank].refusals >= PREPARES_MAX)
        end (sw, now, ASH_MAP_GIVEN_UP);
      break;
    case ASH_MAP_HOLD:
      /* The step has begun, or another router holds one; reports will tell which. */
      note_step (sw, now, sw->step);
      /* What was to be finished is: its step has begun. */
      if (sw->finishing)
        end (sw, now, ASH_MAP_GIVEN_UP);
      else if (sw->holds >= HOLDS_MAX || sw->foreign_held)
        end (sw, now, ASH_MAP_GIVEN_UP);
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
    case ASH_MAP_IDLE:
      break;
    }
}

void
ash_map_switch_answered (struct ash_map_switch *sw,
                         struct ash_time now,
                         const struct ash_rank_order *order,
                         uint16_t status)
{
  static const enum ash_map_phase phases[] = {
    [ASH_RANK_PREPARE] = ASH_MAP_PREPARE, [ASH_RANK_HOLD] = ASH_MAP_HOLD,
    [ASH_RANK_ARM] = ASH_MAP_ARM,         [ASH_RANK_DISARM] = ASH_MAP_DISARM,
    [ASH_RANK_GO] = ASH_MAP_GO,
  };

  /* An answer to something that is over. */
  if (order->epoch != sw->epoch || phases[order->kind] != sw->phase ||
      order->version != sw->version || order->step != sw->step)
    return;
  /* To a prepare, 202 says that it has begun to copy, 200 that all is there. */
  if (status == 200 || (status == 202 && sw->phase != ASH_MAP_PREPARE))
    sw->ranks[order->rank].answered = true;
  else if (status == 202)
    sw->ranks[order->rank].copying = true;
  else if (status == 409)
    take_refusal (sw, now, order->rank);
  move_on (sw, now);
}

static enum ash_rank_order_kind
order_kind (enum ash_map_phase phase)
{
  switch (phase)
    {
    case ASH_MAP_HOLD:
      return ASH_RANK_HOLD;
    case ASH_MAP_ARM:
      return ASH_RANK_ARM;
    case ASH_MAP_DISARM:
      return ASH_RANK_DISARM;
    case ASH_MAP_GO:
      return ASH_RANK_GO;
    case ASH_MAP_IDLE:
    case ASH_MAP_PREPARE:
      break;
    }
  return ASH_RANK_PREPARE;
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
  return PREPARE_AGAIN_MS;
}

/* Whether the present phase's order is for that rank. */
static bool
is_meant (const struct ash_map_switch *sw, uint32_t rank)
{
  switch (sw->phase)
    {
    case ASH_MAP_HOLD:
      return rank == sw->holder;
    case ASH_MAP_GO:
      return rank == sw->holder || (sw->finishing && rank == sw->foreign_rank);
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

  move_on (sw, now);
  if (sw->phase == ASH_MAP_IDLE)
    return 0;
  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      struct ash_map_rank *rank = &sw->ranks[i];

      if (rank->answered || !is_meant (sw, i) ||
          (rank->sent.ms && ash_time_diff (rank->sent, now) < resend_ms (sw, rank, now)))
        continue;
      rank->sent = now;
      orders[count++] = (struct ash_rank_order){
        .kind = order_kind (sw->phase),
        .rank = i,
        .epoch = sw->epoch,
        .version = sw->version,
        .step = sw->step,
      };
    }
  return count;
}

/* Requests are at work, and yet no step begins: some rank may be held. */
static bool
stands_still (const struct ash_map_switch *sw, struct ash_time now)
{
  const struct ash_rank_report *first = &sw->ranks[0].report;

  return first->active && !moves (sw, now);
}

bool
ash_map_switch_wants_report (const struct ash_map_switch *sw, struct ash_time now, uint32_t rank)
{
  const struct ash_map_rank *known = &sw->ranks[rank];
  int64_t age_ms = ash_time_diff (known->reported, now);

  if (!known->known || known->report.epoch != sw->epoch || known->report.broken)
    return age_ms >= REPORT_SOON_MS;
  if (sw->phase == ASH_MAP_ARM && known->refusals)
    return age_ms >= REPORT_SOON_MS;
  if (sw->foreign_held || stands_still (sw, now))
    return age_ms >= REPORT_SOON_MS;
  return age_ms >= (rank == 0 ? REPORT_FIRST_MS : REPORT_ALL_MS);
}
