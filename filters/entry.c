#include "filters/entry.h"

#include "filters/attempt.h"
#include "filters/route.h"

#include <stdlib.h>
#include <string.h>

#define ANSWER_FIRST_BYTES 1024

/* ---- life of an entry ---- */

bool
ash_entry_init (struct ash_entry *entry,
                const struct ash_settings *settings,
                uint64_t seed,
                struct ash_sink sink)
{
  *entry = (struct ash_entry){ .settings = settings, .sink = sink };
  ash_random_init (&entry->random, seed);
  ash_config_init (&entry->config);
  ash_membership_init (&entry->membership);
  ash_retry_budget_init (&entry->budget);
  ash_hex_decode (settings->fleet_key, entry->fleet_key, sizeof entry->fleet_key);
  entry->context = (struct ash_filter_context){
    .settings = settings,
    .config = &entry->config,
    .membership = &entry->membership,
    .random = &entry->random,
    .fleet_key = entry->fleet_key,
    .turn = &entry->turn,
  };
  return ash_past_init (&entry->past) && ash_chain_init (&entry->chain);
}

static void
free_request (struct ash_request *request)
{
  if (request->submit)
    ash__submit__free_unpacked (request->submit, NULL);
  free (request->content_type);
  free (request->body);
  free (request);
}

void
ash_entry_finish (struct ash_entry *entry)
{
  struct ash_request *request;
  struct ash_request *next;

  HASH_CLEAR (hh_attempt, entry->by_attempt);
  HASH_ITER (hh, entry->by_call, request, next)
    {
      HASH_DEL (entry->by_call, request);
      free_request (request);
    }
  ash_chain_finish (&entry->chain);
  ash_past_finish (&entry->past);
  ash_membership_finish (&entry->membership);
  ash_config_finish (&entry->config);
}

bool
ash_entry_idle (const struct ash_entry *entry)
{
  return HASH_COUNT (entry->by_call) == 0;
}

bool
ash_entry_choose (struct ash_entry *entry, const char *service, struct ash_request *choice)
{
  return ash_route_choose (&entry->context, service, choice);
}

/* ---- the end of a request ---- */

static void
count_end (struct ash_entry *entry,
           struct ash_time now,
           const struct ash_request *request,
           int outcome)
{
  char labels[192];
  char id[ASH_ID_TEXT_BYTES];
  int64_t took_ms = request->arrived.ms ? ash_time_diff (request->arrived, now) : 0;
  const char *service = request->submit ? request->submit->service : "";

  ash_id_format (request->id, id);
  ash_log_event (&entry->log, ASH_EV_REQUEST_ENDED,
                 "id=%s account=\"%s\" service=\"%s\" endpoint=%s tries=%u outcome=%s reason=%s "
                 "wait_ms=%u took_ms=%lld",
                 id, request->account, service, request->box, request->tries,
                 ash_entry_outcome_name (outcome), ash_entry_reason_name (request->reason),
                 request->wait_ms, (long long) took_ms);
  ash_past_add (&entry->past, now, request, outcome, took_ms);
  if (!entry->metrics)
    return;
  /* Class and service come from the configuration, never from the caller. */
  snprintf (labels, sizeof labels, "class=\"%s\",service=\"%s\"", request->class_name,
            *request->class_name && request->reason != ASH__REASON__NO_SERVICE ? service : "");
  ash_metrics_observe (entry->metrics, "ash_request_duration_ms", labels, (uint64_t) took_ms);
  ash_metrics_observe (entry->metrics, "ash_endpoint_wait_ms", labels, request->wait_ms);
  snprintf (labels + strlen (labels), sizeof labels - strlen (labels),
            ",outcome=\"%s\",reason=\"%s\"", ash_entry_outcome_name (outcome),
            ash_entry_reason_name (request->reason));
  ash_metrics_add (entry->metrics, "ash_requests_total", labels, 1);
}

