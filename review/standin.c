/**
 * @file
 * Stand-ins for the scripts in review/: a server of the users' platform, and callers that read
 * slowly. Both append what they see to a record file, one line per fact.
 *
 *     standin server PORT ID RECORD cut|whole
 *     standin readers PORT RECORD
 *
 * The server answers POST /big/BYTES with a body of that length, and POST /brief/NAME with a stream
 * of EVENTS events. With `cut` it ends streams early: one without Last-Event-Id within event 4, one
 * that goes on after event 3 within event 6. All others are complete.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX_BYTES 8192
#define EVENTS 8
#define EVENT_MS 50
#define LISTEN_BACKLOG 64
#define MS_PER_S 1000
#define NS_PER_MS 1000000L

/* Size of a segment on an ordinary network. On the loopback interface it would be 64 KiB. */
#define SEGMENT_BYTES 1448

/* Receive buffer and speed of a slow reader: it needs 5 to 7 s for its answer. */
#define READER_BUFFER_BYTES 49152
#define READER_BYTES_PER_S 250000
#define READ_MS 50

/* Readers, their answers, and the time that a reader waits for the whole answer. The lengths
 * differ, as it depends on the kernel's buffers how much of an answer waits in the router. */
#define READERS 24
#define ANSWER_MIN_BYTES 1300000
#define ANSWER_STEP_BYTES 17000
#define READER_MAX_MS 20000

struct server
{
  const char *id;
  const char *record;
  bool cuts;
};

struct connection
{
  const struct server *server;
  int fd;
  char head[HEAD_MAX_BYTES + 1];
  size_t length;
};

struct reader
{
  pthread_t thread;
  uint16_t port;
  int number;
  char result[160];
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
      if (connection->length == HEAD_MAX_BYTES)
        return 0;
      got = recv (connection->fd, connection->head + connection->length,
                  HEAD_MAX_BYTES - connection->length, 0);
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

static void
write_event (char *event, size_t event_bytes, int number)
{
  snprintf (event, event_bytes, "id: %d\ndata: piece %d of the answer, of the usual length....\n\n",
            number, number);
}

static bool
send_chunk (int fd, const char *bytes, size_t length)
{
  char size[32];

  snprintf (size, sizeof size, "%zx\r\n", length);
  return send_text (fd, size) && send_all (fd, bytes, length) && send_text (fd, "\r\n");
}

static bool
send_event (int fd, int number)
{
  char event[256];

  write_event (event, sizeof event, number);
  if (!send_chunk (fd, event, strlen (event)))
    return false;
  sleep_ms (EVENT_MS);
  return true;
}

/* Sends events 1 to 3 and most of event 4, at which the version of the weights changes. */
static void
send_first_part (int fd)
{
  static const char version[] = "ashspindle-weight-versions: 2\n";
  char event[256];

  for (int number = 1; number <= 3; number++)
    if (!send_event (fd, number))
      return;
  snprintf (event, sizeof event, "%s", version);
  write_event (event + strlen (event), sizeof event - strlen (event), 4);
  send_chunk (fd, event, strlen (event) - 3);
  sleep_ms (EVENT_MS);
}

/* Sends events 4 and 5 of one pass, and the beginning of event 6. */
static void
send_second_part (int fd)
{
  char events[512];

  write_event (events, sizeof events, 4);
  write_event (events + strlen (events), sizeof events - strlen (events), 5);
  send_chunk (fd, events, strlen (events));
  sleep_ms (2 * EVENT_MS);
  send_chunk (fd, "id: 6\n", 6);
  sleep_ms (EVENT_MS);
}

/* @return whether the connection may serve further requests. */
static bool
answer_stream (const struct connection *connection, int last)
{
  if (!send_text (connection->fd, "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  if (connection->server->cuts && (last == 0 || last == 3))
    {
      if (last)
        send_second_part (connection->fd);
      else
        send_first_part (connection->fd);
      return false;
    }
  for (int number = last + 1; number <= EVENTS; number++)
    if (!send_event (connection->fd, number))
      return false;
  return send_text (connection->fd, "0\r\n\r\n");
}

static bool
answer_big (const struct connection *connection, size_t length)
{
  char framing[64];
  char *body = malloc (length + 1);
  bool sent;

  if (!body)
    return false;
  memset (body, 'x', length);
  snprintf (framing, sizeof framing, "Content-Length: %zu\r\n\r\n", length);
  sent = send_text (connection->fd, framing) && send_all (connection->fd, body, length);
  free (body);
  return sent;
}

/* Answers the request in `head`. @return whether the connection may serve further requests. */
static bool
answer_request (const struct connection *connection)
{
  const struct server *server = connection->server;
  const char *head = connection->head;
  char attempt[64];
  char expected[64];
  char last[16];
  char path[64] = "";
  char fields[256];
  bool misdirected;

  read_field (head, "Ashspindle-Attempt-Id", attempt, sizeof attempt);
  read_field (head, "Ashspindle-Expect-Instance", expected, sizeof expected);
  read_field (head, "Last-Event-Id", last, sizeof last);
  if (sscanf (head, "%*s %63s", path) != 1)
    return false;
  misdirected = *expected && strcmp (expected, server->id) != 0;
  record_line (server->record, "%s %s request %s path %s last %s\n", server->id,
               misdirected ? "rejects" : "runs", attempt, path, *last ? last : "-");
  snprintf (fields, sizeof fields,
            "HTTP/1.1 %s\r\nAshspindle-Attempt-Id: %s\r\nAshspindle-Server-Seal: seal-%s\r\n",
            misdirected ? "421 Misdirected Request" : "200 OK", attempt, server->id);
  if (!send_text (connection->fd, fields))
    return false;
  if (misdirected)
    return send_text (connection->fd, "Content-Length: 0\r\n\r\n");
  if (strncmp (path, "/big/", 5) == 0)
    return answer_big (connection, (size_t) strtoul (path + 5, NULL, 10));
  return answer_stream (connection, (int) strtol (last, NULL, 10));
}

/* Removes a request from the buffer; its body is short and was sent together with its head. */
static bool
drop_request (struct connection *connection, size_t head_length)
{
  char length[32];
  size_t request_length;

  read_field (connection->head, "Content-Length", length, sizeof length);
  request_length = head_length + strtoul (length, NULL, 10);
  while (connection->length < request_length && request_length <= HEAD_MAX_BYTES)
    {
      ssize_t got = recv (connection->fd, connection->head + connection->length,
                          request_length - connection->length, 0);

      if (got <= 0)
        return false;
      connection->length += (size_t) got;
    }
  if (connection->length < request_length)
    return false;
  connection->length -= request_length;
  memmove (connection->head, connection->head + request_length, connection->length);
  return true;
}

static void *
serve_connection (void *data)
{
  struct connection *connection = data;
  size_t head_length;

  while ((head_length = read_head (connection)))
    if (!answer_request (connection) || !drop_request (connection, head_length))
      break;
  close (connection->fd);
  free (connection);
  return NULL;
}

static int
run_server (uint16_t port, const struct server *server)
{
  struct sockaddr_in address = loopback (port);
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 }, sizeof (int));
  if (bind (listener, (struct sockaddr *) &address, sizeof address) < 0 ||
      listen (listener, LISTEN_BACKLOG) < 0)
    {
      perror ("server");
      return EXIT_FAILURE;
    }
  for (;;)
    {
      struct connection *connection = calloc (1, sizeof *connection);
      pthread_t thread;

      if (!connection)
        return EXIT_FAILURE;
      connection->server = server;
      connection->fd = accept (listener, NULL, NULL);
      if (connection->fd < 0 || pthread_create (&thread, NULL, serve_connection, connection) != 0)
        {
          free (connection);
          continue;
        }
      pthread_detach (thread);
    }
}

/* ---- slow readers ---- */

static int
connect_reader (uint16_t port)
{
  struct sockaddr_in address = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &(int){ SEGMENT_BYTES }, sizeof (int));
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &(int){ READER_BUFFER_BYTES }, sizeof (int));
  if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* @return whether the answer is complete. It has a length, or consists of chunks. */
