/**
 * @file
 * The router's auxiliary HTTP pages: readiness, the addresses that callers may use, and metrics.
 */
#include "daemon/evacuation.h"
#include "daemon/router.h"
#include "platform/directory.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define TEXT_FIELDS "Content-Type: text/plain\r\n"

static void
answer_text (struct ash_http_conn *conn, uint16_t status, const char *text)
{
  ash_http_conn_respond (conn, status, TEXT_FIELDS, strlen (TEXT_FIELDS), text, strlen (text));
}

static void
ignore_disconnect (struct ash_http_conn *conn)
{
  (void) conn; /* pages are answered immediately: there is nothing to cancel */
}

/* ---- readiness ---- */

static void
on_readiness (struct ash_http_conn *conn)
{
  const struct ash_router *router = conn->listener->owner;

  if (ash_router_ready (router))
    answer_text (conn, 200,
                 ash_store_list_is_complete (&router->store)
                     ? "ready\n"
                     : "ready, but a page of the list of endpoints is missing\n");
  else
    answer_text (conn, 503, router->stopping ? "stopping\n" : "no configuration yet\n");
}

const struct ash_conn_handler ash_readiness_handler = { on_readiness, ignore_disconnect, NULL };

/* ---- directory ---- */

/* Fills in the addresses of ready peers. If there are too many, reservoir sampling gives each the
 * same chance: always taking the first would send nearly all callers to the same routers. @return
 * how many addresses were filled in. */
static uint32_t
sample_peers (struct ash_router *router, const char **addresses, uint32_t addresses_max)
{
  uint32_t candidates = 0;

  for (const struct ash_fleet_peer *peer = router->fleet.peers; peer; peer = peer->hh.next)
    {
      uint32_t at;

      if (!peer->linked || peer->leaving || !*peer->frontend)
        continue;
      at = candidates < addresses_max ? candidates
                                      : ash_random_below (&router->random, candidates + 1);
      candidates++;
      if (at < addresses_max)
        addresses[at] = peer->frontend;
    }
  return candidates < addresses_max ? candidates : addresses_max;
}

static void
on_directory (struct ash_http_conn *conn)
{
  struct ash_router *router = conn->listener->owner;
  const char *addresses[ASH_PLATFORM_ADDRESSES_MAX];
  struct ash_buffer body = { 0 };
  uint32_t count = 0;

  if (ash_router_ready (router))
    addresses[count++] = router->settings.frontend_listen;
  count += sample_peers (router, addresses + count, ASH_PLATFORM_ADDRESSES_MAX - count);
  if (!count ||
      !ash_platform_directory_write (&body, addresses, count, router->settings.address_keep_ms))
    answer_text (conn, 503, "no entry is known that is ready\n");
  else
    ash_http_conn_respond (conn, 200, ASH_PLATFORM_JSON_FIELDS, strlen (ASH_PLATFORM_JSON_FIELDS),
                           body.bytes + body.start, body.length);
  ash_buffer_finish (&body);
}

const struct ash_conn_handler ash_directory_handler = { on_directory, ignore_disconnect, NULL };

/* ---- metrics ---- */

static void
set_hall_gauges (struct ash_router *router)
{
  const struct ash_evacuations *evacuations = &router->endpoints.evacuations;
  char labels[ASH_METRICS_LABELS_BYTES];

  for (uint32_t i = 0; i < evacuations->count; i++)
    {
      const struct ash_evacuation *evacuation = &evacuations->halls[i];

      ash_metrics_labels (labels, sizeof labels, "hall=\"%s\"", evacuation->hall);
      ash_metrics_set (&router->metrics, "ash_hall_evacuated", labels, evacuation->ordered);
      ash_metrics_set (&router->metrics, "ash_hall_in_flight", labels,
                       ash_evacuation_in_flight (router, evacuation->hall));
    }
}

/* The demand for a service by priority, and the limit of an account's fair share. */
static void
set_demand_gauges (struct ash_router *router, const struct ash_router_service *service)
{
  const struct ash_priority_room *room = &service->room;
  double limit = ash_fair_share_limit (&service->shares);
  char labels[ASH_METRICS_LABELS_BYTES];

  for (uint32_t i = 0; i < room->count; i++)
    {
      uint32_t priority = room->levels[i].priority;
      double reserved = ash_priority_room_reserved (
          room, priority, router->settings.priority_reserve, ash_clock_now ());

      ash_metrics_labels (labels, sizeof labels, "service=\"%s\",priority=\"%u\"", service->name,
                          priority);
      ash_metrics_set (&router->metrics, "ash_priority_urgent_milli", labels,
                       (uint64_t) (1000 * ash_priority_room_urgent_share (room, priority)));
      ash_metrics_set (&router->metrics, "ash_priority_reserved_milli", labels,
                       (uint64_t) (1000 * reserved));
    }
  ash_metrics_labels (labels, sizeof labels, "service=\"%s\"", service->name);
  ash_metrics_set (&router->metrics, "ash_fair_share_milli", labels,
                   isinf (limit) ? 0 : (uint64_t) (1000 * limit));
}

