/**
 * @file
 * The other routers: discovered through the seeds and then through each other, and linked to all
 * others. Routers report to each other the address at which callers reach them, how much work they
 * have at each endpoint, and what they have read from the store, for those that can't read it.
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

/** Another router. */
struct ash_fleet_peer
{
  char box[ASH_NAME_BYTES];
  uint64_t hash; /**< of the box's name */
  char frontend[ASH_NAME_BYTES];
  char address[ASH_NAME_BYTES]; /**< where it accepts links from peers */
  char hall[ASH_NAME_BYTES];
  bool linked;
  bool needs_peer_names;  /**< the link has just come up: the next heartbeat may list the other
                             routers */
  bool needs_full_report; /**< it needs all loads of this router and the terms of all endpoints */
  struct ash_time last_linked;   /**< when there last was a link to it */
  struct ash_time last_received; /**< when its last message came */
  bool changes_map;              /**< it is changing a map, as its last heartbeat says */
  bool leaving;
  uint64_t version; /**< of its active configuration */
  uint64_t endpoints_revision;
  uint64_t endpoints_digest; /**< of the contents of its list of endpoints */
  bool reads_store;          /**< the store answers it */
  uint32_t link_mbps;        /**< what its box can send; 0: not known */
  uint32_t load_count;
  uint64_t *load_endpoints; /**< hashes of the endpoints that it last reported */
  uint64_t *load_in_flight;
  UT_hash_handle hh;
};

/** Peers that are sent loads at the same time. */
struct ash_fleet_audience
{
  bool loads_changed;
  struct ash_time last_sent;
  uint32_t delta_count; /**< messages with changes only since one with all loads */
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
  bool first_of_hall;  /**< one of the first few of its hall, which retry soon while the store is
                          unreachable */
  bool store_answered; /**< whether the store answers, as last reported to the hall */
  bool ready_sent;     /**< as last reported to all peers */
  bool polls_often;    /**< this router polls the store at short intervals */
  bool reads_store;    /**< it polls the store; else it follows the routers of its hall that do */
  bool opened;
};

/** The number of requests at an endpoint has changed: reports it at the next interval. */
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
 * one: see ash_talk_far_parts().
 */
uint32_t ash_fleet_far_parts (const struct ash_fleet *fleet);

/** @return how many peers are linked. */
uint32_t ash_fleet_linked (const struct ash_fleet *fleet);

/**
 * @return whether this router changes the expert maps of groups: it is ready, and no other linked
 * router that could do so precedes it in the order of ash_askers_before(). A router with links to
 * less than half of the known routers is more likely to be isolated itself, and does not.
 */
bool ash_fleet_leads (const struct ash_fleet *fleet);

/**
 * Sends a heartbeat immediately to the routers that would lead next: this router has started,
 * continues or has finished a change of a map.
 */
void ash_fleet_notify_successors (struct ash_fleet *fleet);

/**
 * @return whether this router polls the store at short intervals. A few routers do, spread over the
 * halls of those that are linked and that the store answers. They forward changes to the others.
 */
bool ash_fleet_polls_often (const struct ash_fleet *fleet);

/**
 * @return whether this router polls the store for changes. In a large hall a few routers do, of
 * those that are linked and that the store answers; they forward changes to the others.
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
 * @return a random linked peer that has this revision or a newer one, preferably in the own hall;
 * NULL: there is none.
 */
const struct ash_fleet_peer *
ash_fleet_peer_with (struct ash_fleet *fleet, enum ash_store_part part, uint64_t revision);

/** @return this router's index among all known routers, in the order in which they lead. */
uint32_t ash_fleet_index (const struct ash_fleet *fleet);

/** @return how many routers share the limits that apply to the whole fleet, including this one. */
uint32_t ash_fleet_size (const struct ash_fleet *fleet);

#endif
