/**
 * @file
 * Runs the seeds of a schedule test in several processes, each with an equal share.
 */
#ifndef ASH_TEST_WORKERS_H
#define ASH_TEST_WORKERS_H

#include <stdint.h>

/** A schedule test that workers_run() runs for many seeds. */
struct workers
{
  /**
   * Runs the schedule of a seed; prints its events if @p traced. @return the broken invariant, or
   * NULL.
   */
  const char *(*run) (uint64_t seed, int traced);
  unsigned long *totals; /**< incremented by run(), summed over all worker processes */
  unsigned total_count;
};

/**
 * Runs seeds in worker processes. A worker stops at its first failing seed and runs it again with
 * tracing.
 * @param argv [COUNT [FIRST_SEED [stop]]] after the program name; with "stop" the other workers are
 * killed once one has failed.
 * @return the number of workers that failed.
 */
int workers_run (const struct workers *workers, int argc, char **argv);

#endif
