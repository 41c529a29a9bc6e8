/**
 * @file
 * ashspindled: one box's process, as entry or as endpoint.
 */
#include "daemon/daemon.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_BAD_SETTINGS 2
#define KEY_CHECK 1
#define KEY_HELP_SETTINGS 2

const char *argp_program_version = "ashspindled " ASH_VERSION;

struct arguments
{
  const char *file;
  bool check;
  bool help_settings;
};

static const struct argp_option argp_options[] = {
  { "check-config", KEY_CHECK, "FILE", 0, "check settings, print all findings, exit 2 if any", 0 },
  { "help-settings", KEY_HELP_SETTINGS, NULL, 0, "print all settings and exit", 0 },
  { 0 },
};

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
      if (!arguments->file && !arguments->help_settings)
        argp_error (state, "no settings file");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    argp_options, parse, "SETTINGS.toml", "The daemon of ashspindle, a load balancer.", NULL,
    NULL,         NULL
  };
  struct arguments arguments = { 0 };
  struct ash_settings settings;
  struct ash_findings findings;
  uint32_t count;

  argp_err_exit_status = EXIT_BAD_SETTINGS;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  if (arguments.help_settings)
    {
      ash_options_print_help (ash_settings_options, stdout);
      return EXIT_SUCCESS;
    }
  ash_findings_init (&findings, arguments.file);
  ash_settings_read_file (&settings, arguments.file, &findings);
  ash_findings_print (&findings, stderr);
  count = findings.count;
  ash_findings_finish (&findings);
  if (count)
    {
      fprintf (stderr, "%s: %u finding%s\n", arguments.file, count, count == 1 ? "" : "s");
      return EXIT_BAD_SETTINGS;
    }
  if (arguments.check)
    {
      printf ("%s: ok\n", arguments.file);
      return EXIT_SUCCESS;
    }
  if (settings.role == ASH_SETTINGS_ENTRY)
    return ash_run_entry (&settings) ? EXIT_SUCCESS : EXIT_FAILURE;
  return ash_run_endpoint (&settings) ? EXIT_SUCCESS : EXIT_FAILURE;
}
