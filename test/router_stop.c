/**
 * @file
 * Planned stops of the router: each caller that is still connected gets an answer that states
 * correctly whether its request may have run, also if the stop is cut short.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void
test_planned_stop (void)
{
  int fd[4];

  start ();
  for (int i = 0; i < 4; i++)
    {
      fd[i] = testbed_connect (&testbed, 0);
      testbed_send (fd[i], "POST /safe/x HTTP/1.1\r\n" HEAD
                           "p1\r\nX-Do: *=slow\r\nContent-Length: 0\r\n\r\n");
    }
  for (int i = 0; i < 100 && testbed_count_runs (&testbed, "p1") < 4; i++)
    fleet_sleep_ms (10);
  kill (testbed.routers[0].pid, SIGTERM);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, false));
  /* A caller that still uses the router's address is served too. */
  testbed_call (&testbed, "p2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (answer_has ("Connection: close"));
  for (int i = 0; i < 4; i++)
    {
      testbed_read (fd[i], &answer);
      CU_ASSERT (answer.status == 200 && answer.complete);
      close (fd[i]);
    }
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  testbed_start_router (&testbed, 0);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, true));
  testbed_call (&testbed, "p3", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

/* Sends a request. @return its connection. */
static int
begin_request (const char *path, const char *version, const char *id, const char *action)
{
  char text[512];
  int fd = testbed_connect (&testbed, 0);

  snprintf (text, sizeof text,
            "POST %s %s\r\n" HEAD "%s\r\nX-Do: *=%s\r\nContent-Length: 0\r\n\r\n", path, version,
            id, action);
  testbed_send (fd, text);
  return fd;
}

/* Sends a request that is never answered. @return its socket, once a server has the request. */
static int
hold_request (const char *id)
{
  int fd = begin_request ("/once/x", "HTTP/1.1", id, "mute");

  wait_arrived (id);
  return fd;
}

/* The failure: during a stop the router accepted a request 5.2 s after SIGTERM and cut its
 * answer 2.5 s later, at the end of the grace period of 8 s. The cause: the router did not compare
 * the time left with the time that the request may take. A fixed limit of 5 s, for streams only,
 * still accepted plain requests that could outlast the stop. */
static void
check_late_in_stop (const char *path, const char *action)
{
  char id[16] = "";
  int held[2];
  int served = 0;

  start ();
  held[0] = hold_request ("p1");
  kill (testbed.routers[0].pid, SIGTERM);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, false));
  fleet_sleep_ms (500);
  held[1] = hold_request ("p2");
  /* A request may take 1.5 s here, of the 3 s of the grace period: early requests are accepted. */
  do
    {
      snprintf (id, sizeof id, "l%d", served);
      testbed_call (&testbed, id, path, action, "", &answer);
      served += answer.status == 200 && answer.complete;
      fleet_sleep_ms (20);
    }
  while (answer.status == 200 && answer.complete);
  CU_ASSERT (served > 0);
  /* With less time left the router rejects requests, and they have not run. */
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (answer_has ("Retry-After:"));
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, id), 0);
  CU_ASSERT (testbed_logged (&testbed, 0, "reason=leaving"));
  /* A request that was accepted in time gets its final answer. */
  testbed_read (held[1], &answer);
  CU_ASSERT (answer.status == 504 && answer.complete);
  close (held[0]);
  close (held[1]);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  testbed_stop (&testbed);
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

static void
test_once_late_in_stop (void)
{
  check_late_in_stop ("/once/x", NULL);
}

/* Starts the testbed and restarts the first router with other settings. */
static void
start_with_settings (const char *grace, uint32_t wait_ms)
{
  start ();
  testbed.grace = grace;
  testbed.wait_ms = wait_ms;
  restart_router ();
}

/* Sends a request. @return its connection, once a server has the request. */
static int
run_request (const char *path, const char *version, const char *id, const char *action)
{
  int fd = begin_request (path, version, id, action);

  wait_arrived (id);
  CU_ASSERT (testbed_count_runs (&testbed, id) > 0);
  return fd;
}

/* Waits until the first event of a stream has reached the caller's socket, without consuming it. */
static void
wait_first_event (int fd)
{
  char text[4096];
  bool begun = false;

  for (int i = 0; i < 400 && !begun; i++)
    {
      ssize_t length = recv (fd, text, sizeof text - 1, MSG_PEEK | MSG_DONTWAIT);

      text[length > 0 ? length : 0] = '\0';
      begun = strstr (text, "id: 1\n") != NULL;
      if (!begun)
        fleet_sleep_ms (5);
    }
  CU_ASSERT (begun);
}

