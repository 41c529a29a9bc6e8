/**
 * @file
 * The change of a group's map, ordered from outside the group by whichever router
 * leads: every rank prepares the map; one rank holds a step that has not begun,
 * so that the group can't go past it; all ranks are armed for that step; then it is
 * let go. No step begins while ranks differ in what they take at it.
 *
 * Orders may be lost, passed by later ones, or carried out seconds late. So:
 *  - a version is armed for one step only: once all ranks have it prepared, arming goes
 *    forward until all have taken it, also while a rank still copies. Where one never will
 *    (another router's preparation came between), or takes too long, the change goes back;
 *  - going back, all are disarmed, and then fenced: each prepares a newer version with the
 *    map in use. The answer to a disarm does not say that no arm comes after it; a rank that
 *    has another version prepared refuses every late arm of the dead one, for good. A fence
 *    that is refused tells that an arm came between: disarmed and fenced again;
 *  - a late hold or arm finds its step begun and is refused;
 *  - versions are never used twice, also not by two routers (ash_map_switch_new_version());
 *  - each router holds at a rank of its own, so that one can't let go what another holds, and
 *    no step twice.
 *
 * A router that dies between hold and go leaves the group standing. Whoever sees a
 * hold that is not its own finishes: it holds the step as well, takes back what is armed
 * or prepared somewhere, fenced as above, and lets go. It doesn't arm on: ranks don't tell
 * for which step they are armed, and an arm for another one may still be under way.
 *
 * No I/O: it says which orders are due and is told how they were answered.
 */
#ifndef ASH_MAP_SWITCH_H
#define ASH_MAP_SWITCH_H

#include "common/clock.h"
#include "controllers/rank_state.h"

/** Where a change stands. */
enum ash_map_phase
{
  ASH_MAP_IDLE,
  ASH_MAP_PREPARE, /**< ranks copy what is new to them */
  ASH_MAP_HOLD,    /**< a step is being held */
  ASH_MAP_ARM,     /**< all ranks are told to take the map at that step */
  ASH_MAP_DISARM,  /**< a rank can't: all are told to forget it */
  ASH_MAP_FENCE,   /**< all prepare a newer version, so that none takes a late arm */
  ASH_MAP_GO,      /**< the step is let go */
};

/** How the last change ended. */
enum ash_map_result
{
  ASH_MAP_NONE,
  ASH_MAP_CHANGED,
  ASH_MAP_TAKEN_OVER,     /**< what another router had begun */
  ASH_MAP_ABORTED,        /**< before a rank had taken it */
  ASH_MAP_GROUP_REFORMED, /**< the group formed anew */
};

/** What is known of a rank. */
struct ash_map_rank
{
  struct ash_rank_report report;
  struct ash_time reported;
  bool known;
  uint64_t prepared;               /**< as its lists told, without the lag of reports */
  struct ash_time lists_requested; /**< when the question was sent that those answered */
  bool answered;                   /**< the present phase's order is carried out there */
  bool copying;                    /**< it has begun to prepare */
  bool disarm_first;               /**< it has refused the fence: to be disarmed first */
  struct ash_time copying_since;
  struct ash_time sent;   /**< the present phase's order; 0: not yet */
  uint64_t released_step; /**< the last step for which it was told to go */
  uint32_t refusals;      /**< of the present phase's order */
  uint32_t copy_ms;       /**< how long it is expected to copy for the present change */
};

