#include "net/url.h"

#include <string.h>

#define HEX_DIGITS "0123456789ABCDEF"
#define PLAIN "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"

bool
ash_url_escape (char *out, size_t out_bytes, const char *text)
{
  size_t used = 0;

  for (; *text; text++)
    {
      unsigned char byte = (unsigned char) *text;
      size_t length = strchr (PLAIN, *text) ? 1 : 3;

      if (used + length >= out_bytes)
        return false;
      if (length == 1)
        out[used] = *text;
      else
        {
          out[used] = '%';
          out[used + 1] = HEX_DIGITS[byte >> 4];
          out[used + 2] = HEX_DIGITS[byte & 15];
        }
      used += length;
    }
  if (used >= out_bytes)
    return false;
  out[used] = '\0';
  return true;
}
