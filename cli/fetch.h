/**
 * @file
 * Blocking HTTP for the command line, by libcurl.
 */
#ifndef ASH_CLI_FETCH_H
#define ASH_CLI_FETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/** What is asked. */
struct ash_cli_request
{
  const char *url;
  const char *method;
  const char *key;             /**< bearer key; may be NULL */
  const char *body;            /**< may be NULL */
  const char *idempotency_key; /**< may be NULL */
  unsigned attempt;            /**< 0: not stated */
  unsigned deadline_ms;        /**< 0: not stated */
  bool no_repeat;
  FILE *echo; /**< bytes are written there as they come; may be NULL */
};

/** What came back. */
struct ash_cli_answer
{
  long status; /**< 0: no answer */
  bool whole;
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

/** Asks once. */
void ash_cli_fetch (const struct ash_cli_request *request, struct ash_cli_answer *answer);

void ash_cli_answer_finish (struct ash_cli_answer *answer);

#endif
