/**
 * @file
 * Filter: the account's rate limit. This entry enforces its share. The limit is divided by the
 * number of published entries that share the account, whether they are reachable or not: otherwise
 * both sides of a network partition would each allow the whole limit. Requests first count against
 * the account's reservation of a declared event, if there is one, and get the event's priority.
 * Above the reservation the account's own limit applies.
 */
#include "controllers/declared.h"
#include "filters/filter.h"

struct priv
{
  struct ash_limits limits;
};

static void
init_limit (struct priv *priv)
{
  ash_limits_init (&priv->limits);
}

static void
finish_limit (struct priv *priv)
{
  ash_limits_finish (&priv->limits);
}

static enum ash_verdict
request_limit (struct priv *priv,
               const struct ash_filter_context *context,
               struct ash_time now,
               const struct Ash__Call *call,
               struct ash_request *request)
{
  const struct ash_document *document = &context->config->document;
  const struct ash_account *account = ash_document_account_by_key (document, call->key_hash.data);
  const struct ash_reservation *reservation =
      ash_declared_reservation (document, call->unix_s, account->name, call->service);
  uint32_t parts = account->entries;
  uint32_t wait_ms;

  if (parts > document->entry_count)
    parts = document->entry_count;
  if (ash_document_entry_rank (document, account, context->settings->box) < 0)
    return ash_filter_refuse (request, ASH__REASON__MISDIRECTED, 1);
  if (reservation && ash_limits_spend_reserved (&priv->limits, now, reservation, parts))
    {
      request->priority = reservation->priority;
      return ASH_VERDICT_NEXT;
    }
  wait_ms = ash_limits_spend (&priv->limits, now, account, parts);
  if (wait_ms == 0)
    return ASH_VERDICT_NEXT;
  return ash_filter_refuse (request, ASH__REASON__LIMIT,
                            wait_ms + ash_random_below (context->random, wait_ms + 1));
}

const struct ash_filter_info ash_filter_limit = {
  .name = "limit",
  .priv_bytes = sizeof (struct priv),
  .init = init_limit,
  .request = request_limit,
  .finish = finish_limit,
};
