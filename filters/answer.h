/**
 * @file
 * Handlers for messages that endpoints send about a request. They pass each answer on to its
 * caller in order and complete, and ignore messages of attempts that are no longer current. Part
 * of the entry's core.
 */
#ifndef ASH_ANSWER_H
#define ASH_ANSWER_H

#include "filters/entry.h"

/** An endpoint refused a request: retries it elsewhere or sends the refusal to the caller. */
void ash_answer_refused (struct ash_entry *entry,
                         struct ash_time now,
                         const char *peer,
                         const struct Ash__Refused *refused);

/** The head of an answer arrived: the head of a stream is passed on to the caller at once,
 * any other is sent together with the complete body. */
void ash_answer_head (struct ash_entry *entry, const char *peer, const struct Ash__Head *head);

/** A part of an answer's body arrived. Duplicates are dropped; a gap makes the entry request the
 * missing part again. */
void ash_answer_data (struct ash_entry *entry,
                      struct ash_time now,
                      const char *peer,
                      const struct Ash__Data *data);

/** An answer ended, complete or broken off. */
void ash_answer_end (struct ash_entry *entry,
                     struct ash_time now,
                     const char *peer,
                     const struct Ash__End *end);

/** An earlier home of the request's key reports whether it has the request in its ledger. */
void ash_answer_disowned (struct ash_entry *entry,
                          struct ash_time now,
                          const char *peer,
                          const struct Ash__Disowned *disowned);

#endif
