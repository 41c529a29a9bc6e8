/**
 * @file
 * State machine of an exchange, in the router process. Decides what the exchange does next: send
 * the request to an endpoint, resend it where that is safe, wait for a free slot, or end with a
 * final answer.
 */
#include "daemon/exchange.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* How long no request tries to get a socket after one could not be had: that takes a system call
 * for each waiting request. Sockets become free as requests end. */
#define SOCKET_RETRY_MS 20

#define MS_PER_S 1000.0

/* How long a request whose endpoint failed may wait for a slot at another endpoint. */
#define RESUME_WAIT_MS 400

/* ---- sending ---- */

static struct ash_forward_context
forward_context (struct ash_exchange *exchange)
{
  struct ash_router *router = exchange->router;
  struct ash_router_service *service = ash_router_service (router, exchange->forward.service);

  return (struct ash_forward_context){
    .endpoints = &router->endpoints,
    .window = &service->window,
    .bound = ash_router_resend_bound (router),
    .entries = ash_fleet_size (&router->fleet),
    .hall = router->settings.hall,
    .router_id = router->incarnation,
    .remote_parts = ash_fleet_remote_parts (&router->fleet),
    .wait_ms = router->settings.wait_ms,
    .gate = exchange->forward.pause_target_ms ? &service->gate : NULL,
    .room = exchange->has_priorities ? &service->room : NULL,
    .reserve = router->settings.priority_reserve,
    .quarantined_ms = ash_exchange_quarantined_ms (exchange, ash_clock_now ()),
    .suspected = ash_exchange_is_suspected (exchange),
    .sent_at = exchange->sent_at,
    .no_socket = ash_time_before (ash_clock_now (), router->no_socket_until),
  };
}

/* Starts the timer for the next check of the exchange, at `until` at the latest. */
static void
set_timer (struct ash_exchange *exchange, struct ash_time until)
{
  struct ash_time now = ash_clock_now ();
  int64_t ms = ash_time_diff (now, ash_exchange_next_check (exchange, now, until));

  ev_timer_stop (exchange->router->loop, &exchange->timer);
  ev_timer_set (&exchange->timer, (double) (ms > 0 ? ms : 0) / MS_PER_S + 0.0005, 0);
  ev_timer_start (exchange->router->loop, &exchange->timer);
}

void
ash_exchange_update_timer (struct ash_exchange *exchange)
{
  set_timer (exchange, ASH_TIME_NEVER);
}

static bool
write_request (struct ash_exchange *exchange,
               const struct ash_direct_endpoint *endpoint,
               struct ash_buffer *out)
{
  char last_event[24];
  int64_t left_ms = ash_time_diff (ash_clock_now (), exchange->forward.deadline);
  struct ash_endpoint_request_fields order = {
    .deadline_ms = left_ms > 1 ? (uint32_t) left_ms : 1,
    .endpoint_id = endpoint->facts.id,
    .account = exchange->account ? exchange->account->name : NULL,
    .last_event_id = exchange->facts.last_event_id,
    .urgency = -1,
  };

  if (exchange->has_event)
    {
      snprintf (last_event, sizeof last_event, "%lld", (long long) exchange->last_event);
      order.last_event_id = last_event;
    }
  return ash_platform_request_write (out, &exchange->conn->reader.head, &order,
                                     &exchange->conn->body);
}

static void
count_taken (struct ash_exchange *exchange)
{
  struct ash_router_service *service =
      ash_router_service (exchange->router, exchange->forward.service);
  struct ash_time now = ash_clock_now ();

  ash_fair_share_take (&service->shares, now);
  ash_priority_room_take (&service->room, exchange->forward.priority, now);
}

/* Whether this process has run out of what a connection needs, so that no endpoint can be reached.
 */
static bool
is_exhausted (int error)
{
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM ||
         error == EAGAIN;
}

/* The request could not be sent. It is decided anew from the event loop, not here: each endpoint in
 * turn may fail as this one did. */
static void
step_later (struct ash_exchange *exchange)
{
  ash_exchange_set_waiting (exchange, true);
  set_timer (exchange, ash_clock_now ());
}

