/**
 * @file
 * Stand-ins for the scripts in review/: servers of the users' platform, a crowd of callers, and a
 * relay that makes a rank's server faulty. They append what they see to a record file, one line per
 * fact.
 *
 *     standin servers RECORD PORT...
 *     standin crowd PORT RECORD COUNT at-once|spread
 *     standin relay PORT TARGET_PORT RECORD EVERY LATE
 *
 * The servers answer POST /desk/MS after that time; the id of one is i-PORT. Each caller of a crowd
 * connects, sends one short request and keeps its connection; then all send a request of 1 s at
 * once, or one after the other within 10 s. The relay passes on requests and answers unchanged, but
 * sends the answer to one order in EVERY (of all connections together) a second time: late, when
 * the answer to the next request on that connection is due. EVERY 0: never.
 * LATE percent of the orders get no answer and are carried out 2 to 12 s later.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Largest request or answer that is read as a whole: an order with a map has some kilobytes. */
#define MESSAGE_MAX_BYTES 65536
#define LISTEN_BACKLOG 64
#define MS_PER_S 1000
#define NS_PER_MS 1000000L

/* Spreads the requests of a crowd over this time, unless all come at once. */
#define SPREAD_MS 10000

/* How long a crowd waits for its last answers. */
#define ANSWERS_MAX_MS 8000

#define CALLERS_MAX 4000

/* When an order that gets no answer is carried out. */
#define LATE_MIN_MS 2000
#define LATE_RANGE_MS 10000

/* A server, one of several in the process. */
struct server
{
  char id[32];
  uint16_t port;
  const char *record;
};

/* A rank's server, with the relay in front of it. */
struct relay
{
  uint16_t target_port;
  const char *record;
  int every;
  int late; /* percent */
};

struct connection
{
  const void *owner; /* struct server or struct relay */
  int fd;
  char head[MESSAGE_MAX_BYTES + 1];
  size_t length;
};

/* A caller with a connection that it keeps. */
struct caller
{
  int fd;
  bool asked;
  bool ended; /* its answer has come, or the connection has ended */
};

static int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static void
sleep_ms (int ms)
{
  struct timespec time = { ms / MS_PER_S, ms % MS_PER_S * NS_PER_MS };

  nanosleep (&time, NULL);
}

/* Appends a line to the record. */
static void
record_line (const char *path, const char *format, ...)
{
  FILE *file = fopen (path, "a");
  va_list args;

  if (!file)
    return;
  va_start (args, format);
  vfprintf (file, format, args);
  va_end (args);
  fclose (file);
}

static struct sockaddr_in
loopback (uint16_t port)
{
  return (struct sockaddr_in){
    .sin_family = AF_INET,
    .sin_port = htons (port),
    .sin_addr = { htonl (INADDR_LOOPBACK) },
  };
}

static bool
send_all (int fd, const char *bytes, size_t length)
{
  while (length)
    {
      ssize_t sent = send (fd, bytes, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      bytes += sent;
      length -= (size_t) sent;
    }
  return true;
}

static bool
send_text (int fd, const char *text)
{
  return send_all (fd, text, strlen (text));
}

/* ---- the server ---- */

/* Reads a head into `head`, followed by what was received of the body. @return its length; 0 if the
 * connection has ended. */
static size_t
read_head (struct connection *connection)
{
  for (;;)
    {
      const char *end;
      ssize_t got;

      connection->head[connection->length] = '\0';
      end = strstr (connection->head, "\r\n\r\n");
      if (end)
        return (size_t) (end - connection->head) + 4;
      if (connection->length == MESSAGE_MAX_BYTES)
        return 0;
      got = recv (connection->fd, connection->head + connection->length,
                  MESSAGE_MAX_BYTES - connection->length, 0);
      if (got <= 0)
        return 0;
      connection->length += (size_t) got;
    }
}

/* Copies a field's value; empty if the head has no such field. */
static void
read_field (const char *head, const char *name, char *value, size_t value_bytes)
{
  size_t name_length = strlen (name);

  *value = '\0';
  for (const char *line = strstr (head, "\r\n"); line; line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, name_length) == 0 && line[2 + name_length] == ':')
      {
        snprintf (value, value_bytes, "%.*s", (int) strcspn (line + 4 + name_length, "\r"),
                  line + 4 + name_length);
        return;
      }
}

