#include "daemon/api.h"

#include "controllers/addresses.h"
#include "controllers/declared.h"
#include "daemon/explain.h"
#include "daemon/intent.h"
#include "filters/minted_key.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define BEARER "Bearer "
#define EXPLAIN_PATH "/v1/explain/"
#define SERVICES_PATH "/v1/services/"
#define MS_PER_S 1000
#define JSON_TYPE "application/json"
#define IDEMPOTENCY_KEY_MAX 200
#define PATH_BYTES 2048

/* ---- answers ---- */

void
ash_api_reply_json (struct ash_api *api,
                    uint64_t number,
                    uint32_t status,
                    struct ash_http_headers *headers,
                    json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  ash_http_headers_add (headers, "Content-Type", JSON_TYPE);
  ash_http_reply (&api->server, number, status, headers, (const uint8_t *) (text ? text : "{}"),
                  text ? strlen (text) : 2);
  free (text);
  json_decref (body);
}

static json_t *
error_body (int reason, const char *message, const char *id, const char *outcome, uint32_t retry_ms)
{
  uint32_t status = ash_entry_status (reason);
  const char *type = status < 500 && status != 429 ? "invalid_request_error" : "server_error";

  if (status == 429)
    type = "rate_limit_error";
  return json_pack ("{s:{s:s, s:s, s:s, s:s, s:s, s:i}}", "error", "message", message, "type", type,
                    "code", ash_entry_reason_name (reason), "request_id", id, "outcome", outcome,
                    "retry_after_ms", (int) retry_ms);
}

static void
add_outcome (struct ash_http_headers *headers, const char *id, int outcome)
{
  ash_http_headers_add (headers, "Ash-Request-Id", "%s", id);
  ash_http_headers_add (headers, "Ash-Outcome", "%s", ash_entry_outcome_name (outcome));
}

static void
add_retry (struct ash_http_headers *headers, uint32_t retry_ms)
{
  ash_http_headers_add (headers, "Retry-After", "%u", (retry_ms + MS_PER_S - 1) / MS_PER_S);
  ash_http_headers_add (headers, "Ash-Retry-After-Ms", "%u", retry_ms);
}

/* Answers a request with an error before it reaches the core. Its outcome is "not-run". */
static void
reply_bad (struct ash_api *api, uint64_t number, int reason, const char *message)
{
  struct ash_http_headers headers = { 0 };
  char id[ASH_ID_TEXT_BYTES];

  ash_id_format ((struct ash_id){ 0, number }, id);
  add_outcome (&headers, id, ASH__OUTCOME__NOT_RUN);
  add_retry (&headers, 0);
  ash_api_reply_json (api, number, ash_entry_status (reason), &headers,
                      error_body (reason, message, id, "not-run", 0));
}

static void
add_reply_headers (struct ash_api *api,
                   struct ash_http_headers *headers,
                   const char *id,
                   const struct Ash__Reply *reply)
{
  add_outcome (headers, id, (int) reply->outcome);
  ash_http_headers_add (headers, "Ash-Entry", "%s", api->daemon->settings->box);
  ash_http_headers_add (headers, "Ash-Endpoint", "%s", reply->box);
  ash_http_headers_add (headers, "Ash-Wait-Ms", "%u", reply->wait_ms);
  if (*reply->content_type)
    ash_http_headers_add (headers, "Content-Type", "%s", reply->content_type);
}

static void
handle_reply (struct ash_api *api, const struct Ash__Reply *reply)
{
  struct ash_http_headers headers = { 0 };
  char id[ASH_ID_TEXT_BYTES];

  ash_id_format ((struct ash_id){ reply->id_hi, reply->id_lo }, id);
  if (reply->reason != ASH__REASON__REASON_NONE)
    {
      add_outcome (&headers, id, (int) reply->outcome);
      ash_http_headers_add (&headers, "Ash-Entry", "%s", api->daemon->settings->box);
      add_retry (&headers, reply->retry_ms);
      ash_api_reply_json (
          api, reply->call, reply->status, &headers,
          error_body ((int) reply->reason, ash_entry_reason_text ((int) reply->reason), id,
                      ash_entry_outcome_name ((int) reply->outcome), reply->retry_ms));
      return;
    }
  add_reply_headers (api, &headers, id, reply);
  if (reply->final)
    ash_http_reply (&api->server, reply->call, reply->status, &headers, reply->body.data,
                    reply->body.len);
  else
    ash_http_begin (&api->server, reply->call, reply->status, &headers);
}

