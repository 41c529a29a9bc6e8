/**
 * @file
 * Measures how a configuration change propagates through a fleet of real processes:
 * 8 entries in 3 halls, 16 model endpoints and 3 plain endpoints. Prints the time until
 * the change is active on all boxes, the rate of requests to the platform, and the bytes
 * that entries send to their peers.
 */
#include "bench/stats.h"
#include "common/id.h"
#include "test/fleet.h"

#include <curl/curl.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define HALLS 3
#define ENTRIES 8
#define ENDPOINTS 19
#define MODELS 16
#define BOXES (ENTRIES + ENDPOINTS)
#define CHANGES 40
#define IDLE_MS 10000
#define PAUSE_MS 4000
#define PROPAGATION_TIMEOUT_MS 30000
#define DOCUMENT_BYTES 16384

struct box
{
  char name[16];
  int hall;
  uint16_t peer_port;
  uint16_t http_port;
  pid_t pid;
};

struct testbed
{
  char folder[64];
  uint16_t platform_port;
  pid_t platform;
  struct box boxes[BOXES];
  unsigned revision;
};

/* ---- the fleet ---- */

static void
write_document (const struct testbed *testbed, char *text)
{
  uint8_t hash[ASH_KEY_HASH_BYTES];
  char *p = text;

  p += sprintf (p, "[[class]]\nname = \"c\"\n[[service]]\nname = \"model\"\n"
                   "[[service]]\nname = \"stock\"\nkind = \"plain\"\n");
  for (int h = 0; h < HALLS; h++)
    p += sprintf (p, "[[hall]]\nname = \"hall-%d\"\n", h);
  for (int a = 0; a < 10; a++)
    {
      char key[16];

      ash_key_hash (key, (size_t) sprintf (key, "key-%d", a), hash);
      p += sprintf (p,
                    "[[account]]\nname = \"account-%d\"\nclass = \"c\"\nburst = %u\nkey_hash = \"",
                    a, a == 3 ? 100 + testbed->revision : 100);
      for (size_t i = 0; i < sizeof hash; i++)
        p += sprintf (p, "%02x", hash[i]);
      p += sprintf (p, "\"\n");
    }
  for (int i = 0; i < BOXES; i++)
    {
      const struct box *box = &testbed->boxes[i];

      p += sprintf (p, "[[%s]]\nbox = \"%s\"\nhall = \"hall-%d\"\npeer = \"127.0.0.1:%u\"\n",
                    i < ENTRIES ? "entry" : "endpoint", box->name, box->hall, box->peer_port);
      if (i < ENTRIES)
        p += sprintf (p, "http = \"127.0.0.1:%u\"\n", box->http_port);
      else
        p += sprintf (p, "service = \"%s\"\n", i < ENTRIES + MODELS ? "model" : "stock");
    }
}

static void
start_box (struct testbed *testbed, int i)
{
  struct box *box = &testbed->boxes[i];
  char path[128];
  FILE *file;

  snprintf (path, sizeof path, "%s/%s.toml", testbed->folder, box->name);
  file = fopen (path, "w");
  if (!file)
    return;
  fprintf (file,
           "box = \"%s\"\nrole = \"%s\"\nhall = \"hall-%d\"\nfleet_key = \"%064d\"\n"
           "peer_listen = \"127.0.0.1:%u\"\n",
           box->name, i < ENTRIES ? "entry" : "endpoint", box->hall, 7, box->peer_port);
  if (i < ENTRIES)
    fprintf (file, "http_listen = \"127.0.0.1:%u\"\nplatform_url = \"http://127.0.0.1:%u\"\n",
             box->http_port, testbed->platform_port);
  else
    fprintf (file, "engine_url = \"http://127.0.0.1:9\"\n");
  fclose (file);
  box->pid = fleet_spawn (testbed->folder, box->name, "ashspindled", path, (char *) NULL);
}

static void
publish (struct testbed *testbed)
{
  char text[DOCUMENT_BYTES];
  char url[128];
  struct ash_cli_request request = { .url = url, .method = "PUT", .body = text };
  struct ash_cli_answer answer = { 0 };

  testbed->revision++;
  write_document (testbed, text);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/control/config?revision=%u",
            testbed->platform_port, testbed->revision);
  ash_cli_fetch (&request, &answer);
  ash_cli_answer_finish (&answer);
}

static void
start_fleet (struct testbed *testbed)
{
  uint16_t ports[2 * BOXES + 2];
  char port[8];

  strcpy (testbed->folder, "/tmp/ash-spread-XXXXXX");
  if (!mkdtemp (testbed->folder))
    exit (EXIT_FAILURE);
  fleet_free_ports (ports, 28);
  fleet_free_ports (ports + 28, 28);
  testbed->platform_port = ports[2 * BOXES];
  for (int i = 0; i < BOXES; i++)
    {
      struct box *box = &testbed->boxes[i];

      snprintf (box->name, sizeof box->name, "%s-%d", i < ENTRIES ? "entry" : "box", i);
      box->hall = i % HALLS;
      box->peer_port = ports[2 * i];
      box->http_port = ports[2 * i + 1];
    }
  snprintf (port, sizeof port, "%u", testbed->platform_port);
  testbed->platform =
      fleet_spawn (testbed->folder, "platform", "standin", "platform", port, (char *) NULL);
  fleet_sleep_ms (300);
  publish (testbed);
  for (int i = 0; i < BOXES; i++)
    start_box (testbed, i);
}

