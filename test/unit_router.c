/**
 * @file
 * Unit tests of the router's components: routes, endpoints, forwarding, the bound on resends,
 * settings, messages between routers, the choice of pollers, and the log.
 */
#include "common/log.h"
#include "controllers/answer_memory.h"
#include "controllers/pollers.h"
#include "controllers/peer_version.h"
#include "controllers/peer_period.h"
#include "filters/forward.h"
#include "options/router_settings.h"
#include "platform/config.h"
#include "test/unit.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static struct ash_time
at (int64_t ms)
{
  return (struct ash_time){ ms };
}

/* ---- routes ---- */

#define SERVICES "\"Services\":[{\"Name\":\"a\"},{\"Name\":\"b\"}]"
#define ROUTE(name, prefix, service)                                                               \
  "{\"Name\":\"" name "\",\"Host\":\"H.example\",\"PathPrefix\":\"" prefix                         \
  "\",\"RouteKind\":\"safe\",\"Service\":\"" service "\"}"

static void
read_table (struct ash_route_table *table, const char *text, uint32_t expected_findings)
{
  struct ash_findings findings;

  ash_route_table_init (table);
  ash_findings_init (&findings, "configuration");
  ash_platform_config_read (table, NULL, text, strlen (text), &findings);
  CU_ASSERT_EQUAL (findings.count, expected_findings);
  ash_findings_finish (&findings);
}

static void
test_routes (void)
{
  struct ash_route_table table;

  read_table (&table,
              "{\"Version\":4," SERVICES ",\"Routes\":[" ROUTE ("r1", "/", "a") "," ROUTE (
                  "r2", "/x/", "b") "," ROUTE ("r3", "/x/y/", "a") "],"
                                                                   "\"Tenants\":[{\"Name\":\"t\","
                                                                   "\"ApiKeys\":[\"k2\",\"k1\"]}]}",
              0);
  /* The longest matching path prefix wins; the query, the case of the host and its port are
   * ignored. */
  CU_ASSERT_STRING_EQUAL (ash_route_table_find (&table, "h.example", "/x/y/z?/x/")->name, "r3");
  CU_ASSERT_STRING_EQUAL (ash_route_table_find (&table, "h.EXAMPLE:80", "/x/z")->name, "r2");
  CU_ASSERT_STRING_EQUAL (ash_route_table_find (&table, "h.example", "/x?/x/y/")->name, "r1");
  CU_ASSERT_PTR_NULL (ash_route_table_find (&table, "h.exampl", "/x/"));
  CU_ASSERT_PTR_NULL (ash_route_table_find (&table, "h.examples", "/x/"));
  CU_ASSERT_STRING_EQUAL (ash_route_table_account (&table, "k1")->name, "t");
  CU_ASSERT_PTR_NULL (ash_route_table_account (&table, "k"));
  ash_route_table_finish (&table);
}

static void
test_route_split (void)
{
  struct ash_route_table table;
  uint32_t picked[2] = { 0 };

  read_table (&table,
              "{\"Version\":4," SERVICES ",\"Routes\":[{\"Host\":\"h\",\"PathPrefix\":\"/\","
              "\"RouteKind\":\"streaming\",\"Resumable\":true,\"Split\":[{\"Service\":\"a\","
              "\"Weight\":90},{\"Service\":\"b\",\"Weight\":10}]}]}",
              0);
  CU_ASSERT (table.routes[0].stream && table.routes[0].resumable);
  CU_ASSERT_EQUAL (table.routes[0].repeat, ASH_REPEAT_SAFE);
  for (uint64_t random_value = 0; random_value < 1000; random_value++)
    picked[ash_route_table_pick_service (&table, &table.routes[0], random_value)]++;
  CU_ASSERT (picked[0] == 900 && picked[1] == 100);
  ash_route_table_finish (&table);
}

static void
test_bad_tables (void)
{
  static const char *const odd_accounts[] = {
    "", " a", "a\\t", "a\\r\\nX-Evil: 1", "a\\n", "a\\u007f", "\\u0001",
  };
  struct ash_route_table table;
  char text[256];

  /* All errors of a configuration are reported at once. */
  read_table (&table, "{\"Services\":[{}],\"Routes\":[{}],\"Tenants\":[{}]}", 6);
  ash_route_table_finish (&table);
  /* In a split without any weight no service could be picked for a request. */
  read_table (&table,
              "{\"Version\":4," SERVICES ",\"Routes\":[{\"Host\":\"h\",\"PathPrefix\":\"/\","
              "\"RouteKind\":\"safe\",\"Split\":[{\"Service\":\"a\",\"Weight\":0},"
              "{\"Service\":\"b\"}]}]}",
              1);
  ash_route_table_finish (&table);
  /* An account's name is sent in a field of its own. */
  for (size_t i = 0; i < sizeof odd_accounts / sizeof odd_accounts[0]; i++)
    {
      snprintf (text, sizeof text,
                "{\"Version\":4," SERVICES ",\"Routes\":[],\"Tenants\":[{\"Name\":\"%s\"}]}",
                odd_accounts[i]);
      read_table (&table, text, 1);
      ash_route_table_finish (&table);
    }
  read_table (&table,
              "{\"Version\":4," SERVICES
              ",\"Routes\":[],\"Tenants\":[{\"Name\":\"G\u00fcnther & S\u00f6hne \\\"1\\\"\"}]}",
              0);
  ash_route_table_finish (&table);
  read_table (&table, "[1,", 1);
  ash_route_table_finish (&table);
  read_table (&table, "7", 1);
  ash_route_table_finish (&table);
}

/* ---- endpoints ---- */

static struct ash_direct_endpoint *
add_endpoint (struct ash_direct_set *set, const char *id, bool draining)
{
  struct ash_direct_facts facts = { .service = "s", .slots = 4 };

  snprintf (facts.id, sizeof facts.id, "%s", id);
  snprintf (facts.address, sizeof facts.address, "at-%s:1", id);
  facts.draining = draining;
  ash_direct_update (set, &facts);
  return ash_direct_find (set, id);
}

