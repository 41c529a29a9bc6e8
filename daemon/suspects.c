#include "daemon/suspects.h"

#include "daemon/router.h"

#include <errno.h>
#include <stdlib.h>
#include <utlist.h>

/* Timeout of a probe's connect attempt, and how long requests wait for the probe's result. A
 * machine whose process has ended refuses connections within a round trip: a few milliseconds
 * within a region, some 40 to another region. A probe that gets no reaction at all shows nothing
 * about the endpoint. */
#define PROBE_WAIT_MS 100

/* How long a probe's connection is kept open, counted from the probe's start. The kernel closes the
 * sockets of a process that exits one after the other, and its listening socket may be among the
 * last, so for some milliseconds, and longer on a busy machine, connections to it are still
 * established. They are reset when the listening socket is closed. */
#define PROBE_KEEP_MS 500

/* Maximum number of connect attempts of a probe: an endpoint that closes every connection must not
 * keep the router busy. */
#define PROBE_ATTEMPTS_MAX 3

#define MS_PER_S 1000.0

/* Upper limit of requests in the evidence for a newly linked peer: the newest ones, since callers
 * resubmit such a request within seconds. */
#define SEND_NEW_MAX 32

/* A connection to an endpoint, made to find out whether a process listens at its address. */
struct ash_suspect_probe
{
  struct ash_suspects *suspects;
  uint64_t endpoint;
  struct sockaddr_in address;
  struct ash_time started;
  uint32_t attempts;
  bool open;      /* the stream is in use */
  bool connected; /* the connection is established */
  bool refused;   /* the last connect attempt was refused */
  bool awaited;   /* requests may wait for the result */
  struct ash_stream stream;
  ev_timer timer;
  struct ash_suspect_probe *prev;
  struct ash_suspect_probe *next;
};

/* ---- sending to peers ---- */

static struct Ash__SuspectRun
message_of (const struct ash_quarantine_run *run, struct ash_time now)
{
  struct Ash__SuspectRun message = ASH__SUSPECT_RUN__INIT;

  message.request_hi = run->request.hi;
  message.request_lo = run->request.lo;
  message.endpoint = run->endpoint;
  message.lasted_ms = (uint32_t) ash_time_diff (run->sent, run->ended);
  message.age_ms = (uint32_t) ash_time_diff (run->ended, now);
  message.spoke = run->spoke;
  return message;
}

/* @param box NULL: all linked peers. */
static void
send_messages (struct ash_suspects *suspects,
               const char *box,
               struct Ash__SuspectRun messages[],
               size_t count)
{
  struct Ash__SuspectRun *list[ASH_QUARANTINE_DISCONNECTS];
  struct Ash__SuspectRuns runs = ASH__SUSPECT_RUNS__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_SUSPECT_RUNS, &runs);

  for (size_t i = 0; i < count; i++)
    list[i] = &messages[i];
  runs.runs = list;
  runs.n_runs = count;
  if (box)
    ash_peers_send (&suspects->router->fleet.links, box, &event);
  else if (count)
    ash_fleet_send_all (&suspects->router->fleet, &event);
}

void
ash_suspects_send (struct ash_suspects *suspects, const char *box)
{
  struct Ash__SuspectRun messages[SEND_NEW_MAX * ASH_QUARANTINE_RUNS];
  const struct ash_quarantine_suspect *suspect = suspects->quarantine.suspects;
  uint32_t skip = HASH_COUNT (suspect);
  struct ash_time now = ash_clock_now ();
  size_t count = 0;

  for (skip = skip > SEND_NEW_MAX ? skip - SEND_NEW_MAX : 0; skip; skip--)
    suspect = suspect->hh.next;
  for (; suspect; suspect = suspect->hh.next)
    for (uint32_t i = 0; i < suspect->count; i++)
      messages[count++] = message_of (&suspect->runs[i], now);
  if (count)
    send_messages (suspects, box, messages, count);
  ash_suspect_parts_send (&suspects->parts, box);
}

/* ---- evidence ---- */

int64_t
ash_suspects_left_ms (const struct ash_suspects *suspects,
                      struct ash_id request,
                      struct ash_time now)
{
  return ash_quarantine_left_ms (&suspects->quarantine, request, now);
}

