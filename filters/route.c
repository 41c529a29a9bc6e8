/**
 * @file
 * Filter: selects an endpoint for requests without a home, and checks that a home is reachable.
 */
#include "filters/route.h"

#include <string.h>

/* Random picks before all endpoints are scanned in order. */
#define RANDOM_PICKS 8

struct candidate
{
  const struct ash_endpoint *endpoint;
  const struct ash_box *box;
  bool allow_unpreferred; /* input: also consider endpoints that are stalled or suspect */
};

static bool
was_tried (const struct ash_request *request, const struct ash_box *box)
{
  for (uint32_t i = 0; i < request->tries && i < ASH_REQUEST_TRIES_MAX; i++)
    if (request->tried_incarnations[i] == box->incarnation &&
        strcmp (request->tried[i], box->name) == 0)
      return true;
  return false;
}

static bool
consider (const struct ash_filter_context *context,
          const struct ash_request *request,
          const struct ash_service *service,
          uint32_t index,
          struct candidate *candidate)
{
  const struct ash_endpoint *endpoint =
      ash_document_service_endpoint (&context->config->document, service, index);
  const struct ash_box *box = ash_membership_find (context->membership, endpoint->name);

  if (!box || !(candidate->allow_unpreferred ? ash_box_usable (box) : ash_box_preferred (box)) ||
      was_tried (request, box))
    return false;
  candidate->endpoint = endpoint;
  candidate->box = box;
  return true;
}

/* Load in thousandths of the endpoint's slots. The load that the endpoint reports includes this
 * entry's requests but lags behind. The larger of the reported load and this entry's count is the
 * better estimate; their sum would count requests twice. */
static uint64_t
load_milli (const struct candidate *candidate)
{
  uint64_t load = candidate->box->in_flight;

  if (candidate->box->reported > load)
    load = candidate->box->reported;
  return load * 1000 / candidate->endpoint->slots;
}

/* Picks the first endpoint that may get the request, starting at an index. */
static bool
pick_from (const struct ash_filter_context *context,
           const struct ash_request *request,
           const struct ash_service *service,
           uint32_t start,
           struct candidate *candidate)
{
  for (uint32_t i = 0; i < service->endpoint_count; i++)
    if (consider (context, request, service, (start + i) % service->endpoint_count, candidate))
      return true;
  return false;
}

static bool
pick_any (const struct ash_filter_context *context,
          const struct ash_request *request,
          const struct ash_service *service,
          struct candidate *candidate)
{
  uint32_t start = ash_random_below (context->random, service->endpoint_count);

  for (uint32_t i = 0; i < RANDOM_PICKS && i < service->endpoint_count; i++)
    if (consider (context, request, service,
                  ash_random_below (context->random, service->endpoint_count), candidate))
      return true;
  return pick_from (context, request, service, start, candidate);
}

static bool
pick_least_reported (const struct ash_filter_context *context,
                     const struct ash_request *request,
                     const struct ash_service *service,
                     struct candidate *best)
{
  struct candidate candidate = *best;
  bool found = false;

  for (uint32_t i = 0; i < service->endpoint_count; i++)
    {
      if (!consider (context, request, service, i, &candidate))
        continue;
      if (!found || candidate.box->reported < best->box->reported)
        *best = candidate;
      found = true;
    }
  return found;
}

static bool
pick_two_choices (const struct ash_filter_context *context,
                  const struct ash_request *request,
                  const struct ash_service *service,
                  struct candidate *best)
{
  struct candidate second = *best;

  if (!pick_any (context, request, service, best))
    return false;
  if (pick_any (context, request, service, &second) && load_milli (&second) < load_milli (best))
    *best = second;
  return true;
}

/* Picks the endpoint that requests with this prefix go to, whose cache then has the prefix.
 * Rendezvous hashing makes all entries choose the same endpoint without communication. Endpoints
 * in this entry's hall are preferred, so that fewer answers cross halls and are lost when a hall is
 * disconnected. */
