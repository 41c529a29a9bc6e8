/**
 * @file
 * A caller's request from its last byte to its answer's: routed, sent to an
 * endpoint, sent again where that is allowed, and its answer passed on whole or
 * broken off so that it shows.
 */
#include "daemon/router.h"
#include "filters/forward.h"
#include "net/event_stream.h"
#include "platform/message.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define MS_PER_S 1000.0

/* A final answer is sent this much before the time is up, so that it arrives in time. */
#define DEADLINE_MARGIN_MS 25

/* Without a caller's word on how long it waits. */
#define DEADLINE_DEFAULT_MS 30000

/* Streams seldom last longer, their waits included: the longest on the users' sheets has 57 events,
 * some 80 ms apart. */
#define STREAM_MOST_MS 5000

/* Soon after the signal to stop many callers still use the address, and a stream is taken if it
 * would end in time as streams do; later, only if it must. */
#define STOP_BEGINS_MS 3000

/* In a planned stop, what may not end in time goes elsewhere at once: the caller has other
 * addresses. */
#define LEAVING_RETRY_MS 10

/* A connection to an endpoint comes up within a few milliseconds. One that takes so much
 * longer met a full queue or a cut; the kernel would try again only after a second. */
#define CONNECT_MS 350

/* How long an endpoint may be silent before a repeatable request is sent elsewhere,
 * against the aim: an answer so late has lost most of its worth. */
#define SILENCE_AIMS 3
#define SILENCE_LEAST_MS 900

/* Between two events of a stream that may go on elsewhere. Callers give up after two
 * seconds; what depends on a lost endpoint stands still for one and a half. */
#define PAUSE_MOST_MS 1650

/* After this part of those times, what matters is whether the endpoint's kernel has the request:
 * one whose bytes are not acknowledged after 450 ms, two retransmissions of the kernel included,
 * waits on a connection that is silent, not on an endpoint that is slow. */
#define DOUBT_PART 2

/* How long a stream that broke may wait for a place to go on. */
#define RESUME_WAIT_MS 400

/* Answers up to this size are held until they are whole, so that one that breaks off
 * can be asked for again. */
#define HOLD_BYTES (128 * 1024)

/* A caller that does not read holds its endpoint back above this. */
#define QUEUE_BYTES (64 * 1024)

#define STATUS_OK 200
#define STATUS_MULTIPLE 300
#define STATUS_SERVER_ERROR 500

/** What the present answer of an endpoint has shown so far. */
struct answer
{
  uint16_t status;
  bool not_run;    /* the endpoint vouches that it did not run the request */
  bool bad;        /* it can't be the endpoint's answer to this request */
  bool events;     /* it is a stream of events */
  uint64_t length; /* of the body of an answer to HEAD, which does not come */
  bool passing;    /* too large to be held: passed on as it comes */
  struct ash_buffer fields;
  struct ash_buffer body;
};

struct ash_exchange
{
  struct ash_router *router;
  struct ash_http_conn *conn;
  struct ash_http_call call;
  struct ash_route_table *table;
  const struct ash_route *route;
  const struct ash_route_account *account;
  struct ash_request_facts facts;
  struct ash_forward forward;
  struct ash_direct_endpoint *endpoint; /* that the call goes to */
  struct ash_time sent;                 /* when it went there */
  struct ash_time heard;                /* the last byte or event from there */
  struct ash_time trusted;              /* kept connections that were heard from since will do */
  struct answer answer;
  struct ash_event_stream events;
  bool has_event;
  int64_t last_event;     /* passed on */
  struct ash_time passed; /* when */
  bool waiting;
  ev_timer timer;
  struct ash_exchange *prev;
  struct ash_exchange *next;
};

static void step (struct ash_exchange *exchange);

/* ---- ends ---- */

static void
clear_answer (struct answer *answer)
{
  ash_buffer_finish (&answer->fields);
  ash_buffer_finish (&answer->body);
  *answer = (struct answer){ 0 };
}

