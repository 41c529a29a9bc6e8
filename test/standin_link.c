/**
 * @file
 * Stand-in of a network link: a TCP relay to a target port that can be cut.
 *
 * POST /control?mode=0     forwards bytes
 * POST /control?mode=1     cut: keeps connections open, forwards nothing, loses nothing
 * POST /control?mode=2     forwards only from the caller to the target
 * POST /control?mode=3     closes connections and accepts no new ones
 * POST /control?silence=1  for connections that are open now, forwards neither further bytes nor
 *                          the close, in both directions; new connections are not affected
 * POST /control?silence=2  the same only towards the caller: what the caller sends still arrives
 * POST /control?silence=3  the same only towards the target
 * GET  /control            the number of connections accepted so far
 */
#include "test/standin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum mode
{
  MODE_PASS,
  MODE_CUT,
  MODE_ONE_WAY,
  MODE_CLOSED,
};

#define POLL_MS 5

/* Receive buffer of a connection. The bytes beyond it stay unacknowledged while the connection is
 * silent. */
#define RECEIVE_BUFFER_BYTES 8192

/* Directions of a connection, as bits. */
#define TO_CALLER 1
#define TO_TARGET 2

static atomic_int mode;
static atomic_int connection_count; /* number of connections accepted so far */
static atomic_int silent_up_to;     /* connections with numbers up to this one are silent */
static atomic_int silent_directions;
static uint16_t target_port;

struct relay
{
  int caller;
  int target;
  int number; /* of the connection, in order of acceptance, from 1 */
  int silent; /* directions that are silent for good */
};

static int
connect_target (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (target_port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Forwards the bytes that can be read now. @return false at the end of the connection. */
static bool
forward_bytes (int from, int to)
{
  char bytes[65536];
  ssize_t length = recv (from, bytes, sizeof bytes, MSG_DONTWAIT);

  if (length == 0)
    return false;
  for (ssize_t sent = 0; sent < length;)
    {
      ssize_t n = send (to, bytes + sent, (size_t) (length - sent), MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      sent += n;
    }
  return true;
}

/* Adds newly silent directions to those of the relay, which stay silent. @return its directions. */
static int
update_silent_directions (struct relay *relay)
{
  if (relay->number <= silent_up_to)
    relay->silent |= silent_directions;
  return relay->silent;
}

static void *
serve_relay (void *data)
{
  struct relay *relay = data;
  bool open = true;

  while (open && mode != MODE_CLOSED)
    {
      enum mode now = (enum mode) mode;
      int silent = update_silent_directions (relay);
      /* poll() ignores negative descriptors, so data and ends of a silent direction stay unread. */
      struct pollfd fds[] = { { silent & TO_TARGET ? -1 : relay->caller, POLLIN, 0 },
                              { silent & TO_CALLER ? -1 : relay->target, POLLIN, 0 } };

      if (now == MODE_CUT)
        {
          standin_sleep_ms (POLL_MS);
          continue;
        }
      poll (fds, 2, POLL_MS);
      if (update_silent_directions (relay) != silent)
        continue;
      if (fds[0].revents)
        open = forward_bytes (relay->caller, relay->target);
      if (open && now == MODE_PASS && fds[1].revents)
        open = forward_bytes (relay->target, relay->caller);
      if (now == MODE_ONE_WAY && fds[1].revents)
        standin_sleep_ms (POLL_MS);
    }
  close (relay->caller);
  close (relay->target);
  free (relay);
  return NULL;
}

static void *
accept_connections (void *data)
{
  int listener = *(int *) data;

  for (;;)
    {
      struct relay *relay = calloc (1, sizeof *relay);
      pthread_t thread;
      int on = 1;

      relay->caller = accept (listener, NULL, NULL);
      relay->target = mode == MODE_CLOSED ? -1 : connect_target ();
      if (relay->target < 0)
        {
          close (relay->caller);
          free (relay);
          continue;
        }
      relay->number = ++connection_count;
      setsockopt (relay->caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      setsockopt (relay->target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      pthread_create (&thread, NULL, serve_relay, relay);
      pthread_detach (thread);
    }
  return NULL;
}

static enum MHD_Result
handle (struct standin_request *request)
{
  int silence = (int) standin_query_number (request, "silence", 0);
  char text[16];

  mode = (int) standin_query_number (request, "mode", mode);
  if (silence)
    {
      silent_directions = silence == 1   ? TO_CALLER | TO_TARGET
                          : silence == 2 ? TO_CALLER
                                         : TO_TARGET;
      silent_up_to = connection_count;
    }
  snprintf (text, sizeof text, "%d\n", connection_count);
  return standin_reply (request, MHD_HTTP_OK, "text/plain", text, strlen (text));
}

int
standin_link (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  static int listener;
  pthread_t thread;

  if (argc < 4)
    return 2;
  target_port = (uint16_t) atoi (argv[2]);
  listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 }, sizeof (int));
  setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &(int){ RECEIVE_BUFFER_BYTES }, sizeof (int));
  address.sin_port = htons ((uint16_t) atoi (argv[1]));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (listener, (struct sockaddr *) &address, sizeof address) < 0 ||
      listen (listener, SOMAXCONN) < 0)
    {
      perror ("stand-in link: can't listen");
      return EXIT_FAILURE;
    }
  pthread_create (&thread, NULL, accept_connections, &listener);
  return standin_serve ((uint16_t) atoi (argv[3]), handle);
}