static const char *
choose (struct ash_direct_set *set, struct ash_time now, uint32_t cap, uint32_t pause_target_ms)
{
  struct ash_direct_criteria criteria = { .service = "s",
                                          .cap = cap,
                                          .pause_target_ms = pause_target_ms };
  struct ash_direct_endpoint *chosen;

  return ash_direct_choose (set, now, &criteria, &chosen) == ASH_DIRECT_CHOSEN ? chosen->facts.id
                                                                               : "-";
}

static void
test_choice (void)
{
  struct ash_direct_set set;
  struct ash_direct_endpoint *a;
  struct ash_direct_endpoint *b;

  ash_direct_init (&set, 1);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (0), 9, 0), "-");
  a = add_endpoint (&set, "a", false);
  b = add_endpoint (&set, "b", false);
  a->in_flight = 2;
  b->peers_in_flight = 1;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (0), 9, 0), "b");
  /* An endpoint that failed is ejected for a while, but is still chosen if no other has room. */
  ash_direct_note_result (b, at (1000), ASH_DIRECT_BROKEN);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (1001), 9, 0), "a");
  CU_ASSERT_STRING_EQUAL (choose (&set, at (1001), 2, 0), "b");
  CU_ASSERT_STRING_EQUAL (choose (&set, at (1300), 9, 0), "b");
  /* The ejection time grows with each consecutive failure; an answer ends the ejection. */
  ash_direct_note_result (b, at (2000), ASH_DIRECT_TIMED_OUT);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (2400), 9, 0), "a");
  ash_direct_note_result (b, at (2500), ASH_DIRECT_ANSWERED);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (2600), 9, 0), "b");
  /* A failed answer does not eject the endpoint: the request itself may be the cause. */
  ash_direct_note_result (b, at (3000), ASH_DIRECT_FAILED);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (3001), 9, 0), "b");
  b->facts.draining = true;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (4000), 9, 0), "a");
  CU_ASSERT_STRING_EQUAL (choose (&set, at (4000), 2, 0), "-");
  ash_direct_finish (&set);
}

static void
test_pauses (void)
{
  struct ash_direct_set set;
  struct ash_direct_endpoint *a;
  struct ash_direct_endpoint *b;

  ash_direct_init (&set, 1);
  a = add_endpoint (&set, "a", false);
  b = add_endpoint (&set, "b", false);
  a->in_flight = 3;
  b->in_flight = 4;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (100), 8, 120), "a");
  /* A request costs twice as much at an endpoint whose streams pause for twice as long. */
  for (int i = 0; i < 40; i++)
    {
      ash_direct_note_pause (a, at (100), 120);
      ash_direct_note_pause (b, at (100), 60);
    }
  CU_ASSERT_STRING_EQUAL (choose (&set, at (100), 8, 120), "b");
  /* The cap of that endpoint is also lower, but at least half of the configured cap. */
  b->in_flight = 8;
  a->in_flight = 5;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (100), 8, 120), "a");
  a->in_flight = 6;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (100), 8, 120), "-");
  /* Pauses observed long ago no longer count. */
  CU_ASSERT_STRING_EQUAL (choose (&set, at (5000), 8, 120), "a");
  ash_direct_finish (&set);
}

/* Endpoints of the router's own hall are preferred. When choices ignored the hall, traffic between
 * halls cost 0.04 in the score of a day with 72 ranks. */
static void
test_own_hall (void)
{
  struct ash_direct_criteria criteria = {
    .service = "s", .hall = "x", .cap = 9, .pause_target_ms = 120
  };
  struct ash_direct_endpoint *chosen;
  struct ash_direct_endpoint *near;
  struct ash_direct_endpoint *far;
  struct ash_direct_set set;

  ash_direct_init (&set, 1);
  near = add_endpoint (&set, "near", false);
  far = add_endpoint (&set, "far", false);
  snprintf (near->facts.hall, sizeof near->facts.hall, "x");
  snprintf (far->facts.hall, sizeof far->facts.hall, "y");
  near->in_flight = 4;
  far->in_flight = 3;
  ash_direct_choose (&set, at (100), &criteria, &chosen);
  CU_ASSERT_PTR_EQUAL (chosen, near);
  /* All ranks wait for the one with most requests, so load must stay even: a difference of three
   * requests outweighs the hall. */
  far->in_flight = 1;
  ash_direct_choose (&set, at (100), &criteria, &chosen);
  CU_ASSERT_PTR_EQUAL (chosen, far);
  ash_direct_finish (&set);
}

/* A slow rank must get fewer requests, since all ranks of its group wait for it: one of 12 ranks
 * took 3.3 times as long as the others. */
static void
test_slow_endpoint (void)
{
  struct ash_direct_set set;
  struct ash_direct_endpoint *a;
  struct ash_direct_endpoint *b;

  ash_direct_init (&set, 1);
  a = add_endpoint (&set, "a", false);
  b = add_endpoint (&set, "b", false);
  b->in_flight = 1;
  ash_direct_set_pace (a, at (100), 3);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (200), 8, 120), "b");
  /* At a pace of 3 (its passes take three times as long) the endpoint gets a third of the load of
   * the others, up to a third of the cap. */
  b->in_flight = 7;
  a->in_flight = 1;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (200), 8, 120), "a");
  a->in_flight = 2;
  b->in_flight = 8;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (200), 8, 120), "-");
  /* The reported pace no longer counts once the endpoint reports a normal pace, or has reported
   * none for long. */
  CU_ASSERT_STRING_EQUAL (choose (&set, at (1700), 8, 120), "a");
  ash_direct_set_pace (a, at (1800), 3);
  ash_direct_set_pace (a, at (1900), 1.1);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (1900), 8, 120), "a");
  ash_direct_finish (&set);
}

static void
add_endpoint_at (struct ash_direct_set *set, const char *id, const char *address)
{
  struct ash_direct_facts facts = { .service = "s", .slots = 8 };

  snprintf (facts.id, sizeof facts.id, "%s", id);
  snprintf (facts.address, sizeof facts.address, "%s", address);
  ash_direct_update (set, &facts);
}

