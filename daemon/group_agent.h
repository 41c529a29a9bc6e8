/**
 * @file
 * An agent's part in its lock-step group, in ashspindled in the endpoint role (the router process
 * uses map_manager.h instead): passes a coordinator's orders to the engine of its own rank, returns
 * the answers, and may coordinate changes of the expert map itself. It stores no state: an agent
 * that takes over coordination reads the state of all ranks.
 */
#ifndef ASH_GROUP_AGENT_H
#define ASH_GROUP_AGENT_H

#include "controllers/expert_change.h"
#include "controllers/expert_guard.h"
#include "controllers/expert_history.h"
#include "controllers/expert_policy.h"
#include "daemon/daemon.h"

struct engine_call;

/** State of one endpoint's membership in a group. */
struct ash_group_agent
{
  struct ash_daemon *daemon;
  struct ash_log log;
  bool is_member; /**< this endpoint belongs to a group */
  char name[ASH_NAME_BYTES];
  uint32_t rank;
  uint32_t rank_count;
  uint32_t interval_ms; /**< time between decisions on moves of experts */
  char box_names[ASH_EXPERT_RANKS_MAX][ASH_NAME_BYTES]; /**< boxes of the group, by rank */
  const char *boxes[ASH_EXPERT_RANKS_MAX];              /**< pointers to box_names */
  struct ash_expert_change change;    /**< the change that this agent coordinates */
  enum ash_expert_phase logged_phase; /**< last phase of the change that was logged */
  struct ash_expert_policy policy;
  struct ash_expert_placement
      placement;                       /**< placement in the last reported state of the own rank */
  struct ash_expert_decision decision; /**< the last decision, for the log */
  struct ash_expert_history history;   /**< decisions and changes, for operators' queries */
  struct ash_time
      unsettled_since; /**< since when the own rank has had a map armed, or no map at all */
  struct ash_time next_poll;
  struct ash_time next_decision;
  char profile[ASH_NAME_BYTES];  /**< load profile of the declared event that is being prepared for;
                                    empty: none */
  uint64_t rank_map;             /**< digest of the own rank's map; 0: none */
  struct ash_expert_guard guard; /**< checks orders to the own engine */
  bool polling;                  /**< a request for the engine's state is in progress */
  struct engine_call *calls;     /**< requests to the engine in progress */
};

void ash_group_agent_init (struct ash_group_agent *group, struct ash_daemon *daemon);

/** Frees requests to the engine that are still in progress. Call it after
 * ash_http_client_finish(), when no callback can use them any more. */
void ash_group_agent_finish (struct ash_group_agent *group);

/** Applies a newly active configuration. */
void ash_group_agent_configured (struct ash_group_agent *group);

/** Handles a peer's RankOrder or RankState. @return false if it is another message. */
bool ash_group_agent_handle (struct ash_group_agent *group, const struct Ash__Event *event);

/** @return a new JSON object with this agent's decisions on the group, newest first; NULL if the
 * endpoint isn't in the group. */
json_t *ash_group_agent_explain (const struct ash_group_agent *group, const char *name);

/** Runs the timers: polls the engine's state, decides on moves, takes over abandoned changes. */
void ash_group_agent_tick (struct ash_group_agent *group);

#endif
