/**
 * @file
 * Requests under which endpoints end are kept away from all others. A request is known by what is
 * asked (ash_id_from_request()), not by the id of a submission, so that it is known again when it
 * comes anew. The evidence is a run of it that began after the one before had ended and during
 * which the endpoint's process ended too; a whole answer clears the request.
 *
 * Each end costs the endpoint's other requests, and a whole group of ranks stands still until it
 * has formed anew.
 */
#ifndef ASH_QUARANTINE_H
#define ASH_QUARANTINE_H

#include "common/clock.h"
#include "common/id.h"

#include <uthash.h>

/** Runs that are kept of one request: what proves it in any case. */
#define ASH_QUARANTINE_RUNS 3

/** Runs whose connection has ended, kept until it is known whether the endpoint has. */
#define ASH_QUARANTINE_DISCONNECTS 128

/** Requests that are suspected at most. */
#define ASH_QUARANTINE_SUSPECTS_MAX 512

/** What shows that an endpoint's process has ended. */
enum ash_quarantine_evidence
{
  ASH_QUARANTINE_CONNECT_REFUSED, /**< nothing listens there, asked at once */
  ASH_QUARANTINE_RESTARTED,       /**< the list tells of a later life under its id */
};

/** A run of a request under which its connection, or the endpoint itself, ended. */
struct ash_quarantine_run
{
  struct ash_id request; /**< what was asked */
  uint64_t endpoint;     /**< hash of its id */
  struct ash_time sent;
  struct ash_time ended;
  bool spoke; /**< a part of its answer had come */
};

/** A request under which endpoints have ended. */
struct ash_quarantine_suspect
{
  struct ash_id request;
  struct ash_quarantine_run runs[ASH_QUARANTINE_RUNS]; /**< the oldest first */
  uint32_t count;
  UT_hash_handle hh;
};

/** All that are suspected or kept away. */
struct ash_quarantine
{
  struct ash_quarantine_suspect *suspects; /**< the one with the newest evidence last */
  struct ash_quarantine_run disconnects[ASH_QUARANTINE_DISCONNECTS];
  uint32_t disconnect_count; /**< since the start; the newest is the one before */
};

void ash_quarantine_finish (struct ash_quarantine *quarantine);

/** A connection ended under a run; whether the endpoint did is not known yet. */
void ash_quarantine_note_disconnect (struct ash_quarantine *quarantine,
                                     const struct ash_quarantine_run *run);

/**
 * An endpoint has ended; the runs whose connections there ended shortly before are evidence.
 * @param found those that are new evidence; room for ASH_QUARANTINE_DISCONNECTS.
 * @return how many.
 */
size_t ash_quarantine_note_exit (struct ash_quarantine *quarantine,
                                 uint64_t endpoint,
                                 enum ash_quarantine_evidence proof,
                                 struct ash_time now,
                                 struct ash_quarantine_run *found);

/** Takes a run as evidence. @return false if it tells nothing new, or memory is short. */
bool ash_quarantine_add_run (struct ash_quarantine *quarantine,
                             const struct ash_quarantine_run *run);

/** @return how many endpoints' ends are known under this request, up to ASH_QUARANTINE_RUNS. */
uint32_t ash_quarantine_exits (const struct ash_quarantine *quarantine, struct ash_id request);

/** @return for how many ms more the request is kept away from endpoints; 0: it is not. */
int64_t ash_quarantine_left_ms (const struct ash_quarantine *quarantine,
                                struct ash_id request,
                                struct ash_time now);

/** The request got its whole answer: it is not the cause. @return whether it was suspected. */
bool ash_quarantine_clear (struct ash_quarantine *quarantine, struct ash_id request);

/** Time goes on: old evidence goes. */
void ash_quarantine_tick (struct ash_quarantine *quarantine, struct ash_time now);

#endif