static void
stop_fleet (struct testbed *testbed)
{
  char command[128];

  for (int i = 0; i < BOXES; i++)
    fleet_end_process (&testbed->boxes[i].pid, SIGKILL);
  fleet_end_process (&testbed->platform, SIGKILL);
  snprintf (command, sizeof command, "rm -rf %s", testbed->folder);
  if (system (command) != 0)
    fprintf (stderr, "can't remove %s\n", testbed->folder);
}

/* ---- reading logs ---- */

static int64_t
wall_now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t) ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* @return time at which the box accepted the revision, according to its log; 0: not yet. */
static int64_t
accepted_ms (const struct testbed *testbed, int i)
{
  char path[128];
  char wanted[32];
  char line[512];
  int64_t at_ms = 0;
  FILE *file;

  snprintf (path, sizeof path, "%s/%s.log", testbed->folder, testbed->boxes[i].name);
  snprintf (wanted, sizeof wanted, " revision=%u ", testbed->revision);
  file = fopen (path, "r");
  while (file && fgets (line, sizeof line, file))
    {
      struct tm tm = { 0 };
      int ms = 0;

      if (!strstr (line, " 200 config_accepted ") || !strstr (line, wanted) ||
          sscanf (line, "%d-%d-%dT%d:%d:%d.%dZ", &tm.tm_year, &tm.tm_mon, &tm.tm_mday, &tm.tm_hour,
                  &tm.tm_min, &tm.tm_sec, &ms) != 7)
        continue;
      tm.tm_year -= 1900;
      tm.tm_mon--;
      at_ms = (int64_t) timegm (&tm) * 1000 + ms;
    }
  if (file)
    fclose (file);
  return at_ms;
}

/* Waits until all boxes have accepted the revision. @return milliseconds from @p since_ms until
 * the last box accepted it; -1: timeout. @param took_ms receives the
 * milliseconds for each box. */
static int64_t
propagation_ms (const struct testbed *testbed, int64_t since_ms, double *took_ms)
{
  int64_t until_ms = fleet_now_ms () + PROPAGATION_TIMEOUT_MS;
  int64_t last_ms = 0;

  for (int i = 0; i < BOXES; i++)
    {
      int64_t at_ms;

      while (!(at_ms = accepted_ms (testbed, i)))
        {
          if (fleet_now_ms () > until_ms)
            return -1;
          fleet_sleep_ms (20);
        }
      if (at_ms > since_ms + last_ms)
        last_ms = at_ms - since_ms;
      took_ms[i] = at_ms > since_ms ? (double) (at_ms - since_ms) : 0;
    }
  return last_ms;
}

/* ---- measurements ---- */

static json_t *
get_json (uint16_t port, const char *path)
{
  char url[128];
  struct ash_cli_request request = { .url = url, .method = "GET" };
  struct ash_cli_answer answer = { 0 };
  json_t *root;

  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", port, path);
  ash_cli_fetch (&request, &answer);
  root = json_loadb (answer.body ? answer.body : "", answer.body_bytes, 0, NULL);
  ash_cli_answer_finish (&answer);
  return root;
}

static int64_t
platform_calls (const struct testbed *testbed)
{
  json_t *root = get_json (testbed->platform_port, "/control/calls");
  int64_t calls = json_integer_value (json_object_get (root, "config")) +
                  json_integer_value (json_object_get (root, "list"));

  json_decref (root);
  return calls;
}

static int64_t
entry_bytes (const struct testbed *testbed, int e)
{
  char url[128];
  struct ash_cli_request request = { .url = url, .method = "GET" };
  struct ash_cli_answer answer = { 0 };
  const char *at;
  int64_t bytes = 0;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/metrics", testbed->boxes[e].http_port);
  ash_cli_fetch (&request, &answer);
  at = answer.body ? strstr (answer.body, "\nash_peer_bytes_out{} ") : NULL;
  if (at)
    bytes = atoll (at + strlen ("\nash_peer_bytes_out{} "));
  ash_cli_answer_finish (&answer);
  return bytes;
}

