#include "daemon/fleet.h"

#include "common/id.h"
#include "controllers/askers.h"
#include "controllers/talk.h"
#include "daemon/router.h"

#include <stdlib.h>
#include <string.h>

/* A heartbeat names so many other routers at most, from a random one on. */
#define NAMES_MAX 64

/* A router that comes is told of all others by the seeds, and by so many others where these do not
 * live any more. */
#define NAMES_TO_NEW 8

/* The audiences of loads. */
enum
{
  NEAR_PEERS,
  FAR_PEERS,
};

/* Routers that ask the store often: one that is lost, and one that is being stopped, leave one. */
#define OFTEN_ROUTERS 3

/* Routers of a hall that ask the store at all, likewise. 149 routers that all asked made 230 calls
 * a second, most of them to learn of the same endpoint. */
#define HALL_READERS 3

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

/* Fills in this router's own work: at each endpoint, or where it has changed since the audience was
 * last told. */
static void
list_loads (const struct ash_fleet *fleet, int audience, struct Ash__EndpointLoads *loads)
{
  struct ash_direct_endpoint *endpoint = fleet->router->endpoints.endpoints;

  for (; endpoint && loads->n_endpoints < ASH_FLEET_LOADS_MAX; endpoint = endpoint->hh.next)
    {
      uint32_t in_flight = endpoint->in_flight;

      if (loads->changes ? in_flight == endpoint->told[audience] : !in_flight)
        continue;
      loads->endpoints[loads->n_endpoints] = endpoint->hash;
      loads->in_flight[loads->n_endpoints] = in_flight;
      loads->n_endpoints++;
    }
  loads->n_in_flight = loads->n_endpoints;
}

/* A peer whose hall is not known yet counts as near. */
static int
audience_of (const struct ash_fleet *fleet, const struct ash_fleet_peer *peer)
{
  bool is_near = !*peer->hall || strcmp (peer->hall, fleet->router->settings.hall) == 0;

  return is_near ? NEAR_PEERS : FAR_PEERS;
}

/* One that has just come knows nothing of this router's work. Nobody else is told, or each router
 * that comes would have all tell all. */
static void
tell_untold (struct ash_fleet *fleet)
{
  uint64_t endpoints[ASH_FLEET_LOADS_MAX];
  uint64_t in_flight[ASH_FLEET_LOADS_MAX];
  struct Ash__EndpointLoads loads = ASH__ENDPOINT_LOADS__INIT;
  struct Ash__Event event = ash_event_of ("", ASH__EVENT__KIND_ENDPOINT_LOADS, &loads);

  loads.endpoints = endpoints;
  loads.in_flight = in_flight;
  for (struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && peer->untold)
      {
        peer->untold = false;
        if (!loads.n_endpoints)
          list_loads (fleet, NEAR_PEERS, &loads);
        ash_peers_send (&fleet->links, peer->box, &event);
      }
}

static void
send_loads (struct ash_fleet *fleet, int audience, const struct Ash__EndpointLoads *loads)
{
  struct Ash__Event event = ash_event_of ("", ASH__EVENT__KIND_ENDPOINT_LOADS, loads);
  struct ash_direct_endpoint *endpoint = fleet->router->endpoints.endpoints;

  for (; endpoint; endpoint = endpoint->hh.next)
    endpoint->told[audience] = endpoint->in_flight;
  for (struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && audience_of (fleet, peer) == audience)
      ash_peers_send (&fleet->links, peer->box, &event);
}

static void
tell_loads (struct ash_fleet *fleet, int audience)
{
  uint64_t endpoints[ASH_FLEET_LOADS_MAX];
  uint64_t in_flight[ASH_FLEET_LOADS_MAX];
  uint64_t slow[ASH_FLEET_SLOW_MAX];
  uint32_t slow_milli[ASH_FLEET_SLOW_MAX];
  struct Ash__EndpointLoads loads = ASH__ENDPOINT_LOADS__INIT;
  struct ash_fleet_audience *told = &fleet->audiences[audience];

  loads.changes = told->tells > 0;
  told->tells = (told->tells + 1) % TELL_ALL_EVERY;
  loads.endpoints = endpoints;
  loads.in_flight = in_flight;
  list_loads (fleet, audience, &loads);
  loads.slow = slow;
  loads.slow_milli = slow_milli;
  loads.n_slow = list_slow (fleet, slow, slow_milli);
  loads.n_slow_milli = loads.n_slow;
  send_loads (fleet, audience, &loads);
}

