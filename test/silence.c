/**
 * @file
 * Open connections become silent for good without being closed, while new ones work: each kind of
 * connection that a router has, in both directions and in one. The links in front of each process
 * acknowledge every byte, as a proxy in user space does, so these tests cover the router's own
 * time-outs; what the kernel detects (keep-alive, unacknowledged bytes) comes in addition.
 */
#include "test/fault_tests.h"
#include "test/router_testbed.h"

#include <CUnit/CUnit.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HEAD                                                                                       \
  "Host: shop.example\r\nAuthorization: Bearer key-1\r\nAshspindle-Deadline-Ms: 4000\r\n"          \
  "Ashspindle-Attempt-Id: "

/* Idle connections to each endpoint, requests of a kind, and how many of these run at the same
 * time. */
#define KEPT_CONNECTIONS 4
#define REQUESTS 8
#define CONCURRENT_CALLS 2

static struct testbed testbed;
static struct testbed_answer answer;

static void
start (void)
{
  testbed_start_linked (&testbed);
  testbed_publish (&testbed);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
}

/* Prints figures for docs/OPERATIONS.md; nothing is asserted on them. */
static void
print_elapsed (const char *what, int silence, int64_t began_ms)
{
  printf ("\n    %s, silence %d: %lld ms ", what, silence,
          (long long) (fleet_now_ms () - began_ms));
}

/* ---- connections to endpoints ---- */

struct call
{
  pthread_t thread;
  char id[24];
  const char *path;
  const char *action;
  struct testbed_answer answer;
};

static void *
run_call (void *data)
{
  struct call *call = data;

  testbed_call (&testbed, call->id, call->path, call->action, "", &call->answer);
  return NULL;
}

/* Makes @p count requests at once and waits for their answers. */
static void
call_concurrently (struct call *calls, int count, const char *path, const char *action)
{
  static int number;

  for (int i = 0; i < count; i++)
    {
      snprintf (calls[i].id, sizeof calls[i].id, "call-%d", ++number);
      calls[i].path = path;
      calls[i].action = action;
      pthread_create (&calls[i].thread, NULL, run_call, &calls[i]);
    }
  for (int i = 0; i < count; i++)
    pthread_join (calls[i].thread, NULL);
}

/* Makes the router open connections to each endpoint, which stay idle after that. */
static void
keep_connections (void)
{
  struct call *calls = calloc (KEPT_CONNECTIONS * TESTBED_SERVERS, sizeof *calls);

  CU_ASSERT_PTR_NOT_NULL_FATAL (calls);
  call_concurrently (calls, KEPT_CONNECTIONS * TESTBED_SERVERS, "/safe/x", "*=slow");
  for (int i = 0; i < KEPT_CONNECTIONS * TESTBED_SERVERS; i++)
    CU_ASSERT_EQUAL (calls[i].answer.status, 200);
  free (calls);
}

static void
silence_endpoints (enum testbed_silence silence)
{
  for (int s = 0; s < TESTBED_SERVERS; s++)
    testbed_silence (&testbed, TESTBED_LINK_SERVERS + s, silence);
}

static int
endpoint_connections (void)
{
  int accepted_count = 0;

  for (int s = 0; s < TESTBED_SERVERS; s++)
    accepted_count += testbed_link_accepted (&testbed, TESTBED_LINK_SERVERS + s);
  return accepted_count;
}

/* @return how many requests failed. Checks that each ran once at most, or twice if it may be
 * repeated, and that a failed one got 502 or 504. */
static int
count_failed (const char *path, const char *action, bool repeatable)
{
  struct call *calls = calloc (CONCURRENT_CALLS, sizeof *calls);
  int failed = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (calls);
  for (int n = 0; n < REQUESTS; n += CONCURRENT_CALLS)
    {
      call_concurrently (calls, CONCURRENT_CALLS, path, action);
      for (int i = 0; i < CONCURRENT_CALLS; i++)
        {
          const struct testbed_answer *got = &calls[i].answer;

          failed += got->status != 200 || !got->complete;
          CU_ASSERT (got->status == 200 || got->status == 502 || got->status == 504);
          CU_ASSERT (testbed_count_runs (&testbed, calls[i].id) <= (repeatable ? 2 : 1));
        }
    }
  free (calls);
  return failed;
}

