#include "test/fault_tests.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

int
run_fault_tables (const char *suite_name, const struct fault_test *const *tables, const char *part)
{
  CU_pSuite suite;
  unsigned failures;

  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  CU_initialize_registry ();
  suite = CU_add_suite (suite_name, NULL, NULL);
  for (; *tables; tables++)
    for (const struct fault_test *test = *tables; test->name; test++)
      if (strstr (test->name, part))
        CU_add_test (suite, test->name, test->run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
run_fault_tests (const char *suite_name, const struct fault_test *tests, const char *part)
{
  const struct fault_test *const tables[] = { tests, NULL };

  return run_fault_tables (suite_name, tables, part);
}

bool
wait_revision (struct fleet *fleet, int e, int64_t revision)
{
  int64_t until_ms = fleet_now_ms () + 10000;

  while (fleet_revision (fleet, e) != revision)
    {
      if (fleet_now_ms () > until_ms)
        return false;
      fleet_sleep_ms (20);
    }
  return true;
}

void
expect_streams (struct fleet_call *calls, int tokens)
{
  for (int i = 0; i < LOAD_STREAMS; i++)
    {
      fleet_wait_call (&calls[i]);
      CU_ASSERT (fleet_stream_ok (&calls[i].answer, tokens));
      ash_cli_answer_finish (&calls[i].answer);
    }
}

bool
wait_runs (struct fleet *fleet, int a, const char *kind, int count)
{
  int64_t until_ms = fleet_now_ms () + 10000;

  while (fleet_count_runs (fleet, a, NULL, kind) < count)
    {
      if (fleet_now_ms () > until_ms)
        return false;
      fleet_sleep_ms (10);
    }
  return true;
}
