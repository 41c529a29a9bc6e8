/**
 * @file
 * The difference between two published documents, as text: what to copy of the
 * old one and what is new, line by line, or object by object of a list. A change of one row is a
 * few hundred bytes, however large the document. Both texts are named by their digests, so that a
 * result that differs from what was published by a byte is not taken.
 */
#ifndef ASH_CONFIG_DELTA_H
#define ASH_CONFIG_DELTA_H

#include "proto/event.h"

#include <stdint.h>

/** A text that is not owned. */
struct ash_config_text
{
  uint64_t revision;
  const char *bytes;
  size_t length;
};

/** @return a text's digest. */
uint64_t ash_config_digest (const struct ash_config_text *text);

/** @return a new delta, freed by ash__config_delta__free_unpacked(); NULL without memory. */
struct Ash__ConfigDelta *ash_config_delta_make (const struct ash_config_text *base,
                                                const struct ash_config_text *after);

/**
 * Applies a delta.
 * @return the new text, to be freed, with its length; NULL if the base is not the
 * one it is for, or the result is not what was published.
 */
char *ash_config_delta_apply (const struct ash_config_text *base,
                              const struct Ash__ConfigDelta *delta,
                              size_t *length);

#endif
