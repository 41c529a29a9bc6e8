/**
 * @file
 * Random names for the stand-in store: any text that JSON can carry, names that differ in their
 * last character only, and names of servers. In a header, as a stand-in is compiled from a single
 * file.
 */
#ifndef ASH_STANDIN_FUZZ_H
#define ASH_STANDIN_FUZZ_H

#include "common/random.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/** Longest name of a server, and the characters that it consists of. */
#define STANDIN_FUZZ_SERVER_BYTES 63
#define STANDIN_FUZZ_SERVER_CHARACTERS                                                             \
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~:@"

/** @return whether a name is one of a server. */
static inline bool
standin_fuzz_is_server (const uint8_t *name, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!name[i] || !strchr (STANDIN_FUZZ_SERVER_CHARACTERS, name[i]))
      return false;
  return length > 0 && length <= STANDIN_FUZZ_SERVER_BYTES;
}

/* Writes a random character of a name as UTF-8. @return its length. */
static inline size_t
standin_fuzz_character (struct ash_random *random, uint8_t out[4])
{
  uint32_t kind = ash_random_below (random, 10);
  uint32_t code = ash_random_below (random, 0x80);

  if (kind == 9)
    code = 0x10000 + ash_random_below (random, 0x100000);
  else if (kind == 8)
    code = 0x800 + ash_random_below (random, 0xd800 - 0x800);
  else if (kind == 7)
    code = 0x80 + ash_random_below (random, 0x800 - 0x80);
  if (code < 0x80)
    {
      out[0] = (uint8_t) code;
      return 1;
    }
  if (code < 0x800)
    {
      out[0] = (uint8_t) (0xc0 | code >> 6);
      out[1] = (uint8_t) (0x80 | (code & 0x3f));
      return 2;
    }
  if (code < 0x10000)
    {
      out[0] = (uint8_t) (0xe0 | code >> 12);
      out[1] = (uint8_t) (0x80 | (code >> 6 & 0x3f));
      out[2] = (uint8_t) (0x80 | (code & 0x3f));
      return 3;
    }
  out[0] = (uint8_t) (0xf0 | code >> 18);
  out[1] = (uint8_t) (0x80 | (code >> 12 & 0x3f));
  out[2] = (uint8_t) (0x80 | (code >> 6 & 0x3f));
  out[3] = (uint8_t) (0x80 | (code & 0x3f));
  return 4;
}

/* Appends characters of a set. @return the length of the name. */
static inline size_t
standin_fuzz_append (
    struct ash_random *random, const char *set, size_t set_bytes, uint8_t *out, size_t length)
{
  for (size_t i = 0; i < length; i++)
    out[i] = (uint8_t) set[ash_random_below (random, (uint32_t) set_bytes)];
  return length;
}

/**
 * Writes a random name.
 * @param out room for @p max_bytes.
 * @return its length, 1 to @p max_bytes.
 */
static inline size_t
standin_fuzz_name (struct ash_random *random, uint8_t *out, size_t max_bytes)
{
  static const char close_set[] = "a-~ !\t&+#%/\0";
  size_t wanted = 1 + ash_random_below (random, (uint32_t) max_bytes);
  size_t length = 0;

  switch (ash_random_below (random, 4))
    {
    case 0: /* a server */
      return standin_fuzz_append (random, STANDIN_FUZZ_SERVER_CHARACTERS,
                                  strlen (STANDIN_FUZZ_SERVER_CHARACTERS), out,
                                  1 + ash_random_below (random, STANDIN_FUZZ_SERVER_BYTES));
    case 1: /* names close to each other */
    case 2:
      return standin_fuzz_append (random, close_set, sizeof close_set - 1, out,
                                  1 + ash_random_below (random, 4));
    default:
      break;
    }
  while (length < wanted && length + 4 <= max_bytes)
    length += standin_fuzz_character (random, out + length);
  return length;
}

#endif
