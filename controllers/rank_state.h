/**
 * @file
 * Ranks of a group that runs in lock-step on expert maps of several layers, as
 * their engines tell of themselves, and what they can be ordered to do.
 */
#ifndef ASH_RANK_STATE_H
#define ASH_RANK_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/** Ranks of a group, layers with experts of their own, experts of a layer, and a
 * rank's slots for experts of a layer, at most. The plan is for groups of 64 ranks and 128
 * experts a layer; a group beyond these bounds keeps the map it has, and is logged and counted. */
#define ASH_LAYER_RANKS_MAX 512
#define ASH_LAYERS_MAX 32
#define ASH_LAYER_EXPERTS_MAX 512
#define ASH_LAYER_SLOTS_MAX 32

/** Bytes of a group's name, the closing zero included. */
#define ASH_GROUP_NAME_BYTES 64

/** A slot that holds no expert. */
#define ASH_NO_EXPERT UINT16_MAX

/** A rank's word on itself. */
struct ash_rank_report
{
  char group[ASH_GROUP_NAME_BYTES]; /**< empty: it belongs to none */
  uint64_t epoch;                   /**< of the group: each time that it formed */
  uint32_t rank;
  uint32_t rank_count;
  bool broken;       /**< a rank is missing: all stand still */
  uint64_t step;     /**< the last pass begun */
  uint64_t map;      /**< version in use */
  uint64_t prepared; /**< version whose experts are all there; 0: none */
  uint64_t armed;    /**< version that is taken at a step to come; 0: none */
  uint64_t held;     /**< step that the group does not begin; 0: none */
  uint32_t active;   /**< requests that it works on */
  uint32_t queued;   /**< requests that wait there */
  double pace;       /**< over 1: it is slow */
};

/** Which experts each rank holds: by layer, rank and slot. */
struct ash_layer_map
{
  uint64_t version;
  uint32_t layer_count;
  uint32_t rank_count;
  uint32_t slot_count; /**< of a rank and layer */
  uint32_t expert_count;
  uint16_t slots[ASH_LAYERS_MAX][ASH_LAYER_RANKS_MAX][ASH_LAYER_SLOTS_MAX];
};

/** An empty map: of its slots those of its layers and ranks alone are written, so that what it
 * takes follows its size. */
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

/** Copies a map: of its slots those of its layers and ranks alone, a hundredth of all as a rule. */
static inline void
ash_layer_map_copy (struct ash_layer_map *to, const struct ash_layer_map *from)
{
  memcpy (to, from, offsetof (struct ash_layer_map, slots));
  for (uint32_t layer = 0; layer < from->layer_count; layer++)
    memcpy (to->slots[layer], from->slots[layer], from->rank_count * sizeof from->slots[layer][0]);
}

/** What a rank can be ordered. */
enum ash_rank_order_kind
{
  ASH_RANK_PREPARE, /**< copy the experts of a map that are new to it */
  ASH_RANK_HOLD,    /**< the group does not begin that step */
  ASH_RANK_ARM,     /**< take a prepared map as that step begins */
  ASH_RANK_DISARM,  /**< forget an armed map */
  ASH_RANK_GO,      /**< the group may begin the held step */
};

/** An order. */
struct ash_rank_order
{
  enum ash_rank_order_kind kind;
  uint32_t rank;
  uint64_t epoch; /**< refused in any other */
  uint64_t version;
  uint64_t step;
};

#endif
