/**
 * @file
 * A change of a group's map, coordinated by the leading router: every rank prepares the
 * map, that is, copies its new experts; one rank holds a step that has not begun, so that
 * the group cannot pass it; all ranks are armed to switch to the map at that step; then
 * the step is released with a go order. No step begins while some ranks would switch at
 * it and others would not.
 *
 * Orders may be lost, overtaken by later ones, or executed seconds late. So:
 *  - a version is armed for one step only. Once all ranks have prepared it, arm orders are
 *    repeated until all ranks have accepted them, even if a rank is still copying. If a rank
 *    can never accept (another router had it prepare a newer version), or takes too long,
 *    the change is reverted;
 *  - to revert, all ranks are disarmed and then fenced: each prepares a newer version that
 *    has the map in use. The answer to a disarm does not exclude that an arm order arrives
 *    after it, but a rank that has prepared another version refuses every later arm order
 *    for the abandoned one. If a rank refuses the fence, an arm order came in between: the
 *    rank is disarmed and fenced again;
 *  - a delayed hold or arm order is refused because its step has begun;
 *  - a version is never used twice, not even by two routers (ash_map_switch_new_version());
 *  - each router holds steps at a rank of its own, so that it cannot release another router's
 *    hold, and never holds the same step twice.
 *
 * A router that fails between hold and go leaves the group stalled. A leading router that
 * observes a hold of another router takes over: it holds the step as well, disarms and
 * fences whatever version is armed or prepared, and releases the step. It does not complete
 * the change, since ranks do not report the step that they are armed for, and an arm order
 * for another step may still be under way.
 *
 * Does no I/O: it returns the orders that are due and is passed the answers.
 */
#ifndef ASH_MAP_SWITCH_H
#define ASH_MAP_SWITCH_H

#include "common/clock.h"
#include "controllers/rank_state.h"

/** Phase of a change. */
enum ash_map_phase
{
  ASH_MAP_IDLE,
  ASH_MAP_PREPARE, /**< ranks copy the experts that are new to them */
  ASH_MAP_HOLD,    /**< one rank is ordered to hold a step */
  ASH_MAP_ARM,     /**< all ranks are ordered to switch to the map at the held step */
  ASH_MAP_DISARM,  /**< reverting: all ranks are ordered to disarm the map */
  ASH_MAP_FENCE,   /**< all ranks prepare a newer version, so that they refuse late arm orders */
  ASH_MAP_GO,      /**< the held step is released */
};

/** Result of the last change of a group's expert map. */
enum ash_map_result
{
  ASH_MAP_NONE,
  ASH_MAP_CHANGED,        /**< the new map is in use */
  ASH_MAP_TAKEN_OVER,     /**< another router's change was taken over */
  ASH_MAP_ABORTED,        /**< the change ended before any rank used the new map */
  ASH_MAP_GROUP_REFORMED, /**< the group formed again, which ended the change */
};

/** What the coordinator of a change knows about a rank. */
struct ash_map_rank
{
  struct ash_rank_report report;
  struct ash_time reported; /**< when the last report arrived */
  bool known;               /**< the rank has reported */
  uint64_t prepared; /**< version that the rank has prepared, from its lists of experts, which do
                        not lag */
  struct ash_time lists_requested; /**< when the rank's lists of experts were last requested */
  bool answered;                   /**< the rank has executed the present phase's order */
  bool copying;                    /**< the rank has begun to copy experts */
  bool disarm_first; /**< the rank has refused the fence and must be disarmed before the next
                        attempt */
  struct ash_time copying_since;
  struct ash_time sent;   /**< when the present phase's order was last sent; 0: not yet */
  uint64_t released_step; /**< last step for which the rank was sent a go order */
  uint32_t refusals;      /**< number of refusals of the present phase's order */
  uint32_t copy_ms;       /**< expected copying time for the present change, in milliseconds */
};

/** State of the changes of one group's map. */
struct ash_map_switch
{
  uint32_t rank_count;
  uint64_t epoch;
  uint32_t lag_ms; /**< age of a report when it arrives, in milliseconds */
  enum ash_map_phase phase;
  enum ash_map_result result;
  uint64_t version; /**< version of the new map; 0: none */
  uint64_t fence; /**< version number for the fence: a copy of the map in use that ranks prepare */
  uint64_t ordered_version; /**< highest version that this router has sent in orders; ranks may have
                               had it although no report shows it yet */
  bool fence_is_set;        /**< @ref fence was set for the present change */
  uint64_t step;            /**< step that is being held */
  uint32_t own_rank;        /**< rank at which this router holds steps */
  uint32_t holder;          /**< rank at which the present step is held */
  bool taking_over;         /**< the present change was begun by another router */
  uint32_t holds;           /**< number of steps that the present change tried to hold */
  uint64_t refused;         /**< last step whose hold was refused, although it may not have begun */
  struct ash_time began;
  struct ash_time phase_began;
  double pass_ms;        /**< duration of a pass, from streams of this router; 0: unknown */
  double step_ms;        /**< duration of a pass, from the steps that ranks report; 0: unknown */
  uint64_t sampled_step; /**< last step from a source without lag */
  struct ash_time sampled_at;   /**< when the report of sampled_step was received */
  uint64_t last_step;           /**< highest step reported */
  struct ash_time last_step_at; /**< when last_step was reported, minus the lag */
  uint64_t released;            /**< last step that this router released */
  struct ash_time released_at;
  uint64_t foreign_held;         /**< step that another router holds; 0: none */
  uint32_t foreign_rank;         /**< rank at which step foreign_held is held */
  struct ash_time foreign_since; /**< when the hold of that step was first observed */
  struct ash_map_rank ranks[ASH_LAYER_RANKS_MAX];
};

