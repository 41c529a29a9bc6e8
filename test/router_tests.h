/**
 * @file
 * What the files of the router's tests share: the one testbed that each test starts
 * anew, the last answer in it, and small looks at both.
 */
#ifndef ASH_TEST_ROUTER_TESTS_H
#define ASH_TEST_ROUTER_TESTS_H

#include "test/fault_tests.h"
#include "test/router_testbed.h"

/** A request's header lines up to its id, which follows. */
#define HEAD                                                                                       \
  "Host: shop.example\r\nAuthorization: Bearer key-1\r\nAshspindle-Deadline-Ms: 4000\r\n"          \
  "Ashspindle-Attempt-Id: "

/** The testbed of the test that runs. */
extern struct testbed testbed;

/** What its caller got last. */
extern struct testbed_answer answer;

/** Planned stops, by signals at any moment. */
extern const struct fault_test router_stop_tests[];

/** What comes from the store and from peers, and the silence of questions to them. */
extern const struct fault_test router_store_tests[];

/** Requests under which endpoints end. */
extern const struct fault_test router_quarantine_tests[];

/** What endpoints say of how they want to be used. */
extern const struct fault_test router_terms_tests[];

/** A store that comes back from an older copy. */
extern const struct fault_test router_era_tests[];

/** Routers whose machine was suspended. */
extern const struct fault_test router_suspended_tests[];

/** Groups of ranks, and their expert maps. */
extern const struct fault_test router_map_tests[];

/** Starts the testbed, with a configuration; the first router is ready. */
void start (void);

/** The same with so many routers; all are ready. */
void start_routers (int count);

/** Ends the first router and starts it anew, with the testbed's settings; it is ready. */
void restart_router (void);

/** Waits until a request is at a server; gives up after some 100 looks, 10 ms apart. */
void wait_arrived (const char *id);

/** @return whether the last answer holds the text. */
bool answer_has (const char *text);

/** @return a server's log. */
const char *server_log (int s);

/** @return how often a text stands in another. */
int count_of (const char *text, const char *part);

#endif