/* The failure: when a box's open connections became silent, a third of its repeatable requests and
 * all others failed for seconds although its endpoints were healthy. A repeatable request was
 * resent after 0.9 s on the next idle connection, which was silent too; any other one waited until
 * its deadline and left no evidence, so that the next request met the next silent connection. Of 8
 * requests of each kind, two at a time, with 4 idle connections to each of 2 endpoints, 4
 * repeatable and 8 other requests and 2 streams got 504. The cause: the router detected the silence
 * of each connection separately, at the cost of one request each. */
static void
check_silent_endpoints (const char *path, const char *action, bool repeatable, int failed_max)
{
  for (int silence = TESTBED_SILENT_BOTH; silence <= TESTBED_SILENT_REQUESTS; silence++)
    {
      int64_t began_ms;
      int failed;

      start ();
      keep_connections ();
      silence_endpoints ((enum testbed_silence) silence);
      began_ms = fleet_now_ms ();
      failed = count_failed (path, action, repeatable);
      print_elapsed (path, silence, began_ms);
      CU_ASSERT (failed <= failed_max);
      if (failed > failed_max)
        printf ("\n%s silence=%d: %d of %d failed\n", path, silence, failed, REQUESTS);
      testbed_stop (&testbed);
    }
}

static void
test_repeatable (void)
{
  check_silent_endpoints ("/safe/x", NULL, true, 0);
}

/* The requests that detect the silence fail; the next ones must use new connections. */
static void
test_once (void)
{
  check_silent_endpoints ("/once/x", NULL, false, CONCURRENT_CALLS);
}

static void
test_streams (void)
{
  check_silent_endpoints ("/long/x", "*=stream", true, 0);
}

/* Long enough for some of a stream's six events, which are 30 ms apart. */
#define STREAM_STARTED_MS 60

/* @return whether an endpoint received the stream's request with the id of an event that was
 * already sent. */
static bool
was_resumed (const char *id)
{
  char first[64];

  snprintf (first, sizeof first, "%s POST", id);
  for (int s = 0; s < TESTBED_SERVERS; s++)
    {
      const char *line = strstr (testbed_fetch (testbed.servers[s].port, "GET", "/log", ""), first);
      const char *last = line ? strstr (line, "last=") : NULL;

      if (last && atoi (last + strlen ("last=")) > 0)
        return true;
    }
  return false;
}

/* Connections become silent in the middle of a stream: it is resumed at the other endpoint, with
 * each event exactly once. */
static void
test_stream_midway (void)
{
  for (int silence = TESTBED_SILENT_BOTH; silence <= TESTBED_SILENT_ANSWERS; silence++)
    {
      int64_t began_ms;
      int fd;

      start ();
      keep_connections ();
      fd = testbed_connect (&testbed, 0);
      testbed_send (fd, "POST /long/x HTTP/1.1\r\n" HEAD
                        "mid-1\r\nX-Do: *=stream\r\nContent-Length: 0\r\n\r\n");
      for (int i = 0; i < 200 && !testbed_count_runs (&testbed, "mid-1"); i++)
        fleet_sleep_ms (5);
      fleet_sleep_ms (STREAM_STARTED_MS);
      silence_endpoints ((enum testbed_silence) silence);
      began_ms = fleet_now_ms ();
      testbed_read (fd, &answer);
      close (fd);
      print_elapsed ("midway", silence, began_ms);
      CU_ASSERT (answer.status == 200 && answer.complete);
      testbed_expect_events (&answer, 1, 6);
      CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "mid-1"), 2);
      CU_ASSERT (was_resumed ("mid-1"));
      testbed_stop (&testbed);
    }
}

/* The size of a request that does not fit into the link's buffers. */
#define LARGE_BYTES 90000

/* More than half of the time after which an endpoint counts as silent (900 ms). */
#define SUSPECTED_MS 600

/* Unacknowledged bytes on one connection make the router close its idle connections to all
 * endpoints: the next requests use new ones, although no request has failed yet. */
