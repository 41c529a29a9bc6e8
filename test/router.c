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
server_logs_contain (const char *text)
{
  bool first = strstr (server_log (0), text) != NULL;

  return first || strstr (server_log (1), text) != NULL;
}

/* ---- calm ---- */

static void
test_path (void)
{
  start ();
  testbed_call (&testbed, "a1", "/once/x?q=%20a;b", NULL,
                "Ashspindle-Tenant: forged\r\nX-Hop: gone\r\nConnection: X-Hop\r\n", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (answer.complete && answer_has ("Ashspindle-Server-Seal: seal-i-"));
  CU_ASSERT_STRING_EQUAL (answer.body, "whole answer");
  /* Byte for byte, with the system's own fields and without the key or what is hop by hop. */
  CU_ASSERT (server_logs_contain ("a1 POST /once/x?q=%20a;b body=5 "));
  CU_ASSERT (server_logs_contain ("tenant=shop last=- urgency=- authorization=- connection=-"));
  CU_ASSERT (server_logs_contain ("expect=i-"));
  CU_ASSERT_FALSE (server_logs_contain ("deadline=4000"));
  CU_ASSERT_FALSE (server_logs_contain ("deadline=-"));
  testbed_stop (&testbed);
}

/* An answer without a body is complete without it, here and towards the server. */
static void
test_head (void)
{
  char text[4096] = "";
  size_t length = 0;
  ssize_t got;
  int fd;

  start ();
  fd = testbed_connect (&testbed, 0);
  testbed_send (fd, "HEAD /safe/x HTTP/1.1\r\n" HEAD "head-1\r\n\r\n"
                    "HEAD /safe/x HTTP/1.1\r\n" HEAD "head-2\r\n\r\n"
                    "GET /safe/x HTTP/1.1\r\nConnection: close\r\n" HEAD "get-1\r\n\r\n");
  while ((got = recv (fd, text + length, sizeof text - 1 - length, 0)) > 0)
    length += (size_t) got;
  close (fd);
  CU_ASSERT_EQUAL (count_of (text, "HTTP/1.1 200 OK\r\n"), 3);
  CU_ASSERT_EQUAL (count_of (text, "Content-Length: 12\r\n"), 3);
  CU_ASSERT_EQUAL (count_of (text, "whole answer"), 1);
  CU_ASSERT (server_logs_contain ("head-1 HEAD /safe/x"));
  testbed_stop (&testbed);
}

/* What a log holds can't be made up by a caller. */
static void
test_invalid_id (void)
{
  start ();
  testbed_call (&testbed, "x status=200 reason=forged", "/safe/x", NULL, "", &answer);
  CU_ASSERT (testbed_logged (&testbed, 0, "id=(odd) "));
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, "forged"));
  testbed_stop (&testbed);
}

/* More callers than the settings allow wait for their turn. */
static void
test_many_callers (void)
{
  int fds[14];

  start ();
  for (int i = 0; i < 14; i++)
    fds[i] = testbed_connect (&testbed, 0);
  for (int i = 0; i < 8; i++)
    close (fds[i]);
  for (int i = 8; i < 14; i++)
    {
      testbed_send (fds[i], "GET /safe/x HTTP/1.1\r\n" HEAD "many-1\r\n\r\n");
      testbed_read (fds[i], &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
      close (fds[i]);
    }
  testbed_stop (&testbed);
}

static void
test_stream (void)
{
  start ();
  testbed_call (&testbed, "s1", "/stream/x", "*=stream", "", &answer);
  CU_ASSERT (answer.status == 200 && answer.complete);
  CU_ASSERT (strstr (answer.body, "id: 1\n") && strstr (answer.body, "id: 6\n"));
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "s1"), 1);
  testbed_stop (&testbed);
}

