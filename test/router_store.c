/**
 * @file
 * What the router learns from the store and from its peers: endpoints that come, leave
 * and lapse, and questions that no answer comes to.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
test_draining (void)
{
  start ();
  testbed_list_server (&testbed, 0, "draining");
  fleet_sleep_ms (200);
  for (int i = 0; i < 6; i++)
    {
      testbed_call (&testbed, "g1", "/safe/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  CU_ASSERT_PTR_NULL (strstr (server_log (0), "g1"));
  /* Gone from the list without a word: gone too. */
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-B1", "");
  fleet_sleep_ms (200);
  testbed_call (&testbed, "g2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "g2"), 0);
  testbed_stop (&testbed);
}

static void
test_store_unavailable (void)
{
  start ();
  testbed_fetch (testbed.store_port, "PUT", "/mode?busy", "");
  fleet_sleep_ms (1500);
  CU_ASSERT (testbed_logged (&testbed, 0, "platform_down"));
  testbed_call (&testbed, "w1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  /* While it is away the servers' entries lapse, though they live; they are used on. */
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-A1", "");
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-B1", "");
  testbed_fetch (testbed.store_port, "PUT", "/mode?ok", "");
  fleet_sleep_ms (700);
  testbed_call (&testbed, "w2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_list_server (&testbed, 0, "ready");
  fleet_sleep_ms (2500);
  /* The one that did not come back is gone, the other is not. */
  testbed_call (&testbed, "w3", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_PTR_NULL (strstr (server_log (1), "w3"));
  /* What is missing from now on answer_has not lapsed: it is gone at once. */
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-A1", "");
  fleet_sleep_ms (200);
  testbed_call (&testbed, "w4", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "w4"), 0);
  testbed_stop (&testbed);
}

/* @return the value of a metric_value without labels. */
static long
metric_value (int r, const char *name)
{
  const char *metrics_port = testbed_fetch (testbed.routers[r].metrics_port, "GET", "/metrics", "");
  const char *line = metrics_port ? strstr (metrics_port, name) : NULL;

  return line ? strtol (line + strlen (name), NULL, 10) : -1;
}

/* Many endpoints start one after the other. Each adds its entry by itself, and still a router
 * asks a few times only; the last of them is soon known. */
static void
test_endpoints_burst (void)
{
  enum
  {
    STARTS = 60
  };
  char target[64];
  long before;

  start ();
  before = metric_value (0, "\nash_store_calls_total{} ");
  CU_ASSERT (before > 0);
  for (int i = 0; i < STARTS; i++)
    {
      snprintf (target, sizeof target, "/put?servers/i-burst%d", i);
      testbed_fetch (testbed.store_port, "PUT", target,
                     "{\"Service\":\"other\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"hall-a\","
                     "\"Slots\":8,\"State\":\"ready\"}");
      fleet_sleep_ms (15);
    }
  for (int i = 0; i < 100 && !testbed_logged (&testbed, 0, "endpoint=i-burst59"); i++)
    fleet_sleep_ms (10);
  CU_ASSERT (testbed_logged (&testbed, 0, "endpoint=i-burst59"));
  CU_ASSERT (metric_value (0, "\nash_store_calls_total{} ") - before < STARTS / 2);
  testbed_stop (&testbed);
}

/* The store takes questions and says nothing; the entries lapse, and that is the first that
 * it tells when it is back. */
static void
test_store_silent (void)
{
  start ();
  testbed_call (&testbed, "v1", "/safe/x", NULL, "", &answer);
  testbed_fetch (testbed.store_port, "PUT", "/mode?silent", "");
  fleet_sleep_ms (1300);
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-A1", "");
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-B1", "");
  testbed_fetch (testbed.store_port, "PUT", "/mode?ok", "");
  for (int i = 0; i < 100 && !testbed_logged (&testbed, 0, "endpoint_missing"); i++)
    fleet_sleep_ms (10);
  testbed_call (&testbed, "v2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

/* Waits until a round of requests passes server @p s by. @return false after some 10 s. */
static bool
wait_unused (int s)
{
  for (int round = 0; round < 100; round++)
    {
      char id[16];

      snprintf (id, sizeof id, "unused%d", round);
      for (int i = 0; i < 16; i++)
        testbed_call (&testbed, id, "/safe/x", NULL, "", &answer);
      strncat (id, " ", sizeof id - strlen (id) - 1);
      if (!strstr (server_log (s), id))
        return true;
      fleet_sleep_ms (100);
    }
  return false;
}

/* Waits until no server is used any more. @return false after some 10 s. */
static bool
wait_refused (void)
{
  for (int i = 0; i < 100; i++)
    {
      testbed_call (&testbed, "unused", "/safe/x", NULL, "", &answer);
      if (answer.status == 503)
        return true;
      fleet_sleep_ms (100);
    }
  return false;
}

static void
test_history_lost (void)
{
  start ();
  testbed_fetch (testbed.store_port, "PUT", "/mode?busy", "");
  fleet_sleep_ms (300);
  testbed_list_server (&testbed, 0, "draining");
  testbed_fetch (testbed.store_port, "PUT", "/mode?forget", "");
  testbed_fetch (testbed.store_port, "PUT", "/mode?ok", "");
  fleet_sleep_ms (800);
  for (int i = 0; i < 4; i++)
    testbed_call (&testbed, "h1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_PTR_NULL (strstr (server_log (0), "h1"));
  testbed_stop (&testbed);
}

/* What a review saw: an endpoint that left while the store's history was lost was never noticed
 * and went on getting requests. Events: the endpoint's entry was removed; the watch was answered
 * with 410; the complete listing lacked the entry. Evidence: no endpoint_missing, and a use after
 * free under the address sanitizer. Cause: the entry of the old listing was freed before the
 * endpoint of that name was looked up by the entry's own id. */
static void
test_history_lost_removal (void)
{
  start ();
  testbed_fetch (testbed.store_port, "PUT", "/mode?busy", "");
  fleet_sleep_ms (300);
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-B1", "");
  testbed_fetch (testbed.store_port, "PUT", "/mode?forget", "");
  testbed_fetch (testbed.store_port, "PUT", "/mode?ok", "");
  CU_ASSERT (testbed_wait_logged (&testbed, 0,
                                  "endpoint_missing box=router-0 module=router endpoint=i-B1 "));
  CU_ASSERT (wait_unused (1));
  for (int i = 0; i < 4; i++)
    {
      testbed_call (&testbed, "h2", "/safe/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  CU_ASSERT_PTR_NULL (strstr (server_log (1), "h2"));
  testbed_stop (&testbed);
}

static void
test_start_from_peer (void)
{
  start ();
  testbed_start_router (&testbed, 1);
  CU_ASSERT (testbed_wait_ready (&testbed, 1, true));
  /* A router that starts while the store is away learns all from its peer. */
  testbed_fetch (testbed.store_port, "PUT", "/mode?busy", "");
  fleet_end_process (&testbed.routers[0].pid, SIGKILL);
  testbed_start_router (&testbed, 0);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, true));
  testbed_call (&testbed, "e1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (testbed_logged (&testbed, 0, "source=router-1"));
  testbed_stop (&testbed);
}

/* Longer than the test's patience: only what notices the silence by itself ends these waits. */
#define LONG_WAIT_MS 25000

/* The first router's questions wait long at the store, and are there. */
static void
start_with_long_polls (void)
{
  start ();
  testbed.store_wait_ms = LONG_WAIT_MS;
  testbed.list_wait_ms = LONG_WAIT_MS;
  restart_router ();
  fleet_sleep_ms (200);
}

/* The first router's questions wait for good, the second one asks anew after a second at most. */
static void
start_with_lost_polls (void)
{
  start_with_long_polls ();
  testbed.short_wait_ms = LONG_WAIT_MS;
  restart_router ();
  fleet_sleep_ms (200);
  testbed_fetch (testbed.store_port, "PUT", "/deafen", "");
  testbed.short_wait_ms = 300;
  testbed_start_router (&testbed, 1);
  CU_ASSERT (testbed_wait_ready (&testbed, 1, true));
}

/* The first router is stopped; the second one answer_has not heard that a server answer_has left.
 */
static void
start_with_stale_peer (void)
{
  start ();
  testbed.store_wait_ms = testbed.list_wait_ms = testbed.short_wait_ms = LONG_WAIT_MS;
  testbed_start_router (&testbed, 1);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 1, true));
  fleet_sleep_ms (300);
  fleet_end_process (&testbed.routers[0].pid, SIGKILL);
  testbed_fetch (testbed.store_port, "PUT", "/deafen", "");
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-B1", "");
}

/* Publishes a configuration and that a server leaves. @return whether the first router takes both.
 */
static bool
applies_changes (void)
{
  char accepted[64];
  bool has_version;

  testbed_publish (&testbed);
  testbed_list_server (&testbed, 0, "draining");
  snprintf (accepted, sizeof accepted, "version=%u before=", testbed.version);
  has_version = testbed_wait_logged (&testbed, 0, accepted);
  return testbed_wait_logged (&testbed, 0, "endpoint_leaving") && has_version;
}

/* What users saw: for 20 s one router denied their new keys and routes (401, 404) although the
 * store had them; its six peers had each change within 30 ms. Events: it was cut off from the
 * store with its questions waiting there. The question for the configuration may wait for
 * 20 s, so it was given up after 21.5 s, 5 s after the cut was over. Until then the reader counted
 * as answered, since its last question had been, and what peers told in each heartbeat was
 * left aside; the list's reader, back after the cut within 0.3 s, changed nothing for it.
 * Evidence: "behind_peers ... newest=116 for_ms=11483 store_answers=1 age_ms=12263" of such a run,
 * and "platform_down part=0 ... age_ms=21495", 44 ms before the newest version was in force. Cause:
 * silence counted as having nothing to tell. */
static void
test_store_watch_silent (void)
{
  /* Nobody else reads: the question itself must not be trusted for long. */
  start_with_long_polls ();
  testbed_fetch (testbed.store_port, "PUT", "/deafen", "");
  CU_ASSERT (applies_changes ());
  testbed_stop (&testbed);
  /* A peer answer_has what did not come here, and nobody asks often. */
  start_with_lost_polls ();
  CU_ASSERT (applies_changes ());
  testbed_stop (&testbed);
}

/* What a review saw: two servers that left at the same moment got requests from a router whose
 * question was silent until it ended, though its peer knew; one alone was noticed within a second.
 * Evidence: no endpoint_leaving within 10 s, and no behind_peers. Cause: the digests of the lists
 * were equal, since an even number of complements cancels out in an XOR. */
static void
test_two_drain (void)
{
  start_with_lost_polls ();
  testbed_list_server (&testbed, 0, "draining");
  testbed_list_server (&testbed, 1, "draining");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "endpoint_leaving"));
  testbed_stop (&testbed);
}

/* What users saw: callers with new keys were told 401, which nobody tries again, by a router that
 * its peers had told of a newer configuration. Evidence: "410 forward_denied ... status=401
 * version=132" between two lines of "210 behind_peers". Cause: a denial was final though the router
 * knew that what it went by was old. */
static void
test_denied_by_old_configuration (void)
{
  int retry_later = 0;
  int denied_after = 0;

  start_with_lost_polls ();
  testbed.has_key = false;
  testbed_publish (&testbed);
  do
    testbed_call (&testbed, "old-1", "/safe/x", NULL, "", &answer);
  while (answer.status == 200);
  /* The key comes back: once this router knows that there is something newer, it may not say
   * that there is none. Its question for that is at the store by now. */
  fleet_sleep_ms (300);
  testbed_fetch (testbed.store_port, "PUT", "/deafen", "");
  testbed.has_key = true;
  testbed_publish (&testbed);
  for (int i = 0; i < 4000 && answer.status != 200; i++)
    {
      testbed_call (&testbed, "old-2", "/safe/x", NULL, "", &answer);
      retry_later += answer.status == 503 && answer_has ("Retry-After:");
      denied_after += answer.status == 401 && retry_later;
    }
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (retry_later > 0);
  CU_ASSERT_EQUAL (denied_after, 0);
  testbed_stop (&testbed);
}

/* What a review saw: a server that had left got requests for as long as a router ran that started
 * after it. Events: the new router asked the store for the complete list; before the answer a peer
 * whose own watch was silent gave it an older list that still had the server; the store's answer
 * lacked it. Evidence: no endpoint_missing for the server in 10 s after the store's answer.
 * Cause: what the peer told counted as listed by the store, as both lists went by one number. */
static void
test_peer_list_during_listing (void)
{
  start_with_stale_peer ();
  testbed_fetch (testbed.store_port, "PUT", "/mode?slow250", "");
  testbed.list_wait_ms = 600;
  testbed_start_router (&testbed, 0);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "source=router-1"));
  testbed_fetch (testbed.store_port, "PUT", "/mode?ok", "");
  CU_ASSERT (testbed_wait_logged (&testbed, 0,
                                  "endpoint_missing box=router-0 module=router endpoint=i-B1 "));
  CU_ASSERT (wait_unused (1));
  testbed_stop (&testbed);
}