/* Guards against requests to the former ids of endpoints. Both endpoints of a service had restarted
 * under new ids at the same addresses. A newly started router, which did not trust its list yet,
 * still used the missing former ids, sent requests for them to the addresses of the new ones, and
 * rejected a request although both endpoints were up. */
static void
test_address_taken_over (void)
{
  struct ash_direct_set set;

  ash_direct_init (&set, 1);
  add_endpoint_at (&set, "a1", "10.0.0.1:80");
  add_endpoint_at (&set, "b1", "10.0.0.2:80");
  add_endpoint_at (&set, "c1", "10.0.0.3:80");
  /* The new id is listed before the former id goes missing (endpoint a), or after it (endpoint
   * b). */
  add_endpoint_at (&set, "a2", "10.0.0.1:80");
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "a1")));
  ash_direct_remove (&set, "a1", false, at (9000));
  CU_ASSERT_FALSE (ash_direct_usable (ash_direct_find (&set, "a1")));
  ash_direct_remove (&set, "b1", false, at (9000));
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "b1")));
  add_endpoint_at (&set, "b2", "10.0.0.2:80");
  CU_ASSERT_FALSE (ash_direct_usable (ash_direct_find (&set, "b1")));
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "b2")));
  ash_direct_remove (&set, "c1", false, at (9000));
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "c1")));
  ash_direct_finish (&set);
}

static void
test_removal (void)
{
  struct ash_direct_set set;

  ash_direct_init (&set, 1);
  add_endpoint (&set, "a", false);
  add_endpoint (&set, "b", false);
  /* An endpoint that goes missing from an untrusted list is used for a while longer; if the list
   * contains it again, it is used without a time limit. */
  CU_ASSERT (ash_direct_remove (&set, "a", false, at (500)));
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "a")));
  ash_direct_tick (&set, at (400));
  add_endpoint (&set, "a", false);
  ash_direct_tick (&set, at (600));
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "a")));
  CU_ASSERT (ash_direct_remove (&set, "a", false, at (900)));
  ash_direct_tick (&set, at (901));
  CU_ASSERT_PTR_NULL (ash_direct_find (&set, "a"));
  /* An endpoint that goes missing from a trusted list is removed at once, but its record is kept
   * until its requests have ended. */
  ash_direct_find (&set, "b")->in_flight = 1;
  CU_ASSERT (ash_direct_remove (&set, "b", true, at (0)));
  ash_direct_tick (&set, at (1000));
  CU_ASSERT_FALSE (ash_direct_usable (ash_direct_find (&set, "b")));
  ash_direct_find (&set, "b")->in_flight = 0;
  ash_direct_tick (&set, at (1001));
  CU_ASSERT_PTR_NULL (ash_direct_find (&set, "b"));
  /* A draining endpoint that goes missing counts as removed even if the list is not trusted. */
  add_endpoint (&set, "c", true);
  CU_ASSERT (ash_direct_remove (&set, "c", false, at (9000)));
  CU_ASSERT_EQUAL (ash_direct_find (&set, "c")->presence, ASH_DIRECT_REMOVED);
  ash_direct_finish (&set);
}

/* ---- forwarding ---- */

struct forward_test
{
  struct ash_direct_set set;
  struct ash_resend_window window;
  struct ash_forward_context context;
  struct ash_forward forward;
};

static void
begin_forward (struct forward_test *test, enum ash_repeat repeat)
{
  *test = (struct forward_test){ 0 };
  ash_direct_init (&test->set, 1);
  add_endpoint (&test->set, "a", false);
  add_endpoint (&test->set, "b", false);
  test->context = (struct ash_forward_context){
    .endpoints = &test->set,
    .window = &test->window,
    .bound = { 10000, 0.2, 20 },
    .entries = 1,
    .wait_ms = 80,
  };
  test->forward = (struct ash_forward){
    .repeat = repeat,
    .servers_max = 2,
    .service = "s",
    .cap = 4,
    .arrived = at (1000),
    .deadline = at (5000),
  };
}

static struct ash_forward_decision
next (struct forward_test *test, int64_t ms)
{
  return ash_forward_next (&test->forward, &test->context, at (ms));
}

static void
expect_answer (struct ash_forward_decision decision,
               uint16_t status,
               enum ash_forward_reason reason)
{
  CU_ASSERT_EQUAL (decision.action, ASH_FORWARD_ANSWER);
  CU_ASSERT_EQUAL (decision.answer.status, status);
  CU_ASSERT_EQUAL (decision.answer.reason, reason);
  /* An answer that states that the request did not run must contain a time to retry after. */
  CU_ASSERT_EQUAL (decision.answer.retry_after_ms != 0, status == 503);
}

static void
test_forward_once (void)
{
  struct forward_test test;
  struct ash_forward_decision decision;

  begin_forward (&test, ASH_REPEAT_ONCE);
  decision = next (&test, 1000);
  CU_ASSERT_EQUAL_FATAL (decision.action, ASH_FORWARD_SEND);
  ash_forward_sent (&test.forward, decision.endpoint);
  /* Without an answer from the endpoint the request may have run, so it must not be sent again. */
  expect_answer (next (&test, 1100), 502, ASH_FORWARD_FAILED);
  expect_answer (next (&test, 5000), 504, ASH_FORWARD_TIMEOUT);
  /* The endpoint states that the request did not run: it is sent to another endpoint. */
  ash_forward_not_run (&test.forward, true);
  decision = next (&test, 1200);
  CU_ASSERT_EQUAL_FATAL (decision.action, ASH_FORWARD_SEND);
  CU_ASSERT_NOT_EQUAL (decision.endpoint->hash, test.forward.tried[0]);
  ash_forward_sent (&test.forward, decision.endpoint);
  ash_forward_not_run (&test.forward, true);
  /* Both endpoints state that they did not run the request. */
  expect_answer (next (&test, 1300), 503, ASH_FORWARD_REJECTED);
  ash_direct_finish (&test.set);
}

