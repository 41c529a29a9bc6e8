#include "filters/forward.h"

/* Retry delay after a refusal for lack of an endpoint, with jitter so that callers refused together
 * don't return together. It is short as the list of endpoints changes within tenths of a second. */
#define RETRY_AFTER_MIN_MS 300
#define RETRY_AFTER_SPREAD_MS 700

/* Retry delay while all endpoints of a service are in evacuated halls. Operators evacuate a hall
 * for tens of seconds or more, and don't say for how long. */
#define RETRY_AFTER_EVACUATED_MS 5000

/* Retry delay after a refusal for lack of capacity: between an eighth and a third of the time that
 * the caller has left, but at most 3 s; with 8 s left, 1 to 2.7 s. Bursts last seconds, so callers
 * that return sooner are more often refused again, and the answer is late in either case. A request
 * waits no longer than a third of its time. */
#define RETRY_MIN_DIVISOR 8
#define RETRY_MAX_DIVISOR 3
#define RETRY_AFTER_MAX_MS 3000

/* Room is short when no endpoint has more than this part of its cap left: soon enough to keep the
 * rest for urgent requests. */
#define LITTLE_ROOM 0.1

/* Part of the target for the answer that a request of a service with priorities may wait for room.
 */
#define WAIT_DIVISOR 8

/* So many attempts may reach no endpoint, one right after the other: the next endpoint mostly runs.
 * Each further one waits twice as long as the one before, up to UNSENT_WAIT_MAX_MS: where all
 * endpoints refuse connections, none is worth a hundred attempts a second. */
#define UNSENT_AT_ONCE 3
#define UNSENT_WAIT_MS 10
#define UNSENT_WAIT_MAX_MS 100

const char *
ash_forward_reason_name (enum ash_forward_reason reason)
{
  switch (reason)
    {
    case ASH_FORWARD_NO_ENDPOINT:
      return "no_endpoint";
    case ASH_FORWARD_NO_ROOM:
      return "no_room";
    case ASH_FORWARD_THROTTLED:
      return "held_back";
    case ASH_FORWARD_REJECTED:
      return "turned_away";
    case ASH_FORWARD_FAILED:
      return "failed";
    case ASH_FORWARD_TIMEOUT:
      return "timeout";
    case ASH_FORWARD_NO_BUDGET:
      return "no_budget";
    case ASH_FORWARD_LEAVING:
      return "leaving";
    case ASH_FORWARD_QUARANTINED:
      return "quarantined";
    }
  return "unknown";
}

uint16_t
ash_forward_status (const struct ash_forward *forward, enum ash_forward_reason reason)
{
  if (!forward->unconfirmed)
    return 503;
  return reason == ASH_FORWARD_TIMEOUT ? 504 : 502;
}

/* The part of the endpoints' room that the request leaves to more urgent ones and to other
 * accounts. One that was sent before has been admitted already. */
static double
reserved_room (const struct ash_forward *forward,
               const struct ash_forward_context *context,
               struct ash_time now)
{
  double reserved;

  if (!context->room || forward->sent)
    return 0;
  reserved = ash_priority_room_reserved (context->room, forward->priority, context->reserve, now);
  return reserved + (1 - reserved) * forward->fair_reserve;
}

static struct ash_direct_criteria
endpoint_criteria (const struct ash_forward *forward,
                   const struct ash_forward_context *context,
                   double reserved)
{
  return (struct ash_direct_criteria){
    .service = forward->service,
    .hall = context->hall,
    .router_id = context->router_id,
    .remote_parts = context->remote_parts,
    .cap = forward->cap,
    .reserved = reserved,
    .pause_target_ms = forward->pause_target_ms,
    .tried = forward->tried,
    .tried_count = forward->tried_count,
  };
}

static uint32_t
retry_after_ms (const struct ash_forward *forward,
                const struct ash_forward_context *context,
                struct ash_time now,
                enum ash_forward_reason reason)
{
  struct ash_random *random = &context->endpoints->random;
  struct ash_direct_criteria criteria = endpoint_criteria (forward, context, forward->reserved);
  int64_t left_ms = ash_time_diff (now, forward->deadline);
  int64_t max_ms = left_ms / RETRY_MAX_DIVISOR;
  int64_t min_ms;
  int64_t available_ms;

