#include "common/metrics.h"

#include "common/escape.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define KEY_BYTES 256

enum series_kind
{
  COUNTER,
  GAUGE,
  HISTOGRAM,
};

struct ash_series
{
  char key[KEY_BYTES]; /* metric name, `{` and labels, without the closing brace */
  enum series_kind kind;
  uint64_t value; /* sum of the values if the series is a histogram */
  uint64_t count;
  uint64_t buckets[ASH_METRICS_BUCKETS];
  UT_hash_handle hh;
};

void
ash_metrics_init (struct ash_metrics *metrics)
{
  *metrics = (struct ash_metrics){ 0 };
}

void
ash_metrics_finish (struct ash_metrics *metrics)
{
  struct ash_series *series;
  struct ash_series *next;

  HASH_ITER (hh, metrics->series, series, next)
    {
      HASH_DEL (metrics->series, series);
      free (series);
    }
}

static struct ash_series *
find_series (struct ash_metrics *metrics,
             const char *name,
             const char *labels,
             enum series_kind kind)
{
  struct ash_series *series;
  char key[KEY_BYTES];

  snprintf (key, sizeof key, "%s{%s", name, labels);
  HASH_FIND_STR (metrics->series, key, series);
  if (series || metrics->count >= ASH_METRICS_SERIES_MAX)
    return series;
  series = calloc (1, sizeof *series);
  if (!series)
    return NULL;
  memcpy (series->key, key, sizeof key);
  series->kind = kind;
  HASH_ADD_STR (metrics->series, key, series);
  metrics->count++;
  return series;
}

void
ash_metrics_labels (char *out, size_t out_bytes, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  ash_escape_vformat (out, out_bytes, ASH_ESCAPE_LABEL, format, args);
  va_end (args);
}

void
ash_metrics_add (struct ash_metrics *metrics, const char *name, const char *labels, uint64_t amount)
{
  struct ash_series *series = find_series (metrics, name, labels, COUNTER);

  if (series)
    series->value += amount;
}

void
ash_metrics_set (struct ash_metrics *metrics, const char *name, const char *labels, uint64_t value)
{
  struct ash_series *series = find_series (metrics, name, labels, GAUGE);

  if (series)
    series->value = value;
}

void
ash_metrics_observe (struct ash_metrics *metrics,
                     const char *name,
                     const char *labels,
                     uint64_t value_ms)
{
  struct ash_series *series = find_series (metrics, name, labels, HISTOGRAM);
  uint32_t bucket = 0;

  if (!series)
    return;
  series->value += value_ms;
  series->count++;
  while (bucket < ASH_METRICS_BUCKETS && value_ms > (UINT64_C (1) << bucket))
    bucket++;
  if (bucket < ASH_METRICS_BUCKETS)
    series->buckets[bucket]++;
}

static void
print_histogram (const struct ash_series *series, const char *name, const char *labels, FILE *out)
{
  const char *comma = *labels ? "," : "";
  uint64_t cumulative = 0;

  for (uint32_t i = 0; i < ASH_METRICS_BUCKETS; i++)
    {
      cumulative += series->buckets[i];
      fprintf (out, "%s_bucket{%s%sle=\"%" PRIu64 "\"} %" PRIu64 "\n", name, labels, comma,
               UINT64_C (1) << i, cumulative);
    }
  fprintf (out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", name, labels, comma, series->count);
  fprintf (out, "%s_sum{%s} %" PRIu64 "\n", name, labels, series->value);
  fprintf (out, "%s_count{%s} %" PRIu64 "\n", name, labels, series->count);
}

static int
compare_keys (const struct ash_series *a, const struct ash_series *b)
{
  return strcmp (a->key, b->key);
}

void
ash_metrics_print (struct ash_metrics *metrics, FILE *out)
{
  static const char *const kinds[] = { "counter", "gauge", "histogram" };
  char last[KEY_BYTES] = "";

  HASH_SORT (metrics->series, compare_keys);
  for (const struct ash_series *series = metrics->series; series; series = series->hh.next)
    {
      char name[KEY_BYTES];
      char *labels;

      memcpy (name, series->key, sizeof name);
      labels = strchr (name, '{');
      *labels++ = '\0';
      if (strcmp (name, last) != 0)
        fprintf (out, "# TYPE %s %s\n", name, kinds[series->kind]);
      memcpy (last, name, sizeof last);
      if (series->kind == HISTOGRAM)
        print_histogram (series, name, labels, out);
      else
        fprintf (out, "%s{%s} %" PRIu64 "\n", name, labels, series->value);
    }
}
