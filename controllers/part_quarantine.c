#include "controllers/part_quarantine.h"

#include <stdlib.h>

/* A part is quarantined after this many exits, during this many different requests: one request
 * alone is left to the quarantine of requests. */
#define EXITS_MIN 3
#define REQUESTS_MIN 2

/* Required evidence in bits: one in 8 that, of all parts and exits, some come together by chance.
 * That is little because exits are rare, and a sound part is soon cleared. */
#define BITS_MIN 3.0

/* The same for a part on which answers got through lately: it must have become bad just now. */
#define BITS_MIN_PASSED 7.0

/* Duration of a quarantine; it doubles with each trial that fails. Sound parts that were taken for
 * the cause come back soon, and each trial may cost an endpoint and stop its group for seconds. */
#define QUARANTINE_MS (2 * 60 * 1000)
#define LEVEL_MAX 5

/* A part is forgotten if no endpoint has exited on it for this long after its quarantine. */
#define FORGET_MS (60 * 60 * 1000)

/* Another request is tried if the one before has shown nothing by then. */
#define TRIAL_MS (10 * 1000)

/* About this many routers tell the others of a quarantine. */
#define TELLING_ROUTERS 8

/* ---- evidence ---- */

static struct ash_quarantined_part *
find_part (const struct ash_part_quarantine *quarantine, struct ash_prompt_part part)
{
  struct ash_quarantined_part *found;

  HASH_FIND (hh, quarantine->parts, &part, sizeof part, found);
  return found;
}

const struct ash_quarantined_part *
ash_part_quarantine_find (const struct ash_part_quarantine *quarantine,
                          const struct ash_prompt_parts *parts)
{
  const struct ash_quarantined_part *found = NULL;

  for (uint32_t i = 0; quarantine->parts && !found && i < parts->count; i++)
    found = find_part (quarantine, ash_prompt_parts_get (parts, i));
  return found;
}

static void
update_explained (struct ash_part_quarantine *quarantine)
{
  struct ash_part_evidence *evidence = &quarantine->evidence;

  for (uint32_t i = 0; i < ash_part_evidence_kept (evidence); i++)
    evidence->runs[i].explained =
        ash_part_quarantine_find (quarantine, &evidence->runs[i].parts) != NULL;
}

static int64_t
quarantine_ms (uint32_t level)
{
  return (int64_t) QUARANTINE_MS << level;
}

/* A trial has failed: an endpoint has exited on a part whose quarantine was over. */
static void
extend_quarantines (struct ash_part_quarantine *quarantine,
                    const struct ash_part_run *run,
                    struct ash_time now)
{
  for (uint32_t i = 0; i < run->parts.count; i++)
    {
      struct ash_quarantined_part *part =
          find_part (quarantine, ash_prompt_parts_get (&run->parts, i));

      if (!part || ash_time_before (run->ended, part->until))
        continue;
      if (part->level < LEVEL_MAX)
        part->level++;
      part->until = ash_time_add (now, quarantine_ms (part->level));
    }
}

static struct ash_part_run *
record_run (struct ash_part_quarantine *quarantine,
            const struct ash_part_run *run,
            struct ash_time now)
{
  struct ash_part_run *kept = ash_part_evidence_record (&quarantine->evidence, run, now);

  kept->explained = ash_part_quarantine_find (quarantine, &run->parts) != NULL;
  return kept;
}

void
ash_part_quarantine_note_run (struct ash_part_quarantine *quarantine,
                              const struct ash_part_run *run,
                              struct ash_time now)
{
  if (run->parts.count)
    record_run (quarantine, run, now);
}

const struct ash_part_run *
ash_part_quarantine_prove_run (struct ash_part_quarantine *quarantine,
                               struct ash_id request,
                               uint64_t endpoint,
                               struct ash_time now)
{
  const struct ash_part_run *run =
      ash_part_evidence_prove (&quarantine->evidence, request, endpoint, now);

  if (run)
    extend_quarantines (quarantine, run, now);
  return run;
}