static void
test_forward_repeatable (void)
{
  struct forward_test test;

  begin_forward (&test, ASH_REPEAT_SAFE);
  ash_forward_sent (&test.forward, next (&test, 1000).endpoint);
  CU_ASSERT_EQUAL (next (&test, 1100).action, ASH_FORWARD_SEND);
  ash_forward_sent (&test.forward, ash_direct_find (&test.set, "a"));
  /* The first endpoint may have run the request, even though the last one states that it did
   * not. */
  ash_forward_not_run (&test.forward, true);
  expect_answer (next (&test, 1200), 502, ASH_FORWARD_FAILED);
  ash_direct_finish (&test.set);
}

static void
test_forward_capacity (void)
{
  struct forward_test test;
  struct ash_forward_decision decision;

  begin_forward (&test, ASH_REPEAT_ONCE);
  ash_direct_find (&test.set, "a")->in_flight = 4;
  ash_direct_find (&test.set, "b")->peers_in_flight = 4;
  decision = next (&test, 1000);
  CU_ASSERT_EQUAL (decision.action, ASH_FORWARD_WAIT);
  CU_ASSERT_EQUAL (decision.until.ms, 1080);
  expect_answer (next (&test, 1080), 503, ASH_FORWARD_NO_ROOM);
  ash_direct_find (&test.set, "a")->in_flight = 3;
  CU_ASSERT_EQUAL (next (&test, 1079).action, ASH_FORWARD_SEND);
  /* A failed connection attempt does not count as a try. */
  ash_forward_sent (&test.forward, ash_direct_find (&test.set, "a"));
  ash_forward_not_run (&test.forward, false);
  CU_ASSERT_EQUAL (test.forward.sent, 0);
  ash_direct_finish (&test.set);
}

/* Guards against retry times that are too short. During a burst of some seconds, callers rejected
 * for lack of room retried after 0.3 to 1 s, most within the same burst; they were rejected again
 * and had no more tries (29.6 of 100 requests of days with slow endpoints, bursts and rolling
 * stops). The retry time is therefore a part of the time left until the deadline, at most a third,
 * since callers accept no longer one. */
static void
test_forward_retry_after (void)
{
  struct forward_test test;
  int64_t least_ms = INT64_MAX;
  int64_t most_ms = 0;

  begin_forward (&test, ASH_REPEAT_ONCE);
  ash_direct_find (&test.set, "a")->in_flight = 4;
  ash_direct_find (&test.set, "b")->in_flight = 4;
  test.context.wait_ms = 0;
  test.forward.deadline = at (9000);
  for (int i = 0; i < 200; i++)
    {
      struct ash_forward_decision decision = next (&test, 1000);

      expect_answer (decision, 503, ASH_FORWARD_NO_ROOM);
      if (decision.answer.retry_after_ms < least_ms)
        least_ms = decision.answer.retry_after_ms;
      if (decision.answer.retry_after_ms > most_ms)
        most_ms = decision.answer.retry_after_ms;
    }
  CU_ASSERT (least_ms >= 8000 / 8);
  CU_ASSERT (most_ms <= 8000 / 3);
  CU_ASSERT (most_ms - least_ms > 1500);
  /* A caller with little time left gets a retry time within it. */
  test.forward.deadline = at (1100);
  expect_answer (next (&test, 1000), 503, ASH_FORWARD_NO_ROOM);
  CU_ASSERT (next (&test, 1000).answer.retry_after_ms <= 100 / 3 + 1);
  test.forward.deadline = at (1001);
  expect_answer (next (&test, 1000), 503, ASH_FORWARD_NO_ROOM);
  /* The retry time is at most 3 s, even if a third of the time until the deadline is longer. */
  test.forward.deadline = at (61000);
  CU_ASSERT (next (&test, 1000).answer.retry_after_ms <= 3000);
  expect_answer (next (&test, 1000), 503, ASH_FORWARD_NO_ROOM);
  ash_direct_finish (&test.set);
}

static void
test_resend_bound (void)
{
  const struct ash_resend_bound bound = { 10000, 0.2, 20 };
  struct ash_resend_window window = { 0 };
  uint32_t sent = 0;

  for (int64_t ms = 0; ms < 10000; ms += 10)
    ash_resend_window_request (&window, &bound, at (ms));
  for (int i = 0; i < 1000; i++)
    sent += ash_resend_window_spend (&window, &bound, 4, at (9999));
  /* A router may resend the ratio of its own requests plus its share (of four routers: a quarter)
   * of the slack. The lower bound checks that resends are allowed at all. */
  CU_ASSERT (sent > 80 && sent <= 0.2 * 1000 + 20.0 / 4);
  /* Resends are allowed again only once the window has passed. */
  CU_ASSERT_FALSE (ash_resend_window_spend (&window, &bound, 4, at (15000)));
  CU_ASSERT (ash_resend_window_spend (&window, &bound, 4, at (40000)));
}

/* ---- settings ---- */

/* Reads the required settings of a router, followed by the lines in @p more. */
static void
read_settings (struct ash_router_settings *settings,
               const char *more,
               struct ash_findings *findings)
{
  char text[1024];
  int length = snprintf (
      text, sizeof text,
      "box = 'r'\nhall = 'h'\nfrontend_listen = '127.0.0.1:1'\nreadiness_listen = '127.0.0.1:2'\n"
      "directory_listen = '127.0.0.1:3'\npeer_listen = '127.0.0.1:4'\n"
      "metrics_listen = '127.0.0.1:5'\nstore_address = '127.0.0.1:6'\n"
      "fleet_key = '00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff'\n%s",
      more);

  ash_findings_init (findings, "settings");
  ash_router_settings_read (settings, text, (size_t) length, findings);
}

/* Settings in seconds may be fractions. A deployment's template turned its stop time into
 * milliseconds by appending three zeros: 7.5 became 7.5000, which is not a valid number of
 * milliseconds, so no router would have started. */
