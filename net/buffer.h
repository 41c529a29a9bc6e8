/**
 * @file
 * A growable byte queue: bytes are appended at the end and consumed from the start.
 */
#ifndef ASH_BUFFER_H
#define ASH_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A growable byte queue. All zero is a valid empty buffer. */
struct ash_buffer
{
  uint8_t *bytes;
  size_t start;  /**< offset of the first unconsumed byte */
  size_t length; /**< unconsumed bytes, from start on */
  size_t capacity;
};

/** Frees the memory; the buffer is empty and may be used again. */
void ash_buffer_finish (struct ash_buffer *buffer);

/**
 * Ensures space for @p room more bytes; the caller writes them and adds to `length`.
 * @return where to write them, or NULL if out of memory.
 */
uint8_t *ash_buffer_reserve (struct ash_buffer *buffer, size_t room);

/** Appends bytes. @return false if out of memory. */
bool ash_buffer_append (struct ash_buffer *buffer, const void *bytes, size_t length);

/** Appends formatted text without its terminating NUL. @return false if out of memory. */
bool ash_buffer_printf (struct ash_buffer *buffer, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Drops bytes from the start; @p length must not exceed the buffer's length. */
void ash_buffer_consume (struct ash_buffer *buffer, size_t length);

#endif
