#include "filters/filter.h"

#include <stdlib.h>

/* Cheap checks run first. The limit runs before filters that select an endpoint. The key filter
 * runs before the route filter, which selects an endpoint only for requests without a home. */
static const struct ash_filter_info *const filters[ASH_CHAIN_FILTERS] = {
  &ash_filter_account, &ash_filter_service, &ash_filter_deadline,
  &ash_filter_limit,   &ash_filter_key,     &ash_filter_route,
};

bool
ash_chain_init (struct ash_chain *chain)
{
  *chain = (struct ash_chain){ 0 };
  for (uint32_t i = 0; i < ASH_CHAIN_FILTERS; i++)
    {
      if (!filters[i]->priv_bytes)
        continue;
      chain->privs[i] = calloc (1, filters[i]->priv_bytes);
      if (!chain->privs[i])
        return false;
      if (filters[i]->init)
        filters[i]->init (chain->privs[i]);
    }
  return true;
}

void
ash_chain_finish (struct ash_chain *chain)
{
  for (uint32_t i = 0; i < ASH_CHAIN_FILTERS; i++)
    {
      if (chain->privs[i] && filters[i]->finish)
        filters[i]->finish (chain->privs[i]);
      free (chain->privs[i]);
      chain->privs[i] = NULL;
    }
}

enum ash_verdict
ash_chain_request (struct ash_chain *chain,
                   const struct ash_filter_context *context,
                   struct ash_time now,
                   const struct Ash__Call *call,
                   struct ash_request *request)
{
  for (uint32_t i = 0; i < ASH_CHAIN_FILTERS; i++)
    if (filters[i]->request (chain->privs[i], context, now, call, request) == ASH_VERDICT_REFUSE)
      return ASH_VERDICT_REFUSE;
  return ASH_VERDICT_NEXT;
}

enum ash_verdict
ash_filter_refuse (struct ash_request *request, int reason, uint32_t retry_ms)
{
  request->reason = reason;
  request->retry_ms = retry_ms;
  return ASH_VERDICT_REFUSE;
}

uint32_t
ash_filter_retry_ms (const struct ash_filter_context *context)
{
  uint32_t base_ms = context->settings->retry_after_ms;

  return base_ms + ash_random_below (context->random, base_ms);
}
