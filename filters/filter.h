/**
 * @file
 * The filter chain of an entry: each filter looks at a call, fills in its part
 * of the request, and lets it pass or refuses it. Filters do no I/O.
 */
#ifndef ASH_FILTER_H
#define ASH_FILTER_H

#include "common/log.h"
#include "common/random.h"
#include "controllers/config.h"
#include "controllers/limits.h"
#include "controllers/membership.h"
#include "controllers/planned_stop.h"
#include "controllers/retry_budget.h"
#include "filters/request.h"
#include "options/settings.h"

/** What the filters of one entry share. */
struct ash_filter_context
{
  const struct ash_settings *settings;
  struct ash_config *config;
  struct ash_membership *membership;
  const struct ash_planned_stop *stop;
  struct ash_random *random;
  const uint8_t *fleet_key;
  uint32_t *round_robin_counter; /**< of round robin */
};

/** What a filter decides. */
enum ash_verdict
{
  ASH_VERDICT_NEXT,
  ASH_VERDICT_REFUSE, /**< request->reason and retry_ms say why and until when */
};

/** State of one filter; each defines its own. */
struct priv;

/** Entry points of a filter. Those it does not need are NULL. */
struct ash_filter_info
{
  const char *name;
  size_t priv_bytes;
  void (*init) (struct priv *priv);
  enum ash_verdict (*request) (struct priv *priv,
                               const struct ash_filter_context *context,
                               struct ash_time now,
                               const struct Ash__Call *call,
                               struct ash_request *request);
  void (*finish) (struct priv *priv);
};

extern const struct ash_filter_info ash_filter_account;
extern const struct ash_filter_info ash_filter_service;
extern const struct ash_filter_info ash_filter_deadline;
extern const struct ash_filter_info ash_filter_limit;
extern const struct ash_filter_info ash_filter_key;
extern const struct ash_filter_info ash_filter_route;

/** How many filters a chain has. */
#define ASH_CHAIN_FILTERS 6

/** The filters in their order, each with its state. */
struct ash_chain
{
  struct priv *privs[ASH_CHAIN_FILTERS];
};

/** @return false without memory. */
bool ash_chain_init (struct ash_chain *chain);
void ash_chain_finish (struct ash_chain *chain);

/** Runs a call through the chain up to the first filter that refuses it. */
enum ash_verdict ash_chain_request (struct ash_chain *chain,
                                    const struct ash_filter_context *context,
                                    struct ash_time now,
                                    const struct Ash__Call *call,
                                    struct ash_request *request);

/** For filters: refuses, to come back in @p retry_ms. */
enum ash_verdict ash_filter_refuse (struct ash_request *request, int reason, uint32_t retry_ms);

/** The least time to come back that a refusal names, spread up to twice that. */
uint32_t ash_filter_retry_ms (const struct ash_filter_context *context);

#endif
