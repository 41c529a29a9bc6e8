/**
 * @file
 * Unit tests of declared events.
 */
#include "controllers/declared.h"
#include "controllers/expert_policy.h"
#include "controllers/limits.h"
#include "test/unit.h"

#include <string.h>

#define KEY_HEX "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define START                                                                                      \
  "[[hall]]\nname='h'\n[[class]]\nname='c'\n[[service]]\nname='s'\n"                               \
  "[[account]]\nname='a'\nclass='c'\nkey_hash='" KEY_HEX "'\n"                                     \
  "[[endpoint]]\nbox='m'\nhall='h'\nservice='s'\npeer='127.0.0.1:3'\ngroup='g'\n"                  \
  "[[group]]\nname='g'\nexperts=3\nrank_slots=4\n"                                                 \
  "[[event]]\nname='storm'\nstart_s=1000\nlength_s=100\nlead_s=60\n"
#define RESERVATION(name, account)                                                                 \
  "[[reservation]]\nname='" name "'\nevent='storm'\naccount='" account "'\nservice='s'\n"          \
  "rate_per_s=30\n"
#define PROFILE(loads) "[[profile]]\nname='p'\nevent='storm'\ngroup='g'\nloads='" loads "'\n"

static uint32_t
findings_of (const char *text)
{
  struct ash_document document;
  struct ash_findings findings;
  uint32_t count;

  ash_findings_init (&findings, "test");
  ash_document_init (&document, 1, text, strlen (text), &findings);
  count = findings.count;
  ash_document_finish (&document);
  ash_findings_finish (&findings);
  return count;
}

static void
test_rows (void)
{
  CU_ASSERT_EQUAL (findings_of (START RESERVATION ("r", "a") PROFILE ("1,2,3")), 0);
  CU_ASSERT_EQUAL (findings_of (START RESERVATION ("r", "nobody")), 1);
  CU_ASSERT_EQUAL (findings_of (START RESERVATION ("r", "a") RESERVATION ("r2", "a")), 1);
  CU_ASSERT_EQUAL (findings_of (START PROFILE ("1,2")), 1);
  CU_ASSERT_EQUAL (findings_of (START PROFILE ("1,2,x")), 1);
  CU_ASSERT_EQUAL (findings_of (START PROFILE ("1,2,-3")), 1);
}

static void
test_times (void)
{
  static const char text[] = START RESERVATION ("r", "a") PROFILE ("1,2,3");
  struct ash_document document;
  struct ash_findings findings;

  ash_findings_init (&findings, "test");
  ash_document_init (&document, 1, text, strlen (text), &findings);
  CU_ASSERT_PTR_NULL (ash_declared_reservation (&document, 939, "a", "s"));
  CU_ASSERT_PTR_NOT_NULL (ash_declared_reservation (&document, 940, "a", "s"));
  CU_ASSERT_PTR_NOT_NULL (ash_declared_reservation (&document, 1099, "a", "s"));
  CU_ASSERT_PTR_NULL (ash_declared_reservation (&document, 1100, "a", "s"));
  CU_ASSERT_PTR_NULL (ash_declared_reservation (&document, 1000, "b", "s"));
  CU_ASSERT_PTR_NOT_NULL (ash_declared_profile (&document, 950, "g"));
  CU_ASSERT_EQUAL (ash_declared_state (&document.events[0], 950), ASH_DECLARED_LEAD);
  CU_ASSERT_EQUAL (ash_declared_state (&document.events[0], 1100), ASH_DECLARED_OVER);
  ash_document_finish (&document);
  ash_findings_finish (&findings);
}

/* Three entries that do not communicate receive more requests than are reserved. Together they must
 * stay within the reserved rate plus a burst of one second. */
static void
test_reserved_parts (void)
{
  struct ash_reservation reservation = { .name = "r", .rate_per_s = 30 };
  struct ash_limits limits[3];
  uint32_t admitted = 0;

  for (int i = 0; i < 3; i++)
    ash_limits_init (&limits[i]);
  for (int64_t ms = 0; ms < 10000; ms++)
    for (int i = 0; i < 3; i++)
      admitted += ash_limits_spend_reserved (&limits[i], (struct ash_time){ ms }, &reservation, 3);
  CU_ASSERT (admitted <= 330);
  CU_ASSERT (admitted >= 325);
  for (int i = 0; i < 3; i++)
    ash_limits_finish (&limits[i]);
}

/* Experts are moved for the expected load before reports show it; if that load does not occur,
 * later reports correct the placement. */
static void
test_forecast (void)
{
  static const double speeds[] = { 1, 1 };
  static const double before[] = { 1, 1, 1, 1 };
  static const double expected[] = { 9, 9, 1, 1 };
  struct ash_expert_weights weights = { .skew = 1, .cost = 0.1, .horizon = 10, .moves = 4 };
  struct ash_expert_placement placement = {
    .rank_count = 2, .rank_slots = 2, .expert_count = 4, .slots = { 0, 1, 2, 3 }
  };
  struct ash_expert_policy policy;
  struct ash_expert_decision decision;

  ash_expert_policy_init (&policy, 4, &weights);
  for (int i = 0; i < 5; i++)
    ash_expert_policy_report (&policy, before);
  ash_expert_policy_decide (&policy, &placement, speeds, &decision);
  CU_ASSERT_EQUAL (decision.move_count, 0);
  ash_expert_policy_set_forecast (&policy, expected);
  ash_expert_policy_decide (&policy, &placement, speeds, &decision);
  CU_ASSERT_EQUAL (decision.move_count, 2);
  CU_ASSERT (decision.skew_after < 1.01);
  ash_expert_placement_apply (&placement, decision.moves, decision.move_count);
  /* If the event is cancelled, the reported loads are used again. If it has begun, the expected
   * loads are used until reports replace them. */
  ash_expert_policy_end_forecast (&policy, false);
  CU_ASSERT (policy.fast[0] < 0.26);
  ash_expert_policy_set_forecast (&policy, expected);
  ash_expert_policy_end_forecast (&policy, true);
  CU_ASSERT (policy.fast[0] > 0.44);
  for (int i = 0; i < 10; i++)
    ash_expert_policy_report (&policy, before);
  CU_ASSERT (policy.fast[0] < 0.26);
}

void
add_declared_tests (CU_pSuite suite)
{
  CU_add_test (suite, "events: rows", test_rows);
  CU_add_test (suite, "events: times", test_times);
  CU_add_test (suite, "events: reserved parts make no more than the whole", test_reserved_parts);
  CU_add_test (suite, "events: expected loads of experts", test_forecast);
}
