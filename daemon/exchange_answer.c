/**
 * @file
 * What an exchange does with an endpoint's answer as it comes: told from another request's, held
 * until it is whole, or passed on event by event.
 */
#include "daemon/exchange.h"
#include "daemon/fleet_terms.h"

#include <string.h>

/* Answers up to this size are held until they are whole, so that one that breaks off
 * can be asked for again. */
#define HOLD_BYTES (128 * 1024)

/* A caller that does not read holds its endpoint back above this. */
#define QUEUE_BYTES (64 * 1024)

void
ash_exchange_answer_clear (struct ash_exchange_answer *answer)
{
  ash_buffer_finish (&answer->fields);
  ash_buffer_finish (&answer->body);
  *answer = (struct ash_exchange_answer){ 0 };
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

bool
ash_exchange_answer_head (struct ash_http_call *call, const struct ash_http_head *head)
{
  struct ash_exchange *exchange = call->owner;
  struct ash_exchange_answer *answer = &exchange->answer;
  struct ash_answer_fields facts;

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
                (head->status >= ASH_STATUS_OK && head->status < ASH_STATUS_MULTIPLE_CHOICES &&
                 !facts.is_signed);
  if (!answer->bad && head->status != ASH_STATUS_MISDIRECTED)
    ash_fleet_update_terms (&exchange->router->fleet, exchange->endpoint, &facts.terms,
                            exchange->sent);
  answer->events = exchange->route->stream && head->status == ASH_STATUS_OK && !answer->bad;
  /* A stream that goes on keeps the head of its first endpoint. */
  if (!exchange->forward.answer_started && !ash_platform_answer_write (&answer->fields, head))
    answer->bad = true;
  return true;
}

/* Prompts that are kept back may go once passes are as usual. */
static void
note_pass (struct ash_exchange *exchange, int64_t pause_ms)
{
  struct ash_router *router = exchange->router;
  struct ash_prompt_gate *gate = &ash_router_service (router, exchange->forward.service)->gate;

  if (!ash_prompt_gate_add_pause (gate, exchange->heard, pause_ms, exchange->forward.pause_aim_ms))
    return;
  router->room = router->room || !gate->closed;
  ash_log_event (&router->log, ASH_EV_PROMPTS_KEPT,
                 "service=%s kept=%d pass_ms=%lld usual_ms=%.1f waiting=%u",
                 exchange->forward.service, gate->closed, (long long) pause_ms, gate->usual_ms,
                 router->waiting_count);
}

/* The pause since the event before says how fast the endpoint's passes are. */
static void
note_pause (struct ash_exchange *exchange)
{
  int64_t pause_ms = ash_time_diff (exchange->passed, exchange->heard);

  /* Two events that came at once are of one pass. */
  if (pause_ms < 1)
    return;
  note_pass (exchange, pause_ms);
  ash_direct_note_pause (exchange->endpoint, exchange->heard, pause_ms);
  ash_map_manager_add_pause (&exchange->router->groups, exchange->endpoint->hash, pause_ms);
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
          if (!exchange->forward.answer_started)
            ash_exchange_answer_begin (exchange);
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

void
ash_exchange_answer_body (struct ash_http_call *call, const uint8_t *bytes, size_t length)
{
  struct ash_exchange *exchange = call->owner;
  struct ash_exchange_answer *answer = &exchange->answer;

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
  else if (answer->body.length > HOLD_BYTES && !exchange->forward.answer_started)
    {
      answer->passing = true;
      ash_exchange_answer_begin (exchange);
      ash_http_conn_write (exchange->conn, answer->body.bytes + answer->body.start,
                           answer->body.length);
      ash_buffer_finish (&answer->body);
    }
  if (ash_http_conn_queued (exchange->conn) > QUEUE_BYTES)
    ash_http_call_pause (call, true);
}