/* Reads until the connection closes, and closes it. */
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

  testbed_read (fd, &answer);
  close (fd);
  CU_ASSERT (answer.status == 503 && answer.complete);
  CU_ASSERT (answer_has ("Retry-After:"));
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, id), 0);
  snprintf (line, sizeof line, "forward_refused box=router-0 module=router id=%s ", id);
  CU_ASSERT (testbed_logged (&testbed, 0, line));
}

static void
expect_may_have_run (int fd, const char *id)
{
  char line[96];

  testbed_read (fd, &answer);
  close (fd);
  CU_ASSERT (answer.status == 502 && answer.complete);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, id), 1);
  snprintf (line, sizeof line, "forward_failed box=router-0 module=router id=%s ", id);
  CU_ASSERT (testbed_logged (&testbed, 0, line));
}

/* A stream that has begun keeps the events that were sent, and its missing last chunk shows that it
 * was cut. */
static void
expect_truncated (int fd, const char *id)
{
  char line[96];

  testbed_read (fd, &answer);
  close (fd);
  CU_ASSERT (answer.status == 200 && !answer.complete);
  CU_ASSERT (answer_has ("id: 1\n"));
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, id), 1);
  snprintf (line, sizeof line, "forward_failed box=router-0 module=router id=%s ", id);
  CU_ASSERT (testbed_logged (&testbed, 0, line));
}

/* Ends a stop while requests of several kinds are in progress, by a second signal or by the end of
 * the grace period. */
static void
check_stop_with_requests (bool by_signal)
{
  int held[2];
  int streams[2];
  int waiting;
  int partly;
  int idle;

  /* The service of /model/ has no endpoints, so that the request "e-waits" waits for one. */
  start_with_settings (by_signal ? "grace_s = 3" : "grace_s = 1.2", 10000);
  idle = testbed_connect (&testbed, 0);
  waiting = begin_request ("/model/x", "HTTP/1.1", "e-waits", "mute");
  partly = testbed_connect (&testbed, 0);
  testbed_send (partly,
                "POST /once/x HTTP/1.1\r\n" HEAD "e-partly\r\nContent-Length: 9\r\n\r\nhel");
  streams[0] = run_request ("/stream/x", "HTTP/1.1", "e-stream", "streamhang");
  streams[1] = run_request ("/stream/x", "HTTP/1.0", "e-old", "streamhang");
  wait_first_event (streams[0]);
  wait_first_event (streams[1]);
  held[0] = run_request ("/once/x", "HTTP/1.1", "e-once", "mute");
  held[1] = run_request ("/safe/x", "HTTP/1.1", "e-safe", "mute");
  kill (testbed.routers[0].pid, SIGTERM);
  if (by_signal)
    {
      CU_ASSERT (testbed_wait_logged (&testbed, 0, " stopping "));
      kill (testbed.routers[0].pid, SIGINT);
    }
  expect_not_run (waiting, "e-waits");
  expect_may_have_run (held[0], "e-once");
  expect_may_have_run (held[1], "e-safe");
  expect_truncated (streams[0], "e-stream");
  expect_truncated (streams[1], "e-old");
  testbed_read (partly, &answer);
  CU_ASSERT (answer.status == 503 && answer.complete && answer_has ("Retry-After:"));
  close (partly);
  close (idle);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, "forward_resent"));
  CU_ASSERT (testbed_logged (&testbed, 0, " stopped "));
  testbed_stop (&testbed);
}

/* Callers that still use a router's address connect just after the signal. A plain request without
 * a deadline may take as long as its route allows, here 6 s, which is the complete grace period;
 * most take less than a tenth of that, so it is served. */
static void
test_early_in_stop (void)
{
  int held;
  int fd;

  start ();
  testbed.grace = "grace_s = 6";
  restart_router ();
  held = hold_request ("q1");
  kill (testbed.routers[0].pid, SIGTERM);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, false));
  fd = testbed_connect (&testbed, 0);
  testbed_send (fd, "GET /any/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\n"
                    "Ashspindle-Attempt-Id: q2\r\n\r\n");
  testbed_read (fd, &answer);
  CU_ASSERT (answer.status == 200 && answer.complete);
  close (fd);
  close (held);
  testbed_stop (&testbed);
}

/* The failure: after a second signal or at the end of the grace period, the router closed its
 * connections without answers, and often crashed (SIGSEGV in 6 of 6 stops with 4 requests in
 * progress). The cause: callers' connections were freed before the requests on them were ended.
 * Closing the connections to endpoints then ended each request as disconnected, so that the router
 * resent it or answered it on the freed connection (a heap-use-after-free). */
