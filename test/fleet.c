#include "test/fleet.h"

#include "common/clock.h"
#include "common/id.h"
#include "test/raw.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <sched.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define BEARER "fleet-test-key"
#define DOCUMENT_BYTES 8192
#define WAIT_LIVE_MS 10000
#define WAIT_PORT_MS 10000

/* How long a process may take to end: several times the longest planned stop of the tests. */
#define END_MAX_MS 60000
#define END_POLL_MS 5
/* Time to print a stack before the process is killed. */
#define END_ABORT_MS 3000

/* Ports are allocated in blocks, below the system's ephemeral ports. */
#define FIRST_PORT 10000
#define BLOCK_PORTS 64
#define EPHEMERAL_FIRST_PORT 32768

static const char *const endpoint_names[FLEET_ENDPOINTS] = { "model-1", "model-2", "stock-1" };

void
fleet_sleep_ms (int64_t wait_ms)
{
  struct timespec ts = { wait_ms / 1000, wait_ms % 1000 * 1000000 };

  nanosleep (&ts, NULL);
}

int64_t
fleet_now_ms (void)
{
  return ash_clock_now ().ms;
}

/* ---- processes ---- */

static const char *
program_path (const char *name)
{
  static char path[256];
  const char *folder = getenv ("ASH_BUILD");

  snprintf (path, sizeof path, "%s/%s", folder ? folder : "build", name);
  return path;
}

pid_t
fleet_spawn (const char *folder, const char *log_name, const char *name, ...)
{
  char *arguments[8] = { 0 };
  char log[128];
  va_list args;
  pid_t pid;
  int count = 1;
  int fd;

  arguments[0] = strdup (program_path (name));
  va_start (args, name);
  while (count < 7 && (arguments[count] = va_arg (args, char *)))
    count++;
  va_end (args);
  snprintf (log, sizeof log, "%s/%s.log", folder, log_name);
  pid = fork ();
  if (pid == 0)
    {
      fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execv (arguments[0], arguments);
      _exit (127);
    }
  free (arguments[0]);
  return pid;
}

static bool
accepts (uint16_t port)
{
  int fd = raw_connect (port);

  if (fd >= 0)
    close (fd);
  return fd >= 0;
}

bool
fleet_wait_port (uint16_t port)
{
  int64_t until = fleet_now_ms () + WAIT_PORT_MS;

  while (!accepts (port))
    {
      if (fleet_now_ms () > until)
        return false;
      sched_yield ();
    }
  return true;
}

pid_t
fleet_start_platform (const char *folder, const char *log_name, uint16_t port)
{
  char text[8];
  char path[128];
  pid_t pid;

  sprintf (text, "%u", port);
  snprintf (path, sizeof path, "%s/published.toml", folder);
  pid = fleet_spawn (folder, log_name, "standin", "platform", text, path, (char *) NULL);
  fleet_wait_port (port);
  return pid;
}

/* Opens a process's log. @return NULL if there is none yet. */
static FILE *
open_log (const char *folder, const char *log_name)
{
  char path[160];

  snprintf (path, sizeof path, "%s/%s.log", folder, log_name);
  return fopen (path, "r");
}

long
fleet_log_bytes (const char *folder, const char *log_name)
{
  FILE *file = open_log (folder, log_name);
  long bytes = 0;

  if (file && fseek (file, 0, SEEK_END) == 0)
    bytes = ftell (file);
  if (file)
    fclose (file);
  return bytes;
}

int
fleet_count_lines (const char *folder, const char *log_name, long start_bytes, const char *text)
{
  FILE *file = open_log (folder, log_name);
  char line[2048];
  int count = 0;

  if (file && fseek (file, start_bytes, SEEK_SET) == 0)
    while (fgets (line, sizeof line, file))
      count += strstr (line, text) != NULL;
  if (file)
    fclose (file);
  return count;
}

/* Waits until a process has ended. @return false if it still runs after END_MAX_MS. */
static bool
wait_end (pid_t pid, int *status)
{
  int64_t until = fleet_now_ms () + END_MAX_MS;

  while (waitpid (pid, status, WNOHANG) == 0)
    {
      if (fleet_now_ms () > until)
        return false;
      fleet_sleep_ms (END_POLL_MS);
    }
  return true;
}

