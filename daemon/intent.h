/**
 * @file
 * The operators' part of an entry's HTTP interface: plan and confirm.
 *
 * The system can't write, so a confirmation ends in the operator's own
 * publication: a confirmed plan's document is handed out with the revision to
 * publish it under. Of two operators on one base one is told so.
 */
#ifndef ASH_DAEMON_INTENT_H
#define ASH_DAEMON_INTENT_H

#include "daemon/api.h"

/** POST /v1/plan: an intent, answered by what would change. */
void ash_intent_plan (struct ash_api *api, const struct ash_http_request *request);

/** POST /v1/confirm: a plan, answered by the document to publish, or why not. */
void ash_intent_confirm (struct ash_api *api, const struct ash_http_request *request);

/** POST /v1/diff: a document, answered by how it differs from what is in force. */
void ash_intent_diff (struct ash_api *api, const struct ash_http_request *request);

#endif
