/**
 * @file
 * What the router learns from the store and from its peers: endpoints that are added, leave, or
 * whose entries expire, and polls that are never answered.
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
  /* The entry of server B is removed without a draining state before: the server is not used any
   * more. */
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
  /* While the store is unavailable the servers' entries expire although the servers still run. The
   * router keeps using the servers. */
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-A1", "");
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-B1", "");
  testbed_fetch (testbed.store_port, "PUT", "/mode?ok", "");
  fleet_sleep_ms (700);
  testbed_call (&testbed, "w2", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_list_server (&testbed, 0, "ready");
  fleet_sleep_ms (2500);
  /* The server that was not listed again is not used any more, the other one is. */
  testbed_call (&testbed, "w3", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_PTR_NULL (strstr (server_log (1), "w3"));
  /* From now on a missing entry was removed, not expired: its endpoint is not used any more, at
   * once. */
  testbed_fetch (testbed.store_port, "PUT", "/remove?servers/i-A1", "");
  fleet_sleep_ms (200);
  testbed_call (&testbed, "w4", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT_EQUAL (testbed_count_runs (&testbed, "w4"), 0);
  testbed_stop (&testbed);
}

/* @return the value of a metric without labels, or -1. @param name the metric's name with a newline
 * before it and its braces and a blank after it, so that no longer name matches */
static long
metric_value (int r, const char *name)
{
  const char *metrics = testbed_fetch (testbed.routers[r].metrics_port, "GET", "/metrics", "");
  const char *line = metrics ? strstr (metrics, name) : NULL;

  return line ? strtol (line + strlen (name), NULL, 10) : -1;
}

/* Many endpoints start one after the other, each adding its own entry. The router still makes only
 * a few calls, and soon knows the last endpoint. */
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

/* The store accepts polls and does not answer. The entries expire meanwhile, so the first answer
 * after the outage reports them as removed. */
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

/* Waits until none of 16 requests in a row reaches server @p s. @return false after about 10 s. */
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

/* Waits until no server is used any more, so that requests are rejected. @return false after about
 * 10 s. */
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

/* The failure: an endpoint whose entry was removed while the store lost its history kept getting
 * requests. The watch was answered with 410 (revision no longer available), and the new list lacked
 * the entry. The router freed the old entry before it looked up the endpoint by the entry's id (a
 * use after free), and so missed the removal. */
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
  /* A router that starts while the store is unavailable gets all data from its peer. */
  testbed_fetch (testbed.store_port, "PUT", "/mode?busy", "");
  fleet_end_process (&testbed.routers[0].pid, SIGKILL);
  testbed_start_router (&testbed, 0);
  CU_ASSERT (testbed_wait_ready (&testbed, 0, true));
  testbed_call (&testbed, "e1", "/safe/x", NULL, "", &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT (testbed_logged (&testbed, 0, "source=router-1"));
  testbed_stop (&testbed);
}

/* Longer than the tests wait: a poll that is lost must be detected in another way than by its
 * time-out. */
#define LONG_WAIT_MS 25000

/* Restarts the first router with polls that wait long, and waits until they are at the store. */
static void
start_with_long_polls (void)
{
  start ();
  testbed.store_wait_ms = LONG_WAIT_MS;
  testbed.list_wait_ms = LONG_WAIT_MS;
  restart_router ();
  fleet_sleep_ms (200);
}

/* Restarts the first router, whose polls then stay at the store without an answer or an error.
 * Starts a second router, which repeats its polls after 0.3 s at most. */
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

/* Stops the first router and removes server B's entry while the second router's polls are lost, so
 * that its list is out of date. */
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

/* Publishes a configuration and marks a server as draining. @return whether the first router
 * applies both. */
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

/* The failure: one router rejected new keys and routes (401, 404) for 20 s although the store had
 * them; its six peers had each change within 30 ms. The router had been cut off from the store
 * while its polls were pending there. The poll of the configuration may wait for 20 s, so the
 * router abandoned it after 21.5 s, 5 s after the connection was restored. Until then the reader
 * counted as up to date, since its previous poll had been answered, and ignored the newer version
 * in its peers' heartbeats. The list's reader had reconnected within 0.3 s, without effect on the
 * configuration's. The cause: a pending poll without an answer was taken as proof that there is
 * nothing new. */
static void
test_store_watch_silent (void)
{
  /* No peer reads the store: the router itself must limit how long it trusts a pending poll. */
  start_with_long_polls ();
  testbed_fetch (testbed.store_port, "PUT", "/deafen", "");
  CU_ASSERT (applies_changes ());
  testbed_stop (&testbed);
  /* A peer has the change that did not arrive here, and the first router's own polls wait long. */
  start_with_lost_polls ();
  CU_ASSERT (applies_changes ());
  testbed_stop (&testbed);
}

/* The failure: two servers that left at the same moment got requests until the router's lost poll
 * timed out, although its peer had the change; a single one was detected within a second. The
 * cause: a list's digest was the XOR of its entries' digests, with those of draining servers
 * complemented. Two complements cancel out, so that both routers' digests were equal. */
static void
test_two_drain (void)
{
  start_with_lost_polls ();
  testbed_list_server (&testbed, 0, "draining");
  testbed_list_server (&testbed, 1, "draining");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "endpoint_leaving"));
  testbed_stop (&testbed);
}

