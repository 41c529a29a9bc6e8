/**
 * @file
 * The rank's side of a change of its group's expert map, including the fence that rejects
 * stale orders. An engine that checks ballots itself holds this state. For other engines the
 * rank's agent checks them, and the engine accepts orders from that agent only.
 *
 * Invariant: all ranks run a step with the same map. spec/expert_map.pml models the same
 * protocol.
 */
#ifndef ASH_EXPERT_RANK_H
#define ASH_EXPERT_RANK_H

#include "proto/event.h"

/** Rejects stale orders. Valid when zeroed. */
struct ash_expert_fence
{
  uint64_t promised; /**< highest ballot so far; orders with lower ballots are refused */
  uint64_t sequence; /**< highest sequence number received with the ballot `promised`; lower ones
                        are refused */
};

/**
 * Checks an order against the fence. An admitted order makes all earlier ones stale.
 * @param incarnation present incarnation of the rank that receives the order.
 * @return whether the order is admitted.
 */
bool ash_expert_fence_admit (struct ash_expert_fence *fence,
                             uint64_t incarnation,
                             const struct Ash__RankOrder *order);

/** A rank of a group that runs in lock-step. */
struct ash_expert_rank
{
  const char *group;
  uint32_t rank;
  uint64_t incarnation;
  bool blank; /**< replaced: has no state yet and begins no step */
  struct ash_expert_fence fence;
  uint64_t begun;   /**< last step that the rank has begun */
  uint64_t version; /**< version of the committed map, counted from 0 */
  uint64_t map;     /**< digest of the committed map */
  uint64_t from;    /**< first step that is run with the committed map */
  uint64_t before;  /**< digest of the map that is used for steps before `from` */
  uint64_t armed;   /**< ballot of the armed map; 0: none is armed */
  uint64_t armed_map;
  uint64_t armed_step;  /**< step that the rank begins only after a commit or disarm order */
  uint64_t last_ballot; /**< ballot of the last commit order */
};

/** Initializes a rank of a new group, whose ranks all start with the same map. */
void ash_expert_rank_init (struct ash_expert_rank *rank,
                           const char *group,
                           uint32_t number,
                           uint64_t incarnation,
                           uint64_t map);

/** Initializes a rank that replaces a lost one, without its state. */
void ash_expert_rank_init_blank (struct ash_expert_rank *rank,
                                 const char *group,
                                 uint32_t number,
                                 uint64_t incarnation);

/** Executes or refuses an order and sends the answer to @p peer through @p sink. */
void ash_expert_rank_handle_order (struct ash_expert_rank *rank,
                                   const struct Ash__RankOrder *order,
                                   const char *peer,
                                   const struct ash_sink *sink);

/** @return whether this rank may begin the next step. */
bool ash_expert_rank_may_begin (const struct ash_expert_rank *rank);

/** Begins the next step. @return digest of the map to run it with. */
uint64_t ash_expert_rank_begin (struct ash_expert_rank *rank);

#endif
