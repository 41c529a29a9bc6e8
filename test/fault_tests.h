/**
 * @file
 * What the programs of fault tests share: settings with short times, the run of
 * the tests by part of their name, and the operators' way to an entry.
 */
#ifndef ASH_TEST_FAULT_TESTS_H
#define ASH_TEST_FAULT_TESTS_H

#include "test/fleet.h"

#include <jansson.h>

/* Short times, so that the tests wait little; the guard is off where the case
 * is not about it. */
#define LINK_SETTINGS                                                                              \
  "heartbeat_ms = 100\nlink_silence_ms = 800\ndial_retry_ms = 50\naddress_keep_ms = 400\n"         \
  "log_level = \"debug\"\norphan_ms = 400\nkeyed_orphan_ms = 5000\npause_ms = 500\nresume_ms = "   \
  "2000\n"
#define NO_GUARD_SETTINGS LINK_SETTINGS "id_life_ms = 20000\nguard_ms = 0\n"

/* A life is old enough to know of all attempts after this. */
#define ID_TTL_PASSED_MS 2200
#define SHORT_TTL_SETTINGS LINK_SETTINGS "id_life_ms = 1700\nkey_life_ms = 2000\nguard_ms = 0\n"

/** A test. */
struct fault_test
{
  const char *name;
  void (*run) (void);
};

/**
 * Runs the tests whose name has the part; the list ends with NULL.
 * @return the program's exit status.
 */
int run_fault_tests (const char *suite, const struct fault_test *tests, const char *part);

/** The same with the tests of several lists, one after the other; NULL ends the tables. */
int run_fault_tables (const char *suite, const struct fault_test *const *tables, const char *part);

/** Streams of a load. */
#define LOAD_STREAMS 24

/** Waits for a load's streams and checks that they come whole, with that many tokens. */
void expect_streams (struct fleet_call *calls, int tokens);

/** Waits until an engine has so many runs of a kind. @return false after 10 s. */
bool wait_runs (struct fleet *fleet, int a, const char *kind, int count);

/** Waits until an entry has a revision in force. @return false after 10 s. */
bool wait_revision (struct fleet *fleet, int e, int64_t revision);

#endif