static long
store_calls (int r)
{
  return metric_value (r, "\nash_store_calls_total{} ");
}

/* Waits until a router's questions wait for long. @return false after some 10 s. */
static bool
wait_polls_pending (int r)
{
  for (int i = 0; i < 5; i++)
    {
      long before = store_calls (r);

      fleet_sleep_ms (2000);
      if (store_calls (r) == before)
        return true;
    }
  return false;
}

/* What a review saw: with one of the few routers gone that ask often, the one that takes its place
 * let its own question wait on, up to 20 s at the store, so for that time one fewer asked often. */
static void
test_poller_replaced (void)
{
  long before;

  start ();
  testbed.store_wait_ms = testbed.list_wait_ms = LONG_WAIT_MS;
  for (int r = 1; r < TESTBED_ROUTERS; r++)
    {
      testbed_start_router (&testbed, r);
      CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, r, true));
    }
  CU_ASSERT_TRUE_FATAL (wait_polls_pending (3));
  before = store_calls (3);
  fleet_end_process (&testbed.routers[0].pid, SIGKILL);
  for (int i = 0; i < 500 && store_calls (3) == before; i++)
    fleet_sleep_ms (20);
  CU_ASSERT_NOT_EQUAL (store_calls (3), before);
  testbed_stop (&testbed);
}

