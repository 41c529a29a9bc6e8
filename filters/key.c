/**
 * @file
 * Filter: sets the request's id. For a keyed request that must not be repeated it also finds the
 * home, which is the only endpoint that may run the request.
 */
#include "filters/filter.h"
#include "filters/minted_key.h"

#include <string.h>

static void
random_id (const struct ash_filter_context *context, struct ash_request *request)
{
  request->id.hi = ash_random_next (context->random);
  request->id.lo = ash_random_next (context->random);
}

static enum ash_verdict
use_minted_key (const struct ash_filter_context *context,
                const struct Ash__Call *call,
                struct ash_request *request)
{
  struct ash_minted_key key;

  if (!ash_minted_key_parse (call->idempotency_key, context->fleet_key, &key))
    return ash_filter_refuse (request, ASH__REASON__BAD_REQUEST, ash_filter_retry_ms (context));
  request->minted = true;
  if (key.expires_s <= call->unix_s)
    return ash_filter_refuse (request, ASH__REASON__KEY_EXPIRED, ash_filter_retry_ms (context));
  strcpy (request->box, key.home);
  request->incarnation = key.incarnation;
  return ASH_VERDICT_NEXT;
}

/* Finds the home of a key that was not minted, by hashing over the declared endpoints. The request
 * is bound to the home's incarnation as known now, before it is sent anywhere. */
static enum ash_verdict
find_home (const struct ash_filter_context *context,
           struct ash_time now,
           const struct Ash__Call *call,
           struct ash_request *request)
{
  const struct ash_endpoint *home =
      ash_document_home (&context->config->document, call->service, request->id);
  const char *earlier[ASH_CONFIG_HISTORY_MAX];
  const struct ash_box *box;

  if (!ash_config_homes_are_known (context->config, call->service, now, call->unix_s,
                                   context->settings->key_life_ms))
    return ash_filter_refuse (request, ASH__REASON__NEW_LIFE, ash_filter_retry_ms (context));
  if (!home)
    return ash_filter_refuse (request, ASH__REASON__NO_ENDPOINT, ash_filter_retry_ms (context));
  strcpy (request->box, home->name);
  box = ash_membership_find (context->membership, home->name);
  request->incarnation = box ? box->incarnation : 0;
  request->pending_home_count = ash_config_previous_homes (
      context->config, call->service, request->id, now, context->settings->key_life_ms, earlier);
  for (uint32_t i = 0; i < request->pending_home_count; i++)
    strcpy (request->pending_homes[i], earlier[i]);
  return ASH_VERDICT_NEXT;
}

static enum ash_verdict
request_key (struct priv *priv,
             const struct ash_filter_context *context,
             struct ash_time now,
             const struct Ash__Call *call,
             struct ash_request *request)
{
  (void) priv;
  if (!request->keyed)
    {
      random_id (context, request);
      return ASH_VERDICT_NEXT;
    }
  request->id = ash_id_from_key (request->account, call->service, call->idempotency_key);
  request->home_only = request->no_repeat;
  if (ash_minted_key_claimed (call->idempotency_key))
    return use_minted_key (context, call, request);
  if (request->home_only)
    return find_home (context, now, call, request);
  return ASH_VERDICT_NEXT;
}

const struct ash_filter_info ash_filter_key = {
  .name = "key",
  .request = request_key,
};
