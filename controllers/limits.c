#include "controllers/limits.h"

#include <stdlib.h>
#include <string.h>

/* Parts of a request that are counted: fine enough that a refill each
 * millisecond of a part of one request a second loses nothing that matters. */
#define MICRO 1000000
#define MICRO_PER_MILLI 1000

void
ash_limits_init (struct ash_limits *limits)
{
  limits->limits = NULL;
}

void
ash_limits_finish (struct ash_limits *limits)
{
  struct ash_limit *limit;
  struct ash_limit *next;

  HASH_ITER (hh, limits->limits, limit, next)
    {
      HASH_DEL (limits->limits, limit);
      free (limit);
    }
}

uint32_t
ash_limits_take (struct ash_limits *limits,
                 struct ash_time now,
                 const struct ash_account *account,
                 uint32_t parts)
{
  /* A request per second is a thousandth of one per millisecond. */
  int64_t rate_micro_per_ms = (int64_t) account->rate_per_s * MICRO_PER_MILLI / parts;
  int64_t burst_micro = (int64_t) account->burst * MICRO / parts;
  struct ash_limit *limit;
  int64_t missing;

  /* A part below one request would refuse for ever. */
  if (burst_micro < MICRO)
    burst_micro = MICRO;
  HASH_FIND_STR (limits->limits, account->name, limit);
  if (!limit)
    {
      limit = calloc (1, sizeof *limit);
      if (!limit)
        return MICRO_PER_MILLI;
      strcpy (limit->account, account->name);
      limit->left_micro = burst_micro;
      limit->filled = now;
      HASH_ADD_STR (limits->limits, account, limit);
    }
  limit->left_micro += ash_time_diff (limit->filled, now) * rate_micro_per_ms;
  if (limit->left_micro > burst_micro)
    limit->left_micro = burst_micro;
  limit->filled = now;
  missing = MICRO - limit->left_micro;
  if (missing <= 0)
    {
      limit->left_micro -= MICRO;
      return 0;
    }
  return (uint32_t) (missing / rate_micro_per_ms + 1);
}
