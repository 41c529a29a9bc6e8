#include "common/escape.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SPEC_BYTES 24
#define CUT_MARK "..."

/* The text that is being written. */
struct output
{
  char *text;
  size_t size;
  size_t length;
  enum ash_escape escape;
  bool in_quotes; /* of the format, not of an inserted text */
};

/* A conversion of the format. */
struct conversion
{
  char spec[SPEC_BYTES]; /* as in the format, with its '%' */
  char length[3];        /* length modifier */
  char type;
  int precision; /* -1: none */
};

static void
append (struct output *out, const char *text, size_t length)
{
  size_t room = out->size - 1 - out->length;

  if (length > room)
    length = room;
  memcpy (out->text + out->length, text, length);
  out->length += length;
}

/* ---- inserted texts ---- */

/* @return the length of the escaped form of a byte, in @p form. */
static int
escape_byte (const struct output *out, char byte, char form[8])
{
  bool is_visible = byte > ' ' && byte < 0x7f;

  if ((is_visible && byte != '"' && byte != '\\') || (byte == ' ' && out->in_quotes))
    {
      form[0] = byte;
      return 1;
    }
  switch (out->escape)
    {
    case ASH_ESCAPE_LOG:
      break;
    case ASH_ESCAPE_LABEL:
      /* A backslash is itself escaped there. */
      if (byte == '"' || byte == '\\')
        return snprintf (form, 8, "\\%c", byte);
      return snprintf (form, 8, "\\\\x%02X", (uint8_t) byte);
    }
  return snprintf (form, 8, "\\x%02X", (uint8_t) byte);
}

static size_t
max_bytes_of (enum ash_escape escape)
{
  switch (escape)
    {
    case ASH_ESCAPE_LOG:
      break;
    case ASH_ESCAPE_LABEL:
      return ASH_ESCAPE_LABEL_MAX_BYTES;
    }
  return ASH_ESCAPE_LOG_MAX_BYTES;
}

static void
append_escaped (struct output *out, const char *text, size_t length)
{
  size_t left = max_bytes_of (out->escape);

  for (size_t i = 0; i < length; i++)
    {
      char form[8];
      size_t form_bytes = (size_t) escape_byte (out, text[i], form);

      /* What is left must also hold the mark, unless this is the last byte. */
      if (form_bytes + (i + 1 < length ? strlen (CUT_MARK) : 0) > left)
        {
          append (out, CUT_MARK, strlen (CUT_MARK));
          return;
        }
      append (out, form, form_bytes);
      left -= form_bytes;
    }
}

static void
insert_text (struct output *out, const struct conversion *conversion, const char *text)
{
  if (!text)
    text = "(null)";
  append_escaped (out, text,
                  conversion->precision < 0 ? strlen (text)
                                            : strnlen (text, (size_t) conversion->precision));
}

/* ---- numbers ---- */

/* The conversion's spec is a part of a format that the compiler has checked. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"

static void
insert_number (struct output *out, const struct conversion *conversion, uint64_t value)
{
  char digits[64];
  int length = 0;

  if (strcmp (conversion->length, "ll") == 0)
    length = snprintf (digits, sizeof digits, conversion->spec, (unsigned long long) value);
  else if (strcmp (conversion->length, "l") == 0)
    length = snprintf (digits, sizeof digits, conversion->spec, (unsigned long) value);
  else if (strcmp (conversion->length, "z") == 0)
    length = snprintf (digits, sizeof digits, conversion->spec, (size_t) value);
  else
    length = snprintf (digits, sizeof digits, conversion->spec, (unsigned) value);
  append (out, digits, length > 0 ? (size_t) length : 0);
}

static void
insert_real (struct output *out, const struct conversion *conversion, double value)
{
  char digits[400]; /* the largest double has 309 digits before its point */
  int length = snprintf (digits, sizeof digits, conversion->spec, value);

  if (length > 0)
    append (out, digits, (size_t) length < sizeof digits ? (size_t) length : sizeof digits - 1);
}

#pragma GCC diagnostic pop

/* ---- the format ---- */

/* Reads the conversion that starts at a '%'. @return the format after it. */
static const char *
read_conversion (const char *format, struct conversion *conversion)
{
  const char *start = format++;
  size_t length;

  format += strspn (format, "-+ 0#123456789");
  conversion->precision = -1;
  if (*format == '.')
    conversion->precision = (int) strtol (format + 1, (char **) &format, 10);
  length = strspn (format, "hlzjt");
  snprintf (conversion->length, sizeof conversion->length, "%.*s", (int) length, format);
  format += length;
  conversion->type = *format;
  if (*format)
    format++;
  snprintf (conversion->spec, sizeof conversion->spec, "%.*s", (int) (format - start), start);
  return format;
}

static uint64_t
next_number (const struct conversion *conversion, va_list *args)
{
  if (strcmp (conversion->length, "ll") == 0)
    return va_arg (*args, unsigned long long);
  if (strcmp (conversion->length, "l") == 0)
    return va_arg (*args, unsigned long);
  if (strcmp (conversion->length, "z") == 0)
    return va_arg (*args, size_t);
  return va_arg (*args, unsigned);
}

static void
insert (struct output *out, const struct conversion *conversion, va_list *args)
{
  switch (conversion->type)
    {
    case 's':
      insert_text (out, conversion, va_arg (*args, const char *));
      break;
    case 'f':
    case 'e':
    case 'g':
      insert_real (out, conversion, va_arg (*args, double));
      break;
    case 'd':
    case 'i':
    case 'u':
    case 'x':
    case 'X':
      insert_number (out, conversion, next_number (conversion, args));
      break;
    default:
      append (out, conversion->spec, strlen (conversion->spec));
      break;
    }
}

void
ash_escape_vformat (
    char *out, size_t out_bytes, enum ash_escape escape, const char *format, va_list args)
{
  struct output output = { .text = out, .size = out_bytes, .escape = escape };
  struct conversion conversion;
  va_list rest;

  va_copy (rest, args);
  while (*format)
    {
      if (*format == '%')
        {
          format = read_conversion (format, &conversion);
          insert (&output, &conversion, &rest);
          continue;
        }
      output.in_quotes ^= *format == '"';
      append (&output, format++, 1);
    }
  va_end (rest);
  out[output.length] = '\0';
}
