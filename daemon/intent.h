/**
 * @file
 * The operators' part of an entry's HTTP interface: plan, confirm and diff.
 *
 * The daemon can't publish a configuration; the operator does. Confirming a plan returns its
 * document and the revision to publish it under. If the configuration has changed since the plan
 * was made, for example by another operator, the confirmation is refused.
 */
#ifndef ASH_DAEMON_INTENT_H
#define ASH_DAEMON_INTENT_H

#include "daemon/api.h"

/** Handles POST /v1/plan: answers an intent with the changes it would make. */
void ash_intent_plan (struct ash_api *api, const struct ash_http_request *request);

/** Handles POST /v1/confirm: answers a plan with the document to publish, or with the reason why
 * the plan is refused. */
void ash_intent_confirm (struct ash_api *api, const struct ash_http_request *request);

/** Handles POST /v1/diff: answers a document with its differences from the active one. */
void ash_intent_diff (struct ash_api *api, const struct ash_http_request *request);

#endif
