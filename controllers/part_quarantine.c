#include "controllers/part_quarantine.h"

#include <math.h>
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

/* "Lately": a part that is used is used again within a minute. */
#define PASSED_LATELY_MS (60 * 1000)

/* Evidence is not older than this. */
#define EVIDENCE_MS (10 * 60 * 1000)

/* By then all routers have reported the runs that they lost by an exit. */
#define SETTLE_MS 250

/* Duration of a quarantine; it doubles with each trial that fails. Sound parts that were taken for
 * the cause come back soon, and each trial may cost an endpoint and stop its group for seconds. */
#define QUARANTINE_MS (2 * 60 * 1000)
#define LEVEL_MAX 5

/* A part is forgotten if no endpoint has exited on it for this long after its quarantine. */
#define FORGET_MS (60 * 60 * 1000)

/* Another request is tried if the one before has shown nothing by then. */
#define TRIAL_MS (10 * 1000)

/* An endpoint's process takes longer than this to start again and to begin an answer. */
#define RESTART_MIN_MS 1000

/* About this many routers tell the others of a quarantine. */
#define TELLING_ROUTERS 8

/* Exits that are counted at most: the evidence is beyond doubt. */
#define EXITS_COUNTED_MAX 16

/* ---- runs ---- */

static uint32_t
kept_runs (const struct ash_part_quarantine *quarantine)
{
  return quarantine->run_count < ASH_PART_RUNS ? quarantine->run_count : ASH_PART_RUNS;
}

/* @return the newest run of a request at an endpoint, or NULL. */
static struct ash_part_run *
find_run (struct ash_part_quarantine *quarantine, struct ash_id request, uint64_t endpoint)
{
  for (uint32_t i = 1; i <= kept_runs (quarantine); i++)
    {
      struct ash_part_run *run = &quarantine->runs[(quarantine->run_count - i) % ASH_PART_RUNS];

      if (run->endpoint == endpoint && ash_id_equal (run->request, request))
        return run;
    }
  return NULL;
}

/* Whether the same exit cut off both runs. An endpoint that starts again may have the same id. */
static bool
is_same_exit (const struct ash_part_run *a, const struct ash_part_run *b)
{
  return a->endpoint == b->endpoint && llabs (ash_time_diff (a->ended, b->ended)) < RESTART_MIN_MS;
}

static struct ash_quarantined_part *
find_part (const struct ash_part_quarantine *quarantine, struct ash_prompt_part part)
{
  struct ash_quarantined_part *found;

  HASH_FIND (hh, quarantine->parts, &part, sizeof part, found);
  return found;
}

static bool
passed_lately (const struct ash_part_quarantine *quarantine,
               struct ash_prompt_part part,
               struct ash_time now)
{
  struct ash_time passed_at = ash_part_history_passed_at (&quarantine->history, part);

  return passed_at.ms && ash_time_diff (passed_at, now) <= PASSED_LATELY_MS;
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
  for (uint32_t i = 0; i < kept_runs (quarantine); i++)
    quarantine->runs[i].explained =
        ash_part_quarantine_find (quarantine, &quarantine->runs[i].parts) != NULL;
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

static void
take_as_evidence (struct ash_part_quarantine *quarantine,
                  const struct ash_part_run *run,
                  struct ash_time now)
{
  quarantine->evidence_at = now;
  extend_quarantines (quarantine, run, now);
}

static struct ash_part_run *
record_run (struct ash_part_quarantine *quarantine,
            const struct ash_part_run *run,
            struct ash_time now)
{
  struct ash_part_run *kept = &quarantine->runs[quarantine->run_count++ % ASH_PART_RUNS];

  *kept = *run;
  kept->settled = false;
  kept->explained = ash_part_quarantine_find (quarantine, &run->parts) != NULL;
  kept->passes_before = ash_part_history_passes (&quarantine->history, run->parts.service);
  for (uint32_t i = 0; i < run->parts.count; i++)
    if (passed_lately (quarantine, ash_prompt_parts_get (&run->parts, i), now))
      kept->passed_parts |= 1U << i;
  if (kept->proven)
    take_as_evidence (quarantine, kept, now);
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
  struct ash_part_run *run = find_run (quarantine, request, endpoint);

  if (!run || run->proven)
    return NULL;
  run->proven = true;
  take_as_evidence (quarantine, run, now);
  return run;
}

const struct ash_part_run *
ash_part_quarantine_add_run (struct ash_part_quarantine *quarantine,
                             const struct ash_part_run *run,
                             struct ash_time now)
{
  if (!run->parts.count || ash_time_diff (run->ended, now) > EVIDENCE_MS ||
      find_run (quarantine, run->request, run->endpoint))
    return NULL;
  return record_run (quarantine, run, now);
}

/* ---- evidence ---- */

/* The runs that an endpoint's exit cut off. */
struct exit_runs
{
  uint32_t begun;
  uint32_t others; /* nothing of the answer had arrived, or a few events */
  bool explained;
  bool settled;
};

static struct exit_runs
runs_of_exit (const struct ash_part_quarantine *quarantine,
              const struct ash_part_run *cut,
              struct ash_time now)
{
  struct exit_runs runs = { .settled = true };