/* Answers the request in `head` after the number of milliseconds that its path names. @return
 * whether the connection may serve further requests. */
static bool
answer_request (const struct connection *connection)
{
  const struct server *server = connection->owner;
  const char *head = connection->head;
  char attempt[64];
  char expected[64];
  char path[64] = "";
  char answer[512];
  bool misdirected;

  read_field (head, "Ashspindle-Attempt-Id", attempt, sizeof attempt);
  read_field (head, "Ashspindle-Expect-Instance", expected, sizeof expected);
  if (sscanf (head, "%*s %63s", path) != 1)
    return false;
  misdirected = *expected && strcmp (expected, server->id) != 0;
  record_line (server->record, "%s request %s at %s\n", misdirected ? "rejected" : "run", attempt,
               server->id);
  if (!misdirected && strncmp (path, "/desk/", 6) == 0)
    sleep_ms ((int) strtol (path + 6, NULL, 10));
  snprintf (answer, sizeof answer,
            "HTTP/1.1 %s\r\nAshspindle-Attempt-Id: %s\r\nAshspindle-Server-Seal: seal-%s\r\n"
            "Content-Length: 2\r\n\r\nok",
            misdirected ? "421 Misdirected Request" : "200 OK", attempt, server->id);
  return send_text (connection->fd, answer);
}

/* Reads a message with its body, which has a length if it is not empty. @return the message's
 * length; 0 if the connection has ended. */
static size_t
read_message (struct connection *connection)
{
  size_t head_length = read_head (connection);
  char length[32];
  size_t message_length;

  if (!head_length)
    return 0;
  read_field (connection->head, "Content-Length", length, sizeof length);
  message_length = head_length + strtoul (length, NULL, 10);
  if (message_length > MESSAGE_MAX_BYTES)
    return 0;
  while (connection->length < message_length)
    {
      ssize_t got = recv (connection->fd, connection->head + connection->length,
                          message_length - connection->length, 0);

      if (got <= 0)
        return 0;
      connection->length += (size_t) got;
    }
  return message_length;
}

static void
drop_message (struct connection *connection, size_t length)
{
  connection->length -= length;
  memmove (connection->head, connection->head + length, connection->length);
}

static void *
serve_connection (void *data)
{
  struct connection *connection = data;
  size_t length;

  while ((length = read_message (connection)) && answer_request (connection))
    drop_message (connection, length);
  close (connection->fd);
  free (connection);
  return NULL;
}

/* Accepts connections and starts a thread for each, which frees its struct connection. */
static int
accept_connections (uint16_t port, const void *owner, void *(*serve) (void *) )
{
  struct sockaddr_in address = loopback (port);
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 }, sizeof (int));
  if (bind (listener, (struct sockaddr *) &address, sizeof address) < 0 ||
      listen (listener, LISTEN_BACKLOG) < 0)
    {
      perror ("listen");
      return EXIT_FAILURE;
    }
  for (;;)
    {
      struct connection *connection = calloc (1, sizeof *connection);
      pthread_t thread;

      if (!connection)
        return EXIT_FAILURE;
      connection->owner = owner;
      connection->fd = accept (listener, NULL, NULL);
      if (connection->fd < 0 || pthread_create (&thread, NULL, serve, connection) != 0)
        {
          free (connection);
          continue;
        }
      pthread_detach (thread);
    }
}

/* ---- the relay ---- */

/* Passes on bytes in both directions until one side ends. */
static void
relay_bytes (int a, int b)
{
  struct pollfd fds[2] = { { a, POLLIN, 0 }, { b, POLLIN, 0 } };
  char bytes[MESSAGE_MAX_BYTES];

  while (poll (fds, 2, -1) > 0)
    for (int i = 0; i < 2; i++)
      {
        ssize_t got = fds[i].revents ? recv (fds[i].fd, bytes, sizeof bytes, 0) : -1;

        if (fds[i].revents && (got <= 0 || !send_all (fds[1 - i].fd, bytes, (size_t) got)))
          return;
      }
}

/* Whether this order gets no answer and is carried out late. */
static bool
is_late (const struct relay *relay)
{
  static atomic_uint state = 1;
  unsigned drawn = atomic_fetch_add (&state, 1) * 2654435761U + relay->target_port * 40503U;

  return (int) ((drawn >> 8) % 100) < relay->late;
}

