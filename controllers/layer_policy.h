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
 * What is asked for shifts faster than experts are copied, and part of it comes back.
 * So a map is made for the last few reports together, the newest counting most: each
 * is a demand that the map must carry, instead of one mean of them that none was.
 */
#ifndef ASH_LAYER_POLICY_H
#define ASH_LAYER_POLICY_H

#include "controllers/rank_state.h"

/** Reports that a map is made for. */
#define ASH_LAYER_REPORTS 6

/** Weights of the policy. */
struct ash_layer_weights
{
  double decay;        /**< weight of a report against that of the next one, 0 to 1 */
  double least_gain;   /**< a change must shorten a layer's work by this part of its mean */
  uint32_t rank_moves; /**< new experts of a rank and layer at most, in one change */
};

/** What is believed of the demand. */
struct ash_layer_policy
{
  struct ash_layer_weights weights;
  uint32_t layer_count;
  uint32_t expert_count;
  uint64_t reports;
  uint32_t kept; /**< of them, the newest first */
  float demand[ASH_LAYER_REPORTS][ASH_LAYERS_MAX]
              [ASH_LAYER_EXPERTS_MAX]; /**< of a layer's tokens */
};

/** A decision with the numbers that it rests on. */
struct ash_layer_decision
{
  uint32_t moves;     /**< experts that are new to a rank */
  double skew_before; /**< most loaded rank over the mean, mean of all layers */
  double skew_after;
};

void ash_layer_policy_init (struct ash_layer_policy *policy,
                            uint32_t layer_count,
                            uint32_t expert_count,
                            const struct ash_layer_weights *weights);

/** Takes in new counts: of each expert, layer after layer. */
void ash_layer_policy_report (struct ash_layer_policy *policy, const double *counts);

/** Changes @p map for what is believed. The map keeps its version. */
void ash_layer_policy_decide (const struct ash_layer_policy *policy,
                              struct ash_layer_map *map,
                              struct ash_layer_decision *decision);

/** @return the most loaded rank over the mean under the newest report, mean of all layers. */
double ash_layer_skew (const struct ash_layer_policy *policy, const struct ash_layer_map *map);

#endif