/**
 * Initializes the state.
 * @param lag_ms age of a report when it arrives, in milliseconds.
 * @param own_rank rank at which this router holds steps. It should differ between routers that may
 * lead, since a rank does not report which router's hold it has.
 */
void ash_map_switch_init (struct ash_map_switch *sw,
                          uint32_t rank_count,
                          uint32_t lag_ms,
                          uint32_t own_rank);

/** Handles a report of a rank. */
void ash_map_switch_report (struct ash_map_switch *sw,
                            struct ash_time now,
                            const struct ash_rank_report *report);

/** @return whether a change can begin: the state of all ranks in the present epoch is known, and no
 * change is in progress. */
bool ash_map_switch_ready (const struct ash_map_switch *sw, struct ash_time now);

/**
 * @param draw random bits, which keep versions of different routers apart.
 * @return a version higher than all that any rank is known to have had.
 */
uint64_t ash_map_switch_new_version (const struct ash_map_switch *sw, uint64_t draw);

/**
 * Begins a change to the map of that version.
 * @param copy_ms expected copying time of each rank, in milliseconds.
 */
void ash_map_switch_begin (struct ash_map_switch *sw,
                           struct ash_time now,
                           uint64_t version,
                           const uint32_t copy_ms[ASH_LAYER_RANKS_MAX]);

/** @return whether a change is being reverted and waits for ash_map_switch_set_fence(). */
bool ash_map_switch_needs_fence (const struct ash_map_switch *sw);

/** Sets the version, from ash_map_switch_new_version(), as which ranks prepare the map in use. */
void ash_map_switch_set_fence (struct ash_map_switch *sw, uint64_t version);

/** Records that a rank uses that version, even if its lagging reports show an older one. */
void ash_map_switch_set_active (struct ash_map_switch *sw,
                                uint32_t rank,
                                uint64_t epoch,
                                uint64_t version);

/**
 * Records the version that a rank has prepared, from its lists of experts.
 * @param requested when the lists were requested; their state is not older than that.
 */
void ash_map_switch_set_prepared (struct ash_map_switch *sw,
                                  uint32_t rank,
                                  uint64_t epoch,
                                  uint64_t version,
                                  struct ash_time requested);

/** @return whether a rank's lists of experts are needed to take over another router's change. */
bool ash_map_switch_needs_lists (const struct ash_map_switch *sw, uint32_t rank);

/** @return whether a step is held, by this router or another one, so that what ranks answer decides
 * whether and with which maps it is released. */
bool ash_map_switch_is_deciding (const struct ash_map_switch *sw);

/** @return whether another router is known to hold a step. */
bool ash_map_switch_has_foreign_hold (const struct ash_map_switch *sw);

/** Sets the present duration of a pass, measured by the pauses of streams. */
void ash_map_switch_set_pass_ms (struct ash_map_switch *sw, double pass_ms);

/** Records a rank's present step from a source that does not lag. */
void ash_map_switch_sample_step (struct ash_map_switch *sw, struct ash_time now, uint64_t step);

/** Handles the answer to an order. @param status HTTP status; 0: the order was not answered. */
void ash_map_switch_handle_answer (struct ash_map_switch *sw,
                                   struct ash_time now,
                                   const struct ash_rank_order *order,
                                   uint16_t status);

/** Runs the timers. @param orders receives the orders to send now. @return number of orders. */
uint32_t ash_map_switch_orders (struct ash_map_switch *sw,
                                struct ash_time now,
                                struct ash_rank_order orders[ASH_LAYER_RANKS_MAX]);

/** @return whether a rank reports that another one is missing, so that the group is stalled. */
bool ash_map_switch_is_broken (const struct ash_map_switch *sw);

/** @return whether a report of that rank is due to be requested. */
bool
ash_map_switch_needs_report (const struct ash_map_switch *sw, struct ash_time now, uint32_t rank);

#endif
