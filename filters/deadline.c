/**
 * @file
 * Filter: until when an answer is of use, and whether this entry may be there for it.
 */
#include "filters/filter.h"

/* Less time than this is of no use at an endpoint. */
#define MIN_RUN_MS 200

/* Whether a planned stop may be over before the request is. Callers that keep the address are
 * served as ever at first: most requests take far less than their deadline, and an endpoint
 * refuses what it does not expect to end in the time left. Whoever comes later has had time
 * to go elsewhere, and nothing is taken that need not end in time. */
static bool
may_outlast (const struct ash_planned_stop *stop, struct ash_time now, struct ash_time deadline)
{
  if (!ash_time_before (stop->answer_deadline, deadline))
    return false;
  return !ash_time_before (now, stop->served_until) ||
         ash_time_diff (now, stop->answer_deadline) < MIN_RUN_MS;
}

static enum ash_verdict
request_deadline (struct priv *priv,
                  const struct ash_filter_context *context,
                  struct ash_time now,
                  const struct Ash__Call *call,
                  struct ash_request *request)
{
  uint32_t wait_ms = call->deadline_ms ? call->deadline_ms : context->settings->deadline_default_ms;

  (void) priv;
  if (wait_ms > context->settings->deadline_max_ms)
    wait_ms = context->settings->deadline_max_ms;
  request->arrived = now;
  request->deadline = ash_time_add (now, wait_ms);
  if (may_outlast (context->stop, now, request->deadline))
    return ash_filter_refuse (request, ASH__REASON__LEAVING, ash_filter_retry_ms (context));
  return ASH_VERDICT_NEXT;
}

const struct ash_filter_info ash_filter_deadline = {
  .name = "deadline",
  .request = request_deadline,
};