static void
handle_no_socket (struct ash_exchange *exchange, int error)
{
  struct ash_router *router = exchange->router;

  router->no_socket_until = ash_time_add (ash_clock_now (), SOCKET_RETRY_MS);
  router->no_socket_total++;
  ash_log_event (
      &router->log, ASH_EV_NO_SOCKET, "id=%s route=%s why=\"%s\" sent=%u age_ms=%lld callers=%u",
      ash_exchange_id (exchange), exchange->route->name, strerror (error), exchange->forward.sent,
      (long long) ash_exchange_age_ms (exchange), router->frontend.conn_count);
  step_later (exchange);
}

/* The endpoint refused the connection at once. */
static void
handle_unreachable (struct ash_exchange *exchange)
{
  ash_exchange_record_evidence (exchange, ASH_DIRECT_UNREACHABLE);
  ash_exchange_release_slot (exchange);
  ash_forward_not_run (&exchange->forward, false);
  exchange->forward.wait_until = ash_time_add (ash_clock_now (), RESUME_WAIT_MS);
  step_later (exchange);
}

/* Starts to send the request. @return 0, or the reason of the failure as an errno value. */
static int
start_call (struct ash_exchange *exchange, struct ash_direct_endpoint *endpoint)
{
  struct ash_http_pool *pool = ash_router_pool (exchange->router, endpoint);
  struct ash_buffer request = { 0 };
  int error = 0;

  if (!pool || !write_request (exchange, endpoint, &request))
    error = ENOMEM;
  else if (!ash_http_call_start (&exchange->call, pool, request.bytes + request.start,
                                 request.length, exchange->idle_valid_since))
    error = errno;
  ash_buffer_finish (&request);
  return error;
}

static void
send_to (struct ash_exchange *exchange, struct ash_direct_endpoint *endpoint)
{
  struct ash_router *router = exchange->router;
  int error;

  ash_exchange_answer_clear (exchange);
  ash_event_stream_finish (&exchange->event_stream);
  exchange->paused = false;
  error = start_call (exchange, endpoint);
  if (is_exhausted (error))
    {
      handle_no_socket (exchange, error);
      return;
    }
  ash_log_event (
      &router->log, exchange->forward.sent ? ASH_EV_FORWARD_RESENT : ASH_EV_FORWARD_SENT,
      "id=%s route=%s endpoint=%s load=%u elsewhere=%u sent=%u age_ms=%lld last_event=%lld",
      ash_exchange_id (exchange), exchange->route->name, endpoint->facts.id, endpoint->in_flight,
      endpoint->peers_in_flight, exchange->forward.sent, (long long) ash_exchange_age_ms (exchange),
      exchange->has_event ? (long long) exchange->last_event : -1LL);
  if (exchange->forward.pause_target_ms)
    ash_prompt_gate_record_sent (&ash_router_service (router, exchange->forward.service)->gate);
  if (exchange->has_priorities && !exchange->forward.sent)
    count_taken (exchange);
  ash_exchange_note_sent_parts (exchange);
  ash_forward_sent (&exchange->forward, endpoint);
  exchange->sent_at = ash_clock_now ();
  exchange->last_received = exchange->sent_at;
  ash_direct_note_sent (endpoint, exchange->sent_at);
  exchange->endpoint = endpoint;
  ash_fleet_loads_changed (&router->fleet);
  if (error)
    handle_unreachable (exchange);
  else
    set_timer (exchange, ASH_TIME_NEVER);
}

void
ash_exchange_step (struct ash_exchange *exchange)
{
  struct ash_forward_context context = forward_context (exchange);
  struct ash_forward_decision decision =
      ash_forward_next (&exchange->forward, &context, ash_clock_now ());

  exchange->awaited_probe = 0;
  ash_exchange_set_waiting (exchange, decision.action == ASH_FORWARD_WAIT);
  switch (decision.action)
    {
    case ASH_FORWARD_SEND:
      send_to (exchange, decision.endpoint);
      break;
    case ASH_FORWARD_WAIT:
      set_timer (exchange, decision.until);
      break;
    case ASH_FORWARD_ANSWER:
      ash_exchange_end_with_status (exchange, decision.answer.status, decision.answer.reason,
                                    decision.answer.retry_after_ms);
      break;
    }
}

/* ---- the endpoint's answer ---- */

/* The endpoint ran the request and reported a server error: resends it to another endpoint if that
 * is safe. */
