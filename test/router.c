/**
 * @file
 * The router as a real process, before stand-ins of the platform: what callers and
 * servers see of it, calm and in trouble.
 */
#include "cli/trace.h"
#include "test/fault_tests.h"
#include "test/router_world.h"

#include <CUnit/CUnit.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#define HEAD                                                                                       \
  "Host: shop.example\r\nAuthorization: Bearer key-1\r\nAshspindle-Deadline-Ms: 4000\r\n"          \
  "Ashspindle-Attempt-Id: "

static struct world world;
static struct world_answer answer;

static void
start (void)
{
  world_start (&world);
  world_publish (&world);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true));
}

static bool
has (const char *text)
{
  return strstr (answer.text, text) != NULL;
}

/* Both servers' logs, one after the other. */
static const char *
server_log (int s)
{
  return world_get (world.servers[s].port, "GET", "/log", "");
}

static bool
in_logs (const char *text)
{
  bool first = strstr (server_log (0), text) != NULL;

  return first || strstr (server_log (1), text) != NULL;
}

/* ---- calm ---- */

static void
test_path (void)
{
  start ();
  world_call (&world, "a1", "/once/x?q=%20a;b", NULL,
              "Ashspindle-Tenant: forged\r\nX-Hop: gone\r\nConnection: X-Hop\r\n", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (answer.whole && has ("Ashspindle-Server-Seal: seal-i-"));
  CU_ASSERT_STRING_EQUAL (answer.body, "whole answer");
  /* Byte for byte, with the system's own fields and without the key or what is hop by hop. */
  CU_ASSERT (in_logs ("a1 POST /once/x?q=%20a;b body=5 "));
  CU_ASSERT (in_logs ("tenant=shop last=- urgency=- authorization=- connection=-"));
  CU_ASSERT (in_logs ("expect=i-"));
  CU_ASSERT_FALSE (in_logs ("deadline=4000"));
  CU_ASSERT_FALSE (in_logs ("deadline=-"));
  world_stop (&world);
}

/* How often a text stands in another. */
static int
count_of (const char *text, const char *part)
{
  int count = 0;

  for (const char *at = strstr (text, part); at; at = strstr (at + 1, part))
    count++;
  return count;
}

/* An answer without a body is whole without it, here and towards the server. */
static void
test_head (void)
{
  char text[4096] = "";
  size_t length = 0;
  ssize_t got;
  int fd;

  start ();
  fd = world_connect (&world, 0);
  world_send (fd, "HEAD /safe/x HTTP/1.1\r\n" HEAD "head-1\r\n\r\n"
                  "HEAD /safe/x HTTP/1.1\r\n" HEAD "head-2\r\n\r\n"
                  "GET /safe/x HTTP/1.1\r\nConnection: close\r\n" HEAD "get-1\r\n\r\n");
  while ((got = recv (fd, text + length, sizeof text - 1 - length, 0)) > 0)
    length += (size_t) got;
  close (fd);
  CU_ASSERT_EQUAL (count_of (text, "HTTP/1.1 200 OK\r\n"), 3);
  CU_ASSERT_EQUAL (count_of (text, "Content-Length: 12\r\n"), 3);
  CU_ASSERT_EQUAL (count_of (text, "whole answer"), 1);
  CU_ASSERT (in_logs ("head-1 HEAD /safe/x"));
  world_stop (&world);
}

/* What a log holds can't be made up by a caller. */
static void
test_odd_id (void)
{
  start ();
  world_call (&world, "x status=200 reason=forged", "/safe/x", NULL, "", &answer);
  CU_ASSERT (world_logged (&world, 0, "id=(odd) "));
  CU_ASSERT_FALSE (world_logged (&world, 0, "forged"));
  world_stop (&world);
}

/* More callers than the settings allow wait for their turn. */
static void
test_many_callers (void)
{
  int fds[14];

  start ();
  for (int i = 0; i < 14; i++)
    fds[i] = world_connect (&world, 0);
  for (int i = 0; i < 8; i++)
    close (fds[i]);
  for (int i = 8; i < 14; i++)
    {
      world_send (fds[i], "GET /safe/x HTTP/1.1\r\n" HEAD "many-1\r\n\r\n");
      world_read (fds[i], &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
      close (fds[i]);
    }
  world_stop (&world);
}

static void
test_stream (void)
{
  start ();
  world_call (&world, "s1", "/stream/x", "*=stream", "", &answer);
  CU_ASSERT (answer.status == 200 && answer.whole);
  CU_ASSERT (strstr (answer.body, "id: 1\n") && strstr (answer.body, "id: 6\n"));
  CU_ASSERT_EQUAL (world_runs (&world, "s1"), 1);
  world_stop (&world);
}

static void
test_directory (void)
{
  char other[32];

  start ();
  world_start_router (&world, 1);
  CU_ASSERT (world_wait_ready (&world, 1, true));
  snprintf (other, sizeof other, "127.0.0.1:%u", world.routers[1].frontend);
  for (int i = 0; i < 200 && !strstr (world_get (world.routers[0].directory, "GET",
                                                 "/resolution?Name=shop.example", ""),
                                      other);
       i++)
    fleet_sleep (20);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (world_get (world.routers[0].directory, "GET", "/resolution", ""), other));
  /* One that stops is no longer named. */
  kill (world.routers[1].pid, SIGTERM);
  fleet_sleep (300);
  CU_ASSERT_FALSE (
      strstr (world_get (world.routers[0].directory, "GET", "/resolution", ""), other));
  world_stop (&world);
}

/* ---- who may ask for what ---- */

static void
test_keys (void)
{
  start ();
  world_call (&world, "k1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  /* Taken away: refused soon, and not run. */
  world.has_key = false;
  world_publish (&world);
  fleet_sleep (200);
  world_call (&world, "k2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 401);
  CU_ASSERT_EQUAL (world_runs (&world, "k2"), 0);
  world.has_key = true;
  world_publish (&world);
  fleet_sleep (200);
  world_call (&world, "k3", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_call (&world, "k4", "/nowhere/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 404);
  world_stop (&world);
}

static void
test_no_configuration (void)
{
  world_start (&world);
  CU_ASSERT (world_wait_ready (&world, 0, false));
  world_call (&world, "n1", "/safe/x", NULL, "", &answer);
  /* Nothing is known: neither denied nor not found. */
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (has ("Retry-After:"));
  world_publish (&world);
  CU_ASSERT (world_wait_ready (&world, 0, true));
  world_call (&world, "n2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_stop (&world);
}

static void
test_bad_configuration (void)
{
  start ();
  world_publish_text (&world, "{\"Version\":900,\"Routes\":[{\"Host\":\"h\",\"RouteKind\":\"odd\","
                              "\"Service\":\"none\"}],\"Services\":[{}]}");
  fleet_sleep (200);
  CU_ASSERT (world_logged (&world, 0, "place=Services[0] why=\"has no Name\""));
  CU_ASSERT (world_logged (&world, 0, "place=Routes[0] why=\"has a RouteKind"));
  CU_ASSERT (world_logged (&world, 0, "place=Routes[0] why=\"names a service"));
  world_publish_text (&world, "no JSON");
  fleet_sleep (100);
  /* The last good one stays, and an older one never comes back. */
  world_call (&world, "b1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_publish_text (&world, "{\"Version\":1,\"Routes\":[],\"Services\":[]}");
  fleet_sleep (200);
  world_call (&world, "b2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_stop (&world);
}

/* ---- odd framing ---- */

/* A request that must be refused, and what follows it must not be read as another. */
static void
expect_refused (const char *text, int status)
{
  int fd = world_connect (&world, 0);

  world_send (fd, text);
  world_send (fd, "POST /safe/smuggled HTTP/1.1\r\n" HEAD "smuggled\r\n\r\n");
  world_read (fd, &answer);
  CU_ASSERT_EQUAL (answer.status, status);
  if (answer.status != status)
    printf ("\n%s\n%s\n", text, answer.text);
  close (fd);
}

static void
test_framing_in (void)
{
  start ();
  expect_refused ("POST /safe/x HTTP/1.1\r\n" HEAD
                  "f1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                  400);
  expect_refused ("POST /safe/x HTTP/1.1\r\n" HEAD
                  "f2\r\nContent-Length: 5\r\nContent-Length: 50\r\n\r\nhello",
                  400);
  expect_refused ("POST /safe/x HTTP/1.1\r\n" HEAD "f3\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
                  501);
  expect_refused ("POST /safe/x HTTP/1.1\r\n" HEAD "f4\nContent-Length: 0\r\n\r\n", 400);
  expect_refused ("POST /safe/x HTTP/1.1\r\n" HEAD "f5\r\nX: a\r\n b\r\n\r\n", 400);
  expect_refused ("POST /safe/x HTTP/1.1\r\n" HEAD "f6\r\nContent-Length : 5\r\n\r\nhello", 400);
  expect_refused ("POST /safe/x HTTP/1.1\r\n" HEAD "f7\r\nContent-Length: +5\r\n\r\nhello", 400);
  expect_refused ("POST /safe/x HTTP/1.1\r\n" HEAD "f8\r\nContent-Length: 200000\r\n\r\n", 413);
  expect_refused ("no request at all\r\n\r\n", 400);
  CU_ASSERT_FALSE (in_logs ("smuggled"));
  CU_ASSERT_EQUAL (world_runs (&world, "f1") + world_runs (&world, "f2"), 0);
  /* A chunked body is one body, with a length of its own towards the server. */
  {
    int fd = world_connect (&world, 0);

    world_send (fd,
                "POST /safe/x HTTP/1.1\r\n" HEAD
                "f9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n");
    world_read (fd, &answer);
    CU_ASSERT_EQUAL (answer.status, 200);
    close (fd);
  }
  CU_ASSERT (in_logs ("f9 POST /safe/x body=7"));
  world_stop (&world);
}

static void
test_framing_out (void)
{
  start ();
  /* Another request's answer comes first on the connection: ours is the one after it. */
  world_call (&world, "o1", "/once/x", "*=foreign", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_STRING_EQUAL (answer.body, "whole answer");
  /* No answer of ours: the caller must not take it for one. */
  world_call (&world, "o2", "/once/x", "*=noid", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  world_call (&world, "o3", "/once/x", "*=unsigned", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  world_call (&world, "o4", "/once/x", "*=encoded", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  world_call (&world, "o5", "/once/x", "*=cut", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  world_call (&world, "o6", "/once/x", "*=unframed", "", &answer);
  CU_ASSERT (answer.status == 200 && answer.whole);
  CU_ASSERT_STRING_EQUAL (answer.body, "whole answer");
  /* A second answer to the same request belongs to nobody. */
  for (int i = 0; i < 4; i++)
    {
      world_call (&world, "o7", "/once/x", "*=extra", "", &answer);
      CU_ASSERT_STRING_EQUAL (answer.body, "whole answer");
    }
  CU_ASSERT_EQUAL (world_runs (&world, "o2"), 1);
  world_stop (&world);
}

/* ---- at most once, and a true "not run" ---- */

static void
test_once (void)
{
  start ();
  /* It was sent and no answer came: nobody can say that it did not run. */
  world_call (&world, "u1", "/once/x", "*=reset", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  CU_ASSERT_EQUAL (world_runs (&world, "u1"), 1);
  /* The servers vouch that it did not run. */
  world_call (&world, "u2", "/once/x", "*=shed", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (has ("Retry-After:"));
  /* A server's own failure is passed on as it made it. */
  world_call (&world, "u3", "/once/x", "*=fail", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 500);
  CU_ASSERT (has ("Server-Seal"));
  CU_ASSERT_EQUAL (world_runs (&world, "u3"), 1);
  /* One server turns it away, the other runs it: once. */
  world_call (&world, "u4", "/once/x", "A=shed B=ok", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_call (&world, "u5", "/once/x", "A=ok B=shed", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_stop (&world);
}

static void
test_repeatable (void)
{
  start ();
  /* Whichever server breaks, the other one is asked, and no third time. */
  world_call (&world, "r1", "/safe/x", "A=reset B=ok", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_call (&world, "r2", "/safe/x", "A=ok B=cut", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_call (&world, "r3", "/safe/x", "A=fail B=ok", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_call (&world, "r4", "/safe/x", "*=reset", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  CU_ASSERT (world_runs (&world, "r4") <= 2);
  /* Silence counts after some time; the answer still comes within the caller's. */
  world_call (&world, "r5", "/safe/x", "A=mute B=ok", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_call (&world, "r6", "/safe/x", "A=ok B=mute", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_stop (&world);
}

/* A server ends while its kept connections wait: what is sent next must not run twice. */
static void
test_kept_connection_dies (void)
{
  char port[16];

  start ();
  for (int i = 0; i < 6; i++)
    world_call (&world, "d0", "/once/x", NULL, "", &answer);
  for (int s = 0; s < WORLD_SERVERS; s++)
    {
      char name[8];
      char id[16];

      fleet_end (&world.servers[s].pid, SIGKILL);
      snprintf (port, sizeof port, "%u", world.servers[s].port);
      snprintf (name, sizeof name, "%s", world.servers[s].name);
      snprintf (id, sizeof id, "%s", world.servers[s].id);
      world.servers[s].pid =
          fleet_spawn (world.folder, name, "standin-server", port, name, id, (char *) NULL);
    }
  fleet_sleep (300);
  for (int i = 0; i < 8; i++)
    {
      char request[8];

      snprintf (request, sizeof request, "d%d", i + 1);
      world_call (&world, request, "/once/x", NULL, "", &answer);
      CU_ASSERT (answer.status == 200 || answer.status == 502 || answer.status == 503);
      CU_ASSERT (world_runs (&world, request) <= 1);
      if (answer.status == 503)
        CU_ASSERT_EQUAL (world_runs (&world, request), 0);
    }
  world_stop (&world);
}

static void
test_address_reused (void)
{
  char port[16];

  start ();
  /* Another life at the address of A, before the list tells: it turns requests away. */
  fleet_end (&world.servers[0].pid, SIGKILL);
  snprintf (port, sizeof port, "%u", world.servers[0].port);
  world.servers[0].pid =
      fleet_spawn (world.folder, "A", "standin-server", port, "A", "i-A2", (char *) NULL);
  fleet_sleep (200);
  for (int i = 0; i < 6; i++)
    {
      char request[8];

      snprintf (request, sizeof request, "m%d", i);
      world_call (&world, request, "/once/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
      CU_ASSERT_EQUAL (world_runs (&world, request), 1);
    }
  CU_ASSERT_PTR_NULL (strstr (server_log (0), "m"));
  world_stop (&world);
}

/* ---- streams ---- */

/* Whole events only, each once, and all of them. */
static void
expect_events (int first, int last)
{
  for (int id = first; id <= last; id++)
    {
      char text[16];
      const char *found;

      snprintf (text, sizeof text, "id: %d\n", id);
      found = strstr (answer.body, text);
      CU_ASSERT_PTR_NOT_NULL (found);
      if (found)
        CU_ASSERT_PTR_NULL (strstr (found + 1, text));
    }
}

static void
test_stream_resumed (void)
{
  start ();
  /* Cut in the middle of an event by whichever server is asked first, if it is A. */
  for (int i = 0; i < 30 && !in_logs ("last=2"); i++)
    {
      world_call (&world, "t1", "/stream/x", "A=streamcut B=stream", "", &answer);
      CU_ASSERT (answer.status == 200 && answer.whole);
      expect_events (1, 6);
    }
  CU_ASSERT (in_logs ("last=2"));
  /* Both cut it: the caller sees that it is not whole. */
  world_call (&world, "t3", "/stream/x", "*=streamcut", "", &answer);
  CU_ASSERT_FALSE (answer.whole);
  world_stop (&world);
}

static void
test_caller_leaves (void)
{
  int fd;

  start ();
  fd = world_connect (&world, 0);
  world_send (fd,
              "POST /stream/x HTTP/1.1\r\n" HEAD "l1\r\nX-Do: *=mute\r\nContent-Length: 0\r\n\r\n");
  for (int i = 0; i < 100 && !world_runs (&world, "l1"); i++)
    fleet_sleep (10);
  close (fd);
  /* The server sees it soon: its connection is closed. */
  for (int i = 0; i < 40 && atoi (world_get (world.servers[0].port, "GET", "/gone", "")) +
                                    atoi (world_get (world.servers[1].port, "GET", "/gone", "")) ==
                                0;
       i++)
    fleet_sleep (10);
  CU_ASSERT_EQUAL (atoi (world_get (world.servers[0].port, "GET", "/gone", "")) +
                       atoi (world_get (world.servers[1].port, "GET", "/gone", "")),
                   1);
  CU_ASSERT (world_logged (&world, 0, "forward_gone"));
  world_stop (&world);
}

static void
test_timeout (void)
{
  int64_t began;

  start ();
  began = fleet_now ();
  world_call (&world, "x1", "/once/x", "*=mute", "", &answer);
  /* The route's time ends it, long before the caller's. */
  CU_ASSERT_EQUAL (answer.status, 504);
  CU_ASSERT (fleet_now () - began < 3500);
  world_stop (&world);
}

/* ---- stops, starts, and the store ---- */

static void
test_planned_stop (void)
{
  int fd[4];

  start ();
  for (int i = 0; i < 4; i++)
    {
      fd[i] = world_connect (&world, 0);
      world_send (fd[i], "POST /safe/x HTTP/1.1\r\n" HEAD
                         "p1\r\nX-Do: *=slow\r\nContent-Length: 0\r\n\r\n");
    }
  for (int i = 0; i < 100 && world_runs (&world, "p1") < 4; i++)
    fleet_sleep (10);
  kill (world.routers[0].pid, SIGTERM);
  CU_ASSERT (world_wait_ready (&world, 0, false));
  /* A caller that still has the address is served too. */
  world_call (&world, "p2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (has ("Connection: close"));
  for (int i = 0; i < 4; i++)
    {
      world_read (fd[i], &answer);
      CU_ASSERT (answer.status == 200 && answer.whole);
      close (fd[i]);
    }
  CU_ASSERT_EQUAL (fleet_end (&world.routers[0].pid, 0), 0);
  world_start_router (&world, 0);
  CU_ASSERT (world_wait_ready (&world, 0, true));
  world_call (&world, "p3", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_stop (&world);
}

/* A request on a connection that is left open. @return its socket, once it runs. */
static int
hold_request (const char *id)
{
  char text[512];
  int fd = world_connect (&world, 0);

  snprintf (text, sizeof text,
            "POST /once/x HTTP/1.1\r\n" HEAD "%s\r\nX-Do: *=mute\r\nContent-Length: 0\r\n\r\n", id);
  world_send (fd, text);
  for (int i = 0; i < 100 && !world_runs (&world, id); i++)
    fleet_sleep (10);
  return fd;
}

/* What users saw: a request was taken 5.2 s after SIGTERM and cut 2.5 s later, in the middle of its
 * answer, when the time to stop (8 s) was over. Events: callers that kept the address came late;
 * the router took whatever came and gave up all at its end. That was mended for streams, by a fixed
 * 5 s; a plain request whose endpoint is slow was still taken with less time left than it may
 * last. Cause: the time left was not held against the time that the request may take. */
static void
check_late_in_stop (const char *path, const char *action)
{
  char id[16] = "";
  int held[2];
  int served = 0;

  start ();
  held[0] = hold_request ("p1");
  kill (world.routers[0].pid, SIGTERM);
  CU_ASSERT (world_wait_ready (&world, 0, false));
  fleet_sleep (500);
  held[1] = hold_request ("p2");
  /* A request may last 1.5 s here, of the 3 s that the stop may take: first they are taken. */
  do
    {
      snprintf (id, sizeof id, "l%d", served);
      world_call (&world, id, path, action, "", &answer);
      served += answer.status == 200 && answer.whole;
      fleet_sleep (20);
    }
  while (answer.status == 200 && answer.whole);
  CU_ASSERT (served > 0);
  /* With less time left they go elsewhere, and have not run. */
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (has ("Retry-After:"));
  CU_ASSERT_EQUAL (world_runs (&world, id), 0);
  CU_ASSERT (world_logged (&world, 0, "reason=leaving"));
  /* What was taken in time gets its final answer. */
  world_read (held[1], &answer);
  CU_ASSERT (answer.status == 504 && answer.whole);
  close (held[0]);
  close (held[1]);
  CU_ASSERT_EQUAL (fleet_end (&world.routers[0].pid, 0), 0);
  world_stop (&world);
}

static void
test_late_in_stop (void)
{
  check_late_in_stop ("/stream/x", "*=stream");
}

static void
test_plain_late_in_stop (void)
{
  check_late_in_stop ("/safe/x", NULL);
}

/* The first router anew, with other settings. */
static void
start_with (const char *grace, uint32_t wait_ms)
{
  start ();
  world.grace = grace;
  world.wait_ms = wait_ms;
  fleet_end (&world.routers[0].pid, SIGKILL);
  world_start_router (&world, 0);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true));
}

/* Writes a request. @return its connection. */
static int
begin_request (const char *path, const char *version, const char *id, const char *action)
{
  char text[512];
  int fd = world_connect (&world, 0);

  snprintf (text, sizeof text,
            "POST %s %s\r\n" HEAD "%s\r\nX-Do: *=%s\r\nContent-Length: 0\r\n\r\n", path, version,
            id, action);
  world_send (fd, text);
  return fd;
}

/* The same, once a server has it. */
static int
run_request (const char *path, const char *version, const char *id, const char *action)
{
  int fd = begin_request (path, version, id, action);

  for (int i = 0; i < 100 && !world_runs (&world, id); i++)
    fleet_sleep (10);
  CU_ASSERT (world_runs (&world, id) > 0);
  return fd;
}

/* Reads to the connection's end. */
static void
read_to_end (int fd)
{
  size_t length = 0;
  ssize_t got;

  memset (&answer, 0, sizeof answer);
  while ((got = recv (fd, answer.text + length, sizeof answer.text - 1 - length, 0)) > 0)
    length += (size_t) got;
  close (fd);
}

static void
expect_not_run (int fd, const char *id)
{
  char line[96];

  world_read (fd, &answer);
  close (fd);
  CU_ASSERT (answer.status == 503 && answer.whole);
  CU_ASSERT (has ("Retry-After:"));
  CU_ASSERT_EQUAL (world_runs (&world, id), 0);
  snprintf (line, sizeof line, "forward_refused box=router-0 module=router id=%s ", id);
  CU_ASSERT (world_logged (&world, 0, line));
}

static void
expect_may_have_run (int fd, const char *id)
{
  char line[96];

  world_read (fd, &answer);
  close (fd);
  CU_ASSERT (answer.status == 502 && answer.whole);
  CU_ASSERT_EQUAL (world_runs (&world, id), 1);
  snprintf (line, sizeof line, "forward_failed box=router-0 module=router id=%s ", id);
  CU_ASSERT (world_logged (&world, 0, line));
}

/* Begun: what came stays, and that it ended too soon shows. */
static void
expect_broken_off (int fd, const char *id)
{
  char line[96];

  world_read (fd, &answer);
  close (fd);
  CU_ASSERT (answer.status == 200 && !answer.whole);
  CU_ASSERT (has ("id: 1\n"));
  CU_ASSERT_EQUAL (world_runs (&world, id), 1);
  snprintf (line, sizeof line, "forward_failed box=router-0 module=router id=%s ", id);
  CU_ASSERT (world_logged (&world, 0, line));
}

/* The requests that are under way when a stop comes to its end, each of another kind. */
static void
end_with_work (bool by_signal)
{
  int held[2];
  int streams[2];
  int waiting;
  int partly;
  int idle;

  /* The model's service has no endpoints: what asks for it waits. */
  start_with (by_signal ? "grace_s = 3" : "grace_s = 1.2", 10000);
  idle = world_connect (&world, 0);
  waiting = begin_request ("/model/x", "HTTP/1.1", "e-waits", "mute");
  partly = world_connect (&world, 0);
  world_send (partly, "POST /once/x HTTP/1.1\r\n" HEAD "e-partly\r\nContent-Length: 9\r\n\r\nhel");
  streams[0] = run_request ("/stream/x", "HTTP/1.1", "e-stream", "streamhang");
  streams[1] = run_request ("/stream/x", "HTTP/1.0", "e-old", "streamhang");
  held[0] = run_request ("/once/x", "HTTP/1.1", "e-once", "mute");
  held[1] = run_request ("/safe/x", "HTTP/1.1", "e-safe", "mute");
  kill (world.routers[0].pid, SIGTERM);
  if (by_signal)
    {
      CU_ASSERT (world_wait_logged (&world, 0, " stopping "));
      kill (world.routers[0].pid, SIGTERM);
    }
  expect_not_run (waiting, "e-waits");
  expect_may_have_run (held[0], "e-once");
  expect_may_have_run (held[1], "e-safe");
  expect_broken_off (streams[0], "e-stream");
  expect_broken_off (streams[1], "e-old");
  world_read (partly, &answer);
  CU_ASSERT (answer.status == 503 && answer.whole && has ("Retry-After:"));
  close (partly);
  close (idle);
  CU_ASSERT_EQUAL (fleet_end (&world.routers[0].pid, 0), 0);
  CU_ASSERT_FALSE (world_logged (&world, 0, "forward_resent"));
  CU_ASSERT (world_logged (&world, 0, " stopped "));
  world_stop (&world);
}

/* What users saw: a router that got a second SIGTERM, or whose time to stop was over, closed what
 * it held without a word, and often crashed (SIGSEGV in 6 of 6 stops with 4 requests held). Events:
 * the callers' connections were freed first; then those to endpoints were closed, which ended each
 * request as cut: it was sent to another endpoint, or answered on the freed connection. Evidence:
 * lines of forward_resent after that of stopped; a heap-use-after-free in the exchange's answer,
 * below the end of its call. Cause: no request was ended before what it stands on. */
static void
test_stop_cut_short (void)
{
  end_with_work (true);
}

static void
test_stop_time_over (void)
{
  end_with_work (false);
}

/* An address that takes no connection and refuses none: its queue is full. */
struct full_address
{
  int listener;
  int waiting[4];
  uint16_t port;
};

static void
open_full (struct full_address *full)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t address_bytes = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  full->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (bind (full->listener, (struct sockaddr *) &address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (full->listener, 0), 0);
  getsockname (full->listener, (struct sockaddr *) &address, &address_bytes);
  full->port = ntohs (address.sin_port);
  for (int i = 0; i < 4; i++)
    {
      full->waiting[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      CU_ASSERT (connect (full->waiting[i], (struct sockaddr *) &address, sizeof address) == 0 ||
                 errno == EINPROGRESS);
    }
}

static void
close_full (struct full_address *full)
{
  close (full->listener);
  for (int i = 0; i < 4; i++)
    close (full->waiting[i]);
}

/* A request whose connection is not up yet has surely not run, though an endpoint was chosen. */
static void
test_stop_while_connecting (void)
{
  struct full_address full;
  char value[160];
  int fd;

  start_with ("grace_s = 3", 10000);
  open_full (&full);
  snprintf (value, sizeof value,
            "{\"Service\":\"stock\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"hall-a\",\"Slots\":8,"
            "\"State\":\"ready\"}",
            full.port);
  world_get (world.store_port, "PUT", "/put?servers/i-full", value);
  world_list (&world, 0, "draining");
  world_list (&world, 1, "draining");
  CU_ASSERT (world_wait_logged (&world, 0, "endpoint=i-full"));
  for (int s = 0; s < WORLD_SERVERS; s++)
    {
      char line[96];

      snprintf (line, sizeof line, "endpoint_leaving box=router-0 module=router endpoint=%s",
                world.servers[s].id);
      CU_ASSERT (world_wait_logged (&world, 0, line));
    }
  fd = begin_request ("/once/x", "HTTP/1.1", "e-up", "ok");
  CU_ASSERT (world_wait_logged (&world, 0, "forward_sent box=router-0 module=router id=e-up "));
  kill (world.routers[0].pid, SIGTERM);
  CU_ASSERT (world_wait_logged (&world, 0, " stopping "));
  kill (world.routers[0].pid, SIGTERM);
  expect_not_run (fd, "e-up");
  CU_ASSERT_EQUAL (fleet_end (&world.routers[0].pid, 0), 0);
  close_full (&full);
  world_stop (&world);
}

/* Two requests in one write. @return their connection, once a server has the first. */
static int
send_two (const char *first, const char *action, const char *second)
{
  char text[1024];
  int fd = world_connect (&world, 0);

  snprintf (text, sizeof text,
            "POST /once/x HTTP/1.1\r\n" HEAD "%s\r\nX-Do: *=%s\r\nContent-Length: 0\r\n\r\n"
            "POST /once/x HTTP/1.1\r\n" HEAD "%s\r\nX-Do: *=%s\r\nContent-Length: 0\r\n\r\n",
            first, action, second, action);
  world_send (fd, text);
  for (int i = 0; i < 100 && !world_runs (&world, first); i++)
    fleet_sleep (10);
  return fd;
}

/* Two requests were written at once. The first one's answer said that the connection closes, and
 * the second, read whole by then, got none: a caller that sent it ahead can't tell whether it ran.
 */
static void
test_stop_pipelined (void)
{
  int fd;

  start ();
  fd = send_two ("q-first", "slow", "q-second");
  kill (world.routers[0].pid, SIGTERM);
  read_to_end (fd);
  CU_ASSERT_EQUAL (count_of (answer.text, "HTTP/1.1 200 OK\r\n"), 2);
  CU_ASSERT_EQUAL (count_of (answer.text, "Connection: close\r\n"), 1);
  CU_ASSERT_EQUAL (world_runs (&world, "q-second"), 1);
  CU_ASSERT_EQUAL (fleet_end (&world.routers[0].pid, 0), 0);
  world_stop (&world);
  /* At the stop's end: the first may have run, the second has not. */
  start ();
  fd = send_two ("q-third", "mute", "q-fourth");
  kill (world.routers[0].pid, SIGTERM);
  CU_ASSERT (world_wait_logged (&world, 0, " stopping "));
  kill (world.routers[0].pid, SIGTERM);
  read_to_end (fd);
  CU_ASSERT_EQUAL (count_of (answer.text, "HTTP/1.1 502 "), 1);
  CU_ASSERT_EQUAL (count_of (answer.text, "HTTP/1.1 503 "), 1);
  CU_ASSERT_EQUAL (world_runs (&world, "q-fourth"), 0);
  CU_ASSERT_EQUAL (fleet_end (&world.routers[0].pid, 0), 0);
  world_stop (&world);
}

/* Answered, and with 503 only if it did not run: whether it was read before the
 * signal or after is the loop's choice. */
static void
expect_true_end (int fd, const char *id)
{
  world_read (fd, &answer);
  close (fd);
  CU_ASSERT (answer.whole);
  CU_ASSERT (answer.status == 200 || answer.status == 502 || answer.status == 503);
  if (answer.status == 503)
    CU_ASSERT_EQUAL (world_runs (&world, id), 0);
}

/* A connection that rests after a request. */
static int
connect_kept (void)
{
  int fd = world_connect (&world, 0);

  world_send (fd, "GET /safe/x HTTP/1.1\r\n" HEAD "c-before\r\n\r\n");
  world_read (fd, &answer);
  CU_ASSERT (answer.status == 200 && !has ("Connection: close"));
  return fd;
}

/* Requests that have arrived, unread, when the router learns that it is to stop. What callers saw:
 * a reset, on a connection that rested and was closed for being idle with their request unread, and
 * on a new one that was closed just as it was accepted. The router is held while they are written,
 * so that it sees all of it in one turn. */
static void
test_stop_crossed (void)
{
  int kept;
  int idle;
  int fresh;

  start ();
  kept = connect_kept ();
  idle = connect_kept ();
  kill (world.routers[0].pid, SIGSTOP);
  world_send (kept, "GET /once/x HTTP/1.1\r\n" HEAD "c-kept\r\n\r\n");
  fresh = begin_request ("/once/x", "HTTP/1.1", "c-fresh", "ok");
  fleet_sleep (250);
  kill (world.routers[0].pid, SIGTERM);
  kill (world.routers[0].pid, SIGCONT);
  world_read (kept, &answer);
  CU_ASSERT (answer.status == 200 && answer.whole && has ("Connection: close"));
  world_read (fresh, &answer);
  CU_ASSERT (answer.status == 200 && answer.whole && has ("Connection: close"));
  close (kept);
  close (fresh);
  /* One that rested and that nothing was written on is closed. */
  world_read (idle, &answer);
  CU_ASSERT_EQUAL (answer.status, 0);
  close (idle);
  /* One that is new waits for its request, over some turns of the loop. */
  fresh = world_connect (&world, 0);
  fleet_sleep (250);
  world_send (fresh, "GET /once/x HTTP/1.1\r\n" HEAD "c-new\r\n\r\n");
  world_read (fresh, &answer);
  CU_ASSERT (answer.status == 200 && answer.whole && has ("Connection: close"));
  close (fresh);
  CU_ASSERT_EQUAL (fleet_end (&world.routers[0].pid, 0), 0);
  world_stop (&world);
  /* The same at the end. */
  start ();
  kept = connect_kept ();
  kill (world.routers[0].pid, SIGSTOP);
  world_send (kept, "GET /once/x HTTP/1.1\r\n" HEAD "c-late\r\n\r\n");
  fresh = begin_request ("/once/x", "HTTP/1.1", "c-last", "ok");
  kill (world.routers[0].pid, SIGTERM);
  kill (world.routers[0].pid, SIGINT);
  kill (world.routers[0].pid, SIGCONT);
  expect_true_end (kept, "c-late");
  expect_true_end (fresh, "c-last");
  CU_ASSERT_EQUAL (fleet_end (&world.routers[0].pid, 0), 0);
  world_stop (&world);
}

/* Signals at odd moments: none leaves a caller without an answer or ends the process badly. */
static void
test_stop_signals (void)
{
  int fd;

  /* Before there is a configuration. */
  world_start (&world);
  fd = begin_request ("/safe/x", "HTTP/1.1", "n-1", "ok");
  world_read (fd, &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  close (fd);
  kill (world.routers[0].pid, SIGTERM);
  CU_ASSERT (world_wait_logged (&world, 0, " stopping "));
  world_call (&world, "n-2", "/safe/x", NULL, "", &answer);
  CU_ASSERT (answer.status == 503 && answer.whole);
  CU_ASSERT_EQUAL (fleet_end (&world.routers[0].pid, 0), 0);
  /* Twice, before anything else. */
  world_start_router (&world, 0);
  kill (world.routers[0].pid, SIGTERM);
  kill (world.routers[0].pid, SIGINT);
  CU_ASSERT_EQUAL (fleet_end (&world.routers[0].pid, 0), 0);
  /* New settings while it stops. */
  world_publish (&world);
  world_start_router (&world, 0);
  CU_ASSERT (world_wait_ready (&world, 0, true));
  fd = run_request ("/once/x", "HTTP/1.1", "n-3", "slow");
  kill (world.routers[0].pid, SIGTERM);
  kill (world.routers[0].pid, SIGHUP);
  CU_ASSERT (world_wait_logged (&world, 0, " reloaded "));
  world_read (fd, &answer);
  CU_ASSERT (answer.status == 200 && answer.whole);
  close (fd);
  CU_ASSERT (world_wait_ready (&world, 0, false));
  CU_ASSERT_EQUAL (fleet_end (&world.routers[0].pid, 0), 0);
  world_stop (&world);
}

static void
test_draining (void)
{
  start ();
  world_list (&world, 0, "draining");
  fleet_sleep (200);
  for (int i = 0; i < 6; i++)
    {
      world_call (&world, "g1", "/safe/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  CU_ASSERT_PTR_NULL (strstr (server_log (0), "g1"));
  /* Gone from the list without a word: gone too. */
  world_get (world.store_port, "PUT", "/remove?servers/i-B1", "");
  fleet_sleep (200);
  world_call (&world, "g2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT_EQUAL (world_runs (&world, "g2"), 0);
  world_stop (&world);
}

static void
test_store_away (void)
{
  start ();
  world_get (world.store_port, "PUT", "/mode?busy", "");
  fleet_sleep (1500);
  CU_ASSERT (world_logged (&world, 0, "platform_down"));
  world_call (&world, "w1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  /* While it is away the servers' entries lapse, though they live; they are used on. */
  world_get (world.store_port, "PUT", "/remove?servers/i-A1", "");
  world_get (world.store_port, "PUT", "/remove?servers/i-B1", "");
  world_get (world.store_port, "PUT", "/mode?ok", "");
  fleet_sleep (700);
  world_call (&world, "w2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_list (&world, 0, "ready");
  fleet_sleep (2500);
  /* The one that did not come back is gone, the other is not. */
  world_call (&world, "w3", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_PTR_NULL (strstr (server_log (1), "w3"));
  /* What is missing from now on has not lapsed: it is gone at once. */
  world_get (world.store_port, "PUT", "/remove?servers/i-A1", "");
  fleet_sleep (200);
  world_call (&world, "w4", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT_EQUAL (world_runs (&world, "w4"), 0);
  world_stop (&world);
}

/* @return the value of a figure without labels. */
static long
figure (int r, const char *name)
{
  const char *figures = world_get (world.routers[r].figures, "GET", "/metrics", "");
  const char *line = figures ? strstr (figures, name) : NULL;

  return line ? strtol (line + strlen (name), NULL, 10) : -1;
}

/* Many endpoints start one after the other. Each adds its entry by itself, and still a router
 * asks a few times only; the last of them is soon known. */
static void
test_endpoints_burst (void)
{
  enum
  {
    STARTS = 60
  };
  char target[64];
  long before;

  start ();
  before = figure (0, "\nash_store_calls_total{} ");
  CU_ASSERT (before > 0);
  for (int i = 0; i < STARTS; i++)
    {
      snprintf (target, sizeof target, "/put?servers/i-burst%d", i);
      world_get (world.store_port, "PUT", target,
                 "{\"Service\":\"other\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"hall-a\","
                 "\"Slots\":8,\"State\":\"ready\"}");
      fleet_sleep (15);
    }
  for (int i = 0; i < 100 && !world_logged (&world, 0, "endpoint=i-burst59"); i++)
    fleet_sleep (10);
  CU_ASSERT (world_logged (&world, 0, "endpoint=i-burst59"));
  CU_ASSERT (figure (0, "\nash_store_calls_total{} ") - before < STARTS / 2);
  world_stop (&world);
}

/* The store takes questions and says nothing; the entries lapse, and that is the first that
 * it tells when it is back. */
static void
test_store_silent (void)
{
  start ();
  world_call (&world, "v1", "/safe/x", NULL, "", &answer);
  world_get (world.store_port, "PUT", "/mode?silent", "");
  fleet_sleep (1300);
  world_get (world.store_port, "PUT", "/remove?servers/i-A1", "");
  world_get (world.store_port, "PUT", "/remove?servers/i-B1", "");
  world_get (world.store_port, "PUT", "/mode?ok", "");
  for (int i = 0; i < 100 && !world_logged (&world, 0, "endpoint_missing"); i++)
    fleet_sleep (10);
  world_call (&world, "v2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_stop (&world);
}

/* Waits until a round of requests passes server @p s by. @return false after some 10 s. */
static bool
wait_unused (int s)
{
  for (int round = 0; round < 100; round++)
    {
      char id[16];

      snprintf (id, sizeof id, "unused%d", round);
      for (int i = 0; i < 16; i++)
        world_call (&world, id, "/safe/x", NULL, "", &answer);
      strncat (id, " ", sizeof id - strlen (id) - 1);
      if (!strstr (server_log (s), id))
        return true;
      fleet_sleep (100);
    }
  return false;
}

/* Waits until no server is used any more. @return false after some 10 s. */
static bool
wait_refused (void)
{
  for (int i = 0; i < 100; i++)
    {
      world_call (&world, "unused", "/safe/x", NULL, "", &answer);
      if (answer.status == 503)
        return true;
      fleet_sleep (100);
    }
  return false;
}

static void
test_history_gone (void)
{
  start ();
  world_get (world.store_port, "PUT", "/mode?busy", "");
  fleet_sleep (300);
  world_list (&world, 0, "draining");
  world_get (world.store_port, "PUT", "/mode?forget", "");
  world_get (world.store_port, "PUT", "/mode?ok", "");
  fleet_sleep (800);
  for (int i = 0; i < 4; i++)
    world_call (&world, "h1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_PTR_NULL (strstr (server_log (0), "h1"));
  world_stop (&world);
}

/* What a review saw: an endpoint that left while the store's history was lost was never noticed
 * and went on getting requests. Events: the endpoint's entry was removed; the watch was answered
 * with 410; the whole listing lacked the entry. Evidence: no endpoint_missing, and a use after
 * free under the address sanitizer. Cause: the entry of the old listing was freed before the
 * endpoint of that name was looked up by the entry's own id. */
static void
test_history_gone_removal (void)
{
  start ();
  world_get (world.store_port, "PUT", "/mode?busy", "");
  fleet_sleep (300);
  world_get (world.store_port, "PUT", "/remove?servers/i-B1", "");
  world_get (world.store_port, "PUT", "/mode?forget", "");
  world_get (world.store_port, "PUT", "/mode?ok", "");
  CU_ASSERT (
      world_wait_logged (&world, 0, "endpoint_missing box=router-0 module=router endpoint=i-B1 "));
  CU_ASSERT (wait_unused (1));
  for (int i = 0; i < 4; i++)
    {
      world_call (&world, "h2", "/safe/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  CU_ASSERT_PTR_NULL (strstr (server_log (1), "h2"));
  world_stop (&world);
}

static void
test_peer_helps (void)
{
  start ();
  world_start_router (&world, 1);
  CU_ASSERT (world_wait_ready (&world, 1, true));
  /* A router that starts while the store is away learns all from its peer. */
  world_get (world.store_port, "PUT", "/mode?busy", "");
  fleet_end (&world.routers[0].pid, SIGKILL);
  world_start_router (&world, 0);
  CU_ASSERT (world_wait_ready (&world, 0, true));
  world_call (&world, "e1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (world_logged (&world, 0, "source=router-1"));
  world_stop (&world);
}

/* Longer than the test's patience: only what notices the silence by itself ends these waits. */
#define LONG_WAIT_MS 25000

/* The first router's questions wait long at the store, and are there. */
static void
start_patient (void)
{
  start ();
  world.store_wait_ms = LONG_WAIT_MS;
  world.list_wait_ms = LONG_WAIT_MS;
  fleet_end (&world.routers[0].pid, SIGKILL);
  world_start_router (&world, 0);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true));
  fleet_sleep (200);
}

/* The first router's questions wait for good, the second one asks anew after a second at most. */
static void
start_deaf (void)
{
  start_patient ();
  world.short_wait_ms = LONG_WAIT_MS;
  fleet_end (&world.routers[0].pid, SIGKILL);
  world_start_router (&world, 0);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true));
  fleet_sleep (200);
  world_get (world.store_port, "PUT", "/deafen", "");
  world.short_wait_ms = 300;
  world_start_router (&world, 1);
  CU_ASSERT (world_wait_ready (&world, 1, true));
}

/* The first router is stopped; the second one has not heard that a server has left. */
static void
start_behind_peer (void)
{
  start ();
  world.store_wait_ms = world.list_wait_ms = world.short_wait_ms = LONG_WAIT_MS;
  world_start_router (&world, 1);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 1, true));
  fleet_sleep (300);
  fleet_end (&world.routers[0].pid, SIGKILL);
  world_get (world.store_port, "PUT", "/deafen", "");
  world_get (world.store_port, "PUT", "/remove?servers/i-B1", "");
}

/* Publishes a configuration and that a server leaves. @return whether the first router takes both.
 */
static bool
follows_changes (void)
{
  char accepted[64];
  bool has_version;

  world_publish (&world);
  world_list (&world, 0, "draining");
  snprintf (accepted, sizeof accepted, "version=%u before=", world.version);
  has_version = world_wait_logged (&world, 0, accepted);
  return world_wait_logged (&world, 0, "endpoint_leaving") && has_version;
}

/* What users saw: for 20 s one router denied their new keys and routes (401, 404) although the
 * store had them; its six peers had each change within 30 ms. Events: it was cut off from the
 * store with its questions waiting there. The question for the configuration may wait for
 * 20 s, so it was given up after 21.5 s, 5 s after the cut was over. Until then the reader counted
 * as answered, since its last question had been, and what peers told in each heartbeat was
 * left aside; the list's reader, back after the cut within 0.3 s, changed nothing for it.
 * Evidence: "behind_peers ... newest=116 for_ms=11483 store_answers=1 age_ms=12263" of such a run,
 * and "platform_down part=0 ... age_ms=21495", 44 ms before the newest version was in force. Cause:
 * silence counted as having nothing to tell. */
static void
test_store_watch_silent (void)
{
  /* Nobody else reads: the question itself must not be trusted for long. */
  start_patient ();
  world_get (world.store_port, "PUT", "/deafen", "");
  CU_ASSERT (follows_changes ());
  world_stop (&world);
  /* A peer has what did not come here, and nobody asks often. */
  start_deaf ();
  CU_ASSERT (follows_changes ());
  world_stop (&world);
}

/* What users saw: callers with new keys were told 401, which nobody tries again, by a router that
 * its peers had told of a newer configuration. Evidence: "410 forward_denied ... status=401
 * version=132" between two lines of "210 behind_peers". Cause: a denial was final though the router
 * knew that what it went by was old. */
static void
test_denied_by_old_configuration (void)
{
  int told_later = 0;
  int denied_after = 0;

  start_deaf ();
  world.has_key = false;
  world_publish (&world);
  do
    world_call (&world, "old-1", "/safe/x", NULL, "", &answer);
  while (answer.status == 200);
  /* The key comes back: once this router knows that there is something newer, it may not say
   * that there is none. Its question for that is at the store by now. */
  fleet_sleep (300);
  world_get (world.store_port, "PUT", "/deafen", "");
  world.has_key = true;
  world_publish (&world);
  for (int i = 0; i < 4000 && answer.status != 200; i++)
    {
      world_call (&world, "old-2", "/safe/x", NULL, "", &answer);
      told_later += answer.status == 503 && has ("Retry-After:");
      denied_after += answer.status == 401 && told_later;
    }
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (told_later > 0);
  CU_ASSERT_EQUAL (denied_after, 0);
  world_stop (&world);
}

/* What a review saw: a server that had left got requests for as long as a router ran that started
 * after it. Events: the new router asked the store for the whole list; before the answer a peer
 * whose own watch was silent gave it an older list that still had the server; the store's answer
 * lacked it. Evidence: no endpoint_missing for the server in 10 s after the store's answer.
 * Cause: what the peer told counted as listed by the store, as both lists went by one number. */
static void
test_peer_list_during_listing (void)
{
  start_behind_peer ();
  world_get (world.store_port, "PUT", "/mode?slow250", "");
  world.list_wait_ms = 600;
  world_start_router (&world, 0);
  CU_ASSERT (world_wait_logged (&world, 0, "source=router-1"));
  world_get (world.store_port, "PUT", "/mode?ok", "");
  CU_ASSERT (
      world_wait_logged (&world, 0, "endpoint_missing box=router-0 module=router endpoint=i-B1 "));
  CU_ASSERT (wait_unused (1));
  world_stop (&world);
}

static long
store_calls (int r)
{
  return figure (r, "\nash_store_calls_total{} ");
}

/* Waits until a router's questions wait for long. @return false after some 10 s. */
static bool
wait_patient (int r)
{
  for (int i = 0; i < 5; i++)
    {
      long before = store_calls (r);

      fleet_sleep (2000);
      if (store_calls (r) == before)
        return true;
    }
  return false;
}

/* What a review saw: with one of the few routers gone that ask often, the one that takes its place
 * let its own question wait on, up to 20 s at the store, so for that time one fewer asked often. */
static void
test_role_comes (void)
{
  long before;

  start ();
  world.store_wait_ms = world.list_wait_ms = LONG_WAIT_MS;
  for (int r = 1; r < WORLD_ROUTERS; r++)
    {
      world_start_router (&world, r);
      CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, r, true));
    }
  CU_ASSERT_TRUE_FATAL (wait_patient (3));
  before = store_calls (3);
  fleet_end (&world.routers[0].pid, SIGKILL);
  for (int i = 0; i < 500 && store_calls (3) == before; i++)
    fleet_sleep (20);
  CU_ASSERT_NOT_EQUAL (store_calls (3), before);
  world_stop (&world);
}

/* What a review saw: a router that was started while the store took more than 300 ms for an answer
 * was never ready, and one that ran never heard of a change again after one failure. Events: after
 * a failure, or at the start, an answer was waited for for 300 ms, given up, and asked for again,
 * all the same each time. Evidence: not ready in 10 s at 500 ms an answer. Cause: the bound, meant
 * for a lost packet, did not grow. */
static void
test_store_slow (void)
{
  start ();
  world_get (world.store_port, "PUT", "/mode?slow500", "");
  fleet_end (&world.routers[0].pid, SIGKILL);
  world_start_router (&world, 0);
  CU_ASSERT (world_wait_ready (&world, 0, true));
  world_call (&world, "sl1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (follows_changes ());
  world_stop (&world);
  /* One that ran has its questions cut off. */
  start ();
  world_get (world.store_port, "PUT", "/mode?busy", "");
  CU_ASSERT (world_wait_logged (&world, 0, "platform_down"));
  world_get (world.store_port, "PUT", "/mode?slow500", "");
  CU_ASSERT (follows_changes ());
  world_stop (&world);
}

/* The entries lapse and the store is back. Once the first router knows it, callers are served. */
static void
lapse_and_call (void)
{
  world_get (world.store_port, "PUT", "/remove?servers/i-A1", "");
  world_get (world.store_port, "PUT", "/remove?servers/i-B1", "");
  world_get (world.store_port, "PUT", "/mode?ok", "");
  CU_ASSERT (world_wait_logged (&world, 0, "endpoint_missing"));
  world_call (&world, "v2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
}

/* The store says nothing, and what waits there is lost. */
static void
silence_store (void)
{
  world_get (world.store_port, "PUT", "/mode?silent", "");
  world_get (world.store_port, "PUT", "/deafen", "");
}

/* What callers of a trial got: 503 although all servers lived, until they were listed again.
 * Events: the store was silent, and the entries lapsed; the question for the configuration was due
 * first, and its reader made the list's reader ask anew; the first answer told of the lapsed
 * entries. Evidence: the call after endpoint_missing got 503. Cause: only the reader whose own
 * question had been due distrusted what was missing. */
static void
test_silence_seen_by_sibling (void)
{
  start ();
  world.list_wait_ms = world.short_wait_ms = LONG_WAIT_MS;
  fleet_end (&world.routers[0].pid, SIGKILL);
  world_start_router (&world, 0);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true));
  fleet_sleep (300);
  silence_store ();
  CU_ASSERT (world_wait_logged (&world, 0, "the other one is silent"));
  lapse_and_call ();
  world_stop (&world);
}

/* The same as callers saw it, but a peer noticed the silence: its own questions wait for less
 * long. Events: with the store back the peer took the entries for lapsed, and told in its heartbeat
 * that it has a newer list; this router, whose questions were lost, got it and asked the store.
 * Evidence: the call after endpoint_missing got 503. Cause: both answers were trusted, as no
 * question was due here. */
static void
test_silence_seen_by_peer (void)
{
  start ();
  world_start_router (&world, 1);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 1, true));
  world.store_wait_ms = world.list_wait_ms = world.short_wait_ms = LONG_WAIT_MS;
  fleet_end (&world.routers[0].pid, SIGKILL);
  world_start_router (&world, 0);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true));
  fleet_sleep (300);
  silence_store ();
  CU_ASSERT (world_wait_logged (&world, 1, "no answer in time"));
  lapse_and_call ();
  /* Those that do not come back are not used for long. */
  CU_ASSERT (wait_refused ());
  world_stop (&world);
}

/* ---- a group of ranks ---- */

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
          fleet_sleep (50);
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
      fleet_sleep (25);
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

/* Orders get lost or come late, and the router that leads is killed again and again. */
static void
test_maps_in_trouble (void)
{
  struct caller callers[CALLERS];
  long changes;

  world_start (&world);
  world_start_group (&world);
  world_publish (&world);
  world_start_router (&world, 1);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 0, true) && world_wait_ready (&world, 1, true));
  start_callers (callers, 1);
  world_get (world.ranks[0], "GET", "/state?late=10", "");
  for (int i = 0; i < 5; i++)
    {
      char target[32];

      snprintf (target, sizeof target, "/state?shift=%d", 3 * i);
      world_get (world.ranks[0], "GET", target, "");
      fleet_sleep (600 + 130 * i);
      fleet_end (&world.routers[0].pid, SIGKILL);
      world_start_router (&world, 0);
    }
  /* Calm again: late orders are over, and the map follows once more. */
  world_get (world.ranks[0], "GET", "/state?late=0", "");
  fleet_sleep (2000);
  changes = world_group (&world, "changes");
  world_get (world.ranks[0], "GET", "/state?shift=6", "");
  CU_ASSERT (wait_changes (changes + 1));
  CU_ASSERT (stop_callers (callers) > 0);
  CU_ASSERT_EQUAL (world_group (&world, "broken"), 0);
  CU_ASSERT (world_group (&world, "standing_ms") < 3000);
  world_stop (&world);
}

static void
test_settings (void)
{
  char path[64] = "/tmp/ash-router-XXXXXX";
  int fd = mkstemp (path);
  const char *text = "box = \"r\"\nfrontend_listen = \"nowhere\"\nwait_ms = -4\nodd = 1\n";
  char log[96];
  char line[512];
  int lines = 0;
  pid_t pid;
  FILE *file;

  CU_ASSERT_FATAL (fd >= 0 && write (fd, text, strlen (text)) > 0);
  close (fd);
  pid = fleet_spawn ("/tmp", "ash-router-settings", "ashspindle-router", path, (char *) NULL);
  CU_ASSERT_EQUAL (fleet_end (&pid, 0), 2);
  snprintf (log, sizeof log, "/tmp/ash-router-settings.log");
  file = fopen (log, "r");
  while (file && fgets (line, sizeof line, file))
    lines += strstr (line, path) != NULL;
  if (file)
    fclose (file);
  /* All findings at once, each with its place: eight keys are missing or wrong, one is odd. */
  CU_ASSERT (lines >= 9);
  unlink (path);
  unlink (log);
}

static void
test_figures (void)
{
  const char *figures;

  start ();
  world_call (&world, "q1", "/safe/x", NULL, "", &answer);
  figures = world_get (world.routers[0].figures, "GET", "/metrics", "");
  CU_ASSERT_PTR_NOT_NULL (
      strstr (figures, "ash_requests_total{route=\"r-safe\",outcome=\"served\"} 1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (figures, "ash_answer_ms_count{account=\"shop\"} 1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (figures, "ash_config_version{} 3"));
  world_stop (&world);
}

/* What a trace of the routers' logs says of a request. */
static void
trace_request (const char *id, char *end, size_t end_bytes)
{
  struct ash_trace trace;
  char path[160];

  ash_trace_init (&trace, id);
  for (int r = 0; r < WORLD_ROUTERS; r++)
    {
      FILE *log;

      snprintf (path, sizeof path, "%s/router-%d.log", world.folder, r);
      log = fopen (path, "r");
      if (log)
        {
          CU_ASSERT (ash_trace_read (&trace, log));
          fclose (log);
        }
    }
  ash_trace_explain (&trace, end, end_bytes);
  ash_trace_finish (&trace);
}

static void
check_trace (const char *id, const char *first, const char *second)
{
  char end[1024];

  trace_request (id, end, sizeof end);
  CU_ASSERT_PTR_NOT_NULL (strstr (end, first));
  CU_ASSERT_PTR_NOT_NULL (strstr (end, second));
  if (!strstr (end, first) || !strstr (end, second))
    printf ("\n%s: %s\n", id, end);
}

/* The failed requests of docs/OPERATIONS.md, from the id to the cause. */
static void
test_trace (void)
{
  start ();
  world_call (&world, "n1", "/once/x", "*=shed", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  check_trace ("n1", "each endpoint that was asked said that it has no room", "It did not run");
  world_call (&world, "n2", "/once/x", "*=reset", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  check_trace ("n2", "the endpoint broke off", "may have run");
  world_call (&world, "n3", "/stream/x", "*=streamcut", "", &answer);
  CU_ASSERT_FALSE (answer.whole);
  check_trace ("n3", "the endpoint broke off", "It was last at i-");
  world_call (&world, "n4", "/safe/x", NULL, "", &answer);
  check_trace ("n4", "Answered with 200 by i-", " ms after it came");
  /* An id that only begins alike is another request. */
  check_trace ("n", "No line among", "tells of it");
  world_stop (&world);
}

static const struct fault_test tests[] = {
  { "trace: from a failed request's id to the cause", test_trace },
  { "path of a request", test_path },
  { "HEAD", test_head },
  { "odd attempt id", test_odd_id },
  { "more callers than allowed", test_many_callers },
  { "stream passed on", test_stream },
  { "directory names who is ready", test_directory },
  { "keys added and taken away, routes unknown", test_keys },
  { "no configuration yet", test_no_configuration },
  { "bad configuration: all findings, the last good one stays", test_bad_configuration },
  { "odd framing from callers", test_framing_in },
  { "odd answers from servers", test_framing_out },
  { "at most once, and a true not run", test_once },
  { "repeatable requests go elsewhere", test_repeatable },
  { "kept connection dies", test_kept_connection_dies },
  { "address reused by another life", test_address_reused },
  { "stream cut inside an event goes on elsewhere", test_stream_resumed },
  { "caller leaves", test_caller_leaves },
  { "route's time-out", test_timeout },
  { "planned stop and start", test_planned_stop },
  { "late in a planned stop", test_late_in_stop },
  { "late in a planned stop: plain requests", test_plain_late_in_stop },
  { "stop cut short by a second signal", test_stop_cut_short },
  { "stop whose time is over", test_stop_time_over },
  { "stop while a connection comes up", test_stop_while_connecting },
  { "stop with requests sent ahead", test_stop_pipelined },
  { "stop crossed by requests", test_stop_crossed },
  { "stop: signals at odd moments", test_stop_signals },
  { "draining, and gone without a word", test_draining },
  { "store away, entries lapse", test_store_away },
  { "endpoints start in a burst", test_endpoints_burst },
  { "store silent, entries lapse", test_store_silent },
  { "store's history gone", test_history_gone },
  { "store's history gone, an endpoint left meanwhile", test_history_gone_removal },
  { "store's watches silent", test_store_watch_silent },
  { "denied by an old configuration", test_denied_by_old_configuration },
  { "one that asks the store often is gone", test_role_comes },
  { "store slow after a failure", test_store_slow },
  { "store silent, entries lapse: its other question is due first", test_silence_seen_by_sibling },
  { "store silent, entries lapse: a peer notices it first", test_silence_seen_by_peer },
  { "peer's older list beside a listing", test_peer_list_during_listing },
  { "peer helps where the store does not", test_peer_helps },
  { "expert maps follow what is asked for", test_maps },
  { "expert maps in trouble", test_maps_in_trouble },
  { "bad settings", test_settings },
  { "figures", test_figures },
  { NULL, NULL },
};

int
main (int argc, char **argv)
{
  return run_fault_tests ("router", tests, argc > 1 ? argv[1] : "");
}
