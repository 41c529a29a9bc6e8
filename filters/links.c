#include "filters/links.h"

#include "filters/attempt.h"
#include "filters/request_end.h"
#include "filters/route.h"

#include <string.h>

static void
check_request (struct ash_entry *entry, struct ash_time now, struct ash_request *request);

static bool
awaits_disowned (const struct ash_request *request, const char *peer)
{
  for (uint32_t i = 0; i < request->pending_home_count; i++)
    if (strcmp (request->pending_homes[i], peer) == 0)
      return true;
  return false;
}

void
ash_links_down (struct ash_entry *entry, struct ash_time now, const char *peer)
{
  struct ash_request *request;
  struct ash_request *next;

  ash_membership_link_down (&entry->membership, peer);
  HASH_ITER (hh, entry->by_call, request, next)
    {
      if (request->state == ASH_REQUEST_DISOWNING)
        {
          if (awaits_disowned (request, peer))
            ash_request_fail (entry, now, request, ASH__REASON__NOT_HOME,
                              ash_request_unsent_outcome (request), 0);
        }
      else if (request->state == ASH_REQUEST_SENT && strcmp (request->box, peer) == 0)
        {
          request->state = ASH_REQUEST_DISCONNECTED;
          request->disconnected_since = now;
        }
    }
}

/* Whether a request that waits at its endpoint may be retried at another one: none of its answer
 * has arrived, it may be repeated, and a preferred endpoint is available. As its present endpoint
 * may still run it, the retry is charged to the retry budget. */
static bool
may_retry_elsewhere (const struct ash_entry *entry, const struct ash_request *request)
{
  struct ash_request other = *request;

  return request->state == ASH_REQUEST_SENT && !request->head_sent && !request->received &&
         !request->no_repeat && request->tries < ASH_REQUEST_TRIES_MAX &&
         ash_retry_budget_affords (&entry->budget) &&
         ash_route_choose (&entry->context, request->submit->service, &other) &&
         ash_box_preferred (ash_membership_find (&entry->membership, other.box));
}

/* Retries requests that were sent at least stall_ms ago to a box that is stalled or sends nothing.
 */
static void
retry_requests_elsewhere (struct ash_entry *entry,
                          struct ash_time now,
                          const char *peer,
                          int reason)
{
  struct ash_request *request;
  struct ash_request *next;

  HASH_ITER (hh, entry->by_call, request, next)
    if (strcmp (request->box, peer) == 0 &&
        ash_time_diff (request->sent, now) >= entry->settings->stall_ms &&
        may_retry_elsewhere (entry, request))
      {
        ash_attempt_cancel (entry, request);
        ash_request_retry_or_fail (entry, now, request, reason, ASH__OUTCOME__UNKNOWN, 0);
      }
}

void
ash_links_heartbeat (struct ash_entry *entry,
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
  box->heartbeat_at = now;
  if (!heartbeat->stalled)
    return;
  box->ejected_until = ash_time_add (now, entry->settings->stall_hold_ms);
  retry_requests_elsewhere (entry, now, peer, ASH__REASON__STALLED);
}

void
ash_links_up (struct ash_entry *entry,
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
      if (request->state != ASH_REQUEST_DISCONNECTED || strcmp (request->box, peer) != 0)
        continue;
      if (!ash_time_before (now, request->deadline))
        check_request (entry, now, request);
      else if (request->incarnation == up->incarnation)
        {
          request->state = ASH_REQUEST_SENT;
          ash_attempt_resume (entry, now, request);
        }
      else
        /* The incarnation that received the request has ended. It may have run the request. */
        ash_request_retry_or_fail (entry, now, request, ASH__REASON__ENDPOINT_LOST,
                                   request->received ? ASH__OUTCOME__RAN : ASH__OUTCOME__UNKNOWN,
                                   0);
    }
}

/* ---- timers ---- */

/* Ends a request whose deadline has passed, or that is unanswered at the end of a planned stop. */
static void
fail_expired (struct ash_entry *entry, struct ash_time now, struct ash_request *request, int reason)
{
  int outcome = ASH__OUTCOME__UNKNOWN;

  if (request->state == ASH_REQUEST_DISOWNING)
    outcome = ash_request_unsent_outcome (request);
  else if (request->received || request->status)
    outcome = ASH__OUTCOME__RAN;
  ash_attempt_cancel (entry, request);
  ash_request_fail (entry, now, request, reason, outcome, 0);
}

static void
check_request (struct ash_entry *entry, struct ash_time now, struct ash_request *request)
{
  struct ash_time resume_until =
      ash_time_add (request->disconnected_since, entry->settings->resume_ms);

  if (!ash_time_before (now, request->deadline))
    fail_expired (entry, now, request, ASH__REASON__DEADLINE);
  else if (!ash_time_before (now, entry->stop.answer_deadline))
    fail_expired (entry, now, request, ASH__REASON__STOPPED);
  /* A request that must not be repeated waits for its endpoint until the deadline: the link may
   * return, and the answer can be resumed then. */
  else if (request->state == ASH_REQUEST_DISCONNECTED && !request->no_repeat &&
           !request->head_sent && !ash_time_before (now, resume_until))
    ash_request_retry_or_fail (entry, now, request, ASH__REASON__ENDPOINT_LOST,
                               ASH__OUTCOME__UNKNOWN, 0);
}

void
ash_links_tick (struct ash_entry *entry, struct ash_time now)
{
  struct ash_request *request;
  struct ash_request *next;

  ash_membership_tick (&entry->membership, now, &entry->config.document, entry->settings);
  for (const struct ash_box *box = entry->membership.boxes; box; box = box->hh.next)
    if (box->suspect && box->linked)
      retry_requests_elsewhere (entry, now, box->name, ASH__REASON__ENDPOINT_LOST);
  HASH_ITER (hh, entry->by_call, request, next)
    check_request (entry, now, request);
}
