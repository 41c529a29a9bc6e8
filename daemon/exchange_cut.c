/**
 * @file
 * Connections to endpoints that end under an exchange, and requests that are kept away from
 * endpoints since these have ended under them.
 */
#include "daemon/exchange.h"

#include <utlist.h>

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

/* Whether a part of the present endpoint's answer has come. */
static bool
has_spoken (const struct ash_exchange *exchange)
{
  bool has_passed = exchange->has_event && !ash_time_before (exchange->passed, exchange->sent);

  return has_passed || exchange->answer.body.length || exchange->answer.passing;
}

static void
log_cut (struct ash_exchange *exchange, const struct ash_quarantine_run *run)
{
  char digest[ASH_ID_TEXT_BYTES];

  ash_id_format (run->request, digest);
  ash_log_event (&exchange->router->log, ASH_EV_FORWARD_CUT,
                 "id=%s route=%s digest=%s endpoint=%s after_ms=%lld silent_ms=%lld sent=%u "
                 "spoke=%d last_event=%lld",
                 ash_exchange_id (exchange), exchange->route->name, digest,
                 exchange->endpoint->facts.id, (long long) ash_time_diff (run->sent, run->ended),
                 (long long) ash_time_diff (exchange->heard, run->ended), exchange->forward.sent,
                 run->spoke, exchange->has_event ? (long long) exchange->last_event : -1LL);
}

void
ash_exchange_record_disconnect (struct ash_exchange *exchange)
{
  struct ash_suspects *suspects = &exchange->router->suspects;
  struct ash_quarantine_run run = {
    .request = ash_exchange_digest (exchange),
    .endpoint = exchange->endpoint->hash,
    .sent = exchange->sent,
    .ended = ash_clock_now (),
    .spoke = has_spoken (exchange),
  };

  log_cut (exchange, &run);
  ash_suspects_record_disconnect (
      suspects, &ash_router_pool (exchange->router, exchange->endpoint)->address, &run);
  /* What ended an endpoint before may be ending the next one now: it is not sent on before that is
   * known. Others are not held up. */
  if (ash_quarantine_exits (&suspects->quarantine, run.request))
    exchange->asked = run.endpoint;
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

/* ---- what the task of suspects tells ---- */

static void
on_asked (struct ash_router *router, uint64_t endpoint)
{
  struct ash_exchange *exchange;
  struct ash_exchange *next;

  DL_FOREACH_SAFE (router->exchanges, exchange, next)
    if (exchange->asked == endpoint)
      ash_exchange_step (exchange);
}

/* Those that wait at an endpoint have not begun to run, or not for long: taken back, they may leave
 * it standing. */
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

const struct ash_suspects_handler ash_exchange_suspects_handler = { on_asked, on_quarantined };