static void
test_unacknowledged (void)
{
  static char text[LARGE_BYTES + 512];
  size_t length;
  int fd;

  start ();
  keep_connections ();
  silence_endpoints (TESTBED_SILENT_REQUESTS);
  fd = testbed_connect (&testbed, 0);
  length = (size_t) snprintf (
      text, sizeof text, "POST /once/x HTTP/1.1\r\n" HEAD "large-1\r\nContent-Length: %d\r\n\r\n",
      LARGE_BYTES);
  memset (text + length, 'x', LARGE_BYTES);
  testbed_send (fd, text);
  fleet_sleep_ms (SUSPECTED_MS);
  CU_ASSERT_EQUAL (count_failed ("/once/x", NULL, false), 0);
  /* The router can't know whether the large request has run. */
  testbed_read (fd, &answer);
  close (fd);
  CU_ASSERT (answer.status == 502 || answer.status == 504);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "large-1"), 0);
  testbed_stop (&testbed);
}

/* Values in /proc/net/tcp: the timer of an idle connection with keep-alive, and the state of an
 * open connection. */
#define KEEP_ALIVE_TIMER 2
#define ESTABLISHED 1

/* @return how many connections to or from a port have a keep-alive timer running, or -1 if an idle
 * one has none. */
static int
count_probed (uint16_t port, bool accepted)
{
  char line[256];
  int probed = 0;
  FILE *file = fopen ("/proc/net/tcp", "r");

  while (file && fgets (line, sizeof line, file))
    {
      unsigned local;
      unsigned remote;
      unsigned state;
      unsigned timer;

      if (sscanf (line, " %*d: %*x:%x %*x:%x %x %*x:%*x %x:", &local, &remote, &state, &timer) !=
              4 ||
          state != ESTABLISHED || (accepted ? local : remote) != port)
        continue;
      if (timer != KEEP_ALIVE_TIMER)
        {
          probed = -1;
          break;
        }
      probed++;
    }
  if (file)
    fclose (file);
  return probed;
}

/* Idle connections have the kernel's keep-alive probes enabled. */
static void
test_probes (void)
{
  int fd;

  start ();
  keep_connections ();
  fd = testbed_connect (&testbed, 0);
  fleet_sleep_ms (100);
  for (int s = 0; s < TESTBED_SERVERS; s++)
    CU_ASSERT (count_probed (testbed.links[TESTBED_LINK_SERVERS + s].port, false) > 0);
  CU_ASSERT (count_probed (testbed.links[TESTBED_LINK_STORE].port, false) > 0);
  CU_ASSERT (count_probed (testbed.routers[0].frontend_port, true) > 0);
  close (fd);
  testbed_stop (&testbed);
}

/* Slow endpoints don't count as silent: no request fails, and no connection is replaced. */
static void
test_slow_endpoints (void)
{
  int accepted_count;

  start ();
  keep_connections ();
  accepted_count = endpoint_connections ();
  CU_ASSERT_EQUAL (count_failed ("/once/x", "*=slower", false), 0);
  CU_ASSERT_EQUAL (count_failed ("/safe/x", "*=slower", false), 0);
  CU_ASSERT_EQUAL (endpoint_connections (), accepted_count);
  testbed_stop (&testbed);
}

/* ---- connections to the store ---- */

/* Longer than the tests wait: the silence must be detected in another way than by this time-out. */
#define LONG_WAIT_MS 25000

static void
test_store (void)
{
  for (int silence = TESTBED_SILENT_BOTH; silence <= TESTBED_SILENT_REQUESTS; silence++)
    {
      char accepted[64];
      int64_t began_ms;

      start ();
      testbed.store_wait_ms = LONG_WAIT_MS;
      testbed.list_wait_ms = LONG_WAIT_MS;
      fleet_end_process (&testbed.routers[0].pid, SIGKILL);
      testbed_start_router (&testbed, 0);
      CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true));
      fleet_sleep_ms (200);
      testbed_silence (&testbed, TESTBED_LINK_STORE, (enum testbed_silence) silence);
      began_ms = fleet_now_ms ();
      testbed_publish (&testbed);
      testbed_list_server (&testbed, 0, "draining");
      snprintf (accepted, sizeof accepted, "version=%u before=", testbed.version);
      CU_ASSERT (testbed_wait_logged (&testbed, 0, accepted));
      CU_ASSERT (testbed_wait_logged (&testbed, 0, "endpoint_leaving"));
      print_elapsed ("store", silence, began_ms);
      testbed_stop (&testbed);
    }
}

