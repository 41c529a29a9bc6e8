#include "controllers/layer_policy.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define WORD_BITS 64
#define WORDS_MAX ((ASH_LAYER_RANKS_MAX + WORD_BITS - 1) / WORD_BITS)

/* Number of ranks up to which the configured weights apply as they are. In larger groups the
 * minimum gain of a move falls, and the maximum number of moves per rank rises, with the number of
 * ranks. */
#define WEIGHTS_RANK_COUNT 12

/* Maximum number of replicas that are dropped from slow ranks in one change. */
#define DROPS_MAX 1024

/* Minimum reduction of the skew for a change that only drops replicas: every change stalls the
 * group for a moment. */
#define DROP_ONLY_SKEW_GAIN_MIN 0.05

/* A set of ranks, one bit per rank. */
struct rank_set
{
  uint64_t words[WORDS_MAX];
};

/* One layer while it is being changed.
 *
 * Loads are compared by their 8-norm, the eighth root of the sum of their eighth powers. It is
 * close to the maximum load, but also falls when one of several most loaded ranks is relieved. An
 * eighth power takes three squarings. */
struct layer
{
  const struct ash_layer_policy *policy;
  const double *pace; /* slowdown of each rank, 1: normal; NULL: no rank is slow */
  struct ash_layer_map *map;
  uint32_t index;
  uint32_t replicas[ASH_LAYER_EXPERTS_MAX];
  struct rank_set holders[ASH_LAYER_EXPERTS_MAX]; /* ranks that hold the expert */
  double load[ASH_LAYER_RANKS_MAX];               /* in multiples of the mean load */
  double power;                                   /* sum of the loads' eighth powers */
  uint32_t new_count[ASH_LAYER_RANKS_MAX];        /* slots assigned in this change */
  /* Whether the slot was assigned in this change. */
  bool is_assigned[ASH_LAYER_RANKS_MAX][ASH_LAYER_SLOTS_MAX];
};

/* A move: a rank's slot gets a replica of an expert. */
struct move
{
  uint32_t rank;
  uint32_t slot;
  uint16_t expert; /* ASH_NO_EXPERT: the slot becomes empty, or there is no useful move */
  double gain;     /* decrease of the layer's norm */
};

/* A change being computed: all layers of the map, and the moves made so far, in order. */
struct change
{
  struct ash_layer_map map;
  struct layer layers[ASH_LAYERS_MAX];
  struct move best[ASH_LAYERS_MAX];
  uint32_t rank_moves[ASH_LAYER_RANKS_MAX]; /* experts copied by each rank, all layers */
  uint32_t rank_limit;                      /* present maximum of rank_moves[] */
  uint32_t made_count;
  struct
  {
    uint32_t layer;
    struct move move;
  } made[DROPS_MAX + ASH_LAYER_RANKS_MAX * ASH_CHANGE_COPIES_MAX];
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
  double weight = policy->weights.decay;

  for (uint32_t expert = 0; expert < policy->expert_count; expert++)
    total += counts[expert];
  if (total <= 0)
    return;
  if (cosine (demand, counts, policy->expert_count) < policy->weights.similarity_min)
    {
      weight = 0;
      policy->shifts++;
    }
  for (uint32_t expert = 0; expert < policy->expert_count; expert++)
    demand[expert] = weight * demand[expert] + (1 - weight) * counts[expert] / total;
}

void
ash_layer_policy_report (struct ash_layer_policy *policy, const double *counts)
{
  policy->shifts = 0;
  for (uint32_t layer = 0; layer < policy->layer_count; layer++)
    report_layer (policy, layer, counts + (size_t) layer * policy->expert_count);
  policy->reports++;
}

/* ---- sets of ranks ---- */

static void
add_rank (struct rank_set *set, uint32_t rank)
{
  set->words[rank / WORD_BITS] |= UINT64_C (1) << rank % WORD_BITS;
}

static bool
has_rank (const struct rank_set *set, uint32_t rank)
{
  return set->words[rank / WORD_BITS] >> rank % WORD_BITS & 1;
}

static uint32_t
word_count (const struct ash_layer_map *map)
{
  return (map->rank_count + WORD_BITS - 1) / WORD_BITS;
}

/* ---- loads ---- */

