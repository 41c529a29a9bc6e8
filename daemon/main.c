/**
 * @file
 * ashspindled: the daemon of one box, in the role of an entry or an endpoint.
 */
#include "daemon/command_line.h"
#include "daemon/daemon.h"

#include <stdlib.h>

const char *argp_program_version = "ashspindled " ASH_VERSION;

static void
read_settings (void *settings, const char *path, struct ash_findings *findings)
{
  ash_settings_read_file (settings, path, findings);
}

int
main (int argc, char **argv)
{
  struct ash_settings settings;
  const struct ash_command_line line = {
    .arguments = "SETTINGS.toml",
    .purpose = "The daemon of ashspindle, a load balancer.",
    .options = ash_settings_options,
    .read = read_settings,
    .settings = &settings,
  };
  struct ash_command command = ash_command_line_read (&line, argc, argv);

  if (!command.run)
    return command.exit_status;
  if (settings.role == ASH_SETTINGS_ENTRY)
    return ash_run_entry (&settings) ? EXIT_SUCCESS : EXIT_FAILURE;
  return ash_run_endpoint (&settings) ? EXIT_SUCCESS : EXIT_FAILURE;
}
