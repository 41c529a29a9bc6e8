/**
 * @file
 * The parts of a prompt that requests may share, such as instructions and documents.
 */
#ifndef ASH_PROMPT_PARTS_H
#define ASH_PROMPT_PARTS_H

#include <stdint.h>

/** Maximum number of parts that are looked at; the parts after them are ignored. */
#define ASH_PROMPT_PARTS_MAX 32

/** Parts of one request's prompt, without the last one, which belongs to the request or to its
 * session. Each part is in the list once. */
struct ash_prompt_parts
{
  uint64_t service; /**< hash of the service's name: other services' parts are other parts */
  uint64_t ids[ASH_PROMPT_PARTS_MAX];
  uint32_t count;
};

#endif
