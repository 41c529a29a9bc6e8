/**
 * @file
 * The router as a real process with stand-ins for the platform: what callers and servers see of it
 * in normal operation, with malformed framing, and when endpoints answer incorrectly. The program's
 * other tests are in files by topic: test/router_tests.h.
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

/* ---- normal operation ---- */

static void
test_path (void)
{
  start ();
  testbed_call (&testbed, "a1", "/once/x?q=%20a;b", NULL,
                "Ashspindle-Tenant: forged\r\nX-Hop: gone\r\nConnection: X-Hop\r\n", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (answer.complete && answer_has ("Ashspindle-Server-Seal: seal-i-"));
  CU_ASSERT_STRING_EQUAL (answer.body, "whole answer");
  /* The target is forwarded byte for byte. The router adds its own header fields and removes the
   * API key and hop-by-hop fields. */
  CU_ASSERT (server_logs_contain ("a1 POST /once/x?q=%20a;b body=5 "));
  CU_ASSERT (server_logs_contain ("tenant=shop last=- urgency=- authorization=- connection=-"));
  CU_ASSERT (server_logs_contain ("expect=i-"));
  CU_ASSERT_FALSE (server_logs_contain ("deadline=4000"));
  CU_ASSERT_FALSE (server_logs_contain ("deadline=-"));
  testbed_stop (&testbed);
}

/* The answer to HEAD has no body although it states a Content-Length, both between caller and
 * router and between router and server. */
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

/* A caller can't forge log fields through its request id. */
static void
test_invalid_id (void)
{
  start ();
  testbed_call (&testbed, "x status=200 reason=forged", "/safe/x", NULL, "", &answer);
  CU_ASSERT (testbed_logged (&testbed, 0, "id=(odd) "));
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, "forged"));
  testbed_stop (&testbed);
}

/* Connections beyond connections_max wait until others close. */
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
  /* A router that is stopping is removed from the directory. */
  kill (testbed.routers[1].pid, SIGTERM);
  fleet_sleep_ms (300);
  CU_ASSERT_FALSE (
      strstr (testbed_fetch (testbed.routers[0].directory_port, "GET", "/resolution", ""), other));
  testbed_stop (&testbed);
}

/* ---- API keys and routes ---- */

