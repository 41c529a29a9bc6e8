/**
 * @file
 * How the router reads the list of endpoints page by page: a page that can't be had costs the other
 * pages nothing, the store is not asked without a pause, and what is read in the end is what the
 * store has.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- a page that can't be had ---- */

/* Calls that the router may make for a page that can't be had, in OBSERVED_MS. */
#define CALLS_MAX 20
#define OBSERVED_MS 2000

#define LARGE_LIST 5000
#define LARGE_PAGE 500

static void
store_put (const char *target)
{
  testbed_fetch (testbed.store_port, "PUT", target, "");
}

/* @return a number of the store's counts, by its name with the equals sign. */
static int
store_count (const char *name)
{
  const char *found = strstr (testbed_fetch (testbed.store_port, "GET", "/counts", ""), name);

  return found ? atoi (found + strlen (name)) : -1;
}

static void
kill_router (void)
{
  fleet_end_process (&testbed.routers[0].pid, SIGKILL);
}

/* Waits until the readiness page starts with a text. @return false after 5 s. */
static bool
wait_readiness (const char *text)
{
  for (int i = 0; i < 250; i++)
    {
      const char *body = testbed_fetch (testbed.routers[0].readiness_port, "GET", "/readyz", "");

      if (strncmp (body, text, strlen (text)) == 0)
        return true;
      fleet_sleep_ms (20);
    }
  return false;
}

static bool
metrics_have (const char *text)
{
  return strstr (testbed_fetch (testbed.routers[0].metrics_port, "GET", "/metrics", ""), text);
}

static int
count_served (void)
{
  static int number;
  char id[24];
  int served = 0;

  for (int i = 0; i < 8; i++)
    {
      snprintf (id, sizeof id, "page-%d", ++number);
      testbed_call (&testbed, id, i % 2 ? "/once/x" : "/safe/x", NULL, "", &answer);
      served += answer.status == 200;
    }
  return served;
}

static int
count_listed (void)
{
  return testbed_count_logged (&testbed, 0, "endpoint_listed");
}

/* A router starts while all pages but the first can't be had. @param kind how, see
 * test/standin_store.c */
static void
check_missing_page (const char *kind)
{
  char target[32];

  start ();
  store_put ("/pages?1");
  snprintf (target, sizeof target, "/odd?%s", kind);
  store_put (target);
  kill_router ();
  testbed_start_router (&testbed, 0);
  CU_ASSERT (wait_readiness ("ready, but a page"));
  CU_ASSERT (metrics_have ("\nash_store_listed{part=\"endpoints\"} 0\n"));
  CU_ASSERT_EQUAL (count_served (), 8);
  store_put ("/counts");
  fleet_sleep_ms (OBSERVED_MS);
  CU_ASSERT (store_count ("pages=") > 0 && store_count ("pages=") <= CALLS_MAX);
  if (store_count ("pages=") > CALLS_MAX)
    printf ("\n  %s: %d calls in %d ms", kind, store_count ("pages="), OBSERVED_MS);
  /* Once the page can be had, only that one is read. */
  store_put ("/odd?ok");
  store_put ("/counts");
  CU_ASSERT (wait_readiness ("ready\n"));
  CU_ASSERT_EQUAL (store_count ("pages="), 1);
  CU_ASSERT (metrics_have ("\nash_store_listed{part=\"endpoints\"} 1\n"));
  CU_ASSERT_EQUAL (count_listed (), TESTBED_SERVERS);
  CU_ASSERT_EQUAL (count_served (), 8);
  testbed_stop (&testbed);
}

static void
test_refused (void)
{
  check_missing_page ("refused");
}

static void
test_same (void)
{
  check_missing_page ("same");
}

static void
test_empty (void)
{
  check_missing_page ("empty");
}

/* A router starts while a page in the midst of the list can't be had. */
static void
test_behind (void)
{
  start ();
  store_put ("/pages?1");
  testbed_fetch (testbed.store_port, "PUT", "/put?servers/i-A2", "{}");
  store_put ("/spoil?servers/i-A2");
  kill_router ();
  testbed_start_router (&testbed, 0);
  CU_ASSERT (wait_readiness ("ready, but a page"));
  for (int i = 0; i < 150 && count_listed () < TESTBED_SERVERS; i++)
    fleet_sleep_ms (20);
  CU_ASSERT_EQUAL (count_listed (), TESTBED_SERVERS);
  CU_ASSERT (metrics_have ("\nash_store_listed{part=\"endpoints\"} 0\n"));
  CU_ASSERT_EQUAL (count_served (), 8);
  store_put ("/counts");
  fleet_sleep_ms (OBSERVED_MS);
  CU_ASSERT (store_count ("pages=") > 0 && store_count ("pages=") <= CALLS_MAX);
  /* Once the page can be had, only that one is read, and the one after it. */
  store_put ("/spoil?");
  store_put ("/counts");
  CU_ASSERT (wait_readiness ("ready\n"));
  CU_ASSERT (store_count ("pages=") <= 2);
  CU_ASSERT (metrics_have ("\nash_store_listed{part=\"endpoints\"} 1\n"));
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "entry_unusable"));
  testbed_stop (&testbed);
}

