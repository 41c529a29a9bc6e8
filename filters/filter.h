/**
 * @file
 * The filter chain of an entry. Each filter inspects a call, fills in its part of the request,
 * and passes it on or refuses it. Filters do no I/O.
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

/** State shared by the filters of one entry. */
struct ash_filter_context
{
  const struct ash_settings *settings;
  struct ash_config *config;
  struct ash_membership *membership;
  const struct ash_planned_stop *stop;
  struct ash_random *random;
  const uint8_t *fleet_key;
  uint32_t *round_robin_counter; /**< incremented at each pick of the round-robin policy */
};

/** Result of a filter. */
enum ash_verdict
{
  ASH_VERDICT_NEXT,
  ASH_VERDICT_REFUSE, /**< request->reason and request->retry_ms are set */
};

/** State of one filter; each filter defines the struct in its own source file. */
struct priv;

/** Callbacks of a filter; unused ones are NULL. */
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

/** Number of filters in a chain. */
#define ASH_CHAIN_FILTERS 6

/** The states of the filters, in the order in which the filters run. */
struct ash_chain
{
  struct priv *privs[ASH_CHAIN_FILTERS];
};

/** @return false if out of memory. */
bool ash_chain_init (struct ash_chain *chain);
void ash_chain_finish (struct ash_chain *chain);

/** Runs a call through the filters in order and stops at the first one that refuses it. */
enum ash_verdict ash_chain_request (struct ash_chain *chain,
                                    const struct ash_filter_context *context,
                                    struct ash_time now,
                                    const struct Ash__Call *call,
                                    struct ash_request *request);

/** For filters: refuses the request.
 * @param reason an Ash__Reason.
 * @param retry_ms delay before the caller may retry. */
enum ash_verdict ash_filter_refuse (struct ash_request *request, int reason, uint32_t retry_ms);

/** @return a random retry delay between the configured retry_after_ms and twice that, so that
 * callers refused together don't return together. */
uint32_t ash_filter_retry_ms (const struct ash_filter_context *context);

#endif
