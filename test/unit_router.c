/**
 * @file
 * Unit tests of the router's cores: routes, endpoints, forwarding, the bound on
 * resends, its settings, what peers tell, and the log.
 */
#include "common/log.h"
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
read_table (struct ash_route_table *table, const char *text, uint32_t findings_wanted)
{
  struct ash_findings findings;

  ash_route_table_init (table);
  ash_findings_init (&findings, "configuration");
  ash_platform_config_read (table, NULL, text, strlen (text), &findings);
  CU_ASSERT_EQUAL (findings.count, findings_wanted);
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
  /* The longest prefix of the path, whatever the query and the host's case and port. */
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
test_route_parts (void)
{
  struct ash_route_table table;
  uint32_t drawn[2] = { 0 };

  read_table (&table,
              "{\"Version\":4," SERVICES ",\"Routes\":[{\"Host\":\"h\",\"PathPrefix\":\"/\","
              "\"RouteKind\":\"streaming\",\"Resumable\":true,\"Split\":[{\"Service\":\"a\","
              "\"Weight\":90},{\"Service\":\"b\",\"Weight\":10}]}]}",
              0);
  CU_ASSERT (table.routes[0].stream && table.routes[0].resumable);
  CU_ASSERT_EQUAL (table.routes[0].repeat, ASH_REPEAT_SAFE);
  for (uint64_t draw = 0; draw < 1000; draw++)
    drawn[ash_route_table_pick_service (&table, &table.routes[0], draw)]++;
  CU_ASSERT (drawn[0] == 900 && drawn[1] == 100);
  ash_route_table_finish (&table);
}

static void
test_bad_tables (void)
{
  struct ash_route_table table;

  /* All findings at once. */
  read_table (&table, "{\"Services\":[{}],\"Routes\":[{}],\"Tenants\":[{}]}", 6);
  ash_route_table_finish (&table);
  /* A split nobody can draw from: with no part of any weight a request would have no service. */
  read_table (&table,
              "{\"Version\":4," SERVICES ",\"Routes\":[{\"Host\":\"h\",\"PathPrefix\":\"/\","
              "\"RouteKind\":\"safe\",\"Split\":[{\"Service\":\"a\",\"Weight\":0},"
              "{\"Service\":\"b\"}]}]}",
              1);
  ash_route_table_finish (&table);
  read_table (&table, "[1,", 1);
  ash_route_table_finish (&table);
  read_table (&table, "7", 1);
  ash_route_table_finish (&table);
}

/* ---- endpoints ---- */

static struct ash_direct_endpoint *
list (struct ash_direct_set *set, const char *id, bool draining)
{
  struct ash_direct_facts facts = { .service = "s", .slots = 4 };

  snprintf (facts.id, sizeof facts.id, "%s", id);
  snprintf (facts.address, sizeof facts.address, "at-%s:1", id);
  facts.draining = draining;
  ash_direct_update (set, &facts);
  return ash_direct_find (set, id);
}

static const char *
choose (struct ash_direct_set *set, struct ash_time now, uint32_t cap, uint32_t pause_aim_ms)
{
  struct ash_direct_criteria criteria = { .service = "s",
                                          .cap = cap,
                                          .pause_aim_ms = pause_aim_ms };
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
  a = list (&set, "a", false);
  b = list (&set, "b", false);
  a->in_flight = 2;
  b->elsewhere = 1;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (0), 9, 0), "b");
  /* One that failed is passed over for a while, and is taken if there is no other. */
  ash_direct_note_result (b, at (1000), ASH_DIRECT_BROKEN);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (1001), 9, 0), "a");
  CU_ASSERT_STRING_EQUAL (choose (&set, at (1001), 2, 0), "b");
  CU_ASSERT_STRING_EQUAL (choose (&set, at (1300), 9, 0), "b");
  /* Longer with each failure in a row, and not after an answer. */
  ash_direct_note_result (b, at (2000), ASH_DIRECT_TIMED_OUT);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (2400), 9, 0), "a");
  ash_direct_note_result (b, at (2500), ASH_DIRECT_ANSWERED);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (2600), 9, 0), "b");
  /* An answer that says it failed may be the request's own fault. */
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
  a = list (&set, "a", false);
  b = list (&set, "b", false);
  a->in_flight = 3;
  b->in_flight = 4;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (100), 8, 120), "a");
  /* Where streams pause twice as long, a request costs twice as much. */
  for (int i = 0; i < 40; i++)
    {
      ash_direct_note_pause (a, at (100), 120);
      ash_direct_note_pause (b, at (100), 60);
    }
  CU_ASSERT_STRING_EQUAL (choose (&set, at (100), 8, 120), "b");
  /* And it may have fewer: half of the cap at least. */
  b->in_flight = 8;
  a->in_flight = 5;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (100), 8, 120), "a");
  a->in_flight = 6;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (100), 8, 120), "-");
  /* What was seen long ago tells nothing. */
  CU_ASSERT_STRING_EQUAL (choose (&set, at (5000), 8, 120), "a");
  ash_direct_finish (&set);
}

