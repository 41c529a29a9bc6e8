#include "net/handshake.h"

#include <sodium.h>
#include <string.h>

static void
hash_nonces (crypto_generichash_state *state,
             const char *purpose,
             const struct ash_nonces *nonces,
             enum ash_link_side side)
{
  uint8_t side_byte = (uint8_t) side;

  crypto_generichash_update (state, (const uint8_t *) purpose, strlen (purpose) + 1);
  crypto_generichash_update (state, &side_byte, sizeof side_byte);
  crypto_generichash_update (state, nonces->accept, sizeof nonces->accept);
  crypto_generichash_update (state, nonces->dial, sizeof nonces->dial);
}

void
ash_handshake_prove (const uint8_t fleet_key[ASH_FRAME_KEY_BYTES],
                     const struct ash_nonces *nonces,
                     enum ash_link_side side,
                     const struct Ash__Hello *hello,
                     uint8_t proof[ASH_PROOF_BYTES])
{
  crypto_generichash_state state;
  uint32_t role = (uint32_t) hello->role;

  crypto_generichash_init (&state, fleet_key, ASH_FRAME_KEY_BYTES, ASH_PROOF_BYTES);
  hash_nonces (&state, "ashspindle hello", nonces, side);
  crypto_generichash_update (&state, (const uint8_t *) hello->box, strlen (hello->box) + 1);
  crypto_generichash_update (&state, (const uint8_t *) &role, sizeof role);
  crypto_generichash_update (&state, (const uint8_t *) &hello->incarnation,
                             sizeof hello->incarnation);
  crypto_generichash_final (&state, proof, ASH_PROOF_BYTES);
}

bool
ash_handshake_check (const uint8_t fleet_key[ASH_FRAME_KEY_BYTES],
                     const struct ash_nonces *nonces,
                     enum ash_link_side side,
                     const struct Ash__Hello *hello)
{
  uint8_t proof[ASH_PROOF_BYTES];

  if (hello->proof.len != sizeof proof || *hello->box == '\0' || hello->incarnation == 0)
    return false;
  ash_handshake_prove (fleet_key, nonces, side, hello, proof);
  return sodium_memcmp (proof, hello->proof.data, sizeof proof) == 0;
}

void
ash_handshake_frame_key (const uint8_t fleet_key[ASH_FRAME_KEY_BYTES],
                         const struct ash_nonces *nonces,
                         enum ash_link_side side,
                         struct ash_frame_key *key)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, fleet_key, ASH_FRAME_KEY_BYTES, sizeof key->key);
  hash_nonces (&state, "ashspindle frames", nonces, side);
  crypto_generichash_final (&state, key->key, sizeof key->key);
  key->number = 0;
  key->on = true;
}
