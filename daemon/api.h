/**
 * @file
 * The HTTP interface of an entry: converts HTTP requests to messages for the entry's core, and the
 * core's messages to HTTP answers.
 */
#ifndef ASH_API_H
#define ASH_API_H

#include "daemon/daemon.h"
#include "filters/entry.h"
#include "net/http_server.h"

#include <jansson.h>

struct ash_explain;

/** The HTTP interface of one entry. */
struct ash_api
{
  struct ash_daemon *daemon;
  struct ash_entry *entry;
  struct ash_http_server server;
  struct ash_time maybe_stale_until; /**< calls read until then may have waited while the process
                                        was suspended */
  bool (*platform_answers) (void *data); /**< whether the platform can be read, here or by a peer */
  void *platform_data;                   /**< argument of platform_answers */
  struct ash_explain *explain;
};

/** Binds the HTTP address; requests are accepted after ash_http_server_listen().
 * @return false with errno set. */
bool ash_api_init (struct ash_api *api, struct ash_daemon *daemon, struct ash_entry *entry);

void ash_api_finish (struct ash_api *api);

/** Answers an HTTP request with a JSON body.
 * @param headers sent with the answer; gets a Content-Type.
 * @param body freed by this function. */
void ash_api_reply_json (struct ash_api *api,
                         uint64_t number,
                         uint32_t status,
                         struct ash_http_headers *headers,
                         json_t *body);

/** Hashes the bearer key of a request. @return false if the request has none. */
bool ash_api_hash_bearer (const struct ash_http_request *request, uint8_t hash[ASH_KEY_HASH_BYTES]);

/** Handles a message from the core to a caller. @return false if the message is not for a caller.
 */
bool ash_api_handle_event (struct ash_api *api, const struct Ash__Event *event);

#endif
