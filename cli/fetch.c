#include "cli/fetch.h"

#include "cli/print.h"
#include "net/curl_answer.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CONNECT_TIMEOUT_MS 1000L

/* How long after the deadline of the request the tool stops waiting; the entry should have answered
 * by the deadline. */
#define TIMEOUT_MARGIN_MS 5000L
#define DEADLINE_DEFAULT_MS 30000L

struct transfer
{
  const struct ash_cli_request *request;
  struct ash_curl_answer reader;
  struct ash_cli_answer *answer;
};

static void
copy_field (const struct ash_http_head *head, const char *name, char *value, size_t value_bytes)
{
  const char *text = ash_http_field (head, name);

  snprintf (value, value_bytes, "%s", text ? text : "");
}

static long
number_field (const struct ash_http_head *head, const char *name)
{
  const char *text = ash_http_field (head, name);

  return text ? atol (text) : 0;
}

static void
on_head (void *data, const struct ash_http_head *head)
{
  struct ash_cli_answer *answer = ((struct transfer *) data)->answer;

  answer->status = head->status;
  copy_field (head, "Ash-Outcome", answer->outcome, sizeof answer->outcome);
  copy_field (head, "Ash-Endpoint", answer->endpoint, sizeof answer->endpoint);
  copy_field (head, "Ash-Entry", answer->entry, sizeof answer->entry);
  copy_field (head, "Ash-Request-Id", answer->request_id, sizeof answer->request_id);
  answer->wait_ms = number_field (head, "Ash-Wait-Ms");
  answer->retry_ms = number_field (head, "Ash-Retry-After-Ms");
}

static void
on_body (void *data, const uint8_t *bytes, size_t length)
{
  struct transfer *transfer = data;
  struct ash_cli_answer *answer = transfer->answer;
  char *grown = realloc (answer->body, answer->body_bytes + length + 1);

  if (!grown)
    {
      transfer->reader.reader.error = ASH_HTTP_BODY_TOO_LARGE;
      return;
    }
  answer->body = grown;
  memcpy (answer->body + answer->body_bytes, bytes, length);
  answer->body_bytes += length;
  answer->body[answer->body_bytes] = '\0';
  if (transfer->request->echo)
    {
      ash_cli_print (transfer->request->echo, isatty (fileno (transfer->request->echo)),
                     (const char *) bytes, length);
      fflush (transfer->request->echo);
    }
}

static const struct ash_http_handler answer_handler = { on_head, on_body };

static size_t
on_bytes (char *bytes, size_t size, size_t count, void *data)
{
  struct transfer *transfer = data;

  return ash_curl_answer_read (&transfer->reader, bytes, size * count) ? size * count : 0;
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

/* @return why the answer is not whole; NULL: it is. */
static const char *
describe_failure (struct transfer *transfer, CURLcode code)
{
  if (transfer->reader.reader.error)
    return "the answer is not valid HTTP, or too large";
  if (code != CURLE_OK)
    return curl_easy_strerror (code);
  if (!ash_curl_answer_is_complete (&transfer->reader))
    return "the connection ended before the answer was complete";
  return NULL;
}

void
ash_cli_fetch (const struct ash_cli_request *request, struct ash_cli_answer *answer)
{
  struct transfer transfer = { .request = request, .answer = answer };
  struct curl_slist *headers = make_headers (request);
  CURL *easy = curl_easy_init ();
  long timeout_ms = (request->deadline_ms ? (long) request->deadline_ms : DEADLINE_DEFAULT_MS) +
                    TIMEOUT_MARGIN_MS;
  curl_off_t connect_us = 0;
  const char *failure;

  *answer = (struct ash_cli_answer){ 0 };
  ash_curl_answer_init (&transfer.reader, false, &answer_handler, &transfer);
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  ash_curl_answer_set_options (easy, on_bytes, &transfer);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  if (request->body)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
  else if (strcmp (request->method, "POST") == 0)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "");
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  failure = describe_failure (&transfer, curl_easy_perform (easy));
  curl_easy_getinfo (easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  answer->connected = connect_us > 0;
  answer->whole = !failure;
  if (failure)
    snprintf (answer->error, sizeof answer->error, "%s", failure);
  curl_easy_cleanup (easy);
  ash_curl_answer_finish (&transfer.reader);
  curl_slist_free_all (headers);
}

void
ash_cli_answer_finish (struct ash_cli_answer *answer)
{
  free (answer->body);
  answer->body = NULL;
}
