#include "daemon/evacuation.h"

#include "daemon/fleet_rates.h"
#include "daemon/router.h"
#include "daemon/store_list.h"

#include <inttypes.h>
#include <string.h>

/* Number of endpoints in a hall, and of requests that this router has there. */
struct hall_load
{
  uint32_t endpoints;
  uint32_t in_flight;
};

static struct hall_load
load_of (const struct ash_router *router, const char *hall)
{
  struct hall_load load = { 0 };

  for (const struct ash_direct_endpoint *endpoint = router->endpoints.endpoints; endpoint;
       endpoint = endpoint->hh.next)
    if (strcmp (endpoint->facts.hall, hall) == 0)
      {
        load.endpoints++;
        load.in_flight += endpoint->in_flight;
      }
  return load;
}

uint32_t
ash_evacuation_in_flight (const struct ash_router *router, const char *hall)
{
  return load_of (router, hall).in_flight;
}

/* Applies a change of a hall's order to its endpoints. */
static void
apply (struct ash_router *router, const struct ash_evacuation *evacuation, const char *source)
{
  struct hall_load load = load_of (router, evacuation->hall);

  ash_log_event (&router->log, ASH_EV_HALL_EVACUATED,
                 "hall=%s evacuated=%d position=%" PRIu64 " source=%s endpoints=%u in_flight=%u",
                 evacuation->hall, evacuation->ordered, evacuation->position, source,
                 load.endpoints, load.in_flight);
  ash_direct_apply_evacuations (&router->endpoints);
  if (!evacuation->ordered)
    ash_fleet_expect_cold (&router->fleet, evacuation->hall);
  router->evacuation_in_progress = router->evacuation_in_progress || evacuation->ordered;
  router->capacity_freed = true;
}

/* @return whether the hall's state has changed. */
static bool
set (struct ash_router *router,
     const char *hall,
     uint64_t position,
     bool ordered,
     const char *source)
{
  struct ash_evacuations *evacuations = &router->endpoints.evacuations;

  switch (ash_evacuations_set (evacuations, hall, position, ordered))
    {
    case ASH_EVACUATIONS_UNCHANGED:
      return false;
    case ASH_EVACUATIONS_REFUSED:
      ash_log_event (&router->log, ASH_EV_CONFIG_REFUSED,
                     "source=%s hall=%.63s why=\"not the name of a hall, or too many halls\"",
                     source, hall);
      return false;
    case ASH_EVACUATIONS_CHANGED:
      apply (router, ash_evacuations_find (evacuations, hall), source);
      return true;
    }
  return false;
}

/* ---- peers ---- */

static struct Ash__Evacuation
message_of (struct ash_evacuation *evacuation)
{
  struct Ash__Evacuation message = ASH__EVACUATION__INIT;

  message.hall = evacuation->hall;
  message.position = evacuation->position;
  message.ordered = evacuation->ordered;
  return message;
}

/* Sends all orders to a peer. @param box NULL: to all routers of the own hall. */
static void
send_orders (struct ash_router *router, const char *box)
{
  struct ash_evacuations *evacuations = &router->endpoints.evacuations;
  struct Ash__Evacuation messages[ASH_EVACUATIONS_MAX];
  struct Ash__Evacuation *items[ASH_EVACUATIONS_MAX];
  struct Ash__EvacuationList list = ASH__EVACUATION_LIST__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_EVACUATIONS, &list);

  for (uint32_t i = 0; i < evacuations->count; i++)
    {
      messages[i] = message_of (&evacuations->halls[i]);
      items[i] = &messages[i];
    }
  list.evacuations = items;
  list.n_evacuations = evacuations->count;
  if (box)
    ash_peers_send (&router->fleet.links, box, &event);
  else
    ash_fleet_send_hall (&router->fleet, &event);
}

void
ash_evacuation_compare (struct ash_router *router, uint64_t digest, const char *box)
{
  if (router->endpoints.evacuations.count &&
      digest != ash_evacuations_digest (&router->endpoints.evacuations))
    send_orders (router, box);
}

void
ash_evacuation_receive (struct ash_router *router,
                        const struct Ash__EvacuationList *list,
                        const char *box)
{
  for (size_t i = 0; i < list->n_evacuations; i++)
    set (router, list->evacuations[i]->hall, list->evacuations[i]->position,
         list->evacuations[i]->ordered, box);
}

/* ---- the store ---- */

void
ash_evacuation_item (struct ash_router *router,
                     const struct ash_store_item *item,
                     uint64_t position,
                     uint32_t listing_id)
{
  struct ash_evacuation *evacuation;

  if (set (router, item->name, position, !item->removed, "store"))
    send_orders (router, NULL);
  evacuation = ash_evacuations_find (&router->endpoints.evacuations, item->name);
  if (evacuation)
    evacuation->listing_id = listing_id;
}

void
ash_evacuation_listing_end (struct ash_router *router, uint64_t position, uint32_t listing_id)
{
  struct ash_time now = ash_clock_now ();

  ash_evacuations_end_listing (&router->endpoints.evacuations, now, listing_id, position,
                               ASH_STORE_LAPSE_MS);
  ash_evacuation_tick (router, now);
}

/* Logs once that this router has no more requests in the evacuated halls. */
static void
check_progress (struct ash_router *router)
{
  const struct ash_evacuations *evacuations = &router->endpoints.evacuations;
  uint32_t ordered = 0;
  uint32_t in_flight = 0;

  for (uint32_t i = 0; i < evacuations->count; i++)
    if (evacuations->halls[i].ordered)
      {
        ordered++;
        in_flight += ash_evacuation_in_flight (router, evacuations->halls[i].hall);
      }
  if (ordered && !in_flight)
    ash_log_event (&router->log, ASH_EV_HALLS_EMPTY, "halls=%u", ordered);
  router->evacuation_in_progress = in_flight > 0;
}

void
ash_evacuation_tick (struct ash_router *router, struct ash_time now)
{
  const struct ash_evacuation *withdrawn;

  while ((withdrawn = ash_evacuations_pop_withdrawn (&router->endpoints.evacuations, now)))
    apply (router, withdrawn, "store");
  if (router->evacuation_in_progress)
    check_progress (router);
}
