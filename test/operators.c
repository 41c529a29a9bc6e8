/**
 * @file
 * Operators' actions, tested with real processes: configurations that are invalid, late or
 * outdated; plans and confirmations, also concurrent ones; queries that explain requests; draining
 * a box.
 */
#include "test/fault_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* After a new document: time for entries to start their next watch and to read the list of boxes.
 */
#define SETTLE_MS 300

static void
test_configuration (void)
{
  struct fleet fleet;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  fleet_publish (&fleet, "[[hall]]\nname = \"h2\"\n", 2);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (wait_revision (&fleet, e, 2));
  /* An invalid document is rejected; the last accepted one stays active. */
  fleet_publish (&fleet, "[[hall]]\nnome = \"h2\"\n", 3);
  for (int i = 0; i < 200 && !fleet_count_log_lines (&fleet, "entry-1", "place=\"hall[1].nome\"");
       i++)
    fleet_sleep_ms (20);
  CU_ASSERT (fleet_count_log_lines (&fleet, "entry-1", "place=\"hall[1].nome\"") > 0);
  CU_ASSERT_EQUAL (fleet_revision (&fleet, 0), 2);
  /* While the platform fails, an entry that is restarted gets the document from its peers. */
  fleet_control (fleet.platform_port, "/control/mode?config=1&list=1");
  fleet_end_process (&fleet.entries[0].pid, SIGKILL);
  fleet_start_entry (&fleet, 0);
  CU_ASSERT (wait_revision (&fleet, 0, 2));
  CU_ASSERT (fleet_wait_live (&fleet, 0, FLEET_ENDPOINTS));
  /* The platform answers again, but with an older document, which is ignored. */
  fleet_control (fleet.platform_port, "/control/mode?config=3&list=0");
  fleet_sleep_ms (500);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT_EQUAL (fleet_revision (&fleet, e), 2);
  fleet_control (fleet.platform_port, "/control/mode?config=0");
  fleet_publish (&fleet, "[[hall]]\nname = \"h4\"\n", 4);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (wait_revision (&fleet, e, 4));
  fleet_stop (&fleet);
}

/* An entry that restarts while the platform answers with an older revision never serves with the
 * older one, because its peers send it the newer revision. */
static void
test_replaced_with_older_config (void)
{
  struct fleet fleet;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  fleet_publish (&fleet, "[[hall]]\nname = \"h2\"\n", 2);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (wait_revision (&fleet, e, 2));
  fleet_control (fleet.platform_port, "/control/mode?config=3");
  for (int i = 0; i < 5; i++)
    {
      fleet_end_process (&fleet.entries[0].pid, SIGKILL);
      fleet_start_entry (&fleet, 0);
      CU_ASSERT (fleet_wait_live (&fleet, 0, FLEET_ENDPOINTS));
      CU_ASSERT_EQUAL (fleet_revision (&fleet, 0), 2);
    }
  /* Of the entry's six processes, only the first served with revision 1. */
  CU_ASSERT_EQUAL (fleet_count_lines (fleet.folder, "entry-1", 0,
                                      " 101 ready box=entry-1 module=daemon revision=1 "),
                   1);
  CU_ASSERT_EQUAL (fleet_count_lines (fleet.folder, "entry-1", 0,
                                      " 101 ready box=entry-1 module=daemon revision=2 "),
                   5);
  fleet_stop (&fleet);
}

/* Counts the matching lines in the logs of all entries, for events that any one of them may log. */
static int
count_entry_log_lines (struct fleet *fleet, const char *text)
{
  int count = 0;

  for (int e = 0; e < FLEET_ENTRIES; e++)
    count += fleet_count_log_lines (fleet, fleet->entries[e].name, text);
  return count;
}

/* A changed row is sent to entries and endpoints as a delta; a box without a configuration gets the
 * whole document. */
