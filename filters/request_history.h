/**
 * @file
 * The last requests of an entry and how they ended, for operators who ask why.
 */
#ifndef ASH_REQUEST_HISTORY_H
#define ASH_REQUEST_HISTORY_H

#include "filters/request.h"

/** How many are kept: about half a megabyte. */
#define ASH_REQUEST_HISTORY_MAX 2048

/** How a request ended. */
struct ash_ended_request
{
  struct ash_id id;
  struct ash_time ended;
  char account[ASH_NAME_BYTES];
  char class_name[ASH_NAME_BYTES];
  char service[ASH_NAME_BYTES];
  char box[ASH_NAME_BYTES]; /**< the last endpoint, or empty */
  uint32_t tries;
  int outcome;
  int reason;
  uint32_t retry_ms; /**< told to the caller; 0: nothing was */
  uint32_t wait_ms;
  int64_t took_ms;
};

/** A ring. */
struct ash_request_history
{
  struct ash_ended_request *requests;
  uint32_t next;
};

/** @return false without memory; nothing is kept then. */
bool ash_request_history_init (struct ash_request_history *past);
void ash_request_history_finish (struct ash_request_history *past);

/** Writes down a request that has just ended. */
void ash_request_history_add (struct ash_request_history *past,
                              struct ash_time now,
                              const struct ash_request *request,
                              int outcome,
                              int64_t took_ms);

/** @return the last that had this id, or NULL. */
const struct ash_ended_request *ash_request_history_find (const struct ash_request_history *past,
                                                          struct ash_id id);

#endif
