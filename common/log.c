#include "common/log.h"

#include <ctype.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define LINE_BYTES 1024
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

const char *
ash_event_name (enum ash_event event)
{
  const struct event_info *info = find_event (event);

  return info ? info->name : NULL;
}

static void
lower_case (char *out, size_t out_bytes, const char *name)
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

/* Takes the next `key=value` off *fields; the value may stand in quotes. */
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

static void
write_json (const struct ash_log *log,
            const struct event_info *info,
            const char *now,
            const char *name,
            char *fields)
{
  json_t *line = json_pack ("{s:s, s:s, s:i, s:s, s:s, s:s}", "time", now, "level",
                            level_names[info->level], "event", (int) info->event, "name", name,
                            "box", log->sink->box, "module", log->module);
  char *key;
  char *value;

  while (line && next_field (&fields, &key, &value))
    json_object_set_new (line, key, json_string (value));
  if (line)
    json_dumpf (line, log->sink->out, JSON_COMPACT);
  fputc ('\n', log->sink->out);
  json_decref (line);
}

void
ash_log_event (const struct ash_log *log, enum ash_event event, const char *format, ...)
{
  const struct event_info *info = find_event (event);
  char fields[LINE_BYTES];
  char name[NAME_BYTES];
  char now[64];
  va_list args;

  if (!log->sink || !info || info->level < log->sink->level)
    return;
  va_start (args, format);
  vsnprintf (fields, sizeof fields, format, args);
  va_end (args);
  format_now (now, sizeof now);
  lower_case (name, sizeof name, info->name);
  if (log->sink->json)
    write_json (log, info, now, name, fields);
  else
    fprintf (log->sink->out, "%s %s %d %s box=%s module=%s %s\n", now, level_names[info->level],
             (int) event, name, log->sink->box, log->module, fields);
  fflush (log->sink->out);
}
