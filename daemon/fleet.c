#include "daemon/fleet.h"

#include "common/id.h"
#include "controllers/askers.h"
#include "daemon/router.h"

#include <stdlib.h>
#include <string.h>

/* Heartbeats name the others for so long after a link has changed, a few heartbeats, */
#define NAMES_MS 1500

/* and besides one in so many, so that a pair that missed each other meets in a few seconds. */
#define NAMES_BEATS 10

/* Routers that ask the store often: one that is lost, and one that is being stopped, leave one. */
#define OFTEN_ROUTERS 3

#define MS_PER_S 1000.0
#define MILLI 1000.0

/* A router without a link for so long does not come back under its name. */
#define FORGET_MS 30000

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
  peer->seen = ash_clock_now ();
  HASH_ADD_STR (fleet->peers, box, peer);
  return peer;
}

/* ---- loads ---- */

/* What peers are told of changes only is told whole this often, in messages: what one missed of an
 * endpoint that it did not know yet is right a second later. */
#define TELL_ALL_EVERY 20

/* Takes back what the peer said last. */
static void
forget_loads (struct ash_fleet *fleet, struct ash_fleet_peer *peer)
{
  struct ash_direct_set *set = &fleet->router->endpoints;

  for (uint32_t i = 0; i < peer->load_count; i++)
    {
      struct ash_direct_endpoint *endpoint = ash_direct_find_hash (set, peer->load_endpoints[i]);
      uint32_t load = (uint32_t) peer->load_in_flight[i];

      /* An endpoint that was listed after the peer's word has nothing to take back. */
      if (endpoint)
        endpoint->elsewhere -= load < endpoint->elsewhere ? load : endpoint->elsewhere;
    }
  free (peer->load_endpoints);
  free (peer->load_in_flight);
  peer->load_endpoints = NULL;
  peer->load_in_flight = NULL;
  peer->load_count = 0;
}

/* Those that a peer that watches groups tells to be slow. */
static void
take_slow (struct ash_fleet *fleet, const struct Ash__EndpointLoads *loads)
{
  struct ash_time now = ash_clock_now ();

  for (size_t i = 0; i < loads->n_slow && i < loads->n_slow_milli; i++)
    {
      struct ash_direct_endpoint *endpoint =
          ash_direct_find_hash (&fleet->router->endpoints, loads->slow[i]);

      if (endpoint)
        ash_direct_slow (endpoint, now, loads->slow_milli[i] / MILLI);
    }
}

static bool
make_room (struct ash_fleet_peer *peer, size_t count)
{
  uint64_t *endpoints = realloc (peer->load_endpoints, count * sizeof *endpoints);
  uint64_t *in_flight;

  if (!endpoints)
    return false;
  peer->load_endpoints = endpoints;
  in_flight = realloc (peer->load_in_flight, count * sizeof *in_flight);
  if (!in_flight)
    return false;
  peer->load_in_flight = in_flight;
  return true;
}

/* There is room for one more. */
static void
set_load (struct ash_fleet *fleet, struct ash_fleet_peer *peer, uint64_t hash, uint64_t in_flight)
{
  struct ash_direct_endpoint *endpoint = ash_direct_find_hash (&fleet->router->endpoints, hash);
  uint32_t at = 0;

  if (!endpoint)
    return;
  while (at < peer->load_count && peer->load_endpoints[at] != hash)
    at++;
  if (at == peer->load_count)
    {
      peer->load_endpoints[at] = hash;
      peer->load_in_flight[at] = 0;
      peer->load_count++;
    }
  endpoint->elsewhere -= peer->load_in_flight[at] < endpoint->elsewhere
                             ? (uint32_t) peer->load_in_flight[at]
                             : endpoint->elsewhere;
  endpoint->elsewhere += (uint32_t) in_flight;
  peer->load_in_flight[at] = in_flight;
}

static void
take_loads (struct ash_fleet *fleet,
            struct ash_fleet_peer *peer,
            const struct Ash__EndpointLoads *loads)
{
  size_t count = loads->n_endpoints;

  if (!loads->changes)
    forget_loads (fleet, peer);
  fleet->router->room = true;
  take_slow (fleet, loads);
  if (!count || count != loads->n_in_flight || count > ASH_FLEET_LOADS_MAX)
    return;
  if (!make_room (peer, peer->load_count + count))
    {
      forget_loads (fleet, peer);
      return;
    }
  for (size_t i = 0; i < count; i++)
    set_load (fleet, peer, loads->endpoints[i], loads->in_flight[i]);
}

