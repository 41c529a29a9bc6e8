/**
 * @file
 * Rate limits set by endpoints: the requests per second that an endpoint accepts from all routers
 * together. A few routers each get a share of the rate; the others send the endpoint nothing. All
 * routers select those that share it by the same function of the set of routers known to them, so a
 * fleet of any size keeps to the rate without coordination, and the shares are large enough to be
 * useful.
 */
#ifndef ASH_RATE_LIMIT_H
#define ASH_RATE_LIMIT_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * An endpoint's rate limit and a token bucket with this router's share of it. All zero: no limit.
 */
struct ash_rate_limit
{
  uint32_t milli_per_s;     /**< limit in thousandths of a request per second; 0: none */
  struct ash_time updated;  /**< time of the newest answer that was evaluated */
  uint64_t routers_digest;  /**< digest of the set of routers that the share was computed for;
                               0: not computed */
  double share_per_s;       /**< this router's share, in requests per second */
  double burst;             /**< bucket size in requests */
  double tokens;            /**< requests in the bucket at the time of refilled */
  struct ash_time refilled; /**< when tokens was last computed */
};

/**
 * Updates the limit from an answer of the endpoint.
 * @param milli_per_s thousandths of a request per second; 0: the answer sets no limit.
 * @param answered when the answer was received.
 * @param sent when its request was sent. An answer without a limit does not lift one that was set
 * after the request was sent.
 * @return whether the limit has changed: set, lifted, or different by more than a tenth.
 */
bool ash_rate_limit_update (struct ash_rate_limit *limit,
                            uint32_t milli_per_s,
                            struct ash_time answered,
                            struct ash_time sent);

/** @return a router's sort key among the routers that may get a share of an endpoint's rate;
 * routers with the lowest keys get a share. Both arguments are hashes of names. */
uint64_t ash_rate_limit_order (uint64_t endpoint, uint64_t router);

/** How a rate is split among routers. */
struct ash_rate_split
{
  double per_s;   /**< rate in requests per second, over all routers */
  double burst;   /**< requests that may be sent at once, over all routers */
  double holders; /**< upper limit of routers that get a share */
};

/** @return how a rate limit that an endpoint has set is split. */
struct ash_rate_split ash_rate_limit_split (const struct ash_rate_limit *limit);

/**
 * Computes this router's share of the rate anew.
 * @param routers_digest digest of the candidate routers, not 0.
 * @param count number of candidates, this router included.
 * @param before number of candidates that are sorted before this router.
 */
void ash_rate_limit_assign (struct ash_rate_limit *limit,
                            struct ash_time now,
                            const struct ash_rate_split *split,
                            uint64_t routers_digest,
                            uint32_t count,
                            uint32_t before);

/** Gives up this router's share. */
void ash_rate_limit_release (struct ash_rate_limit *limit);

/** @return ms until the share allows a request; 0: now; below 0: this router has no share. */
int64_t ash_rate_limit_wait_ms (const struct ash_rate_limit *limit, struct ash_time now);

/** Takes one request off the share. */
void ash_rate_limit_spend (struct ash_rate_limit *limit, struct ash_time now);

#endif
