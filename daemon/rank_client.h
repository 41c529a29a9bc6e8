/**
 * @file
 * The leading router's client for the engines of ranks, in the router process (ashspindle-router).
 * Used by map_manager.c: sends queries and orders, handles the answers, and keeps the state of
 * ranks and groups.
 */
#ifndef ASH_RANK_CLIENT_H
#define ASH_RANK_CLIENT_H

#include "controllers/direct.h"
#include "controllers/map_switch.h"
#include "controllers/pass_watch.h"
#include "daemon/map_manager.h"
#include "net/http_call.h"
#include "platform/rank.h"

#include <uthash.h>

struct ash_rank_call;

/** A query or order that is not answered yet. */
struct ash_rank_call
{
  struct ash_http_call call;
  struct ash_rank_endpoint *endpoint;
  bool is_order;
  enum ash_rank_query_type query_type;
  struct ash_rank_order order;
  uint16_t status;
  struct ash_buffer answer;
  struct ash_time sent_at;
  struct ash_rank_call *prev;
  struct ash_rank_call *next;
};

/** An endpoint with an engine. */
struct ash_rank_endpoint
{
  struct ash_map_manager *manager;
  uint64_t hash;
  char address[ASH_DIRECT_NAME_BYTES];
  struct ash_http_pool pool;
  struct ash_rank_group *group; /* NULL: unknown, or in no group */
  uint32_t rank;
  struct ash_time queried_at[3]; /* when each kind of query was last sent */
  struct ash_rank_call *calls;
  double pace; /* time per pass compared to normal, as last reported; 0: unknown */
  bool has_counts;
  uint64_t counts_epoch;
  struct ash_time counts_received_at;
  uint64_t *counts; /* last token counts of each expert, ordered by layer; NULL: none yet */
  UT_hash_handle hh;
};

/** A group of ranks that run in lock-step. */
struct ash_rank_group
{
  char name[ASH_GROUP_NAME_BYTES];
  struct ash_map_switch sw;
  struct ash_rank_endpoint *endpoints[ASH_LAYER_RANKS_MAX];
  struct ash_layer_map map;            /* the map in use */
  bool has_lists[ASH_LAYER_RANKS_MAX]; /* whether the map contains the lists of each rank */
  uint64_t listed_epoch;               /* epoch in which the ranks reported the lists in map */
  struct ash_layer_map next_map;       /* target of the present change; if it is being reverted, the
                                          fence: a copy of the map in use with a newer version */
  struct ash_rank_order encoded_order; /* order whose body is in order_body, for any rank */
  struct ash_buffer order_body;
  struct ash_pass_watch watch;
  double skew;                     /* estimated skew of the map in use */
  double next_map_skew;            /* estimated skew of the next map */
  bool reported_stalled;           /* whether peers were last told that the group is stalled */
  struct ash_time stalled_sent_at; /* when they were told */
  bool needs_decision; /* the demand or a rank's pace was updated since the last decision */
  UT_hash_handle hh;
};

/** Timeout of queries and orders in milliseconds; orders are then sent again. Engines answer within
 * a round trip, a few milliseconds. */
#define ASH_RANK_CALL_TIMEOUT_MS 400

/** Largest answer of a rank: the counts of ASH_LAYERS_MAX * ASH_LAYER_EXPERTS_MAX experts. */
#define ASH_RANK_ANSWER_MAX_BYTES (1024 * 1024)

/** @return the first service whose engine has experts, or NULL if there is none. */
const struct ash_route_service *ash_rank_service (const struct ash_map_manager *manager);

/** @return whether the engine's layers, experts and slots are within the maximum sizes. */
bool ash_rank_engine_fits (const struct ash_engine_facts *engine);

/** @return whether the map in use is known completely, from the lists of all ranks. */
bool ash_rank_group_map_is_known (const struct ash_rank_group *group);

/** Sends a query to a rank. */
void ash_rank_query (struct ash_rank_endpoint *endpoint, enum ash_rank_query_type query_type);

/** Runs the timers of a group's change and sends the orders that are due. */
void ash_rank_group_send_orders (struct ash_rank_group *group, struct ash_map_manager *manager);

/** Cancels the queries and orders of an endpoint that have timed out. */
void ash_rank_expire_calls (struct ash_rank_endpoint *endpoint, struct ash_time now);

/** Frees a group; its endpoints stay. */
void ash_rank_group_free (struct ash_map_manager *manager, struct ash_rank_group *group);

/** Frees an endpoint and cancels its queries and orders. */
void ash_rank_endpoint_free (struct ash_map_manager *manager, struct ash_rank_endpoint *endpoint);

#endif
