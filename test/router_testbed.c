#include "test/router_testbed.h"

#include "test/fleet.h"
#include "test/raw.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define FLEET_KEY "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define WAIT_MS 10000
#define PORTS (1 + TESTBED_SERVERS + 5 * TESTBED_ROUTERS + TESTBED_RANKS + 2 * TESTBED_LINKS)

/* ---- sockets ---- */

/* @return the port to connect to for a process that listens on @p port: the link's, if links are
 * used. */
static uint16_t
reachable_port (const struct testbed *testbed, int link, uint16_t port)
{
  return testbed->linked ? testbed->links[link].port : port;
}

int
testbed_connect (struct testbed *testbed, int r)
{
  uint16_t port = testbed->routers[r].frontend_port;

  return raw_connect (r == 0 ? reachable_port (testbed, TESTBED_LINK_CALLERS, port) : port);
}

void
testbed_send (int fd, const char *text)
{
  raw_send (fd, text, strlen (text));
}

/* Decodes a chunked body. @return whether the last chunk was there. */
static bool
join_chunks (const char *text, size_t length, char *body)
{
  const char *end = text + length;

  *body = '\0';
  while (text < end)
    {
      char *rest;
      size_t size = strtoul (text, &rest, 16);

      if (strncmp (rest, "\r\n", 2) != 0 || rest + 2 + size + 2 > end)
        return false;
      if (!size)
        return true;
      strncat (body, rest + 2, size);
      text = rest + 2 + size + 2;
    }
  return false;
}

/* Extracts the body. @return whether the answer is complete according to its framing. */
static bool
is_complete (struct testbed_answer *answer, size_t length)
{
  char *end = strstr (answer->text, "\r\n\r\n");
  const char *framing;
  size_t body_bytes;

  if (!end)
    return false;
  end += 4;
  body_bytes = length - (size_t) (end - answer->text);
  framing = strcasestr (answer->text, "\r\nContent-Length:");
  if (framing && framing < end)
    {
      size_t wanted = strtoul (framing + strlen ("\r\nContent-Length:"), NULL, 10);

      snprintf (answer->body, sizeof answer->body, "%.*s",
                (int) (body_bytes < wanted ? body_bytes : wanted), end);
      return body_bytes >= wanted;
    }
  framing = strcasestr (answer->text, "\r\nTransfer-Encoding: chunked");
  if (framing && framing < end)
    return join_chunks (end, body_bytes, answer->body);
  return false;
}

void
testbed_read (int fd, struct testbed_answer *answer)
{
  size_t length = 0;

  memset (answer, 0, sizeof *answer);
  while (length + 1 < sizeof answer->text)
    {
      ssize_t got = recv (fd, answer->text + length, sizeof answer->text - 1 - length, 0);

      if (got <= 0)
        break;
      length += (size_t) got;
      answer->complete = is_complete (answer, length);
      if (answer->complete)
        break;
    }
  if (sscanf (answer->text, "HTTP/1.1 %d", &answer->status) != 1)
    answer->status = 0;
}

const char *
testbed_fetch (uint16_t port, const char *method, const char *target, const char *body)
{
  static struct testbed_answer answer;
  int fd = raw_connect (port);
  char head[512];

  answer.body[0] = '\0';
  if (fd < 0)
    return "";
  snprintf (head, sizeof head, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n", method,
            target, strlen (body));
  testbed_send (fd, head);
  testbed_send (fd, body);
  testbed_read (fd, &answer);
  close (fd);
  return answer.body;
}

void
testbed_call (struct testbed *testbed,
              const char *id,
              const char *path,
              const char *action,
              const char *more,
              struct testbed_answer *answer)
{
  testbed_call_at (testbed, 0, id, path, action, more, answer);
}

void
testbed_call_at (struct testbed *testbed,
                 int r,
                 const char *id,
                 const char *path,
                 const char *action,
                 const char *more,
                 struct testbed_answer *answer)
{
  char text[2048];
  int fd = testbed_connect (testbed, r);

  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: shop.example\r\nAshspindle-Attempt-Id: %s\r\n"
            "Ashspindle-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\n"
            "X-Do: %s\r\n%sContent-Length: 5\r\n\r\nhello",
            path, id, action ? action : "", more);
  testbed_send (fd, text);
  testbed_read (fd, answer);
  close (fd);
}

