/**
 * @file
 * Fault tests with real processes on loopback: killed and paused processes, cut links, planned
 * stops. The outcomes that callers got are compared with the runs that the stand-in engines
 * recorded.
 */
#include "test/fault_tests.h"
#include "test/fleet.h"
#include "test/raw.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <curl/curl.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define STREAMS 200

static bool
has_outcome (const struct fleet_call *call, const char *outcome)
{
  return strcmp (call->answer.outcome, outcome) == 0;
}

/* Waits until agents that have just started no longer refuse callers' keys. */
static void
wait_guard_period (void)
{
  fleet_sleep_ms (900);
}

/* Waits until an engine of either model endpoint has started a run. @return false after 10 s. */
static bool
wait_model_run (struct fleet *fleet)
{
  int64_t until_ms = fleet_now_ms () + 10000;

  while (fleet_count_runs (fleet, 0, NULL, "runs") + fleet_count_runs (fleet, 1, NULL, "runs") == 0)
    {
      if (fleet_now_ms () > until_ms)
        return false;
      fleet_sleep_ms (10);
    }
  return true;
}

static void
test_one_key_two_entries (void)
{
  struct fleet fleet;
  struct fleet_call calls[2];

  fleet_start (&fleet, SHORT_TTL_SETTINGS);
  fleet_sleep_ms (ID_TTL_PASSED_MS);
  fleet_begin_order (&fleet, &calls[0], 0, "order-1", 1, 300, 0);
  fleet_begin_order (&fleet, &calls[1], 1, "order-1", 2, 300, 0);
  for (int i = 0; i < 2; i++)
    {
      fleet_wait_call (&calls[i]);
      CU_ASSERT_EQUAL (calls[i].answer.status, 200);
      CU_ASSERT (has_outcome (&calls[i], "ran"));
    }
  CU_ASSERT_STRING_EQUAL (calls[0].answer.request_id, calls[1].answer.request_id);
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs"), 1);
  for (int i = 0; i < 2; i++)
    ash_cli_answer_finish (&calls[i].answer);
  fleet_stop (&fleet);
}

static void
test_entry_killed (void)
{
  struct fleet fleet;
  struct fleet_call calls[2];

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  wait_guard_period ();
  fleet_begin_order (&fleet, &calls[0], 0, "order-1", 1, 600, 0);
  CU_ASSERT (wait_runs (&fleet, FLEET_STOCK, "runs", 1));
  fleet_end_process (&fleet.entries[0].pid, SIGKILL);
  fleet_wait_call (&calls[0]);
  CU_ASSERT_EQUAL (calls[0].answer.status, 0);
  /* The caller retries through the other entry and gets the answer of the same run. */
  fleet_begin_order (&fleet, &calls[1], 1, "order-1", 2, 600, 0);
  fleet_wait_call (&calls[1]);
  CU_ASSERT_EQUAL (calls[1].answer.status, 200);
  CU_ASSERT (has_outcome (&calls[1], "ran"));
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs"), 1);
  for (int i = 0; i < 2; i++)
    ash_cli_answer_finish (&calls[i].answer);
  fleet_stop (&fleet);
}

static void
test_agent_killed (void)
{
  struct fleet fleet;
  struct fleet_call calls[3];

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  wait_guard_period ();
  fleet_begin_order (&fleet, &calls[0], 0, "order-1", 1, 5000, 8000);
  fleet_begin_order (&fleet, &calls[1], 1, NULL, 0, 5000, 8000);
  CU_ASSERT (wait_runs (&fleet, FLEET_STOCK, "runs", 2));
  fleet_end_process (&fleet.endpoints[FLEET_STOCK].pid, SIGKILL);
  fleet_start_endpoint (&fleet, FLEET_STOCK);
  for (int i = 0; i < 2; i++)
    {
      fleet_wait_call (&calls[i]);
      CU_ASSERT (has_outcome (&calls[i], "unknown"));
      CU_ASSERT_EQUAL (calls[i].answer.status, 502);
    }
  CU_ASSERT (fleet_wait_live (&fleet, 0, FLEET_ENDPOINTS));
  wait_guard_period ();
  /* The restarted agent can't know what its former incarnation did with that key. */
  fleet_begin_order (&fleet, &calls[2], 0, "order-1", 2, 1, 0);
  fleet_wait_call (&calls[2]);
  CU_ASSERT (has_outcome (&calls[2], "unknown"));
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs"), 2);
  for (int i = 0; i < 3; i++)
    ash_cli_answer_finish (&calls[i].answer);
  fleet_stop (&fleet);
}

static void
test_new_incarnation_runs_no_key (void)
{
  struct fleet fleet;
  struct fleet_call call;

  fleet_start (&fleet, LINK_SETTINGS "id_life_ms = 20000\nguard_ms = 60000\n");
  fleet_begin_order (&fleet, &call, 0, "order-1", 1, 1, 0);
  fleet_wait_call (&call);
  CU_ASSERT (has_outcome (&call, "not-run"));
  CU_ASSERT_EQUAL (call.answer.status, 503);
  CU_ASSERT (call.answer.retry_ms > 0);
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs"), 0);
  ash_cli_answer_finish (&call.answer);
  fleet_stop (&fleet);
}