static void
test_second_signal (void)
{
  check_stop_with_requests (true);
}

/* A further SIGTERM ended requests that the first one had promised the time to end. */
static void
test_further_sigterm (void)
{
  int stream;
  int held;

  start_with_settings ("grace_s = 3", 100);
  stream = run_request ("/long/x", "HTTP/1.1", "t-stream", "streampause");
  held = run_request ("/once/x", "HTTP/1.1", "t-once", "slower");
  wait_first_event (stream);
  kill (testbed.routers[0].pid, SIGTERM);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " stopping "));
  kill (testbed.routers[0].pid, SIGTERM);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " stop_again "));
  testbed_read (held, &answer);
  CU_ASSERT (answer.status == 200 && answer.complete);
  testbed_read (stream, &answer);
  CU_ASSERT (answer.complete && answer_has ("id: 6\n"));
  close (held);
  close (stream);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " cut_short "));
  testbed_stop (&testbed);
}

static void
test_stop_time_expired (void)
{
  check_stop_with_requests (false);
}

/* An address that neither accepts nor refuses connections, since its listen queue is full. */
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

/* A request whose connection to the endpoint is not established yet has certainly not run. */
static void
test_stop_while_connecting (void)
{
  struct full_address full;
  char value[160];
  int fd;

  start_with_settings ("grace_s = 3", 10000);
  open_full (&full);
  snprintf (value, sizeof value,
            "{\"Service\":\"stock\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"hall-a\",\"Slots\":8,"
            "\"State\":\"ready\"}",
            full.port);
  testbed_fetch (testbed.store_port, "PUT", "/put?servers/i-full", value);
  testbed_list_server (&testbed, 0, "draining");
  testbed_list_server (&testbed, 1, "draining");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "endpoint=i-full"));
  for (int s = 0; s < TESTBED_SERVERS; s++)
    {
      char line[96];

      snprintf (line, sizeof line, "endpoint_leaving box=router-0 module=router endpoint=%s",
                testbed.servers[s].id);
      CU_ASSERT (testbed_wait_logged (&testbed, 0, line));
    }
  fd = begin_request ("/once/x", "HTTP/1.1", "e-up", "ok");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "forward_sent box=router-0 module=router id=e-up "));
  kill (testbed.routers[0].pid, SIGTERM);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " stopping "));
  kill (testbed.routers[0].pid, SIGTERM);
  expect_not_run (fd, "e-up");
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  close_full (&full);
  testbed_stop (&testbed);
}

/* Sends two requests in one write. @return their connection, once a server has the first. */
static int
send_two (const char *first, const char *action, const char *second)
{
  char text[1024];
  int fd = testbed_connect (&testbed, 0);

  snprintf (text, sizeof text,
            "POST /once/x HTTP/1.1\r\n" HEAD "%s\r\nX-Do: *=%s\r\nContent-Length: 0\r\n\r\n"
            "POST /once/x HTTP/1.1\r\n" HEAD "%s\r\nX-Do: *=%s\r\nContent-Length: 0\r\n\r\n",
            first, action, second, action);
  testbed_send (fd, text);
  wait_arrived (first);
  return fd;
}

/* The failure: of two pipelined requests the first one's answer had "Connection: close", and the
 * second one, completely read by then, got no answer, so that its caller could not tell whether it
 * had run. */
static void
test_stop_pipelined (void)
{
  int fd;

  start ();
  fd = send_two ("q-first", "slow", "q-second");
  kill (testbed.routers[0].pid, SIGTERM);
  read_to_end (fd);
  CU_ASSERT_EQUAL (count_of (answer.text, "HTTP/1.1 200 OK\r\n"), 2);
  CU_ASSERT_EQUAL (count_of (answer.text, "Connection: close\r\n"), 1);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "q-second"), 1);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  testbed_stop (&testbed);
  /* At the end of the stop the first request may have run, the second one has not. */
  start ();
  fd = send_two ("q-third", "mute", "q-fourth");
  kill (testbed.routers[0].pid, SIGTERM);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " stopping "));
  kill (testbed.routers[0].pid, SIGINT);
  read_to_end (fd);
  CU_ASSERT_EQUAL (count_of (answer.text, "HTTP/1.1 502 "), 1);
  CU_ASSERT_EQUAL (count_of (answer.text, "HTTP/1.1 503 "), 1);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "q-fourth"), 0);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  testbed_stop (&testbed);
}

