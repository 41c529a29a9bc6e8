/**
 * @file
 * The choice of an endpoint.
 */
#ifndef ASH_ROUTE_H
#define ASH_ROUTE_H

#include "filters/filter.h"

/**
 * Chooses an endpoint of the request's service that was not tried yet: the
 * less loaded of two random ones, by own requests in flight there plus what it
 * last reported.
 * @return false if there is none; else request->box and incarnation are set.
 */
bool ash_route_choose (const struct ash_filter_context *context,
                       const char *service,
                       struct ash_request *request);

#endif
