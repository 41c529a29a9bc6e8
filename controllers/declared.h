/**
 * @file
 * Declared events at a time: which are on, what they reserve, and which expert
 * popularity they let expect. Times are Unix seconds, given by the caller.
 */
#ifndef ASH_DECLARED_H
#define ASH_DECLARED_H

#include "options/document.h"

/** Where an event stands. */
enum ash_declared_state
{
  ASH_DECLARED_COMING,
  ASH_DECLARED_LEAD, /**< not begun, but counts as on */
  ASH_DECLARED_ON,
  ASH_DECLARED_OVER,
};

/** @return where the event stands at that time. */
enum ash_declared_state ash_declared_state (const struct ash_declared_event *event, int64_t unix_s);

/** @return the state's name, as operators see it. */
const char *ash_declared_state_name (enum ash_declared_state state);

/** @return the reservation that is on for the account's requests to the service, or NULL. */
const struct ash_reservation *ash_declared_reservation (const struct ash_document *document,
                                                        int64_t unix_s,
                                                        const char *account,
                                                        const char *service);

/** @return the profile of the group in the event that is on, or NULL. */
const struct ash_profile *
ash_declared_profile (const struct ash_document *document, int64_t unix_s, const char *group);

#endif
