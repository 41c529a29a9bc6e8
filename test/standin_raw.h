/**
 * @file
 * Answers of stand-ins that an HTTP library would not write: bytes that a test gives, in a text in
 * which \r, \n and \xHH stand for bytes, \h for header fields of the stand-in, and \* marks the
 * start of what may be repeated without end. All in one header, as a stand-in is compiled from a
 * single file.
 */
#ifndef ASH_STANDIN_RAW_H
#define ASH_STANDIN_RAW_H

#include "net/http_conn.h"

#include <stdlib.h>
#include <string.h>

/** Bytes that are repeated as fast as the caller reads them are queued up to this many ahead. */
#define STANDIN_RAW_QUEUE_BYTES (256 * 1024)

/* Appends the byte that follows \x, given by two hexadecimal digits. */
static inline void
standin_raw_append_hex (struct ash_buffer *out, const char *digits)
{
  char text[3] = { digits[0], digits[1], '\0' };
  uint8_t byte = (uint8_t) strtoul (text, NULL, 16);

  ash_buffer_append (out, &byte, 1);
}

/* Replaces the escapes. @return the offset of what follows \*; 0 if there is none. */
static inline size_t
standin_raw_read (const char *text, const char *fields, struct ash_buffer *out)
{
  size_t repeated = 0;

  for (const char *at = text; *at; at++)
    {
      if (*at != '\\')
        {
          ash_buffer_append (out, at, 1);
          continue;
        }
      switch (*++at)
        {
        case 'r':
          ash_buffer_append (out, "\r", 1);
          break;
        case 'n':
          ash_buffer_append (out, "\n", 1);
          break;
        case 'x':
          standin_raw_append_hex (out, at + 1);
          at += 2;
          break;
        case 'h':
          ash_buffer_append (out, fields, strlen (fields));
          break;
        case '*':
          repeated = out->length;
          break;
        default:
          abort ();
        }
    }
  return repeated;
}

/** Sends the bytes. @param fields what \h stands for. */
static inline void
standin_raw_send (struct ash_http_conn *conn, const char *text, const char *fields)
{
  struct ash_buffer bytes = { 0 };

  standin_raw_read (text, fields, &bytes);
  ash_stream_write (&conn->stream, bytes.bytes + bytes.start, bytes.length);
  ash_buffer_finish (&bytes);
}

/** Closes or resets the connection, on which no request is served any more. */
static inline void
standin_raw_end (struct ash_http_conn *conn, bool reset)
{
  conn->request = NULL;
  if (reset)
    ash_stream_reset (&conn->stream);
  else
    ash_stream_finish (&conn->stream);
  conn->is_closed = true;
}

/** Queues what follows \* again, as often as it takes to have @p queue_bytes queued. */
static inline void
standin_raw_repeat (struct ash_http_conn *conn, const char *text, size_t queue_bytes)
{
  struct ash_buffer bytes = { 0 };
  size_t repeated = standin_raw_read (text, "", &bytes);

  while (repeated < bytes.length && !conn->is_closed && !conn->stream.write_failed &&
         conn->stream.out.length < queue_bytes)
    ash_stream_queue (&conn->stream, bytes.bytes + bytes.start + repeated, bytes.length - repeated);
  ash_stream_write (&conn->stream, "", 0);
  ash_buffer_finish (&bytes);
}

#endif
