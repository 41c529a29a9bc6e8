/**
 * @file
 * One request in the logs of several processes: its lines in the order of their time,
 * and in a sentence why it ended as it did.
 */
#ifndef ASH_TRACE_H
#define ASH_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** A line of the log that tells of the request. */
struct ash_trace_line
{
  char *text;
  char time[40]; /**< as written; these sort as text */
  int event;     /**< its number */
};

/** All that is known of one request. */
struct ash_trace
{
  const char *id;
  struct ash_trace_line *lines;
  uint32_t count;
  uint32_t capacity;
  uint64_t read;          /**< lines of any request */
  uint64_t dropped_lines; /**< that the logs say they lack */
};

/** @param id of the request; must last. */
void ash_trace_init (struct ash_trace *trace, const char *id);

void ash_trace_finish (struct ash_trace *trace);

/** Takes the request's lines from a log, of either form. @return false without memory. */
bool ash_trace_read (struct ash_trace *trace, FILE *log);

/** Puts the lines in order and says how the request ended. */
void ash_trace_explain (struct ash_trace *trace, char *text, size_t text_bytes);

#endif
