/**
 * @file
 * Collects the log lines of one request from the logs of several processes, sorts them by time,
 * and describes in a sentence how the request ended and why.
 */
#ifndef ASH_TRACE_H
#define ASH_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** A log line of the request. */
struct ash_trace_line
{
  char *text;
  char time[40]; /**< time in the line's text format, in which strings sort by time */
  int event;     /**< number of the log event */
};

/** The log lines of one request. */
struct ash_trace
{
  const char *id;
  struct ash_trace_line *lines;
  uint32_t count;
  uint32_t capacity;
  uint64_t read; /**< number of lines read, also those about other requests */
  uint64_t
      dropped_lines; /**< dropped when the logs were written, according to log_left_out events */
};

/** @param id the request's id; must outlive @p trace. */
void ash_trace_init (struct ash_trace *trace, const char *id);

void ash_trace_finish (struct ash_trace *trace);

/** Adds the request's lines from a log in text or JSON format. @return false if out of memory. */
bool ash_trace_read (struct ash_trace *trace, FILE *log);

/** Sorts the lines by time and describes how the request ended. */
void ash_trace_explain (struct ash_trace *trace, char *text, size_t text_bytes);

#endif
