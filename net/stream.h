/**
 * @file
 * A non-blocking TCP connection in the event loop: bytes in go to a handler,
 * bytes out are queued and written as the peer takes them.
 *
 * A handler may finish its stream in any call. ash_stream_write() never calls a
 * handler: an error that it meets is told when the loop comes round.
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
  ASH_STREAM_EOF,            /**< the peer closed it */
  ASH_STREAM_RESET,          /**< reset, or silent for too long */
  ASH_STREAM_CONNECT_FAILED, /**< it never came up */
};

/** What a stream tells its owner. */
struct ash_stream_handler
{
  void (*data) (struct ash_stream *stream, const uint8_t *bytes, size_t length);
  void (*end) (struct ash_stream *stream, enum ash_stream_end end);
  void (*drained) (struct ash_stream *stream); /**< all that was queued is written; may be NULL */
};

/** A connection. */
struct ash_stream
{
  struct ev_loop *loop;
  const struct ash_stream_handler *handler;
  void *owner;
  int fd; /**< -1: finished */
  bool connecting;
  bool refused;      /**< it never came up: nothing listens there */
  bool write_failed; /**< a write failed; told by the loop */
  bool paused;       /**< nothing is read */
  ev_io read_io;
  ev_io write_io;
  struct ash_buffer out;
};

/** Takes over a connected socket. */
void ash_stream_init (struct ash_stream *stream,
                      struct ev_loop *loop,
                      int fd,
                      const struct ash_stream_handler *handler,
                      void *owner);

/** Starts a connection. @return false with errno set if it could not be begun. */
bool ash_stream_connect (struct ash_stream *stream,
                         struct ev_loop *loop,
                         const struct sockaddr_in *address,
                         const struct ash_stream_handler *handler,
                         void *owner);

/**
 * Has the peer's kernel asked whether it is there when the connection rests, so that one that
 * falls silent is noticed though this side has nothing to send.
 * @param silence_ms it ends as a reset after so long, at least one probe included.
 */
void ash_stream_keep_alive (struct ash_stream *stream, uint32_t silence_ms);

/** @return the bytes that were written and that the peer's kernel has not acknowledged. */
size_t ash_stream_unacknowledged (const struct ash_stream *stream);

/** Closes the connection and frees what is queued. A second call does nothing. */
void ash_stream_finish (struct ash_stream *stream);

/** Closes it by a reset, so that the peer can't take what it has for a whole answer. */
void ash_stream_reset (struct ash_stream *stream);

/** Queues bytes and writes what the socket takes now. */
void ash_stream_write (struct ash_stream *stream, const void *bytes, size_t length);

/** Stops or resumes reading: a peer that is too fast is held back by its window. */
void ash_stream_pause (struct ash_stream *stream, bool paused);

/** Opens a listening socket. @return the socket, or -1 with errno set. */
int ash_stream_listen (const char *address);

#endif
