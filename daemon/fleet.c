#include "daemon/fleet.h"

#include "common/id.h"
#include "controllers/peer_period.h"
#include "daemon/evacuation.h"
#include "daemon/fleet_loads.h"
#include "daemon/fleet_rates.h"
#include "daemon/fleet_roles.h"
#include "daemon/fleet_terms.h"
#include "daemon/router.h"

#include <stdlib.h>
#include <string.h>

/* Upper limit of routers that a heartbeat lists, starting from a random router. */
#define KNOWN_PEERS_MAX 64

/* A new router gets the list of all routers from the seeds, and from about this many other routers
 * in case the seeds no longer run. */
#define LISTS_TO_NEW_PEER 8

/* A router to which there was no link for this long is forgotten: it is not expected to return
 * under the same name. */
#define PEER_EXPIRY_MS 30000

static struct ash_fleet_peer *
find_peer (const struct ash_fleet *fleet, const char *box)
{
  struct ash_fleet_peer *peer;

  HASH_FIND_STR (fleet->peers, box, peer);
  return peer;
}

static struct ash_fleet_peer *
add_peer (struct ash_fleet *fleet, const char *box)
{
  struct ash_fleet_peer *peer = find_peer (fleet, box);

  if (peer)
    return peer;
  peer = calloc (1, sizeof *peer);
  if (!peer)
    return NULL;
  snprintf (peer->box, sizeof peer->box, "%s", box);
  peer->hash = ash_hash_text (box);
  peer->last_linked = ash_clock_now ();
  HASH_ADD_STR (fleet->peers, box, peer);
  return peer;
}

/* ---- membership ---- */

static void
handle_heartbeat (struct ash_fleet *fleet,
                  struct ash_fleet_peer *peer,
                  const struct Ash__Heartbeat *heartbeat)
{
  const char *own = fleet->router->settings.peer_listen;

  snprintf (peer->frontend, sizeof peer->frontend, "%s", heartbeat->frontend);
  snprintf (peer->address, sizeof peer->address, "%s", heartbeat->peer_address);
  snprintf (peer->hall, sizeof peer->hall, "%s", heartbeat->hall);
  peer->leaving = heartbeat->leaving;
  peer->version = heartbeat->revision;
  /* The peer discarded this router's reports about endpoints while it had no list of endpoints. */
  peer->needs_full_report =
      peer->needs_full_report || (heartbeat->endpoints_revision && !peer->endpoints_revision);
  peer->endpoints_revision = heartbeat->endpoints_revision;
  peer->endpoints_digest = heartbeat->endpoints_digest;
  peer->reads_store = heartbeat->reads_platform;
  peer->link_mbps = heartbeat->link_mbps;
  peer->changes_map = heartbeat->changes_map;
  for (size_t i = 0; i < heartbeat->n_known_addresses && i < heartbeat->n_known_boxes; i++)
    {
      const struct ash_fleet_peer *known = find_peer (fleet, heartbeat->known_boxes[i]);

      if (strcmp (heartbeat->known_addresses[i], own) != 0 && !(known && known->linked))
        ash_peers_dial (&fleet->links, heartbeat->known_boxes[i], heartbeat->known_addresses[i]);
    }
  ash_peer_sync_update_peer (&fleet->router->peer_sync, ash_clock_now (), peer);
  ash_evacuation_compare (fleet->router, heartbeat->evacuations_digest, peer->box);
}

static void
on_link_up (struct ash_fleet *fleet, struct ash_fleet_peer *peer)
{
  peer->linked = true;
  peer->needs_peer_names = true;
  peer->leaving = false;
  peer->changes_map = false;
  peer->needs_full_report = true;
  peer->endpoints_revision = 0;
  ash_suspects_send (&fleet->router->suspects, peer->box);
}

static void
on_link_down (struct ash_fleet *fleet, struct ash_fleet_peer *peer)
{
  peer->linked = false;
  ash_fleet_clear_loads (fleet, peer);
  fleet->router->capacity_freed = true;
}