static void
handle_server_error (struct ash_exchange *exchange)
{
  struct ash_forward_context context = forward_context (exchange);
  struct ash_forward_decision decision = { .action = ASH_FORWARD_ANSWER };

  if (exchange->forward.repeat == ASH_REPEAT_SAFE && !exchange->forward.answer_started)
    decision = ash_forward_next (&exchange->forward, &context, ash_clock_now ());
  if (decision.action == ASH_FORWARD_SEND)
    send_to (exchange, decision.endpoint);
  else
    ash_exchange_end_with_answer (exchange);
}

static void
handle_complete_answer (struct ash_exchange *exchange)
{
  struct ash_exchange_answer *answer = &exchange->answer;
  bool failed = answer->status >= ASH_STATUS_SERVER_ERROR;

  if (answer->not_run)
    {
      ash_exchange_record_evidence (exchange, answer->status == ASH_STATUS_MISDIRECTED
                                                  ? ASH_DIRECT_UNREACHABLE
                                                  : ASH_DIRECT_FULL);
      ash_exchange_release_slot (exchange);
      ash_forward_not_run (&exchange->forward, true);
      ash_exchange_step (exchange);
      return;
    }
  ash_exchange_record_evidence (exchange, failed ? ASH_DIRECT_FAILED : ASH_DIRECT_ANSWERED);
  ash_exchange_release_slot (exchange);
  if (answer->is_event_stream)
    ash_exchange_end_stream (exchange);
  else if (exchange->forward.answer_started && !answer->passthrough)
    /* The caller has part of a stream, but the endpoint that was to resume it sent another kind of
     * answer. */
    ash_exchange_step (exchange);
  else if (failed)
    handle_server_error (exchange);
  else
    ash_exchange_end_with_answer (exchange);
}

/* Whether a stream was broken off although its message is complete: it ends inside an event, or
 * with its connection and without any event. */
static bool
stream_was_broken_off (const struct ash_exchange *exchange)
{
  const struct ash_exchange_answer *answer = &exchange->answer;

  return answer->is_event_stream && (!ash_event_stream_is_empty (&exchange->event_stream) ||
                                     (!answer->framed && !answer->events));
}

/* Status 0: the head was malformed or rejected. */
static void
log_malformed (const struct ash_exchange *exchange)
{
  ash_log_event (&exchange->router->log, ASH_EV_FORWARD_MALFORMED,
                 "id=%s route=%s endpoint=%s status=%u events=%u body_bytes=%zu after_ms=%lld "
                 "answer_started=%d",
                 ash_exchange_id (exchange), exchange->route->name, exchange->endpoint->facts.id,
                 exchange->answer.status, exchange->answer.events, exchange->answer.body.length,
                 (long long) ash_time_diff (exchange->sent_at, ash_clock_now ()),
                 exchange->forward.answer_started);
}

static void
on_end (struct ash_http_call *call, enum ash_call_end end)
{
  struct ash_exchange *exchange = call->owner;
  struct ash_exchange_answer *answer = &exchange->answer;

  ev_timer_stop (exchange->router->loop, &exchange->timer);
  if (end == ASH_CALL_COMPLETE && stream_was_broken_off (exchange))
    end = ASH_CALL_TRUNCATED;
  if (end == ASH_CALL_COMPLETE)
    {
      handle_complete_answer (exchange);
      return;
    }
  if (end == ASH_CALL_TRUNCATED)
    ash_exchange_record_disconnect (exchange);
  if (end == ASH_CALL_MALFORMED)
    log_malformed (exchange);
  ash_exchange_record_evidence (exchange, end == ASH_CALL_NOT_SENT ? ASH_DIRECT_UNREACHABLE
                                                                   : ASH_DIRECT_BROKEN);
  ash_exchange_release_slot (exchange);
  if (end == ASH_CALL_NOT_SENT)
    ash_forward_not_run (&exchange->forward, false);
  /* Another endpoint can't resume an answer that is no event stream. */
  if (answer->passthrough)
    {
      ash_exchange_end_with_status (exchange, 502, ASH_FORWARD_FAILED, 0);
      return;
    }
  exchange->forward.wait_until = ash_time_add (ash_clock_now (), RESUME_WAIT_MS);
  if (exchange->awaited_probe)
    set_timer (exchange, exchange->forward.wait_until);
  else
    ash_exchange_step (exchange);
}

