/**
 * @file
 * A rate that an endpoint names: the requests a second that it takes from all routers together.
 */
#ifndef ASH_RATE_LIMIT_H
#define ASH_RATE_LIMIT_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** An endpoint's rate. Zeroed memory is a valid start: none is named. */
struct ash_rate_limit
{
  uint32_t milli_per_s;  /**< in thousandths; 0: none */
  struct ash_time heard; /**< when the endpoint last named one, or no longer did */
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
bool ash_rate_limit_heard (struct ash_rate_limit *limit,
                           uint32_t milli_per_s,
                           struct ash_time said,
                           struct ash_time asked);

#endif
