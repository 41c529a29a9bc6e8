#include "cli/fetch.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000L

/* How long after the deadline of the request the tool stops waiting; the entry should have answered
 * by the deadline. */
#define TIMEOUT_MARGIN_MS 5000L
#define DEADLINE_DEFAULT_MS 30000L

struct transfer
{
  const struct ash_cli_request *request;
  struct ash_cli_answer *answer;
};

static size_t
on_body (char *bytes, size_t size, size_t count, void *data)
{
  struct transfer *transfer = data;
  struct ash_cli_answer *answer = transfer->answer;
  size_t length = size * count;
  char *grown = realloc (answer->body, answer->body_bytes + length + 1);

  if (!grown)
    return 0;
  answer->body = grown;
  memcpy (answer->body + answer->body_bytes, bytes, length);
  answer->body_bytes += length;
  answer->body[answer->body_bytes] = '\0';
  if (transfer->request->echo)
    {
      fwrite (bytes, 1, length, transfer->request->echo);
      fflush (transfer->request->echo);
    }
  return length;
}

static bool
header_value (const char *line, const char *name, char *value, size_t value_bytes)
{
  size_t name_length = strlen (name);

  if (strncasecmp (line, name, name_length) != 0 || line[name_length] != ':')
    return false;
  line += name_length + 1;
  line += strspn (line, " ");
  snprintf (value, value_bytes, "%.*s", (int) strcspn (line, "\r\n"), line);
  return true;
}

static size_t
on_header (char *line, size_t size, size_t count, void *data)
{
  struct ash_cli_answer *answer = ((struct transfer *) data)->answer;
  size_t length = size * count;
  char text[512];
  char number[32];

  snprintf (text, sizeof text, "%.*s", (int) length, line);
  header_value (text, "Ash-Outcome", answer->outcome, sizeof answer->outcome);
  header_value (text, "Ash-Endpoint", answer->endpoint, sizeof answer->endpoint);
  header_value (text, "Ash-Entry", answer->entry, sizeof answer->entry);
  header_value (text, "Ash-Request-Id", answer->request_id, sizeof answer->request_id);
  if (header_value (text, "Ash-Wait-Ms", number, sizeof number))
    answer->wait_ms = atol (number);
  if (header_value (text, "Ash-Retry-After-Ms", number, sizeof number))
    answer->retry_ms = atol (number);
  return length;
}

/* Adds a header field unless @p value is NULL. @return the new list. */
static struct curl_slist *
add_header (struct curl_slist *headers, const char *name, const char *value)
{
  char line[512];

  if (!value)
    return headers;
  snprintf (line, sizeof line, "%s: %s", name, value);
  return curl_slist_append (headers, line);
}

static struct curl_slist *
add_number (struct curl_slist *headers, const char *name, unsigned number)
{
  char text[16];

  snprintf (text, sizeof text, "%u", number);
  return add_header (headers, name, number ? text : NULL);
}

static struct curl_slist *
make_headers (const struct ash_cli_request *request)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  char bearer[300];

  snprintf (bearer, sizeof bearer, "Bearer %s", request->key ? request->key : "");
  headers = add_header (headers, "Content-Type", request->body ? "application/json" : NULL);
  headers = add_header (headers, "Authorization", request->key ? bearer : NULL);
  headers = add_header (headers, "Idempotency-Key", request->idempotency_key);
  headers = add_number (headers, "Ash-Attempt", request->attempt);
  headers = add_number (headers, "Ash-Deadline-Ms", request->deadline_ms);
  return add_header (headers, "Ash-No-Repeat", request->no_repeat ? "1" : NULL);
}

void
ash_cli_fetch (const struct ash_cli_request *request, struct ash_cli_answer *answer)
{
  struct transfer transfer = { request, answer };
  struct curl_slist *headers = make_headers (request);
  CURL *easy = curl_easy_init ();
  long timeout_ms = (request->deadline_ms ? (long) request->deadline_ms : DEADLINE_DEFAULT_MS) +
                    TIMEOUT_MARGIN_MS;
  curl_off_t connect_us = 0;
  CURLcode code;

  *answer = (struct ash_cli_answer){ 0 };
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  if (request->body)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
  else if (strcmp (request->method, "POST") == 0)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "");
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &answer->status);
  curl_easy_getinfo (easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  answer->connected = connect_us > 0;
  answer->whole = code == CURLE_OK;
  if (code != CURLE_OK)
    snprintf (answer->error, sizeof answer->error, "%s", curl_easy_strerror (code));
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
}

void
ash_cli_answer_finish (struct ash_cli_answer *answer)
{
  free (answer->body);
  answer->body = NULL;
}
