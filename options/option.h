/**
 * @file
 * Options as one declarative table: key, type, key_path in a struct, range,
 * default, unit and help. Reading a table of the file against it gives all
 * findings at once, unknown keys included.
 */
#ifndef ASH_OPTION_H
#define ASH_OPTION_H

#include "options/node.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes of a text setting, the closing zero included. */
#define ASH_OPTION_TEXT_BYTES 128

/** Bytes of a name in a published document, the closing zero included. */
#define ASH_NAME_BYTES 40

/** How an option is stored. */
enum ash_option_type
{
  ASH_OPTION_TEXT,    /**< char[max] */
  ASH_OPTION_HEX,     /**< uint8_t[max], given as hex digits */
  ASH_OPTION_UINT,    /**< uint32_t in [min, max] */
  ASH_OPTION_BOOL,    /**< bool */
  ASH_OPTION_CHOICE,  /**< int: index into choices */
  ASH_OPTION_NUMBER,  /**< double in [min, max] */
  ASH_OPTION_SECONDS, /**< uint32_t of milliseconds; given, and bounded, in seconds and fractions */
};

/** One option. */
struct ash_option
{
  const char *key; /**< NULL ends a table */
  enum ash_option_type type;
  size_t offset;
  const char *default_value; /**< default as text; NULL: the key must be given */
  double min;
  double max;
  const char *const *choices; /**< ends with NULL */
  const char *unit;
  const char *help;
};

/**
 * Fills @p target from @p table, with defaults for what is missing.
 * @param key_path path of the table, for findings; empty for the file itself.
 * Keys that no option names are reported by ash_node_report_unused(), so that
 * several tables of options can read one table of the file.
 */
void ash_options_read (const struct ash_option *options,
                       struct ash_node *table,
                       const char *key_path,
                       void *target,
                       struct ash_findings *findings);

/** Prints key, unit, range, default and help, a line each. */
void ash_options_print_help (const struct ash_option *options, FILE *out);

#endif
