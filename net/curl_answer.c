#include "net/curl_answer.h"

#include "net/http_grammar.h"

static bool
is_interim (const struct ash_curl_answer *answer)
{
  return answer->reader.head.status < ASH_HTTP_STATUS_FINAL;
}

static void
on_head (void *data, const struct ash_http_head *head)
{
  struct ash_curl_answer *answer = data;

  if (!is_interim (answer))
    answer->handler->head (answer->data, head);
}

static void
on_body (void *data, const uint8_t *bytes, size_t length)
{
  struct ash_curl_answer *answer = data;

  answer->handler->body (answer->data, bytes, length);
}

static const struct ash_http_handler reader_handler = { on_head, on_body };

void
ash_curl_answer_init (struct ash_curl_answer *answer,
                      bool no_body,
                      const struct ash_http_handler *handler,
                      void *data)
{
  *answer = (struct ash_curl_answer){ .handler = handler, .data = data, .no_body = no_body };
  ash_http_reader_init (&answer->reader, ASH_HTTP_RESPONSE, &reader_handler, answer);
  answer->reader.no_body = no_body;
}

void
ash_curl_answer_finish (struct ash_curl_answer *answer)
{
  ash_http_reader_finish (&answer->reader);
}

void
ash_curl_answer_set_options (CURL *easy, curl_write_callback on_bytes, void *data)
{
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_bytes);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, data);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_bytes);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, data);
  /* Chunks are passed on as they are: the reader decodes them. */
  curl_easy_setopt (easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
}

bool
ash_curl_answer_read (struct ash_curl_answer *answer, const char *bytes, size_t length)
{
  struct ash_http_reader *reader = &answer->reader;
  size_t at = 0;

  while (at < length && !reader->done && !reader->error)
    {
      at += ash_http_reader_feed (reader, (const uint8_t *) bytes + at, length - at);
      if (!reader->done || !is_interim (answer))
        continue;
      answer->skipped_bytes += reader->head_bytes;
      ash_http_reader_next (reader);
      reader->no_body = answer->no_body;
    }
  return !reader->error && answer->skipped_bytes <= ASH_HTTP_SKIPPED_MAX_BYTES;
}

bool
ash_curl_answer_is_complete (struct ash_curl_answer *answer)
{
  return !answer->reader.error && (answer->reader.done || ash_http_reader_eof (&answer->reader));
}