/* Bytes between halls had a price of 0.04 a day of 72 ranks: no choice went by where one stands. */
static void
test_own_hall (void)
{
  struct ash_direct_criteria criteria = {
    .service = "s", .hall = "x", .cap = 9, .pause_aim_ms = 120
  };
  struct ash_direct_endpoint *chosen;
  struct ash_direct_endpoint *near;
  struct ash_direct_endpoint *far;
  struct ash_direct_set set;

  ash_direct_init (&set, 1);
  near = list (&set, "near", false);
  far = list (&set, "far", false);
  snprintf (near->facts.hall, sizeof near->facts.hall, "x");
  snprintf (far->facts.hall, sizeof far->facts.hall, "y");
  near->in_flight = 4;
  far->in_flight = 3;
  ash_direct_choose (&set, at (100), &criteria, &chosen);
  CU_ASSERT_PTR_EQUAL (chosen, near);
  /* Ranks that all wait for the fullest stay even: three requests less are reason enough. */
  far->in_flight = 1;
  ash_direct_choose (&set, at (100), &criteria, &chosen);
  CU_ASSERT_PTR_EQUAL (chosen, far);
  ash_direct_finish (&set);
}

/* One of 12 ranks took 3.3 times as long: what it had, all ranks waited for. */
static void
test_slow_endpoint (void)
{
  struct ash_direct_set set;
  struct ash_direct_endpoint *a;
  struct ash_direct_endpoint *b;

  ash_direct_init (&set, 1);
  a = list (&set, "a", false);
  b = list (&set, "b", false);
  b->in_flight = 1;
  ash_direct_set_pace (a, at (100), 3);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (200), 8, 120), "b");
  /* It gets a third of what the others have, and may have a third of the cap. */
  b->in_flight = 7;
  a->in_flight = 1;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (200), 8, 120), "a");
  a->in_flight = 2;
  b->in_flight = 8;
  CU_ASSERT_STRING_EQUAL (choose (&set, at (200), 8, 120), "-");
  /* It says that it is as usual again, or nothing is heard for long. */
  CU_ASSERT_STRING_EQUAL (choose (&set, at (1700), 8, 120), "a");
  ash_direct_set_pace (a, at (1800), 3);
  ash_direct_set_pace (a, at (1900), 1.1);
  CU_ASSERT_STRING_EQUAL (choose (&set, at (1900), 8, 120), "a");
  ash_direct_finish (&set);
}

static void
list_at (struct ash_direct_set *set, const char *id, const char *address)
{
  struct ash_direct_facts facts = { .service = "s", .slots = 8 };

  snprintf (facts.id, sizeof facts.id, "%s", id);
  snprintf (facts.address, sizeof facts.address, "%s", address);
  ash_direct_update (set, &facts);
}

/* A router that had just started refused a request while both endpoints stood: their former ids
 * were missing from the list, which it did not trust yet, and it asked for these at the addresses
 * that the new ones had. */
static void
test_address_taken_over (void)
{
  struct ash_direct_set set;

  ash_direct_init (&set, 1);
  list_at (&set, "a1", "10.0.0.1:80");
  list_at (&set, "b1", "10.0.0.2:80");
  list_at (&set, "c1", "10.0.0.3:80");
  /* The new one is listed before the former one is missing, or after. */
  list_at (&set, "a2", "10.0.0.1:80");
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "a1")));
  ash_direct_remove (&set, "a1", false, at (9000));
  CU_ASSERT_FALSE (ash_direct_usable (ash_direct_find (&set, "a1")));
  ash_direct_remove (&set, "b1", false, at (9000));
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "b1")));
  list_at (&set, "b2", "10.0.0.2:80");
  CU_ASSERT_FALSE (ash_direct_usable (ash_direct_find (&set, "b1")));
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "b2")));
  ash_direct_remove (&set, "c1", false, at (9000));
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "c1")));
  ash_direct_finish (&set);
}

