/**
 * @file
 * Requests under which endpoints end, as a task: when the connection to an endpoint ends under a
 * request, asks whether anything still listens there, keeps what that shows
 * (controllers/quarantine) and shares it with all peers, since such a request comes again at any of
 * them.
 */
#ifndef ASH_SUSPECTS_H
#define ASH_SUSPECTS_H

#include "controllers/direct.h"
#include "controllers/quarantine.h"
#include "proto/event.h"

#include <ev.h>
#include <netinet/in.h>

struct ash_router;
struct ash_suspect_probe;

/** What the task tells those that have requests under way. */
struct ash_suspects_handler
{
  /** An endpoint was asked whether it still stands: what waited for that may go on. */
  void (*asked) (struct ash_router *router, uint64_t endpoint);
  /** From now on this request is kept away from endpoints. */
  void (*quarantined) (struct ash_router *router, struct ash_id request);
};

/** The task. */
struct ash_suspects
{
  struct ash_router *router;
  const struct ash_suspects_handler *handler;
  struct ash_quarantine quarantine;
  struct ash_suspect_probe *probes;
  uint64_t ended;       /**< endpoints that this router saw ending under requests */
  uint64_t quarantined; /**< requests that were, as known here */
};

void ash_suspects_open (struct ash_suspects *suspects,
                        struct ash_router *router,
                        const struct ash_suspects_handler *handler);

void ash_suspects_close (struct ash_suspects *suspects);

/** Time goes on. */
void ash_suspects_tick (struct ash_suspects *suspects, struct ash_time now);

/** A connection ended under a run: the endpoint is asked whether it still stands. */
void ash_suspects_record_disconnect (struct ash_suspects *suspects,
                                     const struct sockaddr_in *address,
                                     const struct ash_quarantine_run *run);

/** @return how long the request is kept away from endpoints; 0: it is not. */
int64_t ash_suspects_left_ms (const struct ash_suspects *suspects,
                              struct ash_id request,
                              struct ash_time now);

/** The list tells of a new life of an endpoint. */
void ash_suspects_record_restart (struct ash_suspects *suspects, uint64_t endpoint);

/** The request got a whole answer. */
void ash_suspects_record_success (struct ash_suspects *suspects, struct ash_id request);

/** A peer tells what it has seen. */
void ash_suspects_receive (struct ash_suspects *suspects,
                           const char *peer,
                           const struct Ash__SuspectRuns *message);

/** The link to a peer has come up: it is told of what is known. */
void ash_suspects_send (struct ash_suspects *suspects, const char *box);

#endif