static void
test_deltas (void)
{
  struct fleet fleet;
  char more[64];

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  CU_ASSERT (count_entry_log_lines (&fleet, " 205 config_sent ") >= FLEET_ENDPOINTS);
  CU_ASSERT_EQUAL (count_entry_log_lines (&fleet, " deltas=1"), 0);
  for (int i = 2; i < 6; i++)
    {
      sprintf (more, "[[hall]]\nname = \"h%d\"\n", i);
      fleet_publish (&fleet, more, (uint64_t) i);
      for (int e = 0; e < FLEET_ENTRIES; e++)
        CU_ASSERT (wait_revision (&fleet, e, i));
    }
  CU_ASSERT (count_entry_log_lines (&fleet, " deltas=1") >= 4 * FLEET_ENDPOINTS);
  fleet_sleep_ms (300);
  for (int a = 0; a < FLEET_ENDPOINTS; a++)
    CU_ASSERT_EQUAL (
        fleet_count_log_lines (&fleet, fleet.endpoints[a].name, " 200 config_accepted "), 5);
  fleet_stop (&fleet);
}

/* ---- plans ---- */

#define OPERATOR_KEY "operator"
#define READER_KEY "reader"
#define OPERATOR_HASH "5604e62b81938269c7bce4225f8735eff69f4cd4ab5e2db275456a74285a173c"
#define READER_HASH "ff441166ff333af23597d85f9f9816c3383491817c383c90cc400abe097cda82"
#define OPERATOR_SETTINGS                                                                          \
  NO_GUARD_SETTINGS "operator_key_hash = \"" OPERATOR_HASH "\"\nreader_key_hash = \"" READER_HASH  \
                    "\"\n"

/* Calls a path of an entry's operator API. @return the answer as JSON. */
static json_t *
call_operator_api (const char *method,
                   struct fleet *fleet,
                   int e,
                   const char *path,
                   const char *key,
                   const char *body,
                   long *status)
{
  char url[128];
  struct ash_cli_request request = { .url = url, .method = method, .key = key, .body = body };
  struct ash_cli_answer answer = { 0 };
  json_t *root;

  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", fleet->entries[e].http_port, path);
  ash_cli_fetch (&request, &answer);
  *status = answer.status;
  root = json_loadb (answer.body ? answer.body : "", answer.body_bytes, 0, NULL);
  ash_cli_answer_finish (&answer);
  return root;
}

static json_t *
post_operator_api (
    struct fleet *fleet, int e, const char *path, const char *key, const char *body, long *status)
{
  return call_operator_api ("POST", fleet, e, path, key, body, status);
}

static long
confirm (struct fleet *fleet, int e, const json_t *plan, const char *code)
{
  char *text = json_dumps (plan, 0);
  long status = 0;
  json_t *root = post_operator_api (fleet, e, "/v1/confirm", OPERATOR_KEY, text, &status);
  const char *actual =
      json_string_value (json_object_get (json_object_get (root, "error"), "code"));

  CU_ASSERT_STRING_EQUAL (actual ? actual : "", code);
  if (strcmp (actual ? actual : "", code) != 0)
    printf ("\n%s\n", actual ? actual : "");
  json_decref (root);
  free (text);
  return status;
}

/* Publishes a plan's document at the platform. @return the HTTP status of the platform's answer. */
static long
publish_plan (struct fleet *fleet, const json_t *plan)
{
  char url[128];
  struct ash_cli_request request = {
    .url = url, .method = "PUT", .body = json_string_value (json_object_get (plan, "document"))
  };
  struct ash_cli_answer answer = { 0 };
  long status;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/control/config?revision=%d", fleet->platform_port,
            (int) json_integer_value (json_object_get (plan, "revision")));
  ash_cli_fetch (&request, &answer);
  status = answer.status;
  ash_cli_answer_finish (&answer);
  return status;
}

/* Two operators make plans on the same base revision: only one plan can be published; the other is
 * then rejected with a list of the changes that came first. No plan is active before it is
 * published. */
