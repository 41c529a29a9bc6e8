#include "controllers/config_delta.h"

#include "options/document.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Consecutive lines that must match after a difference before copying resumes, since single lines
 * like `slots = 32` occur in many places. */
#define SYNC_LINES 2

/* A text split into lines. The text is not owned. */
struct lines
{
  const char *text;
  uint32_t *starts; /* offsets of the lines; one more item for the end of the text */
  uint32_t count;
};

/* Hash table with linear probing: maps the bytes of a line to its first occurrence in the old text.
 */
struct index
{
  uint32_t *slots; /* line number + 1; 0: free */
  uint32_t slot_count;
};

uint64_t
ash_config_digest (const struct ash_config_text *text)
{
  return XXH3_64bits (text->bytes, text->length);
}

/* ---- lines ---- */

/* A JSON document may have no newlines, so "}," ends a line too, which splits the text between the
 * objects of a list. Splitting at other places where "}," occurs does no harm. */
static bool
ends_line (const struct ash_config_text *text, size_t i)
{
  return text->bytes[i] == '\n' || (text->bytes[i] == ',' && i > 0 && text->bytes[i - 1] == '}');
}

static bool
split (const struct ash_config_text *text, struct lines *lines)
{
  uint32_t count = 0;

  for (size_t i = 0; i < text->length; i++)
    count += ends_line (text, i);
  lines->text = text->bytes;
  lines->starts = calloc (count + 2, sizeof *lines->starts);
  lines->count = 0;
  if (!lines->starts)
    return false;
  for (size_t i = 0; i < text->length; i++)
    if (ends_line (text, i))
      lines->starts[++lines->count] = (uint32_t) i + 1;
  /* The last line may lack a newline. */
  if (lines->starts[lines->count] < text->length)
    lines->starts[++lines->count] = (uint32_t) text->length;
  return true;
}

static uint32_t
line_length (const struct lines *lines, uint32_t line)
{
  return lines->starts[line + 1] - lines->starts[line];
}

static bool
same_line (const struct lines *a, uint32_t i, const struct lines *b, uint32_t j)
{
  return i < a->count && j < b->count && line_length (a, i) == line_length (b, j) &&
         memcmp (a->text + a->starts[i], b->text + b->starts[j], line_length (a, i)) == 0;
}

static uint32_t
slot_of (const struct index *index, const struct lines *lines, uint32_t line)
{
  return (uint32_t) XXH3_64bits (lines->text + lines->starts[line], line_length (lines, line)) &
         (index->slot_count - 1);
}

static bool
make_index (const struct lines *lines, struct index *index)
{
  index->slot_count = 16;
  while (index->slot_count < 2 * lines->count)
    index->slot_count *= 2;
  index->slots = calloc (index->slot_count, sizeof *index->slots);
  if (!index->slots)
    return false;
  for (uint32_t i = 0; i < lines->count; i++)
    {
      uint32_t at = slot_of (index, lines, i);

      while (index->slots[at] && !same_line (lines, index->slots[at] - 1, lines, i))
        at = (at + 1) & (index->slot_count - 1);
      if (!index->slots[at])
        index->slots[at] = i + 1;
    }
  return true;
}

static bool
is_sync (const struct lines *old, uint32_t i, const struct lines *new, uint32_t j)
{
  for (uint32_t k = 0; k < SYNC_LINES; k++)
    if (!same_line (old, i + k, new, j + k))
      return false;
  return true;
}

/* Finds the line of the old text at which copying can resume for line @p j of the new text: within
 * a few lines after @p from, else at the first occurrence of that line in the old text.
 * @return old->count if there is none. */
static uint32_t
find_sync (const struct lines *old,
           const struct index *index,
           uint32_t from,
           const struct lines *new,
           uint32_t j)
{
  enum
  {
    NEAR_LINES = 64
  };

  for (uint32_t i = from; i < old->count && i < from + NEAR_LINES; i++)
    if (is_sync (old, i, new, j))
      return i;
  for (uint32_t at = slot_of (index, new, j); index->slots[at];
       at = (at + 1) & (index->slot_count - 1))
    if (same_line (old, index->slots[at] - 1, new, j))
      return is_sync (old, index->slots[at] - 1, new, j) ? index->slots[at] - 1 : old->count;
  return old->count;
}

/* ---- creation ---- */