static void
test_lapsing (void)
{
  struct ash_direct_set set;

  ash_direct_init (&set, 1);
  list (&set, "a", false);
  list (&set, "b", false);
  /* The list could not be trusted: used on for a while, and again if it comes back. */
  CU_ASSERT (ash_direct_remove (&set, "a", false, at (500)));
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "a")));
  ash_direct_tick (&set, at (400));
  list (&set, "a", false);
  ash_direct_tick (&set, at (600));
  CU_ASSERT (ash_direct_usable (ash_direct_find (&set, "a")));
  CU_ASSERT (ash_direct_remove (&set, "a", false, at (900)));
  ash_direct_tick (&set, at (901));
  CU_ASSERT_PTR_NULL (ash_direct_find (&set, "a"));
  /* Trusted: gone at once, and kept until its work has ended. */
  ash_direct_find (&set, "b")->in_flight = 1;
  CU_ASSERT (ash_direct_remove (&set, "b", true, at (0)));
  ash_direct_tick (&set, at (1000));
  CU_ASSERT_FALSE (ash_direct_usable (ash_direct_find (&set, "b")));
  ash_direct_find (&set, "b")->in_flight = 0;
  ash_direct_tick (&set, at (1001));
  CU_ASSERT_PTR_NULL (ash_direct_find (&set, "b"));
  /* One that said it was leaving has left, whatever is trusted. */
  list (&set, "c", true);
  CU_ASSERT (ash_direct_remove (&set, "c", false, at (9000)));
  CU_ASSERT_EQUAL (ash_direct_find (&set, "c")->presence, ASH_DIRECT_REMOVED);
  ash_direct_finish (&set);
}

/* ---- forwarding ---- */

struct forward_test
{
  struct ash_direct_set set;
  struct ash_resend_window window;
  struct ash_forward_context world;
  struct ash_forward forward;
};