static bool
pick_prefix (const struct ash_filter_context *context,
             const struct ash_request *request,
             const struct ash_service *service,
             struct candidate *best)
{
  uint32_t length = context->settings->prefix_bytes;
  struct candidate candidate = *best;
  struct ash_id prefix = { 0 };
  uint64_t highest = 0;
  bool best_is_local = false;

  /* There is no submit message when a key is minted. */
  if (!length || service->kind != ASH_SERVICE_MODEL || !request->submit ||
      request->submit->body.len < length)
    return false;
  prefix.hi = ash_hash_bytes (request->submit->body.data, length);
  for (uint32_t i = 0; i < service->endpoint_count; i++)
    {
      uint64_t weight;
      bool near;

      if (!consider (context, request, service, i, &candidate))
        continue;
      near = strcmp (candidate.endpoint->hall, context->settings->hall) == 0;
      weight = ash_rendezvous_weight (prefix, candidate.endpoint->name);
      if (near < best_is_local || (highest && near == best_is_local && weight <= highest))
        continue;
      best_is_local = near;
      highest = weight;
      *best = candidate;
    }
  return highest > 0;
}

/* Picks the prefix's endpoint unless its load exceeds that of the less loaded of two random
 * endpoints by more than affinity_milli: a hot prefix must not overload one endpoint. Requiring a
 * free slot at the prefix's endpoint instead would disable the cache at full load, where it saves
 * most. */
static bool
pick_near_prefix (const struct ash_filter_context *context,
                  const struct ash_request *request,
                  const struct ash_service *service,
                  struct candidate *best)
{
  struct candidate near = *best;

  if (!pick_two_choices (context, request, service, best))
    return false;
  if (pick_prefix (context, request, service, &near) &&
      load_milli (&near) <= load_milli (best) + context->settings->affinity_milli)
    *best = near;
  return true;
}

static bool
pick (const struct ash_filter_context *context,
      const struct ash_request *request,
      const struct ash_service *service,
      struct candidate *candidate)
{
  switch (context->settings->route)
    {
    case ASH_ROUTE_RANDOM:
      return pick_any (context, request, service, candidate);
    case ASH_ROUTE_ROUND_ROBIN:
      return pick_from (context, request, service, ++*context->round_robin_counter, candidate);
    case ASH_ROUTE_LEAST_REPORTED:
      return pick_least_reported (context, request, service, candidate);
    default:
      return pick_near_prefix (context, request, service, candidate);
    }
}

bool
ash_route_choose (const struct ash_filter_context *context,
                  const char *service_name,
                  struct ash_request *request)
{
  const struct ash_service *service =
      ash_document_service (&context->config->document, service_name);
  struct candidate chosen = { 0 };

  if (!service || service->endpoint_count == 0)
    return false;
  if (!pick (context, request, service, &chosen))
    {
      chosen.allow_unpreferred = true;
      if (!pick (context, request, service, &chosen))
        return false;
    }
  strcpy (request->box, chosen.box->name);
  request->incarnation = chosen.box->incarnation;
  return true;
}

static enum ash_verdict
request_route (struct priv *priv,
               const struct ash_filter_context *context,
               struct ash_time now,
               const struct Ash__Call *call,
               struct ash_request *request)
{
  const struct ash_box *home;

  (void) priv;
  (void) now;
  if (*request->box == '\0')
    {
      if (ash_route_choose (context, call->service, request))
        return ASH_VERDICT_NEXT;
      return ash_filter_refuse (request, ASH__REASON__NO_ENDPOINT, ash_filter_retry_ms (context));
    }
  home = ash_membership_find (context->membership, request->box);
  /* A home that is disconnected or has restarted is never replaced: another endpoint could run the
   * request a second time. */
  if (!home || !home->linked || home->incarnation != request->incarnation)
    return ash_filter_refuse (request, ASH__REASON__NO_ENDPOINT, ash_filter_retry_ms (context));
  return ASH_VERDICT_NEXT;
}

const struct ash_filter_info ash_filter_route = {
  .name = "route",
  .request = request_route,
};
