/**
 * @file
 * Counters and histograms of this process, printed in the usual text format.
 *
 * Series are found by name and labels; a fixed bound on their number keeps a
 * caller who invents names from growing the process.
 */
#ifndef ASH_METRICS_H
#define ASH_METRICS_H

#include <stdint.h>
#include <stdio.h>

#define ASH_METRICS_SERIES_MAX 2048
#define ASH_METRICS_BUCKETS 14

struct ash_series;

/** All series of a process. */
struct ash_metrics
{
  struct ash_series *series;
  uint32_t count;
};

void ash_metrics_init (struct ash_metrics *metrics);
void ash_metrics_finish (struct ash_metrics *metrics);

/** Adds to a counter. @param labels as `a="b",c="d"`, or empty. */
void ash_metrics_add (struct ash_metrics *metrics,
                      const char *name,
                      const char *labels,
                      uint64_t amount);

/** Sets a gauge. */
void
ash_metrics_set (struct ash_metrics *metrics, const char *name, const char *labels, uint64_t value);

/** Counts a duration in a histogram whose buckets double from 1 ms. */
void ash_metrics_observe (struct ash_metrics *metrics,
                          const char *name,
                          const char *labels,
                          uint64_t value_ms);

/** Prints all series. */
void ash_metrics_print (struct ash_metrics *metrics, FILE *out);

#endif
