/**
 * @file
 * Types for the ranks of a group that runs in lock-step: the reports of a rank, the group's expert
 * map, which has several layers, and the orders that a rank accepts.
 */
#ifndef ASH_RANK_STATE_H
#define ASH_RANK_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/** Maximum number of ranks of a group, layers with experts, experts per layer, and slots per rank
 * and layer. The design targets groups of 64 ranks and 128 experts per layer. A group beyond these
 * bounds keeps its map, and is logged and counted. */
#define ASH_LAYER_RANKS_MAX 512
#define ASH_LAYERS_MAX 32
#define ASH_LAYER_EXPERTS_MAX 512
#define ASH_LAYER_SLOTS_MAX 32

/** Maximum size of a group's name in bytes, including the terminating zero. */
#define ASH_GROUP_NAME_BYTES 64

/** Value of a slot that holds no expert. */
#define ASH_NO_EXPERT UINT16_MAX

/** State of a rank, as reported by its engine. */
struct ash_rank_report
{
  char group[ASH_GROUP_NAME_BYTES]; /**< empty: the rank belongs to no group */
  uint64_t epoch;                   /**< increases each time that the group forms */
  uint32_t rank;
  uint32_t rank_count;
  bool broken;       /**< a rank is missing, so the group is stalled */
  uint64_t step;     /**< last step (pass) that was begun */
  uint64_t map;      /**< version of the map in use */
  uint64_t prepared; /**< version whose experts were all copied; 0: none */
  uint64_t armed;    /**< version that the rank switches to at a later step; 0: none */
  uint64_t held;     /**< step that the group is prevented from beginning; 0: none */
  uint32_t active;   /**< requests being executed */
  uint32_t queued;   /**< requests that wait at the rank */
  double pace;       /**< time per pass compared to normal; more than 1: the rank is slow */
};

/** An expert map: the expert in each slot, by layer, rank and slot. */
struct ash_layer_map
{
  uint64_t version;
  uint32_t layer_count;
  uint32_t rank_count;
  uint32_t slot_count; /**< slots per rank and layer */
  uint32_t expert_count;
  uint16_t slots[ASH_LAYERS_MAX][ASH_LAYER_RANKS_MAX][ASH_LAYER_SLOTS_MAX];
};

/** Initializes a map with zeroed slots. Writes only the slots of the given layers and ranks, so
 * that a small map touches little memory. */
static inline void
ash_layer_map_init (struct ash_layer_map *map,
                    uint32_t layer_count,
                    uint32_t rank_count,
                    uint32_t slot_count,
                    uint32_t expert_count)
{
  map->version = 0;
  map->layer_count = layer_count;
  map->rank_count = rank_count;
  map->slot_count = slot_count;
  map->expert_count = expert_count;
  for (uint32_t layer = 0; layer < layer_count; layer++)
    memset (map->slots[layer], 0, rank_count * sizeof map->slots[layer][0]);
}

/** Copies a map. Copies only the slots of its layers and ranks: usually a hundredth of the array.
 */
static inline void
ash_layer_map_copy (struct ash_layer_map *to, const struct ash_layer_map *from)
{
  memcpy (to, from, offsetof (struct ash_layer_map, slots));
  for (uint32_t layer = 0; layer < from->layer_count; layer++)
    memcpy (to->slots[layer], from->slots[layer], from->rank_count * sizeof from->slots[layer][0]);
}

/** Kind of an order to a rank. */
enum ash_rank_order_kind
{
  ASH_RANK_PREPARE, /**< copy the experts of a map that the rank does not hold */
  ASH_RANK_HOLD,    /**< prevent the group from beginning that step */
  ASH_RANK_ARM,     /**< switch to a prepared map when that step begins */
  ASH_RANK_DISARM,  /**< cancel an arm order: do not switch maps */
  ASH_RANK_GO,      /**< release the hold, so that the group may begin the step */
};

struct ash_rank_order
{
  enum ash_rank_order_kind kind;
  uint32_t rank;
  uint64_t epoch; /**< epoch of the group that the order is for; the rank refuses it in any other
                     epoch */
  uint64_t version;
  uint64_t step;
};

#endif
