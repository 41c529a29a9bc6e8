#include "test/unit_server.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

static void
end_connection (struct ash_http_conn *conn)
{
  const struct unit_server *server = conn->listener->owner;

  if (server->end == UNIT_SERVER_RESETS)
    ash_stream_reset (&conn->stream);
  else
    ash_stream_finish (&conn->stream);
  conn->is_closed = true;
}

static void
on_drained (struct ash_http_conn *conn)
{
  const struct unit_server *server = conn->listener->owner;

  if (server->end != UNIT_SERVER_KEEPS)
    end_connection (conn);
}

static void
on_request (struct ash_http_conn *conn)
{
  struct unit_server *server = conn->listener->owner;

  server->requests++;
  snprintf (server->targets + strlen (server->targets),
            sizeof server->targets - strlen (server->targets), "%s\n", conn->reader.head.target);
  server->connections += !conn->had_request;
  conn->had_request = true;
  ash_stream_write (&conn->stream, server->answer.text, server->answer.length);
  conn->state = ASH_CONN_IDLE;
  ash_http_reader_next (&conn->reader);
  if (!conn->stream.out.length)
    on_drained (conn);
}

static void
on_disconnected (struct ash_http_conn *conn)
{
  (void) conn;
}

static const struct ash_conn_handler handler = { on_request, on_disconnected, on_drained };

bool
unit_server_start (struct unit_server *server, struct ev_loop *loop)
{
  struct sockaddr_in address;
  socklen_t address_bytes = sizeof address;

  *server = (struct unit_server){ .end = UNIT_SERVER_KEEPS };
  if (!ash_http_listen (&server->listener, loop, "127.0.0.1:0", &handler, server))
    return false;
  getsockname (server->listener.fd, (struct sockaddr *) &address, &address_bytes);
  snprintf (server->address, sizeof server->address, "127.0.0.1:%u", ntohs (address.sin_port));
  return true;
}

void
unit_server_finish (struct unit_server *server)
{
  ash_http_listener_finish (&server->listener);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void) timer;
  (void) events;
  ev_break (loop, EVBREAK_ALL);
}

void
unit_run_loop (struct ev_loop *loop, double seconds)
{
  ev_timer timeout;

  ev_now_update (loop);
  ev_timer_init (&timeout, on_timeout, seconds, 0);
  ev_timer_start (loop, &timeout);
  ev_run (loop, 0);
  ev_timer_stop (loop, &timeout);
}