/* A long list takes no more calls than it has pages. */
static void
test_long_list (void)
{
  char target[64];

  start ();
  for (int i = 0; i < LARGE_LIST - TESTBED_SERVERS; i++)
    {
      snprintf (target, sizeof target, "/put?servers/i-%05d", i);
      testbed_fetch (testbed.store_port, "PUT", target, "{}");
    }
  snprintf (target, sizeof target, "/pages?%d", LARGE_PAGE);
  store_put (target);
  kill_router ();
  store_put ("/counts");
  testbed_start_router (&testbed, 0);
  CU_ASSERT (wait_readiness ("ready\n"));
  CU_ASSERT_EQUAL (store_count ("pages="), LARGE_LIST / LARGE_PAGE);
  CU_ASSERT_EQUAL (count_served (), 8);
  testbed_stop (&testbed);
}

/* ---- random lists ---- */

#define SEEDS 50
#define SERVERS_MAX 512

/* Changes of the random list while it is read, see test/standin_store.c. */
#define CHANGES_MAX 30

/* A set of names. */
struct names
{
  char names[SERVERS_MAX][64];
  int count;
};

static int
index_of (const struct names *set, const char *name)
{
  int i = 0;

  while (i < set->count && strcmp (set->names[i], name) != 0)
    i++;
  return i;
}

static void
add_name (struct names *set, const char *name)
{
  int i = index_of (set, name);

  if (i == SERVERS_MAX)
    abort ();
  snprintf (set->names[i], sizeof set->names[i], "%s", name);
  set->count += i == set->count;
}

static void
remove_name (struct names *set, const char *name)
{
  int i = index_of (set, name);

  if (i < set->count)
    memcpy (set->names[i], set->names[--set->count], sizeof set->names[i]);
}

/* The servers that the store has: its model of the list. */
static void
read_model (struct names *set)
{
  const char *lines = testbed_fetch (testbed.store_port, "GET", "/model", "");
  char name[64];
  int used;

  set->count = 0;
  while (sscanf (lines, "%63s%n", name, &used) == 1)
    {
      add_name (set, name);
      lines += used;
    }
}

/* The servers that the router uses, according to its log. */
static void
read_router (struct names *set)
{
  char path[128];
  char line[4096];
  FILE *log;

  set->count = 0;
  snprintf (path, sizeof path, "%s/router-0.log", testbed.folder);
  log = fopen (path, "r");
  CU_ASSERT_PTR_NOT_NULL_FATAL (log);
  fseek (log, testbed.routers[0].log_start, SEEK_SET);
  while (fgets (line, sizeof line, log))
    {
      const char *endpoint = strstr (line, " endpoint=");
      char name[64];

      if (!endpoint || sscanf (endpoint, " endpoint=%63s", name) != 1)
        continue;
      if (strstr (line, " endpoint_listed "))
        add_name (set, name);
      else if (strstr (line, " endpoint_missing ") || strstr (line, " entry_unusable "))
        remove_name (set, name);
    }
  fclose (log);
}

static bool
is_subset (const struct names *set, const struct names *of)
{
  for (int i = 0; i < set->count; i++)
    if (index_of (of, set->names[i]) == of->count)
      return false;
  return true;
}

/* Waits until the router has what the store has. @return false after 5 s. */
static bool
wait_equal (int seed)
{
  static struct names model;
  static struct names router;

  for (int i = 0; i < 250; i++)
    {
      read_model (&model);
      read_router (&router);
      if (is_subset (&model, &router) && is_subset (&router, &model))
        return true;
      fleet_sleep_ms (20);
    }
  printf ("\n  seed %d: the store has %d servers, the router %d", seed, model.count, router.count);
  for (int i = 0; i < model.count; i++)
    if (index_of (&router, model.names[i]) == router.count)
      printf ("\n  the router lacks '%s'", model.names[i]);
  return false;
}

static void
check_seed (int seed)
{
  char target[32];
  int pages_needed;

  kill_router ();
  snprintf (target, sizeof target, "/fuzz?%d", seed);
  store_put (target);
  testbed_start_router (&testbed, 0);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "part=1 revision="));
  store_put ("/settle");
  CU_ASSERT (wait_equal (seed));
  CU_ASSERT (testbed_wait_logged (&testbed, 0, "platform_up box=router-0 module=router part=1"));
  /* Entries that are added while pages are read may need pages of their own. */
  pages_needed = (store_count ("items=") + CHANGES_MAX) / store_count ("page_items=") + 1;
  CU_ASSERT (store_count ("pages=") <= pages_needed + store_count ("odd="));
  if (store_count ("pages=") > pages_needed + store_count ("odd="))
    printf ("\n  seed %d: %s, needed %d", seed,
            testbed_fetch (testbed.store_port, "GET", "/counts", ""), pages_needed);
}

/* ASH_SEEDS (first:count) plays others by hand. */
static void
test_random_lists (void)
{
  const char *seeds = getenv ("ASH_SEEDS");
  int first = 1;
  int count = SEEDS;

  if (seeds && sscanf (seeds, "%d:%d", &first, &count) != 2)
    CU_FAIL_FATAL ("ASH_SEEDS is not FIRST:COUNT");
  start ();
  for (int seed = first; seed < first + count; seed++)
    check_seed (seed);
  testbed_stop (&testbed);
}

const struct fault_test router_list_page_tests[] = {
  { "pages of the list: one is refused while a router starts", test_refused },
  { "pages of the list: one comes back the same while a router starts", test_same },
  { "pages of the list: one is empty and not the last while a router starts", test_empty },
  { "pages of the list: one in the midst is refused while a router starts", test_behind },
  { "pages of the list: 5,000 entries", test_long_list },
  { "pages of the list: random keys, changes and answers", test_random_lists },
  { NULL, NULL },
};
