#include "daemon/operator.h"

#include <sodium.h>

void
ash_operator_reply (struct ash_api *api, uint64_t number, uint32_t status, json_t *body)
{
  struct ash_http_headers headers = { 0 };

  ash_api_reply_json (api, number, status, &headers, body);
}

void
ash_operator_refuse (struct ash_api *api,
                     uint64_t number,
                     uint32_t status,
                     const char *code,
                     const char *message,
                     json_t *more)
{
  const struct ash_config *config = &api->entry->config;
  json_t *error = json_pack ("{s:s, s:s, s:I}", "code", code, "message", message, "in_force",
                             (json_int_t) ash_config_revision (config));

  if (more)
    json_object_set_new (error, "more", more);
  ash_operator_reply (api, number, status, json_pack ("{s:o}", "error", error));
}

static bool
matches (const uint8_t hash[ASH_KEY_HASH_BYTES], const char *expected_hex)
{
  uint8_t expected[ASH_KEY_HASH_BYTES];

  return ash_hex_decode (expected_hex, expected, sizeof expected) &&
         sodium_memcmp (hash, expected, sizeof expected) == 0;
}

static enum ash_operator
operator_of (const struct ash_api *api, const struct ash_http_request *request)
{
  const struct ash_settings *settings = api->daemon->settings;
  uint8_t hash[ASH_KEY_HASH_BYTES];

  if (!ash_api_hash_bearer (request, hash))
    return ASH_OPERATOR_NONE;
  if (matches (hash, settings->operator_key_hash))
    return ASH_OPERATOR_FULL;
  return matches (hash, settings->reader_key_hash) ? ASH_OPERATOR_READER : ASH_OPERATOR_NONE;
}

bool
ash_operator_check (struct ash_api *api,
                    const struct ash_http_request *request,
                    enum ash_operator required)
{
  enum ash_operator found = operator_of (api, request);

  if (found >= required)
    return true;
  if (found == ASH_OPERATOR_NONE)
    ash_operator_refuse (api, request->number, MHD_HTTP_UNAUTHORIZED, "not_operator",
                         "the operators' key is needed", NULL);
  else
    ash_operator_refuse (api, request->number, MHD_HTTP_FORBIDDEN, "read_only",
                         "this key may only read", NULL);
  return false;
}