/* What was read of the store. */
static void
set_store_gauges (struct ash_router *router, struct ash_time now)
{
  struct ash_metrics *metrics = &router->metrics;
  char labels[ASH_METRICS_LABELS_BYTES];

  ash_metrics_set (metrics, "ash_store_era", "", router->store.era);
  ash_metrics_set (metrics, "ash_store_calls_total", "", router->store.calls);
  ash_metrics_set (metrics, "ash_entries_unusable_total", "", router->store.unusable_total);
  for (int part = 0; part < ASH_STORE_PARTS; part++)
    {
      const struct ash_store_reader *reader = &router->store.readers[part];

      ash_metrics_labels (labels, sizeof labels, "part=\"%s\"",
                          part == ASH_STORE_CONFIG ? "config" : "endpoints");
      ash_metrics_set (metrics, "ash_store_answer_age_ms", labels,
                       (uint64_t) ash_time_diff (reader->last_answer, now));
      ash_metrics_set (metrics, "ash_store_listed", labels, reader->has_listed);
      ash_metrics_set (metrics, "ash_store_failures", labels, reader->failures);
    }
}

static void
set_gauges (struct ash_router *router)
{
  struct ash_metrics *metrics = &router->metrics;
  struct ash_time now = ash_clock_now ();
  char labels[ASH_METRICS_LABELS_BYTES];

  ash_metrics_set (metrics, "ash_config_version", "", ash_router_version (router));
  ash_metrics_set (metrics, "ash_config_newest_told", "",
                   router->peer_sync.peer_revisions[ASH_STORE_CONFIG].newest_version);
  ash_metrics_set (metrics, "ash_endpoints_revision", "", router->endpoints.revision);
  ash_metrics_set (metrics, "ash_reads_store", "", ash_fleet_reads_store (&router->fleet));
  ash_metrics_set (metrics, "ash_entries", "", ash_fleet_size (&router->fleet));
  ash_metrics_set (metrics, "ash_callers_connected", "", router->frontend.conn_count);
  ash_metrics_set (metrics, "ash_no_socket_total", "", router->no_socket_total);
  ash_metrics_set (metrics, "ash_requests_waiting", "", router->waiting_count);
  ash_metrics_set (metrics, "ash_log_lines_left_out_total", "", router->log_bound.dropped_total);
  ash_metrics_set (metrics, "ash_map_orders_total", "", router->map_manager.orders_sent);
  ash_metrics_set (metrics, "ash_expert_counts_read_total", "",
                   router->map_manager.counts_received);
  ash_metrics_set (metrics, "ash_groups_beyond_bounds_total", "",
                   router->map_manager.beyond_bounds);
  ash_metrics_set (metrics, "ash_leads_maps", "", router->map_manager.leads);
  ash_metrics_set (metrics, "ash_endpoints_ended_total", "", router->suspects.ended);
  ash_metrics_set (metrics, "ash_quarantined_total", "", router->suspects.quarantined);
  ash_metrics_set (metrics, "ash_quarantined_parts_total", "",
                   router->suspects.parts.quarantined_total);
  ash_metrics_set (metrics, "ash_quarantined_parts", "",
                   HASH_COUNT (router->suspects.parts.quarantine.parts));
  ash_metrics_set (metrics, "ash_suspects", "", HASH_COUNT (router->suspects.quarantine.suspects));
  ash_metrics_set (metrics, "ash_body_bytes", "", router->frontend.body_bytes);
  ash_metrics_set (metrics, "ash_answer_bytes", "", router->answer_memory.used_bytes);
  ash_metrics_set (metrics, "ash_answer_max_bytes", "", router->answer_memory.max_bytes);
  set_store_gauges (router, now);
  set_hall_gauges (router);
  for (const struct ash_router_service *service = router->services; service;
       service = service->hh.next)
    set_demand_gauges (router, service);
  for (const struct ash_direct_endpoint *endpoint = router->endpoints.endpoints; endpoint;
       endpoint = endpoint->hh.next)
    {
      ash_metrics_labels (labels, sizeof labels, "endpoint=\"%s\"", endpoint->facts.id);
      ash_metrics_set (metrics, "ash_endpoint_in_flight", labels, endpoint->in_flight);
      ash_metrics_set (metrics, "ash_endpoint_elsewhere", labels, endpoint->peers_in_flight);
      ash_metrics_set (metrics, "ash_endpoint_failures", labels, endpoint->failures);
      ash_metrics_set (metrics, "ash_endpoint_rests_ms", labels,
                       (uint64_t) ash_direct_backoff_ms (endpoint, now));
      ash_metrics_set (metrics, "ash_endpoint_cold_ms", labels,
                       (uint64_t) ash_cold_start_left_ms (&endpoint->cold, now));
      ash_metrics_set (metrics, "ash_endpoint_limit_milli", labels, endpoint->limit.milli_per_s);
      ash_metrics_set (metrics, "ash_endpoint_pace_milli", labels,
                       (uint64_t) (1000 * ash_direct_pace (endpoint, now)));
    }
}

static void
on_metrics (struct ash_http_conn *conn)
{
  struct ash_router *router = conn->listener->owner;
  char *text = NULL;
  size_t text_bytes = 0;
  FILE *out = open_memstream (&text, &text_bytes);

  if (!out)
    {
      answer_text (conn, 503, "out of memory\n");
      return;
    }
  set_gauges (router);
  ash_metrics_print (&router->metrics, out);
  fclose (out);
  ash_http_conn_respond (conn, 200, TEXT_FIELDS, strlen (TEXT_FIELDS), text, text_bytes);
  free (text);
}

const struct ash_conn_handler ash_metrics_handler = { on_metrics, ignore_disconnect, NULL };
