/**
 * @file
 * An open-loop load: requests leave at their times whatever came of those
 * before, so that a slow answer does not slow the load down.
 */
#ifndef ASH_BENCH_LOAD_H
#define ASH_BENCH_LOAD_H

#include <stdint.h>

/** A load and what came of it. */
struct load
{
  const char *url;
  const char *key;  /**< bearer key; may be NULL */
  const char *body; /**< POST; NULL: GET */
  uint32_t rate_per_s;
  uint32_t count;
  int64_t *took_us; /**< of each request that got status 200; sorted at the end */
  uint32_t ok;
  uint32_t failed;
};

/** Runs it. */
void load_run (struct load *load);

void load_finish (struct load *load);

/** @return the duration below which that share of the requests took. */
int64_t load_percentile_us (const struct load *load, double share);

#endif
