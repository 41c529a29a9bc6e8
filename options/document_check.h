/**
 * @file
 * Checks of a published document's rows against each other, and what they share
 * with finding rows. Part of options/document.
 */
#ifndef ASH_DOCUMENT_CHECK_H
#define ASH_DOCUMENT_CHECK_H

#include "options/document.h"

#include <string.h>

/** What all rows begin with. */
struct ash_row
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
};

/** @return row number @p index of an array of rows. */
static inline const struct ash_row *
ash_row_at (const void *rows, uint32_t index, size_t row_bytes)
{
  return (const struct ash_row *) (const void *) ((const char *) rows + index * row_bytes);
}

/** @return the row of that name, or NULL. */
const void *ash_row_find (const void *rows, uint32_t count, size_t row_bytes, const char *name);

/** @return where a key's search in account_slots begins. */
static inline uint32_t
ash_account_slot (const uint8_t *key_hash, uint32_t slot_count)
{
  uint32_t start;

  memcpy (&start, key_hash, sizeof start);
  return start & (slot_count - 1);
}

/** Adds a finding for each row that contradicts others; builds account_slots. */
void ash_document_check (struct ash_document *document, struct ash_findings *findings);

#endif
