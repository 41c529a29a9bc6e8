/**
 * @file
 * Callers' requests: rejected, or routed and turned into an exchange. Also aborts all requests at
 * the end of a planned stop.
 */
#include "controllers/pass_model.h"
#include "daemon/exchange.h"

#include <string.h>
#include <utlist.h>

/* The final answer is sent this long before the caller's deadline, so that it arrives in time. */
#define DEADLINE_MARGIN_MS 25

/* Used if the caller sends no deadline. */
#define DEADLINE_DEFAULT_MS 30000

/* Requests seldom take longer, including the waits of streams: the longest stream that users have
 * specified has 57 events, some 80 ms apart. */
#define USUAL_DURATION_MS 5000

/* For this long after the signal to stop, when many callers still use the address, a request is
 * accepted if a request that takes USUAL_DURATION_MS would end in time. After it, a request is
 * accepted only if its deadline is before the end of the stop. */
#define STOP_EARLY_PHASE_MS 3000

/* Retry-After for requests that a stopping router rejects: short, because the caller has the
 * addresses of other routers. */
#define STOP_RETRY_AFTER_MS 10

/* ---- requests ---- */

/* Answers a request that has no exchange. */
static void
refuse (struct ash_http_conn *conn,
        struct ash_router *router,
        const char *id,
        uint16_t status,
        const char *why)
{
  char body[128];
  char fields[64] = "";
  int length = snprintf (body, sizeof body, "%s\n", why);

  ash_log_event (&router->log, ASH_EV_FORWARD_DENIED, "id=%s status=%u why=\"%s\" version=%llu", id,
                 status, why, (unsigned long long) ash_router_version (router));
  ash_metrics_add (&router->metrics, "ash_denied_total", "", 1);
  if (status == 503)
    snprintf (fields, sizeof fields, "Retry-After: 0.5\r\n");
  ash_http_conn_respond (conn, status, fields, strlen (fields), body, (size_t) length);
}

static void
deny (struct ash_http_conn *conn, struct ash_router *router, uint16_t status, const char *why)
{
  struct ash_request_fields facts;

  ash_platform_request_read (&conn->reader.head, &facts);
  refuse (conn, router, ash_request_log_id (&facts), status, why);
}

/* Callers don't retry after 401 or 404, so a router that knows its configuration to be outdated
 * answers 503 instead. */
static void
deny_by_config (struct ash_http_conn *conn,
                struct ash_router *router,
                uint16_t status,
                const char *why)
{
  if (ash_peer_sync_config_is_behind (&router->peer_sync, ash_clock_now ()))
    deny (conn, router, 503, "a newer configuration is on its way");
  else
    deny (conn, router, status, why);
}

/* @return how many requests an endpoint may have in flight. A plain endpoint queues some requests
 * beyond its slots. An engine may get fewer than its slots, because its streams slow each other
 * down. */
static uint32_t
concurrency_limit (const struct ash_router *router,
                   const struct ash_route *route,
                   const struct ash_route_service *service)
{
  const struct ash_direct_endpoint *endpoint;

  if (service->has_engine)
    {
      uint32_t bound = router->settings.rank_streams < service->engine.slots
                           ? router->settings.rank_streams
                           : service->engine.slots;

      return route->pause_target_ms
                 ? ash_pass_model_streams (&service->engine, route->pause_target_ms, bound)
                 : bound;
    }
  for (endpoint = router->endpoints.endpoints; endpoint; endpoint = endpoint->hh.next)
    if (strcmp (endpoint->facts.service, service->name) == 0)
      return endpoint->facts.slots + router->settings.plain_queue;
  return router->settings.plain_queue + 1;
}

/* The limits for sending a prompt to the service's engines. */
static struct ash_prompt_terms
prompt_terms (const struct ash_exchange *exchange, const struct ash_route_service *service)
{
  const struct ash_route *route = exchange->route;
  const struct ash_router *router = exchange->router;
  uint32_t ranks = ash_direct_count (&router->endpoints, service->name);

  return (struct ash_prompt_terms){
    .per_pass = ash_prompt_gate_per_pass (&service->engine, route->pause_target_ms, ranks,
                                          ash_fleet_size (&router->fleet)),
    .maps_adapt_in_time =
        ash_prompt_gate_maps_adapt_in_time (&service->engine, route->answer_target_ms),
    .pause_target_ms = route->pause_target_ms,
    .answer_target_ms = route->answer_target_ms,
    .resumed = exchange->facts.last_event_id != NULL,
  };
}

/* Counts the request in the demand for its service, and sets its priority. */
static void
set_priority (struct ash_exchange *exchange)
{
  struct ash_forward *forward = &exchange->forward;
  const char *account = exchange->account ? exchange->account->name : "";
  struct ash_router_service *service = ash_router_service (exchange->router, forward->service);

  forward->priority = ash_request_priority (exchange->route, exchange->account);
  forward->fair_reserve =
      ash_fair_share_ask (&service->shares, ash_hash_text (account), forward->arrived);
  ash_priority_room_ask (&service->room, forward->priority, forward->arrived);
}

