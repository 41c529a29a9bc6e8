/**
 * @file
 * Reads an answer from the bytes that libcurl receives, with the strict parser of this project:
 * libcurl itself accepts much that is no answer, and takes one that is cut within its head for a
 * complete one without a body.
 */
#ifndef ASH_CURL_ANSWER_H
#define ASH_CURL_ANSWER_H

#include "net/http_message.h"

#include <curl/curl.h>

/** An answer that is being received. */
struct ash_curl_answer
{
  struct ash_http_reader reader;
  const struct ash_http_handler *handler;
  void *data;
  bool no_body;         /**< the request is a HEAD request */
  size_t skipped_bytes; /**< size of the interim answers */
};

/** @param handler called for the final answer, not for interim ones. */
void ash_curl_answer_init (struct ash_curl_answer *answer,
                           bool no_body,
                           const struct ash_http_handler *handler,
                           void *data);

void ash_curl_answer_finish (struct ash_curl_answer *answer);

/** Makes libcurl pass on the bytes of heads and bodies as they come to @p on_bytes, with @p data.
 */
void ash_curl_answer_set_options (CURL *easy, curl_write_callback on_bytes, void *data);

/** Reads bytes as they came; what follows the answer's end is ignored.
 * @return false if they are no answer, or if too many interim answers have come. */
bool ash_curl_answer_read (struct ash_curl_answer *answer, const char *bytes, size_t length);

/** @return whether the answer is complete, at the end of a transfer that libcurl counts as such. */
bool ash_curl_answer_is_complete (struct ash_curl_answer *answer);

#endif