static void
set_waiting (struct ash_exchange *exchange, bool waiting)
{
  if (exchange->waiting == waiting)
    return;
  exchange->waiting = waiting;
  exchange->router->waiting_count += waiting ? 1 : -1U;
}

static void
release_endpoint (struct ash_exchange *exchange)
{
  if (!exchange->endpoint)
    return;
  exchange->endpoint->in_flight--;
  exchange->endpoint = NULL;
  exchange->router->room = true;
  exchange->router->fleet.loads_changed = true;
}

static void
free_exchange (struct ash_exchange *exchange)
{
  struct ash_router *router = exchange->router;

  set_waiting (exchange, false);
  ash_http_call_cancel (&exchange->call);
  release_endpoint (exchange);
  ev_timer_stop (router->loop, &exchange->timer);
  clear_answer (&exchange->answer);
  ash_event_stream_finish (&exchange->events);
  ash_route_table_unref (exchange->table);
  DL_DELETE (router->exchanges, exchange);
  free (exchange);
}

/* A caller's id as a log may hold it: nothing that could pass for further fields. */
static const char *
plain_id (const struct ash_request_facts *facts)
{
  static const char plain[] = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ._:-";
  const char *id = facts->attempt_id;

  if (!id || !*id)
    return "-";
  return id[strspn (id, plain)] ? "(odd)" : id;
}

static const char *
attempt_id (const struct ash_exchange *exchange)
{
  return plain_id (&exchange->facts);
}

static int64_t
age_ms (const struct ash_exchange *exchange)
{
  return ash_time_diff (exchange->forward.came, ash_clock_now ());
}

static void
count_end (struct ash_exchange *exchange, const char *outcome, bool served)
{
  struct ash_metrics *metrics = &exchange->router->metrics;
  char labels[160];

  snprintf (labels, sizeof labels, "route=\"%s\",outcome=\"%s\"", exchange->route->name, outcome);
  ash_metrics_add (metrics, "ash_requests_total", labels, 1);
  if (!served)
    return;
  snprintf (labels, sizeof labels, "account=\"%s\"",
            exchange->account ? exchange->account->name : "");
  ash_metrics_observe (metrics, "ash_answer_ms", labels, (uint64_t) age_ms (exchange));
}

/* The router's own final answer. */
static void
answer_self (struct ash_exchange *exchange,
             uint16_t status,
             enum ash_forward_reason reason,
             uint32_t retry_after_ms)
{
  struct ash_http_conn *conn = exchange->conn;
  const struct ash_forward *forward = &exchange->forward;
  const char *name = ash_forward_reason_name (reason);
  char fields[64] = "";
  char body[128];
  int length;

  ash_log_event (&exchange->router->log,
                 status == 503 ? ASH_EV_FORWARD_REFUSED : ASH_EV_FORWARD_FAILED,
                 "id=%s route=%s service=%s status=%u reason=%s sent=%u unsure=%u age_ms=%lld "
                 "left_ms=%lld version=%llu endpoints_revision=%llu retry_after_ms=%u",
                 attempt_id (exchange), exchange->route->name, forward->service, status, name,
                 forward->sent, forward->unsure, (long long) age_ms (exchange),
                 (long long) ash_time_diff (ash_clock_now (), forward->deadline),
                 (unsigned long long) exchange->table->version,
                 (unsigned long long) exchange->router->endpoints.revision, retry_after_ms);
  count_end (exchange, name, false);
  conn->request = NULL;
  if (forward->began)
    ash_http_conn_end (conn, false);
  else
    {
      if (retry_after_ms)
        snprintf (fields, sizeof fields, "Retry-After: %.3f\r\n", retry_after_ms / MS_PER_S);
      length = snprintf (body, sizeof body, "%s: %s\n", name,
                         status == 503 ? "the request did not run" : "the request may have run");
      ash_http_conn_answer (conn, status, fields, strlen (fields), body, (size_t) length);
    }
  free_exchange (exchange);
}

