#include "net/http_server.h"

#include "net/bind.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>

#define MS_PER_S 1000
#define SWEEP_S 0.2
#define HEADERS_MAX_BYTES 32768
#define BLOCK_BYTES 32768

/* Offset of the flags byte in a TCP header. */
#define TCP_FLAGS_OFFSET 13

/* Limit on unsent bytes of a streamed response. */
#define PENDING_MAX_BYTES (4 * 1024 * 1024)

enum exchange_state
{
  EXCHANGE_UPLOAD,  /* the request is being received */
  EXCHANGE_WAIT,    /* passed to the handler, not answered yet */
  EXCHANGE_STREAM,  /* the response body is being streamed */
  EXCHANGE_REPLIED, /* a complete response was queued */
};

/* A request and its response. */
struct ash_http_exchange
{
  struct ash_http_server *server;
  struct MHD_Connection *connection;
  uint64_t number;
  enum exchange_state state;
  char *uri;
  bool headers_received; /* on_request() was called with the request headers */
  bool suspended;
  bool too_large;
  struct ash_time since;
  uint8_t *body; /* request body */
  size_t body_bytes;
  size_t body_capacity;
  struct MHD_Response *response; /* to be queued when the connection resumes */
  uint32_t status;
  uint8_t *pending; /* unsent bytes of a streamed response */
  size_t pending_bytes;
  size_t pending_capacity;
  bool ended;
  bool failed;
  UT_hash_handle hh;
};

/* A connection, tracked to close it if no request headers arrive. */
struct ash_http_server_conn
{
  struct MHD_Connection *connection;
  struct ash_time since; /* when the connection was opened, or its last request ended */
  bool in_request;
  bool used; /* at least one request was received */
  struct ash_http_server_conn *prev;
  struct ash_http_server_conn *next;
};

static struct ash_http_exchange *
find_exchange (const struct ash_http_server *server, uint64_t number)
{
  struct ash_http_exchange *exchange;

  HASH_FIND (hh, server->exchanges, &number, sizeof number, exchange);
  return exchange;
}

static void
resume (struct ash_http_exchange *exchange)
{
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  exchange->server->run_needed = true;
  MHD_resume_connection (exchange->connection);
}

static void
suspend (struct ash_http_exchange *exchange)
{
  exchange->suspended = true;
  MHD_suspend_connection (exchange->connection);
}

static void
free_exchange (struct ash_http_exchange *exchange)
{
  HASH_DEL (exchange->server->exchanges, exchange);
  if (exchange->response)
    MHD_destroy_response (exchange->response);
  free (exchange->uri);
  free (exchange->body);
  free (exchange->pending);
  free (exchange);
}

/* ---- requests ---- */

static struct ash_http_server_conn *
conn_of (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info ? info->socket_context : NULL;
}

static struct ash_http_exchange *
new_exchange (struct ash_http_server *server, struct MHD_Connection *connection)
{
  struct ash_http_exchange *exchange = calloc (1, sizeof *exchange);
  struct ash_http_server_conn *conn = conn_of (connection);

  if (!exchange)
    return NULL;
  exchange->server = server;
  exchange->connection = connection;
  exchange->number = ++server->last_number;
  exchange->since = ash_clock_now ();
  HASH_ADD (hh, server->exchanges, number, sizeof exchange->number, exchange);
  if (conn)
    {
      conn->in_request = true;
      conn->used = true;
    }
  return exchange;
}

/* Called with the URI of the request line; libmicrohttpd passes the return value as context to
 * on_request(). */
static void *
on_uri (void *data, const char *uri, struct MHD_Connection *connection)
{
  struct ash_http_exchange *exchange = new_exchange (data, connection);

  if (exchange)
    exchange->uri = strdup (uri);
  return exchange;
}

static bool
grow (uint8_t **bytes, size_t *capacity, size_t wanted)
{
  size_t size = *capacity ? *capacity : 1024;
  uint8_t *grown;

  while (size < wanted)
    size *= 2;
  if (size == *capacity)
    return true;
  grown = realloc (*bytes, size);
  if (!grown)
    return false;
  *bytes = grown;
  *capacity = size;
  return true;
}

