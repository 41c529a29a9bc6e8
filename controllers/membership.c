#include "controllers/membership.h"

#include <stdlib.h>
#include <string.h>

void
ash_membership_init (struct ash_membership *membership)
{
  *membership = (struct ash_membership){ 0 };
}

void
ash_membership_finish (struct ash_membership *membership)
{
  struct ash_box *box;
  struct ash_box *next;

  HASH_ITER (hh, membership->boxes, box, next)
    {
      HASH_DEL (membership->boxes, box);
      free (box);
    }
}

struct ash_box *
ash_membership_find (const struct ash_membership *membership, const char *name)
{
  struct ash_box *box;

  HASH_FIND_STR (membership->boxes, name, box);
  return box;
}

static struct ash_box *
find_or_add (struct ash_membership *membership, const char *name)
{
  struct ash_box *box = ash_membership_find (membership, name);

  if (box || strlen (name) >= ASH_NAME_BYTES)
    return box;
  box = calloc (1, sizeof *box);
  if (!box)
    return NULL;
  strcpy (box->name, name);
  HASH_ADD_STR (membership->boxes, name, box);
  return box;
}

bool
ash_membership_link_up (struct ash_membership *membership,
                        struct ash_time now,
                        const char *name,
                        int role,
                        uint64_t incarnation,
                        uint64_t revision)
{
  struct ash_box *box = find_or_add (membership, name);
  bool is_new;

  if (!box)
    return false;
  is_new = box->incarnation != incarnation;
  box->linked = true;
  box->heartbeat_at = now;
  box->suspect = false;
  box->role = role;
  box->revision = revision;
  if (is_new)
    {
      box->incarnation = incarnation;
      box->learned = now;
      box->reported = 0;
    }
  return is_new;
}

void
ash_membership_link_down (struct ash_membership *membership, const char *name)
{
  struct ash_box *box = ash_membership_find (membership, name);

  if (box)
    box->linked = false;
}

bool
ash_box_leaving (const struct ash_box *box)
{
  if (box->leaving_incarnation && box->leaving_incarnation == box->incarnation)
    return true;
  /* The platform's list lags: an entry from before a restart isn't about the new incarnation. */
  return box->listed_leaving && box->listed_incarnation == box->incarnation;
}

bool
ash_box_usable (const struct ash_box *box)
{
  return box->linked && !ash_box_leaving (box);
}

bool
ash_box_preferred (const struct ash_box *box)
{
  return ash_box_usable (box) && !box->suspect && !box->ejected_until.ms;
}

/* With fewer declared boxes, the number of links is no evidence for isolation. */
#define ISOLATED_BOXES_MIN 3

/* Period of the isolation check, which looks up all declared boxes: up to some thousands. */
#define ISOLATED_PERIOD_MS 500

static uint32_t
is_linked (const struct ash_membership *membership, const char *name)
{
  const struct ash_box *box = ash_membership_find (membership, name);

  return box && box->linked;
}

bool
ash_membership_isolated (const struct ash_membership *membership,
                         const struct ash_document *document,
                         const char *self)
{
  uint32_t declared = 0;
  uint32_t linked = 0;

  for (uint32_t i = 0; i < document->entry_count; i++)
    if (strcmp (document->entries[i].name, self) != 0)
      {
        declared++;
        linked += is_linked (membership, document->entries[i].name);
      }
  for (uint32_t i = 0; i < document->endpoint_count; i++)
    {
      declared++;
      linked += is_linked (membership, document->endpoints[i].name);
    }
  return declared >= ISOLATED_BOXES_MIN && 2 * linked < declared;
}

void
ash_membership_tick (struct ash_membership *membership,
                     struct ash_time now,
                     const struct ash_document *document,
                     const struct ash_settings *settings)
{
  for (struct ash_box *box = membership->boxes; box; box = box->hh.next)
    {
      box->suspect = ash_time_diff (box->heartbeat_at, now) >= settings->suspect_ms;
      if (box->ejected_until.ms && !ash_time_before (now, box->ejected_until))
        box->ejected_until = (struct ash_time){ 0 };
    }
  if (ash_time_before (now, membership->isolated_recheck_at))
    return;
  membership->isolated_recheck_at = ash_time_add (now, ISOLATED_PERIOD_MS);
  membership->isolated = ash_membership_isolated (membership, document, settings->box);
}

bool
ash_membership_has_newer_config (const struct ash_membership *membership, uint64_t revision)
{
  for (const struct ash_box *box = membership->boxes; box; box = box->hh.next)
    if (box->linked && box->revision > revision)
      return true;
  return false;
}

static bool
set_leaving (struct ash_box *box, uint64_t incarnation)
{
  if (!box || !incarnation || box->leaving_incarnation == incarnation)
    return false;
  /* A peer's report about another incarnation must not affect the current one. */
  if (box->incarnation && box->incarnation != incarnation)
    return false;
  box->leaving_incarnation = incarnation;
  return true;
}

uint32_t
ash_membership_heartbeat (struct ash_membership *membership,
                          const char *name,
                          const struct Ash__Heartbeat *heartbeat)
{
  struct ash_box *box = find_or_add (membership, name);
  uint32_t changes = 0;

  if (!box)
    return 0;
  box->revision = heartbeat->revision;
  box->reported = heartbeat->in_flight + heartbeat->queued;
  box->step_us = heartbeat->step_us;
  box->reads_platform = heartbeat->reads_platform;
  if (heartbeat->leaving)
    changes += set_leaving (box, box->incarnation);
  for (size_t i = 0; i < heartbeat->n_leaving_boxes && i < heartbeat->n_leaving_incarnations; i++)
    {
      box = ash_membership_find (membership, heartbeat->leaving_boxes[i]);
      changes += set_leaving (box, heartbeat->leaving_incarnations[i]);
    }
  return changes;
}

bool
ash_membership_set_listed_leaving (struct ash_membership *membership,
                                   const char *name,
                                   bool leaving)
{
  struct ash_box *box = ash_membership_find (membership, name);

  if (!box || box->listed_leaving == leaving)
    return false;
  box->listed_leaving = leaving;
  box->listed_incarnation = leaving ? box->incarnation : 0;
  return true;
}
