/**
 * @file
 * The loads with which the quarantine of parts of prompts is tested and measured.
 */
#ifndef ASH_BENCH_PART_LOADS_H
#define ASH_BENCH_PART_LOADS_H

#include "bench/part_sim.h"

/** A named load. */
struct part_load
{
  const char *name;
  struct part_sim_setup setup;
};

/** All loads; the last one has no name. */
extern const struct part_load part_loads[];

/** @return the load of that name; aborts if there is none. */
struct part_sim_setup part_load_setup (const char *name);

#endif