static void
append_upload (struct ash_http_exchange *exchange, const char *bytes, size_t length)
{
  if (exchange->too_large)
    return;
  if (exchange->body_bytes + length > exchange->server->settings->body_max_bytes ||
      !grow (&exchange->body, &exchange->body_capacity, exchange->body_bytes + length))
    {
      exchange->too_large = true;
      return;
    }
  memcpy (exchange->body + exchange->body_bytes, bytes, length);
  exchange->body_bytes += length;
}

static enum MHD_Result
reply_too_large (struct ash_http_exchange *exchange)
{
  static const char text[] = "{\"error\":{\"message\":\"the body is too large\",\"type\":"
                             "\"invalid_request_error\",\"code\":\"bad_request\"}}\n";
  struct MHD_Response *response = MHD_create_response_from_buffer (
      sizeof text - 1, (void *) (uintptr_t) text, MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Ash-Outcome", "not-run");
  MHD_add_response_header (response, "Retry-After", "0");
  result = MHD_queue_response (exchange->connection, MHD_HTTP_CONTENT_TOO_LARGE, response);
  MHD_destroy_response (response);
  exchange->state = EXCHANGE_REPLIED;
  return result;
}

static enum MHD_Result
queue_response (struct ash_http_exchange *exchange)
{
  enum MHD_Result result =
      MHD_queue_response (exchange->connection, exchange->status, exchange->response);

  MHD_destroy_response (exchange->response);
  exchange->response = NULL;
  return result;
}

static enum MHD_Result
dispatch_request (struct ash_http_exchange *exchange, const char *method, const char *path)
{
  struct ash_http_server *server = exchange->server;
  struct ash_http_request request = {
    .number = exchange->number,
    .method = method,
    .path = path,
    .uri = exchange->uri ? exchange->uri : path,
    .body = exchange->body,
    .body_bytes = exchange->body_bytes,
    .connection = exchange->connection,
  };

  exchange->state = EXCHANGE_WAIT;
  server->handler.request (server->handler.data, &request);
  if (exchange->response)
    return queue_response (exchange);
  suspend (exchange);
  return MHD_YES;
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
  struct ash_http_exchange *exchange = *context;

  (void) version;
  (void) data;
  (void) connection;
  if (!exchange)
    return MHD_NO;
  if (!exchange->headers_received)
    {
      exchange->headers_received = true;
      return MHD_YES;
    }
  if (*upload_bytes)
    {
      append_upload (exchange, upload, *upload_bytes);
      *upload_bytes = 0;
      return MHD_YES;
    }
  if (exchange->response)
    return queue_response (exchange);
  if (exchange->state != EXCHANGE_UPLOAD)
    return MHD_YES;
  if (exchange->too_large)
    return reply_too_large (exchange);
  return dispatch_request (exchange, method, path);
}

static void
on_completed (void *data,
              struct MHD_Connection *connection,
              void **context,
              enum MHD_RequestTerminationCode code)
{
  struct ash_http_server *server = data;
  struct ash_http_exchange *exchange = *context;
  struct ash_http_server_conn *conn = conn_of (connection);
  bool caller_disconnected;

  if (conn)
    {
      conn->in_request = false;
      conn->since = ash_clock_now ();
    }
  if (!exchange)
    return;
  caller_disconnected = code != MHD_REQUEST_TERMINATED_COMPLETED_OK && !exchange->ended &&
                        (exchange->state == EXCHANGE_WAIT || exchange->state == EXCHANGE_STREAM);
  if (caller_disconnected)
    server->handler.caller_disconnected (server->handler.data, exchange->number);
  free_exchange (exchange);
  *context = NULL;
}

static void
on_connection (void *data,
               struct MHD_Connection *connection,
               void **context,
               enum MHD_ConnectionNotificationCode code)
{
  struct ash_http_server *server = data;
  struct ash_http_server_conn *conn = *context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      conn = calloc (1, sizeof *conn);
      if (!conn)
        return;
      conn->connection = connection;
      conn->since = ash_clock_now ();
      DL_APPEND (server->conns, conn);
      *context = conn;
      return;
    }
  if (!conn)
    return;
  DL_DELETE (server->conns, conn);
  free (conn);
  *context = NULL;
}

