/**
 * @file
 * Sends a request as a correct client does: queries the addresses for the account, sends the
 * request to one of them, and retries at another only if the request can't run twice.
 */
#ifndef ASH_CLI_SEND_H
#define ASH_CLI_SEND_H

#include "cli/fetch.h"

/** Maximum number of submissions of one request. */
#define ASH_CLI_ATTEMPTS_MAX 4

/** A request, and the entry to query for addresses. */
struct ash_cli_send
{
  const char *entry; /**< URL of the entry to query for addresses */
  const char *account;
  const char *service;
  const char *path;
  struct ash_cli_request
      request; /**< ash_cli_send() sets the url and, if there is a key, the attempt */
};

/**
 * Appends a literal part and a name to a request target. The name is any text: it is escaped.
 * @return false if it does not fit.
 */
bool ash_cli_append_name (char *target, size_t target_bytes, const char *part, const char *name);

/** Sends a request, with retries. @param answer answer to the last submission.
 * @return the number of submissions. */
unsigned ash_cli_send (const struct ash_cli_send *send, struct ash_cli_answer *answer);

#endif
