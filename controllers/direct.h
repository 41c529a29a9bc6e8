/**
 * @file
 * Endpoints that are reached directly, without an agent in front of them: what is known of each,
 * and the choice of one for a request. The results of requests count more than what endpoints
 * report about themselves.
 */
#ifndef ASH_DIRECT_H
#define ASH_DIRECT_H

#include "common/clock.h"
#include "common/random.h"
#include "controllers/cold_start.h"
#include "controllers/endpoint_terms.h"
#include "controllers/evacuations.h"
#include "controllers/outlier.h"
#include "controllers/rate_limit.h"

#include <uthash.h>

/** Size in bytes of an endpoint's id and other names, including the terminating NUL. */
#define ASH_DIRECT_NAME_BYTES 64

/** Maximum number of endpoints that are excluded from further attempts of a request because they
 * were already tried. */
#define ASH_DIRECT_TRIED_MAX 8

/** Groups of peers that get load reports at different periods: routers of the same hall, and those
 * of other halls. */
#define ASH_DIRECT_AUDIENCES 2

/** An endpoint as published in the endpoint list. */
struct ash_direct_facts
{
  char id[ASH_DIRECT_NAME_BYTES]; /**< may be reused after a restart */
  char service[ASH_DIRECT_NAME_BYTES];
  char address[ASH_DIRECT_NAME_BYTES]; /**< IP:PORT */
  char hall[ASH_DIRECT_NAME_BYTES];
  uint32_t slots; /**< requests processed concurrently */
  bool draining;
  int64_t cold_ms; /**< remaining cold time when the entry was written; -1: it was not valid */
  int64_t born_ms; /**< start of this incarnation, by the endpoint's wall clock; 0: not published */
};

/** An endpoint's state with respect to the list. */
enum ash_direct_presence
{
  ASH_DIRECT_LISTED,
  ASH_DIRECT_LAPSED,  /**< missing from a list that could not be trusted; still used for a while */
  ASH_DIRECT_REMOVED, /**< gets no new requests; freed when its requests have ended */
};

/** An endpoint and the state that this router keeps of it. */
struct ash_direct_endpoint
{
  struct ash_direct_facts facts;
  uint64_t hash; /**< hash of the id; identifies the endpoint in messages to peers */
  enum ash_direct_presence presence;
  struct ash_time lapsed_until;
  uint32_t in_flight;                      /**< requests from this router */
  uint32_t reported[ASH_DIRECT_AUDIENCES]; /**< value of in_flight last sent to each audience */
  uint32_t peers_in_flight;      /**< requests from other routers, as they last reported */
  uint32_t failures;             /**< consecutive failed requests */
  uint32_t rejections;           /**< requests rejected for lack of capacity, minus answered ones */
  struct ash_time ejected_until; /**< other endpoints are preferred until then */
  struct ash_time answered_at;   /**< when it last answered a request of this router */
  struct ash_outlier outlier;    /**< failures that routers have told each other */
  double pause_ms; /**< moving average of the time between stream events; 0: not known */
  struct ash_time pause_measured_at; /**< when a pause was last measured */
  double pace; /**< processing time relative to normal; ignored some time after pace_reported_at */
  struct ash_time pace_reported_at; /**< when the pace was last reported */
  struct ash_cold_start cold;
  struct ash_time stalled_until; /**< the endpoint's group is stalled until then */
  bool evacuated;                /**< the operator evacuates the endpoint's hall */
  bool announced_leaving;        /**< an answer announced its shutdown; reset when it restarts */
  struct ash_rate_limit limit;
  struct ash_time
      backoff_until; /**< the endpoint requested that this router send it nothing until then */
  void *owner;       /**< user data of the code that holds its connections */
  UT_hash_handle hh; /**< by id */
  UT_hash_handle by_hash;
};

/** All endpoints known to this router. */
struct ash_direct_set
{
  struct ash_direct_endpoint *endpoints; /**< by id */
  struct ash_direct_endpoint *by_hash;   /**< the same endpoints, by hash */
  struct ash_random random;
  uint64_t revision; /**< revision of the endpoint list */
  struct ash_evacuations evacuations;
  /** Called before an endpoint is freed, so that its connections can be closed. May be NULL. */
  void (*before_free) (void *data, struct ash_direct_endpoint *endpoint);
  /** Called when an endpoint is listed that was not known. May be NULL. */
  void (*added) (void *data, struct ash_direct_endpoint *endpoint);
  /** Called when an endpoint has restarted, maybe at another address. May be NULL. */
  void (*restarted) (void *data, struct ash_direct_endpoint *endpoint);
  void *data;
};

/** Result of a request, as far as it indicates the endpoint's health. */
enum ash_direct_result
{
  ASH_DIRECT_ANSWERED,
  ASH_DIRECT_FULL,        /**< rejected for lack of capacity */
  ASH_DIRECT_FAILED,      /**< answered with an error */
  ASH_DIRECT_BROKEN,      /**< the connection broke, or the answer was malformed */
  ASH_DIRECT_TIMED_OUT,   /**< nothing was received for too long */
  ASH_DIRECT_UNREACHABLE, /**< connect failed, or another endpoint listens at the address */
};

void ash_direct_init (struct ash_direct_set *set, uint64_t seed);
void ash_direct_finish (struct ash_direct_set *set);

