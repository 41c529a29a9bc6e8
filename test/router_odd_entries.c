/**
 * @file
 * Entries of other writers in the list of endpoints: an odd one ends no router, keeps none from
 * following the list, and takes no requests from the endpoints that are listed properly.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

/* Requests to each router after each entry. */
#define REQUESTS 8

/* Members of an entry that are valid, but for one that the caller adds. */
#define STOCK "\"Service\":\"stock\",\"Zone\":\"hall-a\",\"State\":\"ready\""
#define ADDRESS "\"Address\":\"127.0.0.1:9\""

/* Checks that both routers serve requests, and are the processes that were started. */
static void
check_routers (const char *value)
{
  char id[24];
  bool ok = true;

  for (int r = 0; r < 2; r++)
    for (int i = 0; i < REQUESTS; i++)
      {
        static int number;

        snprintf (id, sizeof id, "odd-%d", ++number);
        testbed_call_at (&testbed, r, id, i % 2 ? "/once/x" : "/safe/x", NULL, "", &answer);
        ok = ok && answer.status == 200;
        if (answer.status != 200)
          printf ("\n  %.120s\n  gave %d %.80s", value, answer.status, answer.body);
      }
  CU_ASSERT (ok);
  for (int r = 0; r < 2; r++)
    CU_ASSERT_EQUAL (waitpid (testbed.routers[r].pid, NULL, WNOHANG), 0);
}

/* Waits until router @p r has logged @p event of server B @p count times. */
static void
wait_event (const char *event, int r, int count)
{
  char text[96];

  snprintf (text, sizeof text, "%s box=router-%d module=router endpoint=i-B1 ", event, r);
  for (int i = 0; i < 500 && testbed_count_logged (&testbed, r, text) < count; i++)
    fleet_sleep_ms (20);
  CU_ASSERT (testbed_count_logged (&testbed, r, text) >= count);
}

/* Publishes an entry. Both routers follow the list behind it: server B leaves and comes back. A
 * router that starts reads the entry in its first listing, before those of the servers. */
static void
check_entry (int number, const char *value)
{
  testbed_fetch (testbed.store_port, "PUT", "/put?servers/a-odd", value);
  testbed_list_server (&testbed, 1, "draining");
  wait_event ("endpoint_leaving", 0, 1);
  wait_event ("endpoint_leaving", 1, number);
  testbed_list_server (&testbed, 1, "ready");
  wait_event ("endpoint_listed", 0, 2);
  wait_event ("endpoint_listed", 1, number + 1);
  check_routers (value);
  restart_router ();
  check_routers (value);
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/a-odd", "");
}

static void
check_all (const char *const *values, size_t count)
{
  testbed_start (&testbed);
  testbed.grace = "resend_slack = 10000";
  testbed_publish (&testbed);
  restart_router ();
  testbed_start_router (&testbed, 1);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 1, true));
  for (size_t i = 0; i < count; i++)
    check_entry ((int) i + 1, values[i]);
  testbed_stop (&testbed);
}

#define CHECK_ALL(values) check_all (values, sizeof (values) / sizeof (values)[0])

static void
test_numbers (void)
{
  static const char *const values[] = {
    "{" STOCK "," ADDRESS ",\"Slots\":1e999}",
    "{" STOCK "," ADDRESS ",\"Slots\":99999999999999999999999999}",
    "{" STOCK "," ADDRESS ",\"Slots\":18446744073709551616}",
    "{" STOCK "," ADDRESS ",\"Slots\":9223372036854775807}",
    "{" STOCK "," ADDRESS ",\"Slots\":4294967296}",
    "{" STOCK "," ADDRESS ",\"Slots\":4294967295}",
    "{" STOCK "," ADDRESS ",\"Slots\":4294967290}",
    "{" STOCK "," ADDRESS ",\"Slots\":4294967288}",
    "{" STOCK "," ADDRESS ",\"Slots\":2147483648}",
    "{" STOCK "," ADDRESS ",\"Slots\":0}",
    "{" STOCK "," ADDRESS ",\"Slots\":8,\"ColdRemainingMs\":9223372036854775807}",
    "{" STOCK "," ADDRESS ",\"Slots\":8,\"ColdRemainingMs\":-9223372036854775808}",
    "{" STOCK "," ADDRESS ",\"Slots\":8,\"ColdRemainingMs\":1e300}",
    "{" STOCK "," ADDRESS ",\"Slots\":8,\"born\":9223372036854775807}",
    "{" STOCK "," ADDRESS ",\"Slots\":8,\"born\":-9223372036854775808}",
    "{" STOCK "," ADDRESS ",\"Slots\":8,\"Sequence\":1e400}",
  };

  CHECK_ALL (values);
}

static void
test_ports (void)
{
  static const char *const values[] = {
    "{" STOCK ",\"Address\":\"127.0.0.1:65536\",\"Slots\":8}",
    "{" STOCK ",\"Address\":\"127.0.0.1:99999999999999999999\",\"Slots\":8}",
    "{" STOCK ",\"Address\":\"127.0.0.1:0\",\"Slots\":8}",
    "{" STOCK ",\"Address\":\"127.0.0.1:-1\",\"Slots\":8}",
    "{" STOCK ",\"Address\":\"127.0.0.1:\",\"Slots\":8}",
    "{" STOCK ",\"Address\":\"127.0.0.1\",\"Slots\":8}",
    "{" STOCK ",\"Address\":\"127.0.0.256:80\",\"Slots\":8}",
    "{" STOCK ",\"Address\":\":80\",\"Slots\":8}",
    "{" STOCK ",\"Address\":\"0.0.0.0:0\",\"Slots\":8}",
    "{" STOCK ",\"Address\":\"host\\r\\nA: b:80\",\"Slots\":8}",
    "{\"Service\":\"model\",\"Zone\":\"hall-a\",\"State\":\"ready\","
    "\"Address\":\"127.0.0.1:65536\",\"Slots\":8}",
  };

  CHECK_ALL (values);
}

/* A deeply nested member, cut off and closed. */
static void
test_nesting (void)
{
  static const size_t depths[] = { 1000, 1000, 2100, 2100, 30000, 30000 };
  char *values[sizeof depths / sizeof depths[0]];
  size_t count = sizeof depths / sizeof depths[0];

  for (size_t i = 0; i < count; i++)
    {
      static const char start[] = "{" STOCK "," ADDRESS ",\"Slots\":8,\"more\":";
      size_t depth = depths[i];

      values[i] = calloc (1, sizeof start + 2 * depth + 1);
      if (!values[i])
        abort ();
      memcpy (values[i], start, sizeof start - 1);
      memset (values[i] + sizeof start - 1, '[', depth);
      if (i % 2)
        memset (values[i] + sizeof start - 1 + depth, ']', depth);
      values[i][strlen (values[i])] = '}';
    }
  check_all ((const char *const *) values, count);
  for (size_t i = 0; i < count; i++)
    free (values[i]);
}

const struct fault_test router_odd_entry_tests[] = {
  { "odd entries: numbers too large", test_numbers },
  { "odd entries: ports out of range", test_ports },
  { "odd entries: deeply nested", test_nesting },
  { NULL, NULL },
};
