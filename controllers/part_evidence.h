/**
 * @file
 * Evidence against parts of prompts on which endpoint processes exit: runs that were cut off by
 * exits, and answers that got through. An exit is evidence against the parts of the runs that had
 * just begun there. It counts as many bits as it is surprising that the part was among them by
 * chance: none for a part that all requests share, several for a rare one. An answer that got
 * through cancels all earlier evidence against its parts.
 */
#ifndef ASH_PART_EVIDENCE_H
#define ASH_PART_EVIDENCE_H

#include "common/id.h"
#include "controllers/part_history.h"

/** Runs that are kept as evidence. */
#define ASH_PART_RUNS 128

/** An answer has got through once this many of its events have arrived: its endpoint has survived
 * the beginning. */
#define ASH_PART_PASS_EVENTS 3

/** A run that was cut off before its answer had got through. */
struct ash_part_run
{
  struct ash_id request; /**< digest of the request's content */
  uint64_t endpoint;     /**< hash of the endpoint's id */
  struct ash_time sent;
  struct ash_time ended;
  bool begun; /**< the head of the answer had been received, and no event */
  struct ash_prompt_parts parts;
  uint32_t passed_parts; /**< bit i: an answer on part i got through at some router lately */
  bool reported;         /**< by another router */
  bool proven;           /**< the endpoint's process exited */
  bool settled;          /**< all routers have reported what they lost by the exit */
  bool explained;        /**< a part of it is quarantined: its exit is no evidence against others */
  uint32_t passes_before; /**< answers of the service that had got through at this router */
};

/** What the evidence says of a part. */
struct ash_part_verdict
{
  uint32_t exits;    /**< endpoints that exited */
  uint32_t requests; /**< different requests during which they did */
  double bits;       /**< how surprising that is by chance */
  bool passed;       /**< answers on the part got through lately, before these exits */
};

/** All evidence. Valid when zeroed. */
struct ash_part_evidence
{
  struct ash_part_history history;
  struct ash_part_run runs[ASH_PART_RUNS];
  uint32_t run_count;        /**< runs recorded since the start; the newest is at (run_count - 1) %
                                ASH_PART_RUNS */
  struct ash_time proven_at; /**< when a run was last proven */
};

/** @return how many runs are kept. */
uint32_t ash_part_evidence_kept (const struct ash_part_evidence *evidence);

/** @return the newest run of a request at an endpoint, or NULL. */
struct ash_part_run *ash_part_evidence_find (struct ash_part_evidence *evidence,
                                             struct ash_id request,
                                             uint64_t endpoint);

/** Keeps a run. @return the kept one. */
struct ash_part_run *ash_part_evidence_record (struct ash_part_evidence *evidence,
                                               const struct ash_part_run *run,
                                               struct ash_time now);

/** The endpoint's process exited during a run that was kept before. @return it, or NULL. */
struct ash_part_run *ash_part_evidence_prove (struct ash_part_evidence *evidence,
                                              struct ash_id request,
                                              uint64_t endpoint,
                                              struct ash_time now);

/** @return whether the run is too old to be evidence. */
bool ash_part_evidence_is_old (const struct ash_part_run *run, struct ash_time now);

/** @return whether there is evidence that an answer might cancel. */
bool ash_part_evidence_exists (const struct ash_part_evidence *evidence, struct ash_time now);

/** @return a run that has just settled: all that its exit cut off has been reported. NULL: none. */
struct ash_part_run *ash_part_evidence_next_settled (struct ash_part_evidence *evidence,
                                                     struct ash_time now);

/** @return whether an answer on the part got through lately. */
bool ash_part_evidence_passed_lately (const struct ash_part_evidence *evidence,
                                      struct ash_prompt_part part,
                                      struct ash_time now);

/** Weighs the evidence against a part. */
struct ash_part_verdict ash_part_evidence_assess (const struct ash_part_evidence *evidence,
                                                  struct ash_prompt_part part,
                                                  struct ash_time now);

#endif
