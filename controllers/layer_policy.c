#include "controllers/layer_policy.h"

#include <math.h>
#include <stdlib.h>
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
  double load[ASH_LAYER_RANKS_MAX];        /* over the mean rank's */
  double power;                            /* sum of the loads' eighth powers */
  uint32_t new_count[ASH_LAYER_RANKS_MAX];
  bool is_new[ASH_LAYER_RANKS_MAX][ASH_LAYER_SLOTS_MAX];
};

/* A replica of an expert into a rank's slot. */
struct move
{
  uint32_t rank;
  uint32_t slot;
  uint16_t expert; /* ASH_NO_EXPERT: none helps */
  double gain;     /* what it takes off the layer's norm */
};

/* All layers of a map while a change is drawn up, and the moves made so far, in order. */
struct change
{
  struct ash_layer_map map;
  struct layer layers[ASH_LAYERS_MAX];
  struct move best[ASH_LAYERS_MAX];
  uint32_t rank_moves[ASH_LAYER_RANKS_MAX]; /* in all layers */
  uint32_t rank_limit;                      /* of these, for now */
  uint32_t made_count;
  struct
  {
    uint32_t layer;
    struct move move;
  } made[ASH_LAYER_RANKS_MAX * ASH_CHANGE_COPIES_MAX];
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

static double
cosine (const double *a, const double *b, uint32_t count)
{
  double product = 0;
  double a_square = 0;
  double b_square = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      product += a[i] * b[i];
      a_square += a[i] * a[i];
      b_square += b[i] * b[i];
    }
  return a_square > 0 && b_square > 0 ? product / sqrt (a_square * b_square) : 0;
}

static void
report_layer (struct ash_layer_policy *policy, uint32_t layer, const double *counts)
{
  double *demand = policy->demand[layer];
  double total = 0;
  double kept = policy->weights.decay;

  for (uint32_t expert = 0; expert < policy->expert_count; expert++)
    total += counts[expert];
  if (total <= 0)
    return;
  if (cosine (demand, counts, policy->expert_count) < policy->weights.alike)
    {
      kept = 0;
      policy->shifts++;
    }
  for (uint32_t expert = 0; expert < policy->expert_count; expert++)
    demand[expert] = kept * demand[expert] + (1 - kept) * counts[expert] / total;
}

