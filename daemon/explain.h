/**
 * @file
 * Operators' queries about requests and groups: an entry queries the boxes that may have records
 * and combines their answers. Also drains a box on request.
 */
#ifndef ASH_EXPLAIN_H
#define ASH_EXPLAIN_H

#include "daemon/api.h"

/** Maximum number of pending queries. */
#define ASH_EXPLAIN_PENDING_MAX 16

/** A query that some boxes have not answered yet. */
struct ash_explain_pending
{
  uint64_t number;         /**< id of the query in messages; 0: this slot is free */
  uint64_t request;        /**< number of the operator's HTTP request */
  struct ash_time until;   /**< when the operator gets the answers so far */
  struct Ash__Query query; /**< a copy, freed with its name */
  json_t *unanswered;      /**< names of boxes that have not answered */
  json_t *answers;         /**< answers by box name */
};

/** Pending queries of an entry. */
struct ash_explain
{
  struct ash_api *api;
  uint64_t last_number;
  struct ash_explain_pending pending[ASH_EXPLAIN_PENDING_MAX];
};

void ash_explain_init (struct ash_explain *explain, struct ash_api *api);
void ash_explain_finish (struct ash_explain *explain);

/** Handles GET /v1/explain/group/NAME and /v1/explain/request/ID. */
void ash_explain_handle_request (struct ash_explain *explain,
                                 const struct ash_http_request *request);

/** Handles a box's answer to a query. */
void ash_explain_handle_answer (struct ash_explain *explain,
                                const char *box,
                                const struct Ash__QueryAnswer *answer);

/** A link to a box is up: sends it the queries that it has not answered. They, or their answers,
 * may have been lost with a former link. */
void ash_explain_link_up (struct ash_explain *explain, const char *box);

/** Drops the queries of an operator that disconnected.
 * @param request number of the operator's HTTP request. */
void ash_explain_disconnected (struct ash_explain *explain, uint64_t request);

/** Runs the timers: answers queries whose time is over with the answers so far. */
void ash_explain_tick (struct ash_explain *explain);

/** Handles POST /v1/drain?box=NAME: the box accepts no new requests until it restarts. */
void ash_explain_drain (struct ash_explain *explain, const struct ash_http_request *request);

/** @return a new JSON object with this entry's own record of a request, or NULL if it has none. */
json_t *ash_explain_request (const struct ash_entry *entry, const struct Ash__Query *query);

#endif
