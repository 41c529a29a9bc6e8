/**
 * @file
 * Cuts a text/event-stream into whole events and reads their ids. No I/O.
 */
#ifndef ASH_EVENT_STREAM_H
#define ASH_EVENT_STREAM_H

#include "net/buffer.h"

/** An event larger than this is not one of a sound server. */
#define ASH_EVENT_MAX_BYTES (256 * 1024)

/** A whole event. */
struct ash_stream_event
{
  const uint8_t *bytes; /**< its blank line included */
  size_t length;
  bool has_id;
  int64_t id;
};

/** Reads one stream. */
struct ash_event_stream
{
  struct ash_buffer pending; /**< of an event that is not whole yet */
  size_t scanned;            /**< bytes of it that hold no end */
};

void ash_event_stream_init (struct ash_event_stream *stream);
void ash_event_stream_finish (struct ash_event_stream *stream);

/** Takes bytes in. @return false if an event grows too large, or without memory. */
bool ash_event_stream_feed (struct ash_event_stream *stream, const uint8_t *bytes, size_t length);

/**
 * Takes the next whole event out; its bytes are valid until the next call.
 */
bool ash_event_stream_next (struct ash_event_stream *stream, struct ash_stream_event *event);

/** Drops the event that ash_event_stream_next() gave. */
void ash_event_stream_drop (struct ash_event_stream *stream, const struct ash_stream_event *event);

/** @return whether it ended between two events. */
bool ash_event_stream_is_empty (const struct ash_event_stream *stream);

#endif