/* A minted key names its home endpoint and the incarnation of that endpoint's agent. Therefore an
 * agent that has just started runs a request with the key, once, whatever its attempt number; a
 * later incarnation of the agent refuses the request. */
static void
test_minted_key (void)
{
  struct fleet fleet;
  struct fleet_call calls[3];
  char key[256];

  fleet_start (&fleet, LINK_SETTINGS "id_life_ms = 20000\nguard_ms = 60000\n");
  CU_ASSERT (fleet_mint_key (&fleet, 0, "stock", key));
  for (int i = 0; i < 2; i++)
    {
      fleet_begin_order (&fleet, &calls[i], i, key, 0, 1, 0);
      fleet_wait_call (&calls[i]);
      CU_ASSERT (has_outcome (&calls[i], "ran"));
    }
  fleet_end_process (&fleet.endpoints[FLEET_STOCK].pid, SIGKILL);
  fleet_start_endpoint (&fleet, FLEET_STOCK);
  CU_ASSERT (fleet_wait_live (&fleet, 0, FLEET_ENDPOINTS));
  fleet_begin_order (&fleet, &calls[2], 0, key, 0, 1, 0);
  fleet_wait_call (&calls[2]);
  CU_ASSERT (has_outcome (&calls[2], "unknown"));
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs"), 1);
  for (int i = 0; i < 3; i++)
    ash_cli_answer_finish (&calls[i].answer);
  fleet_stop (&fleet);
}

static void
test_entry_paused (void)
{
  struct fleet fleet;
  struct fleet_call calls[2];

  fleet_start (&fleet, SHORT_TTL_SETTINGS);
  fleet_sleep_ms (ID_TTL_PASSED_MS);
  kill (fleet.entries[0].pid, SIGSTOP);
  /* This request waits in the paused entry's socket for longer than its deadline. */
  fleet_begin_order (&fleet, &calls[0], 0, "order-1", 1, 1, 1000);
  fleet_begin_order (&fleet, &calls[1], 1, "order-1", 2, 1, 0);
  fleet_wait_call (&calls[1]);
  CU_ASSERT (has_outcome (&calls[1], "ran"));
  /* The agent restarts and has no record of the key; then the paused entry resumes and reads the
   * first request, whose deadline has passed. */
  fleet_end_process (&fleet.endpoints[FLEET_STOCK].pid, SIGKILL);
  fleet_start_endpoint (&fleet, FLEET_STOCK);
  CU_ASSERT (fleet_wait_live (&fleet, 1, FLEET_ENDPOINTS));
  fleet_sleep_ms (1200);
  kill (fleet.entries[0].pid, SIGCONT);
  fleet_wait_call (&calls[0]);
  CU_ASSERT_FALSE (has_outcome (&calls[0], "ran"));
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs"), 1);
  CU_ASSERT (fleet_count_log_lines (&fleet, "entry-1", " 105 woke ") > 0);
  for (int i = 0; i < 2; i++)
    ash_cli_answer_finish (&calls[i].answer);
  fleet_stop (&fleet);
}

/* One link is cut and restored, the other closed and reopened, while streams run over both. */
static void
test_streams_over_link_cut (void)
{
  static struct fleet_call calls[STREAMS];
  struct fleet fleet;
  int whole = 0;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  for (int i = 0; i < STREAMS; i++)
    fleet_begin_chat (&fleet, &calls[i], i % FLEET_ENTRIES, true, 150);
  CU_ASSERT (wait_model_run (&fleet));
  fleet_sleep_ms (200);
  fleet_control (fleet.endpoints[0].control_port, "/control?mode=1");
  fleet_sleep_ms (300);
  fleet_control (fleet.endpoints[0].control_port, "/control?mode=0");
  fleet_control (fleet.endpoints[1].control_port, "/control?mode=3");
  fleet_sleep_ms (200);
  fleet_control (fleet.endpoints[1].control_port, "/control?mode=0");
  for (int i = 0; i < STREAMS; i++)
    {
      fleet_wait_call (&calls[i]);
      whole += fleet_stream_ok (&calls[i].answer, 150);
      ash_cli_answer_finish (&calls[i].answer);
    }
  CU_ASSERT_EQUAL (whole, STREAMS);
  CU_ASSERT (fleet_count_log_lines (&fleet, "entry-1", " 403 request_resumed ") > 0);
  fleet_stop (&fleet);
}

static void
test_one_way_cut (void)
{
  struct fleet fleet;
  struct fleet_call call;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  wait_guard_period ();
  fleet_begin_order (&fleet, &call, 0, "order-1", 1, 300, 8000);
  CU_ASSERT (wait_runs (&fleet, FLEET_STOCK, "runs", 1));
  fleet_control (fleet.endpoints[FLEET_STOCK].control_port, "/control?mode=2");
  fleet_sleep_ms (1500);
  fleet_control (fleet.endpoints[FLEET_STOCK].control_port, "/control?mode=0");
  fleet_wait_call (&call);
  CU_ASSERT (has_outcome (&call, "ran"));
  CU_ASSERT_EQUAL (call.answer.status, 200);
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs"), 1);
  ash_cli_answer_finish (&call.answer);
  fleet_stop (&fleet);
}

