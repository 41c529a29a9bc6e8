/**
 * @file
 * Manages the expert maps of groups of ranks that run in lock-step, in the router process
 * (ashspindle-router). Only the leading router does so: it monitors the groups, samples how many
 * tokens each expert processes, and changes the maps. The other routers keep no state of the
 * groups.
 */
#ifndef ASH_MAP_MANAGER_H
#define ASH_MAP_MANAGER_H

#include "controllers/layer_policy.h"
#include "controllers/map_switch.h"

#include <ev.h>

struct ash_router;
struct ash_rank_endpoint;
struct ash_rank_group;

/**
 * State of a sample of the token counts. Each engine counts the tokens that its requests have
 * routed to each expert since its start. A sample is the difference between two queries of some
 * ranks.
 */
enum ash_counts_state
{
  ASH_COUNTS_IDLE,     /**< no sample is in progress */
  ASH_COUNTS_BASELINE, /**< queried the counts from which the sample starts */
  ASH_COUNTS_INTERVAL, /**< waiting for enough tokens to be counted */
  ASH_COUNTS_FINAL,    /**< queried the counts at which the sample ends */
};

/** The map manager of a router. */
struct ash_map_manager
{
  struct ash_router *router;
  ev_timer timer;
  bool leads;
  struct ash_time leads_since;
  struct ash_rank_endpoint *endpoints; /**< endpoints with an engine, by hash of their id */
  struct ash_rank_group *groups;       /**< groups by name */
  struct ash_layer_policy *policy;     /**< NULL: the service has no experts, or not leading */
  enum ash_counts_state counts_state;
  struct ash_time counts_since;          /**< when counts_state last changed */
  struct ash_time baseline_requested_at; /**< when the token counts at the start of the present
                                            sample were requested from the engines */
  bool counts_from_baseline; /**< the sample starts at its first query; else at the previous sample,
                                or at the engines' start */
  uint32_t sample_offset;  /**< selects the queried endpoints: those whose index equals this modulo
                              the sampling stride */
  uint32_t counts_awaited; /**< queries that are not answered yet */
  uint32_t counts_used;    /**< answers that are part of the present sample */
  uint32_t empty_samples;  /**< consecutive samples that ended without any usable answer */
  bool slow_passes;        /**< the present sample was started because passes are slow */
  double *counts;          /**< tokens of each expert in the present sample, ordered by layer */
  struct ash_time last_decided;  /**< when the last sample was completed */
  struct ash_shift_times shifts; /**< times of shifts of the demand */
  bool reported_changing; /**< whether a change is in progress, as last sent to the next leaders */
  struct ash_time changing_sent_at;
  uint64_t orders_sent;
  uint64_t counts_received;  /**< token counts received from engines */
  uint64_t beyond_bounds;    /**< number of reports of groups that exceed the maximum sizes */
  bool beyond_bounds_logged; /**< such a report was logged since this router began to lead */
};

/** Starts the manager's timer. */
void ash_map_manager_open (struct ash_map_manager *manager, struct ash_router *router);

/** Stops the timer and frees all groups and endpoints. */
void ash_map_manager_close (struct ash_map_manager *manager);

/** Discards all state, which is outdated after the process was suspended. */
void ash_map_manager_resumed (struct ash_map_manager *manager);

/** @return whether this router may hold a step of a group, which then is stalled until it is
 * released. */
bool ash_map_manager_holds_step (const struct ash_map_manager *manager);

/** @return whether a change of a map is in progress. If this router fails now, a group may stall.
 */
bool ash_map_manager_is_changing (const struct ash_map_manager *manager);

/** Adds the pause between two events of a stream of that endpoint. */
void ash_map_manager_add_pause (struct ash_map_manager *manager,
                                uint64_t endpoint_hash,
                                int64_t pause_ms);

/** Removes an endpoint that is about to be freed. */
void ash_map_manager_remove_endpoint (struct ash_map_manager *manager, uint64_t endpoint_hash);

#endif
