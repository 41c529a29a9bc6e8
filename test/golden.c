/**
 * @file
 * Replays golden files. Each is a text file with one session of a core: its events, one a line,
 * with their times. The transcript of the replay must equal the file.
 *
 * `core entry|agent|rank BOX SEED`, `set KEY VALUE` and `config REVISION FILE` come
 * before or between `TIME < message` lines; `TIME > message` lines are the expected
 * output. GOLDEN_UPDATE=1 rewrites the files; review the changes before committing them.
 */
#include "test/session.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <dirent.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES 8192
#define DOCUMENT_BYTES 65536

struct replay
{
  const char *folder;
  struct session session;
  bool started;
  FILE *out;
  const char *error;
};

static void
replay_core (struct replay *replay, const char *line)
{
  char role[16];
  char box[ASH_NAME_BYTES];

  if (sscanf (line, "core %15s %39s", role, box) != 2)
    {
      replay->error = "core entry|agent|rank BOX SEED";
      return;
    }
  if (strcmp (role, "entry") == 0)
    replay->session.core = SESSION_ENTRY;
  else
    replay->session.core = strcmp (role, "rank") == 0 ? SESSION_RANK : SESSION_AGENT;
  session_settings (&replay->session.settings, box, strcmp (role, "entry") == 0);
}

static void
replay_set (struct replay *replay, const char *line)
{
  char key[64];
  unsigned value;

  replay->error = "no such setting";
  if (sscanf (line, "set %63s %u", key, &value) != 2)
    return;
  for (const struct ash_option *option = ash_settings_options; option->key; option++)
    if (strcmp (option->key, key) == 0 && option->type == ASH_OPTION_UINT)
      {
        *(uint32_t *) (void *) ((char *) &replay->session.settings + option->offset) = value;
        replay->error = NULL;
      }
}

static void
replay_config (struct replay *replay, const char *line)
{
  unsigned revision;
  char name[64];
  char path[512];
  static char text[DOCUMENT_BYTES];
  size_t length;
  FILE *file;

  replay->error = "config REVISION FILE";
  if (sscanf (line, "config %u %63s", &revision, name) != 2)
    return;
  snprintf (path, sizeof path, "%s/%s", replay->folder, name);
  file = fopen (path, "rb");
  if (!file)
    return;
  length = fread (text, 1, sizeof text, file);
  fclose (file);
  replay->error = NULL;
  if (session_offer_config (&replay->session, replay->session.now, revision, text, length) !=
      ASH_CONFIG_ACCEPTED)
    fprintf (replay->out, "# not accepted\n");
}

static void
replay_message (struct replay *replay, char *line)
{
  struct Ash__Event *event;
  char *text;
  long long ms = strtoll (line, &text, 10);

  if (text == line || strncmp (text, " < ", 3) != 0)
    {
      replay->error = "expected TIME < message";
      return;
    }
  event = ash_event_parse (text + 3, &replay->error);
  if (!event)
    return;
  session_deliver (&replay->session, (struct ash_time){ ms }, event);
  ash__event__free_unpacked (event, NULL);
}

static void
replay_line (struct replay *replay, char *line, uint64_t *seed)
{
  const char *word = strrchr (line, ' ');

  line[strcspn (line, "\n")] = '\0';
  /* Expected output is skipped: the replay writes the actual output into the transcript. */
  if (strstr (line, " > ") && line[0] != '#' && strspn (line, "0123456789") > 0 &&
      strncmp (line + strspn (line, "0123456789"), " > ", 3) == 0)
    return;
  if (strncmp (line, "core ", 5) == 0)
    {
      replay_core (replay, line);
      *seed = word ? strtoull (word, NULL, 10) : 1;
    }
  else if (strncmp (line, "set ", 4) == 0)
    replay_set (replay, line);
  else if (*line && *line != '#' && !replay->started)
    {
      session_init (&replay->session, *seed, (struct ash_time){ 0 });
      replay->session.transcript = replay->out;
      replay->started = true;
    }
  if (strncmp (line, "config ", 7) == 0)
    {
      fprintf (replay->out, "%s\n", line);
      replay_config (replay, line);
    }
  else if (*line >= '0' && *line <= '9')
    replay_message (replay, line);
  else
    fprintf (replay->out, "%s\n", line);
}

/* @return the transcript of replaying the file, which the caller frees, or NULL if it can't be
 * opened. */
static char *
replay_file (const char *folder, const char *path)
{
  struct replay replay = { .folder = folder };
  char *actual = NULL;
  size_t actual_bytes = 0;
  static char line[LINE_BYTES];
  FILE *file = fopen (path, "rb");
  uint64_t seed = 1;
  unsigned number = 0;

  if (!file)
    return NULL;
  replay.out = open_memstream (&actual, &actual_bytes);
  while (!replay.error && fgets (line, sizeof line, file))
    {
      number++;
      replay_line (&replay, line, &seed);
    }
  if (replay.error)
    fprintf (stderr, "%s:%u: %s\n", path, number, replay.error);
  if (replay.started)
    session_finish (&replay.session);
  fclose (replay.out);
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
  actual = replay_file (folder, path);
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
