/**
 * @file
 * Quarantine of parts of prompts on which endpoint processes exit: the process of each endpoint
 * that begins an answer to a prompt with the part exits, whatever else the prompt holds. The
 * requests differ, and sound requests share their other parts; so the part is inferred from
 * evidence (controllers/part_evidence). After its quarantine, single requests show whether
 * endpoints still exit.
 */
#ifndef ASH_PART_QUARANTINE_H
#define ASH_PART_QUARANTINE_H

#include "common/random.h"
#include "controllers/part_evidence.h"

/** Maximum number of quarantined parts. */
#define ASH_PART_QUARANTINED_MAX 32

/** A part is suspected once this many endpoints have exited on it: requests with it are not sent
 * to a second endpoint, and other routers are told if an answer on it gets through. */
#define ASH_PART_SUSPECTED_EXITS 2

/** A quarantined part. */
struct ash_quarantined_part
{
  struct ash_prompt_part part;
  struct ash_time until;       /**< afterwards single requests are tried */
  struct ash_time trial_until; /**< a request is being tried until then */
  uint32_t level;              /**< number of trials that have failed */
  UT_hash_handle hh;
};

/** All evidence, and what is quarantined. Valid when zeroed. */
struct ash_part_quarantine
{
  struct ash_part_evidence evidence;
  struct ash_quarantined_part *parts; /**< in the order in which they were quarantined */
};

void ash_part_quarantine_finish (struct ash_part_quarantine *quarantine);

/** Records a run of this router; whether the endpoint's process exited is not known yet. */
void ash_part_quarantine_note_run (struct ash_part_quarantine *quarantine,
                                   const struct ash_part_run *run,
                                   struct ash_time now);

/** The endpoint's process exited during a run that was recorded before.
 * @return the run, as evidence; NULL: it is not kept. */
const struct ash_part_run *ash_part_quarantine_prove_run (struct ash_part_quarantine *quarantine,
                                                          struct ash_id request,
                                                          uint64_t endpoint,
                                                          struct ash_time now);

/** Adds a run that another router has reported. @return it; NULL: it is known already, or old. */
const struct ash_part_run *ash_part_quarantine_add_run (struct ash_part_quarantine *quarantine,
                                                        const struct ash_part_run *run,
                                                        struct ash_time now);

/**
 * Quarantines the part of a run against which the evidence is strongest, if it is strong enough.
 * To be repeated until it returns NULL.
 * @param run as returned by this module.
 * @param verdict set to what the evidence says of the part that is returned.
 */
const struct ash_quarantined_part *
ash_part_quarantine_judge (struct ash_part_quarantine *quarantine,
                           const struct ash_part_run *run,
                           struct ash_time now,
                           struct ash_part_verdict *verdict);

/**
 * Several routers may come to the same conclusion, and one that is told needs no evidence.
 * @param routers size of the fleet.
 * @return whether this router tells the others that it has quarantined a part because of this run:
 * always if it has lost the run, otherwise some of a large fleet.
 */
bool ash_part_quarantine_is_told (const struct ash_part_run *run,
                                  uint32_t routers,
                                  struct ash_random *random);

/** @return a run that has just settled and must be judged again; NULL: none is left. */
const struct ash_part_run *ash_part_quarantine_next_settled (struct ash_part_quarantine *quarantine,
                                                             struct ash_time now);

/** Records that the answer to a request of this router got through.
 * @param told set to those of its parts that other routers must be told of: they suspect them. */
void ash_part_quarantine_note_pass (struct ash_part_quarantine *quarantine,
                                    const struct ash_prompt_parts *parts,
                                    struct ash_time now,
                                    struct ash_prompt_parts *told);

/** An answer on the part got through at another router. @return whether it was quarantined. */
bool ash_part_quarantine_clear (struct ash_part_quarantine *quarantine,
                                struct ash_prompt_part part,
                                struct ash_time now);

/**
 * Takes a quarantine over from another router.
 * @return the part; NULL: it is quarantined already, or answers on it got through here lately.
 */
const struct ash_quarantined_part *
ash_part_quarantine_take_over (struct ash_part_quarantine *quarantine,
                               struct ash_prompt_part part,
                               int64_t left_ms,
                               uint32_t level,
                               struct ash_time now);

/** @return whether these numbers can be those of a quarantined part. */
bool ash_part_quarantine_is_valid (int64_t left_ms, uint32_t level);

/** @return the first of the parts that is quarantined, or was and is being tried; NULL: none. */
const struct ash_quarantined_part *
ash_part_quarantine_find (const struct ash_part_quarantine *quarantine,
                          const struct ash_prompt_parts *parts);

/**
 * @param may_try whether this router may try requests with parts whose time is over.
 * @return in how many ms a request with these parts may return; 0: it may be sent.
 */
int64_t ash_part_quarantine_left_ms (const struct ash_part_quarantine *quarantine,
                                     const struct ash_prompt_parts *parts,
                                     struct ash_time now,
                                     bool may_try);

/** A request is sent. @return whether it is a trial of a quarantined part. */
bool ash_part_quarantine_note_sent (struct ash_part_quarantine *quarantine,
                                    const struct ash_prompt_parts *parts,
                                    struct ash_time now);

/** @return the most endpoints that have exited on one of the parts, those left out that got through
 * lately. */
uint32_t ash_part_quarantine_suspicion (const struct ash_part_quarantine *quarantine,
                                        const struct ash_prompt_parts *parts,
                                        struct ash_time now);

/** Runs the timers: forgets parts that were quarantined long ago. */
void ash_part_quarantine_tick (struct ash_part_quarantine *quarantine, struct ash_time now);

#endif
