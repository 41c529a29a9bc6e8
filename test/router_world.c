#include "test/router_world.h"

#include "test/fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sched.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#define FLEET_KEY "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define WAIT_MS 10000
#define PORTS (1 + WORLD_SERVERS + 5 * WORLD_ROUTERS + WORLD_RANKS + 2 * WORLD_LINKS)

/* ---- sockets ---- */

static int
connect_to (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct timeval patience = { .tv_sec = 8 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Where something that has this port is reached. */
static uint16_t
reached_at (const struct world *world, int link, uint16_t port)
{
  return world->linked ? world->links[link].port : port;
}

int
world_connect (struct world *world, int r)
{
  uint16_t port = world->routers[r].frontend;

  return connect_to (r == 0 ? reached_at (world, WORLD_LINK_CALLERS, port) : port);
}

void
world_send (int fd, const char *text)
{
  size_t length = strlen (text);

  while (length)
    {
      ssize_t sent = send (fd, text, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      text += sent;
      length -= (size_t) sent;
    }
}

/* Takes chunks apart. @return whether the last one was there. */
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

/* Whether the answer is whole; fills its body. */
static bool
is_whole (struct world_answer *answer, size_t length)
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
world_read (int fd, struct world_answer *answer)
{
  size_t length = 0;

  memset (answer, 0, sizeof *answer);
  while (length + 1 < sizeof answer->text)
    {
      ssize_t got = recv (fd, answer->text + length, sizeof answer->text - 1 - length, 0);

      if (got <= 0)
        break;
      length += (size_t) got;
      answer->whole = is_whole (answer, length);
      if (answer->whole)
        break;
    }
  if (sscanf (answer->text, "HTTP/1.1 %d", &answer->status) != 1)
    answer->status = 0;
}

const char *
world_get (uint16_t port, const char *method, const char *target, const char *body)
{
  static struct world_answer answer;
  int fd = connect_to (port);
  char head[512];

  answer.body[0] = '\0';
  if (fd < 0)
    return "";
  snprintf (head, sizeof head, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n", method,
            target, strlen (body));
  world_send (fd, head);
  world_send (fd, body);
  world_read (fd, &answer);
  close (fd);
  return answer.body;
}

void
world_call (struct world *world,
            const char *id,
            const char *path,
            const char *action,
            const char *more,
            struct world_answer *answer)
{
  world_call_at (world, 0, id, path, action, more, answer);
}

void
world_call_at (struct world *world,
               int r,
               const char *id,
               const char *path,
               const char *action,
               const char *more,
               struct world_answer *answer)
{
  char text[2048];
  int fd = world_connect (world, r);

  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: shop.example\r\nAshspindle-Attempt-Id: %s\r\n"
            "Ashspindle-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\n"
            "X-Do: %s\r\n%sContent-Length: 5\r\n\r\nhello",
            path, id, action ? action : "", more);
  world_send (fd, text);
  world_read (fd, answer);
  close (fd);
}

/* ---- processes ---- */

void
world_publish_text (struct world *world, const char *text)
{
  world_get (world->store_port, "PUT", "/put?op/config", text);
}

void
world_publish (struct world *world)
{
  static const char *const kinds[] = { "safe", "unsafe", "safe", "streaming", "streaming" };
  static const char *const prefixes[] = { "safe", "once", "any", "stream", "long" };
  static const int timeouts_ms[] = { 1500, 1500, 6000, 1500, 6000 };
  char text[4096];
  size_t length = 0;

  world->version += 3;
  length += (size_t) snprintf (text, sizeof text, "{\"Version\":%u,\"Routes\":[", world->version);
  for (int i = 0; i < 5; i++)
    length += (size_t) snprintf (
        text + length, sizeof text - length,
        "%s{\"Name\":\"r-%s\",\"Host\":\"shop.example\",\"PathPrefix\":\"/%s/\","
        "\"RouteKind\":\"%s\",\"TimeoutMs\":%d,\"SloMs\":300,\"Service\":\"stock\","
        "\"MaxAttempts\":2%s}",
        i ? "," : "", prefixes[i], prefixes[i], kinds[i], timeouts_ms[i],
        i >= 3 ? ",\"Resumable\":true" : "");
  snprintf (text + length, sizeof text - length,
            ",{\"Name\":\"r-model\",\"Host\":\"shop.example\",\"PathPrefix\":\"/model/\","
            "\"RouteKind\":\"streaming\",\"TimeoutMs\":8000,\"SloMs\":400,\"Service\":\"model\","
            "\"MaxAttempts\":2,\"Resumable\":true,\"GapTargetMs\":120}"
            "],\"Services\":[{\"Name\":\"stock\",\"HealthPath\":\"/healthz\",\"MaxConns\":100},"
            "{\"Name\":\"model\",\"MaxConns\":100,\"Engine\":{\"Slots\":8,\"Stride\":6,"
            "\"step_ms\":4,\"per_seq_ms\":0.3,\"report_lag_ms\":100,\"Sets\":2,\"Experts\":16,"
            "\"Placements\":6,\"Spare\":2,\"ExpertShare\":0.85,\"ExpertMb\":10,"
            "\"LinkMbps\":10000}}],"
            "\"Limits\":{\"MaxBodyBytes\":100000,\"IdleTimeoutMs\":5000},"
            "\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[%s]}]}",
            world->has_key ? "\"key-1\",\"key-2\"" : "\"key-2\"");
  world_publish_text (world, text);
}

void
world_list (struct world *world, int s, const char *state)
{
  const struct world_server *server = &world->servers[s];
  char target[64];
  char text[256];

  snprintf (target, sizeof target, "/put?servers/%s", server->id);
  snprintf (text, sizeof text,
            "{\"Service\":\"stock\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"hall-a\","
            "\"Slots\":8,\"State\":\"%s\"}",
            reached_at (world, WORLD_LINK_SERVERS + s, server->port), state);
  world_get (world->store_port, "PUT", target, text);
}

static void wait_port (uint16_t port);

static void
start_server (struct world *world, int s)
{
  struct world_server *server = &world->servers[s];
  char port[16];

  snprintf (port, sizeof port, "%u", server->port);
  snprintf (server->id, sizeof server->id, "i-%c%u", 'A' + s, ++server->lives);
  server->pid = fleet_spawn (world->folder, server->name, "standin-server", port, server->name,
                             server->id, (char *) NULL);
}

/* A process that ends closes what it listens on first: whoever has seen a connection to it end sees
 * this too. */
static bool
listens (uint16_t port)
{
  int fd = connect_to (port);

  if (fd >= 0)
    close (fd);
  return fd >= 0;
}

int
world_revive (struct world *world)
{
  int count = 0;

  for (int s = 0; s < WORLD_SERVERS; s++)
    {
      struct world_server *server = &world->servers[s];
      char target[64];

      if (listens (server->port))
        continue;
      waitpid (server->pid, NULL, 0);
      count++;
      snprintf (target, sizeof target, "/remove?servers/%s", server->id);
      world_get (world->store_port, "PUT", target, "");
      start_server (world, s);
      wait_port (server->port);
      world_list (world, s, "ready");
    }
  return count;
}

void
world_start_group (struct world *world)
{
  char text[WORLD_RANKS][16];

  for (int i = 0; i < WORLD_RANKS; i++)
    snprintf (text[i], sizeof text[i], "%u", world->ranks[i]);
  world->group = fleet_spawn (world->folder, "group", "standin-ranks", text[0], text[1], text[2],
                              text[3], (char *) NULL);
  for (int i = 0; i < WORLD_RANKS; i++)
    {
      char target[64];
      char value[256];

      wait_port (world->ranks[i]);
      snprintf (target, sizeof target, "/put?servers/i-rank%d", i);
      snprintf (value, sizeof value,
                "{\"Service\":\"model\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"hall-a\","
                "\"Slots\":8,\"State\":\"ready\"}",
                reached_at (world, WORLD_LINK_RANKS + i, world->ranks[i]));
      world_get (world->store_port, "PUT", target, value);
    }
}

long
world_group (struct world *world, const char *name)
{
  const char *state = world_get (world->ranks[0], "GET", "/state", "");
  const char *found = strstr (state, name);

  return found ? strtol (found + strlen (name) + 1, NULL, 10) : -1;
}

static void
wait_port (uint16_t port)
{
  int64_t until = fleet_now_ms () + WAIT_MS;

  while (fleet_now_ms () < until)
    {
      int fd = connect_to (port);

      if (fd >= 0)
        {
          close (fd);
          return;
        }
      sched_yield ();
    }
}

static void
clock_path (const struct world *world, char path[128])
{
  snprintf (path, 128, "%s/clock", world->folder);
}

/* For the next process: a clock that the test sets. A sanitizer wants to come first unless told. */
static void
set_clock (const struct world *world)
{
  const char *build = getenv ("ASH_BUILD");
  char folder[256];
  char text[512];

  clock_path (world, text);
  setenv ("ASH_TEST_CLOCK", text, 1);
  setenv ("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
  if (getcwd (folder, sizeof folder))
    {
      snprintf (text, sizeof text, "%s/%s/libtest-clock.so", folder, build ? build : "build");
      setenv ("LD_PRELOAD", text, 1);
    }
}

void
world_clock_ahead (struct world *world, int64_t ms)
{
  char path[128];
  FILE *file;

  world->ahead_ms += ms;
  clock_path (world, path);
  file = fopen (path, "w");
  if (!file)
    abort ();
  fprintf (file, "%lld\n", (long long) world->ahead_ms);
  fclose (file);
}

void
world_start_router (struct world *world, int r)
{
  struct world_router *router = &world->routers[r];
  char path[128];
  char name[16];
  FILE *file;

  snprintf (name, sizeof name, "router-%d", r);
  snprintf (path, sizeof path, "%s/%s.toml", world->folder, name);
  file = fopen (path, "w");
  if (!file)
    abort ();
  fprintf (file,
           "box = \"%s\"\nhall = \"hall-a\"\nfrontend_listen = \"127.0.0.1:%u\"\n"
           "readiness_listen = \"127.0.0.1:%u\"\ndirectory_listen = \"127.0.0.1:%u\"\n"
           "peer_listen = \"127.0.0.1:%u\"\nmetrics_listen = \"127.0.0.1:%u\"\n"
           "store_address = \"127.0.0.1:%u\"\nfleet_key = \"" FLEET_KEY "\"\n"
           "seeds = [\"127.0.0.1:%u\", \"127.0.0.1:%u\"]\nlog_level = \"debug\"\n"
           "heartbeat_ms = 100\nlink_silence_ms = 800\ndial_retry_ms = 50\naddress_keep_ms = 200\n"
           "%s\nwait_ms = %u\nstore_wait_ms = %u\nlist_wait_ms = %u\nshort_wait_ms = "
           "%u\nconnections_max = 10\n",
           name, router->frontend, router->readiness, router->directory, router->peers,
           router->figures, reached_at (world, WORLD_LINK_STORE, world->store_port),
           reached_at (world, WORLD_LINK_PEERS, world->routers[0].peers),
           reached_at (world, WORLD_LINK_PEERS + 1, world->routers[1].peers), world->grace,
           world->wait_ms, world->store_wait_ms, world->list_wait_ms, world->short_wait_ms);
  fclose (file);
  if (world->suspendable)
    set_clock (world);
  router->pid = fleet_spawn (world->folder, name, "ashspindle-router", path, (char *) NULL);
  unsetenv ("LD_PRELOAD");
  wait_port (router->readiness);
}

bool
world_wait_ready (struct world *world, int r, bool ready)
{
  int64_t until = fleet_now_ms () + WAIT_MS;

  while (fleet_now_ms () < until)
    {
      const char *body = world_get (world->routers[r].readiness, "GET", "/readyz", "");

      if ((strcmp (body, "ready\n") == 0) == ready)
        return true;
      fleet_sleep_ms (20);
    }
  return false;
}

/* Each link begins to take connections before what stands behind it does. */
static void
start_links (struct world *world)
{
  uint16_t targets[WORLD_LINKS];

  for (int s = 0; s < WORLD_SERVERS; s++)
    targets[WORLD_LINK_SERVERS + s] = world->servers[s].port;
  for (int i = 0; i < WORLD_RANKS; i++)
    targets[WORLD_LINK_RANKS + i] = world->ranks[i];
  for (int r = 0; r < WORLD_ROUTERS; r++)
    targets[WORLD_LINK_PEERS + r] = world->routers[r].peers;
  targets[WORLD_LINK_CALLERS] = world->routers[0].frontend;
  targets[WORLD_LINK_STORE] = world->store_port;
  for (int i = 0; i < WORLD_LINKS; i++)
    {
      struct world_link *link = &world->links[i];
      char name[16];
      char text[3][8];

      snprintf (name, sizeof name, "link-%d", i);
      snprintf (text[0], sizeof text[0], "%u", link->port);
      snprintf (text[1], sizeof text[1], "%u", targets[i]);
      snprintf (text[2], sizeof text[2], "%u", link->control);
      link->pid = fleet_spawn (world->folder, name, "standin", "link", text[0], text[1], text[2],
                               (char *) NULL);
    }
  for (int i = 0; i < WORLD_LINKS; i++)
    wait_port (world->links[i].control);
}

void
world_silence (struct world *world, int link, enum world_silence silence)
{
  char target[32];

  snprintf (target, sizeof target, "/control?silence=%d", (int) silence);
  world_get (world->links[link].control, "POST", target, "");
}

int
world_link_taken (struct world *world, int link)
{
  return atoi (world_get (world->links[link].control, "GET", "/control", ""));
}

static void
start_all (struct world *world, bool linked, bool suspendable)
{
  uint16_t ports[PORTS];
  uint16_t *port = ports;
  char text[16];

  *world = (struct world){
    .has_key = true,
    .linked = linked,
    .suspendable = suspendable,
    .store_wait_ms = 1000,
    .list_wait_ms = 600,
    .short_wait_ms = 1500,
    .wait_ms = 80,
    .grace = "grace_s = 3",
  };
  snprintf (world->folder, sizeof world->folder, "/tmp/ash-world-XXXXXX");
  if (!mkdtemp (world->folder))
    abort ();
  fleet_free_ports (ports, PORTS);
  world->store_port = *port++;
  snprintf (text, sizeof text, "%u", world->store_port);
  world->store = fleet_spawn (world->folder, "store", "standin-store", text, (char *) NULL);
  for (int s = 0; s < WORLD_SERVERS; s++)
    {
      struct world_server *server = &world->servers[s];

      server->port = *port++;
      snprintf (server->name, sizeof server->name, "%c", 'A' + s);
      start_server (world, s);
    }
  for (int r = 0; r < WORLD_ROUTERS; r++)
    {
      world->routers[r] = (struct world_router){ .frontend = port[0],
                                                 .readiness = port[1],
                                                 .directory = port[2],
                                                 .peers = port[3],
                                                 .figures = port[4] };
      port += 5;
    }
  memcpy (world->ranks, port, sizeof world->ranks);
  port += WORLD_RANKS;
  for (int i = 0; i < WORLD_LINKS; i++)
    {
      world->links[i].port = *port++;
      world->links[i].control = *port++;
    }
  wait_port (world->store_port);
  if (linked)
    start_links (world);
  for (int s = 0; s < WORLD_SERVERS; s++)
    {
      wait_port (world->servers[s].port);
      world_list (world, s, "ready");
    }
  world_start_router (world, 0);
}

void
world_start (struct world *world)
{
  start_all (world, false, false);
}

void
world_start_linked (struct world *world)
{
  start_all (world, true, false);
}

void
world_start_suspendable (struct world *world)
{
  start_all (world, true, true);
}

void
world_stop (struct world *world)
{
  char command[128];

  for (int r = 0; r < WORLD_ROUTERS; r++)
    if (world->routers[r].pid)
      fleet_end_process (&world->routers[r].pid, SIGKILL);
  for (int s = 0; s < WORLD_SERVERS; s++)
    if (world->servers[s].pid)
      fleet_end_process (&world->servers[s].pid, SIGKILL);
  for (int i = 0; i < WORLD_LINKS; i++)
    if (world->links[i].pid)
      fleet_end_process (&world->links[i].pid, SIGKILL);
  if (world->group)
    fleet_end_process (&world->group, SIGKILL);
  fleet_end_process (&world->store, SIGKILL);
  if (getenv ("FLEET_KEEP"))
    {
      printf ("logs: %s\n", world->folder);
      return;
    }
  snprintf (command, sizeof command, "rm -rf %s", world->folder);
  if (system (command) != 0) /* NOLINT: a folder of our own making */
    fprintf (stderr, "%s is left\n", world->folder);
}

/* ---- what was seen ---- */

int
world_runs (struct world *world, const char *id)
{
  char wanted[64];
  int runs = 0;

  snprintf (wanted, sizeof wanted, "%s ", id);
  for (int s = 0; s < WORLD_SERVERS; s++)
    {
      const char *log = world_get (world->servers[s].port, "GET", "/log", "");

      for (const char *at = strstr (log, wanted); at; at = strstr (at + 1, wanted))
        runs += at == log || at[-1] == '\n';
    }
  return runs;
}

int
world_count_logged (struct world *world, int r, const char *text)
{
  char path[128];
  char line[2048];
  int found = 0;
  FILE *file;

  snprintf (path, sizeof path, "%s/router-%d.log", world->folder, r);
  file = fopen (path, "r");
  while (file && fgets (line, sizeof line, file))
    found += strstr (line, text) != NULL;
  if (file)
    fclose (file);
  return found;
}

bool
world_logged (struct world *world, int r, const char *text)
{
  return world_count_logged (world, r, text) > 0;
}

bool
world_wait_logged (struct world *world, int r, const char *text)
{
  int64_t until = fleet_now_ms () + WAIT_MS;

  while (fleet_now_ms () < until)
    {
      if (world_logged (world, r, text))
        return true;
      fleet_sleep_ms (20);
    }
  return false;
}
