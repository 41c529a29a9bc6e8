/**
 * @file
 * The log: numbered events with key=value fields, a line each on stderr.
 */
#ifndef ASH_LOG_H
#define ASH_LOG_H

#include "common/events.h"

#include <stdbool.h>
#include <stdio.h>

/** How much an event matters. */
enum ash_log_level
{
  ASH_LOG_DEBUG,
  ASH_LOG_INFO,
  ASH_LOG_WARN,
  ASH_LOG_ERROR,
};

/** What all modules of a process share. */
struct ash_log_sink
{
  FILE *out;
  enum ash_log_level level; /**< below it nothing is written */
  bool json;
  const char *box;
};

/** A module's handle. A handle without a sink writes nothing. */
struct ash_log
{
  const struct ash_log_sink *sink;
  const char *module;
};

/**
 * Writes an event. @p format gives fields as `key=value`, separated by blanks;
 * a value with blanks stands in double quotes.
 */
void ash_log_event (const struct ash_log *log, enum ash_event event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** @return the event's name in lower case, or NULL for an unknown number. */
const char *ash_event_name (enum ash_event event);

#endif
