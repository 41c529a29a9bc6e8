#include "daemon/fleet_roles.h"

#include "controllers/pollers.h"
#include "daemon/router.h"

#include <stdlib.h>
#include <string.h>

/* Routers of the fleet that poll the store at short intervals: one remains if another is lost while
 * a third is being stopped. */
#define FREQUENT_READERS 3

/* Routers of each hall that poll the store: one remains if another is lost while a third is being
 * stopped. If all the routers of a large fleet polled, most calls to the store would only return
 * the change of an endpoint that the store returns to the other routers too. */
#define HALL_READERS 3

/* Routers that are kept informed of a change of an expert map so that they can continue it: one of
 * them may be lost or stopped too. */
#define SUCCESSORS 2

/* A router that is changing an expert map and sends nothing for this long counts as lost. This is
 * several times the interval between its messages, and longer than a small box is busy with one
 * task. */
#define MAP_CHANGE_SILENCE_MS 300

static struct ash_poller
own_candidate (const struct ash_fleet *fleet)
{
  const struct ash_router_settings *settings = &fleet->router->settings;

  return (struct ash_poller){ settings->box, settings->hall, (uint32_t) settings->link_mbps };
}

static struct ash_poller
candidate_of (const struct ash_fleet_peer *peer)
{
  return (struct ash_poller){ peer->box, peer->hall, peer->link_mbps };
}

void
ash_fleet_choose_readers (struct ash_fleet *fleet)
{
  struct ash_poller own = own_candidate (fleet);
  struct ash_poller *others = calloc (HASH_COUNT (fleet->peers) + 1, sizeof *others);
  bool read_before = fleet->reads_store;
  size_t count = 0;

  fleet->polls_often = true;
  fleet->reads_store = true;
  fleet->first_of_hall = true;
  if (!others)
    return;
  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked)
      others[count++] = candidate_of (peer);
  fleet->first_of_hall = ash_pollers_is_chosen_in_hall (own, others, count, HALL_READERS);
  count = 0;
  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && peer->reads_store)
      others[count++] = candidate_of (peer);
  fleet->polls_often = ash_pollers_is_chosen (own, others, count, FREQUENT_READERS);
  fleet->reads_store = ash_pollers_is_chosen_in_hall (own, others, count, HALL_READERS);
  free (others);
  if (fleet->reads_store != read_before)
    ash_log_event (&fleet->router->log, ASH_EV_STORE_READER, "reads=%d able=%zu linked=%u",
                   fleet->reads_store, count, ash_fleet_linked (fleet));
}

bool
ash_fleet_polls_often (const struct ash_fleet *fleet)
{
  return fleet->polls_often;
}

bool
ash_fleet_first_of_hall (const struct ash_fleet *fleet)
{
  return fleet->first_of_hall;
}

bool
ash_fleet_reads_store (const struct ash_fleet *fleet)
{
  return fleet->reads_store;
}

/* @return how many routers the fleet has at least: the number of known routers, or of seeds if
 * there are more seeds. */
static uint32_t
known_count (const struct ash_fleet *fleet)
{
  const struct ash_router_settings *settings = &fleet->router->settings;
  uint32_t known = HASH_COUNT (fleet->peers) + 1;
  uint32_t seeds = 1;

  for (uint32_t i = 0; i < settings->seed_count; i++)
    seeds += strcmp (settings->seeds[i], settings->peer_listen) != 0;
  return known > seeds ? known : seeds;
}

/* Whether a peer stopped sending while it changed an expert map, and may have left a group blocked.
 * Doesn't wait for the link's timeout, which is longer: a router that changes a map sends several
 * messages within MAP_CHANGE_SILENCE_MS to the routers that would lead next. */
static bool
is_stuck (const struct ash_fleet_peer *peer, struct ash_time now)
{
  return peer->changes_map && ash_time_diff (peer->last_received, now) > MAP_CHANGE_SILENCE_MS;
}

static bool
may_lead (const struct ash_fleet_peer *peer, struct ash_time now)
{
  return peer->linked && !peer->leaving && !is_stuck (peer, now);
}

bool
ash_fleet_leads (const struct ash_fleet *fleet)
{
  struct ash_poller own = own_candidate (fleet);
  struct ash_time now = ash_clock_now ();
  uint32_t known = known_count (fleet);
  uint32_t reachable = ash_fleet_linked (fleet) + 1;
  bool first_of_all = true;

  if (!ash_router_ready (fleet->router))
    return false;
  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    {
      bool before = ash_pollers_before (candidate_of (peer), own);

      if (before && may_lead (peer, now))
        return false;
      first_of_all = first_of_all && !before;
    }
  return 2 * reachable > known || (2 * reachable == known && first_of_all);
}

uint32_t
ash_fleet_index (const struct ash_fleet *fleet)
{
  uint32_t before = 0;

  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    before += ash_pollers_before (candidate_of (peer), own_candidate (fleet));
  return before;
}

/* @return the peer that follows `after` in the order of leading, or the first one if `after` is
 * NULL; NULL if there is none. */
static const struct ash_fleet_peer *
next_leader (const struct ash_fleet *fleet, const struct ash_fleet_peer *after)
{
  struct ash_time now = ash_clock_now ();
  const struct ash_fleet_peer *best = NULL;

  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (may_lead (peer, now) &&
        (!after || ash_pollers_before (candidate_of (after), candidate_of (peer))) &&
        (!best || ash_pollers_before (candidate_of (peer), candidate_of (best))))
      best = peer;
  return best;
}

void
ash_fleet_notify_successors (struct ash_fleet *fleet)
{
  const struct ash_fleet_peer *peer = next_leader (fleet, NULL);

  for (int i = 0; i < SUCCESSORS && peer; i++)
    {
      ash_peers_send_heartbeat (&fleet->links, peer->box);
      peer = next_leader (fleet, peer);
    }
}
