/**
 * @file
 * The coordinator of a change of a group's expert map. Any agent of the group may
 * coordinate a change at any time: ballots fence off concurrent coordinators and
 * coordinators that resume after a suspension, and a later coordinator completes or
 * reverts what an earlier one began. The quorum is all ranks, since a group that runs
 * in lock-step cannot make progress without any of them.
 */
#ifndef ASH_EXPERT_CHANGE_H
#define ASH_EXPERT_CHANGE_H

#include "common/clock.h"
#include "proto/event.h"

/** Maximum number of ranks of a group. */
#define ASH_EXPERT_RANKS_MAX 64

/** Interval at which unanswered orders are sent again, in milliseconds. */
#define ASH_EXPERT_RESEND_MS 50

/** A phase of a change that lacks an answer from a rank after this time fails. */
#define ASH_EXPERT_CHANGE_TIMEOUT_MS 1000

/** A map is armed for a step this many steps after the latest one that any rank has
 * begun: enough for the orders to arrive, so that normally no rank waits for them. */
#define ASH_EXPERT_STEPS_AHEAD 4

/** Maximum number of times that all ranks are armed, each time for a later step, before the
 * change fails. */
#define ASH_EXPERT_ARMS_MAX 8

/** Maximum size of a placement: two bytes for each slot. */
#define ASH_EXPERT_PLACEMENT_BYTES 2048

/** An expert map: the placement and the digest that identifies it. */
struct ash_expert_map
{
  uint64_t digest; /**< 0: there is no map */
  uint32_t length;
  uint8_t placement[ASH_EXPERT_PLACEMENT_BYTES];
};

/** Phase of a change. */
enum ash_expert_phase
{
  ASH_EXPERT_IDLE,
  ASH_EXPERT_PREPARE,
  ASH_EXPERT_FINISH, /**< some rank has committed a newer map: the others follow */
  ASH_EXPERT_DISARM,
  ASH_EXPERT_ADOPT, /**< replaced ranks receive the state of the others */
  ASH_EXPERT_ARM,
  ASH_EXPERT_COMMIT,
  ASH_EXPERT_DONE,
  ASH_EXPERT_FAILED, /**< a rank refused an order or did not answer, or all ranks have lost the
                        state */
};

/** State of a rank, as in its answers; see struct ash_expert_rank for the fields. */
struct ash_expert_rank_answer
{
  bool awaited; /**< the present phase still lacks this rank's answer */
  bool blank;
  uint64_t incarnation;
  uint64_t begun;
  uint64_t version;
  uint64_t map;
  uint64_t from;
  uint64_t before;
};

struct ash_expert_change
{
  const char *group;
  const char *const *boxes; /**< box of each rank's agent, by rank; owned by the caller */
  uint32_t rank_count;
  struct ash_sink sink;
  enum ash_expert_phase phase;
  uint32_t salt; /**< random number of this process, which makes its ballots unique */
  uint32_t arms; /**< number of times that all ranks were armed */
  uint64_t ballot;
  uint64_t sequence;            /**< sequence number of the present phase's orders */
  uint64_t highest;             /**< highest ballot in any answer; the next ballot is higher */
  struct ash_expert_map wanted; /**< the new map; digest 0: only repair the group's state */
  struct ash_expert_map found;  /**< newest map that a rank has committed */
  uint64_t step;                /**< first step that is run with the wanted map */
  struct ash_time sent;         /**< when the present phase's orders were last sent */
  struct ash_time since;        /**< when the present phase began */
  struct ash_expert_rank_answer answers[ASH_EXPERT_RANKS_MAX];
};

void ash_expert_change_init (struct ash_expert_change *change,
                             const char *group,
                             const char *const *boxes,
                             uint32_t rank_count,
                             uint32_t salt,
                             struct ash_sink sink);

/**
 * Begins a change.
 * @param wanted the new map, or NULL to only complete or revert an abandoned change and
 * to restore replaced ranks.
 */
void ash_expert_change_start (struct ash_expert_change *change,
                              struct ash_time now,
                              const struct ash_expert_map *wanted);

/** Handles a rank's answer to an order. */
void ash_expert_change_handle_state (struct ash_expert_change *change,
                                     struct ash_time now,
                                     const struct Ash__RankState *state);

/** Runs the timers: sends unanswered orders again, and fails a change that takes too long. */
void ash_expert_change_tick (struct ash_expert_change *change, struct ash_time now);

/** @return whether the change was started and has neither completed nor failed. */
bool ash_expert_change_running (const struct ash_expert_change *change);

#endif
