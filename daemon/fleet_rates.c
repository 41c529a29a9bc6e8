#include "daemon/fleet_rates.h"

#include "daemon/router.h"

#include <string.h>

/* A router whose link has been down for this long no longer counts as a member. Links may break at
 * many routers at once: if each of them then used the whole rate limit, the endpoint would get a
 * multiple of it. */
#define MEMBER_TIMEOUT_MS 5000

/* Longest cold time that is believed, several times what endpoints take to warm up. */
#define COLD_MAX_MS 60000

/* ---- cold endpoints ---- */

static struct ash_cold_rate
cold_rate (const struct ash_router *router, const struct ash_route_service *service)
{
  return (struct ash_cold_rate){ .per_s = service ? service->cold_per_s : 0,
                                 .overrun = router->settings.cold_overrun,
                                 .slack = router->settings.cold_slack };
}

static const struct ash_route_service *
service_of (const struct ash_router *router, const struct ash_direct_endpoint *endpoint)
{
  uint32_t index =
      router->table ? ash_route_table_service (router->table, endpoint->facts.service) : UINT32_MAX;

  return index == UINT32_MAX ? NULL : &router->table->services[index];
}

/* @param why what the cold time was learned from, for the log. */
static void
set_cold (const struct ash_router *router,
          struct ash_direct_endpoint *endpoint,
          int64_t cold_ms,
          const char *why)
{
  struct ash_cold_rate rate = cold_rate (router, service_of (router, endpoint));

  if (ash_cold_start_report (&endpoint->cold, ash_clock_now (), cold_ms, &rate))
    ash_log_event (&router->log, ASH_EV_ENDPOINT_COLD,
                   "endpoint=%s hall=%s cold_ms=%lld per_s=%.1f why=\"%s\"", endpoint->facts.id,
                   endpoint->facts.hall, (long long) cold_ms, rate.per_s, why);
}

void
ash_fleet_report_cold (struct ash_fleet *fleet,
                       struct ash_direct_endpoint *endpoint,
                       int64_t cold_ms)
{
  struct ash_router *router = fleet->router;

  if (cold_ms < 0 || cold_ms > COLD_MAX_MS)
    ash_log_event (&router->log, ASH_EV_COLD_TIME_INVALID, "endpoint=%s cold_ms=%lld max_ms=%d",
                   endpoint->facts.id, (long long) cold_ms, COLD_MAX_MS);
  if (cold_ms > COLD_MAX_MS)
    cold_ms = COLD_MAX_MS;
  set_cold (router, endpoint, cold_ms > 0 ? cold_ms : 0, "its entry");
}

void
ash_fleet_expect_cold (struct ash_fleet *fleet, const char *hall)
{
  const struct ash_router *router = fleet->router;

  for (struct ash_direct_endpoint *endpoint = router->endpoints.endpoints; endpoint;
       endpoint = endpoint->hh.next)
    {
      const struct ash_route_service *service = service_of (router, endpoint);

      if (service && strcmp (endpoint->facts.hall, hall) == 0)
        set_cold (router, endpoint, service->cold_start_ms, "the end of an evacuation");
    }
}

/* ---- splitting ---- */

static bool
is_member (const struct ash_fleet_peer *peer, struct ash_time now)
{
  return !peer->leaving &&
         (peer->linked || ash_time_diff (peer->last_linked, now) <= MEMBER_TIMEOUT_MS);
}

/* @return a digest of the member routers, and of whether the hall of each is known; never 0. */
static uint64_t
members_digest (const struct ash_fleet *fleet, struct ash_time now)
{
  uint64_t digest = 1;

  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (is_member (peer, now))
      digest += peer->hash + (*peer->hall != '\0');
  return digest ? digest : 1;
}

/* Whether a peer precedes this router when the endpoint's rate limit is split. Routers in the
 * endpoint's hall come first, as they send it the most requests. */
static bool
precedes_self (const struct ash_direct_endpoint *endpoint,
               const struct ash_fleet_peer *peer,
               const char *own_hall,
               uint64_t own_order)
{
  bool is_near = strcmp (peer->hall, endpoint->facts.hall) == 0;
  bool own_is_near = strcmp (own_hall, endpoint->facts.hall) == 0;

  if (is_near != own_is_near)
    return is_near;
  return ash_rate_limit_order (endpoint->hash, peer->hash) < own_order;
}

/* Computes this router's share of an endpoint's rate anew. */
static void
split_rate (const struct ash_fleet *fleet,
            const struct ash_direct_endpoint *endpoint,
            struct ash_time now,
            uint64_t routers_digest,
            const struct ash_rate_split *split,
            struct ash_rate_limit *share)
{
  const struct ash_router_settings *settings = &fleet->router->settings;
  uint64_t own_order = ash_rate_limit_order (endpoint->hash, ash_hash_text (settings->box));
  uint32_t count = 1;
  uint32_t before = 0;

  for (const struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (is_member (peer, now))
      {
        count++;
        before += precedes_self (endpoint, peer, settings->hall, own_order);
      }
  ash_rate_limit_assign (share, now, split, routers_digest, count, before);
}

/* Splits the rate limit that the endpoint has set. */
static void
split_limit (const struct ash_fleet *fleet,
             struct ash_direct_endpoint *endpoint,
             struct ash_time now,
             uint64_t routers_digest)
{
  struct ash_rate_limit *limit = &endpoint->limit;
  struct ash_rate_split split = ash_rate_limit_split (limit);

  /* A stopping router gets no part of the limit: the other routers split it without this router
   * as soon as they know that it is stopping. */
  if (fleet->router->stopping)
    ash_rate_limit_release (limit);
  else if (limit->routers_digest != routers_digest)
    split_rate (fleet, endpoint, now, routers_digest, &split, limit);
}

/* Splits the rate that the cold endpoint accepts.
 * @param may_share whether this router may have a share. */
static void
split_cold (const struct ash_fleet *fleet,
            struct ash_direct_endpoint *endpoint,
            struct ash_time now,
            uint64_t routers_digest,
            bool may_share)
{
  const struct ash_router *router = fleet->router;
  struct ash_rate_limit *share = &endpoint->cold.share;
  struct ash_cold_rate rate;
  struct ash_rate_split split;

  if (router->stopping || !may_share)
    {
      ash_rate_limit_release (share);
      return;
    }
  if (share->routers_digest == routers_digest)
    return;
  rate = cold_rate (router, service_of (router, endpoint));
  split = ash_cold_start_split (&rate);
  split_rate (fleet, endpoint, now, routers_digest, &split, share);
}

void
ash_fleet_split_rates (struct ash_fleet *fleet, struct ash_time now)
{
  /* Computed only if an endpoint has a rate: both go through all peers. */
  uint64_t routers_digest = 0;
  bool may_share_cold = false;

  for (struct ash_direct_endpoint *endpoint = fleet->router->endpoints.endpoints; endpoint;
       endpoint = endpoint->hh.next)
    {
      bool is_cold = ash_cold_start_left_ms (&endpoint->cold, now) > 0;

      if (!endpoint->limit.milli_per_s && !is_cold)
        continue;
      if (!routers_digest)
        {
          routers_digest = members_digest (fleet, now);
          may_share_cold =
              ash_cold_start_may_share (ash_time_diff (fleet->opened_at, now),
                                        ash_fleet_linked (fleet) + 1, ash_fleet_size (fleet));
        }
      if (endpoint->limit.milli_per_s)
        split_limit (fleet, endpoint, now, routers_digest);
      if (is_cold)
        split_cold (fleet, endpoint, now, routers_digest, may_share_cold);
    }
}
