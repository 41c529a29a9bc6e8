#include "controllers/part_evidence.h"

#include <math.h>
#include <stdlib.h>

/* How recent a pass is "lately": a part in use is used again within a minute. */
#define PASSED_LATELY_MS (60 * 1000)

/* Evidence is not older than this. */
#define EVIDENCE_MS (10 * 60 * 1000)

/* All routers have reported the runs that they lost by an exit after this time. */
#define SETTLE_MS 250

/* An endpoint's process takes longer than this to start again and to begin an answer. */
#define RESTART_MIN_MS 1000

/* Exits that are counted at most: the evidence is beyond doubt. */
#define EXITS_COUNTED_MAX 16

/* ---- runs ---- */

uint32_t
ash_part_evidence_kept (const struct ash_part_evidence *evidence)
{
  return evidence->run_count < ASH_PART_RUNS ? evidence->run_count : ASH_PART_RUNS;
}

struct ash_part_run *
ash_part_evidence_find (struct ash_part_evidence *evidence,
                        struct ash_id request,
                        uint64_t endpoint)
{
  for (uint32_t i = 1; i <= ash_part_evidence_kept (evidence); i++)
    {
      struct ash_part_run *run = &evidence->runs[(evidence->run_count - i) % ASH_PART_RUNS];

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

bool
ash_part_evidence_passed_lately (const struct ash_part_evidence *evidence,
                                 struct ash_prompt_part part,
                                 struct ash_time now)
{
  struct ash_time passed_at = ash_part_history_passed_at (&evidence->history, part);

  return passed_at.ms && ash_time_diff (passed_at, now) <= PASSED_LATELY_MS;
}

struct ash_part_run *
ash_part_evidence_record (struct ash_part_evidence *evidence,
                          const struct ash_part_run *run,
                          struct ash_time now)
{
  struct ash_part_run *kept = &evidence->runs[evidence->run_count++ % ASH_PART_RUNS];

  *kept = *run;
  kept->settled = false;
  kept->passes_before = ash_part_history_passes (&evidence->history, run->parts.service);
  for (uint32_t i = 0; i < run->parts.count; i++)
    if (ash_part_evidence_passed_lately (evidence, ash_prompt_parts_get (&run->parts, i), now))
      kept->passed_parts |= 1U << i;
  if (kept->proven)
    evidence->proven_at = now;
  return kept;
}

struct ash_part_run *
ash_part_evidence_prove (struct ash_part_evidence *evidence,
                         struct ash_id request,
                         uint64_t endpoint,
                         struct ash_time now)
{
  struct ash_part_run *run = ash_part_evidence_find (evidence, request, endpoint);

  if (!run || run->proven)
    return NULL;
  run->proven = true;
  evidence->proven_at = now;
  return run;
}

bool
ash_part_evidence_is_old (const struct ash_part_run *run, struct ash_time now)
{
  return ash_time_diff (run->ended, now) > EVIDENCE_MS;
}

bool
ash_part_evidence_exists (const struct ash_part_evidence *evidence, struct ash_time now)
{
  return evidence->proven_at.ms && ash_time_diff (evidence->proven_at, now) <= EVIDENCE_MS;
}

struct ash_part_run *
ash_part_evidence_next_settled (struct ash_part_evidence *evidence, struct ash_time now)
{
  for (uint32_t i = 0; i < ash_part_evidence_kept (evidence); i++)
    {
      struct ash_part_run *run = &evidence->runs[i];

      if (!run->proven || run->settled || ash_time_diff (run->ended, now) < SETTLE_MS)
        continue;
      run->settled = true;
      return run;
    }
  return NULL;
}

/* ---- weighing ---- */

/* The runs that an endpoint's exit cut off. */
struct exit_runs
{
  uint32_t begun;
  uint32_t others; /* nothing of the answer had arrived, or a few events */
  bool explained;
  bool settled;
};

static struct exit_runs
runs_of_exit (const struct ash_part_evidence *evidence,
              const struct ash_part_run *cut,
              struct ash_time now)
{
  struct exit_runs runs = { .settled = true };

  for (uint32_t i = 0; i < ash_part_evidence_kept (evidence); i++)
    {
      const struct ash_part_run *run = &evidence->runs[i];

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

/* A run that counts against a part. */
struct candidate
{
  const struct ash_part_run *run;
  uint32_t
      among; /* runs that its exit cut off and that may be the cause as well, itself included */
};

static bool
has_exit (const struct candidate found[], uint32_t count, const struct ash_part_run *run)
{
  for (uint32_t i = 0; i < count; i++)
    if (is_same_exit (found[i].run, run))
      return true;
  return false;
}

/* Whether no earlier run of the list is of the same request. */
static bool
is_first_of_request (const struct candidate found[], uint32_t index)
{
  for (uint32_t i = 0; i < index; i++)
    if (ash_id_equal (found[i].run->request, found[index].run->request))
      return false;
  return true;
}

/* Finds the runs that count against a part, one of each exit. @return their number. */
static uint32_t
find_candidates (const struct ash_part_evidence *evidence,
                 struct ash_prompt_part part,
                 struct ash_time now,
                 struct candidate found[EXITS_COUNTED_MAX])
{
  struct ash_time since = ash_time_add (now, -EVIDENCE_MS);
  struct ash_time passed_at = ash_part_history_passed_at (&evidence->history, part);
  uint32_t count = 0;

  if (ash_time_before (since, passed_at))
    since = passed_at;
  for (uint32_t i = 0; i < ash_part_evidence_kept (evidence) && count < EXITS_COUNTED_MAX; i++)
    {
      const struct ash_part_run *run = &evidence->runs[i];
      struct exit_runs runs;

      if (!run->proven || !ash_time_before (since, run->ended) ||
          !ash_prompt_parts_has (&run->parts, part) || has_exit (found, count, run))
        continue;
      runs = runs_of_exit (evidence, run, now);
      if (is_candidate (run, &runs))
        found[count++] = (struct candidate){ run, runs.begun ? runs.begun : runs.others };
    }
  return count;
}

/* How surprising it is that a part with this share is in one of so many runs. */
static double
exit_bits (double share, uint32_t runs)
{
  return -log2 (1 - pow (1 - share, runs));
}

/* Whether an exit that no quarantined part explains cut off this run, and no earlier one in the
 * list. */
static bool
is_first_of_exit (const struct ash_part_evidence *evidence, uint32_t index)
{
  const struct ash_part_run *run = &evidence->runs[index];

  if (!run->proven || run->explained)
    return false;
  for (uint32_t i = 0; i < index; i++)
    if (evidence->runs[i].proven && is_same_exit (&evidence->runs[i], run))
      return false;
  return true;
}

/* @return the number of unexplained exits from the first to the last one of the list. */
static uint32_t
count_exits_between (const struct ash_part_evidence *evidence,
                     const struct candidate found[],
                     uint32_t count)
{
  struct ash_time first = found[0].run->ended;
  struct ash_time last = first;
  uint32_t exits = 0;

  for (uint32_t i = 1; i < count; i++)
    {
      if (ash_time_before (found[i].run->ended, first))
        first = found[i].run->ended;
      if (ash_time_before (last, found[i].run->ended))
        last = found[i].run->ended;
    }
  for (uint32_t i = 0; i < ash_part_evidence_kept (evidence); i++)
    exits += !ash_time_before (evidence->runs[i].ended, first) &&
             !ash_time_before (last, evidence->runs[i].ended) && is_first_of_exit (evidence, i);
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

struct ash_part_verdict
ash_part_evidence_assess (const struct ash_part_evidence *evidence,
                          struct ash_prompt_part part,
                          struct ash_time now)
{
  const struct ash_part_history *history = &evidence->history;
  struct candidate found[EXITS_COUNTED_MAX];
  uint32_t passes = ash_part_history_passes (history, part.service);
  uint32_t most_passes = 0;
  double pass_bits;
  struct ash_part_verdict verdict = {
    .exits = find_candidates (evidence, part, now, found),
    .passed = ash_part_evidence_passed_lately (evidence, part, now),
  };

  for (uint32_t i = 0; i < verdict.exits; i++)
    {
      const struct ash_part_run *run = found[i].run;
      uint32_t index = ash_prompt_parts_find (&run->parts, part);
      uint32_t passes_since = passes - run->passes_before;

      verdict.passed = verdict.passed || (run->passed_parts >> index & 1);
      most_passes = passes_since > most_passes ? passes_since : most_passes;
      /* Another run of the same request has the same parts: it doesn't tell them apart. */
      if (!is_first_of_request (found, i))
        continue;
      verdict.bits +=
          exit_bits (ash_part_history_share (history, part, verdict.requests), found[i].among);
      verdict.requests++;
    }
  /* Since the first of these exits no answer on the part got through, but these others did. It may
   * just not have been asked for, so this counts at most as much as the exits. */
  pass_bits = -log2 (1 - ash_part_history_share (history, part, 0)) * most_passes;
  verdict.bits += pass_bits < verdict.bits ? pass_bits : verdict.bits;
  /* Any of the parts might be in any of these exits' runs by chance. */
  if (verdict.exits)
    verdict.bits -=
        choices_bits (count_exits_between (evidence, found, verdict.exits), verdict.exits) +
        log2 (ash_part_history_parts (history) + 1);
  return verdict;
}
