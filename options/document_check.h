/**
 * @file
 * Checks of a published document that compare several rows, and helpers to look up rows. Internal
 * to options/document.
 */
#ifndef ASH_DOCUMENT_CHECK_H
#define ASH_DOCUMENT_CHECK_H

#include "options/document.h"

#include <string.h>

/** First members of the struct of every row. */
struct ash_row
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
};

/** @return row @p index of an array of structs of @p row_bytes each. */
static inline const struct ash_row *
ash_row_at (const void *rows, uint32_t index, size_t row_bytes)
{
  return (const struct ash_row *) (const void *) ((const char *) rows + index * row_bytes);
}

/** @return the row with that name, or NULL. */
const void *ash_row_find (const void *rows, uint32_t count, size_t row_bytes, const char *name);

/** @return the slot of account_slots at which the search for a key begins. @p slot_count must be a
 * power of two. */
static inline uint32_t
ash_account_slot (const uint8_t *key_hash, uint32_t slot_count)
{
  uint32_t start;

  memcpy (&start, key_hash, sizeof start);
  return start & (slot_count - 1);
}

/** Adds a finding for each row that is inconsistent with other rows; sets account_slots,
 * class_index and rank_count. */
void ash_document_check (struct ash_document *document, struct ash_findings *findings);

#endif