/* ---- responses ---- */

void
ash_http_headers_add (struct ash_http_headers *headers, const char *name, const char *format, ...)
{
  va_list args;

  if (headers->count == ASH_HTTP_HEADERS_MAX)
    return;
  headers->items[headers->count].name = name;
  va_start (args, format);
  vsnprintf (headers->items[headers->count].value, sizeof headers->items[0].value, format, args);
  va_end (args);
  headers->count++;
}

static void
set_response (struct ash_http_exchange *exchange,
              struct MHD_Response *response,
              uint32_t status,
              const struct ash_http_headers *headers)
{
  for (uint32_t i = 0; headers && i < headers->count; i++)
    MHD_add_response_header (response, headers->items[i].name, headers->items[i].value);
  if (exchange->server->keep_alive_disabled)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  exchange->response = response;
  exchange->status = status;
  resume (exchange);
}

void
ash_http_reply (struct ash_http_server *server,
                uint64_t number,
                uint32_t status,
                const struct ash_http_headers *headers,
                const uint8_t *body,
                size_t body_bytes)
{
  struct ash_http_exchange *exchange = find_exchange (server, number);
  struct MHD_Response *response;

  if (!exchange || exchange->state != EXCHANGE_WAIT)
    return;
  response = MHD_create_response_from_buffer (body_bytes, (void *) (uintptr_t) body,
                                              MHD_RESPMEM_MUST_COPY);
  exchange->state = EXCHANGE_REPLIED;
  if (response)
    set_response (exchange, response, status, headers);
}

static ssize_t
read_pending (void *data, uint64_t position, char *out, size_t room)
{
  struct ash_http_exchange *exchange = data;
  size_t length = exchange->pending_bytes < room ? exchange->pending_bytes : room;

  (void) position;
  if (length)
    {
      memcpy (out, exchange->pending, length);
      exchange->pending_bytes -= length;
      memmove (exchange->pending, exchange->pending + length, exchange->pending_bytes);
      return (ssize_t) length;
    }
  if (exchange->failed)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (exchange->ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  suspend (exchange);
  return 0;
}

void
ash_http_begin (struct ash_http_server *server,
                uint64_t number,
                uint32_t status,
                const struct ash_http_headers *headers)
{
  struct ash_http_exchange *exchange = find_exchange (server, number);
  struct MHD_Response *response;

  if (!exchange || exchange->state != EXCHANGE_WAIT)
    return;
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, BLOCK_BYTES, read_pending,
                                                exchange, NULL);
  exchange->state = EXCHANGE_STREAM;
  if (response)
    set_response (exchange, response, status, headers);
}

void
ash_http_append (struct ash_http_server *server,
                 uint64_t number,
                 const uint8_t *bytes,
                 size_t length)
{
  struct ash_http_exchange *exchange = find_exchange (server, number);

  if (!exchange || exchange->state != EXCHANGE_STREAM || exchange->ended)
    return;
  if (exchange->pending_bytes + length > PENDING_MAX_BYTES ||
      !grow (&exchange->pending, &exchange->pending_capacity, exchange->pending_bytes + length))
    exchange->failed = true;
  else
    {
      memcpy (exchange->pending + exchange->pending_bytes, bytes, length);
      exchange->pending_bytes += length;
    }
  resume (exchange);
}

void
ash_http_end (struct ash_http_server *server, uint64_t number, bool complete)
{
  struct ash_http_exchange *exchange = find_exchange (server, number);

  if (!exchange || exchange->state != EXCHANGE_STREAM)
    return;
  exchange->ended = true;
  if (!complete)
    exchange->failed = true;
  resume (exchange);
}

