/**
 * @file
 * Sending a request the way a careful caller does: ask for addresses, go to
 * one, and come again elsewhere only when that can't run it twice.
 */
#ifndef ASH_CLI_SEND_H
#define ASH_CLI_SEND_H

#include "cli/fetch.h"

/** How often a request is submitted at most. */
#define ASH_CLI_ATTEMPTS_MAX 4

/** What to send, and where to ask for addresses. */
struct ash_cli_send
{
  const char *entry; /**< URL of any entry */
  const char *account;
  const char *service;
  const char *path;
  struct ash_cli_request request; /**< its url is filled in here */
};

/** Sends it. @return how many submissions that took; the answer is the last's. */
unsigned ash_cli_send (const struct ash_cli_send *send, struct ash_cli_answer *answer);

#endif
