/**
 * @file
 * The router before a group of ranks: its expert maps follow what is asked for, and
 * no call is broken by it.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define CALLERS 6

/* Streams one after the other, over router @p r, until told to stop. */
struct caller
{
  pthread_t thread;
  int r;
  volatile bool stop;
  int whole;
  int cut;
};

static void *
keep_calling (void *data)
{
  struct caller *caller = data;
  struct world_answer *own = calloc (1, sizeof *own);

  while (own && !caller->stop)
    {
      int fd = world_connect (&world, caller->r);

      if (fd < 0)
        {
          fleet_sleep_ms (50);
          continue;
        }
      world_send (fd, "POST /model/x HTTP/1.1\r\n" HEAD "g1\r\nContent-Length: 0\r\n\r\n");
      world_read (fd, own);
      if (own->status == 200 && own->whole)
        caller->whole++;
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
  int whole = 0;

  for (int i = 0; i < CALLERS; i++)
    callers[i].stop = true;
  for (int i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      whole += callers[i].whole;
    }
  return whole;
}

/* Waits until the group has changed its map so often. */
static bool
wait_changes (long changes)
{
  for (int i = 0; i < 400; i++)
    {
      if (world_group (&world, "changes") >= changes)
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

  world_start (&world);
  world_start_group (&world);
  world_publish (&world);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true));
  start_callers (callers, 0);
  CU_ASSERT (wait_changes (1));
  /* What is asked for shifts: the map follows. */
  changes = world_group (&world, "changes");
  world_get (world.ranks[0], "GET", "/state?shift=7", "");
  CU_ASSERT (wait_changes (changes + 1));
  CU_ASSERT (stop_callers (callers) > 0);
  CU_ASSERT_EQUAL (world_group (&world, "broken"), 0);
  CU_ASSERT (world_logged (&world, 0, "map_changed"));
  world_stop (&world);
}

/* The map still follows a shift, all ranks had one map throughout, and the group never stood for
 * long. */
static void
end_calm (struct caller *callers)
{
  long changes = world_group (&world, "changes");

  world_get (world.ranks[0], "GET", "/state?shift=6", "");
  CU_ASSERT (wait_changes (changes + 1));
  CU_ASSERT (stop_callers (callers) > 0);
  CU_ASSERT_EQUAL (world_group (&world, "broken"), 0);
  CU_ASSERT (world_group (&world, "standing_ms") < 3000);
  world_stop (&world);
}

/* Starts two routers before a group, with callers at the second. */
static void
start_led (struct caller *callers, void (*start_world) (struct world *))
{
  start_world (&world);
  world_start_group (&world);
  world_publish (&world);
  world_start_router (&world, 1);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true) && world_wait_ready (&world, 1, true));
  start_callers (callers, 1);
}

/* Orders get lost or come late, and the router that leads is killed again and again. */
static void
test_maps_in_trouble (void)
{
  struct caller callers[CALLERS];

  start_led (callers, world_start);
  world_get (world.ranks[0], "GET", "/state?late=10", "");
  for (int i = 0; i < 5; i++)
    {
      char target[32];

      snprintf (target, sizeof target, "/state?shift=%d", 3 * i);
      world_get (world.ranks[0], "GET", target, "");
      fleet_sleep_ms (600 + 130 * i);
      fleet_end_process (&world.routers[0].pid, SIGKILL);
      world_start_router (&world, 0);
    }
  /* Calm again: late orders are over, and the map follows once more. */
  world_get (world.ranks[0], "GET", "/state?late=0", "");
  fleet_sleep_ms (2000);
  end_calm (callers);
}

/* The router that leads is away while demand shifts, with a change held, armed or half done;
 * another one leads meanwhile. On waking it believes nothing of what it knew. */
static void
test_leader_suspended (void)
{
  struct caller callers[CALLERS];

  start_led (callers, world_start_suspendable);
  CU_ASSERT (wait_changes (1));
  for (int i = 0; i < 4; i++)
    {
      char target[32];

      snprintf (target, sizeof target, "/state?shift=%d", 3 * i + 2);
      world_get (world.ranks[0], "GET", target, "");
      fleet_sleep_ms (90 * i);
      kill (world.routers[0].pid, SIGSTOP);
      fleet_sleep_ms (i % 2 ? 1500 : 100);
      world_clock_ahead (&world, i % 2 ? 5000 : 1500);
      kill (world.routers[0].pid, SIGCONT);
      fleet_sleep_ms (600);
    }
  end_calm (callers);
}

/* The router that leads is stopped while the group stands for it. The one that would lead next does
 * not wait for the link to be silent for a second, nor for reports that lag. */
static void
test_leader_stuck (void)
{
  struct caller callers[CALLERS];
  int64_t stopped;
  long step;

  start_led (callers, world_start);
  CU_ASSERT (wait_changes (1));
  world_get (world.ranks[0], "GET", "/state?deaf=1", "");
  world_get (world.ranks[0], "GET", "/state?shift=7", "");
  for (int i = 0; i < 4000 && !world_group (&world, "held"); i++)
    fleet_sleep_ms (1);
  kill (world.routers[0].pid, SIGSTOP);
  stopped = fleet_now_ms ();
  CU_ASSERT_EQUAL (world_group (&world, "held"), 1);
  step = world_group (&world, "step");
  world_get (world.ranks[0], "GET", "/state?deaf=0", "");
  while (world_group (&world, "step") == step && fleet_now_ms () - stopped < 5000)
    fleet_sleep_ms (5);
  CU_ASSERT (fleet_now_ms () - stopped < 1000);
  CU_ASSERT (world_logged (&world, 1, "map_leader"));
  kill (world.routers[0].pid, SIGCONT);
  end_calm (callers);
}

const struct fault_test router_map_tests[] = {
  { "expert maps follow what is asked for", test_maps },
  { "expert maps in trouble", test_maps_in_trouble },
  { "suspended: the router that leads", test_leader_suspended },
  { "the router that leads stops while it holds a step", test_leader_stuck },
  { NULL, NULL },
};
