/**
 * @file
 * The other routers: found through the seeds, then through each other, and linked
 * to all. They tell each other where callers reach them, how much work they have at
 * each endpoint, and what they have from the store if one of them can't read it.
 */
#ifndef ASH_FLEET_H
#define ASH_FLEET_H

#include "common/clock.h"
#include "net/peer.h"
#include "platform/store.h"

#include <uthash.h>

struct ash_router;

/** Loads of endpoints that a peer tells at most. */
#define ASH_FLEET_LOADS_MAX 1024

/** Slow endpoints that are reported at most. */
#define ASH_FLEET_SLOW_MAX 64

/** Another router. */
struct ash_fleet_peer
{
  char box[ASH_NAME_BYTES];
  uint64_t hash; /**< of its name */
  char frontend[ASH_NAME_BYTES];
  char address[ASH_NAME_BYTES]; /**< where its links are accepted */
  char hall[ASH_NAME_BYTES];
  bool linked;
  bool needs_peer_names; /**< the link has just come up: it has not been reported of the others yet
                          */
  bool
      needs_full_report; /**< it is to be reported of all of this router's work, and of all terms */
  struct ash_time seen;  /**< when it was last linked */
  struct ash_time heard; /**< its last word */
  bool changes_map;      /**< it said so then */
  bool leaving;
  uint64_t version; /**< of the configuration it has in force */
  uint64_t endpoints_revision;
  uint64_t endpoints_digest; /**< of what its list of endpoints says */
  bool reads_store;          /**< the store answers it */
  uint32_t link_mbps;        /**< what its box can send; 0: not known */
  uint32_t load_count;
  uint64_t *load_endpoints; /**< hashes, as last reported */
  uint64_t *load_in_flight;
  UT_hash_handle hh;
};

/** Peers that are reported of loads at the same time. */
struct ash_fleet_audience
{
  bool loads_changed;
  struct ash_time reported;
  uint32_t tells; /**< messages of changed loads since one of all */
};

/** All that is known of the others. */
struct ash_fleet
{
  struct ash_router *router;
  struct ash_peers links;
  struct ash_fleet_peer *peers;
  ev_timer report_timer;
  struct ash_fleet_audience audiences[ASH_DIRECT_AUDIENCES];
  uint32_t far_linked; /**< peers of other halls that there is a link to */
  bool first_of_hall;  /**< one of the few that try the store again soon when it is away */
  bool answered;       /**< by the store, as the own hall was last reported */
  bool ready;          /**< as all were last reported */
  bool polls_often;    /**< this router is one that asks the store often */
  bool reads_store;    /**< it asks the store at all; else it follows those of its hall that do */
  bool opened;
};

/** Work at an endpoint has changed: peers are reported when their time comes. */
void ash_fleet_loads_changed (struct ash_fleet *fleet);

/** Opens the links. @return false with errno set. */
bool ash_fleet_open (struct ash_fleet *fleet, struct ash_router *router);

void ash_fleet_close (struct ash_fleet *fleet);

/** This process was paused: what the links hold is out of date. */
void ash_fleet_reset_links (struct ash_fleet *fleet);

/** The router is about to stop: the others are reported at once. */
void ash_fleet_announce_stop (struct ash_fleet *fleet);

/** Time goes on: those that were not seen for long are forgotten. */
void ash_fleet_tick (struct ash_fleet *fleet, struct ash_time now);

/** @return parts that endpoints of other halls are dealt into: see ash_peer_period_remote_parts().
 */
uint32_t ash_fleet_far_parts (const struct ash_fleet *fleet);

/** @return how many others there is a link to. */
uint32_t ash_fleet_linked (const struct ash_fleet *fleet);

/**
 * Whether this router changes the maps of groups: the first of those that see each other, in the
 * order of ash_pollers_before(). One that sees less than half of them is more likely cut off
 * itself.
 */
bool ash_fleet_leads (const struct ash_fleet *fleet);

/** A change of a map begins, goes on or is over: those that would lead next are reported at once.
 */
void ash_fleet_notify_successors (struct ash_fleet *fleet);

/**
 * Whether this router is one of the few that ask the store often, spread over the halls of
 * those that see each other and that the store answers. The others hear from them what is new.
 */
bool ash_fleet_polls_often (const struct ash_fleet *fleet);

/**
 * Whether this router asks the store for what is new. In a hall of many a few do, of those that it
 * answers and that see each other; they tell the others.
 */
bool ash_fleet_reads_store (const struct ash_fleet *fleet);

/** Whether this router is one of the first few of its hall that see each other, whether or not the
 * store answers these. */
bool ash_fleet_first_of_hall (const struct ash_fleet *fleet);

/** The configuration in force is new: the own hall is reported at once. */
void ash_fleet_notify_hall (struct ash_fleet *fleet);

/** Sends a message to all linked routers of the own hall. */
void ash_fleet_send_hall (struct ash_fleet *fleet, const struct Ash__Event *event);

/** Sends a message to all linked routers. */
void ash_fleet_send_all (struct ash_fleet *fleet, const struct Ash__Event *event);

/** @return a peer that is linked and has that revision or a newer one, of the own hall if there is
 * such a one; NULL: none. */
const struct ash_fleet_peer *
ash_fleet_peer_with (struct ash_fleet *fleet, enum ash_store_part part, uint64_t revision);

/** @return this router's place among all that are known, in the order in which they lead. */
uint32_t ash_fleet_index (const struct ash_fleet *fleet);

/** @return how many routers share the fleet's bounds, this one included. */
uint32_t ash_fleet_size (const struct ash_fleet *fleet);

#endif
