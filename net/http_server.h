/**
 * @file
 * HTTP server for callers and operators, based on libmicrohttpd and libev. A request is passed to
 * the handler once it is complete, and answered later by its number. Limits apply to headers,
 * bodies, the number of connections, and the time to send a request.
 */
#ifndef ASH_HTTP_SERVER_H
#define ASH_HTTP_SERVER_H

#include "common/clock.h"
#include "options/settings.h"

#include <ev.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum number of headers of a response. */
#define ASH_HTTP_HEADERS_MAX 10

/** A complete request; valid during the handler's call only. */
struct ash_http_request
{
  uint64_t number; /**< identifies the request to the functions that send its response */
  const char *method;
  const char *path; /**< percent-decoded, without the query */
  const char *uri;  /**< as received: path and query, percent-encoded */
  const uint8_t *body;
  size_t body_bytes;
  struct MHD_Connection *connection; /**< used by ash_http_header() and ash_http_query() */
};

/** Headers of a response. Names are not copied: they must stay valid until it is started. */
struct ash_http_headers
{
  struct
  {
    const char *name;
    char value[160];
  } items[ASH_HTTP_HEADERS_MAX];
  uint32_t count;
};

/** Callbacks of a server. */
struct ash_http_server_handler
{
  void (*request) (void *data, const struct ash_http_request *request);
  /** The caller disconnected before the response was complete. */
  void (*caller_disconnected) (void *data, uint64_t number);
  void *data;
};

struct ash_http_exchange;

/** An HTTP server; it runs in the event loop. */
struct ash_http_server
{
  struct ev_loop *loop;
  const struct ash_settings *settings;
  struct ash_http_server_handler handler;
  struct MHD_Daemon *daemon;
  ev_io io;
  ev_timer timer;
  ev_prepare prepare;
  ev_timer sweep;
  struct ash_http_exchange *exchanges;
  struct ash_http_server_conn *conns;
  uint64_t last_number;
  bool run_needed;          /**< MHD_run() has to be called before the loop blocks */
  bool keep_alive_disabled; /**< responses carry `Connection: close` */
  int listen_fd;
};

/**
 * Binds the setting `http_listen`, without listening yet: the kernel refuses connections until
 * then, so that callers go to another box immediately.
 * @return false with errno set on failure.
 */
bool ash_http_server_init (struct ash_http_server *server, struct ev_loop *loop);

/** Starts listening and serving. @return false with errno set on failure. */
bool ash_http_server_listen (struct ash_http_server *server);

/** Closes all connections and the socket. */
void ash_http_server_finish (struct ash_http_server *server);

/** From now on closes each connection after its response, so that callers do not reuse it. */
void ash_http_server_disable_keep_alive (struct ash_http_server *server);

/**
 * Closes the listening socket; accepted connections are still served. To be called repeatedly until
 * it returns true. A connection that has not sent a request yet is waited for during the setting
 * `upload_ms`.
 * @return whether no request is in flight or awaited.
 */
bool ash_http_server_drain (struct ash_http_server *server, struct ash_time now);

/** @return the value of a request header, or NULL. */
const char *ash_http_header (const struct ash_http_request *request, const char *name);

/** @return the value of a query argument, or NULL. */
const char *ash_http_query (const struct ash_http_request *request, const char *name);

/** Adds a header with a formatted value; ignored beyond ASH_HTTP_HEADERS_MAX. */
void
ash_http_headers_add (struct ash_http_headers *headers, const char *name, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Sends a complete response; the body is copied. */
void ash_http_reply (struct ash_http_server *server,
                     uint64_t number,
                     uint32_t status,
                     const struct ash_http_headers *headers,
                     const uint8_t *body,
                     size_t body_bytes);

/** Starts a response whose body follows in pieces. */
void ash_http_begin (struct ash_http_server *server,
                     uint64_t number,
                     uint32_t status,
                     const struct ash_http_headers *headers);

/** Appends to the response body. If the caller reads too slowly, its connection is closed. */
void ash_http_append (struct ash_http_server *server,
                      uint64_t number,
                      const uint8_t *bytes,
                      size_t length);

/**
 * Ends a response started by ash_http_begin().
 * @param complete false: the connection is closed, so that the caller sees a truncated response.
 */
void ash_http_end (struct ash_http_server *server, uint64_t number, bool complete);

#endif