static void
test_operators_race (void)
{
  struct fleet fleet;
  json_t *first;
  json_t *second;
  json_t *refused;
  char *text;
  long status = 0;

  fleet_start (&fleet, OPERATOR_SETTINGS);
  refused = post_operator_api (&fleet, 0, "/v1/plan", "wrong", "x = 1", &status);
  CU_ASSERT_EQUAL (status, 401);
  json_decref (refused);
  first =
      post_operator_api (&fleet, 0, "/v1/plan", OPERATOR_KEY, "[[hall]]\nname = \"h2\"\n", &status);
  CU_ASSERT_EQUAL (status, 200);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (first, "changes")), 1);
  second = post_operator_api (&fleet, 1, "/v1/plan", OPERATOR_KEY,
                              "[[account]]\nname = \"a\"\nburst = 7\n", &status);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (second, "not_met")), 0);
  CU_ASSERT_EQUAL (fleet_revision (&fleet, 0), 1);
  /* Both plans can be confirmed while the base is still active; the platform accepts only one. */
  CU_ASSERT_EQUAL (confirm (&fleet, 0, first, ""), 200);
  CU_ASSERT_EQUAL (confirm (&fleet, 1, second, ""), 200);
  CU_ASSERT_EQUAL (publish_plan (&fleet, first), 200);
  CU_ASSERT_EQUAL (publish_plan (&fleet, second), 409);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (wait_revision (&fleet, e, 2));
  CU_ASSERT_EQUAL (confirm (&fleet, 1, second, "base_moved"), 409);
  text = json_dumps (second, 0);
  refused = post_operator_api (&fleet, 1, "/v1/confirm", OPERATOR_KEY, text, &status);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (json_object_get (refused, "error"), "more")),
                   2);
  json_decref (refused);
  free (text);
  CU_ASSERT_EQUAL (confirm (&fleet, 0, first, "base_moved"), 409);
  json_decref (first);
  json_decref (second);
  fleet_stop (&fleet);
}

/* Retries the confirmation until it is accepted. @return false after 40 attempts. */
static bool
confirm_with_retry (struct fleet *fleet, int e, const json_t *plan)
{
  char *text = json_dumps (plan, 0);
  long status = 0;

  for (int i = 0; i < 40 && status != 200; i++)
    {
      json_decref (post_operator_api (fleet, e, "/v1/confirm", OPERATOR_KEY, text, &status));
      if (status != 200)
        fleet_sleep_ms (100);
    }
  free (text);
  return status == 200;
}

/* One entry reads the platform for both and one of the two is killed. The remaining entry reads the
 * platform itself and counts it as reachable after the first answer, not only when its first watch
 * ends. */
static void
test_reader_dies (void)
{
  for (int killed = 0; killed < 2; killed++)
    {
      struct fleet fleet;
      json_t *plan;
      long status = 0;

      fleet_start (&fleet, OPERATOR_SETTINGS "platform_readers = 1\n");
      /* Within this time, one entry has stopped reading the platform because the other one reads
       * it. */
      fleet_sleep_ms (11000);
      plan = post_operator_api (&fleet, 1 - killed, "/v1/plan", OPERATOR_KEY,
                                "[[hall]]\nname = \"h2\"\n", &status);
      CU_ASSERT_EQUAL (status, 200);
      CU_ASSERT_EQUAL (fleet_end_process (&fleet.entries[killed].pid, SIGKILL), -1);
      CU_ASSERT (confirm_with_retry (&fleet, 1 - killed, plan));
      json_decref (plan);
      fleet_stop (&fleet);
    }
}

/* Guards against an entry that starts before the platform does and refuses confirmations for 10 s
 * as cut off from the platform: its first read fails, a peer sends it the document, and its second
 * read then is a watch that is answered only after 10 s. Here the platform of one entry starts
 * late. */