static void
forget (struct ash_entry *entry, struct ash_request *request)
{
  ash_attempt_unbind (entry, request);
  HASH_DEL (entry->by_call, request);
  free_request (request);
}

static void
end_told (struct ash_entry *entry,
          struct ash_time now,
          struct ash_request *request,
          bool whole,
          int reason)
{
  struct Ash__ReplyEnd end = ASH__REPLY_END__INIT;

  request->reason = reason;
  end.call = request->call;
  end.whole = whole;
  end.outcome = ASH__OUTCOME__RAN;
  end.reason = (Ash__Reason) reason;
  ash_emit (&entry->sink, "", ASH__EVENT__KIND_REPLY_END, &end);
  count_end (entry, now, request, ASH__OUTCOME__RAN);
  forget (entry, request);
}

/* Gives a request up: its final answer goes out at once. */
static void
give_up (struct ash_entry *entry,
         struct ash_time now,
         struct ash_request *request,
         int reason,
         int outcome,
         uint32_t retry_ms)
{
  struct Ash__Reply reply = ASH__REPLY__INIT;

  if (request->told)
    {
      end_told (entry, now, request, false, reason);
      return;
    }
  request->reason = reason;
  request->retry_ms = retry_ms ? retry_ms : ash_spread_retry_ms (&entry->context);
  reply.call = request->call;
  reply.id_hi = request->id.hi;
  reply.id_lo = request->id.lo;
  reply.status = ash_entry_status (reason);
  reply.outcome = (Ash__Outcome) outcome;
  reply.reason = (Ash__Reason) reason;
  reply.retry_ms = request->retry_ms;
  reply.box = request->attempt ? request->box : ash_text ("");
  reply.final = true;
  ash_emit (&entry->sink, "", ASH__EVENT__KIND_REPLY, &reply);
  count_end (entry, now, request, outcome);
  forget (entry, request);
}

/* What can be said of a request that was sent nowhere, or was refused wherever
 * it was sent. With a caller's key that is about the request, not only about
 * this submission: an earlier one may have run. */
static int
unsent_outcome (const struct ash_request *request)
{
  if (request->ran)
    return ASH__OUTCOME__RAN;
  if (request->maybe_run)
    return ASH__OUTCOME__UNKNOWN;
  if (request->keyed && request->caller_attempt != 1)
    return ASH__OUTCOME__UNKNOWN;
  return ASH__OUTCOME__NOT_RUN;
}

/* ---- sending ---- */

static void
send_disowns (struct ash_entry *entry, struct ash_time now, struct ash_request *request)
{
  struct Ash__Disown disown = ASH__DISOWN__INIT;

  for (uint32_t i = 0; i < request->asked_count; i++)
    if (!ash_entry_linked (entry, request->asked[i]))
      {
        give_up (entry, now, request, ASH__REASON__NOT_HOME, unsent_outcome (request), 0);
        return;
      }
  request->state = ASH_REQUEST_DISOWNING;
  ash_attempt_bind (entry, request);
  disown.id_hi = request->id.hi;
  disown.id_lo = request->id.lo;
  disown.attempt = request->attempt;
  for (uint32_t i = 0; i < request->asked_count; i++)
    {
      disown.incarnation = ash_membership_find (&entry->membership, request->asked[i])->incarnation;
      ash_emit (&entry->sink, request->asked[i], ASH__EVENT__KIND_DISOWN, &disown);
    }
}

/* Sends the request to another endpoint if it may go there, else gives it up.
 * A retry that follows a failure is paid from the budget; one that makes way
 * for a planned stop or a lost frame is not a failing service's. */