const char *
ash_http_header (const struct ash_http_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, name);
}

const char *
ash_http_query (const struct ash_http_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);
}

/* ---- event loop ---- */

static void
run (struct ash_http_server *server)
{
  server->run_needed = false;
  MHD_run (server->daemon);
}

static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  (void) loop;
  (void) events;
  run (io->data);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void) loop;
  (void) events;
  run (timer->data);
}

/* Sets the timer for the next MHD_run() before the loop blocks. MHD_get_timeout() ignores
 * connections that were resumed outside of libmicrohttpd's own callbacks (0.9.75). */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  struct ash_http_server *server = prepare->data;
  MHD_UNSIGNED_LONG_LONG wait_ms;

  (void) events;
  ev_timer_stop (loop, &server->timer);
  if (server->run_needed)
    wait_ms = 0;
  else if (MHD_get_timeout (server->daemon, &wait_ms) != MHD_YES)
    return;
  ev_timer_set (&server->timer, (double) wait_ms / MS_PER_S, 0);
  ev_timer_start (loop, &server->timer);
}

static int
socket_of (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  return info ? info->connect_fd : -1;
}

/* Checks for a disconnect, as libmicrohttpd does not read from the socket of a suspended
 * connection. A caller that only shuts down its sending side counts as disconnected too. */
static bool
is_closed (const struct ash_http_exchange *exchange)
{
  char byte;
  ssize_t length =
      recv (socket_of (exchange->connection), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);

  return length == 0 || (length < 0 && errno != EAGAIN && errno != EINTR);
}

/* Ends an exchange whose caller is disconnected or that the server's stop interrupts. Resumes the
 * connection, so that libmicrohttpd can close it. */
static void
abort_exchange (struct ash_http_server *server, struct ash_http_exchange *exchange)
{
  exchange->failed = true;
  exchange->ended = true;
  if (exchange->state == EXCHANGE_WAIT)
    ash_http_reply (server, exchange->number, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, NULL, 0);
  else
    resume (exchange);
}

static void
on_sweep (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_http_server *server = timer->data;
  struct ash_time now = ash_clock_now ();
  struct ash_time upload_cutoff = ash_time_add (now, -(int64_t) server->settings->upload_ms);
  struct ash_time idle_cutoff = ash_time_add (now, -(int64_t) server->settings->idle_ms);
  struct ash_http_exchange *exchange = NULL;
  struct ash_http_exchange *next = NULL;
  struct ash_http_server_conn *conn;

  (void) loop;
  (void) events;
  HASH_ITER (hh, server->exchanges, exchange, next)
    {
      if (exchange->suspended && is_closed (exchange))
        {
          /* libmicrohttpd detects the error in read_pending() or when it writes the response. */
          server->handler.caller_disconnected (server->handler.data, exchange->number);
          shutdown (socket_of (exchange->connection), SHUT_RDWR);
          abort_exchange (server, exchange);
        }
      else if (exchange->state == EXCHANGE_UPLOAD &&
               ash_time_before (exchange->since, upload_cutoff))
        shutdown (socket_of (exchange->connection), SHUT_RDWR);
    }
  DL_FOREACH (server->conns, conn)
    /* The caller has sent no complete request headers in time. */
    if (!conn->in_request && ash_time_before (conn->since, idle_cutoff))
      shutdown (socket_of (conn->connection), SHUT_RDWR);
}

bool
ash_http_server_init (struct ash_http_server *server, struct ev_loop *loop)
{
  server->loop = loop;
  server->daemon = NULL;
  server->listen_fd = ash_bind (server->settings->http_listen);
  return server->listen_fd >= 0;
}

static void
start_watchers (struct ash_http_server *server)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);

  ev_io_init (&server->io, on_io, info->epoll_fd, EV_READ);
  ev_timer_init (&server->timer, on_timer, 0, 0);
  ev_prepare_init (&server->prepare, on_prepare);
  ev_timer_init (&server->sweep, on_sweep, SWEEP_S, SWEEP_S);
  server->io.data = server;
  server->timer.data = server;
  server->prepare.data = server;
  server->sweep.data = server;
  ev_io_start (server->loop, &server->io);
  ev_prepare_start (server->loop, &server->prepare);
  ev_timer_start (server->loop, &server->sweep);
}

