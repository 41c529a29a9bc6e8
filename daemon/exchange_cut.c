/**
 * @file
 * Connections to endpoints that end under an exchange: what is known of the request and of the
 * endpoint then.
 */
#include "daemon/exchange.h"

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

void
ash_exchange_note_cut (struct ash_exchange *exchange)
{
  struct ash_time now = ash_clock_now ();
  char digest[ASH_ID_TEXT_BYTES];

  ash_id_format (ash_exchange_digest (exchange), digest);
  ash_log_event (&exchange->router->log, ASH_EV_FORWARD_CUT,
                 "id=%s route=%s digest=%s endpoint=%s after_ms=%lld silent_ms=%lld sent=%u "
                 "last_event=%lld",
                 ash_exchange_id (exchange), exchange->route->name, digest,
                 exchange->endpoint->facts.id, (long long) ash_time_diff (exchange->sent, now),
                 (long long) ash_time_diff (exchange->heard, now), exchange->forward.sent,
                 exchange->has_event ? (long long) exchange->last_event : -1LL);
}
