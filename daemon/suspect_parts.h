/**
 * @file
 * Exchanges evidence about parts of prompts on which endpoints exit (controllers/part_quarantine)
 * with the other routers, and logs what is decided by it. The runs themselves are reported together
 * with those of requests: daemon/suspects.h.
 */
#ifndef ASH_SUSPECT_PARTS_H
#define ASH_SUSPECT_PARTS_H

#include "controllers/part_quarantine.h"
#include "proto/event.h"

struct ash_router;

/** State of the search for parts of prompts on which endpoints exit. */
struct ash_suspect_parts
{
  struct ash_router *router;
  /** The part is quarantined from now on: no endpoint may get a request with it. */
  void (*quarantined) (struct ash_router *router, struct ash_prompt_part part);
  struct ash_part_quarantine quarantine;
  uint64_t quarantined_total; /**< parts that this router has quarantined, on any evidence */
};

void ash_suspect_parts_open (struct ash_suspect_parts *suspects,
                             struct ash_router *router,
                             void (*quarantined) (struct ash_router *router,
                                                  struct ash_prompt_part part));

void ash_suspect_parts_close (struct ash_suspect_parts *suspects);

/** Runs the timers: judges evidence that is now complete, and forgets old parts. */
void ash_suspect_parts_tick (struct ash_suspect_parts *suspects, struct ash_time now);

/**
 * Judges runs that have become evidence of an endpoint's exit.
 * @param source who reported them, for the log.
 */
void ash_suspect_parts_judge (struct ash_suspect_parts *suspects,
                              const struct ash_part_run *const runs[],
                              size_t count,
                              const char *source);

/** Records that the answer to a request got through, and reports it to all peers if they may
 * suspect its parts. */
void ash_suspect_parts_record_pass (struct ash_suspect_parts *suspects,
                                    const struct ash_prompt_parts *parts);

/** Adds a run's parts to the report of the run. They belong to @p run. */
void ash_suspect_parts_describe (const struct ash_part_run *run, struct Ash__SuspectRun *message);

/** Applies the runs and parts that a peer has sent. */
void ash_suspect_parts_receive (struct ash_suspect_parts *suspects,
                                const char *peer,
                                const struct Ash__SuspectRuns *message);

/** Sends recent runs and quarantined parts to a peer whose link has just been established. */
void ash_suspect_parts_send (struct ash_suspect_parts *suspects, const char *box);

#endif