void
testbed_expect_events (const struct testbed_answer *answer, int first, int last)
{
  for (int id = first; id <= last; id++)
    {
      char text[16];
      const char *found;

      snprintf (text, sizeof text, "id: %d\n", id);
      found = strstr (answer->body, text);
      CU_ASSERT_PTR_NOT_NULL (found);
      if (found)
        CU_ASSERT_PTR_NULL (strstr (found + 1, text));
    }
}

/* ---- processes ---- */

void
testbed_publish_text (struct testbed *testbed, const char *text)
{
  testbed_fetch (testbed->store_port, "PUT", "/put?op/config", text);
}

void
testbed_publish (struct testbed *testbed)
{
  static const struct
  {
    const char *prefix;
    const char *kind;
    int timeout_ms;
    const char *more;
  } routes[] = {
    { "safe", "safe", 1500, "" },
    { "once", "unsafe", 1500, "" },
    { "any", "safe", 6000, "" },
    { "stream", "streaming", 1500, ",\"Resumable\":true" },
    { "long", "streaming", 6000, ",\"Resumable\":true" },
    { "longonce", "unsafe", 6000, "" },
  };
  char text[4096];
  size_t length = 0;

  testbed->version += 3;
  length += (size_t) snprintf (text, sizeof text, "{\"Version\":%u,\"Routes\":[", testbed->version);
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    length += (size_t) snprintf (
        text + length, sizeof text - length,
        "%s{\"Name\":\"r-%s\",\"Host\":\"shop.example\",\"PathPrefix\":\"/%s/\","
        "\"RouteKind\":\"%s\",\"TimeoutMs\":%d,\"SloMs\":300,\"Service\":\"stock\","
        "\"MaxAttempts\":2%s}",
        i ? "," : "", routes[i].prefix, routes[i].prefix, routes[i].kind, routes[i].timeout_ms,
        routes[i].more);
  snprintf (text + length, sizeof text - length,
            ",{\"Name\":\"r-model\",\"Host\":\"shop.example\",\"PathPrefix\":\"/model/\","
            "\"RouteKind\":\"streaming\",\"TimeoutMs\":8000,\"SloMs\":400,\"Service\":\"model\","
            "\"MaxAttempts\":2,\"Resumable\":true,\"GapTargetMs\":120}"
            "],\"Services\":[{\"Name\":\"stock\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,"
            "\"ColdStartS\":1,\"ColdPerS\":5},"
            "{\"Name\":\"model\",\"MaxConns\":100,\"Engine\":{\"Slots\":8,\"Stride\":6,"
            "\"step_ms\":4,\"per_seq_ms\":0.3,\"report_lag_ms\":100,\"Sets\":2,\"Experts\":16,"
            "\"Placements\":6,\"Spare\":2,\"ExpertShare\":0.85,\"ExpertMb\":10,"
            "\"LinkMbps\":10000}}],"
            "\"Limits\":{\"MaxBodyBytes\":100000,\"IdleTimeoutMs\":5000},"
            "\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[%s]}]}",
            testbed->has_key ? "\"key-1\",\"key-2\"" : "\"key-2\"");
  testbed_publish_text (testbed, text);
}

void
testbed_list_server (struct testbed *testbed, int s, const char *state)
{
  const struct testbed_server *server = &testbed->servers[s];
  char target[64];
  char text[256];

  snprintf (target, sizeof target, "/put?servers/%s", server->id);
  snprintf (text, sizeof text,
            "{\"Service\":\"stock\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"hall-a\","
            "\"Slots\":8,\"State\":\"%s\"}",
            reachable_port (testbed, TESTBED_LINK_SERVERS + s, server->port), state);
  testbed_fetch (testbed->store_port, "PUT", target, text);
}

static void
start_server (struct testbed *testbed, int s)
{
  struct testbed_server *server = &testbed->servers[s];
  char port[16];

  snprintf (port, sizeof port, "%u", server->port);
  snprintf (server->id, sizeof server->id, "i-%c%u", 'A' + s, ++server->incarnations);
  server->pid = fleet_spawn (testbed->folder, server->name, "standin-server", port, server->name,
                             server->id, (char *) NULL);
}