bool
ash_http_server_listen (struct ash_http_server *server)
{
  unsigned idle_s = server->settings->idle_ms / MS_PER_S;

  if (listen (server->listen_fd, SOMAXCONN) < 0)
    return false;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, server,
      MHD_OPTION_LISTEN_SOCKET, server->listen_fd, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned) server->settings->connections_max, MHD_OPTION_CONNECTION_TIMEOUT, idle_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t) HEADERS_MAX_BYTES, MHD_OPTION_URI_LOG_CALLBACK,
      on_uri, server, MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, server, MHD_OPTION_END);
  if (!server->daemon)
    {
      errno = EIO;
      return false;
    }
  start_watchers (server);
  return true;
}

void
ash_http_server_disable_keep_alive (struct ash_http_server *server)
{
  server->keep_alive_disabled = true;
}

/* Closing a listening socket resets connections that are established but not accepted, and their
 * callers can't know whether the request ran. Therefore SYNs are dropped while the last connections
 * are accepted, so that no new handshake starts; when the caller's kernel retransmits its SYN, the
 * connection is refused. Dropping SYNs for longer, until half-open handshakes are complete, makes
 * callers wait that could go to another entry. Without the filter only few connections would be
 * reset, so a failure to attach it is ignored. */
static void
drop_handshakes (int listen_fd)
{
  struct sock_filter code[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_JUMP (BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, UINT32_MAX),
  };
  struct sock_fprog program = { sizeof code / sizeof code[0], code };

  setsockopt (listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

/* Accepts all pending connections at once, as MHD_run() accepts only a few per call. */
static void
accept_rest (struct ash_http_server *server)
{
  struct sockaddr_in address;
  socklen_t address_bytes = sizeof address;
  int fd;

  while ((fd = accept4 (server->listen_fd, (struct sockaddr *) &address, &address_bytes,
                        SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      MHD_add_connection (server->daemon, fd, (struct sockaddr *) &address, address_bytes);
      address_bytes = sizeof address;
    }
}

static void
close_listener (struct ash_http_server *server)
{
  if (server->daemon)
    {
      MHD_quiesce_daemon (server->daemon);
      drop_handshakes (server->listen_fd);
      accept_rest (server);
    }
  close (server->listen_fd);
  server->listen_fd = -1;
  server->run_needed = true;
}

static bool
awaits_first_request (const struct ash_http_server *server, struct ash_time now)
{
  struct ash_http_server_conn *conn;

  DL_FOREACH (server->conns, conn)
    if (!conn->used && ash_time_diff (conn->since, now) < server->settings->upload_ms)
      return true;
  return false;
}

bool
ash_http_server_drain (struct ash_http_server *server, struct ash_time now)
{
  if (server->listen_fd >= 0)
    close_listener (server);
  return HASH_COUNT (server->exchanges) == 0 && !awaits_first_request (server, now);
}

static void
stop_daemon (struct ash_http_server *server)
{
  struct ash_http_exchange *exchange = NULL;
  struct ash_http_exchange *next = NULL;

  ev_io_stop (server->loop, &server->io);
  ev_prepare_stop (server->loop, &server->prepare);
  ev_timer_stop (server->loop, &server->timer);
  ev_timer_stop (server->loop, &server->sweep);
  /* MHD_stop_daemon() requires that no connection is suspended. */
  HASH_ITER (hh, server->exchanges, exchange, next)
    abort_exchange (server, exchange);
  run (server);
  MHD_stop_daemon (server->daemon);
}

void
ash_http_server_finish (struct ash_http_server *server)
{
  if (server->daemon)
    stop_daemon (server);
  if (server->listen_fd >= 0)
    close (server->listen_fd);
}
