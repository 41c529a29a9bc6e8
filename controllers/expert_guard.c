#include "controllers/expert_guard.h"

void
ash_expert_guard_init (struct ash_expert_guard *guard, uint64_t incarnation, bool checks)
{
  *guard = (struct ash_expert_guard){
    .incarnation = incarnation, .checks = checks, .unsettled = true, .answered = ASH_TIME_NEVER
  };
}

static uint64_t
rank_incarnation (const struct ash_expert_guard *guard)
{
  return guard->engine_incarnation ^ guard->incarnation;
}

static bool
is_settled (struct ash_expert_guard *guard, struct ash_time now)
{
  if (guard->unsettled && guard->answered.ms != ASH_TIME_NEVER.ms &&
      ash_time_diff (guard->answered, now) >= ASH_EXPERT_SETTLE_MS)
    guard->unsettled = false;
  return !guard->unsettled;
}

enum ash_expert_verdict
ash_expert_guard_order (struct ash_expert_guard *guard,
                        struct ash_time now,
                        const struct Ash__RankOrder *order,
                        struct Ash__RankOrder *forwarded)
{
  if (!guard->checks && (guard->busy || !is_settled (guard, now)))
    return ASH_EXPERT_WAIT;
  /* No order can be meant for an engine that has not reported its incarnation yet. */
  if (!guard->engine_incarnation && order->kind != ASH__RANK_ORDER__KIND__PREPARE)
    return ASH_EXPERT_REFUSE;
  if (!ash_expert_fence_admit (&guard->fence, rank_incarnation (guard), order))
    return ASH_EXPERT_REFUSE;
  guard->busy = true;
  *forwarded = *order;
  forwarded->life = guard->engine_incarnation;
  return ASH_EXPERT_FORWARD;
}

void
ash_expert_guard_refusal (const struct ash_expert_guard *guard,
                          const struct Ash__RankOrder *order,
                          struct Ash__RankState *state)
{
  state->life = rank_incarnation (guard);
  state->ballot = order->ballot;
  state->sequence = order->sequence;
  state->promised = guard->fence.promised;
}

void
ash_expert_guard_answer (struct ash_expert_guard *guard,
                         struct ash_time now,
                         bool is_order,
                         struct Ash__RankState *state)
{
  if (is_order)
    guard->busy = false;
  if (guard->unsettled && guard->answered.ms == ASH_TIME_NEVER.ms)
    guard->answered = now;
  guard->engine_incarnation = state->life;
  state->life = rank_incarnation (guard);
  if (state->promised < guard->fence.promised)
    state->promised = guard->fence.promised;
}

void
ash_expert_guard_lost (struct ash_expert_guard *guard)
{
  guard->busy = false;
  guard->unsettled = true;
  guard->answered = ASH_TIME_NEVER;
}