static bool
is_complete (const char *answer, size_t length)
{
  static const char last_chunk[] = "\r\n0\r\n\r\n";
  const size_t last_bytes = sizeof last_chunk - 1;
  const char *body = strstr (answer, "\r\n\r\n");
  char text[32];

  if (!body)
    return false;
  read_field (answer, "Content-Length", text, sizeof text);
  if (*text)
    return length - (size_t) (body + 4 - answer) >= strtoul (text, NULL, 10);
  return length > last_bytes && memcmp (answer + length - last_bytes, last_chunk, last_bytes) == 0;
}

static void *
read_slowly (void *data)
{
  struct reader *reader = data;
  size_t wanted = ANSWER_MIN_BYTES + (size_t) reader->number * ANSWER_STEP_BYTES;
  char *answer = calloc (1, 2 * wanted);
  int fd = connect_reader (reader->port);
  int64_t began = now_ms ();
  char request[256];
  size_t length = 0;
  ssize_t got = 1;

  snprintf (request, sizeof request,
            "POST /big/%zu HTTP/1.1\r\nHost: shop.example\r\nAshspindle-Attempt-Id: big-%d\r\n"
            "Ashspindle-Deadline-Ms: 8000\r\nAuthorization: Bearer pilots-key\r\n"
            "Content-Length: 0\r\n\r\n",
            wanted, reader->number);
  if (!answer || fd < 0 || !send_text (fd, request))
    snprintf (reader->result, sizeof reader->result, "not sent");
  else
    {
      while (got > 0 && !is_complete (answer, length) && now_ms () - began < READER_MAX_MS)
        {
          got = recv (fd, answer + length, READER_BYTES_PER_S / MS_PER_S * READ_MS, 0);
          length += got > 0 ? (size_t) got : 0;
          sleep_ms (READ_MS);
        }
      snprintf (reader->result, sizeof reader->result, "%s: %.12s, %zu bytes read in %lld ms",
                is_complete (answer, length) ? "complete" : "cut", answer, length,
                (long long) (now_ms () - began));
    }
  if (fd >= 0)
    close (fd);
  free (answer);
  return NULL;
}

static int
run_readers (uint16_t port, const char *record)
{
  static struct reader readers[READERS];

  for (int i = 0; i < READERS; i++)
    {
      readers[i] = (struct reader){ .port = port, .number = i };
      pthread_create (&readers[i].thread, NULL, read_slowly, &readers[i]);
    }
  for (int i = 0; i < READERS; i++)
    {
      pthread_join (readers[i].thread, NULL);
      record_line (record, "caller of request big-%d %s\n", i, readers[i].result);
    }
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  uint16_t port = argc > 2 ? (uint16_t) strtoul (argv[2], NULL, 10) : 0;

  if (argc == 6 && strcmp (argv[1], "server") == 0)
    {
      struct server server = { argv[3], argv[4], strcmp (argv[5], "cut") == 0 };

      return run_server (port, &server);
    }
  if (argc == 4 && strcmp (argv[1], "readers") == 0)
    return run_readers (port, argv[3]);
  fprintf (stderr, "usage: standin server PORT ID RECORD cut|whole\n"
                   "       standin readers PORT RECORD\n");
  return EXIT_FAILURE;
}