static void
begin_forward (struct forward_test *test, enum ash_repeat repeat)
{
  *test = (struct forward_test){ 0 };
  ash_direct_init (&test->set, 1);
  list (&test->set, "a", false);
  list (&test->set, "b", false);
  test->world = (struct ash_forward_context){
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
  return ash_forward_next (&test->forward, &test->world, at (ms));
}

static void
expect_answer (struct ash_forward_decision verdict, uint16_t status, enum ash_forward_reason reason)
{
  CU_ASSERT_EQUAL (verdict.action, ASH_FORWARD_ANSWER);
  CU_ASSERT_EQUAL (verdict.answer.status, status);
  CU_ASSERT_EQUAL (verdict.answer.reason, reason);
  /* Whoever is told that it did not run is told when to come back. */
  CU_ASSERT_EQUAL (verdict.answer.retry_after_ms != 0, status == 503);
}

static void
test_forward_once (void)
{
  struct forward_test test;
  struct ash_forward_decision verdict;

  begin_forward (&test, ASH_REPEAT_ONCE);
  verdict = next (&test, 1000);
  CU_ASSERT_EQUAL_FATAL (verdict.action, ASH_FORWARD_SEND);
  ash_forward_sent (&test.forward, verdict.endpoint);
  /* No word from there: it may have run, and must not again. */
  expect_answer (next (&test, 1100), 502, ASH_FORWARD_FAILED);
  expect_answer (next (&test, 5000), 504, ASH_FORWARD_TIMEOUT);
  /* The endpoint vouches: another one, not the same. */
  ash_forward_not_run (&test.forward, true);
  verdict = next (&test, 1200);
  CU_ASSERT_EQUAL_FATAL (verdict.action, ASH_FORWARD_SEND);
  CU_ASSERT_NOT_EQUAL (verdict.endpoint->hash, test.forward.tried[0]);
  ash_forward_sent (&test.forward, verdict.endpoint);
  ash_forward_not_run (&test.forward, true);
  /* Two endpoints were asked, both vouch: it did not run. */
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
  /* One of the two may have run it, though the last one vouches. */
  ash_forward_not_run (&test.forward, true);
  expect_answer (next (&test, 1200), 502, ASH_FORWARD_FAILED);
  ash_direct_finish (&test.set);
}

static void
test_forward_room (void)
{
  struct forward_test test;
  struct ash_forward_decision verdict;

  begin_forward (&test, ASH_REPEAT_ONCE);
  ash_direct_find (&test.set, "a")->in_flight = 4;
  ash_direct_find (&test.set, "b")->elsewhere = 4;
  verdict = next (&test, 1000);
  CU_ASSERT_EQUAL (verdict.action, ASH_FORWARD_WAIT);
  CU_ASSERT_EQUAL (verdict.until.ms, 1080);
  expect_answer (next (&test, 1080), 503, ASH_FORWARD_NO_ROOM);
  ash_direct_find (&test.set, "a")->in_flight = 3;
  CU_ASSERT_EQUAL (next (&test, 1079).action, ASH_FORWARD_SEND);
  /* A connection that never arrived up was no try. */
  ash_forward_sent (&test.forward, ash_direct_find (&test.set, "a"));
  ash_forward_not_run (&test.forward, false);
  CU_ASSERT_EQUAL (test.forward.sent, 0);
  ash_direct_finish (&test.set);
}

/* In a burst of seconds callers that were refused for want of room were told to come back after 0.3
 * to 1 s: most arrived into the same burst and were refused again, and that was their last try
 * (29.6 in 100 of the requests of days with slow endpoints, bursts and rolling stops). They are
 * told a part of the time that they have left, no more than the third that callers wait. */
static void
test_forward_return (void)
{
  struct forward_test test;
  int64_t least_ms = INT64_MAX;
  int64_t most_ms = 0;

  begin_forward (&test, ASH_REPEAT_ONCE);
  ash_direct_find (&test.set, "a")->in_flight = 4;
  ash_direct_find (&test.set, "b")->in_flight = 4;
  test.world.wait_ms = 0;
  test.forward.deadline = at (9000);
  for (int i = 0; i < 200; i++)
    {
      struct ash_forward_decision verdict = next (&test, 1000);

      expect_answer (verdict, 503, ASH_FORWARD_NO_ROOM);
      if (verdict.answer.retry_after_ms < least_ms)
        least_ms = verdict.answer.retry_after_ms;
      if (verdict.answer.retry_after_ms > most_ms)
        most_ms = verdict.answer.retry_after_ms;
    }
  CU_ASSERT (least_ms >= 8000 / 8);
  CU_ASSERT (most_ms <= 8000 / 3);
  CU_ASSERT (most_ms - least_ms > 1500);
  /* Who has little time left is told to come back within it, however little. */
  test.forward.deadline = at (1100);
  expect_answer (next (&test, 1000), 503, ASH_FORWARD_NO_ROOM);
  CU_ASSERT (next (&test, 1000).answer.retry_after_ms <= 100 / 3 + 1);
  test.forward.deadline = at (1001);
  expect_answer (next (&test, 1000), 503, ASH_FORWARD_NO_ROOM);
  /* Nobody is sent away for as long as a third of a minute's deadline. */
  test.forward.deadline = at (61000);
  CU_ASSERT (next (&test, 1000).answer.retry_after_ms <= 3000);
  expect_answer (next (&test, 1000), 503, ASH_FORWARD_NO_ROOM);
  ash_direct_finish (&test.set);
}

static void
test_resends (void)
{
  const struct ash_resend_bound bound = { 10000, 0.2, 20 };
  struct ash_resend_window window = { 0 };
  uint32_t sent = 0;

  for (int64_t ms = 0; ms < 10000; ms += 10)
    ash_resend_window_request (&window, &bound, at (ms));
  for (int i = 0; i < 1000; i++)
    sent += ash_resend_window_spend (&window, &bound, 4, at (9999));
  /* Below this entry's part of ratio times requests and slack, and not nothing. */
  CU_ASSERT (sent > 80 && sent <= 0.2 * 1000 + 20.0 / 4);
  /* It comes back when the window has gone by, and only then. */
  CU_ASSERT_FALSE (ash_resend_window_spend (&window, &bound, 4, at (15000)));
  CU_ASSERT (ash_resend_window_spend (&window, &bound, 4, at (40000)));
}

/* ---- settings ---- */

/* What a router can't do without, and further lines. */
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

/* A deployment gives its time to stop as a number of seconds. The template wrote three zeros behind
 * it, which makes milliseconds of whole numbers only: of 7.5 it made 7.5000, a finding, and no
 * router would have started there. */
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
  /* Unless said. */
  read_settings (&settings, "", &findings);
  CU_ASSERT_EQUAL (findings.count, 0);
  CU_ASSERT_EQUAL (settings.grace_ms, 8000);
  CU_ASSERT_EQUAL (settings.resend_window_ms, 10000);
  ash_findings_finish (&findings);
  read_settings (&settings, "grace_s = -1.5\nresend_window_s = '10'\ngrace_ms = 8000\n", &findings);
  CU_ASSERT_EQUAL (findings.count, 3);
  ash_findings_finish (&findings);
}