static void
try_elsewhere (struct ash_entry *entry,
               struct ash_time now,
               struct ash_request *request,
               int reason,
               int outcome,
               uint32_t retry_ms)
{
  bool is_free = reason == ASH__REASON__LEAVING || reason == ASH__REASON__NOT_RECEIVED ||
                 (reason == ASH__REASON__STALLED && outcome == ASH__OUTCOME__NOT_RUN);
  char id[ASH_ID_TEXT_BYTES];

  if (outcome != ASH__OUTCOME__NOT_RUN)
    request->maybe_run = true;
  if (outcome == ASH__OUTCOME__RAN)
    request->ran = true;
  if (request->told || request->bound || (request->no_repeat && request->maybe_run) ||
      request->tries >= ASH_REQUEST_TRIES_MAX ||
      ash_time_diff (now, request->deadline) <= ASH_ENTRY_MARGIN_MS)
    {
      give_up (entry, now, request, reason, outcome, retry_ms);
      return;
    }
  ash_attempt_unbind (entry, request);
  if (!ash_route_choose (&entry->context, request->submit->service, request))
    {
      give_up (entry, now, request, reason, unsent_outcome (request), retry_ms);
      return;
    }
  if (!is_free && !ash_retry_budget_spend (&entry->budget))
    {
      give_up (entry, now, request, ASH__REASON__RETRY_BUDGET, unsent_outcome (request), retry_ms);
      return;
    }
  request->received = 0;
  request->status = 0;
  ash_id_format (request->id, id);
  ash_log_event (&entry->log, ASH_EV_REQUEST_RETRIED, "id=%s reason=%s endpoint=%s", id,
                 ash_entry_reason_name (reason), request->box);
  ash_attempt_submit (entry, now, request);
}

/* ---- callers ---- */

static struct Ash__Submit *
new_submit (const struct Ash__Call *call)
{
  struct Ash__Submit *submit = malloc (sizeof *submit);

  if (!submit)
    return NULL;
  ash__submit__init (submit);
  submit->service = strdup (call->service);
  submit->method = strdup (call->method);
  submit->path = strdup (call->path);
  submit->content_type = strdup (call->content_type);
  submit->body.data = malloc (call->body.len ? call->body.len : 1);
  if (submit->body.data && call->body.len)
    {
      memcpy (submit->body.data, call->body.data, call->body.len);
      submit->body.len = call->body.len;
    }
  return submit;
}

/* Every call gets a final answer, also one that there is no room for. */
static void
refuse_without_memory (struct ash_entry *entry, uint64_t call)
{
  struct Ash__Reply reply = ASH__REPLY__INIT;

  reply.call = call;
  reply.reason = ASH__REASON__OVERLOAD;
  reply.status = ash_entry_status (ASH__REASON__OVERLOAD);
  reply.outcome = ASH__OUTCOME__UNKNOWN;
  reply.retry_ms = ash_spread_retry_ms (&entry->context);
  reply.final = true;
  ash_emit (&entry->sink, "", ASH__EVENT__KIND_REPLY, &reply);
}

static void
handle_call (struct ash_entry *entry, struct ash_time now, const struct Ash__Call *call)
{
  struct ash_request *request = calloc (1, sizeof *request);

  if (request)
    request->submit = new_submit (call);
  if (!request || !request->submit)
    {
      free (request);
      refuse_without_memory (entry, call->call);
      return;
    }
  request->call = call->call;
  HASH_ADD (hh, entry->by_call, call, sizeof request->call, request);
  if (ash_chain_request (&entry->chain, &entry->context, now, call, request) == ASH_VERDICT_REFUSE)
    give_up (entry, now, request, request->reason, unsent_outcome (request), request->retry_ms);
  else if (request->asked_count)
    send_disowns (entry, now, request);
  else
    ash_attempt_submit (entry, now, request);
}

static void
handle_caller_gone (struct ash_entry *entry, struct ash_time now, uint64_t call)
{
  struct ash_request *request;

  HASH_FIND (hh, entry->by_call, &call, sizeof call, request);
  if (!request)
    return;
  ash_attempt_cancel (entry, request);
  request->reason = ASH__REASON__CANCELLED;
  count_end (entry, now, request, ASH__OUTCOME__UNKNOWN);
  forget (entry, request);
}

/* ---- answers ---- */

