/**
 * @file
 * What the policy bench plays of a router's fleet: filters/forward and
 * controllers/direct as they are, in several routers that tell each other their
 * loads, before groups of endpoints whose passes are a model, with callers that come
 * back once when they are told to. Time goes on by a millisecond; nothing sleeps. The
 * same setup and seed give the same run.
 */
#ifndef ASH_BENCH_ROUTER_SIM_H
#define ASH_BENCH_ROUTER_SIM_H

#include "controllers/route_table.h"

#define ROUTER_SIM_CLASSES 2

/** When refused callers are told to come back. */
enum router_sim_retry
{
  RETRY_AS_ADVISED, /**< as filters/forward says */
  RETRY_RANDOM,     /**< after a least time and a part of a spread */
  RETRY_BY_RATE,    /**< one after the other, at the rate at which places become free */
};

/** What happens in a run. Times in ms from its start. */
struct router_sim_setup
{
  uint64_t seed;
  uint32_t duration_ms;
  double calls_per_s;                    /**< usual demand */
  uint32_t slow_start_ms;                /**< endpoints turn slow */
  uint32_t slow_duration_ms;             /**< 0: none does */
  double slow_factor;                    /**< how much longer their passes take */
  uint32_t slow_groups;                  /**< with slow endpoints; their others wait for them */
  uint32_t burst_start_ms;               /**< demand grows */
  uint32_t burst_duration_ms;            /**< 0: never */
  double burst_factor;                   /**< by this */
  uint32_t rolling_restarts;             /**< rolling stops of all routers */
  uint32_t restart_start_ms[4];          /**< when each begins */
  uint32_t restart_gap_ms;               /**< between two routers that stop */
  const struct ash_engine_facts *engine; /**< NULL: that of the first users' sheets */
  uint32_t groups;                       /**< that the endpoints make; 0: two */
  uint32_t shift_period_ms;              /**< other experts are offered for; 0: never */
  uint32_t shift_duration_ms;            /**< until the map has followed; ranks copy meanwhile */
  double shift_skew;                     /**< of the map until then */
  uint32_t cap;                          /**< requests of an endpoint, over all routers */
  bool fixed_cap;                        /**< it does not fall where streams pause too long */
  int32_t retry_cap_extra;               /**< more than that for callers that have come back */
  uint32_t wait_ms;                      /**< how long a request may wait for room */
  uint32_t retry_queue_ms;               /**< the same for callers that have come back */
  bool by_deadline; /**< those waiting are served by class and deadline, not as they came */
  uint32_t report_period_ms; /**< how often routers tell each other their loads */
  enum router_sim_retry retry_policy;
  uint32_t retry_min_ms;    /**< RETRY_RANDOM, RETRY_BY_RATE */
  uint32_t retry_spread_ms; /**< RETRY_RANDOM */
};

/** What came of the calls of one class. */
struct router_sim_class
{
  uint32_t offered;
  uint32_t on_target;    /**< first event and pauses in time, from the first try */
  uint32_t late;         /**< whole before the caller's deadline, but not in aim */
  uint32_t refused_once; /**< whatever came after */
  uint32_t refused_twice;
  uint32_t unserved_waits; /**< not served, and waited more than an eighth of the aim */
  uint32_t interrupted;    /**< had begun and was not whole in time */
  uint32_t overtaken;      /**< waited while a less urgent one that came later was sent */
  uint32_t large;          /**< of offered: the tenth with most to read and to write */
  uint32_t large_served;
  double unserved_wait_s; /**< waits of those that were not served */
};

/** What came of a run. */
struct router_sim_result
{
  struct router_sim_class classes[ROUTER_SIM_CLASSES];
  uint32_t max_at_endpoint; /**< requests at one endpoint at once, at most */
  double pass_ms;           /**< mean */
};

/** Plays a run. */
void router_sim_run (const struct router_sim_setup *setup, struct router_sim_result *result);

/** Sums up the classes of a result. */
struct router_sim_class router_sim_total (const struct router_sim_result *result);

/** @return what the calls are worth in the mean: 1 in aim, half of that late, else nothing. */
double router_sim_score (const struct router_sim_class *class);

/**
 * @return how long a pass of a group takes.
 * @param engine NULL: that of the first users' sheets.
 * @param skew of the map in use.
 * @param writers of its fullest rank.
 * @param read_tokens of prompts, of the rank that reads most.
 */
double router_sim_pass_ms (const struct ash_engine_facts *engine,
                           double skew,
                           uint32_t writers,
                           uint32_t read_tokens,
                           double slow_factor);

/** Longest good pause between two events of a stream, ms. */
#define ROUTER_SIM_PAUSE_MAX_MS 120

/** The skew that maps leave when they have followed the demand. */
#define ROUTER_SIM_SKEW 1.4

/** Fills in an engine whose streams add so much to a step, and whose ranks copy an expert so long.
 */
void router_sim_engine (struct ash_engine_facts *engine, double sequence_ms, double copy_ms);

/**
 * @return what calls are worth in the mean at one group of such an engine, with so many streams a
 * rank, demand that half of its slots can serve, and a shift of demand each 3.6 s.
 */
double router_sim_shift_score (const struct ash_engine_facts *engine, uint32_t streams);

#endif
