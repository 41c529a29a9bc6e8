/**
 * @file
 * The HTTP interface of an entry: calls become messages for its core, the
 * core's messages become answers.
 */
#ifndef ASH_API_H
#define ASH_API_H

#include "daemon/daemon.h"
#include "filters/entry.h"
#include "net/http_server.h"

#include <jansson.h>

struct ash_explain;

/** The interface of one entry. */
struct ash_api
{
  struct ash_daemon *daemon;
  struct ash_entry *entry;
  struct ash_http_server server;
  struct ash_time maybe_stale_until;     /**< until then calls count as possibly old */
  bool (*platform_answers) (void *data); /**< whether the last read went well */
  void *platform_data;                   /**< for platform_answers */
  struct ash_explain *explain;
};

/** Binds its address; it serves after ash_http_server_listen(). @return false with errno set. */
bool ash_api_init (struct ash_api *api, struct ash_daemon *daemon, struct ash_entry *entry);

void ash_api_finish (struct ash_api *api);

/** Answers a request with a JSON body, which it consumes, and headers so far. */
void ash_api_reply_json (struct ash_api *api,
                         uint64_t number,
                         uint32_t status,
                         struct ash_http_headers *headers,
                         json_t *body);

/** Hashes the request's bearer key. @return false if it has none. */
bool ash_api_hash_bearer (const struct ash_http_request *request, uint8_t hash[ASH_KEY_HASH_BYTES]);

/** Takes what the core gives out for a caller. @return false if it is none of that. */
bool ash_api_handle_event (struct ash_api *api, const struct Ash__Event *event);

#endif
