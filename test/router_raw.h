/**
 * @file
 * Requests to endpoints that send the bytes that a test gives (the actions raw, rawclose, rawreset
 * and rawloop of test/standin_server.c, and test/standin_raw.h), and what callers may get of them.
 */
#ifndef ASH_TEST_ROUTER_RAW_H
#define ASH_TEST_ROUTER_RAW_H

#include "test/router_tests.h"

#define RAW_ID_BYTES 24

/** Requests of a case. The first ones go over kept connections. A broken answer ends its
 * connection, so those after them go over new ones. */
#define RAW_ROUNDS 3

/** Starts the testbed with a router that may resend as often as the cases of a test take. */
void raw_start (void);

/**
 * Sends requests until an endpoint was sent one: endpoints that failed are left out for a while.
 * @param id receives that request's id.
 */
void raw_call (char id[RAW_ID_BYTES], const char *path, const char *action, const char *raw);

/** Like raw_call(): one endpoint does @p action and the other one @p other, by turns of the rounds.
 */
void raw_call_by_turns (char id[RAW_ID_BYTES],
                        const char *path,
                        int round,
                        const char *action,
                        const char *other,
                        const char *raw);

/** Leaves a kept connection to each endpoint. */
void raw_keep_connections (void);

/** Checks that the last answer is the router's own, whole, and says that the request may have run.
 */
void raw_expect_unknown (const char *raw);

/**
 * Checks that a request that may not be repeated runs once, and that its caller learns that it may
 * have run; first over a kept connection, then over new ones.
 * @param action what each endpoint does.
 */
void raw_check_once (const char *path, const char *action, const char *raw);

/** Checks that a request that may be repeated is answered by the other endpoint; connections as for
 * raw_check_once(). */
void raw_check_safe (const char *path, const char *action, const char *raw);

/** A body of the store's answer: both servers have left. */
#define RAW_REMOVED                                                                                \
  "{\"events\":[{\"PrivateKey\":\"servers/i-A1\",\"Revision\":900,\"Removed\":true},"              \
  "{\"PrivateKey\":\"servers/i-B1\",\"Revision\":901,\"Removed\":true}],\"StoreRevision\":901}"

/** The store answers with @p raw for a while: checks that the router takes nothing from it, knows
 * that the store doesn't answer, and goes on with what it knows. */
void raw_check_store (const char *raw);

#endif
