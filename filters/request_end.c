#include "filters/request_end.h"

#include "filters/attempt.h"
#include "filters/route.h"

#include <stdlib.h>
#include <string.h>

void
ash_request_free (struct ash_request *request)
{
  if (request->submit)
    ash__submit__free_unpacked (request->submit, NULL);
  free (request->content_type);
  free (request->body);
  free (request);
}

void
ash_request_record_end (struct ash_entry *entry,
                        struct ash_time now,
                        const struct ash_request *request,
                        int outcome)
{
  char labels[ASH_METRICS_LABELS_BYTES];
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
  ash_request_history_add (&entry->request_history, now, request, outcome, took_ms);
  if (!entry->metrics)
    return;
  /* Label values are names from the configuration, never text from callers, so that callers can't
   * create any number of time series. */
  ash_metrics_labels (labels, sizeof labels, "class=\"%s\",service=\"%s\"", request->class_name,
                      *request->class_name && request->reason != ASH__REASON__NO_SERVICE ? service
                                                                                         : "");
  ash_metrics_observe (entry->metrics, "ash_request_duration_ms", labels, (uint64_t) took_ms);
  ash_metrics_observe (entry->metrics, "ash_endpoint_wait_ms", labels, request->wait_ms);
  ash_metrics_labels (labels + strlen (labels), sizeof labels - strlen (labels),
                      ",outcome=\"%s\",reason=\"%s\"", ash_entry_outcome_name (outcome),
                      ash_entry_reason_name (request->reason));
  ash_metrics_add (entry->metrics, "ash_requests_total", labels, 1);
}

void
ash_request_remove (struct ash_entry *entry, struct ash_request *request)
{
  ash_attempt_unbind (entry, request);
  HASH_DEL (entry->by_call, request);
  ash_request_free (request);
}

void
ash_request_end_stream (struct ash_entry *entry,
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
  ash_request_record_end (entry, now, request, ASH__OUTCOME__RAN);
  ash_request_remove (entry, request);
}

void
ash_request_fail (struct ash_entry *entry,
                  struct ash_time now,
                  struct ash_request *request,
                  int reason,
                  int outcome,
                  uint32_t retry_ms)
{
  struct Ash__Reply reply = ASH__REPLY__INIT;

  if (request->head_sent)
    {
      ash_request_end_stream (entry, now, request, false, reason);
      return;
    }
  request->reason = reason;
  request->retry_ms = retry_ms ? retry_ms : ash_filter_retry_ms (&entry->context);
  reply.call = request->call;
  reply.id_hi = request->id.hi;
  reply.id_lo = request->id.lo;
  reply.status = ash_entry_status (reason);
  reply.outcome = (Ash__Outcome) outcome;
  reply.reason = (Ash__Reason) reason;
  reply.retry_ms = request->retry_ms;
  reply.box = request->attempt ? request->box : ash_proto_text ("");
  reply.final = true;
  ash_emit (&entry->sink, "", ASH__EVENT__KIND_REPLY, &reply);
  ash_request_record_end (entry, now, request, outcome);
  ash_request_remove (entry, request);
}

/* With a caller's key the outcome is that of the request, not only of this submission: an earlier
 * submission with the same key may have run. */
int
ash_request_unsent_outcome (const struct ash_request *request)
{
  if (request->ran)
    return ASH__OUTCOME__RAN;
  if (request->may_have_run)
    return ASH__OUTCOME__UNKNOWN;
  if (request->keyed && request->caller_attempt != 1)
    return ASH__OUTCOME__UNKNOWN;
  return ASH__OUTCOME__NOT_RUN;
}

/* A retry after a failure is charged to the retry budget. A retry because of a planned stop, a lost
 * frame, or a stall before the request began is not a sign of a failing service and is free. */
void
ash_request_retry_or_fail (struct ash_entry *entry,
                           struct ash_time now,
                           struct ash_request *request,
                           int reason,
                           int outcome,
                           uint32_t retry_ms)
{
  bool is_free = reason == ASH__REASON__LEAVING || reason == ASH__REASON__STOPPED ||
                 reason == ASH__REASON__NOT_RECEIVED ||
                 (reason == ASH__REASON__STALLED && outcome == ASH__OUTCOME__NOT_RUN);
  char id[ASH_ID_TEXT_BYTES];

  if (outcome != ASH__OUTCOME__NOT_RUN)
    request->may_have_run = true;
  if (outcome == ASH__OUTCOME__RAN)
    request->ran = true;
  if (request->head_sent || request->home_only || (request->no_repeat && request->may_have_run) ||
      request->tries >= ASH_REQUEST_TRIES_MAX ||
      ash_time_diff (now, ash_planned_stop_cap (&entry->stop, request->deadline)) <=
          ASH_ENTRY_MARGIN_MS)
    {
      ash_request_fail (entry, now, request, reason, outcome, retry_ms);
      return;
    }
  ash_attempt_unbind (entry, request);
  if (!ash_route_choose (&entry->context, request->submit->service, request))
    {
      ash_request_fail (entry, now, request, reason, ash_request_unsent_outcome (request),
                        retry_ms);
      return;
    }
  if (!is_free && !ash_retry_budget_spend (&entry->budget))
    {
      ash_request_fail (entry, now, request, ASH__REASON__RETRY_BUDGET,
                        ash_request_unsent_outcome (request), retry_ms);
      return;
    }
  request->received = 0;
  request->status = 0;
  ash_id_format (request->id, id);
  ash_log_event (&entry->log, ASH_EV_REQUEST_RETRIED, "id=%s reason=%s endpoint=%s", id,
                 ash_entry_reason_name (reason), request->box);
  ash_attempt_submit (entry, now, request);
}
