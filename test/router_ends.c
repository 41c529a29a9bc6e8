/**
 * @file
 * Requests under which endpoints end.
 *
 * What users saw: for a quarter of a minute three streams in ten were refused or failed, while one
 * endpoint after the other ended and started anew, eight in all, each taking its group of ranks
 * with it for three seconds. One caller's request ended each endpoint that began to run it. It was
 * sent to another endpoint at once, which ended too; and it came again every few seconds under a
 * new id, at whichever router, where nothing was known of it.
 *
 * The cause: what a request met was kept with its submission and freed with it. The evidence: of
 * the requests whose connections broke off together, one of the same account, target and body was
 * among them each time, at five routers, under six ids, and had given no event yet; the others had.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* Ends that prove it: from then on no endpoint is to get the request. */
#define ENDS_MOST 3

#define SUBMISSIONS 6

static void
start_two (void)
{
  start ();
  world_start_router (&world, 1);
  CU_ASSERT_TRUE_FATAL (world_wait_ready (&world, 1, true));
}

/* Starts what has ended anew, and waits until both routers have it. @return how many ended. */
static int
revive (void)
{
  int count = world_revive (&world);

  for (int s = 0; count && s < WORLD_SERVERS; s++)
    for (int r = 0; r < 2; r++)
      {
        char text[48];

        snprintf (text, sizeof text, "endpoint=%s ", world.servers[s].id);
        CU_ASSERT (world_wait_logged (&world, r, text));
      }
  return count;
}

/* The same request under further ids, at either router in turn. */
static void
check_kept_away (const char *path, const char *action)
{
  int ends = 0;
  char id[16];

  start_two ();
  for (int i = 0; i < SUBMISSIONS; i++)
    {
      bool proved = ends >= ENDS_MOST;

      snprintf (id, sizeof id, "end-%d", i);
      world_call_at (&world, i % 2, id, path, action, "", &answer);
      ends += revive ();
      CU_ASSERT (!proved || (answer.status == 503 && has ("Retry-After:")));
      CU_ASSERT (!proved || world_runs (&world, id) == 0);
      /* Others are served all the while. */
      snprintf (id, sizeof id, "calm-%d", i);
      world_call_at (&world, i % 2, id, "/safe/calm", NULL, "", &answer);
      CU_ASSERT_EQUAL (answer.status, 200);
    }
  CU_ASSERT (ends > 0 && ends <= ENDS_MOST);
  world_stop (&world);
}

static void
test_kept_away (void)
{
  check_kept_away ("/safe/ends", "*=end");
  check_kept_away ("/stream/ends", "*=streamend");
  /* One that may not be repeated ends one endpoint a submission. */
  check_kept_away ("/once/ends", "*=end");
}

const struct fault_test router_end_tests[] = {
  { "requests that end endpoints are kept away", test_kept_away },
  { NULL, NULL },
};
