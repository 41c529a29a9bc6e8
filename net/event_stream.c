#include "net/event_stream.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

void
ash_event_stream_init (struct ash_event_stream *stream)
{
  *stream = (struct ash_event_stream){ 0 };
}

void
ash_event_stream_finish (struct ash_event_stream *stream)
{
  ash_buffer_finish (&stream->pending);
  stream->scanned = 0;
}

bool
ash_event_stream_feed (struct ash_event_stream *stream, const uint8_t *bytes, size_t length)
{
  return stream->pending.length + length <= ASH_EVENT_MAX_BYTES &&
         ash_buffer_append (&stream->pending, bytes, length);
}

/* @return the length of the first event including its blank line, or 0 if it is incomplete. Lines
 * end with LF or CR LF. */
static size_t
event_length (struct ash_event_stream *stream)
{
  const uint8_t *bytes = stream->pending.bytes + stream->pending.start;

  for (size_t i = stream->scanned; i < stream->pending.length; i++)
    {
      size_t before = i;

      if (bytes[i] != '\n')
        continue;
      if (before && bytes[before - 1] == '\r')
        before--;
      if (before && bytes[before - 1] == '\n')
        return i + 1;
    }
  stream->scanned = stream->pending.length;
  return 0;
}

static void
read_id (struct ash_stream_event *event)
{
  const uint8_t *line = event->bytes;
  const uint8_t *end = event->bytes + event->length;

  while (line < end)
    {
      const uint8_t *line_end = memchr (line, '\n', (size_t) (end - line));
      char number[24];
      size_t length;

      if (end - line > 3 && memcmp (line, "id:", 3) == 0 && line_end)
        {
          length = (size_t) (line_end - line) - 3;
          if (length >= sizeof number)
            return;
          memcpy (number, line + 3, length);
          number[length] = '\0';
          event->has_id = true;
          event->id = strtoll (number, NULL, 10);
          return;
        }
      line = line_end ? line_end + 1 : end;
    }
}

bool
ash_event_stream_next (struct ash_event_stream *stream, struct ash_stream_event *event)
{
  size_t length = event_length (stream);

  if (!length)
    return false;
  *event = (struct ash_stream_event){
    .bytes = stream->pending.bytes + stream->pending.start,
    .length = length,
  };
  read_id (event);
  return true;
}

void
ash_event_stream_drop (struct ash_event_stream *stream, const struct ash_stream_event *event)
{
  ash_buffer_consume (&stream->pending, event->length);
  stream->scanned = 0;
}

bool
ash_event_stream_is_empty (const struct ash_event_stream *stream)
{
  return stream->pending.length == 0;
}