static bool
is_from_bound (const struct ash_request *request,
               const char *peer,
               uint64_t incarnation,
               struct ash_id id)
{
  /* The attempt's number alone would do, were it not for an agent that still
   * sends to an earlier life of this entry, which counted from 1 as well. */
  return request && (request->state == ASH_REQUEST_SENT || request->state == ASH_REQUEST_CUT) &&
         request->incarnation == incarnation && ash_id_equal (request->id, id) &&
         strcmp (request->box, peer) == 0;
}

static void
handle_refused (struct ash_entry *entry,
                struct ash_time now,
                const char *peer,
                const struct Ash__Refused *refused)
{
  struct ash_request *request = ash_attempt_find (entry, refused->attempt);
  int outcome = (int) refused->outcome;
  struct ash_id id = { refused->id_hi, refused->id_lo };

  if (!request || request->state == ASH_REQUEST_DISOWNING || strcmp (request->box, peer) != 0 ||
      !ash_id_equal (request->id, id))
    return;
  /* Another life than the one addressed can't know. */
  if (request->incarnation != refused->incarnation)
    outcome = ASH__OUTCOME__UNKNOWN;
  if (request->received)
    outcome = ASH__OUTCOME__RAN;
  /* With a key, what this endpoint knows is the whole truth only if no other
   * may run it. */
  else if (outcome == ASH__OUTCOME__NOT_RUN && !request->bound)
    outcome = unsent_outcome (request);
  try_elsewhere (entry, now, request, (int) refused->reason, outcome, refused->retry_ms);
}

static void
handle_head (struct ash_entry *entry, const char *peer, const struct Ash__Head *head)
{
  struct ash_request *request = ash_attempt_find (entry, head->attempt);
  struct Ash__Reply reply = ASH__REPLY__INIT;

  if (!is_from_bound (request, peer, head->incarnation,
                      (struct ash_id){ head->id_hi, head->id_lo }) ||
      request->status)
    return;
  request->status = head->status;
  request->wait_ms = head->wait_ms;
  free (request->content_type);
  request->content_type = strdup (head->content_type);
  if (!request->stream)
    return;
  request->told = true;
  reply.call = request->call;
  reply.id_hi = request->id.hi;
  reply.id_lo = request->id.lo;
  reply.status = head->status;
  reply.outcome = ASH__OUTCOME__RAN;
  reply.content_type = request->content_type ? request->content_type : ash_text ("");
  reply.box = request->box;
  reply.wait_ms = request->wait_ms;
  ash_emit (&entry->sink, "", ASH__EVENT__KIND_REPLY, &reply);
}

/* Keeps bytes of an answer that is not streamed. @return false: too large. */
static bool
keep_body (struct ash_entry *entry,
           struct ash_request *request,
           const uint8_t *bytes,
           size_t length)
{
  size_t capacity = request->body_capacity ? request->body_capacity : ANSWER_FIRST_BYTES;
  uint8_t *grown;

  if (request->received + length > entry->settings->answer_max_bytes)
    return false;
  while (capacity < request->received + length)
    capacity *= 2;
  if (capacity != request->body_capacity)
    {
      grown = realloc (request->body, capacity);
      if (!grown)
        return false;
      request->body = grown;
      request->body_capacity = capacity;
    }
  memcpy (request->body + request->received, bytes, length);
  return true;
}

static void
handle_data (struct ash_entry *entry,
             struct ash_time now,
             const char *peer,
             const struct Ash__Data *data)
{
  struct ash_request *request = ash_attempt_find (entry, data->attempt);
  struct Ash__ReplyData reply = ASH__REPLY_DATA__INIT;
  uint64_t skip;

  if (!is_from_bound (request, peer, data->incarnation,
                      (struct ash_id){ data->id_hi, data->id_lo }) ||
      !request->status)
    return;
  if (data->offset > request->received)
    {
      /* A hole: ask again from where it begins; this piece comes again. */
      ash_attempt_resume (entry, now, request);
      return;
    }
  skip = request->received - data->offset;
  if (skip >= data->bytes.len)
    return;
  reply.call = request->call;
  reply.bytes.data = data->bytes.data + skip;
  reply.bytes.len = data->bytes.len - skip;
  if (request->stream)
    ash_emit (&entry->sink, "", ASH__EVENT__KIND_REPLY_DATA, &reply);
  else if (!keep_body (entry, request, reply.bytes.data, reply.bytes.len))
    {
      ash_attempt_cancel (entry, request);
      give_up (entry, now, request, ASH__REASON__ANSWER_TOO_LARGE, ASH__OUTCOME__RAN, 0);
      return;
    }
  request->received += reply.bytes.len;
}