/* A deployment's bounds may be fractions: with a slack of 34.1 requests the settings had a finding,
 * and none of 27 routers started. */
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

/* ---- talk with the others ---- */

/* A router sends those of other halls a bounded number of messages a second: 119 of them had a
 * heartbeat each 300 ms and loads each 50 ms, 2,800 messages a second. Fleets of up to 30 routers
 * in other halls talk as the settings say. */
static void
test_talk (void)
{
  CU_ASSERT_EQUAL (ash_peer_period_remote_heartbeat_ms (300, 0), 300);
  CU_ASSERT_EQUAL (ash_peer_period_remote_heartbeat_ms (300, 30), 300);
  CU_ASSERT_EQUAL (ash_peer_period_remote_heartbeat_ms (300, 119), 1190);
  CU_ASSERT_EQUAL (ash_peer_period_remote_load_ms (50, 20), 50);
  CU_ASSERT (1000 * 119 / ash_peer_period_remote_load_ms (50, 119) <= 410);
  CU_ASSERT (1000 * 1000 / ash_peer_period_remote_load_ms (50, 1000) <= 410);
  CU_ASSERT_EQUAL (ash_peer_period_remote_parts (50, 20), 1);
  CU_ASSERT_EQUAL (ash_peer_period_remote_parts (50, 119), 5);
  /* A link is not given up between two heartbeats that its peer has told of. */
  CU_ASSERT_EQUAL (ash_peer_period_silence_ms (1000, 300, 0), 1000);
  CU_ASSERT_EQUAL (ash_peer_period_silence_ms (1000, 300, 300), 1000);
  CU_ASSERT (ash_peer_period_silence_ms (1000, 300, 1190) > 3 * 1190);
}

/* ---- endpoints of other halls in a large fleet ---- */

#define SPILL_ENDPOINTS 150
#define SPILL_ROUTERS 120
#define SPILL_CAP 6

/* All routers see the same free places of another hall and hear of each other late: what they send
 * meanwhile. @return requests at the endpoint that got most. */
static uint32_t
spill (struct ash_direct_set *set, uint32_t remote_parts, uint32_t *sent)
{
  uint32_t got[SPILL_ENDPOINTS] = { 0 };
  struct ash_direct_endpoint *chosen;
  uint32_t most = 0;

  *sent = 0;
  for (uint64_t router = 1; router <= SPILL_ROUTERS; router++)
    {
      struct ash_direct_criteria criteria = { .service = "s",
                                              .hall = "own",
                                              .own = router * UINT64_C (0x2545f4914f6cdd1d),
                                              .remote_parts = remote_parts,
                                              .cap = SPILL_CAP };

      if (ash_direct_choose (set, at (0), &criteria, &chosen) != ASH_DIRECT_CHOSEN)
        continue;
      ++*sent;
      got[chosen->facts.slots]++;
    }
  for (uint32_t i = 0; i < SPILL_ENDPOINTS; i++)
    most = got[i] > most ? got[i] : most;
  return most;
}

/* With 149 routers, 192 ranks with a cap of 6 had up to 23 requests each: loads of other halls are
 * known 0.3 s late, and whoever found its own hall full took the same last places elsewhere. */
