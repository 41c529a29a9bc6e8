/**
 * @file
 * Simulation of a fleet of routers for the policy bench: the real filters/forward and
 * controllers/direct in several routers that report their loads to each other, in front
 * of groups of model endpoints, with callers that retry a refused call once. A group
 * works in passes: each stream of the group gets one event per pass. Time advances in
 * steps of 1 ms without real waiting. The same setup and seed give the same run.
 */
#ifndef ASH_BENCH_ROUTER_SIM_H
#define ASH_BENCH_ROUTER_SIM_H

#include "controllers/route_table.h"

#define ROUTER_SIM_CLASSES 2

/** Delay before a refused caller retries. */
enum router_sim_retry
{
  RETRY_AS_ADVISED, /**< the delay that filters/forward returns */
  RETRY_RANDOM,     /**< retry_min_ms plus a random part of retry_spread_ms */
  RETRY_BY_RATE,    /**< one caller after the other, at the rate at which requests complete */
};

/** Parameters of a run. Times are in ms from its start. */
struct router_sim_setup
{
  uint64_t seed;
  uint32_t duration_ms;
  double calls_per_s;                    /**< demand outside of the burst */
  uint32_t slow_start_ms;                /**< when endpoints become slow */
  uint32_t slow_duration_ms;             /**< 0: endpoints never become slow */
  double slow_factor;                    /**< factor on the duration of passes while slow */
  uint32_t slow_groups;                  /**< number of groups that become slow */
  uint32_t burst_start_ms;               /**< when the burst starts */
  uint32_t burst_duration_ms;            /**< 0: no burst */
  double burst_factor;                   /**< factor on the demand during the burst */
  uint32_t rolling_restarts;             /**< number of rolling restarts of all routers */
  uint32_t restart_start_ms[4];          /**< start of each rolling restart */
  uint32_t restart_gap_ms;               /**< time between the stops of two routers */
  const struct ash_engine_facts *engine; /**< NULL: the engine of the first users' data sheets */
  uint32_t groups;                       /**< number of groups of endpoints; 0: two */
  uint32_t shift_period_ms;              /**< period of shifts of the requested experts; 0: none */
  uint32_t shift_duration_ms; /**< until the expert map is adapted; ranks copy experts meanwhile */
  double shift_skew;          /**< load of the busiest rank / mean load, until the map is adapted */
  uint32_t cap;               /**< maximum requests at an endpoint, over all routers */
  bool fixed_cap;             /**< do not reduce cap when streams pause too long */
  int32_t retry_cap_extra;    /**< added to cap for calls that retry; may be negative */
  uint32_t wait_ms;           /**< maximum wait of a first attempt for a free slot */
  uint32_t retry_queue_ms;    /**< maximum wait of a retry for a free slot */
  bool by_deadline;           /**< serve waiting requests by class and deadline, not by arrival */
  uint32_t report_period_ms;  /**< period of load reports between routers */
  enum router_sim_retry retry_policy;
  uint32_t retry_min_ms;    /**< for RETRY_RANDOM and RETRY_BY_RATE */
  uint32_t retry_spread_ms; /**< for RETRY_RANDOM */
};

/** Results of the calls of one class: numbers of calls unless noted. */
struct router_sim_class
{
  uint32_t offered;
  uint32_t on_target;    /**< first event and pauses within their targets, measured from the first
                            attempt */
  uint32_t late;         /**< complete before the caller's deadline, but not on target */
  uint32_t refused_once; /**< refused at least once, whatever the final result */
  uint32_t refused_twice;
  uint32_t unserved_waits; /**< not served, after waiting more than 1/8 of the first event target */
  uint32_t interrupted;    /**< answer started, but did not complete in time */
  uint32_t overtaken;      /**< waited while a later and less urgent call was sent */
  uint32_t large; /**< the largest tenth of the offered calls, by prompt and answer tokens */
  uint32_t large_served;
  double unserved_wait_s; /**< total wait of the calls that were not served */
};

/** Results of a run. */
struct router_sim_result
{
  struct router_sim_class classes[ROUTER_SIM_CLASSES];
  uint32_t max_at_endpoint; /**< maximum number of concurrent requests at one endpoint */
  double pass_ms;           /**< mean duration of a pass */
};

/** Runs a simulation and fills in @p result. */
void router_sim_run (const struct router_sim_setup *setup, struct router_sim_result *result);

/** @return the sum over all classes of a result. */
struct router_sim_class router_sim_total (const struct router_sim_result *result);

/** @return mean score of the calls: 1 if on target, 0.5 if late, otherwise 0; 0 without calls. */
double router_sim_score (const struct router_sim_class *class);

/**
 * @return duration of a pass of a group in ms.
 * @param engine NULL: the engine of the first users' data sheets.
 * @param skew skew of the active expert map.
 * @param writers number of streams on the rank with the most streams.
 * @param read_tokens prompt tokens of the rank that reads the most.
 * @param slow_factor factor on the duration; 1: not slow.
 */
double router_sim_pass_ms (const struct ash_engine_facts *engine,
                           double skew,
                           uint32_t writers,
                           uint32_t read_tokens,
                           double slow_factor);

/** Target for the pause between two events of a stream: at most this many ms. */
#define ROUTER_SIM_PAUSE_MAX_MS 120

/** Skew that remains when the expert map is adapted to the demand. */
#define ROUTER_SIM_SKEW 1.4

/**
 * Fills in an engine.
 * @param sequence_ms what each stream adds to the duration of a step.
 * @param copy_ms time that a rank needs to copy an expert.
 */
void router_sim_engine (struct ash_engine_facts *engine, double sequence_ms, double copy_ms);

/**
 * @return mean score of the calls at one group of the given engine with at most @p streams streams
 * per rank, with demand that half of the slots can serve and a shift of demand every 3.6 s.
 */
double router_sim_shift_score (const struct ash_engine_facts *engine, uint32_t streams);

#endif
