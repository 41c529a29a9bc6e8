/**
 * @file
 * Ranks and groups as the router that leads sees them: the questions and orders that
 * it has under way at each rank, and what their answers tell.
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

/** A question or order under way. */
struct ash_rank_call
{
  struct ash_http_call call;
  struct ash_rank_endpoint *box;
  bool is_order;
  enum ash_rank_query_type question;
  struct ash_rank_order order;
  uint16_t status;
  struct ash_buffer answer;
  struct ash_time sent;
  struct ash_rank_call *prev;
  struct ash_rank_call *next;
};

/** An endpoint with an engine. */
struct ash_rank_endpoint
{
  struct ash_map_manager *groups;
  uint64_t hash;
  char address[ASH_DIRECT_NAME_BYTES];
  struct ash_http_pool pool;
  struct ash_rank_group *group; /* NULL: not known, or in none */
  uint32_t rank;
  struct ash_time asked[3]; /* by question */
  struct ash_rank_call *calls;
  double pace; /* as it last told; 0: it has not */
  bool has_counts;
  uint64_t counts_epoch;
  struct ash_time counts_read;
  uint64_t *counts; /* as last read, of each expert of each layer; NULL: none yet */
  UT_hash_handle hh;
};

/** A group. */
struct ash_rank_group
{
  char name[ASH_GROUP_NAME_BYTES];
  struct ash_map_switch sw;
  struct ash_rank_endpoint *boxes[ASH_LAYER_RANKS_MAX];
  struct ash_layer_map map; /* in use */
  bool listed[ASH_LAYER_RANKS_MAX];
  uint64_t listed_epoch;
  struct ash_layer_map next;           /* that it is being changed to */
  struct ash_rank_order encoded_order; /* the order that the text below is of, whatever its rank */
  struct ash_buffer text;
  struct ash_pass_watch watch;
  double skew;          /* that the map in use is believed to have */
  double next_map_skew; /* that the next one is */
  bool needs_decision;  /* there is something to decide on */
  UT_hash_handle hh;
};

/** A question or order without an answer is given up after this; orders are then sent again.
 * Engines answer within a round trip, a few milliseconds. */
#define ASH_RANK_CALL_TIMEOUT_MS 400

/** @return the one service whose engine has experts, or NULL. */
const struct ash_route_service *ash_rank_service (const struct ash_map_manager *groups);

/** @return whether the engine's layers, experts and slots are within what is kept here. */
bool ash_rank_engine_fits (const struct ash_engine_facts *engine);

/** @return whether all ranks have told their part of the map that they use. */
bool ash_rank_group_map_is_known (const struct ash_rank_group *group);

/** Asks a rank. */
void ash_rank_query (struct ash_rank_endpoint *box, enum ash_rank_query_type question);

/** Sends the orders that are due. */
void ash_rank_group_send_orders (struct ash_rank_group *group, struct ash_map_manager *groups);

/** Gives up what was not answered in time. */
void ash_rank_expire_calls (struct ash_rank_endpoint *box, struct ash_time now);

/** Frees a group; its boxes stay. */
void ash_rank_group_free (struct ash_map_manager *groups, struct ash_rank_group *group);

/** Frees a box with all that is under way at it. */
void ash_rank_endpoint_free (struct ash_map_manager *groups, struct ash_rank_endpoint *box);

#endif