static void
test_seconds (void)
{
  struct ash_router_settings settings;
  struct ash_findings findings;

  read_settings (&settings, "grace_s = 7.5\nresend_window_s = 10\n", &findings);
  CU_ASSERT_EQUAL (findings.count, 0);
  CU_ASSERT_EQUAL (settings.grace_ms, 7500);
  CU_ASSERT_EQUAL (settings.resend_window_ms, 10000);
  ash_findings_finish (&findings);
  read_settings (&settings, "grace_s = 8\nresend_window_s = 0.1004\n", &findings);
  CU_ASSERT_EQUAL (findings.count, 0);
  CU_ASSERT_EQUAL (settings.grace_ms, 8000);
  CU_ASSERT_EQUAL (settings.resend_window_ms, 100);
  ash_findings_finish (&findings);
  /* Defaults apply to settings that are not given. */
  read_settings (&settings, "", &findings);
  CU_ASSERT_EQUAL (findings.count, 0);
  CU_ASSERT_EQUAL (settings.grace_ms, 8000);
  CU_ASSERT_EQUAL (settings.resend_window_ms, 10000);
  ash_findings_finish (&findings);
  read_settings (&settings, "grace_s = -1.5\nresend_window_s = '10'\ngrace_ms = 8000\n", &findings);
  CU_ASSERT_EQUAL (findings.count, 3);
  ash_findings_finish (&findings);
}

/* Bounds may be fractions: a slack of 34.1 requests was rejected, so none of 27 routers started. */
static void
test_fractions (void)
{
  struct ash_router_settings settings;
  struct ash_findings findings;

  read_settings (&settings, "resend_slack = 34.1\nresend_ratio = 0.2\n", &findings);
  CU_ASSERT_EQUAL (findings.count, 0);
  CU_ASSERT_DOUBLE_EQUAL (settings.resend_slack, 34.1, 1e-9);
  ash_findings_finish (&findings);
  read_settings (&settings, "resend_slack = 648\n", &findings);
  CU_ASSERT_EQUAL (findings.count, 0);
  CU_ASSERT_DOUBLE_EQUAL (settings.resend_slack, 648, 1e-9);
  ash_findings_finish (&findings);
  read_settings (&settings, "resend_slack = -1\n", &findings);
  CU_ASSERT_EQUAL (findings.count, 1);
  ash_findings_finish (&findings);
}

/* ---- message periods ---- */

/* The number of messages per second that a router sends to other halls is bounded. A router with
 * 119 peers there sent heartbeats every 300 ms and loads every 50 ms, 2,800 messages a second. With
 * few peers in other halls (up to 30 for heartbeats, 20 for loads) the periods are those of the
 * settings. */
static void
test_peer_periods (void)
{
  CU_ASSERT_EQUAL (ash_peer_period_remote_heartbeat_ms (300, 0), 300);
  CU_ASSERT_EQUAL (ash_peer_period_remote_heartbeat_ms (300, 30), 300);
  CU_ASSERT_EQUAL (ash_peer_period_remote_heartbeat_ms (300, 119), 1190);
  CU_ASSERT_EQUAL (ash_peer_period_remote_load_ms (50, 20), 50);
  CU_ASSERT (1000 * 119 / ash_peer_period_remote_load_ms (50, 119) <= 410);
  CU_ASSERT (1000 * 1000 / ash_peer_period_remote_load_ms (50, 1000) <= 410);
  CU_ASSERT_EQUAL (ash_peer_period_remote_parts (50, 20), 1);
  CU_ASSERT_EQUAL (ash_peer_period_remote_parts (50, 119), 5);
  /* A link may be silent for several of the heartbeat periods that its peer announces. */
  CU_ASSERT_EQUAL (ash_peer_period_silence_ms (1000, 300, 0), 1000);
  CU_ASSERT_EQUAL (ash_peer_period_silence_ms (1000, 300, 300), 1000);
  CU_ASSERT (ash_peer_period_silence_ms (1000, 300, 1190) > 3 * 1190);
}

/* ---- endpoints of other halls in a large fleet ---- */

#define SPILLOVER_ENDPOINTS 150
#define SPILLOVER_ROUTERS 120
#define SPILLOVER_CAP 6

/* Each router chooses an endpoint from the same loads, before it learns of the choices of the
 * others. @return the number of requests at the endpoint that got most. */
static uint32_t
spill_over (struct ash_direct_set *set, uint32_t remote_parts, uint32_t *sent)
{
  uint32_t got[SPILLOVER_ENDPOINTS] = { 0 };
  struct ash_direct_endpoint *chosen;
  uint32_t most = 0;

  *sent = 0;
  for (uint64_t router = 1; router <= SPILLOVER_ROUTERS; router++)
    {
      struct ash_direct_criteria criteria = { .service = "s",
                                              .hall = "own",
                                              .router_id = router * UINT64_C (0x2545f4914f6cdd1d),
                                              .remote_parts = remote_parts,
                                              .cap = SPILLOVER_CAP };

      if (ash_direct_choose (set, at (0), &criteria, &chosen) != ASH_DIRECT_CHOSEN)
        continue;
      ++*sent;
      got[chosen->facts.slots]++;
    }
  for (uint32_t i = 0; i < SPILLOVER_ENDPOINTS; i++)
    most = got[i] > most ? got[i] : most;
  return most;
}

/* Guards against overload by routers that choose at the same time. With 149 routers, 192 ranks with
 * a cap of 6 had up to 23 requests each: loads of other halls arrive 0.3 s late, and every router
 * whose own hall was full took the same last free slots in other halls. */
