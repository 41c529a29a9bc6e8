#include "controllers/expert_policy.h"

#include <string.h>

/* Weight of a new report in the smoothed loads. */
#define FAST_WEIGHT 0.5
#define SLOW_WEIGHT 0.1

/* Reports needed before the first move: a single report is too noisy. */
#define REPORTS_MIN 3

/* Weight of the loads' spread in the objective. The maximum alone does not change if one of several
 * equally loaded ranks is relieved. */
#define SPREAD_WEIGHT 0.05

/* Gains up to this value are treated as noise. */
#define GAIN_MIN 0.01

/* Loads of the ranks under a placement. */
struct loads
{
  double
      tokens[ASH_EXPERTS_MAX]; /* fraction of all tokens that each expert processes; the sum is 1 */
  uint16_t replicas[ASH_EXPERTS_MAX];
  double ranks[ASH_EXPERT_POLICY_RANKS_MAX];
};

void
ash_expert_policy_init (struct ash_expert_policy *policy,
                        uint32_t expert_count,
                        const struct ash_expert_weights *weights)
{
  *policy = (struct ash_expert_policy){ .weights = *weights, .expert_count = expert_count };
}

void
ash_expert_policy_report (struct ash_expert_policy *policy, const double *tokens)
{
  double sum = 0;
  double fast = policy->reports ? FAST_WEIGHT : 1;
  double slow = policy->reports ? SLOW_WEIGHT : 1;

  for (uint32_t e = 0; e < policy->expert_count; e++)
    sum += tokens[e];
  if (sum <= 0)
    return;
  for (uint32_t e = 0; e < policy->expert_count; e++)
    {
      policy->fast[e] += fast * (tokens[e] / sum - policy->fast[e]);
      policy->slow[e] += slow * (tokens[e] / sum - policy->slow[e]);
    }
  policy->reports++;
}

void
ash_expert_policy_set_forecast (struct ash_expert_policy *policy, const double *tokens)
{
  double sum = 0;

  for (uint32_t e = 0; e < policy->expert_count; e++)
    sum += tokens[e];
  policy->forecast = sum > 0;
  for (uint32_t e = 0; policy->forecast && e < policy->expert_count; e++)
    policy->expected[e] = tokens[e] / sum;
}

void
ash_expert_policy_end_forecast (struct ash_expert_policy *policy, bool begun)
{
  if (policy->forecast && begun)
    {
      memcpy (policy->fast, policy->expected, sizeof policy->fast);
      memcpy (policy->slow, policy->expected, sizeof policy->slow);
    }
  policy->forecast = false;
}

/* ---- loads ---- */

static uint32_t
slot_count (const struct ash_expert_placement *placement)
{
  return placement->rank_count * placement->rank_slots;
}

static void
compute_loads (struct loads *loads,
               const struct ash_expert_placement *placement,
               const double *tokens,
               const double *speeds)
{
  double sum = 0;

  memset (loads, 0, sizeof *loads);
  for (uint32_t e = 0; e < placement->expert_count; e++)
    sum += tokens[e];
  for (uint32_t e = 0; e < placement->expert_count; e++)
    loads->tokens[e] = sum > 0 ? tokens[e] / sum : 0;
  for (uint32_t s = 0; s < slot_count (placement); s++)
    loads->replicas[placement->slots[s]]++;
  for (uint32_t s = 0; s < slot_count (placement); s++)
    {
      uint32_t rank = s / placement->rank_slots;
      uint16_t expert = placement->slots[s];

      loads->ranks[rank] += loads->tokens[expert] / loads->replicas[expert] / speeds[rank];
    }
}

static uint32_t
slowest_rank (const struct loads *loads, uint32_t rank_count)
{
  uint32_t slowest = 0;

  for (uint32_t r = 1; r < rank_count; r++)
    if (loads->ranks[r] > loads->ranks[slowest])
      slowest = r;
  return slowest;
}

