/**
 * @file
 * The command line that the daemons share: a settings file, to be checked only or to
 * run by, and the list of all settings.
 */
#ifndef ASH_COMMAND_LINE_H
#define ASH_COMMAND_LINE_H

#include "options/option.h"

/** What a daemon brings to it. */
struct ash_command_line
{
  const char *arguments;            /**< as "SETTINGS.toml" */
  const char *purpose;              /**< one sentence */
  const char *variable;             /**< names the file if no argument does; NULL: none */
  const struct ash_option *options; /**< all settings */
  /** Reads the settings of a file. */
  void (*read) (void *settings, const char *path, struct ash_findings *findings);
  void *settings;
};

/** What is to be done after the command line was read. */
struct ash_command
{
  bool run;         /**< the settings have no finding: run by them */
  int exit_status;  /**< if not */
  const char *path; /**< of the settings file */
};

/** Reads the arguments and the settings; prints what was asked for, and all findings. */
struct ash_command
ash_command_line_read (const struct ash_command_line *line, int argc, char **argv);

#endif