int
fleet_end_process (pid_t *pid, int signal)
{
  int status = 0;

  if (*pid <= 0)
    return 0;
  /* A paused process handles other signals than SIGKILL only after SIGCONT. That is not sent to a
   * process that is already ending: it cancels the SIGSTOP with which LeakSanitizer's process
   * attaches to this one at its exit, so that neither would ever end. */
  if (signal)
    kill (*pid, signal);
  if (signal && signal != SIGKILL)
    kill (*pid, SIGCONT);
  if (!wait_end (*pid, &status))
    {
      fprintf (stderr, "process %d did not end within %d ms\n", (int) *pid, END_MAX_MS);
      /* Sanitizers print the stack on SIGABRT, if ASAN_OPTIONS has handle_abort=1. */
      kill (*pid, SIGABRT);
      fleet_sleep_ms (END_ABORT_MS);
      kill (*pid, SIGKILL);
      waitpid (*pid, &status, 0);
    }
  *pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

/* @return the first ephemeral port of the system. Daemons listen on ports below it: callers have
 * many outgoing connections, one of which could otherwise occupy the port of a daemon that
 * restarts. */
static uint16_t
ephemeral_start (void)
{
  FILE *file = fopen ("/proc/sys/net/ipv4/ip_local_port_range", "r");
  unsigned start = EPHEMERAL_FIRST_PORT;

  if (!file)
    return EPHEMERAL_FIRST_PORT;
  if (fscanf (file, "%u", &start) != 1 || start <= FIRST_PORT + BLOCK_PORTS)
    start = EPHEMERAL_FIRST_PORT;
  fclose (file);
  return (uint16_t) start;
}

static int
bind_port (int type, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &(int){ type == SOCK_STREAM }, sizeof (int));
  if (bind (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Reserves a block of ports, by binding the UDP port of its first number until this process ends,
 * so that tests that run at the same time get different ports. @return false if the block is
 * reserved or one of its ports is in use. */
static bool
reserve_port_block (uint16_t first, uint16_t *ports, int count)
{
  int lock = bind_port (SOCK_DGRAM, first);

  if (lock < 0)
    return false;
  for (int i = 0; i < count; i++)
    {
      int fd = bind_port (SOCK_STREAM, (uint16_t) (first + i));

      if (fd < 0)
        {
          close (lock);
          return false;
        }
      close (fd);
      ports[i] = (uint16_t) (first + i);
    }
  return true;
}

void
fleet_free_ports (uint16_t *ports, int count)
{
  int blocks = (ephemeral_start () - FIRST_PORT) / BLOCK_PORTS;

  for (int i = 0; i < blocks; i++)
    if (reserve_port_block ((uint16_t) (FIRST_PORT + (getpid () + i) % blocks * BLOCK_PORTS), ports,
                            count))
      return;
  fprintf (stderr, "no free ports\n");
  exit (EXIT_FAILURE);
}

static FILE *
open_file (struct fleet *fleet, const char *name)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s", fleet->folder, name);
  return fopen (path, "w");
}

static void
write_settings (struct fleet *fleet, const struct fleet_box *box, const char *role)
{
  char name[64];
  FILE *file;

  snprintf (name, sizeof name, "%s.toml", box->name);
  file = open_file (fleet, name);
  fprintf (file,
           "box = \"%s\"\nrole = \"%s\"\nhall = \"h\"\npeer_listen = \"127.0.0.1:%u\"\n"
           "fleet_key = \"%064d\"\n%s\n",
           box->name, role, box->peer_port, 7, fleet->extra ? fleet->extra : "");
  if (strcmp (role, "entry") == 0)
    fprintf (file,
             "http_listen = \"127.0.0.1:%u\"\nplatform_url = \"http://127.0.0.1:%u\"\n"
             "peers = [\"127.0.0.1:%u\"]\n",
             box->http_port,
             (unsigned) (box->platform_port ? box->platform_port : fleet->platform_port),
             fleet->entries[box == &fleet->entries[0]].peer_port);
  else
    fprintf (file, "engine_url = \"http://127.0.0.1:%u\"\n", box->http_port);
  fclose (file);
}

static pid_t
start_daemon (struct fleet *fleet, struct fleet_box *box, const char *role)
{
  char path[128];

  box->log_start = fleet_log_bytes (fleet->folder, box->name);
  write_settings (fleet, box, role);
  snprintf (path, sizeof path, "%s/%s.toml", fleet->folder, box->name);
  return fleet_spawn (fleet->folder, box->name, "ashspindled", path, (char *) NULL);
}

void
fleet_start_entry (struct fleet *fleet, int e)
{
  fleet->entries[e].pid = start_daemon (fleet, &fleet->entries[e], "entry");
}

void
fleet_start_endpoint (struct fleet *fleet, int a)
{
  fleet->endpoints[a].pid = start_daemon (fleet, &fleet->endpoints[a], "endpoint");
}

/* ---- the published document ---- */

static void
write_document (struct fleet *fleet, const char *more, char *text)
{
  uint8_t hash[ASH_KEY_HASH_BYTES];
  char *p = text;

  ash_key_hash (BEARER, strlen (BEARER), hash);
  p +=
      sprintf (p, "[[hall]]\nname = \"h\"\n[[class]]\nname = \"c\"\n"
                  "[[service]]\nname = \"model\"\n[[service]]\nname = \"stock\"\nkind = \"plain\"\n"
                  "homes_since_s = 1\n[[account]]\nname = \"a\"\nclass = \"c\"\n"
                  "rate_per_s = 100000\nburst = 100000\nkey_hash = \"");
  for (size_t i = 0; i < sizeof hash; i++)
    p += sprintf (p, "%02x", hash[i]);
  p += sprintf (p, "\"\n");
  for (int e = 0; e < FLEET_ENTRIES; e++)
    p += sprintf (p,
                  "[[entry]]\nbox = \"%s\"\nhall = \"h\"\nhttp = \"127.0.0.1:%u\"\npeer = "
                  "\"127.0.0.1:%u\"\n",
                  fleet->entries[e].name, fleet->entries[e].http_port, fleet->entries[e].peer_port);
  for (int a = 0; a < FLEET_ENDPOINTS; a++)
    p += sprintf (p,
                  "[[endpoint]]\nbox = \"%s\"\nhall = \"h\"\nservice = \"%s\"\nslots = 128\npeer "
                  "= \"127.0.0.1:%u\"\n",
                  fleet->endpoints[a].name, a < FLEET_MODELS ? "model" : "stock",
                  fleet->endpoints[a].link_port);
  sprintf (p, "%s", more);
}

void
fleet_publish (struct fleet *fleet, const char *more, uint64_t revision)
{
  char text[DOCUMENT_BYTES];
  char url[128];
  struct ash_cli_request request = { .url = url, .method = "PUT", .body = text };
  struct ash_cli_answer answer = { 0 };

  write_document (fleet, more, text);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/control/config?revision=%llu",
            fleet->platform_port, (unsigned long long) revision);
  ash_cli_fetch (&request, &answer);
  ash_cli_answer_finish (&answer);
}

void
fleet_control (uint16_t port, const char *path_and_query)
{
  char url[256];
  struct ash_cli_request request = { .url = url, .method = "POST" };
  struct ash_cli_answer answer = { 0 };

  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", port, path_and_query);
  ash_cli_fetch (&request, &answer);
  ash_cli_answer_finish (&answer);
}

void
fleet_cut_answers (uint16_t port, const char *path, const char *bytes, bool reset)
{
  char url[128];
  struct ash_cli_request request = { .url = url, .method = "POST", .body = bytes };
  struct ash_cli_answer answer = { 0 };

  snprintf (url, sizeof url, "http://127.0.0.1:%u/control/cut?path=%s&reset=%d", port, path, reset);
  ash_cli_fetch (&request, &answer);
  ash_cli_answer_finish (&answer);
}

int
fleet_count_cut_answers (uint16_t port)
{
  char url[64];
  struct ash_cli_request request = { .url = url, .method = "GET" };
  struct ash_cli_answer answer = { 0 };
  int count;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/control/cut", port);
  ash_cli_fetch (&request, &answer);
  count = answer.body ? atoi (answer.body) : -1;
  ash_cli_answer_finish (&answer);
  return count;
}

/* ---- start and stop ---- */

static void
init_boxes (struct fleet *fleet)
{
  uint16_t ports[1 + 2 * FLEET_ENTRIES + 4 * FLEET_ENDPOINTS];
  int next = 0;

  fleet_free_ports (ports, sizeof ports / sizeof ports[0]);
  fleet->platform_port = ports[next++];
  for (int e = 0; e < FLEET_ENTRIES; e++)
    {
      sprintf (fleet->entries[e].name, "entry-%d", e + 1);
      fleet->entries[e].http_port = ports[next++];
      fleet->entries[e].peer_port = ports[next++];
    }
  for (int a = 0; a < FLEET_ENDPOINTS; a++)
    {
      strcpy (fleet->endpoints[a].name, endpoint_names[a]);
      fleet->endpoints[a].http_port = ports[next++];
      fleet->endpoints[a].peer_port = ports[next++];
      fleet->endpoints[a].link_port = ports[next++];
      fleet->endpoints[a].control_port = ports[next++];
    }
}

static void
start_stand_ins (struct fleet *fleet, struct fleet_box *box)
{
  char engine[8];
  char link[8];
  char peer[8];
  char control[8];
  char log[64];

  sprintf (engine, "%u", box->http_port);
  sprintf (link, "%u", box->link_port);
  sprintf (peer, "%u", box->peer_port);
  sprintf (control, "%u", box->control_port);
  snprintf (log, sizeof log, "engine-%s", box->name);
  box->engine =
      fleet_spawn (fleet->folder, log, "standin", "engine", engine, "128", "5", (char *) NULL);
  snprintf (log, sizeof log, "link-%s", box->name);
  box->link =
      fleet_spawn (fleet->folder, log, "standin", "link", link, peer, control, (char *) NULL);
}

void
fleet_start (struct fleet *fleet, const char *extra)
{
  char text[DOCUMENT_BYTES];
  FILE *file;

  *fleet = (struct fleet){ .extra = extra };
  strcpy (fleet->folder, "/tmp/ash-fleet-XXXXXX");
  if (!mkdtemp (fleet->folder))
    return;
  init_boxes (fleet);
  write_document (fleet, "", text);
  file = open_file (fleet, "published.toml");
  fputs (text, file);
  fclose (file);
  fleet->platform = fleet_start_platform (fleet->folder, "platform", fleet->platform_port);
  for (int a = 0; a < FLEET_ENDPOINTS; a++)
    {
      start_stand_ins (fleet, &fleet->endpoints[a]);
      fleet_start_endpoint (fleet, a);
    }
  for (int e = 0; e < FLEET_ENTRIES; e++)
    fleet_start_entry (fleet, e);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    fleet_wait_live (fleet, e, FLEET_ENDPOINTS);
}

void
fleet_stop (struct fleet *fleet)
{
  char command[160];

  for (int e = 0; e < FLEET_ENTRIES; e++)
    fleet_end_process (&fleet->entries[e].pid, SIGKILL);
  for (int a = 0; a < FLEET_ENDPOINTS; a++)
    {
      fleet_end_process (&fleet->endpoints[a].pid, SIGKILL);
      fleet_end_process (&fleet->endpoints[a].engine, SIGKILL);
      fleet_end_process (&fleet->endpoints[a].link, SIGKILL);
    }
  fleet_end_process (&fleet->platform, SIGKILL);
  if (getenv ("FLEET_KEEP"))
    {
      fprintf (stderr, "logs: %s\n", fleet->folder);
      return;
    }
  snprintf (command, sizeof command, "rm -rf %s", fleet->folder);
  if (system (command) != 0)
    fprintf (stderr, "can't remove %s\n", fleet->folder);
}

/* ---- an entry's status and logs ---- */

static json_t *
fetch_status (struct fleet *fleet, int e)
{
  char url[128];
  struct ash_cli_request request = { .url = url, .method = "GET", .deadline_ms = 1 };
  struct ash_cli_answer answer = { 0 };
  json_t *root;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/status", fleet->entries[e].http_port);
  ash_cli_fetch (&request, &answer);
  root = json_loadb (answer.body ? answer.body : "", answer.body_bytes, 0, NULL);
  ash_cli_answer_finish (&answer);
  return root;
}

static int
count_live (const json_t *status)
{
  const json_t *boxes = json_object_get (status, "boxes");
  int count = 0;

  for (size_t i = 0; i < json_array_size (boxes); i++)
    {
      const json_t *box = json_array_get (boxes, i);
      const char *role = json_string_value (json_object_get (box, "role"));
      const char *state = json_string_value (json_object_get (box, "state"));

      /* A box counts only if it also has a configuration. */
      count += role && state && strcmp (role, "endpoint") == 0 && strcmp (state, "live") == 0 &&
               json_integer_value (json_object_get (box, "revision")) > 0;
    }
  return count;
}

bool
fleet_wait_live (struct fleet *fleet, int e, int count)
{
  int64_t until_ms = fleet_now_ms () + WAIT_LIVE_MS;
  bool ok = false;

  while (!ok && fleet_now_ms () < until_ms)
    {
      json_t *status = fetch_status (fleet, e);

      ok = count_live (status) == count;
      json_decref (status);
      if (!ok)
        fleet_sleep_ms (20);
    }
  return ok;
}

int64_t
fleet_revision (struct fleet *fleet, int e)
{
  json_t *status = fetch_status (fleet, e);
  int64_t revision = json_integer_value (json_object_get (status, "revision"));

  json_decref (status);
  return revision;
}

/* @return the size of the box's log when its present process was started. */
static long
log_start_of (const struct fleet *fleet, const char *box)
{
  for (int e = 0; e < FLEET_ENTRIES; e++)
    if (strcmp (fleet->entries[e].name, box) == 0)
      return fleet->entries[e].log_start;
  for (int a = 0; a < FLEET_ENDPOINTS; a++)
    if (strcmp (fleet->endpoints[a].name, box) == 0)
      return fleet->endpoints[a].log_start;
  return 0;
}

int
fleet_count_log_lines (struct fleet *fleet, const char *box, const char *text)
{
  return fleet_count_lines (fleet->folder, box, log_start_of (fleet, box), text);
}

/* ---- calls ---- */

static void *
run_call (void *data)
{
  struct fleet_call *call = data;

  ash_cli_fetch (&call->request, &call->answer);
  call->took_ms = fleet_now_ms () - call->started_ms;
  return NULL;
}

static void
begin_call (struct fleet_call *call)
{
  call->request.url = call->url;
  call->request.key = BEARER;
  call->started_ms = fleet_now_ms ();
  pthread_create (&call->thread, NULL, run_call, call);
}

void
fleet_begin_chat (struct fleet *fleet, struct fleet_call *call, int e, bool stream, int tokens)
{
  static const char *const bodies[] = {
    "{\"model\":\"model\",\"stream\":false,\"max_tokens\":%d}",
    "{\"model\":\"model\",\"stream\":true,\"max_tokens\":%d}",
  };

  *call = (struct fleet_call){ 0 };
  snprintf (call->key, sizeof call->key, bodies[stream], tokens);
  snprintf (call->url, sizeof call->url, "http://127.0.0.1:%u/v1/chat/completions",
            fleet->entries[e].http_port);
  call->request.method = "POST";
  call->request.body = call->key;
  begin_call (call);
}

void
fleet_begin_order (struct fleet *fleet,
                   struct fleet_call *call,
                   int e,
                   const char *key,
                   unsigned attempt,
                   int work_ms,
                   unsigned deadline_ms)
{
  *call = (struct fleet_call){ 0 };
  snprintf (call->url, sizeof call->url, "http://127.0.0.1:%u/v1/services/stock/orders?work_ms=%d",
            fleet->entries[e].http_port, work_ms);
  call->request.method = "POST";
  call->request.body = "{\"order\":1}";
  call->request.no_repeat = true;
  call->request.attempt = attempt;
  call->request.deadline_ms = deadline_ms;
  if (key)
    {
      snprintf (call->key, sizeof call->key, "%s", key);
      call->request.idempotency_key = call->key;
    }
  begin_call (call);
}

bool
fleet_mint_key (struct fleet *fleet, int e, const char *service, char key[256])
{
  char url[160];
  struct ash_cli_request request = { .url = url, .method = "POST", .key = BEARER };
  struct ash_cli_answer answer = { 0 };
  json_t *root;
  const char *minted;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/keys?service=%s", fleet->entries[e].http_port,
            service);
  ash_cli_fetch (&request, &answer);
  root = json_loadb (answer.body ? answer.body : "", answer.body_bytes, 0, NULL);
  minted = json_string_value (json_object_get (root, "key"));
  snprintf (key, 256, "%s", minted ? minted : "");
  json_decref (root);
  ash_cli_answer_finish (&answer);
  return *key != '\0';
}