/* ---- connections between routers ---- */

static bool
wait_counted (int r, const char *text, int count)
{
  for (int i = 0; i < 400; i++)
    {
      if (testbed_count_logged (&testbed, r, text) >= count)
        return true;
      fleet_sleep_ms (20);
    }
  return false;
}

/* The routers close the silent link between them and open a new one, over which a router gets what
 * it lacks. */
static void
test_peers (void)
{
  for (int silence = TESTBED_SILENT_BOTH; silence <= TESTBED_SILENT_REQUESTS; silence++)
    {
      char accepted[64];
      int64_t began_ms;
      int ups;

      start ();
      testbed_start_router (&testbed, 1);
      CU_ASSERT (testbed_wait_ready (&testbed, 1, true));
      CU_ASSERT (wait_counted (1, "link_up", 1));
      fleet_sleep_ms (300);
      ups = testbed_count_logged (&testbed, 1, "link_up");
      for (int r = 0; r < TESTBED_ROUTERS; r++)
        testbed_silence (&testbed, TESTBED_LINK_PEERS + r, (enum testbed_silence) silence);
      began_ms = fleet_now_ms ();
      CU_ASSERT (wait_counted (1, "link_up", ups + 1));
      print_elapsed ("peers, up again", silence, began_ms);
      CU_ASSERT (testbed_count_logged (&testbed, 0, "why=\"silent\"") +
                     testbed_count_logged (&testbed, 1, "why=\"silent\"") >
                 0);
      /* The first router can't reach the store, so that it gets the configuration from the other
       * one. */
      testbed_fetch (testbed.links[TESTBED_LINK_STORE].control, "POST", "/control?mode=1", "");
      fleet_end_process (&testbed.routers[0].pid, SIGKILL);
      testbed_start_router (&testbed, 0);
      CU_ASSERT (testbed_wait_logged (&testbed, 0, "source=router-1"));
      snprintf (accepted, sizeof accepted, "version=%u before=", testbed.version);
      CU_ASSERT (testbed_wait_logged (&testbed, 0, accepted));
      testbed_stop (&testbed);
    }
}

/* ---- connections from callers ---- */

#define CALLERS 10 /* connections_max in test/router_testbed.c */

/* Connections of callers that became silent (idle, with half a request, or waiting for an answer)
 * use up connections_max only until the usual time-outs: then the next caller is served. */
static void
test_callers (void)
{
  for (int silence = TESTBED_SILENT_BOTH; silence <= TESTBED_SILENT_REQUESTS; silence++)
    {
      int fds[CALLERS];
      int64_t began_ms;
      int fd;

      start ();
      for (int i = 0; i < CALLERS; i++)
        {
          fds[i] = testbed_connect (&testbed, 0);
          if (i < 4)
            {
              testbed_send (fds[i], "GET /safe/x HTTP/1.1\r\n" HEAD "rest-1\r\n\r\n");
              testbed_read (fds[i], &answer);
              CU_ASSERT_EQUAL (answer.status, 200);
            }
          else if (i < 7)
            testbed_send (fds[i], "POST /safe/x HTTP/1.1\r\n" HEAD "half-1\r\n");
          else
            testbed_send (fds[i], "POST /once/x HTTP/1.1\r\n" HEAD
                                  "mute-1\r\nX-Do: *=mute\r\nContent-Length: 0\r\n\r\n");
        }
      fleet_sleep_ms (300);
      testbed_silence (&testbed, TESTBED_LINK_CALLERS, (enum testbed_silence) silence);
      began_ms = fleet_now_ms ();
      fd = testbed_connect (&testbed, 0);
      testbed_send (fd, "GET /safe/x HTTP/1.1\r\n" HEAD "next-1\r\n\r\n");
      testbed_read (fd, &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
      close (fd);
      print_elapsed ("callers, the next is served", silence, began_ms);
      /* The requests of those callers have been aborted, and none ran again. */
      for (int i = 0;
           i < 400 && atoi (testbed_fetch (testbed.servers[0].port, "GET", "/gone", "")) +
                              atoi (testbed_fetch (testbed.servers[1].port, "GET", "/gone", "")) <
                          3;
           i++)
        fleet_sleep_ms (10);
      CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "mute-1"), 3);
      for (int i = 0; i < CALLERS; i++)
        close (fds[i]);
      testbed_stop (&testbed);
    }
}

