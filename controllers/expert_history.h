/**
 * @file
 * What an agent decided on its group's expert map, and on which numbers: the last
 * decisions, those not to move anything included, for operators who ask why.
 */
#ifndef ASH_EXPERT_HISTORY_H
#define ASH_EXPERT_HISTORY_H

#include "common/clock.h"
#include "controllers/expert_policy.h"

/** How many are kept. */
#define ASH_EXPERT_HISTORY_MAX 32

/** What a note is about. */
enum ash_expert_note_kind
{
  ASH_EXPERT_NOTE_KEPT,     /**< nothing was worth its price */
  ASH_EXPERT_NOTE_MOVES,    /**< a change of the map was begun */
  ASH_EXPERT_NOTE_TAKEOVER, /**< a change that was abandoned was taken over */
  ASH_EXPERT_NOTE_DONE,     /**< the change is through */
  ASH_EXPERT_NOTE_GIVEN_UP,
};

/** One decision, or what came of one. */
struct ash_expert_note
{
  enum ash_expert_note_kind kind;
  struct ash_time at; /**< the last time, where it was the same several times */
  uint32_t times;
  bool forecast;   /**< on loads that a declared event lets expect */
  uint64_t ballot; /**< 0: no change */
  uint64_t step;   /**< from which the map is used */
  uint32_t moves;
  double skew_before;
  double skew_after;
  double refused_gain;
};

/** A ring. Zeroed is empty. */
struct ash_expert_history
{
  struct ash_expert_note notes[ASH_EXPERT_HISTORY_MAX];
  uint32_t count;
  uint32_t next;
};

/** Adds a note. Decisions in a row to move nothing become one, with its count. */
void ash_expert_history_add (struct ash_expert_history *history,
                             const struct ash_expert_note *note);

/** @return the note that came @p i before the last, or NULL. */
const struct ash_expert_note *ash_expert_history_last (const struct ash_expert_history *history,
                                                       uint32_t i);

/** @return the kind's name, as operators see it. */
const char *ash_expert_note_name (enum ash_expert_note_kind kind);

#endif
