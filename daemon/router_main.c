/**
 * @file
 * ashspindle-router: the program of an entry box that sends callers' requests directly to
 * endpoints.
 */
#include "daemon/command_line.h"
#include "daemon/router.h"

#include <stdlib.h>

/* Environment variable that names the settings file if the command line doesn't. */
#define SETTINGS_VARIABLE "ASHSPINDLE_CONFIG"

const char *argp_program_version = "ashspindle-router " ASH_VERSION;

static void
read_settings (void *settings, const char *path, struct ash_findings *findings)
{
  ash_router_settings_read_file (settings, path, findings);
}

int
main (int argc, char **argv)
{
  static struct ash_router router;
  const struct ash_command_line line = {
    .arguments = "[SETTINGS.toml]",
    .purpose = "An entry of ashspindle that reaches endpoints directly.",
    .variable = SETTINGS_VARIABLE,
    .options = ash_router_options,
    .read = read_settings,
    .settings = &router.settings,
  };
  struct ash_command command = ash_command_line_read (&line, argc, argv);

  if (!command.run)
    return command.exit_status;
  return ash_router_run (&router, command.path) ? EXIT_SUCCESS : EXIT_FAILURE;
}
