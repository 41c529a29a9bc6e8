/**
 * @file
 * The log: numbered events with key=value fields, a line each. A line is written
 * whole or not at all, and a reader that stands still never holds the process up.
 */
#ifndef ASH_LOG_H
#define ASH_LOG_H

#include "common/events.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/** How much an event matters. */
enum ash_log_level
{
  ASH_LOG_DEBUG,
  ASH_LOG_INFO,
  ASH_LOG_WARN,
  ASH_LOG_ERROR,
};

/** Keeps the log's volume bounded. Warnings and errors do not count against it. */
struct ash_log_bound
{
  uint32_t lines_per_s; /**< lines a second at most; 0: no bound */
  int64_t second;       /**< that is being counted */
  uint32_t lines;       /**< written in it */
  uint64_t dropped;     /**< since that was last said */
  uint64_t dropped_total;
};

/** What all modules of a process share. */
struct ash_log_sink
{
  FILE *out;
  struct ash_log_bound *bound; /**< NULL: every line is written, and waited for */
  enum ash_log_level level;    /**< below it nothing is written */
  bool json;
  const char *box;
};

/** A module's handle. A handle without a sink writes nothing. */
struct ash_log
{
  const struct ash_log_sink *sink;
  const char *module;
};

/** Makes a sink that never waits: its file is set not to block. */
void ash_log_bound_init (struct ash_log_bound *bound, FILE *out, uint32_t lines_per_s);

/**
 * Writes an event. @p format gives fields as `key=value`, separated by blanks;
 * a value with blanks stands in double quotes.
 */
void ash_log_event (const struct ash_log *log, enum ash_event event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** @return the event's name in lower case, or NULL for an unknown number. */
const char *ash_event_name (enum ash_event event);

#endif
