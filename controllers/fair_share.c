#include "controllers/fair_share.h"

#include <math.h>
#include <stddef.h>

/* Half-life of the demand. An account's burst counts against it for a few seconds. */
#define HALF_LIFE_MS 4000.0

/* Requests that are taken, as a fraction of those asked, from which all counts as taken. */
#define ALL_TAKEN 0.98

/* Most of the room that requests beyond an account's share leave to other accounts. Room is freed
 * and taken all the time, so others need less free room than their share. */
#define EXCESS_RESERVE_MAX 0.2

static void
age (struct ash_fair_share *share, struct ash_time now)
{
  double factor = ash_time_decay (share->aged_at, now, HALF_LIFE_MS);

  for (uint32_t i = 0; i < share->count; i++)
    share->accounts[i].asked *= factor;
  share->taken *= factor;
  share->aged_at = now;
}

/* @return the account's demand; that of the account that asks least if the account is new and there
 * is no room for it. */
static struct ash_account_demand *
demand_of (struct ash_fair_share *share, uint64_t account)
{
  struct ash_account_demand *least = NULL;

  for (uint32_t i = 0; i < share->count; i++)
    {
      struct ash_account_demand *demand = &share->accounts[i];

      if (demand->account == account)
        return demand;
      if (!least || demand->asked < least->asked)
        least = demand;
    }
  if (share->count < ASH_FAIR_SHARE_ACCOUNTS_MAX)
    least = &share->accounts[share->count++];
  *least = (struct ash_account_demand){ .account = account };
  return least;
}

static double
total_asked (const struct ash_fair_share *share)
{
  double asked = 0;

  for (uint32_t i = 0; i < share->count; i++)
    asked += share->accounts[i].asked;
  return asked;
}

double
ash_fair_share_limit (const struct ash_fair_share *share)
{
  double left = share->taken;
  double limit = 0;
  uint32_t within = 0; /* accounts that ask for no more than the limit */

  if (share->taken >= ALL_TAKEN * total_asked (share))
    return INFINITY;
  /* Each round raises the limit by what the accounts within it leave to the others. */
  for (uint32_t before = share->count; within != before && within < share->count;)
    {
      before = within;
      limit = left / (share->count - within);
      left = share->taken;
      within = 0;
      for (uint32_t i = 0; i < share->count; i++)
        if (share->accounts[i].asked <= limit)
          {
            left -= share->accounts[i].asked;
            within++;
          }
    }
  return limit;
}

double
ash_fair_share_ask (struct ash_fair_share *share, uint64_t account, struct ash_time now)
{
  struct ash_account_demand *demand;
  double limit;

  age (share, now);
  demand = demand_of (share, account);
  demand->asked += 1;
  limit = ash_fair_share_limit (share);
  if (demand->asked <= limit)
    {
      demand->excess = 0;
      return 0;
    }
  demand->excess += 1 - limit / demand->asked;
  if (demand->excess < 1)
    return 0;
  demand->excess -= 1;
  return fmin (EXCESS_RESERVE_MAX, 1 - demand->asked / total_asked (share));
}

void
ash_fair_share_take (struct ash_fair_share *share, struct ash_time now)
{
  age (share, now);
  share->taken += 1;
}