static void
answer_whole (struct ash_entry *entry, struct ash_time now, struct ash_request *request)
{
  struct Ash__Reply reply = ASH__REPLY__INIT;

  ash_retry_budget_earn (&entry->budget);
  if (request->told)
    {
      end_told (entry, now, request, true, ASH__REASON__REASON_NONE);
      return;
    }
  reply.call = request->call;
  reply.id_hi = request->id.hi;
  reply.id_lo = request->id.lo;
  reply.status = request->status;
  reply.outcome = ASH__OUTCOME__RAN;
  reply.content_type = request->content_type ? request->content_type : ash_text ("");
  reply.box = request->box;
  reply.wait_ms = request->wait_ms;
  reply.body.data = request->body;
  reply.body.len = request->received;
  reply.final = true;
  ash_emit (&entry->sink, "", ASH__EVENT__KIND_REPLY, &reply);
  count_end (entry, now, request, ASH__OUTCOME__RAN);
  forget (entry, request);
}

static void
handle_end (struct ash_entry *entry,
            struct ash_time now,
            const char *peer,
            const struct Ash__End *end)
{
  struct ash_request *request = ash_attempt_find (entry, end->attempt);

  if (!is_from_bound (request, peer, end->incarnation, (struct ash_id){ end->id_hi, end->id_lo }))
    return;
  if (!end->whole)
    {
      /* With a head it ran, at least in part. Without one the engine may never
       * have begun; only what may be repeated goes elsewhere then, too. */
      try_elsewhere (entry, now, request, (int) end->reason,
                     request->status || end->reason == ASH__REASON__ANSWER_GONE
                         ? ASH__OUTCOME__RAN
                         : ASH__OUTCOME__UNKNOWN,
                     0);
    }
  else if (request->status && end->length == request->received)
    answer_whole (entry, now, request);
  else
    ash_attempt_resume (entry, now, request);
}

static void
handle_disowned (struct ash_entry *entry,
                 struct ash_time now,
                 const char *peer,
                 const struct Ash__Disowned *disowned)
{
  struct ash_request *request = ash_attempt_find (entry, disowned->attempt);
  uint32_t i = 0;

  if (!request || request->state != ASH_REQUEST_DISOWNING ||
      !ash_id_equal (request->id, (struct ash_id){ disowned->id_hi, disowned->id_lo }))
    return;
  while (i < request->asked_count && strcmp (request->asked[i], peer) != 0)
    i++;
  if (i == request->asked_count)
    return;
  if (disowned->has_it)
    {
      ash_attempt_unbind (entry, request);
      strcpy (request->box, peer);
      request->incarnation = disowned->incarnation;
      request->moved = true;
      ash_attempt_submit (entry, now, request);
      return;
    }
  if (disowned->guarded || (disowned->unsure && request->caller_attempt != 1))
    {
      give_up (entry, now, request, ASH__REASON__NOT_HOME, unsent_outcome (request), 0);
      return;
    }
  /* An attempt that the earlier home has refused must not run at the new one. */
  if (disowned->refused_upto &&
      (!request->caller_attempt || request->caller_attempt <= disowned->refused_upto))
    {
      give_up (entry, now, request, ASH__REASON__REFUSED_BEFORE, unsent_outcome (request), 0);
      return;
    }
  request->asked_count--;
  memmove (request->asked[i], request->asked[request->asked_count], ASH_NAME_BYTES);
  if (request->asked_count)
    return;
  ash_attempt_unbind (entry, request);
  if (ash_entry_linked (entry, request->box))
    ash_attempt_submit (entry, now, request);
  else
    give_up (entry, now, request, ASH__REASON__NO_ENDPOINT, unsent_outcome (request), 0);
}

