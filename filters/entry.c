#include "filters/entry.h"

#include "filters/answer.h"
#include "filters/attempt.h"
#include "filters/request_end.h"
#include "filters/links.h"
#include "filters/route.h"

#include <stdlib.h>
#include <string.h>

/* ---- setup ---- */

bool
ash_entry_init (struct ash_entry *entry,
                const struct ash_settings *settings,
                uint64_t seed,
                struct ash_sink sink)
{
  *entry = (struct ash_entry){ .settings = settings, .sink = sink, .stop = ASH_PLANNED_STOP_NONE };
  ash_random_init (&entry->random, seed);
  ash_config_init (&entry->config);
  ash_membership_init (&entry->membership);
  ash_retry_budget_init (&entry->budget);
  ash_hex_decode (settings->fleet_key, entry->fleet_key, sizeof entry->fleet_key);
  entry->context = (struct ash_filter_context){
    .settings = settings,
    .config = &entry->config,
    .membership = &entry->membership,
    .stop = &entry->stop,
    .random = &entry->random,
    .fleet_key = entry->fleet_key,
    .round_robin_counter = &entry->round_robin_counter,
  };
  return ash_request_history_init (&entry->request_history) && ash_chain_init (&entry->chain);
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
      ash_request_free (request);
    }
  ash_chain_finish (&entry->chain);
  ash_request_history_finish (&entry->request_history);
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

/* ---- callers ---- */

static void
send_disowns (struct ash_entry *entry, struct ash_time now, struct ash_request *request)
{
  struct Ash__Disown disown = ASH__DISOWN__INIT;

  for (uint32_t i = 0; i < request->pending_home_count; i++)
    if (!ash_entry_has_link (entry, request->pending_homes[i]))
      {
        ash_request_fail (entry, now, request, ASH__REASON__NOT_HOME,
                          ash_request_unsent_outcome (request), 0);
        return;
      }
  request->state = ASH_REQUEST_DISOWNING;
  ash_attempt_bind (entry, request);
  disown.id_hi = request->id.hi;
  disown.id_lo = request->id.lo;
  disown.attempt = request->attempt;
  for (uint32_t i = 0; i < request->pending_home_count; i++)
    {
      disown.incarnation =
          ash_membership_find (&entry->membership, request->pending_homes[i])->incarnation;
      ash_emit (&entry->sink, request->pending_homes[i], ASH__EVENT__KIND_DISOWN, &disown);
    }
}

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

/* Every call gets a final answer, even if there is no memory for its request. */
static void
refuse_without_memory (struct ash_entry *entry, uint64_t call)
{
  struct Ash__Reply reply = ASH__REPLY__INIT;

  reply.call = call;
  reply.reason = ASH__REASON__OVERLOAD;
  reply.status = ash_entry_status (ASH__REASON__OVERLOAD);
  reply.outcome = ASH__OUTCOME__UNKNOWN;
  reply.retry_ms = ash_filter_retry_ms (&entry->context);
  reply.final = true;
  ash_emit (&entry->sink, "", ASH__EVENT__KIND_REPLY, &reply);
}

/* Has to run before the filters: if one refuses the request, the outcome in the refusal depends on
 * these fields. */
static void
read_caller_attempt (struct ash_request *request, const struct Ash__Call *call)
{
  request->keyed = *call->idempotency_key != '\0';
  /* A call that was read just after the process was suspended may have waited in the socket all
   * that time. The caller may have submitted the request elsewhere meanwhile, so the attempt number
   * of this call is unreliable. */
  if (request->keyed && !call->may_be_old)
    request->caller_attempt = call->caller_attempt;
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
  read_caller_attempt (request, call);
  HASH_ADD (hh, entry->by_call, call, sizeof request->call, request);
  if (ash_chain_request (&entry->chain, &entry->context, now, call, request) == ASH_VERDICT_REFUSE)
    ash_request_fail (entry, now, request, request->reason, ash_request_unsent_outcome (request),
                      request->retry_ms);
  else if (request->pending_home_count)
    send_disowns (entry, now, request);
  else
    ash_attempt_submit (entry, now, request);
}

static void
handle_caller_disconnected (struct ash_entry *entry, struct ash_time now, uint64_t call)
{
  struct ash_request *request;

  HASH_FIND (hh, entry->by_call, &call, sizeof call, request);
  if (!request)
    return;
  ash_attempt_cancel (entry, request);
  request->reason = ASH__REASON__CANCELLED;
  ash_request_record_end (entry, now, request, ASH__OUTCOME__UNKNOWN);
  ash_request_remove (entry, request);
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
      handle_caller_disconnected (entry, now, event->caller_gone->call);
      break;
    case ASH__EVENT__KIND_REFUSED:
      ash_answer_refused (entry, now, peer, event->refused);
      break;
    case ASH__EVENT__KIND_HEAD:
      ash_answer_head (entry, peer, event->head);
      break;
    case ASH__EVENT__KIND_DATA:
      ash_answer_data (entry, now, peer, event->data);
      break;
    case ASH__EVENT__KIND_END:
      ash_answer_end (entry, now, peer, event->end);
      break;
    case ASH__EVENT__KIND_DISOWNED:
      ash_answer_disowned (entry, now, peer, event->disowned);
      break;
    case ASH__EVENT__KIND_HEARTBEAT:
      ash_links_heartbeat (entry, now, peer, event->heartbeat);
      break;
    case ASH__EVENT__KIND_LINK_UP:
      ash_links_up (entry, now, peer, event->link_up);
      break;
    case ASH__EVENT__KIND_LINK_DOWN:
      ash_links_down (entry, now, peer);
      break;
    case ASH__EVENT__KIND_TICK:
      ash_links_tick (entry, now);
      break;
    case ASH__EVENT__KIND_STOP:
      ash_planned_stop_begin (&entry->stop, entry->settings, now);
      entry->leaving = true;
      break;
    case ASH__EVENT__KIND_DRAIN:
      entry->leaving = true;
      break;
    default:
      /* The other messages are for agents or are handled by the daemon. */
      break;
    }
}
