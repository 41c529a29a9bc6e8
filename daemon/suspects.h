/**
 * @file
 * Finds requests that terminate the processes of endpoints. When the connection to an endpoint
 * closes during a request, it probes whether the endpoint still accepts connections, records the
 * result as evidence (controllers/quarantine) and sends it to all peers, since callers resubmit
 * such a request to any router.
 */
#ifndef ASH_SUSPECTS_H
#define ASH_SUSPECTS_H

#include "controllers/direct.h"
#include "controllers/quarantine.h"
#include "daemon/suspect_parts.h"
#include "proto/event.h"

#include <ev.h>
#include <netinet/in.h>

struct ash_router;
struct ash_suspect_probe;

/** Notifications to the owner of the requests in progress. */
struct ash_suspects_handler
{
  /** An endpoint has been probed: requests that waited for the result may continue. */
  void (*probed) (struct ash_router *router, uint64_t endpoint);
  /** The request is quarantined from now on: no endpoint may get it. */
  void (*quarantined) (struct ash_router *router, struct ash_id request);
  /** The part is quarantined from now on: no endpoint may get a request with it. */
  void (*part_quarantined) (struct ash_router *router, struct ash_prompt_part part);
};

/** State of the search for requests that terminate endpoints. */
struct ash_suspects
{
  struct ash_router *router;
  const struct ash_suspects_handler *handler;
  struct ash_quarantine quarantine;
  struct ash_suspect_parts parts;
  struct ash_suspect_probe *probes;
  uint64_t ended; /**< endpoint processes that this router found to have ended during requests */
  uint64_t quarantined; /**< number of times that this router quarantined a request, on its own or a
                           peer's evidence */
};

void ash_suspects_open (struct ash_suspects *suspects,
                        struct ash_router *router,
                        const struct ash_suspects_handler *handler);

void ash_suspects_close (struct ash_suspects *suspects);

/** Runs the timers: removes old evidence. */
void ash_suspects_tick (struct ash_suspects *suspects, struct ash_time now);

/**
 * A connection to an endpoint closed while it ran a request: probes whether the endpoint still
 * accepts connections.
 */
void ash_suspects_record_disconnect (struct ash_suspects *suspects,
                                     const struct sockaddr_in *address,
                                     const struct ash_quarantine_run *run);

/** @return how many ms the request stays quarantined; 0: it is not. */
int64_t ash_suspects_left_ms (const struct ash_suspects *suspects,
                              struct ash_id request,
                              struct ash_time now);

/** The list of endpoints has a new incarnation of an endpoint: its previous process has ended. */
void ash_suspects_record_restart (struct ash_suspects *suspects, uint64_t endpoint);

/** The list of endpoints has a new endpoint: the process of a former one at its address has ended.
 */
void ash_suspects_record_new_endpoint (struct ash_suspects *suspects,
                                       const struct ash_direct_endpoint *endpoint);

/** The request got a complete answer: it is no longer suspected. */
void ash_suspects_record_success (struct ash_suspects *suspects, struct ash_id request);

/** Applies the evidence that a peer has sent. */
void ash_suspects_receive (struct ash_suspects *suspects,
                           const char *peer,
                           const struct Ash__SuspectRuns *message);

/** Sends the newest evidence to a peer whose link has just been established. */
void ash_suspects_send (struct ash_suspects *suspects, const char *box);

#endif
