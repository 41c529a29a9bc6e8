/**
 * @file
 * Declarative tables of options: key, type, offset in a struct, range, default, unit and help
 * text. All errors of a file are reported at once, including unknown keys.
 */
#ifndef ASH_OPTION_H
#define ASH_OPTION_H

#include "options/node.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes of a text setting, including the terminating zero. */
#define ASH_OPTION_TEXT_BYTES 128

/** Bytes of a name in a published document, including the terminating zero. */
#define ASH_NAME_BYTES 40

/** Type of an option, and of the struct member that it is stored in. */
enum ash_option_type
{
  ASH_OPTION_TEXT, /**< a string, stored as char[max] */
  ASH_OPTION_HEX,  /**< hex digits, stored as uint8_t[max] */
  ASH_OPTION_UINT, /**< an integer in [min, max], stored as uint32_t */
  ASH_OPTION_BOOL,
  ASH_OPTION_CHOICE,  /**< one of `choices`, stored as its index (int) */
  ASH_OPTION_NUMBER,  /**< a number in [min, max], stored as double */
  ASH_OPTION_SECONDS, /**< uint32_t in milliseconds; the file, min and max have seconds with
                         decimals */
};

struct ash_option
{
  const char *key; /**< NULL in the last row of a table */
  enum ash_option_type type;
  size_t offset;             /**< offset of the member in the target struct */
  const char *default_value; /**< default value as text; NULL: the key is required */
  double min;
  double max;
  const char *const *choices; /**< terminated by NULL */
  const char *unit;
  const char *help;
};

/**
 * Sets the members of @p target from @p table, and those of missing keys to their defaults.
 * Several option tables can be read from the same table of a file; unknown keys are therefore
 * reported by ash_node_report_unused(), to be called after the last of them.
 * @param key_path path of @p table, for findings; empty for the top level.
 */
void ash_options_read (const struct ash_option *options,
                       struct ash_node *table,
                       const char *key_path,
                       void *target,
                       struct ash_findings *findings);

/** Prints for each option a line with key, range, unit and default, and a line of help text. */
void ash_options_print_help (const struct ash_option *options, FILE *out);

#endif
