#include "net/http_chunks.h"

#include "net/http_grammar.h"

#include <string.h>

/* Bounds of a line, and of all lines of a trailer. */
#define LINE_MAX_BYTES 4096
#define TRAILER_MAX_BYTES 16384

void
ash_http_chunks_init (struct ash_http_chunks *chunks)
{
  *chunks = (struct ash_http_chunks){ .state = ASH_CHUNKS_SIZE };
}

void
ash_http_chunks_finish (struct ash_http_chunks *chunks)
{
  ash_buffer_finish (&chunks->line);
}

/* Handles a complete line, without its line end. */
static void
handle_line (struct ash_http_chunks *chunks, const char *line, size_t length)
{
  bool ok = false;

  switch (chunks->state)
    {
    case ASH_CHUNKS_SIZE:
      ok = ash_http_chunk_size_read (line, length, &chunks->left_bytes);
      chunks->state = chunks->left_bytes ? ASH_CHUNKS_DATA : ASH_CHUNKS_TRAILER;
      break;
    case ASH_CHUNKS_DATA_END:
      ok = length == 0;
      chunks->state = ASH_CHUNKS_SIZE;
      break;
    case ASH_CHUNKS_TRAILER:
      ok = length == 0 || ash_http_is_field_line (line, length);
      if (length == 0)
        chunks->state = ASH_CHUNKS_DONE;
      break;
    case ASH_CHUNKS_DATA:
    case ASH_CHUNKS_DONE:
    case ASH_CHUNKS_MALFORMED:
      break;
    }
  if (!ok)
    chunks->state = ASH_CHUNKS_MALFORMED;
}

/* Adds a byte to the current line. @return false if the line is malformed or too long. */
static bool
add_to_line (struct ash_http_chunks *chunks, uint8_t byte)
{
  const struct ash_buffer *line = &chunks->line;
  bool after_cr = line->length && line->bytes[line->start + line->length - 1] == '\r';

  if (after_cr != (byte == '\n') || line->length == LINE_MAX_BYTES)
    return false;
  if (chunks->state == ASH_CHUNKS_TRAILER && ++chunks->trailer_bytes > TRAILER_MAX_BYTES)
    return false;
  return ash_buffer_append (&chunks->line, &byte, 1);
}

/* Reads up to the end of the current line. */
static size_t
feed_line (struct ash_http_chunks *chunks, const uint8_t *bytes, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      if (!add_to_line (chunks, bytes[i]))
        {
          chunks->state = ASH_CHUNKS_MALFORMED;
          return i + 1;
        }
      if (bytes[i] == '\n')
        {
          handle_line (chunks, (const char *) chunks->line.bytes + chunks->line.start,
                       chunks->line.length - strlen ("\r\n"));
          ash_buffer_consume (&chunks->line, chunks->line.length);
          return i + 1;
        }
    }
  return length;
}

size_t
ash_http_chunks_feed (struct ash_http_chunks *chunks,
                      const uint8_t *bytes,
                      size_t length,
                      struct ash_http_chunk_data *data)
{
  *data = (struct ash_http_chunk_data){ bytes, 0 };
  switch (chunks->state)
    {
    case ASH_CHUNKS_DATA:
      data->length = length < chunks->left_bytes ? length : (size_t) chunks->left_bytes;
      chunks->left_bytes -= data->length;
      if (!chunks->left_bytes)
        chunks->state = ASH_CHUNKS_DATA_END;
      return data->length;
    case ASH_CHUNKS_SIZE:
    case ASH_CHUNKS_DATA_END:
    case ASH_CHUNKS_TRAILER:
      return feed_line (chunks, bytes, length);
    case ASH_CHUNKS_DONE:
    case ASH_CHUNKS_MALFORMED:
      break;
    }
  return 0;
}
