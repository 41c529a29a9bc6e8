/**
 * @file
 * Unit tests of the quarantine of parts of prompts, and simulations of fleets whose endpoints exit
 * on a part or for another reason.
 */
#include "bench/part_loads.h"
#include "controllers/part_quarantine.h"
#include "test/unit.h"

#include <string.h>

#define SERVICE 5
#define FIRST 100
#define BAD 200
#define MINUTE_MS (60 * 1000)
#define START_MS 1000000

/* The rule: of the requests with a part on which five endpoints have exited, at most three reach
 * endpoints 3 s later. */
#define BREACH_MAX 3
#define KNOWN_MAX_MS 3000

#define SEEDS 2

static struct ash_time
at (int64_t ms)
{
  return (struct ash_time){ START_MS + ms };
}

static struct ash_prompt_part
part_of (uint64_t id)
{
  return (struct ash_prompt_part){ SERVICE, id };
}

static struct ash_prompt_parts
parts_of (uint64_t first, uint64_t second)
{
  return (struct ash_prompt_parts){ SERVICE, { first, second }, 2 };
}

/* A run that had begun its answer, as another router reports it. */
static struct ash_part_run
run_of (uint64_t number, int64_t ended_ms, struct ash_prompt_parts parts)
{
  return (struct ash_part_run){
    .request = { 1, number },
    .endpoint = number,
    .sent = at (ended_ms - 100),
    .ended = at (ended_ms),
    .begun = true,
    .parts = parts,
    .reported = true,
    .proven = true,
  };
}

/* A router that has served many requests with the first part and different second ones. */
static void
init_busy (struct ash_part_quarantine *quarantine)
{
  *quarantine = (struct ash_part_quarantine){ 0 };
  for (uint32_t i = 0; i < 3000; i++)
    {
      struct ash_prompt_parts parts = parts_of (FIRST, 1000 + i % 100);
      struct ash_prompt_parts told;

      ash_part_history_note_request (&quarantine->evidence.history, &parts);
      ash_part_quarantine_note_pass (quarantine, &parts, at (-1000), &told);
      CU_ASSERT_EQUAL (told.count, 0);
    }
}

/* Adds a run and judges it. @return the number of parts that are quarantined because of it. */
static uint32_t
add_run (struct ash_part_quarantine *quarantine, struct ash_part_run run, struct ash_time now)
{
  const struct ash_part_run *kept = ash_part_quarantine_add_run (quarantine, &run, now);
  struct ash_part_verdict verdict;
  uint32_t count = 0;

  while (kept && ash_part_quarantine_judge (quarantine, kept, now, &verdict))
    count++;
  return count;
}

static bool
is_kept_away (const struct ash_part_quarantine *quarantine, uint64_t part, struct ash_time now)
{
  struct ash_prompt_parts parts = parts_of (FIRST, part);

  return ash_part_quarantine_left_ms (quarantine, &parts, now, false) > 0;
}

/* Quarantines BAD by three exits, the last one at 200. */
static void
init_quarantined (struct ash_part_quarantine *quarantine)
{
  init_busy (quarantine);
  for (uint32_t i = 0; i < 3; i++)
    add_run (quarantine, run_of (i, 100 * i, parts_of (FIRST, BAD)), at (100 * i));
}

/* Three exits show the rare part, not the one that all requests share. */
static void
test_rare_part (void)
{
  struct ash_part_quarantine quarantine;
  struct ash_prompt_parts parts = parts_of (FIRST, BAD);

  init_busy (&quarantine);
  CU_ASSERT_EQUAL (add_run (&quarantine, run_of (1, 0, parts), at (0)), 0);
  CU_ASSERT_EQUAL (add_run (&quarantine, run_of (2, 10, parts), at (10)), 0);
  CU_ASSERT_EQUAL (ash_part_quarantine_suspicion (&quarantine, &parts, at (10)), 2);
  CU_ASSERT_EQUAL (add_run (&quarantine, run_of (3, 20, parts), at (20)), 1);
  CU_ASSERT (is_kept_away (&quarantine, BAD, at (20)));
  CU_ASSERT_FALSE (is_kept_away (&quarantine, 1001, at (20)));
  parts.service++;
  CU_ASSERT_EQUAL (ash_part_quarantine_left_ms (&quarantine, &parts, at (20), false), 0);
  ash_part_quarantine_finish (&quarantine);
}

/* The same run by two ways, runs of one request, and old runs are not several exits. */
static void
test_repeated_evidence (void)
{
  struct ash_part_quarantine quarantine;
  struct ash_part_run run = run_of (1, 0, parts_of (FIRST, BAD));

  init_busy (&quarantine);
  add_run (&quarantine, run, at (0));
  for (uint32_t i = 0; i < 5; i++)
    CU_ASSERT_PTR_NULL (ash_part_quarantine_add_run (&quarantine, &run, at (i)));
  for (uint32_t i = 2; i < 6; i++)
    {
      run.endpoint = i;
      CU_ASSERT_EQUAL (add_run (&quarantine, run, at (i)), 0);
    }
  run = run_of (9, -11 * MINUTE_MS, parts_of (FIRST, BAD));
  CU_ASSERT_PTR_NULL (ash_part_quarantine_add_run (&quarantine, &run, at (9)));
  ash_part_quarantine_finish (&quarantine);
}