static void
test_spillover (void)
{
  struct ash_direct_set set;
  struct ash_direct_endpoint *own;
  uint32_t sent;

  ash_direct_init (&set, 1);
  for (uint32_t i = 0; i < SPILLOVER_ENDPOINTS; i++)
    {
      struct ash_direct_facts facts = { .service = "s", .address = "127.0.0.1:1", .hall = "far" };
      struct ash_direct_endpoint *endpoint;

      snprintf (facts.id, sizeof facts.id, "e%u", i);
      facts.slots = i;
      ash_direct_update (&set, &facts);
      endpoint = ash_direct_find (&set, facts.id);
      endpoint->peers_in_flight = i < 3 ? SPILLOVER_CAP - 1 : SPILLOVER_CAP;
    }
  own = ash_direct_find (&set, "e149");
  CU_ASSERT_PTR_NOT_NULL_FATAL (own);
  snprintf (own->facts.hall, sizeof own->facts.hall, "own");
  /* If each router uses all endpoints of other halls, all send to one of the three free slots. */
  CU_ASSERT (spill_over (&set, 1, &sent) > SPILLOVER_ROUTERS / 5);
  CU_ASSERT_EQUAL (sent, SPILLOVER_ROUTERS);
  /* If each router uses only one of six parts of the endpoints of other halls, it leaves their last
   * slots free for requests of other routers that it has not learned of yet. */
  spill_over (&set, 6, &sent);
  CU_ASSERT_EQUAL (sent, 0);
  /* When endpoints have many free slots, each gets only some of the routers, and every router finds
   * one. */
  for (struct ash_direct_endpoint *endpoint = set.endpoints; endpoint != own;
       endpoint = endpoint->hh.next)
    endpoint->peers_in_flight = 1;
  CU_ASSERT (spill_over (&set, 6, &sent) < 8);
  CU_ASSERT_EQUAL (sent, SPILLOVER_ROUTERS);
  /* If its own hall and its part of the other halls' endpoints have none to offer, a router takes
   * any endpoint. */
  own->facts.draining = true;
  for (uint32_t i = 1; i < SPILLOVER_ENDPOINTS - 1; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "e%u", i);
      ash_direct_find (&set, id)->facts.draining = true;
    }
  spill_over (&set, 6, &sent);
  CU_ASSERT_EQUAL (sent, SPILLOVER_ROUTERS);
  ash_direct_finish (&set);
}

/* ---- restarts of an endpoint ---- */

static void
count_restart (void *data, struct ash_direct_endpoint *endpoint)
{
  (void) endpoint;
  ++*(uint32_t *) data;
}

/* A server may restart under the same id: failures and pace of the former incarnation no longer
 * count. */
static void
test_restart (void)
{
  struct ash_direct_facts facts = {
    .id = "a", .service = "s", .address = "127.0.0.1:1", .slots = 4, .born_ms = 1000
  };
  struct ash_direct_set set;
  struct ash_direct_endpoint *a;
  uint32_t restarted = 0;

  ash_direct_init (&set, 1);
  set.restarted = count_restart;
  set.data = &restarted;
  ash_direct_update (&set, &facts);
  a = ash_direct_find (&set, "a");
  for (int i = 0; i < 8; i++)
    ash_direct_note_result (a, at (1000), ASH_DIRECT_TIMED_OUT);
  ash_direct_set_pace (a, at (1000), 3);
  ash_direct_note_pause (a, at (1000), 400);
  /* The same incarnation reports a new state. */
  facts.draining = true;
  CU_ASSERT (ash_direct_update (&set, &facts));
  CU_ASSERT_EQUAL (restarted, 0);
  CU_ASSERT_EQUAL (a->failures, 8);
  facts.draining = false;
  facts.born_ms = 5000;
  CU_ASSERT (ash_direct_update (&set, &facts));
  CU_ASSERT_EQUAL (restarted, 1);
  CU_ASSERT_EQUAL (a->failures, 0);
  CU_ASSERT_FALSE (ash_time_before (at (1001), a->ejected_until));
  CU_ASSERT_EQUAL (ash_direct_pace (a, at (1001)), 1);
  CU_ASSERT_FALSE (ash_direct_update (&set, &facts));
  /* An update without a start time is not a restart, unless the address has changed. */
  facts.born_ms = 0;
  CU_ASSERT_FALSE (ash_direct_update (&set, &facts));
  snprintf (facts.address, sizeof facts.address, "127.0.0.1:2");
  CU_ASSERT (ash_direct_update (&set, &facts));
  CU_ASSERT_EQUAL (restarted, 2);
  ash_direct_finish (&set);
}

/* ---- versions of peers ---- */

static void
test_peer_version (void)
{
  struct ash_peer_version version = { 0 };

  ash_peer_version_reported (&version, (struct ash_time){ 100 }, 4, 4);
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&version, (struct ash_time){ 900 }, 4, 0));
  /* A router is behind once it has lacked a version for some time, which runs from a peer's first
   * report of a newer version, not from the arrival of the router's own last version. */
  ash_peer_version_reported (&version, (struct ash_time){ 1000 }, 6, 4);
  CU_ASSERT (ash_peer_version_is_behind (&version, (struct ash_time){ 1250 }, 4, 250));
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&version, (struct ash_time){ 1250 }, 4, 251));
  /* Further reports, of newer or older versions, do not restart the time after which the router is
   * behind. */
  ash_peer_version_reported (&version, (struct ash_time){ 1300 }, 9, 4);
  ash_peer_version_reported (&version, (struct ash_time){ 1350 }, 5, 4);
  CU_ASSERT (ash_peer_version_is_behind (&version, (struct ash_time){ 1400 }, 4, 400));
  /* When this router gets a newer version, the time after which it is behind starts again, since
   * its own source of changes works. */
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&version, (struct ash_time){ 1500 }, 6, 1));
  CU_ASSERT (ash_peer_version_is_behind (&version, (struct ash_time){ 1600 }, 6, 100));
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&version, (struct ash_time){ 1600 }, 6, 101));
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&version, (struct ash_time){ 1700 }, 9, 0));
}

/* Guards against needless requests for a whole list. A peer reported a newer list 10 ms before the
 * same change arrived here, in an answer with an earlier revision. Both lists were then equal, but
 * the revision reported while they differed was kept, so this router, which lacked nothing,
 * requested the whole list from a peer and from the store. */