static void
on_tell (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_fleet *fleet = timer->data;
  uint32_t period_ms = fleet->router->settings.load_period_ms;
  uint32_t far_ms = ash_talk_far_load_ms (period_ms, fleet->far_linked);
  struct ash_time now = ash_clock_now ();

  (void) loop;
  (void) events;
  tell_untold (fleet);
  for (int i = 0; i < ASH_DIRECT_AUDIENCES; i++)
    {
      struct ash_fleet_audience *audience = &fleet->audiences[i];
      uint32_t due_ms = i == FAR_PEERS ? far_ms : period_ms;

      /* Half a period early is nearer than half a period late. */
      if (!audience->loads_changed || ash_time_diff (audience->told, now) + period_ms / 2 < due_ms)
        continue;
      audience->loads_changed = false;
      audience->told = now;
      tell_loads (fleet, i);
    }
}

void
ash_fleet_loads_changed (struct ash_fleet *fleet)
{
  for (int i = 0; i < ASH_DIRECT_AUDIENCES; i++)
    fleet->audiences[i].loads_changed = true;
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
  /* What it was told of endpoints that it did not know yet it has dropped. */
  peer->untold = peer->untold || (heartbeat->endpoints_revision && !peer->endpoints_revision);
  peer->endpoints_revision = heartbeat->endpoints_revision;
  peer->endpoints_digest = heartbeat->endpoints_digest;
  peer->reads_store = heartbeat->reads_platform;
  peer->link_mbps = heartbeat->link_mbps;
  for (size_t i = 0; i < heartbeat->n_known_addresses && i < heartbeat->n_known_boxes; i++)
    {
      const struct ash_fleet_peer *known = find_peer (fleet, heartbeat->known_boxes[i]);

      if (strcmp (heartbeat->known_addresses[i], own) != 0 && !(known && known->linked))
        ash_peers_dial (&fleet->links, heartbeat->known_boxes[i], heartbeat->known_addresses[i]);
    }
  ash_catch_up_told (&fleet->router->catch_up, ash_clock_now (), peer);
}

static void
take_link_up (struct ash_fleet *fleet, struct ash_fleet_peer *peer)
{
  peer->linked = true;
  peer->is_new = true;
  peer->leaving = false;
  peer->untold = true;
  peer->endpoints_revision = 0;
  ash_suspects_tell_peer (&fleet->router->suspects, peer->box);
}

