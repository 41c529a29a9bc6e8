/**
 * @file
 * In the router process, handles connections to endpoints that close during an exchange, and
 * requests that are quarantined because endpoint processes ended while running them.
 */
#include "daemon/exchange.h"

#include <utlist.h>

/* A log line names this many parts of a prompt. */
#define PARTS_LOGGED_MAX 8
#define PARTS_TEXT_BYTES (PARTS_LOGGED_MAX * 17 + 1)

struct ash_id
ash_exchange_digest (struct ash_exchange *exchange)
{
  const struct ash_http_conn *conn = exchange->conn;

  if (!exchange->has_digest)
    exchange->digest = ash_id_from_request (exchange->account ? exchange->account->name : "",
                                            conn->reader.head.target,
                                            conn->body.bytes + conn->body.start, conn->body.length);
  exchange->has_digest = true;
  return exchange->digest;
}

/* Whether part of the current endpoint's answer has arrived. */
static bool
has_answer_data (const struct ash_exchange *exchange)
{
  bool has_event_data =
      exchange->has_event && !ash_time_before (exchange->event_sent_at, exchange->sent_at);

  return has_event_data || exchange->answer.body.length || exchange->answer.passthrough;
}

/* Writes the first parts of the prompt as hex numbers with commas between them; "-" if it has none.
 */
static void
format_parts (const struct ash_prompt_parts *parts, char text[PARTS_TEXT_BYTES])
{
  int length = snprintf (text, PARTS_TEXT_BYTES, "%s", parts->count ? "" : "-");

  for (uint32_t i = 0; i < parts->count && i < PARTS_LOGGED_MAX; i++)
    length += snprintf (text + length, PARTS_TEXT_BYTES - (size_t) length, "%s%llx", i ? "," : "",
                        (unsigned long long) parts->ids[i]);
}

static void
log_disconnect (struct ash_exchange *exchange, const struct ash_quarantine_run *run)
{
  char digest[ASH_ID_TEXT_BYTES];
  char parts[PARTS_TEXT_BYTES];

  ash_id_format (run->request, digest);
  format_parts (&exchange->facts.parts, parts);
  ash_log_event (&exchange->router->log, ASH_EV_FORWARD_CUT,
                 "id=%s route=%s digest=%s endpoint=%s after_ms=%lld silent_ms=%lld sent=%u "
                 "spoke=%d last_event=%lld head=%d events=%u parts=%s",
                 ash_exchange_id (exchange), exchange->route->name, digest,
                 exchange->endpoint->facts.id, (long long) ash_time_diff (run->sent, run->ended),
                 (long long) ash_time_diff (exchange->last_received, run->ended),
                 exchange->forward.sent, run->spoke,
                 exchange->has_event ? (long long) exchange->last_event : -1LL,
                 exchange->answer.status != 0, exchange->answer.events, parts);
}

void
ash_exchange_record_disconnect (struct ash_exchange *exchange)
{
  struct ash_suspects *suspects = &exchange->router->suspects;
  struct ash_quarantine_run run = {
    .request = ash_exchange_digest (exchange),
    .endpoint = exchange->endpoint->hash,
    .sent = exchange->sent_at,
    .ended = ash_clock_now (),
    .spoke = has_answer_data (exchange),
    .address = ash_hash_text (exchange->endpoint->facts.address),
  };

  log_disconnect (exchange, &run);
  ash_suspects_record_disconnect (
      suspects, &ash_router_pool (exchange->router, exchange->endpoint)->address, &run);
  /* If an endpoint process exited during an earlier run of this request, the request may have
   * terminated this endpoint too. It is not resent until a probe has shown whether this endpoint
   * still runs. Other requests are resent at once. */
  if (ash_quarantine_exits (&suspects->quarantine, run.request))
    exchange->awaited_probe = run.endpoint;
}

void
ash_exchange_record_success (struct ash_exchange *exchange)
{
  struct ash_suspects *suspects = &exchange->router->suspects;

  if (suspects->quarantine.suspects)
    ash_suspects_record_success (suspects, ash_exchange_digest (exchange));
}

int64_t
ash_exchange_quarantined_ms (struct ash_exchange *exchange, struct ash_time now)
{
  const struct ash_suspects *suspects = &exchange->router->suspects;

  if (!suspects->quarantine.suspects)
    return 0;
  return ash_suspects_left_ms (suspects, ash_exchange_digest (exchange), now);
}

/* ---- notifications from suspects.c ---- */

static void
on_probed (struct ash_router *router, uint64_t endpoint)
{
  struct ash_exchange *exchange;
  struct ash_exchange *next;

  DL_FOREACH_SAFE (router->exchanges, exchange, next)
    if (exchange->awaited_probe == endpoint)
      ash_exchange_step (exchange);
}

/* Cancels the copies of a request that has just been quarantined. An endpoint where the copy is
 * still queued or has just started may survive. */
static void
on_quarantined (struct ash_router *router, struct ash_id request)
{
  struct ash_exchange *exchange;
  struct ash_exchange *next;

  DL_FOREACH_SAFE (router->exchanges, exchange, next)
    if (exchange->endpoint && ash_id_equal (ash_exchange_digest (exchange), request))
      {
        bool connecting = ash_http_call_connecting (&exchange->call);

        ash_http_call_cancel (&exchange->call);
        ash_exchange_release_slot (exchange);
        if (connecting)
          ash_forward_not_run (&exchange->forward, false);
        ash_exchange_step (exchange);
      }
}

const struct ash_suspects_handler ash_exchange_suspects_handler = { on_probed, on_quarantined };