/** One group. */
struct ash_map_switch
{
  uint32_t rank_count;
  uint64_t epoch;
  uint32_t lag_ms; /**< how old a report is when it comes */
  enum ash_map_phase phase;
  enum ash_map_result result;
  uint64_t version;  /**< being changed to */
  uint64_t fence;    /**< version with the map in use that ranks prepare, going back */
  bool fence_is_set; /**< for the present change */
  uint64_t step;     /**< being held */
  uint32_t own_rank; /**< where this router holds steps */
  uint32_t holder;   /**< rank that holds it */
  bool taking_over;  /**< what another router had begun */
  uint32_t holds;    /**< tried in this change */
  uint64_t refused;  /**< the last step that could not be held; it may not have begun */
  struct ash_time began;
  struct ash_time phase_began;
  double pass_ms;        /**< time of a pass, as streams of this router show it; 0: not known */
  double step_ms;        /**< the same, as the steps that ranks told show it */
  uint64_t sampled_step; /**< the last one told without lag */
  struct ash_time sampled_at; /**< when */
  uint64_t last_step;
  struct ash_time last_step_at; /**< when it was reported, less the lag */
  uint64_t released;            /**< the last step let go here */
  struct ash_time released_at;
  uint64_t foreign_held; /**< a hold that is not this router's */
  uint32_t foreign_rank; /**< where */
  struct ash_time foreign_since;
  struct ash_map_rank ranks[ASH_LAYER_RANKS_MAX];
};

/**
 * @param own_rank where this router holds steps. A rank does not tell whose hold it has;
 * so no two routers that may lead should hold at the same one.
 */
void ash_map_switch_init (struct ash_map_switch *sw,
                          uint32_t rank_count,
                          uint32_t lag_ms,
                          uint32_t own_rank);

/** A rank has told how it stands. */
void ash_map_switch_report (struct ash_map_switch *sw,
                            struct ash_time now,
                            const struct ash_rank_report *report);

/** @return whether all ranks are known, in one epoch, and nothing is under way. */
bool ash_map_switch_ready (const struct ash_map_switch *sw, struct ash_time now);

/** @return a version above all that any rank is known to have had. @param draw random bits. */
uint64_t ash_map_switch_new_version (const struct ash_map_switch *sw, uint64_t draw);

/**
 * Begins a change to a map of that version.
 * @param copy_ms of each rank: how long it is expected to copy.
 */
void ash_map_switch_begin (struct ash_map_switch *sw,
                           struct ash_time now,
                           uint64_t version,
                           const uint32_t copy_ms[ASH_LAYER_RANKS_MAX]);

/** @return whether a change goes back and needs a version with the map in use. */
bool ash_map_switch_needs_fence (const struct ash_map_switch *sw);

/** The map in use can be prepared as that version, drawn by ash_map_switch_new_version(). */
void ash_map_switch_set_fence (struct ash_map_switch *sw, uint64_t version);

/** A rank is known to use that map, whatever its reports still tell. */
void ash_map_switch_set_active (struct ash_map_switch *sw,
                                uint32_t rank,
                                uint64_t epoch,
                                uint64_t version);

/**
 * A rank's lists have told what it has prepared.
 * @param asked when the question was sent: the answer is of no earlier moment.
 */
void ash_map_switch_set_prepared (struct ash_map_switch *sw,
                                  uint32_t rank,
                                  uint64_t epoch,
                                  uint64_t version,
                                  struct ash_time asked);

/** @return whether a rank's lists are needed to finish what another router holds. */
bool ash_map_switch_needs_lists (const struct ash_map_switch *sw, uint32_t rank);

/** @return whether a step is held by another router, as far as is known. */
bool ash_map_switch_has_foreign_hold (const struct ash_map_switch *sw);

/** A pass takes so long now, as the pauses of streams show. */
void ash_map_switch_set_pass_ms (struct ash_map_switch *sw, double pass_ms);

/** A rank has told its present step, without the lag of reports. */
void ash_map_switch_sample_step (struct ash_map_switch *sw, struct ash_time now, uint64_t step);

/** An order was answered. @param status of HTTP; 0: not answered. */
void ash_map_switch_handle_answer (struct ash_map_switch *sw,
                                   struct ash_time now,
                                   const struct ash_rank_order *order,
                                   uint16_t status);

/** Time goes on. Fills what is to be sent now. @return how many orders. */
uint32_t ash_map_switch_orders (struct ash_map_switch *sw,
                                struct ash_time now,
                                struct ash_rank_order orders[ASH_LAYER_RANKS_MAX]);

/** @return whether a report of that rank is awaited: soon, or in good time. */
bool
ash_map_switch_needs_report (const struct ash_map_switch *sw, struct ash_time now, uint32_t rank);

#endif
