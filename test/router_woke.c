/**
 * @file
 * A router whose machine was suspended: the event loop's timers and the steady clock did not count
 * that time, all others went on.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

static void
start_suspendable (void)
{
  world_start_suspendable (&world);
  world_publish (&world);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true));
}

/* Stops the first router's process, as if its machine were suspended for so long. */
static void
suspend (void)
{
  kill (world.routers[0].pid, SIGSTOP);
  fleet_sleep_ms (50);
}

static void
resume (int64_t away_ms)
{
  world_clock_ahead (&world, away_ms);
  kill (world.routers[0].pid, SIGCONT);
}

/* What came meanwhile has been read: who comes now has not waited. */
static void
wait_awake (void)
{
  CU_ASSERT (world_wait_logged (&world, 0, " woke "));
  fleet_sleep_ms (200);
}

/* A request on a connection of its own. @return the connection. */
static int
begin (const char *id, const char *path, const char *action, const char *more)
{
  char text[512];
  int fd = world_connect (&world, 0);

  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\n" HEAD "%s\r\nX-Do: %s\r\n%sContent-Length: 5\r\n\r\nhello", path,
            id, action, more);
  world_send (fd, text);
  return fd;
}

static void
end (int fd)
{
  world_read (fd, &answer);
  close (fd);
}

/* What a caller sent while the machine was suspended may be as old as that: an endpoint is told of
 * the time that is left, and one whose caller has given up goes nowhere. */
static void
test_deadlines (void)
{
  static const int64_t away_ms[] = { 500, 2000, 5000, 30000 };

  start_suspendable ();
  for (size_t i = 0; i < sizeof away_ms / sizeof away_ms[0]; i++)
    {
      char id[24];
      char line[64];
      const char *told;
      int fd;

      snprintf (id, sizeof id, "late-%zu", i);
      suspend ();
      fd = begin (id, "/any/x", "*=ok", "");
      resume (away_ms[i]);
      end (fd);
      /* The caller waits for 4 s. */
      CU_ASSERT_EQUAL (answer.status, away_ms[i] < 4000 ? 200 : 503);
      CU_ASSERT_EQUAL (world_runs (&world, id), away_ms[i] < 4000 ? 1 : 0);
      if (away_ms[i] != 2000)
        continue;
      snprintf (line, sizeof line, "%s POST /any/x body=5 deadline=", id);
      told = strstr (server_log (0), line);
      if (!told)
        told = strstr (server_log (1), line);
      CU_ASSERT (told && atoi (told + strlen (line)) <= 2000);
    }
  wait_awake ();
  /* All is as before for who comes now. */
  end (begin ("now", "/any/x", "*=ok", ""));
  CU_ASSERT_EQUAL (answer.status, 200);
  world_stop (&world);
}

/* What was under way: its caller's time is over on waking, not when a timer of the loop has run for
 * as long as it had left. One that is asked then, with 1.5 s, is answered later. */
static void
test_under_way (void)
{
  char byte;
  int old;
  int fresh;

  start_suspendable ();
  old = begin ("old", "/any/x", "*=mute", "");
  wait_arrived ("old");
  suspend ();
  resume (5000);
  wait_awake ();
  fresh = begin ("fresh", "/once/x", "*=mute", "");
  end (old);
  CU_ASSERT_EQUAL (answer.status, 504);
  CU_ASSERT (recv (fresh, &byte, 1, MSG_DONTWAIT) < 0 && errno == EAGAIN);
  end (fresh);
  CU_ASSERT_EQUAL (answer.status, 504);
  world_stop (&world);
}

/* Connections that were kept may have ended without a word: what may not be repeated does not find
 * out on one of them. */
static void
test_kept_connections (void)
{
  start_suspendable ();
  for (int i = 0; i < 8; i++)
    end (begin ("warm", "/once/x", "*=ok", ""));
  suspend ();
  for (int s = 0; s < WORLD_SERVERS; s++)
    world_silence (&world, WORLD_LINK_SERVERS + s, WORLD_SILENT_BOTH);
  resume (2000);
  wait_awake ();
  for (int i = 0; i < 4; i++)
    {
      end (begin ("after", "/once/x", "*=ok", ""));
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  world_stop (&world);
}

/* A planned stop of 3 s whose machine is suspended for 5 s is over when it wakes. */
static void
test_in_a_stop (void)
{
  int status = 0;
  bool ended = false;
  int fd;

  start_suspendable ();
  fd = begin ("stop", "/long/x", "*=mute", "");
  wait_arrived ("stop");
  kill (world.routers[0].pid, SIGTERM);
  CU_ASSERT (world_wait_logged (&world, 0, " stopping "));
  suspend ();
  resume (5000);
  end (fd);
  CU_ASSERT (answer.status == 502 || answer.status == 504);
  for (int i = 0; i < 50 && !ended; i++)
    {
      fleet_sleep_ms (20);
      ended = waitpid (world.routers[0].pid, &status, WNOHANG) == world.routers[0].pid;
    }
  CU_ASSERT (ended);
  if (ended)
    world.routers[0].pid = 0;
  world_stop (&world);
}

/* What was changed meanwhile is in force soon after, twice in a row, for routers that were all
 * away. */
static void
test_changes_meanwhile (void)
{
  start_suspendable ();
  world_start_router (&world, 1);
  CU_ASSERT (world_wait_ready (&world, 1, true));
  for (int i = 1; i <= 2; i++)
    {
      suspend ();
      kill (world.routers[1].pid, SIGSTOP);
      world.has_key = !world.has_key;
      world_publish (&world);
      world_list (&world, 0, i == 1 ? "draining" : "ready");
      resume (5000 * i);
      kill (world.routers[1].pid, SIGCONT);
      for (int r = 0; r < 2; r++)
        {
          int wanted = world.has_key ? 200 : 401;

          answer.status = 0;
          for (int n = 0; n < 100 && answer.status != wanted; n++)
            {
              world_call_at (&world, r, "change", "/safe/x", NULL, "", &answer);
              fleet_sleep_ms (20);
            }
          CU_ASSERT_EQUAL (answer.status, wanted);
        }
    }
  CU_ASSERT (world_wait_logged (&world, 0, " woke "));
  CU_ASSERT (world_wait_logged (&world, 1, " woke "));
  world_stop (&world);
}

const struct fault_test router_woke_tests[] = {
  { "suspended: callers' deadlines", test_deadlines },
  { "suspended: requests under way", test_under_way },
  { "suspended: kept connections", test_kept_connections },
  { "suspended: in a planned stop", test_in_a_stop },
  { "suspended: what changed meanwhile", test_changes_meanwhile },
  { NULL, NULL },
};
