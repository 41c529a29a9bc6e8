/**
 * @file
 * Fair shares of a service among client accounts. When callers ask for more than is taken, an
 * account is entitled to as much as any other one (max-min fairness): accounts that ask for less
 * get all, and what they leave is divided among the others. Requests beyond an account's share
 * leave some room free: most free room is lent, and when it runs short the excess is refused first.
 */
#ifndef ASH_FAIR_SHARE_H
#define ASH_FAIR_SHARE_H

#include "common/clock.h"

#include <stdint.h>

/** Number of accounts whose demand is kept. If more of them call, the demand of the one that asks
 * least is dropped, as it is within its share anyway. */
#define ASH_FAIR_SHARE_ACCOUNTS_MAX 64

/** Recent demand of one account. */
struct ash_account_demand
{
  uint64_t account; /**< hash of its name */
  double asked;     /**< requests, the older the less */
  double excess;    /**< fraction of a request that is due to count as excess */
};

/** Recent demand for one service by account. Valid and empty when zeroed. */
struct ash_fair_share
{
  struct ash_account_demand accounts[ASH_FAIR_SHARE_ACCOUNTS_MAX];
  uint32_t count;
  double taken;            /**< requests of all accounts that were sent, the older the less */
  struct ash_time aged_at; /**< when the demand was last aged */
};

/** Counts a request. @return the part of each endpoint's room, 0 to 1, that it leaves to other
 * accounts; 0 if it is within its account's share. */
double ash_fair_share_ask (struct ash_fair_share *share, uint64_t account, struct ash_time now);

/** Counts a request that is sent to an endpoint for the first time. */
void ash_fair_share_take (struct ash_fair_share *share, struct ash_time now);

/** @return the share of an account in requests, counted like ash_account_demand.asked; INFINITY:
 * all that is asked is taken. */
double ash_fair_share_limit (const struct ash_fair_share *share);

#endif
