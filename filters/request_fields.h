/**
 * @file
 * What a caller's request and an endpoint's answer say about themselves, beside
 * method, target and body. Filled by whoever decodes the wire's names.
 */
#ifndef ASH_REQUEST_FIELDS_H
#define ASH_REQUEST_FIELDS_H

#include "controllers/endpoint_terms.h"

#include <stdbool.h>
#include <stdint.h>

/** Of a request. Texts belong to the head that they were read from. */
struct ash_request_fields
{
  const char *attempt_id;    /**< the caller's, for this submission; NULL: none */
  const char *key;           /**< of an account; NULL: none */
  const char *last_event_id; /**< where a stream goes on; NULL: at its start */
  uint32_t deadline_ms;      /**< how long the caller waits; 0: not said */
  uint32_t prompt_tokens;
  uint32_t answer_tokens_max;
  uint32_t answer_tokens_guess; /**< the caller's guess, often far off */
};

/** Of an answer. */
struct ash_answer_fields
{
  const char *attempt_id; /**< whose answer it is; NULL: it does not say */
  bool is_signed;         /**< the endpoint's signature is there */
  bool not_run;           /**< the endpoint vouches that it did not run the request */
  bool encoded;           /**< the body is not as the endpoint made it */
  struct ash_endpoint_terms terms;
};

/** What is told to an endpoint along with a request. */
struct ash_endpoint_request_fields
{
  uint32_t deadline_ms;      /**< what is left of it */
  const char *endpoint_id;   /**< the life that is meant; any other turns it away */
  const char *account;       /**< NULL: none */
  const char *last_event_id; /**< NULL: from the start */
  int urgency;               /**< 0 first to 9; below 0: not said */
};

#endif
