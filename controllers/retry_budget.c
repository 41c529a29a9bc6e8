#include "controllers/retry_budget.h"

void
ash_retry_budget_init (struct ash_retry_budget *budget)
{
  budget->milli = ASH_RETRY_CAP_MILLI;
}

void
ash_retry_budget_earn (struct ash_retry_budget *budget)
{
  budget->milli += ASH_RETRY_EARN_MILLI;
  if (budget->milli > ASH_RETRY_CAP_MILLI)
    budget->milli = ASH_RETRY_CAP_MILLI;
}

bool
ash_retry_budget_affords (const struct ash_retry_budget *budget)
{
  return budget->milli >= ASH_RETRY_COST_MILLI;
}

bool
ash_retry_budget_spend (struct ash_retry_budget *budget)
{
  if (!ash_retry_budget_affords (budget))
    return false;
  budget->milli -= ASH_RETRY_COST_MILLI;
  return true;
}
