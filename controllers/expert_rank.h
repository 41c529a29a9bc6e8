/**
 * @file
 * A rank's side of a change of its group's expert map: the fence. Where the
 * engine checks ballots itself it holds this state; where it does not, the
 * rank's own agent does, and the engine takes orders from that agent alone.
 *
 * What it guards: a step is begun with one map on all ranks. spec/expert_map.pml
 * is the same protocol as a model.
 */
#ifndef ASH_EXPERT_RANK_H
#define ASH_EXPERT_RANK_H

#include "proto/event.h"

/** Which orders are late. Zeroed is new. */
struct ash_expert_fence
{
  uint64_t promised; /**< lower ballots are refused */
  uint64_t sequence; /**< of the promised ballot: earlier orders are refused */
};

/**
 * Lets an order pass, or not; what passes makes those before it late.
 * @param life of the rank that it comes to
 */
bool ash_expert_fence_admit (struct ash_expert_fence *fence,
                             uint64_t life,
                             const struct Ash__RankOrder *order);

/** A rank of a group in lock-step. */
struct ash_expert_rank
{
  const char *group;
  uint32_t rank;
  uint64_t life;
  bool blank; /**< replaced: knows nothing, begins no step */
  struct ash_expert_fence fence;
  uint64_t begun;   /**< the last step that it has begun */
  uint64_t version; /**< of the committed map, counts from 0 */
  uint64_t map;     /**< committed */
  uint64_t from;    /**< step from which it is used */
  uint64_t before;  /**< map that is used until then */
  uint64_t armed;   /**< ballot of the armed map; 0: none */
  uint64_t armed_map;
  uint64_t armed_step;  /**< this step is not begun before it is decided */
  uint64_t last_ballot; /**< whose commit was the last */
};

/** A rank of a new group: all of them begin with the same map. */
void ash_expert_rank_init (
    struct ash_expert_rank *rank, const char *group, uint32_t number, uint64_t life, uint64_t map);

/** A rank that replaces another, whose state is lost. */
void ash_expert_rank_init_blank (struct ash_expert_rank *rank,
                                 const char *group,
                                 uint32_t number,
                                 uint64_t life);

/** Takes an order and answers it through @p sink to @p peer. */
void ash_expert_rank_handle_order (struct ash_expert_rank *rank,
                                   const struct Ash__RankOrder *order,
                                   const char *peer,
                                   const struct ash_sink *sink);

/** @return whether the next step may be begun, as far as this rank decides. */
bool ash_expert_rank_may_begin (const struct ash_expert_rank *rank);

/** Begins the next step. @return the map to run it with. */
uint64_t ash_expert_rank_begin (struct ash_expert_rank *rank);

#endif
