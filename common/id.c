#include "common/id.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

bool
ash_id_equal (struct ash_id a, struct ash_id b)
{
  return a.hi == b.hi && a.lo == b.lo;
}

void
ash_id_format (struct ash_id id, char text[ASH_ID_TEXT_BYTES])
{
  snprintf (text, ASH_ID_TEXT_BYTES, "%016" PRIx64 "%016" PRIx64, id.hi, id.lo);
}

bool
ash_id_parse (const char *text, struct ash_id *id)
{
  if (strlen (text) != ASH_ID_TEXT_BYTES - 1 ||
      strspn (text, "0123456789abcdef") != ASH_ID_TEXT_BYTES - 1)
    return false;
  return sscanf (text, "%16" SCNx64 "%16" SCNx64, &id->hi, &id->lo) == 2;
}

static struct ash_id
finish_id_hash (crypto_generichash_state *state)
{
  uint8_t hash[crypto_generichash_BYTES_MIN];
  struct ash_id id;

  crypto_generichash_final (state, hash, sizeof hash);
  memcpy (&id.hi, hash, sizeof id.hi);
  memcpy (&id.lo, hash + sizeof id.hi, sizeof id.lo);
  return id;
}

struct ash_id
ash_id_from_key (const char *account, const char *service, const char *key)
{
  crypto_generichash_state state;

  /* The terminating zero of each part is hashed too, so that "a","bc" and "ab","c" differ. */
  crypto_generichash_init (&state, NULL, 0, crypto_generichash_BYTES_MIN);
  crypto_generichash_update (&state, (const uint8_t *) account, strlen (account) + 1);
  crypto_generichash_update (&state, (const uint8_t *) service, strlen (service) + 1);
  crypto_generichash_update (&state, (const uint8_t *) key, strlen (key) + 1);
  return finish_id_hash (&state);
}

struct ash_id
ash_id_from_request (const char *account, const char *target, const void *body, size_t body_bytes)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, crypto_generichash_BYTES_MIN);
  crypto_generichash_update (&state, (const uint8_t *) account, strlen (account) + 1);
  crypto_generichash_update (&state, (const uint8_t *) target, strlen (target) + 1);
  crypto_generichash_update (&state, body, body_bytes);
  return finish_id_hash (&state);
}

uint64_t
ash_rendezvous_weight (struct ash_id id, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name), id.hi ^ id.lo);
}

uint64_t
ash_hash_bytes (const void *bytes, size_t length)
{
  return XXH3_64bits (bytes, length);
}

uint64_t
ash_hash_text (const char *text)
{
  return ash_hash_bytes (text, strlen (text));
}

void
ash_key_hash (const char *key, size_t key_bytes, uint8_t hash[ASH_KEY_HASH_BYTES])
{
  crypto_generichash (hash, ASH_KEY_HASH_BYTES, (const uint8_t *) key, key_bytes, NULL, 0);
}

bool
ash_hex_decode (const char *hex, uint8_t *out, size_t out_bytes)
{
  size_t length = 0;
  const char *end = NULL;

  if (strlen (hex) != 2 * out_bytes)
    return false;
  if (sodium_hex2bin (out, out_bytes, hex, 2 * out_bytes, NULL, &length, &end) != 0)
    return false;
  return length == out_bytes && *end == '\0';
}
