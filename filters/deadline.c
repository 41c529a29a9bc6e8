/**
 * @file
 * Filter: sets the request's deadline, and refuses requests that a planned stop would cut short.
 */
#include "filters/filter.h"

/* With less time left an endpoint can't serve a request. */
#define MIN_RUN_MS 200

/* Whether a planned stop may end before the request does. Until stop->served_until, callers that
 * still have this entry's address are served normally: most requests take far less time than their
 * deadline allows, and an endpoint refuses a request that it can't finish in the time left. After
 * that, callers have had time to switch to another entry, and a request is accepted only if its
 * deadline lies before the end of the stop. */
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
