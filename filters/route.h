/**
 * @file
 * Endpoint selection.
 */
#ifndef ASH_ROUTE_H
#define ASH_ROUTE_H

#include "filters/filter.h"

/**
 * Chooses an endpoint of the service that the request was not sent to yet, by the policy of the
 * setting `route`. The default is the less loaded of two random ones, or the endpoint that likely
 * has the request's prefix cached. Endpoints that are stalled or suspect are chosen only if there
 * is no other.
 * @return false if there is none; else request->box and request->incarnation are set.
 */
bool ash_route_choose (const struct ash_filter_context *context,
                       const char *service,
                       struct ash_request *request);

#endif
