/**
 * @file
 * Cold endpoints: for some seconds after its start, or after its hall was evacuated, an endpoint
 * accepts only a few requests per second from all routers together. The rate is split among a few
 * routers, like a rate limit that the endpoint sets (rate_limit.h); the others send it nothing.
 */
#ifndef ASH_COLD_START_H
#define ASH_COLD_START_H

#include "common/clock.h"
#include "controllers/rate_limit.h"

#include <stdbool.h>
#include <stdint.h>

/** The cold state of an endpoint. Zeroed memory: not cold. */
struct ash_cold_start
{
  struct ash_time until;       /**< the endpoint is cold until then */
  struct ash_rate_limit share; /**< this router's share of the rate */
};

/** The requests that all routers together may send to a cold endpoint. */
struct ash_cold_rate
{
  double per_s;   /**< requests per second that the endpoint accepts; 0: it is not limited */
  double overrun; /**< factor by which the requests of one second may exceed per_s */
  double slack;   /**< requests of one second that may be sent in addition */
};

/**
 * Records how long an endpoint stays cold. The newest report counts, also if it is shorter.
 * @param cold_ms remaining time; 0: it is not cold.
 * @return whether the endpoint has become cold, or is no longer.
 */
bool ash_cold_start_report (struct ash_cold_start *cold,
                            struct ash_time now,
                            int64_t cold_ms,
                            const struct ash_cold_rate *rate);

/** @return remaining ms for which the endpoint is cold; 0: it is not. */
int64_t ash_cold_start_left_ms (const struct ash_cold_start *cold, struct ash_time now);

/** @return ms until this router may send the endpoint a request; 0: now. */
int64_t ash_cold_start_wait_ms (const struct ash_cold_start *cold, struct ash_time now);

/** Takes one request off this router's share. */
void ash_cold_start_spend (struct ash_cold_start *cold, struct ash_time now);

/** @return how the rate is split among routers. */
struct ash_rate_split ash_cold_start_split (const struct ash_cold_rate *rate);

/**
 * @param uptime_ms time since this router started.
 * @param reachable number of routers that it has links to, including itself.
 * @param known number of routers that it knows, including itself.
 * @return whether this router may have a share. A router that has just started does not know the
 * others yet, and one that reaches half of them or less may be isolated from a part of the fleet
 * that uses the whole rate.
 */
bool ash_cold_start_may_share (int64_t uptime_ms, uint32_t reachable, uint32_t known);

#endif