  for (uint32_t i = 0; i < kept_runs (quarantine); i++)
    {
      const struct ash_part_run *run = &quarantine->runs[i];

      if (!run->proven || !is_same_exit (run, cut))
        continue;
      runs.begun += run->begun;
      runs.others += !run->begun;
      runs.explained = runs.explained || run->explained;
      runs.settled = runs.settled && ash_time_diff (run->ended, now) >= SETTLE_MS;
    }
  return runs;
}

/* Whether a run with a part counts against it. If answers had begun at that endpoint, one of these
 * runs is the cause; else it may be any. */
static bool
is_candidate (const struct ash_part_run *run, const struct exit_runs *runs)
{
  return !runs->explained && (run->begun || (!runs->begun && runs->settled));
}

static bool
has_exit (const struct ash_part_run *const runs[], uint32_t count, const struct ash_part_run *run)
{
  for (uint32_t i = 0; i < count; i++)
    if (is_same_exit (runs[i], run))
      return true;
  return false;
}

/* Whether no earlier run of the list is of the same request. */
static bool
is_first_of_request (const struct ash_part_run *const runs[], uint32_t index)
{
  for (uint32_t i = 0; i < index; i++)
    if (ash_id_equal (runs[i]->request, runs[index]->request))
      return false;
  return true;
}

/* Finds the runs that count against a part, one of each endpoint. @return their number. */
static uint32_t
find_candidates (const struct ash_part_quarantine *quarantine,
                 struct ash_prompt_part part,
                 struct ash_time now,
                 const struct ash_part_run *found[EXITS_COUNTED_MAX])
{
  struct ash_time since = ash_time_add (now, -EVIDENCE_MS);
  struct ash_time passed_at = ash_part_history_passed_at (&quarantine->history, part);
  uint32_t count = 0;

  if (ash_time_before (since, passed_at))
    since = passed_at;
  for (uint32_t i = 0; i < kept_runs (quarantine) && count < EXITS_COUNTED_MAX; i++)
    {
      const struct ash_part_run *run = &quarantine->runs[i];
      struct exit_runs runs;

      if (!run->proven || !ash_time_before (since, run->ended) ||
          !ash_prompt_parts_has (&run->parts, part) || has_exit (found, count, run))
        continue;
      runs = runs_of_exit (quarantine, run, now);
      if (is_candidate (run, &runs))
        found[count++] = run;
    }
  return count;
}

/* How surprising it is that a part with this share is in one of the runs that an exit cut off. */
static double
exit_bits (const struct ash_part_quarantine *quarantine,
           const struct ash_part_run *run,
           double share,
           struct ash_time now)
{
  struct exit_runs runs = runs_of_exit (quarantine, run, now);

  return -log2 (1 - pow (1 - share, runs.begun ? runs.begun : runs.others));
}

/* Whether an exit that no quarantined part explains cut off this run, and no earlier one in the
 * list. */
static bool
is_first_of_exit (const struct ash_part_quarantine *quarantine, uint32_t index)
{
  const struct ash_part_run *run = &quarantine->runs[index];

  if (!run->proven || run->explained)
    return false;
  for (uint32_t i = 0; i < index; i++)
    if (quarantine->runs[i].proven && is_same_exit (&quarantine->runs[i], run))
      return false;
  return true;
}

/* @return the number of unexplained exits from the first to the last one of the list. */
static uint32_t
count_exits_between (const struct ash_part_quarantine *quarantine,
                     const struct ash_part_run *const runs[],
                     uint32_t count)
{
  struct ash_time first = runs[0]->ended;
  struct ash_time last = runs[0]->ended;
  uint32_t exits = 0;

  for (uint32_t i = 1; i < count; i++)
    {
      if (ash_time_before (runs[i]->ended, first))
        first = runs[i]->ended;
      if (ash_time_before (last, runs[i]->ended))
        last = runs[i]->ended;
    }
  for (uint32_t i = 0; i < kept_runs (quarantine); i++)
    exits += !ash_time_before (quarantine->runs[i].ended, first) &&
             !ash_time_before (last, quarantine->runs[i].ended) && is_first_of_exit (quarantine, i);
  return exits > count ? exits : count;
}

/* @return the binary logarithm of the number of ways to choose @p chosen of @p all. */
static double
choices_bits (uint32_t all, uint32_t chosen)
{
  double bits = 0;

  for (uint32_t i = 0; i < chosen; i++)
    bits += log2 ((double) (all - i) / (i + 1));
  return bits;
}

struct ash_part_evidence
ash_part_quarantine_assess (const struct ash_part_quarantine *quarantine,
                            struct ash_prompt_part part,
                            struct ash_time now)
{
  const struct ash_part_history *history = &quarantine->history;
  const struct ash_part_run *runs[EXITS_COUNTED_MAX];
  uint32_t passes = ash_part_history_passes (history, part.service);
  uint32_t most_passes = 0;
  double pass_bits;
  struct ash_part_evidence evidence = {
    .exits = find_candidates (quarantine, part, now, runs),
    .passed = passed_lately (quarantine, part, now),
  };

