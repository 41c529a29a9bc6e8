/**
 * @file
 * Attempts: each sending of a request to an endpoint, bound to the request until
 * it goes elsewhere or ends. Part of the entry's core.
 */
#ifndef ASH_ATTEMPT_H
#define ASH_ATTEMPT_H

#include "filters/entry.h"

/** @return the request that the attempt is bound to, or NULL. */
struct ash_request *ash_attempt_find (const struct ash_entry *entry, uint64_t attempt);

/** From now on frames of the present attempt are not for this request. */
void ash_attempt_unbind (struct ash_entry *entry, struct ash_request *request);

/** Gives the request a new attempt at the box that is chosen. */
void ash_attempt_bind (struct ash_entry *entry, struct ash_request *request);

/** @return whether there is a link to the box. */
bool ash_entry_has_link (const struct ash_entry *entry, const char *name);

/** Tells the endpoint, if it can be told, that the answer is not wanted any more. */
void ash_attempt_cancel (struct ash_entry *entry, const struct ash_request *request);

/** Sends the request to the box that is chosen, as a new attempt. */
void ash_attempt_submit (struct ash_entry *entry, struct ash_time now, struct ash_request *request);

/** Asks for the answer again, from where it broke off. */
void ash_attempt_resume (struct ash_entry *entry,
                         struct ash_time now,
                         const struct ash_request *request);

#endif
