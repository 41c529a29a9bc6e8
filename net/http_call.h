/**
 * @file
 * HTTP calls to one address over kept connections. A request is written once:
 * nothing here ever sends it a second time, and how a call ended says whether
 * the other side may have seen it.
 *
 * Own sockets instead of libcurl: its multi interface resends by itself on a
 * kept connection that died, and brings a TLS stack's memory along.
 */
#ifndef ASH_HTTP_CALL_H
#define ASH_HTTP_CALL_H

#include "common/clock.h"
#include "net/http_message.h"
#include "net/stream.h"

struct ash_pool_conn;
struct ash_http_call;

/** How a call ended. */
enum ash_call_end
{
  ASH_CALL_COMPLETE,  /**< a whole answer came */
  ASH_CALL_NOT_SENT,  /**< no byte of the request left: it certainly did not run */
  ASH_CALL_TRUNCATED, /**< the connection ended before the answer did */
  ASH_CALL_MALFORMED, /**< what came is no answer in HTTP */
};

/** What a call tells its owner. */
struct ash_call_handler
{
  /** @return false if this answer belongs to another request: it is read and dropped. */
  bool (*head) (struct ash_http_call *call, const struct ash_http_head *head);
  void (*body) (struct ash_http_call *call, const uint8_t *bytes, size_t length);
  /** The last one; the call may be started anew or freed from here on. */
  void (*end) (struct ash_http_call *call, enum ash_call_end end);
};

/** A request under way, in the owner's memory. */
struct ash_http_call
{
  const struct ash_call_handler *handler;
  void *owner;
  bool no_body;               /**< a HEAD request: its answer has a length and no body */
  struct ash_pool_conn *conn; /**< NULL: not under way */
};

/** Connections to one address. */
struct ash_http_pool
{
  struct ev_loop *loop;
  struct sockaddr_in address;
  struct ash_pool_conn *conns; /**< idle ones and those in use; the last used first */
  uint32_t open_count;
  uint32_t idle_max;
  uint32_t silence_ms; /**< a connection that is silent for so long ends; 0: as any stream does */
};

/** @param address as IP:PORT. @return false if it is none. */
bool ash_http_pool_init (struct ash_http_pool *pool, struct ev_loop *loop, const char *address);

/** Closes all connections; calls under way end as cut. */
void ash_http_pool_finish (struct ash_http_pool *pool);

/** Closes idle connections that are about to be closed by the other side. */
void ash_http_pool_sweep (struct ash_http_pool *pool, struct ash_time now);

/** What is connected to has started anew, perhaps at another address: closes idle connections.
 * Calls under way go on. @return false if the address is none; the former one stays. */
bool ash_http_pool_set_address (struct ash_http_pool *pool, const char *address);

/** A connection there may have gone silent: closes the idle ones that were not last_read from
 * since. */
void ash_http_pool_close_idle (struct ash_http_pool *pool, struct ash_time since);

/**
 * Sends a request.
 * @param read_since a kept connection will do if it was last_read from since then.
 * @return false if no connection could be begun; the handler hears nothing then.
 */
bool ash_http_call_start (struct ash_http_call *call,
                          struct ash_http_pool *pool,
                          const void *request,
                          size_t request_bytes,
                          struct ash_time read_since);

/** Gives a call up: its connection is closed, the handler hears nothing more. */
void ash_http_call_cancel (struct ash_http_call *call);

/** @return whether the other side's kernel has not acknowledged all of the request. */
bool ash_http_call_unacknowledged (const struct ash_http_call *call);

/** @return whether the connection is not up yet, so that nothing was sent. */
bool ash_http_call_connecting (const struct ash_http_call *call);

/** Holds the answer back by the connection's window. */
void ash_http_call_pause (struct ash_http_call *call, bool paused);

#endif
