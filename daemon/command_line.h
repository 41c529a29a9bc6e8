/**
 * @file
 * The command line that the daemons share: runs with a settings file, only checks it, or prints the
 * list of all settings.
 */
#ifndef ASH_COMMAND_LINE_H
#define ASH_COMMAND_LINE_H

#include "options/option.h"

/** A daemon's part of the command line. */
struct ash_command_line
{
  const char *arguments;            /**< for the usage text, as "SETTINGS.toml" */
  const char *purpose;              /**< one sentence for the help text */
  const char *variable;             /**< environment variable with the file's path; NULL: none */
  const struct ash_option *options; /**< all settings, for --help-settings */
  /** Reads a settings file into @p settings and adds its faults to @p findings. */
  void (*read) (void *settings, const char *path, struct ash_findings *findings);
  void *settings; /**< argument of read */
};

/** Result of reading the command line. */
struct ash_command
{
  bool run;         /**< the settings are valid, and the daemon is to run */
  int exit_status;  /**< status to exit with if run is false */
  const char *path; /**< path of the settings file */
};

/** Parses the arguments and reads the settings. Prints the requested output and all findings; exits
 * on bad arguments. */
struct ash_command
ash_command_line_read (const struct ash_command_line *line, int argc, char **argv);

#endif
