/**
 * @file
 * What endpoints send back, and how it gets to the caller: whole, and its own. Part
 * of the entry's core.
 */
#ifndef ASH_ANSWER_H
#define ASH_ANSWER_H

#include "filters/entry.h"

/** An endpoint refused it. */
void ash_answer_refused (struct ash_entry *entry,
                         struct ash_time now,
                         const char *peer,
                         const struct Ash__Refused *refused);

/** The answer begins. */
void ash_answer_head (struct ash_entry *entry, const char *peer, const struct Ash__Head *head);

/** A piece of the answer, passed on in order and without holes. */
void ash_answer_data (struct ash_entry *entry,
                      struct ash_time now,
                      const char *peer,
                      const struct Ash__Data *data);

/** The answer ends. */
void ash_answer_end (struct ash_entry *entry,
                     struct ash_time now,
                     const char *peer,
                     const struct Ash__End *end);

/** An earlier home of its key answers whether it has the request. */
void ash_answer_disowned (struct ash_entry *entry,
                          struct ash_time now,
                          const char *peer,
                          const struct Ash__Disowned *disowned);

#endif
