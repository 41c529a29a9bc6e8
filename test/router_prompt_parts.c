/**
 * @file
 * Parts of prompts that crash endpoints are quarantined.
 *
 * The failure: each endpoint that began an answer to a prompt with one certain part crashed,
 * whatever else the prompt held. No two such requests were alike, and other requests shared their
 * account and their other parts.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <stdio.h>

/* A part that has crashed this many endpoints must not reach any other endpoint. */
#define CRASHES_MAX 5

#define SUBMISSIONS 10

/* Restarts the servers that crashed, and waits until both routers have listed them. @return how
 * many had crashed. */
static int
restart_servers (void)
{
  int count = testbed_restart_servers (&testbed);

  for (int s = 0; count && s < TESTBED_SERVERS; s++)
    for (int r = 0; r < 2; r++)
      {
        char text[48];

        snprintf (text, sizeof text, "endpoint=%s ", testbed.servers[s].id);
        CU_ASSERT (testbed_wait_logged (&testbed, r, text));
      }
  return count;
}

/* Sends a streaming request whose path and last part are its own.
 * @param shared_parts the parts before the last one. */
static void
call_with_parts (int r, const char *id, const char *action, const char *shared_parts)
{
  static uint32_t last_part = 0x1000;
  char path[32];
  char more[128];

  snprintf (path, sizeof path, "/stream/%s", id);
  snprintf (more, sizeof more, "Ashspindle-Prefix-Hash: %s,%x:80\r\n", shared_parts, last_part++);
  testbed_call_at (&testbed, r, id, path, action, more, &answer);
}

/* No two requests with the part "bad" are alike; each comes at the other router than the last one.
 * Requests with its neighbours are served throughout. */
static void
test_part_quarantined (void)
{
  int crashes = 0;
  char id[16];

  start_routers (2);
  for (int i = 0; i < SUBMISSIONS; i++)
    {
      bool proved = crashes >= CRASHES_MAX;

      snprintf (id, sizeof id, "sound-%d", i);
      call_with_parts (i % 2, id, "*=stream", "aaa:40,ccc:30");
      CU_ASSERT (answer.status == 200 && answer.complete);
      snprintf (id, sizeof id, "bad-%d", i);
      call_with_parts (i % 2, id, "*=streambegin", "aaa:40,bad:200,ccc:30");
      crashes += restart_servers ();
      CU_ASSERT (!proved || (answer.status == 503 && answer_has ("Retry-After:")));
      CU_ASSERT (!proved || testbed_count_runs (&testbed, id) == 0);
    }
  CU_ASSERT (crashes > 0 && crashes <= CRASHES_MAX);
  testbed_stop (&testbed);
}

const struct fault_test router_prompt_parts_tests[] = {
  { "a prompt part that ends endpoints is kept away", test_part_quarantined },
  { NULL, NULL },
};
