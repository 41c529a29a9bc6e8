/**
 * @file
 * Receives an endpoint's answer to an exchange, in the router process: checks that it belongs to
 * the request, then buffers it until it is complete or passes it on event by event.
 */
#include "daemon/exchange.h"
#include "daemon/fleet_terms.h"

#include <string.h>

/* Answers up to this size, or less if memory is short, are buffered until they are complete, so
 * that the request can be resent if the connection breaks. */
#define BUFFER_MAX_BYTES (128 * 1024)

/* Reading from the endpoint pauses while more than this, or less if memory is short, waits to be
 * sent to the caller. */
#define QUEUE_MAX_BYTES (64 * 1024)

/* Appends to the buffered body. @return false if out of memory. */
static bool
hold_body (struct ash_exchange *exchange, const uint8_t *bytes, size_t length)
{
  if (!ash_buffer_append (&exchange->answer.body, bytes, length))
    return false;
  exchange->router->answer_memory.used_bytes += length;
  return true;
}

static void
release_body (struct ash_exchange *exchange)
{
  exchange->router->answer_memory.used_bytes -= exchange->answer.body.length;
  ash_buffer_finish (&exchange->answer.body);
}

void
ash_exchange_answer_clear (struct ash_exchange *exchange)
{
  ash_buffer_finish (&exchange->answer.fields);
  release_body (exchange);
  exchange->answer = (struct ash_exchange_answer){ 0 };
}

void
ash_exchange_answer_begin (struct ash_exchange *exchange)
{
  struct ash_exchange_answer *answer = &exchange->answer;

  exchange->forward.answer_started = true;
  ash_http_conn_begin (exchange->conn, answer->status,
                       (const char *) answer->fields.bytes + answer->fields.start,
                       answer->fields.length);
}

/* Whether the answer lacks what each answer of an endpoint has, or is encoded, which no request
 * asks for. */
static bool
is_invalid (const struct ash_exchange *exchange,
            const struct ash_http_head *head,
            const struct ash_answer_fields *facts)
{
  bool is_success = head->status >= ASH_STATUS_OK && head->status < ASH_STATUS_MULTIPLE_CHOICES;

  return facts->encoded || (!facts->attempt_id && exchange->facts.attempt_id) ||
         (is_success && !facts->is_signed);
}

enum ash_call_choice
ash_exchange_answer_head (struct ash_http_call *call, const struct ash_http_head *head)
{
  struct ash_exchange *exchange = call->owner;
  struct ash_exchange_answer *answer = &exchange->answer;
  struct ash_answer_fields facts;

  ash_platform_answer_read (head, &facts);
  /* This is the answer to an earlier request on this connection: it is discarded, and the answer to
   * this request follows. */
  if (facts.attempt_id && exchange->facts.attempt_id &&
      strcmp (facts.attempt_id, exchange->facts.attempt_id) != 0)
    return ASH_CALL_SKIP;
  if (is_invalid (exchange, head, &facts))
    return ASH_CALL_REJECT;
  exchange->last_received = ash_clock_now ();
  ash_forward_reached (&exchange->forward);
  answer->status = head->status;
  answer->not_run = facts.not_run;
  answer->framed = head->framed;
  answer->length = head->length == UINT64_MAX ? 0 : head->length;
  if (head->status != ASH_STATUS_MISDIRECTED)
    ash_fleet_update_terms (&exchange->router->fleet, exchange->endpoint, &facts.terms,
                            exchange->sent_at);
  answer->is_event_stream = exchange->route->stream && head->status == ASH_STATUS_OK;
  /* A resumed stream keeps the header of the first endpoint. */
  if (!exchange->forward.answer_started && !ash_platform_answer_write (&answer->fields, head))
    return ASH_CALL_REJECT;
  return ASH_CALL_ACCEPT;
}

/* Passes the duration of a forward pass to the prompt gate, which releases held prompts once passes
 * take their usual time again. */
static void
record_pass (struct ash_exchange *exchange, int64_t pause_ms)
{
  struct ash_router *router = exchange->router;
  struct ash_prompt_gate *gate = &ash_router_service (router, exchange->forward.service)->gate;

  if (!ash_prompt_gate_add_pause (gate, exchange->last_received, pause_ms,
                                  exchange->forward.pause_target_ms))
    return;
  router->capacity_freed = router->capacity_freed || !gate->closed;
  ash_log_event (&router->log, ASH_EV_PROMPTS_KEPT,
                 "service=%s kept=%d pass_ms=%lld usual_ms=%.1f waiting=%u",
                 exchange->forward.service, gate->closed, (long long) pause_ms, gate->usual_ms,
                 router->waiting_count);
}

