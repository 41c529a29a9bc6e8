#include "test/workers.h"

#include <inttypes.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define WORKERS 8
#define COUNT_DEFAULT 100000

static int
run_share (const struct workers *workers, uint64_t first, uint64_t count, int out)
{
  size_t size = workers->total_count * sizeof workers->totals[0];

  for (uint64_t seed = first; seed < first + count; seed++)
    {
      const char *broken = workers->run (seed, 0);

      if (!broken)
        continue;
      fprintf (stderr, "seed %" PRIu64 ": %s\n", seed, broken);
      workers->run (seed, 1);
      return EXIT_FAILURE;
    }
  return write (out, workers->totals, size) == (ssize_t) size ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void
add_totals (const struct workers *workers, int in)
{
  unsigned long value;

  for (unsigned i = 0; read (in, &value, sizeof value) == sizeof value; i++)
    workers->totals[i % workers->total_count] += value;
}

static void
kill_others (pid_t pids[WORKERS])
{
  for (int i = 0; i < WORKERS; i++)
    if (pids[i] > 0)
      kill (pids[i], SIGKILL);
}

/* Waits for all workers; if @p stop, kills the others once one has failed. @return the number of
 * workers that failed. */
static int
wait_all (pid_t pids[WORKERS], bool stop)
{
  bool ended = false;
  int failures = 0;
  int status;
  pid_t pid;

  while ((pid = wait (&status)) > 0)
    {
      for (int i = 0; i < WORKERS; i++)
        if (pids[i] == pid)
          pids[i] = 0;
      /* A crashed worker counts as failed, but not a worker that this function has killed. */
      if (status == 0 || (ended && WIFSIGNALED (status) && WTERMSIG (status) == SIGKILL))
        continue;
      failures++;
      if (stop)
        kill_others (pids);
      ended = stop;
    }
  return failures;
}

int
workers_run (const struct workers *workers, int argc, char **argv)
{
  uint64_t count = argc > 1 ? strtoull (argv[1], NULL, 10) : COUNT_DEFAULT;
  uint64_t first = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;
  uint64_t share = (count + WORKERS - 1) / WORKERS;
  bool stop = argc > 3 && strcmp (argv[3], "stop") == 0;
  pid_t pids[WORKERS];
  int failures;
  int ends[2];

  if (pipe (ends) < 0)
    return WORKERS;
  for (uint64_t i = 0; i < WORKERS; i++)
    {
      pids[i] = fork ();
      if (pids[i] == 0)
        _exit (run_share (workers, first + i * share, share, ends[1]));
      if (pids[i] < 0)
        {
          perror ("fork");
          return WORKERS;
        }
    }
  failures = wait_all (pids, stop);
  close (ends[1]);
  add_totals (workers, ends[0]);
  close (ends[0]);
  printf ("schedules: %" PRIu64 " from seed %" PRIu64 "; %d of %d workers found a broken promise\n",
          share * WORKERS, first, failures, WORKERS);
  return failures;
}