struct ash_direct_endpoint *ash_direct_find (const struct ash_direct_set *set, const char *id);
struct ash_direct_endpoint *ash_direct_find_hash (const struct ash_direct_set *set, uint64_t hash);

/** Adds or updates an endpoint from its list entry. @return whether anything changed. */
bool ash_direct_update (struct ash_direct_set *set, const struct ash_direct_facts *facts);

/**
 * Handles the removal of an endpoint from the list.
 * @param trusted whether the list can be trusted, so that the endpoint was really removed. If so it
 * gets no more requests; otherwise it is used until @p until, or longer if it is listed again.
 * @return whether its state changed.
 */
bool
ash_direct_remove (struct ash_direct_set *set, const char *id, bool trusted, struct ash_time until);

/** Runs the timers: removes lapsed endpoints when their time is over, frees removed ones that have
 * no requests. */
void ash_direct_tick (struct ash_direct_set *set, struct ash_time now);

/** Counts a request that is being sent to the endpoint. */
void ash_direct_note_sent (struct ash_direct_endpoint *endpoint, struct ash_time now);

/**
 * Sends the endpoint nothing for @p ms: it rejected a request and requested a back-off.
 */
void ash_direct_back_off (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t ms);

/** @return remaining ms of the back-off; 0 if there is none. */
int64_t ash_direct_backoff_ms (const struct ash_direct_endpoint *endpoint, struct ash_time now);

/** Records that the endpoint's group is stalled, so that other endpoints are preferred for @p ms;
 * 0: it runs again. */
void ash_direct_set_stalled (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t ms);

/** Updates the endpoint's ejection state with the result of a request. */
void ash_direct_note_result (struct ash_direct_endpoint *endpoint,
                             struct ash_time now,
                             enum ash_direct_result result);

/** @return whether the endpoint may be left out too: see ash_outlier_may_leave_out(). */
bool ash_direct_may_leave_out (const struct ash_direct_set *set,
                               const struct ash_direct_endpoint *endpoint,
                               double part);

/** Another router got an answer from the endpoint: discards the failures seen before. */
void ash_direct_restore (struct ash_direct_endpoint *endpoint);

/** Adds a measured time between two events of a stream to the endpoint's average. */
void
ash_direct_note_pause (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t pause_ms);

/** Sets the reported pace: processing time relative to normal. Values up to 1 mean normal. */
void ash_direct_set_pace (struct ash_direct_endpoint *endpoint, struct ash_time now, double pace);

/** @return processing time relative to normal; 1 if normal or not known. */
double ash_direct_pace (const struct ash_direct_endpoint *endpoint, struct ash_time now);

/** @return the number of usable endpoints of a service. */
uint32_t ash_direct_count (const struct ash_direct_set *set, const char *service);

/** @return whether an endpoint of the service is unused only because its hall is evacuated. */
bool ash_direct_has_evacuated (const struct ash_direct_set *set, const char *service);

/** Applies the set's evacuations to its endpoints; to be called after each change of them. */
void ash_direct_apply_evacuations (struct ash_direct_set *set);

/** @return whether the endpoint may get new requests: listed or lapsed, not leaving, and not in an
 * evacuated hall. */
bool ash_direct_usable (const struct ash_direct_endpoint *endpoint);

/** Result of ash_direct_choose(). */
enum ash_direct_choice
{
  ASH_DIRECT_CHOSEN,
  ASH_DIRECT_ALL_FULL,  /**< every endpoint has reached its cap */
  ASH_DIRECT_THROTTLED, /**< some are below their cap, but back-off or rate limits forbid a request
                           now: see ash_direct_wait_ms() */
  ASH_DIRECT_NONE,      /**< no endpoint matches */
};

/** Criteria for choosing an endpoint. Nothing is owned. */
struct ash_direct_criteria
{
  const char *service;
  const char *hall;      /**< hall of this router; NULL: halls don't matter */
  uint64_t router_id;    /**< hash that identifies this router */
  uint32_t remote_parts; /**< this router uses 1 / remote_parts of the endpoints of other halls; 0
                            or 1: all of them */
  uint32_t cap;          /**< maximum concurrent requests of one endpoint, over all routers */
  double reserved;       /**< fraction of the cap that the request must leave free, 0 to 1 */
  uint32_t pause_target_ms; /**< target time between stream events; 0: the cap is fixed */
  const uint64_t *tried;    /**< hashes of endpoints not to choose */
  uint32_t tried_count;
};

/**
 * Chooses the endpoint with the lowest weighted load; among equals, one at random. Each
 * router has a part of the endpoints of other halls; the rest of them are considered only if no
 * other endpoint matches, or if all other endpoints below their cap are throttled.
 * @param chosen set to the endpoint, or NULL.
 */
enum ash_direct_choice ash_direct_choose (struct ash_direct_set *set,
                                          struct ash_time now,
                                          const struct ash_direct_criteria *criteria,
                                          struct ash_direct_endpoint **chosen);

/** @return ms until the back-off and rate limit of some endpoint below its cap allow a request;
 * below 0 if there is no such endpoint. */
int64_t ash_direct_wait_ms (const struct ash_direct_set *set,
                            struct ash_time now,
                            const struct ash_direct_criteria *criteria);

#endif