/* The operation of an order; empty for another request. */
static void
read_operation (const char *request, char operation[32])
{
  const char *found = strstr (request, "\"Operation\":\"");

  *operation = '\0';
  if (found && strncmp (request, "POST /order ", 12) == 0)
    snprintf (operation, 32, "%.*s", (int) strcspn (found + 13, "\""), found + 13);
}

/* Passes on one request for the rank's state or one order, and its answer.
 * @param extra the answer that is sent a second time; the function sends it and sets the next one.
 * @return whether the connection may serve further requests. */
static bool
relay_call (const struct relay *relay,
            struct connection *caller,
            struct connection *server,
            char extra[MESSAGE_MAX_BYTES + 1])
{
  static atomic_int orders;
  size_t request_length = read_message (caller);
  char operation[32];
  size_t answer_length;
  bool late;

  if (!request_length)
    return false;
  caller->head[caller->length] = '\0';
  read_operation (caller->head, operation);
  if (*extra && !send_text (caller->fd, extra))
    return false;
  if (*extra)
    record_line (relay->record, "port %u sends an extra answer, \"%.12s\", before that to %s\n",
                 relay->target_port, extra, *operation ? operation : "a question");
  *extra = '\0';
  late = *operation && is_late (relay);
  if (late)
    {
      record_line (relay->record, "port %u carries out late and does not answer: %s\n",
                   relay->target_port, operation);
      sleep_ms (LATE_MIN_MS + rand () % LATE_RANGE_MS);
    }
  if (!send_all (server->fd, caller->head, request_length))
    return false;
  drop_message (caller, request_length);
  answer_length = read_message (server);
  if (!answer_length || late || !send_all (caller->fd, server->head, answer_length))
    return false;
  if (*operation && relay->every && atomic_fetch_add (&orders, 1) % relay->every == 0)
    snprintf (extra, MESSAGE_MAX_BYTES + 1, "%.*s", (int) answer_length, server->head);
  drop_message (server, answer_length);
  return true;
}

static bool
is_call (const char *request)
{
  return strncmp (request, "POST /order ", 12) == 0 || strncmp (request, "GET /report ", 12) == 0 ||
         strncmp (request, "GET /picked", 11) == 0;
}

static void *
relay_connection (void *data)
{
  struct connection *caller = data;
  const struct relay *relay = caller->owner;
  struct connection *server = calloc (1, sizeof *server);
  char *extra = calloc (1, MESSAGE_MAX_BYTES + 1);
  struct sockaddr_in address = loopback (relay->target_port);

  if (server && extra)
    {
      server->fd = socket (AF_INET, SOCK_STREAM, 0);
      if (connect (server->fd, (struct sockaddr *) &address, sizeof address) == 0 &&
          read_head (caller))
        {
          while (is_call (caller->head) && relay_call (relay, caller, server, extra) &&
                 read_head (caller))
            ;
          if (caller->length && send_all (server->fd, caller->head, caller->length))
            relay_bytes (caller->fd, server->fd);
        }
      close (server->fd);
    }
  close (caller->fd);
  free (extra);
  free (server);
  free (caller);
  return NULL;
}

/* ---- many servers, many callers ---- */

static void *
run_server (void *data)
{
  const struct server *server = data;

  accept_connections (server->port, server, serve_connection);
  return NULL;
}

static int
run_servers (const char *record, int count, char **ports)
{
  struct server *servers = calloc ((size_t) count, sizeof *servers);
  pthread_t thread;

  if (!servers)
    return EXIT_FAILURE;
  for (int i = 0; i < count; i++)
    {
      servers[i].port = (uint16_t) strtoul (ports[i], NULL, 10);
      servers[i].record = record;
      snprintf (servers[i].id, sizeof servers[i].id, "i-%u", servers[i].port);
      if (pthread_create (&thread, NULL, run_server, &servers[i]) != 0)
        return EXIT_FAILURE;
    }
  pause ();
  return EXIT_SUCCESS;
}

