/**
 * @file
 * Endpoints that are reached directly, without an agent before them: what is
 * known of each, and which one a request goes to. What they did with requests
 * counts more than what they say of themselves.
 */
#ifndef ASH_DIRECT_H
#define ASH_DIRECT_H

#include "common/clock.h"
#include "common/random.h"
#include "controllers/endpoint_terms.h"
#include "controllers/rate_limit.h"

#include <uthash.h>

/** Bytes of an endpoint's id and of other names of it, the closing zero included. */
#define ASH_DIRECT_NAME_BYTES 64

/** Endpoints that a request has been sent to and that are not tried again. */
#define ASH_DIRECT_TRIED_MAX 8

/** Peers that are reported of loads at different times: of the own hall, and of the others. */
#define ASH_DIRECT_AUDIENCES 2

/** What the published list says of an endpoint. */
struct ash_direct_facts
{
  char id[ASH_DIRECT_NAME_BYTES]; /**< a later life may have the same */
  char service[ASH_DIRECT_NAME_BYTES];
  char address[ASH_DIRECT_NAME_BYTES]; /**< IP:PORT */
  char hall[ASH_DIRECT_NAME_BYTES];
  uint32_t slots; /**< requests that it works on at once */
  bool draining;
  int64_t born_ms; /**< when this life of it began, by its own time of day; 0: it does not say */
};

/** Where an endpoint stands in the list. */
enum ash_direct_presence
{
  ASH_DIRECT_LISTED,
  ASH_DIRECT_LAPSED,  /**< missing while the list could not be trusted; still used for a while */
  ASH_DIRECT_REMOVED, /**< gets nothing new; kept until its work has ended */
};

/** An endpoint. */
struct ash_direct_endpoint
{
  struct ash_direct_facts facts;
  uint64_t hash; /**< of the id, as peers name it */
  enum ash_direct_presence presence;
  struct ash_time lapsed_until;
  uint32_t in_flight;                      /**< of this process */
  uint32_t reported[ASH_DIRECT_AUDIENCES]; /**< of these, what each audience was last reported */
  uint32_t elsewhere;                      /**< of its peers, as they last said */
  uint32_t failures;                       /**< in a row */
  uint32_t rejections;                     /**< requests turned away, less answers */
  struct ash_time ejected_until;           /**< others are taken until then */
  double pause_ms;            /**< between events of streams there, smoothed; 0: not known */
  struct ash_time pause_seen; /**< when a pause was last seen */
  double pace;                /**< it takes so many times as long as usual; see pace_seen */
  struct ash_time pace_seen;  /**< when it last reported so; a while later it counts as usual */
  bool announced_leaving;     /**< in an answer: it never takes that back in its life */
  struct ash_rate_limit limit;
  struct ash_time backoff_until; /**< it asked this router for rest until then */
  void *owner;                   /**< of the task that has connections to it */
  UT_hash_handle hh;             /**< by id */
  UT_hash_handle by_hash;
};

/** All endpoints known here. */
struct ash_direct_set
{
  struct ash_direct_endpoint *endpoints; /**< by id */
  struct ash_direct_endpoint *by_hash;   /**< the same */
  struct ash_random random;
  uint64_t revision; /**< of the list */
  /** Tells the owner that one is about to be freed; its connections go first. */
  void (*before_free) (void *data, struct ash_direct_endpoint *endpoint);
  /** Tells the owner that one has started anew, perhaps at another address. */
  void (*restarted) (void *data, struct ash_direct_endpoint *endpoint);
  void *data;
};

/** How a request at an endpoint ended, as evidence about the endpoint. */
enum ash_direct_result
{
  ASH_DIRECT_ANSWERED,
  ASH_DIRECT_FULL,        /**< it turned the request away for want of room */
  ASH_DIRECT_FAILED,      /**< an answer that says that it failed */
  ASH_DIRECT_BROKEN,      /**< the connection broke, or the answer was spoiled */
  ASH_DIRECT_TIMED_OUT,   /**< nothing came for too long */
  ASH_DIRECT_UNREACHABLE, /**< nothing accepts connections there, or another endpoint does */
};

