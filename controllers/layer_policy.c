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
  const double *demand;
  uint32_t replicas[ASH_LAYER_EXPERTS_MAX];
  double load[ASH_LAYER_RANKS_MAX];
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
  double newest = policy->reports ? policy->weights.newest : 1;

  for (uint32_t layer = 0; layer < policy->layer_count; layer++)
    {
      const double *row = counts + (size_t) layer * policy->expert_count;
      double total = 0;

      for (uint32_t expert = 0; expert < policy->expert_count; expert++)
        total += row[expert];
      if (total <= 0)
        continue;
      for (uint32_t expert = 0; expert < policy->expert_count; expert++)
        policy->demand[layer][expert] +=
            newest * (row[expert] / total - policy->demand[layer][expert]);
    }
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

static void
count_layer (struct layer *layer)
{
  const struct ash_layer_map *map = layer->map;

  memset (layer->replicas, 0, sizeof layer->replicas);
  memset (layer->load, 0, sizeof layer->load);
  for (uint32_t rank = 0; rank < map->rank_count; rank++)
    for (uint32_t slot = 0; slot < map->slot_count; slot++)
      if (map->slots[layer->index][rank][slot] != ASH_NO_EXPERT)
        layer->replicas[map->slots[layer->index][rank][slot]]++;
  for (uint32_t rank = 0; rank < map->rank_count; rank++)
    for (uint32_t slot = 0; slot < map->slot_count; slot++)
      {
        uint16_t expert = map->slots[layer->index][rank][slot];

        if (expert != ASH_NO_EXPERT)
          layer->load[rank] += layer->demand[expert] / layer->replicas[expert];
      }
}

static bool
holds (const struct layer *layer, uint32_t rank, uint16_t expert)
{
  const uint16_t *slots = layer->map->slots[layer->index][rank];

  for (uint32_t slot = 0; slot < layer->map->slot_count; slot++)
    if (slots[slot] == expert)
      return true;
  return false;
}

/* Loads scaled by the mean, so that the power neither overflows nor vanishes. */
static double
cost_of (const struct layer *layer, const double *load)
{
  double cost = 0;

  for (uint32_t rank = 0; rank < layer->map->rank_count; rank++)
    cost += raise (load[rank] * layer->map->rank_count);
  return cost;
}

/* The cost of the layer if @p expert came into that slot in place of what is there. */
static double
cost_after (const struct layer *layer, uint32_t rank, uint32_t slot, uint16_t expert)
{
  const struct ash_layer_map *map = layer->map;
  uint16_t old = map->slots[layer->index][rank][slot];
  double share = layer->demand[expert] / layer->replicas[expert];
  double new_share = layer->demand[expert] / (layer->replicas[expert] + 1);
  double load[ASH_LAYER_RANKS_MAX];

  memcpy (load, layer->load, map->rank_count * sizeof *load);
  for (uint32_t other = 0; other < map->rank_count; other++)
    {
      if (holds (layer, other, expert))
        load[other] += new_share - share;
      if (old != ASH_NO_EXPERT && other != rank && holds (layer, other, old))
        load[other] += layer->demand[old] / (layer->replicas[old] - 1) -
                       layer->demand[old] / layer->replicas[old];
    }
  load[rank] += new_share;
  if (old != ASH_NO_EXPERT)
    load[rank] -= layer->demand[old] / layer->replicas[old];
  return cost_of (layer, load);
}

static uint32_t
most_loaded (const struct layer *layer)
{
  uint32_t most = 0;

  for (uint32_t rank = 1; rank < layer->map->rank_count; rank++)
    if (layer->load[rank] > layer->load[most])
      most = rank;
  return most;
}

/* ---- moves ---- */

/* Whether what is in the slot may go: the last replica must stay. */
static bool
may_go (const struct layer *layer, uint32_t rank, uint32_t slot)
{
  uint16_t old = layer->map->slots[layer->index][rank][slot];

  return old == ASH_NO_EXPERT || layer->replicas[old] > 1;
}

static void
try_rank (const struct layer *layer, uint16_t expert, uint32_t rank, struct move *best)
{
  const struct ash_layer_map *map = layer->map;

  if (layer->new_count[rank] >= layer->policy->weights.rank_moves || holds (layer, rank, expert))
    return;
  for (uint32_t slot = 0; slot < map->slot_count; slot++)
    {
      bool empty = map->slots[layer->index][rank][slot] == ASH_NO_EXPERT;
      double cost;

      if (layer->is_new[rank][slot] || !may_go (layer, rank, slot))
        continue;
      cost = cost_after (layer, rank, slot, expert);
      if (cost < best->cost)
        *best = (struct move){ rank, slot, expert, cost };
      /* All empty slots are alike. */
      if (empty)
        break;
    }
}

/* The best replica of any expert of the most loaded rank. */
static struct move
best_move (const struct layer *layer)
{
  const struct ash_layer_map *map = layer->map;
  uint32_t most = most_loaded (layer);
  struct move best = { .expert = ASH_NO_EXPERT, .cost = cost_of (layer, layer->load) };

  for (uint32_t slot = 0; slot < map->slot_count; slot++)
    {
      uint16_t expert = map->slots[layer->index][most][slot];

      if (expert == ASH_NO_EXPERT)
        continue;
      for (uint32_t rank = 0; rank < map->rank_count; rank++)
        if (rank != most)
          try_rank (layer, expert, rank, &best);
    }
  return best;
}

static double
top_load (const struct layer *layer)
{
  return layer->load[most_loaded (layer)] * layer->map->rank_count;
}

/* The most loaded rank over the mean, as the power sees it. */
static double
norm_of (const struct layer *layer)
{
  return sqrt (sqrt (sqrt (cost_of (layer, layer->load))));
}

static uint32_t
change_layer (struct layer *layer)
{
  struct ash_layer_map *map = layer->map;
  uint32_t moves_max = map->rank_count * layer->policy->weights.rank_moves;
  uint32_t moves = 0;

  while (moves < moves_max)
    {
      double before = norm_of (layer);
      struct move move = best_move (layer);
      uint16_t old;

      if (move.expert == ASH_NO_EXPERT)
        break;
      old = map->slots[layer->index][move.rank][move.slot];
      map->slots[layer->index][move.rank][move.slot] = move.expert;
      count_layer (layer);
      if (before - norm_of (layer) < layer->policy->weights.least_gain)
        {
          map->slots[layer->index][move.rank][move.slot] = old;
          count_layer (layer);
          break;
        }
      layer->is_new[move.rank][move.slot] = true;
      layer->new_count[move.rank]++;
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
  *layer =
      (struct layer){ policy, map, index, policy->demand[index], { 0 }, { 0 }, { 0 }, { { 0 } } };
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
      sum += top_load (&layer);
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