static bool
ask (struct caller *caller, const char *id, int number, int work_ms)
{
  char request[256];

  snprintf (request, sizeof request,
            "POST /desk/%d HTTP/1.1\r\nHost: shop.example\r\nAshspindle-Attempt-Id: %s-%d\r\n"
            "Ashspindle-Deadline-Ms: 6000\r\nAuthorization: Bearer pilots-key\r\n"
            "Content-Length: 0\r\n\r\n",
            work_ms, id, number);
  caller->asked = send_text (caller->fd, request);
  return caller->asked;
}

/* Reads the answer of a caller, which is short, and records its status. */
static void
read_answer (struct caller *caller, const char *record, const char *id, int number)
{
  char answer[1024];
  ssize_t got = recv (caller->fd, answer, sizeof answer - 1, 0);

  caller->ended = true;
  if (got > 0)
    record_line (record, "answered request %s-%d %.3s\n", id, number, answer + 9);
  else
    record_line (record, "closed request %s-%d\n", id, number);
}

/* Connects the callers. Each sends one short request and keeps its connection. */
static int
connect_callers (struct caller *callers, int count, uint16_t port, const char *record)
{
  struct sockaddr_in address = loopback (port);
  int connected = 0;

  for (int i = 0; i < count; i++)
    {
      struct caller *caller = &callers[i];

      caller->fd = socket (AF_INET, SOCK_STREAM, 0);
      if (connect (caller->fd, (struct sockaddr *) &address, sizeof address) < 0 ||
          !ask (caller, "first", i, 0))
        continue;
      read_answer (caller, record, "first", i);
      *caller = (struct caller){ .fd = caller->fd };
      connected++;
    }
  return connected;
}

/* Sends the requests that are due and reads the answers that have come. @return how many callers
 * have had their answer, or lost their connection. */
static int
serve_callers (struct caller *callers, int count, int due, int work_ms, const char *record)
{
  static struct pollfd fds[CALLERS_MAX];
  int ended = 0;

  for (int i = 0; i < due && i < count; i++)
    if (!callers[i].asked && !callers[i].ended && !ask (&callers[i], "call", i, work_ms))
      callers[i].ended = true;
  for (int i = 0; i < count; i++)
    fds[i] = (struct pollfd){ callers[i].ended ? -1 : callers[i].fd, POLLIN, 0 };
  poll (fds, (nfds_t) count, 10);
  for (int i = 0; i < count; i++)
    {
      if (fds[i].fd >= 0 && fds[i].revents)
        read_answer (&callers[i], record, "call", i);
      ended += callers[i].ended;
    }
  return ended;
}

static int
run_crowd (uint16_t port, const char *record, int count, bool at_once)
{
  static struct caller callers[CALLERS_MAX];
  int connected = count <= CALLERS_MAX ? connect_callers (callers, count, port, record) : 0;
  int64_t began = now_ms ();
  int64_t spread_ms = at_once ? 1 : SPREAD_MS;
  int64_t age_ms;

  record_line (record, "%d of %d callers keep a connection; their calls follow\n", connected,
               count);
  if (connected < count)
    return EXIT_FAILURE;
  do
    age_ms = now_ms () - began;
  while (serve_callers (callers, count,
                        age_ms >= spread_ms ? count : (int) (count * age_ms / spread_ms), 1000,
                        record) < count &&
         age_ms < spread_ms + ANSWERS_MAX_MS);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  uint16_t port = argc > 2 ? (uint16_t) strtoul (argv[2], NULL, 10) : 0;

  if (argc > 3 && strcmp (argv[1], "servers") == 0)
    return run_servers (argv[2], argc - 3, argv + 3);
  if (argc == 6 && strcmp (argv[1], "crowd") == 0)
    return run_crowd (port, argv[3], (int) strtol (argv[4], NULL, 10),
                      strcmp (argv[5], "at-once") == 0);
  if (argc == 7 && strcmp (argv[1], "relay") == 0)
    {
      struct relay relay = { (uint16_t) strtoul (argv[3], NULL, 10), argv[4],
                             (int) strtol (argv[5], NULL, 10), (int) strtol (argv[6], NULL, 10) };

      return accept_connections (port, &relay, relay_connection);
    }
  fprintf (stderr, "usage: standin servers RECORD PORT...\n"
                   "       standin crowd PORT RECORD COUNT at-once|spread\n"
                   "       standin relay PORT TARGET_PORT RECORD EVERY LATE\n");
  return EXIT_FAILURE;
}