static void
test_spill (void)
{
  struct ash_direct_set set;
  struct ash_direct_endpoint *own;
  uint32_t sent;

  ash_direct_init (&set, 1);
  for (uint32_t i = 0; i < SPILL_ENDPOINTS; i++)
    {
      struct ash_direct_facts facts = { .service = "s", .address = "127.0.0.1:1", .hall = "far" };
      struct ash_direct_endpoint *endpoint;

      snprintf (facts.id, sizeof facts.id, "e%u", i);
      facts.slots = i;
      ash_direct_update (&set, &facts);
      endpoint = ash_direct_find (&set, facts.id);
      endpoint->elsewhere = i < 3 ? SPILL_CAP - 1 : SPILL_CAP;
    }
  own = ash_direct_find (&set, "e149");
  CU_ASSERT_PTR_NOT_NULL_FATAL (own);
  snprintf (own->facts.hall, sizeof own->facts.hall, "own");
  /* Three last places, and all go there. */
  CU_ASSERT (spill (&set, 1, &sent) > SPILL_ROUTERS / 5);
  CU_ASSERT_EQUAL (sent, SPILL_ROUTERS);
  /* They are left to what is not known yet. */
  spill (&set, 6, &sent);
  CU_ASSERT_EQUAL (sent, 0);
  /* An endpoint with many places gets some of the routers, and each has some. */
  for (struct ash_direct_endpoint *endpoint = set.endpoints; endpoint != own;
       endpoint = endpoint->hh.next)
    endpoint->elsewhere = 1;
  CU_ASSERT (spill (&set, 6, &sent) < 8);
  CU_ASSERT_EQUAL (sent, SPILL_ROUTERS);
  /* Without one of the own hall, nor of its part, a router takes any. */
  own->facts.draining = true;
  for (uint32_t i = 1; i < SPILL_ENDPOINTS - 1; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "e%u", i);
      ash_direct_find (&set, id)->facts.draining = true;
    }
  spill (&set, 6, &sent);
  CU_ASSERT_EQUAL (sent, SPILL_ROUTERS);
  ash_direct_finish (&set);
}

/* ---- lives of an endpoint ---- */

static void
count_reborn (void *data, struct ash_direct_endpoint *endpoint)
{
  (void) endpoint;
  ++*(uint32_t *) data;
}

/* A server may start again under its id: what the former life did says nothing of this one. */
static void
test_rebirth (void)
{
  struct ash_direct_facts facts = {
    .id = "a", .service = "s", .address = "127.0.0.1:1", .slots = 4, .born_ms = 1000
  };
  struct ash_direct_set set;
  struct ash_direct_endpoint *a;
  uint32_t restarted = 0;

  ash_direct_init (&set, 1);
  set.restarted = count_reborn;
  set.data = &restarted;
  ash_direct_update (&set, &facts);
  a = ash_direct_find (&set, "a");
  for (int i = 0; i < 8; i++)
    ash_direct_note_result (a, at (1000), ASH_DIRECT_TIMED_OUT);
  ash_direct_set_pace (a, at (1000), 3);
  ash_direct_note_pause (a, at (1000), 400);
  /* The same life says something new of itself. */
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
  /* It does not say when it started, but is at another address. */
  facts.born_ms = 0;
  CU_ASSERT_FALSE (ash_direct_update (&set, &facts));
  snprintf (facts.address, sizeof facts.address, "127.0.0.1:2");
  CU_ASSERT (ash_direct_update (&set, &facts));
  CU_ASSERT_EQUAL (restarted, 2);
  ash_direct_finish (&set);
}

/* ---- what peers have ---- */

static void
test_peer_news (void)
{
  struct ash_peer_version news = { 0 };

  ash_peer_version_reported (&news, (struct ash_time){ 100 }, 4, 4);
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&news, (struct ash_time){ 900 }, 4, 0));
  /* Behind from when a newer one is told, not from when the last one arrived. */
  ash_peer_version_reported (&news, (struct ash_time){ 1000 }, 6, 4);
  CU_ASSERT (ash_peer_version_is_behind (&news, (struct ash_time){ 1250 }, 4, 250));
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&news, (struct ash_time){ 1250 }, 4, 251));
  /* Newer ones yet, and old ones, do not begin the wait anew. */
  ash_peer_version_reported (&news, (struct ash_time){ 1300 }, 9, 4);
  ash_peer_version_reported (&news, (struct ash_time){ 1350 }, 5, 4);
  CU_ASSERT (ash_peer_version_is_behind (&news, (struct ash_time){ 1400 }, 4, 400));
  /* What comes in between does: the source speaks. */
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&news, (struct ash_time){ 1500 }, 6, 1));
  CU_ASSERT (ash_peer_version_is_behind (&news, (struct ash_time){ 1600 }, 6, 100));
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&news, (struct ash_time){ 1600 }, 6, 101));
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&news, (struct ash_time){ 1700 }, 9, 0));
}