/* The objective to minimize: the skew, plus a small weight on the spread of the loads. */
static double
objective (const double *ranks, uint32_t rank_count)
{
  double most = 0;
  double squares = 0;

  for (uint32_t r = 0; r < rank_count; r++)
    {
      most = ranks[r] > most ? ranks[r] : most;
      squares += ranks[r] * ranks[r];
    }
  /* The mean load is 1 / rank_count, since the shares add up to 1. */
  return most * rank_count + SPREAD_WEIGHT * squares * rank_count;
}

double
ash_expert_skew (const struct ash_expert_placement *placement,
                 const double *tokens,
                 const double *speeds)
{
  struct loads loads;

  compute_loads (&loads, placement, tokens, speeds);
  return loads.ranks[slowest_rank (&loads, placement->rank_count)] * placement->rank_count;
}

/* ---- candidates ---- */

/* A possible change: one move, or two that exchange the experts of two slots. */
struct candidate
{
  uint32_t count;
  struct ash_expert_move moves[2];
};

static bool
holds (const struct ash_expert_placement *placement, uint32_t rank, uint16_t expert)
{
  for (uint32_t i = 0; i < placement->rank_slots; i++)
    if (placement->slots[rank * placement->rank_slots + i] == expert)
      return true;
  return false;
}

/* Updates the ranks' loads for a move: the moved expert gains a replica, so its other replicas
 * carry less; the replaced expert loses one, so its other replicas carry more. */
static void
shift_replica (double *ranks,
               const struct loads *loads,
               const struct ash_expert_placement *placement,
               const double *speeds,
               const struct ash_expert_move *move)
{
  uint16_t other = placement->slots[move->slot];
  double replicas = loads->replicas[move->expert];
  double other_replicas = loads->replicas[other];
  double relief = loads->tokens[move->expert] * (1 / replicas - 1 / (replicas + 1));
  double burden = loads->tokens[other] * (1 / (other_replicas - 1) - 1 / other_replicas);
  uint32_t to = move->slot / placement->rank_slots;

  for (uint32_t s = 0; s < slot_count (placement); s++)
    {
      uint32_t rank = s / placement->rank_slots;

      if (placement->slots[s] == move->expert)
        ranks[rank] -= relief / speeds[rank];
      else if (placement->slots[s] == other && s != move->slot)
        ranks[rank] += burden / speeds[rank];
    }
  ranks[to] +=
      (loads->tokens[move->expert] / (replicas + 1) - loads->tokens[other] / other_replicas) /
      speeds[to];
}

/* Updates the ranks' loads for an exchange of the experts of two slots. */
static void
exchange (double *ranks,
          const struct loads *loads,
          const struct ash_expert_placement *placement,
          const double *speeds,
          const struct candidate *candidate)
{
  uint16_t expert = candidate->moves[0].expert;
  uint16_t other = candidate->moves[1].expert;
  uint32_t to = candidate->moves[0].slot / placement->rank_slots;
  uint32_t from = candidate->moves[1].slot / placement->rank_slots;
  double difference = loads->tokens[expert] / loads->replicas[expert] -
                      loads->tokens[other] / loads->replicas[other];

  ranks[to] += difference / speeds[to];
  ranks[from] -= difference / speeds[from];
}

static double
objective_with (const struct loads *loads,
                const struct ash_expert_placement *placement,
                const double *speeds,
                const struct candidate *candidate)
{
  double ranks[ASH_EXPERT_POLICY_RANKS_MAX] = { 0 };

  memcpy (ranks, loads->ranks, placement->rank_count * sizeof ranks[0]);
  if (candidate->count == 1)
    shift_replica (ranks, loads, placement, speeds, &candidate->moves[0]);
  else
    exchange (ranks, loads, placement, speeds, candidate);
  return objective (ranks, placement->rank_count);
}

/* State against which candidates are evaluated, under both smoothed loads. */
struct evaluation
{
  const struct ash_expert_placement *placement;
  const double *speeds;
  struct loads fast;
  struct loads slow;
  double fast_objective;
  double slow_objective;
};

