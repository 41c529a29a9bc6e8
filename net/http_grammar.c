#include "net/http_grammar.h"

#include <string.h>

/* Form of a status line up to its reason phrase; 'd' stands for a digit. */
#define STATUS_LINE_FORM "HTTP/1.d ddd "
#define STATUS_OFFSET 9
#define STATUS_DIGITS 3

/* Hexadecimal digits of a chunk's size that are certain to fit into 64 bits. */
#define CHUNK_SIZE_DIGITS_MAX 15

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

static bool
is_token_byte (char c)
{
  static const char token[] = "!#$%&'*+-.^_`|~0123456789"
                              "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

  return memchr (token, c, sizeof token - 1) != NULL;
}

bool
ash_http_is_text (const char *bytes, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      uint8_t byte = (uint8_t) bytes[i];

      if ((byte < ' ' && byte != '\t') || byte == 0x7f)
        return false;
    }
  return true;
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

bool
ash_http_is_field_value (const char *text)
{
  size_t length = strlen (text);

  return length && ash_http_is_text (text, length) && !is_blank (text[0]) &&
         !is_blank (text[length - 1]);
}

bool
ash_http_is_token (const char *bytes, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!is_token_byte (bytes[i]))
      return false;
  return length > 0;
}

bool
ash_http_is_status_line (const char *line, size_t length)
{
  static const char form[] = STATUS_LINE_FORM;
  size_t form_bytes = sizeof form - 1;
  uint32_t status = 0;

  if (length < form_bytes)
    return false;
  for (size_t i = 0; i < form_bytes; i++)
    if (form[i] == 'd' ? !is_digit (line[i]) : line[i] != form[i])
      return false;
  for (size_t i = 0; i < STATUS_DIGITS; i++)
    status = status * 10 + (uint32_t) (line[STATUS_OFFSET + i] - '0');
  return status >= ASH_HTTP_STATUS_MIN && status <= ASH_HTTP_STATUS_MAX &&
         ash_http_is_text (line + form_bytes, length - form_bytes);
}

bool
ash_http_is_field_line (const char *line, size_t length)
{
  const char *colon = memchr (line, ':', length);

  return colon && ash_http_is_token (line, (size_t) (colon - line)) &&
         ash_http_is_text (colon, length - (size_t) (colon - line));
}

/* ---- chunks ---- */

/* A line that is being read from its start. */
struct cursor
{
  const char *at;
  const char *end;
};

/* @return whether the next character was @p c, which is then skipped. */
static bool
skip (struct cursor *cursor, char c)
{
  if (cursor->at == cursor->end || *cursor->at != c)
    return false;
  cursor->at++;
  return true;
}

static void
skip_blanks (struct cursor *cursor)
{
  while (skip (cursor, ' ') || skip (cursor, '\t'))
    continue;
}

static bool
skip_token (struct cursor *cursor)
{
  const char *start = cursor->at;

  while (cursor->at < cursor->end && is_token_byte (*cursor->at))
    cursor->at++;
  return cursor->at > start;
}

/* Skips a quoted string whose first quote was skipped. @return false if it doesn't end. */
static bool
skip_quoted (struct cursor *cursor)
{
  while (cursor->at < cursor->end)
    {
      if (skip (cursor, '"'))
        return true;
      skip (cursor, '\\');
      if (cursor->at == cursor->end || !ash_http_is_text (cursor->at, 1))
        return false;
      cursor->at++;
    }
  return false;
}

static bool
skip_extension (struct cursor *cursor)
{
  skip_blanks (cursor);
  if (!skip (cursor, ';'))
    return false;
  skip_blanks (cursor);
  if (!skip_token (cursor))
    return false;
  skip_blanks (cursor);
  if (!skip (cursor, '='))
    return true;
  skip_blanks (cursor);
  return skip (cursor, '"') ? skip_quoted (cursor) : skip_token (cursor);
}

/* @return the value of a hexadecimal digit; -1: it is none. */
static int
digit_value (char c)
{
  if (is_digit (c))
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

bool
ash_http_chunk_size_read (const char *line, size_t length, uint64_t *size_bytes)
{
  struct cursor cursor = { line, line + length };
  uint32_t digits = 0;

  *size_bytes = 0;
  while (cursor.at < cursor.end && digit_value (*cursor.at) >= 0)
    {
      *size_bytes = *size_bytes * 16 + (uint64_t) digit_value (*cursor.at++);
      digits += digits || *size_bytes;
      if (digits > CHUNK_SIZE_DIGITS_MAX)
        return false;
    }
  if (cursor.at == line)
    return false;
  while (cursor.at < cursor.end)
    if (!skip_extension (&cursor))
      return false;
  return true;
}
