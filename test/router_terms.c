/**
 * @file
 * What endpoints announce in their answers: rate limits, back-off, shutdown.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define ROUTERS 3

/* The rate that the stand-in server announces for the action "limit". */
#define LIMIT_PER_S 1.0

/* Tolerance above the rate limit: half of it, and five requests. */
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5

#define MS_PER_S 1000.0
#define WINDOW_MS 4000
#define CALL_PAUSE_MS 15

static int
arrived (int s)
{
  return count_of (server_log (s), " POST ");
}

/* Calls each router in turn, @p rounds times. @return how many calls were answered with 200. */
static int
call_all (const char *action, int rounds)
{
  int served = 0;

  for (int i = 0; i < rounds * ROUTERS; i++)
    {
      testbed_call_at (&testbed, i % ROUTERS, "c", "/safe/x", action, "", &answer);
      served += answer.status == 200;
    }
  return served;
}

/* Waits until each router has logged what the endpoint announced, learnt from an answer or from a
 * peer. */
static void
wait_known (int s, const char *what)
{
  char text[96];

  snprintf (text, sizeof text, "endpoint=%s %s", testbed.servers[s].id, what);
  for (int r = 0; r < ROUTERS; r++)
    CU_ASSERT_TRUE_FATAL (testbed_wait_logged (&testbed, r, text));
}

static void
test_limit_kept (void)
{
  int64_t began_ms;
  int64_t ended_ms;
  int before;
  int calls = 0;
  int served = 0;

  start_routers (ROUTERS);
  call_all ("A=limit", 6);
  wait_known (0, "limit_milli=1000");
  before = arrived (0);
  began_ms = fleet_now_ms ();
  do
    {
      served += call_all ("A=limit", 1);
      calls += ROUTERS;
      fleet_sleep_ms (ROUTERS * CALL_PAUSE_MS);
      ended_ms = fleet_now_ms ();
    }
  while (ended_ms < began_ms + WINDOW_MS);
  CU_ASSERT ((arrived (0) - before) <=
             LIMIT_FACTOR * LIMIT_PER_S * (double) (ended_ms - began_ms) / MS_PER_S + LIMIT_SLACK);
  /* The other endpoint has capacity for all requests. */
  CU_ASSERT_EQUAL (served, calls);
  testbed_stop (&testbed);
}

/* Routers that got no answer from the endpoint learn its limit from peers, also if they start
 * later. */
static void
test_limit_forwarded (void)
{
  start_routers (2);
  CU_ASSERT_TRUE_FATAL (testbed_wait_logged (&testbed, 1, " link_up "));
  for (int i = 0; i < 10; i++)
    testbed_call (&testbed, "c", "/safe/x", "A=limit", "", &answer);
  CU_ASSERT (testbed_wait_logged (&testbed, 1, "limit_milli=1000 before_milli=0 source=router"));
  testbed_start_router (&testbed, 2);
  CU_ASSERT (testbed_wait_logged (&testbed, 2, "limit_milli=1000 before_milli=0 source=router"));
  testbed_stop (&testbed);
}

/* Once the endpoint's answers no longer have a limit, it gets requests as before. */
static void
test_limit_lifted (void)
{
  int before;

  start_routers (ROUTERS);
  call_all ("A=limit", 6);
  wait_known (0, "limit_milli=1000");
  for (int i = 0; i < 400 && !testbed_logged (&testbed, 0, "limit_milli=0 before_milli=1000"); i++)
    {
      call_all (NULL, 1);
      fleet_sleep_ms (ROUTERS * CALL_PAUSE_MS);
    }
  wait_known (0, "limit_milli=0 before_milli=1000");
  before = arrived (0);
  CU_ASSERT_EQUAL (call_all (NULL, 10), 10 * ROUTERS);
  CU_ASSERT (arrived (0) - before > LIMIT_SLACK);
  testbed_stop (&testbed);
}

/* The limit is lifted while one router is stopped. That router then sends the endpoint no request
 * whose answer would show that the limit was lifted, so it must learn this from its peers. */
static void
test_limit_lifted_while_stopped (void)
{
  start_routers (ROUTERS);
  call_all ("A=limit", 6);
  wait_known (0, "limit_milli=1000");
  kill (testbed.routers[ROUTERS - 1].pid, SIGSTOP);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " link_down "));
  for (int i = 0; i < 400 && !testbed_logged (&testbed, 0, "limit_milli=0 before_milli=1000"); i++)
    {
      for (int r = 0; r < ROUTERS - 1; r++)
        testbed_call_at (&testbed, r, "c", "/safe/x", NULL, "", &answer);
      fleet_sleep_ms (ROUTERS * CALL_PAUSE_MS);
    }
  kill (testbed.routers[ROUTERS - 1].pid, SIGCONT);
  wait_known (0, "limit_milli=0 before_milli=1000");
  testbed_stop (&testbed);
}

/* Each router may send the endpoint one request before it learns that the endpoint asked for a
 * back-off. */
static void
test_backoff_kept (void)
{
  start_routers (ROUTERS);
  CU_ASSERT_EQUAL (call_all ("A=rest", 30), 30 * ROUTERS);
  CU_ASSERT (arrived (0) > 0 && arrived (0) <= ROUTERS);
  testbed_stop (&testbed);
}

/* The store's list still has the endpoint as ready; writing that entry again must not make it used
 * again. */
static void
test_leaving (void)
{
  int before;

  start_routers (ROUTERS);
  call_all ("A=leave", 6);
  wait_known (0, "source=");
  before = arrived (0);
  testbed_list_server (&testbed, 0, "ready");
  CU_ASSERT_EQUAL (call_all ("A=leave", 30), 30 * ROUTERS);
  CU_ASSERT_EQUAL (arrived (0), before);
  testbed_stop (&testbed);
}

/* A router that got no answer from the endpoint learns from a peer that the endpoint is leaving. */
static void
test_leaving_forwarded (void)
{
  start ();
  for (int i = 0; i < 10; i++)
    testbed_call (&testbed, "c", "/safe/x", "A=leave", "", &answer);
  testbed_start_router (&testbed, 1);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 1, true));
  CU_ASSERT (testbed_wait_logged (&testbed, 1, "endpoint_leaving"));
  for (int i = 0; i < 20; i++)
    testbed_call_at (&testbed, 1, "late", "/safe/x", "A=leave", "", &answer);
  CU_ASSERT_EQUAL (count_of (server_log (0), "late POST"), 0);
  testbed_stop (&testbed);
}

const struct fault_test router_terms_tests[] = {
  { "a rate that an endpoint names is kept by all routers together", test_limit_kept },
  { "a rate that an endpoint names is told on", test_limit_forwarded },
  { "a rate that an endpoint no longer names", test_limit_lifted },
  { "a rate that is no longer named while a router is away", test_limit_lifted_while_stopped },
  { "an endpoint that asks for rest gets it", test_backoff_kept },
  { "an endpoint that says in an answer that it leaves", test_leaving },
  { "an endpoint that told another router that it leaves", test_leaving_forwarded },
  { NULL, NULL },
};