/* Whether the server's process still runs, that is, answers. That something accepts connections at
 * its port does not show it: when a process exits, the kernel may close its connections before its
 * listening socket. */
static bool
is_running (const struct testbed_server *server)
{
  return *testbed_fetch (server->port, "GET", "/gone", "") != '\0';
}

int
testbed_restart_servers (struct testbed *testbed)
{
  int count = 0;

  for (int s = 0; s < TESTBED_SERVERS; s++)
    {
      struct testbed_server *server = &testbed->servers[s];
      char target[64];

      if (is_running (server))
        continue;
      waitpid (server->pid, NULL, 0);
      count++;
      snprintf (target, sizeof target, "/remove?servers/%s", server->id);
      testbed_fetch (testbed->store_port, "PUT", target, "");
      start_server (testbed, s);
      fleet_wait_port (server->port);
      testbed_list_server (testbed, s, "ready");
    }
  return count;
}

void
testbed_start_group (struct testbed *testbed)
{
  char text[TESTBED_RANKS][16];

  for (int i = 0; i < TESTBED_RANKS; i++)
    snprintf (text[i], sizeof text[i], "%u", testbed->ranks[i]);
  testbed->group = fleet_spawn (testbed->folder, "group", "standin-ranks", text[0], text[1],
                                text[2], text[3], (char *) NULL);
  for (int i = 0; i < TESTBED_RANKS; i++)
    {
      char target[64];
      char value[256];

      fleet_wait_port (testbed->ranks[i]);
      snprintf (target, sizeof target, "/put?servers/i-rank%d", i);
      snprintf (value, sizeof value,
                "{\"Service\":\"model\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"hall-a\","
                "\"Slots\":8,\"State\":\"ready\"}",
                reachable_port (testbed, TESTBED_LINK_RANKS + i, testbed->ranks[i]));
      testbed_fetch (testbed->store_port, "PUT", target, value);
    }
}

long
testbed_group_state (struct testbed *testbed, const char *name)
{
  const char *state = testbed_fetch (testbed->ranks[0], "GET", "/state", "");
  const char *found = strstr (state, name);

  return found ? strtol (found + strlen (name) + 1, NULL, 10) : -1;
}

static void
clock_path (const struct testbed *testbed, char path[128])
{
  snprintf (path, 128, "%s/clock", testbed->folder);
}

/* Sets environment variables that give the next process a clock that the test controls.
 * AddressSanitizer refuses to run behind another preloaded library unless its check of the link
 * order is turned off. */
