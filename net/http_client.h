/**
 * @file
 * HTTP requests of this process, by libcurl's multi interface on libev. The
 * task owns its sockets; answers are handed out piece by piece.
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
  ASH_FETCH_NOT_SENT, /**< there was no connection: certainly nothing ran */
  ASH_FETCH_FAILED,
};

/** The task. */
struct ash_http_client
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  struct ash_fetch *fetches;
  uint32_t curl_depth; /**< libcurl is on the stack */
  bool has_cancelled;  /**< fetches to be freed once it is not */
};

/** What is asked. Strings and body are copied. */
struct ash_fetch_request
{
  const char *url;
  const char *method;
  const char *content_type; /**< may be NULL */
  const char *request_id;   /**< goes out as X-Request-Id; may be NULL */
  const char *extra_header; /**< a whole line; may be NULL */
  const uint8_t *body;
  size_t body_bytes;
  uint32_t timeout_ms;   /**< 0: none */
  uint32_t silence_ms;   /**< a connection without a word for so long, keep-alive probes
                              included, is given up; 0: not asked. Of a whole pool's fetches to
                              one address, as connections are kept */
  bool fresh_connection; /**< for what may not be repeated: libcurl itself sends a
                              request again when a kept connection turns out dead */
};

/** Who gets the answer. Calls come from the event loop only. */
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

/** Starts a fetch; it is gone after its end was told. NULL without memory. */
struct ash_fetch *ash_http_client_start (struct ash_http_client *client,
                                         const struct ash_fetch_request *request,
                                         const struct ash_fetch_handler *handler);

/** Breaks a fetch off. Its handler is not called any more. */
void ash_http_client_cancel (struct ash_fetch *fetch);

#endif