/* A stream that ends early gets a final error event. Then the connection is broken before the
 * end of the body, for callers that don't parse events. */
static void
handle_reply_end (struct ash_api *api, const struct Ash__ReplyEnd *end)
{
  char event[512];
  int length;

  if (!end->whole)
    {
      length = snprintf (event, sizeof event,
                         "\n\nevent: error\ndata: {\"error\":{\"message\":\"%s\",\"type\":"
                         "\"server_error\",\"code\":\"%s\",\"outcome\":\"%s\"}}\n\n",
                         ash_entry_reason_text ((int) end->reason),
                         ash_entry_reason_name ((int) end->reason),
                         ash_entry_outcome_name ((int) end->outcome));
      ash_http_append (&api->server, end->call, (const uint8_t *) event, (size_t) length);
    }
  ash_http_end (&api->server, end->call, end->whole);
}

bool
ash_api_handle_event (struct ash_api *api, const struct Ash__Event *event)
{
  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_REPLY:
      handle_reply (api, event->reply);
      return true;
    case ASH__EVENT__KIND_REPLY_DATA:
      ash_http_append (&api->server, event->reply_data->call, event->reply_data->bytes.data,
                       event->reply_data->bytes.len);
      return true;
    case ASH__EVENT__KIND_REPLY_END:
      handle_reply_end (api, event->reply_end);
      return true;
    default:
      return false;
    }
}

/* ---- calls ---- */

bool
ash_api_hash_bearer (const struct ash_http_request *request, uint8_t hash[ASH_KEY_HASH_BYTES])
{
  const char *value = ash_http_header (request, "Authorization");

  if (!value || strncmp (value, BEARER, strlen (BEARER)) != 0)
    return false;
  value += strlen (BEARER);
  ash_key_hash (value, strlen (value), hash);
  return true;
}

/* Parses a header that holds a whole number above 0. A missing header gives 0.
 * @return false if the header is malformed. */
static bool
read_number_header (const struct ash_http_request *request, const char *name, uint32_t *number)
{
  const char *value = ash_http_header (request, name);
  char *end;
  unsigned long long parsed;

  *number = 0;
  if (!value)
    return true;
  parsed = strtoull (value, &end, 10);
  if (end == value || *end || *value == '-' || parsed == 0 || parsed > UINT32_MAX)
    return false;
  *number = (uint32_t) parsed;
  return true;
}

/* Fills the fields of a call that don't depend on the path.
 * @return an error message, or NULL. */
static const char *
read_headers (struct ash_api *api, const struct ash_http_request *request, struct Ash__Call *call)
{
  const char *key = ash_http_header (request, "Idempotency-Key");
  const char *no_repeat = ash_http_header (request, "Ash-No-Repeat");
  const char *type = ash_http_header (request, "Content-Type");

  if (!read_number_header (request, "Ash-Deadline-Ms", &call->deadline_ms))
    return "header Ash-Deadline-Ms must be a whole number above 0";
  if (!read_number_header (request, "Ash-Attempt", &call->caller_attempt))
    return "header Ash-Attempt must be a whole number above 0";
  if (key && strlen (key) > IDEMPOTENCY_KEY_MAX)
    return "header Idempotency-Key is longer than 200 characters";
  if (no_repeat && strcmp (no_repeat, "1") != 0 && strcmp (no_repeat, "0") != 0)
    return "header Ash-No-Repeat must be 0 or 1";
  call->call = request->number;
  call->method = ash_proto_text (request->method);
  call->idempotency_key = ash_proto_text (key ? key : "");
  call->no_repeat = no_repeat && *no_repeat == '1';
  call->content_type = ash_proto_text (type ? type : "");
  call->body.data = (uint8_t *) (uintptr_t) request->body;
  call->body.len = request->body_bytes;
  call->unix_s = (int64_t) time (NULL);
  call->may_be_old = ash_time_before (ash_clock_now (), api->maybe_stale_until);
  return NULL;
}