static void
test_broken_stream (void)
{
  struct fleet fleet;
  struct fleet_call calls[2];
  const char *text;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  for (int a = 0; a < FLEET_MODELS; a++)
    fleet_control (fleet.endpoints[a].http_port, "/control?break_after=3");
  fleet_begin_chat (&fleet, &calls[0], 0, true, 10);
  fleet_begin_chat (&fleet, &calls[1], 0, false, 10);
  fleet_wait_call (&calls[0]);
  CU_ASSERT_FALSE (calls[0].answer.whole);
  text = calls[0].answer.body ? calls[0].answer.body : "";
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "event: error"));
  CU_ASSERT_PTR_NULL (strstr (text, "[DONE]"));
  fleet_wait_call (&calls[1]);
  CU_ASSERT_EQUAL (calls[1].answer.status, 200);
  for (int i = 0; i < 2; i++)
    ash_cli_answer_finish (&calls[i].answer);
  fleet_stop (&fleet);
}

/* The engine reads the request, then closes the connection without an answer. libcurl must not
 * send the request again by itself, as it may on a reused connection. */
static void
test_dropped_by_engine (void)
{
  struct fleet fleet;
  struct fleet_call calls[2];

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  fleet_begin_order (&fleet, &calls[0], 0, NULL, 0, 1, 0);
  fleet_wait_call (&calls[0]);
  CU_ASSERT (has_outcome (&calls[0], "ran"));
  fleet_control (fleet.endpoints[FLEET_STOCK].http_port, "/control?drop=1");
  fleet_begin_order (&fleet, &calls[1], 0, NULL, 0, 1, 0);
  fleet_wait_call (&calls[1]);
  CU_ASSERT (has_outcome (&calls[1], "unknown"));
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs"), 2);
  for (int i = 0; i < 2; i++)
    ash_cli_answer_finish (&calls[i].answer);
  fleet_stop (&fleet);
}

static void
test_engine_down (void)
{
  struct fleet fleet;
  struct fleet_call calls[2];

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  fleet_end_process (&fleet.endpoints[FLEET_STOCK].engine, SIGKILL);
  fleet_end_process (&fleet.endpoints[0].engine, SIGKILL);
  fleet_begin_order (&fleet, &calls[0], 0, NULL, 0, 1, 0);
  fleet_wait_call (&calls[0]);
  CU_ASSERT (has_outcome (&calls[0], "not-run"));
  fleet_begin_chat (&fleet, &calls[1], 0, true, 3);
  fleet_wait_call (&calls[1]);
  CU_ASSERT (fleet_stream_ok (&calls[1].answer, 3));
  for (int i = 0; i < 2; i++)
    ash_cli_answer_finish (&calls[i].answer);
  fleet_stop (&fleet);
}

/* A run is cancelled at the engine, well before its deadline, once its caller has disconnected or
 * its entry has been killed. */
static void
test_cancel (bool kill_the_entry)
{
  struct fleet fleet;
  struct fleet_call call;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  if (kill_the_entry)
    {
      fleet_begin_chat (&fleet, &call, 0, true, 2000);
      CU_ASSERT (wait_model_run (&fleet));
      fleet_end_process (&fleet.entries[0].pid, SIGKILL);
    }
  else
    {
      /* ash_cli_fetch() closes its connection only five seconds after the deadline. To disconnect
       * earlier, a child process makes the call and is killed. */
      pid_t caller = fork ();

      if (caller == 0)
        {
          fleet_begin_chat (&fleet, &call, 0, false, 2000);
          pause ();
        }
      CU_ASSERT (wait_model_run (&fleet));
      fleet_end_process (&caller, SIGKILL);
    }
  for (int i = 0; i < 300 && !fleet_count_log_lines (&fleet, "model-1", " 503 run_cancelled ") &&
                  !fleet_count_log_lines (&fleet, "model-2", " 503 run_cancelled ");
       i++)
    fleet_sleep_ms (10);
  CU_ASSERT_EQUAL (fleet_count_log_lines (&fleet, "model-1", " 503 run_cancelled ") +
                       fleet_count_log_lines (&fleet, "model-2", " 503 run_cancelled "),
                   1);
  if (kill_the_entry)
    {
      fleet_wait_call (&call);
      ash_cli_answer_finish (&call.answer);
    }
  fleet_stop (&fleet);
}

static void
test_cancel_caller_disconnected (void)
{
  test_cancel (false);
}

static void
test_cancel_entry_killed (void)
{
  test_cancel (true);
}

/* ---- boxes that are leaving, and planned stops ---- */