static void
set_clock (const struct testbed *testbed)
{
  const char *build = getenv ("ASH_BUILD");
  char folder[256];
  char text[512];

  clock_path (testbed, text);
  setenv ("ASH_TEST_CLOCK", text, 1);
  setenv ("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
  if (getcwd (folder, sizeof folder))
    {
      snprintf (text, sizeof text, "%s/%s/libtest-clock.so", folder, build ? build : "build");
      setenv ("LD_PRELOAD", text, 1);
    }
}

void
testbed_advance_boot_clock (struct testbed *testbed, int64_t ms)
{
  char path[128];
  FILE *file;

  testbed->ahead_ms += ms;
  clock_path (testbed, path);
  file = fopen (path, "w");
  if (!file)
    abort ();
  fprintf (file, "%lld\n", (long long) testbed->ahead_ms);
  fclose (file);
}

void
testbed_start_router (struct testbed *testbed, int r)
{
  struct testbed_router *router = &testbed->routers[r];
  char path[128];
  char name[16];
  FILE *file;

  snprintf (name, sizeof name, "router-%d", r);
  snprintf (path, sizeof path, "%s/%s.toml", testbed->folder, name);
  file = fopen (path, "w");
  if (!file)
    abort ();
  fprintf (file,
           "box = \"%s\"\nhall = \"%s\"\nfrontend_listen = \"127.0.0.1:%u\"\n"
           "readiness_listen = \"127.0.0.1:%u\"\ndirectory_listen = \"127.0.0.1:%u\"\n"
           "peer_listen = \"127.0.0.1:%u\"\nmetrics_listen = \"127.0.0.1:%u\"\n"
           "store_address = \"127.0.0.1:%u\"\nfleet_key = \"" FLEET_KEY "\"\n"
           "seeds = [\"127.0.0.1:%u\", \"127.0.0.1:%u\"]\nlog_level = \"debug\"\n"
           "heartbeat_ms = 100\nlink_silence_ms = 800\ndial_retry_ms = 50\naddress_keep_ms = 200\n"
           "%s\nwait_ms = %u\nstore_wait_ms = %u\nlist_wait_ms = %u\nshort_wait_ms = "
           "%u\nconnections_max = 10\n",
           name, r % 2 && testbed->odd_hall ? testbed->odd_hall : "hall-a", router->frontend_port,
           router->readiness_port, router->directory_port, router->peer_port, router->metrics_port,
           reachable_port (testbed, TESTBED_LINK_STORE, testbed->store_port),
           reachable_port (testbed, TESTBED_LINK_PEERS, testbed->routers[0].peer_port),
           reachable_port (testbed, TESTBED_LINK_PEERS + 1, testbed->routers[1].peer_port),
           testbed->grace, testbed->wait_ms, testbed->store_wait_ms, testbed->list_wait_ms,
           testbed->short_wait_ms);
  fclose (file);
  if (testbed->suspendable)
    set_clock (testbed);
  router->log_start = fleet_log_bytes (testbed->folder, name);
  router->pid = fleet_spawn (testbed->folder, name, "ashspindle-router", path, (char *) NULL);
  unsetenv ("LD_PRELOAD");
  fleet_wait_port (router->readiness_port);
}

bool
testbed_wait_ready (struct testbed *testbed, int r, bool ready)
{
  int64_t until = fleet_now_ms () + WAIT_MS;

  while (fleet_now_ms () < until)
    {
      const char *body = testbed_fetch (testbed->routers[r].readiness_port, "GET", "/readyz", "");

      if ((strcmp (body, "ready\n") == 0) == ready)
        return true;
      fleet_sleep_ms (20);
    }
  return false;
}

/* Starts a link in front of each process and waits until all links accept connections. */
static void
start_links (struct testbed *testbed)
{
  uint16_t targets[TESTBED_LINKS];

  for (int s = 0; s < TESTBED_SERVERS; s++)
    targets[TESTBED_LINK_SERVERS + s] = testbed->servers[s].port;
  for (int i = 0; i < TESTBED_RANKS; i++)
    targets[TESTBED_LINK_RANKS + i] = testbed->ranks[i];
  for (int r = 0; r < TESTBED_ROUTERS; r++)
    targets[TESTBED_LINK_PEERS + r] = testbed->routers[r].peer_port;
  targets[TESTBED_LINK_CALLERS] = testbed->routers[0].frontend_port;
  targets[TESTBED_LINK_STORE] = testbed->store_port;
  for (int i = 0; i < TESTBED_LINKS; i++)
    {
      struct testbed_link *link = &testbed->links[i];
      char name[16];
      char text[3][8];

      snprintf (name, sizeof name, "link-%d", i);
      snprintf (text[0], sizeof text[0], "%u", link->port);
      snprintf (text[1], sizeof text[1], "%u", targets[i]);
      snprintf (text[2], sizeof text[2], "%u", link->control);
      link->pid = fleet_spawn (testbed->folder, name, "standin", "link", text[0], text[1], text[2],
                               (char *) NULL);
    }
  for (int i = 0; i < TESTBED_LINKS; i++)
    fleet_wait_port (testbed->links[i].control);
}

void
testbed_silence (struct testbed *testbed, int link, enum testbed_silence silence)
{
  char target[32];

  snprintf (target, sizeof target, "/control?silence=%d", (int) silence);
  testbed_fetch (testbed->links[link].control, "POST", target, "");
}

int
testbed_link_accepted (struct testbed *testbed, int link)
{
  return atoi (testbed_fetch (testbed->links[link].control, "GET", "/control", ""));
}

static void
start_all (struct testbed *testbed, bool linked, bool suspendable)
{
  uint16_t ports[PORTS];
  uint16_t *port = ports;
  char text[16];

  *testbed = (struct testbed){
    .has_key = true,
    .linked = linked,
    .suspendable = suspendable,
    .store_wait_ms = 1000,
    .list_wait_ms = 600,
    .short_wait_ms = 1500,
    .wait_ms = 80,
    .grace = "grace_s = 3",
  };
  snprintf (testbed->folder, sizeof testbed->folder, "/tmp/ash-world-XXXXXX");
  if (!mkdtemp (testbed->folder))
    abort ();
  fleet_free_ports (ports, PORTS);
  testbed->store_port = *port++;
  snprintf (text, sizeof text, "%u", testbed->store_port);
  testbed->store = fleet_spawn (testbed->folder, "store", "standin-store", text, (char *) NULL);
  for (int s = 0; s < TESTBED_SERVERS; s++)
    {
      struct testbed_server *server = &testbed->servers[s];

      server->port = *port++;
      snprintf (server->name, sizeof server->name, "%c", 'A' + s);
      start_server (testbed, s);
    }
  for (int r = 0; r < TESTBED_ROUTERS; r++)
    {
      testbed->routers[r] = (struct testbed_router){ .frontend_port = port[0],
                                                     .readiness_port = port[1],
                                                     .directory_port = port[2],
                                                     .peer_port = port[3],
                                                     .metrics_port = port[4] };
      port += 5;
    }
  memcpy (testbed->ranks, port, sizeof testbed->ranks);
  port += TESTBED_RANKS;
  for (int i = 0; i < TESTBED_LINKS; i++)
    {
      testbed->links[i].port = *port++;
      testbed->links[i].control = *port++;
    }
  fleet_wait_port (testbed->store_port);
  if (linked)
    start_links (testbed);
  for (int s = 0; s < TESTBED_SERVERS; s++)
    {
      fleet_wait_port (testbed->servers[s].port);
      testbed_list_server (testbed, s, "ready");
    }
  testbed_start_router (testbed, 0);
}

void
testbed_start (struct testbed *testbed)
{
  start_all (testbed, false, false);
}

void
testbed_start_linked (struct testbed *testbed)
{
  start_all (testbed, true, false);
}

void
testbed_start_suspendable (struct testbed *testbed)
{
  start_all (testbed, true, true);
}

void
testbed_stop (struct testbed *testbed)
{
  char command[128];

  for (int r = 0; r < TESTBED_ROUTERS; r++)
    if (testbed->routers[r].pid)
      fleet_end_process (&testbed->routers[r].pid, SIGKILL);
  for (int s = 0; s < TESTBED_SERVERS; s++)
    if (testbed->servers[s].pid)
      fleet_end_process (&testbed->servers[s].pid, SIGKILL);
  for (int i = 0; i < TESTBED_LINKS; i++)
    if (testbed->links[i].pid)
      fleet_end_process (&testbed->links[i].pid, SIGKILL);
  if (testbed->group)
    fleet_end_process (&testbed->group, SIGKILL);
  fleet_end_process (&testbed->store, SIGKILL);
  if (getenv ("FLEET_KEEP"))
    {
      printf ("logs: %s\n", testbed->folder);
      return;
    }
  snprintf (command, sizeof command, "rm -rf %s", testbed->folder);
  if (system (command) != 0) /* NOLINT: the path comes from mkdtemp() */
    fprintf (stderr, "could not remove %s\n", testbed->folder);
}

/* ---- observations ---- */

int
testbed_count_runs (struct testbed *testbed, const char *id)
{
  char wanted[64];
  int runs = 0;

  snprintf (wanted, sizeof wanted, "%s ", id);
  for (int s = 0; s < TESTBED_SERVERS; s++)
    {
      const char *log = testbed_fetch (testbed->servers[s].port, "GET", "/log", "");

      for (const char *at = strstr (log, wanted); at; at = strstr (at + 1, wanted))
        runs += at == log || at[-1] == '\n';
    }
  return runs;
}

int
testbed_count_logged (struct testbed *testbed, int r, const char *text)
{
  char name[16];

  snprintf (name, sizeof name, "router-%d", r);
  return fleet_count_lines (testbed->folder, name, testbed->routers[r].log_start, text);
}

bool
testbed_logged (struct testbed *testbed, int r, const char *text)
{
  return testbed_count_logged (testbed, r, text) > 0;
}

bool
testbed_wait_logged (struct testbed *testbed, int r, const char *text)
{
  int64_t until = fleet_now_ms () + WAIT_MS;

  while (fleet_now_ms () < until)
    {
      if (testbed_logged (testbed, r, text))
        return true;
      fleet_sleep_ms (20);
    }
  return false;
}
