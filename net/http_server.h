/**
 * @file
 * HTTP for callers and operators, by libmicrohttpd on libev. The task owns its
 * sockets; a whole request is handed out once, and answered later by its
 * number. Headers, bodies, connections and slow senders are bounded.
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

/** Headers of an answer at most. */
#define ASH_HTTP_HEADERS_MAX 10

/** A request, whole. */
struct ash_http_request
{
  uint64_t number; /**< names it for the answer */
  const char *method;
  const char *path; /**< decoded */
  const char *uri;  /**< as sent: path and query, escapes included */
  const uint8_t *body;
  size_t body_bytes;
  struct MHD_Connection *connection; /**< for ash_http_header() and ash_http_query() */
};

/** Headers of an answer; names and values need to live through the call only. */
struct ash_http_headers
{
  struct
  {
    const char *name;
    char value[160];
  } items[ASH_HTTP_HEADERS_MAX];
  uint32_t count;
};

/** Who gets the requests. */
struct ash_http_server_handler
{
  void (*request) (void *data, const struct ash_http_request *request);
  /** The caller has gone before the answer was whole. */
  void (*gone) (void *data, uint64_t number);
  void *data;
};

struct ash_http_exchange;

/** The task. */
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
  bool resumed;             /**< a connection waits for the library to run */
  bool keep_alive_disabled; /**< answers close their connections */
  int listen_fd;
};

/**
 * Binds http_listen of the settings, without listening yet: callers that come
 * are refused by the system, and go to another box at once.
 * @return false with errno set.
 */
bool ash_http_server_init (struct ash_http_server *server, struct ev_loop *loop);

/** Begins to serve. @return false with errno set. */
bool ash_http_server_listen (struct ash_http_server *server);

/** Closes everything. */
void ash_http_server_finish (struct ash_http_server *server);

/** From now on each answer closes its connection, so that callers don't keep them. */
void ash_http_server_disable_keep_alive (struct ash_http_server *server);

/**
 * Takes no new connections any more, and answers all that had connected. To be
 * called until it is done. A caller that has connected and sent
 * nothing is waited for upload_ms long.
 * @return whether nothing is in flight any more.
 */
bool ash_http_server_drain (struct ash_http_server *server, struct ash_time now);

/** @return a header of the request, or NULL. */
const char *ash_http_header (const struct ash_http_request *request, const char *name);

/** @return a query argument, or NULL. */
const char *ash_http_query (const struct ash_http_request *request, const char *name);

/** Adds a header. */
void
ash_http_headers_add (struct ash_http_headers *headers, const char *name, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Answers with a whole body. */
void ash_http_reply (struct ash_http_server *server,
                     uint64_t number,
                     uint32_t status,
                     const struct ash_http_headers *headers,
                     const uint8_t *body,
                     size_t body_bytes);

/** Begins an answer whose body follows piece by piece. */
void ash_http_begin (struct ash_http_server *server,
                     uint64_t number,
                     uint32_t status,
                     const struct ash_http_headers *headers);

/** Adds to it. A caller that reads too slowly is cut off. */
void ash_http_append (struct ash_http_server *server,
                      uint64_t number,
                      const uint8_t *bytes,
                      size_t length);

/** Ends it: properly, or by breaking the connection if it is not whole. */
void ash_http_end (struct ash_http_server *server, uint64_t number, bool whole);

#endif