static double
eighth_power (double load)
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

/* The time that a rank takes for a load, relative to a rank of normal speed. */
static double
time_of (const struct layer *layer, uint32_t rank, double load)
{
  return layer->pace ? layer->pace[rank] * load : load;
}

/* The load of one of an expert's replicas, in multiples of the mean rank's load. */
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
    layer->power += eighth_power (layer->load[rank]);
}

static void
update_loads (struct layer *layer)
{
  const struct ash_layer_map *map = layer->map;

  memset (layer->replicas, 0, sizeof layer->replicas);
  memset (layer->holders, 0, map->expert_count * sizeof layer->holders[0]);
  memset (layer->load, 0, sizeof layer->load);
  for (uint32_t rank = 0; rank < map->rank_count; rank++)
    for (uint32_t slot = 0; slot < map->slot_count; slot++)
      {
        uint16_t expert = map->slots[layer->index][rank][slot];

        if (expert == ASH_NO_EXPERT)
          continue;
        layer->replicas[expert]++;
        add_rank (&layer->holders[expert], rank);
      }
  for (uint32_t rank = 0; rank < map->rank_count; rank++)
    for (uint32_t slot = 0; slot < map->slot_count; slot++)
      {
        uint16_t expert = map->slots[layer->index][rank][slot];

        if (expert != ASH_NO_EXPERT)
          layer->load[rank] +=
              time_of (layer, rank, share_of (layer, expert, layer->replicas[expert]));
      }
  sum_power (layer);
}

/* Effect of a move on the loads of the replicas of the expert that is added to a slot and of the
 * expert that it replaces. */
struct swap
{
  uint32_t rank;
  const struct rank_set *gains;  /* ranks that hold the added expert */
  const struct rank_set *losses; /* ranks that hold the replaced expert; NULL: the slot is empty */
  double share;                  /* load of each replica of the added expert, after the move */
  double gain;    /* change of the load of the expert's existing replicas; negative */
  double dropped; /* load of the replaced replica */
  double loss;    /* change of the load of the replaced expert's other replicas */
};

static struct swap
swap_of (const struct layer *layer, uint32_t rank, uint16_t old, uint16_t expert)
{
  uint32_t replicas = expert == ASH_NO_EXPERT ? 0 : layer->replicas[expert];
  struct swap swap = { .rank = rank };

  if (expert != ASH_NO_EXPERT)
    {
      swap.gains = &layer->holders[expert];
      swap.share = share_of (layer, expert, replicas + 1);
      swap.gain = swap.share - share_of (layer, expert, replicas);
    }
  if (old == ASH_NO_EXPERT)
    return swap;
  swap.losses = &layer->holders[old];
  swap.dropped = share_of (layer, old, layer->replicas[old]);
  swap.loss = share_of (layer, old, layer->replicas[old] - 1) - swap.dropped;
  return swap;
}

static double
load_after (const struct layer *layer, const struct swap *swap, uint32_t rank)
{
  double more = 0;

  if (swap->gains && has_rank (swap->gains, rank))
    more += swap->gain;
  if (rank == swap->rank)
    more += swap->share - swap->dropped;
  else if (swap->losses && has_rank (swap->losses, rank))
    more += swap->loss;
  return layer->load[rank] + time_of (layer, rank, more);
}

/* The layer's norm if @p expert replaced @p old in a slot of the rank. Only the loads of ranks that
 * hold one of the two change. */