/* ---- links ---- */

static void
check_request (struct ash_entry *entry, struct ash_time now, struct ash_request *request);

static bool
waits_for (const struct ash_request *request, const char *peer)
{
  for (uint32_t i = 0; i < request->asked_count; i++)
    if (strcmp (request->asked[i], peer) == 0)
      return true;
  return false;
}

static void
handle_link_down (struct ash_entry *entry, struct ash_time now, const char *peer)
{
  struct ash_request *request;
  struct ash_request *next;

  ash_membership_link_down (&entry->membership, peer);
  HASH_ITER (hh, entry->by_call, request, next)
    {
      if (request->state == ASH_REQUEST_DISOWNING)
        {
          if (waits_for (request, peer))
            give_up (entry, now, request, ASH__REASON__NOT_HOME, unsent_outcome (request), 0);
        }
      else if (request->state == ASH_REQUEST_SENT && strcmp (request->box, peer) == 0)
        {
          request->state = ASH_REQUEST_CUT;
          request->cut_since = now;
        }
    }
}

/* Whether a request that waits there may as well go elsewhere: nothing of its answer
 * has come, it may be repeated, and there is a better place that takes it. It may
 * run where it is in the end, so going elsewhere is paid from the budget. */
static bool
may_leave (const struct ash_entry *entry, const struct ash_request *request)
{
  struct ash_request other = *request;

  return request->state == ASH_REQUEST_SENT && !request->told && !request->received &&
         !request->no_repeat && request->tries < ASH_REQUEST_TRIES_MAX &&
         ash_retry_budget_affords (&entry->budget) &&
         ash_route_choose (&entry->context, request->submit->service, &other) &&
         ash_box_preferred (ash_membership_find (&entry->membership, other.box));
}

/* Its engine stands still, or nothing is heard of it. */
static void
leave_box (struct ash_entry *entry, struct ash_time now, const char *peer, int reason)
{
  struct ash_request *request;
  struct ash_request *next;

  HASH_ITER (hh, entry->by_call, request, next)
    if (strcmp (request->box, peer) == 0 &&
        ash_time_diff (request->sent, now) >= entry->settings->stall_ms &&
        may_leave (entry, request))
      {
        ash_attempt_cancel (entry, request);
        try_elsewhere (entry, now, request, reason, ASH__OUTCOME__UNKNOWN, 0);
      }
}

static void
handle_heartbeat (struct ash_entry *entry,
                  struct ash_time now,
                  const char *peer,
                  const struct Ash__Heartbeat *heartbeat)
{
  struct ash_box *box;

  if (ash_membership_heartbeat (&entry->membership, peer, heartbeat))
    ash_log_event (&entry->log, ASH_EV_BOX_LEAVING, "source=%s", peer);
  box = ash_membership_find (&entry->membership, peer);
  if (!box)
    return;
  box->heard = now;
  if (!heartbeat->stalled)
    return;
  box->passed_until = ash_time_add (now, entry->settings->stall_hold_ms);
  leave_box (entry, now, peer, ASH__REASON__STALLED);
}