/* Runs that waited are no evidence if an answer had begun at their endpoint; else they are, once
 * all routers have reported theirs. */
static void
test_waiting_runs (void)
{
  struct ash_part_quarantine quarantine;
  const struct ash_part_run *settled;
  struct ash_part_verdict verdict;
  uint32_t count = 0;

  init_busy (&quarantine);
  for (uint32_t i = 0; i < 3; i++)
    {
      struct ash_part_run run = run_of (i, 10 * i, parts_of (FIRST, BAD));

      run.begun = false;
      CU_ASSERT_EQUAL (add_run (&quarantine, run, at (10 * i)), 0);
    }
  while ((settled = ash_part_evidence_next_settled (&quarantine.evidence, at (300))))
    while (ash_part_quarantine_judge (&quarantine, settled, at (300), &verdict))
      count++;
  CU_ASSERT_EQUAL (count, 1);
  CU_ASSERT (is_kept_away (&quarantine, BAD, at (300)));
  for (uint32_t i = 0; i < 3; i++)
    {
      struct ash_part_run run = run_of (10 + i, 500 + 10 * i, parts_of (FIRST, 300));
      struct ash_part_run begun = run_of (20 + i, 500 + 10 * i, parts_of (FIRST, 400 + i));

      run.begun = false;
      begun.endpoint = run.endpoint;
      add_run (&quarantine, run, at (500 + 10 * i));
      add_run (&quarantine, begun, at (500 + 10 * i));
    }
  while ((settled = ash_part_evidence_next_settled (&quarantine.evidence, at (900))))
    CU_ASSERT_PTR_NULL (ash_part_quarantine_judge (&quarantine, settled, at (900), &verdict));
  ash_part_quarantine_finish (&quarantine);
}

/* An answer that gets through cancels the evidence, and is reported for suspected parts only. */
static void
test_pass (void)
{
  struct ash_part_quarantine quarantine;
  struct ash_prompt_parts parts = parts_of (FIRST, BAD);
  struct ash_prompt_parts told;

  init_busy (&quarantine);
  add_run (&quarantine, run_of (1, 0, parts), at (0));
  add_run (&quarantine, run_of (2, 10, parts), at (10));
  ash_part_quarantine_note_pass (&quarantine, &parts, at (15), &told);
  CU_ASSERT (ash_prompt_parts_has (&told, part_of (BAD)));
  CU_ASSERT_EQUAL (add_run (&quarantine, run_of (3, 20, parts), at (20)), 0);
  CU_ASSERT_EQUAL (add_run (&quarantine, run_of (4, 30, parts), at (30)), 0);
  ash_part_quarantine_finish (&quarantine);
  init_quarantined (&quarantine);
  CU_ASSERT (ash_part_quarantine_clear (&quarantine, part_of (BAD), at (300)));
  CU_ASSERT_FALSE (is_kept_away (&quarantine, BAD, at (300)));
  ash_part_quarantine_finish (&quarantine);
}

/* After the quarantine the leading router tries one request at a time; if its endpoint exits, the
 * quarantine doubles. */
static void
test_trial (void)
{
  struct ash_part_quarantine quarantine;
  struct ash_prompt_parts parts = parts_of (FIRST, BAD);
  int64_t over_ms = 200 + 2 * MINUTE_MS;

  init_quarantined (&quarantine);
  CU_ASSERT_EQUAL (ash_part_quarantine_left_ms (&quarantine, &parts, at (200), true),
                   2 * MINUTE_MS);
  CU_ASSERT (ash_part_quarantine_left_ms (&quarantine, &parts, at (over_ms), false) > 0);
  CU_ASSERT_EQUAL (ash_part_quarantine_left_ms (&quarantine, &parts, at (over_ms), true), 0);
  CU_ASSERT (ash_part_quarantine_note_sent (&quarantine, &parts, at (over_ms)));
  CU_ASSERT (ash_part_quarantine_left_ms (&quarantine, &parts, at (over_ms + 1), true) > 0);
  add_run (&quarantine, run_of (9, over_ms + 100, parts), at (over_ms + 100));
  CU_ASSERT_EQUAL (ash_part_quarantine_left_ms (&quarantine, &parts, at (over_ms + 100), true),
                   4 * MINUTE_MS);
  ash_part_quarantine_tick (&quarantine, at (over_ms + 70 * MINUTE_MS));
  CU_ASSERT_EQUAL (ash_part_quarantine_left_ms (&quarantine, &parts, at (over_ms), false), 0);
  ash_part_quarantine_finish (&quarantine);
}