static struct Ash__ConfigPiece *
add_piece (struct Ash__ConfigDelta *delta)
{
  struct Ash__ConfigPiece **grown =
      realloc (delta->pieces, (delta->n_pieces + 1) * sizeof (struct Ash__ConfigPiece *));
  struct Ash__ConfigPiece *piece = malloc (sizeof *piece);

  if (grown)
    delta->pieces = grown;
  if (!grown || !piece)
    {
      free (piece);
      return NULL;
    }
  ash__config_piece__init (piece);
  delta->pieces[delta->n_pieces++] = piece;
  return piece;
}

static bool
set_piece_text (struct Ash__ConfigPiece *piece, const char *bytes, size_t length)
{
  if (!length)
    return true;
  piece->text.data = malloc (length);
  if (!piece->text.data)
    return false;
  memcpy (piece->text.data, bytes, length);
  piece->text.len = length;
  return true;
}

/* Adds pieces to the delta, each a range to copy from the old text and the new text that follows
 * it. */
static bool
add_pieces (struct Ash__ConfigDelta *delta,
            const struct lines *old,
            const struct index *index,
            const struct lines *new)
{
  uint32_t i = 0;
  uint32_t j = 0;

  while (j < new->count)
    {
      struct Ash__ConfigPiece *piece = add_piece (delta);
      uint32_t first = i;
      uint32_t literal;

      if (!piece)
        return false;
      while (same_line (old, i, new, j))
        {
          i++;
          j++;
        }
      piece->from = old->starts[first];
      piece->length = old->starts[i] - old->starts[first];
      for (literal = j; j < new->count; j++)
        {
          uint32_t next = find_sync (old, index, i, new, j);

          if (next == old->count)
            continue;
          i = next;
          break;
        }
      if (!set_piece_text (piece, new->text + new->starts[literal],
                           new->starts[j] - new->starts[literal]))
        return false;
    }
  return true;
}

struct Ash__ConfigDelta *
ash_config_delta_make (const struct ash_config_text *base, const struct ash_config_text *after)
{
  struct Ash__ConfigDelta *delta = malloc (sizeof *delta);
  struct lines old = { 0 };
  struct lines new = { 0 };
  struct index index = { 0 };
  bool ok = false;

  if (!delta)
    return NULL;
  ash__config_delta__init (delta);
  delta->base_revision = base->revision;
  delta->base_digest = ash_config_digest (base);
  delta->revision = after->revision;
  delta->digest = ash_config_digest (after);
  if (!split (base, &old) || !split (after, &new) || !make_index (&old, &index))
    goto finish;
  ok = add_pieces (delta, &old, &index, &new);
finish:
  free (old.starts);
  free (new.starts);
  free (index.slots);
  if (ok)
    return delta;
  ash__config_delta__free_unpacked (delta, NULL);
  return NULL;
}

/* ---- application ---- */

/* @return length of the result; more than ASH_DOCUMENT_MAX_BYTES if a piece is out of the base
 * text's range. */
static size_t
result_length (const struct ash_config_text *base, const struct Ash__ConfigDelta *delta)
{
  size_t length = 0;

  for (size_t i = 0; i < delta->n_pieces && length <= ASH_DOCUMENT_MAX_BYTES; i++)
    {
      const struct Ash__ConfigPiece *piece = delta->pieces[i];

      if (piece->from > base->length || piece->length > base->length - piece->from)
        return (size_t) ASH_DOCUMENT_MAX_BYTES + 1;
      length += piece->length + piece->text.len;
    }
  return length;
}

char *
ash_config_delta_apply (const struct ash_config_text *base,
                        const struct Ash__ConfigDelta *delta,
                        size_t *length)
{
  struct ash_config_text after = { .length = result_length (base, delta) };
  char *text;
  size_t at = 0;

  if (delta->base_revision != base->revision || delta->base_digest != ash_config_digest (base) ||
      after.length > ASH_DOCUMENT_MAX_BYTES)
    return NULL;
  text = malloc (after.length + 1);
  if (!text)
    return NULL;
  for (size_t i = 0; i < delta->n_pieces; i++)
    {
      const struct Ash__ConfigPiece *piece = delta->pieces[i];

      memcpy (text + at, base->bytes + piece->from, piece->length);
      at += piece->length;
      if (piece->text.len)
        memcpy (text + at, piece->text.data, piece->text.len);
      at += piece->text.len;
    }
  text[at] = '\0';
  after.bytes = text;
  if (ash_config_digest (&after) == delta->digest)
    {
      *length = at;
      return text;
    }
  free (text);
  return NULL;
}
