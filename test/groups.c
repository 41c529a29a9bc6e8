/**
 * @file
 * Tests changes of a group's expert map while agents are killed and paused and ranks are replaced.
 * The stand-in of the group's engines compares the maps of all ranks at every step.
 */
#include "proto/ash.pb-c.h"
#include "test/group_fleet.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <curl/curl.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define MORE_STEPS 60 /* a group that makes progress begins them within seconds */

/* Checks that the group makes progress and that no step was run with different maps. */
static void
assert_steps_consistent (const struct group_fleet *group)
{
  CU_ASSERT (
      group_fleet_wait (group, "steps", group_fleet_read_counter (group, "steps") + MORE_STEPS));
  CU_ASSERT_EQUAL (group_fleet_read_counter (group, "differences"), 0);
}

static void
test_hot_expert (void)
{
  struct group_fleet group;

  group_fleet_start (&group);
  group_fleet_make_hot (&group, 3);
  CU_ASSERT (group_fleet_wait (&group, "changes", 1));
  assert_steps_consistent (&group);
  group_fleet_stop (&group);
}

/* Kills agents 0 and 1 in turn during changes of the map; either may be the coordinator of the
 * change at that time. */
static void
kill_coordinator (void (*start) (struct group_fleet *group))
{
  struct group_fleet group;

  start (&group);
  for (int i = 0; i < 6; i++)
    {
      group_fleet_make_hot (&group, 2 * i);
      fleet_sleep_ms (350 + 37 * i);
      fleet_end_process (&group.agents[i % 2], SIGKILL);
      fleet_sleep_ms (150);
      group_fleet_start_agent (&group, i % 2);
    }
  group_fleet_make_hot (&group, 15);
  CU_ASSERT (group_fleet_wait (&group, "changes", 1));
  assert_steps_consistent (&group);
  group_fleet_stop (&group);
}

static void
test_coordinator_killed (void)
{
  kill_coordinator (group_fleet_start);
}

static void
test_coordinator_killed_unfenced (void)
{
  kill_coordinator (group_fleet_start_unfenced);
}

/* The coordinator is killed when all ranks are armed and none has received the commit: the ranks
 * hold the step until another coordinator takes over. The takeover needs the killed agent's rank,
 * so that agent is restarted, without any state, as the platform of its box would do. */
static void
test_killed_before_commit (void)
{
  struct group_fleet group;

  group_fleet_start (&group);
  group_fleet_drop_orders (&group, ASH__RANK_ORDER__KIND__COMMIT);
  group_fleet_make_hot (&group, 3);
  CU_ASSERT (group_fleet_wait_stalled (&group));
  fleet_end_process (&group.agents[0], SIGKILL);
  group_fleet_drop_orders (&group, ASH__RANK_ORDER__KIND__NONE);
  group_fleet_start_agent (&group, 0);
  assert_steps_consistent (&group);
  CU_ASSERT (group_fleet_wait (&group, "changes", 1));
  assert_steps_consistent (&group);
  group_fleet_stop (&group);
}

/* The coordinator is paused while the other agents continue, and resumes with outdated state. */
static void
pause_coordinator (void (*start) (struct group_fleet *group))
{
  struct group_fleet group;

  start (&group);
  group_fleet_make_hot (&group, 5);
  CU_ASSERT (group_fleet_wait (&group, "changes", 1));
  for (int i = 0; i < 3; i++)
    {
      group_fleet_make_hot (&group, 6 + i);
      fleet_sleep_ms (300 + 50 * i);
      kill (group.agents[0], SIGSTOP);
      fleet_sleep_ms (1500);
      kill (group.agents[0], SIGCONT);
    }
  assert_steps_consistent (&group);
  group_fleet_stop (&group);
}

static void
test_coordinator_paused (void)
{
  pause_coordinator (group_fleet_start);
}

static void
test_coordinator_paused_unfenced (void)
{
  pause_coordinator (group_fleet_start_unfenced);
}