static void
test_peer_version_equal (void)
{
  struct ash_peer_version version = { 0 };

  ash_peer_version_reported (&version, at (1000), 9, 4);
  ash_peer_version_equal (&version, at (1100), 9, 4);
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&version, at (1900), 4, 0));
  /* A peer whose list differs and is of an older revision may lack something itself; this router is
   * not behind. */
  ash_peer_version_reported (&version, at (1900), 8, 4);
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&version, at (1950), 4, 0));
  /* An equal list of an older revision does not show that this router has the newest one. */
  ash_peer_version_reported (&version, at (2000), 12, 4);
  ash_peer_version_equal (&version, at (2100), 11, 4);
  CU_ASSERT (ash_peer_version_is_behind (&version, at (2700), 4, 700));
  /* When a peer reports a later change, the time after which this router is behind starts again. */
  ash_peer_version_equal (&version, at (2800), 13, 4);
  ash_peer_version_reported (&version, at (3000), 14, 4);
  CU_ASSERT (ash_peer_version_is_behind (&version, at (3100), 4, 100));
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&version, at (3100), 4, 101));
}

/* ---- pollers of the store ---- */

#define POLLERS_MAX 400
#define POLLERS_WANTED 3

struct fleet
{
  char boxes[POLLERS_MAX][16];
  char halls[POLLERS_MAX][16];
  uint32_t count;
};

/* @param hall_of returns the hall of the router with that index; routers are ordered by name. */
static void
build_fleet (struct fleet *fleet, uint32_t count, uint32_t (*hall_of) (uint32_t i))
{
  fleet->count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (fleet->boxes[i], sizeof fleet->boxes[i], "edge-%03u", i);
      snprintf (fleet->halls[i], sizeof fleet->halls[i], "hall-%u", hall_of (i));
    }
}

static bool
is_poller (const struct fleet *fleet, uint32_t own)
{
  struct ash_poller others[POLLERS_MAX];
  uint32_t count = 0;

  /* Each router sees the others in a different order, as links come up. */
  for (uint32_t i = 1; i < fleet->count; i++)
    {
      uint32_t other = (own + i) % fleet->count;

      others[count++] = (struct ash_poller){ fleet->boxes[other], fleet->halls[other], 0 };
    }
  return ash_pollers_is_chosen ((struct ash_poller){ fleet->boxes[own], fleet->halls[own], 0 },
                                others, count, POLLERS_WANTED);
}

/* @return bit mask of the routers among the first 64 that consider themselves pollers. @param count
 * receives the number of such routers in the whole fleet. */
static uint64_t
pollers_of (const struct fleet *fleet, uint32_t *count)
{
  uint64_t pollers = 0;

  *count = 0;
  for (uint32_t i = 0; i < fleet->count; i++)
    if (is_poller (fleet, i))
      {
        ++*count;
        pollers |= i < 64 ? UINT64_C (1) << i : 0;
      }
  return pollers;
}

static uint32_t
one_hall (uint32_t i)
{
  (void) i;
  return 0;
}

static uint32_t
three_halls_in_turn (uint32_t i)
{
  return i % 3;
}

/* Router names sort by hall: ten routers per hall. */
static uint32_t
halls_of_ten (uint32_t i)
{
  return i / 10;
}

static uint32_t
two_halls (uint32_t i)
{
  return i >= 5;
}

/* The routers that poll the store for the whole fleet must be in different halls. When they were
 * the first three by name, all were in one hall: with that hall cut off, the other routers learned
 * of a change only when their own long poll ended. */
static void
test_pollers (void)
{
  static struct fleet fleet;
  uint32_t count;

  build_fleet (&fleet, 30, halls_of_ten);
  CU_ASSERT_EQUAL (pollers_of (&fleet, &count), UINT64_C (1) << 0 | UINT64_C (1) << 10 | 1 << 20);
  CU_ASSERT_EQUAL (count, POLLERS_WANTED);
  build_fleet (&fleet, 400, halls_of_ten);
  CU_ASSERT_EQUAL (pollers_of (&fleet, &count), UINT64_C (1) << 0 | UINT64_C (1) << 10 | 1 << 20);
  CU_ASSERT_EQUAL (count, POLLERS_WANTED);
  build_fleet (&fleet, 400, three_halls_in_turn);
  CU_ASSERT_EQUAL (pollers_of (&fleet, &count), 7);
  CU_ASSERT_EQUAL (count, POLLERS_WANTED);
  /* With fewer halls than pollers, the second routers of halls come next. */
  build_fleet (&fleet, 30, two_halls);
  CU_ASSERT_EQUAL (pollers_of (&fleet, &count), 1 << 0 | 1 << 1 | 1 << 5);
  CU_ASSERT_EQUAL (count, POLLERS_WANTED);
  build_fleet (&fleet, 400, one_hall);
  CU_ASSERT_EQUAL (pollers_of (&fleet, &count), 7);
  CU_ASSERT_EQUAL (count, POLLERS_WANTED);
  /* With few routers all of them are pollers. */
  build_fleet (&fleet, 2, one_hall);
  CU_ASSERT_EQUAL (pollers_of (&fleet, &count), 3);
  build_fleet (&fleet, 1, one_hall);
  CU_ASSERT_EQUAL (pollers_of (&fleet, &count), 1);
}

/* A router with a fast link must lead. When the next leader was chosen by name only, it had a link
 * of 40 Mbit/s: sending a map for two groups of 96 ranks, 3.5 MB, took 0.7 s, during which both
 * groups were stalled. */
static void
test_fast_links_first (void)
{
  const struct ash_poller small = { "edge-a-1", "a", 40 };
  const struct ash_poller large = { "edge-a-2", "a", 200 };
  const struct ash_poller other = { "edge-b-1", "b", 200 };
  const struct ash_poller unknown = { "edge-a-0", "a", 0 };
  const struct ash_poller others[] = { small, other, unknown };

  CU_ASSERT (ash_pollers_before (large, small) && !ash_pollers_before (small, large));
  CU_ASSERT (ash_pollers_before (large, other) && !ash_pollers_before (other, large));
  CU_ASSERT (ash_pollers_before (small, unknown));
  CU_ASSERT (ash_pollers_is_chosen_in_hall (large, others, 3, 1));
  CU_ASSERT_FALSE (ash_pollers_is_chosen_in_hall (small, &large, 1, 1));
  CU_ASSERT (ash_pollers_is_chosen_in_hall (small, &large, 1, 2));
  CU_ASSERT (ash_pollers_is_chosen_in_hall (small, &other, 1, 1));
}

