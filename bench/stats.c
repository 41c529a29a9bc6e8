#include "bench/stats.h"

#include <stdlib.h>

static int
compare_values (const void *a, const void *b)
{
  double left = *(const double *) a;
  double right = *(const double *) b;

  return (left > right) - (left < right);
}

double
stats_percentile (double *values, uint32_t count, double share)
{
  if (!count)
    return 0;
  qsort (values, count, sizeof *values, compare_values);
  return values[(uint32_t) ((count - 1) * share)];
}

double
stats_mean (const double *values, uint32_t count)
{
  double sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += values[i];
  return count ? sum / count : 0;
}