/* A router takes a quarantine over unless it has seen answers on the part get through. */
static void
test_take_over (void)
{
  struct ash_part_quarantine quarantine;

  init_busy (&quarantine);
  CU_ASSERT_PTR_NULL (
      ash_part_quarantine_take_over (&quarantine, part_of (FIRST), 5000, 0, at (0)));
  CU_ASSERT_PTR_NOT_NULL (
      ash_part_quarantine_take_over (&quarantine, part_of (BAD), 5000, 0, at (0)));
  CU_ASSERT (is_kept_away (&quarantine, BAD, at (0)));
  CU_ASSERT (ash_part_quarantine_is_valid (2 * MINUTE_MS, 0));
  CU_ASSERT_FALSE (ash_part_quarantine_is_valid (2 * MINUTE_MS + 1, 0));
  CU_ASSERT_FALSE (ash_part_quarantine_is_valid (0, 1000000));
  ash_part_quarantine_finish (&quarantine);
}

/* What is kept is bounded, whatever callers and peers send. */
static void
test_bounds (void)
{
  struct ash_part_quarantine quarantine = { 0 };

  for (uint32_t i = 0; i < 5000; i++)
    {
      struct ash_prompt_parts parts = parts_of (i, 10000 + i);

      parts.service = i % 300;
      ash_part_history_note_request (&quarantine.evidence.history, &parts);
      ash_part_quarantine_take_over (&quarantine, part_of (i), 5000, 0, at (0));
      add_run (&quarantine, run_of (i, 0, parts), at (0));
    }
  CU_ASSERT (ash_part_history_parts (&quarantine.evidence.history) <= ASH_PART_HISTORY_PARTS_MAX);
  CU_ASSERT (HASH_COUNT (quarantine.evidence.history.services) <= ASH_PART_HISTORY_SERVICES_MAX);
  CU_ASSERT (HASH_COUNT (quarantine.parts) <= ASH_PART_QUARANTINED_MAX);
  ash_part_quarantine_finish (&quarantine);
}

/* ---- simulated fleets ---- */

static struct part_sim_result
simulate (const char *load, uint64_t seed)
{
  struct part_sim_setup setup = part_load_setup (load);
  struct part_sim_result result;

  setup.seed = seed;
  part_sim_run (&setup, &result);
  return result;
}

/* Plays a load with a bad part: the rules hold, and no sound part is quarantined. */
static void
check_bad_load (const char *load)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct part_sim_result result = simulate (load, seed);

      CU_ASSERT (result.exits > 0);
      CU_ASSERT (result.sent_in_breach <= BREACH_MAX);
      CU_ASSERT (2 * result.sound_late_refused < result.sound_late);
      CU_ASSERT_EQUAL (result.quarantined, 0);
    }
}

static void
check_known_everywhere (const char *load)
{
  struct part_sim_result result = simulate (load, 1);

  check_bad_load (load);
  CU_ASSERT (result.known_ms >= 0 && result.known_ms <= KNOWN_MAX_MS);
}

static void
test_bad_parts (void)
{
  check_known_everywhere ("a bad part in the middle");
  check_known_everywhere ("a bad first part");
  check_known_everywhere ("a bad part at any place");
  check_known_everywhere ("a bad part in a burst");
  check_known_everywhere ("heads that come late");
  check_known_everywhere ("a fleet of 300");
  check_bad_load ("two bad parts of two routes");
  check_bad_load ("a bad part with a companion");
  check_bad_load ("a part that becomes bad");
}

static void
test_bad_parts_and_failures (void)
{
  check_bad_load ("a bad part beside kills");
  check_bad_load ("all routers start anew");
  check_bad_load ("a router is replaced");
  check_bad_load ("a router is cut off");
}

/* The part gets back into use once endpoints no longer exit on it. */
static void
test_way_back (void)
{
  CU_ASSERT (simulate ("a bad part that becomes sound", 1).free_at_end);
}

/* Endpoints that exit for other reasons, under requests that share their first part. */
static void
test_kills (void)
{
  static const char *const loads[] = { "a quiet time", "kills of one endpoint after the other",
                                       "kills of a whole hall", "kills right after a start" };

  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      {
        struct part_sim_result result = simulate (loads[i], seed);

        CU_ASSERT (result.quarantined == 0 && result.sound_refused == 0);
      }
}

void
add_part_quarantine_tests (CU_pSuite suite)
{
  CU_add_test (suite, "parts: the rare one of those in common", test_rare_part);
  CU_add_test (suite, "parts: repeated and old evidence", test_repeated_evidence);
  CU_add_test (suite, "parts: runs that waited", test_waiting_runs);
  CU_add_test (suite, "parts: answers that get through", test_pass);
  CU_add_test (suite, "parts: trials after a quarantine", test_trial);
  CU_add_test (suite, "parts: quarantines of other routers", test_take_over);
  CU_add_test (suite, "parts: bounds", test_bounds);
  CU_add_test (suite, "parts: fleets with bad parts", test_bad_parts);
  CU_add_test (suite, "parts: bad parts beside other failures", test_bad_parts_and_failures);
  CU_add_test (suite, "parts: a bad part becomes sound", test_way_back);
  CU_add_test (suite, "parts: endpoints that exit for other reasons", test_kills);
}