/* Logs a request that this run has caused to be quarantined, and notifies the owner of the requests
 * in progress. */
static void
report_quarantine (struct ash_suspects *suspects,
                   const struct ash_quarantine_run *run,
                   struct ash_time now,
                   const char *source)
{
  int64_t left_ms = ash_suspects_left_ms (suspects, run->request, now);
  char digest[ASH_ID_TEXT_BYTES];

  if (!left_ms)
    return;
  suspects->quarantined++;
  ash_id_format (run->request, digest);
  ash_log_event (&suspects->router->log, ASH_EV_QUARANTINED,
                 "digest=%s ends=%u spoke=%d for_ms=%lld source=%s", digest,
                 ash_quarantine_exits (&suspects->quarantine, run->request), run->spoke,
                 (long long) left_ms, source);
  suspects->handler->quarantined (suspects->router, run->request);
}

static const char *
evidence_name (enum ash_quarantine_evidence evidence)
{
  switch (evidence)
    {
    case ASH_QUARANTINE_CONNECT_REFUSED:
      return "refuses";
    case ASH_QUARANTINE_RESTARTED:
      return "reborn";
    case ASH_QUARANTINE_ADDRESS_REUSED:
      return "address_reused";
    }
  return "";
}

/* Logs the end of an endpoint's process, and sends the runs that it ended to all peers.
 * @param found runs at that endpoint that are new evidence. */
static void
report_endpoint_end (struct ash_suspects *suspects,
                     enum ash_quarantine_evidence evidence,
                     struct ash_time now,
                     const struct ash_quarantine_run found[],
                     size_t count)
{
  struct Ash__SuspectRun messages[ASH_QUARANTINE_DISCONNECTS];
  const struct ash_part_run *part_runs[ASH_QUARANTINE_DISCONNECTS];
  const struct ash_direct_endpoint *known;
  size_t part_count = 0;

  if (!count)
    return;
  known = ash_direct_find_hash (&suspects->router->endpoints, found[0].endpoint);
  suspects->ended++;
  ash_log_event (&suspects->router->log, ASH_EV_ENDPOINT_ENDED, "endpoint=%s requests=%zu proof=%s",
                 known ? known->facts.id : "-", count, evidence_name (evidence));
  for (size_t i = 0; i < count; i++)
    {
      const struct ash_part_run *run = ash_part_quarantine_prove_run (
          &suspects->parts.quarantine, found[i].request, found[i].endpoint, now);

      messages[i] = message_of (&found[i], now);
      if (!run)
        continue;
      ash_suspect_parts_describe (run, &messages[i]);
      part_runs[part_count++] = run;
    }
  send_messages (suspects, NULL, messages, count);
  for (size_t i = 0; i < count; i++)
    report_quarantine (suspects, &found[i], now, "own");
  ash_suspect_parts_judge (&suspects->parts, part_runs, part_count, "own");
}

static void
handle_endpoint_end (struct ash_suspects *suspects,
                     uint64_t endpoint,
                     enum ash_quarantine_evidence evidence)
{
  struct ash_quarantine_run found[ASH_QUARANTINE_DISCONNECTS];
  struct ash_time now = ash_clock_now ();
  size_t count = ash_quarantine_note_exit (&suspects->quarantine, endpoint, evidence, now, found);

  report_endpoint_end (suspects, evidence, now, found, count);
}

void
ash_suspects_record_restart (struct ash_suspects *suspects, uint64_t endpoint)
{
  handle_endpoint_end (suspects, endpoint, ASH_QUARANTINE_RESTARTED);
}

void
ash_suspects_record_new_endpoint (struct ash_suspects *suspects,
                                  const struct ash_direct_endpoint *endpoint)
{
  struct ash_quarantine_run found[ASH_QUARANTINE_DISCONNECTS];
  struct ash_time now = ash_clock_now ();
  size_t count = ash_quarantine_note_address_reused (
      &suspects->quarantine, ash_hash_text (endpoint->facts.address), endpoint->hash, now, found);

  report_endpoint_end (suspects, ASH_QUARANTINE_ADDRESS_REUSED, now, found, count);
}

