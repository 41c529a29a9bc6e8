/**
 * @file
 * Counters, gauges and histograms of this process, printed in the Prometheus text format.
 *
 * A series is identified by its name and labels. At most ASH_METRICS_SERIES_MAX series are kept;
 * values for further ones are dropped, so that the memory of the process stays bounded however many
 * names callers send, since names become labels.
 */
#ifndef ASH_METRICS_H
#define ASH_METRICS_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define ASH_METRICS_SERIES_MAX 2048
#define ASH_METRICS_BUCKETS 14

/** Size of a text of labels: two names of the greatest length, and two words. */
#define ASH_METRICS_LABELS_BYTES 224

struct ash_series;

/** All metric series of a process. */
struct ash_metrics
{
  struct ash_series *series;
  uint32_t count;
};

void ash_metrics_init (struct ash_metrics *metrics);
void ash_metrics_finish (struct ash_metrics *metrics);

/** Formats labels as `a="b",c="d"`. Texts are inserted with `%s`, which escapes them
 * (common/escape.h). */
void ash_metrics_labels (char *out, size_t out_bytes, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Adds to a counter. @param labels from ash_metrics_labels(), or empty. */
void ash_metrics_add (struct ash_metrics *metrics,
                      const char *name,
                      const char *labels,
                      uint64_t amount);

void
ash_metrics_set (struct ash_metrics *metrics, const char *name, const char *labels, uint64_t value);

/** Adds a duration to a histogram; upper bounds of its buckets are 1 ms, 2 ms, 4 ms and so on. */
void ash_metrics_observe (struct ash_metrics *metrics,
                          const char *name,
                          const char *labels,
                          uint64_t value_ms);

/** Prints all series, sorted by name and labels. */
void ash_metrics_print (struct ash_metrics *metrics, FILE *out);

#endif