static void *
keep_calling (void *data)
{
  struct fleet *fleet = ((void **) data)[0];
  volatile bool *stop = ((void **) data)[1];
  int *failures = ((void **) data)[2];
  int entry = *(int *) ((void **) data)[3];
  struct fleet_call calls[LOAD_STREAMS];

  while (!*stop)
    {
      for (int i = 0; i < LOAD_STREAMS; i++)
        fleet_begin_chat (fleet, &calls[i], entry < 0 ? i % FLEET_ENTRIES : entry, i % 2, 5);
      for (int i = 0; i < LOAD_STREAMS; i++)
        {
          fleet_wait_call (&calls[i]);
          if (calls[i].answer.status != 200 || !calls[i].answer.whole)
            {
              fprintf (stderr, "call under load failed: status %ld outcome %s: %s\n",
                       calls[i].answer.status, calls[i].answer.outcome,
                       calls[i].answer.body ? calls[i].answer.body : calls[i].answer.error);
              (*failures)++;
            }
          ash_cli_answer_finish (&calls[i].answer);
        }
    }
  return NULL;
}

/* Agents are stopped as planned and restarted, one after the other, under load: no call fails. */
static void
test_planned_stop_of_agents (void)
{
  struct fleet fleet;
  volatile bool stop = false;
  int failures = 0;
  int entry = -1;
  void *data[] = { &fleet, (void *) (uintptr_t) &stop, &failures, &entry };
  pthread_t thread;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  pthread_create (&thread, NULL, keep_calling, data);
  for (int a = 0; a < FLEET_MODELS; a++)
    {
      fleet_sleep_ms (200);
      CU_ASSERT_EQUAL (fleet_end_process (&fleet.endpoints[a].pid, SIGTERM), 0);
      fleet_start_endpoint (&fleet, a);
      for (int e = 0; e < FLEET_ENTRIES; e++)
        CU_ASSERT (fleet_wait_live (&fleet, e, FLEET_ENDPOINTS));
    }
  stop = true;
  pthread_join (thread, NULL);
  CU_ASSERT_EQUAL (failures, 0);
  fleet_stop (&fleet);
}

/* An entry is stopped as planned while callers still connect to it, as its address is cached. */
static void
test_planned_stop_of_entry (void)
{
  struct fleet fleet;
  struct fleet_call calls[LOAD_STREAMS];
  struct fleet_call late;
  pid_t pid;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  for (int i = 0; i < LOAD_STREAMS; i++)
    fleet_begin_chat (&fleet, &calls[i], 0, true, 200);
  CU_ASSERT (wait_model_run (&fleet));
  pid = fleet.entries[0].pid;
  kill (pid, SIGTERM);
  fleet_sleep_ms (100);
  /* For address_keep_ms after the signal the entry still accepts and serves new callers. */
  fleet_begin_chat (&fleet, &late, 0, true, 5);
  fleet_wait_call (&late);
  CU_ASSERT (fleet_stream_ok (&late.answer, 5));
  ash_cli_answer_finish (&late.answer);
  expect_streams (calls, 200);
  CU_ASSERT_EQUAL (fleet_end_process (&fleet.entries[0].pid, 0), 0);
  fleet_start_entry (&fleet, 0);
  CU_ASSERT (fleet_wait_live (&fleet, 0, FLEET_ENDPOINTS));
  fleet_stop (&fleet);
}

/* A caller that connected before the entry closed its listener is served, although it sends its
 * request only afterwards. */
static void
test_planned_stop_before_request (void)
{
  static const char request[] = "GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n";
  struct fleet fleet;
  char text[4096];
  uint16_t port;
  int late;
  int fd;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  port = fleet.entries[0].http_port;
  fd = raw_connect (port);
  kill (fleet.entries[0].pid, SIGTERM);
  for (int i = 0; i < 100 && (late = raw_connect (port)) >= 0; i++)
    {
      close (late);
      fleet_sleep_ms (50);
    }
  CU_ASSERT (late < 0);
  raw_send (fd, request, sizeof request - 1);
  CU_ASSERT (raw_read_until_closed (fd, text, sizeof text));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, " 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Connection: close"));
  CU_ASSERT_EQUAL (fleet_end_process (&fleet.entries[0].pid, 0), 0);
  fleet_stop (&fleet);
}

/* ---- planned stop: grace period ---- */

/* A short grace period keeps the tests short; the requests in flight would take 20 s. */
#define SHORT_GRACE NO_GUARD_SETTINGS "grace_ms = 1500\n"
#define LONG_TOKENS 4000
#define LONG_WORK_MS 20000
#define LONG_DEADLINE_MS 600000

/* Guards against a planned stop of an entry that waits for all requests in flight, which may take
 * 600 s: operators kill the process after a few seconds, so that callers get truncated answers and
 * no outcome for their orders. At the end of the grace period each caller must get a final answer
 * and the process must exit. */
static void
test_entry_stop_grace (void)
{
  struct fleet fleet;
  struct fleet_call stream;
  struct fleet_call order;

  fleet_start (&fleet, SHORT_GRACE);
  fleet_begin_chat (&fleet, &stream, 0, true, LONG_TOKENS);
  fleet_begin_order (&fleet, &order, 0, NULL, 0, LONG_WORK_MS, LONG_DEADLINE_MS);
  CU_ASSERT (wait_model_run (&fleet));
  CU_ASSERT (wait_runs (&fleet, FLEET_STOCK, "runs", 1));
  CU_ASSERT_EQUAL (fleet_end_process (&fleet.entries[0].pid, SIGTERM), 0);
  fleet_wait_call (&stream);
  fleet_wait_call (&order);
  CU_ASSERT_FALSE (stream.answer.whole);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (stream.answer.body ? stream.answer.body : "", "\"code\":\"stopped\""));
  CU_ASSERT_EQUAL (order.answer.status, 502);
  CU_ASSERT_STRING_EQUAL (order.answer.outcome, "unknown");
  ash_cli_answer_finish (&stream.answer);
  ash_cli_answer_finish (&order.answer);
  fleet_stop (&fleet);
}

