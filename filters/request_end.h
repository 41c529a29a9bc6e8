/**
 * @file
 * Ends requests: sends the final answer to the caller at once, or retries at another endpoint
 * where that is allowed. Part of the entry's core.
 */
#ifndef ASH_REQUEST_END_H
#define ASH_REQUEST_END_H

#include "filters/entry.h"

/** Frees a request. It must already be out of the entry's tables. */
void ash_request_free (struct ash_request *request);

/** Removes a request from the entry's tables and frees it. */
void ash_request_remove (struct ash_entry *entry, struct ash_request *request);

/** Logs how a request ended, updates the metrics and adds it to the history. */
void ash_request_record_end (struct ash_entry *entry,
                             struct ash_time now,
                             const struct ash_request *request,
                             int outcome);

/** Ends a request whose answer the caller has begun to receive: ends the stream.
 * @param whole whether the answer is complete. */
void ash_request_end_stream (struct ash_entry *entry,
                             struct ash_time now,
                             struct ash_request *request,
                             bool whole,
                             int reason);

/** Ends a request with an error. The caller gets an error answer, or a broken-off stream if the
 * answer has begun.
 * @param outcome an Ash__Outcome: whether the request ran, as far as is known.
 * @param retry_ms delay before the caller may retry; 0: the default, with jitter. */
void ash_request_fail (struct ash_entry *entry,
                       struct ash_time now,
                       struct ash_request *request,
                       int reason,
                       int outcome,
                       uint32_t retry_ms);

/**
 * @return the Ash__Outcome of a request that was sent nowhere, or was refused by every endpoint
 * it was sent to.
 */
int ash_request_unsent_outcome (const struct ash_request *request);

/** Retries the request at another endpoint if its state, deadline and the retry budget allow it;
 * otherwise ends it as ash_request_fail() does.
 * @param outcome what is known of the attempt that just ended. */
void ash_request_retry_or_fail (struct ash_entry *entry,
                                struct ash_time now,
                                struct ash_request *request,
                                int reason,
                                int outcome,
                                uint32_t retry_ms);

#endif
