/**
 * @file
 * A rate that an endpoint names: the requests a second that it takes from all routers together. A
 * few routers hold a part of it each, chosen by all in the same way from those that they see; the
 * others send the endpoint nothing. So a fleet of any size keeps to the rate without asking
 * anybody, and parts are large enough to be of use.
 */
#ifndef ASH_RATE_LIMIT_H
#define ASH_RATE_LIMIT_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** An endpoint's rate and this router's part of it. Zeroed memory is a valid start: none is named.
 */
struct ash_rate_limit
{
  uint32_t milli_per_s;    /**< in thousandths; 0: none */
  struct ash_time updated; /**< when the endpoint last named one, or no longer did */
  uint64_t
      routers_digest; /**< a digest of the routers among which the part was dealt; 0: it was not */
  double share_per_s;
  double burst;             /**< requests of the part that may go at once */
  double tokens;            /**< of these, as of the next */
  struct ash_time refilled; /**< when it was worked out */
};

/**
 * The endpoint names a rate in an answer, or none.
 * @param milli_per_s 0: none.
 * @param said when the answer came.
 * @param asked when its request was sent: an answer to one that was sent before a rate was named
 * does not take that back.
 * @return whether that is new: a rate where there was none, none where there was one, or one that
 * differs by more than a tenth.
 */
bool ash_rate_limit_update (struct ash_rate_limit *limit,
                            uint32_t milli_per_s,
                            struct ash_time said,
                            struct ash_time asked);

/** @return where a router stands among those that may hold a part of an endpoint's rate: the lowest
 * are the first to hold one. Both are named by hashes. */
uint64_t ash_rate_limit_order (uint64_t endpoint, uint64_t router);

/**
 * Deals the rate out anew.
 * @param routers_digest digest of the routers that are dealt to, any number but 0.
 * @param count how many they are.
 * @param before how many of them come before this one.
 */
void ash_rate_limit_assign (struct ash_rate_limit *limit,
                            struct ash_time now,
                            uint64_t routers_digest,
                            uint32_t count,
                            uint32_t before);

/** This router gets no part any more. */
void ash_rate_limit_release (struct ash_rate_limit *limit);

/** @return in how many ms the endpoint may get a request; 0: now; below 0: it may not. */
int64_t ash_rate_limit_wait_ms (const struct ash_rate_limit *limit, struct ash_time now);

/** A request leaves for the endpoint. */
void ash_rate_limit_spend (struct ash_rate_limit *limit, struct ash_time now);

#endif