/* Only what was told here first: what peers tell is not told on, or it would never end. */
static size_t
list_slow (const struct ash_fleet *fleet,
           uint64_t slow[ASH_FLEET_SLOW_MAX],
           uint32_t slow_milli[ASH_FLEET_SLOW_MAX])
{
  const struct ash_router *router = fleet->router;
  const struct ash_direct_endpoint *endpoint = router->endpoints.endpoints;
  struct ash_time now = ash_clock_now ();
  size_t count = 0;

  for (; router->groups.leads && endpoint && count < ASH_FLEET_SLOW_MAX;
       endpoint = endpoint->hh.next)
    {
      double pace = ash_direct_pace (endpoint, now);

      if (pace <= 1)
        continue;
      slow[count] = endpoint->hash;
      slow_milli[count++] = (uint32_t) (pace * MILLI);
    }
  return count;
}

static void
tell_loads (struct ash_fleet *fleet)
{
  uint64_t endpoints[ASH_FLEET_LOADS_MAX];
  uint64_t in_flight[ASH_FLEET_LOADS_MAX];
  uint64_t slow[ASH_FLEET_SLOW_MAX];
  uint32_t slow_milli[ASH_FLEET_SLOW_MAX];
  struct Ash__EndpointLoads loads = ASH__ENDPOINT_LOADS__INIT;
  struct Ash__Event event = ash_event_of ("", ASH__EVENT__KIND_ENDPOINT_LOADS, &loads);
  struct ash_direct_endpoint *endpoint = fleet->router->endpoints.endpoints;

  loads.changes = fleet->tells > 0;
  fleet->tells = (fleet->tells + 1) % TELL_ALL_EVERY;
  loads.endpoints = endpoints;
  loads.in_flight = in_flight;
  for (; endpoint && loads.n_endpoints < ASH_FLEET_LOADS_MAX; endpoint = endpoint->hh.next)
    {
      if (loads.changes ? endpoint->in_flight == endpoint->told : !endpoint->in_flight)
        continue;
      endpoint->told = endpoint->in_flight;
      endpoints[loads.n_endpoints] = endpoint->hash;
      in_flight[loads.n_endpoints] = endpoint->in_flight;
      loads.n_endpoints++;
    }
  loads.n_in_flight = loads.n_endpoints;
  loads.slow = slow;
  loads.slow_milli = slow_milli;
  loads.n_slow = list_slow (fleet, slow, slow_milli);
  loads.n_slow_milli = loads.n_slow;
  for (struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked)
      ash_peers_send (&fleet->links, peer->box, &event);
}

static void
on_tell (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_fleet *fleet = timer->data;

  (void) loop;
  (void) events;
  if (!fleet->loads_changed)
    return;
  fleet->loads_changed = false;
  tell_loads (fleet);
}

/* ---- membership ---- */

static void
take_heartbeat (struct ash_fleet *fleet,
                struct ash_fleet_peer *peer,
                const struct Ash__Heartbeat *heartbeat)
{
  const char *own = fleet->router->settings.peer_listen;

  snprintf (peer->frontend, sizeof peer->frontend, "%s", heartbeat->frontend);
  snprintf (peer->address, sizeof peer->address, "%s", heartbeat->peer_address);
  snprintf (peer->hall, sizeof peer->hall, "%s", heartbeat->hall);
  peer->leaving = heartbeat->leaving;
  peer->version = heartbeat->revision;
  peer->endpoints_revision = heartbeat->endpoints_revision;
  peer->endpoints_digest = heartbeat->endpoints_digest;
  peer->reads_store = heartbeat->reads_platform;
  for (size_t i = 0; i < heartbeat->n_known_addresses && i < heartbeat->n_known_boxes; i++)
    {
      const struct ash_fleet_peer *known = find_peer (fleet, heartbeat->known_boxes[i]);

      if (strcmp (heartbeat->known_addresses[i], own) != 0 && !(known && known->linked))
        ash_peers_dial (&fleet->links, heartbeat->known_boxes[i], heartbeat->known_addresses[i]);
    }
  ash_catch_up_told (&fleet->router->catch_up, ash_clock_now (), peer);
}

static void
take_link_down (struct ash_fleet *fleet, struct ash_fleet_peer *peer)
{
  peer->linked = false;
  fleet->links_changed = ash_clock_now ();
  forget_loads (fleet, peer);
  fleet->router->room = true;
}