static bool
wait_logged (struct fleet *fleet, const char *box, const char *text)
{
  int64_t until = fleet_now_ms () + 5000;

  while (!fleet_count_log_lines (fleet, box, text) && fleet_now_ms () < until)
    fleet_sleep_ms (5);
  return fleet_count_log_lines (fleet, box, text) > 0;
}

/* A further SIGTERM ended the process with the requests that the first one had let go on. */
static void
test_further_sigterm (void)
{
  struct fleet fleet;
  struct fleet_call call;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  fleet_begin_chat (&fleet, &call, 0, true, LONG_TOKENS / 16);
  CU_ASSERT (wait_model_run (&fleet));
  kill (fleet.entries[0].pid, SIGTERM);
  CU_ASSERT (wait_logged (&fleet, fleet.entries[0].name, " stopping "));
  kill (fleet.entries[0].pid, SIGTERM);
  CU_ASSERT (wait_logged (&fleet, fleet.entries[0].name, " stop_again "));
  fleet_wait_call (&call);
  CU_ASSERT (call.answer.whole);
  CU_ASSERT_EQUAL (fleet_end_process (&fleet.entries[0].pid, 0), 0);
  CU_ASSERT_EQUAL (fleet_count_log_lines (&fleet, fleet.entries[0].name, " cut_short "), 0);
  ash_cli_answer_finish (&call.answer);
  fleet_stop (&fleet);
}

/* At the end of the grace period of an agent's planned stop the agent must exit, and each caller
 * must get a final answer: requests that may be repeated are retried at another endpoint and get
 * whole answers, the order gets the outcome unknown. */
static void
test_agent_stop_grace (void)
{
  struct fleet fleet;
  struct fleet_call calls[LOAD_STREAMS];
  struct fleet_call order;

  fleet_start (&fleet, SHORT_GRACE);
  for (int i = 0; i < LOAD_STREAMS; i++)
    fleet_begin_chat (&fleet, &calls[i], i % FLEET_ENTRIES, false, LONG_TOKENS / 8);
  fleet_begin_order (&fleet, &order, 0, NULL, 0, LONG_WORK_MS, LONG_DEADLINE_MS);
  CU_ASSERT (wait_runs (&fleet, 0, "runs", 1));
  CU_ASSERT (wait_runs (&fleet, FLEET_STOCK, "runs", 1));
  CU_ASSERT_EQUAL (fleet_end_process (&fleet.endpoints[0].pid, SIGTERM), 0);
  CU_ASSERT_EQUAL (fleet_end_process (&fleet.endpoints[FLEET_STOCK].pid, SIGTERM), 0);
  for (int i = 0; i < LOAD_STREAMS; i++)
    {
      fleet_wait_call (&calls[i]);
      CU_ASSERT_EQUAL (calls[i].answer.status, 200);
      CU_ASSERT (calls[i].answer.whole);
      CU_ASSERT_STRING_EQUAL (calls[i].answer.endpoint, "model-2");
      ash_cli_answer_finish (&calls[i].answer);
    }
  fleet_wait_call (&order);
  CU_ASSERT_EQUAL (order.answer.status, 502);
  CU_ASSERT_STRING_EQUAL (order.answer.outcome, "unknown");
  ash_cli_answer_finish (&order.answer);
  fleet_stop (&fleet);
}

/* @return whether the process exits with status 0 within 10 s, without another signal. */
static bool
exits_cleanly (pid_t *pid)
{
  int status = 0;

  for (int i = 0; i < 500; i++)
    {
      if (waitpid (*pid, &status, WNOHANG) == *pid)
        {
          *pid = 0;
          return WIFEXITED (status) && WEXITSTATUS (status) == 0;
        }
      fleet_sleep_ms (20);
    }
  return false;
}

/* Guards against a connected caller that sends nothing, as it may for upload_ms, and so delays a
 * planned stop until the operator kills the entry with other requests in flight. */
static void
test_stop_with_silent_caller (void)
{
  struct fleet fleet;
  int fd;

  fleet_start (&fleet, SHORT_GRACE "upload_ms = 60000\n");
  fd = raw_connect (fleet.entries[0].http_port);
  CU_ASSERT (fd >= 0);
  kill (fleet.entries[0].pid, SIGTERM);
  CU_ASSERT (exits_cleanly (&fleet.entries[0].pid));
  close (fd);
  fleet_stop (&fleet);
}