/* A rank is replaced and has lost its state: it gets the state of the other ranks. */
static void
test_rank_replaced (void)
{
  struct group_fleet group;

  group_fleet_start (&group);
  group_fleet_make_hot (&group, 7);
  CU_ASSERT (group_fleet_wait (&group, "changes", 1));
  for (int r = 0; r < GROUP_RANKS; r++)
    {
      char path[32];

      snprintf (path, sizeof path, "/replace?rank=%d", r);
      fleet_control (group.ports[1], path);
      assert_steps_consistent (&group);
    }
  group_fleet_make_hot (&group, 1);
  assert_steps_consistent (&group);
  group_fleet_stop (&group);
}

/* Two ranks are replaced at once: both get the state of the remaining ranks. */
static void
test_two_ranks_replaced (void)
{
  struct group_fleet group;

  group_fleet_start (&group);
  group_fleet_make_hot (&group, 7);
  CU_ASSERT (group_fleet_wait (&group, "changes", 1));
  for (int r = 0; r < GROUP_RANKS; r++)
    {
      char path[64];

      snprintf (path, sizeof path, "/replace?rank=%d&other=%d", r, (r + 1) % GROUP_RANKS);
      fleet_control (group.ports[1], path);
      assert_steps_consistent (&group);
    }
  group_fleet_stop (&group);
}

/* In the lead time of a declared event, experts are moved for the loads in the event's profile,
 * while the measured loads are still even. */
static void
test_declared_event (void)
{
  struct group_fleet group;

  group_fleet_start (&group);
  fleet_sleep_ms (1000);
  CU_ASSERT_EQUAL (group_fleet_read_counter (&group, "changes"), 0);
  group_fleet_declare_event (&group, 5);
  CU_ASSERT (group_fleet_wait (&group, "changes", 1));
  assert_steps_consistent (&group);
  group_fleet_stop (&group);
}

/* An entry's operator API lists, for a group, the decisions of each agent and the loads that they
 * are based on. */
static void
test_explain (void)
{
  struct group_fleet group;
  char url[96];
  struct ash_cli_request request = { .url = url, .method = "GET", .key = GROUP_READER_KEY };
  struct ash_cli_answer answer = { 0 };
  bool moved = false;
  json_t *root;
  json_t *decisions;
  json_t *row;
  size_t i;

  group_fleet_start (&group);
  group_fleet_make_hot (&group, 3);
  CU_ASSERT (group_fleet_wait (&group, "changes", 1));
  fleet_sleep_ms (400);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/explain/group/g", group.ports[2]);
  ash_cli_fetch (&request, &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  root = json_loadb (answer.body, answer.body_bytes, 0, NULL);
  CU_ASSERT_EQUAL (json_object_size (json_object_get (root, "answers")), GROUP_RANKS);
  decisions =
      json_object_get (json_object_get (json_object_get (root, "answers"), "m0"), "decisions");
  json_array_foreach (decisions, i, row)
    if (strcmp (json_string_value (json_object_get (row, "what")), "moves") == 0)
      {
        moved = true;
        CU_ASSERT (json_integer_value (json_object_get (row, "moves")) > 0);
        CU_ASSERT (json_number_value (json_object_get (row, "skew")) >
                   json_number_value (json_object_get (row, "predicted")));
      }
  CU_ASSERT (moved);
  /* Decisions to leave the map unchanged are listed, too. */
  row = json_array_get (decisions, 0);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (row, "what")), "kept");
  json_decref (root);
  ash_cli_answer_finish (&answer);
  group_fleet_stop (&group);
}

int
main (int argc, char **argv)
{
  CU_pSuite suite;
  unsigned failures;

  (void) argc;
  (void) argv;
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  CU_initialize_registry ();
  suite = CU_add_suite ("groups", NULL, NULL);
  CU_add_test (suite, "a hot expert", test_hot_expert);
  CU_add_test (suite, "the coordinator is killed", test_coordinator_killed);
  CU_add_test (suite, "the coordinator is killed before the commit", test_killed_before_commit);
  CU_add_test (suite, "the coordinator is paused", test_coordinator_paused);
  CU_add_test (suite, "killed, and engines check no fence", test_coordinator_killed_unfenced);
  CU_add_test (suite, "paused, and engines check no fence", test_coordinator_paused_unfenced);
  CU_add_test (suite, "ranks are replaced", test_rank_replaced);
  CU_add_test (suite, "a declared event", test_declared_event);
  CU_add_test (suite, "explain", test_explain);
  CU_add_test (suite, "two ranks are replaced at once", test_two_ranks_replaced);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
