/**
 * @file
 * What the policy bench runs: the cores of entries and agents, as they are, with
 * delays between them, the engines' model behind them and callers before them. Time
 * is an event queue's; there are no processes and no sockets.
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

/** What goes wrong, at fault_us. */
enum sim_fault
{
  FAULT_NONE,
  FAULT_KILL,         /**< an agent, back after 3 s with a new life */
  FAULT_STALL,        /**< an engine, for 5 s */
  FAULT_PARTITION,    /**< a hall, from the others, for 10 s */
  FAULT_PAUSE,        /**< an entry, for 10 s */
  FAULT_REPORTS_LOST, /**< all load reports are lost, for 20 s */
};

/** How callers take a refusal. */
enum sim_callers
{
  CALLERS_AS_ADVISED, /**< come back when they were told to, three times */
  CALLERS_AT_ONCE,    /**< come back after 100 ms, five times, whatever they were told */
};

/** An account of the trace. */
struct sim_account
{
  const char *name;
  uint32_t class_index;
  uint32_t rate_per_s;     /**< its limit */
  uint32_t reserved_per_s; /**< in the declared event; 0: it takes no part */
};

/** A call, and what came of it. */
struct sim_call
{
  int64_t at_us; /**< first asked */
  int64_t deadline_us;
  uint32_t account;
  uint32_t prefix;
  uint32_t tokens;
  uint32_t tries;
  int32_t entry; /**< that has it; -1: none */
  int64_t first_token_us;
  int64_t done_us;          /**< whole answer; 0: none */
  int64_t first_refusal_us; /**< of the first refusal */
  bool abandoned;
};

/** Settings of a run. */
struct sim_setup
{
  const char *route;
  enum sim_fault fault;
  enum sim_callers callers;
  bool event; /**< a declared event is on, with reservations */
  int64_t fault_us;
  int64_t end_us;
  int64_t latency_us;        /**< one way, between boxes */
  int64_t client_latency_us; /**< one way, to callers */
};

struct sim;

/** @return a new sim; calls must stay valid, sorted by time. */
struct sim *sim_new (const struct sim_setup *setup,
                     const struct sim_account *accounts,
                     struct sim_call *calls,
                     uint32_t call_count,
                     uint64_t seed);

/** Runs it to its end. */
void sim_run (struct sim *sim);

/** Work of the engines: tokens made, and those of answers that nobody got in time. */
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
