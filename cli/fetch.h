/**
 * @file
 * Blocking HTTP requests for command-line tools and tests, with libcurl.
 */
#ifndef ASH_CLI_FETCH_H
#define ASH_CLI_FETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/** An HTTP request. The strings are owned by the caller. */
struct ash_cli_request
{
  const char *url;
  const char *method;
  const char *key;             /**< bearer key; may be NULL */
  const char *body;            /**< may be NULL */
  const char *idempotency_key; /**< may be NULL */
  unsigned attempt;            /**< number of the submission, from 1; 0: no Ash-Attempt header */
  unsigned deadline_ms;        /**< 0: no Ash-Deadline-Ms header */
  bool no_repeat;
  FILE *echo; /**< file to which the body is also written while it is received; may be NULL */
};

/** The answer to a request, to be freed with ash_cli_answer_finish(). */
struct ash_cli_answer
{
  long status; /**< HTTP status; 0: no answer */
  bool whole;  /**< the answer was received to its end */
  bool connected;
  char outcome[16];
  char endpoint[64];
  char entry[64];
  char request_id[64];
  long wait_ms;
  long retry_ms;
  char *body;
  size_t body_bytes;
  char error[256];
};

/** Sends a request once, without retries; blocks until it has ended. */
void ash_cli_fetch (const struct ash_cli_request *request, struct ash_cli_answer *answer);

void ash_cli_answer_finish (struct ash_cli_answer *answer);

#endif
