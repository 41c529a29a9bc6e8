#include "controllers/layer_policy.h"

#include <math.h>
#include <string.h>

/* Loads are compared by the sum of a high power: close to comparing the most loaded
 * ranks, but with a slope where several ranks share the top. The eighth is three
 * squarings. */
/* One layer while it is being changed. */
struct layer
{
  const struct ash_layer_policy *policy;
  struct ash_layer_map *map;
  uint32_t index;
  uint32_t replicas[ASH_LAYER_EXPERTS_MAX];
  uint64_t holders[ASH_LAYER_EXPERTS_MAX]; /* ranks that hold it, a bit each */
  double weight[ASH_LAYER_REPORTS];
  double load[ASH_LAYER_REPORTS][ASH_LAYER_RANKS_MAX]; /* over the mean rank's */
  uint32_t new_count[ASH_LAYER_RANKS_MAX];
  bool is_new[ASH_LAYER_RANKS_MAX][ASH_LAYER_SLOTS_MAX];
};

/* A replica of an expert into a rank's slot. */
struct move
{
  uint32_t rank;
  uint32_t slot;
  uint16_t expert;
  double cost; /* of the layer after it */
};

void
ash_layer_policy_init (struct ash_layer_policy *policy,
                       uint32_t layer_count,
                       uint32_t expert_count,
                       const struct ash_layer_weights *weights)
{
  *policy = (struct ash_layer_policy){
    .weights = *weights,
    .layer_count = layer_count,
    .expert_count = expert_count,
  };
}

void
ash_layer_policy_report (struct ash_layer_policy *policy, const double *counts)
{
  uint32_t kept = policy->kept < ASH_LAYER_REPORTS ? policy->kept + 1 : ASH_LAYER_REPORTS;

  memmove (policy->demand[1], policy->demand[0], (kept - 1) * sizeof policy->demand[0]);
  for (uint32_t layer = 0; layer < policy->layer_count; layer++)
    {
      const double *row = counts + (size_t) layer * policy->expert_count;
      double total = 0;

      for (uint32_t expert = 0; expert < policy->expert_count; expert++)
        total += row[expert];
      for (uint32_t expert = 0; expert < policy->expert_count; expert++)
        policy->demand[0][layer][expert] =
            (float) (total > 0 ? row[expert] / total : 1.0 / policy->expert_count);
    }
  policy->kept = kept;
  policy->reports++;
}

/* ---- loads ---- */

static double
raise (double load)
{
  double square = load * load;
  double fourth = square * square;

  return fourth * fourth;
}

static double
eighth_root (double power)
{
  return sqrt (sqrt (sqrt (power)));
}

/* What a replica of the expert carries, over the mean rank's load. */
static double
share_of (const struct layer *layer, uint32_t report, uint16_t expert, uint32_t replicas)
{
  return (double) layer->policy->demand[report][layer->index][expert] * layer->map->rank_count /
         replicas;
}

static void
count_layer (struct layer *layer)
{
  const struct ash_layer_map *map = layer->map;

  memset (layer->replicas, 0, sizeof layer->replicas);
  memset (layer->holders, 0, sizeof layer->holders);
  memset (layer->load, 0, sizeof layer->load);
  for (uint32_t rank = 0; rank < map->rank_count; rank++)
    for (uint32_t slot = 0; slot < map->slot_count; slot++)
      {
        uint16_t expert = map->slots[layer->index][rank][slot];

        if (expert == ASH_NO_EXPERT)
          continue;
        layer->replicas[expert]++;
        layer->holders[expert] |= UINT64_C (1) << rank;
      }
  for (uint32_t report = 0; report < layer->policy->kept; report++)
    for (uint32_t rank = 0; rank < map->rank_count; rank++)
      for (uint32_t slot = 0; slot < map->slot_count; slot++)
        {
          uint16_t expert = map->slots[layer->index][rank][slot];

          if (expert != ASH_NO_EXPERT)
            layer->load[report][rank] += share_of (layer, report, expert, layer->replicas[expert]);
        }
}

static double
norm (const struct layer *layer, const double *load)
{
  double power = 0;

  for (uint32_t rank = 0; rank < layer->map->rank_count; rank++)
    power += raise (load[rank]);
  return eighth_root (power);
}

/* Adds @p change to the load of all ranks of a set. */
static void
shift (double *load, uint64_t ranks, double change)
{
  for (; ranks; ranks &= ranks - 1)
    load[__builtin_ctzll (ranks)] += change;
}

/* The norm under one report if @p expert came into the rank's slot in place of @p old. */
static double
norm_after (
    const struct layer *layer, uint32_t report, uint32_t rank, uint16_t old, uint16_t expert)
{
  double load[ASH_LAYER_RANKS_MAX];
  uint32_t replicas = layer->replicas[expert];
  double share = share_of (layer, report, expert, replicas + 1);

  memcpy (load, layer->load[report], layer->map->rank_count * sizeof *load);
  shift (load, layer->holders[expert], share - share_of (layer, report, expert, replicas));
  load[rank] += share;
  if (old != ASH_NO_EXPERT)
    {
      uint32_t left = layer->replicas[old] - 1;
      double before = share_of (layer, report, old, left + 1);

      shift (load, layer->holders[old] & ~(UINT64_C (1) << rank),
             share_of (layer, report, old, left) - before);
      load[rank] -= before;
    }
  return norm (layer, load);
}

