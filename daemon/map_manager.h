/**
 * @file
 * Groups of ranks in lock-step: the router that leads watches them, learns what
 * experts are asked for, and changes their maps. All others keep nothing of it.
 */
#ifndef ASH_MAP_MANAGER_H
#define ASH_MAP_MANAGER_H

#include "controllers/layer_policy.h"
#include "controllers/map_switch.h"

#include <ev.h>

struct ash_router;
struct ash_rank_endpoint;
struct ash_rank_group;

/** How far a look at the counts has come. */
enum ash_counts_state
{
  ASH_COUNTS_IDLE,
  ASH_COUNTS_BASELINE, /**< asked, to count from here: what came before is of another time */
  ASH_COUNTS_INTERVAL, /**< until there is enough to count */
  ASH_COUNTS_FINAL,    /**< asked, to decide on what came since */
};

/** The task. */
struct ash_map_manager
{
  struct ash_router *router;
  ev_timer timer;
  bool leads;
  struct ash_time leads_since;
  struct ash_rank_endpoint *boxes; /**< endpoints with an engine, by hash of their id */
  struct ash_rank_group *groups;   /**< by name */
  struct ash_layer_policy *policy;
  enum ash_counts_state counts_state;
  struct ash_time counts_since;          /**< when this state began */
  struct ash_time baseline_requested_at; /**< the look's first question; counts are from there on */
  bool counts_from_baseline;             /**< else from the last look on, or from the start */
  uint32_t sample_offset;                /**< ranks that are asked: every so manieth from here on */
  uint32_t counts_awaited;
  uint32_t counts_used;   /**< answers of this look that counted */
  uint32_t empty_samples; /**< in a row, without such an answer */
  bool slow_passes;       /**< the look under way was begun because of long passes */
  double *counts;         /**< new since the last decision */
  struct ash_time decided;
  struct ash_shift_times shifts;
  bool changes; /**< as those that would lead next were last told */
  struct ash_time changing_sent_at;
  uint64_t orders;           /**< sent */
  uint64_t reads;            /**< numbers read */
  uint64_t beyond_bounds;    /**< reports of groups that are larger than what is kept here */
  bool beyond_bounds_logged; /**< while this router leads */
};

void ash_map_manager_open (struct ash_map_manager *groups, struct ash_router *router);

void ash_map_manager_close (struct ash_map_manager *groups);

/** The process was paused: all that it knows is old. */
void ash_map_manager_resumed (struct ash_map_manager *groups);

/** @return whether a group stands still until this router lets it go. */
bool ash_map_manager_holds_step (const struct ash_map_manager *groups);

/** @return whether a change of a map is under way here: if this router is lost, a group may stand.
 */
bool ash_map_manager_is_changing (const struct ash_map_manager *groups);

/** A stream at that endpoint has paused so long between two events. */
void ash_map_manager_add_pause (struct ash_map_manager *groups,
                                uint64_t endpoint_hash,
                                int64_t pause_ms);

/** An endpoint is about to be freed. */
void ash_map_manager_remove_endpoint (struct ash_map_manager *groups, uint64_t endpoint_hash);

#endif
