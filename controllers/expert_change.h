/**
 * @file
 * A coordinator's side of a change of a group's expert map. Any of the group's
 * agents may run one, at any time: the ballot fences rivals and late wakers, and
 * what one began another finishes or takes back. All ranks are the quorum, as a
 * group in lock-step needs all of them anyway.
 */
#ifndef ASH_EXPERT_CHANGE_H
#define ASH_EXPERT_CHANGE_H

#include "common/clock.h"
#include "proto/event.h"

/** Ranks of a group at most. */
#define ASH_EXPERT_RANKS_MAX 64

/** How often unanswered orders are sent again, in milliseconds. */
#define ASH_EXPERT_RESEND_MS 50

/** A change without an answer from some rank for so long is given up. */
#define ASH_EXPERT_CHANGE_TIMEOUT_MS 1000

/** Steps ahead of the latest begun one at which a map is armed: enough for the
 * orders to arrive, so that no rank has to wait in the normal case. */
#define ASH_EXPERT_STEPS_AHEAD 4

/** How often all ranks are armed anew, for later steps, before it is given up. */
#define ASH_EXPERT_ARMS_MAX 8

/** Bytes of a placement at most: two for each slot. */
#define ASH_EXPERT_PLACEMENT_BYTES 2048

/** A map: its digest names it, its placement says what it is. */
struct ash_expert_map
{
  uint64_t digest; /**< 0: none */
  uint32_t length;
  uint8_t placement[ASH_EXPERT_PLACEMENT_BYTES];
};

/** Where a change stands. */
enum ash_expert_phase
{
  ASH_EXPERT_IDLE,
  ASH_EXPERT_PREPARE,
  ASH_EXPERT_FINISH, /**< a newer map was found committed somewhere */
  ASH_EXPERT_DISARM,
  ASH_EXPERT_ADOPT, /**< replaced ranks get the others' state */
  ASH_EXPERT_ARM,
  ASH_EXPERT_COMMIT,
  ASH_EXPERT_DONE,
  ASH_EXPERT_FAILED, /**< fenced by a higher ballot, or a rank does not answer */
};

/** What is known of a rank. */
struct ash_expert_rank_answer
{
  bool awaited; /**< by the present phase */
  bool blank;
  uint64_t life;
  uint64_t begun;
  uint64_t version;
  uint64_t map;
  uint64_t from;
  uint64_t before;
};

/** A change. */
struct ash_expert_change
{
  const char *group;
  const char *const *boxes; /**< of each rank's agent, by rank; the caller's */
  uint32_t rank_count;
  struct ash_sink sink;
  enum ash_expert_phase phase;
  uint32_t salt; /**< random, of this process's life: makes its ballots its own */
  uint32_t arms; /**< how often ranks were armed */
  uint64_t ballot;
  uint64_t sequence;            /**< of the present phase's orders */
  uint64_t highest;             /**< ballot seen anywhere, to go above next time */
  struct ash_expert_map wanted; /**< the new map; digest 0: only bring order */
  struct ash_expert_map found;  /**< the newest that a rank has committed */
  uint64_t step;                /**< at which it is armed */
  struct ash_time sent;
  struct ash_time since; /**< the phase began */
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
 * @param wanted the new map, or NULL to bring the group into order after a change
 * that was abandoned, or after a rank was replaced.
 */
void ash_expert_change_start (struct ash_expert_change *change,
                              struct ash_time now,
                              const struct ash_expert_map *wanted);

/** Takes a rank's answer. */
void ash_expert_change_handle_state (struct ash_expert_change *change,
                                     struct ash_time now,
                                     const struct Ash__RankState *state);

/** Sends unanswered orders again; gives up in the end. */
void ash_expert_change_tick (struct ash_expert_change *change, struct ash_time now);

/** @return whether it is neither done nor given up. */
bool ash_expert_change_running (const struct ash_expert_change *change);

#endif