/* Checks that a request is answered, and with 503 only if it did not run. Whether the router read
 * it before or after the signal depends on the order of events in its loop. */
static void
expect_truthful_answer (int fd, const char *id)
{
  testbed_read (fd, &answer);
  close (fd);
  CU_ASSERT (answer.complete);
  CU_ASSERT (answer.status == 200 || answer.status == 502 || answer.status == 503);
  if (answer.status == 503)
    CU_ASSERT_EQUAL (testbed_count_runs (&testbed, id), 0);
}

/* Makes a call on a connection and leaves it open and idle. @return the connection. */
static int
connect_kept (void)
{
  int fd = testbed_connect (&testbed, 0);

  testbed_send (fd, "GET /safe/x HTTP/1.1\r\n" HEAD "c-before\r\n\r\n");
  testbed_read (fd, &answer);
  CU_ASSERT (answer.status == 200 && !answer_has ("Connection: close"));
  return fd;
}

/* The failure: callers saw a connection reset if their request had arrived, unread, when the router
 * began to stop: on an idle connection that was closed, or on a new one that was closed on accept.
 * The router's process is stopped while the requests are sent, so that it sees requests and signal
 * in one iteration of its loop. */
static void
test_stop_unread_requests (void)
{
  int kept;
  int idle;
  int fresh;

  start ();
  kept = connect_kept ();
  idle = connect_kept ();
  kill (testbed.routers[0].pid, SIGSTOP);
  testbed_send (kept, "GET /once/x HTTP/1.1\r\n" HEAD "c-kept\r\n\r\n");
  fresh = begin_request ("/once/x", "HTTP/1.1", "c-fresh", "ok");
  fleet_sleep_ms (250);
  kill (testbed.routers[0].pid, SIGTERM);
  kill (testbed.routers[0].pid, SIGCONT);
  testbed_read (kept, &answer);
  CU_ASSERT (answer.status == 200 && answer.complete && answer_has ("Connection: close"));
  testbed_read (fresh, &answer);
  CU_ASSERT (answer.status == 200 && answer.complete && answer_has ("Connection: close"));
  close (kept);
  close (fresh);
  /* An idle connection without a request is closed. */
  testbed_read (idle, &answer);
  CU_ASSERT_EQUAL (answer.status, 0);
  close (idle);
  /* A new connection is kept for its request, over several iterations of the loop. */
  fresh = testbed_connect (&testbed, 0);
  fleet_sleep_ms (250);
  testbed_send (fresh, "GET /once/x HTTP/1.1\r\n" HEAD "c-new\r\n\r\n");
  testbed_read (fresh, &answer);
  CU_ASSERT (answer.status == 200 && answer.complete && answer_has ("Connection: close"));
  close (fresh);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  testbed_stop (&testbed);
  /* Requests are still unread when two signals arrive, the second of which ends the stop: the
   * answers must state correctly whether the requests ran. */
  start ();
  kept = connect_kept ();
  kill (testbed.routers[0].pid, SIGSTOP);
  testbed_send (kept, "GET /once/x HTTP/1.1\r\n" HEAD "c-late\r\n\r\n");
  fresh = begin_request ("/once/x", "HTTP/1.1", "c-last", "ok");
  kill (testbed.routers[0].pid, SIGTERM);
  kill (testbed.routers[0].pid, SIGINT);
  kill (testbed.routers[0].pid, SIGCONT);
  expect_truthful_answer (kept, "c-late");
  expect_truthful_answer (fresh, "c-last");
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  testbed_stop (&testbed);
}

/* Signals at unusual moments must not leave a caller without an answer or crash the process. */
static void
test_stop_signals (void)
{
  int fd;

  /* While there is no configuration. */
  testbed_start (&testbed);
  fd = begin_request ("/safe/x", "HTTP/1.1", "n-1", "ok");
  testbed_read (fd, &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  close (fd);
  kill (testbed.routers[0].pid, SIGTERM);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " stopping "));
  testbed_call (&testbed, "n-2", "/safe/x", NULL, "", &answer);
  CU_ASSERT (answer.status == 503 && answer.complete);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  /* Two signals directly after the start. */
  testbed_start_router (&testbed, 0);
  kill (testbed.routers[0].pid, SIGTERM);
  kill (testbed.routers[0].pid, SIGINT);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  /* Settings are reloaded during the stop. */
  testbed_publish (&testbed);
  testbed_start_router (&testbed, 0);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, true));
  fd = run_request ("/once/x", "HTTP/1.1", "n-3", "slow");
  kill (testbed.routers[0].pid, SIGTERM);
  kill (testbed.routers[0].pid, SIGHUP);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " reloaded "));
  testbed_read (fd, &answer);
  CU_ASSERT (answer.status == 200 && answer.complete);
  close (fd);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, false));
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  testbed_stop (&testbed);
}

