#include "controllers/limits.h"

#include <stdlib.h>
#include <string.h>

/* Tokens are counted in millionths of a request, so that rounding is negligible when a share of one
 * request per second is refilled every millisecond. */
#define MICRO 1000000
#define MICRO_PER_MILLI 1000

void
ash_limits_init (struct ash_limits *limits)
{
  *limits = (struct ash_limits){ 0 };
}

static void
free_all (struct ash_limit **table)
{
  struct ash_limit *limit;
  struct ash_limit *next;

  HASH_ITER (hh, *table, limit, next)
    {
      HASH_DEL (*table, limit);
      free (limit);
    }
}

void
ash_limits_finish (struct ash_limits *limits)
{
  free_all (&limits->limits);
  free_all (&limits->reserved);
}

/* Parameters of a token bucket with a share of the rate and burst. */
struct bucket
{
  int64_t rate_micro_per_ms; /* refill rate; 1,000 for one request per second */
  int64_t burst_micro;
};

static struct bucket
make_share (uint32_t rate_per_s, uint32_t burst, uint32_t parts)
{
  struct bucket bucket = {
    .rate_micro_per_ms = (int64_t) rate_per_s * MICRO_PER_MILLI / parts,
    .burst_micro = (int64_t) burst * MICRO / parts,
  };

  /* A bucket smaller than one request would refuse every request. */
  if (bucket.burst_micro < MICRO)
    bucket.burst_micro = MICRO;
  return bucket;
}

static struct ash_limit *
find_or_add (struct ash_limit **table,
             struct ash_time now,
             const char *name,
             const struct bucket *bucket)
{
  struct ash_limit *limit;

  HASH_FIND_STR (*table, name, limit);
  if (limit)
    return limit;
  limit = calloc (1, sizeof *limit);
  if (!limit)
    return NULL;
  strcpy (limit->name, name);
  limit->tokens_micro = bucket->burst_micro;
  limit->refilled = now;
  HASH_ADD_STR (*table, name, limit);
  return limit;
}

/* Refills the bucket and takes one request. @return 0 if there was one, else ms until there is. */
static uint32_t
take (struct ash_limit *limit, struct ash_time now, const struct bucket *bucket)
{
  int64_t missing;

  limit->tokens_micro += ash_time_diff (limit->refilled, now) * bucket->rate_micro_per_ms;
  if (limit->tokens_micro > bucket->burst_micro)
    limit->tokens_micro = bucket->burst_micro;
  limit->refilled = now;
  missing = MICRO - limit->tokens_micro;
  if (missing > 0)
    return (uint32_t) (missing / bucket->rate_micro_per_ms + 1);
  limit->tokens_micro -= MICRO;
  return 0;
}

uint32_t
ash_limits_spend (struct ash_limits *limits,
                  struct ash_time now,
                  const struct ash_account *account,
                  uint32_t parts)
{
  struct bucket bucket = make_share (account->rate_per_s, account->burst, parts);
  struct ash_limit *limit = find_or_add (&limits->limits, now, account->name, &bucket);

  return limit ? take (limit, now, &bucket) : MICRO_PER_MILLI;
}

bool
ash_limits_spend_reserved (struct ash_limits *limits,
                           struct ash_time now,
                           const struct ash_reservation *reservation,
                           uint32_t parts)
{
  struct bucket bucket = make_share (reservation->rate_per_s, reservation->rate_per_s, parts);
  struct ash_limit *limit = find_or_add (&limits->reserved, now, reservation->name, &bucket);

  return limit && take (limit, now, &bucket) == 0;
}
