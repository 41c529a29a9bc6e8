/**
 * @file
 * The parts of a prompt that requests may share, such as instructions and documents.
 */
#ifndef ASH_PROMPT_PARTS_H
#define ASH_PROMPT_PARTS_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of parts that are looked at; the parts after them are ignored. */
#define ASH_PROMPT_PARTS_MAX 32

/** A part of prompts for one service; a part of the same name of another service is another one. */
struct ash_prompt_part
{
  uint64_t service; /**< hash of the service's name */
  uint64_t id;
};

/** Parts of one request's prompt, without the last one, which belongs to the request or to its
 * session. Each part is in the list once. */
struct ash_prompt_parts
{
  uint64_t service;
  uint64_t ids[ASH_PROMPT_PARTS_MAX];
  uint32_t count;
};

/** @return part @p i of the list. */
static inline struct ash_prompt_part
ash_prompt_parts_get (const struct ash_prompt_parts *parts, uint32_t i)
{
  return (struct ash_prompt_part){ parts->service, parts->ids[i] };
}

/** @return the index of a part in the list; @c count if it is not there. */
static inline uint32_t
ash_prompt_parts_find (const struct ash_prompt_parts *parts, struct ash_prompt_part part)
{
  uint32_t i = 0;

  if (parts->service != part.service)
    return parts->count;
  while (i < parts->count && parts->ids[i] != part.id)
    i++;
  return i;
}

/** @return whether the part is in the list. */
static inline bool
ash_prompt_parts_has (const struct ash_prompt_parts *parts, struct ash_prompt_part part)
{
  return ash_prompt_parts_find (parts, part) < parts->count;
}

#endif
