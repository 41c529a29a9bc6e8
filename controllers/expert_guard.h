/**
 * @file
 * Filters the orders that an agent forwards to its rank's engine. Some engines do not
 * check ballots, so the agent checks them for every engine. A restarted agent has lost
 * its fence (the highest ballot and sequence number so far). The incarnation that it reports to
 * coordinators therefore combines the engine's and its own, so that a restart of either invalidates
 * all earlier orders.
 *
 * An engine that does not check orders also executes them in the order of arrival.
 * Such an engine is sent one order at a time. After a restart of the agent, the last
 * order of its previous incarnation may still be under way: no order is forwarded until
 * the engine has answered and has had time to process what reached it earlier.
 */
#ifndef ASH_EXPERT_GUARD_H
#define ASH_EXPERT_GUARD_H

#include "common/clock.h"
#include "controllers/expert_rank.h"

/** Milliseconds after an engine's answer until it has processed everything that reached it before
 * that answer. */
#define ASH_EXPERT_SETTLE_MS 500

/** How to handle an order. */
enum ash_expert_verdict
{
  ASH_EXPERT_FORWARD, /**< send the order to the engine and forward the engine's answer */
  ASH_EXPERT_REFUSE,  /**< answer with ash_expert_guard_refusal() */
  ASH_EXPERT_WAIT,    /**< do not answer: the coordinator sends the order again */
};

struct ash_expert_guard
{
  uint64_t incarnation;        /**< incarnation of the agent */
  uint64_t engine_incarnation; /**< incarnation in the engine's last answer; 0: not known */
  bool checks;                 /**< the engine checks ballots itself */
  bool busy;                   /**< an order was sent to the engine and is not answered yet */
  bool unsettled;              /**< an order whose answer was lost may still reach the engine */
  struct ash_time answered;    /**< engine's first answer while unsettled; ASH_TIME_NEVER: none */
  struct ash_expert_fence fence;
};

/** Initializes the guard after a start of the agent. */
void ash_expert_guard_init (struct ash_expert_guard *guard, uint64_t incarnation, bool checks);

/**
 * Decides how to handle an order.
 * @param forwarded receives the order to send to the engine, if ASH_EXPERT_FORWARD is returned.
 */
enum ash_expert_verdict ash_expert_guard_order (struct ash_expert_guard *guard,
                                                struct ash_time now,
                                                const struct Ash__RankOrder *order,
                                                struct Ash__RankOrder *forwarded);

/** Fills in the answer that refuses an order; the caller sets group and rank. */
void ash_expert_guard_refusal (const struct ash_expert_guard *guard,
                               const struct Ash__RankOrder *order,
                               struct Ash__RankState *state);

/**
 * Handles an answer of the engine.
 * @param is_order whether it answers an order.
 * @param state the engine's answer; changed to the state that is reported to coordinators.
 */
void ash_expert_guard_answer (struct ash_expert_guard *guard,
                              struct ash_time now,
                              bool is_order,
                              struct Ash__RankState *state);

/** Records that an order ended without an answer: it may still reach the engine. */
void ash_expert_guard_lost (struct ash_expert_guard *guard);

#endif
