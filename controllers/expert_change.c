#include "controllers/expert_change.h"

#include <string.h>

/* The upper bits of a ballot are a round number, the lower bits the coordinator's
 * random salt, so that two processes, or a process and its restarted successor,
 * do not use the same ballot. */
#define BALLOT_SALT_BITS 32

void
ash_expert_change_init (struct ash_expert_change *change,
                        const char *group,
                        const char *const *boxes,
                        uint32_t rank_count,
                        uint32_t salt,
                        struct ash_sink sink)
{
  *change = (struct ash_expert_change){
    .group = group, .boxes = boxes, .rank_count = rank_count, .salt = salt, .sink = sink
  };
}

bool
ash_expert_change_running (const struct ash_expert_change *change)
{
  return change->phase != ASH_EXPERT_IDLE && change->phase != ASH_EXPERT_DONE &&
         change->phase != ASH_EXPERT_FAILED;
}

/* ---- state of the whole group, from the answers of the PREPARE phase ---- */

/* @return a rank with the newest committed map, or NULL if all ranks are blank. */
static const struct ash_expert_rank_answer *
newest_rank (const struct ash_expert_change *change)
{
  const struct ash_expert_rank_answer *found = NULL;

  for (uint32_t i = 0; i < change->rank_count; i++)
    {
      const struct ash_expert_rank_answer *answer = &change->answers[i];

      if (!answer->blank && (!found || answer->version > found->version))
        found = answer;
    }
  return found;
}

static bool
is_behind (const struct ash_expert_change *change, const struct ash_expert_rank_answer *answer)
{
  return !answer->blank && answer->version < newest_rank (change)->version;
}

static uint64_t
latest_begun (const struct ash_expert_change *change)
{
  uint64_t latest = 0;

  for (uint32_t i = 0; i < change->rank_count; i++)
    if (!change->answers[i].blank && change->answers[i].begun > latest)
      latest = change->answers[i].begun;
  return latest;
}

/* A replaced rank resumes at the step of the others. If one of them has begun a
 * step, the replaced rank had begun the step before it: that step is not run
 * again, so the map that it was run with is no longer needed. */
static uint64_t
resume_step (const struct ash_expert_change *change)
{
  uint64_t latest = latest_begun (change);

  return latest > 0 ? latest - 1 : 0;
}

/* ---- phases ---- */

/* Whether the present phase sends orders to that rank. */
static bool
is_addressed (const struct ash_expert_change *change, const struct ash_expert_rank_answer *answer)
{
  switch (change->phase)
    {
    case ASH_EXPERT_FINISH:
      return is_behind (change, answer);
    case ASH_EXPERT_DISARM:
      return !answer->blank;
    case ASH_EXPERT_ADOPT:
      return answer->blank;
    default:
      return true;
    }
}

static void
fill_order (const struct ash_expert_change *change, struct Ash__RankOrder *order)
{
  const struct ash_expert_rank_answer *found = newest_rank (change);

  switch (change->phase)
    {
    case ASH_EXPERT_PREPARE:
      order->kind = ASH__RANK_ORDER__KIND__PREPARE;
      break;
    case ASH_EXPERT_DISARM:
      order->kind = ASH__RANK_ORDER__KIND__DISARM;
      break;
    case ASH_EXPERT_FINISH:
    case ASH_EXPERT_ADOPT:
      order->kind = change->phase == ASH_EXPERT_FINISH ? ASH__RANK_ORDER__KIND__FINISH
                                                       : ASH__RANK_ORDER__KIND__ADOPT;
      order->version = found->version;
      order->map = found->map;
      order->step = found->from;
      order->before = found->before;
      order->begun = resume_step (change);
      order->placement.data = (uint8_t *) (uintptr_t) change->found.placement;
      order->placement.len = change->found.length;
      break;
    case ASH_EXPERT_ARM:
    case ASH_EXPERT_COMMIT:
      order->kind = change->phase == ASH_EXPERT_ARM ? ASH__RANK_ORDER__KIND__ARM
                                                    : ASH__RANK_ORDER__KIND__COMMIT;
      order->map = change->wanted.digest;
      order->step = change->step;
      order->placement.data = (uint8_t *) (uintptr_t) change->wanted.placement;
      order->placement.len = change->wanted.length;
      break;
    default:
      break;
    }
}

static void
send_orders (struct ash_expert_change *change, struct ash_time now)
{
  struct Ash__RankOrder order = ASH__RANK_ORDER__INIT;

  order.group = ash_proto_text (change->group);
  order.ballot = change->ballot;
  order.sequence = change->sequence;
  fill_order (change, &order);
  change->sent = now;
  for (uint32_t i = 0; i < change->rank_count; i++)
    {
      if (!change->answers[i].awaited)
        continue;
      order.rank = i;
      order.life = change->answers[i].incarnation;
      ash_emit (&change->sink, change->boxes[i], ASH__EVENT__KIND_RANK_ORDER, &order);
    }
}

/* @return whether the phase has an order for any rank. */
static bool
begin_phase (struct ash_expert_change *change, struct ash_time now, enum ash_expert_phase phase)
{
  bool any = false;

  change->phase = phase;
  change->sequence++;
  change->since = now;
  for (uint32_t i = 0; i < change->rank_count; i++)
    {
      change->answers[i].awaited = is_addressed (change, &change->answers[i]);
      any |= change->answers[i].awaited;
    }
  if (any)
    send_orders (change, now);
  return any;
}

