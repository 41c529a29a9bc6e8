/**
 * @file
 * Formats lines of the log and labels of metrics. Texts that come from outside (names of entries,
 * callers' fields, answers) are inserted with `%s`, and are escaped there: they can't end a value
 * or a line, begin another one, or send control sequences to a terminal.
 */
#ifndef ASH_ESCAPE_H
#define ASH_ESCAPE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>

/** What the formatted text is. */
enum ash_escape
{
  ASH_ESCAPE_LOG,   /**< `key=value`, or `key="value"`; a byte is escaped as `\xNN` */
  ASH_ESCAPE_LABEL, /**< `name="value"` in the Prometheus text format */
};

/** Longest escaped text that `%s` inserts, in bytes; a longer one is cut off and ends in `...`. */
#define ASH_ESCAPE_LOG_MAX_BYTES 400
#define ASH_ESCAPE_LABEL_MAX_BYTES 66

/**
 * Formats like vsnprintf() and escapes what `%s` inserts: all bytes but visible ASCII characters,
 * and the characters that end a value. Between double quotes in the format, blanks stay.
 * Conversions: `%s`, integers, `%f` and the like; no `*`, `%c`, `%p` and `%n`.
 */
void ash_escape_vformat (char *out,
                         size_t out_bytes,
                         enum ash_escape escape,
                         const char *format,
                         va_list args) __attribute__ ((format (printf, 4, 0)));

#endif