void
fleet_wait_call (struct fleet_call *call)
{
  pthread_join (call->thread, NULL);
}

int
fleet_count_runs (struct fleet *fleet, int a, const char *id, const char *kind)
{
  char url[128];
  struct ash_cli_request request = { .url = url, .method = "GET" };
  struct ash_cli_answer answer = { 0 };
  const char *row_id;
  json_t *root;
  json_t *row;
  int count = 0;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/runs", fleet->endpoints[a].http_port);
  ash_cli_fetch (&request, &answer);
  root = json_loadb (answer.body ? answer.body : "", answer.body_bytes, 0, NULL);
  json_object_foreach (root, row_id, row)
    {
      if (!id || strcmp (row_id, id) == 0)
        count += (int) json_integer_value (json_object_get (row, kind));
    }
  json_decref (root);
  ash_cli_answer_finish (&answer);
  return count;
}

bool
fleet_stream_ok (const struct ash_cli_answer *answer, int tokens)
{
  char expected[256];
  const char *at = answer->body ? answer->body : "";

  if (!answer->whole)
    return false;
  for (int i = 1; i <= tokens; i++)
    {
      int length =
          snprintf (expected, sizeof expected,
                    "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\",\"choices\":"
                    "[{\"index\":0,\"delta\":{\"content\":\"%.8s-%d \"}}]}\n\n",
                    answer->request_id, answer->request_id, i);

      if (strncmp (at, expected, (size_t) length) != 0)
        return false;
      at += length;
    }
  return strcmp (at, "data: [DONE]\n\n") == 0;
}
