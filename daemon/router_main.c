/**
 * @file
 * ashspindle-router: the program of an entry box that sends requests straight to
 * endpoints.
 */
#include "daemon/router.h"

#include <argp.h>
#include <stdlib.h>

#define EXIT_BAD_SETTINGS 2
#define KEY_CHECK 1
#define KEY_HELP_SETTINGS 2

/* Where the settings lie if no file is named. */
#define SETTINGS_VARIABLE "ASHSPINDLE_CONFIG"

const char *argp_program_version = "ashspindle-router " ASH_VERSION;

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
      if (!arguments->file)
        arguments->file = getenv (SETTINGS_VARIABLE);
      if (!arguments->file && !arguments->help_settings)
        argp_error (state, "no settings file, and " SETTINGS_VARIABLE " names none");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp = { argp_options,
                                    parse,
                                    "[SETTINGS.toml]",
                                    "An entry of ashspindle that reaches endpoints directly.",
                                    NULL,
                                    NULL,
                                    NULL };
  static struct ash_router router;
  struct arguments arguments = { 0 };
  struct ash_findings findings;
  uint32_t count;

  argp_err_exit_status = EXIT_BAD_SETTINGS;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  if (arguments.help_settings)
    {
      ash_options_print_help (ash_router_options, stdout);
      return EXIT_SUCCESS;
    }
  ash_findings_init (&findings, arguments.file);
  ash_router_settings_read_file (&router.settings, arguments.file, &findings);
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
  return ash_router_run (&router, arguments.file) ? EXIT_SUCCESS : EXIT_FAILURE;
}
