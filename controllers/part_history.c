#include "controllers/part_history.h"

#include <stdlib.h>

/* All counts of a service are halved at this many requests, so that shares follow the demand. */
#define HALVE_AT_REQUESTS 4000

static struct ash_part_service *
find_service (const struct ash_part_history *history, uint64_t service)
{
  struct ash_part_service *found;

  HASH_FIND (hh, history->services, &service, sizeof service, found);
  return found;
}

static struct ash_part_record *
find_record (const struct ash_part_history *history, struct ash_prompt_part part)
{
  struct ash_part_record *found;

  HASH_FIND (hh, history->records, &part, sizeof part, found);
  return found;
}

static void
drop_service (struct ash_part_history *history, struct ash_part_service *service)
{
  HASH_DEL (history->services, service);
  free (service);
}

static void
drop_record (struct ash_part_history *history, struct ash_part_record *record)
{
  HASH_DEL (history->records, record);
  free (record);
}

void
ash_part_history_finish (struct ash_part_history *history)
{
  while (history->services)
    drop_service (history, history->services);
  while (history->records)
    drop_record (history, history->records);
}

/* @return the service's counts, created on first use; NULL: out of memory. */
static struct ash_part_service *
touch_service (struct ash_part_history *history, uint64_t service)
{
  struct ash_part_service *found = find_service (history, service);

  if (found)
    return found;
  if (HASH_COUNT (history->services) >= ASH_PART_HISTORY_SERVICES_MAX)
    drop_service (history, history->services);
  found = calloc (1, sizeof *found);
  if (!found)
    return NULL;
  found->service = service;
  HASH_ADD (hh, history->services, service, sizeof found->service, found);
  return found;
}

/* @return the part's record as the most recently seen one, created on first use; NULL: out of
 * memory. */
static struct ash_part_record *
touch_record (struct ash_part_history *history, struct ash_prompt_part part)
{
  struct ash_part_record *record = find_record (history, part);

  if (record)
    HASH_DEL (history->records, record);
  else
    {
      if (HASH_COUNT (history->records) >= ASH_PART_HISTORY_PARTS_MAX)
        drop_record (history, history->records);
      record = calloc (1, sizeof *record);
      if (!record)
        return NULL;
      record->part = part;
    }
  HASH_ADD (hh, history->records, part, sizeof record->part, record);
  return record;
}

static void
halve_counts (struct ash_part_history *history, struct ash_part_service *service)
{
  service->requests /= 2;
  for (struct ash_part_record *record = history->records; record; record = record->hh.next)
    if (record->part.service == service->service)
      record->requests /= 2;
}

void
ash_part_history_note_request (struct ash_part_history *history,
                               const struct ash_prompt_parts *parts)
{
  struct ash_part_service *service = parts->count ? touch_service (history, parts->service) : NULL;

  if (!service)
    return;
  if (++service->requests >= HALVE_AT_REQUESTS)
    halve_counts (history, service);
  for (uint32_t i = 0; i < parts->count; i++)
    {
      struct ash_part_record *record = touch_record (history, ash_prompt_parts_get (parts, i));

      if (record)
        record->requests++;
    }
}

void
ash_part_history_note_pass (struct ash_part_history *history,
                            const struct ash_prompt_parts *parts,
                            struct ash_time now)
{
  struct ash_part_service *service = parts->count ? touch_service (history, parts->service) : NULL;

  if (service)
    service->passes++;
  for (uint32_t i = 0; i < parts->count; i++)
    ash_part_history_set_passed (history, ash_prompt_parts_get (parts, i), now);
}

void
ash_part_history_set_passed (struct ash_part_history *history,
                             struct ash_prompt_part part,
                             struct ash_time now)
{
  struct ash_part_record *record = touch_record (history, part);

  if (record)
    record->passed_at = now;
}

struct ash_time
ash_part_history_passed_at (const struct ash_part_history *history, struct ash_prompt_part part)
{
  const struct ash_part_record *record = find_record (history, part);

  return record ? record->passed_at : (struct ash_time){ 0 };
}

double
ash_part_history_share (const struct ash_part_history *history,
                        struct ash_prompt_part part,
                        uint32_t more)
{
  const struct ash_part_service *service = find_service (history, part.service);
  const struct ash_part_record *record = find_record (history, part);
  uint32_t with_part = (record ? record->requests : 0) + more;
  uint32_t all = (service ? service->requests : 0) + more;

  /* One request with the part and one without are added, so that a few requests prove little. */
  return (with_part + 1.0) / (all + 2.0);
}

uint32_t
ash_part_history_parts (const struct ash_part_history *history)
{
  return HASH_COUNT (history->records);
}

uint32_t
ash_part_history_passes (const struct ash_part_history *history, uint64_t service)
{
  const struct ash_part_service *found = find_service (history, service);

  return found ? found->passes : 0;
}