static void
take_link_down (struct ash_fleet *fleet, struct ash_fleet_peer *peer)
{
  peer->linked = false;
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
      take_link_up (fleet, peer);
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
    case ASH__EVENT__KIND_CONFIG_DELTA:
      ash_catch_up_take_delta (&router->catch_up, event->config_delta, peer->box);
      break;
    case ASH__EVENT__KIND_ENDPOINT_LIST_WANT:
      ash_catch_up_send_list (&router->catch_up, peer->box);
      break;
    case ASH__EVENT__KIND_ENDPOINT_LIST:
      ash_catch_up_take_list (&router->catch_up, event->endpoint_list, peer->box);
      break;
    case ASH__EVENT__KIND_ENDPOINT_CHANGES:
      ash_catch_up_take_list (&router->catch_up, event->endpoint_changes, peer->box);
      break;
    case ASH__EVENT__KIND_SUSPECT_RUNS:
      ash_suspects_told (&router->suspects, peer->box, event->suspect_runs);
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

static bool
is_seed (const struct ash_fleet *fleet)
{
  const struct ash_router_settings *settings = &fleet->router->settings;

  for (uint32_t i = 0; i < settings->seed_count; i++)
    if (strcmp (settings->seeds[i], settings->peer_listen) == 0)
      return true;
  return false;
}

/* Whether a heartbeat to that peer names the others, so that all find each other. One that has just
 * come learns of all from the seeds; besides about one peer a period is told, for pairs that missed
 * each other. All that were told of all, each time a link changed, made two thirds of what 149
 * routers sent between halls. */
static bool
names_others (struct ash_fleet *fleet, struct ash_fleet_peer *peer)
{
  struct ash_random *random = &fleet->router->random;
  uint32_t linked = ash_fleet_linked (fleet);

  if (!peer->is_new)
    return ash_random_below (random, linked) == 0;
  peer->is_new = false;
  return is_seed (fleet) || ash_random_below (random, linked) < NAMES_TO_NEW;
}

/* The arrays are freed by the sender of the heartbeat, their texts are ours. */
static void
name_others (struct ash_fleet *fleet, struct Ash__Heartbeat *heartbeat, uint32_t names_max)
{
  uint32_t count = HASH_COUNT (fleet->peers);
  uint32_t skip = count > names_max ? ash_random_below (&fleet->router->random, count) : 0;
  struct ash_fleet_peer *peer = fleet->peers;

  heartbeat->known_boxes = calloc (count + 1, sizeof (char *));
  heartbeat->known_addresses = calloc (count + 1, sizeof (char *));
  if (!heartbeat->known_boxes || !heartbeat->known_addresses)
    return;
  for (uint32_t i = 0; i < skip; i++)
    peer = peer->hh.next;
  for (uint32_t i = 0; i < count && heartbeat->n_known_boxes < names_max; i++)
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
  bool is_new = peer && peer->is_new;

  heartbeat->revision = ash_router_version (router);
  heartbeat->leaving = router->stopping || !ash_router_ready (router);
  heartbeat->frontend = router->settings.frontend_listen;
  heartbeat->peer_address = router->settings.peer_listen;
  heartbeat->hall = router->settings.hall;
  heartbeat->reads_platform =
      !router->stopping && ash_store_answers (&router->store, ASH_STORE_SERVERS);
  heartbeat->link_mbps = (uint32_t) router->settings.link_mbps;
  heartbeat->endpoints_revision = router->endpoints.revision;
  heartbeat->endpoints_digest = router->store.digest;
  if (peer && names_others (fleet, peer))
    name_others (fleet, heartbeat, is_new ? UINT32_MAX : NAMES_MAX);
}

static uint32_t
beat_period_ms (void *data, const char *box)
{
  const struct ash_fleet *fleet = data;
  const struct ash_fleet_peer *peer = find_peer (fleet, box);
  uint32_t heartbeat_ms = fleet->router->settings.heartbeat_ms;

  if (!peer || audience_of (fleet, peer) == NEAR_PEERS)
    return heartbeat_ms;
  return ash_talk_far_beat_ms (heartbeat_ms, fleet->far_linked);
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
  links->period_ms = beat_period_ms;
  links->data = fleet;
  if (!ash_peers_init (links, router->loop))
    return false;
  fleet->opened = true;
  fleet->asks_often = true;
  fleet->reads_store = true;
  fleet->first_of_hall = true;
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

static struct ash_asker
own_asker (const struct ash_fleet *fleet)
{
  const struct ash_router_settings *settings = &fleet->router->settings;

  return (struct ash_asker){ settings->box, settings->hall, (uint32_t) settings->link_mbps };
}

static struct ash_asker
asker_of (const struct ash_fleet_peer *peer)
{
  return (struct ash_asker){ peer->box, peer->hall, peer->link_mbps };
}

/* Who of the fleet asks the store, as this router sees it. Once too often does no harm. */
static void
choose_askers (struct ash_fleet *fleet)
{
  struct ash_asker own = own_asker (fleet);
  struct ash_asker *others = calloc (HASH_COUNT (fleet->peers) + 1, sizeof *others);
  bool read_before = fleet->reads_store;
  size_t count = 0;

  fleet->asks_often = true;
  fleet->reads_store = true;
  fleet->first_of_hall = true;
  if (!others)
    return;
  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked)
      others[count++] = asker_of (peer);
  fleet->first_of_hall = ash_askers_in_hall (own, others, count, HALL_READERS);
  count = 0;
  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && peer->reads_store)
      others[count++] = asker_of (peer);
  fleet->asks_often = ash_askers_has (own, others, count, OFTEN_ROUTERS);
  fleet->reads_store = ash_askers_in_hall (own, others, count, HALL_READERS);
  free (others);
  if (fleet->reads_store != read_before)
    ash_log_event (&fleet->router->log, ASH_EV_STORE_READER, "reads=%d able=%zu linked=%u",
                   fleet->reads_store, count, ash_fleet_linked (fleet));
}

