#include "daemon/peer_sync.h"

#include "daemon/router.h"

#include <inttypes.h>
#include <stdlib.h>

/* The store brings a change to all routers within some 30 ms, and heartbeats tell of it at most
 * one period (300 ms) later. Whoever lacks it so long after has a question that is silent. */
#define CONFIG_BEHIND_MS 300

/* Changes of the list may be gathered for 400 ms before they are asked for. */
#define LIST_BEHIND_MS 700

/* The same for a router that is told of changes by others of its hall: these come within a few ms
 * after the store's answer, or after the 400 ms for which answers are gathered. */
#define TOLD_BEHIND_MS 500

/* A peer that was asked and has not answered by then is as silent: another one is asked. */
#define ASK_PERIOD_MS 500

void
ash_peer_sync_open (struct ash_peer_sync *peer_sync, struct ash_router *router)
{
  *peer_sync = (struct ash_peer_sync){ .router = router };
}

/* A configuration that was looked at and refused for its findings is not missing. */
static uint64_t
own_revision (const struct ash_router *router, enum ash_store_part part)
{
  uint64_t version = ash_router_version (router);

  if (part == ASH_STORE_SERVERS)
    return router->endpoints.revision;
  return version > router->refused_version ? version : router->refused_version;
}

/* ---- asking ---- */

static void
ask_peer (struct ash_router *router, enum ash_store_part part, const char *box)
{
  struct Ash__ConfigWant config_want = ASH__CONFIG_WANT__INIT;
  struct Ash__EndpointListWant list_want = ASH__ENDPOINT_LIST_WANT__INIT;
  struct Ash__Event event;

  switch (part)
    {
    case ASH_STORE_CONFIG:
      event = ash_event_wrap ("", ASH__EVENT__KIND_CONFIG_WANT, &config_want);
      ash_peers_send (&router->fleet.links, box, &event);
      break;
    case ASH_STORE_SERVERS:
      event = ash_event_wrap ("", ASH__EVENT__KIND_ENDPOINT_LIST_WANT, &list_want);
      ash_peers_send (&router->fleet.links, box, &event);
      break;
    }
}

static int64_t
patience_ms (const struct ash_router *router, enum ash_store_part part)
{
  if (ash_store_is_polled (&router->store, part))
    return part == ASH_STORE_CONFIG ? CONFIG_BEHIND_MS : LIST_BEHIND_MS;
  /* Those that ask for this router tell what is new, and may do so a little later than a word from
   * another hall. Nothing is to be waited for from a store that does not answer. */
  return ash_store_is_followed (&router->store, part) ? TOLD_BEHIND_MS : 0;
}

/* A question at the store that says nothing looks the same whether nothing is new or nothing
 * comes through. What peers have tells the two apart: without it a router that had been cut off
 * stayed 5 s behind after the cut, with it 0.6 s at most from when a peer has the change. */
static void
follow (struct ash_peer_sync *peer_sync, enum ash_store_part part, struct ash_time now)
{
  struct ash_router *router = peer_sync->router;
  struct ash_peer_version *news = &peer_sync->news[part];
  uint64_t own = own_revision (router, part);
  const struct ash_fleet_peer *peer;

  if (!ash_peer_version_is_behind (news, now, own, patience_ms (router, part)) ||
      ash_time_diff (peer_sync->asked[part], now) < ASK_PERIOD_MS)
    return;
  if (part == ASH_STORE_SERVERS)
    ash_store_expect_lapses (&router->store, news->since);
  peer = ash_fleet_peer_with (&router->fleet, part, news->newest);
  peer_sync->asked[part] = now;
  ash_log_event (&router->log, ASH_EV_BEHIND_PEERS,
                 "part=%d version=%" PRIu64 " newest=%" PRIu64
                 " for_ms=%lld store_answers=%d age_ms=%lld asked=%s",
                 (int) part, own, news->newest, (long long) ash_time_diff (news->since, now),
                 ash_store_is_answering (&router->store, part),
                 (long long) ash_time_diff (router->store.readers[part].answered, now),
                 peer ? peer->box : "-");
  if (peer)
    ask_peer (router, part, peer->box);
  ash_store_restart_watch (&router->store, part, "peers have something newer");
}

