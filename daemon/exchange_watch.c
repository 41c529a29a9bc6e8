/**
 * @file
 * Monitors, in the router process, the endpoint that an exchange was sent to: how long it may be
 * silent, and what its answer or silence shows about the endpoint and the connections to it.
 */
#include "daemon/exchange.h"
#include "daemon/fleet_health.h"

/* A connection to an endpoint is established within a few milliseconds. An attempt that takes
 * longer has met a full accept queue or a network fault, and the kernel would retry it only after a
 * second. */
#define CONNECT_TIMEOUT_MS 350

/* How long an endpoint may be silent before a repeatable request is sent to another one: this
 * multiple of the route's latency target, and at least SILENCE_MIN_MS. A later answer is of little
 * use to the caller. */
#define SILENCE_TARGET_FACTOR 3
#define SILENCE_MIN_MS 900

/* Longest pause between two events before another endpoint resumes the stream. Callers give up
 * after 2 s, and ranks that depend on a lost endpoint stall for 1.5 s. */
#define EVENT_PAUSE_MAX_MS 1650

/* How often another endpoint is sought for a silent stream that none could take over. */
#define SEEK_PERIOD_MS 100

/* A caller that reads nothing of a paused answer for this long is cut off. Endpoints cut off
 * answers that nobody reads after some seconds, and would then count as broken. */
#define UNREAD_MAX_MS 2000

/* Period at which a caller with a paused answer is checked for progress. */
#define UNREAD_CHECK_MS 500

/* After a silence of the silence limit divided by this, the exchange checks whether the endpoint's
 * kernel has acknowledged the request. If it has not after 450 ms (half of SILENCE_MIN_MS), which
 * includes two retransmissions, the connection is dead rather than the endpoint slow. */
#define ACK_CHECK_DIVISOR 2

void
ash_exchange_record_evidence (struct ash_exchange *exchange, enum ash_direct_result evidence)
{
  struct ash_direct_endpoint *endpoint = exchange->endpoint;
  struct ash_time now = ash_clock_now ();
  bool was_ejected = ash_time_before (now, endpoint->ejected_until);
  bool was_on_probation = endpoint->outlier.on_probation;

  ash_direct_note_result (endpoint, now, evidence);
  if (was_on_probation && evidence == ASH_DIRECT_ANSWERED)
    ash_fleet_report_recovery (&exchange->router->fleet, endpoint);
  if (was_ejected || evidence == ASH_DIRECT_FULL || !ash_time_before (now, endpoint->ejected_until))
    return;
  ash_log_event (&exchange->router->log, ASH_EV_ENDPOINT_PASSED,
                 "id=%s endpoint=%s evidence=%d failures=%u for_ms=%lld",
                 ash_exchange_id (exchange), endpoint->facts.id, (int) evidence, endpoint->failures,
                 (long long) ash_time_diff (now, endpoint->ejected_until));
  ash_fleet_report_failure (&exchange->router->fleet, endpoint);
}

static struct ash_time
earlier (struct ash_time a, struct ash_time b)
{
  return ash_time_before (a, b) ? a : b;
}

static int64_t
silence_limit_ms (const struct ash_exchange *exchange)
{
  int64_t ms = (int64_t) exchange->forward.answer_target_ms * SILENCE_TARGET_FACTOR;

  if (exchange->forward.answer_started)
    return EVENT_PAUSE_MAX_MS;
  return ms < SILENCE_MIN_MS ? SILENCE_MIN_MS : ms;
}

static int64_t
ack_check_ms (const struct ash_exchange *exchange)
{
  return silence_limit_ms (exchange) / ACK_CHECK_DIVISOR;
}

/* Whether another endpoint may take the request over. None can go on with an answer that is passed
 * on as it arrives: its endpoint has until the deadline. */
static bool
may_resend (const struct ash_exchange *exchange)
{
  return exchange->forward.repeat == ASH_REPEAT_SAFE && !exchange->answer.passthrough &&
         exchange->forward.sent < exchange->forward.servers_max;
}

