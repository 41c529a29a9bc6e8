#include "controllers/expert_rank.h"

void
ash_expert_rank_init (struct ash_expert_rank *rank,
                      const char *group,
                      uint32_t number,
                      uint64_t incarnation,
                      uint64_t map)
{
  *rank = (struct ash_expert_rank){
    .group = group, .rank = number, .incarnation = incarnation, .map = map, .before = map
  };
}

void
ash_expert_rank_init_blank (struct ash_expert_rank *rank,
                            const char *group,
                            uint32_t number,
                            uint64_t incarnation)
{
  *rank = (struct ash_expert_rank){
    .group = group, .rank = number, .incarnation = incarnation, .blank = true
  };
}

static void
disarm (struct ash_expert_rank *rank)
{
  rank->armed = 0;
  rank->armed_map = 0;
  rank->armed_step = 0;
}

static void
commit (struct ash_expert_rank *rank, uint64_t map, uint64_t step)
{
  rank->before = rank->map;
  rank->map = map;
  rank->from = step;
  rank->version++;
  disarm (rank);
}

static bool
apply_arm (struct ash_expert_rank *rank, const struct Ash__RankOrder *order)
{
  /* The step was already begun with the old map, here and perhaps on other ranks. */
  if (rank->blank || order->step <= rank->begun)
    return false;
  /* A committed map must be in use before the next one is armed: a rank keeps only
   * two maps, and a replaced rank may have to run the present step again. */
  if (rank->begun < rank->from)
    return false;
  rank->armed = order->ballot;
  rank->armed_map = order->map;
  rank->armed_step = order->step;
  return true;
}

static bool
apply_commit (struct ash_expert_rank *rank, const struct Ash__RankOrder *order)
{
  if (rank->blank)
    return false;
  if (rank->last_ballot == order->ballot && rank->from == order->step)
    return true; /* a duplicate of an executed order */
  if (rank->armed != order->ballot || rank->armed_step != order->step)
    return false;
  commit (rank, rank->armed_map, rank->armed_step);
  rank->last_ballot = order->ballot;
  return true;
}

/* Another rank has committed the map. All ranks were armed for it before, so this
 * rank has not begun that step. */
static bool
apply_finish (struct ash_expert_rank *rank, const struct Ash__RankOrder *order)
{
  if (rank->blank)
    return false;
  if (rank->version == order->version)
    return rank->map == order->map;
  if (rank->version + 1 != order->version || rank->begun >= order->step)
    return false;
  commit (rank, order->map, order->step);
  return true;
}

static bool
apply_adopt (struct ash_expert_rank *rank, const struct Ash__RankOrder *order)
{
  if (!rank->blank)
    return rank->version == order->version && rank->map == order->map;
  rank->blank = false;
  rank->version = order->version;
  rank->map = order->map;
  rank->from = order->step;
  rank->before = order->before;
  rank->begun = order->begun;
  return true;
}

static bool
apply_order (struct ash_expert_rank *rank, const struct Ash__RankOrder *order)
{
  switch (order->kind)
    {
    case ASH__RANK_ORDER__KIND__PREPARE:
      return true;
    case ASH__RANK_ORDER__KIND__ARM:
      return apply_arm (rank, order);
    case ASH__RANK_ORDER__KIND__COMMIT:
      return apply_commit (rank, order);
    case ASH__RANK_ORDER__KIND__FINISH:
      return apply_finish (rank, order);
    case ASH__RANK_ORDER__KIND__DISARM:
      disarm (rank);
      return true;
    case ASH__RANK_ORDER__KIND__ADOPT:
      return apply_adopt (rank, order);
    default:
      return false;
    }
}

static bool
is_stale (const struct ash_expert_fence *fence,
          uint64_t incarnation,
          const struct Ash__RankOrder *order)
{
  if (order->ballot < fence->promised)
    return true;
  /* A delayed order of an earlier phase. Executing a disarm after the arm, for example,
   * would let this rank begin a step with the old map while others have committed the new one. */
  if (order->ballot == fence->promised && order->sequence < fence->sequence)
    return true;
  /* The order was sent to an earlier incarnation of this rank. */
  return order->kind != ASH__RANK_ORDER__KIND__PREPARE && order->life != incarnation;
}

bool
ash_expert_fence_admit (struct ash_expert_fence *fence,
                        uint64_t incarnation,
                        const struct Ash__RankOrder *order)
{
  if (is_stale (fence, incarnation, order))
    return false;
  fence->promised = order->ballot;
  fence->sequence = order->sequence;
  return true;
}

void
ash_expert_rank_handle_order (struct ash_expert_rank *rank,
                              const struct Ash__RankOrder *order,
                              const char *peer,
                              const struct ash_sink *sink)
{
  struct Ash__RankState state = ASH__RANK_STATE__INIT;

  if (ash_expert_fence_admit (&rank->fence, rank->incarnation, order))
    state.accepted = apply_order (rank, order);
  state.group = ash_proto_text (rank->group);
  state.rank = rank->rank;
  state.life = rank->incarnation;
  state.ballot = order->ballot;
  state.sequence = order->sequence;
  state.blank = rank->blank;
  state.promised = rank->fence.promised;
  state.begun = rank->begun;
  state.version = rank->version;
  state.map = rank->map;
  state.from = rank->from;
  state.before = rank->before;
  state.armed = rank->armed;
  state.armed_step = rank->armed_step;
  ash_emit (sink, peer, ASH__EVENT__KIND_RANK_STATE, &state);
}

bool
ash_expert_rank_may_begin (const struct ash_expert_rank *rank)
{
  return !rank->blank && !(rank->armed && rank->armed_step == rank->begun + 1);
}

uint64_t
ash_expert_rank_begin (struct ash_expert_rank *rank)
{
  rank->begun++;
  return rank->begun >= rank->from ? rank->map : rank->before;
}