static void
init_forward (struct ash_exchange *exchange)
{
  const struct ash_route *route = exchange->route;
  struct ash_router *router = exchange->router;
  struct ash_forward *forward = &exchange->forward;
  uint32_t service_index =
      ash_route_table_pick_service (exchange->table, route, ash_random_next (&router->random));
  const struct ash_route_service *service = &exchange->table->services[service_index];
  uint32_t caller_ms =
      exchange->facts.deadline_ms ? exchange->facts.deadline_ms : DEADLINE_DEFAULT_MS;
  uint32_t max_ms = caller_ms < route->timeout_ms ? caller_ms : route->timeout_ms;

  *forward = (struct ash_forward){
    .repeat = route->repeat,
    .servers_max = route->servers_max,
    .answer_target_ms = route->answer_target_ms,
    .service = service->name,
    .cap = concurrency_limit (router, route, service),
    .pause_target_ms = service->has_engine ? route->pause_target_ms : 0,
    .arrived = ash_clock_now (),
  };
  exchange->facts.parts.service = ash_hash_text (service->name);
  exchange->has_priorities =
      ash_route_service_has_priorities (service) && router->settings.priority_reserve > 0;
  if (exchange->has_priorities)
    set_priority (exchange);
  if (forward->pause_target_ms)
    forward->prompt = prompt_terms (exchange, service);
  /* A request that is read just after the process was suspended may have waited for the whole
   * suspension. The suspension is subtracted from the request's deadline; otherwise an endpoint
   * would work for a caller that has given up. */
  forward->deadline =
      ash_time_add (forward->arrived, (int64_t) max_ms - DEADLINE_MARGIN_MS - router->suspended_ms);
}

/* Whether a planned stop may end before the request does. The request would then be aborted, and
 * the caller would not know whether it ran. So the time left is compared with the time that the
 * request may take. */
static bool
may_outlast_stop (const struct ash_exchange *exchange)
{
  const struct ash_router *router = exchange->router;
  const struct ash_forward *forward = &exchange->forward;
  int64_t max_ms = ash_time_diff (forward->arrived, forward->deadline);

  if (!router->stopping)
    return false;
  if (router->stop_expired)
    return true;
  if (max_ms > USUAL_DURATION_MS &&
      ash_time_diff (router->stop_started_at, forward->arrived) <= STOP_EARLY_PHASE_MS)
    max_ms = USUAL_DURATION_MS;
  return ash_time_diff (forward->arrived, ash_router_stop_deadline (router)) < max_ms;
}

static void
on_request (struct ash_http_conn *conn)
{
  struct ash_router *router = conn->listener->owner;
  struct ash_resend_bound bound = ash_router_resend_bound (router);
  const struct ash_http_head *head = &conn->reader.head;
  const char *host = ash_http_field (head, "Host");
  const struct ash_route_account *account = NULL;
  const struct ash_route *route;
  struct ash_request_fields facts;
  struct ash_exchange *exchange;

  ash_platform_request_read (head, &facts);
  if (!router->table)
    {
      deny (conn, router, 503, "no configuration yet");
      return;
    }
  if (!host || head->target[0] != '/')
    {
      deny (conn, router, 400, "no Host, or a target that is no path");
      return;
    }
  route = ash_route_table_find (router->table, host, head->target);
  if (!route)
    {
      deny_by_config (conn, router, 404, "no such route");
      return;
    }
  if (facts.key)
    account = ash_route_table_account (router->table, facts.key);
  if (router->table->account_count && !route->anonymous && !account)
    {
      deny_by_config (conn, router, 401, "no such key");
      return;
    }
  exchange = ash_exchange_new (router, conn, route);
  if (!exchange)
    {
      deny (conn, router, 503, "out of memory");
      return;
    }
  exchange->account = account;
  exchange->facts = facts;
  init_forward (exchange);
  ash_resend_window_request (&ash_router_service (router, exchange->forward.service)->window,
                             &bound, exchange->forward.arrived);
  if (may_outlast_stop (exchange))
    ash_exchange_end_with_status (exchange, 503, ASH_FORWARD_LEAVING, STOP_RETRY_AFTER_MS);
  else
    ash_exchange_step (exchange);
}

static void
on_caller_disconnected (struct ash_http_conn *conn)
{
  struct ash_exchange *exchange = conn->request;

  if (!exchange)
    return;
  conn->request = NULL;
  ash_exchange_end_disconnected (exchange);
}

static void
on_drained (struct ash_http_conn *conn)
{
  struct ash_exchange *exchange = conn->request;

  if (exchange && exchange->paused)
    ash_exchange_answer_resume (exchange);
}

const struct ash_conn_handler ash_requests_handler = { on_request, on_caller_disconnected,
                                                       on_drained };

/* ---- end of a planned stop ---- */

/* Ends the exchange without trying another endpoint. A request that was sent is reported as
 * possibly run, unless the endpoint guarantees that it did not run or the connection was never
 * established. */
static void
abort_exchange (struct ash_exchange *exchange)
{
  struct ash_forward *forward = &exchange->forward;
  uint16_t status;

  if (exchange->endpoint && ash_http_call_connecting (&exchange->call))
    ash_forward_not_run (forward, false);
  status = ash_forward_status (forward, ASH_FORWARD_LEAVING);
  ash_exchange_end_with_status (exchange, status, ASH_FORWARD_LEAVING,
                                status == 503 ? STOP_RETRY_AFTER_MS : 0);
}

/* Rejects requests that have not been read completely; these were not sent to any endpoint. */
static void
reject_partly_read (struct ash_router *router)
{
  struct ash_http_conn *conn;

  DL_FOREACH (router->frontend.conns, conn)
    if (!conn->is_closed && conn->state == ASH_CONN_READING)
      refuse (conn, router, "-", 503, "stopping");
}

void
ash_requests_abort_all (struct ash_router *router)
{
  /* A pipelined request starts when the one before it ends, and is rejected immediately because the
   * stop has expired. */
  while (router->exchanges)
    abort_exchange (router->exchanges);
  reject_partly_read (router);
}
