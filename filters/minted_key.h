/**
 * @file
 * Idempotency keys minted by an entry. Each names the home of its request and the incarnation of
 * that home's agent, is signed with the fleet key, and expires. A caller that uses such a key
 * need not number its attempts.
 */
#ifndef ASH_MINTED_KEY_H
#define ASH_MINTED_KEY_H

#include "options/option.h"

#define ASH_FLEET_KEY_BYTES 32

/** Size of a minted key's text, the terminating zero included. */
#define ASH_MINTED_KEY_BYTES 192

/** The fields of a minted key. */
struct ash_minted_key
{
  char home[ASH_NAME_BYTES];
  uint64_t incarnation;
  int64_t expires_s; /**< Unix time at which the key expires */
  uint64_t nonce;    /**< random; makes the key unique */
};

/** Formats and signs a key. */
void ash_minted_key_format (const struct ash_minted_key *key,
                            const uint8_t fleet_key[ASH_FLEET_KEY_BYTES],
                            char text[ASH_MINTED_KEY_BYTES]);

/** @return whether the text has the prefix of a minted key. The signature is not checked. */
bool ash_minted_key_claimed (const char *text);

/** Parses a key and verifies its signature. The expiry is not checked.
 * @return false if the key is malformed or the signature is wrong. */
bool ash_minted_key_parse (const char *text,
                           const uint8_t fleet_key[ASH_FLEET_KEY_BYTES],
                           struct ash_minted_key *key);

#endif
