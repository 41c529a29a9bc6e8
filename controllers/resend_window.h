/**
 * @file
 * How many requests of a service may be sent a second time. The bound holds for
 * the whole fleet in any window; each entry keeps to its own part of it, so that
 * the sum holds without a word between them.
 */
#ifndef ASH_RESEND_WINDOW_H
#define ASH_RESEND_WINDOW_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** Steps that a window is counted in. */
#define ASH_RESEND_BUCKETS 12

/** What the bound is made of. */
struct ash_resend_bound
{
  uint32_t window_ms;
  double ratio; /**< of the requests in a window */
  double slack; /**< more, for the whole fleet */
};

/** One service's count at this entry. */
struct ash_resend_window
{
  int64_t step; /**< number of the newest step */
  uint32_t requests[ASH_RESEND_BUCKETS];
  uint32_t resends[ASH_RESEND_BUCKETS];
};

/** A request came in. */
void ash_resend_window_request (struct ash_resend_window *window,
                                const struct ash_resend_bound *bound,
                                struct ash_time now);

/**
 * @param entries that share the bound.
 * @return whether one more may be sent again; if so it is counted.
 */
bool ash_resend_window_spend (struct ash_resend_window *window,
                              const struct ash_resend_bound *bound,
                              uint32_t entries,
                              struct ash_time now);

#endif