static void
test_keys (void)
{
  start ();
  testbed_call (&testbed, "k1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  /* A revoked key is rejected, and the request does not run. */
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
  /* Without a configuration an unknown key (401) can't be distinguished from an unknown route
   * (404). */
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
  /* An invalid configuration does not replace the last valid one, nor does a valid one with a lower
   * version. */
  testbed_call (&testbed, "b1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_publish_text (&testbed, "{\"Version\":1,\"Routes\":[],\"Services\":[]}");
  fleet_sleep_ms (200);
  testbed_call (&testbed, "b2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

/* ---- malformed framing ---- */

/* Checks that a request is rejected, and that bytes after it on the connection are not read as
 * another request (request smuggling). */
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
  /* A chunked body is forwarded with a Content-Length. */
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
  /* The answer to another request precedes the right one on the connection and must be skipped. */
  testbed_call (&testbed, "o1", "/once/x", "*=foreign", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_STRING_EQUAL (answer.body, "whole answer");
  /* Answers without the attempt id, without the server's seal, with an encoding or cut off are not
   * passed to the caller. */
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
  /* A second answer to the same request must not reach the next request on the connection. */
  for (int i = 0; i < 4; i++)
    {
      testbed_call (&testbed, "o7", "/once/x", "*=extra", "", &answer);
      CU_ASSERT_STRING_EQUAL (answer.body, "whole answer");
    }
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "o2"), 1);
  testbed_stop (&testbed);
}

/* ---- at most once, and "not run" only if that is certain ---- */

static void
test_once (void)
{
  start ();
  /* The connection was reset after the request was sent: the request may have run. */
  testbed_call (&testbed, "u1", "/once/x", "*=reset", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "u1"), 1);
  /* The servers state that the request did not run. */
  testbed_call (&testbed, "u2", "/once/x", "*=shed", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (answer_has ("Retry-After:"));
  /* An error answer of the server is passed on unchanged. */
  testbed_call (&testbed, "u3", "/once/x", "*=fail", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 500);
  CU_ASSERT (answer_has ("Server-Seal"));
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "u3"), 1);
  /* One server rejects the request without running it, and the other one runs it once. */
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
  /* If the first server fails, the request is sent to the other one, and no third time. */
  testbed_call (&testbed, "r1", "/safe/x", "A=reset B=ok", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_call (&testbed, "r2", "/safe/x", "A=ok B=cut", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_call (&testbed, "r3", "/safe/x", "A=fail B=ok", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_call (&testbed, "r4", "/safe/x", "*=reset", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  CU_ASSERT (testbed_count_runs (&testbed, "r4") <= 2);
  /* A server that does not answer in time counts as failed, early enough to answer within the
   * caller's deadline. */
  testbed_call (&testbed, "r5", "/safe/x", "A=mute B=ok", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_call (&testbed, "r6", "/safe/x", "A=ok B=mute", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

/* Servers are killed while the router keeps idle connections to them: no request that is sent next
 * may run twice. */
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
  /* Another incarnation runs at the address of server A before the store lists it. It rejects
   * requests that expect the former incarnation. */
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

static void
test_stream_resumed (void)
{
  start ();
  /* Server A cuts its stream in the middle of an event. Repeats the call until A was chosen first,
   * so that the other server resumes the stream. */
  for (int i = 0; i < 30 && !server_logs_contain ("last=2"); i++)
    {
      testbed_call (&testbed, "t1", "/stream/x", "A=streamcut B=stream", "", &answer);
      CU_ASSERT (answer.status == 200 && answer.complete);
      testbed_expect_events (&answer, 1, 6);
    }
  CU_ASSERT (server_logs_contain ("last=2"));
  /* Both servers cut the stream: the caller's stream ends without its last chunk. */
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
  /* The router closes the connection to the server. */
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
  /* The route's time-out (1.5 s) ends the request long before the caller's deadline (4 s). */
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
  /* All errors are reported at once, each with its file and key: eight keys are missing or invalid,
   * one is unknown. */
  CU_ASSERT (lines >= 9);
  unlink (path);
  unlink (log);
}

static void
test_metrics (void)
{
  const char *metrics;

  start ();
  testbed_call (&testbed, "q1", "/safe/x", NULL, "", &answer);
  metrics = testbed_fetch (testbed.routers[0].metrics_port, "GET", "/metrics", "");
  CU_ASSERT_PTR_NOT_NULL (
      strstr (metrics, "ash_requests_total{route=\"r-safe\",outcome=\"served\"} 1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (metrics, "ash_answer_ms_count{account=\"shop\"} 1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (metrics, "ash_config_version{} 3"));
  testbed_stop (&testbed);
}

/* Explains a request from the logs of all routers, as the operator's trace command does. */
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

/* Finds the cause of failed requests from their ids, for the failures that docs/OPERATIONS.md
 * describes. */
static void
test_trace (void)
{
  start ();
  testbed_call (&testbed, "n1", "/once/x", "*=shed", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  check_trace ("n1", "each endpoint that got the request rejected it because it had no room",
               "It did not run");
  testbed_call (&testbed, "n2", "/once/x", "*=reset", "", &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  check_trace ("n2", "the endpoint ended its answer early", "may have run");
  testbed_call (&testbed, "n3", "/stream/x", "*=streamcut", "", &answer);
  CU_ASSERT_FALSE (answer.complete);
  check_trace ("n3", "the endpoint ended its answer early", "It was last at i-");
  testbed_call (&testbed, "n4", "/safe/x", NULL, "", &answer);
  check_trace ("n4", "Answered with 200 by i-", " ms after it arrived");
  /* An id that is only a prefix of a logged one is another request. */
  check_trace ("n", "None of the ", "is about this request");
  testbed_stop (&testbed);
}

/* @return how many requests other routers have at the endpoints, as the metrics of router @p r
 * show. */
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

/* Sends the first router a request that no server answers. @return the caller's connection. */
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

/* The failure: a router that started while the store was slow doubled the load of endpoints that
 * its peers had already loaded, until the loads changed. The cause: its links to peers were up
 * before it had the list of endpoints. The peers reported their loads as the links came up, and the
 * new router dropped the loads of endpoints that it did not know yet. */
static void
test_peer_loads_before_list (void)
{
  int fds[4];

  start ();
  for (int i = 0; i < 4; i++)
    fds[i] = begin_unanswered (i);
  /* Each request has been resent to its second endpoint, the last one that it may try: the loads
   * don't change from now on. */
  for (int i = 0; i < 4; i++)
    {
      char resent[64];

      snprintf (resent, sizeof resent, "forward_resent box=router-0 module=router id=load-%d ", i);
      CU_ASSERT (testbed_wait_logged (&testbed, 0, resent));
    }
  kill (testbed.store, SIGSTOP);
  /* Router 2 is not among the seeds, so there is only one link between the two routers. */
  testbed_start_router (&testbed, 2);
  CU_ASSERT (testbed_wait_ready (&testbed, 2, true));
  CU_ASSERT (wait_elsewhere (2, 4));
  kill (testbed.store, SIGCONT);
  for (int i = 0; i < 4; i++)
    close (fds[i]);
  testbed_stop (&testbed);
}

/* Peers receive only the changes of loads since the previous message. Their sums must match the
 * actual loads after requests end in another order than they started, and after a peer restarts. */
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
  path_tests,
  router_stop_tests,
  router_store_tests,
  router_quarantine_tests,
  router_prompt_parts_tests,
  router_open_answer_tests,
  router_broken_answer_tests,
  router_resumed_stream_tests,
  router_kept_connection_tests,
  router_cut_head_tests,
  router_odd_entry_tests,
  router_listed_name_tests,
  router_descriptor_tests,
  router_list_page_tests,
  router_era_tests,
  router_suspended_tests,
  router_terms_tests,
  router_map_tests,
  process_tests,
  router_evacuation_tests,
  router_slow_reader_tests,
  router_outlier_tests,
  NULL,
};

int
main (int argc, char **argv)
{
  return run_fault_tables ("router", tables, argc > 1 ? argv[1] : "");
}
