#include "cli/print.h"

#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <unistd.h>

/* First byte, in UTF-8, of the control characters U+0080 to U+009F, and their last bytes. */
#define C1_FIRST_BYTE 0xc2
#define C1_LAST_BYTES_END 0xa0

/* @return the length of the control character at the start of the text; 0: there is none. */
static size_t
control_bytes (const char *text, size_t length)
{
  const uint8_t *bytes = (const uint8_t *) text;

  if (bytes[0] == '\n' || bytes[0] == '\t')
    return 0;
  if (bytes[0] < ' ' || bytes[0] == 0x7f)
    return 1;
  if (bytes[0] == C1_FIRST_BYTE && length > 1 && bytes[1] < C1_LAST_BYTES_END)
    return 2;
  return 0;
}

void
ash_cli_print (FILE *out, bool is_terminal, const char *text, size_t length)
{
  if (!is_terminal)
    {
      fwrite (text, 1, length, out);
      return;
    }
  for (size_t i = 0; i < length;)
    {
      size_t control = control_bytes (text + i, length - i);

      if (!control)
        fputc (text[i++], out);
      for (; control; control--)
        fprintf (out, "\\x%02X", (uint8_t) text[i++]);
    }
}

void
ash_cli_error (const char *format, ...)
{
  char *text;
  va_list args;
  int length;

  va_start (args, format);
  length = vasprintf (&text, format, args);
  va_end (args);
  if (length < 0)
    return;
  ash_cli_print (stderr, isatty (STDERR_FILENO), text, (size_t) length);
  free (text);
}
