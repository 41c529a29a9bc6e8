/**
 * @file
 * Answers to the daemon that are cut within their heads, by a close and by a reset: from engines,
 * the platform and the ranks of a group.
 */
#include "test/fault_tests.h"
#include "test/group_fleet.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define COUNT(list) (sizeof (list) / sizeof (list)[0])

#define OK_HEAD "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

/* By what would have delimited the body. */
static const char *const heads[] = {
  "HTTP/1.1 20",
  OK_HEAD "Content-Length: 1",
  OK_HEAD "Content-Length: 0\r\n",
  OK_HEAD "Transfer-Encoding: chunked\r\n\r",
  OK_HEAD,
  "HTTP/1.0 200 OK\r\n",
  "HTTP/1.1 103 Early\r\n\r\n" OK_HEAD "Content-Length: 0\r\n",
};

static int
count_all_cut (struct fleet *fleet)
{
  int count = 0;

  for (int a = 0; a < FLEET_ENDPOINTS; a++)
    count += fleet_count_cut_answers (fleet->endpoints[a].http_port);
  return count;
}

/* Checks that the caller learns that the request may have run, and gets nothing of an answer. */
static void
expect_unknown (struct fleet_call *call, bool may_be_repeated, const char *head)
{
  const struct ash_cli_answer *answer = &call->answer;
  const char *body = answer->body ? answer->body : "";
  bool ok;

  fleet_wait_call (call);
  /* Once the budget of retries is spent, what may be repeated is to come back later (503). */
  ok = (answer->status == 502 || (may_be_repeated && answer->status == 503)) &&
       strcmp (answer->outcome, "unknown") == 0 && !strstr (body, "data:");
  CU_ASSERT (ok);
  if (!ok)
    printf ("\n  %s\n  gave %ld, %s: %s", head, answer->status, answer->outcome, body);
  ash_cli_answer_finish (&call->answer);
}

/* Leaves kept connections to the engines, as requests that may be repeated do. */
static void
keep_connections (struct fleet *fleet)
{
  for (int i = 0; i < 2 * FLEET_MODELS; i++)
    {
      struct fleet_call call;

      fleet_begin_chat (fleet, &call, 0, true, 1);
      fleet_wait_call (&call);
      CU_ASSERT (fleet_stream_ok (&call.answer, 1));
      ash_cli_answer_finish (&call.answer);
    }
}

static void
set_engines (struct fleet *fleet, const char *head, bool reset)
{
  for (int a = 0; a < FLEET_ENDPOINTS; a++)
    fleet_cut_answers (fleet->endpoints[a].http_port, a == FLEET_STOCK ? "orders" : "completions",
                       head, reset);
}

static void
check_engines (struct fleet *fleet, const char *head, bool reset)
{
  struct fleet_call call;
  int count;

  keep_connections (fleet);
  set_engines (fleet, head, reset);
  count = count_all_cut (fleet);
  fleet_begin_order (fleet, &call, 0, NULL, 0, 1, 0);
  expect_unknown (&call, false, head);
  CU_ASSERT_EQUAL (count_all_cut (fleet), count + 1);
  for (int stream = 0; stream <= 1; stream++)
    {
      fleet_begin_chat (fleet, &call, 0, stream, 3);
      expect_unknown (&call, true, head);
    }
  set_engines (fleet, NULL, false);
}

/* Guards against a cut head of an engine that passes for an answer, and against a second run of an
 * order, which may not be repeated. */
static void
test_engines (void)
{
  struct fleet fleet;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  for (size_t i = 0; i < COUNT (heads); i++)
    for (int reset = 0; reset <= 1; reset++)
      check_engines (&fleet, heads[i], reset);
  fleet_stop (&fleet);
}

/* @return how often entries have found that the platform doesn't answer. */
static int
count_down (struct fleet *fleet)
{
  int count = 0;

  for (int e = 0; e < FLEET_ENTRIES; e++)
    count += fleet_count_log_lines (fleet, fleet->entries[e].name, " platform_down ");
  return count;
}

/* The platform answers so for a while: the entries that read it take nothing from it. */
static void
check_platform (struct fleet *fleet, const char *head, bool reset, int64_t revision)
{
  int down = count_down (fleet);

  fleet_cut_answers (fleet->platform_port, "/v1/", head, reset);
  for (int i = 0; i < 1000 && count_down (fleet) == down; i++)
    fleet_sleep_ms (20);
  CU_ASSERT (count_down (fleet) > down);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    CU_ASSERT_EQUAL (fleet_revision (fleet, e), revision);
  fleet_cut_answers (fleet->platform_port, "/v1/", NULL, false);
  fleet_publish (fleet, "", (uint64_t) revision + 1);
  for (int e = 0; e < FLEET_ENTRIES; e++)
    {
      CU_ASSERT (wait_revision (fleet, e, revision + 1));
      CU_ASSERT (fleet_wait_live (fleet, e, FLEET_ENDPOINTS));
    }
}

/* Guards against a cut head of the platform that passes for a configuration, with the revision that
 * it names, or for a list without boxes. */
static void
test_platform (void)
{
  static const char *const cases[] = {
    "HTTP/1.1 200 OK\r\nAsh-Revision: 900\r\nContent-Length: 1",
    "HTTP/1.1 200 OK\r\nAsh-Revision: 900\r\n",
    "HTTP/1.1 304 Same\r\nAsh-Revision: 900\r\n",
    "HTTP/1.0 200 OK\r\nAsh-Revision: 900\r\n",
  };
  struct fleet fleet;
  int64_t revision = 1;

  fleet_start (&fleet, NO_GUARD_SETTINGS);
  for (size_t i = 0; i < COUNT (cases); i++)
    for (int reset = 0; reset <= 1; reset++)
      check_platform (&fleet, cases[i], reset, revision++);
  fleet_stop (&fleet);
}

/* Waits until the stand-in has cut an answer more. */
static bool
wait_cut (uint16_t port, int count)
{
  for (int i = 0; i < 500 && fleet_count_cut_answers (port) <= count; i++)
    fleet_sleep_ms (20);
  return fleet_count_cut_answers (port) > count;
}

/* Guards against a cut head of a rank that passes for its state, its loads or an order that was
 * carried out. */
static void
test_ranks (void)
{
  static const char *const paths[] = { "/order", "/state", "/loads" };
  struct group_fleet group;
  int hot = 0;

  group_fleet_start (&group);
  for (size_t i = 0; i < COUNT (paths); i++)
    for (int reset = 0; reset <= 1; reset++)
      {
        uint16_t port = group.ports[1];
        int count = fleet_count_cut_answers (port);
        int64_t changes;

        fleet_cut_answers (port, paths[i], heads[1 + 2 * (size_t) reset], reset);
        group_fleet_make_hot (&group, hot += 2);
        CU_ASSERT (wait_cut (port, count));
        fleet_cut_answers (port, paths[i], NULL, false);
        changes = group_fleet_read_counter (&group, "changes");
        group_fleet_make_hot (&group, hot + 1);
        CU_ASSERT (group_fleet_wait (&group, "changes", changes + 1));
        CU_ASSERT_EQUAL (group_fleet_read_counter (&group, "differences"), 0);
      }
  group_fleet_stop (&group);
}

const struct fault_test cut_head_tests[] = {
  { "cut heads: engines", test_engines },
  { "cut heads: the platform", test_platform },
  { "cut heads: ranks", test_ranks },
  { NULL, NULL },
};
