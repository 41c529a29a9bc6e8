/**
 * @file
 * Limits of accounts without shared state: each published entry of an
 * account's subset enforces its fixed part, so that all together, also on both
 * sides of a cut, stay within the whole.
 */
#ifndef ASH_LIMITS_H
#define ASH_LIMITS_H

#include "common/clock.h"
#include "options/document.h"

#include <uthash.h>

/** What is left here of one account's part, or of one reservation's, in millionths
 * of a request. */
struct ash_limit
{
  char name[ASH_NAME_BYTES];
  int64_t tokens_micro;
  struct ash_time refilled;
  UT_hash_handle hh;
};

struct ash_limits
{
  struct ash_limit *limits;   /**< only of accounts that have called here */
  struct ash_limit *reserved; /**< of reservations that were used here */
};

void ash_limits_init (struct ash_limits *limits);
void ash_limits_finish (struct ash_limits *limits);

/**
 * Takes one request off the account's part.
 * @param parts over how many entries the account is spread.
 * @return 0 if it may go on, else milliseconds until one is left again.
 */
uint32_t ash_limits_take (struct ash_limits *limits,
                          struct ash_time now,
                          const struct ash_account *account,
                          uint32_t parts);

/**
 * Takes one request off a reservation's part: a second's worth may come at once.
 * @return whether there was one.
 */
bool ash_limits_take_reserved (struct ash_limits *limits,
                               struct ash_time now,
                               const struct ash_reservation *reservation,
                               uint32_t parts);

#endif
