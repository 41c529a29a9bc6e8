/**
 * @file
 * HTTP client based on libcurl's multi interface and libev. Response bodies are passed on in pieces
 * as they arrive.
 */
#ifndef ASH_HTTP_CLIENT_H
#define ASH_HTTP_CLIENT_H

#include "common/clock.h"

#include <curl/curl.h>
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How a fetch ended. */
enum ash_fetch_result
{
  ASH_FETCH_COMPLETE,
  ASH_FETCH_NOT_SENT, /**< not connected: the server certainly did not run the request */
  ASH_FETCH_FAILED,
};

/** An HTTP client; its transfers run in the event loop. */
struct ash_http_client
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  struct ash_fetch *fetches;
  uint32_t curl_depth; /**< nesting of calls into libcurl; 0: none on the call stack */
  bool has_cancelled;  /**< cancelled fetches are to be freed once curl_depth is 0 */
};

/** A request. Strings and body are copied. */
struct ash_fetch_request
{
  const char *url;
  const char *method;
  const char *content_type; /**< may be NULL */
  const char *request_id;   /**< sent as X-Request-Id; may be NULL */
  const char *extra_header; /**< `Name: value`; may be NULL */
  const uint8_t *body;
  size_t body_bytes;
  uint32_t timeout_ms;   /**< time limit of the whole request; 0: none */
  uint32_t silence_ms;   /**< keep-alive timeout of a new connection, see ash_keep_alive(); 0: no
                              probes. As connections are reused, all fetches to an address must
                              pass the same value */
  bool fresh_connection; /**< for requests that must not be repeated: libcurl resends a request
                              by itself if a reused connection ends before the
                              answer's status line */
};

/** Callbacks of a fetch, called from the event loop only. */
struct ash_fetch_handler
{
  void (*head) (void *data, uint32_t status, const char *content_type, uint64_t revision);
  void (*bytes) (void *data, const uint8_t *bytes, size_t length);
  void (*end) (void *data, enum ash_fetch_result result);
  void *data;
};

struct ash_fetch;

bool ash_http_client_init (struct ash_http_client *client, struct ev_loop *loop);
void ash_http_client_finish (struct ash_http_client *client);

/**
 * Starts a fetch.
 * @return the fetch, valid until its `end` handler is called; NULL if out of memory.
 */
struct ash_fetch *ash_http_client_start (struct ash_http_client *client,
                                         const struct ash_fetch_request *request,
                                         const struct ash_fetch_handler *handler);

/** Cancels a fetch. Its handler is not called again. */
void ash_http_client_cancel (struct ash_fetch *fetch);

#endif
