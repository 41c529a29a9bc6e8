/**
 * @file
 * The retry budget of a service: retries are limited to a fraction of recent successes, so that a
 * failing service does not get a retry storm (as in adaptive client throttling, Google SRE book,
 * chapter 21).
 */
#ifndef ASH_RETRY_BUDGET_H
#define ASH_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** Earned by one success, in thousandths of a retry. */
#define ASH_RETRY_EARN_MILLI 100

/** Initial and maximum budget, in thousandths of a retry. */
#define ASH_RETRY_CAP_MILLI 10000

/** Cost of one retry, in thousandths of a retry. */
#define ASH_RETRY_COST_MILLI 1000

struct ash_retry_budget
{
  uint32_t milli; /**< available, in thousandths of a retry */
};

void ash_retry_budget_init (struct ash_retry_budget *budget);

/** Credits a request that was answered. */
void ash_retry_budget_earn (struct ash_retry_budget *budget);

/** @return whether the budget allows one more retry. */
bool ash_retry_budget_affords (const struct ash_retry_budget *budget);

/** Charges one retry if the budget allows it. @return whether it does. */
bool ash_retry_budget_spend (struct ash_retry_budget *budget);

#endif