/* The endpoint's own answer, as it made it. */
static void
answer_held (struct ash_exchange *exchange)
{
  struct ash_http_conn *conn = exchange->conn;
  struct answer *answer = &exchange->answer;

  ash_log_event (&exchange->router->log, ASH_EV_FORWARD_SERVED,
                 "id=%s route=%s status=%u sent=%u age_ms=%lld", attempt_id (exchange),
                 exchange->route->name, answer->status, exchange->forward.sent,
                 (long long) age_ms (exchange));
  count_end (exchange, answer->status < STATUS_MULTIPLE ? "served" : "failed_there", true);
  conn->request = NULL;
  if (answer->passing)
    ash_http_conn_end (conn, true);
  else
    ash_http_conn_answer (conn, answer->status,
                          (const char *) answer->fields.bytes + answer->fields.start,
                          answer->fields.length, answer->body.bytes + answer->body.start,
                          exchange->call.no_body ? answer->length : answer->body.length);
  free_exchange (exchange);
}

static void
begin_answer (struct ash_exchange *exchange)
{
  struct answer *answer = &exchange->answer;

  exchange->forward.began = true;
  ash_http_conn_begin (exchange->conn, answer->status,
                       (const char *) answer->fields.bytes + answer->fields.start,
                       answer->fields.length);
}

static void
end_stream (struct ash_exchange *exchange)
{
  struct ash_http_conn *conn = exchange->conn;

  if (!exchange->forward.began)
    begin_answer (exchange);
  ash_log_event (&exchange->router->log, ASH_EV_FORWARD_SERVED,
                 "id=%s route=%s status=%u sent=%u age_ms=%lld last_event=%lld",
                 attempt_id (exchange), exchange->route->name, exchange->answer.status,
                 exchange->forward.sent, (long long) age_ms (exchange),
                 (long long) exchange->last_event);
  count_end (exchange, "served", true);
  conn->request = NULL;
  ash_http_conn_end (conn, true);
  free_exchange (exchange);
}

/* ---- sending ---- */

static struct ash_forward_world
world_of (struct ash_exchange *exchange)
{
  struct ash_router *router = exchange->router;

  return (struct ash_forward_world){
    .endpoints = &router->endpoints,
    .window = ash_router_window (router, exchange->forward.service),
    .bound = ash_router_resend_bound (router),
    .entries = ash_fleet_size (&router->fleet),
    .wait_ms = router->settings.wait_ms,
  };
}

static struct ash_time
earlier (struct ash_time a, struct ash_time b)
{
  return ash_time_before (a, b) ? a : b;
}

static int64_t
silence_ms (const struct ash_exchange *exchange)
{
  int64_t ms = (int64_t) exchange->forward.aim_ms * SILENCE_AIMS;

  if (exchange->forward.began)
    return PAUSE_MOST_MS;
  return ms < SILENCE_LEAST_MS ? SILENCE_LEAST_MS : ms;
}

static int64_t
doubt_ms (const struct ash_exchange *exchange)
{
  return silence_ms (exchange) / DOUBT_PART;
}

static bool
may_go_elsewhere (const struct ash_exchange *exchange)
{
  return exchange->forward.repeat == ASH_REPEAT_SAFE &&
         exchange->forward.sent < exchange->forward.servers_max;
}

