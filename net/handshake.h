/**
 * @file
 * The proof of the fleet key on a new link, and the keys of its frames.
 *
 * The accepting side sends a nonce; the dialling side answers with its hello,
 * a nonce of its own and a keyed hash over both; the accepting side answers
 * alike. A recorded hello proves nothing on another link, whose nonce differs.
 */
#ifndef ASH_HANDSHAKE_H
#define ASH_HANDSHAKE_H

#include "net/frame.h"

#define ASH_NONCE_BYTES 16
#define ASH_PROOF_BYTES 32

/** Which end of a link speaks. */
enum ash_link_side
{
  ASH_SIDE_ACCEPT,
  ASH_SIDE_DIAL,
};

/** Both nonces of a link. */
struct ash_nonces
{
  uint8_t accept[ASH_NONCE_BYTES];
  uint8_t dial[ASH_NONCE_BYTES];
};

/** The proof that the hello's sender, on @p side, knows the key. */
void ash_handshake_prove (const uint8_t fleet_key[ASH_FRAME_KEY_BYTES],
                          const struct ash_nonces *nonces,
                          enum ash_link_side side,
                          const struct Ash__Hello *hello,
                          uint8_t proof[ASH_PROOF_BYTES]);

/** @return whether the hello's proof is right for the sender's side. */
bool ash_handshake_check (const uint8_t fleet_key[ASH_FRAME_KEY_BYTES],
                          const struct ash_nonces *nonces,
                          enum ash_link_side side,
                          const struct Ash__Hello *hello);

/** The key for frames that are sent by @p side. */
void ash_handshake_frame_key (const uint8_t fleet_key[ASH_FRAME_KEY_BYTES],
                              const struct ash_nonces *nonces,
                              enum ash_link_side side,
                              struct ash_frame_key *key);

#endif
