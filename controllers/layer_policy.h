/**
 * @file
 * Decides which experts each rank of a group holds, layer by layer. In each layer a step
 * takes as long as the most loaded rank, so the time of a step depends on the sum of the
 * maximum loads of all layers.
 *
 * The replicas of an expert share its tokens evenly, as in the DeepSeek-V3 report (EPLB).
 * A change makes only the few moves with the highest gain, and none that gains less than
 * its copying costs.
 *
 * The demand for experts shifts abruptly and does not return to its former distribution:
 * counts from before a shift do not predict the demand after it. So a layer's demand is
 * smoothed over reports as long as they are similar, and replaced by the newest report
 * otherwise.
 *
 * The duration of a change is determined by the rank that copies the most experts. So
 * copies are spread evenly over the ranks: up to one per rank first, then up to two, and
 * so on. If copying is slow, the first few copies per rank are a change of their own
 * (change_plan.h).
 */
#ifndef ASH_LAYER_POLICY_H
#define ASH_LAYER_POLICY_H

#include "controllers/change_plan.h"
#include "controllers/rank_state.h"

/** Weights of the policy. */
struct ash_layer_weights
{
  /** Weight of the former demand in the smoothed demand, 0 to 1. */
  double decay;
  /** A layer's demand has shifted if the cosine similarity of the new counts and the former demand
   * is less than this. */
  double similarity_min;
  /** Minimum by which a move must lower the layer's norm, in mean loads; less in large groups. */
  double min_gain;
  /** Maximum number of experts that a rank copies for one layer in one change. */
  uint32_t layer_moves;
  /** Maximum number of experts that a rank copies for all layers in one change; more in large
   * groups, but at most ASH_CHANGE_COPIES_MAX. */
  uint32_t rank_moves;
};

/** The estimated demand for experts. */
struct ash_layer_policy
{
  struct ash_layer_weights weights;
  uint32_t layer_count;
  uint32_t expert_count;
  uint64_t reports; /**< number of reports so far */
  uint32_t shifts;  /**< number of layers whose demand shifted in the last report */
  double demand[ASH_LAYERS_MAX][ASH_LAYER_EXPERTS_MAX]; /**< share of the layer's tokens */
};

/** A decision and the numbers behind it. */
struct ash_layer_decision
{
  uint32_t moves;     /**< number of slots that change */
  double skew_before; /**< load of the most loaded rank divided by the mean load, averaged over
                           the layers */
  double skew_after;
  uint32_t copies; /**< maximum number of experts that a rank copies */
  bool more;       /**< further moves may be worth their cost in a following change */
};

void ash_layer_policy_init (struct ash_layer_policy *policy,
                            uint32_t layer_count,
                            uint32_t expert_count,
                            const struct ash_layer_weights *weights);

/**
 * Updates the estimated demand.
 * @param counts new token counts of each expert, ordered by layer.
 */
void ash_layer_policy_report (struct ash_layer_policy *policy, const double *counts);

/**
 * Adapts @p map to the estimated demand if a change is worth its cost. The map keeps its version.
 * @param terms cost of a change.
 * @param decision receives the decision; without moves, the map is unchanged.
 */
void ash_layer_policy_decide (const struct ash_layer_policy *policy,
                              const struct ash_change_terms *terms,
                              struct ash_layer_map *map,
                              struct ash_layer_decision *decision);

/** @return the load of the most loaded rank divided by the mean load, averaged over the layers,
 * under the estimated demand. */
double ash_layer_skew (const struct ash_layer_policy *policy, const struct ash_layer_map *map);

#endif
