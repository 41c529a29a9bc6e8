/**
 * @file
 * Access control of the operators' interface. The operators' key allows everything; the readers'
 * key allows only requests that change nothing.
 */
#ifndef ASH_OPERATOR_H
#define ASH_OPERATOR_H

#include "daemon/api.h"

/** What a bearer key allows. */
enum ash_operator
{
  ASH_OPERATOR_NONE,
  ASH_OPERATOR_READER,
  ASH_OPERATOR_FULL,
};

/**
 * Checks the bearer key of a request and answers the request with an error if the key doesn't allow
 * it.
 * @param required the access that the request needs.
 * @return whether the request is allowed.
 */
bool ash_operator_check (struct ash_api *api,
                         const struct ash_http_request *request,
                         enum ash_operator required);

/** Answers an HTTP request with a JSON body. @param body freed by this function. */
void ash_operator_reply (struct ash_api *api, uint64_t number, uint32_t status, json_t *body);

/** Answers an HTTP request with an error.
 * @param more value of the error's member "more", freed by this function; NULL: none. */
void ash_operator_refuse (struct ash_api *api,
                          uint64_t number,
                          uint32_t status,
                          const char *code,
                          const char *message,
                          json_t *more);

#endif