static void
submit_call (struct ash_api *api, const struct ash_http_request *request, struct Ash__Call *call)
{
  struct Ash__Event event = ASH__EVENT__INIT;
  uint8_t hash[ASH_KEY_HASH_BYTES];
  const char *problem = read_headers (api, request, call);

  if (problem)
    {
      reply_bad (api, request->number, ASH__REASON__BAD_REQUEST, problem);
      return;
    }
  if (ash_api_hash_bearer (request, hash))
    {
      call->key_hash.data = hash;
      call->key_hash.len = sizeof hash;
    }
  event.kind_case = ASH__EVENT__KIND_CALL;
  event.call = call;
  ash_entry_handle (api->entry, ash_clock_now (), &event);
}

static void
handle_completion (struct ash_api *api, const struct ash_http_request *request)
{
  struct Ash__Call call = ASH__CALL__INIT;
  json_error_t error;
  json_t *body = json_loadb ((const char *) request->body, request->body_bytes, 0, &error);
  const char *model = json_string_value (json_object_get (body, "model"));
  const json_t *stream = json_object_get (body, "stream");
  char message[256];

  if (!body)
    {
      snprintf (message, sizeof message, "line %d, column %d: %s", error.line, error.column,
                error.text);
      reply_bad (api, request->number, ASH__REASON__BAD_REQUEST, message);
    }
  else if (!model)
    reply_bad (api, request->number, ASH__REASON__BAD_REQUEST, "'model' must be a string");
  else if (stream && !json_is_boolean (stream))
    reply_bad (api, request->number, ASH__REASON__BAD_REQUEST, "'stream' must be true or false");
  else
    {
      call.service = ash_proto_text (model);
      call.path = ash_proto_text (request->path);
      call.stream = json_is_true (stream);
      submit_call (api, request, &call);
    }
  json_decref (body);
}

/* Submits a call at SERVICES_PATH. The service's name in the path is escaped, and ends at a slash,
 * a question mark or the end of the target. The rest of the target is passed to the endpoint
 * unchanged. */
static void
handle_service (struct ash_api *api, const struct ash_http_request *request)
{
  struct Ash__Call call = ASH__CALL__INIT;
  const char *name = request->uri + strlen (SERVICES_PATH);
  size_t length = strcspn (name, "/?");
  const char *rest = name + length;
  char service[ASH_NAME_BYTES];
  char path[PATH_BYTES];

  if (strncmp (request->uri, SERVICES_PATH, strlen (SERVICES_PATH)) != 0 || length == 0 ||
      length >= sizeof service)
    {
      reply_bad (api, request->number, ASH__REASON__NO_SERVICE, "no such service");
      return;
    }
  if (snprintf (path, sizeof path, "%s%s", *rest == '/' ? "" : "/", rest) >= (int) sizeof path)
    {
      reply_bad (api, request->number, ASH__REASON__BAD_REQUEST, "the path is too long");
      return;
    }
  memcpy (service, name, length);
  service[length] = '\0';
  /* A NUL in it would end the name early. */
  if (MHD_http_unescape (service) != strlen (service))
    {
      reply_bad (api, request->number, ASH__REASON__NO_SERVICE, "no such service");
      return;
    }
  call.service = service;
  call.path = path;
  submit_call (api, request, &call);
}

/* ---- other paths ---- */

static void
handle_addresses (struct ash_api *api, const struct ash_http_request *request)
{
  struct ash_entry *entry = api->entry;
  const char *account = ash_http_query (request, "account");
  const char *service = ash_http_query (request, "service");
  struct ash_addresses addresses;
  struct ash_http_headers headers = { 0 };
  json_t *list;

  if (!entry->config.ready)
    {
      reply_bad (api, request->number, ASH__REASON__NOT_READY, "no configuration yet");
      return;
    }
  if (!account || !ash_document_account (&entry->config.document, account))
    {
      reply_bad (api, request->number, ASH__REASON__NO_SERVICE, "no such account");
      return;
    }
  if (!service || !ash_document_service (&entry->config.document, service))
    {
      reply_bad (api, request->number, ASH__REASON__NO_SERVICE, "no such service");
      return;
    }
  ash_addresses_find (&addresses, &entry->config.document, &entry->membership,
                      api->daemon->settings, entry->leaving,
                      ash_document_account (&entry->config.document, account), &entry->random);
  list = json_array ();
  for (uint32_t i = 0; i < addresses.count; i++)
    json_array_append_new (list, json_pack ("{s:s, s:s}", "box", addresses.boxes[i]->name,
                                            "address", addresses.boxes[i]->http));
  ash_api_reply_json (api, request->number, MHD_HTTP_OK, &headers,
                      json_pack ("{s:o, s:i, s:I}", "addresses", list, "keep_ms",
                                 (int) addresses.keep_ms, "revision",
                                 (json_int_t) entry->config.document.revision));
}