void ash_direct_init (struct ash_direct_set *set, uint64_t seed);
void ash_direct_finish (struct ash_direct_set *set);

struct ash_direct_endpoint *ash_direct_find (const struct ash_direct_set *set, const char *id);
struct ash_direct_endpoint *ash_direct_find_hash (const struct ash_direct_set *set, uint64_t hash);

/** The list has this entry. @return whether something changed. */
bool ash_direct_update (struct ash_direct_set *set, const struct ash_direct_facts *facts);

/**
 * The list no longer has it.
 * @param trusted whether the list was sound all the time: if so it is gone at once,
 * else it is used on until @p until unless it comes back.
 */
bool
ash_direct_remove (struct ash_direct_set *set, const char *id, bool trusted, struct ash_time until);

/** Time goes on: lapsed ones go, and those that are gone and idle are freed. */
void ash_direct_tick (struct ash_direct_set *set, struct ash_time now);

/** A request leaves for the endpoint. */
void ash_direct_note_sent (struct ash_direct_endpoint *endpoint, struct ash_time now);

/** It has turned a request away and wants no others from this router for so long. */
void ash_direct_back_off (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t ms);

/** @return for how long it still wants nothing from this router. */
int64_t ash_direct_backoff_ms (const struct ash_direct_endpoint *endpoint, struct ash_time now);

/** Takes in how a request ended there. */
void ash_direct_note_result (struct ash_direct_endpoint *endpoint,
                             struct ash_time now,
                             enum ash_direct_result evidence);

/** A stream there has paused so long between two events. */
void
ash_direct_note_pause (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t pause_ms);

/** It tells that it takes so many times as long as usual; up to 1 as usual. */
void ash_direct_set_pace (struct ash_direct_endpoint *endpoint, struct ash_time now, double pace);

/** @return how many times as long as usual it takes now; 1 if nothing is known. */
double ash_direct_pace (const struct ash_direct_endpoint *endpoint, struct ash_time now);

/** @return how many endpoints of that service may be sent new work. */
uint32_t ash_direct_count (const struct ash_direct_set *set, const char *service);

/** @return whether it may be sent new work. */
bool ash_direct_usable (const struct ash_direct_endpoint *endpoint);

/** What a search for an endpoint found. */
enum ash_direct_choice
{
  ASH_DIRECT_CHOSEN,
  ASH_DIRECT_ALL_FULL,  /**< there are some, each with as much as it may have */
  ASH_DIRECT_THROTTLED, /**< some have room, but want no request from here now: see
                             ash_direct_wait_ms() */
  ASH_DIRECT_NONE,      /**< there is none */
};

/** What a request asks of an endpoint. */
struct ash_direct_criteria
{
  const char *service;
  const char *hall; /**< where the request is */
  uint64_t own;     /**< any number that tells this router from the others */
  uint32_t
      remote_parts; /**< of the endpoints of other halls, one part in so many is taken; 0: all */
  uint32_t cap;     /**< requests that one endpoint may have at once */
  uint32_t pause_aim_ms; /**< longest pause that is good; 0: the cap holds as it is */
  const uint64_t *tried; /**< hashes of those not to be taken */
  uint32_t tried_count;
};

/**
 * Takes the one with the least work; among equals, one at random. Endpoints of other halls beyond
 * this router's part are taken only if it knows of no other that takes requests.
 */
enum ash_direct_choice ash_direct_choose (struct ash_direct_set *set,
                                          struct ash_time now,
                                          const struct ash_direct_criteria *criteria,
                                          struct ash_direct_endpoint **chosen);

/** @return in how many ms one that has room takes a request again, by what it said of how it wants
 * to be used; below 0: there is none such. */
int64_t ash_direct_wait_ms (const struct ash_direct_set *set,
                            struct ash_time now,
                            const struct ash_direct_criteria *criteria);

#endif