void
ash_peer_sync_apply_list (struct ash_peer_sync *peer_sync,
                          const struct Ash__EndpointList *list,
                          const char *box)
{
  struct ash_router *router = peer_sync->router;

  if (!ash_store_apply_list (&router->store, list, box))
    ask_peer (router, ASH_STORE_SERVERS, box);
}

void
ash_peer_sync_update_peer (struct ash_peer_sync *peer_sync,
                           struct ash_time now,
                           const struct ash_fleet_peer *peer)
{
  const struct ash_router *router = peer_sync->router;
  struct ash_peer_version *list = &peer_sync->news[ASH_STORE_SERVERS];
  uint64_t own_list = own_revision (router, ASH_STORE_SERVERS);

  ash_peer_version_reported (&peer_sync->news[ASH_STORE_CONFIG], now, peer->version,
                             own_revision (router, ASH_STORE_CONFIG));
  /* The revision of a list grows with whatever changes in the store, so only lists that differ
   * count. They do for some ms at each change that comes to a peer first. Of a peer that tells no
   * digest nobody knows whether its list differs: it is of use only without the store. */
  if (!peer->endpoints_digest && ash_store_is_answering (&router->store, ASH_STORE_SERVERS))
    ash_peer_version_equal (list, now, own_list, own_list);
  else if (peer->endpoints_digest != router->store.digest)
    ash_peer_version_reported (list, now, peer->endpoints_revision, own_list);
  else
    ash_peer_version_equal (list, now, peer->endpoints_revision, own_list);
  ash_peer_sync_tick (peer_sync, now);
}

void
ash_peer_sync_tick (struct ash_peer_sync *peer_sync, struct ash_time now)
{
  follow (peer_sync, ASH_STORE_CONFIG, now);
  follow (peer_sync, ASH_STORE_SERVERS, now);
}

bool
ash_peer_sync_config_is_behind (struct ash_peer_sync *peer_sync, struct ash_time now)
{
  return ash_peer_version_is_behind (&peer_sync->news[ASH_STORE_CONFIG], now,
                                     own_revision (peer_sync->router, ASH_STORE_CONFIG), 0);
}

/* ---- changes of the configuration ---- */

void
ash_peer_sync_publish_config (struct ash_peer_sync *peer_sync,
                              const struct ash_config_text *before,
                              const struct ash_config_text *after)
{
  struct ash_fleet *fleet = &peer_sync->router->fleet;
  struct Ash__ConfigDelta *delta = NULL;

  /* With the former one unknown, those that follow ask for the whole text once they hear of it. */
  if (before->length)
    delta = ash_config_delta_make (before, after);
  if (delta)
    {
      struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_CONFIG_DELTA, delta);

      ash_fleet_send_hall (fleet, &event);
      ash__config_delta__free_unpacked (delta, NULL);
    }
  ash_fleet_notify_hall (fleet);
}

/* One that does not fit is left: another of those that ask may have told of the steps between, and
 * if not, the heartbeats will show that something is missing. */
void
ash_peer_sync_apply_delta (struct ash_peer_sync *peer_sync,
                           const struct Ash__ConfigDelta *delta,
                           const char *box)
{
  struct ash_router *router = peer_sync->router;
  struct ash_config_text base = { ash_router_version (router), router->config_text,
                                  router->config_bytes };
  size_t length;
  char *text;

  if (!base.bytes || delta->revision <= base.revision)
    return;
  text = ash_config_delta_apply (&base, delta, &length);
  if (text)
    ash_router_offer_config (router, text, length, box);
  free (text);
}

/* ---- answering ---- */

void
ash_peer_sync_send_config (struct ash_peer_sync *peer_sync, const char *box)
{
  struct ash_router *router = peer_sync->router;
  struct Ash__ConfigOffer offer = ASH__CONFIG_OFFER__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_CONFIG_OFFER, &offer);

  if (!router->config_text)
    return;
  offer.revision = ash_router_version (router);
  offer.document.data = (uint8_t *) router->config_text;
  offer.document.len = router->config_bytes;
  ash_peers_send (&router->fleet.links, box, &event);
}

void
ash_peer_sync_send_list (struct ash_peer_sync *peer_sync, const char *box)
{
  struct ash_router *router = peer_sync->router;
  struct Ash__EndpointList list = ASH__ENDPOINT_LIST__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_ENDPOINT_LIST, &list);

  if (!ash_store_fill_list (&router->store, &list))
    return;
  ash_peers_send (&router->fleet.links, box, &event);
  ash_store_list_free (&list);
}
