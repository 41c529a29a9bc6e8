/**
 * @file
 * Shared by the programs of fault tests: settings with short time-outs, a runner that selects tests
 * by name, and waiting for runs and revisions.
 */
#ifndef ASH_TEST_FAULT_TESTS_H
#define ASH_TEST_FAULT_TESTS_H

#include "test/fleet.h"

#include <jansson.h>

/* Settings with short time-outs, which keep the tests short. NO_GUARD_SETTINGS is for tests that do
 * not cover guard_ms, the age below which a new incarnation rejects callers' idempotency keys. */
#define LINK_SETTINGS                                                                              \
  "heartbeat_ms = 100\nlink_silence_ms = 800\ndial_retry_ms = 50\naddress_keep_ms = 400\n"         \
  "log_level = \"debug\"\norphan_ms = 400\nkeyed_orphan_ms = 5000\npause_ms = 500\nresume_ms = "   \
  "2000\n"
#define NO_GUARD_SETTINGS LINK_SETTINGS "id_life_ms = 20000\nguard_ms = 0\n"

/* Longer than both TTLs in SHORT_TTL_SETTINGS: an incarnation of this age has itself received every
 * attempt that still counts. */
#define ID_TTL_PASSED_MS 2200
#define SHORT_TTL_SETTINGS LINK_SETTINGS "id_life_ms = 1700\nkey_life_ms = 2000\nguard_ms = 0\n"

struct fault_test
{
  const char *name;
  void (*run) (void);
};

/**
 * Runs the tests whose name contains @p part. The list ends with an element whose name is NULL.
 * @return the program's exit status.
 */
int run_fault_tests (const char *suite, const struct fault_test *tests, const char *part);

/** Like run_fault_tests(), with an array of lists of tests; NULL ends the array. */
int run_fault_tables (const char *suite, const struct fault_test *const *tables, const char *part);

/** Answers that are cut within their heads. */
extern const struct fault_test cut_head_tests[];

/** Number of concurrent streams in the load that some tests run. */
#define LOAD_STREAMS 24

/** Waits for the streams of a load and checks that each is complete, with that many tokens. */
void expect_streams (struct fleet_call *calls, int tokens);

/** Waits until an engine has @p count runs of a kind, as in fleet_count_runs().
 * @return false after 10 s. */
bool wait_runs (struct fleet *fleet, int a, const char *kind, int count);

/** Waits until a revision is active at an entry. @return false after 10 s. */
bool wait_revision (struct fleet *fleet, int e, int64_t revision);

#endif
