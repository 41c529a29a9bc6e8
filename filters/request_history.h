/**
 * @file
 * A ring buffer of the requests that an entry ended last, for operators who query why a request
 * failed.
 */
#ifndef ASH_REQUEST_HISTORY_H
#define ASH_REQUEST_HISTORY_H

#include "filters/request.h"

/** Number of requests kept; they take about half a megabyte. */
#define ASH_REQUEST_HISTORY_MAX 2048

/** A request that has ended. */
struct ash_ended_request
{
  struct ash_id id;
  struct ash_time ended;
  char account[ASH_NAME_BYTES];
  char class_name[ASH_NAME_BYTES];
  char service[ASH_NAME_BYTES];
  char box[ASH_NAME_BYTES]; /**< the last endpoint that the request was sent to; empty if none */
  uint32_t tries;           /**< number of attempts sent */
  int outcome;              /**< enum Ash__Outcome */
  int reason;               /**< enum Ash__Reason */
  uint32_t retry_ms;        /**< retry delay sent to the caller; 0: none */
  uint32_t wait_ms;         /**< how long the request was queued at the endpoint */
  int64_t took_ms;          /**< time from the arrival of the request at the entry to its end */
};

/** A ring buffer of ended requests. */
struct ash_request_history
{
  struct ash_ended_request *requests;
  uint32_t next; /**< number of requests added so far; the next one goes to slot next %
                    ASH_REQUEST_HISTORY_MAX */
};

/** @return false if out of memory; the history stays empty then. */
bool ash_request_history_init (struct ash_request_history *ring);
void ash_request_history_finish (struct ash_request_history *ring);

/** Adds a request that has just ended, in place of the oldest one.
 * @param took_ms from its arrival at the entry to its end. */
void ash_request_history_add (struct ash_request_history *ring,
                              struct ash_time now,
                              const struct ash_request *request,
                              int outcome,
                              int64_t took_ms);

/** @return the newest request with this id, or NULL. */
const struct ash_ended_request *ash_request_history_find (const struct ash_request_history *ring,
                                                          struct ash_id id);

#endif