void
ash_layer_policy_report (struct ash_layer_policy *policy, const double *counts)
{
  policy->shifts = 0;
  for (uint32_t layer = 0; layer < policy->layer_count; layer++)
    report_layer (policy, layer, counts + (size_t) layer * policy->expert_count);
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
share_of (const struct layer *layer, uint16_t expert, uint32_t replicas)
{
  return layer->policy->demand[layer->index][expert] * layer->map->rank_count / replicas;
}

static void
sum_power (struct layer *layer)
{
  layer->power = 0;
  for (uint32_t rank = 0; rank < layer->map->rank_count; rank++)
    layer->power += raise (layer->load[rank]);
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
  for (uint32_t rank = 0; rank < map->rank_count; rank++)
    for (uint32_t slot = 0; slot < map->slot_count; slot++)
      {
        uint16_t expert = map->slots[layer->index][rank][slot];

        if (expert != ASH_NO_EXPERT)
          layer->load[rank] += share_of (layer, expert, layer->replicas[expert]);
      }
  sum_power (layer);
}

/* The norm if @p expert came into the rank's slot in place of @p old. Only ranks that hold
 * one of them change. */
static double
norm_after (const struct layer *layer, uint32_t rank, uint16_t old, uint16_t expert)
{
  uint64_t own = UINT64_C (1) << rank;
  uint64_t gains = layer->holders[expert];
  uint64_t losses = old != ASH_NO_EXPERT ? layer->holders[old] & ~own : 0;
  uint32_t replicas = layer->replicas[expert];
  double share = share_of (layer, expert, replicas + 1);
  double gain = share - share_of (layer, expert, replicas);
  double dropped = old != ASH_NO_EXPERT ? share_of (layer, old, layer->replicas[old]) : 0;
  double loss =
      old != ASH_NO_EXPERT ? share_of (layer, old, layer->replicas[old] - 1) - dropped : 0;
  double power = layer->power;

  for (uint64_t ranks = gains | losses | own; ranks; ranks &= ranks - 1)
    {
      uint32_t other = (uint32_t) __builtin_ctzll (ranks);
      double load = layer->load[other];
      double after = load;

      if (gains >> other & 1)
        after += gain;
      if (losses >> other & 1)
        after += loss;
      if (other == rank)
        after += share - dropped;
      power += raise (after) - raise (load);
    }
  return eighth_root (power > 0 ? power : 0);
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

static void
try_rank (const struct layer *layer, uint16_t expert, uint32_t rank, double now, struct move *best)
{
  const struct ash_layer_map *map = layer->map;

  for (uint32_t slot = 0; slot < map->slot_count; slot++)
    {
      uint16_t old = map->slots[layer->index][rank][slot];
      double gain;

      /* The last replica must stay, and what was just decided too. */
      if (layer->is_new[rank][slot] || (old != ASH_NO_EXPERT && layer->replicas[old] < 2))
        continue;
      gain = now - norm_after (layer, rank, old, expert);
      if (gain > best->gain)
        *best = (struct move){ rank, slot, expert, gain };
      /* All empty slots are alike. */
      if (old == ASH_NO_EXPERT)
        break;
    }
}

/* The best replica of any expert of the layer's most loaded rank. */
static struct move
find_move (const struct change *change, const struct layer *layer)
{
  const struct ash_layer_weights *weights = &layer->policy->weights;
  const struct ash_layer_map *map = layer->map;
  double now = eighth_root (layer->power);
  uint32_t most = most_loaded (layer);
  struct move best = { .expert = ASH_NO_EXPERT };

  for (uint32_t slot = 0; slot < map->slot_count; slot++)
    {
      uint16_t expert = map->slots[layer->index][most][slot];

      if (expert == ASH_NO_EXPERT)
        continue;
      for (uint32_t rank = 0; rank < map->rank_count; rank++)
        if (!(layer->holders[expert] >> rank & 1) &&
            layer->new_count[rank] < weights->layer_moves &&
            change->rank_moves[rank] < change->rank_limit)
          try_rank (layer, expert, rank, now, &best);
    }
  return best;
}

/* The layer whose best move gains most; the layer count if none is worth it. */
static uint32_t
best_layer (const struct change *change, const struct ash_layer_map *map, double least_gain)
{
  uint32_t best = map->layer_count;
  double gain = least_gain;

  for (uint32_t i = 0; i < map->layer_count; i++)
    if (change->best[i].expert != ASH_NO_EXPERT && change->best[i].gain > gain)
      {
        best = i;
        gain = change->best[i].gain;
      }
  return best;
}

/* Makes a layer's best move. */
static void
make_move (struct change *change, struct layer *layer)
{
  struct move move = change->best[layer->index];

  layer->map->slots[layer->index][move.rank][move.slot] = move.expert;
  layer->is_new[move.rank][move.slot] = true;
  layer->new_count[move.rank]++;
  change->rank_moves[move.rank]++;
  change->made[change->made_count].layer = layer->index;
  change->made[change->made_count].move = move;
  change->made_count++;
  count_layer (layer);
}

static void
open_layer (struct layer *layer,
            const struct ash_layer_policy *policy,
            struct ash_layer_map *map,
            uint32_t index)
{
  memset (layer, 0, sizeof *layer);
  layer->policy = policy;
  layer->map = map;
  layer->index = index;
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
      sum += layer.load[most_loaded (&layer)];
    }
  return map->layer_count ? sum / map->layer_count : 1;
}

static double
mean_skew (const struct change *change)
{
  uint32_t layer_count = change->map.layer_count;
  double sum = 0;

  for (uint32_t i = 0; i < layer_count; i++)
    sum += change->layers[i].load[most_loaded (&change->layers[i])];
  return layer_count ? sum / layer_count : 1;
}

/* Whether ranks that have their part of copies keep a move from being made. */
static bool
is_limited (const struct change *change)
{
  for (uint32_t rank = 0; rank < change->map.rank_count; rank++)
    if (change->rank_moves[rank] >= change->rank_limit)
      return true;
  return false;
}

/* Makes the moves that are worth it while no rank may have more copies than the limit. */
static void
make_moves (struct change *change, double least_gain)
{
  const struct ash_layer_map *map = &change->map;
  uint32_t layer;

  for (uint32_t i = 0; i < map->layer_count; i++)
    change->best[i] = find_move (change, &change->layers[i]);
  while ((layer = best_layer (change, map, least_gain)) < map->layer_count)
    {
      make_move (change, &change->layers[layer]);
      /* A rank that has its part of copies now is no longer open to any layer. */
      for (uint32_t i = 0; i < map->layer_count; i++)
        if (i == layer || change->rank_moves[change->best[i].rank] >= change->rank_limit)
          change->best[i] = find_move (change, &change->layers[i]);
    }
}

/* Makes the first moves that were drawn up in the map itself. */
static void
apply_moves (const struct change *change, uint32_t count, struct ash_layer_map *map)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const struct move *move = &change->made[i].move;

      map->slots[change->made[i].layer][move->rank][move->slot] = move->expert;
    }
}

void
ash_layer_policy_decide (const struct ash_layer_policy *policy,
                         const struct ash_change_terms *terms,
                         struct ash_layer_map *map,
                         struct ash_layer_decision *decision)
{
  struct change *change = calloc (1, sizeof *change);
  /* With so many copies a rank. */
  double skews[ASH_CHANGE_COPIES_MAX + 1] = { 0 };
  uint32_t counts[ASH_CHANGE_COPIES_MAX + 1] = { 0 };
  uint32_t most = 0;

  *decision = (struct ash_layer_decision){ 0 };
  if (!change)
    {
      decision->skew_before = ash_layer_skew (policy, map);
      decision->skew_after = decision->skew_before;
      return;
    }
  change->map = *map;
  for (uint32_t i = 0; i < map->layer_count; i++)
    open_layer (&change->layers[i], policy, &change->map, i);
  skews[0] = mean_skew (change);
  while (most < policy->weights.rank_moves && most < ASH_CHANGE_COPIES_MAX)
    {
      change->rank_limit = most + 1;
      make_moves (change, policy->weights.least_gain);
      if (change->made_count == counts[most])
        break;
      most++;
      skews[most] = mean_skew (change);
      counts[most] = change->made_count;
    }
  decision->copies = ash_change_plan (terms, skews[0], skews + 1, most);
  decision->moves = counts[decision->copies];
  decision->more = decision->copies && (decision->copies < most || is_limited (change));
  decision->skew_before = skews[0];
  decision->skew_after = skews[decision->copies];
  apply_moves (change, decision->moves, map);
  free (change);
}