/* What a review saw: a router that lacked nothing asked a peer for a whole list, and the store
 * anew. Events: a peer told of a newer list 10 ms before the change arrived here too, by an answer
 * of an earlier revision; from then on both lists said the same. Cause: the revision told while
 * they differed was kept. */
static void
test_peer_news_settled (void)
{
  struct ash_peer_version news = { 0 };

  ash_peer_version_reported (&news, at (1000), 9, 4);
  ash_peer_version_equal (&news, at (1100), 9, 4);
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&news, at (1900), 4, 0));
  /* One that differs and is older than that lacks something itself. */
  ash_peer_version_reported (&news, at (1900), 8, 4);
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&news, at (1950), 4, 0));
  /* Who has an older one says nothing of the newest. */
  ash_peer_version_reported (&news, at (2000), 12, 4);
  ash_peer_version_equal (&news, at (2100), 11, 4);
  CU_ASSERT (ash_peer_version_is_behind (&news, at (2700), 4, 700));
  /* A change after that begins a new wait. */
  ash_peer_version_equal (&news, at (2800), 13, 4);
  ash_peer_version_reported (&news, at (3000), 14, 4);
  CU_ASSERT (ash_peer_version_is_behind (&news, at (3100), 4, 100));
  CU_ASSERT_FALSE (ash_peer_version_is_behind (&news, at (3100), 4, 101));
}

/* ---- who asks the store often ---- */

#define ASKERS_MAX 400
#define ASKERS_WANTED 3

struct fleet_of
{
  char boxes[ASKERS_MAX][16];
  char halls[ASKERS_MAX][16];
  uint32_t count;
};

/* @param hall_of the hall of each router, by its place by name. */
static void
build_fleet (struct fleet_of *fleet, uint32_t count, uint32_t (*hall_of) (uint32_t i))
{
  fleet->count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (fleet->boxes[i], sizeof fleet->boxes[i], "edge-%03u", i);
      snprintf (fleet->halls[i], sizeof fleet->halls[i], "hall-%u", hall_of (i));
    }
}

static bool
asks_often (const struct fleet_of *fleet, uint32_t own)
{
  struct ash_poller others[ASKERS_MAX];
  uint32_t count = 0;

  /* In another order for each: links come up as they like. */
  for (uint32_t i = 1; i < fleet->count; i++)
    {
      uint32_t other = (own + i) % fleet->count;

      others[count++] = (struct ash_poller){ fleet->boxes[other], fleet->halls[other], 0 };
    }
  return ash_pollers_is_chosen ((struct ash_poller){ fleet->boxes[own], fleet->halls[own], 0 },
                                others, count, ASKERS_WANTED);
}

