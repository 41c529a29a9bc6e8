/**
 * @file
 * How a request at an entry ends, or goes to another endpoint instead: its final
 * answer goes out at once. Part of the entry's core.
 */
#ifndef ASH_REQUEST_END_H
#define ASH_REQUEST_END_H

#include "filters/entry.h"

/** Frees a request that is in no table any more. */
void ash_request_free (struct ash_request *request);

/** Takes a request out of the entry and frees it. */
void ash_request_remove (struct ash_entry *entry, struct ash_request *request);

/** Logs, counts and writes down how a request ends. */
void ash_request_record_end (struct ash_entry *entry,
                             struct ash_time now,
                             const struct ash_request *request,
                             int outcome);

/** Ends a request whose answer the caller has begun to get. */
void ash_request_end_stream (struct ash_entry *entry,
                             struct ash_time now,
                             struct ash_request *request,
                             bool whole,
                             int reason);

/** Gives a request up: its final answer goes out at once. */
void ash_request_fail (struct ash_entry *entry,
                       struct ash_time now,
                       struct ash_request *request,
                       int reason,
                       int outcome,
                       uint32_t retry_ms);

/**
 * @return the outcome of a request that was sent nowhere, or was refused wherever it
 * was sent.
 */
int ash_request_unsent_outcome (const struct ash_request *request);

/** Sends the request to another endpoint if it may go there, else gives it up. */
void ash_request_retry_or_fail (struct ash_entry *entry,
                                struct ash_time now,
                                struct ash_request *request,
                                int reason,
                                int outcome,
                                uint32_t retry_ms);

#endif