/* The smaller of the gains under the recent and the lasting loads: a popularity that oscillates
 * shows a gain under only one of them. */
static double
gain_of (const struct evaluation *evaluation, const struct candidate *candidate)
{
  double fast =
      evaluation->fast_objective -
      objective_with (&evaluation->fast, evaluation->placement, evaluation->speeds, candidate);
  double slow;

  if (fast <= GAIN_MIN)
    return fast;
  slow = evaluation->slow_objective -
         objective_with (&evaluation->slow, evaluation->placement, evaluation->speeds, candidate);
  return fast < slow ? fast : slow;
}

/* Proposes to put a replica of the expert in slot @p from into slot @p to, or, if slot @p to holds
 * the last replica of its expert, to exchange the experts of the two slots.
 * @return whether the move is possible. */
static bool
make_candidate (const struct ash_expert_placement *placement,
                const struct loads *loads,
                uint32_t from,
                uint32_t to,
                struct candidate *candidate)
{
  uint32_t from_rank = from / placement->rank_slots;
  uint32_t to_rank = to / placement->rank_slots;
  uint16_t expert = placement->slots[from];
  uint16_t other = placement->slots[to];

  if (to_rank == from_rank || holds (placement, to_rank, expert))
    return false;
  candidate->moves[0] = (struct ash_expert_move){ (uint16_t) to, expert };
  candidate->count = 1;
  if (loads->replicas[other] > 1)
    return true;
  if (holds (placement, from_rank, other))
    return false;
  candidate->moves[1] = (struct ash_expert_move){ (uint16_t) from, other };
  candidate->count = 2;
  /* An exchange only helps if the other expert carries less load. */
  return loads->tokens[other] < loads->tokens[expert] / loads->replicas[expert];
}

/* Only ranks with less than the mean load are considered as destinations. */
static bool
is_below_mean (const struct loads *loads, uint32_t rank, uint32_t rank_count)
{
  return loads->ranks[rank] * rank_count < 1;
}

/* Finds the candidate with the highest gain per move that takes a replica from the slowest rank.
 * @param room maximum number of moves.
 * @return its gain per move; 0: there is none. */
static double
find_best (const struct evaluation *evaluation, uint32_t room, struct candidate *best)
{
  const struct ash_expert_placement *placement = evaluation->placement;
  const struct loads *loads = &evaluation->fast;
  double best_gain = 0;
  uint32_t first = slowest_rank (loads, placement->rank_count) * placement->rank_slots;

  for (uint32_t from = first; from < first + placement->rank_slots; from++)
    for (uint32_t to = 0; to < slot_count (placement); to++)
      {
        struct candidate candidate;
        double gain;

        if (!is_below_mean (loads, to / placement->rank_slots, placement->rank_count) ||
            !make_candidate (placement, loads, from, to, &candidate) || candidate.count > room)
          continue;
        gain = gain_of (evaluation, &candidate) / candidate.count;
        if (gain <= best_gain)
          continue;
        best_gain = gain;
        *best = candidate;
      }
  return best_gain;
}

void
ash_expert_placement_apply (struct ash_expert_placement *placement,
                            const struct ash_expert_move *moves,
                            uint32_t move_count)
{
  for (uint32_t i = 0; i < move_count; i++)
    placement->slots[moves[i].slot] = moves[i].expert;
}

void
ash_expert_policy_decide (const struct ash_expert_policy *policy,
                          const struct ash_expert_placement *placement,
                          const double *speeds,
                          struct ash_expert_decision *decision)
{
  const struct ash_expert_weights *weights = &policy->weights;
  const double *fast = policy->forecast ? policy->expected : policy->fast;
  const double *slow = policy->forecast ? policy->expected : policy->slow;
  struct ash_expert_placement changed = *placement;
  struct evaluation evaluation = { .placement = &changed, .speeds = speeds };
  struct candidate best;

