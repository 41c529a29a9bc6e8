/**
 * @file
 * A non-blocking TCP connection in the event loop. Received bytes are passed to a handler; bytes to
 * send are queued and written as the socket accepts them.
 *
 * A handler may call ash_stream_finish() from any of its callbacks. ash_stream_write() never calls
 * the handler: a write error is reported through its `end` callback in the next loop iteration.
 */
#ifndef ASH_STREAM_H
#define ASH_STREAM_H

#include "net/buffer.h"

#include <ev.h>
#include <netinet/in.h>

struct ash_stream;

/** How a connection ended. */
enum ash_stream_end
{
  ASH_STREAM_EOF,            /**< closed by the peer */
  ASH_STREAM_RESET,          /**< reset by the peer, timed out, or a write failed */
  ASH_STREAM_CONNECT_FAILED, /**< the connection could not be established */
};

/** Callbacks of a stream. */
struct ash_stream_handler
{
  void (*data) (struct ash_stream *stream, const uint8_t *bytes, size_t length);
  void (*end) (struct ash_stream *stream, enum ash_stream_end end);
  void (*drained) (struct ash_stream *stream); /**< the send queue is empty; may be NULL */
};

/** A connection. */
struct ash_stream
{
  struct ev_loop *loop;
  const struct ash_stream_handler *handler;
  void *owner;
  int fd; /**< -1 after ash_stream_finish() */
  bool connecting;
  bool refused;      /**< connecting failed with ECONNREFUSED */
  bool write_failed; /**< a write failed; on_writable() reports it in the next loop iteration */
  bool paused;       /**< reading is stopped by ash_stream_pause() */
  uint64_t *queued_total; /**< sum of the send queues of several streams, or NULL */
  ev_io read_io;
  ev_io write_io;
  struct ash_buffer out;
};

/** Takes ownership of a connected, non-blocking socket and starts reading. */
void ash_stream_init (struct ash_stream *stream,
                      struct ev_loop *loop,
                      int fd,
                      const struct ash_stream_handler *handler,
                      void *owner);

/** Starts connecting. @return false with errno set if that fails immediately. */
bool ash_stream_connect (struct ash_stream *stream,
                         struct ev_loop *loop,
                         const struct sockaddr_in *address,
                         const struct ash_stream_handler *handler,
                         void *owner);

/**
 * Enables TCP keep-alive probes, so that a dead peer is detected even while nothing is sent.
 * @param silence_ms the stream ends with ASH_STREAM_RESET after this time without a response from
 * the peer's kernel; see ash_keep_alive().
 */
void ash_stream_keep_alive (struct ash_stream *stream, uint32_t silence_ms);

/** @return the bytes queued or sent that the peer's kernel has not acknowledged. */
size_t ash_stream_unacknowledged (const struct ash_stream *stream);

/** @return whether the connection is open and nothing waits to be read: no bytes, no end, no error.
 */
bool ash_stream_is_quiet (const struct ash_stream *stream);

/** Closes the connection and frees the send queue. A second call does nothing. */
void ash_stream_finish (struct ash_stream *stream);

/** Closes the connection with a TCP reset, so that the peer can't mistake a truncated response for
 * a complete one. */
void ash_stream_reset (struct ash_stream *stream);

/** Queues bytes that the next ash_stream_write() sends together with its own. */
void ash_stream_queue (struct ash_stream *stream, const void *bytes, size_t length);

/** Queues bytes and writes as many as the socket accepts now. */
void ash_stream_write (struct ash_stream *stream, const void *bytes, size_t length);

/** Stops or resumes reading; while stopped, TCP flow control slows the peer down. */
void ash_stream_pause (struct ash_stream *stream, bool paused);

#endif
