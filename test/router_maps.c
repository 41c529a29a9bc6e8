/**
 * @file
 * The router with a group of ranks: expert maps follow the demand for experts, and no stream breaks
 * because of a change.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define CALLERS 6

/* A thread that requests one stream after the other from router @p r. */
struct caller
{
  pthread_t thread;
  int r;
  volatile bool stop;
  int complete;
  int cut;
};

static void *
keep_calling (void *data)
{
  struct caller *caller = data;
  struct testbed_answer *own = calloc (1, sizeof *own);

  while (own && !caller->stop)
    {
      int fd = testbed_connect (&testbed, caller->r);

      if (fd < 0)
        {
          fleet_sleep_ms (50);
          continue;
        }
      testbed_send (fd, "POST /model/x HTTP/1.1\r\n" HEAD "g1\r\nContent-Length: 0\r\n\r\n");
      testbed_read (fd, own);
      if (own->status == 200 && own->complete)
        caller->complete++;
      else
        caller->cut++;
      close (fd);
    }
  free (own);
  return NULL;
}

static void
start_callers (struct caller *callers, int r)
{
  for (int i = 0; i < CALLERS; i++)
    {
      callers[i] = (struct caller){ .r = r };
      pthread_create (&callers[i].thread, NULL, keep_calling, &callers[i]);
    }
}

static int
stop_callers (struct caller *callers)
{
  int complete = 0;

  for (int i = 0; i < CALLERS; i++)
    callers[i].stop = true;
  for (int i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      complete += callers[i].complete;
    }
  return complete;
}

/* Waits until the group has changed its map @p changes times. @return false after 10 s. */
static bool
wait_changes (long changes)
{
  for (int i = 0; i < 400; i++)
    {
      if (testbed_group_state (&testbed, "changes") >= changes)
        return true;
      fleet_sleep_ms (25);
    }
  return false;
}

static void
test_maps (void)
{
  struct caller callers[CALLERS];
  long changes;

  testbed_start (&testbed);
  testbed_start_group (&testbed);
  testbed_publish (&testbed);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
  start_callers (callers, 0);
  CU_ASSERT (wait_changes (1));
  /* Demand shifts to other experts, and the map follows. */
  changes = testbed_group_state (&testbed, "changes");
  testbed_fetch (testbed.ranks[0], "GET", "/state?shift=7", "");
  CU_ASSERT (wait_changes (changes + 1));
  CU_ASSERT (stop_callers (callers) > 0);
  CU_ASSERT_EQUAL (testbed_group_state (&testbed, "broken"), 0);
  CU_ASSERT (testbed_logged (&testbed, 0, "map_changed"));
  testbed_stop (&testbed);
}

/* Checks that the map still follows a shift, that all ranks had the same map in each pass, and that
 * the group never stalled for 3 s. */
static void
check_recovered (struct caller *callers)
{
  long changes = testbed_group_state (&testbed, "changes");

  testbed_fetch (testbed.ranks[0], "GET", "/state?shift=6", "");
  CU_ASSERT (wait_changes (changes + 1));
  CU_ASSERT (stop_callers (callers) > 0);
  CU_ASSERT_EQUAL (testbed_group_state (&testbed, "broken"), 0);
  CU_ASSERT (testbed_group_state (&testbed, "standing_ms") < 3000);
  testbed_stop (&testbed);
}

/* Starts two routers and a group. The first router leads, and all callers use the second. */
static void
start_with_leader (struct caller *callers, void (*start_testbed) (struct testbed *))
{
  start_testbed (&testbed);
  testbed_start_group (&testbed);
  testbed_publish (&testbed);
  testbed_start_router (&testbed, 1);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true) &&
                        testbed_wait_ready (&testbed, 1, true));
  start_callers (callers, 1);
}

/* Orders are executed late and never answered, and the leading router is killed repeatedly. */
static void
test_maps_with_faults (void)
{
  struct caller callers[CALLERS];

  start_with_leader (callers, testbed_start);
  testbed_fetch (testbed.ranks[0], "GET", "/state?late=10", "");
  for (int i = 0; i < 5; i++)
    {
      char target[32];

      snprintf (target, sizeof target, "/state?shift=%d", 3 * i);
      testbed_fetch (testbed.ranks[0], "GET", target, "");
      fleet_sleep_ms (600 + 130 * i);
      fleet_end_process (&testbed.routers[0].pid, SIGKILL);
      testbed_start_router (&testbed, 0);
    }
  /* No order is delayed any more, and the delayed ones have been executed. */
  testbed_fetch (testbed.ranks[0], "GET", "/state?late=0", "");
  fleet_sleep_ms (2000);
  check_recovered (callers);
}