static void
test_first_read_fails (void)
{
  struct fleet fleet;
  uint16_t late_port;
  json_t *plan;
  pid_t late;
  long status = 0;

  fleet_start (&fleet, OPERATOR_SETTINGS);
  fleet_free_ports (&late_port, 1);
  fleet_end_process (&fleet.entries[1].pid, SIGKILL);
  fleet.entries[1].platform_port = late_port;
  fleet_start_entry (&fleet, 1);
  CU_ASSERT (wait_revision (&fleet, 1, 1));
  late = fleet_start_platform (fleet.folder, "late", late_port);
  CU_ASSERT (fleet_wait_live (&fleet, 1, FLEET_ENDPOINTS));
  plan =
      post_operator_api (&fleet, 1, "/v1/plan", OPERATOR_KEY, "[[hall]]\nname = \"h2\"\n", &status);
  CU_ASSERT_EQUAL (status, 200);
  CU_ASSERT (confirm_with_retry (&fleet, 1, plan));
  json_decref (plan);
  fleet_end_process (&late, SIGKILL);
  fleet_stop (&fleet);
}

/* Guards against a new document becoming active only when a stalled watch times out, after 13 s: a
 * cut of the connection to the platform makes a watch silent and a read of the list of boxes fail
 * once, and a router denies new routes meanwhile. The failed read of the list must restart the
 * watch. Here the watches of both entries become silent and the list fails until each entry has
 * logged it. */
static void
test_silent_watch_and_list (void)
{
  struct fleet fleet;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  fleet_publish (&fleet, "[[hall]]\nname = \"h2\"\n", 2);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (wait_revision (&fleet, e, 2));
  fleet_sleep_ms (SETTLE_MS);
  fleet_control (fleet.platform_port, "/control/mode?config=4&list=1");
  fleet_publish (&fleet, "[[hall]]\nname = \"h3\"\n", 3);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    {
      for (int i = 0;
           i < 200 && !fleet_count_log_lines (&fleet, fleet.entries[e].name, "what=boxes"); i++)
        fleet_sleep_ms (20);
      CU_ASSERT (fleet_count_log_lines (&fleet, fleet.entries[e].name, "what=boxes") > 0);
    }
  fleet_control (fleet.platform_port, "/control/mode?config=0&list=0");
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (wait_revision (&fleet, e, 3));
  /* At least one watch was restarted by the failed list, not by its timeout; the other entry may
   * have received the document from its peer. */
  CU_ASSERT (count_entry_log_lines (&fleet, "why=\"the list failed\"") >= 1);
  fleet_stop (&fleet);
}

/* Guards against an entry whose watch is silent counting as a reader of the platform until the
 * watch times out after 13 s: a reader confirms plans, and other entries of its hall don't read the
 * platform because of it. A newer document from a peer shows that the entry's own watch is silent,
 * so it must start a new one. */
static void
test_silent_watch_and_peers (void)
{
  struct fleet fleet;
  uint16_t second_port;
  pid_t second;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  fleet_free_ports (&second_port, 1);
  /* If the platform accepted connections only after the entry has started, the entry's first reads
   * would fail, and it would log at its start, too, that the platform answers again. */
  second = fleet_start_platform (fleet.folder, "platform-2", second_port);
  fleet_end_process (&fleet.entries[0].pid, SIGKILL);
  fleet.entries[0].platform_port = second_port;
  fleet_start_entry (&fleet, 0);
  CU_ASSERT (fleet_wait_live (&fleet, 0, FLEET_ENDPOINTS));
  fleet_sleep_ms (SETTLE_MS);
  fleet_control (second_port, "/control/mode?config=4");
  fleet_publish (&fleet, "[[hall]]\nname = \"h2\"\n", 2);
  CU_ASSERT (wait_revision (&fleet, 0, 2));
  for (int i = 0; i < 100 && !fleet_count_log_lines (&fleet, "entry-1", "why=\"peers have a newer");
       i++)
    fleet_sleep_ms (20);
  CU_ASSERT_EQUAL (fleet_count_log_lines (&fleet, "entry-1", "why=\"peers have a newer"), 1);
  /* The entry's new read is answered at once, so that it counts as a reader again. */
  for (int i = 0; i < 100 && !fleet_count_log_lines (&fleet, "entry-1", " 204 platform_up "); i++)
    fleet_sleep_ms (20);
  CU_ASSERT_EQUAL (fleet_count_log_lines (&fleet, "entry-1", " 204 platform_up "), 1);
  fleet_end_process (&second, SIGKILL);
  fleet_stop (&fleet);
}

