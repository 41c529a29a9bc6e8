/**
 * @file
 * Measures the quarantine of parts of prompts: endpoints that exit before it, requests with a bad
 * part that still reach endpoints, sound requests that begin at the first try or are refused, for
 * each load and several seeds; then what it costs a request. usage: bench-parts [SEEDS]
 */
#include "bench/part_loads.h"
#include "controllers/part_quarantine.h"
#include "platform/message.h"
#include "proto/event.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define SEEDS_DEFAULT 10
#define COST_ROUNDS 200000

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
  uint32_t sound_begun;
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
  totals->sound_begun += result->sound_begun;
  totals->sound_refused += result->sound_refused;
  totals->late += result->sound_late;
  totals->late_refused += result->sound_late_refused;
  totals->wrong += result->quarantined;
  totals->unknown += result->known_ms < 0;
  if (result->known_ms > totals->known_ms_max)
    totals->known_ms_max = result->known_ms;
  totals->messages += result->messages;
}

static double
share_of (uint32_t some, uint32_t all)
{
  return all ? (double) some / all : 0;
}

static void
print_totals (const char *name, uint32_t seeds, const struct totals *totals)
{
  printf ("%-38s %5.1f %4u %6.1f %6.1f %6.1f %6u %6.4f %8.4f %8.4f %6u %6d %4u %9llu\n", name,
          (double) totals->exits / seeds, totals->exits_max, (double) totals->sent_after_3 / seeds,
          (double) totals->sent_after_4 / seeds, (double) totals->sent_after_5 / seeds,
          totals->breach_max, share_of (totals->sound_begun, totals->sound),
          share_of (totals->sound_refused, totals->sound),
          share_of (totals->late_refused, totals->late), totals->wrong, totals->known_ms_max,
          totals->unknown, (unsigned long long) totals->messages / seeds);
}

/* @return the parts of a request, the middle one of which is one of 400. */
static struct ash_prompt_parts
parts_of (uint64_t number)
{
  return (struct ash_prompt_parts){ 1, { 1, 1000 + number % 400, 5000 + number % 7 }, 3 };
}

static double
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double) now.tv_sec * 1e9 + (double) now.tv_nsec;
}

static void
read_head (void *data, const struct ash_http_head *head)
{
  struct ash_request_fields *fields = data;

  ash_platform_request_read (head, fields);
}

static void
ignore_body (void *data, const uint8_t *bytes, size_t length)
{
  (void) data;
  (void) bytes;
  (void) length;
}

/* Reads a request with this line in its header. @return ns. */
static double
read_ns (const char *line)
{
  static const struct ash_http_handler handler = { read_head, ignore_body };
  struct ash_request_fields fields;
  struct ash_http_reader reader;
  char text[512];
  int length = snprintf (text, sizeof text, "GET / HTTP/1.1\r\nHost: x\r\n%s\r\n", line);
  double start = now_ns ();

  for (uint32_t i = 0; i < COST_ROUNDS; i++)
    {
      ash_http_reader_init (&reader, ASH_HTTP_REQUEST, &handler, &fields);
      ash_http_reader_feed (&reader, (const uint8_t *) text, (size_t) length);
      ash_http_reader_finish (&reader);
    }
  return (now_ns () - start) / COST_ROUNDS;
}

/* @return the size of the report of a run with three parts. */
static size_t
run_report_bytes (void)
{
  uint64_t parts[] = { 1, 2, 3 };
  struct Ash__SuspectRun run = ASH__SUSPECT_RUN__INIT;
  struct Ash__SuspectRun *list[] = { &run };
  struct Ash__SuspectRuns runs = ASH__SUSPECT_RUNS__INIT;

  run.request_hi = run.request_lo = run.endpoint = run.service = 1;
  run.lasted_ms = 200;
  run.age_ms = 1;
  run.begun = true;
  run.parts = parts;
  run.n_parts = 3;
  runs.runs = list;
  runs.n_runs = 1;
  return ash__suspect_runs__get_packed_size (&runs);
}

/* Prints what the parts cost a request, without evidence and with as much as is kept. */
static void
print_costs (void)
{
  struct ash_part_quarantine *quarantine = calloc (1, sizeof *quarantine);
  struct ash_time now = { 1000000 };
  double without_parts =
      read_ns ("X-Other: 11f0aa31:800,bad7c0de:410,c01dcafe:250,e4402b7d:80\r\n");

  if (!quarantine)
    abort ();
  printf (
      "reading four parts: %.0f ns more than an unknown field\n",
      read_ns ("Ashspindle-Prefix-Hash: 11f0aa31:800,bad7c0de:410,c01dcafe:250,e4402b7d:80\r\n") -
          without_parts);
  for (int with_evidence = 0; with_evidence < 2; with_evidence++)
    {
      double start = now_ns ();

      for (uint32_t i = 0; i < COST_ROUNDS; i++)
        {
          struct ash_prompt_parts parts = parts_of (i);
          struct ash_prompt_parts told;

          ash_part_quarantine_left_ms (quarantine, &parts, now, false);
          ash_part_history_note_request (&quarantine->evidence.history, &parts);
          ash_part_quarantine_note_pass (quarantine, &parts, now, &told);
        }
      printf ("deciding, counting and a pass of three parts, %s evidence: %.0f ns\n",
              with_evidence ? "with" : "without", (now_ns () - start) / COST_ROUNDS);
      for (uint32_t i = 0; i < ASH_PART_RUNS; i++)
        {
          struct ash_part_run run = { .request = { 1, i },
                                      .endpoint = i,
                                      .ended = now,
                                      .begun = true,
                                      .proven = true,
                                      .parts = parts_of (i) };

          ash_part_quarantine_add_run (quarantine, &run, now);
        }
    }
  printf ("memory: %zu bytes, and %zu for each of at most %d parts\n", sizeof *quarantine,
          sizeof (struct ash_part_record), ASH_PART_HISTORY_PARTS_MAX);
  printf ("report of a run with three parts: %zu bytes\n", run_report_bytes ());
  ash_part_quarantine_finish (quarantine);
  free (quarantine);
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
  printf ("%-38s %5s %4s %6s %6s %6s %6s %6s %8s %8s %6s %6s %4s %9s\n", "load", "exits", "most",
          "past 3", "past 4", "past 5", "breach", "begun", "refused", "later", "wrong", "known",
          "not", "messages");
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
  print_costs ();
  return EXIT_SUCCESS;
}