/* Clears a request of suspicion. @return whether it was suspected of terminating endpoints. */
static bool
clear_suspect (struct ash_suspects *suspects, struct ash_id request, const char *source)
{
  char digest[ASH_ID_TEXT_BYTES];

  if (!ash_quarantine_clear (&suspects->quarantine, request))
    return false;
  ash_id_format (request, digest);
  ash_log_event (&suspects->router->log, ASH_EV_QUARANTINE_CLEARED, "digest=%s source=%s", digest,
                 source);
  return true;
}

void
ash_suspects_record_success (struct ash_suspects *suspects, struct ash_id request)
{
  struct Ash__SuspectRun message = ASH__SUSPECT_RUN__INIT;

  if (!clear_suspect (suspects, request, "own"))
    return;
  message.request_hi = request.hi;
  message.request_lo = request.lo;
  message.cleared = true;
  send_messages (suspects, NULL, &message, 1);
}

void
ash_suspects_receive (struct ash_suspects *suspects,
                      const char *peer,
                      const struct Ash__SuspectRuns *message)
{
  struct ash_time now = ash_clock_now ();

  for (size_t i = 0; i < message->n_runs; i++)
    {
      const struct Ash__SuspectRun *item = message->runs[i];
      struct ash_quarantine_run run = {
        .request = { item->request_hi, item->request_lo },
        .endpoint = item->endpoint,
        .ended = ash_time_add (now, -(int64_t) item->age_ms),
        .spoke = item->spoke,
      };

      run.sent = ash_time_add (run.ended, -(int64_t) item->lasted_ms);
      if (item->cleared)
        clear_suspect (suspects, run.request, peer);
      else if (ash_quarantine_add_run (&suspects->quarantine, &run))
        report_quarantine (suspects, &run, now, peer);
    }
  ash_suspect_parts_receive (&suspects->parts, peer, message);
}

/* ---- probes ---- */

static void
free_probe (struct ash_suspect_probe *probe)
{
  if (probe->open)
    ash_stream_finish (&probe->stream);
  ev_timer_stop (probe->suspects->router->loop, &probe->timer);
  DL_DELETE (probe->suspects->probes, probe);
  free (probe);
}

/* What a probe has shown of the endpoint. */
enum probe_result
{
  PROBE_REFUSED,   /* nothing listens at its address */
  PROBE_ACCEPTED,  /* something listens at its address */
  PROBE_NO_RESULT, /* no reaction in time, or the connect attempt failed for another reason */
};

static const char *
probe_result_name (enum probe_result result)
{
  switch (result)
    {
    case PROBE_REFUSED:
      return "refused";
    case PROBE_ACCEPTED:
      return "accepted";
    case PROBE_NO_RESULT:
      return "none";
    }
  return "";
}

static void
log_probe (const struct ash_suspect_probe *probe, enum probe_result result)
{
  const struct ash_router *router = probe->suspects->router;
  const struct ash_direct_endpoint *endpoint =
      ash_direct_find_hash (&router->endpoints, probe->endpoint);

  ash_log_event (&router->log, ASH_EV_ENDPOINT_PROBED,
                 "endpoint=%s result=%s attempts=%u after_ms=%lld",
                 endpoint ? endpoint->facts.id : "-", probe_result_name (result), probe->attempts,
                 (long long) ash_time_diff (probe->started, ash_clock_now ()));
}

static void
finish_probe (struct ash_suspect_probe *probe, enum probe_result result)
{
  struct ash_suspects *suspects = probe->suspects;
  uint64_t endpoint = probe->endpoint;
  bool awaited = probe->awaited;

  log_probe (probe, result);
  free_probe (probe);
  if (result == PROBE_REFUSED)
    handle_endpoint_end (suspects, endpoint, ASH_QUARANTINE_CONNECT_REFUSED);
  if (awaited)
    suspects->handler->probed (suspects->router, endpoint);
}

static void
on_probe_data (struct ash_stream *stream, const uint8_t *bytes, size_t length)
{
  (void) bytes;
  (void) length;
  finish_probe (stream->owner, PROBE_ACCEPTED);
}

static void connect_probe (struct ash_suspect_probe *probe);

/* A connection that ended after it was established shows nothing yet: either the endpoint's process
 * has ended, or it keeps running and closed this connection. Another attempt tells which. */
