/**
 * @file
 * Callers that don't read their answers: what a router keeps for them is bounded, and neither other
 * callers nor the endpoints suffer from them.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* All connections that the testbed's routers accept but one. */
#define IDLE_CALLERS 9
#define MEMORY_SETTINGS "grace_s = 3\nmemory_mb = 2"
/* A quarter of the memory, and one read from the endpoint for each caller. */
#define ANSWERS_MAX_BYTES (512 * 1024 + IDLE_CALLERS * 16384)
/* Of each body; four of them don't fit an eighth of the memory. */
#define BODY_BYTES 90000
/* Time in which a caller that reads nothing must be cut off. */
#define CUT_OFF_MS 6000

/* Receive buffer of a caller's socket: without a limit, the kernel would take whole answers. */
#define RECEIVE_BYTES (64 * 1024)

/* How long the slow caller reads slowly: longer than a caller may read nothing. */
#define SLOW_MS 2800
#define SLOW_READ_BYTES 8192

/* Body of the answer that pauses, see test/standin_server.c. */
#define PAUSED_BODY_BYTES 400000

static void
start_small (void)
{
  testbed_start (&testbed);
  testbed.grace = MEMORY_SETTINGS;
  fleet_end_process (&testbed.routers[0].pid, SIGKILL);
  testbed_start_router (&testbed, 0);
  testbed_publish (&testbed);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
}

static long
metric (const char *name)
{
  const char *text = testbed_fetch (testbed.routers[0].metrics_port, "GET", "/metrics", "");
  const char *found = strstr (text, name);

  return found ? strtol (found + strlen (name), NULL, 10) : -1;
}

/* Sends a request for an answer that is much larger than all buffers on the way. */
static int
begin_caller (int number, const char *path, const char *action)
{
  char text[512];
  int fd = testbed_connect (&testbed, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &(int){ RECEIVE_BYTES }, sizeof (int));
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\n" HEAD "idle-%d\r\nX-Do: *=%s\r\nContent-Length: 5\r\n\r\nhello",
            path, number, action);
  testbed_send (fd, text);
  return fd;
}

static void
check_idle_callers (const char *path, const char *action)
{
  int64_t began_ms = fleet_now_ms ();
  int fds[IDLE_CALLERS];
  int cut_off = 0;

  start_small ();
  for (int i = 0; i < IDLE_CALLERS; i++)
    fds[i] = begin_caller (i, path, action);
  while (cut_off < IDLE_CALLERS && fleet_now_ms () < began_ms + CUT_OFF_MS)
    {
      CU_ASSERT (metric ("\nash_answer_bytes{} ") <= ANSWERS_MAX_BYTES);
      testbed_call (&testbed, "other", "/once/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
      cut_off = testbed_count_logged (&testbed, 0, " forward_unread ");
      fleet_sleep_ms (50);
    }
  CU_ASSERT_EQUAL (cut_off, IDLE_CALLERS);
  /* The endpoints did nothing wrong, and got each request once. */
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " endpoint_passed "));
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " forward_resent "));
  for (int i = 0; i < IDLE_CALLERS; i++)
    {
      close (fds[i]);
      fds[i] = -1;
    }
  CU_ASSERT_EQUAL (metric ("\nash_answer_bytes{} "), 0);
  testbed_stop (&testbed);
}

static void
test_idle_callers (void)
{
  check_idle_callers ("/any/x", "big");
  check_idle_callers ("/long/x", "streambig");
}

/* A caller that reads slowly, but all the time, gets its whole answer. */
static void
test_slow_caller (void)
{
  static char bytes[65536];
  int64_t began_ms = fleet_now_ms ();
  size_t total = 0;
  ssize_t got;
  int fd;

  start_small ();
  fd = begin_caller (0, "/long/x", "streambig");
  do
    {
      bool is_slow = fleet_now_ms () < began_ms + SLOW_MS;

      got = recv (fd, bytes, is_slow ? SLOW_READ_BYTES : sizeof bytes, 0);
      total += got > 0 ? (size_t) got : 0;
      if (is_slow)
        fleet_sleep_ms (10);
    }
  while (got > 0 && memcmp (bytes + got - 5, "0\r\n\r\n", 5) != 0);
  CU_ASSERT (total > 8000000);
  close (fd);
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " forward_unread "));
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " forward_resent "));
  testbed_stop (&testbed);
}

/* ---- callers that read at the pace of a slow link ---- */

/* A segment and a window that are small keep the kernel's buffers small, so that a part of the
 * answer stays with the router. */
#define LINK_SEGMENT_BYTES 1400
#define LINK_WINDOW_BYTES 4096
#define LINK_READ_BYTES 600
#define LINK_READ_MS 20
#define LARGE_BYTES 120000

struct link_caller
{
  pthread_t thread;
  const char *action;
  size_t body_bytes;
  bool is_whole;
};

static int
connect_link (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (testbed.routers[0].frontend_port);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &(int){ LINK_SEGMENT_BYTES }, sizeof (int));
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &(int){ LINK_WINDOW_BYTES }, sizeof (int));
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  return fd;
}