/* What a review saw: a router that was started while the store took more than 300 ms for an answer
 * was never ready, and one that ran never heard of a change again after one failure. Events: after
 * a failure, or at the start, an answer was waited for for 300 ms, given up, and asked for again,
 * all the same each time. Evidence: not ready in 10 s at 500 ms an answer. Cause: the bound, meant
 * for a lost packet, did not grow. */
static void
test_store_slow (void)
{
  start ();
  testbed_fetch (testbed.store_port, "PUT", "/mode?slow500", "");
  fleet_end_process (&testbed.routers[0].pid, SIGKILL);
  testbed_start_router (&testbed, 0);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, true));
  testbed_call (&testbed, "sl1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (applies_changes ());
  testbed_stop (&testbed);
  /* One that ran answer_has its questions cut off. */
  start ();
  testbed_fetch (testbed.store_port, "PUT", "/mode?busy", "");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "platform_down"));
  testbed_fetch (testbed.store_port, "PUT", "/mode?slow500", "");
  CU_ASSERT (applies_changes ());
  testbed_stop (&testbed);
}

/* The entries lapse and the store is back. Once the first router knows it, callers are served. */
static void
expire_entries_and_call (void)
{
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-A1", "");
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-B1", "");
  testbed_fetch (testbed.store_port, "PUT", "/mode?ok", "");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "endpoint_missing"));
  testbed_call (&testbed, "v2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
}

