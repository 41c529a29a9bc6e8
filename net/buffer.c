#include "net/buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Initial capacity: holds an HTTP message head or a few events of a stream. */
#define BUFFER_FIRST_BYTES 1024

/* Capacity that an empty buffer may keep. A larger one is freed, so that memory for one large
 * message is not held on an idle connection. */
#define BUFFER_IDLE_MAX_BYTES 4096

void
ash_buffer_finish (struct ash_buffer *buffer)
{
  free (buffer->bytes);
  *buffer = (struct ash_buffer){ 0 };
}

uint8_t *
ash_buffer_reserve (struct ash_buffer *buffer, size_t room)
{
  size_t capacity = buffer->capacity ? buffer->capacity : BUFFER_FIRST_BYTES;
  uint8_t *grown;

  if (buffer->start && buffer->start + buffer->length + room > buffer->capacity)
    {
      memmove (buffer->bytes, buffer->bytes + buffer->start, buffer->length);
      buffer->start = 0;
    }
  while (capacity < buffer->start + buffer->length + room)
    capacity *= 2;
  if (capacity != buffer->capacity)
    {
      grown = realloc (buffer->bytes, capacity);
      if (!grown)
        return NULL;
      buffer->bytes = grown;
      buffer->capacity = capacity;
    }
  return buffer->bytes + buffer->start + buffer->length;
}

void
ash_buffer_consume (struct ash_buffer *buffer, size_t length)
{
  buffer->start += length;
  buffer->length -= length;
  if (buffer->length)
    return;
  buffer->start = 0;
  if (buffer->capacity > BUFFER_IDLE_MAX_BYTES)
    ash_buffer_finish (buffer);
}

bool
ash_buffer_append (struct ash_buffer *buffer, const void *bytes, size_t length)
{
  uint8_t *at;

  if (!length)
    return true;
  at = ash_buffer_reserve (buffer, length);
  if (!at)
    return false;
  memcpy (at, bytes, length);
  buffer->length += length;
  return true;
}

bool
ash_buffer_printf (struct ash_buffer *buffer, const char *format, ...)
{
  va_list args;
  int length;
  uint8_t *at;

  va_start (args, format);
  length = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (length < 0)
    return false;
  at = ash_buffer_reserve (buffer, (size_t) length + 1);
  if (!at)
    return false;
  va_start (args, format);
  vsnprintf ((char *) at, (size_t) length + 1, format, args);
  va_end (args);
  buffer->length += (size_t) length;
  return true;
}
