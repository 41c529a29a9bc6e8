/**
 * @file
 * Planned stops of the router: whoever is still with it gets a true answer, also
 * where the stop is cut short.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
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
  /* A caller that still answer_has the address is served too. */
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

/* Writes a request. @return its connection. */
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

/* A request on a connection that is left open. @return its socket, once it runs. */
static int
hold_request (const char *id)
{
  int fd = begin_request ("/once/x", "HTTP/1.1", id, "mute");

  wait_arrived (id);
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
  kill (testbed.routers[0].pid, SIGTERM);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, false));
  fleet_sleep_ms (500);
  held[1] = hold_request ("p2");
  /* A request may last 1.5 s here, of the 3 s that the stop may take: first they are taken. */
  do
    {
      snprintf (id, sizeof id, "l%d", served);
      testbed_call (&testbed, id, path, action, "", &answer);
      served += answer.status == 200 && answer.complete;
      fleet_sleep_ms (20);
    }
  while (answer.status == 200 && answer.complete);
  CU_ASSERT (served > 0);
  /* With less time left they go elsewhere, and have not run. */
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (answer_has ("Retry-After:"));
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, id), 0);
  CU_ASSERT (testbed_logged (&testbed, 0, "reason=leaving"));
  /* What was taken in time gets its final answer. */
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

/* The first router answer_has other settings. */
static void
start_with_settings (const char *grace, uint32_t wait_ms)
{
  start ();
  testbed.grace = grace;
  testbed.wait_ms = wait_ms;
  restart_router ();
}

/* Writes a request. @return its connection, once a server answer_has the request. */
static int
run_request (const char *path, const char *version, const char *id, const char *action)
{
  int fd = begin_request (path, version, id, action);

  wait_arrived (id);
  CU_ASSERT (testbed_count_runs (&testbed, id) > 0);
  return fd;
}

/* Waits until a stream's first event answer_has come to the caller, and leaves it to be read. */
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

/* Begun: what came stays, and that it ended too soon shows. */
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

/* The requests that are under way when a stop comes to its end, each of another kind. */
static void
check_stop_with_requests (bool by_signal)
{
  int held[2];
  int streams[2];
  int waiting;
  int partly;
  int idle;

  /* The model's service answer_has no endpoints: what asks for it waits. */
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
      kill (testbed.routers[0].pid, SIGTERM);
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

/* Callers that keep an address come just after the signal. A plain request that states no deadline
 * may take as long as its route allows, 6 s here, as long as the complete stop; it seldom takes a
 * tenth of that, so it is served. */
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

/* What users saw: a router that got a second SIGTERM, or whose time to stop was over, closed what
 * it held without a word, and often crashed (SIGSEGV in 6 of 6 stops with 4 requests held). Events:
 * the callers' connections were freed first; then those to endpoints were closed, which ended each
 * request as cut: it was sent to another endpoint, or answered on the freed connection. Evidence:
 * lines of forward_resent after that of stopped; a heap-use-after-free in the exchange's answer,
 * below the end of its call. Cause: no request was ended before what it stands on. */
static void
test_second_signal (void)
{
  check_stop_with_requests (true);
}

static void
test_stop_time_expired (void)
{
  check_stop_with_requests (false);
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

/* A request whose connection is not up yet answer_has surely not run, though an endpoint was
 * chosen. */
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

/* Two requests in one write. @return their connection, once a server answer_has the first. */
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

/* Two requests were written at once. The first one's answer said that the connection closes, and
 * the second, read complete by then, got none: a caller that sent it ahead can't tell whether it
 * ran.
 */
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
  /* At the stop's end: the first may have run, the second answer_has not. */
  start ();
  fd = send_two ("q-third", "mute", "q-fourth");
  kill (testbed.routers[0].pid, SIGTERM);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, " stopping "));
  kill (testbed.routers[0].pid, SIGTERM);
  read_to_end (fd);
  CU_ASSERT_EQUAL (count_of (answer.text, "HTTP/1.1 502 "), 1);
  CU_ASSERT_EQUAL (count_of (answer.text, "HTTP/1.1 503 "), 1);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "q-fourth"), 0);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  testbed_stop (&testbed);
}

/* Answered, and with 503 only if it did not run: whether it was read before the
 * signal or after is the loop's choice. */
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

/* A connection that rests after a request. */
static int
connect_kept (void)
{
  int fd = testbed_connect (&testbed, 0);

  testbed_send (fd, "GET /safe/x HTTP/1.1\r\n" HEAD "c-before\r\n\r\n");
  testbed_read (fd, &answer);
  CU_ASSERT (answer.status == 200 && !answer_has ("Connection: close"));
  return fd;
}

/* Requests that have arrived, unread, when the router learns that it is to stop. What callers saw:
 * a reset, on a connection that rested and was closed for being idle with their request unread, and
 * on a new one that was closed just as it was accepted. The router is held while they are written,
 * so that it sees all of it in one turn. */
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
  /* One that rested and that nothing was written on is closed. */
  testbed_read (idle, &answer);
  CU_ASSERT_EQUAL (answer.status, 0);
  close (idle);
  /* One that is new waits for its request, over some turns of the loop. */
  fresh = testbed_connect (&testbed, 0);
  fleet_sleep_ms (250);
  testbed_send (fresh, "GET /once/x HTTP/1.1\r\n" HEAD "c-new\r\n\r\n");
  testbed_read (fresh, &answer);
  CU_ASSERT (answer.status == 200 && answer.complete && answer_has ("Connection: close"));
  close (fresh);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  testbed_stop (&testbed);
  /* The same at the end. */
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

/* Signals at odd moments: none leaves a caller without an answer or ends the process badly. */
static void
test_stop_signals (void)
{
  int fd;

  /* Before there is a configuration. */
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
  /* Twice, before anything else. */
  testbed_start_router (&testbed, 0);
  kill (testbed.routers[0].pid, SIGTERM);
  kill (testbed.routers[0].pid, SIGINT);
  CU_ASSERT_EQUAL (fleet_end_process (&testbed.routers[0].pid, 0), 0);
  /* New settings while it stops. */
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

/* Told to stop as soon as it could be connected to, a router was ended by the signal instead, 193
 * times of 200: its addresses were open before it watched for signals. Callers who were that quick
 * saw a reset. */
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

const struct fault_test router_stop_tests[] = {
  { "planned stop and start", test_planned_stop },
  { "early in a planned stop", test_early_in_stop },
  { "late in a planned stop", test_late_in_stop },
  { "late in a planned stop: plain requests", test_plain_late_in_stop },
  { "stop cut short by a second signal", test_second_signal },
  { "stop whose time is over", test_stop_time_expired },
  { "stop while a connection comes up", test_stop_while_connecting },
  { "stop with requests sent ahead", test_stop_pipelined },
  { "stop crossed by requests", test_stop_unread_requests },
  { "stop: signals at odd moments", test_stop_signals },
  { "stop as soon as it has started", test_stop_at_start },
  { NULL, NULL },
};