static void
measure_changes (struct testbed *testbed)
{
  static double took_ms[CHANGES * BOXES];
  static double all_boxes_ms[CHANGES];
  int64_t calls = platform_calls (testbed);
  int64_t bytes = entry_bytes (testbed, 0);
  int64_t start_ms = fleet_now_ms ();

  for (int c = 0; c < CHANGES; c++)
    {
      int64_t since_ms = wall_now_ms ();

      publish (testbed);
      all_boxes_ms[c] = (double) propagation_ms (testbed, since_ms, &took_ms[c * BOXES]);
      fleet_sleep_ms (200 + 37 * (c % 10));
    }
  printf ("%d changes of a row, in force at a box after: median %.0f ms, 95 in 100 %.0f ms, worst "
          "%.0f ms; at all 27: median %.0f ms, worst %.0f ms\n",
          CHANGES, stats_percentile (took_ms, CHANGES * BOXES, 0.5),
          stats_percentile (took_ms, CHANGES * BOXES, 0.95),
          stats_percentile (took_ms, CHANGES * BOXES, 1),
          stats_percentile (all_boxes_ms, CHANGES, 0.5),
          stats_percentile (all_boxes_ms, CHANGES, 1));
  printf (
      "meanwhile the platform was asked %.1f times a second; an entry sent %.0f bytes/s\n",
      (double) (platform_calls (testbed) - calls) * 1000 / (double) (fleet_now_ms () - start_ms),
      (double) (entry_bytes (testbed, 0) - bytes) * 1000 / (double) (fleet_now_ms () - start_ms));
}

static void
measure_idle (struct testbed *testbed)
{
  int64_t calls = platform_calls (testbed);
  int64_t bytes[ENTRIES];
  int64_t sum = 0;

  for (int e = 0; e < ENTRIES; e++)
    bytes[e] = entry_bytes (testbed, e);
  fleet_sleep_ms (IDLE_MS);
  for (int e = 0; e < ENTRIES; e++)
    sum += entry_bytes (testbed, e) - bytes[e];
  printf ("at rest the platform is asked %.1f times a second; an entry sends %.0f bytes/s\n",
          (double) (platform_calls (testbed) - calls) * 1000 / IDLE_MS,
          (double) sum * 1000 / IDLE_MS / ENTRIES);
}

/* Publishes a change while all processes of one hall are suspended, then resumes them. */
static void
measure_paused_hall (struct testbed *testbed)
{
  double took_ms[BOXES];
  int64_t since_ms;

  for (int i = 0; i < BOXES; i++)
    if (testbed->boxes[i].hall == 1)
      kill (testbed->boxes[i].pid, SIGSTOP);
  fleet_sleep_ms (500);
  publish (testbed);
  fleet_sleep_ms (PAUSE_MS);
  since_ms = wall_now_ms ();
  for (int i = 0; i < BOXES; i++)
    if (testbed->boxes[i].hall == 1)
      kill (testbed->boxes[i].pid, SIGCONT);
  printf ("a change while a hall of 9 boxes was paused for %d ms: everywhere %lld ms after it "
          "went on\n",
          PAUSE_MS, (long long) propagation_ms (testbed, since_ms, took_ms));
}

static void
measure_platform_down (struct testbed *testbed)
{
  double took_ms[BOXES];
  int64_t since_ms;

  fleet_control (testbed->platform_port, "/control/mode?config=1&list=1");
  fleet_sleep_ms (11000);
  publish (testbed);
  since_ms = wall_now_ms ();
  fleet_control (testbed->platform_port, "/control/mode?config=0&list=0");
  printf ("a change while the platform was down for 11 s: everywhere %lld ms after it was back\n",
          (long long) propagation_ms (testbed, since_ms, took_ms));
}

/* Replaces all boxes but one while the platform is down: the others get the configuration from the
 * remaining box. */
static void
measure_replaced (struct testbed *testbed)
{
  double took_ms[BOXES];
  int64_t since_ms;

  fleet_control (testbed->platform_port, "/control/mode?config=1&list=1");
  for (int i = 1; i < BOXES; i++)
    {
      char path[128];

      fleet_end_process (&testbed->boxes[i].pid, SIGKILL);
      snprintf (path, sizeof path, "%s/%s.log", testbed->folder, testbed->boxes[i].name);
      remove (path);
    }
  since_ms = wall_now_ms ();
  for (int i = 1; i < BOXES; i++)
    start_box (testbed, i);
  printf ("26 of 27 boxes replaced at once with the platform down: everywhere %lld ms after\n",
          (long long) propagation_ms (testbed, since_ms, took_ms));
  fleet_control (testbed->platform_port, "/control/mode?config=0&list=0");
}

int
main (void)
{
  static struct testbed testbed;
  double took_ms[BOXES];
  int64_t since_ms = wall_now_ms ();

  curl_global_init (CURL_GLOBAL_DEFAULT);
  start_fleet (&testbed);
  printf ("start of 27 boxes: all have the configuration after %lld ms\n",
          (long long) propagation_ms (&testbed, since_ms, took_ms));
  fleet_sleep_ms (3000);
  measure_idle (&testbed);
  measure_changes (&testbed);
  measure_paused_hall (&testbed);
  fleet_sleep_ms (3000);
  measure_platform_down (&testbed);
  measure_replaced (&testbed);
  stop_fleet (&testbed);
  return EXIT_SUCCESS;
}
