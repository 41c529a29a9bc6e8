/**
 * @file
 * Answers operators who ask why: an entry asks the boxes that may know, and puts
 * their answers together. Drains a box.
 */
#ifndef ASH_EXPLAIN_H
#define ASH_EXPLAIN_H

#include "daemon/api.h"

/** Questions that are pending at once. */
#define ASH_EXPLAIN_PENDING_MAX 16

/** A question whose answers are awaited. */
struct ash_explain_pending
{
  uint64_t number;  /**< names it to the boxes; 0: free */
  uint64_t request; /**< the operator's */
  struct ash_time until;
  json_t *unanswered; /**< boxes that have not answered */
  json_t *answers;    /**< by box */
};

/** Open questions of an entry. */
struct ash_explain
{
  struct ash_api *api;
  uint64_t last_number;
  struct ash_explain_pending pending[ASH_EXPLAIN_PENDING_MAX];
};

void ash_explain_init (struct ash_explain *explain, struct ash_api *api);
void ash_explain_finish (struct ash_explain *explain);

/** GET /v1/explain/group/NAME and /v1/explain/request/ID. */
void ash_explain_handle_request (struct ash_explain *explain,
                                 const struct ash_http_request *request);

/** Takes a box's answer. */
void ash_explain_handle_answer (struct ash_explain *explain,
                                const char *box,
                                const struct Ash__QueryAnswer *answer);

/** The operator has gone. */
void ash_explain_disconnected (struct ash_explain *explain, uint64_t request);

/** Ends questions that have waited long enough. */
void ash_explain_tick (struct ash_explain *explain);

/** POST /v1/drain?box=NAME: that box takes no new work in its present life. */
void ash_explain_drain (struct ash_explain *explain, const struct ash_http_request *request);

/** What this entry itself knows of a request. @return a new object, or NULL. */
json_t *ash_explain_request (const struct ash_entry *entry, const struct Ash__Query *query);

#endif
