/**
 * @file
 * A growing buffer of bytes whose start is consumed.
 */
#ifndef ASH_BUFFER_H
#define ASH_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A growing buffer whose start is consumed. */
struct ash_buffer
{
  uint8_t *bytes;
  size_t start;
  size_t length; /**< from start */
  size_t capacity;
};

void ash_buffer_finish (struct ash_buffer *buffer);

/** Makes room. @return where to write @p room bytes, or NULL. */
uint8_t *ash_buffer_reserve (struct ash_buffer *buffer, size_t room);

/** Appends bytes. @return false without memory. */
bool ash_buffer_append (struct ash_buffer *buffer, const void *bytes, size_t length);

/** Appends formatted text, without a closing zero. @return false without memory. */
bool ash_buffer_printf (struct ash_buffer *buffer, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Drops bytes from the start. */
void ash_buffer_consume (struct ash_buffer *buffer, size_t length);

#endif
