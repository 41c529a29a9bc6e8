/**
 * @file
 * Mutual authentication of the two ends of a new peer link by the fleet key, and derivation of the
 * link's frame keys.
 *
 * The accepting side sends a nonce (challenge). The dialling side replies with a hello that carries
 * its own nonce and a proof: a hash of both nonces and the hello's fields, keyed with the fleet
 * key. The accepting side then sends its hello with a proof of its own. A recorded hello can't be
 * replayed on another link, as the nonces differ.
 */
#ifndef ASH_HANDSHAKE_H
#define ASH_HANDSHAKE_H

#include "net/frame.h"

#define ASH_NONCE_BYTES 16
#define ASH_PROOF_BYTES 32

/** The two ends of a link. */
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

/** Computes the proof that the sender of @p hello knows the fleet key. @p side is the end of the
 * link that sends it. */
void ash_handshake_prove (const uint8_t fleet_key[ASH_FRAME_KEY_BYTES],
                          const struct ash_nonces *nonces,
                          enum ash_link_side side,
                          const struct Ash__Hello *hello,
                          uint8_t proof[ASH_PROOF_BYTES]);

/**
 * Verifies a received hello.
 * @param side the end of the link that sent it.
 * @return false if the proof does not match, or box name or incarnation is missing.
 */
bool ash_handshake_check (const uint8_t fleet_key[ASH_FRAME_KEY_BYTES],
                          const struct ash_nonces *nonces,
                          enum ash_link_side side,
                          const struct Ash__Hello *hello);

/** Derives the key for frames sent by @p side, and starts their sequence numbers at 0. */
void ash_handshake_frame_key (const uint8_t fleet_key[ASH_FRAME_KEY_BYTES],
                              const struct ash_nonces *nonces,
                              enum ash_link_side side,
                              struct ash_frame_key *key);

#endif
