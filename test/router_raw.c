#include "test/router_raw.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

/* Endpoints that gave broken answers get no requests for a while, up to this long. */
#define EJECTED_MAX_MS 10000

void
raw_start (void)
{
  start ();
  testbed.grace = "resend_slack = 10000";
  restart_router ();
}

void
raw_call (char id[RAW_ID_BYTES], const char *path, const char *action, const char *raw)
{
  int64_t until = fleet_now_ms () + EJECTED_MAX_MS;
  static int number;
  char more[1024];

  snprintf (more, sizeof more, "X-Raw: %s\r\n", raw);
  for (;;)
    {
      snprintf (id, RAW_ID_BYTES, "raw-%d", ++number);
      testbed_call (&testbed, id, path, action, more, &answer);
      if (answer.status != 503 || testbed_count_runs (&testbed, id) || fleet_now_ms () > until)
        return;
      fleet_sleep_ms (50);
    }
}

void
raw_call_by_turns (char id[RAW_ID_BYTES],
                   const char *path,
                   int round,
                   const char *action,
                   const char *other,
                   const char *raw)
{
  char actions[64];

  snprintf (actions, sizeof actions, "A=%s B=%s", round % 2 ? other : action,
            round % 2 ? action : other);
  raw_call (id, path, actions, raw);
}

void
raw_keep_connections (void)
{
  static const char *const actions[] = { "A=ok B=shed", "A=shed B=ok" };
  char id[RAW_ID_BYTES];

  for (int s = 0; s < TESTBED_SERVERS; s++)
    {
      int64_t until = fleet_now_ms () + EJECTED_MAX_MS;

      do
        raw_call (id, "/safe/x", actions[s], "-");
      while (answer.status != 200 && fleet_now_ms () < until);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
}

static void
check_answer (bool ok, const char *raw)
{
  CU_ASSERT (ok);
  if (!ok)
    printf ("\n  %s\n  gave %d: %.200s", raw, answer.status, answer.text);
}

void
raw_expect_unknown (const char *raw)
{
  bool ok = answer.status == 502 && answer.complete && !answer_has ("hello") &&
            !answer_has ("Server-Seal") && !answer_has ("Retry-After");

  check_answer (ok, raw);
}

void
raw_check_once (const char *path, const char *action, const char *raw)
{
  char all[32];
  char id[RAW_ID_BYTES];

  snprintf (all, sizeof all, "*=%s", action);
  for (int round = 0; round < RAW_ROUNDS; round++)
    {
      if (round == 0)
        raw_keep_connections ();
      raw_call (id, path, all, raw);
      raw_expect_unknown (raw);
      CU_ASSERT_EQUAL (testbed_count_runs (&testbed, id), 1);
    }
}

void
raw_check_safe (const char *path, const char *action, const char *raw)
{
  char id[RAW_ID_BYTES];

  raw_keep_connections ();
  for (int round = 0; round < RAW_ROUNDS; round++)
    {
      raw_call_by_turns (id, path, round, action, "ok", raw);
      check_answer (answer.status == 200 && answer.complete &&
                        strcmp (answer.body, "whole answer") == 0,
                    raw);
    }
}

/* Waits until the router has logged @p text more than @p count times. */
static bool
wait_logged_again (const char *text, int count)
{
  for (int i = 0; i < 1500 && testbed_count_logged (&testbed, 0, text) <= count; i++)
    fleet_sleep_ms (20);
  return testbed_count_logged (&testbed, 0, text) > count;
}

void
raw_check_store (const char *raw)
{
  int down = testbed_count_logged (&testbed, 0, "platform_down");
  int up = testbed_count_logged (&testbed, 0, "platform_up");
  bool noticed;

  testbed_fetch (testbed.store_port, "PUT", "/raw", raw);
  noticed = wait_logged_again ("platform_down", down);
  CU_ASSERT (noticed);
  if (!noticed)
    printf ("\n  not noticed: %s", raw);
  testbed_fetch (testbed.store_port, "PUT", "/raw", "");
  testbed_fetch (testbed.store_port, "PUT", "/mode?ok", "");
  CU_ASSERT (wait_logged_again ("platform_up", up));
  raw_keep_connections ();
}
