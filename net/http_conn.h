/**
 * @file
 * HTTP server: listeners and connections from callers. A connection serves one request at a time,
 * and a request is passed to the owner once its body is complete. A disconnect of the caller is
 * detected while its request is served.
 *
 * libmicrohttpd is not used here because it does not detect a disconnect on a suspended connection,
 * and because it does not provide the request target byte for byte.
 */
#ifndef ASH_HTTP_CONN_H
#define ASH_HTTP_CONN_H

#include "common/clock.h"
#include "net/http_message.h"
#include "net/stream.h"

struct ash_http_listener;

/** Limits on the size and duration of a caller's request. */
struct ash_http_bounds
{
  uint32_t head_max_bytes;
  uint64_t body_max_bytes;
  uint32_t head_timeout_ms; /**< from the first byte of a request to its last, body included */
  uint32_t idle_timeout_ms; /**< a connection without a request for this time is closed */
};

/** States of a connection. */
enum ash_conn_state
{
  ASH_CONN_IDLE,
  ASH_CONN_READING,
  ASH_CONN_SERVING,
  ASH_CONN_CLOSING, /**< the send queue is written, then the connection is closed */
};

/** A caller's connection. */
struct ash_http_conn
{
  struct ash_http_listener *listener;
  struct ash_stream stream;
  struct ash_http_reader reader;
  enum ash_conn_state state;
  struct ash_time since;       /**< start of the current state */
  size_t unwritten_bytes;      /**< size of the send queue when it was last seen to change */
  struct ash_time written_at;  /**< when that was */
  struct ash_buffer body;      /**< body of the current request */
  struct ash_buffer pipelined; /**< bytes received while a request is served */
  bool continue_sent;          /**< `100 Continue` was sent for this request */
  bool body_refused;           /**< the listener had no memory for the request's body */
  bool is_closed;              /**< the stream is closed; the sweep timer frees the struct */
  bool had_request;            /**< at least one request was answered */
  bool head_sent;
  bool chunked;   /**< the current response uses chunked transfer coding */
  bool keep_open; /**< the connection stays open after the current response */
  void *request;  /**< the owner's data while it serves a request */
  struct ash_http_conn *prev;
  struct ash_http_conn *next;
};

/** Callbacks of a listener. */
struct ash_conn_handler
{
  void (*request) (struct ash_http_conn *conn);
  void (*disconnected) (struct ash_http_conn *conn); /**< while the request was served */
  void (*drained) (struct ash_http_conn *conn);      /**< the send queue is empty; may be NULL */
};

/** A listening socket with its connections. */
struct ash_http_listener
{
  struct ev_loop *loop;
  const struct ash_conn_handler *handler;
  void *owner;
  struct ash_http_bounds bounds;
  bool closing; /**< responses carry `Connection: close` */
  int fd;       /**< -1: the listener accepts no new connections */
  ev_io io;
  ev_timer sweep;
  struct ash_http_conn *conns;
  uint32_t conn_count;
  uint32_t conn_max;
  uint64_t body_bytes;       /**< total length of the request bodies held in memory */
  uint64_t bodies_max_bytes; /**< upper limit of body_bytes */
  uint64_t
      *queued_total; /**< sum of the send queues of connections accepted from now on, or NULL */
};

/** Starts listening at an `IP:PORT` address. @return false with errno set on failure. */
bool ash_http_listen (struct ash_http_listener *listener,
                      struct ev_loop *loop,
                      const char *address,
                      const struct ash_conn_handler *handler,
                      void *owner);

/** Closes the listening socket and all connections, without calling the handler. */
void ash_http_listener_finish (struct ash_http_listener *listener);

/**
 * Starts closing connections: those with a request after its response, idle ones at the next sweep,
 * and those that have not sent a request yet after a short wait. Requests that have arrived by then
 * are still passed to the owner, even if they are unread.
 */
void ash_http_listener_drain (struct ash_http_listener *listener);

/**
 * Accepts the pending connections, then closes the listening socket and idle connections. Requests
 * that have arrived are still read and passed to the owner.
 */
void ash_http_listener_stop_accepting (struct ash_http_listener *listener);

/** @return whether any connection is open. */
bool ash_http_listener_has_callers (const struct ash_http_listener *listener);

/** @return how many connections have a request that is being read or served, or a response that is
 * not written completely. */
uint32_t ash_http_listener_busy (const struct ash_http_listener *listener);

/**
 * Sends a complete response.
 * @param fields additional header lines, each ending with CR LF.
 */
void ash_http_conn_respond (struct ash_http_conn *conn,
                            uint16_t status,
                            const char *fields,
                            size_t fields_bytes,
                            const void *body,
                            size_t body_bytes);

/** Sends the head of a response whose body follows in pieces. */
void ash_http_conn_begin (struct ash_http_conn *conn,
                          uint16_t status,
                          const char *fields,
                          size_t fields_bytes);

/** Sends a piece of the response body. */
void ash_http_conn_write (struct ash_http_conn *conn, const void *bytes, size_t length);

/**
 * Ends a response started by ash_http_conn_begin().
 * @param complete false: the connection is closed so that the caller sees a truncated response.
 */
void ash_http_conn_end (struct ash_http_conn *conn, bool complete);

/** Closes the connection with a reset; what is queued is lost. */
void ash_http_conn_reset (struct ash_http_conn *conn);

/** @return the bytes in the send queue. */
size_t ash_http_conn_queued (const struct ash_http_conn *conn);

#endif
