/**
 * @file
 * Evacuated halls and cold endpoints: the first server is in hall-a, the second in hall-b.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define ROUTERS 3
#define EVACUATED "evacuated=1"
#define WITHDRAWN "evacuated=0"

/* Longest time for which a restored store may lack an order, see ASH_STORE_LAPSE_MS. */
#define RESTORED_MS 3000

/* The rate of a cold server, as testbed_publish() declares it, over one second. */
#define COLD_PER_S 5
#define COLD_MS 3000

static void
list_in (int s, const char *hall, const char *cold_ms)
{
  const struct testbed_server *server = &testbed.servers[s];
  char target[64];
  char text[256];

  snprintf (target, sizeof target, "/put?servers/%s", server->id);
  snprintf (text, sizeof text,
            "{\"Service\":\"stock\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"%s\",\"Slots\":8,"
            "\"State\":\"ready\",\"ColdRemainingMs\":%s}",
            server->port, hall, cold_ms);
  testbed_fetch (testbed.store_port, "PUT", target, text);
}

static void
control_store (const char *target)
{
  testbed_fetch (testbed.store_port, "PUT", target, "{}");
}

static void
wait_all (int routers, const char *text)
{
  for (int r = 0; r < routers; r++)
    CU_ASSERT_TRUE_FATAL (testbed_wait_logged (&testbed, r, text));
}

static void
start_two_halls (int routers)
{
  start_routers (routers);
  list_in (1, "hall-b", "0");
  wait_all (routers, "hall=hall-b revision=");
}

/* Calls each router in turn. @return how many requests reached the first server. */
static int
arrived_in_hall (int routers, int calls)
{
  int before = count_of (server_log (0), " POST ");

  for (int i = 0; i < calls; i++)
    {
      testbed_call_at (&testbed, i % routers, "c", "/safe/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  return count_of (server_log (0), " POST ") - before;
}

/* A request that runs in the hall is finished there; new ones go elsewhere until the order is
 * withdrawn. */
static void
test_evacuated (void)
{
  int fd;

  start_two_halls (ROUTERS);
  fd = testbed_connect (&testbed, 0);
  testbed_send (fd, "POST /once/x HTTP/1.1\r\n" HEAD
                    "running\r\nX-Do: *=slow\r\nContent-Length: 5\r\n\r\nhello");
  wait_arrived ("running");
  control_store ("/put?op/evacuate/hall-a");
  wait_all (ROUTERS, EVACUATED);
  testbed_read (fd, &answer);
  close (fd);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_EQUAL (arrived_in_hall (ROUTERS, 12), 0);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (testbed_fetch (testbed.routers[0].metrics_port, "GET", "/metrics", ""),
              "ash_hall_evacuated{hall=\"hall-a\"} 1"));
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " halls_empty "));
  control_store ("/remove?op/evacuate/hall-a");
  wait_all (ROUTERS, WITHDRAWN);
  /* The endpoint is cold at first: not every router may send to it. */
  for (int i = 0; i < 100 && arrived_in_hall (ROUTERS, ROUTERS) < ROUTERS; i++)
    fleet_sleep_ms (50);
  CU_ASSERT (arrived_in_hall (ROUTERS, 24) > 0);
  testbed_stop (&testbed);
}

/* All halls of a service are evacuated: its requests are refused at once. */
static void
test_all_evacuated (void)
{
  start_two_halls (1);
  control_store ("/put?op/evacuate/hall-a");
  control_store ("/put?op/evacuate/hall-b");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "hall=hall-a " EVACUATED));
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "hall=hall-b " EVACUATED));
  testbed_call (&testbed, "none", "/once/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (answer_has ("Retry-After:"));
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "none"), 0);
  testbed_stop (&testbed);
}

/* Orders for halls that don't exist, and whose name is too long, affect nothing else. */
static void
test_odd_halls (void)
{
  char target[200] = "/put?op/evacuate/";

  start_two_halls (1);
  memset (target + strlen (target), 'x', 100);
  control_store (target);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "not the name of a hall"));
  control_store ("/put?op/evacuate/nowhere");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "hall=nowhere " EVACUATED));
  CU_ASSERT (testbed_logged (&testbed, 0, "endpoints=0"));
  CU_ASSERT (arrived_in_hall (1, 8) > 0);
  testbed_stop (&testbed);
}

/* A router that starts while the store is silent learns the order from its peers. */
static void
test_told_by_peers (void)
{
  start_two_halls (2);
  control_store ("/put?op/evacuate/hall-a");
  wait_all (2, EVACUATED);
  control_store ("/mode?silent");
  testbed_start_router (&testbed, 2);
  CU_ASSERT (testbed_wait_logged (&testbed, 2, EVACUATED));
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 2, true));
  CU_ASSERT_EQUAL (arrived_in_hall (3, 12), 0);
  testbed_stop (&testbed);
}