/* Mints an idempotency key that names the home of the request and the home's incarnation, so that
 * the caller need not number its attempts. */
static void
handle_mint (struct ash_api *api, const struct ash_http_request *request)
{
  struct ash_entry *entry = api->entry;
  const char *service = ash_http_query (request, "service");
  struct ash_request choice = { 0 };
  struct ash_minted_key key = { 0 };
  struct ash_http_headers headers = { 0 };
  char text[ASH_MINTED_KEY_BYTES];
  uint8_t hash[ASH_KEY_HASH_BYTES];

  if (!entry->config.ready)
    reply_bad (api, request->number, ASH__REASON__NOT_READY, "no configuration yet");
  else if (!ash_api_hash_bearer (request, hash) ||
           !ash_document_account_by_key (&entry->config.document, hash))
    reply_bad (api, request->number, ASH__REASON__BAD_KEY, "the bearer key belongs to no account");
  else if (!service || !ash_document_service (&entry->config.document, service))
    reply_bad (api, request->number, ASH__REASON__NO_SERVICE, "no such service");
  else if (!ash_entry_choose (entry, service, &choice))
    reply_bad (api, request->number, ASH__REASON__NO_ENDPOINT,
               ash_entry_reason_text (ASH__REASON__NO_ENDPOINT));
  else
    {
      strcpy (key.home, choice.box);
      key.incarnation = choice.incarnation;
      key.expires_s = (int64_t) time (NULL) + api->daemon->settings->key_life_ms / MS_PER_S;
      key.nonce = ash_random_next (&entry->random);
      ash_minted_key_format (&key, entry->fleet_key, text);
      ash_api_reply_json (api, request->number, MHD_HTTP_OK, &headers,
                          json_pack ("{s:s, s:s, s:I}", "key", text, "home", key.home, "expires_s",
                                     (json_int_t) key.expires_s));
    }
}

static void
handle_health (struct ash_api *api, const struct ash_http_request *request)
{
  struct ash_http_headers headers = { 0 };
  bool is_ready = api->entry->config.ready && !api->entry->leaving;
  bool is_readiness_query = strcmp (request->path, "/readyz") == 0;
  const char *text = "ok";

  if (is_readiness_query && !is_ready)
    text = api->entry->leaving ? "leaving" : "no configuration";
  ash_api_reply_json (api, request->number,
                      is_readiness_query && !is_ready ? MHD_HTTP_SERVICE_UNAVAILABLE : MHD_HTTP_OK,
                      &headers, json_pack ("{s:s}", "status", text));
}

static void
handle_metrics (struct ash_api *api, const struct ash_http_request *request)
{
  struct ash_http_headers headers = { 0 };
  char *text = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&text, &length);

  if (!out)
    return;
  ash_metrics_set (&api->daemon->metrics, "ash_config_revision", "",
                   ash_config_revision (&api->entry->config));
  ash_metrics_set (&api->daemon->metrics, "ash_peer_bytes_out", "", api->daemon->peers.bytes_out);
  ash_metrics_set (&api->daemon->metrics, "ash_peer_bytes_in", "", api->daemon->peers.bytes_in);
  ash_metrics_print (&api->daemon->metrics, out);
  fclose (out);
  ash_http_headers_add (&headers, "Content-Type", "text/plain; version=0.0.4");
  ash_http_reply (&api->server, request->number, MHD_HTTP_OK, &headers, (const uint8_t *) text,
                  length);
  free (text);
}

static json_t *
box_json (const struct ash_box *box)
{
  const char *state = "gone";

  if (box->linked && ash_box_leaving (box))
    state = "leaving";
  else if (box->linked && box->suspect)
    state = "suspect";
  else if (box->linked)
    state = box->ejected_until.ms ? "stalled" : "live";
  return json_pack ("{s:s, s:s, s:s, s:I, s:i, s:i}", "box", box->name, "role",
                    box->role == ASH__ROLE__ENTRY ? "entry" : "endpoint", "state", state,
                    "revision", (json_int_t) box->revision, "in_flight", (int) box->in_flight,
                    "reported", (int) box->reported);
}