/* Guards against a platform that hangs being noticed only when a watch times out, after up to 13 s,
 * while entries still confirm plans. Here the platform's process is paused: the kernel accepts
 * connections, but nothing answers. */
static void
test_platform_hangs (void)
{
  struct fleet fleet;
  json_t *plan;
  char *text;
  long status = 0;

  fleet_start (&fleet, OPERATOR_SETTINGS);
  /* Makes the entries start new watches, so that their timeouts are as far away as possible. */
  fleet_publish (&fleet, "[[hall]]\nname = \"h2\"\n", 2);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (wait_revision (&fleet, e, 2));
  fleet_sleep_ms (SETTLE_MS);
  plan =
      post_operator_api (&fleet, 0, "/v1/plan", OPERATOR_KEY, "[[hall]]\nname = \"h3\"\n", &status);
  CU_ASSERT (confirm_with_retry (&fleet, 0, plan));
  text = json_dumps (plan, 0);
  kill (fleet.platform, SIGSTOP);
  for (int i = 0; i < 80 && status != 409; i++)
    {
      fleet_sleep_ms (100);
      json_decref (post_operator_api (&fleet, 0, "/v1/confirm", OPERATOR_KEY, text, &status));
    }
  CU_ASSERT_EQUAL (confirm (&fleet, 0, plan, "cut_off"), 409);
  free (text);
  json_decref (plan);
  fleet_stop (&fleet);
}

/* An endpoint is removed from the configuration while it serves streams: these end whole, and it
 * gets no new requests. */
static void
test_endpoint_removed (void)
{
  static struct fleet_call calls[LOAD_STREAMS];
  struct fleet fleet;
  json_t *plan;
  long status = 0;
  int runs;

  fleet_start (&fleet, OPERATOR_SETTINGS);
  for (int i = 0; i < LOAD_STREAMS; i++)
    fleet_begin_chat (&fleet, &calls[i], i % FLEET_ENTRIES, true, 300);
  CU_ASSERT (wait_runs (&fleet, 0, "runs", 1));
  plan = post_operator_api (&fleet, 0, "/v1/plan", OPERATOR_KEY,
                            "remove = [\"endpoint model-1\"]\n", &status);
  CU_ASSERT_EQUAL (publish_plan (&fleet, plan), 200);
  json_decref (plan);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (wait_revision (&fleet, e, 2));
  expect_streams (calls, 300);
  runs = fleet_count_runs (&fleet, 0, NULL, "runs");
  for (int i = 0; i < LOAD_STREAMS; i++)
    fleet_begin_chat (&fleet, &calls[i], i % FLEET_ENTRIES, true, 3);
  expect_streams (calls, 3);
  CU_ASSERT_EQUAL (fleet_count_runs (&fleet, 0, NULL, "runs"), runs);
  fleet_stop (&fleet);
}

