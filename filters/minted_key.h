/**
 * @file
 * Keys minted by the system: each names the home of its request and the life
 * of that home's agent, is signed with the fleet key, and expires. A request
 * with such a key needs no word of the caller on which attempt it is.
 */
#ifndef ASH_MINTED_KEY_H
#define ASH_MINTED_KEY_H

#include "options/option.h"

/** Bytes of the fleet key. */
#define ASH_FLEET_KEY_BYTES 32

/** Characters of a minted key, the closing zero included. */
#define ASH_MINTED_KEY_BYTES 192

/** What a minted key says. */
struct ash_minted_key
{
  char home[ASH_NAME_BYTES];
  uint64_t incarnation;
  int64_t expires_s; /**< Unix time */
  uint64_t nonce;    /**< makes it the only one of its kind */
};

/** Writes and signs a key. */
void ash_minted_key_format (const struct ash_minted_key *key,
                            const uint8_t fleet_key[ASH_FLEET_KEY_BYTES],
                            char text[ASH_MINTED_KEY_BYTES]);

/** @return whether the text looks like a minted key, signed or not. */
bool ash_minted_key_claimed (const char *text);

/** Reads a key. @return false if it is malformed or the signature is wrong. */
bool ash_minted_key_parse (const char *text,
                           const uint8_t fleet_key[ASH_FLEET_KEY_BYTES],
                           struct ash_minted_key *key);

#endif