/* The store says nothing, and what waits there is lost. */
static void
silence_store (void)
{
  testbed_fetch (testbed.store_port, "PUT", "/mode?silent", "");
  testbed_fetch (testbed.store_port, "PUT", "/deafen", "");
}

/* What callers of a trial got: 503 although all servers lived, until they were listed again.
 * Events: the store was silent, and the entries lapsed; the question for the configuration was due
 * first, and its reader made the list's reader ask anew; the first answer told of the lapsed
 * entries. Evidence: the call after endpoint_missing got 503. Cause: only the reader whose own
 * question had been due distrusted what was missing. */
static void
test_silence_found_by_other_poll (void)
{
  start ();
  testbed.list_wait_ms = testbed.short_wait_ms = LONG_WAIT_MS;
  restart_router ();
  fleet_sleep_ms (300);
  silence_store ();
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "the other one is silent"));
  expire_entries_and_call ();
  testbed_stop (&testbed);
}

/* The same as callers saw it, but a peer noticed the silence: its own questions wait for less
 * long. Events: with the store back the peer took the entries for lapsed, and told in its heartbeat
 * that it answer_has a newer list; this router, whose questions were lost, got it and asked the
 * store. Evidence: the call after endpoint_missing got 503. Cause: both answers were trusted, as no
 * question was due here. */