static void
begin_arm (struct ash_expert_change *change, struct ash_time now)
{
  if (change->arms++ == ASH_EXPERT_ARMS_MAX)
    {
      change->phase = ASH_EXPERT_FAILED;
      return;
    }
  change->step = latest_begun (change) + ASH_EXPERT_STEPS_AHEAD;
  begin_phase (change, now, ASH_EXPERT_ARM);
}

/* Once all ranks have answered PREPARE: if one rank has committed a newer map, the
 * others commit it too (FINISH), otherwise ranks that are still armed are disarmed
 * (DISARM); then replaced ranks receive the state of the group (ADOPT); only then
 * can a new map be armed and committed. */
static void
next_phase (struct ash_expert_change *change, struct ash_time now)
{
  switch (change->phase)
    {
    case ASH_EXPERT_PREPARE:
      if (!newest_rank (change))
        {
          /* All ranks were replaced: no rank has the group's state. */
          change->phase = ASH_EXPERT_FAILED;
          return;
        }
      if (begin_phase (change, now, ASH_EXPERT_FINISH))
        return;
      begin_phase (change, now, ASH_EXPERT_DISARM);
      return;
    case ASH_EXPERT_FINISH:
    case ASH_EXPERT_DISARM:
      if (begin_phase (change, now, ASH_EXPERT_ADOPT))
        return;
      __attribute__ ((fallthrough));
    case ASH_EXPERT_ADOPT:
      if (change->wanted.digest && change->wanted.digest != newest_rank (change)->map)
        begin_arm (change, now);
      else
        change->phase = ASH_EXPERT_DONE;
      return;
    case ASH_EXPERT_ARM:
      begin_phase (change, now, ASH_EXPERT_COMMIT);
      return;
    case ASH_EXPERT_COMMIT:
      change->phase = ASH_EXPERT_DONE;
      return;
    default:
      return;
    }
}

/* ---- messages ---- */

void
ash_expert_change_start (struct ash_expert_change *change,
                         struct ash_time now,
                         const struct ash_expert_map *wanted)
{
  uint64_t round = (change->highest >> BALLOT_SALT_BITS) + 1;

  change->ballot = round << BALLOT_SALT_BITS | change->salt;
  change->arms = 0;
  change->highest = change->ballot;
  change->wanted = wanted ? *wanted : (struct ash_expert_map){ 0 };
  change->found = (struct ash_expert_map){ 0 };
  memset (change->answers, 0, sizeof change->answers);
  begin_phase (change, now, ASH_EXPERT_PREPARE);
}

static void
store_answer (struct ash_expert_change *change,
              struct ash_expert_rank_answer *answer,
              const struct Ash__RankState *state)
{
  /* Ranks that are behind or were replaced are sent the placement of the newest map. */
  if (!state->blank && state->placement.len <= sizeof change->found.placement &&
      (!change->found.digest || state->version > newest_rank (change)->version))
    {
      change->found.digest = state->map;
      change->found.length = (uint32_t) state->placement.len;
      if (state->placement.len)
        memcpy (change->found.placement, state->placement.data, state->placement.len);
    }
  answer->blank = state->blank;
  answer->incarnation = state->life;
  answer->begun = state->begun;
  answer->version = state->version;
  answer->map = state->map;
  answer->from = state->from;
  answer->before = state->before;
}

static bool
all_answered (const struct ash_expert_change *change)
{
  for (uint32_t i = 0; i < change->rank_count; i++)
    if (change->answers[i].awaited)
      return false;
  return true;
}

static void
handle_refusal (struct ash_expert_change *change,
                struct ash_time now,
                const struct Ash__RankState *state)
{
  struct ash_expert_rank_answer *answer = &change->answers[state->rank];

  /* The rank has already begun the step, or does not use its last committed map yet:
   * all ranks are armed again for a later step. After any other refusal the state of all
   * ranks must be read again, by a new change. */
  if (change->phase != ASH_EXPERT_ARM || state->promised != change->ballot ||
      state->life != answer->incarnation)
    {
      change->phase = ASH_EXPERT_FAILED;
      return;
    }
  answer->begun = state->begun;
  begin_arm (change, now);
}

void
ash_expert_change_handle_state (struct ash_expert_change *change,
                                struct ash_time now,
                                const struct Ash__RankState *state)
{
  struct ash_expert_rank_answer *answer;

  if (state->promised > change->highest)
    change->highest = state->promised;
  if (!ash_expert_change_running (change) || state->rank >= change->rank_count ||
      state->ballot != change->ballot || state->sequence != change->sequence)
    return;
  answer = &change->answers[state->rank];
  if (!answer->awaited)
    return;
  if (!state->accepted)
    {
      handle_refusal (change, now, state);
      return;
    }
  answer->awaited = false;
  /* Later phases only update the step that the rank has begun: the change relies on the
   * remaining state as it was in the PREPARE phase. */
  if (change->phase == ASH_EXPERT_PREPARE)
    store_answer (change, answer, state);
  else
    answer->begun = state->begun;
  if (all_answered (change))
    next_phase (change, now);
}

void
ash_expert_change_tick (struct ash_expert_change *change, struct ash_time now)
{
  if (!ash_expert_change_running (change))
    return;
  if (ash_time_diff (change->since, now) >= ASH_EXPERT_CHANGE_TIMEOUT_MS)
    change->phase = ASH_EXPERT_FAILED;
  else if (ash_time_diff (change->sent, now) >= ASH_EXPERT_RESEND_MS)
    send_orders (change, now);
}