static void
on_event (void *data, const struct Ash__Event *event)
{
  struct ash_fleet *fleet = data;
  struct ash_router *router = fleet->router;
  struct ash_fleet_peer *peer = add_peer (fleet, event->peer);

  if (!peer)
    return;
  peer->last_received = ash_clock_now ();
  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_LINK_UP:
      on_link_up (fleet, peer);
      break;
    case ASH__EVENT__KIND_LINK_DOWN:
      on_link_down (fleet, peer);
      break;
    case ASH__EVENT__KIND_HEARTBEAT:
      handle_heartbeat (fleet, peer, event->heartbeat);
      break;
    case ASH__EVENT__KIND_ENDPOINT_LOADS:
      ash_fleet_apply_loads (fleet, peer, event->endpoint_loads);
      break;
    case ASH__EVENT__KIND_CONFIG_WANT:
      ash_peer_sync_send_config (&router->peer_sync, peer->box);
      break;
    case ASH__EVENT__KIND_CONFIG_OFFER:
      /* Several peers may send the same configuration: don't parse a document of up to a megabyte
       * again. */
      if (event->config_offer->revision <= ash_router_version (router))
        break;
      ash_router_offer_config (router, (const char *) event->config_offer->document.data,
                               event->config_offer->document.len, peer->box);
      break;
    case ASH__EVENT__KIND_CONFIG_DELTA:
      ash_peer_sync_apply_delta (&router->peer_sync, event->config_delta, peer->box);
      break;
    case ASH__EVENT__KIND_ENDPOINT_LIST_WANT:
      ash_peer_sync_send_list (&router->peer_sync, peer->box);
      break;
    case ASH__EVENT__KIND_ENDPOINT_LIST:
      ash_peer_sync_apply_list (&router->peer_sync, event->endpoint_list, peer->box);
      break;
    case ASH__EVENT__KIND_ENDPOINT_CHANGES:
      ash_peer_sync_apply_list (&router->peer_sync, event->endpoint_changes, peer->box);
      break;
    case ASH__EVENT__KIND_SUSPECT_RUNS:
      ash_suspects_receive (&router->suspects, peer->box, event->suspect_runs);
      break;
    case ASH__EVENT__KIND_ENDPOINT_TERMS:
      ash_fleet_apply_terms (fleet, peer, event->endpoint_terms);
      break;
    case ASH__EVENT__KIND_STALLED_ENDPOINTS:
      ash_fleet_apply_stalled (fleet, peer, event->stalled_endpoints);
      break;
    case ASH__EVENT__KIND_EVACUATIONS:
      ash_evacuation_receive (router, event->evacuations, peer->box);
      break;
    default:
      break; /* messages of the entry and endpoint roles of ashspindled, ignored by routers */
    }
}

static uint64_t
config_version (void *data)
{
  const struct ash_fleet *fleet = data;

  return ash_router_version (fleet->router);
}

static bool
is_seed (const struct ash_fleet *fleet)
{
  const struct ash_router_settings *settings = &fleet->router->settings;

  for (uint32_t i = 0; i < settings->seed_count; i++)
    if (strcmp (settings->seeds[i], settings->peer_listen) == 0)
      return true;
  return false;
}

/* Whether the next heartbeat to a peer lists the other routers, so that all discover each other. A
 * new router gets the full list from the seeds. In addition, about one random peer per heartbeat
 * period gets the list, for pairs of routers that have not discovered each other. If all peers got
 * the list at every change of a link, the lists would be most of a large fleet's traffic between
 * halls. */
static bool
should_name_peers (struct ash_fleet *fleet, struct ash_fleet_peer *peer)
{
  struct ash_random *random = &fleet->router->random;
  uint32_t linked = ash_fleet_linked (fleet);

  if (!peer->needs_peer_names)
    return ash_random_below (random, linked) == 0;
  peer->needs_peer_names = false;
  return is_seed (fleet) || ash_random_below (random, linked) < LISTS_TO_NEW_PEER;
}

