#include "common/log.h"

#include "common/escape.h"

#include <ctype.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define FIELDS_BYTES 1024

/* Longest log line. It must be below PIPE_BUF: a pipe then accepts a line completely or not at
 * all. */
#define LINE_MAX_BYTES 2048
#define NAME_BYTES 64

struct event_info
{
  enum ash_event event;
  enum ash_log_level level;
  const char *name;
};

#define EVENT_ROW(number, level, name, text) { ASH_EV_##name, ASH_LOG_##level, #name },
static const struct event_info events[] = { ASH_EVENT_LIST (EVENT_ROW) };
#undef EVENT_ROW

static const char *const level_names[] = { "debug", "info", "warn", "error" };

static const struct event_info *
find_event (enum ash_event event)
{
  for (size_t i = 0; i < sizeof events / sizeof events[0]; i++)
    if (events[i].event == event)
      return &events[i];
  return NULL;
}

static void
to_lower_case (char *out, size_t out_bytes, const char *name)
{
  size_t i;

  for (i = 0; name[i] && i + 1 < out_bytes; i++)
    out[i] = (char) tolower ((unsigned char) name[i]);
  out[i] = '\0';
}

static void
format_now (char *out, size_t out_bytes)
{
  struct timespec ts;
  struct tm tm;
  char seconds[32];

  clock_gettime (CLOCK_REALTIME, &ts);
  gmtime_r (&ts.tv_sec, &tm);
  strftime (seconds, sizeof seconds, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (out, out_bytes, "%s.%03ldZ", seconds, ts.tv_nsec / 1000000 % 1000);
}

/* Splits the next `key=value` off *fields, in place; the value may be quoted. */
static bool
next_field (char **fields, char **key, char **value)
{
  char *p = *fields + strspn (*fields, " ");
  char *equals = strchr (p, '=');

  if (!equals)
    return false;
  *equals = '\0';
  *key = p;
  *value = equals + 1;
  if (**value == '"')
    {
      (*value)++;
      p = strchr (*value, '"');
    }
  else
    p = strchr (*value, ' ');
  if (p)
    *p++ = '\0';
  *fields = p ? p : *value + strlen (*value);
  return true;
}

static char *
to_json (const struct ash_log *log,
         const struct event_info *info,
         const char *now,
         const char *name,
         char *fields)
{
  json_t *line = json_pack ("{s:s, s:s, s:i, s:s, s:s, s:s}", "time", now, "level",
                            level_names[info->level], "event", (int) info->event, "name", name,
                            "box", log->sink->box, "module", log->module);
  char *text;
  char *key;
  char *value;

  while (line && next_field (&fields, &key, &value))
    json_object_set_new (line, key, json_string (value));
  text = line ? json_dumps (line, JSON_COMPACT) : NULL;
  json_decref (line);
  return text;
}

static void
format_line (const struct ash_log *log, const struct event_info *info, char *fields, char *line)
{
  char name[NAME_BYTES];
  char now[64];
  char *json;

  format_now (now, sizeof now);
  to_lower_case (name, sizeof name, info->name);
  if (!log->sink->json)
    {
      snprintf (line, LINE_MAX_BYTES, "%s %s %d %s box=%s module=%s %s\n", now,
                level_names[info->level], (int) info->event, name, log->sink->box, log->module,
                fields);
      return;
    }
  json = to_json (log, info, now, name, fields);
  snprintf (line, LINE_MAX_BYTES, "%s\n", json ? json : "");
  free (json);
}

/* ---- rate limit ---- */

void
ash_log_bound_init (struct ash_log_bound *bound, FILE *out, uint32_t lines_per_s)
{
  int fd = fileno (out);

  *bound = (struct ash_log_bound){ .lines_per_s = lines_per_s };
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
}

/* @return whether the whole line was written; false if the reader of a pipe does not keep up. */
static bool
write_line (const struct ash_log_sink *sink, const char *line)
{
  size_t length = strlen (line);

  return write (fileno (sink->out), line, length) == (ssize_t) length;
}

static void
report_dropped (const struct ash_log *log)
{
  const struct event_info *info = find_event (ASH_EV_LOG_LEFT_OUT);
  struct ash_log_bound *bound = log->sink->bound;
  char fields[128];
  char line[LINE_MAX_BYTES];

  snprintf (fields, sizeof fields, "lines=%llu total=%llu", (unsigned long long) bound->dropped,
            (unsigned long long) bound->dropped_total);
  format_line (log, info, fields, line);
  if (write_line (log->sink, line))
    bound->dropped = 0;
}

/* Counts a line against the limit of the current second and reports lines that were dropped in
 * earlier ones. @return whether the line may be written. */
static bool
is_within_limit (const struct ash_log *log, enum ash_log_level level)
{
  struct ash_log_bound *bound = log->sink->bound;
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  if (ts.tv_sec != bound->second)
    {
      bound->second = ts.tv_sec;
      bound->lines = 0;
      if (bound->dropped)
        report_dropped (log);
    }
  if (level >= ASH_LOG_WARN || !bound->lines_per_s)
    return true;
  return bound->lines++ < bound->lines_per_s;
}

static void
count_dropped (struct ash_log_bound *bound)
{
  bound->dropped++;
  bound->dropped_total++;
}

void
ash_log_event (const struct ash_log *log, enum ash_event event, const char *format, ...)
{
  const struct event_info *info = find_event (event);
  const struct ash_log_sink *sink = log->sink;
  char fields[FIELDS_BYTES];
  char line[LINE_MAX_BYTES];
  va_list args;

  if (!sink || !info || info->level < sink->level)
    return;
  if (sink->bound && !is_within_limit (log, info->level))
    {
      count_dropped (sink->bound);
      return;
    }
  va_start (args, format);
  ash_escape_vformat (fields, sizeof fields, ASH_ESCAPE_LOG, format, args);
  va_end (args);
  format_line (log, info, fields, line);
  if (!sink->bound)
    {
      fputs (line, sink->out);
      fflush (sink->out);
    }
  else if (!write_line (sink, line))
    count_dropped (sink->bound);
}