static void
on_event (void *data, const struct Ash__Event *event)
{
  struct ash_fleet *fleet = data;
  struct ash_router *router = fleet->router;
  struct ash_fleet_peer *peer = add_peer (fleet, event->peer);

  if (!peer)
    return;
  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_LINK_UP:
      peer->linked = true;
      peer->leaving = false;
      fleet->loads_changed = true;
      fleet->tells = 0;
      fleet->links_changed = ash_clock_now ();
      break;
    case ASH__EVENT__KIND_LINK_DOWN:
      take_link_down (fleet, peer);
      break;
    case ASH__EVENT__KIND_HEARTBEAT:
      take_heartbeat (fleet, peer, event->heartbeat);
      break;
    case ASH__EVENT__KIND_ENDPOINT_LOADS:
      take_loads (fleet, peer, event->endpoint_loads);
      break;
    case ASH__EVENT__KIND_CONFIG_WANT:
      ash_catch_up_send_config (&router->catch_up, peer->box);
      break;
    case ASH__EVENT__KIND_CONFIG_OFFER:
      /* Several peers may have been asked; a megabyte is not read again to be thrown away. */
      if (event->config_offer->revision <= ash_router_version (router))
        break;
      ash_router_offer_config (router, (const char *) event->config_offer->document.data,
                               event->config_offer->document.len, peer->box);
      break;
    case ASH__EVENT__KIND_ENDPOINT_LIST_WANT:
      ash_catch_up_send_list (&router->catch_up, peer->box);
      break;
    case ASH__EVENT__KIND_ENDPOINT_LIST:
      ash_store_take_list (&router->store, event->endpoint_list, peer->box);
      break;
    default:
      break; /* messages of the roles with agents */
    }
}

static uint64_t
own_version (void *data)
{
  const struct ash_fleet *fleet = data;

  return ash_router_version (fleet->router);
}

/* Whether a heartbeat names the others: the names grow with the fleet, and all that they
 * are for is finding each other. */
static bool
names_others (struct ash_fleet *fleet)
{
  return fleet->beats++ % NAMES_BEATS == 0 ||
         ash_time_diff (fleet->links_changed, ash_clock_now ()) < NAMES_MS;
}

/* The arrays are freed by the sender of the heartbeat, their texts are ours. */
static void
name_others (struct ash_fleet *fleet, struct Ash__Heartbeat *heartbeat)
{
  uint32_t count = HASH_COUNT (fleet->peers);

  heartbeat->known_boxes = calloc (count + 1, sizeof (char *));
  heartbeat->known_addresses = calloc (count + 1, sizeof (char *));
  if (!heartbeat->known_boxes || !heartbeat->known_addresses)
    return;
  for (struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && *peer->address)
      {
        heartbeat->known_boxes[heartbeat->n_known_boxes++] = peer->box;
        heartbeat->known_addresses[heartbeat->n_known_addresses++] = peer->address;
      }
}

static void
own_heartbeat (void *data, struct Ash__Heartbeat *heartbeat)
{
  struct ash_fleet *fleet = data;
  struct ash_router *router = fleet->router;

  heartbeat->revision = ash_router_version (router);
  heartbeat->leaving = router->stopping || !ash_router_ready (router);
  heartbeat->frontend = router->settings.frontend_listen;
  heartbeat->peer_address = router->settings.peer_listen;
  heartbeat->hall = router->settings.hall;
  heartbeat->reads_platform = ash_store_answers (&router->store, ASH_STORE_SERVERS);
  heartbeat->endpoints_revision = router->endpoints.revision;
  heartbeat->endpoints_digest = router->store.digest;
  if (names_others (fleet))
    name_others (fleet, heartbeat);
}

/* ---- life ---- */

bool
ash_fleet_open (struct ash_fleet *fleet, struct ash_router *router)
{
  const struct ash_router_settings *settings = &router->settings;
  struct ash_peers *links = &fleet->links;
  double period_s = settings->load_period_ms / MS_PER_S;

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
  links->revision = own_version;
  links->heartbeat = own_heartbeat;
  links->data = fleet;
  if (!ash_peers_init (links, router->loop))
    return false;
  fleet->opened = true;
  fleet->asks_often = true;
  for (uint32_t i = 0; i < settings->seed_count; i++)
    if (strcmp (settings->seeds[i], settings->peer_listen) != 0)
      ash_peers_dial (links, "", settings->seeds[i]);
  ev_timer_init (&fleet->tell_timer, on_tell, period_s, period_s);
  fleet->tell_timer.data = fleet;
  ev_timer_start (router->loop, &fleet->tell_timer);
  return true;
}

