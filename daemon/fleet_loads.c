#include "daemon/fleet_loads.h"

#include "controllers/peer_period.h"
#include "daemon/fleet_health.h"
#include "daemon/fleet_terms.h"
#include "daemon/router.h"

#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000.0
#define MILLI 1000.0

/* One load report in this many contains all endpoints, the others only changes. A full report
 * corrects, within a second, changes that a peer ignored because it did not know the endpoint
 * yet. */
#define FULL_REPORT_EVERY 20

void
ash_fleet_clear_loads (struct ash_fleet *fleet, struct ash_fleet_peer *peer)
{
  struct ash_direct_set *set = &fleet->router->endpoints;

  for (uint32_t i = 0; i < peer->load_count; i++)
    {
      struct ash_direct_endpoint *endpoint = ash_direct_find_hash (set, peer->load_endpoints[i]);
      uint32_t load = (uint32_t) peer->load_in_flight[i];

      /* If the endpoint was added after the peer's report, `peers_in_flight` does not include the
       * load that the peer reported. */
      if (endpoint)
        endpoint->peers_in_flight -=
            load < endpoint->peers_in_flight ? load : endpoint->peers_in_flight;
    }
  free (peer->load_endpoints);
  free (peer->load_in_flight);
  peer->load_endpoints = NULL;
  peer->load_in_flight = NULL;
  peer->load_count = 0;
}

/* Applies the paces of slow endpoints, as reported by the router that leads the changes of expert
 * maps. */
static void
apply_slow (struct ash_fleet *fleet, const struct Ash__EndpointLoads *loads)
{
  struct ash_time now = ash_clock_now ();

  for (size_t i = 0; i < loads->n_slow && i < loads->n_slow_milli; i++)
    {
      struct ash_direct_endpoint *endpoint =
          ash_direct_find_hash (&fleet->router->endpoints, loads->slow[i]);

      if (endpoint)
        ash_direct_set_pace (endpoint, now, loads->slow_milli[i] / MILLI);
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

/* Sets a peer's load at an endpoint. The peer's arrays must have room for another endpoint. */
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
  endpoint->peers_in_flight -= peer->load_in_flight[at] < endpoint->peers_in_flight
                                   ? (uint32_t) peer->load_in_flight[at]
                                   : endpoint->peers_in_flight;
  endpoint->peers_in_flight += (uint32_t) in_flight;
  peer->load_in_flight[at] = in_flight;
}

void
ash_fleet_apply_loads (struct ash_fleet *fleet,
                       struct ash_fleet_peer *peer,
                       const struct Ash__EndpointLoads *loads)
{
  size_t count = loads->n_endpoints;

  if (!loads->changes)
    ash_fleet_clear_loads (fleet, peer);
  fleet->router->capacity_freed = true;
  apply_slow (fleet, loads);
  ash_fleet_apply_health (fleet, peer, loads);
  if (!count || count != loads->n_in_flight || count > ASH_FLEET_LOADS_MAX)
    return;
  if (!make_room (peer, peer->load_count + count))
    {
      ash_fleet_clear_loads (fleet, peer);
      return;
    }
  for (size_t i = 0; i < count; i++)
    set_load (fleet, peer, loads->endpoints[i], loads->in_flight[i]);
}

/* Lists slow endpoints if this router leads the changes of expert maps and so measures their pace.
 * If other routers forwarded its reports, slow endpoints would be reported forever. */
static size_t
list_slow (const struct ash_fleet *fleet,
           uint64_t slow[ASH_FLEET_SLOW_MAX],
           uint32_t slow_milli[ASH_FLEET_SLOW_MAX])
{
  const struct ash_router *router = fleet->router;
  const struct ash_direct_endpoint *endpoint = router->endpoints.endpoints;
  struct ash_time now = ash_clock_now ();
  size_t count = 0;

  for (; router->map_manager.leads && endpoint && count < ASH_FLEET_SLOW_MAX;
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

/* Fills in this router's requests in flight: at all endpoints, or only where they have changed
 * since the last report to the audience. */
static void
list_loads (const struct ash_fleet *fleet, int audience, struct Ash__EndpointLoads *loads)
{
  struct ash_direct_endpoint *endpoint = fleet->router->endpoints.endpoints;

  for (; endpoint && loads->n_endpoints < ASH_FLEET_LOADS_MAX; endpoint = endpoint->hh.next)
    {
      uint32_t in_flight = endpoint->in_flight;

      if (loads->changes ? in_flight == endpoint->reported[audience] : !in_flight)
        continue;
      loads->endpoints[loads->n_endpoints] = endpoint->hash;
      loads->in_flight[loads->n_endpoints] = in_flight;
      loads->n_endpoints++;
    }
  loads->n_in_flight = loads->n_endpoints;
}

/* ---- stalled groups ---- */

static void
apply_stalled (struct ash_fleet *fleet,
               const struct Ash__StalledEndpoints *stalled,
               const char *source)
{
  struct ash_router *router = fleet->router;
  struct ash_time now = ash_clock_now ();
  uint32_t changed = 0;

  for (size_t i = 0; i < stalled->n_endpoints; i++)
    {
      struct ash_direct_endpoint *endpoint =
          ash_direct_find_hash (&router->endpoints, stalled->endpoints[i]);

      if (!endpoint)
        continue;
      changed += ash_time_before (now, endpoint->stalled_until) != (stalled->for_ms > 0);
      ash_direct_set_stalled (endpoint, now, stalled->for_ms);
    }
  if (!changed)
    return;
  ash_log_event (&router->log, ASH_EV_GROUP_STALLED, "endpoints=%zu changed=%u for_ms=%u source=%s",
                 stalled->n_endpoints, changed, stalled->for_ms, source);
  router->capacity_freed = true;
}

void
ash_fleet_send_stalled (struct ash_fleet *fleet, uint64_t *hashes, uint32_t count, uint32_t for_ms)
{
  struct Ash__StalledEndpoints stalled = ASH__STALLED_ENDPOINTS__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_STALLED_ENDPOINTS, &stalled);

  stalled.endpoints = hashes;
  stalled.n_endpoints = count;
  stalled.for_ms = for_ms;
  apply_stalled (fleet, &stalled, "own");
  ash_fleet_send_all (fleet, &event);
}

void
ash_fleet_apply_stalled (struct ash_fleet *fleet,
                         const struct ash_fleet_peer *peer,
                         const struct Ash__StalledEndpoints *stalled)
{
  apply_stalled (fleet, stalled, peer->box);
}

/* ---- sending loads ---- */

int
ash_fleet_audience_of (const struct ash_fleet *fleet, const struct ash_fleet_peer *peer)
{
  bool is_near = !*peer->hall || strcmp (peer->hall, fleet->router->settings.hall) == 0;

  return is_near ? ASH_FLEET_NEAR : ASH_FLEET_FAR;
}

/* Sends all loads to peers that have just connected. The other peers get no full report: otherwise
 * each new router would cause full reports among all routers. */
static void
send_full_reports (struct ash_fleet *fleet)
{
  uint64_t endpoints[ASH_FLEET_LOADS_MAX];
  uint64_t in_flight[ASH_FLEET_LOADS_MAX];
  struct Ash__EndpointLoads loads = ASH__ENDPOINT_LOADS__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_ENDPOINT_LOADS, &loads);

  loads.endpoints = endpoints;
  loads.in_flight = in_flight;
  for (struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && peer->needs_full_report)
      {
        peer->needs_full_report = false;
        if (!loads.n_endpoints)
          list_loads (fleet, ASH_FLEET_NEAR, &loads);
        ash_peers_send (&fleet->links, peer->box, &event);
        ash_fleet_send_terms (fleet, peer);
      }
}

static void
send_loads (struct ash_fleet *fleet, int audience, const struct Ash__EndpointLoads *loads)
{
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_ENDPOINT_LOADS, loads);
  struct ash_direct_endpoint *endpoint = fleet->router->endpoints.endpoints;

  for (; endpoint; endpoint = endpoint->hh.next)
    endpoint->reported[audience] = endpoint->in_flight;
  for (struct ash_fleet_peer *peer = fleet->peers; peer; peer = peer->hh.next)
    if (peer->linked && ash_fleet_audience_of (fleet, peer) == audience)
      ash_peers_send (&fleet->links, peer->box, &event);
}

