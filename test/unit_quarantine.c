/**
 * @file
 * Unit tests of the quarantine, which rejects a request for a while once endpoints have repeatedly
 * exited while running it.
 */
#include "controllers/quarantine.h"
#include "test/unit.h"

#define MINUTE_MS (60 * 1000)

static const struct ash_id request_id = { 1, 2 };

static struct ash_time
at (int64_t ms)
{
  return (struct ash_time){ ms };
}

static uint64_t
address_of (uint64_t endpoint)
{
  return 100 + endpoint;
}

static struct ash_quarantine_run
run_of (struct ash_id request, uint64_t endpoint, int64_t sent_ms, int64_t ended_ms)
{
  return (struct ash_quarantine_run){ request,       endpoint, at (sent_ms),
                                      at (ended_ms), false,    address_of (endpoint) };
}

static bool
add_run (struct ash_quarantine *quarantine, int64_t sent_ms, int64_t ended_ms)
{
  struct ash_quarantine_run run = run_of (request_id, 7, sent_ms, ended_ms);

  return ash_quarantine_add_run (quarantine, &run);
}

/* Two endpoints exit in consecutive runs of a request, before either has begun its answer. */
static void
test_two_exits (void)
{
  struct ash_quarantine quarantine = { 0 };
  const struct ash_id other = { 1, 3 };

  CU_ASSERT (add_run (&quarantine, 0, 100));
  CU_ASSERT_EQUAL (ash_quarantine_left_ms (&quarantine, request_id, at (100)), 0);
  CU_ASSERT (add_run (&quarantine, 100, 200));
  CU_ASSERT_EQUAL (ash_quarantine_exits (&quarantine, request_id), 2);
  CU_ASSERT_EQUAL (ash_quarantine_left_ms (&quarantine, request_id, at (200)), 10 * MINUTE_MS);
  CU_ASSERT_EQUAL (ash_quarantine_left_ms (&quarantine, other, at (200)), 0);
  ash_quarantine_finish (&quarantine);
}

/* If an endpoint had begun to answer the request in a run, the exit may have another cause: then
 * three exits are required. */
static void
test_three_exits (void)
{
  struct ash_quarantine quarantine = { 0 };
  struct ash_quarantine_run run = run_of (request_id, 7, 0, 100);

  run.spoke = true;
  CU_ASSERT (ash_quarantine_add_run (&quarantine, &run));
  CU_ASSERT (add_run (&quarantine, 100, 200));
  CU_ASSERT_EQUAL (ash_quarantine_left_ms (&quarantine, request_id, at (200)), 0);
  CU_ASSERT (add_run (&quarantine, 300, 400));
  CU_ASSERT (ash_quarantine_left_ms (&quarantine, request_id, at (400)) > 0);
  ash_quarantine_finish (&quarantine);
}

/* Of runs that overlap in time only one counts: a rack may fail while a frequent request runs on
 * each of its endpoints. Repeated reports of a run by peers count once too. */
static void
test_concurrent_runs (void)
{
  struct ash_quarantine quarantine = { 0 };

  CU_ASSERT (add_run (&quarantine, 0, 1000));
  for (int i = 0; i < 8; i++)
    CU_ASSERT_FALSE (add_run (&quarantine, 10 * i, 1000 + i));
  CU_ASSERT_FALSE (add_run (&quarantine, 0, 1000));
  CU_ASSERT_EQUAL (ash_quarantine_exits (&quarantine, request_id), 1);
  ash_quarantine_finish (&quarantine);
}

static void
test_cleared (void)
{
  struct ash_quarantine quarantine = { 0 };

  CU_ASSERT_FALSE (ash_quarantine_clear (&quarantine, request_id));
  add_run (&quarantine, 0, 100);
  CU_ASSERT (ash_quarantine_clear (&quarantine, request_id));
  CU_ASSERT_EQUAL (ash_quarantine_exits (&quarantine, request_id), 0);
  add_run (&quarantine, 200, 300);
  CU_ASSERT_EQUAL (ash_quarantine_left_ms (&quarantine, request_id, at (300)), 0);
  ash_quarantine_finish (&quarantine);
}

/* After ten minutes the request may run again. Then a single exit is enough to quarantine it again;
 * an hour without an exit clears the record. */
static void
test_expiry (void)
{
  struct ash_quarantine quarantine = { 0 };
  int64_t later_ms = 200 + 10 * MINUTE_MS;

  add_run (&quarantine, 0, 100);
  add_run (&quarantine, 100, 200);
  ash_quarantine_tick (&quarantine, at (later_ms));
  CU_ASSERT_EQUAL (ash_quarantine_left_ms (&quarantine, request_id, at (later_ms - 1)), 1);
  CU_ASSERT_EQUAL (ash_quarantine_left_ms (&quarantine, request_id, at (later_ms)), 0);
  add_run (&quarantine, later_ms, later_ms + 50);
  CU_ASSERT (ash_quarantine_left_ms (&quarantine, request_id, at (later_ms + 50)) > 0);
  ash_quarantine_tick (&quarantine, at (later_ms + 50 + 60 * MINUTE_MS));
  CU_ASSERT_EQUAL (ash_quarantine_exits (&quarantine, request_id), 0);
  ash_quarantine_finish (&quarantine);
}

/* A disconnect alone is no evidence. An exit of the endpoint turns recent disconnects from it into
 * evidence. */
