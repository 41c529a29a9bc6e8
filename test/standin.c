#include "test/standin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define BODY_MAX_BYTES (2 * 1024 * 1024)

/* Answers that are cut off. */
static struct
{
  pthread_mutex_t lock;
  char path[64];
  char *bytes; /* NULL: proper answers */
  bool reset;
  int count;
} cut = { .lock = PTHREAD_MUTEX_INITIALIZER };

int64_t
standin_now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t) ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

void
standin_sleep_ms (int64_t wait_ms)
{
  struct timespec ts = { wait_ms / MS_PER_S, wait_ms % MS_PER_S * NS_PER_MS };

  nanosleep (&ts, NULL);
}

int64_t
standin_query_number (struct standin_request *request, const char *name, int64_t fallback)
{
  const char *value =
      MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);

  return value ? strtoll (value, NULL, 10) : fallback;
}

enum MHD_Result
standin_reply (struct standin_request *request,
               unsigned status,
               const char *type,
               const char *text,
               size_t length)
{
  struct MHD_Response *response =
      MHD_create_response_from_buffer (length, (void *) (uintptr_t) text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type", type);
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static void
set_cut (struct standin_request *request)
{
  const char *path =
      MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, "path");

  pthread_mutex_lock (&cut.lock);
  free (cut.bytes);
  cut.bytes = request->body_bytes ? strdup (request->body) : NULL;
  snprintf (cut.path, sizeof cut.path, "%s", path ? path : "");
  cut.reset = standin_query_number (request, "reset", 0) != 0;
  pthread_mutex_unlock (&cut.lock);
}

static enum MHD_Result
handle_cut_control (struct standin_request *request)
{
  char text[16];
  int length;

  if (strcmp (request->method, "POST") == 0)
    set_cut (request);
  pthread_mutex_lock (&cut.lock);
  length = snprintf (text, sizeof text, "%d\n", cut.count);
  pthread_mutex_unlock (&cut.lock);
  return standin_reply (request, MHD_HTTP_OK, "text/plain", text, (size_t) length);
}

/* Sends the bytes of an answer that is cut off, past the library, if the request is to get one.
 * @return whether it is: the connection must be closed then. */
static bool
send_cut_answer (const struct standin_request *request)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct sockaddr none = { .sa_family = AF_UNSPEC };
  bool is_cut;

  pthread_mutex_lock (&cut.lock);
  is_cut = info && cut.bytes && strstr (request->path, cut.path);
  if (is_cut)
    {
      cut.count++;
      /* Disconnecting resets the connection at once; the library would close it in an orderly way.
       */
      if (send (info->connect_fd, cut.bytes, strlen (cut.bytes), MSG_NOSIGNAL) < 0 ||
          (cut.reset && connect (info->connect_fd, &none, sizeof none) < 0))
        perror ("stand-in: cut answer");
    }
  pthread_mutex_unlock (&cut.lock);
  return is_cut;
}

static enum MHD_Result
on_request (void *data,
            struct MHD_Connection *connection,
            const char *path,
            const char *method,
            const char *version,
            const char *upload,
            size_t *upload_bytes,
            void **context)
{
  standin_handler *handle = *(standin_handler **) data;
  struct standin_request *request = *context;

  (void) version;
  if (!request)
    {
      request = calloc (1, sizeof *request);
      request->connection = connection;
      request->body = calloc (1, 1);
      *context = request;
      return MHD_YES;
    }
  if (*upload_bytes)
    {
      if (request->body_bytes + *upload_bytes > BODY_MAX_BYTES)
        return MHD_NO;
      request->body = realloc (request->body, request->body_bytes + *upload_bytes + 1);
      memcpy (request->body + request->body_bytes, upload, *upload_bytes);
      request->body_bytes += *upload_bytes;
      request->body[request->body_bytes] = '\0';
      *upload_bytes = 0;
      return MHD_YES;
    }
  request->method = method;
  request->path = path;
  if (strcmp (path, "/control/cut") == 0)
    return handle_cut_control (request);
  if (send_cut_answer (request))
    return MHD_NO;
  return handle (request);
}

static void
on_completed (void *data,
              struct MHD_Connection *connection,
              void **context,
              enum MHD_RequestTerminationCode code)
{
  struct standin_request *request = *context;

  (void) data;
  (void) connection;
  (void) code;
  if (!request)
    return;
  free (request->body);
  free (request);
  *context = NULL;
}

int
standin_serve (uint16_t port, standin_handler *handle)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct MHD_Daemon *daemon;
  sigset_t signals;
  int number;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigprocmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, port, NULL, NULL, on_request,
      &handle, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT, 2000u,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
  if (!daemon)
    {
      fprintf (stderr, "stand-in: can't listen on port %u\n", port);
      return EXIT_FAILURE;
    }
  sigwait (&signals, &number);
  /* Exits without waiting for connection threads, which may sleep in the middle of an answer. */
  _exit (EXIT_SUCCESS);
}

/* Prints free loopback ports. All sockets stay open until the last port is found, so that the ports
 * differ. */
static int
print_ports (int count)
{
  for (int i = 0; i < count; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      socklen_t length = sizeof address;
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      if (bind (fd, (struct sockaddr *) &address, sizeof address) < 0 ||
          getsockname (fd, (struct sockaddr *) &address, &length) < 0)
        return EXIT_FAILURE;
      printf ("%s%d", i ? " " : "", ntohs (address.sin_port));
    }
  putchar ('\n');
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  if (argc > 2 && strcmp (argv[1], "ports") == 0)
    return print_ports (atoi (argv[2]));
  if (argc > 1 && strcmp (argv[1], "platform") == 0)
    return standin_platform (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "engine") == 0)
    return standin_engine (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "group") == 0)
    return standin_group (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "link") == 0)
    return standin_link (argc - 1, argv + 1);
  fprintf (stderr, "usage: standin ports COUNT\n"
                   "       standin platform PORT [FILE]\n"
                   "       standin engine PORT [SLOTS [STEP_MS]]\n"
                   "       standin group PORT RANKS EXPERTS RANK_SLOTS\n"
                   "       standin link PORT TARGET_PORT CONTROL_PORT\n");
  return 2;
}
