#include "daemon/fleet_health.h"

#include "common/id.h"
#include "daemon/router.h"

/* A router that got an answer from the endpoint this recently believes no failure told by others.
 */
#define OWN_ANSWER_MS 1000

/* Sends a load report without loads. */
static void
send_health (struct ash_fleet *fleet, struct ash_direct_endpoint *endpoint, bool recovered)
{
  struct Ash__EndpointLoads loads = ASH__ENDPOINT_LOADS__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_ENDPOINT_LOADS, &loads);

  loads.changes = true;
  loads.failing = &endpoint->hash;
  loads.n_failing = !recovered;
  loads.recovered = &endpoint->hash;
  loads.n_recovered = recovered;
  ash_fleet_send_all (fleet, &event);
}

static void
log_out (struct ash_fleet *fleet,
         const struct ash_direct_endpoint *endpoint,
         int64_t out_ms,
         const char *source)
{
  ash_log_event (&fleet->router->log, ASH_EV_ENDPOINT_OUT, "endpoint=%s out_ms=%lld source=%s",
                 endpoint->facts.id, (long long) out_ms, source);
}

/* Records a failure seen in a hall, and leaves the endpoint out if another hall agrees. */
static void
record_failure (struct ash_fleet *fleet,
                struct ash_direct_endpoint *endpoint,
                const char *hall,
                const char *source)
{
  struct ash_direct_set *set = &fleet->router->endpoints;
  struct ash_time now = ash_clock_now ();
  int64_t out_ms;

  if (!ash_outlier_report (&endpoint->outlier, ash_hash_text (hall), now) ||
      !ash_direct_may_leave_out (set, endpoint, fleet->router->settings.outlier_part))
    return;
  out_ms = ash_outlier_leave_out (&endpoint->outlier, &set->random, ash_fleet_size (fleet), now);
  log_out (fleet, endpoint, out_ms, source);
}

void
ash_fleet_report_failure (struct ash_fleet *fleet, struct ash_direct_endpoint *endpoint)
{
  if (fleet->router->settings.outlier_part <= 0)
    return;
  send_health (fleet, endpoint, false);
  record_failure (fleet, endpoint, fleet->router->settings.hall, "own");
}

void
ash_fleet_report_recovery (struct ash_fleet *fleet, struct ash_direct_endpoint *endpoint)
{
  log_out (fleet, endpoint, 0, "own");
  send_health (fleet, endpoint, true);
}

static void
apply_failure (struct ash_fleet *fleet,
               const struct ash_fleet_peer *peer,
               struct ash_direct_endpoint *endpoint)
{
  if (endpoint && ash_time_diff (endpoint->answered_at, ash_clock_now ()) > OWN_ANSWER_MS)
    record_failure (fleet, endpoint, peer->hall, peer->box);
}

static void
apply_recovery (struct ash_fleet *fleet,
                const struct ash_fleet_peer *peer,
                struct ash_direct_endpoint *endpoint)
{
  if (!endpoint || !endpoint->outlier.on_probation)
    return;
  log_out (fleet, endpoint, 0, peer->box);
  ash_direct_restore (endpoint);
  fleet->router->capacity_freed = true;
}

void
ash_fleet_apply_health (struct ash_fleet *fleet,
                        const struct ash_fleet_peer *peer,
                        const struct Ash__EndpointLoads *loads)
{
  struct ash_direct_set *set = &fleet->router->endpoints;

  /* A peer without a known hall can't agree with another one. */
  if (!*peer->hall || fleet->router->settings.outlier_part <= 0)
    return;
  for (size_t i = 0; i < loads->n_failing && i < ASH_FLEET_LOADS_MAX; i++)
    apply_failure (fleet, peer, ash_direct_find_hash (set, loads->failing[i]));
  for (size_t i = 0; i < loads->n_recovered && i < ASH_FLEET_LOADS_MAX; i++)
    apply_recovery (fleet, peer, ash_direct_find_hash (set, loads->recovered[i]));
}