static void
test_plan_refused (void)
{
  struct fleet fleet;
  json_t *plan;
  long status = 0;

  fleet_start (&fleet, OPERATOR_SETTINGS);
  /* Changes that can't be made are listed in the plan's not_met; such a plan can't be confirmed. */
  plan = post_operator_api (
      &fleet, 0, "/v1/plan", OPERATOR_KEY,
      "remove = [\"endpoint nobody\"]\n[[account]]\nname = \"a\"\nclass = \"x\"\n", &status);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (plan, "not_met")), 2);
  CU_ASSERT_EQUAL (confirm (&fleet, 0, plan, "bad_plan"), 400);
  json_decref (plan);
  plan = post_operator_api (&fleet, 0, "/v1/plan", OPERATOR_KEY,
                            "remove = [\"endpoint model-1\"]\n", &status);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (plan, "not_met")), 0);
  CU_ASSERT (json_number_value (json_object_get (
                 json_object_get (json_object_get (plan, "effects"), "keys_with_new_home"),
                 "model")) > 0.3);
  /* A plan whose digest was changed is rejected. */
  json_object_set_new (plan, "digest", json_string ("0000000000000000"));
  CU_ASSERT_EQUAL (confirm (&fleet, 0, plan, "bad_plan"), 400);
  json_decref (plan);
  plan =
      post_operator_api (&fleet, 0, "/v1/plan", OPERATOR_KEY, "[[hall]]\nname = \"h2\"\n", &status);
  /* An entry that can't read the platform rejects a confirmation. */
  fleet_control (fleet.platform_port, "/control/mode?config=1");
  for (int i = 0; i < 300 && !fleet_count_log_lines (&fleet, "entry-1", " 203 platform_down "); i++)
    fleet_sleep_ms (50);
  CU_ASSERT_EQUAL (confirm (&fleet, 0, plan, "cut_off"), 409);
  json_decref (plan);
  fleet_stop (&fleet);
}

/* Queries an entry's operator API. @return the answer as JSON. */
static json_t *
get_operator_api (struct fleet *fleet, int e, const char *path, const char *key, long *status)
{
  return call_operator_api ("GET", fleet, e, path, key, NULL, status);
}

static const char *
answer_field (const json_t *answer, const char *box, const char *key)
{
  const char *text = json_string_value (
      json_object_get (json_object_get (json_object_get (answer, "answers"), box), key));

  return text ? text : "";
}

/* Any entry can explain a request: it collects the records of all boxes that handled it. */
static void
test_explain_request (void)
{
  struct fleet fleet;
  struct fleet_call call;
  char path[128];
  json_t *answer;
  long status = 0;

  fleet_start (&fleet, OPERATOR_SETTINGS);
  fleet_begin_chat (&fleet, &call, 0, true, 5);
  fleet_wait_call (&call);
  CU_ASSERT (fleet_stream_ok (&call.answer, 5));
  snprintf (path, sizeof path, "/v1/explain/request/%s", call.answer.request_id);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    {
      answer = get_operator_api (&fleet, e, path, READER_KEY, &status);
      CU_ASSERT_EQUAL (status, 200);
      CU_ASSERT_STRING_EQUAL (answer_field (answer, "entry-1", "outcome"), "ran");
      CU_ASSERT_STRING_EQUAL (answer_field (answer, "entry-1", "endpoint"), call.answer.endpoint);
      CU_ASSERT_STRING_EQUAL (answer_field (answer, call.answer.endpoint, "state"), "finished");
      CU_ASSERT_EQUAL (json_object_size (json_object_get (answer, "answers")), 2);
      CU_ASSERT_EQUAL (json_array_size (json_object_get (answer, "silent")), 0);
      json_decref (answer);
    }
  ash_cli_answer_finish (&call.answer);
  /* A box that can't be reached is listed as silent; the others' answers are still returned. */
  fleet_end_process (&fleet.endpoints[FLEET_STOCK].pid, SIGKILL);
  answer = get_operator_api (&fleet, 0, path, OPERATOR_KEY, &status);
  CU_ASSERT_STRING_EQUAL (answer_field (answer, "entry-1", "outcome"), "ran");
  CU_ASSERT_EQUAL (json_array_size (json_object_get (answer, "silent")), 1);
  json_decref (answer);
  json_decref (get_operator_api (&fleet, 0, "/v1/explain/request/17", OPERATOR_KEY, &status));
  CU_ASSERT_EQUAL (status, 404);
  json_decref (get_operator_api (&fleet, 0, path, "nobody", &status));
  CU_ASSERT_EQUAL (status, 401);
  fleet_stop (&fleet);
}