/* The failure: callers with new keys got 401, which clients don't retry, from a router whose peers
 * had reported a newer configuration. The cause: a denial was final although the router knew that
 * its configuration was out of date. */
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
  /* The key is published again. Once the router knows that there is a newer configuration, it must
   * not answer 401. The poll that could learn of the key is at the store by now, and gets lost. */
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

/* The failure: a router that had just started kept sending requests to a server that had been
 * removed. It requested the complete list from the store; before the answer, a peer with an
 * outdated list sent that list, which still had the server; the store's answer lacked it. The
 * cause: entries from the peer counted as listed by the store, since both lists used the same
 * listing number. */
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

/* Waits until a router makes no store call for 2 s, as all its polls are pending. @return false
 * after about 10 s. */
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

/* The failure: when one of the few routers that poll often was lost, the router that takes its
 * place left its own long poll pending, up to 20 s, and only then polled often. */
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

/* The failure: a router that started while the store took more than 300 ms per answer never became
 * ready (not within 10 s at 500 ms), and a running one learned of no change after one failure. The
 * cause: the time-out of 300 ms at the start and after a failure, meant for lost packets, did not
 * grow, so each attempt was abandoned. */
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
  /* A running router whose polls have failed must learn of changes from the slow store, too. */
  start ();
  testbed_fetch (testbed.store_port, "PUT", "/mode?busy", "");
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "platform_down"));
  testbed_fetch (testbed.store_port, "PUT", "/mode?slow500", "");
  CU_ASSERT (applies_changes ());
  testbed_stop (&testbed);
}

/* Lets the servers' entries expire and the store answer again. Requests must still be served once
 * the first router has seen the missing entries. */
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

/* Makes the store answer nothing, and drops the polls that are pending. */
static void
silence_store (void)
{
  testbed_fetch (testbed.store_port, "PUT", "/mode?silent", "");
  testbed_fetch (testbed.store_port, "PUT", "/deafen", "");
}

/* The failure: callers got 503 although all servers were running, until the servers were listed
 * again. The store was silent and the entries expired. The poll of the configuration timed out
 * first, and its reader made the list's reader poll again; the answer lacked the expired entries.
 * The cause: only the reader whose own poll had timed out distrusted missing entries. */
static void
test_silence_found_by_other_poll (void)
{
  start ();
  testbed.list_wait_ms = testbed.short_wait_ms = LONG_WAIT_MS;
  restart_router ();
  fleet_sleep_ms (300);
  silence_store ();
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "the other request timed out"));
  expire_entries_and_call ();
  testbed_stop (&testbed);
}

/* The failure: callers got 503 although all servers were running, until the servers were listed
 * again. The store was silent, the entries expired, and a peer with a shorter time-out detected the
 * silence. When the store answered again, the peer treated the entries as expired and reported a
 * newer list in its heartbeat; this router, whose polls were lost, got that list and polled the
 * store. The cause: this router trusted the peer's list and the store's answer, since none of its
 * own polls had timed out. */
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
  /* Servers that are not listed again are not used for long. */
  CU_ASSERT (wait_refused ());
  testbed_stop (&testbed);
}

/* The router whose name sorts last in the hall: the one that does not poll the store. */
#define FOLLOWER (TESTBED_ROUTERS - 1)

static bool
follower_logged (const char *event, const char *fields)
{
  char text[256];

  snprintf (text, sizeof text, "%s box=router-%d module=router %s", event, FOLLOWER, fields);
  return testbed_wait_logged (&testbed, FOLLOWER, text);
}

/* Starts four routers in one hall: three poll the store, and the last one (the follower) gets all
 * changes from them. */
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
  /* The first change ends the polls that the follower made before it stopped polling. */
  testbed_list_server (&testbed, 1, "draining");
  testbed_publish (&testbed);
  CU_ASSERT (follower_logged ("endpoint_leaving", "endpoint=i-B1"));
  fleet_sleep_ms (1000);
}

/* A follower makes no store calls and still gets every change. 149 routers that all polled the
 * store made 231 calls per second, most of them for the same endpoint, at a cost of 0.11 in the
 * score of a day. */
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
  /* When a polling router is lost, the follower takes its place. */
  fleet_end_process (&testbed.routers[0].pid, SIGKILL);
  CU_ASSERT (follower_logged ("store_reader", "reads=1"));
  fleet_sleep_ms (300);
  CU_ASSERT (store_calls (FOLLOWER) > before);
  testbed_stop (&testbed);
}

/* The store is silent and entries expire although their endpoints are running. The follower learns
 * of that from the routers that poll, and must still serve requests. */
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

/* An invalid entry, or one of another writer, adds no endpoint and does not affect the other
 * entries. */
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
  /* The entry of a used endpoint becomes invalid: the endpoint gets no more requests. */
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
