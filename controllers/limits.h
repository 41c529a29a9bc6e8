/**
 * @file
 * Rate limits of accounts without shared state: each published entry of an account's subset
 * enforces a fixed share of the limit, so that all entries together stay within the limit, also
 * during a network partition.
 */
#ifndef ASH_LIMITS_H
#define ASH_LIMITS_H

#include "common/clock.h"
#include "options/document.h"

#include <uthash.h>

/** Token bucket with this entry's share of an account's limit, or of a reservation. */
struct ash_limit
{
  char name[ASH_NAME_BYTES];
  int64_t tokens_micro;     /**< available requests, in millionths */
  struct ash_time refilled; /**< when tokens_micro was last computed */
  UT_hash_handle hh;
};

/** All buckets of this entry. */
struct ash_limits
{
  struct ash_limit *limits;   /**< by account; only those that have sent requests here */
  struct ash_limit *reserved; /**< by reservation; only those that were used here */
};

void ash_limits_init (struct ash_limits *limits);
void ash_limits_finish (struct ash_limits *limits);

/**
 * Takes one request off the account's share.
 * @param parts number of entries that share the limit.
 * @return 0 if the request is allowed, else ms until one is.
 */
uint32_t ash_limits_spend (struct ash_limits *limits,
                           struct ash_time now,
                           const struct ash_account *account,
                           uint32_t parts);

/**
 * Takes one request off the share of a reservation, whose burst is one second's worth of its rate.
 * @param parts number of entries that share the reservation.
 * @return whether the reservation covers the request.
 */
bool ash_limits_spend_reserved (struct ash_limits *limits,
                                struct ash_time now,
                                const struct ash_reservation *reservation,
                                uint32_t parts);

#endif