/* Records the pause between two events, which shows how long the endpoint's forward passes take. */
static void
record_pause (struct ash_exchange *exchange)
{
  int64_t pause_ms = ash_time_diff (exchange->event_sent_at, exchange->last_received);

  /* Events that arrive together come from the same forward pass of the model. */
  if (pause_ms < 1)
    return;
  if (pause_ms > exchange->longest_pause_ms)
    exchange->longest_pause_ms = pause_ms;
  record_pass (exchange, pause_ms);
  if (exchange->has_priorities && pause_ms > exchange->route->pause_target_ms)
    ash_priority_room_record_shortage (
        &ash_router_service (exchange->router, exchange->forward.service)->room,
        exchange->last_received);
  ash_direct_note_pause (exchange->endpoint, exchange->last_received, pause_ms);
  ash_map_manager_add_pause (&exchange->router->map_manager, exchange->endpoint->hash, pause_ms);
}

static void
relay_events (struct ash_exchange *exchange)
{
  struct ash_stream_event event;

  while (ash_event_stream_next (&exchange->event_stream, &event))
    {
      /* The caller already has events up to last_event from the previous endpoint. */
      bool is_repeat = event.has_id && exchange->has_event && event.id <= exchange->last_event;

      if (++exchange->answer.events == ASH_PART_PASS_EVENTS)
        ash_exchange_record_pass (exchange);
      if (!is_repeat)
        {
          if (!exchange->forward.answer_started)
            ash_exchange_answer_begin (exchange);
          if (!exchange->first_event_ms)
            exchange->first_event_ms = ash_exchange_age_ms (exchange);
          ash_http_conn_write (exchange->conn, event.bytes, event.length);
        }
      if (exchange->has_event && !is_repeat)
        record_pause (exchange);
      if (!is_repeat)
        exchange->event_sent_at = exchange->last_received;
      if (event.has_id && !is_repeat)
        {
          exchange->has_event = true;
          exchange->last_event = event.id;
        }
      ash_event_stream_drop (&exchange->event_stream, &event);
    }
}

/* Stops reading from the endpoint until the caller has read what is queued. */
static void
pause_answer (struct ash_exchange *exchange)
{
  if (exchange->paused)
    return;
  exchange->paused = true;
  exchange->caller_read_at = ash_clock_now ();
  exchange->unread_bytes = ash_stream_unacknowledged (&exchange->conn->stream);
  ash_http_call_pause (&exchange->call, true);
  ash_exchange_update_timer (exchange);
}

void
ash_exchange_answer_resume (struct ash_exchange *exchange)
{
  exchange->paused = false;
  exchange->last_received = ash_clock_now ();
  ash_http_call_pause (&exchange->call, false);
}

bool
ash_exchange_answer_body (struct ash_http_call *call, const uint8_t *bytes, size_t length)
{
  struct ash_exchange *exchange = call->owner;
  struct ash_exchange_answer *answer = &exchange->answer;
  const struct ash_answer_memory *memory = &exchange->router->answer_memory;

  exchange->last_received = ash_clock_now ();
  if (answer->is_event_stream)
    {
      if (!ash_event_stream_feed (&exchange->event_stream, bytes, length))
        return false;
      relay_events (exchange);
    }
  else if (answer->passthrough)
    ash_http_conn_write (exchange->conn, bytes, length);
  else if (!hold_body (exchange, bytes, length))
    return false;
  else if (answer->body.length > ash_answer_memory_share (memory, BUFFER_MAX_BYTES) &&
           !exchange->forward.answer_started)
    {
      answer->passthrough = true;
      ash_exchange_answer_begin (exchange);
      ash_http_conn_write (exchange->conn, answer->body.bytes + answer->body.start,
                           answer->body.length);
      release_body (exchange);
    }
  if (ash_http_conn_queued (exchange->conn) > ash_answer_memory_share (memory, QUEUE_MAX_BYTES))
    pause_answer (exchange);
  return true;
}
