/**
 * @file
 * Decoded header fields of callers' requests, of requests to endpoints and of endpoints' answers.
 * The structs don't depend on the names of the fields on the wire; platform/message.h converts
 * them.
 */
#ifndef ASH_REQUEST_FIELDS_H
#define ASH_REQUEST_FIELDS_H

#include "controllers/endpoint_terms.h"
#include "controllers/prompt_parts.h"

#include <stdbool.h>
#include <stdint.h>

/** Fields of a caller's request. Strings belong to the message head that they were read from. */
struct ash_request_fields
{
  const char *attempt_id;    /**< the caller's id for this submission; NULL: none */
  const char *key;           /**< bearer key of an account; NULL: none */
  const char *last_event_id; /**< id of the last event that the caller has received; NULL: none */
  uint32_t deadline_ms;      /**< how long the caller waits; 0: not stated */
  uint32_t prompt_tokens;
  uint32_t answer_tokens_max;
  uint32_t answer_tokens_estimate; /**< estimated by the caller; often far off */
  struct ash_prompt_parts parts;   /**< the service is set once the route is known */
};

/** Fields of an endpoint's answer. Strings belong to the message head. */
struct ash_answer_fields
{
  const char *attempt_id; /**< id of the attempt that the endpoint answers; NULL: not stated */
  bool is_signed;         /**< the answer has the endpoint's signature field */
  bool not_run;           /**< the endpoint states that it did not run the request */
  bool encoded;           /**< the body has a content encoding */
  struct ash_endpoint_terms terms;
};

/** Fields sent to an endpoint with a request. Strings belong to the caller. */
struct ash_endpoint_request_fields
{
  uint32_t deadline_ms;    /**< time left until the caller's deadline */
  const char *endpoint_id; /**< id of the endpoint's incarnation; any other incarnation rejects the
                              request */
  const char *account;     /**< account of the request; NULL: none */
  const char *last_event_id; /**< id of the last event that the caller has received; NULL: none */
  int urgency;               /**< 0 (most urgent) to 9; negative: not stated */
};

#endif