/* The leading router is suspended while demand shifts, with a map change held, armed or partly
 * done; another router leads meanwhile. After resuming it must discard its old state. */
static void
test_leader_suspended (void)
{
  struct caller callers[CALLERS];

  start_with_leader (callers, testbed_start_suspendable);
  CU_ASSERT (wait_changes (1));
  for (int i = 0; i < 4; i++)
    {
      char target[32];

      snprintf (target, sizeof target, "/state?shift=%d", 3 * i + 2);
      testbed_fetch (testbed.ranks[0], "GET", target, "");
      fleet_sleep_ms (90 * i);
      kill (testbed.routers[0].pid, SIGSTOP);
      fleet_sleep_ms (i % 2 ? 1500 : 100);
      testbed_advance_boot_clock (&testbed, i % 2 ? 5000 : 1500);
      kill (testbed.routers[0].pid, SIGCONT);
      fleet_sleep_ms (600);
    }
  check_recovered (callers);
}

/* The leading router is stopped while the group is held for it. The next leader takes over within
 * 1 s: it waits neither until the link counts as silent (0.8 s) nor for delayed reports. */
static void
test_leader_stalled (void)
{
  struct caller callers[CALLERS];
  int64_t stopped;
  long step;

  start_with_leader (callers, testbed_start);
  CU_ASSERT (wait_changes (1));
  testbed_fetch (testbed.ranks[0], "GET", "/state?deaf=1", "");
  testbed_fetch (testbed.ranks[0], "GET", "/state?shift=7", "");
  for (int i = 0; i < 4000 && !testbed_group_state (&testbed, "held"); i++)
    fleet_sleep_ms (1);
  kill (testbed.routers[0].pid, SIGSTOP);
  stopped = fleet_now_ms ();
  CU_ASSERT_EQUAL (testbed_group_state (&testbed, "held"), 1);
  step = testbed_group_state (&testbed, "step");
  testbed_fetch (testbed.ranks[0], "GET", "/state?deaf=0", "");
  while (testbed_group_state (&testbed, "step") == step && fleet_now_ms () - stopped < 5000)
    fleet_sleep_ms (5);
  CU_ASSERT (fleet_now_ms () - stopped < 1000);
  CU_ASSERT (testbed_logged (&testbed, 1, "map_leader"));
  kill (testbed.routers[0].pid, SIGCONT);
  check_recovered (callers);
}

/* A rank is missing, and all ranks report that their group is stalled: the leading router tells the
 * others, also that it runs again. There is no other group, so requests are tried all the same. */