static json_t *
events_json (const struct ash_document *document)
{
  json_t *list = json_array ();
  int64_t unix_s = (int64_t) time (NULL);

  for (uint32_t i = 0; i < document->event_count; i++)
    {
      const struct ash_declared_event *event = &document->events[i];

      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:I, s:i, s:i}", "event", event->name, "state",
                           ash_declared_state_name (ash_declared_state (event, unix_s)), "start_s",
                           (json_int_t) event->start_s, "length_s", (int) event->length_s, "lead_s",
                           (int) event->lead_s));
    }
  return list;
}

static void
handle_status (struct ash_api *api, const struct ash_http_request *request)
{
  struct ash_entry *entry = api->entry;
  struct ash_http_headers headers = { 0 };
  json_t *boxes = json_array ();

  for (struct ash_box *box = entry->membership.boxes; box; box = box->hh.next)
    json_array_append_new (boxes, box_json (box));
  ash_api_reply_json (api, request->number, MHD_HTTP_OK, &headers,
                      json_pack ("{s:s, s:s, s:I, s:s, s:o}", "box", api->daemon->settings->box,
                                 "state", entry->leaving ? "leaving" : "live", "revision",
                                 (json_int_t) ash_config_revision (&entry->config), "hall",
                                 api->daemon->settings->hall, "boxes", boxes));
}

static void
handle_drain (struct ash_api *api, const struct ash_http_request *request)
{
  ash_explain_drain (api->explain, request);
}

static void
handle_events (struct ash_api *api, const struct ash_http_request *request)
{
  struct ash_http_headers headers = { 0 };
  const struct ash_config *config = &api->entry->config;

  ash_api_reply_json (api, request->number, MHD_HTTP_OK, &headers,
                      json_pack ("{s:I, s:o}", "revision",
                                 (json_int_t) ash_config_revision (config), "events",
                                 events_json (&config->document)));
}

struct route
{
  const char *path;
  const char *method;
  void (*handle) (struct ash_api *api, const struct ash_http_request *request);
};

static const struct route routes[] = {
  { "/v1/chat/completions", "POST", handle_completion },
  { "/v1/completions", "POST", handle_completion },
  { "/v1/addresses", "GET", handle_addresses },
  { "/v1/keys", "POST", handle_mint },
  { "/v1/status", "GET", handle_status },
  { "/v1/events", "GET", handle_events },
  { "/v1/plan", "POST", ash_intent_plan },
  { "/v1/confirm", "POST", ash_intent_confirm },
  { "/v1/diff", "POST", ash_intent_diff },
  { "/v1/drain", "POST", handle_drain },
  { "/healthz", "GET", handle_health },
  { "/readyz", "GET", handle_health },
  { "/metrics", "GET", handle_metrics },
};

static void
on_request (void *data, const struct ash_http_request *request)
{
  struct ash_api *api = data;

  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    if (strcmp (request->path, routes[i].path) == 0 &&
        strcmp (request->method, routes[i].method) == 0)
      {
        routes[i].handle (api, request);
        return;
      }
  if (strncmp (request->path, SERVICES_PATH, strlen (SERVICES_PATH)) == 0)
    handle_service (api, request);
  else if (strncmp (request->path, EXPLAIN_PATH, strlen (EXPLAIN_PATH)) == 0)
    ash_explain_handle_request (api->explain, request);
  else
    reply_bad (api, request->number, ASH__REASON__NO_SERVICE, "no such path or method");
}

static void
on_disconnect (void *data, uint64_t number)
{
  struct ash_api *api = data;
  struct Ash__CallerGone gone = ASH__CALLER_GONE__INIT;
  struct Ash__Event event = ASH__EVENT__INIT;

  ash_explain_disconnected (api->explain, number);
  gone.call = number;
  event.kind_case = ASH__EVENT__KIND_CALLER_GONE;
  event.caller_gone = &gone;
  ash_entry_handle (api->entry, ash_clock_now (), &event);
}

bool
ash_api_init (struct ash_api *api, struct ash_daemon *daemon, struct ash_entry *entry)
{
  api->daemon = daemon;
  api->entry = entry;
  api->server.settings = daemon->settings;
  api->server.handler = (struct ash_http_server_handler){ on_request, on_disconnect, api };
  return ash_http_server_init (&api->server, daemon->loop);
}

void
ash_api_finish (struct ash_api *api)
{
  ash_http_server_finish (&api->server);
}