/* The explanation of a rejected request has the reason for the rejection. */
static void
test_explain_refusal (void)
{
  struct fleet fleet;
  struct fleet_call call;
  char path[128];
  json_t *answer;
  long status = 0;

  fleet_start (&fleet, OPERATOR_SETTINGS);
  for (int a = 0; a < FLEET_MODELS; a++)
    fleet_end_process (&fleet.endpoints[a].pid, SIGKILL);
  CU_ASSERT (fleet_wait_live (&fleet, 0, 1));
  fleet_begin_chat (&fleet, &call, 0, true, 5);
  fleet_wait_call (&call);
  CU_ASSERT_STRING_EQUAL (call.answer.outcome, "not-run");
  snprintf (path, sizeof path, "/v1/explain/request/%s", call.answer.request_id);
  answer = get_operator_api (&fleet, 1, path, READER_KEY, &status);
  CU_ASSERT_STRING_EQUAL (answer_field (answer, "entry-1", "outcome"), "not-run");
  CU_ASSERT_STRING_EQUAL (answer_field (answer, "entry-1", "reason"), "no_endpoint");
  json_decref (answer);
  ash_cli_answer_finish (&call.answer);
  fleet_stop (&fleet);
}

/* A drained box gets no new requests and finishes those in flight; a reader key can't drain. */
static void
test_drain (void)
{
  struct fleet fleet;
  struct fleet_call before;
  struct fleet_call after[8];
  long status = 0;

  fleet_start (&fleet, OPERATOR_SETTINGS);
  fleet_begin_chat (&fleet, &before, 0, true, 150);
  json_decref (post_operator_api (&fleet, 0, "/v1/drain?box=model-1", READER_KEY, "", &status));
  CU_ASSERT_EQUAL (status, 403);
  json_decref (post_operator_api (&fleet, 0, "/v1/drain?box=model-9", OPERATOR_KEY, "", &status));
  CU_ASSERT_EQUAL (status, 404);
  json_decref (post_operator_api (&fleet, 0, "/v1/drain?box=model-1", OPERATOR_KEY, "", &status));
  CU_ASSERT_EQUAL (status, 200);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (fleet_wait_live (&fleet, e, FLEET_ENDPOINTS - 1));
  for (int i = 0; i < 8; i++)
    fleet_begin_chat (&fleet, &after[i], i % FLEET_ENTRIES, true, 5);
  for (int i = 0; i < 8; i++)
    {
      fleet_wait_call (&after[i]);
      CU_ASSERT (fleet_stream_ok (&after[i].answer, 5));
      CU_ASSERT_STRING_EQUAL (after[i].answer.endpoint, "model-2");
      ash_cli_answer_finish (&after[i].answer);
    }
  fleet_wait_call (&before);
  CU_ASSERT (fleet_stream_ok (&before.answer, 150));
  ash_cli_answer_finish (&before.answer);
  /* After a restart the drained box accepts requests again. */
  CU_ASSERT_EQUAL (fleet_end_process (&fleet.endpoints[0].pid, SIGTERM), 0);
  fleet_start_endpoint (&fleet, 0);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT (fleet_wait_live (&fleet, e, FLEET_ENDPOINTS));
  fleet_stop (&fleet);
}

