/**
 * @file
 * Runs seeds over several processes, which take equal shares of them.
 */
#ifndef ASH_TEST_WORKERS_H
#define ASH_TEST_WORKERS_H

#include <stdint.h>

/** What a schedule test is. */
struct workers
{
  /** Plays a seed; prints its session if @p traced. @return what broke, or NULL. */
  const char *(*run) (uint64_t seed, int traced);
  unsigned long *totals; /**< counted by run(), added up over the processes */
  unsigned total_count;
};

/**
 * Plays seeds; a worker stops at its first that breaks something, and plays it
 * again, traced.
 * @param arguments [COUNT [FIRST_SEED [stop]]] of the command line; with "stop" the other workers
 * end once one has found something.
 * @return how many workers found something broken.
 */
int workers_run (const struct workers *workers, int argc, char **argv);

#endif
