#include "net/stream.h"

#include "net/keep_alive.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 16384

/* A connection is closed when the peer has not acknowledged sent data for this long: longer than
 * the retransmission of a lost packet takes, shorter than most request deadlines. */
#define USER_TIMEOUT_MS 3000

static void
dequeue (struct ash_stream *stream, size_t length)
{
  if (stream->queued_total)
    *stream->queued_total -= length;
  ash_buffer_consume (&stream->out, length);
}

static void
flush (struct ash_stream *stream)
{
  while (stream->out.length && !stream->connecting)
    {
      ssize_t sent = send (stream->fd, stream->out.bytes + stream->out.start, stream->out.length,
                           MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0)
        {
          stream->write_failed = errno != EAGAIN;
          break;
        }
      dequeue (stream, (size_t) sent);
    }
  if (stream->out.length || stream->write_failed || stream->connecting)
    ev_io_start (stream->loop, &stream->write_io);
  else
    ev_io_stop (stream->loop, &stream->write_io);
}

static bool
finish_connect (struct ash_stream *stream)
{
  int error = 0;
  socklen_t error_bytes = sizeof error;

  getsockopt (stream->fd, SOL_SOCKET, SO_ERROR, &error, &error_bytes);
  if (error)
    {
      stream->refused = error == ECONNREFUSED;
      stream->handler->end (stream, ASH_STREAM_CONNECT_FAILED);
      return false;
    }
  stream->connecting = false;
  return true;
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  struct ash_stream *stream = io->data;
  uint8_t bytes[READ_BYTES];
  ssize_t length;

  (void) loop;
  (void) events;
  if (stream->connecting && !finish_connect (stream))
    return;
  length = recv (stream->fd, bytes, sizeof bytes, 0);
  if (length < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (length > 0)
    stream->handler->data (stream, bytes, (size_t) length);
  else
    stream->handler->end (stream, length == 0 ? ASH_STREAM_EOF : ASH_STREAM_RESET);
}

static void
on_writable (struct ev_loop *loop, ev_io *io, int events)
{
  struct ash_stream *stream = io->data;

  (void) loop;
  (void) events;
  if (stream->connecting && !finish_connect (stream))
    return;
  flush (stream);
  if (stream->write_failed)
    stream->handler->end (stream, ASH_STREAM_RESET);
  else if (!stream->out.length && stream->handler->drained)
    stream->handler->drained (stream);
}

void
ash_stream_init (struct ash_stream *stream,
                 struct ev_loop *loop,
                 int fd,
                 const struct ash_stream_handler *handler,
                 void *owner)
{
  int on = 1;
  int user_timeout_ms = USER_TIMEOUT_MS;

  *stream = (struct ash_stream){ .loop = loop, .handler = handler, .owner = owner, .fd = fd };
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
  ev_io_init (&stream->read_io, on_readable, fd, EV_READ);
  ev_io_init (&stream->write_io, on_writable, fd, EV_WRITE);
  stream->read_io.data = stream;
  stream->write_io.data = stream;
  ev_io_start (loop, &stream->read_io);
}

bool
ash_stream_connect (struct ash_stream *stream,
                    struct ev_loop *loop,
                    const struct sockaddr_in *address,
                    const struct ash_stream_handler *handler,
                    void *owner)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return false;
  if (connect (fd, (const struct sockaddr *) address, sizeof *address) < 0 && errno != EINPROGRESS)
    {
      int error = errno;

      close (fd);
      errno = error;
      return false;
    }
  ash_stream_init (stream, loop, fd, handler, owner);
  stream->connecting = true;
  ev_io_start (loop, &stream->write_io);
  return true;
}

void
ash_stream_keep_alive (struct ash_stream *stream, uint32_t silence_ms)
{
  ash_keep_alive (stream->fd, silence_ms);
}

size_t
ash_stream_unacknowledged (const struct ash_stream *stream)
{
  int queued = 0;

  if (stream->fd < 0 || ioctl (stream->fd, SIOCOUTQ, &queued) < 0)
    return stream->out.length;
  return stream->out.length + (size_t) queued;
}

bool
ash_stream_is_quiet (const struct ash_stream *stream)
{
  uint8_t byte;

  return stream->fd >= 0 && recv (stream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         errno == EAGAIN;
}

void
ash_stream_finish (struct ash_stream *stream)
{
  if (stream->fd < 0)
    return;
  ev_io_stop (stream->loop, &stream->read_io);
  ev_io_stop (stream->loop, &stream->write_io);
  close (stream->fd);
  stream->fd = -1;
  dequeue (stream, stream->out.length);
  ash_buffer_finish (&stream->out);
}

void
ash_stream_reset (struct ash_stream *stream)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (stream->fd >= 0)
    setsockopt (stream->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  ash_stream_finish (stream);
}

void
ash_stream_queue (struct ash_stream *stream, const void *bytes, size_t length)
{
  if (stream->fd < 0 || stream->write_failed)
    return;
  if (!ash_buffer_append (&stream->out, bytes, length))
    stream->write_failed = true;
  else if (stream->queued_total)
    *stream->queued_total += length;
}

void
ash_stream_write (struct ash_stream *stream, const void *bytes, size_t length)
{
  if (stream->fd < 0 || stream->write_failed)
    return;
  ash_stream_queue (stream, bytes, length);
  flush (stream);
}

void
ash_stream_pause (struct ash_stream *stream, bool paused)
{
  if (stream->fd < 0 || stream->paused == paused)
    return;
  stream->paused = paused;
  if (paused)
    ev_io_stop (stream->loop, &stream->read_io);
  else
    ev_io_start (stream->loop, &stream->read_io);
}
