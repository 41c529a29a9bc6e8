/**
 * @file
 * The difference between two published documents as text: ranges to copy from the old one and
 * inserted new text, by lines or by objects of a list. The change of a line takes a few hundred
 * bytes, however large the document is. A delta has the digests of both texts, so that a result
 * that is not identical to the published text is rejected.
 */
#ifndef ASH_CONFIG_DELTA_H
#define ASH_CONFIG_DELTA_H

#include "proto/event.h"

#include <stdint.h>

/** A document's text. Not owned. */
struct ash_config_text
{
  uint64_t revision;
  const char *bytes;
  size_t length;
};

/** @return the digest of a text's bytes. */
uint64_t ash_config_digest (const struct ash_config_text *text);

/**
 * @return a new delta, to be freed by ash__config_delta__free_unpacked(); NULL if memory is short.
 */
struct Ash__ConfigDelta *ash_config_delta_make (const struct ash_config_text *base,
                                                const struct ash_config_text *after);

/**
 * Applies a delta.
 * @param length set to the length of the new text.
 * @return the new text, NUL-terminated, to be freed with free(); NULL if the delta is for another
 * base, the result does not have the delta's digest, or memory is short.
 */
char *ash_config_delta_apply (const struct ash_config_text *base,
                              const struct Ash__ConfigDelta *delta,
                              size_t *length);

#endif
