#include "daemon/peer_sync.h"

#include "daemon/router.h"

#include <inttypes.h>
#include <stdlib.h>

/* How long this router may lack a configuration that peers have. The store reports a change to all
 * routers within some 30 ms, and heartbeats report it at most one period (300 ms) later, so if
 * a router lacks it for longer, the connection of its watch is dead. */
#define CONFIG_LAG_MS 300

/* How long this router may lack a change of the list of endpoints: as CONFIG_LAG_MS, plus the 400
 * ms for which the store's readers may collect changes. */
#define LIST_LAG_MS 700

/* How long a router that gets the list's changes from others of its hall may lack one: changes
 * arrive a few ms after the store's answer to the others, or after the 400 ms for which they
 * collect changes. */
#define FOLLOWED_LAG_MS 500

/* After this long without an answer a request is sent to another peer. */
#define REQUEST_PERIOD_MS 500

void
ash_peer_sync_open (struct ash_peer_sync *peer_sync, struct ash_router *router)
{
  *peer_sync = (struct ash_peer_sync){ .router = router };
}

/* @return the revision that this router has of a part. A configuration that was received and
 * rejected for errors counts as present, so that it is not requested again. */
static uint64_t
own_revision (const struct ash_router *router, enum ash_store_part part)
{
  uint64_t version = ash_router_version (router);

  if (part == ASH_STORE_SERVERS)
    return router->endpoints.revision;
  return version > router->refused_version ? version : router->refused_version;
}

/* ---- requests ---- */

static void
request_from_peer (struct ash_router *router, enum ash_store_part part, const char *box)
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
allowed_lag_ms (const struct ash_router *router, enum ash_store_part part)
{
  if (ash_store_is_polled (&router->store, part))
    return part == ASH_STORE_CONFIG ? CONFIG_LAG_MS : LIST_LAG_MS;
  /* The routers that poll the store on behalf of this one forward changes, possibly a little later
   * than a heartbeat from another hall arrives. If the store does not answer, there is nothing to
   * wait for. */
  return ash_store_is_followed (&router->store, part) ? FOLLOWED_LAG_MS : 0;
}

/* Checks whether peers have had a newer revision of a part of the store for too long, and requests
 * it from one of them. A watch that returns nothing looks the same whether there is no change or
 * the connection is dead; the peers' revisions show which. Without this check a router that had
 * been isolated remained outdated for 5 s afterwards, with it for 0.6 s at most from when a peer
 * has the change. */
static void
check_part (struct ash_peer_sync *peer_sync, enum ash_store_part part, struct ash_time now)
{
  struct ash_router *router = peer_sync->router;
  struct ash_peer_version *revisions = &peer_sync->peer_revisions[part];
  uint64_t own = own_revision (router, part);
  const struct ash_fleet_peer *peer;

  if (!ash_peer_version_is_behind (revisions, now, own, allowed_lag_ms (router, part)) ||
      ash_time_diff (peer_sync->last_request[part], now) < REQUEST_PERIOD_MS)
    return;
  if (part == ASH_STORE_SERVERS)
    ash_store_expect_lapses (&router->store, revisions->since);
  peer = ash_fleet_peer_with (&router->fleet, part, revisions->newest_version);
  peer_sync->last_request[part] = now;
  ash_log_event (&router->log, ASH_EV_BEHIND_PEERS,
                 "part=%d version=%" PRIu64 " newest=%" PRIu64
                 " for_ms=%lld store_answers=%d age_ms=%lld asked=%s",
                 (int) part, own, revisions->newest_version,
                 (long long) ash_time_diff (revisions->since, now),
                 ash_store_is_answering (&router->store, part),
                 (long long) ash_time_diff (router->store.readers[part].last_answer, now),
                 peer ? peer->box : "-");
  if (peer)
    request_from_peer (router, part, peer->box);
  ash_store_restart_watch (&router->store, part, "peers have a newer revision");
}

void
ash_peer_sync_apply_list (struct ash_peer_sync *peer_sync,
                          const struct Ash__EndpointList *list,
                          const char *box)
{
  struct ash_router *router = peer_sync->router;

  if (!ash_store_apply_list (&router->store, list, box))
    request_from_peer (router, ASH_STORE_SERVERS, box);
}

void
ash_peer_sync_update_peer (struct ash_peer_sync *peer_sync,
                           struct ash_time now,
                           const struct ash_fleet_peer *peer)
{
  const struct ash_router *router = peer_sync->router;
  struct ash_peer_version *list = &peer_sync->peer_revisions[ASH_STORE_SERVERS];
  uint64_t own_list = own_revision (router, ASH_STORE_SERVERS);

  ash_peer_version_reported (&peer_sync->peer_revisions[ASH_STORE_CONFIG], now, peer->version,
                             own_revision (router, ASH_STORE_CONFIG));
  /* The revision of the list grows with every change in the store, so this router's list counts as
   * outdated only if the contents differ too. Contents differ for some ms at each change that a
   * peer receives first. If a peer reports no digest, its list can't be compared and is considered
   * only while the store does not answer. */
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
  check_part (peer_sync, ASH_STORE_CONFIG, now);
  check_part (peer_sync, ASH_STORE_SERVERS, now);
}

bool
ash_peer_sync_config_is_behind (struct ash_peer_sync *peer_sync, struct ash_time now)
{
  return ash_peer_version_is_behind (&peer_sync->peer_revisions[ASH_STORE_CONFIG], now,
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

  /* Without a previous text there is no difference to send: routers that don't poll the store
   * request the whole text when a heartbeat reports its version. */
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

/* A delta whose base is not the active version is ignored: another router that reads the
 * store may have sent the changes in between, and if not, heartbeats will show that something is
 * missing. */
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

/* ---- answers to requests ---- */

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