/* When something is to be done if nothing happens until then. */
static void
set_timer (struct ash_exchange *exchange, struct ash_time until)
{
  struct ash_time now = ash_clock_now ();
  int64_t ms;

  if (exchange->endpoint && may_go_elsewhere (exchange))
    until = earlier (until, ash_time_add (exchange->heard, silence_ms (exchange)));
  if (exchange->endpoint && ash_http_call_connecting (&exchange->call))
    until = earlier (until, ash_time_add (exchange->sent, CONNECT_MS));
  else if (exchange->endpoint && ash_time_diff (exchange->heard, now) < doubt_ms (exchange))
    until = earlier (until, ash_time_add (exchange->heard, doubt_ms (exchange)));
  until = earlier (until, exchange->forward.deadline);
  ms = ash_time_diff (now, until);
  ev_timer_stop (exchange->router->loop, &exchange->timer);
  ev_timer_set (&exchange->timer, (double) (ms > 0 ? ms : 0) / MS_PER_S + 0.0005, 0);
  ev_timer_start (exchange->router->loop, &exchange->timer);
}

static bool
write_request (struct ash_exchange *exchange,
               const struct ash_direct_endpoint *endpoint,
               struct ash_buffer *out)
{
  char last_event[24];
  int64_t left_ms = ash_time_diff (ash_clock_now (), exchange->forward.deadline);
  struct ash_request_order order = {
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
send_to (struct ash_exchange *exchange, struct ash_direct_endpoint *endpoint)
{
  struct ash_router *router = exchange->router;
  struct ash_buffer request = { 0 };
  bool started;

  clear_answer (&exchange->answer);
  ash_event_stream_finish (&exchange->events);
  ash_log_event (
      &router->log, exchange->forward.sent ? ASH_EV_FORWARD_RESENT : ASH_EV_FORWARD_SENT,
      "id=%s route=%s endpoint=%s load=%u elsewhere=%u sent=%u age_ms=%lld last_event=%lld",
      attempt_id (exchange), exchange->route->name, endpoint->facts.id, endpoint->in_flight,
      endpoint->elsewhere, exchange->forward.sent, (long long) age_ms (exchange),
      exchange->has_event ? (long long) exchange->last_event : -1LL);
  started = write_request (exchange, endpoint, &request) &&
            ash_http_call_start (&exchange->call, ash_router_pool (router, endpoint),
                                 request.bytes + request.start, request.length, exchange->trusted);
  ash_buffer_finish (&request);
  ash_forward_sent (&exchange->forward, endpoint);
  exchange->sent = ash_clock_now ();
  exchange->heard = exchange->sent;
  if (!started)
    {
      ash_forward_not_run (&exchange->forward, false);
      step (exchange);
      return;
    }
  endpoint->in_flight++;
  exchange->endpoint = endpoint;
  router->fleet.loads_changed = true;
  set_timer (exchange, ASH_TIME_NEVER);
}

/* Does what comes next. The exchange may be gone afterwards. */
static void
step (struct ash_exchange *exchange)
{
  struct ash_forward_world world = world_of (exchange);
  struct ash_forward_verdict verdict =
      ash_forward_next (&exchange->forward, &world, ash_clock_now ());

  set_waiting (exchange, verdict.action == ASH_FORWARD_WAIT);
  switch (verdict.action)
    {
    case ASH_FORWARD_SEND:
      send_to (exchange, verdict.endpoint);
      break;
    case ASH_FORWARD_WAIT:
      set_timer (exchange, verdict.until);
      break;
    case ASH_FORWARD_ANSWER:
      answer_self (exchange, verdict.answer.status, verdict.answer.reason,
                   verdict.answer.retry_after_ms);
      break;
    }
}

/* ---- the endpoint's answer ---- */

static void
saw (struct ash_exchange *exchange, enum ash_direct_evidence evidence)
{
  struct ash_direct_endpoint *endpoint = exchange->endpoint;
  struct ash_time now = ash_clock_now ();
  bool passed = ash_time_before (now, endpoint->passed_until);

  ash_direct_saw (endpoint, now, evidence);
  if (!passed && evidence != ASH_DIRECT_FULL && ash_time_before (now, endpoint->passed_until))
    ash_log_event (&exchange->router->log, ASH_EV_ENDPOINT_PASSED,
                   "id=%s endpoint=%s evidence=%d failures=%u for_ms=%lld", attempt_id (exchange),
                   endpoint->facts.id, (int) evidence, endpoint->failures,
                   (long long) ash_time_diff (now, endpoint->passed_until));
}

static bool
on_head (struct ash_http_call *call, const struct ash_http_head *head)
{
  struct ash_exchange *exchange = call->owner;
  struct answer *answer = &exchange->answer;
  struct ash_answer_facts facts;

  ash_platform_answer_read (head, &facts);
  /* Another request's answer: read and dropped, ours comes after it. */
  if (facts.attempt_id && exchange->facts.attempt_id &&
      strcmp (facts.attempt_id, exchange->facts.attempt_id) != 0)
    return false;
  exchange->heard = ash_clock_now ();
  answer->status = head->status;
  answer->not_run = facts.not_run;
  answer->length = head->length == UINT64_MAX ? 0 : head->length;
  answer->bad = facts.encoded || (!facts.attempt_id && exchange->facts.attempt_id) ||
                (head->status >= STATUS_OK && head->status < STATUS_MULTIPLE && !facts.is_signed);
  answer->events = exchange->route->stream && head->status == STATUS_OK && !answer->bad;
  /* A stream that goes on keeps the head of its first endpoint. */
  if (!exchange->forward.began && !ash_platform_answer_write (&answer->fields, head))
    answer->bad = true;
  return true;
}

/* The pause since the event before says how fast the endpoint's passes are. */
static void
note_pause (struct ash_exchange *exchange)
{
  int64_t pause_ms = ash_time_diff (exchange->passed, exchange->heard);

  /* Two events that came at once are of one pass. */
  if (pause_ms < 1)
    return;
  ash_direct_paused (exchange->endpoint, exchange->heard, pause_ms);
  ash_groups_pause (&exchange->router->groups, exchange->endpoint->hash, pause_ms);
}

static void
pass_events (struct ash_exchange *exchange)
{
  struct ash_stream_event event;

  while (ash_event_stream_next (&exchange->events, &event))
    {
      /* One that came before the stream moved is not passed on twice. */
      bool old = event.has_id && exchange->has_event && event.id <= exchange->last_event;

      if (!old)
        {
          if (!exchange->forward.began)
            begin_answer (exchange);
          ash_http_conn_write (exchange->conn, event.bytes, event.length);
        }
      if (exchange->has_event && !old)
        note_pause (exchange);
      if (!old)
        exchange->passed = exchange->heard;
      if (event.has_id && !old)
        {
          exchange->has_event = true;
          exchange->last_event = event.id;
        }
      ash_event_stream_drop (&exchange->events, &event);
    }
}

static void
on_body (struct ash_http_call *call, const uint8_t *bytes, size_t length)
{
  struct ash_exchange *exchange = call->owner;
  struct answer *answer = &exchange->answer;

  exchange->heard = ash_clock_now ();
  if (answer->bad)
    return;
  if (answer->events)
    {
      if (ash_event_stream_feed (&exchange->events, bytes, length))
        pass_events (exchange);
      else
        answer->bad = true;
    }
  else if (answer->passing)
    ash_http_conn_write (exchange->conn, bytes, length);
  else if (!ash_buffer_append (&answer->body, bytes, length))
    answer->bad = true;
  else if (answer->body.length > HOLD_BYTES && !exchange->forward.began)
    {
      answer->passing = true;
      begin_answer (exchange);
      ash_http_conn_write (exchange->conn, answer->body.bytes + answer->body.start,
                           answer->body.length);
      ash_buffer_finish (&answer->body);
    }
  if (ash_http_conn_queued (exchange->conn) > QUEUE_BYTES)
    ash_http_call_pause (call, true);
}

/* The endpoint ran it and says that it failed: asked elsewhere if that is allowed. */
static void
take_failure (struct ash_exchange *exchange)
{
  struct ash_forward_world world = world_of (exchange);
  struct ash_forward_verdict verdict = { .action = ASH_FORWARD_ANSWER };

  if (exchange->forward.repeat == ASH_REPEAT_SAFE && !exchange->forward.began)
    verdict = ash_forward_next (&exchange->forward, &world, ash_clock_now ());
  if (verdict.action == ASH_FORWARD_SEND)
    send_to (exchange, verdict.endpoint);
  else
    answer_held (exchange);
}

static void
take_whole (struct ash_exchange *exchange)
{
  struct answer *answer = &exchange->answer;
  bool failed = answer->status >= STATUS_SERVER_ERROR;

  if (answer->not_run)
    {
      saw (exchange, answer->status == 421 ? ASH_DIRECT_MISSING : ASH_DIRECT_FULL);
      release_endpoint (exchange);
      ash_forward_not_run (&exchange->forward, true);
      step (exchange);
      return;
    }
  saw (exchange, failed ? ASH_DIRECT_FAILED : ASH_DIRECT_ANSWERED);
  release_endpoint (exchange);
  if (answer->events)
    end_stream (exchange);
  else if (exchange->forward.began && !answer->passing)
    /* A stream that was to go on got an answer that is none. */
    step (exchange);
  else if (failed)
    take_failure (exchange);
  else
    answer_held (exchange);
}

static void
on_end (struct ash_http_call *call, enum ash_call_end end)
{
  struct ash_exchange *exchange = call->owner;
  struct answer *answer = &exchange->answer;

  ev_timer_stop (exchange->router->loop, &exchange->timer);
  if (end == ASH_CALL_WHOLE && !answer->bad &&
      (!answer->events || ash_event_stream_whole (&exchange->events)))
    {
      take_whole (exchange);
      return;
    }
  saw (exchange, end == ASH_CALL_NOT_SENT ? ASH_DIRECT_MISSING : ASH_DIRECT_CUT);
  release_endpoint (exchange);
  if (end == ASH_CALL_NOT_SENT)
    ash_forward_not_run (&exchange->forward, false);
  /* What was passed on of an answer that is no stream can't be taken up elsewhere. */
  if (answer->passing)
    {
      answer_self (exchange, 502, ASH_FORWARD_FAILED, 0);
      return;
    }
  exchange->forward.wait_until = ash_time_add (ash_clock_now (), RESUME_WAIT_MS);
  step (exchange);
}

static const struct ash_call_handler call_handler = { on_head, on_body, on_end };

/* ---- time ---- */

/* A connection that answered in the second half of the silence was sound when this one was not:
 * other endpoints' too, since what silences one often silences all that were open. */
static struct ash_time
trusted_since (const struct ash_exchange *exchange, struct ash_time now)
{
  return ash_time_add (exchange->heard, ash_time_diff (exchange->heard, now) / 2);
}

/* Nothing came for long: the endpoint's other kept connections may be as silent. Of 8 requests that
 * may not be repeated, two at a time before 4 silent connections to each of 2 endpoints, 2 fail
 * instead of 6; of those that may be, none instead of 4. */
static void
doubt_connections (struct ash_exchange *exchange, struct ash_time now)
{
  exchange->trusted = trusted_since (exchange, now);
  ash_http_pool_doubt (ash_router_pool (exchange->router, exchange->endpoint), exchange->trusted);
}

/* Whether the request is to go elsewhere since nothing comes. */
static bool
is_silent (struct ash_exchange *exchange, struct ash_time now)
{
  int64_t silent_ms = ash_time_diff (exchange->heard, now);

  if (silent_ms >= doubt_ms (exchange) && ash_http_call_unacknowledged (&exchange->call))
    {
      ash_router_doubt_connections (exchange->router, trusted_since (exchange, now));
      return may_go_elsewhere (exchange);
    }
  return may_go_elsewhere (exchange) && silent_ms >= silence_ms (exchange);
}

/* The request's time is up before anything came. */
static void
note_deadline (struct ash_exchange *exchange, struct ash_time now)
{
  int64_t silent_ms = ash_time_diff (exchange->heard, now);

  if (silent_ms >= silence_ms (exchange))
    saw (exchange, ASH_DIRECT_SILENT);
  if (silent_ms >= doubt_ms (exchange))
    doubt_connections (exchange, now);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_exchange *exchange = timer->data;
  struct ash_time now = ash_clock_now ();

  (void) loop;
  (void) events;
  if (exchange->endpoint && ash_time_before (now, exchange->forward.deadline))
    {
      bool connecting = ash_http_call_connecting (&exchange->call);

      if (!connecting && !is_silent (exchange, now))
        {
          set_timer (exchange, ASH_TIME_NEVER);
          return;
        }
      saw (exchange, connecting ? ASH_DIRECT_MISSING : ASH_DIRECT_SILENT);
      if (!connecting)
        doubt_connections (exchange, now);
      ash_http_call_cancel (&exchange->call);
      release_endpoint (exchange);
      if (connecting)
        ash_forward_not_run (&exchange->forward, false);
      exchange->forward.wait_until = ash_time_add (now, RESUME_WAIT_MS);
    }
  else if (exchange->endpoint && ash_http_call_connecting (&exchange->call))
    ash_forward_not_run (&exchange->forward, false);
  else if (exchange->endpoint)
    note_deadline (exchange, now);
  step (exchange);
}

void
ash_exchange_room (struct ash_router *router)
{
  struct ash_exchange *exchange;
  struct ash_exchange *next;

  router->room = false;
  if (!router->waiting_count)
    return;
  DL_FOREACH_SAFE (router->exchanges, exchange, next)
    if (exchange->waiting)
      step (exchange);
}

/* ---- requests ---- */

/* Without an exchange. */
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
  ash_http_conn_answer (conn, status, fields, strlen (fields), body, (size_t) length);
}

static void
deny (struct ash_http_conn *conn, struct ash_router *router, uint16_t status, const char *why)
{
  struct ash_request_facts facts;

  ash_platform_request_read (&conn->reader.head, &facts);
  refuse (conn, router, plain_id (&facts), status, why);
}

/* Nobody tries again after 401 or 404; so what peers know to be out of date may not say it. */
static void
deny_by_config (struct ash_http_conn *conn,
                struct ash_router *router,
                uint16_t status,
                const char *why)
{
  if (ash_catch_up_behind (&router->catch_up, ash_clock_now ()))
    deny (conn, router, 503, "a newer configuration is on its way");
  else
    deny (conn, router, status, why);
}

/* More requests than slots of a plain endpoint queue there; an engine's streams slow
 * each other down, so fewer than its slots run. */
static uint32_t
cap_of (const struct ash_router *router, const struct ash_route_service *service)
{
  const struct ash_direct_endpoint *endpoint;

  if (service->has_engine)
    return router->settings.rank_streams < service->engine.slots ? router->settings.rank_streams
                                                                 : service->engine.slots;
  for (endpoint = router->endpoints.endpoints; endpoint; endpoint = endpoint->hh.next)
    if (strcmp (endpoint->facts.service, service->name) == 0)
      return endpoint->facts.slots + router->settings.plain_queue;
  return router->settings.plain_queue + 1;
}

static struct ash_exchange *
new_exchange (struct ash_router *router, struct ash_http_conn *conn, const struct ash_route *route)
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

static void
fill_forward (struct ash_exchange *exchange)
{
  const struct ash_route *route = exchange->route;
  struct ash_router *router = exchange->router;
  struct ash_forward *forward = &exchange->forward;
  uint32_t part = ash_route_table_draw (exchange->table, route, ash_random_next (&router->random));
  const struct ash_route_service *service = &exchange->table->services[part];
  uint32_t caller_ms =
      exchange->facts.deadline_ms ? exchange->facts.deadline_ms : DEADLINE_DEFAULT_MS;
  uint32_t most_ms = caller_ms < route->timeout_ms ? caller_ms : route->timeout_ms;

  *forward = (struct ash_forward){
    .repeat = route->repeat,
    .servers_max = route->servers_max,
    .aim_ms = route->aim_ms,
    .service = service->name,
    .cap = cap_of (router, service),
    .pause_aim_ms = service->has_engine ? route->pause_aim_ms : 0,
    .came = ash_clock_now (),
  };
  forward->deadline = ash_time_add (forward->came, (int64_t) most_ms - DEADLINE_MARGIN_MS);
}

/* Whether a planned stop may come to its end before the answer does. What is under way then is cut,
 * and nobody knows whether it ran: so the time left is held against what the request may take. */
static bool
ends_too_soon (const struct ash_exchange *exchange)
{
  const struct ash_router *router = exchange->router;
  const struct ash_forward *forward = &exchange->forward;
  int64_t most_ms = ash_time_diff (forward->came, forward->deadline);

  if (!router->stopping)
    return false;
  if (router->given_up)
    return true;
  if (exchange->route->stream && most_ms > STREAM_MOST_MS &&
      ash_time_diff (router->stop_began, forward->came) <= STOP_BEGINS_MS)
    most_ms = STREAM_MOST_MS;
  return ash_time_diff (forward->came, ash_router_stop_ends (router)) < most_ms;
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
  struct ash_request_facts facts;
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
  exchange = new_exchange (router, conn, route);
  if (!exchange)
    {
      deny (conn, router, 503, "out of memory");
      return;
    }
  exchange->account = account;
  exchange->facts = facts;
  fill_forward (exchange);
  ash_resend_window_request (ash_router_window (router, exchange->forward.service), &bound,
                             exchange->forward.came);
  if (ends_too_soon (exchange))
    answer_self (exchange, 503, ASH_FORWARD_LEAVING, LEAVING_RETRY_MS);
  else
    step (exchange);
}

/* ---- the end of a stop ---- */

/* No further endpoint is asked. What was sent somewhere may have run, unless the endpoint has
 * vouched that it did not or the connection never came up; nothing else may be told to be not run.
 */
static void
give_up (struct ash_exchange *exchange)
{
  struct ash_forward *forward = &exchange->forward;
  uint16_t status;

  if (exchange->endpoint && ash_http_call_connecting (&exchange->call))
    ash_forward_not_run (forward, false);
  status = ash_forward_status (forward, ASH_FORWARD_LEAVING);
  answer_self (exchange, status, ASH_FORWARD_LEAVING, status == 503 ? LEAVING_RETRY_MS : 0);
}

/* One that was not read whole was sent nowhere. */
static void
refuse_partly_read (struct ash_router *router)
{
  struct ash_http_conn *conn;

  DL_FOREACH (router->frontend.conns, conn)
    if (!conn->dead && conn->state == ASH_CONN_READING)
      refuse (conn, router, "-", 503, "stopping");
}

void
ash_exchange_give_up_all (struct ash_router *router)
{
  /* What callers sent ahead comes up as the request before it ends, and ends at once. */
  while (router->exchanges)
    give_up (router->exchanges);
  refuse_partly_read (router);
}

static void
on_gone (struct ash_http_conn *conn)
{
  struct ash_exchange *exchange = conn->request;

  if (!exchange)
    return;
  conn->request = NULL;
  ash_log_event (&exchange->router->log, ASH_EV_FORWARD_GONE, "id=%s route=%s sent=%u age_ms=%lld",
                 attempt_id (exchange), exchange->route->name, exchange->forward.sent,
                 (long long) age_ms (exchange));
  count_end (exchange, "caller_gone", false);
  free_exchange (exchange);
}

static void
on_drained (struct ash_http_conn *conn)
{
  struct ash_exchange *exchange = conn->request;

  if (exchange)
    ash_http_call_pause (&exchange->call, false);
}

const struct ash_conn_handler ash_exchange_handler = { on_request, on_gone, on_drained };