/* A reader key can make plans and compare documents, but can't confirm a plan. */
static void
test_reader_key (void)
{
  struct fleet fleet;
  json_t *plan;
  json_t *answer;
  char *text;
  long status = 0;

  fleet_start (&fleet, OPERATOR_SETTINGS);
  plan =
      post_operator_api (&fleet, 0, "/v1/plan", READER_KEY, "[[hall]]\nname = \"h2\"\n", &status);
  CU_ASSERT_EQUAL (status, 200);
  text = json_dumps (plan, 0);
  answer = post_operator_api (&fleet, 0, "/v1/confirm", READER_KEY, text, &status);
  CU_ASSERT_EQUAL (status, 403);
  json_decref (answer);
  answer = post_operator_api (&fleet, 0, "/v1/diff", READER_KEY,
                              json_string_value (json_object_get (plan, "document")), &status);
  CU_ASSERT_EQUAL (status, 200);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (answer, "changes")), 1);
  json_decref (answer);
  answer = post_operator_api (&fleet, 0, "/v1/diff", READER_KEY, "x = [", &status);
  CU_ASSERT_EQUAL (status, 400);
  json_decref (answer);
  free (text);
  json_decref (plan);
  fleet_stop (&fleet);
}

/* An event is planned, confirmed and published; entries then list it in the state that its times
 * give: "lead", as it starts in 30 s and has a lead time of 60 s. */
static void
test_event (void)
{
  static const char intent[] =
      "[[event]]\nname = \"opening\"\nstart_s = %lld\nlength_s = 600\nlead_s = 60\n"
      "[[reservation]]\nname = \"a\"\nevent = \"opening\"\naccount = \"a\"\n"
      "service = \"model\"\nrate_per_s = 50\n";
  struct fleet fleet;
  char text[512];
  json_t *plan;
  json_t *answer;
  const json_t *row;
  long status = 0;

  fleet_start (&fleet, OPERATOR_SETTINGS);
  snprintf (text, sizeof text, intent, (long long) time (NULL) + 30);
  plan = post_operator_api (&fleet, 0, "/v1/plan", OPERATOR_KEY, text, &status);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (plan, "changes")), 2);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (plan, "not_met")), 0);
  CU_ASSERT_EQUAL (confirm (&fleet, 0, plan, ""), 200);
  CU_ASSERT_EQUAL (publish_plan (&fleet, plan), 200);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    {
      CU_ASSERT (wait_revision (&fleet, e, 2));
      answer = get_operator_api (&fleet, e, "/v1/events", NULL, &status);
      row = json_array_get (json_object_get (answer, "events"), 0);
      CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (row, "event")), "opening");
      CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (row, "state")), "lead");
      json_decref (answer);
    }
  json_decref (plan);
  /* A reservation for an unknown account can't be met, and the plan lists it under not_met. */
  plan = post_operator_api (
      &fleet, 0, "/v1/plan", OPERATOR_KEY,
      "[[reservation]]\nname = \"b\"\nevent = \"opening\"\naccount = \"nobody\"\n"
      "service = \"model\"\nrate_per_s = 50\n",
      &status);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (plan, "not_met")), 1);
  json_decref (plan);
  fleet_stop (&fleet);
}

static const struct fault_test tests[] = {
  { "configuration: bad, down, older", test_configuration },
  { "configuration: replaced while the platform answers an older one",
    test_replaced_with_older_config },
  { "configuration: by deltas", test_deltas },
  { "plans: two operators on one base", test_operators_race },
  { "plans: the reader of the platform dies", test_reader_dies },
  { "plans: an entry whose first read fails", test_first_read_fails },
  { "platform: watches are silent, and the list fails once", test_silent_watch_and_list },
  { "platform: a watch is silent, and peers know more", test_silent_watch_and_peers },
  { "platform: it hangs", test_platform_hangs },
  { "an endpoint is removed while it works", test_endpoint_removed },
  { "plans: what can't be met, tampered, cut off", test_plan_refused },
  { "explain: a request", test_explain_request },
  { "explain: a refusal", test_explain_refusal },
  { "drain", test_drain },
  { "a key that may only read", test_reader_key },
  { "a declared event", test_event },
  { NULL, NULL },
};

/* usage: test-operators [PART_OF_A_TEST_NAME] */
int
main (int argc, char **argv)
{
  return run_fault_tests ("operators", tests, argc > 1 ? argv[1] : "");
}