/* The caller frees the arrays; the strings belong to the peers. */
static void
add_known_peers (struct ash_fleet *fleet, struct Ash__Heartbeat *heartbeat, uint32_t peers_max)
{
  uint32_t count = HASH_COUNT (fleet->peers);
  uint32_t skip = count > peers_max ? ash_random_below (&fleet->router->random, count) : 0;
  struct ash_fleet_peer *peer = fleet->peers;

  heartbeat->known_boxes = calloc (count + 1, sizeof (char *));
  heartbeat->known_addresses = calloc (count + 1, sizeof (char *));
  if (!heartbeat->known_boxes || !heartbeat->known_addresses)
    return;
  for (uint32_t i = 0; i < skip; i++)
    peer = peer->hh.next;
  for (uint32_t i = 0; i < count && heartbeat->n_known_boxes < peers_max; i++)
    {
      if (peer->linked && *peer->address)
        {
          heartbeat->known_boxes[heartbeat->n_known_boxes++] = peer->box;
          heartbeat->known_addresses[heartbeat->n_known_addresses++] = peer->address;
        }
      peer = peer->hh.next ? peer->hh.next : fleet->peers;
    }
}

static void
own_heartbeat (void *data, const char *box, struct Ash__Heartbeat *heartbeat)
{
  struct ash_fleet *fleet = data;
  struct ash_router *router = fleet->router;
  struct ash_fleet_peer *peer = find_peer (fleet, box);
  bool needs_peer_names = peer && peer->needs_peer_names;

  heartbeat->revision = ash_router_version (router);
  heartbeat->leaving = router->stopping || !ash_router_ready (router);
  heartbeat->frontend = router->settings.frontend_listen;
  heartbeat->peer_address = router->settings.peer_listen;
  heartbeat->hall = router->settings.hall;
  heartbeat->reads_platform =
      !router->stopping && ash_store_is_answering (&router->store, ASH_STORE_SERVERS);
  heartbeat->link_mbps = (uint32_t) router->settings.link_mbps;
  heartbeat->changes_map = ash_map_manager_is_changing (&router->map_manager);
  heartbeat->endpoints_revision = router->endpoints.revision;
  heartbeat->endpoints_digest = router->store.digest;
  heartbeat->evacuations_digest = ash_evacuations_digest (&router->endpoints.evacuations);
  if (peer && should_name_peers (fleet, peer))
    add_known_peers (fleet, heartbeat, needs_peer_names ? UINT32_MAX : KNOWN_PEERS_MAX);
}

static uint32_t
heartbeat_period_ms (void *data, const char *box)
{
  const struct ash_fleet *fleet = data;
  const struct ash_fleet_peer *peer = find_peer (fleet, box);
  uint32_t heartbeat_ms = fleet->router->settings.heartbeat_ms;

  if (!peer || ash_fleet_audience_of (fleet, peer) == ASH_FLEET_NEAR)
    return heartbeat_ms;
  return ash_peer_period_remote_heartbeat_ms (heartbeat_ms, fleet->far_linked);
}

/* ---- start and end ---- */

bool
ash_fleet_open (struct ash_fleet *fleet, struct ash_router *router)
{
  const struct ash_router_settings *settings = &router->settings;
  struct ash_peers *links = &fleet->links;

  fleet->router = router;
  links->settings = (struct ash_peer_settings){
    .listen = settings->peer_listen,
    .heartbeat_ms = settings->heartbeat_ms,
    .link_silence_ms = settings->link_silence_ms,
    .dial_retry_ms = settings->dial_retry_ms,
  };
  links->identity.box = settings->box;
  links->identity.role = ASH__ROLE__ENTRY;
  links->identity.incarnation = router->incarnation;
  ash_hex_decode (settings->fleet_key, links->identity.fleet_key, sizeof links->identity.fleet_key);
  links->log = (struct ash_log){ &router->log_sink, "peer" };
  links->handler = (struct ash_sink){ on_event, fleet };
  links->revision = config_version;
  links->heartbeat = own_heartbeat;
  links->period_ms = heartbeat_period_ms;
  links->data = fleet;
  if (!ash_peers_init (links, router->loop))
    return false;
  fleet->opened = true;
  fleet->opened_at = ash_clock_now ();
  fleet->polls_often = true;
  fleet->reads_store = true;
  fleet->first_of_hall = true;
  for (uint32_t i = 0; i < settings->seed_count; i++)
    if (strcmp (settings->seeds[i], settings->peer_listen) != 0)
      ash_peers_dial (links, "", settings->seeds[i]);
  ash_fleet_start_load_reports (fleet);
  return true;
}

