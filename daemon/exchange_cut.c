/**
 * @file
 * In the router process, handles connections to endpoints that close during an exchange, and
 * requests that are quarantined, as such or by a part of their prompt, because endpoint processes
 * ended while running them.
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

/* Keeps the run as possible evidence against the parts of its prompt, unless its answer had got
 * through: an endpoint that exits on a part does so as it begins the answer. */
static void
note_part_run (struct ash_exchange *exchange, const struct ash_quarantine_run *run)
{
  const struct ash_exchange_answer *answer = &exchange->answer;
  struct ash_part_run part_run = {
    .request = run->request,
    .endpoint = run->endpoint,
    .sent = run->sent,
    .ended = run->ended,
    .begun = answer->status && !answer->events,
    .parts = exchange->facts.parts,
  };

  if (answer->events < ASH_PART_PASS_EVENTS)
    ash_part_quarantine_note_run (&exchange->router->suspects.parts.quarantine, &part_run,
                                  run->ended);
}

/* @return the most endpoints that have exited on one of the prompt's parts. */
static uint32_t
exits_on_parts (const struct ash_exchange *exchange)
{
  return ash_part_quarantine_suspicion (&exchange->router->suspects.parts.quarantine,
                                        &exchange->facts.parts, ash_clock_now ());
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
  note_part_run (exchange, &run);
  ash_suspects_record_disconnect (
      suspects, &ash_router_pool (exchange->router, exchange->endpoint)->address, &run);
  /* If an endpoint process exited during an earlier run of this request, the request may have
   * terminated this endpoint too. It is not resent until a probe has shown whether this endpoint
   * still runs. Other requests are resent at once. */
  if (ash_quarantine_exits (&suspects->quarantine, run.request) || exits_on_parts (exchange))
    exchange->awaited_probe = run.endpoint;
}

void
ash_exchange_record_success (struct ash_exchange *exchange)
{
  struct ash_suspects *suspects = &exchange->router->suspects;

  if (suspects->quarantine.suspects)
    ash_suspects_record_success (suspects, ash_exchange_digest (exchange));
  if (exchange->answer.events < ASH_PART_PASS_EVENTS)
    ash_exchange_record_pass (exchange);
}

void
ash_exchange_record_pass (struct ash_exchange *exchange)
{
  if (exchange->facts.parts.count)
    ash_suspect_parts_record_pass (&exchange->router->suspects.parts, &exchange->facts.parts);
}

bool
ash_exchange_is_suspected (const struct ash_exchange *exchange)
{
  return exchange->forward.sent && exits_on_parts (exchange) >= ASH_PART_SUSPECTED_EXITS;
}

int64_t
ash_exchange_quarantined_ms (struct ash_exchange *exchange, struct ash_time now)
{
  const struct ash_suspects *suspects = &exchange->router->suspects;
  const struct ash_part_quarantine *parts = &suspects->parts.quarantine;
  int64_t parts_ms = ash_part_quarantine_left_ms (parts, &exchange->facts.parts, now, false);
  int64_t request_ms = 0;

  if (parts_ms && ash_fleet_leads (&exchange->router->fleet))
    parts_ms = ash_part_quarantine_left_ms (parts, &exchange->facts.parts, now, true);
  if (suspects->quarantine.suspects)
    request_ms = ash_suspects_left_ms (suspects, ash_exchange_digest (exchange), now);
  return parts_ms > request_ms ? parts_ms : request_ms;
}

void
ash_exchange_note_sent_parts (struct ash_exchange *exchange)
{
  struct ash_part_quarantine *quarantine = &exchange->router->suspects.parts.quarantine;
  const struct ash_prompt_parts *parts = &exchange->facts.parts;

  if (!exchange->forward.sent)
    ash_part_history_note_request (&quarantine->evidence.history, parts);
  if (ash_part_quarantine_note_sent (quarantine, parts, ash_clock_now ()))
    ash_log_event (&exchange->router->log, ASH_EV_PART_TRIED, "id=%s route=%s",
                   ash_exchange_id (exchange), exchange->route->name);
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

/* Takes a request that has just been quarantined back from its endpoint, which may survive if the
 * request is still queued there or has just started. */
static void
take_back (struct ash_exchange *exchange)
{
  ash_exchange_cancel_call (exchange);
  ash_exchange_step (exchange);
}

static void
on_quarantined (struct ash_router *router, struct ash_id request)
{
  struct ash_exchange *exchange;
  struct ash_exchange *next;

  DL_FOREACH_SAFE (router->exchanges, exchange, next)
    if (exchange->endpoint && ash_id_equal (ash_exchange_digest (exchange), request))
      take_back (exchange);
}

/* Requests whose answers have events go on: endpoints that exit on a part do so before. */
static void
on_part_quarantined (struct ash_router *router, struct ash_prompt_part part)
{
  struct ash_exchange *exchange;
  struct ash_exchange *next;

  DL_FOREACH_SAFE (router->exchanges, exchange, next)
    if (exchange->endpoint && !exchange->answer.events &&
        ash_prompt_parts_has (&exchange->facts.parts, part))
      take_back (exchange);
}

const struct ash_suspects_handler ash_exchange_suspects_handler = { on_probed, on_quarantined,
                                                                    on_part_quarantined };
