/**
 * @file
 * Ends an exchange, in the router process: sends the final answer to the caller, logs and counts
 * it, and frees the exchange.
 */
#include "daemon/exchange.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define MS_PER_S 1000.0

void
ash_exchange_set_waiting (struct ash_exchange *exchange, bool waiting)
{
  if (exchange->waiting == waiting)
    return;
  exchange->waiting = waiting;
  exchange->router->waiting_count += waiting ? 1 : -1U;
}

void
ash_exchange_release_slot (struct ash_exchange *exchange)
{
  if (!exchange->endpoint)
    return;
  exchange->endpoint->in_flight--;
  exchange->endpoint = NULL;
  exchange->router->capacity_freed = true;
  ash_fleet_loads_changed (&exchange->router->fleet);
}

void
ash_exchange_cancel_call (struct ash_exchange *exchange)
{
  bool connecting = ash_http_call_connecting (&exchange->call);

  ash_http_call_cancel (&exchange->call);
  ash_exchange_release_slot (exchange);
  if (connecting)
    ash_forward_not_run (&exchange->forward, false);
}

static void
free_exchange (struct ash_exchange *exchange)
{
  struct ash_router *router = exchange->router;

  ash_exchange_set_waiting (exchange, false);
  ash_http_call_cancel (&exchange->call);
  ash_exchange_release_slot (exchange);
  ev_timer_stop (router->loop, &exchange->timer);
  ash_exchange_answer_clear (exchange);
  ash_event_stream_finish (&exchange->event_stream);
  ash_route_table_unref (exchange->table);
  DL_DELETE (router->exchanges, exchange);
  free (exchange);
}

const char *
ash_request_log_id (const struct ash_request_fields *facts)
{
  static const char plain[] = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ._:-";
  const char *id = facts->attempt_id;

  if (!id || !*id)
    return "-";
  return id[strspn (id, plain)] ? "(odd)" : id;
}

const char *
ash_exchange_id (const struct ash_exchange *exchange)
{
  return ash_request_log_id (&exchange->facts);
}

int64_t
ash_exchange_age_ms (const struct ash_exchange *exchange)
{
  return ash_time_diff (exchange->forward.arrived, ash_clock_now ());
}

/* Whether the answer missed one of the route's targets. */
static bool
is_late (const struct ash_exchange *exchange)
{
  const struct ash_route *route = exchange->route;
  int64_t answer_ms = route->stream ? exchange->first_event_ms : ash_exchange_age_ms (exchange);

  return (route->answer_target_ms && answer_ms > route->answer_target_ms) ||
         (route->pause_target_ms && exchange->longest_pause_ms > route->pause_target_ms);
}

/* Counts by the priorities of the account and the route, which make up the request's. */
static void
count_by_priority (struct ash_exchange *exchange, bool served)
{
  const struct ash_route_account *account = exchange->account;
  const char *outcome = served && is_late (exchange) ? "late" : served ? "in_time" : "not_served";
  char labels[ASH_METRICS_LABELS_BYTES];

  ash_metrics_labels (labels, sizeof labels,
                      "service=\"%s\",account_priority=\"%d\",priority=\"%u\",outcome=\"%s\"",
                      exchange->forward.service,
                      account && account->has_priority ? (int) account->priority : -1,
                      exchange->route->priority, outcome);
  ash_metrics_add (&exchange->router->metrics, "ash_requests_by_priority_total", labels, 1);
}

static void
count_end (struct ash_exchange *exchange, const char *outcome, bool served)
{
  struct ash_metrics *metrics = &exchange->router->metrics;
  char labels[ASH_METRICS_LABELS_BYTES];

  count_by_priority (exchange, served);

  ash_metrics_labels (labels, sizeof labels, "route=\"%s\",outcome=\"%s\"", exchange->route->name,
                      outcome);
  ash_metrics_add (metrics, "ash_requests_total", labels, 1);
  if (!served)
    return;
  ash_metrics_labels (labels, sizeof labels, "account=\"%s\"",
                      exchange->account ? exchange->account->name : "");
  ash_metrics_observe (metrics, "ash_answer_ms", labels, (uint64_t) ash_exchange_age_ms (exchange));
}