static void
test_group_stalled (void)
{
  start_routers (2);
  testbed_start_group (&testbed);
  for (int r = 0; r < 2; r++)
    CU_ASSERT (testbed_wait_logged (&testbed, r, "endpoint=i-rank3 "));
  testbed_call (&testbed, "before", "/model/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_fetch (testbed.ranks[0], "GET", "/state?stalled=1", "");
  for (int r = 0; r < 2; r++)
    {
      CU_ASSERT (testbed_wait_logged (&testbed, r, "changed=4 for_ms=1500"));
      testbed_call_at (&testbed, r, "stalled", "/model/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  testbed_fetch (testbed.ranks[0], "GET", "/state?stalled=0", "");
  for (int r = 0; r < 2; r++)
    {
      CU_ASSERT (testbed_wait_logged (&testbed, r, "changed=4 for_ms=0"));
    }
  testbed_stop (&testbed);
}

/* Ranks answer with @p bytes, at @p target of their stand-in: this says nothing of whether an order
 * was taken. The group goes on with one map, and follows the demand once its ranks answer. */
static void
check_raw_answer (const char *target, const char *bytes)
{
  static int shift_by = 3;
  long raw_answers = testbed_group_state (&testbed, "raw_answers");
  long changes;
  char shift[32];

  testbed_fetch (testbed.ranks[0], "PUT", target, bytes);
  snprintf (shift, sizeof shift, "/state?shift=%d", shift_by);
  testbed_fetch (testbed.ranks[0], "GET", shift, "");
  for (int wait = 0; wait < 400 && testbed_group_state (&testbed, "raw_answers") == raw_answers;
       wait++)
    fleet_sleep_ms (25);
  CU_ASSERT (testbed_group_state (&testbed, "raw_answers") > raw_answers);
  testbed_fetch (testbed.ranks[0], "PUT", target, "");
  changes = testbed_group_state (&testbed, "changes");
  snprintf (shift, sizeof shift, "/state?shift=%d", shift_by + 2);
  testbed_fetch (testbed.ranks[0], "GET", shift, "");
  CU_ASSERT (wait_changes (changes + 1));
  shift_by += 5;
}

static void
start_with_group (void)
{
  testbed_start (&testbed);
  testbed_start_group (&testbed);
  testbed_publish (&testbed);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
}

/* Ranks drop orders and answer them with bytes that are no answer. */
static void
test_broken_answers (void)
{
  static const char *const answers[] = {
    "HTTP/1.1 000 Odd\\r\\nContent-Length: 0\\r\\n\\r\\n",
    "HTTP/1.1 0202 Begun\\r\\nContent-Length: 0\\r\\n\\r\\n",
    "HTTP/1.1 202 Begun\\r\\nA b: x\\r\\nContent-Length: 0\\r\\n\\r\\n",
    "HTTP/1.1 202 Begun\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\rX",
  };
  struct caller callers[CALLERS];

  start_with_group ();
  start_callers (callers, 0);
  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    check_raw_answer ("/raw", answers[i]);
  CU_ASSERT (stop_callers (callers) > 0);
  CU_ASSERT_EQUAL (testbed_group_state (&testbed, "broken"), 0);
  testbed_stop (&testbed);
}

/* Guards against an answer of a rank that is cut within its head and counts as one: to an order, a
 * report, or the counts and lists of experts. */
static void
test_cut_heads (void)
{
  static const struct
  {
    const char *target;
    const char *bytes;
  } cases[] = {
    { "/raw?/order&close", "HTTP/1.1 202 Begun\\r\\nContent-Length: 0\\r\\n" },
    { "/raw?/order&reset", "HTTP/1.1 200 Done\\r\\nTransfer-Encoding: chunked\\r\\n\\r" },
    { "/raw?/order&close", "HTTP/1.1 409 No\\r\\n" },
    { "/raw?/report&close", "HTTP/1.1 200 OK\\r\\nContent-Length: 1" },
    { "/raw?/report&reset", "HTTP/1.1 200 OK\\r\\n" },
    { "/raw?/picked&close", "HTTP/1.1 200 OK\\r\\n" },
    { "/raw?/picked&reset", "HTTP/1.0 200 OK\\r\\n" },
  };
  struct caller callers[CALLERS];

  start_with_group ();
  start_callers (callers, 0);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    check_raw_answer (cases[i].target, cases[i].bytes);
  CU_ASSERT (stop_callers (callers) > 0);
  CU_ASSERT_EQUAL (testbed_group_state (&testbed, "broken"), 0);
  testbed_stop (&testbed);
}

/* Shifts of the demand, each of which leads to a change of the map. */
#define EXTRA_SHIFTS 8

/* Guards against an answer of a rank that belongs to no order and counts as the answer to one: a
 * step was let go though a rank had not taken its order to arm. */
static void
test_extra_answers (void)
{
  struct caller callers[CALLERS];
  long changes;

  start_with_group ();
  start_callers (callers, 0);
  CU_ASSERT (wait_changes (1));
  testbed_fetch (testbed.ranks[0], "GET", "/state?extra=1&deafrank=2", "");
  for (int i = 0; i < EXTRA_SHIFTS; i++)
    {
      char shift[32];

      snprintf (shift, sizeof shift, "/state?shift=%d", 5 * i + 3);
      testbed_fetch (testbed.ranks[0], "GET", shift, "");
      fleet_sleep_ms (1000);
    }
  CU_ASSERT_EQUAL (testbed_group_state (&testbed, "broken"), 0);
  /* Extra answers still come, but each order is taken: the maps follow the demand. */
  testbed_fetch (testbed.ranks[0], "GET", "/state?deafrank=-", "");
  changes = testbed_group_state (&testbed, "changes");
  testbed_fetch (testbed.ranks[0], "GET", "/state?shift=9", "");
  CU_ASSERT (wait_changes (changes + 1));
  CU_ASSERT (stop_callers (callers) > 0);
  CU_ASSERT_EQUAL (testbed_group_state (&testbed, "broken"), 0);
  testbed_stop (&testbed);
}

const struct fault_test router_map_tests[] = {
  { "a stalled group is told to all routers", test_group_stalled },
  { "expert maps follow what is asked for", test_maps },
  { "expert maps in trouble", test_maps_with_faults },
  { "suspended: the router that leads", test_leader_suspended },
  { "the router that leads stops while it holds a step", test_leader_stalled },
  { "broken answers: ranks", test_broken_answers },
  { "cut heads: ranks", test_cut_heads },
  { "ranks that send extra answers", test_extra_answers },
  { NULL, NULL },
};