const struct ash_part_run *
ash_part_quarantine_add_run (struct ash_part_quarantine *quarantine,
                             const struct ash_part_run *run,
                             struct ash_time now)
{
  const struct ash_part_run *kept;

  if (!run->parts.count || ash_part_evidence_is_old (run, now) ||
      ash_part_evidence_find (&quarantine->evidence, run->request, run->endpoint))
    return NULL;
  kept = record_run (quarantine, run, now);
  extend_quarantines (quarantine, kept, now);
  return kept;
}

/* @return by how many bits the evidence exceeds what a quarantine requires; negative: not enough.
 */
static double
excess_bits (const struct ash_part_verdict *verdict)
{
  if (verdict->exits < EXITS_MIN || verdict->requests < REQUESTS_MIN)
    return -1;
  return verdict->bits - (verdict->passed ? BITS_MIN_PASSED : BITS_MIN);
}

/* ---- quarantine ---- */

static void
drop_part (struct ash_part_quarantine *quarantine, struct ash_quarantined_part *part)
{
  HASH_DEL (quarantine->parts, part);
  free (part);
}

void
ash_part_quarantine_finish (struct ash_part_quarantine *quarantine)
{
  while (quarantine->parts)
    drop_part (quarantine, quarantine->parts);
  ash_part_history_finish (&quarantine->evidence.history);
}

/* Makes room for one more part: drops the one that was quarantined first. */
static void
make_room (struct ash_part_quarantine *quarantine)
{
  if (HASH_COUNT (quarantine->parts) >= ASH_PART_QUARANTINED_MAX)
    drop_part (quarantine, quarantine->parts);
}

static const struct ash_quarantined_part *
quarantine_part (struct ash_part_quarantine *quarantine,
                 struct ash_prompt_part part,
                 struct ash_time until,
                 uint32_t level)
{
  struct ash_quarantined_part *added;

  make_room (quarantine);
  added = calloc (1, sizeof *added);
  if (!added)
    return NULL;
  added->part = part;
  added->until = until;
  added->level = level;
  HASH_ADD (hh, quarantine->parts, part, sizeof added->part, added);
  update_explained (quarantine);
  return added;
}

const struct ash_quarantined_part *
ash_part_quarantine_judge (struct ash_part_quarantine *quarantine,
                           const struct ash_part_run *run,
                           struct ash_time now,
                           struct ash_part_verdict *verdict)
{
  struct ash_prompt_part worst = { 0 };
  double worst_bits = -1;

  for (uint32_t i = 0; i < run->parts.count; i++)
    {
      struct ash_prompt_part part = ash_prompt_parts_get (&run->parts, i);
      struct ash_part_verdict against;
      double bits;

      if (find_part (quarantine, part))
        continue;
      against = ash_part_evidence_assess (&quarantine->evidence, part, now);
      bits = excess_bits (&against);
      if (bits <= worst_bits)
        continue;
      worst = part;
      worst_bits = bits;
      *verdict = against;
    }
  return worst_bits < 0 ? NULL
                        : quarantine_part (quarantine, worst, ash_time_add (now, QUARANTINE_MS), 0);
}

bool
ash_part_quarantine_is_told (const struct ash_part_run *run,
                             uint32_t routers,
                             struct ash_random *random)
{
  return !run->reported || ash_random_below (random, routers) < TELLING_ROUTERS;
}

bool
ash_part_quarantine_clear (struct ash_part_quarantine *quarantine,
                           struct ash_prompt_part part,
                           struct ash_time now)
{
  struct ash_quarantined_part *found = find_part (quarantine, part);

  ash_part_history_set_passed (&quarantine->evidence.history, part, now);
  if (!found)
    return false;
  drop_part (quarantine, found);
  update_explained (quarantine);
  return true;
}

void
ash_part_quarantine_note_pass (struct ash_part_quarantine *quarantine,
                               const struct ash_prompt_parts *parts,
                               struct ash_time now,
                               struct ash_prompt_parts *told)
{
  bool may_be_suspected =
      quarantine->parts || ash_part_evidence_exists (&quarantine->evidence, now);

