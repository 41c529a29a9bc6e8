/**
 * @file
 * Measures how long changes of the expert map stall a group with real agents: without
 * faults, and when the coordinator is killed during a change. Prints a Markdown table to
 * standard output.
 */
#include "proto/ash.pb-c.h"
#include "test/group_fleet.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define CHANGES 12
#define COORDINATOR_KILLS 12
#define TAKEOVERS 5

static void
print_row (const struct group_fleet *group, const char *what)
{
  printf ("| %s | %lld | %lld | %lld | %lld |\n", what,
          (long long) group_fleet_read_counter (group, "changes"),
          (long long) group_fleet_read_counter (group, "steps"),
          (long long) group_fleet_read_counter (group, "longest_wait_ms"),
          (long long) group_fleet_read_counter (group, "differences"));
}

static void
measure_normal (void)
{
  struct group_fleet group;

  group_fleet_start (&group);
  for (int i = 0; i < CHANGES; i++)
    {
      int64_t changes = group_fleet_read_counter (&group, "changes");

      group_fleet_make_hot (&group, i);
      if (!group_fleet_wait (&group, "changes", changes + 1))
        break;
    }
  print_row (&group, "nothing fails");
  group_fleet_stop (&group);
}

static void
measure_killed (void)
{
  struct group_fleet group;

  group_fleet_start (&group);
  for (int i = 0; i < COORDINATOR_KILLS; i++)
    {
      group_fleet_make_hot (&group, i);
      fleet_sleep_ms (300 + 31 * i);
      fleet_end_process (&group.agents[0], SIGKILL);
      fleet_sleep_ms (1500);
      group_fleet_start_agent (&group, 0);
      fleet_sleep_ms (500);
    }
  print_row (&group, "the coordinator is killed 12 times");
  group_fleet_stop (&group);
}

/* The worst case: the coordinator is killed after all ranks are armed and before any
 * commit, so that the group waits. The coordinator is restarted at once, and an agent
 * has to detect the unfinished change and take it over. */
static void
measure_takeover (void)
{
  struct group_fleet group;

  for (int i = 0; i < TAKEOVERS; i++)
    {
      group_fleet_start (&group);
      group_fleet_drop_orders (&group, ASH__RANK_ORDER__KIND__COMMIT);
      group_fleet_make_hot (&group, i);
      if (group_fleet_wait_stalled (&group))
        {
          fleet_end_process (&group.agents[0], SIGKILL);
          group_fleet_drop_orders (&group, ASH__RANK_ORDER__KIND__NONE);
          group_fleet_start_agent (&group, 0);
          group_fleet_wait (&group, "steps", group_fleet_read_counter (&group, "steps") + 100);
        }
      print_row (&group, "killed between arm and commit");
      group_fleet_stop (&group);
    }
}

int
main (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  printf ("| case | changes in use | steps | longest wait between two steps, ms | steps with two "
          "maps |\n|---|---|---|---|---|\n");
  measure_normal ();
  measure_killed ();
  measure_takeover ();
  return EXIT_SUCCESS;
}
