/**
 * @file
 * Outlier detection across routers: an endpoint that fails requests while its health check is good
 * would be found by each router for itself, at the cost of a few requests each. So routers tell
 * each other of the failures that they see. A router believes it if routers of two halls agree,
 * since one behind a broken link sees all endpoints fail, and if it has no recent answer of its
 * own. The endpoint is then left out for a while that differs by router: the first one to return
 * tries it with a single request and tells the result.
 */
#ifndef ASH_OUTLIER_H
#define ASH_OUTLIER_H

#include "common/clock.h"
#include "common/random.h"

#include <stdbool.h>
#include <stdint.h>

/** Halls whose routers must agree. */
#define ASH_OUTLIER_HALLS 2

/** What routers have told about an endpoint. All zero: nothing. */
struct ash_outlier
{
  struct
  {
    uint64_t hall; /**< hash of its name; 0: none */
    struct ash_time at;
  } reports[ASH_OUTLIER_HALLS]; /**< newest failure seen in each hall */
  struct ash_time out_until;    /**< the endpoint is left out until then */
  bool on_probation; /**< it was left out and has not answered since: it gets one request at a
                        time */
};

/** Records a failure that a router of a hall has seen. @return whether two halls agree now. */
bool ash_outlier_report (struct ash_outlier *outlier, uint64_t hall, struct ash_time now);

/**
 * Leaves the endpoint out.
 * @param routers number of routers that may try it again, each at another time.
 * @return for how many ms.
 */
int64_t ash_outlier_leave_out (struct ash_outlier *outlier,
                               struct ash_random *random,
                               uint32_t routers,
                               struct ash_time now);

/** The endpoint has answered a request of some router: discards all reports. */
void ash_outlier_clear (struct ash_outlier *outlier);

/** @return whether the endpoint gets no request now. @param in_flight requests of this router. */
bool
ash_outlier_is_out (const struct ash_outlier *outlier, uint32_t in_flight, struct ash_time now);

/** @return whether one more of a service's endpoints may be left out. The others must bear its
 * load.
 * @param part part of the endpoints that may be left out at once. */
bool ash_outlier_may_leave_out (uint32_t left_out, uint32_t endpoints, double part);

#endif
