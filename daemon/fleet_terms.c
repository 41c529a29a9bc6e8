#include "daemon/fleet_terms.h"

#include "daemon/router.h"

#include <string.h>

/* Upper limit of endpoints whose terms are sent in one message. */
#define TERMS_MAX 64

/* ---- sending to peers ---- */

static struct Ash__EndpointTerms
message_of (const struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  struct Ash__EndpointTerms message = ASH__ENDPOINT_TERMS__INIT;
  int64_t age_ms = ash_time_diff (endpoint->limit.updated, now);

  message.endpoint = endpoint->hash;
  message.born_ms = endpoint->facts.born_ms;
  message.leaving = endpoint->announced_leaving;
  message.limit_milli = endpoint->limit.milli_per_s;
  message.age_ms = age_ms < UINT32_MAX ? (uint32_t) age_ms : UINT32_MAX;
  return message;
}

/* @param peer NULL: all linked peers. */
static void
send_messages (struct ash_fleet *fleet,
               const struct ash_fleet_peer *peer,
               struct Ash__EndpointTerms messages[],
               size_t count)
{
  struct Ash__EndpointTerms *list[TERMS_MAX];
  struct Ash__EndpointTermsList terms = ASH__ENDPOINT_TERMS_LIST__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_ENDPOINT_TERMS, &terms);

  if (!count)
    return;
  for (size_t i = 0; i < count; i++)
    list[i] = &messages[i];
  terms.terms = list;
  terms.n_terms = count;
  if (peer)
    ash_peers_send (&fleet->links, peer->box, &event);
  else
    ash_fleet_send_all (fleet, &event);
}

void
ash_fleet_send_terms (struct ash_fleet *fleet, const struct ash_fleet_peer *peer)
{
  struct Ash__EndpointTerms messages[TERMS_MAX];
  struct ash_time now = ash_clock_now ();
  size_t count = 0;

  for (struct ash_direct_endpoint *endpoint = fleet->router->endpoints.endpoints;
       endpoint && count < TERMS_MAX; endpoint = endpoint->hh.next)
    /* A removed rate limit is sent too: the peer may still have the old limit. */
    if (endpoint->limit.updated.ms || endpoint->announced_leaving)
      messages[count++] = message_of (endpoint, now);
  send_messages (fleet, peer, messages, count);
}

/* ---- applying terms ---- */

/* @return whether the rate limit has changed. */
static bool
update_limit (struct ash_fleet *fleet,
              struct ash_direct_endpoint *endpoint,
              uint32_t limit_milli,
              struct ash_time reported_at,
              struct ash_time requested_at,
              const char *source)
{
  uint32_t before_milli = endpoint->limit.milli_per_s;

  if (!ash_rate_limit_update (&endpoint->limit, limit_milli, reported_at, requested_at))
    return false;
  ash_log_event (&fleet->router->log, ASH_EV_ENDPOINT_LIMITED,
                 "endpoint=%s limit_milli=%u before_milli=%u source=%s", endpoint->facts.id,
                 limit_milli, before_milli, source);
  return true;
}

/* @return whether this is new: the endpoint was not known to be leaving. */
static bool
update_leaving (struct ash_fleet *fleet,
                struct ash_direct_endpoint *endpoint,
                bool leaving,
                const char *source)
{
  if (!leaving || endpoint->announced_leaving)
    return false;
  endpoint->announced_leaving = true;
  ash_log_event (&fleet->router->log, ASH_EV_ENDPOINT_LEAVING,
                 "endpoint=%s source=%s service=%s address=%s in_flight=%u", endpoint->facts.id,
                 source, endpoint->facts.service, endpoint->facts.address, endpoint->in_flight);
  return true;
}

/* The request to back off applies to this router only, so peers are not notified. */
static void
apply_backoff (struct ash_fleet *fleet,
               struct ash_direct_endpoint *endpoint,
               uint32_t backoff_ms,
               struct ash_time now)
{
  if (!backoff_ms)
    return;
  ash_log_event (&fleet->router->log, ASH_EV_ENDPOINT_RESTS,
                 "endpoint=%s for_ms=%u before_ms=%lld load=%u", endpoint->facts.id, backoff_ms,
                 (long long) ash_direct_backoff_ms (endpoint, now), endpoint->in_flight);
  ash_direct_back_off (endpoint, now, backoff_ms);
}

void
ash_fleet_update_terms (struct ash_fleet *fleet,
                        struct ash_direct_endpoint *endpoint,
                        const struct ash_endpoint_terms *terms,
                        struct ash_time requested_at)
{
  struct ash_time now = ash_clock_now ();
  struct Ash__EndpointTerms message;
  bool changed;

  apply_backoff (fleet, endpoint, terms->backoff_ms, now);
  changed = update_limit (fleet, endpoint, terms->limit_milli, now, requested_at, "own");
  changed = update_leaving (fleet, endpoint, terms->leaving, "own") || changed;
  if (!changed)
    return;
  message = message_of (endpoint, now);
  send_messages (fleet, NULL, &message, 1);
}

void
ash_fleet_apply_terms (struct ash_fleet *fleet,
                       const struct ash_fleet_peer *peer,
                       const struct Ash__EndpointTermsList *list)
{
  struct ash_time now = ash_clock_now ();

  for (size_t i = 0; i < list->n_terms; i++)
    {
      const struct Ash__EndpointTerms *terms = list->terms[i];
      struct ash_direct_endpoint *endpoint =
          ash_direct_find_hash (&fleet->router->endpoints, terms->endpoint);
      struct ash_time reported_at = ash_time_add (now, -(int64_t) terms->age_ms);

      /* Terms of another incarnation of the endpoint don't apply to this one. */
      if (!endpoint || endpoint->facts.born_ms != terms->born_ms)
        continue;
      update_limit (fleet, endpoint, terms->limit_milli, reported_at, reported_at, peer->box);
      update_leaving (fleet, endpoint, terms->leaving, peer->box);
    }
}
