/**
 * @file
 * Quarantine of requests that make endpoint processes exit. A request is identified by a digest of
 * its content (ash_id_from_request()), not by the id of a submission, so that a repeated one is
 * recognized. The evidence is a series of runs, each begun after the previous one had ended, during
 * each of which the endpoint's process exited. A complete answer clears the request.
 *
 * Each exit loses the endpoint's other requests, and stops a whole group of ranks until the group
 * has formed again.
 */
#ifndef ASH_QUARANTINE_H
#define ASH_QUARANTINE_H

#include "common/clock.h"
#include "common/id.h"

#include <uthash.h>

/** Runs kept per request. After this many process exits during runs of a request, the request
 * always counts as their confirmed cause. */
#define ASH_QUARANTINE_RUNS 3

/** Runs whose connection broke that are kept until it is known whether the endpoint's process
 * exited. */
#define ASH_QUARANTINE_DISCONNECTS 128

/** Maximum number of suspected requests. */
#define ASH_QUARANTINE_SUSPECTS_MAX 512

/** Evidence that an endpoint's process has exited. */
enum ash_quarantine_evidence
{
  ASH_QUARANTINE_CONNECT_REFUSED, /**< a connect attempt right after the break was refused */
  ASH_QUARANTINE_RESTARTED, /**< the endpoint list shows a newer incarnation under the same id */
  ASH_QUARANTINE_ADDRESS_REUSED, /**< the endpoint list shows another endpoint at its address */
};

/** A run of a request that ended with a broken connection or the exit of the endpoint's process. */
struct ash_quarantine_run
{
  struct ash_id request; /**< digest of the request's content */
  uint64_t endpoint;     /**< hash of the endpoint's id */
  struct ash_time sent;
  struct ash_time ended;
  bool spoke;       /**< a part of the answer had been received */
  uint64_t address; /**< hash of the endpoint's address; 0 in runs that a peer has reported */
};

/** A request during whose runs endpoint processes have exited. */
struct ash_quarantine_suspect
{
  struct ash_id request;
  struct ash_quarantine_run runs[ASH_QUARANTINE_RUNS]; /**< oldest first */
  uint32_t count;
  UT_hash_handle hh;
};

/** All suspected and quarantined requests. */
struct ash_quarantine
{
  struct ash_quarantine_suspect *suspects; /**< ordered by evidence, newest last */
  struct ash_quarantine_run disconnects[ASH_QUARANTINE_DISCONNECTS];
  uint32_t disconnect_count; /**< number of disconnects since the start; the newest is at
                                (disconnect_count - 1) % ASH_QUARANTINE_DISCONNECTS */
};

void ash_quarantine_finish (struct ash_quarantine *quarantine);

/**
 * Records a run whose connection broke; it is not known yet whether the endpoint's process exited.
 */
void ash_quarantine_note_disconnect (struct ash_quarantine *quarantine,
                                     const struct ash_quarantine_run *run);

/**
 * Records the exit of an endpoint's process: runs whose connections to it broke shortly before
 * become evidence.
 * @param found the runs that are new evidence; room for ASH_QUARANTINE_DISCONNECTS.
 * @return the number of runs in @p found.
 */
size_t ash_quarantine_note_exit (struct ash_quarantine *quarantine,
                                 uint64_t endpoint,
                                 enum ash_quarantine_evidence evidence,
                                 struct ash_time now,
                                 struct ash_quarantine_run *found);

/**
 * Records that the endpoint list has a new endpoint at an address: the process of any other one
 * there has exited. Otherwise as ash_quarantine_note_exit().
 * @param endpoint hash of the new endpoint's id.
 */
size_t ash_quarantine_note_address_reused (struct ash_quarantine *quarantine,
                                           uint64_t address,
                                           uint64_t endpoint,
                                           struct ash_time now,
                                           struct ash_quarantine_run *found);

/** Adds a run as evidence against its request. @return false if it overlaps the previous run, or
 * memory is short. */
bool ash_quarantine_add_run (struct ash_quarantine *quarantine,
                             const struct ash_quarantine_run *run);

/** @return the number of endpoint exits recorded for the request, up to ASH_QUARANTINE_RUNS. */
uint32_t ash_quarantine_exits (const struct ash_quarantine *quarantine, struct ash_id request);

/** @return remaining ms of the request's quarantine; 0 if it is not quarantined. */
int64_t ash_quarantine_left_ms (const struct ash_quarantine *quarantine,
                                struct ash_id request,
                                struct ash_time now);

/** Clears a request that got its complete answer. @return whether it was suspected. */
bool ash_quarantine_clear (struct ash_quarantine *quarantine, struct ash_id request);

/** Runs the timers: drops old evidence. */
void ash_quarantine_tick (struct ash_quarantine *quarantine, struct ash_time now);

#endif
