#include "daemon/command_line.h"

#include <argp.h>
#include <stdlib.h>

#define EXIT_BAD_SETTINGS 2
#define KEY_CHECK 1
#define KEY_HELP_SETTINGS 2

struct arguments
{
  const struct ash_command_line *line;
  const char *file;
  bool check;
  bool help_settings;
};

static const struct argp_option argp_options[] = {
  { "check-config", KEY_CHECK, "FILE", 0, "check settings, print all findings, exit 2 if any", 0 },
  { "help-settings", KEY_HELP_SETTINGS, NULL, 0, "print all settings and exit", 0 },
  { 0 },
};

static void
end_arguments (struct arguments *arguments, struct argp_state *state)
{
  const char *variable = arguments->line->variable;

  if (!arguments->file && variable)
    arguments->file = getenv (variable);
  if (arguments->file || arguments->help_settings)
    return;
  if (variable)
    argp_error (state, "no settings file, and %s names none", variable);
  else
    argp_error (state, "no settings file");
}

static error_t
parse (int key, char *argument, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case KEY_CHECK:
      arguments->check = true;
      arguments->file = argument;
      return 0;
    case KEY_HELP_SETTINGS:
      arguments->help_settings = true;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->file)
        argp_error (state, "more than one settings file");
      arguments->file = argument;
      return 0;
    case ARGP_KEY_END:
      end_arguments (arguments, state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Reads the settings and prints all findings. @return whether there are none. */
static bool
read_settings (const struct ash_command_line *line, const char *path)
{
  struct ash_findings findings;
  uint32_t count;

  ash_findings_init (&findings, path);
  line->read (line->settings, path, &findings);
  ash_findings_print (&findings, stderr);
  count = findings.count;
  ash_findings_finish (&findings);
  if (count)
    fprintf (stderr, "%s: %u finding%s\n", path, count, count == 1 ? "" : "s");
  return count == 0;
}

struct ash_command
ash_command_line_read (const struct ash_command_line *line, int argc, char **argv)
{
  const struct argp argp = {
    argp_options, parse, line->arguments, line->purpose, NULL, NULL, NULL
  };
  struct arguments arguments = { .line = line };
  struct ash_command command = { .exit_status = EXIT_SUCCESS };

  argp_err_exit_status = EXIT_BAD_SETTINGS;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  command.path = arguments.file;
  if (arguments.help_settings)
    ash_options_print_help (line->options, stdout);
  else if (!read_settings (line, arguments.file))
    command.exit_status = EXIT_BAD_SETTINGS;
  else if (arguments.check)
    printf ("%s: ok\n", arguments.file);
  else
    command.run = true;
  return command;
}
