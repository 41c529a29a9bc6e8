/**
 * @file
 * What the benches make of many values.
 */
#ifndef ASH_BENCH_STATS_H
#define ASH_BENCH_STATS_H

#include <stdint.h>

/** Sorts the values. @return the one below which that share of them lies; 0 of none. */
double stats_percentile (double *values, uint32_t count, double share);

/** @return the mean; 0 of none. */
double stats_mean (const double *values, uint32_t count);

#endif