static void
test_silence_found_by_peer (void)
{
  start ();
  testbed_start_router (&testbed, 1);
  CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, 1, true));
  testbed.store_wait_ms = testbed.list_wait_ms = testbed.short_wait_ms = LONG_WAIT_MS;
  restart_router ();
  fleet_sleep_ms (300);
  silence_store ();
  CU_ASSERT (testbed_wait_logged (&testbed, 1, "no answer in time"));
  expire_entries_and_call ();
  /* Those that do not come back are not used for long. */
  CU_ASSERT (wait_refused ());
  testbed_stop (&testbed);
}

/* By name the last router of the hall. */
#define FOLLOWER (TESTBED_ROUTERS - 1)

static bool
follower_logged (const char *event, const char *fields)
{
  char text[256];

  snprintf (text, sizeof text, "%s box=router-%d module=router %s", event, FOLLOWER, fields);
  return testbed_wait_logged (&testbed, FOLLOWER, text);
}

/* Starts four routers of one hall. Three of them ask the store, and the last one follows. */
static void
start_hall (void)
{
  start ();
  for (int r = 1; r < TESTBED_ROUTERS; r++)
    {
      testbed_start_router (&testbed, r);
      CU_ASSERT_TRUE_FATAL (testbed_wait_ready (&testbed, r, true));
    }
  CU_ASSERT (follower_logged ("store_reader", "reads=0"));
  /* Questions that were under way then end with the first change. */
  testbed_list_server (&testbed, 1, "draining");
  testbed_publish (&testbed);
  CU_ASSERT (follower_logged ("endpoint_leaving", "endpoint=i-B1"));
  fleet_sleep_ms (1000);
}

/* 149 routers that all asked the store made 231 calls a second, most of them to learn of the same
 * endpoint: a price of 0.11 a day. In a hall of many a few ask, and tell the others at once. */
static void
test_follower (void)
{
  char version[32];
  long before;

  start_hall ();
  before = store_calls (FOLLOWER);
  testbed_list_server (&testbed, 0, "draining");
  CU_ASSERT (follower_logged ("endpoint_leaving", "endpoint=i-A1"));
  testbed_list_server (&testbed, 1, "ready");
  CU_ASSERT (follower_logged ("endpoint_listed", "endpoint=i-B1"));
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-A1", "");
  CU_ASSERT (follower_logged ("endpoint_missing", "endpoint=i-A1"));
  testbed_publish (&testbed);
  snprintf (version, sizeof version, "version=%u ", testbed.version);
  CU_ASSERT (follower_logged ("config_accepted", version));
  CU_ASSERT_EQUAL (store_calls (FOLLOWER), before);
  /* One that asked is gone: this one asks from now on. */
  fleet_end_process (&testbed.routers[0].pid, SIGKILL);
  CU_ASSERT (follower_logged ("store_reader", "reads=1"));
  fleet_sleep_ms (300);
  CU_ASSERT (store_calls (FOLLOWER) > before);
  testbed_stop (&testbed);
}

