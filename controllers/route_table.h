/**
 * @file
 * The route table: maps a request to its service, its repeat policy, time limits and account. Built
 * from the configuration that the platform publishes and read-only afterwards; a newer version
 * replaces the whole table.
 */
#ifndef ASH_ROUTE_TABLE_H
#define ASH_ROUTE_TABLE_H

#include "common/finding.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Whether a request may be executed more than once. */
enum ash_repeat
{
  ASH_REPEAT_SAFE, /**< idempotent: may be repeated */
  ASH_REPEAT_ONCE, /**< must not be executed more than once */
};

/** Performance data of an inference engine, as published with its service. */
struct ash_engine_facts
{
  uint32_t slots;         /**< requests processed concurrently */
  uint64_t kv_tokens;     /**< KV cache size in tokens */
  uint32_t stride;        /**< decode steps per engine pass */
  double step_ms;         /**< base duration of a decode step */
  double sequence_ms;     /**< added to a step per decoding request */
  double context_ms_1k;   /**< added to a step per 1,000 tokens of context */
  double read_tokens_s;   /**< prefill rate in prompt tokens per second */
  uint32_t report_lag_ms; /**< age of a report when it arrives from a remote engine */
  uint32_t usual_prompt_tokens;
  uint32_t usual_answer_tokens;
  uint32_t layers;       /**< groups of layers, each with its own experts; 0: no experts */
  uint32_t experts;      /**< experts per group of layers */
  uint32_t rank_slots;   /**< experts per group of layers that a rank can hold */
  uint32_t rank_changes; /**< experts per group of layers that a rank can load for the next map */
  double expert_share;   /**< fraction of the work per token that experts do */
  double expert_mb;      /**< size of one expert of a layer in MB */
  double link_mbps;      /**< rate at which a rank copies experts, in Mbit/s */
};

/** A service that requests are routed to. */
struct ash_route_service
{
  char *name;
  char *health_path;
  uint32_t conn_max;      /**< connections that a server accepts in total */
  uint32_t cold_start_ms; /**< how long a server is cold after a start */
  double cold_per_s; /**< requests per second that a cold server accepts; 0: it is not limited */
  uint32_t priority_first; /**< highest priority of its routes */
  uint32_t priority_last;  /**< lowest priority of its routes; below the highest if it has none */
  bool has_engine;
  struct ash_engine_facts engine;
};

/** A weighted share of a route's requests that goes to one service. */
struct ash_route_split
{
  uint32_t service; /**< index into services */
  uint32_t weight;
};

/** A route: requests with one host and path prefix. */
struct ash_route
{
  uint64_t digest; /**< digest of the source text, to recognize an unchanged route; 0: not known */
  char *name;
  char *host;
  char *prefix;
  enum ash_repeat repeat;
  bool stream;    /**< answered with an event stream */
  bool resumable; /**< a broken stream may be continued on another server */
  bool anonymous; /**< no account key required */
  uint32_t timeout_ms;
  uint32_t answer_target_ms; /**< target time until the answer, or the first event of a stream */
  uint32_t pause_target_ms;  /**< target time between events of a stream */
  uint32_t priority;         /**< 0 is the highest */
  uint32_t servers_max;      /**< maximum number of servers tried per request */
  uint32_t part_first;       /**< index of its first share in parts */
  uint32_t part_count;
};

/** A client account. */
struct ash_route_account
{
  char *name;
  bool has_priority;
  uint32_t priority; /**< 0 is the highest; see ash_request_priority() */
};

/** An API key of an account. */
struct ash_route_key
{
  char *key;
  uint32_t account; /**< index into accounts */
};

/** Limits for requests of clients. */
struct ash_route_limits
{
  uint32_t head_max_bytes;
  uint32_t body_max_bytes;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
};

/** A version of the route table. */
struct ash_route_table
{
  uint64_t version;
  struct ash_route *routes;
  uint32_t route_count;
  uint32_t route_capacity; /**< allocated size of routes, in items */
  struct ash_route_split *parts;
  uint32_t part_count;
  uint32_t part_capacity; /**< allocated size of parts, in items */
  struct ash_route_service *services;
  uint32_t service_count;
  struct ash_route_account *accounts;
  uint32_t account_count;
  struct ash_route_key *keys;
  uint32_t key_count;
  struct ash_route_limits limits;
  uint32_t references; /**< held by requests in flight, and by the router for the active table */
};

void ash_route_table_init (struct ash_route_table *table);
void ash_route_table_finish (struct ash_route_table *table);

/** @return a new empty table with one reference, or NULL. */
struct ash_route_table *ash_route_table_new (void);

struct ash_route_table *ash_route_table_ref (struct ash_route_table *table);

/** Drops a reference; the last one frees the table. NULL is allowed. */
void ash_route_table_unref (struct ash_route_table *table);

/** @return a new, zeroed route owned by the table, or NULL if memory is short. The pointer is valid
 * until the next route is added. */
struct ash_route *ash_route_table_add_route (struct ash_route_table *table);

/** Appends a share to parts; the caller sets the route's part_first and part_count. @return false
 * if memory is short. */
bool ash_route_table_add_part (struct ash_route_table *table, struct ash_route_split part);

/**
 * Adds a copy of a route of another table that has the same services in the same order.
 * @return false if memory is short.
 */
bool ash_route_table_add_copy (struct ash_route_table *table,
                               const struct ash_route_table *other,
                               const struct ash_route *route);

/** Sorts routes and keys for look-ups. Must be called once after the table is filled. */
void ash_route_table_sort (struct ash_route_table *table);

/**
 * Finds the route of a request.
 * @param host value of the Host header, with or without a port.
 * @param target path and query.
 * @return the matching route with the longest prefix, or NULL.
 */
const struct ash_route *
ash_route_table_find (const struct ash_route_table *table, const char *host, const char *target);

/** @return the account that an API key belongs to, or NULL. */
const struct ash_route_account *ash_route_table_account (const struct ash_route_table *table,
                                                         const char *key);

/** @return whether requests for the service differ in priority, as its routes do. */
bool ash_route_service_has_priorities (const struct ash_route_service *service);

/**
 * @return the priority of a request; 0 is the most urgent. The account's priority decides, among
 * equals the route's. An account without a priority comes last.
 * @param account NULL: none.
 */
uint32_t ash_request_priority (const struct ash_route *route,
                               const struct ash_route_account *account);

/** @return the index of a service by name, or UINT32_MAX. */
uint32_t ash_route_table_service (const struct ash_route_table *table, const char *name);

/** Picks a service of a route at random by weight. @param draw a random number. @return the
 * service's index; UINT32_MAX if all weights are 0. */
uint32_t ash_route_table_pick_service (const struct ash_route_table *table,
                                       const struct ash_route *route,
                                       uint64_t draw);

#endif