/* ---- the log ---- */

#define LOG_LINES 30

/* @return the number of lines in the pipe. @param whole receives whether each is complete. */
static uint32_t
drain_lines (int fd, bool *whole)
{
  static char text[1 << 20];
  ssize_t length = read (fd, text, sizeof text - 1);
  uint32_t lines = 0;

  text[length > 0 ? length : 0] = '\0';
  *whole = true;
  for (char *line = text; *line; line = strchr (line, '\n') + 1)
    {
      if (!strchr (line, '\n'))
        {
          *whole = false;
          break;
        }
      *whole = *whole && strstr (line, "box=b ") != NULL;
      lines++;
    }
  return lines;
}

static void
test_log_bound (void)
{
  struct ash_log_bound bound;
  struct ash_log_sink sink = { .bound = &bound, .box = "b" };
  const struct ash_log log = { &sink, "test" };
  int ends[2];
  bool whole;

  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  sink.out = fdopen (ends[1], "w");
  ash_log_bound_init (&bound, sink.out, LOG_LINES);
  /* Warnings are written even when the bound for events of lower levels is used up. */
  for (int i = 0; i < 10 * LOG_LINES; i++)
    ash_log_event (&log, ASH_EV_FORWARD_SENT, "id=%d", i);
  for (int i = 0; i < LOG_LINES; i++)
    ash_log_event (&log, ASH_EV_FORWARD_FAILED, "id=%d", i);
  /* The one-second window of the bound may have changed once while the lines were written. */
  CU_ASSERT (bound.dropped_total >= 8 * LOG_LINES);
  CU_ASSERT (drain_lines (ends[0], &whole) >= 2 * LOG_LINES && whole);
  /* The pipe is not read: writing does not block, lines without room are counted, and none is
   * written partially. */
  bound.dropped_total = 0;
  for (int i = 0; i < 5000; i++)
    ash_log_event (&log, ASH_EV_FORWARD_FAILED, "id=%d text=\"%s\"", i, "a line of some length");
  CU_ASSERT (bound.dropped_total > 1000);
  drain_lines (ends[0], &whole);
  CU_ASSERT (whole);
  fclose (sink.out);
  close (ends[0]);
}

#define CALLERS 2870 /* all descriptors of a small box */
#define READ_BYTES 16384
#define QUEUE_BYTES (64 * 1024)
#define ROUNDS 20

/* Callers read nothing, and endpoints send as fast as they can. Each caller's queue stops growing
 * at its share, and all stay within the limit but for one read each. */
static void
test_answer_memory (void)
{
  struct ash_answer_memory memory = { .max_bytes = 28 * 1024 * 1024 };
  static size_t queued[CALLERS];
  size_t first_bytes = 0;

  CU_ASSERT_EQUAL (ash_answer_memory_share (&memory, QUEUE_BYTES), QUEUE_BYTES);
  for (int round = 0; round < ROUNDS; round++)
    for (int i = 0; i < CALLERS; i++)
      if (queued[i] <= ash_answer_memory_share (&memory, QUEUE_BYTES) && (round || i < CALLERS / 2))
        {
          queued[i] += READ_BYTES;
          memory.used_bytes += READ_BYTES;
          first_bytes = queued[0];
        }
  CU_ASSERT (first_bytes <= QUEUE_BYTES + READ_BYTES);
  CU_ASSERT (memory.used_bytes <= memory.max_bytes + (uint64_t) CALLERS * READ_BYTES);
  CU_ASSERT_EQUAL (ash_answer_memory_share (&memory, QUEUE_BYTES), 0);
  /* One of them has read everything: other answers have room again. */
  memory.used_bytes = memory.max_bytes - QUEUE_BYTES;
  CU_ASSERT (ash_answer_memory_share (&memory, QUEUE_BYTES) > 0);
  CU_ASSERT (ash_answer_memory_share (&memory, QUEUE_BYTES) < QUEUE_BYTES / 2);
}

void
add_router_tests (CU_pSuite suite)
{
  CU_add_test (suite, "answers: callers that read nothing", test_answer_memory);
  CU_add_test (suite, "routes: host, longest prefix, keys", test_routes);
  CU_add_test (suite, "routes: parts by weight", test_route_split);
  CU_add_test (suite, "routes: all findings of a bad table", test_bad_tables);
  CU_add_test (suite, "endpoints: choice by load and evidence", test_choice);
  CU_add_test (suite, "endpoints: pauses of streams", test_pauses);
  CU_add_test (suite, "endpoints: those of the own hall", test_own_hall);
  CU_add_test (suite, "endpoints: a slow one", test_slow_endpoint);
  CU_add_test (suite, "endpoints: lapsed and gone", test_removal);
  CU_add_test (suite, "endpoints: an address taken over", test_address_taken_over);
  CU_add_test (suite, "forward: at most once", test_forward_once);
  CU_add_test (suite, "forward: repeatable", test_forward_repeatable);
  CU_add_test (suite, "forward: waiting for room", test_forward_capacity);
  CU_add_test (suite, "forward: when to come back", test_forward_retry_after);
  CU_add_test (suite, "forward: bound on resends", test_resend_bound);
  CU_add_test (suite, "settings: seconds with fractions", test_seconds);
  CU_add_test (suite, "router settings: bounds that are fractions", test_fractions);
  CU_add_test (suite, "router talk: how often to other halls", test_peer_periods);
  CU_add_test (suite, "router talk: fast links first", test_fast_links_first);
  CU_add_test (suite, "endpoints: last places of other halls", test_spillover);
  CU_add_test (suite, "endpoints: started anew under the same id", test_restart);
  CU_add_test (suite, "peers: what they have and this process lacks", test_peer_version);
  CU_add_test (suite, "peers: what they have is the same after all", test_peer_version_equal);
  CU_add_test (suite, "store: who asks often", test_pollers);
  CU_add_test (suite, "log: bounded, and never waits", test_log_bound);
}
