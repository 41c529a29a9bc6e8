/**
 * @file
 * The other routers: discovered through the seeds and then through each other, and linked to all
 * others. Routers report to each other the address at which callers reach them, how much work they
 * have at each endpoint, and what they have read from the store, for routers that can't read it.
 */
#ifndef ASH_FLEET_H
#define ASH_FLEET_H

#include "common/clock.h"
#include "net/peer.h"
#include "platform/store.h"

#include <uthash.h>

struct ash_router;

/** Upper limit of endpoint loads in one message. */
#define ASH_FLEET_LOADS_MAX 1024

/** Upper limit of slow endpoints in one message. */
#define ASH_FLEET_SLOW_MAX 64

/** A peer: another router of the fleet, as this router knows it. */
struct ash_fleet_peer
{
  char box[ASH_NAME_BYTES];
  uint64_t hash; /**< hash of the box's name */
  char frontend[ASH_NAME_BYTES];
  char address[ASH_NAME_BYTES]; /**< address at which the peer accepts links */
  char hall[ASH_NAME_BYTES];
  bool linked;
  bool needs_peer_names;  /**< the link has just come up: the next heartbeat may list the other
                             routers */
  bool needs_full_report; /**< the peer must be sent all loads of this router and the terms of all
                             endpoints */
  struct ash_time last_linked;   /**< when the link to the peer was last up */
  struct ash_time last_received; /**< when the peer's last message came */
  bool changes_map; /**< the peer's last heartbeat reported that it is changing an expert map */
  bool leaving;
  uint64_t version; /**< version of the peer's active configuration */
  uint64_t endpoints_revision;
  uint64_t endpoints_digest; /**< digest of the peer's list of endpoints */
  bool reads_store;          /**< the store answers the peer */
  uint32_t link_mbps;        /**< bandwidth of the peer's box in Mbit/s; 0: not known */
  uint32_t load_count;
  uint64_t *load_endpoints; /**< hashes of the endpoints in the peer's load reports */
  uint64_t *load_in_flight;
  UT_hash_handle hh;
};

/** A set of peers that are sent load reports at the same time. */
struct ash_fleet_audience
{
  bool loads_changed;
  struct ash_time last_sent;
  uint32_t delta_count; /**< number of reports with changes only that were sent since the last full
                           report */
};

/** The other routers, and this router's role among them. */
struct ash_fleet
{
  struct ash_router *router;
  struct ash_peers links;
  struct ash_fleet_peer *peers;
  ev_timer report_timer;
  struct ash_fleet_audience audiences[ASH_DIRECT_AUDIENCES];
  uint32_t far_linked; /**< linked peers in other halls */
  bool first_of_hall;  /**< this router is one of the first few of its hall, which retry soon while
                          the store is unreachable */
  bool store_answered; /**< whether the store answers this router, as last reported to the hall */
  bool ready_sent;     /**< whether callers may use this router, as last reported to all peers */
  bool polls_often;    /**< this router polls the store at short intervals */
  bool reads_store;    /**< this router polls the store; otherwise it receives changes from the
                          routers of its hall that poll */
  bool opened;
  struct ash_time opened_at;
};

/** Makes the next periodic load report include a changed number of requests at an endpoint. */
void ash_fleet_loads_changed (struct ash_fleet *fleet);

/** Starts to accept and open links. @return false with errno set. */
bool ash_fleet_open (struct ash_fleet *fleet, struct ash_router *router);

void ash_fleet_close (struct ash_fleet *fleet);

/** After a suspension of this process: resets all links, whose state is outdated. */
void ash_fleet_reset_links (struct ash_fleet *fleet);

/** Reports to all peers immediately that this router is about to stop. */
void ash_fleet_announce_stop (struct ash_fleet *fleet);

/** Runs the timers: updates the roles, and removes peers that have had no link for long. */
void ash_fleet_tick (struct ash_fleet *fleet, struct ash_time now);

/**
 * @return into how many parts the endpoints of other halls are divided, of which this router uses
 * one: see ash_peer_period_remote_parts().
 */
uint32_t ash_fleet_remote_parts (const struct ash_fleet *fleet);

/** @return how many peers are linked. */
uint32_t ash_fleet_linked (const struct ash_fleet *fleet);

/**
 * @return whether this router changes the expert maps of groups: it is ready, and no other linked
 * router that could do so precedes it in the order of ash_pollers_before(). A router with links to
 * less than half of the known routers is more likely to be isolated itself, and does not.
 */
bool ash_fleet_leads (const struct ash_fleet *fleet);

/**
 * Sends a heartbeat immediately to the routers that would lead next: this router has started,
 * continues or has finished a change of a map.
 */
void ash_fleet_notify_successors (struct ash_fleet *fleet);

/**
 * @return whether this router polls the store at short intervals. A few routers, spread over the
 * halls, do so and forward changes to the others. They are chosen among the linked routers that
 * receive answers from the store.
 */
bool ash_fleet_polls_often (const struct ash_fleet *fleet);

/**
 * @return whether this router polls the store for changes. In a large hall only a few routers poll
 * the store and forward changes to the others. They are chosen among the linked routers that
 * receive answers from the store.
 */
bool ash_fleet_reads_store (const struct ash_fleet *fleet);

/**
 * @return whether this router is one of the first few linked routers of its hall, whether or not
 * the store answers them.
 */
bool ash_fleet_first_of_hall (const struct ash_fleet *fleet);

/** Sends a heartbeat to all linked routers of the own hall immediately. */
void ash_fleet_notify_hall (struct ash_fleet *fleet);

/** Sends a message to all linked routers of the own hall. */
void ash_fleet_send_hall (struct ash_fleet *fleet, const struct Ash__Event *event);

/** Sends a message to all linked routers. */
void ash_fleet_send_all (struct ash_fleet *fleet, const struct Ash__Event *event);

/**
 * @return a random linked peer that has this revision of a part of the store or a newer one,
 * preferably in the own hall; NULL: there is none.
 */
const struct ash_fleet_peer *
ash_fleet_peer_with (struct ash_fleet *fleet, enum ash_store_part part, uint64_t revision);

/** @return this router's index among all known routers, in the order in which they lead. */
uint32_t ash_fleet_index (const struct ash_fleet *fleet);

/** @return how many routers share the limits that apply to the whole fleet, including this one. */
uint32_t ash_fleet_size (const struct ash_fleet *fleet);

#endif
