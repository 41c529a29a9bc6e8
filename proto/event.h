/**
 * @file
 * The interface through which cores (the parts without I/O) emit messages, and a text form of
 * messages for the recorded sessions of test-golden.
 */
#ifndef ASH_EVENT_H
#define ASH_EVENT_H

#include "proto/ash.pb-c.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/** Messages of Event with this field number or above are local: they are never sent on a link. */
#define ASH_EVENT_LOCAL_FIRST 30

/**
 * Receives the messages that a core emits. The event and everything that it points to are valid
 * only during the call, and the callback must not call into a core.
 */
struct ash_sink
{
  void (*emit) (void *data, const struct Ash__Event *event);
  void *data;
};

/** @return an event for box @p peer that points to @p message, whose type is the one of @p kind.
 * Nothing is copied. */
struct Ash__Event ash_event_wrap (const char *peer, Ash__Event__KindCase kind, const void *message);

/** Passes @p message, whose type is the one of @p kind, to @p sink for box @p peer. */
void ash_emit (const struct ash_sink *sink,
               const char *peer,
               Ash__Event__KindCase kind,
               const void *message);

/** Prints an event as `PEER KIND FIELD=VALUE...` without fields that have their default value;
 * PEER is `-` for a local event. */
void ash_event_print (const struct Ash__Event *event, FILE *out);

/**
 * Parses the output of ash_event_print().
 * @param error set to a static message on failure, else to NULL.
 * @return a new event, to be freed with ash__event__free_unpacked(), or NULL.
 */
struct Ash__Event *ash_event_parse (const char *text, const char **error);

/** Casts away const for a string field of a protobuf message that is only read. */
static inline char *
ash_proto_text (const char *text)
{
  return (char *) (uintptr_t) text;
}

#endif