/* Only the platform's list shows that the box is leaving: entries stop sending requests to it. */
static void
test_leaving_by_platform_list (void)
{
  struct fleet fleet;
  struct fleet_call calls[LOAD_STREAMS];
  int before;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  fleet_control (fleet.platform_port, "/control/box?box=model-1&state=leaving");
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (fleet_wait_live (&fleet, e, FLEET_ENDPOINTS - 1));
  before = fleet_count_runs (&fleet, 0, NULL, "runs");
  for (int i = 0; i < LOAD_STREAMS; i++)
    fleet_begin_chat (&fleet, &calls[i], i % FLEET_ENTRIES, true, 3);
  expect_streams (calls, 3);
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, 0, NULL, "runs"), before);
  fleet_stop (&fleet);
}

/* An agent that is stopped announces by itself that it is leaving, while the platform's list lags
 * and still has it as live. */
static void
test_leaving_by_agent_signal (void)
{
  struct fleet fleet;
  struct fleet_call slow;
  struct fleet_call order;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  fleet_control (fleet.platform_port, "/control/mode?lag_ms=30000");
  fleet_begin_order (&fleet, &slow, 0, NULL, 0, 1000, 0);
  CU_ASSERT (wait_runs (&fleet, FLEET_STOCK, "runs", 1));
  kill (fleet.endpoints[FLEET_STOCK].pid, SIGTERM);
  CU_ASSERT (fleet_wait_live (&fleet, 1, FLEET_ENDPOINTS - 1));
  fleet_begin_order (&fleet, &order, 1, NULL, 0, 1, 0);
  fleet_wait_call (&order);
  CU_ASSERT (has_outcome (&order, "not-run"));
  fleet_wait_call (&slow);
  CU_ASSERT (has_outcome (&slow, "ran"));
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs"), 1);
  CU_ASSERT_EQUAL (fleet_end_process (&fleet.endpoints[FLEET_STOCK].pid, 0), 0);
  ash_cli_answer_finish (&order.answer);
  ash_cli_answer_finish (&slow.answer);
  fleet_stop (&fleet);
}

/* Only one entry can read the platform's list; the other learns from that entry that the box is
 * leaving. */
static void
test_leaving_learned_from_peer (void)
{
  struct fleet fleet;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  fleet_end_process (&fleet.entries[1].pid, SIGKILL);
  fleet.entries[1].platform_port = fleet.endpoints[0].peer_port;
  fleet_start_entry (&fleet, 1);
  CU_ASSERT (fleet_wait_live (&fleet, 1, FLEET_ENDPOINTS));
  fleet_control (fleet.platform_port, "/control/box?box=model-1&state=leaving");
  CU_ASSERT (fleet_wait_live (&fleet, 1, FLEET_ENDPOINTS - 1));
  CU_ASSERT (fleet_count_log_lines (&fleet, "entry-2", " 303 box_leaving ") > 0);
  CU_ASSERT_EQUAL (fleet_count_log_lines (&fleet, "entry-2", "box=model-1 source=platform"), 0);
  fleet_stop (&fleet);
}

/* Calls entry e; if the connection fails, calls the other entry. */
static void
call_with_failover (struct fleet *fleet, int e, int *failures)
{
  int64_t started_ms = fleet_now_ms ();
  struct fleet_call call;

  for (int i = 0; i < 2; i++)
    {
      fleet_begin_chat (fleet, &call, (e + i) % FLEET_ENTRIES, true, 5);
      fleet_wait_call (&call);
      if (call.answer.connected)
        break;
      ash_cli_answer_finish (&call.answer);
    }
  if (!fleet_stream_ok (&call.answer, 5))
    {
      fprintf (stderr, "call during restarts failed after %lld ms, status %ld: %s\n",
               (long long) (fleet_now_ms () - started_ms), call.answer.status,
               call.answer.body ? call.answer.body : call.answer.error);
      (*failures)++;
    }
  ash_cli_answer_finish (&call.answer);
}

struct callers
{
  struct fleet *fleet;
  pthread_t thread;
  int entry;
  int failures;
  volatile bool stop;
};

static void *
keep_calling_with_failover (void *data)
{
  struct callers *callers = data;

  while (!callers->stop)
    call_with_failover (callers->fleet, callers->entry, &callers->failures);
  return NULL;
}

/* Every daemon is stopped as planned and restarted, one after the other, under load: no call fails.
 */
static void
test_restart_one_by_one (void)
{
  struct fleet fleet;
  struct callers callers[4] = { 0 };
  int failures = 0;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  for (int i = 0; i < 4; i++)
    {
      callers[i].fleet = &fleet;
      callers[i].entry = i % FLEET_ENTRIES;
      pthread_create (&callers[i].thread, NULL, keep_calling_with_failover, &callers[i]);
    }
  for (int a = 0; a < FLEET_MODELS; a++)
    {
      CU_ASSERT_EQUAL (fleet_end_process (&fleet.endpoints[a].pid, SIGTERM), 0);
      fleet_start_endpoint (&fleet, a);
      for (int e = 0; e < FLEET_ENTRIES; e++)
        CU_ASSERT (fleet_wait_live (&fleet, e, FLEET_ENDPOINTS));
    }
  for (int e = 0; e < FLEET_ENTRIES; e++)
    {
      CU_ASSERT_EQUAL (fleet_end_process (&fleet.entries[e].pid, SIGTERM), 0);
      fleet_start_entry (&fleet, e);
      CU_ASSERT (fleet_wait_live (&fleet, e, FLEET_ENDPOINTS));
    }
  for (int i = 0; i < 4; i++)
    {
      callers[i].stop = true;
      pthread_join (callers[i].thread, NULL);
      failures += callers[i].failures;
    }
  CU_ASSERT_EQUAL (failures, 0);
  fleet_stop (&fleet);
}