static void
on_probe_end (struct ash_stream *stream, enum ash_stream_end end)
{
  struct ash_suspect_probe *probe = stream->owner;
  bool was_connected = probe->connected;

  probe->refused = end == ASH_STREAM_CONNECT_FAILED && stream->refused;
  ash_stream_finish (stream);
  probe->open = false;
  if (!probe->refused && probe->attempts < PROBE_ATTEMPTS_MAX)
    connect_probe (probe);
  if (probe->refused)
    finish_probe (probe, PROBE_REFUSED);
  else if (!probe->open)
    finish_probe (probe, was_connected ? PROBE_ACCEPTED : PROBE_NO_RESULT);
}

static void
on_probe_drained (struct ash_stream *stream)
{
  struct ash_suspect_probe *probe = stream->owner;

  probe->connected = true;
}

static const struct ash_stream_handler probe_handler = { on_probe_data, on_probe_end,
                                                         on_probe_drained };

static void
connect_probe (struct ash_suspect_probe *probe)
{
  probe->attempts++;
  probe->connected = false;
  probe->open = ash_stream_connect (&probe->stream, probe->suspects->router->loop, &probe->address,
                                    &probe_handler, probe);
  probe->refused = !probe->open && errno == ECONNREFUSED;
}

/* Lets the requests that wait for the result continue, and keeps the connection for some more
 * time. */
static void
keep_probe (struct ash_suspect_probe *probe)
{
  struct ash_suspects *suspects = probe->suspects;

  probe->awaited = false;
  ev_timer_set (&probe->timer, (PROBE_KEEP_MS - PROBE_WAIT_MS) / MS_PER_S, 0);
  ev_timer_start (suspects->router->loop, &probe->timer);
  suspects->handler->probed (suspects->router, probe->endpoint);
}

static void
on_probe_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_suspect_probe *probe = timer->data;

  (void) loop;
  (void) events;
  if (!probe->connected)
    finish_probe (probe, probe->refused ? PROBE_REFUSED : PROBE_NO_RESULT);
  else if (probe->awaited)
    keep_probe (probe);
  else
    finish_probe (probe, PROBE_ACCEPTED);
}

static void
start_probe (struct ash_suspects *suspects, uint64_t endpoint, const struct sockaddr_in *address)
{
  struct ash_suspect_probe *probe = calloc (1, sizeof *probe);
  struct ev_loop *loop = suspects->router->loop;

  if (!probe)
    return;
  probe->suspects = suspects;
  probe->endpoint = endpoint;
  probe->address = *address;
  probe->started = ash_clock_now ();
  probe->awaited = true;
  connect_probe (probe);
  ev_timer_init (&probe->timer, on_probe_timer, probe->open ? PROBE_WAIT_MS / MS_PER_S : 0, 0);
  probe->timer.data = probe;
  ev_timer_start (loop, &probe->timer);
  DL_APPEND (suspects->probes, probe);
}

void
ash_suspects_record_disconnect (struct ash_suspects *suspects,
                                const struct sockaddr_in *address,
                                const struct ash_quarantine_run *run)
{
  const struct ash_suspect_probe *probe;

  ash_quarantine_note_disconnect (&suspects->quarantine, run);
  DL_FOREACH (suspects->probes, probe)
    if (probe->endpoint == run->endpoint && probe->awaited)
      return;
  start_probe (suspects, run->endpoint, address);
}

/* ---- start and end ---- */

void
ash_suspects_open (struct ash_suspects *suspects,
                   struct ash_router *router,
                   const struct ash_suspects_handler *handler)
{
  suspects->router = router;
  suspects->handler = handler;
  ash_suspect_parts_open (&suspects->parts, router, handler->part_quarantined);
}

void
ash_suspects_close (struct ash_suspects *suspects)
{
  while (suspects->probes)
    free_probe (suspects->probes);
  ash_quarantine_finish (&suspects->quarantine);
  ash_suspect_parts_close (&suspects->parts);
}

void
ash_suspects_tick (struct ash_suspects *suspects, struct ash_time now)
{
  ash_quarantine_tick (&suspects->quarantine, now);
  ash_suspect_parts_tick (&suspects->parts, now);
}
