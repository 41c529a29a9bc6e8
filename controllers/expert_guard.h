/**
 * @file
 * An agent's guard before its rank's engine. Not all engines check who orders
 * them, so the agent checks for all alike. It forgets the fence with its life;
 * the life that it tells coordinators is made from the engine's and its own, so
 * that its end voids all orders before.
 *
 * An engine that checks nothing also takes orders in whatever order they reach
 * it. So it is given one at a time, and a new life, whose predecessor's last
 * order may still be on its way, gives none before the engine has answered and
 * has had time for what else had reached it.
 */
#ifndef ASH_EXPERT_GUARD_H
#define ASH_EXPERT_GUARD_H

#include "common/clock.h"
#include "controllers/expert_rank.h"

/** An engine that answers has dealt with all that reached it before after so long. */
#define ASH_EXPERT_SETTLE_MS 500

/** What becomes of an order. */
enum ash_expert_verdict
{
  ASH_EXPERT_FORWARD, /**< give it to the engine, and tell its answer */
  ASH_EXPERT_REFUSE,  /**< answer with ash_expert_guard_refusal() */
  ASH_EXPERT_WAIT,    /**< no answer: the coordinator asks again */
};

/** The guard. */
struct ash_expert_guard
{
  uint64_t incarnation;        /**< of the agent */
  uint64_t engine_incarnation; /**< as its last answer had it; 0: not known */
  bool checks;                 /**< the engine checks orders itself */
  bool busy;                   /**< an order is with the engine */
  bool unsettled;              /**< an order that nobody waits for may be on its way to it */
  struct ash_time answered;    /**< first answer since; ASH_TIME_NEVER: none */
  struct ash_expert_fence fence;
};

/** A new life of the agent. */
void ash_expert_guard_init (struct ash_expert_guard *guard, uint64_t incarnation, bool checks);

/**
 * Decides on an order.
 * @param forwarded gets what the engine is to be given, with ASH_EXPERT_FORWARD.
 */
enum ash_expert_verdict ash_expert_guard_order (struct ash_expert_guard *guard,
                                                struct ash_time now,
                                                const struct Ash__RankOrder *order,
                                                struct Ash__RankOrder *forwarded);

/** Fills a refusal of an order; group and rank are the caller's. */
void ash_expert_guard_refusal (const struct ash_expert_guard *guard,
                               const struct Ash__RankOrder *order,
                               struct Ash__RankState *state);

/**
 * Takes in what the engine said of its state, and makes of it what coordinators
 * are told.
 * @param is_order whether it answers an order.
 */
void ash_expert_guard_answer (struct ash_expert_guard *guard,
                              struct ash_time now,
                              bool is_order,
                              struct Ash__RankState *state);

/** An order ended without an answer: the engine may still get it. */
void ash_expert_guard_lost (struct ash_expert_guard *guard);

#endif
