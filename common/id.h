/**
 * @file
 * 128-bit request ids and the hashes they come from.
 */
#ifndef ASH_ID_H
#define ASH_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Characters of an id in text, the terminating zero included. */
#define ASH_ID_TEXT_BYTES 33

/** Bytes of a bearer key's hash in the published configuration. */
#define ASH_KEY_HASH_BYTES 32

/** Names a request: the same for every submission of one caller's key. */
struct ash_id
{
  uint64_t hi;
  uint64_t lo;
};

/** @return whether both name the same request. */
bool ash_id_equal (struct ash_id a, struct ash_id b);

/** Writes @p id as 32 hex digits. */
void ash_id_format (struct ash_id id, char text[ASH_ID_TEXT_BYTES]);

/** Reads an id as ash_id_format() writes it. @return false if it is none. */
bool ash_id_parse (const char *text, struct ash_id *id);

/**
 * The id of a caller's idempotency key. Account and service are part of it, so
 * that no caller can name another's request.
 */
struct ash_id ash_id_from_key (const char *account, const char *service, const char *key);

/**
 * Names what is asked, whoever asks it anew: the same for each submission of one account with the
 * same target and body, at any box.
 */
struct ash_id
ash_id_from_request (const char *account, const char *target, const void *body, size_t body_bytes);

/** A weight for rendezvous hashing: the highest over all candidates wins. */
uint64_t ash_rendezvous_weight (struct ash_id id, const char *name);

/** @return a 64-bit hash of bytes, the same on every box. */
uint64_t ash_hash_bytes (const void *bytes, size_t length);

/** @return a 64-bit hash of a text. */
uint64_t ash_hash_text (const char *text);

/** Hashes a bearer key as the published configuration holds it (BLAKE2b-256). */
void ash_key_hash (const char *key, size_t key_bytes, uint8_t hash[ASH_KEY_HASH_BYTES]);

/**
 * Reads hex digits.
 * @return false if @p hex is not exactly @p out_bytes bytes of hex.
 */
bool ash_hex_decode (const char *hex, uint8_t *out, size_t out_bytes);

#endif
