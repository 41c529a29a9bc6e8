#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>

struct testbed testbed;
struct testbed_answer answer;

void
start (void)
{
  testbed_start (&testbed);
  testbed_publish (&testbed);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
}

void
start_routers (int count)
{
  start ();
  for (int r = 1; r < count; r++)
    {
      testbed_start_router (&testbed, r);
      CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, r, true));
    }
}

void
restart_router (void)
{
  fleet_end_process (&testbed.routers[0].pid, SIGKILL);
  testbed_start_router (&testbed, 0);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
}

int
restart_servers (void)
{
  int count = testbed_restart_servers (&testbed);

  for (int s = 0; count && s < TESTBED_SERVERS; s++)
    for (int r = 0; r < 2; r++)
      {
        char text[48];

        snprintf (text, sizeof text, "endpoint=%s ", testbed.servers[s].id);
        CU_ASSERT (testbed_wait_logged (&testbed, r, text));
      }
  return count;
}

void
list_dead_servers (int count, bool listed)
{
  char target[64];

  for (int i = 0; i < count; i++)
    {
      snprintf (target, sizeof target, "/%s?servers/i-dead%d", listed ? "put" : "remove", i);
      testbed_fetch (testbed.store_port, "PUT", target,
                     "{\"Service\":\"stock\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"hall-a\","
                     "\"Slots\":8,\"State\":\"ready\"}");
    }
}

void
wait_arrived (const char *id)
{
  for (int i = 0; i < 100 && !testbed_count_runs (&testbed, id); i++)
    fleet_sleep_ms (10);
}

bool
answer_has (const char *text)
{
  return strstr (answer.text, text) != NULL;
}

const char *
server_log (int s)
{
  return testbed_fetch (testbed.servers[s].port, "GET", "/log", "");
}

int
count_of (const char *text, const char *part)
{
  int count = 0;

  for (const char *at = strstr (text, part); at; at = strstr (at + 1, part))
    count++;
  return count;
}

bool
server_logs_contain (const char *text)
{
  bool first = strstr (server_log (0), text) != NULL;

  return first || strstr (server_log (1), text) != NULL;
}