static double
norm_after (const struct layer *layer, uint32_t rank, uint16_t old, uint16_t expert)
{
  struct swap swap = swap_of (layer, rank, old, expert);
  uint32_t words = word_count (layer->map);
  double power = layer->power;

  for (uint32_t i = 0; i < words; i++)
    {
      uint64_t ranks =
          (swap.gains ? swap.gains->words[i] : 0) | (swap.losses ? swap.losses->words[i] : 0);

      if (rank / WORD_BITS == i)
        ranks |= UINT64_C (1) << rank % WORD_BITS;
      for (; ranks; ranks &= ranks - 1)
        {
          uint32_t other = i * WORD_BITS + (uint32_t) __builtin_ctzll (ranks);

          power +=
              eighth_power (load_after (layer, &swap, other)) - eighth_power (layer->load[other]);
        }
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
try_rank (const struct layer *layer, uint16_t expert, uint32_t rank, double norm, struct move *best)
{
  const struct ash_layer_map *map = layer->map;

  for (uint32_t slot = 0; slot < map->slot_count; slot++)
    {
      uint16_t old = map->slots[layer->index][rank][slot];
      double gain;

      /* Keep the last replica of an expert, and slots that were assigned in this change. */
      if (layer->is_assigned[rank][slot] || (old != ASH_NO_EXPERT && layer->replicas[old] < 2))
        continue;
      gain = norm - norm_after (layer, rank, old, expert);
      if (gain > best->gain)
        *best = (struct move){ rank, slot, expert, gain };
      /* The other empty slots of the rank would give the same gain. */
      if (old == ASH_NO_EXPERT)
        break;
    }
}

/* The best move that adds a replica of an expert of the layer's most loaded rank. */
static struct move
find_move (const struct change *change, const struct layer *layer)
{
  const struct ash_layer_weights *weights = &layer->policy->weights;
  const struct ash_layer_map *map = layer->map;
  double norm = eighth_root (layer->power);
  uint32_t most = most_loaded (layer);
  struct move best = { .expert = ASH_NO_EXPERT };

  for (uint32_t slot = 0; slot < map->slot_count; slot++)
    {
      uint16_t expert = map->slots[layer->index][most][slot];

      if (expert == ASH_NO_EXPERT)
        continue;
      for (uint32_t rank = 0; rank < map->rank_count; rank++)
        if (!has_rank (&layer->holders[expert], rank) &&
            layer->new_count[rank] < weights->layer_moves &&
            change->rank_moves[rank] < change->rank_limit)
          try_rank (layer, expert, rank, norm, &best);
    }
  return best;
}

/* The index of the layer whose best move gains most; the layer count if no move gains enough. */
static uint32_t
best_layer_index (const struct change *change, const struct ash_layer_map *map, double min_gain)
{
  uint32_t best = map->layer_count;
  double gain = min_gain;

  for (uint32_t i = 0; i < map->layer_count; i++)
    if (change->best[i].expert != ASH_NO_EXPERT && change->best[i].gain > gain)
      {
        best = i;
        gain = change->best[i].gain;
      }
  return best;
}

static void
make_move (struct change *change, struct layer *layer)
{
  struct move move = change->best[layer->index];

  layer->map->slots[layer->index][move.rank][move.slot] = move.expert;
  layer->is_assigned[move.rank][move.slot] = true;
  layer->new_count[move.rank]++;
  change->rank_moves[move.rank]++;
  change->made[change->made_count].layer = layer->index;
  change->made[change->made_count].move = move;
  change->made_count++;
  update_loads (layer);
}

static void
init_layer (struct layer *layer,
            const struct ash_layer_policy *policy,
            const double *pace,
            struct ash_layer_map *map,
            uint32_t index)
{
  memset (layer, 0, sizeof *layer);
  layer->policy = policy;
  layer->pace = pace;
  layer->map = map;
  layer->index = index;
  update_loads (layer);
}

double
ash_layer_skew (const struct ash_layer_policy *policy, const struct ash_layer_map *map)
{
  double sum = 0;

  for (uint32_t i = 0; i < map->layer_count; i++)
    {
      struct layer layer;

      init_layer (&layer, policy, NULL, (struct ash_layer_map *) (uintptr_t) map, i);
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

/* Whether any rank has reached the limit of copies, so that further moves may be possible later. */
static bool
is_limited (const struct change *change)
{
  for (uint32_t rank = 0; rank < change->map.rank_count; rank++)
    if (change->rank_moves[rank] >= change->rank_limit)
      return true;
  return false;
}

/* Minimum gain of a move. In a large group many ranks are similarly loaded, and relieving one of
 * them hardly lowers the norm: with the minimum for small groups, no move would be made after a
 * shift. */
static double
min_gain_of (const struct change *change, const struct ash_layer_weights *weights)
{
  uint32_t rank_count = change->map.rank_count;

  return rank_count > WEIGHTS_RANK_COUNT ? weights->min_gain * WEIGHTS_RANK_COUNT / rank_count
                                         : weights->min_gain;
}

/* Maximum number of experts that a rank copies. A rank of a large group holds a small part of the
 * experts, and each popular expert needs replicas on many ranks. In small groups more copies gain
 * nothing. */
static uint32_t
max_copies (const struct ash_layer_map *map, const struct ash_layer_weights *weights)
{
  uint32_t most = weights->rank_moves;

  if (map->rank_count > WEIGHTS_RANK_COUNT)
    most = most * map->rank_count / WEIGHTS_RANK_COUNT;
  return most < ASH_CHANGE_COPIES_MAX ? most : ASH_CHANGE_COPIES_MAX;
}

/* Drops the replica of a slow rank whose removal lowers the layer's norm most. This needs no copy.
 * @return whether a replica was dropped. */
static bool
drop_replica (struct change *change, struct layer *layer, uint32_t rank)
{
  const struct ash_layer_map *map = layer->map;
  struct move best = { .rank = rank, .expert = ASH_NO_EXPERT };
  double norm = eighth_root (layer->power);

  for (uint32_t slot = 0; slot < map->slot_count; slot++)
    {
      uint16_t old = map->slots[layer->index][rank][slot];
      double gain;

      if (old == ASH_NO_EXPERT || layer->replicas[old] < 2)
        continue;
      gain = norm - norm_after (layer, rank, old, ASH_NO_EXPERT);
      if (gain > best.gain)
        best = (struct move){ rank, slot, ASH_NO_EXPERT, gain };
    }
  if (best.gain <= 0 || change->made_count == DROPS_MAX)
    return false;
  layer->map->slots[layer->index][rank][best.slot] = ASH_NO_EXPERT;
  change->made[change->made_count].layer = layer->index;
  change->made[change->made_count++].move = best;
  update_loads (layer);
  return true;
}

static void
relieve_slow_ranks (struct change *change, const struct ash_change_terms *terms)
{
  for (uint32_t rank = 0; terms->pace && rank < change->map.rank_count; rank++)
    for (uint32_t i = 0; terms->pace[rank] > 1 && i < change->map.layer_count; i++)
      while (drop_replica (change, &change->layers[i], rank))
        ;
}

/* Makes the best moves that gain enough, within the present limit of copies per rank. */
static void
make_moves (struct change *change, double min_gain)
{
  const struct ash_layer_map *map = &change->map;
  uint32_t layer;

  for (uint32_t i = 0; i < map->layer_count; i++)
    change->best[i] = find_move (change, &change->layers[i]);
  while ((layer = best_layer_index (change, map, min_gain)) < map->layer_count)
    {
      make_move (change, &change->layers[layer]);
      /* A rank that has just reached its limit takes no further copies for any layer. */
      for (uint32_t i = 0; i < map->layer_count; i++)
        if (i == layer || change->rank_moves[change->best[i].rank] >= change->rank_limit)
          change->best[i] = find_move (change, &change->layers[i]);
    }
}

/* Applies the first @p count computed moves to the map. */
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
  /* Skew and number of moves with 0, 1, 2 ... copies per rank. */
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
  ash_layer_map_copy (&change->map, map);
  for (uint32_t i = 0; i < map->layer_count; i++)
    init_layer (&change->layers[i], policy, terms->pace, &change->map, i);
  decision->skew_before = mean_skew (change);
  relieve_slow_ranks (change, terms);
  skews[0] = mean_skew (change);
  counts[0] = change->made_count;
  while (most < max_copies (map, &policy->weights))
    {
      change->rank_limit = most + 1;
      make_moves (change, min_gain_of (change, &policy->weights));
      if (change->made_count == counts[most])
        break;
      most++;
      skews[most] = mean_skew (change);
      counts[most] = change->made_count;
    }
  decision->copies = ash_change_plan_copies (terms, skews[0], skews + 1, most);
  decision->moves = counts[decision->copies];
  decision->skew_after = skews[decision->copies];
  if (!decision->copies && decision->skew_before - skews[0] < DROP_ONLY_SKEW_GAIN_MIN)
    {
      decision->moves = 0;
      decision->skew_after = decision->skew_before;
    }
  decision->more = decision->copies && (decision->copies < most || is_limited (change));
  apply_moves (change, decision->moves, map);
  free (change);
}
