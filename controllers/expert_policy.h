/**
 * @file
 * What to move when the popularity of experts shifts: few moves, each only where
 * its gain outlasts it. Objective: skew weight x predicted skew + cost weight x
 * weights moved; the radar's deployment weighs skew, Wadi's cost.
 *
 * Experts are replicated into spare slots as in the DeepSeek-V3 report (EPLB),
 * whose full repack is the baseline; what is kept of it is that an expert's load
 * is shared evenly by its replicas.
 */
#ifndef ASH_EXPERT_POLICY_H
#define ASH_EXPERT_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#define ASH_EXPERTS_MAX 256
#define ASH_EXPERT_SLOTS_MAX 1024
#define ASH_EXPERT_POLICY_RANKS_MAX 64

/** Moves of one decision at most. */
#define ASH_EXPERT_MOVES_MAX 16

/** Which expert each slot of each rank holds, in one layer. */
struct ash_expert_placement
{
  uint32_t rank_count;
  uint32_t rank_slots; /**< slots of a rank */
  uint32_t expert_count;
  uint16_t slots[ASH_EXPERT_SLOTS_MAX]; /**< rank after rank */
};

/** A slot that is to hold another expert. */
struct ash_expert_move
{
  uint16_t slot;
  uint16_t expert;
};

/** Weights of a deployment. */
struct ash_expert_weights
{
  double skew;    /**< worth of one (maximum over mean) of skew, for an interval */
  double cost;    /**< price of one expert's weights moved, in the same coin */
  double horizon; /**< intervals that a gain must be counted for, at most */
  uint32_t moves; /**< an interval at most: the weight store's rate */
};

/** A decision with the numbers that it was made on. */
struct ash_expert_decision
{
  uint32_t move_count;
  struct ash_expert_move moves[ASH_EXPERT_MOVES_MAX];
  double skew_before;  /**< predicted without the moves */
  double skew_after;   /**< predicted with them */
  double refused_gain; /**< of the best move that was not worth its price */
};

/** What is remembered of the loads. */
struct ash_expert_policy
{
  struct ash_expert_weights weights;
  uint32_t expert_count;
  uint32_t reports;
  double fast[ASH_EXPERTS_MAX]; /**< smoothed over a few reports */
  double slow[ASH_EXPERTS_MAX]; /**< smoothed over many: what lasts */
  bool forecast;                /**< decide on what is expected instead */
  double expected[ASH_EXPERTS_MAX];
};

void ash_expert_policy_init (struct ash_expert_policy *policy,
                             uint32_t expert_count,
                             const struct ash_expert_weights *weights);

/** Takes in a report: tokens of each expert in an interval. Missing ones are just not given. */
void ash_expert_policy_report (struct ash_expert_policy *policy, const double *tokens);

/**
 * A declared event is about to begin: from now on decisions are made for its loads.
 * @param tokens of each expert, in any unit.
 */
void ash_expert_policy_set_forecast (struct ash_expert_policy *policy, const double *tokens);

/**
 * It has begun, or was called off. What was expected is believed from then on, if
 * it has begun, and corrected by reports as ever.
 */
void ash_expert_policy_end_forecast (struct ash_expert_policy *policy, bool begun);

/**
 * Decides what to move now.
 * @param speeds of the ranks, 1 as usual, less for one that is slow.
 */
void ash_expert_policy_decide (const struct ash_expert_policy *policy,
                               const struct ash_expert_placement *placement,
                               const double *speeds,
                               struct ash_expert_decision *decision);

/** Carries moves out. */
void ash_expert_placement_apply (struct ash_expert_placement *placement,
                                 const struct ash_expert_move *moves,
                                 uint32_t move_count);

/** Step time against an even one: the slowest rank's over the mean. */
double ash_expert_skew (const struct ash_expert_placement *placement,
                        const double *tokens,
                        const double *speeds);

/** Replicates and packs all anew, greedily: the baseline, and the start. */
void ash_expert_repack (struct ash_expert_placement *placement, const double *tokens);

#endif
