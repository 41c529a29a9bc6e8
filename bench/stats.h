/**
 * @file
 * Statistics of measured values.
 */
#ifndef ASH_BENCH_STATS_H
#define ASH_BENCH_STATS_H

#include <stdint.h>

/** Sorts @p values in place. @return their percentile at @p share (0 to 1); 0 if @p count is 0. */
double stats_percentile (double *values, uint32_t count, double share);

/** @return the mean; 0 if @p count is 0. */
double stats_mean (const double *values, uint32_t count);

#endif
