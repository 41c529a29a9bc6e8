/**
 * @file
 * Limits how many requests of a service may be resent to another endpoint. The bound holds for the
 * whole fleet in any window of time. Each router keeps to its own share of it, so that the total
 * holds without coordination.
 */
#ifndef ASH_RESEND_WINDOW_H
#define ASH_RESEND_WINDOW_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** Number of buckets that counts are kept in. */
#define ASH_RESEND_BUCKETS 12

/** The bound for the whole fleet: in any window, ratio * requests + slack. */
struct ash_resend_bound
{
  uint32_t window_ms;
  double ratio; /**< resends per request */
  double slack; /**< resends allowed in addition, fleet-wide */
};

/** Counts of one service at this router, in a ring of time buckets. */
struct ash_resend_window
{
  int64_t bucket; /**< number of the newest bucket, counted from time 0 */
  uint32_t requests[ASH_RESEND_BUCKETS];
  uint32_t resends[ASH_RESEND_BUCKETS];
};

/** Counts a new request. */
void ash_resend_window_request (struct ash_resend_window *window,
                                const struct ash_resend_bound *bound,
                                struct ash_time now);

/**
 * Counts a resend if it is allowed.
 * @param routers number of routers that share the bound.
 * @return whether the resend is allowed.
 */
bool ash_resend_window_spend (struct ash_resend_window *window,
                              const struct ash_resend_bound *bound,
                              uint32_t routers,
                              struct ash_time now);

#endif
