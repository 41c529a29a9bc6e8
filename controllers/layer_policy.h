/**
 * @file
 * Which experts each rank of a group is to hold, layer by layer. A step lasts as
 * long as the most loaded rank of each layer takes, so what counts is the sum of
 * these over the layers.
 *
 * An expert's replicas share its tokens evenly, as in the DeepSeek-V3 report
 * (EPLB). Few places change at a time, the ones that help most, and none whose
 * gain does not outlast its copying.
 *
 * What is asked for shifts at once and does not come back: counts from before a shift
 * say nothing of what comes after. So each layer's counts are added up as long as they
 * look similarity_min, and begun anew when they don't. How long a change takes is decided by the
 * rank that copies most; so copies are dealt evenly over the ranks, first one to each that
 * can use it, then a second one: what comes first of that is a change of its own where
 * copying takes long (change_plan.h).
 */
#ifndef ASH_LAYER_POLICY_H
#define ASH_LAYER_POLICY_H

#include "controllers/change_plan.h"
#include "controllers/rank_state.h"

/** Weights of the policy. */
struct ash_layer_weights
{
  double decay;          /**< what former counts weigh against new ones that look similarity_min */
  double similarity_min; /**< cosine of two reports of a layer from which they are similarity_min */
  double min_gain;       /**< a move must take so much off the layer's norm, in mean loads, where
                                there are few ranks */
  uint32_t layer_moves;  /**< experts that are new to a rank in one layer, in one change */
  uint32_t rank_moves;   /**< and in all layers together, ASH_CHANGE_COPIES_MAX at most; in a group
                              of many ranks more, by their number */
};

/** What is believed of the demand. */
struct ash_layer_policy
{
  struct ash_layer_weights weights;
  uint32_t layer_count;
  uint32_t expert_count;
  uint64_t reports;
  uint32_t shifts; /**< layers that looked different in the last report */
  double demand[ASH_LAYERS_MAX][ASH_LAYER_EXPERTS_MAX]; /**< share of a layer's tokens */
};

/** A decision with the numbers that it rests on. */
struct ash_layer_decision
{
  uint32_t moves;     /**< experts that are new to a rank */
  double skew_before; /**< most loaded rank over the mean, mean of all layers */
  double skew_after;
  uint32_t copies; /**< of a rank at most */
  bool more;       /**< there are moves left that would be worth it */
};

void ash_layer_policy_init (struct ash_layer_policy *policy,
                            uint32_t layer_count,
                            uint32_t expert_count,
                            const struct ash_layer_weights *weights);

/** Takes in new counts: of each expert, layer after layer. */
void ash_layer_policy_report (struct ash_layer_policy *policy, const double *counts);

/**
 * Changes @p map for what is believed, if that pays. The map keeps its version.
 * @param terms of a change; a decision without moves says that none pays.
 */
void ash_layer_policy_decide (const struct ash_layer_policy *policy,
                              const struct ash_change_terms *terms,
                              struct ash_layer_map *map,
                              struct ash_layer_decision *decision);

/** @return the most loaded rank over the mean under the newest report, mean of all layers. */
double ash_layer_skew (const struct ash_layer_policy *policy, const struct ash_layer_map *map);

#endif
