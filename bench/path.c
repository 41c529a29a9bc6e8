/**
 * @file
 * Measures the latency that entry and agent add to a direct call of the stand-in
 * service, at three request rates through one entry, and the memory and CPU use of an
 * idle entry and agent. Prints Markdown tables to standard output.
 */
#include "bench/load.h"
#include "test/fleet.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SECONDS 5
#define IDLE_MS 5000
#define BEARER "fleet-test-key"

static const uint32_t rates_per_s[] = { 14, 140, 1400 };

static void
warm_up (const char *url, const char *key)
{
  struct load load = { .url = url, .key = key, .rate_per_s = 500, .count = 500 };

  load_run (&load);
  load_finish (&load);
}

static void
print_rate (uint32_t rate_per_s, const char *direct_url, const char *path_url)
{
  struct load direct = { .url = direct_url,
                         .rate_per_s = rate_per_s,
                         .count = rate_per_s * SECONDS };
  struct load path = {
    .url = path_url, .key = BEARER, .rate_per_s = rate_per_s, .count = rate_per_s * SECONDS
  };
  int64_t added_us;

  load_run (&direct);
  load_run (&path);
  added_us = load_percentile_us (&path, 0.5) - load_percentile_us (&direct, 0.5);
  printf ("| %u | %lld | %lld | %lld | %lld | %lld | %.2f | %.2f | %u |\n", rate_per_s,
          (long long) load_percentile_us (&direct, 0.5),
          (long long) load_percentile_us (&direct, 0.99),
          (long long) load_percentile_us (&path, 0.5), (long long) load_percentile_us (&path, 0.99),
          (long long) added_us,
          (double) load_percentile_us (&path, 0.5) / (double) load_percentile_us (&direct, 0.5),
          (double) load_percentile_us (&path, 0.99) / (double) load_percentile_us (&direct, 0.99),
          direct.failed + path.failed);
  load_finish (&direct);
  load_finish (&path);
}

static long
resident_kib (pid_t pid)
{
  char path[64];
  char line[256];
  long kib = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", pid);
  file = fopen (path, "r");
  while (file && fgets (line, sizeof line, file))
    if (sscanf (line, "VmRSS: %ld", &kib) == 1)
      break;
  if (file)
    fclose (file);
  return kib;
}

static double
cpu_s (pid_t pid)
{
  char path[64];
  unsigned long user = 0;
  unsigned long system = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/stat", pid);
  file = fopen (path, "r");
  if (!file || fscanf (file, "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
                       &system) != 2)
    user = 0;
  if (file)
    fclose (file);
  return (double) (user + system) / (double) sysconf (_SC_CLK_TCK);
}

static void
print_idle (const char *role, pid_t pid)
{
  double before_s = cpu_s (pid);

  fleet_sleep_ms (IDLE_MS);
  printf ("| %s | %.1f | %.2f |\n", role, (double) resident_kib (pid) / 1024,
          (cpu_s (pid) - before_s) * 100 * 1000 / IDLE_MS);
}

/* Measures the CPU cost of heartbeats including sockets, at 50 times the default rate.
 * Here an entry has 4 links and an agent 2; each link carries one heartbeat per period
 * in each direction. */
static void
print_heartbeats (void)
{
  struct fleet fleet;

  fleet_start (&fleet, "log_level = \"warn\"\nheartbeat_ms = 10\n");
  printf ("\n| role, a heartbeat each 10 ms on each link | resident MiB | CPU %% of a core |\n"
          "|---|---|---|\n");
  print_idle ("entry, 4 links", fleet.entries[0].pid);
  print_idle ("agent, 2 links", fleet.endpoints[FLEET_STOCK].pid);
  fleet_stop (&fleet);
}

int
main (void)
{
  struct fleet fleet;
  char direct_url[128];
  char path_url[128];

  curl_global_init (CURL_GLOBAL_DEFAULT);
  fleet_start (&fleet, "log_level = \"warn\"\n");
  printf ("| role, idle | resident MiB | CPU %% of a core |\n|---|---|---|\n");
  print_idle ("entry (2 entries, 3 endpoints)", fleet.entries[0].pid);
  print_idle ("agent", fleet.endpoints[FLEET_STOCK].pid);
  snprintf (direct_url, sizeof direct_url, "http://127.0.0.1:%u/bins/1?work_ms=0",
            fleet.endpoints[FLEET_STOCK].http_port);
  snprintf (path_url, sizeof path_url, "http://127.0.0.1:%u/v1/services/stock/bins/1?work_ms=0",
            fleet.entries[0].http_port);
  warm_up (direct_url, NULL);
  warm_up (path_url, BEARER);
  printf ("\n| requests/s | direct median us | direct p99 us | path median us | path p99 us | "
          "added at median us | ratio median | ratio p99 | failed |\n"
          "|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof rates_per_s / sizeof rates_per_s[0]; i++)
    print_rate (rates_per_s[i], direct_url, path_url);
  printf ("\n| role, after the load | resident MiB | CPU %% of a core |\n|---|---|---|\n");
  print_idle ("entry", fleet.entries[0].pid);
  print_idle ("agent", fleet.endpoints[FLEET_STOCK].pid);
  fleet_stop (&fleet);
  print_heartbeats ();
  curl_global_cleanup ();
  return EXIT_SUCCESS;
}
