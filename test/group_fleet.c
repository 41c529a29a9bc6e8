#include "test/group_fleet.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define EXPERTS "16"
#define RANK_SLOTS "6"
#define READER_HASH "ff441166ff333af23597d85f9f9816c3383491817c383c90cc400abe097cda82"
#define TIMEOUT_MS 10000

static FILE *
open_file (const struct group_fleet *group, const char *name)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.toml", group->folder, name);
  return fopen (path, "w");
}

static void
write_document (const struct group_fleet *group, FILE *file)
{
  fprintf (file,
           "[[hall]]\nname = \"h\"\n[[service]]\nname = \"model\"\n"
           "[[entry]]\nbox = \"entry\"\nhall = \"h\"\nhttp = \"127.0.0.1:%u\"\npeer = "
           "\"127.0.0.1:%u\"\n"
           "[[group]]\nname = \"g\"\nexperts = " EXPERTS "\nrank_slots = " RANK_SLOTS
           "\ninterval_ms = 150\n",
           group->ports[2], group->ports[3]);
  for (int r = 0; r < GROUP_RANKS; r++)
    fprintf (file,
             "[[endpoint]]\nbox = \"m%d\"\nservice = \"model\"\nhall = \"h\"\npeer = "
             "\"127.0.0.1:%u\"\ngroup = \"g\"\nrank = %d\nchecks_orders = %s\n",
             r, group->ports[4 + r], r, group->unfenced ? "false" : "true");
}

void
group_fleet_declare_event (const struct group_fleet *group, int expert)
{
  char *text = NULL;
  size_t length = 0;
  char url[96];
  struct ash_cli_request request = { .url = url, .method = "PUT" };
  struct ash_cli_answer answer = { 0 };
  FILE *file = open_memstream (&text, &length);

  write_document (group, file);
  fprintf (file,
           "[[event]]\nname = \"e\"\nstart_s = %lld\nlead_s = 3600\n[[profile]]\nname = \"p\"\n"
           "event = \"e\"\ngroup = \"g\"\nloads = \"",
           (long long) time (NULL) + 600);
  for (int e = 0; e < atoi (EXPERTS); e++)
    fprintf (file, "%s%d", e ? "," : "", e == expert ? 1000 * atoi (EXPERTS) / 2 : 1000);
  fprintf (file, "\"\n");
  fclose (file);
  request.body = text;
  snprintf (url, sizeof url, "http://127.0.0.1:%u/control/config", group->ports[0]);
  ash_cli_fetch (&request, &answer);
  ash_cli_answer_finish (&answer);
  free (text);
}

static pid_t
start_daemon (const struct group_fleet *group, const char *box, const char *settings)
{
  FILE *file = open_file (group, box);
  char path[128];

  fprintf (file,
           "box = \"%s\"\nhall = \"h\"\nfleet_key = \"%064d\"\nheartbeat_ms = 100\n"
           "link_silence_ms = 800\ndial_retry_ms = 50\npause_ms = 500\n%s",
           box, 7, settings);
  fclose (file);
  snprintf (path, sizeof path, "%s/%s.toml", group->folder, box);
  return fleet_spawn (group->folder, box, "ashspindled", path, (char *) NULL);
}

void
group_fleet_start_agent (struct group_fleet *group, int r)
{
  char settings[256];
  char box[8];

  snprintf (box, sizeof box, "m%d", r);
  snprintf (settings, sizeof settings,
            "role = \"endpoint\"\npeer_listen = \"127.0.0.1:%u\"\nengine_url = "
            "\"http://127.0.0.1:%u/rank/%d\"\n",
            group->ports[4 + r], group->ports[1], r);
  group->agents[r] = start_daemon (group, box, settings);
}

void
group_fleet_stop (struct group_fleet *group)
{
  char command[160];

  for (int r = 0; r < GROUP_RANKS; r++)
    fleet_end_process (&group->agents[r], SIGKILL);
  fleet_end_process (&group->entry, SIGKILL);
  fleet_end_process (&group->engines, SIGKILL);
  fleet_end_process (&group->platform, SIGKILL);
  if (getenv ("FLEET_KEEP"))
    {
      fprintf (stderr, "logs: %s\n", group->folder);
      return;
    }
  snprintf (command, sizeof command, "rm -rf %s", group->folder);
  if (system (command) != 0)
    fprintf (stderr, "can't remove %s\n", group->folder);
}

