#include "controllers/answer_memory.h"

/* An answer may use 1 / SHARE_DIVISOR of the unused memory: one slow caller can't take much of it,
 * and if callers are few, each may use all that it usually may. */
#define SHARE_DIVISOR 8

size_t
ash_answer_memory_share (const struct ash_answer_memory *memory, size_t max_bytes)
{
  uint64_t left_bytes =
      memory->used_bytes < memory->max_bytes ? memory->max_bytes - memory->used_bytes : 0;
  uint64_t share_bytes = left_bytes / SHARE_DIVISOR;

  return share_bytes < max_bytes ? (size_t) share_bytes : max_bytes;
}
