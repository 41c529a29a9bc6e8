/**
 * @file
 * Attempts. Each submission of a request to an endpoint is an attempt with a number of its own,
 * which maps the endpoint's messages to the request. A request has at most one attempt at a time.
 * Part of the entry's core.
 */
#ifndef ASH_ATTEMPT_H
#define ASH_ATTEMPT_H

#include "filters/entry.h"

/** @return the request whose current attempt has this number, or NULL. */
struct ash_request *ash_attempt_find (const struct ash_entry *entry, uint64_t attempt);

/** Removes the request's current attempt: messages that name it are ignored from now on. */
void ash_attempt_unbind (struct ash_entry *entry, struct ash_request *request);

/** Assigns the request a new attempt number and counts it as in flight at request->box. */
void ash_attempt_bind (struct ash_entry *entry, struct ash_request *request);

/** @return whether the peer link to the box is up. */
bool ash_entry_has_link (const struct ash_entry *entry, const char *name);

/** Sends the endpoint a cancel for the current attempt, if its link is up. */
void ash_attempt_cancel (struct ash_entry *entry, const struct ash_request *request);

/** Sends the request to request->box as a new attempt. */
void ash_attempt_submit (struct ash_entry *entry, struct ash_time now, struct ash_request *request);

/** Requests the rest of the answer, from the first byte that has not arrived. */
void ash_attempt_resume (struct ash_entry *entry,
                         struct ash_time now,
                         const struct ash_request *request);

#endif
