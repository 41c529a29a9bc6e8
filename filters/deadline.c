/**
 * @file
 * Filter: until when an answer is of use.
 */
#include "filters/filter.h"

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
  return ASH_VERDICT_NEXT;
}

const struct ash_filter_info ash_filter_deadline = {
  .name = "deadline",
  .request = request_deadline,
};