static void
report_loads (struct ash_fleet *fleet, int audience)
{
  uint64_t endpoints[ASH_FLEET_LOADS_MAX];
  uint64_t in_flight[ASH_FLEET_LOADS_MAX];
  uint64_t slow[ASH_FLEET_SLOW_MAX];
  uint32_t slow_milli[ASH_FLEET_SLOW_MAX];
  struct Ash__EndpointLoads loads = ASH__ENDPOINT_LOADS__INIT;
  struct ash_fleet_audience *report = &fleet->audiences[audience];

  loads.changes = report->delta_count > 0;
  report->delta_count = (report->delta_count + 1) % FULL_REPORT_EVERY;
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
on_report_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_fleet *fleet = timer->data;
  uint32_t period_ms = fleet->router->settings.load_period_ms;
  uint32_t far_ms = ash_peer_period_remote_load_ms (period_ms, fleet->far_linked);
  struct ash_time now = ash_clock_now ();

  (void) loop;
  (void) events;
  send_full_reports (fleet);
  for (int i = 0; i < ASH_DIRECT_AUDIENCES; i++)
    {
      struct ash_fleet_audience *audience = &fleet->audiences[i];
      uint32_t due_ms = i == ASH_FLEET_FAR ? far_ms : period_ms;

      /* Rounds to the nearest period of the timer: half a period early is closer than half a period
       * late. */
      if (!audience->loads_changed ||
          ash_time_diff (audience->last_sent, now) + period_ms / 2 < due_ms)
        continue;
      audience->loads_changed = false;
      audience->last_sent = now;
      report_loads (fleet, i);
    }
}

void
ash_fleet_loads_changed (struct ash_fleet *fleet)
{
  for (int i = 0; i < ASH_DIRECT_AUDIENCES; i++)
    fleet->audiences[i].loads_changed = true;
}

void
ash_fleet_start_load_reports (struct ash_fleet *fleet)
{
  double period_s = fleet->router->settings.load_period_ms / MS_PER_S;

  ev_timer_init (&fleet->report_timer, on_report_timer, period_s, period_s);
  fleet->report_timer.data = fleet;
  ev_timer_start (fleet->router->loop, &fleet->report_timer);
}

void
ash_fleet_stop_load_reports (struct ash_fleet *fleet)
{
  ev_timer_stop (fleet->router->loop, &fleet->report_timer);
}