bool
ash_exchange_was_sought (const struct ash_exchange *exchange)
{
  return !ash_time_before (exchange->sought_at, exchange->last_received);
}

/* @return when the endpoint has been silent for too long, or when another one is sought again. That
 * may have been sought before the limit, while the request seemed not to have arrived. */
static struct ash_time
silence_check (const struct ash_exchange *exchange, struct ash_time now)
{
  struct ash_time limit = ash_time_add (exchange->last_received, silence_limit_ms (exchange));
  struct ash_time again = ash_time_add (exchange->sought_at, SEEK_PERIOD_MS);

  if (ash_exchange_was_sought (exchange) &&
      (ash_time_before (now, again) || !ash_time_before (now, limit)))
    return again;
  return limit;
}

struct ash_time
ash_exchange_next_check (const struct ash_exchange *exchange,
                         struct ash_time now,
                         struct ash_time until)
{
  if (exchange->paused)
    return earlier (ash_time_add (now, UNREAD_CHECK_MS), exchange->forward.deadline);
  if (exchange->endpoint && may_resend (exchange))
    until = earlier (until, silence_check (exchange, now));
  if (exchange->endpoint && ash_http_call_connecting (&exchange->call))
    until = earlier (until, ash_time_add (exchange->sent_at, CONNECT_TIMEOUT_MS));
  else if (exchange->endpoint &&
           ash_time_diff (exchange->last_received, now) < ack_check_ms (exchange))
    until = earlier (until, ash_time_add (exchange->last_received, ack_check_ms (exchange)));
  return earlier (until, exchange->forward.deadline);
}

/* @return the time since which an idle connection must have received data to be kept: the middle of
 * the endpoint's silence. A connection that received data later worked while the connection of this
 * exchange did not. The same time applies to connections to other endpoints, since a network fault
 * often breaks all connections that were open. */
static struct ash_time
valid_since (const struct ash_exchange *exchange, struct ash_time now)
{
  return ash_time_add (exchange->last_received, ash_time_diff (exchange->last_received, now) / 2);
}

/* After a long silence the endpoint's idle connections may be broken too, and a request that may
 * not be repeated would fail on each of them. */
void
ash_exchange_close_idle_connections (struct ash_exchange *exchange, struct ash_time now)
{
  exchange->idle_valid_since = valid_since (exchange, now);
  ash_http_pool_close_idle (ash_router_pool (exchange->router, exchange->endpoint),
                            exchange->idle_valid_since);
}

bool
ash_exchange_check_unread (struct ash_exchange *exchange, struct ash_time now)
{
  size_t unread_bytes;

  if (!exchange->paused)
    return false;
  unread_bytes = ash_stream_unacknowledged (&exchange->conn->stream);
  if (unread_bytes < exchange->unread_bytes)
    {
      exchange->unread_bytes = unread_bytes;
      exchange->caller_read_at = now;
    }
  return ash_time_diff (exchange->caller_read_at, now) >= UNREAD_MAX_MS;
}

bool
ash_exchange_check_silence (struct ash_exchange *exchange, struct ash_time now)
{
  int64_t silent_ms = ash_time_diff (exchange->last_received, now);

  if (exchange->paused)
    return false;
  if (silent_ms >= ack_check_ms (exchange) && ash_http_call_unacknowledged (&exchange->call))
    {
      if (!ash_exchange_was_sought (exchange))
        ash_router_close_idle_connections (exchange->router, valid_since (exchange, now));
      return may_resend (exchange);
    }
  return may_resend (exchange) && silent_ms >= silence_limit_ms (exchange);
}

void
ash_exchange_record_timeout (struct ash_exchange *exchange, struct ash_time now)
{
  int64_t silent_ms = ash_time_diff (exchange->last_received, now);

  if (exchange->paused || ash_exchange_was_sought (exchange))
    return;
  if (silent_ms >= silence_limit_ms (exchange))
    ash_exchange_record_evidence (exchange, ASH_DIRECT_TIMED_OUT);
  if (silent_ms >= ack_check_ms (exchange))
    ash_exchange_close_idle_connections (exchange, now);
}