static void
handle_link_up (struct ash_entry *entry,
                struct ash_time now,
                const char *peer,
                const struct Ash__LinkUp *up)
{
  struct ash_request *request;
  struct ash_request *next;

  if (ash_membership_link_up (&entry->membership, now, peer, (int) up->role, up->incarnation,
                              up->revision))
    ash_log_event (&entry->log, ASH_EV_NEW_INCARNATION, "box=%s incarnation=%016llx", peer,
                   (unsigned long long) up->incarnation);
  HASH_ITER (hh, entry->by_call, request, next)
    {
      if (request->state != ASH_REQUEST_CUT || strcmp (request->box, peer) != 0)
        continue;
      if (!ash_time_before (now, request->deadline))
        check_request (entry, now, request);
      else if (request->incarnation == up->incarnation)
        {
          request->state = ASH_REQUEST_SENT;
          ash_attempt_resume (entry, now, request);
        }
      else
        /* That life is gone, and what it did with it can't be known any more. */
        try_elsewhere (entry, now, request, ASH__REASON__ENDPOINT_LOST,
                       request->received ? ASH__OUTCOME__RAN : ASH__OUTCOME__UNKNOWN, 0);
    }
}

/* ---- time ---- */

static void
check_request (struct ash_entry *entry, struct ash_time now, struct ash_request *request)
{
  struct ash_time cut_until = ash_time_add (request->cut_since, entry->settings->resume_ms);

  if (!ash_time_before (now, request->deadline))
    {
      int outcome = ASH__OUTCOME__UNKNOWN;

      if (request->state == ASH_REQUEST_DISOWNING)
        outcome = unsent_outcome (request);
      else if (request->received || request->status)
        outcome = ASH__OUTCOME__RAN;
      ash_attempt_cancel (entry, request);
      give_up (entry, now, request, ASH__REASON__DEADLINE, outcome, 0);
    }
  /* What may not be repeated stays with its endpoint until the deadline: the
   * link may come back, and with it the answer. */
  else if (request->state == ASH_REQUEST_CUT && !request->no_repeat && !request->told &&
           !ash_time_before (now, cut_until))
    try_elsewhere (entry, now, request, ASH__REASON__ENDPOINT_LOST, ASH__OUTCOME__UNKNOWN, 0);
}

static void
handle_tick (struct ash_entry *entry, struct ash_time now)
{
  struct ash_request *request;
  struct ash_request *next;

  ash_membership_tick (&entry->membership, now, entry->settings->suspect_ms);
  for (const struct ash_box *box = entry->membership.boxes; box; box = box->hh.next)
    if (box->suspect && box->linked)
      leave_box (entry, now, box->name, ASH__REASON__ENDPOINT_LOST);
  HASH_ITER (hh, entry->by_call, request, next)
    check_request (entry, now, request);
}

void
ash_entry_handle (struct ash_entry *entry, struct ash_time now, const struct Ash__Event *event)
{
  const char *peer = event->peer;

  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_CALL:
      handle_call (entry, now, event->call);
      break;
    case ASH__EVENT__KIND_CALLER_GONE:
      handle_caller_gone (entry, now, event->caller_gone->call);
      break;
    case ASH__EVENT__KIND_REFUSED:
      handle_refused (entry, now, peer, event->refused);
      break;
    case ASH__EVENT__KIND_HEAD:
      handle_head (entry, peer, event->head);
      break;
    case ASH__EVENT__KIND_DATA:
      handle_data (entry, now, peer, event->data);
      break;
    case ASH__EVENT__KIND_END:
      handle_end (entry, now, peer, event->end);
      break;
    case ASH__EVENT__KIND_DISOWNED:
      handle_disowned (entry, now, peer, event->disowned);
      break;
    case ASH__EVENT__KIND_HEARTBEAT:
      handle_heartbeat (entry, now, peer, event->heartbeat);
      break;
    case ASH__EVENT__KIND_LINK_UP:
      handle_link_up (entry, now, peer, event->link_up);
      break;
    case ASH__EVENT__KIND_LINK_DOWN:
      handle_link_down (entry, now, peer);
      break;
    case ASH__EVENT__KIND_TICK:
      handle_tick (entry, now);
      break;
    case ASH__EVENT__KIND_STOP:
    case ASH__EVENT__KIND_DRAIN:
      entry->leaving = true;
      break;
    default:
      /* Everything else is for agents, or the daemon's own. */
      break;
    }
}
