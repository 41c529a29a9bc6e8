/**
 * @file
 * How cores hand out messages, and messages as text for golden sessions.
 */
#ifndef ASH_EVENT_H
#define ASH_EVENT_H

#include "proto/ash.pb-c.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/** The first number in Event that never crosses a link. */
#define ASH_EVENT_LOCAL_FIRST 30

/**
 * Takes the messages that a core gives out. The event and all it points to are
 * valid during the call only, and the call must not enter a core again.
 */
struct ash_sink
{
  void (*emit) (void *data, const struct Ash__Event *event);
  void *data;
};

/** @return an event that holds @p message, of the type that @p kind names. */
struct Ash__Event ash_event_wrap (const char *peer, Ash__Event__KindCase kind, const void *message);

/** Gives @p message, of the type that @p kind names, to @p sink for box @p peer. */
void ash_emit (const struct ash_sink *sink,
               const char *peer,
               Ash__Event__KindCase kind,
               const void *message);

/** Prints an event as `kind field=value ...`, fields at their default left out. */
void ash_event_print (const struct Ash__Event *event, FILE *out);

/**
 * Reads what ash_event_print() prints.
 * @param error on failure, what was wrong; static text.
 * @return a new event, freed by ash__event__free_unpacked(), or NULL.
 */
struct Ash__Event *ash_event_parse (const char *text, const char **error);

/** Protobuf strings are not const; ours are only read. */
static inline char *
ash_proto_text (const char *text)
{
  return (char *) (uintptr_t) text;
}

#endif
