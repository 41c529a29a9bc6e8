/**
 * @file
 * Declared events: planned periods of special load. Finds which events are active at a given time,
 * the capacity that they reserve, and the expert popularity profile to expect. Times are Unix
 * seconds, given by the caller.
 */
#ifndef ASH_DECLARED_H
#define ASH_DECLARED_H

#include "options/document.h"

/** State of an event at a time. */
enum ash_declared_state
{
  ASH_DECLARED_COMING, /**< before the lead time */
  ASH_DECLARED_LEAD,   /**< within the lead time before the start: treated as active */
  ASH_DECLARED_ON,
  ASH_DECLARED_OVER,
};

/** @return the state of the event at that time. */
enum ash_declared_state ash_declared_state (const struct ash_declared_event *event, int64_t unix_s);

/** @return the name of the state as shown to operators. */
const char *ash_declared_state_name (enum ash_declared_state state);

/** @return the first active reservation for the account's requests to the service, or NULL. */
const struct ash_reservation *ash_declared_reservation (const struct ash_document *document,
                                                        int64_t unix_s,
                                                        const char *account,
                                                        const char *service);

/** @return the group's profile in the first active event that has one, or NULL. */
const struct ash_profile *
ash_declared_profile (const struct ash_document *document, int64_t unix_s, const char *group);

#endif
