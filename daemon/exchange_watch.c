/**
 * @file
 * An exchange's watch on the endpoint that it was sent to: how long that may be silent, and what
 * its answer or silence says of it and of the connections to it.
 */
#include "daemon/exchange.h"

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

void
ash_exchange_record_evidence (struct ash_exchange *exchange, enum ash_direct_result evidence)
{
  struct ash_direct_endpoint *endpoint = exchange->endpoint;
  struct ash_time now = ash_clock_now ();
  bool passed = ash_time_before (now, endpoint->ejected_until);

  ash_direct_note_result (endpoint, now, evidence);
  if (!passed && evidence != ASH_DIRECT_FULL && ash_time_before (now, endpoint->ejected_until))
    ash_log_event (&exchange->router->log, ASH_EV_ENDPOINT_PASSED,
                   "id=%s endpoint=%s evidence=%d failures=%u for_ms=%lld",
                   ash_exchange_id (exchange), endpoint->facts.id, (int) evidence,
                   endpoint->failures, (long long) ash_time_diff (now, endpoint->ejected_until));
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

  if (exchange->forward.answer_started)
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

struct ash_time
ash_exchange_next_check (const struct ash_exchange *exchange,
                         struct ash_time now,
                         struct ash_time until)
{
  if (exchange->endpoint && may_go_elsewhere (exchange))
    until = earlier (until, ash_time_add (exchange->heard, silence_ms (exchange)));
  if (exchange->endpoint && ash_http_call_connecting (&exchange->call))
    until = earlier (until, ash_time_add (exchange->sent, CONNECT_MS));
  else if (exchange->endpoint && ash_time_diff (exchange->heard, now) < doubt_ms (exchange))
    until = earlier (until, ash_time_add (exchange->heard, doubt_ms (exchange)));
  return earlier (until, exchange->forward.deadline);
}

/* A connection that answered in the second half of the silence was sound when this one was not:
 * other endpoints' too, since what silences one often silences all that were open. */
static struct ash_time
trusted_since (const struct ash_exchange *exchange, struct ash_time now)
{
  return ash_time_add (exchange->heard, ash_time_diff (exchange->heard, now) / 2);
}

/* Nothing came for long: the endpoint's other kept connections may be as silent, and a request that
 * may not be repeated would fail on each of them. */
void
ash_exchange_close_idle_connections (struct ash_exchange *exchange, struct ash_time now)
{
  exchange->trusted = trusted_since (exchange, now);
  ash_http_pool_close_idle (ash_router_pool (exchange->router, exchange->endpoint),
                            exchange->trusted);
}

bool
ash_exchange_check_silence (struct ash_exchange *exchange, struct ash_time now)
{
  int64_t silent_ms = ash_time_diff (exchange->heard, now);

  if (silent_ms >= doubt_ms (exchange) && ash_http_call_unacknowledged (&exchange->call))
    {
      ash_router_close_idle_connections (exchange->router, trusted_since (exchange, now));
      return may_go_elsewhere (exchange);
    }
  return may_go_elsewhere (exchange) && silent_ms >= silence_ms (exchange);
}

void
ash_exchange_record_timeout (struct ash_exchange *exchange, struct ash_time now)
{
  int64_t silent_ms = ash_time_diff (exchange->heard, now);

  if (silent_ms >= silence_ms (exchange))
    ash_exchange_record_evidence (exchange, ASH_DIRECT_TIMED_OUT);
  if (silent_ms >= doubt_ms (exchange))
    ash_exchange_close_idle_connections (exchange, now);
}
