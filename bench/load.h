/**
 * @file
 * Open-loop load generator: requests are sent at a fixed rate, whether or not earlier
 * requests have completed, so that slow answers do not reduce the load.
 */
#ifndef ASH_BENCH_LOAD_H
#define ASH_BENCH_LOAD_H

#include <stdint.h>

/** Parameters and results of a load run. */
struct load
{
  const char *url;
  const char *key;  /**< bearer key; may be NULL */
  const char *body; /**< sent with POST; NULL: GET without a body */
  uint32_t rate_per_s;
  uint32_t count;
  int64_t *took_us; /**< durations of the requests with status 200; sorted by load_run() */
  uint32_t ok;
  uint32_t failed;
};

/** Sends all requests and waits for them. Release the results with load_finish(). */
void load_run (struct load *load);

void load_finish (struct load *load);

/** @return the percentile of the durations at @p share (0 to 1); 0 if no request succeeded. */
int64_t load_percentile_us (const struct load *load, double share);

#endif