/* A router that was stopped while the order was withdrawn still has it, but its peers don't take it
 * over from it. */
static void
test_outdated_peer (void)
{
  start_two_halls (ROUTERS);
  control_store ("/put?op/evacuate/hall-a");
  wait_all (ROUTERS, EVACUATED);
  kill (testbed.routers[2].pid, SIGSTOP);
  control_store ("/remove?op/evacuate/hall-a");
  wait_all (2, WITHDRAWN);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " link_down "));
  kill (testbed.routers[2].pid, SIGCONT);
  CU_ASSERT (testbed_wait_logged (&testbed, 2, WITHDRAWN));
  for (int r = 0; r < ROUTERS; r++)
    CU_ASSERT_EQUAL (testbed_count_logged (&testbed, r, EVACUATED), 1);
  testbed_stop (&testbed);
}

/* The order is withdrawn while the store is unavailable, and then the store's history is lost: the
 * routers see only that the listing lacks it. */
static void
test_withdrawn_in_outage (void)
{
  start_two_halls (2);
  control_store ("/put?op/evacuate/hall-a");
  wait_all (2, EVACUATED);
  control_store ("/mode?busy");
  wait_all (1, " platform_down ");
  control_store ("/remove?op/evacuate/hall-a");
  control_store ("/mode?forget");
  control_store ("/mode?ok");
  wait_all (2, WITHDRAWN);
  testbed_stop (&testbed);
}

/* A store is restored from a copy that is older than the order. The operator writes it again. */
static void
test_store_restored (void)
{
  start ();
  control_store ("/era?1");
  list_in (1, "hall-b", "0");
  control_store ("/put?op/evacuate/hall-a");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, EVACUATED));
  /* Two servers, the configuration, and the second server's new entry come before the order. */
  control_store ("/restore?4");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " store_era "));
  fleet_sleep_ms (300);
  CU_ASSERT_EQUAL (arrived_in_hall (1, 8), 0);
  control_store ("/put?op/evacuate/hall-a");
  fleet_sleep_ms (RESTORED_MS);
  CU_ASSERT_EQUAL (arrived_in_hall (1, 8), 0);
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, WITHDRAWN));
  /* The next restored copy lacks it too, and the operator does not want it any more. */
  control_store ("/restore?4");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, WITHDRAWN));
  testbed_stop (&testbed);
}

/* A cold server gets no more than it accepts, from all routers together; a warm one gets the
 * rest. */
static void
test_cold (void)
{
  int64_t began_ms;
  int arrived = 0;

  start_two_halls (ROUTERS);
  fleet_sleep_ms (COLD_MS);
  list_in (0, "hall-a", "3000");
  wait_all (ROUTERS, " endpoint_cold ");
  began_ms = fleet_now_ms ();
  while (fleet_now_ms () < began_ms + 2000)
    arrived += arrived_in_hall (ROUTERS, 3 * ROUTERS);
  CU_ASSERT (arrived > 0 && arrived <= 2 * COLD_PER_S + 2);
  fleet_sleep_ms (COLD_MS - 1500);
  CU_ASSERT (arrived_in_hall (ROUTERS, 24) > 0);
  testbed_stop (&testbed);
}

/* A cold time that is not valid does not make the server unusable. */
static void
test_odd_cold_times (void)
{
  start_two_halls (1);
  list_in (0, "hall-a", "\"soon\"");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " cold_time_invalid "));
  CU_ASSERT (arrived_in_hall (1, 8) > 0);
  list_in (0, "hall-a", "-5");
  list_in (0, "hall-a", "604800000");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "cold_ms=604800000"));
  testbed_call (&testbed, "ok", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_EQUAL (testbed_count_logged (&testbed, 0, " cold_time_invalid "), 3);
  testbed_stop (&testbed);
}

const struct fault_test router_evacuation_tests[] = {
  { "a hall is evacuated and taken back", test_evacuated },
  { "all halls are evacuated", test_all_evacuated },
  { "evacuations of odd halls", test_odd_halls },
  { "an evacuation is learned from peers", test_told_by_peers },
  { "a peer that lacks the end of an evacuation", test_outdated_peer },
  { "an evacuation that ends while the store is away", test_withdrawn_in_outage },
  { "an evacuation, and a restored store", test_store_restored },
  { "a cold endpoint gets what it bears", test_cold },
  { "odd cold times", test_odd_cold_times },
  { NULL, NULL },
};
