#include "controllers/evacuations.h"

#include "common/id.h"
#include "controllers/store_position.h"

#include <stdio.h>
#include <string.h>

/* Odd, so that each position gives another product. */
#define POSITION_FACTOR UINT64_C (0x9e3779b97f4a7c15)

/* @return the index of a hall's record; the number of records if there is none. */
static uint32_t
index_of (const struct ash_evacuations *evacuations, const char *hall)
{
  uint32_t i = 0;

  while (i < evacuations->count && strcmp (evacuations->halls[i].hall, hall) != 0)
    i++;
  return i;
}

struct ash_evacuation *
ash_evacuations_find (struct ash_evacuations *evacuations, const char *hall)
{
  uint32_t index = index_of (evacuations, hall);

  return index < evacuations->count ? &evacuations->halls[index] : NULL;
}

bool
ash_evacuations_include (const struct ash_evacuations *evacuations, const char *hall)
{
  uint32_t index = index_of (evacuations, hall);

  return index < evacuations->count && evacuations->halls[index].ordered;
}

static struct ash_evacuation *
add (struct ash_evacuations *evacuations, const char *hall)
{
  struct ash_evacuation *added;

  if (!*hall || strlen (hall) >= ASH_EVACUATIONS_NAME_BYTES ||
      evacuations->count == ASH_EVACUATIONS_MAX)
    return NULL;
  added = &evacuations->halls[evacuations->count++];
  *added = (struct ash_evacuation){ .withdraw_at = ASH_TIME_NEVER };
  snprintf (added->hall, sizeof added->hall, "%s", hall);
  return added;
}

enum ash_evacuations_result
ash_evacuations_set (struct ash_evacuations *evacuations,
                     const char *hall,
                     uint64_t position,
                     bool ordered)
{
  struct ash_evacuation *evacuation = ash_evacuations_find (evacuations, hall);
  bool before;

  if (!evacuation)
    evacuation = add (evacuations, hall);
  if (!evacuation)
    return ASH_EVACUATIONS_REFUSED;
  if (position <= evacuation->position)
    return ASH_EVACUATIONS_UNCHANGED;
  before = evacuation->ordered;
  evacuation->position = position;
  evacuation->ordered = ordered;
  evacuation->withdraw_at = ASH_TIME_NEVER;
  return before == ordered ? ASH_EVACUATIONS_UNCHANGED : ASH_EVACUATIONS_CHANGED;
}

void
ash_evacuations_end_listing (struct ash_evacuations *evacuations,
                             struct ash_time now,
                             uint32_t listing_id,
                             uint64_t position,
                             int64_t lapse_ms)
{
  for (uint32_t i = 0; i < evacuations->count; i++)
    {
      struct ash_evacuation *evacuation = &evacuations->halls[i];
      bool is_restored =
          ash_store_position_era (evacuation->position) < ash_store_position_era (position);

      if (!evacuation->ordered || evacuation->listing_id == listing_id ||
          evacuation->position >= position)
        continue;
      evacuation->withdraw_at = ash_time_add (now, is_restored ? lapse_ms : 0);
      evacuation->withdraw_position = position;
    }
}

const struct ash_evacuation *
ash_evacuations_pop_withdrawn (struct ash_evacuations *evacuations, struct ash_time now)
{
  for (uint32_t i = 0; i < evacuations->count; i++)
    {
      struct ash_evacuation *evacuation = &evacuations->halls[i];

      if (ash_time_before (now, evacuation->withdraw_at))
        continue;
      evacuation->withdraw_at = ASH_TIME_NEVER;
      evacuation->position = evacuation->withdraw_position;
      evacuation->ordered = false;
      return evacuation;
    }
  return NULL;
}

uint64_t
ash_evacuations_digest (const struct ash_evacuations *evacuations)
{
  uint64_t digest = 0;

  for (uint32_t i = 0; i < evacuations->count; i++)
    {
      const struct ash_evacuation *evacuation = &evacuations->halls[i];

      digest ^= ash_hash_text (evacuation->hall) * (evacuation->position * POSITION_FACTOR | 1) +
                evacuation->ordered;
    }
  return digest;
}
