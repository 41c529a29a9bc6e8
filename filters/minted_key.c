#include "filters/minted_key.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define PREFIX "ash1."
#define MAC_BYTES 16
#define MAC_HEX_BYTES (2 * MAC_BYTES + 1)

static void
sign (const char *text,
      size_t text_bytes,
      const uint8_t fleet_key[ASH_FLEET_KEY_BYTES],
      char hex[MAC_HEX_BYTES])
{
  uint8_t mac[MAC_BYTES];

  crypto_generichash (mac, sizeof mac, (const uint8_t *) text, text_bytes, fleet_key,
                      ASH_FLEET_KEY_BYTES);
  sodium_bin2hex (hex, MAC_HEX_BYTES, mac, sizeof mac);
}

void
ash_minted_key_format (const struct ash_minted_key *key,
                       const uint8_t fleet_key[ASH_FLEET_KEY_BYTES],
                       char text[ASH_MINTED_KEY_BYTES])
{
  char hex[MAC_HEX_BYTES];
  int length;

  /* The home is the last field as box names may contain dots, the separator. */
  length = snprintf (text, ASH_MINTED_KEY_BYTES, PREFIX "%" PRIx64 ".%" PRIx64 ".%" PRIx64 ".%s.",
                     key->incarnation, (uint64_t) key->expires_s, key->nonce, key->home);
  sign (text, (size_t) length, fleet_key, hex);
  snprintf (text + length, ASH_MINTED_KEY_BYTES - (size_t) length, "%s", hex);
}

bool
ash_minted_key_claimed (const char *text)
{
  return strncmp (text, PREFIX, strlen (PREFIX)) == 0;
}

bool
ash_minted_key_parse (const char *text,
                      const uint8_t fleet_key[ASH_FLEET_KEY_BYTES],
                      struct ash_minted_key *key)
{
  const char *mac = strrchr (text, '.');
  uint64_t expires_s;
  char hex[MAC_HEX_BYTES];
  const char *home;
  size_t home_length;
  int home_offset = 0;

  if (!ash_minted_key_claimed (text) || strlen (text) >= ASH_MINTED_KEY_BYTES)
    return false;
  mac++;
  if (strlen (mac) != MAC_HEX_BYTES - 1)
    return false;
  sign (text, (size_t) (mac - text), fleet_key, hex);
  if (sodium_memcmp (hex, mac, MAC_HEX_BYTES - 1) != 0)
    return false;
  if (sscanf (text + strlen (PREFIX), "%" SCNx64 ".%" SCNx64 ".%" SCNx64 ".%n", &key->incarnation,
              &expires_s, &key->nonce, &home_offset) != 3)
    return false;
  home = text + strlen (PREFIX) + home_offset;
  home_length = (size_t) (mac - 1 - home);
  if (home_length >= ASH_NAME_BYTES)
    return false;
  memcpy (key->home, home, home_length);
  key->home[home_length] = '\0';
  key->expires_s = (int64_t) expires_s;
  return true;
}
