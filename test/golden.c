/**
 * @file
 * Plays golden files: whole sessions of a core, one text file each, with a
 * time and a message a line. What the core gives out must be the file's text.
 *
 * `core entry|agent|rank BOX SEED`, `set KEY VALUE` and `config REVISION FILE` come
 * before or between `TIME < message` lines; `TIME > message` lines are what is
 * expected. GOLDEN_UPDATE=1 writes the files anew, to be read before committing.
 */
#include "test/session.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <dirent.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES 8192
#define DOCUMENT_BYTES 65536

struct player
{
  const char *folder;
  struct session session;
  bool started;
  FILE *out;
  const char *error;
};

static void
play_core (struct player *player, const char *line)
{
  char role[16];
  char box[ASH_NAME_BYTES];

  if (sscanf (line, "core %15s %39s", role, box) != 2)
    {
      player->error = "core entry|agent|rank BOX SEED";
      return;
    }
  if (strcmp (role, "entry") == 0)
    player->session.core = SESSION_ENTRY;
  else
    player->session.core = strcmp (role, "rank") == 0 ? SESSION_RANK : SESSION_AGENT;
  session_settings (&player->session.settings, box, strcmp (role, "entry") == 0);
}

static void
play_set (struct player *player, const char *line)
{
  char key[64];
  unsigned value;

  player->error = "no such setting";
  if (sscanf (line, "set %63s %u", key, &value) != 2)
    return;
  for (const struct ash_option *option = ash_settings_options; option->key; option++)
    if (strcmp (option->key, key) == 0 && option->type == ASH_OPTION_UINT)
      {
        *(uint32_t *) (void *) ((char *) &player->session.settings + option->offset) = value;
        player->error = NULL;
      }
}

static void
play_config (struct player *player, const char *line)
{
  unsigned revision;
  char name[64];
  char path[512];
  static char text[DOCUMENT_BYTES];
  size_t length;
  FILE *file;

  player->error = "config REVISION FILE";
  if (sscanf (line, "config %u %63s", &revision, name) != 2)
    return;
  snprintf (path, sizeof path, "%s/%s", player->folder, name);
  file = fopen (path, "rb");
  if (!file)
    return;
  length = fread (text, 1, sizeof text, file);
  fclose (file);
  player->error = NULL;
  if (session_offer_config (&player->session, player->session.now, revision, text, length) !=
      ASH_CONFIG_ACCEPTED)
    fprintf (player->out, "# not accepted\n");
}

static void
play_message (struct player *player, char *line)
{
  struct Ash__Event *event;
  char *text;
  long long ms = strtoll (line, &text, 10);

  if (text == line || strncmp (text, " < ", 3) != 0)
    {
      player->error = "not understood";
      return;
    }
  event = ash_event_parse (text + 3, &player->error);
  if (!event)
    return;
  session_deliver (&player->session, (struct ash_time){ ms }, event);
  ash__event__free_unpacked (event, NULL);
}

static void
play_line (struct player *player, char *line, uint64_t *seed)
{
  const char *word = strrchr (line, ' ');

  line[strcspn (line, "\n")] = '\0';
  /* What is expected comes from the core itself, in the transcript. */
  if (strstr (line, " > ") && line[0] != '#' && strspn (line, "0123456789") > 0 &&
      strncmp (line + strspn (line, "0123456789"), " > ", 3) == 0)
    return;
  if (strncmp (line, "core ", 5) == 0)
    {
      play_core (player, line);
      *seed = word ? strtoull (word, NULL, 10) : 1;
    }
  else if (strncmp (line, "set ", 4) == 0)
    play_set (player, line);
  else if (*line && *line != '#' && !player->started)
    {
      session_init (&player->session, *seed, (struct ash_time){ 0 });
      player->session.transcript = player->out;
      player->started = true;
    }
  if (strncmp (line, "config ", 7) == 0)
    {
      fprintf (player->out, "%s\n", line);
      play_config (player, line);
    }
  else if (*line >= '0' && *line <= '9')
    play_message (player, line);
  else
    fprintf (player->out, "%s\n", line);
}

/* @return the session's transcript as the core gives it now, or NULL. */
static char *
play_file (const char *folder, const char *path)
{
  struct player player = { .folder = folder };
  char *actual = NULL;
  size_t actual_bytes = 0;
  static char line[LINE_BYTES];
  FILE *file = fopen (path, "rb");
  uint64_t seed = 1;
  unsigned number = 0;

  if (!file)
    return NULL;
  player.out = open_memstream (&actual, &actual_bytes);
  while (!player.error && fgets (line, sizeof line, file))
    {
      number++;
      play_line (&player, line, &seed);
    }
  if (player.error)
    fprintf (stderr, "%s:%u: %s\n", path, number, player.error);
  if (player.started)
    session_finish (&player.session);
  fclose (player.out);
  fclose (file);
  return actual;
}

static char *
read_file (const char *path)
{
  FILE *file = fopen (path, "rb");
  static char text[DOCUMENT_BYTES * 4];

  if (!file)
    return NULL;
  text[fread (text, 1, sizeof text - 1, file)] = '\0';
  fclose (file);
  return text;
}

static void
print_difference (const char *path, const char *expected, const char *actual)
{
  unsigned number = 1;

  while (*expected && *expected == *actual)
    {
      number += *expected == '\n';
      expected++;
      actual++;
    }
  while (number > 1 && expected[-1] != '\n')
    {
      expected--;
      actual--;
    }
  fprintf (stderr, "%s:%u:\n  expected: %.*s\n  actual:   %.*s\n", path, number,
           (int) strcspn (expected, "\n"), expected, (int) strcspn (actual, "\n"), actual);
}

static bool
check_file (const char *folder, const char *name)
{
  char path[512];
  char *actual;
  const char *expected;
  bool same;

  snprintf (path, sizeof path, "%s/%s", folder, name);
  actual = play_file (folder, path);
  expected = read_file (path);
  if (!actual || !expected)
    return false;
  same = strcmp (actual, expected) == 0;
  if (!same && getenv ("GOLDEN_UPDATE"))
    {
      FILE *file = fopen (path, "wb");

      fputs (actual, file);
      fclose (file);
    }
  else if (!same)
    print_difference (path, expected, actual);
  free (actual);
  return same;
}

static void
test_golden (void)
{
  const char *folder = getenv ("GOLDEN_DIR");
  DIR *dir = opendir (folder ? folder : "test/golden");
  struct dirent *item;
  unsigned count = 0;

  CU_ASSERT_PTR_NOT_NULL (dir);
  while (dir && (item = readdir (dir)))
    {
      if (!strstr (item->d_name, ".session"))
        continue;
      count++;
      CU_ASSERT (check_file (folder ? folder : "test/golden", item->d_name));
    }
  if (dir)
    closedir (dir);
  CU_ASSERT (count > 0);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("golden", NULL, NULL);
  CU_add_test (suite, "sessions", test_golden);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