/* An engine is paused during a stream: requests that are queued for it and new ones are answered by
 * the other engine; the stream that it had begun continues when it resumes. */
static void
test_engine_stalled (void)
{
  static struct fleet_call calls[LOAD_STREAMS];
  struct fleet fleet;
  struct fleet_call begun;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  do
    {
      fleet_begin_chat (&fleet, &begun, 0, true, 400);
      fleet_sleep_ms (200);
      if (fleet_count_runs (&fleet, 0, NULL, "runs") > fleet_count_runs (&fleet, 0, NULL, "ended"))
        break;
      fleet_wait_call (&begun);
      ash_cli_answer_finish (&begun.answer);
    }
  while (true);
  kill (fleet.endpoints[0].engine, SIGSTOP);
  for (int i = 0; i < LOAD_STREAMS; i++)
    fleet_begin_chat (&fleet, &calls[i], i % FLEET_ENTRIES, true, 5);
  expect_streams (calls, 5);
  CU_ASSERT (fleet_count_log_lines (&fleet, "model-1", " 505 stalled ") > 0);
  kill (fleet.endpoints[0].engine, SIGCONT);
  fleet_wait_call (&begun);
  CU_ASSERT (fleet_stream_ok (&begun.answer, 400));
  ash_cli_answer_finish (&begun.answer);
  fleet_stop (&fleet);
}

/* An agent is killed and restarted repeatedly while orders arrive. Each order runs at most once,
 * none that was answered "not-run" has run, and at the end the agent serves again. */
static void
test_flapping_box (void)
{
  static struct fleet_call orders[LOAD_STREAMS];
  static struct fleet_call calls[LOAD_STREAMS];
  struct fleet fleet;
  int ran = 0;
  int unknown = 0;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  for (int i = 0; i < LOAD_STREAMS; i++)
    {
      char key[16];

      if (i % 4 == 0)
        {
          fleet_end_process (&fleet.endpoints[FLEET_STOCK].pid, SIGKILL);
          fleet_start_endpoint (&fleet, FLEET_STOCK);
        }
      sprintf (key, "order-%d", i);
      fleet_begin_order (&fleet, &orders[i], i % FLEET_ENTRIES, key, 1, 20, 3000);
      fleet_sleep_ms (40);
    }
  for (int i = 0; i < LOAD_STREAMS; i++)
    {
      fleet_wait_call (&orders[i]);
      ran += has_outcome (&orders[i], "ran");
      unknown += has_outcome (&orders[i], "unknown");
      CU_ASSERT (has_outcome (&orders[i], "ran") || has_outcome (&orders[i], "unknown") ||
                 has_outcome (&orders[i], "not-run"));
      if (has_outcome (&orders[i], "not-run"))
        CU_ASSERT_EQUAL (
            fleet_count_runs (&fleet, FLEET_STOCK, orders[i].answer.request_id, "runs"), 0);
      CU_ASSERT (fleet_count_runs (&fleet, FLEET_STOCK, orders[i].answer.request_id, "runs") <= 1);
      ash_cli_answer_finish (&orders[i].answer);
    }
  CU_ASSERT (fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs") <= ran + unknown);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (fleet_wait_live (&fleet, e, FLEET_ENDPOINTS));
  for (int i = 0; i < LOAD_STREAMS; i++)
    fleet_begin_chat (&fleet, &calls[i], i % FLEET_ENTRIES, true, 3);
  expect_streams (calls, 3);
  fleet_stop (&fleet);
}

/* All engines drop every request: the retry budget bounds the number of retries. */
static void
test_no_retry_storm (void)
{
  enum
  {
    CALLS = 60,
    BUDGET = 10
  };
  static struct fleet_call calls[CALLS];
  struct fleet fleet;
  int runs;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  for (int a = 0; a < FLEET_MODELS; a++)
    fleet_control (fleet.endpoints[a].http_port, "/control?drop=1");
  for (int i = 0; i < CALLS; i++)
    fleet_begin_chat (&fleet, &calls[i], 0, false, 5);
  for (int i = 0; i < CALLS; i++)
    {
      fleet_wait_call (&calls[i]);
      CU_ASSERT (has_outcome (&calls[i], "unknown"));
      CU_ASSERT (calls[i].answer.retry_ms > 0);
      ash_cli_answer_finish (&calls[i].answer);
    }
  runs = fleet_count_runs (&fleet, 0, NULL, "runs") + fleet_count_runs (&fleet, 1, NULL, "runs");
  CU_ASSERT (runs > CALLS);
  CU_ASSERT (runs <= CALLS + BUDGET);
  fleet_stop (&fleet);
}

/* The link to the endpoint is cut and then the entry is killed: the caller still gets the answer of
 * the same run through the other entry. */
static void
test_link_cut_and_entry_killed (void)
{
  struct fleet fleet;
  struct fleet_call calls[2];

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  wait_guard_period ();
  fleet_begin_order (&fleet, &calls[0], 0, "order-1", 1, 800, 0);
  CU_ASSERT (wait_runs (&fleet, FLEET_STOCK, "runs", 1));
  fleet_control (fleet.endpoints[FLEET_STOCK].control_port, "/control?mode=1");
  fleet_end_process (&fleet.entries[0].pid, SIGKILL);
  fleet_wait_call (&calls[0]);
  fleet_sleep_ms (1000);
  fleet_control (fleet.endpoints[FLEET_STOCK].control_port, "/control?mode=0");
  CU_ASSERT (fleet_wait_live (&fleet, 1, FLEET_ENDPOINTS));
  fleet_begin_order (&fleet, &calls[1], 1, "order-1", 2, 800, 0);
  fleet_wait_call (&calls[1]);
  CU_ASSERT (has_outcome (&calls[1], "ran"));
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, FLEET_STOCK, NULL, "runs"), 1);
  for (int i = 0; i < 2; i++)
    ash_cli_answer_finish (&calls[i].answer);
  fleet_stop (&fleet);
}