bool
ash_fleet_asks_often (const struct ash_fleet *fleet)
{
  return fleet->asks_often;
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

void
ash_fleet_tell_news (struct ash_fleet *fleet)
{
  for (struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && audience_of (fleet, peer) == NEAR_PEERS)
      ash_peers_beat_one (&fleet->links, peer->box);
}

void
ash_fleet_send_near (struct ash_fleet *fleet, const struct Ash__Event *event)
{
  for (struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && audience_of (fleet, peer) == NEAR_PEERS)
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
  bool answered = ash_store_answers (&fleet->router->store, ASH_STORE_SERVERS);

  /* Callers are sent here, or no longer: those whose heartbeats come seldom hear of it now. */
  if (ready != fleet->ready)
    ash_peers_beat (&fleet->links);
  /* The own hall asks less, or more, once it knows. */
  else if (answered != fleet->answered)
    ash_fleet_tell_news (fleet);
  fleet->ready = ready;
  fleet->answered = answered;
  /* Once a tick, not at each question: at 400 routers it takes 1.4 to 2.0 ms. */
  choose_askers (fleet);

  fleet->far_linked = 0;
  HASH_ITER (hh, fleet->peers, peer, next)
    {
      if (peer->linked)
        {
          peer->seen = now;
          fleet->far_linked += audience_of (fleet, peer) == FAR_PEERS;
        }
      else if (ash_time_diff (peer->seen, now) > FORGET_MS)
        {
          HASH_DEL (fleet->peers, peer);
          free (peer);
        }
    }
}

uint32_t
ash_fleet_far_parts (const struct ash_fleet *fleet)
{
  return ash_talk_far_parts (fleet->router->settings.load_period_ms, fleet->far_linked);
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
  struct ash_asker own = own_asker (fleet);
  uint32_t known = known_count (fleet);
  uint32_t seen = ash_fleet_linked (fleet) + 1;
  bool first_of_all = true;

  if (!ash_router_ready (fleet->router))
    return false;
  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    {
      bool before = ash_askers_before (asker_of (peer), own);

      if (before && peer->linked && !peer->leaving)
        return false;
      first_of_all = first_of_all && !before;
    }
  return 2 * seen > known || (2 * seen == known && first_of_all);
}

const struct ash_fleet_peer *
ash_fleet_peer_with (struct ash_fleet *fleet, enum ash_store_part part, uint64_t revision)
{
  const struct ash_fleet_peer *found[ASH_DIRECT_AUDIENCES] = { NULL };
  uint32_t counts[ASH_DIRECT_AUDIENCES] = { 0 };

  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    {
      uint64_t has = part == ASH_STORE_CONFIG ? peer->version : peer->endpoints_revision;
      int audience = audience_of (fleet, peer);

      if (peer->linked && has >= revision &&
          ash_random_below (&fleet->router->random, ++counts[audience]) == 0)
        found[audience] = peer;
    }
  return found[NEAR_PEERS] ? found[NEAR_PEERS] : found[FAR_PEERS];
}

uint32_t
ash_fleet_index (const struct ash_fleet *fleet)
{
  uint32_t before = 0;

  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    before += ash_askers_before (asker_of (peer), own_asker (fleet));
  return before;
}

uint32_t
ash_fleet_size (const struct ash_fleet *fleet)
{
  /* All that were ever heard of: one that is cut off spends its part too. */
  return HASH_COUNT (fleet->peers) + 1;
}