  if (reason == ASH_FORWARD_QUARANTINED)
    return (uint32_t) context->quarantined_ms;
  if (reason == ASH_FORWARD_NO_ENDPOINT &&
      ash_direct_has_evacuated (context->endpoints, forward->service))
    return RETRY_AFTER_EVACUATED_MS + ash_random_below (random, RETRY_AFTER_SPREAD_MS);
  if (reason != ASH_FORWARD_NO_ROOM && reason != ASH_FORWARD_THROTTLED &&
      reason != ASH_FORWARD_REJECTED)
    return RETRY_AFTER_MIN_MS + ash_random_below (random, RETRY_AFTER_SPREAD_MS);
  if (max_ms > RETRY_AFTER_MAX_MS)
    max_ms = RETRY_AFTER_MAX_MS;
  min_ms = max_ms * RETRY_MAX_DIVISOR / RETRY_MIN_DIVISOR;
  /* A retry is useless before the first endpoint accepts requests again, as it announced. */
  available_ms = ash_direct_wait_ms (context->endpoints, now, &criteria);
  if (available_ms > min_ms && max_ms > min_ms)
    min_ms = available_ms < max_ms ? available_ms : max_ms - 1;
  return (uint32_t) (1 + min_ms) + ash_random_below (random, (uint32_t) (max_ms - min_ms));
}

static struct ash_forward_decision
answer (const struct ash_forward *forward,
        const struct ash_forward_context *context,
        struct ash_time now,
        enum ash_forward_reason reason)
{
  struct ash_forward_decision decision = { .action = ASH_FORWARD_ANSWER };

  decision.answer.reason = reason;
  decision.answer.status = ash_forward_status (forward, reason);
  if (decision.answer.status == 503)
    decision.answer.retry_after_ms = retry_after_ms (forward, context, now, reason);
  return decision;
}

/* Every attempt after the first is charged to the resend budget that the processes share. */
static bool
may_send (const struct ash_forward *forward,
          const struct ash_forward_context *context,
          struct ash_time now)
{
  return !forward->sent ||
         ash_resend_window_spend (context->window, &context->bound, context->entries, now);
}

/* How long the request may wait for room. Where requests have priorities, endpoints free room all
 * the time and not all of it is taken at once. */
static int64_t
wait_ms (const struct ash_forward *forward,
         const struct ash_forward_context *context,
         enum ash_forward_reason reason)
{
  bool has_priorities = context->room && reason == ASH_FORWARD_NO_ROOM;
  int64_t ms = has_priorities ? forward->answer_target_ms / WAIT_DIVISOR : 0;

  return ms > context->wait_ms ? ms : context->wait_ms;
}

static struct ash_forward_decision
wait_or_refuse (const struct ash_forward *forward,
                const struct ash_forward_context *context,
                struct ash_time now,
                enum ash_forward_reason reason)
{
  struct ash_time until = ash_time_add (forward->arrived, wait_ms (forward, context, reason));

  /* A stream that has begun can no longer be refused, so it waits longer to be resumed. */
  if (forward->answer_started)
    until = forward->wait_until;
  if (!ash_time_before (now, until))
    return answer (forward, context, now, reason);
  return (struct ash_forward_decision){ .action = ASH_FORWARD_WAIT, .until = until };
}

/* The time until which a request that reached no endpoint several times is not sent again. */
static struct ash_time
unsent_until (const struct ash_forward *forward, const struct ash_forward_context *context)
{
  int64_t wait_ms = UNSENT_WAIT_MS;

  if (forward->unsent < UNSENT_AT_ONCE)
    return context->sent_at;
  for (uint32_t i = UNSENT_AT_ONCE; i < forward->unsent && wait_ms < UNSENT_WAIT_MAX_MS; i++)
    wait_ms *= 2;
  return ash_time_add (context->sent_at,
                       wait_ms < UNSENT_WAIT_MAX_MS ? wait_ms : UNSENT_WAIT_MAX_MS);
}

/* The time until which the request is held, by the prompt gate if it was not sent yet. */
static struct ash_time
held_until (const struct ash_forward *forward,
            const struct ash_forward_context *context,
            struct ash_time now)
{
  struct ash_time until = unsent_until (forward, context);
  struct ash_time gate_until;

