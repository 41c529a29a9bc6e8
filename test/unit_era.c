/**
 * @file
 * Unit tests of a store that is restored from an older copy: the order of store positions, the
 * Store-Era header, and endpoints that the store lists again after they were removed.
 */
#include "controllers/tombstones.h"
#include "controllers/store_position.h"
#include "platform/store.h"
#include "test/unit.h"

static struct ash_time
at (int64_t ms)
{
  return (struct ash_time){ ms };
}

static void
test_store_positions (void)
{
  CU_ASSERT (ash_store_position (3, 1) > ash_store_position (2, ASH_STORE_POSITION_REVISIONS - 1));
  CU_ASSERT (ash_store_position (2, 8) > ash_store_position (2, 7));
  CU_ASSERT_EQUAL (ash_store_position_era (ash_store_position (ASH_STORE_POSITION_ERA_MAX, 5)),
                   ASH_STORE_POSITION_ERA_MAX);
  CU_ASSERT_EQUAL (ash_store_position_revision (ash_store_position (ASH_STORE_POSITION_ERA_MAX, 5)),
                   5);
  /* Era 0: the store sends no era. Revision 0: there is no store position. */
  CU_ASSERT_EQUAL (ash_store_position (0, 282), 282);
  CU_ASSERT_EQUAL (ash_store_position (3, 0), 0);
}

static enum ash_store_era
read_era (const char *first, const char *second, uint64_t *era)
{
  struct ash_http_head head = { .field_count = 1 };

  head.fields[0] = (struct ash_http_field){ "Content-Type", "application/json" };
  if (first)
    head.fields[head.field_count++] = (struct ash_http_field){ "store-era", first };
  if (second)
    head.fields[head.field_count++] = (struct ash_http_field){ "Store-Era", second };
  return ash_platform_store_era (&head, era);
}

static void
test_era_header (void)
{
  static const char *const bad[] = { "",    "-1",  "+1",  " 1",       "1 ",
                                     "1,2", "0x1", "1e3", "18000001", "99999999999999999999999" };
  uint64_t era = 0;

  CU_ASSERT_EQUAL (read_era (NULL, NULL, &era), ASH_STORE_ERA_NONE);
  CU_ASSERT_EQUAL (read_era ("0", NULL, &era), ASH_STORE_ERA_VALID);
  CU_ASSERT_EQUAL (read_era ("41", NULL, &era), ASH_STORE_ERA_VALID);
  CU_ASSERT_EQUAL (era, 41);
  CU_ASSERT_EQUAL (read_era ("42", "42", &era), ASH_STORE_ERA_VALID);
  CU_ASSERT_EQUAL (read_era ("42", "43", &era), ASH_STORE_ERA_INVALID);
  CU_ASSERT_EQUAL (read_era ("42", "x", &era), ASH_STORE_ERA_INVALID);
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_EQUAL (read_era (bad[i], NULL, &era), ASH_STORE_ERA_INVALID);
}

#define ENDPOINT 77

static void
add_tombstone (struct ash_tombstones *tombstones, int64_t born_ms, uint64_t era, bool draining)
{
  ash_tombstones_add (tombstones,
                      &(struct ash_tombstone){ ENDPOINT, born_ms, era, .draining = draining });
}

/* After an endpoint went missing from the list, a listing of it in a later era is treated as stale
 * for 6 s: by then a store entry that nobody renews is no longer listed. */
static void
test_tombstone_missing (void)
{
  struct ash_tombstones tombstones = { 0 };

  CU_ASSERT_FALSE (ash_tombstones_is_stale (&tombstones, at (1), ENDPOINT, 5, 3));
  add_tombstone (&tombstones, 5, 3, false);
  CU_ASSERT (ash_tombstones_is_stale (&tombstones, at (100), ENDPOINT, 5, 4));
  CU_ASSERT (ash_tombstones_is_stale (&tombstones, at (6099), ENDPOINT, 5, 4));
  CU_ASSERT_EQUAL (ash_tombstones_pop_expired (&tombstones, at (6099)), 0);
  CU_ASSERT_EQUAL (ash_tombstones_pop_expired (&tombstones, at (6100)), ENDPOINT);
  CU_ASSERT_EQUAL (ash_tombstones_pop_expired (&tombstones, at (6100)), 0);
  CU_ASSERT_FALSE (ash_tombstones_is_stale (&tombstones, at (6100), ENDPOINT, 5, 4));
  /* A listing in the era of the removal is not stale, since it must be a new write by the endpoint
   * itself. Nor is a listing of another incarnation, even one with an earlier start time: the
   * clocks of boxes may differ. */
  add_tombstone (&tombstones, 5, 4, false);
  CU_ASSERT_FALSE (ash_tombstones_is_stale (&tombstones, at (7000), ENDPOINT, 5, 4));
  add_tombstone (&tombstones, 5, 4, false);
  CU_ASSERT_FALSE (ash_tombstones_is_stale (&tombstones, at (7000), ENDPOINT, 6, 5));
  add_tombstone (&tombstones, 5, 4, true);
  CU_ASSERT_FALSE (ash_tombstones_is_stale (&tombstones, at (7000), ENDPOINT, 4, 5));
}

/* The tombstone of an endpoint that announced that it was leaving applies for the whole
 * incarnation, however long an older copy lists the endpoint as ready. */
static void
test_tombstone_draining (void)
{
  struct ash_tombstones tombstones = { 0 };

  add_tombstone (&tombstones, 5, 3, true);
  CU_ASSERT (ash_tombstones_is_stale (&tombstones, at (100), ENDPOINT, 5, 4));
  CU_ASSERT (ash_tombstones_is_stale (&tombstones, at (100000), ENDPOINT, 5, 6));
  CU_ASSERT_EQUAL (ash_tombstones_pop_expired (&tombstones, at (100000)), 0);
  /* The endpoint then goes missing from the list as well. */
  add_tombstone (&tombstones, 5, 6, false);
  CU_ASSERT (ash_tombstones_is_stale (&tombstones, at (200000), ENDPOINT, 5, 7));
  CU_ASSERT (ash_tombstones_is_stale (&tombstones, at (300000), ENDPOINT, 5, 7));
  CU_ASSERT_FALSE (ash_tombstones_is_stale (&tombstones, at (300000), ENDPOINT, 9, 7));
  /* When the table is full, the oldest tombstones are dropped. */
  add_tombstone (&tombstones, 5, 3, true);
  for (uint64_t i = 0; i < ASH_TOMBSTONES_MAX; i++)
    ash_tombstones_add (&tombstones, &(struct ash_tombstone){ 1000 + i, 1, 3, .draining = true });
  CU_ASSERT_FALSE (ash_tombstones_is_stale (&tombstones, at (1), ENDPOINT, 5, 4));
}

void
add_era_tests (CU_pSuite suite)
{
  CU_add_test (suite, "older copy: places", test_store_positions);
  CU_add_test (suite, "older copy: the era as told", test_era_header);
  CU_add_test (suite, "older copy: one that was missing", test_tombstone_missing);
  CU_add_test (suite, "older copy: one that was leaving", test_tombstone_draining);
}