/* Those that say that they ask often, as one bit each of the first 64. */
static uint64_t
askers_of (const struct fleet_of *fleet, uint32_t *count)
{
  uint64_t askers = 0;

  *count = 0;
  for (uint32_t i = 0; i < fleet->count; i++)
    if (asks_often (fleet, i))
      {
        ++*count;
        askers |= i < 64 ? UINT64_C (1) << i : 0;
      }
  return askers;
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

/* The names tell the hall: all of the first come before all of the second. */
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

/* What a review saw: the routers that ask often, for the whole fleet, were the first three by name,
 * which all stood in one hall. With that hall cut off, the others heard of a change when their own
 * long question ended. */
static void
test_askers (void)
{
  static struct fleet_of fleet;
  uint32_t count;

  build_fleet (&fleet, 30, halls_of_ten);
  CU_ASSERT_EQUAL (askers_of (&fleet, &count), UINT64_C (1) << 0 | UINT64_C (1) << 10 | 1 << 20);
  CU_ASSERT_EQUAL (count, ASKERS_WANTED);
  build_fleet (&fleet, 400, halls_of_ten);
  CU_ASSERT_EQUAL (askers_of (&fleet, &count), UINT64_C (1) << 0 | UINT64_C (1) << 10 | 1 << 20);
  CU_ASSERT_EQUAL (count, ASKERS_WANTED);
  build_fleet (&fleet, 400, three_halls_in_turn);
  CU_ASSERT_EQUAL (askers_of (&fleet, &count), 7);
  CU_ASSERT_EQUAL (count, ASKERS_WANTED);
  /* Fewer halls than that: the second ones of halls are next. */
  build_fleet (&fleet, 30, two_halls);
  CU_ASSERT_EQUAL (askers_of (&fleet, &count), 1 << 0 | 1 << 1 | 1 << 5);
  CU_ASSERT_EQUAL (count, ASKERS_WANTED);
  build_fleet (&fleet, 400, one_hall);
  CU_ASSERT_EQUAL (askers_of (&fleet, &count), 7);
  CU_ASSERT_EQUAL (count, ASKERS_WANTED);
  /* Few routers: all of them. */
  build_fleet (&fleet, 2, one_hall);
  CU_ASSERT_EQUAL (askers_of (&fleet, &count), 3);
  build_fleet (&fleet, 1, one_hall);
  CU_ASSERT_EQUAL (askers_of (&fleet, &count), 1);
}

/* The router that led after the first one by name had a link of 40 Mbit/s: a map for two groups of
 * 96 ranks, 3.5 MB, took it 0.7 s while both stood still. */
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

/* How many lines the pipe holds, and whether each is whole. */
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
  /* What matters most is not left out for the volume of the rest. */
  for (int i = 0; i < 10 * LOG_LINES; i++)
    ash_log_event (&log, ASH_EV_FORWARD_SENT, "id=%d", i);
  for (int i = 0; i < LOG_LINES; i++)
    ash_log_event (&log, ASH_EV_FORWARD_FAILED, "id=%d", i);
  /* The second may have turned while the lines were written, once. */
  CU_ASSERT (bound.dropped_total >= 8 * LOG_LINES);
  CU_ASSERT (drain_lines (ends[0], &whole) >= 2 * LOG_LINES && whole);
  /* Nobody reads: no line waits, those that find no room are counted, none is torn. */
  bound.dropped_total = 0;
  for (int i = 0; i < 5000; i++)
    ash_log_event (&log, ASH_EV_FORWARD_FAILED, "id=%d text=\"%s\"", i, "a line of some length");
  CU_ASSERT (bound.dropped_total > 1000);
  drain_lines (ends[0], &whole);
  CU_ASSERT (whole);
  fclose (sink.out);
  close (ends[0]);
}

void
add_router_tests (CU_pSuite suite)
{
  CU_add_test (suite, "routes: host, longest prefix, keys", test_routes);
  CU_add_test (suite, "routes: parts by weight", test_route_parts);
  CU_add_test (suite, "routes: all findings of a bad table", test_bad_tables);
  CU_add_test (suite, "endpoints: choice by load and evidence", test_choice);
  CU_add_test (suite, "endpoints: pauses of streams", test_pauses);
  CU_add_test (suite, "endpoints: those of the own hall", test_own_hall);
  CU_add_test (suite, "endpoints: a slow one", test_slow_endpoint);
  CU_add_test (suite, "endpoints: lapsed and gone", test_lapsing);
  CU_add_test (suite, "endpoints: an address taken over", test_address_taken_over);
  CU_add_test (suite, "forward: at most once", test_forward_once);
  CU_add_test (suite, "forward: repeatable", test_forward_repeatable);
  CU_add_test (suite, "forward: waiting for room", test_forward_room);
  CU_add_test (suite, "forward: when to come back", test_forward_return);
  CU_add_test (suite, "forward: bound on resends", test_resends);
  CU_add_test (suite, "settings: seconds with fractions", test_seconds);
  CU_add_test (suite, "router settings: bounds that are fractions", test_fractions);
  CU_add_test (suite, "router talk: how often to other halls", test_talk);
  CU_add_test (suite, "router talk: fast links first", test_fast_links_first);
  CU_add_test (suite, "endpoints: last places of other halls", test_spill);
  CU_add_test (suite, "endpoints: started anew under the same id", test_rebirth);
  CU_add_test (suite, "peers: what they have and this process lacks", test_peer_news);
  CU_add_test (suite, "peers: what they have is the same after all", test_peer_news_settled);
  CU_add_test (suite, "store: who asks often", test_askers);
  CU_add_test (suite, "log: bounded, and never waits", test_log_bound);
}
