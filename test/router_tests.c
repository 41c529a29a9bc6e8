#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>

struct world world;
struct world_answer answer;

void
start (void)
{
  world_start (&world);
  world_publish (&world);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true));
}

void
start_routers (int count)
{
  start ();
  for (int r = 1; r < count; r++)
    {
      world_start_router (&world, r);
      CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, r, true));
    }
}

void
restart (void)
{
  fleet_end_process (&world.routers[0].pid, SIGKILL);
  world_start_router (&world, 0);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true));
}

void
wait_arrived (const char *id)
{
  for (int i = 0; i < 100 && !world_runs (&world, id); i++)
    fleet_sleep_ms (10);
}

bool
has (const char *text)
{
  return strstr (answer.text, text) != NULL;
}

const char *
server_log (int s)
{
  return world_get (world.servers[s].port, "GET", "/log", "");
}

int
count_of (const char *text, const char *part)
{
  int count = 0;

  for (const char *at = strstr (text, part); at; at = strstr (at + 1, part))
    count++;
  return count;
}
