/**
 * @file
 * Discrete-event simulation for the policy bench: the real entry and agent cores,
 * connected with simulated network latency, with simulated callers and model engines.
 * Time advances from event to event; there are no processes and no sockets.
 */
#ifndef ASH_BENCH_POLICY_SIM_H
#define ASH_BENCH_POLICY_SIM_H

#include "bench/engine_model.h"
#include "test/session.h"

#define SIM_HALLS 3
#define SIM_ENTRIES 8
#define SIM_AGENTS 16
#define SIM_BOXES (SIM_ENTRIES + SIM_AGENTS)
#define SIM_ACCOUNTS 10
#define SIM_CLASSES 3

/** Fault that is injected at sim_setup.fault_us. */
enum sim_fault
{
  FAULT_NONE,
  FAULT_KILL,         /**< an agent is killed and restarts with a new incarnation after 3 s */
  FAULT_STALL,        /**< an engine stalls for 5 s */
  FAULT_PARTITION,    /**< one hall is disconnected from the others for 10 s */
  FAULT_PAUSE,        /**< an entry process is suspended for 10 s */
  FAULT_REPORTS_LOST, /**< agents report no load for 20 s */
};

/** How callers retry after a refusal. */
enum sim_callers
{
  CALLERS_AS_ADVISED, /**< after the advised delay, up to 3 times */
  CALLERS_AT_ONCE,    /**< after 100 ms regardless of the advised delay, up to 5 times */
};

/** An account of the trace. */
struct sim_account
{
  const char *name;
  uint32_t class_index;
  uint32_t rate_per_s;     /**< rate limit of the account */
  uint32_t reserved_per_s; /**< reservation for the declared event; 0: none */
};

/** A call and its results. */
struct sim_call
{
  int64_t at_us; /**< time of the first attempt */
  int64_t deadline_us;
  uint32_t account;
  uint32_t prefix;
  uint32_t tokens;
  uint32_t tries;
  int32_t entry; /**< index of the entry that currently handles the call; -1: none */
  int64_t first_token_us;
  int64_t done_us;          /**< time of the complete answer; 0: none */
  int64_t first_refusal_us; /**< time of the first refusal; 0: none */
  bool abandoned;
};

/** Parameters of a run. */
struct sim_setup
{
  const char *route;
  enum sim_fault fault;
  enum sim_callers callers;
  bool event; /**< a declared event with reservations is active */
  int64_t fault_us;
  int64_t end_us;
  int64_t latency_us;        /**< one-way latency between boxes */
  int64_t client_latency_us; /**< one-way latency between callers and entries */
};

struct sim;

/**
 * @return a new simulation; release it with sim_free(). @p setup, @p accounts and @p calls must
 * stay valid for its lifetime; @p calls must be sorted by time and receive the results.
 */
struct sim *sim_new (const struct sim_setup *setup,
                     const struct sim_account *accounts,
                     struct sim_call *calls,
                     uint32_t call_count,
                     uint64_t seed);

/** Runs the simulation until sim_setup.end_us. */
void sim_run (struct sim *sim);

/** Work of the engines: generated tokens, and those of cancelled or late answers (wasted). */
struct sim_work
{
  uint64_t tokens;
  uint64_t wasted;
  uint64_t hits;
  uint64_t misses;
  uint64_t by_engine[SIM_AGENTS];
};

void sim_work (const struct sim *sim, struct sim_work *work);

void sim_free (struct sim *sim);

#endif
