/**
 * @file
 * What the policy bench runs: the cores of entries and agents, as they are, with
 * delays between them, the engines' model behind them and callers before them. Time
 * is an event queue's; there are no processes and no sockets.
 */
#ifndef ASH_BENCH_POLICY_WORLD_H
#define ASH_BENCH_POLICY_WORLD_H

#include "bench/engine_model.h"
#include "test/session.h"

#define WORLD_HALLS 3
#define WORLD_ENTRIES 8
#define WORLD_AGENTS 16
#define WORLD_BOXES (WORLD_ENTRIES + WORLD_AGENTS)
#define WORLD_ACCOUNTS 10
#define WORLD_CLASSES 3

/** What goes wrong, at fault_us. */
enum world_fault
{
  FAULT_NONE,
  FAULT_KILL,    /**< an agent, back after 3 s with a new life */
  FAULT_STALL,   /**< an engine, for 5 s */
  FAULT_CUT,     /**< a hall, from the others, for 10 s */
  FAULT_PAUSE,   /**< an entry, for 10 s */
  FAULT_REPORTS, /**< all load reports are lost, for 20 s */
};

/** How callers take a refusal. */
enum world_callers
{
  CALLERS_WAIT,  /**< come back when they were told to, three times */
  CALLERS_STORM, /**< come back after 100 ms, five times, whatever they were told */
};

/** An account of the trace. */
struct world_account
{
  const char *name;
  uint32_t class_index;
  uint32_t rate_per_s;     /**< its limit */
  uint32_t reserved_per_s; /**< in the declared event; 0: it takes no part */
};

/** A call, and what came of it. */
struct world_call
{
  int64_t at_us; /**< first asked */
  int64_t deadline_us;
  uint32_t account;
  uint32_t prefix;
  uint32_t tokens;
  uint32_t tries;
  int32_t entry; /**< that has it; -1: none */
  int64_t first_us;
  int64_t done_us;    /**< whole answer; 0: none */
  int64_t refused_us; /**< of the first refusal */
  bool gave_up;
};

/** Settings of a run. */
struct world_setup
{
  const char *route;
  enum world_fault fault;
  enum world_callers callers;
  bool event; /**< a declared event is on, with reservations */
  int64_t fault_us;
  int64_t end_us;
  int64_t latency_us; /**< one way, between boxes */
  int64_t client_us;  /**< one way, to callers */
};

struct world;

/** @return a new world; calls must stay valid, sorted by time. */
struct world *world_new (const struct world_setup *setup,
                         const struct world_account *accounts,
                         struct world_call *calls,
                         uint32_t call_count,
                         uint64_t seed);

/** Runs it to its end. */
void world_run (struct world *world);

/** Work of the engines: tokens made, and those of answers that nobody got in time. */
struct world_work
{
  uint64_t tokens;
  uint64_t wasted;
  uint64_t hits;
  uint64_t misses;
  uint64_t by_engine[WORLD_AGENTS];
};

void world_work (const struct world *world, struct world_work *work);

void world_free (struct world *world);

#endif
