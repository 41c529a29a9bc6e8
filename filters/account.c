/**
 * @file
 * Filter: finds the account of a call by the hash of its bearer key.
 */
#include "filters/filter.h"

#include <string.h>

static enum ash_verdict
request_account (struct priv *priv,
                 const struct ash_filter_context *context,
                 struct ash_time now,
                 const struct Ash__Call *call,
                 struct ash_request *request)
{
  const struct ash_document *document = &context->config->document;
  const struct ash_account *account;

  (void) priv;
  (void) now;
  if (!context->config->ready)
    return ash_filter_refuse (request, ASH__REASON__NOT_READY, ash_filter_retry_ms (context));
  if (call->key_hash.len != ASH_KEY_HASH_BYTES)
    return ash_filter_refuse (request, ASH__REASON__BAD_KEY, ash_filter_retry_ms (context));
  account = ash_document_account_by_key (document, call->key_hash.data);
  if (!account)
    return ash_filter_refuse (request, ASH__REASON__BAD_KEY, ash_filter_retry_ms (context));
  strcpy (request->account, account->name);
  strcpy (request->class_name, account->class_name);
  request->priority = document->classes[account->class_index].priority;
  return ASH_VERDICT_NEXT;
}

const struct ash_filter_info ash_filter_account = {
  .name = "account",
  .request = request_account,
};