void
ash_fleet_close (struct ash_fleet *fleet)
{
  struct ash_fleet_peer *peer;
  struct ash_fleet_peer *next;

  if (!fleet->opened)
    return;
  ev_timer_stop (fleet->router->loop, &fleet->tell_timer);
  ash_peers_finish (&fleet->links);
  HASH_ITER (hh, fleet->peers, peer, next)
    {
      forget_loads (fleet, peer);
      HASH_DEL (fleet->peers, peer);
      free (peer);
    }
}

void
ash_fleet_woke (struct ash_fleet *fleet)
{
  ash_peers_reset (&fleet->links);
}

void
ash_fleet_leave (struct ash_fleet *fleet)
{
  ash_peers_beat (&fleet->links);
}

static bool
is_asker (const struct ash_fleet *fleet)
{
  const struct ash_router_settings *settings = &fleet->router->settings;
  struct ash_asker own = { settings->box, settings->hall };
  struct ash_asker *others = calloc (HASH_COUNT (fleet->peers) + 1, sizeof *others);
  size_t count = 0;
  bool often;

  /* Once too often does no harm. */
  if (!others)
    return true;
  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && peer->reads_store && !peer->leaving)
      others[count++] = (struct ash_asker){ peer->box, peer->hall };
  often = ash_askers_has (own, others, count, OFTEN_ROUTERS);
  free (others);
  return often;
}

bool
ash_fleet_asks_often (const struct ash_fleet *fleet)
{
  return fleet->asks_often;
}

void
ash_fleet_tick (struct ash_fleet *fleet, struct ash_time now)
{
  struct ash_fleet_peer *peer;
  struct ash_fleet_peer *next;

  /* Once a tick, not at each question: at 400 routers it takes 1.4 to 2.0 ms. */
  fleet->asks_often = is_asker (fleet);

  HASH_ITER (hh, fleet->peers, peer, next)
    {
      if (peer->linked)
        peer->seen = now;
      else if (ash_time_diff (peer->seen, now) > FORGET_MS)
        {
          HASH_DEL (fleet->peers, peer);
          free (peer);
        }
    }
}

uint32_t
ash_fleet_linked (const struct ash_fleet *fleet)
{
  uint32_t linked = 0;

  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    linked += peer->linked;
  return linked;
}

/* Routers there are at least: those heard of, or the seeds if they are more. */
static uint32_t
known_count (const struct ash_fleet *fleet)
{
  const struct ash_router_settings *settings = &fleet->router->settings;
  uint32_t heard = HASH_COUNT (fleet->peers) + 1;
  uint32_t seeds = 1;

  for (uint32_t i = 0; i < settings->seed_count; i++)
    seeds += strcmp (settings->seeds[i], settings->peer_listen) != 0;
  return heard > seeds ? heard : seeds;
}

bool
ash_fleet_leads (const struct ash_fleet *fleet)
{
  const char *own = fleet->router->settings.box;
  uint32_t known = known_count (fleet);
  uint32_t seen = ash_fleet_linked (fleet) + 1;
  bool first_of_all = true;

  if (!ash_router_ready (fleet->router))
    return false;
  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    {
      bool before = strcmp (peer->box, own) < 0;

      if (before && peer->linked && !peer->leaving)
        return false;
      first_of_all = first_of_all && !before;
    }
  return 2 * seen > known || (2 * seen == known && first_of_all);
}

const struct ash_fleet_peer *
ash_fleet_peer_with (struct ash_fleet *fleet, enum ash_store_part part, uint64_t revision)
{
  const struct ash_fleet_peer *found = NULL;
  uint32_t count = 0;

  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    {
      uint64_t has = part == ASH_STORE_CONFIG ? peer->version : peer->endpoints_revision;

      if (peer->linked && has >= revision &&
          ash_random_below (&fleet->router->random, ++count) == 0)
        found = peer;
    }
  return found;
}

uint32_t
ash_fleet_index (const struct ash_fleet *fleet)
{
  uint32_t before = 0;

  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    before += strcmp (peer->box, fleet->router->settings.box) < 0;
  return before;
}

uint32_t
ash_fleet_size (const struct ash_fleet *fleet)
{
  /* All that were ever heard of: one that is cut off spends its part too. */
  return HASH_COUNT (fleet->peers) + 1;
}
