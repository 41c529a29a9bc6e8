/**
 * @file
 * 128-bit request ids and the hash functions that they are derived with.
 */
#ifndef ASH_ID_H
#define ASH_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes of an id as text, including the terminating zero. */
#define ASH_ID_TEXT_BYTES 33

/** Bytes of the hash of a bearer key in the published configuration. */
#define ASH_KEY_HASH_BYTES 32

/** Identifies a request: equal for all submissions with the same idempotency key. */
struct ash_id
{
  uint64_t hi;
  uint64_t lo;
};

bool ash_id_equal (struct ash_id a, struct ash_id b);

/** Writes @p id as 32 lower-case hex digits. */
void ash_id_format (struct ash_id id, char text[ASH_ID_TEXT_BYTES]);

/** Parses the output of ash_id_format(). @return false if @p text is not such an id. */
bool ash_id_parse (const char *text, struct ash_id *id);

/**
 * Derives a request's id from the caller's idempotency key. Account and service are part of
 * the hash, so a caller can't refer to a request of another account.
 */
struct ash_id ash_id_from_key (const char *account, const char *service, const char *key);

/**
 * Derives an id from the contents of a request: equal for all submissions of one account with
 * the same target and body, on every box.
 */
struct ash_id
ash_id_from_request (const char *account, const char *target, const void *body, size_t body_bytes);

/** @return the weight of candidate @p name for @p id; the highest weight wins the rendezvous. */
uint64_t ash_rendezvous_weight (struct ash_id id, const char *name);

/** @return a 64-bit hash, equal on every box. */
uint64_t ash_hash_bytes (const void *bytes, size_t length);

/** @return the hash of a string without its terminating zero. */
uint64_t ash_hash_text (const char *text);

/** Hashes a bearer key with BLAKE2b-256, as stored in the published configuration. */
void ash_key_hash (const char *key, size_t key_bytes, uint8_t hash[ASH_KEY_HASH_BYTES]);

/**
 * Decodes hex digits.
 * @return false if @p hex does not encode exactly @p out_bytes bytes.
 */
bool ash_hex_decode (const char *hex, uint8_t *out, size_t out_bytes);

#endif