/* The store is silent, entries lapse though their endpoints live, and this router is told of it by
 * those that ask. Callers are served on, as where all ask. */
static void
test_follower_of_silence (void)
{
  start_hall ();
  testbed_list_server (&testbed, 1, "ready");
  CU_ASSERT (follower_logged ("endpoint_listed", "endpoint=i-B1"));
  silence_store ();
  for (int r = 0; r < FOLLOWER; r++)
    CU_ASSERT (testbed_wait_logged (&testbed, r, "platform_down"));
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-A1", "");
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-B1", "");
  testbed_fetch (testbed.store_port, "PUT", "/mode?ok", "");
  CU_ASSERT (testbed_wait_logged (&testbed, FOLLOWER, "endpoint_missing"));
  testbed_call_at (&testbed, FOLLOWER, "v3", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_stop (&testbed);
}

/* An entry may come from another writer, or be spoiled: it names no endpoint to use, and the others
 * hold. */
static void
test_foreign_entries (void)
{
  static const char *const foreign[] = {
    "not JSON",
    "{\"Service\":\"stock\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"hall-a\",\"Slots\":"
    "8,\"State\":\"asleep\"}",
    "{\"Service\":7}",
    "{\"Service\":\"none\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"hall-a\","
    "\"Slots\":8,\"State\":\"ready\"}",
  };
  char target[64];

  start ();
  for (size_t i = 0; i < sizeof foreign / sizeof foreign[0]; i++)
    {
      snprintf (target, sizeof target, "/put?servers/i-foreign%zu", i);
      testbed_fetch (testbed.store_port, "PUT", target, foreign[i]);
    }
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "endpoint=i-foreign2 wrong=\"Service\""));
  for (int i = 0; i < 8; i++)
    {
      testbed_call (&testbed, "f1", "/safe/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  /* The entry of one that is used is spoiled: it gets nothing more. */
  testbed_fetch (testbed.store_port, "PUT", "/put?servers/i-A1", "{\"State\":\"ready\"}");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "endpoint=i-A1 wrong=\"Service\""));
  for (int i = 0; i < 8; i++)
    {
      testbed_call (&testbed, "f2", "/safe/x", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  CU_ASSERT_PTR_NULL (strstr (server_log (0), "f2"));
  testbed_list_server (&testbed, 0, "ready");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "endpoint_listed"));
  testbed_stop (&testbed);
}

const struct fault_test router_store_tests[] = {
  { "draining, and gone without a word", test_draining },
  { "store away, entries lapse", test_store_unavailable },
  { "endpoints start in a burst", test_endpoints_burst },
  { "store silent, entries lapse", test_store_silent },
  { "store's history gone", test_history_lost },
  { "store's history gone, an endpoint left meanwhile", test_history_lost_removal },
  { "store's watches silent", test_store_watch_silent },
  { "store's watches silent, two servers leave", test_two_drain },
  { "denied by an old configuration", test_denied_by_old_configuration },
  { "one that asks the store often is gone", test_poller_replaced },
  { "entries of other writers", test_foreign_entries },
  { "others of the hall ask the store", test_follower },
  { "others of the hall ask a silent store", test_follower_of_silence },
  { "store slow after a failure", test_store_slow },
  { "store silent, entries lapse: its other question is due first",
    test_silence_found_by_other_poll },
  { "store silent, entries lapse: a peer notices it first", test_silence_found_by_peer },
  { "peer's older list beside a listing", test_peer_list_during_listing },
  { "peer helps where the store does not", test_start_from_peer },
  { NULL, NULL },
};