  for (uint32_t i = 0; i < evidence.exits; i++)
    {
      uint32_t index = ash_prompt_parts_find (&runs[i]->parts, part);
      uint32_t passes_since = passes - runs[i]->passes_before;

      evidence.passed = evidence.passed || (runs[i]->passed_parts >> index & 1);
      most_passes = passes_since > most_passes ? passes_since : most_passes;
      /* Another run of the same request has the same parts: it doesn't tell them apart. */
      if (!is_first_of_request (runs, i))
        continue;
      evidence.bits += exit_bits (quarantine, runs[i],
                                  ash_part_history_share (history, part, evidence.requests), now);
      evidence.requests++;
    }
  /* Since the first of these exits no answer on the part got through, but these others did. It may
   * just not have been asked for, so this counts at most as much as the exits. */
  pass_bits = -log2 (1 - ash_part_history_share (history, part, 0)) * most_passes;
  evidence.bits += pass_bits < evidence.bits ? pass_bits : evidence.bits;
  /* Any of the parts might be in any of these exits' runs by chance. */
  if (evidence.exits)
    evidence.bits -=
        choices_bits (count_exits_between (quarantine, runs, evidence.exits), evidence.exits) +
        log2 (ash_part_history_parts (history) + 1);
  return evidence;
}

/* @return by how many bits the evidence exceeds what a quarantine requires; negative: not enough.
 */
static double
excess_bits (const struct ash_part_evidence *evidence)
{
  if (evidence->exits < EXITS_MIN || evidence->requests < REQUESTS_MIN)
    return -1;
  return evidence->bits - (evidence->passed ? BITS_MIN_PASSED : BITS_MIN);
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
  ash_part_history_finish (&quarantine->history);
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
                           struct ash_part_evidence *evidence)
{
  struct ash_prompt_part worst = { 0 };
  double worst_bits = -1;

  for (uint32_t i = 0; i < run->parts.count; i++)
    {
      struct ash_prompt_part part = ash_prompt_parts_get (&run->parts, i);
      struct ash_part_evidence against;
      double bits;

      if (find_part (quarantine, part))
        continue;
      against = ash_part_quarantine_assess (quarantine, part, now);
      bits = excess_bits (&against);
      if (bits <= worst_bits)
        continue;
      worst = part;
      worst_bits = bits;
      *evidence = against;
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

const struct ash_part_run *
ash_part_quarantine_next_settled (struct ash_part_quarantine *quarantine, struct ash_time now)
{
  for (uint32_t i = 0; i < kept_runs (quarantine); i++)
    {
      struct ash_part_run *run = &quarantine->runs[i];

      if (!run->proven || run->settled || ash_time_diff (run->ended, now) < SETTLE_MS)
        continue;
      run->settled = true;
      return run;
    }
  return NULL;
}

bool
ash_part_quarantine_clear (struct ash_part_quarantine *quarantine,
                           struct ash_prompt_part part,
                           struct ash_time now)
{
  struct ash_quarantined_part *found = find_part (quarantine, part);

  ash_part_history_set_passed (&quarantine->history, part, now);
  if (!found)
    return false;
  drop_part (quarantine, found);
  update_explained (quarantine);
  return true;
}

/* Whether evidence against parts is kept that an answer might cancel. */
static bool
has_evidence (const struct ash_part_quarantine *quarantine, struct ash_time now)
{
  return quarantine->parts || (quarantine->evidence_at.ms &&
                               ash_time_diff (quarantine->evidence_at, now) <= EVIDENCE_MS);
}

void
ash_part_quarantine_note_pass (struct ash_part_quarantine *quarantine,
                               const struct ash_prompt_parts *parts,
                               struct ash_time now,
                               struct ash_prompt_parts *told)
{
  bool may_be_suspected = has_evidence (quarantine, now);

  told->service = parts->service;
  told->count = 0;
  for (uint32_t i = 0; may_be_suspected && i < parts->count; i++)
    {
      struct ash_prompt_part part = ash_prompt_parts_get (parts, i);
      struct ash_part_evidence evidence = ash_part_quarantine_assess (quarantine, part, now);

      if (ash_part_quarantine_clear (quarantine, part, now) || evidence.exits >= EXITS_MIN - 1)
        told->ids[told->count++] = part.id;
    }
  ash_part_history_note_pass (&quarantine->history, parts, now);
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
  if (find_part (quarantine, part) || passed_lately (quarantine, part, now))
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
  bool may_be_suspected = has_evidence (quarantine, now);
  uint32_t most = 0;

  for (uint32_t i = 0; may_be_suspected && i < parts->count; i++)
    {
      struct ash_part_evidence evidence =
          ash_part_quarantine_assess (quarantine, ash_prompt_parts_get (parts, i), now);

      if (!evidence.passed && evidence.exits > most)
        most = evidence.exits;
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
