#include "cli/trace.h"

#include "common/events.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define FIELD_BYTES 160

void
ash_trace_init (struct ash_trace *trace, const char *id)
{
  *trace = (struct ash_trace){ .id = id };
}

void
ash_trace_finish (struct ash_trace *trace)
{
  for (uint32_t i = 0; i < trace->count; i++)
    free (trace->lines[i].text);
  free (trace->lines);
}

/* ---- fields ---- */

/* Copies the value of a field of a line in text format; the value may be quoted. Without such a
 * field @p value stays unchanged. */
static void
text_field (const char *line, const char *key, char *value)
{
  char wanted[FIELD_BYTES];
  const char *start;
  size_t length;

  snprintf (wanted, sizeof wanted, " %s=", key);
  start = strstr (line, wanted);
  if (!start)
    return;
  start += strlen (wanted);
  if (*start == '"')
    length = strcspn (++start, "\"\n");
  else
    length = strcspn (start, " \n");
  snprintf (value, FIELD_BYTES, "%.*s", (int) length, start);
}

static void
json_field (const char *line, const char *key, char *value)
{
  json_t *root = json_loads (line, 0, NULL);
  const json_t *found = json_object_get (root, key);

  if (json_is_string (found))
    snprintf (value, FIELD_BYTES, "%s", json_string_value (found));
  else if (json_is_integer (found))
    snprintf (value, FIELD_BYTES, "%lld", (long long) json_integer_value (found));
  json_decref (root);
}

/* @return the value of a field of a line in text or JSON format; empty if the field is missing. */
static const char *
field (const char *line, const char *key, char value[FIELD_BYTES])
{
  *value = '\0';
  if (*line == '{')
    json_field (line, key, value);
  else
    text_field (line, key, value);
  return value;
}

static int
line_event (const char *line)
{
  char value[FIELD_BYTES];
  int event = 0;

  if (*line == '{')
    return atoi (field (line, "event", value));
  return sscanf (line, "%*s %*s %d", &event) == 1 ? event : 0;
}

static void
line_time (const char *line, char *time, size_t time_bytes)
{
  char value[FIELD_BYTES];

  if (*line == '{')
    snprintf (time, time_bytes, "%s", field (line, "time", value));
  else
    snprintf (time, time_bytes, "%.*s", (int) strcspn (line, " \n"), line);
}

/* ---- reading ---- */

static bool
add_line (struct ash_trace *trace, const char *text)
{
  struct ash_trace_line *line;

  if (trace->count == trace->capacity)
    {
      uint32_t capacity = trace->capacity ? 2 * trace->capacity : 16;
      struct ash_trace_line *grown = realloc (trace->lines, capacity * sizeof *grown);

      if (!grown)
        return false;
      trace->lines = grown;
      trace->capacity = capacity;
    }
  line = &trace->lines[trace->count];
  *line = (struct ash_trace_line){ .text = strdup (text), .event = line_event (text) };
  line_time (text, line->time, sizeof line->time);
  trace->count += line->text != NULL;
  return line->text != NULL;
}

bool
ash_trace_read (struct ash_trace *trace, FILE *log)
{
  char value[FIELD_BYTES];
  char *text = NULL;
  size_t capacity = 0;
  bool ok = true;

  while (ok && getline (&text, &capacity, log) > 0)
    {
      trace->read++;
      if (line_event (text) == ASH_EV_LOG_LEFT_OUT)
        trace->dropped_lines += strtoull (field (text, "lines", value), NULL, 10);
      /* strstr() is a fast filter; the comparison of the field is exact. */
      if (strstr (text, trace->id) && strcmp (field (text, "id", value), trace->id) == 0)
        ok = add_line (trace, text);
    }
  free (text);
  return ok;
}

/* ---- explaining ---- */

static int
compare_lines (const void *a, const void *b)
{
  const struct ash_trace_line *first = a;
  const struct ash_trace_line *second = b;
  int order = strcmp (first->time, second->time);

  return order ? order : (first->event > second->event) - (first->event < second->event);
}

static bool
is_final (int event)
{
  return event == ASH_EV_FORWARD_SERVED || event == ASH_EV_FORWARD_REFUSED ||
         event == ASH_EV_FORWARD_FAILED || event == ASH_EV_FORWARD_GONE ||
         event == ASH_EV_FORWARD_DENIED || event == ASH_EV_REQUEST_ENDED;
}

