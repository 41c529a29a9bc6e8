#include "cli/send.h"

#include "net/url.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ADDRESSES_MAX 16
#define URL_BYTES 2304
#define MS_PER_S 1000
#define NS_PER_MS 1000000

struct addresses
{
  char urls[ADDRESSES_MAX][128];
  unsigned count;
};

bool
ash_cli_append_name (char *target, size_t target_bytes, const char *part, const char *name)
{
  size_t used = strlen (target);
  int length = snprintf (target + used, target_bytes - used, "%s", part);

  if (length < 0 || (size_t) length >= target_bytes - used)
    return false;
  used += (size_t) length;
  return ash_url_escape (target + used, target_bytes - used, name);
}

static void
query_addresses (const struct ash_cli_send *send, struct addresses *addresses)
{
  char url[URL_BYTES];
  struct ash_cli_request request = { .url = url, .method = "GET", .key = send->request.key };
  struct ash_cli_answer answer = { 0 };
  json_t *root;
  json_t *row;
  size_t i;

  snprintf (url, sizeof url, "%s", send->entry);
  if (ash_cli_append_name (url, sizeof url, "/v1/addresses?account=", send->account) &&
      ash_cli_append_name (url, sizeof url, "&service=", send->service))
    ash_cli_fetch (&request, &answer);
  root = json_loadb (answer.body ? answer.body : "", answer.body_bytes, 0, NULL);
  addresses->count = 0;
  json_array_foreach (json_object_get (root, "addresses"), i, row)
    {
      const char *address = json_string_value (json_object_get (row, "address"));

      if (address && addresses->count < ADDRESSES_MAX)
        snprintf (addresses->urls[addresses->count++], sizeof addresses->urls[0], "http://%s",
                  address);
    }
  /* Without an answer, use the entry that was given. */
  if (addresses->count == 0)
    snprintf (addresses->urls[addresses->count++], sizeof addresses->urls[0], "%s", send->entry);
  json_decref (root);
  ash_cli_answer_finish (&answer);
}

/* With an idempotency key, submitting a request again is always safe. Without a key only a request
 * that certainly did not run may be submitted again. */
static bool
may_retry (const struct ash_cli_send *send, const struct ash_cli_answer *answer)
{
  if (answer->status && strcmp (answer->outcome, "ran") == 0)
    return false;
  if (answer->status == 400 || answer->status == 401 || answer->status == 404)
    return false;
  if (!answer->connected)
    return true;
  if (answer->status && strcmp (answer->outcome, "not-run") == 0)
    return true;
  return send->request.idempotency_key != NULL;
}

static void
sleep_ms (long wait_ms)
{
  struct timespec ts = { wait_ms / MS_PER_S, wait_ms % MS_PER_S * NS_PER_MS };

  nanosleep (&ts, NULL);
}

unsigned
ash_cli_send (const struct ash_cli_send *send, struct ash_cli_answer *answer)
{
  struct ash_cli_request request = send->request;
  struct addresses addresses;
  char url[URL_BYTES];
  unsigned sent = 0;

  query_addresses (send, &addresses);
  request.url = url;
  for (unsigned i = 0; i < ASH_CLI_ATTEMPTS_MAX; i++)
    {
      snprintf (url, sizeof url, "%s%s", addresses.urls[i % addresses.count], send->path);
      if (request.idempotency_key)
        request.attempt = sent + 1;
      ash_cli_fetch (&request, answer);
      /* A request that could not be sent does not count as a submission. */
      sent += answer->connected;
      if (i + 1 == ASH_CLI_ATTEMPTS_MAX || !may_retry (send, answer))
        break;
      sleep_ms (answer->retry_ms);
      ash_cli_answer_finish (answer);
      if (strstr (answer->outcome, "not-run"))
        query_addresses (send, &addresses);
    }
  return sent;
}