  if (forward->sent || !context->gate)
    return until;
  gate_until = ash_prompt_gate_send_time (context->gate, &forward->prompt, forward->arrived, now);
  return ash_time_before (until, gate_until) ? gate_until : until;
}

static enum ash_direct_choice
choose_with_reserve (const struct ash_forward *forward,
                     const struct ash_forward_context *context,
                     struct ash_time now,
                     double reserved,
                     struct ash_direct_endpoint **endpoint)
{
  struct ash_direct_criteria criteria = endpoint_criteria (forward, context, reserved);

  return ash_direct_choose (context->endpoints, now, &criteria, endpoint);
}

/* Chooses an endpoint with room for the request's priority. */
static enum ash_direct_choice
choose (struct ash_forward *forward,
        const struct ash_forward_context *context,
        struct ash_time now,
        struct ash_direct_endpoint **endpoint)
{
  enum ash_direct_choice choice;

  forward->reserved = reserved_room (forward, context, now);
  if (context->room && forward->reserved < LITTLE_ROOM)
    {
      choice = choose_with_reserve (forward, context, now, LITTLE_ROOM, endpoint);
      if (choice != ASH_DIRECT_ALL_FULL)
        return choice;
      ash_priority_room_record_shortage (context->room, now);
    }
  choice = choose_with_reserve (forward, context, now, forward->reserved, endpoint);
  if (choice == ASH_DIRECT_ALL_FULL && forward->reserved > 0 &&
      ash_priority_room_is_starved (context->room, forward->priority))
    return choose_with_reserve (forward, context, now, 0, endpoint);
  return choice;
}

struct ash_forward_decision
ash_forward_next (struct ash_forward *forward,
                  const struct ash_forward_context *context,
                  struct ash_time now)
{
  struct ash_time hold_until = held_until (forward, context, now);
  struct ash_direct_endpoint *endpoint;

  if (!ash_time_before (now, forward->deadline))
    return answer (forward, context, now, ASH_FORWARD_TIMEOUT);
  if (context->quarantined_ms > 0)
    return answer (forward, context, now, ASH_FORWARD_QUARANTINED);
  if (forward->unconfirmed && (context->suspected || forward->repeat == ASH_REPEAT_ONCE))
    return answer (forward, context, now, ASH_FORWARD_FAILED);
  if (forward->sent >= forward->servers_max)
    return answer (forward, context, now,
                   forward->unconfirmed ? ASH_FORWARD_FAILED : ASH_FORWARD_REJECTED);
  if (ash_time_before (now, hold_until))
    return (struct ash_forward_decision){ .action = ASH_FORWARD_WAIT, .until = hold_until };
  if (context->no_socket)
    return wait_or_refuse (forward, context, now, ASH_FORWARD_NO_ROOM);
  switch (choose (forward, context, now, &endpoint))
    {
    case ASH_DIRECT_NONE:
      return wait_or_refuse (forward, context, now, ASH_FORWARD_NO_ENDPOINT);
    case ASH_DIRECT_ALL_FULL:
      return wait_or_refuse (forward, context, now, ASH_FORWARD_NO_ROOM);
    case ASH_DIRECT_THROTTLED:
      return wait_or_refuse (forward, context, now, ASH_FORWARD_THROTTLED);
    case ASH_DIRECT_CHOSEN:
      break;
    }
  if (!may_send (forward, context, now))
    return answer (forward, context, now, ASH_FORWARD_NO_BUDGET);
  return (struct ash_forward_decision){ .action = ASH_FORWARD_SEND, .endpoint = endpoint };
}

void
ash_forward_sent (struct ash_forward *forward, const struct ash_direct_endpoint *endpoint)
{
  forward->sent++;
  forward->unconfirmed++;
  if (forward->tried_count < ASH_DIRECT_TRIED_MAX)
    forward->tried[forward->tried_count++] = endpoint->hash;
}

void
ash_forward_reached (struct ash_forward *forward)
{
  forward->unsent = 0;
}

void
ash_forward_not_run (struct ash_forward *forward, bool was_sent)
{
  forward->unconfirmed--;
  if (was_sent)
    return;
  forward->sent--;
  forward->unsent++;
}
