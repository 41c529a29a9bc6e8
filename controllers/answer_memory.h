/**
 * @file
 * The memory in which a router keeps answers that callers have not read yet. Each answer may use a
 * part of what is left, so the fuller the memory, the sooner reading from an endpoint pauses: any
 * number of callers that read nothing stay within the limit, and callers that read have no answer
 * to keep.
 */
#ifndef ASH_ANSWER_MEMORY_H
#define ASH_ANSWER_MEMORY_H

#include <stddef.h>
#include <stdint.h>

/** The memory used by all answers, and its limit. */
struct ash_answer_memory
{
  uint64_t used_bytes;
  uint64_t max_bytes;
};

/** @return how much one answer may use now, at most @p max_bytes. */
size_t ash_answer_memory_share (const struct ash_answer_memory *memory, size_t max_bytes);

#endif
