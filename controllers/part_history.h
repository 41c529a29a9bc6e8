/**
 * @file
 * What a router has seen of the parts of prompts: how common each is among the requests for its
 * service, and when an answer to a prompt with it last got through. The parts that were not seen
 * for longest are forgotten first.
 */
#ifndef ASH_PART_HISTORY_H
#define ASH_PART_HISTORY_H

#include "common/clock.h"
#include "controllers/prompt_parts.h"

#include <uthash.h>

/** Maximum number of parts that are kept. */
#define ASH_PART_HISTORY_PARTS_MAX 512

/** Maximum number of services that are kept. */
#define ASH_PART_HISTORY_SERVICES_MAX 64

/** Counts of one part. */
struct ash_part_record
{
  struct ash_prompt_part part;
  uint32_t requests;         /**< recent requests with the part */
  struct ash_time passed_at; /**< when an answer last got through; zero: never */
  UT_hash_handle hh;         /**< least recently seen first */
};

/** Counts of one service. */
struct ash_part_service
{
  uint64_t service;  /**< hash of its name */
  uint32_t requests; /**< recent requests with parts */
  uint32_t passes;   /**< answers that got through, since the start */
  UT_hash_handle hh;
};

/** All counts. Valid when zeroed. */
struct ash_part_history
{
  struct ash_part_record *records;
  struct ash_part_service *services;
};

void ash_part_history_finish (struct ash_part_history *history);

/** Counts a request that is sent to an endpoint. */
void ash_part_history_note_request (struct ash_part_history *history,
                                    const struct ash_prompt_parts *parts);

/** Records that the answer to a request of this router got through. */
void ash_part_history_note_pass (struct ash_part_history *history,
                                 const struct ash_prompt_parts *parts,
                                 struct ash_time now);

/** Records that an answer to some prompt with the part got through at another router. */
void ash_part_history_set_passed (struct ash_part_history *history,
                                  struct ash_prompt_part part,
                                  struct ash_time now);

/** @return when an answer to a prompt with the part last got through; zero: never, or forgotten. */
struct ash_time ash_part_history_passed_at (const struct ash_part_history *history,
                                            struct ash_prompt_part part);

/**
 * @param more number of further requests, all of which had the part.
 * @return the share of the service's requests that have the part, above 0 and below 1. If none was
 * seen it is a half.
 */
double ash_part_history_share (const struct ash_part_history *history,
                               struct ash_prompt_part part,
                               uint32_t more);

/** @return how many different parts are kept. */
uint32_t ash_part_history_parts (const struct ash_part_history *history);

/** @return how many answers of the service got through at this router since its start. */
uint32_t ash_part_history_passes (const struct ash_part_history *history, uint64_t service);

#endif
