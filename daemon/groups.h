/**
 * @file
 * Groups of ranks in lock-step: the router that leads watches them, learns what
 * experts are asked for, and changes their maps. All others keep nothing of it.
 */
#ifndef ASH_GROUPS_H
#define ASH_GROUPS_H

#include "controllers/layer_policy.h"
#include "controllers/map_switch.h"

#include <ev.h>

struct ash_router;
struct ash_rank_box;
struct ash_rank_group;

/** How far a look at the counts has come. */
enum ash_counts_state
{
  ASH_COUNTS_RESTING,
  ASH_COUNTS_BEFORE, /**< asked, to count from here: what came before is of another time */
  ASH_COUNTS_PAUSE,  /**< until there is enough to count */
  ASH_COUNTS_ASKED,  /**< asked, to decide on what came since */
};

/** The task. */
struct ash_groups
{
  struct ash_router *router;
  ev_timer timer;
  bool leads;
  struct ash_time leads_since;
  struct ash_rank_box *boxes;    /**< endpoints with an engine, by hash of their id */
  struct ash_rank_group *groups; /**< by name */
  struct ash_layer_policy *policy;
  enum ash_counts_state counts_state;
  struct ash_time counts_since; /**< when this state began */
  struct ash_time look_began;   /**< the look's first question; counts are from there on */
  bool counts_from_look;        /**< else from the last look on, or from the start */
  uint32_t sample_first;        /**< ranks that are asked: every so manieth from here on */
  uint32_t counts_awaited;
  uint32_t counts_taken; /**< answers of this look that counted */
  uint32_t looks_lost;   /**< in a row, without such an answer */
  bool suspects;         /**< the look under way was begun because of long passes */
  double *counts;        /**< new since the last decision */
  struct ash_time decided;
  struct ash_shift_times shifts;
  bool changes; /**< as those that would lead next were last told */
  struct ash_time changes_told;
  uint64_t orders;           /**< sent */
  uint64_t reads;            /**< numbers read */
  uint64_t beyond_bounds;    /**< reports of groups that are larger than what is kept here */
  bool beyond_bounds_logged; /**< while this router leads */
};

void ash_groups_open (struct ash_groups *groups, struct ash_router *router);

void ash_groups_close (struct ash_groups *groups);

/** The process was paused: all that it knows is old. */
void ash_groups_woke (struct ash_groups *groups);

/** @return whether a group stands still until this router lets it go. */
bool ash_groups_holds (const struct ash_groups *groups);

/** @return whether a change of a map is under way here: if this router is lost, a group may stand.
 */
bool ash_groups_changes (const struct ash_groups *groups);

/** A stream at that endpoint has paused so long between two events. */
void ash_groups_pause (struct ash_groups *groups, uint64_t endpoint_hash, int64_t pause_ms);

/** An endpoint is about to be freed. */
void ash_groups_forget (struct ash_groups *groups, uint64_t endpoint_hash);

#endif
