/**
 * @file
 * Measures faults with real processes: how soon a leaving endpoint receives no new
 * requests, which outcomes callers get when an agent is killed, and how soon the work
 * of a dead entry is cancelled. Prints Markdown tables to standard output.
 */
#include "test/fleet.h"

#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLERS 16
#define WATCH_MS 4000
#define REQUESTS 600
#define REQUEST_PERIOD_MS 5
#define STREAMS 20
#define CANCEL_WATCH_MS 40000
#define SETTINGS "log_level = \"warn\"\nguard_ms = 0\n"

/* ---- a leaving endpoint ---- */

struct caller
{
  struct fleet *fleet;
  int entry; /* index of the entry to call; -1: alternate between both */
  volatile bool stop;
  pthread_t thread;
};

static void *
keep_calling (void *data)
{
  struct caller *caller = data;

  for (int i = 0; !caller->stop; i++)
    {
      struct fleet_call call;

      fleet_begin_chat (caller->fleet, &call, caller->entry < 0 ? i % FLEET_ENTRIES : caller->entry,
                        true, 1);
      fleet_wait_call (&call);
      ash_cli_answer_finish (&call.answer);
    }
  return NULL;
}

/* @return milliseconds from now until the last request started on the first model endpoint. */
static int64_t
watch_starts (struct fleet *fleet)
{
  int64_t start_ms = fleet_now_ms ();
  int64_t last_ms = 0;
  int runs = fleet_count_runs (fleet, 0, NULL, "runs");

  while (fleet_now_ms () - start_ms < WATCH_MS)
    {
      int now_runs = fleet_count_runs (fleet, 0, NULL, "runs");

      if (now_runs != runs)
        last_ms = fleet_now_ms () - start_ms;
      runs = now_runs;
      fleet_sleep_ms (5);
    }
  return last_ms;
}

/* How an entry learns that an endpoint is leaving. */
enum source
{
  SOURCE_OWN,  /* from the endpoint */
  SOURCE_LIST, /* from the box list of the platform */
  SOURCE_PEER, /* from another entry */
};

static void
measure_leaving (const char *what, enum source source)
{
  struct fleet fleet;
  struct caller callers[CALLERS] = { 0 };
  int64_t last_ms;

  fleet_start (&fleet, SETTINGS);
  if (source == SOURCE_PEER)
    {
      fleet_end_process (&fleet.entries[1].pid, SIGKILL);
      fleet.entries[1].platform_port = fleet.endpoints[0].peer_port;
      fleet_start_entry (&fleet, 1);
      fleet_wait_live (&fleet, 1, FLEET_ENDPOINTS);
    }
  for (int i = 0; i < CALLERS; i++)
    {
      callers[i].fleet = &fleet;
      callers[i].entry = source == SOURCE_PEER ? 1 : -1;
      pthread_create (&callers[i].thread, NULL, keep_calling, &callers[i]);
    }
  fleet_sleep_ms (1000);
  if (source == SOURCE_OWN)
    kill (fleet.endpoints[0].pid, SIGTERM);
  else
    fleet_control (fleet.platform_port, "/control/box?box=model-1&state=leaving");
  last_ms = watch_starts (&fleet);
  printf ("| %s | %lld |\n", what, (long long) last_ms);
  for (int i = 0; i < CALLERS; i++)
    {
      callers[i].stop = true;
      pthread_join (callers[i].thread, NULL);
    }
  fleet_stop (&fleet);
}

/* ---- a killed agent ---- */

static void
measure_unknown (void)
{
  static struct fleet_call calls[REQUESTS];
  struct fleet fleet;
  int counts[4] = { 0 }; /* outcome ran, not-run, unknown, and not-run although it ran */
  int in_flight = 0;

  fleet_start (&fleet, SETTINGS);
  for (int i = 0; i < REQUESTS; i++)
    {
      fleet_begin_order (&fleet, &calls[i], i % FLEET_ENTRIES, NULL, 0, 50, 3000);
      fleet_sleep_ms (REQUEST_PERIOD_MS);
      if (i != REQUESTS / 3)
        continue;
      in_flight = fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs") -
                  fleet_count_runs (&fleet, FLEET_STOCK, NULL, "ended");
      fleet_end_process (&fleet.endpoints[FLEET_STOCK].pid, SIGKILL);
      fleet_start_endpoint (&fleet, FLEET_STOCK);
    }
  for (int i = 0; i < REQUESTS; i++)
    fleet_wait_call (&calls[i]);
  for (int i = 0; i < REQUESTS; i++)
    {
      const struct ash_cli_answer *answer = &calls[i].answer;
      bool not_run = strcmp (answer->outcome, "not-run") == 0;

      counts[0] += strcmp (answer->outcome, "ran") == 0;
      counts[1] += not_run;
      counts[2] += strcmp (answer->outcome, "unknown") == 0;
      counts[3] +=
          not_run && fleet_count_runs (&fleet, FLEET_STOCK, answer->request_id, "runs") > 0;
      ash_cli_answer_finish (&calls[i].answer);
    }
  printf ("| %d | %d | %d | %d | %d | %d |\n", REQUESTS, counts[0], counts[1], counts[2], in_flight,
          counts[3]);
  fleet_stop (&fleet);
}

/* ---- a killed entry ---- */

/* @param orphans whether agents cancel requests without a connected entry before their deadline. */
static void
measure_cancel (const char *what, int signal, bool orphans)
{
  struct fleet fleet;
  struct fleet_call calls[STREAMS];
  int64_t killed_ms;
  int cancelled = 0;

  fleet_start (&fleet, orphans ? SETTINGS : SETTINGS "orphan_ms = 600000\n");
  for (int i = 0; i < STREAMS; i++)
    fleet_begin_chat (&fleet, &calls[i], 0, true, 4000);
  fleet_sleep_ms (500);
  kill (fleet.entries[0].pid, signal);
  killed_ms = fleet_now_ms ();
  while (cancelled < STREAMS && fleet_now_ms () - killed_ms < CANCEL_WATCH_MS)
    {
      cancelled = fleet_count_runs (&fleet, 0, NULL, "cancelled") +
                  fleet_count_runs (&fleet, 1, NULL, "cancelled");
      fleet_sleep_ms (5);
    }
  printf ("| %s | %d | %d | %lld |\n", what, STREAMS, cancelled,
          (long long) (fleet_now_ms () - killed_ms));
  fleet_end_process (&fleet.entries[0].pid, SIGKILL);
  for (int i = 0; i < STREAMS; i++)
    {
      fleet_wait_call (&calls[i]);
      ash_cli_answer_finish (&calls[i].answer);
    }
  fleet_stop (&fleet);
}

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  printf ("| an endpoint is leaving, known from | last new start there after, ms |\n|---|---|\n");
  measure_leaving ("its own signal alone", SOURCE_OWN);
  measure_leaving ("the platform's list alone, from when the list shows it", SOURCE_LIST);
  measure_leaving ("another entry's word alone", SOURCE_PEER);
  printf (
      "\n| orders, the agent is killed among them | ran | not run | unknown | in its hands when "
      "killed | told not run, and ran |\n|---|---|---|---|---|---|\n");
  measure_unknown ();
  printf (
      "\n| an entry with streams in hand is | streams | cancelled at the engines | after, ms |\n"
      "|---|---|---|---|\n");
  measure_cancel ("killed", SIGKILL, true);
  measure_cancel ("paused", SIGSTOP, true);
  measure_cancel ("killed, without cancelling orphans", SIGKILL, false);
  return EXIT_SUCCESS;
}