void
ash_fleet_close (struct ash_fleet *fleet)
{
  struct ash_fleet_peer *peer;
  struct ash_fleet_peer *next;

  if (!fleet->opened)
    return;
  ash_fleet_stop_load_reports (fleet);
  ash_peers_finish (&fleet->links);
  HASH_ITER (hh, fleet->peers, peer, next)
    {
      ash_fleet_clear_loads (fleet, peer);
      HASH_DEL (fleet->peers, peer);
      free (peer);
    }
}

void
ash_fleet_reset_links (struct ash_fleet *fleet)
{
  ash_peers_close_links (&fleet->links);
}

void
ash_fleet_announce_stop (struct ash_fleet *fleet)
{
  ash_peers_send_heartbeats (&fleet->links);
}

void
ash_fleet_notify_hall (struct ash_fleet *fleet)
{
  for (struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && ash_fleet_audience_of (fleet, peer) == ASH_FLEET_NEAR)
      ash_peers_send_heartbeat (&fleet->links, peer->box);
}

void
ash_fleet_send_hall (struct ash_fleet *fleet, const struct Ash__Event *event)
{
  for (struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && ash_fleet_audience_of (fleet, peer) == ASH_FLEET_NEAR)
      ash_peers_send (&fleet->links, peer->box, event);
}

void
ash_fleet_send_all (struct ash_fleet *fleet, const struct Ash__Event *event)
{
  for (struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked)
      ash_peers_send (&fleet->links, peer->box, event);
}

void
ash_fleet_tick (struct ash_fleet *fleet, struct ash_time now)
{
  struct ash_fleet_peer *peer;
  struct ash_fleet_peer *next;
  bool ready = ash_router_ready (fleet->router);
  bool answered = ash_store_is_answering (&fleet->router->store, ASH_STORE_SERVERS);

  /* This router has become ready or unready for callers: notify all peers now, since some get
   * heartbeats seldom. */
  if (ready != fleet->ready_sent)
    ash_peers_send_heartbeats (&fleet->links);
  /* Informs the own hall: only routers that receive answers from the store can be chosen to read
   * it. */
  else if (answered != fleet->store_answered)
    ash_fleet_notify_hall (fleet);
  fleet->ready_sent = ready;
  fleet->store_answered = answered;
  /* The routers that read the store are chosen once per tick, not whenever the result is needed:
   * with 400 routers the choice takes 1.4 to 2.0 ms. */
  ash_fleet_choose_readers (fleet);

  fleet->far_linked = 0;
  HASH_ITER (hh, fleet->peers, peer, next)
    {
      if (peer->linked)
        {
          peer->last_linked = now;
          fleet->far_linked += ash_fleet_audience_of (fleet, peer) == ASH_FLEET_FAR;
        }
      else if (ash_time_diff (peer->last_linked, now) > PEER_EXPIRY_MS)
        {
          HASH_DEL (fleet->peers, peer);
          free (peer);
        }
    }
  ash_fleet_split_rates (fleet, now);
}

uint32_t
ash_fleet_remote_parts (const struct ash_fleet *fleet)
{
  return ash_peer_period_remote_parts (fleet->router->settings.load_period_ms, fleet->far_linked);
}

uint32_t
ash_fleet_linked (const struct ash_fleet *fleet)
{
  uint32_t linked = 0;

  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    linked += peer->linked;
  return linked;
}

const struct ash_fleet_peer *
ash_fleet_peer_with (struct ash_fleet *fleet, enum ash_store_part part, uint64_t revision)
{
  const struct ash_fleet_peer *found[ASH_DIRECT_AUDIENCES] = { NULL };
  uint32_t counts[ASH_DIRECT_AUDIENCES] = { 0 };

  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    {
      uint64_t has = part == ASH_STORE_CONFIG ? peer->version : peer->endpoints_revision;
      int audience = ash_fleet_audience_of (fleet, peer);

      if (peer->linked && has >= revision &&
          ash_random_below (&fleet->router->random, ++counts[audience]) == 0)
        found[audience] = peer;
    }
  return found[ASH_FLEET_NEAR] ? found[ASH_FLEET_NEAR] : found[ASH_FLEET_FAR];
}

uint32_t
ash_fleet_size (const struct ash_fleet *fleet)
{
  /* Counts all known routers: an isolated router still uses its part of the limits. */
  return HASH_COUNT (fleet->peers) + 1;
}