static void
test_disconnects (void)
{
  struct ash_quarantine quarantine = { 0 };
  struct ash_quarantine_run found[ASH_QUARANTINE_DISCONNECTS];
  struct ash_quarantine_run local = run_of (request_id, 7, 0, 1000);
  struct ash_quarantine_run remote = run_of ((struct ash_id){ 5, 5 }, 8, 0, 1000);

  ash_quarantine_note_disconnect (&quarantine, &local);
  ash_quarantine_note_disconnect (&quarantine, &remote);
  CU_ASSERT_EQUAL (ash_quarantine_exits (&quarantine, request_id), 0);
  /* The endpoint refused connections only 2 s after the disconnect: something else has made it
   * exit. */
  CU_ASSERT_EQUAL (
      ash_quarantine_note_exit (&quarantine, 8, ASH_QUARANTINE_CONNECT_REFUSED, at (3000), found),
      0);
  CU_ASSERT_EQUAL (
      ash_quarantine_note_exit (&quarantine, 7, ASH_QUARANTINE_RESTARTED, at (4000), found), 1);
  CU_ASSERT (ash_id_equal (found[0].request, request_id));
  CU_ASSERT_EQUAL (
      ash_quarantine_note_exit (&quarantine, 7, ASH_QUARANTINE_RESTARTED, at (4000), found), 0);
  CU_ASSERT_EQUAL (ash_quarantine_exits (&quarantine, request_id), 1);
  ash_quarantine_finish (&quarantine);
}

/* An endpoint that restarts under another id at the same address, before a probe could show that
 * its former process had ended, left no evidence. */
static void
test_address_reused (void)
{
  struct ash_quarantine quarantine = { 0 };
  struct ash_quarantine_run found[ASH_QUARANTINE_DISCONNECTS];
  struct ash_quarantine_run run = run_of (request_id, 7, 0, 1000);

  ash_quarantine_note_disconnect (&quarantine, &run);
  CU_ASSERT_EQUAL (
      ash_quarantine_note_address_reused (&quarantine, address_of (8), 9, at (2000), found), 0);
  /* Endpoint 7 itself is listed again. */
  CU_ASSERT_EQUAL (
      ash_quarantine_note_address_reused (&quarantine, address_of (7), 7, at (2000), found), 0);
  CU_ASSERT_EQUAL (
      ash_quarantine_note_address_reused (&quarantine, address_of (7), 9, at (2000), found), 1);
  CU_ASSERT_EQUAL (found[0].endpoint, 7);
  CU_ASSERT_EQUAL (ash_quarantine_exits (&quarantine, request_id), 1);
  CU_ASSERT_EQUAL (
      ash_quarantine_note_address_reused (&quarantine, address_of (7), 9, at (2000), found), 0);
  /* The address is taken over long after the connection broke. */
  run = run_of ((struct ash_id){ 6, 6 }, 7, 0, 3000);
  ash_quarantine_note_disconnect (&quarantine, &run);
  CU_ASSERT_EQUAL (
      ash_quarantine_note_address_reused (&quarantine, address_of (7), 9, at (12000), found), 0);
  ash_quarantine_finish (&quarantine);
}

/* Tables are bounded: when they are full, quarantined requests stay, and suspects without enough
 * evidence are dropped. */
static void
test_bounds (void)
{
  struct ash_quarantine quarantine = { 0 };
  struct ash_quarantine_run found[ASH_QUARANTINE_DISCONNECTS];

  add_run (&quarantine, 0, 100);
  add_run (&quarantine, 100, 200);
  for (uint32_t i = 0; i < 2 * ASH_QUARANTINE_SUSPECTS_MAX; i++)
    {
      struct ash_quarantine_run run = run_of ((struct ash_id){ 9, i }, 7, 300, 400);

      CU_ASSERT (ash_quarantine_add_run (&quarantine, &run));
    }
  CU_ASSERT_EQUAL (HASH_COUNT (quarantine.suspects), ASH_QUARANTINE_SUSPECTS_MAX);
  CU_ASSERT (ash_quarantine_left_ms (&quarantine, request_id, at (400)) > 0);
  for (uint32_t i = 0; i < 2 * ASH_QUARANTINE_DISCONNECTS; i++)
    {
      struct ash_quarantine_run run = run_of ((struct ash_id){ 10, i }, 8, 300, 400);

      ash_quarantine_note_disconnect (&quarantine, &run);
    }
  CU_ASSERT_EQUAL (
      ash_quarantine_note_exit (&quarantine, 8, ASH_QUARANTINE_CONNECT_REFUSED, at (400), found),
      ASH_QUARANTINE_DISCONNECTS);
  ash_quarantine_finish (&quarantine);
}

void
add_quarantine_tests (CU_pSuite suite)
{
  CU_add_test (suite, "quarantine: two ends", test_two_exits);
  CU_add_test (suite, "quarantine: three ends of one that spoke", test_three_exits);
  CU_add_test (suite, "quarantine: runs side by side", test_concurrent_runs);
  CU_add_test (suite, "quarantine: cleared by an answer", test_cleared);
  CU_add_test (suite, "quarantine: time", test_expiry);
  CU_add_test (suite, "quarantine: ends of connections", test_disconnects);
  CU_add_test (suite, "quarantine: an address taken over", test_address_reused);
  CU_add_test (suite, "quarantine: bounds", test_bounds);
}