static double
cost_after (const struct layer *layer, uint32_t rank, uint16_t old, uint16_t expert)
{
  double cost = 0;

  for (uint32_t report = 0; report < layer->policy->kept; report++)
    cost += layer->weight[report] * norm_after (layer, report, rank, old, expert);
  return cost;
}

static double
cost_now (const struct layer *layer)
{
  double cost = 0;

  for (uint32_t report = 0; report < layer->policy->kept; report++)
    cost += layer->weight[report] * norm (layer, layer->load[report]);
  return cost;
}

static uint32_t
most_loaded (const struct layer *layer, uint32_t report)
{
  uint32_t most = 0;

  for (uint32_t rank = 1; rank < layer->map->rank_count; rank++)
    if (layer->load[report][rank] > layer->load[report][most])
      most = rank;
  return most;
}

/* The report that costs most as it stands. */
static uint32_t
worst_report (const struct layer *layer)
{
  double most = 0;
  uint32_t worst = 0;

  for (uint32_t report = 0; report < layer->policy->kept; report++)
    {
      double cost = layer->weight[report] * norm (layer, layer->load[report]);

      if (cost > most)
        {
          most = cost;
          worst = report;
        }
    }
  return worst;
}

/* ---- moves ---- */

static void
try_rank (const struct layer *layer, uint16_t expert, uint32_t rank, struct move *best)
{
  const struct ash_layer_map *map = layer->map;

  if (layer->new_count[rank] >= layer->policy->weights.rank_moves ||
      layer->holders[expert] >> rank & 1)
    return;
  for (uint32_t slot = 0; slot < map->slot_count; slot++)
    {
      uint16_t old = map->slots[layer->index][rank][slot];
      double cost;

      /* The last replica must stay, and what was just decided too. */
      if (layer->is_new[rank][slot] || (old != ASH_NO_EXPERT && layer->replicas[old] < 2))
        continue;
      cost = cost_after (layer, rank, old, expert);
      if (cost < best->cost)
        *best = (struct move){ rank, slot, expert, cost };
      /* All empty slots are alike. */
      if (old == ASH_NO_EXPERT)
        break;
    }
}

/* Tries replicas of all experts of a rank. */
static void
relieve (const struct layer *layer, uint32_t most, struct move *best)
{
  const struct ash_layer_map *map = layer->map;

  for (uint32_t slot = 0; slot < map->slot_count; slot++)
    {
      uint16_t expert = map->slots[layer->index][most][slot];

      if (expert == ASH_NO_EXPERT)
        continue;
      for (uint32_t rank = 0; rank < map->rank_count; rank++)
        if (rank != most)
          try_rank (layer, expert, rank, best);
    }
}

static uint32_t
change_layer (struct layer *layer)
{
  struct ash_layer_map *map = layer->map;
  uint32_t moves_max = map->rank_count * layer->policy->weights.rank_moves;
  uint32_t moves = 0;

  while (moves < moves_max)
    {
      double cost = cost_now (layer);
      struct move best = { .expert = ASH_NO_EXPERT, .cost = cost };
      uint32_t newest_top = most_loaded (layer, 0);
      uint32_t worst_top = most_loaded (layer, worst_report (layer));

      relieve (layer, newest_top, &best);
      if (worst_top != newest_top)
        relieve (layer, worst_top, &best);
      if (best.expert == ASH_NO_EXPERT || cost - best.cost < layer->policy->weights.least_gain)
        break;
      map->slots[layer->index][best.rank][best.slot] = best.expert;
      layer->is_new[best.rank][best.slot] = true;
      layer->new_count[best.rank]++;
      count_layer (layer);
      moves++;
    }
  return moves;
}

static void
open_layer (struct layer *layer,
            const struct ash_layer_policy *policy,
            struct ash_layer_map *map,
            uint32_t index)
{
  double weight = 1;
  double total = 0;

  memset (layer, 0, sizeof *layer);
  layer->policy = policy;
  layer->map = map;
  layer->index = index;
  for (uint32_t report = 0; report < policy->kept; report++, weight *= policy->weights.decay)
    total += weight;
  weight = 1;
  for (uint32_t report = 0; report < policy->kept; report++, weight *= policy->weights.decay)
    layer->weight[report] = weight / total;
  count_layer (layer);
}

double
ash_layer_skew (const struct ash_layer_policy *policy, const struct ash_layer_map *map)
{
  double sum = 0;

  for (uint32_t i = 0; i < map->layer_count; i++)
    {
      struct layer layer;

      open_layer (&layer, policy, (struct ash_layer_map *) (uintptr_t) map, i);
      sum += layer.load[0][most_loaded (&layer, 0)];
    }
  return map->layer_count ? sum / map->layer_count : 1;
}

void
ash_layer_policy_decide (const struct ash_layer_policy *policy,
                         struct ash_layer_map *map,
                         struct ash_layer_decision *decision)
{
  *decision = (struct ash_layer_decision){ .skew_before = ash_layer_skew (policy, map) };
  for (uint32_t i = 0; i < map->layer_count; i++)
    {
      struct layer layer;

      open_layer (&layer, policy, map, i);
      decision->moves += change_layer (&layer);
    }
  decision->skew_after = ash_layer_skew (policy, map);
}