  *decision = (struct ash_expert_decision){ 0 };
  decision->skew_before = ash_expert_skew (placement, fast, speeds);
  decision->skew_after = decision->skew_before;
  while ((policy->forecast || policy->reports >= REPORTS_MIN) &&
         decision->move_count < weights->moves && decision->move_count < ASH_EXPERT_MOVES_MAX)
    {
      uint32_t room = weights->moves - decision->move_count;
      double gain;

      if (room > ASH_EXPERT_MOVES_MAX - decision->move_count)
        room = ASH_EXPERT_MOVES_MAX - decision->move_count;
      compute_loads (&evaluation.fast, &changed, fast, speeds);
      compute_loads (&evaluation.slow, &changed, slow, speeds);
      evaluation.fast_objective = objective (evaluation.fast.ranks, changed.rank_count);
      evaluation.slow_objective = objective (evaluation.slow.ranks, changed.rank_count);
      gain = find_best (&evaluation, room, &best);
      if (gain <= GAIN_MIN || gain * weights->skew * weights->horizon <= weights->cost)
        {
          decision->refused_gain = gain;
          break;
        }
      ash_expert_placement_apply (&changed, best.moves, best.count);
      memcpy (&decision->moves[decision->move_count], best.moves,
              best.count * sizeof best.moves[0]);
      decision->move_count += best.count;
    }
  decision->skew_after = ash_expert_skew (&changed, fast, speeds);
}

/* ---- the full repack ---- */

static uint16_t
most_loaded_expert (const struct loads *loads, uint32_t expert_count, const uint16_t *unplaced)
{
  uint32_t found = 0;
  double most = -1;

  for (uint32_t e = 0; e < expert_count; e++)
    {
      double share = loads->tokens[e] / loads->replicas[e];

      if ((unplaced && !unplaced[e]) || share <= most)
        continue;
      most = share;
      found = e;
    }
  return (uint16_t) found;
}

static uint32_t
least_loaded_rank (const struct ash_expert_placement *placement,
                   const double *load,
                   const uint32_t *used,
                   uint16_t expert)
{
  uint32_t found = placement->rank_count;

  /* Two replicas of an expert on one rank do not spread its load, so a rank gets a second one only
   * if no other rank has a free slot. */
  for (int strict = 1; strict >= 0 && found == placement->rank_count; strict--)
    for (uint32_t r = 0; r < placement->rank_count; r++)
      {
        bool twice = false;

        for (uint32_t i = 0; strict && i < used[r]; i++)
          twice |= placement->slots[r * placement->rank_slots + i] == expert;
        if (used[r] < placement->rank_slots && !twice &&
            (found == placement->rank_count || load[r] < load[found]))
          found = r;
      }
  return found;
}

void
ash_expert_repack (struct ash_expert_placement *placement, const double *tokens)
{
  struct loads loads = { 0 };
  uint16_t unplaced[ASH_EXPERTS_MAX];
  double load[ASH_EXPERT_POLICY_RANKS_MAX] = { 0 };
  uint32_t used[ASH_EXPERT_POLICY_RANKS_MAX] = { 0 };

  for (uint32_t e = 0; e < placement->expert_count; e++)
    {
      loads.tokens[e] = tokens[e];
      loads.replicas[e] = 1;
    }
  for (uint32_t s = placement->expert_count; s < slot_count (placement); s++)
    loads.replicas[most_loaded_expert (&loads, placement->expert_count, NULL)]++;
  memcpy (unplaced, loads.replicas, sizeof unplaced);
  for (uint32_t s = 0; s < slot_count (placement); s++)
    {
      uint16_t expert = most_loaded_expert (&loads, placement->expert_count, unplaced);
      uint32_t rank = least_loaded_rank (placement, load, used, expert);

      placement->slots[rank * placement->rank_slots + used[rank]++] = expert;
      load[rank] += loads.tokens[expert] / loads.replicas[expert];
      unplaced[expert]--;
    }
}
