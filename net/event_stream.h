/**
 * @file
 * Splits a text/event-stream (server-sent events) into complete events and parses their ids.
 * No I/O.
 */
#ifndef ASH_EVENT_STREAM_H
#define ASH_EVENT_STREAM_H

#include "net/buffer.h"

/** Largest accepted event, its blank line included; a correct server sends no larger one. */
#define ASH_EVENT_MAX_BYTES (256 * 1024)

/** A complete event. */
struct ash_stream_event
{
  const uint8_t *bytes; /**< owned by the stream; up to and including the blank line */
  size_t length;
  bool has_id;
  int64_t id;
};

/** Parser state of one stream. */
struct ash_event_stream
{
  struct ash_buffer pending; /**< bytes received and not dropped yet */
  size_t scanned;            /**< leading bytes of `pending` known to contain no end of an event */
};

void ash_event_stream_init (struct ash_event_stream *stream);

/** Frees the pending bytes. The stream may be fed again, with the events of another answer. */
void ash_event_stream_finish (struct ash_event_stream *stream);

/**
 * Appends received bytes.
 * @return false if the pending bytes would exceed ASH_EVENT_MAX_BYTES, or if out of memory.
 */
bool ash_event_stream_feed (struct ash_event_stream *stream, const uint8_t *bytes, size_t length);

/**
 * Finds the first complete event; ash_event_stream_drop() then removes it.
 * @param event its bytes are valid until the stream is fed or the event is dropped.
 * @return false if no event is complete.
 */
bool ash_event_stream_next (struct ash_event_stream *stream, struct ash_stream_event *event);

/** Removes the event that ash_event_stream_next() returned. */
void ash_event_stream_drop (struct ash_event_stream *stream, const struct ash_stream_event *event);

/** @return whether no bytes of an incomplete event are pending. */
bool ash_event_stream_is_empty (const struct ash_event_stream *stream);

#endif
