/**
 * @file
 * A configuration of routes: which service a request goes to, how often it may
 * run, how long it may take, and whose it is. Filled once from what the platform
 * publishes, then only read; a newer version replaces it whole.
 */
#ifndef ASH_ROUTE_TABLE_H
#define ASH_ROUTE_TABLE_H

#include "common/finding.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How often a request may run. */
enum ash_repeat
{
  ASH_REPEAT_SAFE, /**< any number of times */
  ASH_REPEAT_ONCE, /**< at most once */
};

/** What an engine's steps cost, as its service publishes it. */
struct ash_engine_facts
{
  uint32_t slots;
  uint64_t kv_tokens; /**< memory for context */
  uint32_t stride;    /**< steps of a pass */
  double step_ms;
  double sequence_ms;     /**< more a step for each request that writes */
  double context_ms_1k;   /**< more a step for 1,000 tokens of context */
  double read_tokens_s;   /**< prompt tokens read a second */
  uint32_t report_lag_ms; /**< how old a report from afar is */
  uint32_t usual_prompt_tokens;
  uint32_t usual_answer_tokens;
  uint32_t layers;       /**< sets of layers with experts of their own; 0: no experts */
  uint32_t experts;      /**< of a layer */
  uint32_t rank_slots;   /**< experts that a rank can hold, a layer */
  uint32_t rank_changes; /**< new experts that a rank can prepare, a layer */
  double expert_share;   /**< of a token's work that its experts do */
  double expert_mb;      /**< megabytes of one expert of a layer */
  double link_mbps;      /**< megabits a second at which a rank copies */
};

/** What requests are routed to. */
struct ash_route_service
{
  char *name;
  char *health_path;
  uint32_t conn_max; /**< connections that a server accepts from all */
  bool has_engine;
  struct ash_engine_facts engine;
};

/** A part of a route's requests. */
struct ash_route_split
{
  uint32_t service; /**< index */
  uint32_t weight;
};

/** Requests of one host and path prefix. */
struct ash_route
{
  uint64_t digest; /**< of the text that it was read from, to know that again; 0: not known */
  char *name;
  char *host;
  char *prefix;
  enum ash_repeat repeat;
  bool stream;    /**< answered by a stream of events */
  bool resumable; /**< a broken stream may go on at another server */
  bool anonymous; /**< needs no key */
  uint32_t timeout_ms;
  uint32_t aim_ms;       /**< to the answer, or a stream's first event */
  uint32_t pause_aim_ms; /**< between events of a stream */
  uint32_t priority;     /**< 0 is the highest */
  uint32_t servers_max;  /**< that one request may be sent to */
  uint32_t part_first;   /**< index into parts */
  uint32_t part_count;
};

/** A client account. */
struct ash_route_account
{
  char *name;
  bool has_priority;
  uint32_t priority; /**< goes before the route's */
};

/** A key of an account. */
struct ash_route_key
{
  char *key;
  uint32_t account; /**< index */
};

/** What a client may send. */
struct ash_route_limits
{
  uint32_t head_max_bytes;
  uint32_t body_max_bytes;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
};

/** One configuration. */
struct ash_route_table
{
  uint64_t version;
  struct ash_route *routes;
  uint32_t route_count;
  uint32_t route_room;
  struct ash_route_split *parts;
  uint32_t part_count;
  uint32_t part_room;
  struct ash_route_service *services;
  uint32_t service_count;
  struct ash_route_account *accounts;
  uint32_t account_count;
  struct ash_route_key *keys;
  uint32_t key_count;
  struct ash_route_limits limits;
  uint32_t references; /**< requests under way that go by it, and the one in force */
};

void ash_route_table_init (struct ash_route_table *table);
void ash_route_table_finish (struct ash_route_table *table);

/** @return a new empty table with one reference, or NULL. */
struct ash_route_table *ash_route_table_new (void);

struct ash_route_table *ash_route_table_ref (struct ash_route_table *table);

/** Gives a reference up; the last one frees the table. NULL is allowed. */
void ash_route_table_unref (struct ash_route_table *table);

/** @return a new route, all zero, or NULL if memory is short. */
struct ash_route *ash_route_table_add_route (struct ash_route_table *table);

/** @return false if memory is short. */
bool ash_route_table_add_part (struct ash_route_table *table, struct ash_route_split part);

/**
 * Adds a route of another table, whose services are the same.
 * @return false if memory is short.
 */
bool ash_route_table_add_copy (struct ash_route_table *table,
                               const struct ash_route_table *other,
                               const struct ash_route *route);

/** Puts routes and keys in the order that look-ups need; once, after filling. */
void ash_route_table_sort (struct ash_route_table *table);

/**
 * @param host as the request names it, with or without a port.
 * @param target path and query.
 * @return the route with the longest prefix, or NULL.
 */
const struct ash_route *
ash_route_table_find (const struct ash_route_table *table, const char *host, const char *target);

/** @return the account that holds the key, or NULL. */
const struct ash_route_account *ash_route_table_account (const struct ash_route_table *table,
                                                         const char *key);

/** @return the index of a service by name, or UINT32_MAX. */
uint32_t ash_route_table_service (const struct ash_route_table *table, const char *name);

/** Takes one part of a route by weight. @param draw any number. @return a service's index. */
uint32_t ash_route_table_pick_service (const struct ash_route_table *table,
                                       const struct ash_route *route,
                                       uint64_t draw);

#endif