  told->service = parts->service;
  told->count = 0;
  for (uint32_t i = 0; may_be_suspected && i < parts->count; i++)
    {
      struct ash_prompt_part part = ash_prompt_parts_get (parts, i);
      struct ash_part_verdict verdict = ash_part_evidence_assess (&quarantine->evidence, part, now);

      if (ash_part_quarantine_clear (quarantine, part, now) ||
          verdict.exits >= ASH_PART_SUSPECTED_EXITS)
        told->ids[told->count++] = part.id;
    }
  ash_part_history_note_pass (&quarantine->evidence.history, parts, now);
}

bool
ash_part_quarantine_is_valid (int64_t left_ms, uint32_t level)
{
  return level <= LEVEL_MAX && left_ms >= 0 && left_ms <= quarantine_ms (level);
}

const struct ash_quarantined_part *
ash_part_quarantine_take_over (struct ash_part_quarantine *quarantine,
                               struct ash_prompt_part part,
                               int64_t left_ms,
                               uint32_t level,
                               struct ash_time now)
{
  if (find_part (quarantine, part) ||
      ash_part_evidence_passed_lately (&quarantine->evidence, part, now))
    return NULL;
  return quarantine_part (quarantine, part, ash_time_add (now, left_ms), level);
}

/* ---- requests ---- */

static int64_t
part_left_ms (const struct ash_quarantined_part *part, struct ash_time now, bool may_try)
{
  if (ash_time_before (now, part->until))
    return ash_time_diff (now, part->until);
  if (ash_time_before (now, part->trial_until))
    return ash_time_diff (now, part->trial_until);
  return may_try ? 0 : TRIAL_MS;
}

int64_t
ash_part_quarantine_left_ms (const struct ash_part_quarantine *quarantine,
                             const struct ash_prompt_parts *parts,
                             struct ash_time now,
                             bool may_try)
{
  int64_t most_ms = 0;

  for (uint32_t i = 0; quarantine->parts && i < parts->count; i++)
    {
      const struct ash_quarantined_part *part =
          find_part (quarantine, ash_prompt_parts_get (parts, i));
      int64_t left_ms = part ? part_left_ms (part, now, may_try) : 0;

      most_ms = left_ms > most_ms ? left_ms : most_ms;
    }
  return most_ms;
}

bool
ash_part_quarantine_note_sent (struct ash_part_quarantine *quarantine,
                               const struct ash_prompt_parts *parts,
                               struct ash_time now)
{
  bool is_trial = false;

  for (uint32_t i = 0; quarantine->parts && i < parts->count; i++)
    {
      struct ash_quarantined_part *part = find_part (quarantine, ash_prompt_parts_get (parts, i));

      if (!part)
        continue;
      part->trial_until = ash_time_add (now, TRIAL_MS);
      is_trial = true;
    }
  return is_trial;
}

uint32_t
ash_part_quarantine_suspicion (const struct ash_part_quarantine *quarantine,
                               const struct ash_prompt_parts *parts,
                               struct ash_time now)
{
  bool may_be_suspected = ash_part_evidence_exists (&quarantine->evidence, now);
  uint32_t most = 0;

  for (uint32_t i = 0; may_be_suspected && i < parts->count; i++)
    {
      struct ash_part_verdict verdict =
          ash_part_evidence_assess (&quarantine->evidence, ash_prompt_parts_get (parts, i), now);

      if (!verdict.passed && verdict.exits > most)
        most = verdict.exits;
    }
  return most;
}

void
ash_part_quarantine_tick (struct ash_part_quarantine *quarantine, struct ash_time now)
{
  struct ash_quarantined_part *part;
  struct ash_quarantined_part *next;

  HASH_ITER (hh, quarantine->parts, part, next)
    if (ash_time_diff (part->until, now) > FORGET_MS)
      drop_part (quarantine, part);
}
