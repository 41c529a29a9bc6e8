/**
 * @file
 * An agent's part in its group: carries orders to its own rank's engine, brings
 * the answers back to whoever coordinates, and may coordinate itself. It keeps
 * nothing: whoever takes over reads all from the ranks.
 */
#ifndef ASH_GROUP_AGENT_H
#define ASH_GROUP_AGENT_H

#include "controllers/expert_change.h"
#include "controllers/expert_guard.h"
#include "controllers/expert_history.h"
#include "controllers/expert_policy.h"
#include "daemon/daemon.h"

struct engine_call;

/** The group of one endpoint. */
struct ash_group_agent
{
  struct ash_daemon *daemon;
  struct ash_log log;
  bool is_member; /**< this endpoint runs in a group */
  char name[ASH_NAME_BYTES];
  uint32_t rank;
  uint32_t rank_count;
  uint32_t interval_ms;
  char box_names[ASH_EXPERT_RANKS_MAX][ASH_NAME_BYTES]; /**< by rank */
  const char *boxes[ASH_EXPERT_RANKS_MAX];
  struct ash_expert_change change;
  enum ash_expert_phase logged_phase; /**< the last phase that was logged */
  struct ash_expert_policy policy;
  struct ash_expert_placement placement; /**< as the newest state here has it */
  struct ash_expert_decision decision;   /**< the last, for the log */
  struct ash_expert_history history;     /**< for operators */
  struct ash_time unsettled_since;       /**< the own rank waits or is blank since then */
  struct ash_time next_poll;
  struct ash_time next_decision;
  char profile[ASH_NAME_BYTES]; /**< of the event that is prepared for; empty: none */
  uint64_t rank_map;
  struct ash_expert_guard guard; /**< before the own engine */
  bool polling;
  struct engine_call *calls; /**< under way */
};

void ash_group_agent_init (struct ash_group_agent *group, struct ash_daemon *daemon);

/** To be called when the HTTP client is finished. */
void ash_group_agent_finish (struct ash_group_agent *group);

/** A new configuration is in force. */
void ash_group_agent_configured (struct ash_group_agent *group);

/** Takes an order or an answer from a peer. @return false if it is neither. */
bool ash_group_agent_handle (struct ash_group_agent *group, const struct Ash__Event *event);

/** What was decided here on the group, newest first. @return a new object, or NULL. */
json_t *ash_group_agent_explain (const struct ash_group_agent *group, const char *name);

/** Time goes on. */
void ash_group_agent_tick (struct ash_group_agent *group);

#endif
