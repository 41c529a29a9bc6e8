/**
 * @file
 * Decides which experts to move when their popularity shifts: few moves, each only if its
 * gain exceeds its cost. Objective to minimize: skew weight x predicted skew + cost weight x
 * number of experts moved. Deployments set the two weights.
 *
 * Experts are replicated into spare slots as in the DeepSeek-V3 report (EPLB), and the replicas
 * of an expert share its load evenly. EPLB's full repack serves as the initial placement and as
 * the baseline for comparison.
 */
#ifndef ASH_EXPERT_POLICY_H
#define ASH_EXPERT_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#define ASH_EXPERTS_MAX 256
#define ASH_EXPERT_SLOTS_MAX 1024
#define ASH_EXPERT_POLICY_RANKS_MAX 64

/** Maximum number of moves of one decision. */
#define ASH_EXPERT_MOVES_MAX 16

/** A placement: the expert in each slot of each rank, for one layer. */
struct ash_expert_placement
{
  uint32_t rank_count;
  uint32_t rank_slots; /**< slots per rank */
  uint32_t expert_count;
  uint16_t slots[ASH_EXPERT_SLOTS_MAX]; /**< expert in each slot, ordered by rank */
};

/** A move of an expert into a slot, in place of the expert there. */
struct ash_expert_move
{
  uint16_t slot;
  uint16_t expert;
};

/** Weights of the objective, set by the deployment. */
struct ash_expert_weights
{
  double skew;    /**< value of reducing the skew (maximum over mean load) by 1 for one interval */
  double cost;    /**< cost of moving one expert's weights, in the same unit */
  double horizon; /**< number of intervals over which a gain counts */
  uint32_t moves; /**< maximum number of moves per interval, limited by the weight store's rate */
};

/** A decision and the numbers behind it. */
struct ash_expert_decision
{
  uint32_t move_count;
  struct ash_expert_move moves[ASH_EXPERT_MOVES_MAX];
  double skew_before;  /**< predicted skew without the moves */
  double skew_after;   /**< predicted skew with the moves */
  double refused_gain; /**< gain of the best move that was not worth its cost; 0: none */
};

/** Smoothed loads of the experts, as shares of all tokens. */
struct ash_expert_policy
{
  struct ash_expert_weights weights;
  uint32_t expert_count;
  uint32_t reports;                 /**< number of reports so far */
  double fast[ASH_EXPERTS_MAX];     /**< smoothed over a few reports: recent loads */
  double slow[ASH_EXPERTS_MAX];     /**< smoothed over many reports: lasting loads */
  bool forecast;                    /**< decisions use @ref expected instead */
  double expected[ASH_EXPERTS_MAX]; /**< loads forecast for a declared event */
};

void ash_expert_policy_init (struct ash_expert_policy *policy,
                             uint32_t expert_count,
                             const struct ash_expert_weights *weights);

/** Handles a report: the tokens of each expert in one interval. Callers skip missing
 * reports. */
void ash_expert_policy_report (struct ash_expert_policy *policy, const double *tokens);

/**
 * Sets the loads forecast for a declared event that is about to begin. Decisions use them until
 * ash_expert_policy_end_forecast().
 * @param tokens expected load of each expert, in any unit.
 */
void ash_expert_policy_set_forecast (struct ash_expert_policy *policy, const double *tokens);

/**
 * Ends the forecast, as the declared event has begun or was cancelled.
 * @param begun the event has begun: the forecast replaces the smoothed loads, which later reports
 * update as usual.
 */
void ash_expert_policy_end_forecast (struct ash_expert_policy *policy, bool begun);

/**
 * Decides which experts to move now.
 * @param speeds speed of each rank: 1 is normal, less than 1 is slow.
 */
void ash_expert_policy_decide (const struct ash_expert_policy *policy,
                               const struct ash_expert_placement *placement,
                               const double *speeds,
                               struct ash_expert_decision *decision);

/** Applies moves to a placement. */
void ash_expert_placement_apply (struct ash_expert_placement *placement,
                                 const struct ash_expert_move *moves,
                                 uint32_t move_count);

/** @return the load of the slowest rank divided by the mean load. */
double ash_expert_skew (const struct ash_expert_placement *placement,
                        const double *tokens,
                        const double *speeds);

/** Replicates and places all experts from scratch with a greedy algorithm, as EPLB does. */
void ash_expert_repack (struct ash_expert_placement *placement, const double *tokens);

#endif
