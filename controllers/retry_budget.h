/**
 * @file
 * The retry budget of a service: retries may be a fraction of recent
 * successes, so that a failing service gets no storm of them (as in adaptive
 * client throttling, Google SRE book, chapter 21).
 */
#ifndef ASH_RETRY_BUDGET_H
#define ASH_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** A success earns this many thousandths of a retry. */
#define ASH_RETRY_EARN_MILLI 100

/** A budget starts and is topped at this many thousandths. */
#define ASH_RETRY_CAP_MILLI 10000

/** What one retry costs. */
#define ASH_RETRY_COST_MILLI 1000

struct ash_retry_budget
{
  uint32_t milli;
};

void ash_retry_budget_init (struct ash_retry_budget *budget);

/** A request was answered. */
void ash_retry_budget_earn (struct ash_retry_budget *budget);

/** @return whether one more retry is affordable. */
bool ash_retry_budget_affords (const struct ash_retry_budget *budget);

/** @return whether one more retry is affordable; if so it is paid. */
bool ash_retry_budget_spend (struct ash_retry_budget *budget);

#endif