static const char *
describe_reason (const char *reason)
{
  static const struct
  {
    const char *reason;
    const char *meaning;
  } meanings[] = {
    { "no_endpoint", "no endpoint of the service was available: see earlier events 206 to 209" },
    { "no_room", "each endpoint had its maximum number of requests, even after a short wait" },
    { "held_back",
      "each endpoint with room had reached the rate limit that it announced, or had asked this "
      "router to send none for a while: see events 215 and 216" },
    { "turned_away", "each endpoint that got the request rejected it because it had no room" },
    { "failed", "the endpoint ended its answer early, or the answer was invalid" },
    { "timeout", "the timeout of the caller or of the route expired" },
    { "leaving", "the router was stopping, with too little time left for the request" },
    { "quarantined",
      "endpoints ended earlier while they ran it, or as they began to answer prompts with the same "
      "part, so it is not sent to others: see event 413, or 418 if part= is not 0" },
    { "no_budget", "sending it again would have exceeded the fleet's limit of resends" },
  };

  for (size_t i = 0; i < sizeof meanings / sizeof meanings[0]; i++)
    if (strcmp (meanings[i].reason, reason) == 0)
      return meanings[i].meaning;
  return reason;
}

/* @return the endpoint in the last line before index @p before that names one. */
static const char *
last_endpoint (const struct ash_trace *trace, uint32_t before, char value[FIELD_BYTES])
{
  for (uint32_t i = before; i-- > 0;)
    if (*field (trace->lines[i].text, "endpoint", value))
      return value;
  return "an endpoint that is not in these logs";
}

static void
explain_refusal (const char *line, char *text, size_t text_bytes)
{
  char reason[FIELD_BYTES];
  char wait[FIELD_BYTES];
  char age[FIELD_BYTES];

  snprintf (text, text_bytes,
            "Refused after %s ms: %s. It did not run; the caller was asked to retry in %s ms.",
            field (line, "age_ms", age), describe_reason (field (line, "reason", reason)),
            field (line, "retry_after_ms", wait));
}

static void
explain_failure (const struct ash_trace *trace, uint32_t i, char *text, size_t text_bytes)
{
  const char *line = trace->lines[i].text;
  char reason[FIELD_BYTES];
  char age[FIELD_BYTES];
  char endpoint[FIELD_BYTES];
  char unsure[FIELD_BYTES];
  bool may_have_run = atoi (field (line, "unsure", unsure)) > 0;

  snprintf (text, text_bytes, "Failed after %s ms: %s. It was last at %s and %s.",
            field (line, "age_ms", age), describe_reason (field (line, "reason", reason)),
            last_endpoint (trace, i, endpoint), may_have_run ? "may have run" : "did not run");
}

static void
explain_end (const struct ash_trace *trace, uint32_t i, char *text, size_t text_bytes)
{
  const char *line = trace->lines[i].text;
  char a[FIELD_BYTES];
  char b[FIELD_BYTES];
  char c[FIELD_BYTES];

  switch (trace->lines[i].event)
    {
    case ASH_EV_FORWARD_SERVED:
      snprintf (text, text_bytes, "Answered with %s by %s, %s ms after it arrived.",
                field (line, "status", a), last_endpoint (trace, i, b), field (line, "age_ms", c));
      break;
    case ASH_EV_FORWARD_REFUSED:
      explain_refusal (line, text, text_bytes);
      break;
    case ASH_EV_FORWARD_FAILED:
      explain_failure (trace, i, text, text_bytes);
      break;
    case ASH_EV_FORWARD_GONE:
      snprintf (text, text_bytes,
                "The caller disconnected %s ms after the request arrived; it was last at %s.",
                field (line, "age_ms", a), last_endpoint (trace, i, b));
      break;
    case ASH_EV_FORWARD_DENIED:
      snprintf (text, text_bytes, "Denied with %s under configuration %s: %s.",
                field (line, "status", a), field (line, "version", b), field (line, "why", c));
      break;
    default:
      snprintf (text, text_bytes, "Ended with %s: %s.", field (line, "status", a),
                describe_reason (field (line, "reason", b)));
      break;
    }
}

void
ash_trace_explain (struct ash_trace *trace, char *text, size_t text_bytes)
{
  char endpoint[FIELD_BYTES];

  if (trace->count)
    qsort (trace->lines, trace->count, sizeof *trace->lines, compare_lines);
  for (uint32_t i = trace->count; i-- > 0;)
    if (is_final (trace->lines[i].event))
      {
        explain_end (trace, i, text, text_bytes);
        return;
      }
  if (!trace->count)
    snprintf (text, text_bytes,
              "None of the %llu lines is about this request; %llu lines were dropped.",
              (unsigned long long) trace->read, (unsigned long long) trace->dropped_lines);
  else
    snprintf (
        text, text_bytes,
        "No line shows how it ended: the process that handled it exited first, or the line was "
        "dropped (%llu were). It was last at %s and may have run.",
        (unsigned long long) trace->dropped_lines, last_endpoint (trace, trace->count, endpoint));
}