int64_t
group_fleet_read_counter (const struct group_fleet *group, const char *what)
{
  char url[64];
  struct ash_cli_request request = { .url = url, .method = "GET" };
  struct ash_cli_answer answer = { 0 };
  json_t *root;
  int64_t value;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/check", group->ports[1]);
  ash_cli_fetch (&request, &answer);
  root = json_loadb (answer.body ? answer.body : "", answer.body_bytes, 0, NULL);
  value = json_integer_value (json_object_get (root, what));
  json_decref (root);
  ash_cli_answer_finish (&answer);
  return value;
}

bool
group_fleet_wait (const struct group_fleet *group, const char *what, int64_t least)
{
  int64_t until_ms = fleet_now_ms () + TIMEOUT_MS;

  while (group_fleet_read_counter (group, what) < least)
    {
      if (fleet_now_ms () > until_ms)
        return false;
      fleet_sleep_ms (20);
    }
  return true;
}

static void
start_group (struct group_fleet *group, bool unfenced)
{
  char port[8];
  char ranks[8];
  char settings[512];
  FILE *file;

  *group = (struct group_fleet){ .folder = "/tmp/ash-group-XXXXXX", .unfenced = unfenced };
  if (!mkdtemp (group->folder))
    return;
  fleet_free_ports (group->ports, 4 + GROUP_RANKS);
  file = open_file (group, "published");
  write_document (group, file);
  fclose (file);
  group->platform = fleet_start_platform (group->folder, "platform", group->ports[0]);
  snprintf (port, sizeof port, "%u", group->ports[1]);
  snprintf (ranks, sizeof ranks, "%d", GROUP_RANKS);
  group->engines = fleet_spawn (group->folder, "engines", "standin", "group", port, ranks, EXPERTS,
                                RANK_SLOTS, (char *) NULL);
  for (int r = 0; r < GROUP_RANKS; r++)
    group_fleet_start_agent (group, r);
  snprintf (settings, sizeof settings,
            "role = \"entry\"\npeer_listen = \"127.0.0.1:%u\"\nhttp_listen = \"127.0.0.1:%u\"\n"
            "platform_url = \"http://127.0.0.1:%u\"\nreader_key_hash = \"" READER_HASH "\"\n",
            group->ports[3], group->ports[2], group->ports[0]);
  group->entry = start_daemon (group, "entry", settings);
  /* A stand-in that does not listen yet would miss the control calls below and in the tests. */
  if (!group_fleet_wait (group, "steps", 1))
    fprintf (stderr, "the stand-in of the group has begun no step within 10 s\n");
  if (unfenced)
    fleet_control (group->ports[1], "/control?unchecked=1");
}

void
group_fleet_start (struct group_fleet *group)
{
  start_group (group, false);
}

void
group_fleet_make_hot (const struct group_fleet *group, int expert)
{
  char path[32];

  snprintf (path, sizeof path, "/control?hot=%d", expert);
  fleet_control (group->ports[1], path);
}

void
group_fleet_drop_orders (const struct group_fleet *group, int kind)
{
  char path[32];

  snprintf (path, sizeof path, "/control?lose=%d", kind);
  fleet_control (group->ports[1], path);
}

bool
group_fleet_wait_stalled (const struct group_fleet *group)
{
  int64_t until_ms = fleet_now_ms () + TIMEOUT_MS;
  int64_t steps = -1;
  int64_t now_steps = group_fleet_read_counter (group, "steps");

  while (steps != now_steps && fleet_now_ms () < until_ms)
    {
      steps = now_steps;
      fleet_sleep_ms (50);
      now_steps = group_fleet_read_counter (group, "steps");
    }
  return steps == now_steps;
}

void
group_fleet_start_unfenced (struct group_fleet *group)
{
  start_group (group, true);
}
