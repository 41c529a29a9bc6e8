/**
 * @file
 * Who may ask and order what: the holder of the operators' key all, of the
 * readers' key whatever changes nothing.
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
 * Checks that the request's bearer key allows as much; answers it if not.
 * @return whether it does.
 */
bool ash_operator_check (struct ash_api *api,
                         const struct ash_http_request *request,
                         enum ash_operator required);

/** Answers with a JSON body, which it consumes. */
void ash_operator_reply (struct ash_api *api, uint64_t number, uint32_t status, json_t *body);

/** Answers with an error and, if not NULL, one more member @p more, which it consumes. */
void ash_operator_refuse (struct ash_api *api,
                          uint64_t number,
                          uint32_t status,
                          const char *code,
                          const char *message,
                          json_t *more);

#endif