void
ash_exchange_end_with_status (struct ash_exchange *exchange,
                              uint16_t status,
                              enum ash_forward_reason reason,
                              uint32_t retry_after_ms)
{
  struct ash_http_conn *conn = exchange->conn;
  const struct ash_forward *forward = &exchange->forward;
  const char *name = ash_forward_reason_name (reason);
  const struct ash_quarantined_part *part = ash_part_quarantine_find (
      &exchange->router->suspects.parts.quarantine, &exchange->facts.parts);
  char fields[64] = "";
  char body[128];
  int length;

  ash_log_event (
      &exchange->router->log, status == 503 ? ASH_EV_FORWARD_REFUSED : ASH_EV_FORWARD_FAILED,
      "id=%s route=%s service=%s status=%u reason=%s sent=%u unsure=%u age_ms=%lld "
      "left_ms=%lld version=%llu endpoints_revision=%llu retry_after_ms=%u priority=%u "
      "reserved=%.2f part=%llx",
      ash_exchange_id (exchange), exchange->route->name, forward->service, status, name,
      forward->sent, forward->unconfirmed, (long long) ash_exchange_age_ms (exchange),
      (long long) ash_time_diff (ash_clock_now (), forward->deadline),
      (unsigned long long) exchange->table->version,
      (unsigned long long) exchange->router->endpoints.revision, retry_after_ms, forward->priority,
      forward->reserved, part ? (unsigned long long) part->part.id : 0ULL);
  count_end (exchange, name, false);
  conn->request = NULL;
  if (forward->answer_started)
    ash_http_conn_end (conn, false);
  else
    {
      if (retry_after_ms)
        snprintf (fields, sizeof fields, "Retry-After: %.3f\r\n", retry_after_ms / MS_PER_S);
      length = snprintf (body, sizeof body, "%s: %s\n", name,
                         status == 503 ? "the request did not run" : "the request may have run");
      ash_http_conn_respond (conn, status, fields, strlen (fields), body, (size_t) length);
    }
  free_exchange (exchange);
}

void
ash_exchange_end_with_answer (struct ash_exchange *exchange)
{
  struct ash_http_conn *conn = exchange->conn;
  struct ash_exchange_answer *answer = &exchange->answer;

  ash_log_event (&exchange->router->log, ASH_EV_FORWARD_SERVED,
                 "id=%s route=%s status=%u sent=%u age_ms=%lld", ash_exchange_id (exchange),
                 exchange->route->name, answer->status, exchange->forward.sent,
                 (long long) ash_exchange_age_ms (exchange));
  if (answer->status < ASH_STATUS_MULTIPLE_CHOICES)
    ash_exchange_record_success (exchange);
  count_end (exchange, answer->status < ASH_STATUS_MULTIPLE_CHOICES ? "served" : "failed_there",
             true);
  conn->request = NULL;
  if (answer->passthrough)
    ash_http_conn_end (conn, true);
  else
    ash_http_conn_respond (conn, answer->status,
                           (const char *) answer->fields.bytes + answer->fields.start,
                           answer->fields.length, answer->body.bytes + answer->body.start,
                           exchange->call.no_body ? answer->length : answer->body.length);
  free_exchange (exchange);
}

void
ash_exchange_end_stream (struct ash_exchange *exchange)
{
  struct ash_http_conn *conn = exchange->conn;

  if (!exchange->forward.answer_started)
    ash_exchange_answer_begin (exchange);
  ash_log_event (&exchange->router->log, ASH_EV_FORWARD_SERVED,
                 "id=%s route=%s status=%u sent=%u age_ms=%lld last_event=%lld priority=%u "
                 "first_event_ms=%lld of=%u longest_pause_ms=%lld of=%u",
                 ash_exchange_id (exchange), exchange->route->name, exchange->answer.status,
                 exchange->forward.sent, (long long) ash_exchange_age_ms (exchange),
                 (long long) exchange->last_event, exchange->forward.priority,
                 (long long) exchange->first_event_ms, exchange->route->answer_target_ms,
                 (long long) exchange->longest_pause_ms, exchange->route->pause_target_ms);
  ash_exchange_record_success (exchange);
  count_end (exchange, "served", true);
  conn->request = NULL;
  ash_http_conn_end (conn, true);
  free_exchange (exchange);
}

void
ash_exchange_end_unread (struct ash_exchange *exchange)
{
  struct ash_http_conn *conn = exchange->conn;
  const struct ash_answer_memory *memory = &exchange->router->answer_memory;

  ash_log_event (&exchange->router->log, ASH_EV_FORWARD_UNREAD,
                 "id=%s route=%s sent=%u age_ms=%lld unread_bytes=%zu all_answers_bytes=%llu "
                 "max_bytes=%llu",
                 ash_exchange_id (exchange), exchange->route->name, exchange->forward.sent,
                 (long long) ash_exchange_age_ms (exchange), ash_http_conn_queued (conn),
                 (unsigned long long) memory->used_bytes, (unsigned long long) memory->max_bytes);
  count_end (exchange, "unread", false);
  conn->request = NULL;
  ash_http_conn_reset (conn);
  free_exchange (exchange);
}

void
ash_exchange_end_disconnected (struct ash_exchange *exchange)
{
  ash_log_event (&exchange->router->log, ASH_EV_FORWARD_GONE, "id=%s route=%s sent=%u age_ms=%lld",
                 ash_exchange_id (exchange), exchange->route->name, exchange->forward.sent,
                 (long long) ash_exchange_age_ms (exchange));
  count_end (exchange, "caller_gone", false);
  free_exchange (exchange);
}
