/**
 * @file
 * The server's side of HTTP: connections from callers, one request at a time,
 * whole with its body before it is handed over. A caller's close is seen while
 * its request is being served.
 *
 * Own sockets instead of libmicrohttpd: a suspended connection there does not
 * see the caller's close, and the target is not handed over byte for byte.
 */
#ifndef ASH_HTTP_CONN_H
#define ASH_HTTP_CONN_H

#include "common/clock.h"
#include "net/http_message.h"
#include "net/stream.h"

struct ash_http_listener;

/** Bounds on what a caller may send and how long it may take. */
struct ash_http_bounds
{
  uint32_t head_max_bytes;
  uint64_t body_max_bytes;
  uint32_t head_timeout_ms; /**< from a request's first byte to its last */
  uint32_t idle_timeout_ms; /**< without a request */
};

/** Where a connection stands. */
enum ash_conn_state
{
  ASH_CONN_IDLE,
  ASH_CONN_READING,
  ASH_CONN_SERVING,
  ASH_CONN_CLOSING, /**< what is queued is written, then it is closed */
};

/** A caller's connection. */
struct ash_http_conn
{
  struct ash_http_listener *listener;
  struct ash_stream stream;
  struct ash_http_reader reader;
  enum ash_conn_state state;
  struct ash_time since;       /**< when this state began */
  struct ash_buffer body;      /**< of the request */
  struct ash_buffer pipelined; /**< bytes that came while a request is served */
  bool continue_sent;          /**< 100 was sent for this request */
  bool is_closed;              /**< closed; freed by the sweep */
  bool had_request;            /**< it had a request before */
  bool head_sent;
  bool chunked;   /**< the answer under way is */
  bool keep_open; /**< the connection stays after this answer */
  void *request;  /**< of the owner, while serving */
  struct ash_http_conn *prev;
  struct ash_http_conn *next;
};

/** What a listener tells its owner. */
struct ash_conn_handler
{
  void (*request) (struct ash_http_conn *conn);
  void (*disconnected) (struct ash_http_conn *conn); /**< the caller left while it was served */
  void (*drained) (struct ash_http_conn *conn); /**< all that was queued is written; may be NULL */
};

/** A listening address. */
struct ash_http_listener
{
  struct ev_loop *loop;
  const struct ash_conn_handler *handler;
  void *owner;
  struct ash_http_bounds bounds;
  bool closing; /**< answers announce the connection's end */
  int fd;       /**< -1: takes no new connections */
  ev_io io;
  ev_timer sweep;
  struct ash_http_conn *conns;
  uint32_t conn_count;
  uint32_t conn_max;
  uint64_t body_bytes; /**< of all requests that are held */
};

/** Listens. @return false with errno set. */
bool ash_http_listen (struct ash_http_listener *listener,
                      struct ev_loop *loop,
                      const char *address,
                      const struct ash_conn_handler *handler,
                      void *owner);

/** Closes all. */
void ash_http_listener_finish (struct ash_http_listener *listener);

/**
 * Connections end with the answers that they wait for, idle ones at once, and new ones soon.
 * Requests that have arrived by then, read or not, are still handed over.
 */
void ash_http_listener_drain (struct ash_http_listener *listener);

/**
 * Takes the connections that wait to be accepted, then no more; idle ones are closed. Requests
 * that have arrived are still read: the owner answers them.
 */
void ash_http_listener_stop_accepting (struct ash_http_listener *listener);

/** @return whether a caller is still connected. */
bool ash_http_listener_has_callers (const struct ash_http_listener *listener);

/** @return how many requests are being read or served. */
uint32_t ash_http_listener_busy (const struct ash_http_listener *listener);

/**
 * A whole answer.
 * @param fields further header lines, each ended by CR LF.
 */
void ash_http_conn_respond (struct ash_http_conn *conn,
                            uint16_t status,
                            const char *fields,
                            size_t fields_bytes,
                            const void *body,
                            size_t body_bytes);

/** Begins an answer whose body follows by and by. */
void ash_http_conn_begin (struct ash_http_conn *conn,
                          uint16_t status,
                          const char *fields,
                          size_t fields_bytes);

/** Goes on with it. */
void ash_http_conn_write (struct ash_http_conn *conn, const void *bytes, size_t length);

/** Ends it. @param whole false: the connection breaks off, so that the answer shows as cut. */
void ash_http_conn_end (struct ash_http_conn *conn, bool whole);

/** @return the bytes that wait for the caller to read. */
size_t ash_http_conn_queued (const struct ash_http_conn *conn);

#endif