/* The failure: a SIGTERM sent as soon as the router could be connected to killed it, in 193 of 200
 * starts, because it listened before it handled signals. Callers that had connected saw a reset. */
static void
test_stop_at_start (void)
{
  testbed_start (&testbed);
  for (int i = 0; i < 20; i++)
    {
      kill (testbed.routers[0].pid, SIGTERM);
      kill (testbed.routers[0].pid, SIGINT);
      CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
      testbed_start_router (&testbed, 0);
    }
  testbed_stop (&testbed);
}

/* ---- requests from the signal to the process's end ---- */

#define STOP_CALLERS 8
#define STOP_CALLS_MAX 400

/* A caller that sends one request after the other, each on a new connection, until none is accepted
 * any more. */
struct stop_caller
{
  pthread_t thread;
  int number;
  const char *path;
  const char *action;
  int count;
  int refused;
  int cut[STOP_CALLS_MAX]; /* numbers of the requests whose answers are not complete */
  int cut_count;
};

static void *
call_until_closed (void *data)
{
  struct stop_caller *caller = data;
  struct testbed_answer *own = calloc (1, sizeof *own);
  char text[512];
  int fd;

  while (own && caller->count < STOP_CALLS_MAX && (fd = testbed_connect (&testbed, 0)) >= 0)
    {
      snprintf (text, sizeof text,
                "POST %s HTTP/1.1\r\n" HEAD "u%d-%d\r\nX-Do: *=%s\r\nContent-Length: 0\r\n\r\n",
                caller->path, caller->number, caller->count, caller->action);
      testbed_send (fd, text);
      testbed_read (fd, own);
      close (fd);
      if (!own->complete)
        caller->cut[caller->cut_count++] = caller->count;
      else if (own->status == 503)
        caller->refused++;
      else
        CU_ASSERT (own->status == 200 || own->status == 504);
      caller->count++;
      fleet_sleep_ms (10);
    }
  free (own);
  return NULL;
}

/* Callers go on from before the signal until the router is gone: each request that has run gets a
 * complete answer, those that come too late are refused, and none of these runs. */
static void
test_stop_under_load (void)
{
  static const char *const paths[] = { "/once/x", "/safe/x", "/stream/x", "/once/x" };
  static const char *const actions[] = { "slower", "slow", "stream", "mute" };
  struct stop_caller callers[STOP_CALLERS] = { 0 };
  int refused = 0;

  start ();
  for (int i = 0; i < STOP_CALLERS; i++)
    {
      callers[i].number = i;
      callers[i].path = paths[i % 4];
      callers[i].action = actions[i % 4];
      pthread_create (&callers[i].thread, NULL, call_until_closed, &callers[i]);
    }
  fleet_sleep_ms (300);
  kill (testbed.routers[0].pid, SIGTERM);
  for (int i = 0; i < STOP_CALLERS; i++)
    pthread_join (callers[i].thread, NULL);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  for (int i = 0; i < STOP_CALLERS; i++)
    {
      refused += callers[i].refused;
      for (int k = 0; k < callers[i].cut_count; k++)
        {
          char id[24];

          snprintf (id, sizeof id, "u%d-%d", i, callers[i].cut[k]);
          CU_ASSERT_EQUAL (testbed_count_runs (&testbed, id), 0);
        }
    }
  CU_ASSERT (refused > 0);
  testbed_stop (&testbed);
}

const struct fault_test router_stop_tests[] = {
  { "planned stop and start", test_planned_stop },
  { "early in a planned stop", test_early_in_stop },
  { "late in a planned stop", test_late_in_stop },
  { "late in a planned stop: plain requests", test_plain_late_in_stop },
  { "late in a planned stop: requests that may not be repeated", test_once_late_in_stop },
  { "planned stop under load", test_stop_under_load },
  { "stop cut short by a second signal", test_second_signal },
  { "stop: a further SIGTERM changes nothing", test_further_sigterm },
  { "stop whose time is over", test_stop_time_expired },
  { "stop while a connection comes up", test_stop_while_connecting },
  { "stop with requests sent ahead", test_stop_pipelined },
  { "stop crossed by requests", test_stop_unread_requests },
  { "stop: signals at odd moments", test_stop_signals },
  { "stop as soon as it has started", test_stop_at_start },
  { NULL, NULL },
};