static void *
read_slowly (void *data)
{
  struct link_caller *caller = data;
  static const char request[] = "POST /longonce/x HTTP/1.1\r\n" HEAD "link\r\nX-Do: *=%s\r\n"
                                "Content-Length: 0\r\n\r\n";
  char text[512];
  char *body = NULL;
  size_t total = 0;
  ssize_t got;
  int fd = connect_link ();

  snprintf (text, sizeof text, request, caller->action);
  testbed_send (fd, text);
  do
    {
      got = recv (fd, text, body ? LINK_READ_BYTES - 100 : sizeof text - 1, 0);
      if (got > 0 && !body)
        {
          text[got] = '\0';
          body = strstr (text, "\r\n\r\n");
          total = body ? (size_t) got - (size_t) (body + 4 - text) : 0;
        }
      else if (got > 0)
        total += (size_t) got;
      fleet_sleep_ms (LINK_READ_MS);
    }
  while (got > 0 && total < caller->body_bytes);
  close (fd);
  caller->is_whole = total == caller->body_bytes;
  return NULL;
}

/* Begins callers, one that is answered at once and one later. */
static void
begin_link_callers (struct link_caller callers[2])
{
  for (int i = 0; i < 2; i++)
    {
      callers[i] =
          (struct link_caller){ .action = i ? "slowlarge" : "large", .body_bytes = LARGE_BYTES };
      pthread_create (&callers[i].thread, NULL, read_slowly, &callers[i]);
    }
}

static void
end_link_callers (struct link_caller callers[2])
{
  for (int i = 0; i < 2; i++)
    {
      pthread_join (callers[i].thread, NULL);
      CU_ASSERT (callers[i].is_whole);
    }
}

/* Guards against a planned stop that cuts answers which callers are reading: one that was complete
 * before the stop, on a connection that stays open, and one that came during it. */
static void
test_stop_while_reading (void)
{
  struct link_caller callers[2];
  int status;

  start ();
  testbed.grace = "grace_s = 12";
  restart_router ();
  begin_link_callers (callers);
  fleet_sleep_ms (300);
  kill (testbed.routers[0].pid, SIGTERM);
  end_link_callers (callers);
  /* The router ends once the answers have been read, before its time is over. */
  status = fleet_end_process (&testbed.routers[0].pid, 0);
  CU_ASSERT_EQUAL (status, 0);
  CU_ASSERT_FALSE (testbed_logged (&testbed, 0, " cut_short "));
  testbed_stop (&testbed);
}

/* Guards against an idle time-out that cuts an answer which its caller is reading. */
static void
test_idle_timeout_while_reading (void)
{
  struct link_caller callers[2];

  start ();
  testbed_publish_text (
      &testbed,
      "{\"Version\":90,\"Routes\":[{\"Name\":\"r\",\"Host\":\"shop.example\",\"PathPrefix\":"
      "\"/longonce/\",\"RouteKind\":\"unsafe\",\"TimeoutMs\":6000,\"Service\":\"stock\"}],"
      "\"Services\":[{\"Name\":\"stock\",\"MaxConns\":100}],\"Limits\":{\"IdleTimeoutMs\":200},"
      "\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\"key-1\"]}]}");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "version=90"));
  begin_link_callers (callers);
  end_link_callers (callers);
  testbed_stop (&testbed);
}

/* Bodies that are not sent completely fill the memory for bodies: the callers whose bodies don't
 * fit are refused for now, which is not the same as a body that is too large. Which callers these
 * are depends on the order in which the router reads from them; the others time out. */
static void
test_bodies (void)
{
  static char body[BODY_BYTES + 1];
  int fds[IDLE_CALLERS];
  int refused = 0;

  start_small ();
  memset (body, 'x', BODY_BYTES);
  for (int i = 0; i < IDLE_CALLERS; i++)
    {
      fds[i] = testbed_connect (&testbed, 0);
      testbed_send (fds[i],
                    "POST /once/x HTTP/1.1\r\n" HEAD "body\r\nContent-Length: 99999\r\n\r\n");
      testbed_send (fds[i], body);
    }
  for (int i = 0; i < IDLE_CALLERS; i++)
    {
      testbed_read (fds[i], &answer);
      close (fds[i]);
      refused += answer.status == 503;
      CU_ASSERT (answer.status == 408 || (answer.status == 503 && answer_has ("Retry-After: 1")));
    }
  CU_ASSERT (refused > 0);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "body"), 0);
  testbed_stop (&testbed);
}

/* Reads until the connection is closed. @return the number of bytes that are of the body 'x'. */
static size_t
read_body (int fd)
{
  char bytes[16384];
  size_t body = 0;
  ssize_t got;

  while ((got = recv (fd, bytes, sizeof bytes, 0)) > 0)
    for (ssize_t i = 0; i < got; i++)
      body += bytes[i] == 'x';
  return body;
}

/* A large answer that may be repeated paused longer than an endpoint may be silent: it was cut, as
 * another endpoint can't go on with it. */
static void
test_large_answer_pauses (void)
{
  int fd;

  start ();
  fd = testbed_connect (&testbed, 0);
  testbed_send (fd, "POST /any/x HTTP/1.1\r\n" HEAD "pause-1\r\nX-Do: *=pauselarge\r\n"
                    "Connection: close\r\nContent-Length: 5\r\n\r\nhello");
  CU_ASSERT (read_body (fd) >= PAUSED_BODY_BYTES);
  close (fd);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "pause-1"), 1);
  testbed_stop (&testbed);
}

const struct fault_test router_slow_reader_tests[] = {
  { "callers that read nothing", test_idle_callers },
  { "a caller that reads slowly", test_slow_caller },
  { "a planned stop while answers are read", test_stop_while_reading },
  { "the idle time-out while answers are read", test_idle_timeout_while_reading },
  { "bodies that fill the memory", test_bodies },
  { "a large answer that pauses", test_large_answer_pauses },
  { NULL, NULL },
};