/* ---- connections to ranks ---- */

struct stream
{
  pthread_t thread;
  volatile bool stop;
  int complete;
};

static void *
keep_streaming (void *data)
{
  struct stream *stream = data;
  struct testbed_answer *own = calloc (1, sizeof *own);

  while (own && !stream->stop)
    {
      int fd = testbed_connect (&testbed, 1);

      if (fd < 0)
        {
          fleet_sleep_ms (50);
          continue;
        }
      testbed_send (fd, "POST /model/x HTTP/1.1\r\n" HEAD "g1\r\nContent-Length: 0\r\n\r\n");
      testbed_read (fd, own);
      stream->complete += own->status == 200 && own->complete;
      close (fd);
    }
  free (own);
  return NULL;
}

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

/* How often connections are silenced during a map change, which takes 2 to 3 s. */
#define SILENCES 15
#define SILENCE_INTERVAL_MS 170

/* Connections to ranks, for queries and for orders, become silent at any moment of a map change:
 * the group always continues, its ranks never have different maps, and it never stalls for 1.5 s.
 */
static void
test_ranks (void)
{
  struct stream streams[6] = { 0 };
  long changes;

  testbed_start_linked (&testbed);
  testbed_start_group (&testbed);
  testbed_publish (&testbed);
  testbed_start_router (&testbed, 1);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 0, true) &&
                        testbed_wait_ready (&testbed, 1, true));
  for (int i = 0; i < 6; i++)
    pthread_create (&streams[i].thread, NULL, keep_streaming, &streams[i]);
  CU_ASSERT (wait_changes (1));
  for (int n = 0; n < 6; n++)
    {
      char target[32];
      int64_t began_ms;

      changes = testbed_group_state (&testbed, "changes");
      snprintf (target, sizeof target, "/state?shift=%d", 3 * n + 2);
      testbed_fetch (testbed.ranks[0], "GET", target, "");
      began_ms = fleet_now_ms ();
      for (int i = 0; i < SILENCES && testbed_group_state (&testbed, "changes") == changes; i++)
        {
          for (int rank = 0; rank < TESTBED_RANKS; rank++)
            testbed_silence (&testbed, TESTBED_LINK_RANKS + rank,
                             (enum testbed_silence) (1 + n % 3));
          fleet_sleep_ms (SILENCE_INTERVAL_MS);
        }
      CU_ASSERT (wait_changes (changes + 1));
      print_elapsed ("ranks, the next change", 1 + n % 3, began_ms);
    }
  changes = testbed_group_state (&testbed, "changes");
  testbed_fetch (testbed.ranks[0], "GET", "/state?shift=6", "");
  CU_ASSERT (wait_changes (changes + 1));
  for (int i = 0; i < 6; i++)
    streams[i].stop = true;
  for (int i = 0; i < 6; i++)
    {
      pthread_join (streams[i].thread, NULL);
      CU_ASSERT (streams[i].complete > 0);
    }
  CU_ASSERT_EQUAL (testbed_group_state (&testbed, "broken"), 0);
  CU_ASSERT (testbed_group_state (&testbed, "standing_ms") < 1500);
  printf ("\n    longest standstill %ld ms ", testbed_group_state (&testbed, "standing_ms"));
  testbed_stop (&testbed);
}

static const struct fault_test tests[] = {
  { "endpoints: requests that may be repeated", test_repeatable },
  { "endpoints: requests that may not", test_once },
  { "endpoints: streams", test_streams },
  { "endpoints: in the middle of a stream", test_stream_midway },
  { "endpoints: unacknowledged bytes tell of all", test_unacknowledged },
  { "the kernel probes what rests", test_probes },
  { "endpoints: slow ones keep connections and work", test_slow_endpoints },
  { "store", test_store },
  { "peers", test_peers },
  { "callers", test_callers },
  { "ranks", test_ranks },
  { NULL, NULL },
};

int
main (int argc, char **argv)
{
  return run_fault_tests ("silence", tests, argc > 1 ? argv[1] : "");
}
