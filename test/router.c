/**
 * @file
 * The router as a real process, before stand-ins of the platform: what callers and
 * servers see of it, calm, with odd framing, and where endpoints answer badly. The
 * program's other tests are in files by topic: test/router_tests.h.
 */
#include "cli/trace.h"
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Whether either server's log holds the text. */
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
    fleet_sleep_ms (20);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (world_get (world.routers[0].directory, "GET", "/resolution", ""), other));
  /* One that stops is no longer named. */
  kill (world.routers[1].pid, SIGTERM);
  fleet_sleep_ms (300);
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
  fleet_sleep_ms (200);
  world_call (&world, "k2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 401);
  CU_ASSERT_EQUAL (world_runs (&world, "k2"), 0);
  world.has_key = true;
  world_publish (&world);
  fleet_sleep_ms (200);
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
  fleet_sleep_ms (200);
  CU_ASSERT (world_logged (&world, 0, "place=Services[0] why=\"has no Name\""));
  CU_ASSERT (world_logged (&world, 0, "place=Routes[0] why=\"has a RouteKind"));
  CU_ASSERT (world_logged (&world, 0, "place=Routes[0] why=\"names a service"));
  world_publish_text (&world, "no JSON");
  fleet_sleep_ms (100);
  /* The last good one stays, and an older one never comes back. */
  world_call (&world, "b1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  world_publish_text (&world, "{\"Version\":1,\"Routes\":[],\"Services\":[]}");
  fleet_sleep_ms (200);
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

      fleet_end_process (&world.servers[s].pid, SIGKILL);
      snprintf (port, sizeof port, "%u", world.servers[s].port);
      snprintf (name, sizeof name, "%s", world.servers[s].name);
      snprintf (id, sizeof id, "%s", world.servers[s].id);
      world.servers[s].pid =
          fleet_spawn (world.folder, name, "standin-server", port, name, id, (char *) NULL);
    }
  fleet_sleep_ms (300);
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
  fleet_end_process (&world.servers[0].pid, SIGKILL);
  snprintf (port, sizeof port, "%u", world.servers[0].port);
  world.servers[0].pid =
      fleet_spawn (world.folder, "A", "standin-server", port, "A", "i-A2", (char *) NULL);
  fleet_sleep_ms (200);
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
  wait_arrived ("l1");
  close (fd);
  /* The server sees it soon: its connection is closed. */
  for (int i = 0; i < 40 && atoi (world_get (world.servers[0].port, "GET", "/gone", "")) +
                                    atoi (world_get (world.servers[1].port, "GET", "/gone", "")) ==
                                0;
       i++)
    fleet_sleep_ms (10);
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
  began = fleet_now_ms ();
  world_call (&world, "x1", "/once/x", "*=mute", "", &answer);
  /* The route's time ends it, long before the caller's. */
  CU_ASSERT_EQUAL (answer.status, 504);
  CU_ASSERT (fleet_now_ms () - began < 3500);
  world_stop (&world);
}

/* ---- the process itself ---- */

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
  CU_ASSERT_EQUAL (fleet_end_process (&pid, 0), 2);
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

/* Requests that routers other than this one have, by its figures. */
static int
elsewhere (int r)
{
  const char *at = world_get (world.routers[r].figures, "GET", "/metrics", "");
  int sum = 0;

  while ((at = strstr (at, "ash_endpoint_elsewhere{")))
    sum += atoi (strchr (at, '}') + 1), at++;
  return sum;
}

static bool
comes_to_have_elsewhere (int r, int wanted)
{
  for (int i = 0; i < 200 && elsewhere (r) != wanted; i++)
    fleet_sleep_ms (20);
  return elsewhere (r) == wanted;
}

/* @return the connection of a request at the first router that gets no answer. */
static int
begin_mute (int i)
{
  int fd = world_connect (&world, 0);
  char request[256];

  snprintf (request, sizeof request,
            "GET /any/x HTTP/1.1\r\n" HEAD "load-%d\r\nX-Do: *=mute\r\n\r\n", i);
  world_send (fd, request);
  return fd;
}

/* A router that starts has its links before its list of endpoints where the store is slow to
 * answer. It was told of its peers' work as the links came up, dropped what concerned endpoints
 * that it did not know yet, and then sent as many requests again to endpoints that had them
 * already, until that work changed. */
static void
test_peer_loads_before_list (void)
{
  int fds[4];

  start ();
  for (int i = 0; i < 4; i++)
    fds[i] = begin_mute (i);
  /* Each has gone to its second endpoint, the last: nothing changes from now on. */
  for (int i = 0; i < 4; i++)
    {
      char resent[64];

      snprintf (resent, sizeof resent, "forward_resent box=router-0 module=router id=load-%d ", i);
      CU_ASSERT (world_wait_logged (&world, 0, resent));
    }
  kill (world.store, SIGSTOP);
  /* No seed: there is one link to it. */
  world_start_router (&world, 2);
  CU_ASSERT (world_wait_ready (&world, 2, true));
  CU_ASSERT (comes_to_have_elsewhere (2, 4));
  kill (world.store, SIGCONT);
  for (int i = 0; i < 4; i++)
    close (fds[i]);
  world_stop (&world);
}

/* Peers are told what has changed since the message before: what they add up must be what there is,
 * after requests have ended in another order, and for a peer that has forgotten all. */
static void
test_peer_loads (void)
{
  int fds[4];

  start ();
  world_start_router (&world, 1);
  CU_ASSERT (world_wait_ready (&world, 1, true));
  for (int i = 0; i < 4; i++)
    fds[i] = begin_mute (i);
  CU_ASSERT (comes_to_have_elsewhere (1, 4));
  CU_ASSERT_EQUAL (elsewhere (0), 0);
  close (fds[1]);
  close (fds[2]);
  CU_ASSERT (comes_to_have_elsewhere (1, 2));
  fleet_end_process (&world.routers[1].pid, SIGKILL);
  world_start_router (&world, 1);
  CU_ASSERT (world_wait_ready (&world, 1, true));
  CU_ASSERT (comes_to_have_elsewhere (1, 2));
  close (fds[0]);
  close (fds[3]);
  CU_ASSERT (comes_to_have_elsewhere (1, 0));
  world_stop (&world);
}

static const struct fault_test path_tests[] = {
  { "trace: from a failed request's id to the cause", test_trace },
  { "path of a request", test_path },
  { "peers know each other's loads", test_peer_loads },
  { "peers' loads told before the list", test_peer_loads_before_list },
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
  { NULL, NULL },
};

static const struct fault_test process_tests[] = {
  { "bad settings", test_settings },
  { "figures", test_figures },
  { NULL, NULL },
};

static const struct fault_test *const tables[] = {
  path_tests,        router_stop_tests,  router_store_tests, router_end_tests, router_era_tests,
  router_woke_tests, router_terms_tests, router_map_tests,   process_tests,    NULL,
};

int
main (int argc, char **argv)
{
  return run_fault_tables ("router", tables, argc > 1 ? argv[1] : "");
}
