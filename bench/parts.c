/**
 * @file
 * Measures the quarantine of parts of prompts: endpoints that exit before it, requests with a bad
 * part that still reach endpoints, and sound requests that it refuses, for each load and several
 * seeds. usage: bench-parts [SEEDS]
 */
#include "bench/part_loads.h"

#include <stdio.h>
#include <stdlib.h>

#define SEEDS_DEFAULT 10

/* Sums, and the worst run, of one load. */
struct totals
{
  uint32_t exits;
  uint32_t exits_max;
  uint32_t sent_after_3;
  uint32_t sent_after_4;
  uint32_t sent_after_5;
  uint32_t breach_max;
  uint32_t sound;
  uint32_t sound_refused;
  uint32_t late;
  uint32_t late_refused;
  uint32_t wrong;
  int32_t known_ms_max;
  uint32_t unknown;
  uint64_t messages;
};

static uint32_t
larger (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

static void
add_run (struct totals *totals, const struct part_sim_result *result)
{
  totals->exits += result->exits;
  totals->exits_max = larger (totals->exits_max, result->exits);
  totals->sent_after_3 += result->sent_after_3;
  totals->sent_after_4 += result->sent_after_4;
  totals->sent_after_5 += result->sent_after_5;
  totals->breach_max = larger (totals->breach_max, result->sent_in_breach);
  totals->sound += result->sound;
  totals->sound_refused += result->sound_refused;
  totals->late += result->sound_late;
  totals->late_refused += result->sound_late_refused;
  totals->wrong += result->quarantined;
  totals->unknown += result->known_ms < 0;
  if (result->known_ms > totals->known_ms_max)
    totals->known_ms_max = result->known_ms;
  totals->messages += result->messages;
}

static void
print_totals (const char *name, uint32_t seeds, const struct totals *totals)
{
  printf ("%-38s %5.1f %4u %6.1f %6.1f %6.1f %6u %8.4f %8.4f %6u %6d %4u %9llu\n", name,
          (double) totals->exits / seeds, totals->exits_max, (double) totals->sent_after_3 / seeds,
          (double) totals->sent_after_4 / seeds, (double) totals->sent_after_5 / seeds,
          totals->breach_max, totals->sound ? (double) totals->sound_refused / totals->sound : 0,
          totals->late ? (double) totals->late_refused / totals->late : 0, totals->wrong,
          totals->known_ms_max, totals->unknown, (unsigned long long) totals->messages / seeds);
}

int
main (int argc, char **argv)
{
  uint32_t seeds = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : SEEDS_DEFAULT;

  if (!seeds)
    {
      fprintf (stderr, "usage: bench-parts [SEEDS]\n");
      return EXIT_FAILURE;
    }
  printf ("%-38s %5s %4s %6s %6s %6s %6s %8s %8s %6s %6s %4s %9s\n", "load", "exits", "most",
          "past 3", "past 4", "past 5", "breach", "refused", "later", "wrong", "known", "not",
          "messages");
  for (const struct part_load *load = part_loads; load->name; load++)
    {
      struct totals totals = { 0 };

      for (uint32_t seed = 1; seed <= seeds; seed++)
        {
          struct part_sim_setup setup = load->setup;
          struct part_sim_result result;

          setup.seed = seed;
          part_sim_run (&setup, &result);
          add_run (&totals, &result);
        }
      print_totals (load->name, seeds, &totals);
    }
  return EXIT_SUCCESS;
}
