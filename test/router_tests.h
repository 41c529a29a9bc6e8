/**
 * @file
 * Shared by the files of the router's tests: the testbed, which each test starts from scratch, the
 * last answer, and helpers.
 */
#ifndef ASH_TEST_ROUTER_TESTS_H
#define ASH_TEST_ROUTER_TESTS_H

#include "test/fault_tests.h"
#include "test/router_testbed.h"

/** Header lines of a request up to its attempt id, which the caller of the macro appends. */
#define HEAD                                                                                       \
  "Host: shop.example\r\nAuthorization: Bearer key-1\r\nAshspindle-Deadline-Ms: 4000\r\n"          \
  "Ashspindle-Attempt-Id: "

/** The testbed of the running test. */
extern struct testbed testbed;

/** The answer that the last call received. */
extern struct testbed_answer answer;

/** Planned stops, with signals at any moment. */
extern const struct fault_test router_stop_tests[];

/** Data from the store and from peers, and polls (long requests for changes) without an answer. */
extern const struct fault_test router_store_tests[];

/** Requests that crash endpoints. */
extern const struct fault_test router_quarantine_tests[];
extern const struct fault_test router_outlier_tests[];

/** Answers that end with their connection. */
extern const struct fault_test router_open_answer_tests[];

/** Endpoints that send bytes that are no answer. */
extern const struct fault_test router_broken_answer_tests[];

/** Answers that are cut within their heads. */
extern const struct fault_test router_cut_head_tests[];

/** Streams that another endpoint resumes. */
extern const struct fault_test router_resumed_stream_tests[];

/** Limits of sizes on connections that callers keep. */
extern const struct fault_test router_kept_connection_tests[];

/** Odd entries in the list of endpoints. */
extern const struct fault_test router_odd_entry_tests[];

/** Names in the list of endpoints that another writer has chosen. */
extern const struct fault_test router_listed_name_tests[];

/** A router that has no descriptors left. */
extern const struct fault_test router_descriptor_tests[];

/** Pages of the list of endpoints. */
extern const struct fault_test router_list_page_tests[];

/** Parts of prompts that crash endpoints. */
extern const struct fault_test router_prompt_parts_tests[];

/** Rate limits, back-off and shutdown that endpoints announce in answers. */
extern const struct fault_test router_terms_tests[];

/** Evacuated halls and cold endpoints. */
extern const struct fault_test router_evacuation_tests[];

/** Callers that don't read their answers. */
extern const struct fault_test router_slow_reader_tests[];

/** A store that is restored from an older copy. */
extern const struct fault_test router_era_tests[];

/** Routers whose machine was suspended. */
extern const struct fault_test router_suspended_tests[];

/** Groups of ranks, and their expert maps. */
extern const struct fault_test router_map_tests[];

/** Starts the testbed and publishes a configuration; waits until the first router is ready. */
void start (void);

/** Like start(), with @p count routers; waits until all are ready. */
void start_routers (int count);

/** Kills the first router and starts it again with the testbed's current settings; waits until it
 * is ready. */
void restart_router (void);

/** Restarts the servers that crashed, and waits until the first two routers have listed them.
 * @return how many had crashed. */
int restart_servers (void);

/** Lists @p count servers that exist only in the list, or removes them. */
void list_dead_servers (int count, bool listed);

/** Waits until a server has received the request, for about 1 s at most. */
void wait_arrived (const char *id);

/** @return whether the last answer contains the text. */
bool answer_has (const char *text);

/** @return the log of server @p s: a line for each request that it received. */
const char *server_log (int s);

/** @return whether the log of any server contains the text. */
bool server_logs_contain (const char *text);

/** @return how often @p part occurs in @p text. */
int count_of (const char *text, const char *part);

#endif