/* A plain service gets the path and query with the caller's percent-encoding. If an entry or agent
 * decoded them, an encoded "?" in the path would begin the query. */
static void
test_escaped_path (void)
{
  static const struct
  {
    const char *name;
    long status;
  } services[] = {
    { "st%6Fck", 200 }, { "stock%00", 404 }, { "stock%00x", 404 }, { "st%2Fock", 404 }
  };
  struct fleet fleet;
  struct fleet_call call;
  const char *body;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  fleet_begin_order (&fleet, &call, 0, NULL, 0, 0, 0);
  fleet_wait_call (&call);
  ash_cli_answer_finish (&call.answer);
  snprintf (call.url, sizeof call.url,
            "http://127.0.0.1:%u/v1/services/stock/a%%20b%%3Fc/d?work_ms=0",
            fleet.entries[0].http_port);
  ash_cli_fetch (&call.request, &call.answer);
  CU_ASSERT_EQUAL (call.answer.status, 200);
  body = call.answer.body ? call.answer.body : "";
  CU_ASSERT_PTR_NOT_NULL (strstr (body, "\"path\":\"/a b?c/d\""));
  ash_cli_answer_finish (&call.answer);
  /* The service's name may be escaped, too; a NUL does not end it. */
  for (size_t i = 0; i < sizeof services / sizeof services[0]; i++)
    {
      snprintf (call.url, sizeof call.url, "http://127.0.0.1:%u/v1/services/%s/orders?work_ms=0",
                fleet.entries[0].http_port, services[i].name);
      ash_cli_fetch (&call.request, &call.answer);
      CU_ASSERT_EQUAL (call.answer.status, services[i].status);
      ash_cli_answer_finish (&call.answer);
    }
  fleet_stop (&fleet);
}

static const struct fault_test tests[] = {
  { "one key through two entries runs once", test_one_key_two_entries },
  { "an entry is killed", test_entry_killed },
  { "an agent is killed", test_agent_killed },
  { "a new incarnation runs no caller's key", test_new_incarnation_runs_no_key },
  { "a minted key", test_minted_key },
  { "an entry is paused past the deadline", test_entry_paused },
  { "200 streams over a cut", test_streams_over_link_cut },
  { "a cut one way", test_one_way_cut },
  { "a broken stream ends with an error event", test_broken_stream },
  { "an engine drops a request", test_dropped_by_engine },
  { "an engine is down", test_engine_down },
  { "cancel: the caller goes away", test_cancel_caller_disconnected },
  { "cancel: the entry is killed", test_cancel_entry_killed },
  { "planned stop of agents under load", test_planned_stop_of_agents },
  { "planned stop of an entry", test_planned_stop_of_entry },
  { "planned stop: connected early, request sent late", test_planned_stop_before_request },
  { "planned stop of an entry has an end", test_entry_stop_grace },
  { "planned stop: a further SIGTERM changes nothing", test_further_sigterm },
  { "planned stop of agents has an end", test_agent_stop_grace },
  { "planned stop: a silent caller does not hold it", test_stop_with_silent_caller },
  { "leaving by the platform's list", test_leaving_by_platform_list },
  { "leaving announced by the agent", test_leaving_by_agent_signal },
  { "leaving learned from a peer", test_leaving_learned_from_peer },
  { "restart one by one under load", test_restart_one_by_one },
  { "an engine stalls", test_engine_stalled },
  { "a box that flaps", test_flapping_box },
  { "a failing service gets no storm of retries", test_no_retry_storm },
  { "a cut and a kill", test_link_cut_and_entry_killed },
  { "escapes in a path", test_escaped_path },
  { NULL, NULL },
};

/* usage: test-faults [PART_OF_A_TEST_NAME] */
int
main (int argc, char **argv)
{
  static const struct fault_test *const tables[] = { tests, cut_head_tests, NULL };

  return run_fault_tables ("faults", tables, argc > 1 ? argv[1] : "");
}
