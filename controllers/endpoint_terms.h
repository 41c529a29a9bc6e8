/**
 * @file
 * Usage terms that an endpoint sends with an answer: rate limit, back-off and shutdown notice.
 */
#ifndef ASH_ENDPOINT_TERMS_H
#define ASH_ENDPOINT_TERMS_H

#include <stdbool.h>
#include <stdint.h>

/** The usage terms that an endpoint sends with one answer. */
struct ash_endpoint_terms
{
  /** Rate limit over all routers, in thousandths of a request per second; 0: none given. */
  uint32_t limit_milli;
  /** The request was rejected: ms for which this router must send no requests; 0: not given. */
  uint32_t backoff_ms;
  bool leaving; /**< the endpoint is shutting down, even if the list does not show it */
};

#endif
