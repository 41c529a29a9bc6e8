/**
 * @file
 * Logging of numbered events with key=value fields, one per line. With a struct ash_log_bound a
 * line is written completely or dropped, and the process never blocks on a reader of the log that
 * does not keep up.
 */
#ifndef ASH_LOG_H
#define ASH_LOG_H

#include "common/events.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

enum ash_log_level
{
  ASH_LOG_DEBUG,
  ASH_LOG_INFO,
  ASH_LOG_WARN,
  ASH_LOG_ERROR,
};

/** Rate limit of a log. Warnings and errors are exempt. */
struct ash_log_bound
{
  uint32_t lines_per_s; /**< maximum lines per second; 0: no limit */
  int64_t second;       /**< current second of CLOCK_MONOTONIC */
  uint32_t lines;       /**< lines of the current second, including those above the limit */
  uint64_t dropped;     /**< lines dropped since the last log_left_out event */
  uint64_t dropped_total;
};

/** Output of the log, shared by all modules of a process. */
struct ash_log_sink
{
  FILE *out;
  struct ash_log_bound *bound; /**< NULL: no limit, and writes may block */
  enum ash_log_level level;    /**< events below this level are not written */
  bool json;
  const char *box;
};

/** Log handle of a module. Without a sink nothing is written. */
struct ash_log
{
  const struct ash_log_sink *sink;
  const char *module;
};

/** Initializes a rate limit for @p out and sets the descriptor of @p out to O_NONBLOCK. */
void ash_log_bound_init (struct ash_log_bound *bound, FILE *out, uint32_t lines_per_s);

/**
 * Writes an event. @p format produces the fields as `key=value`, separated by blanks; a value
 * that may contain blanks must be in double quotes. Texts are inserted with `%s`, which escapes
 * them (common/escape.h).
 */
void ash_log_event (const struct ash_log *log, enum ash_event event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