static void
test_directory (void)
{
  char other[32];

  start ();
  testbed_start_router (&testbed, 1);
  CU_ASSERT (testbed_wait_ready (&testbed, 1, true));
  snprintf (other, sizeof other, "127.0.0.1:%u", testbed.routers[1].frontend_port);
  for (int i = 0; i < 200 && !strstr (testbed_fetch (testbed.routers[0].directory_port, "GET",
                                                     "/resolution?Name=shop.example", ""),
                                      other);
       i++)
    fleet_sleep_ms (20);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (testbed_fetch (testbed.routers[0].directory_port, "GET", "/resolution", ""), other));
  /* One that stops is no longer named. */
  kill (testbed.routers[1].pid, SIGTERM);
  fleet_sleep_ms (300);
  CU_ASSERT_FALSE (
      strstr (testbed_fetch (testbed.routers[0].directory_port, "GET", "/resolution", ""), other));
  testbed_stop (&testbed);
}

/* ---- who may ask for what ---- */

static void
test_keys (void)
{
  start ();
  testbed_call (&testbed, "k1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  /* Taken away: refused soon, and not run. */
  testbed.has_key = false;
  testbed_publish (&testbed);
  fleet_sleep_ms (200);
  testbed_call (&testbed, "k2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 401);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "k2"), 0);
  testbed.has_key = true;
  testbed_publish (&testbed);
  fleet_sleep_ms (200);
  testbed_call (&testbed, "k3", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_call (&testbed, "k4", "/nowhere/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 404);
  testbed_stop (&testbed);
}

static void
test_no_configuration (void)
{
  testbed_start (&testbed);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, false));
  testbed_call (&testbed, "n1", "/safe/x", NULL, "", &answer);
  /* Nothing is known: neither denied nor not found. */
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (answer_has ("Retry-After:"));
  testbed_publish (&testbed);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, true));
  testbed_call (&testbed, "n2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

static void
test_bad_configuration (void)
{
  start ();
  testbed_publish_text (&testbed,
                        "{\"Version\":900,\"Routes\":[{\"Host\":\"h\",\"RouteKind\":\"odd\","
                        "\"Service\":\"none\"}],\"Services\":[{}]}");
  fleet_sleep_ms (200);
  CU_ASSERT (testbed_logged (&testbed, 0, "place=Services[0] why=\"has no Name\""));
  CU_ASSERT (testbed_logged (&testbed, 0, "place=Routes[0] why=\"has a RouteKind"));
  CU_ASSERT (testbed_logged (&testbed, 0, "place=Routes[0] why=\"names a service"));
  testbed_publish_text (&testbed, "no JSON");
  fleet_sleep_ms (100);
  /* The last good one stays, and an older one never comes back. */
  testbed_call (&testbed, "b1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_publish_text (&testbed, "{\"Version\":1,\"Routes\":[],\"Services\":[]}");
  fleet_sleep_ms (200);
  testbed_call (&testbed, "b2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

/* ---- odd framing ---- */

/* A request that must be refused, and what follows it must not be read as another. */
static void
expect_refused (const char *text, int status)
{
  int fd = testbed_connect (&testbed, 0);

  testbed_send (fd, text);
  testbed_send (fd, "POST /safe/smuggled HTTP/1.1\r\n" HEAD "smuggled\r\n\r\n");
  testbed_read (fd, &answer);
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
  CU_ASSERT_FALSE (server_logs_contain ("smuggled"));
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "f1") + testbed_count_runs (&testbed, "f2"), 0);
  /* A chunked body is one body, with a length of its own towards the server. */
  {
    int fd = testbed_connect (&testbed, 0);

    testbed_send (fd,
                  "POST /safe/x HTTP/1.1\r\n" HEAD
                  "f9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n");
    testbed_read (fd, &answer);
    CU_ASSERT_EQUAL (answer.status, 200);
    close (fd);
  }
  CU_ASSERT (server_logs_contain ("f9 POST /safe/x body=7"));
  testbed_stop (&testbed);
}

static void
test_framing_out (void)
{
  start ();
  /* Another request's answer comes first on the connection: ours is the one after it. */
  testbed_call (&testbed, "o1", "/once/x", "*=foreign", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_STRING_EQUAL (answer.body, "whole answer");
  /* No answer of ours: the caller must not take it for one. */
  testbed_call (&testbed, "o2", "/once/x", "*=noid", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  testbed_call (&testbed, "o3", "/once/x", "*=unsigned", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  testbed_call (&testbed, "o4", "/once/x", "*=encoded", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  testbed_call (&testbed, "o5", "/once/x", "*=cut", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  testbed_call (&testbed, "o6", "/once/x", "*=unframed", "", &answer);
  CU_ASSERT (answer.status == 200 && answer.complete);
  CU_ASSERT_STRING_EQUAL (answer.body, "whole answer");
  /* A second answer to the same request belongs to nobody. */
  for (int i = 0; i < 4; i++)
    {
      testbed_call (&testbed, "o7", "/once/x", "*=extra", "", &answer);
      CU_ASSERT_STRING_EQUAL (answer.body, "whole answer");
    }
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "o2"), 1);
  testbed_stop (&testbed);
}

/* ---- at most once, and a true "not run" ---- */

static void
test_once (void)
{
  start ();
  /* It was sent and no answer came: nobody can say that it did not run. */
  testbed_call (&testbed, "u1", "/once/x", "*=reset", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "u1"), 1);
  /* The servers vouch that it did not run. */
  testbed_call (&testbed, "u2", "/once/x", "*=shed", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (answer_has ("Retry-After:"));
  /* A server's own failure is passed on as it made it. */
  testbed_call (&testbed, "u3", "/once/x", "*=fail", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 500);
  CU_ASSERT (answer_has ("Server-Seal"));
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "u3"), 1);
  /* One server turns it away, the other runs it: once. */
  testbed_call (&testbed, "u4", "/once/x", "A=shed B=ok", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_call (&testbed, "u5", "/once/x", "A=ok B=shed", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

static void
test_repeatable (void)
{
  start ();
  /* Whichever server breaks, the other one is asked, and no third time. */
  testbed_call (&testbed, "r1", "/safe/x", "A=reset B=ok", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_call (&testbed, "r2", "/safe/x", "A=ok B=cut", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_call (&testbed, "r3", "/safe/x", "A=fail B=ok", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_call (&testbed, "r4", "/safe/x", "*=reset", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  CU_ASSERT (testbed_count_runs (&testbed, "r4") <= 2);
  /* Silence counts after some time; the answer still comes within the caller's. */
  testbed_call (&testbed, "r5", "/safe/x", "A=mute B=ok", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_call (&testbed, "r6", "/safe/x", "A=ok B=mute", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

/* A server ends while its kept connections wait: what is sent next must not run twice. */
static void
test_kept_connection_dies (void)
{
  char port[16];

  start ();
  for (int i = 0; i < 6; i++)
    testbed_call (&testbed, "d0", "/once/x", NULL, "", &answer);
  for (int s = 0; s < TESTBED_SERVERS; s++)
    {
      char name[8];
      char id[16];

      fleet_end_process (&testbed.servers[s].pid, SIGKILL);
      snprintf (port, sizeof port, "%u", testbed.servers[s].port);
      snprintf (name, sizeof name, "%s", testbed.servers[s].name);
      snprintf (id, sizeof id, "%s", testbed.servers[s].id);
      testbed.servers[s].pid =
          fleet_spawn (testbed.folder, name, "standin-server", port, name, id, (char *) NULL);
    }
  fleet_sleep_ms (300);
  for (int i = 0; i < 8; i++)
    {
      char request[8];

      snprintf (request, sizeof request, "d%d", i + 1);
      testbed_call (&testbed, request, "/once/x", NULL, "", &answer);
      CU_ASSERT (answer.status == 200 || answer.status == 502 || answer.status == 503);
      CU_ASSERT (testbed_count_runs (&testbed, request) <= 1);
      if (answer.status == 503)
        CU_ASSERT_EQUAL (testbed_count_runs (&testbed, request), 0);
    }
  testbed_stop (&testbed);
}

static void
test_address_reused (void)
{
  char port[16];

  start ();
  /* Another life at the address of A, before the list tells: it turns requests away. */
  fleet_end_process (&testbed.servers[0].pid, SIGKILL);
  snprintf (port, sizeof port, "%u", testbed.servers[0].port);
  testbed.servers[0].pid =
      fleet_spawn (testbed.folder, "A", "standin-server", port, "A", "i-A2", (char *) NULL);
  fleet_sleep_ms (200);
  for (int i = 0; i < 6; i++)
    {
      char request[8];

      snprintf (request, sizeof request, "m%d", i);
      testbed_call (&testbed, request, "/once/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
      CU_ASSERT_EQUAL (testbed_count_runs (&testbed, request), 1);
    }
  CU_ASSERT_PTR_NULL (strstr (server_log (0), "m"));
  testbed_stop (&testbed);
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
  for (int i = 0; i < 30 && !server_logs_contain ("last=2"); i++)
    {
      testbed_call (&testbed, "t1", "/stream/x", "A=streamcut B=stream", "", &answer);
      CU_ASSERT (answer.status == 200 && answer.complete);
      expect_events (1, 6);
    }
  CU_ASSERT (server_logs_contain ("last=2"));
  /* Both cut it: the caller sees that it is not complete. */
  testbed_call (&testbed, "t3", "/stream/x", "*=streamcut", "", &answer);
  CU_ASSERT_FALSE (answer.complete);
  testbed_stop (&testbed);
}

static void
test_caller_disconnects (void)
{
  int fd;

  start ();
  fd = testbed_connect (&testbed, 0);
  testbed_send (fd, "POST /stream/x HTTP/1.1\r\n" HEAD
                    "l1\r\nX-Do: *=mute\r\nContent-Length: 0\r\n\r\n");
  wait_arrived ("l1");
  close (fd);
  /* The server sees it soon: its connection is closed. */
  for (int i = 0;
       i < 40 && atoi (testbed_fetch (testbed.servers[0].port, "GET", "/gone", "")) +
                         atoi (testbed_fetch (testbed.servers[1].port, "GET", "/gone", "")) ==
                     0;
       i++)
    fleet_sleep_ms (10);
  CU_ASSERT_EQUAL (atoi (testbed_fetch (testbed.servers[0].port, "GET", "/gone", "")) +
                       atoi (testbed_fetch (testbed.servers[1].port, "GET", "/gone", "")),
                   1);
  CU_ASSERT (testbed_logged (&testbed, 0, "forward_gone"));
  testbed_stop (&testbed);
}

static void
test_timeout (void)
{
  int64_t began;

  start ();
  began = fleet_now_ms ();
  testbed_call (&testbed, "x1", "/once/x", "*=mute", "", &answer);
  /* The route's time ends it, long before the caller's. */
  CU_ASSERT_EQUAL (answer.status, 504);
  CU_ASSERT (fleet_now_ms () - began < 3500);
  testbed_stop (&testbed);
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
test_metrics (void)
{
  const char *metrics_port;

  start ();
  testbed_call (&testbed, "q1", "/safe/x", NULL, "", &answer);
  metrics_port = testbed_fetch (testbed.routers[0].metrics_port, "GET", "/metrics", "");
  CU_ASSERT_PTR_NOT_NULL (
      strstr (metrics_port, "ash_requests_total{route=\"r-safe\",outcome=\"served\"} 1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (metrics_port, "ash_answer_ms_count{account=\"shop\"} 1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (metrics_port, "ash_config_version{} 3"));
  testbed_stop (&testbed);
}

/* What a trace of the routers' logs says of a request. */
static void
trace_request (const char *id, char *end, size_t end_bytes)
{
  struct ash_trace trace;
  char path[160];

  ash_trace_init (&trace, id);
  for (int r = 0; r < TESTBED_ROUTERS; r++)
    {
      FILE *log;

      snprintf (path, sizeof path, "%s/router-%d.log", testbed.folder, r);
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
  testbed_call (&testbed, "n1", "/once/x", "*=shed", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  check_trace ("n1", "each endpoint that was asked said that it has no room", "It did not run");
  testbed_call (&testbed, "n2", "/once/x", "*=reset", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  check_trace ("n2", "the endpoint broke off", "may have run");
  testbed_call (&testbed, "n3", "/stream/x", "*=streamcut", "", &answer);
  CU_ASSERT_FALSE (answer.complete);
  check_trace ("n3", "the endpoint broke off", "It was last at i-");
  testbed_call (&testbed, "n4", "/safe/x", NULL, "", &answer);
  check_trace ("n4", "Answered with 200 by i-", " ms after it came");
  /* An id that only begins alike is another request. */
  check_trace ("n", "No line among", "tells of it");
  testbed_stop (&testbed);
}

/* Requests that routers other than this one have, by its metrics_port. */
static int
requests_elsewhere (int r)
{
  const char *at = testbed_fetch (testbed.routers[r].metrics_port, "GET", "/metrics", "");
  int sum = 0;

  while ((at = strstr (at, "ash_endpoint_elsewhere{")))
    sum += atoi (strchr (at, '}') + 1), at++;
  return sum;
}

static bool
wait_elsewhere (int r, int wanted)
{
  for (int i = 0; i < 200 && requests_elsewhere (r) != wanted; i++)
    fleet_sleep_ms (20);
  return requests_elsewhere (r) == wanted;
}

/* @return the connection of a request at the first router that gets no answer. */
static int
begin_unanswered (int i)
{
  int fd = testbed_connect (&testbed, 0);
  char request[256];

  snprintf (request, sizeof request,
            "GET /any/x HTTP/1.1\r\n" HEAD "load-%d\r\nX-Do: *=mute\r\n\r\n", i);
  testbed_send (fd, request);
  return fd;
}

/* A router that starts answer_has its links before its list of endpoints where the store is slow to
 * answer. It was told of its peers' work as the links came up, dropped what concerned endpoints
 * that it did not know yet, and then sent as many requests again to endpoints that had them
 * already, until that work changed. */
static void
test_peer_loads_before_list (void)
{
  int fds[4];

  start ();
  for (int i = 0; i < 4; i++)
    fds[i] = begin_unanswered (i);
  /* Each answer_has gone to its second endpoint, the last: nothing changes from now on. */
  for (int i = 0; i < 4; i++)
    {
      char resent[64];

      snprintf (resent, sizeof resent, "forward_resent box=router-0 module=router id=load-%d ", i);
      CU_ASSERT (testbed_wait_logged (&testbed, 0, resent));
    }
  kill (testbed.store, SIGSTOP);
  /* No seed: there is one link to it. */
  testbed_start_router (&testbed, 2);
  CU_ASSERT (testbed_wait_ready (&testbed, 2, true));
  CU_ASSERT (wait_elsewhere (2, 4));
  kill (testbed.store, SIGCONT);
  for (int i = 0; i < 4; i++)
    close (fds[i]);
  testbed_stop (&testbed);
}

/* Peers are told what answer_has changed since the message before: what they add up must be what
 * there is, after requests have ended in another order, and for a peer that answer_has forgotten
 * all. */
static void
test_peer_loads (void)
{
  int fds[4];

  start ();
  testbed_start_router (&testbed, 1);
  CU_ASSERT (testbed_wait_ready (&testbed, 1, true));
  for (int i = 0; i < 4; i++)
    fds[i] = begin_unanswered (i);
  CU_ASSERT (wait_elsewhere (1, 4));
  CU_ASSERT_EQUAL (requests_elsewhere (0), 0);
  close (fds[1]);
  close (fds[2]);
  CU_ASSERT (wait_elsewhere (1, 2));
  fleet_end_process (&testbed.routers[1].pid, SIGKILL);
  testbed_start_router (&testbed, 1);
  CU_ASSERT (testbed_wait_ready (&testbed, 1, true));
  CU_ASSERT (wait_elsewhere (1, 2));
  close (fds[0]);
  close (fds[3]);
  CU_ASSERT (wait_elsewhere (1, 0));
  testbed_stop (&testbed);
}

static const struct fault_test path_tests[] = {
  { "trace: from a failed request's id to the cause", test_trace },
  { "path of a request", test_path },
  { "peers know each other's loads", test_peer_loads },
  { "peers' loads told before the list", test_peer_loads_before_list },
  { "HEAD", test_head },
  { "odd attempt id", test_invalid_id },
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
  { "caller leaves", test_caller_disconnects },
  { "route's time-out", test_timeout },
  { NULL, NULL },
};

static const struct fault_test process_tests[] = {
  { "bad settings", test_settings },
  { "figures", test_metrics },
  { NULL, NULL },
};

static const struct fault_test *const tables[] = {
  path_tests,         router_stop_tests,
  router_store_tests, router_quarantine_tests,
  router_era_tests,   router_suspended_tests,
  router_terms_tests, router_map_tests,
  process_tests,      NULL,
};

int
main (int argc, char **argv)
{
  return run_fault_tables ("router", tables, argc > 1 ? argv[1] : "");
}
