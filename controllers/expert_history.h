/**
 * @file
 * The last decisions that an agent made on its group's expert map, with the numbers behind
 * them, so that operators can see why experts were moved or not.
 */
#ifndef ASH_EXPERT_HISTORY_H
#define ASH_EXPERT_HISTORY_H

#include "common/clock.h"
#include "controllers/expert_policy.h"

/** Maximum number of notes. */
#define ASH_EXPERT_HISTORY_MAX 32

/** The subject of a note. */
enum ash_expert_note_kind
{
  ASH_EXPERT_NOTE_KEPT,     /**< no move was worth its cost */
  ASH_EXPERT_NOTE_MOVES,    /**< a change of the map was begun */
  ASH_EXPERT_NOTE_TAKEOVER, /**< an abandoned change was taken over */
  ASH_EXPERT_NOTE_DONE,     /**< the change is complete */
  ASH_EXPERT_NOTE_GIVEN_UP,
};

/** A decision, or the outcome of one. */
struct ash_expert_note
{
  enum ash_expert_note_kind kind;
  struct ash_time at;  /**< when the decision was made; the last time if it was repeated */
  uint32_t times;      /**< number of equal decisions in a row */
  bool forecast;       /**< based on the loads forecast for a declared event */
  uint64_t ballot;     /**< ballot of the change; 0: no change was begun */
  uint64_t step;       /**< first step that is run with the map */
  uint32_t moves;      /**< number of moves in the decision */
  double skew_before;  /**< predicted skew without the moves */
  double skew_after;   /**< predicted skew with the moves */
  double refused_gain; /**< gain of the best move that was not worth its cost */
};

/** Ring buffer of notes. Valid and empty when zeroed. */
struct ash_expert_history
{
  struct ash_expert_note notes[ASH_EXPERT_HISTORY_MAX];
  uint32_t count;
  uint32_t next;
};

/** Adds a note. Consecutive decisions to move nothing share one note, which counts them. */
void ash_expert_history_add (struct ash_expert_history *history,
                             const struct ash_expert_note *note);

/** @return the last note if @p i is 0, the one before it if @p i is 1, and so on; NULL if there is
 * none. */
const struct ash_expert_note *ash_expert_history_last (const struct ash_expert_history *history,
                                                       uint32_t i);

/** @return the name of the kind in operators' output. */
const char *ash_expert_note_name (enum ash_expert_note_kind kind);

#endif
