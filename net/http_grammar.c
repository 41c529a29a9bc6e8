#include "net/http_grammar.h"

#include <string.h>

/* Form of a status line up to its reason phrase; 'd' stands for a digit. */
#define STATUS_LINE_FORM "HTTP/1.d ddd "
#define STATUS_OFFSET 9
#define STATUS_DIGITS 3

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
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

bool
ash_http_is_token (const char *bytes, size_t length)
{
  static const char token[] = "!#$%&'*+-.^_`|~0123456789"
                              "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

  for (size_t i = 0; i < length; i++)
    if (!memchr (token, bytes[i], sizeof token - 1))
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
