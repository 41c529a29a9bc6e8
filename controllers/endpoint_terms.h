/**
 * @file
 * What an endpoint says in an answer about how it wants to be used from then on.
 */
#ifndef ASH_ENDPOINT_TERMS_H
#define ASH_ENDPOINT_TERMS_H

#include <stdbool.h>
#include <stdint.h>

/** Of one answer. */
struct ash_endpoint_terms
{
  /** Requests a second that it takes from all routers together, in thousandths; 0: it names none.
   */
  uint32_t limit_milli;
  /** Turned away: it wants nothing from this router for so long; 0: it does not say. */
  uint32_t rest_ms;
  bool leaving; /**< it will end, whatever the list says of it */
};

#endif