static const struct ash_call_handler call_handler = {
  ash_exchange_answer_head,
  ash_exchange_answer_body,
  on_end,
};

/* ---- timer ---- */

/* Ends the call to the endpoint, which is silent or can't be reached. */
static void
abandon_call (struct ash_exchange *exchange, struct ash_time now)
{
  ash_exchange_cancel_call (exchange);
  exchange->forward.wait_until = ash_time_add (now, RESUME_WAIT_MS);
}

/* Another endpoint goes on with a stream whose endpoint is silent, if one may; else the stream goes
 * on waiting, as its endpoint may still end it. */
static void
seek_for_stream (struct ash_exchange *exchange, struct ash_time now)
{
  struct ash_forward_context context = forward_context (exchange);
  struct ash_forward_decision decision = ash_forward_next (&exchange->forward, &context, now);

  exchange->sought_at = now;
  if (decision.action != ASH_FORWARD_SEND)
    {
      set_timer (exchange, ASH_TIME_NEVER);
      return;
    }
  abandon_call (exchange, now);
  send_to (exchange, decision.endpoint);
}

static void
handle_silence (struct ash_exchange *exchange, struct ash_time now)
{
  if (!ash_exchange_was_sought (exchange))
    {
      ash_exchange_record_evidence (exchange, ASH_DIRECT_TIMED_OUT);
      ash_exchange_close_idle_connections (exchange, now);
    }
  if (exchange->forward.answer_started)
    {
      seek_for_stream (exchange, now);
      return;
    }
  abandon_call (exchange, now);
  ash_exchange_step (exchange);
}

/* Checks the endpoint while the request has time left. */
static void
check_endpoint (struct ash_exchange *exchange, struct ash_time now)
{
  if (ash_http_call_connecting (&exchange->call))
    {
      ash_exchange_record_evidence (exchange, ASH_DIRECT_UNREACHABLE);
      abandon_call (exchange, now);
      ash_exchange_step (exchange);
    }
  else if (ash_exchange_check_silence (exchange, now))
    handle_silence (exchange, now);
  else
    set_timer (exchange, ASH_TIME_NEVER);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_exchange *exchange = timer->data;
  struct ash_time now = ash_clock_now ();

  (void) loop;
  (void) events;
  if (ash_exchange_check_unread (exchange, now))
    {
      ash_exchange_end_unread (exchange);
      return;
    }
  if (exchange->endpoint && ash_time_before (now, exchange->forward.deadline))
    {
      check_endpoint (exchange, now);
      return;
    }
  if (exchange->endpoint && ash_http_call_connecting (&exchange->call))
    ash_forward_not_run (&exchange->forward, false);
  else if (exchange->endpoint)
    ash_exchange_record_timeout (exchange, now);
  ash_exchange_step (exchange);
}

void
ash_exchange_check_all (struct ash_router *router)
{
  struct ash_exchange *exchange;

  DL_FOREACH (router->exchanges, exchange)
    ev_feed_event (router->loop, &exchange->timer, EV_TIMER);
}

void
ash_exchange_step_waiting (struct ash_router *router)
{
  struct ash_exchange *exchange;
  struct ash_exchange *next;

  router->capacity_freed = false;
  if (!router->waiting_count)
    return;
  DL_FOREACH_SAFE (router->exchanges, exchange, next)
    if (exchange->waiting)
      ash_exchange_step (exchange);
}

struct ash_exchange *
ash_exchange_new (struct ash_router *router,
                  struct ash_http_conn *conn,
                  const struct ash_route *route)
{
  struct ash_exchange *exchange = calloc (1, sizeof *exchange);

  if (!exchange)
    return NULL;
  exchange->router = router;
  exchange->conn = conn;
  exchange->table = ash_route_table_ref (router->table);
  exchange->route = route;
  exchange->call = (struct ash_http_call){
    .handler = &call_handler,
    .owner = exchange,
    .no_body = strcmp (conn->reader.head.method, "HEAD") == 0,
  };
  ev_timer_init (&exchange->timer, on_timer, 0, 0);
  exchange->timer.data = exchange;
  conn->request = exchange;
  DL_APPEND (router->exchanges, exchange);
  return exchange;
}
