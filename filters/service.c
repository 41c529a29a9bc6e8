/**
 * @file
 * Filter: checks that the service exists, and sets whether the request may be repeated.
 */
#include "filters/filter.h"

static enum ash_verdict
request_service (struct priv *priv,
                 const struct ash_filter_context *context,
                 struct ash_time now,
                 const struct Ash__Call *call,
                 struct ash_request *request)
{
  const struct ash_service *service =
      ash_document_service (&context->config->document, call->service);

  (void) priv;
  (void) now;
  if (!service)
    return ash_filter_refuse (request, ASH__REASON__NO_SERVICE, ash_filter_retry_ms (context));
  request->no_repeat = call->no_repeat || service->no_repeat;
  request->stream = call->stream;
  return ASH_VERDICT_NEXT;
}

const struct ash_filter_info ash_filter_service = {
  .name = "service",
  .request = request_service,
};
