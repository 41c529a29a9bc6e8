/**
 * @file
 * Unit tests of the map switch, with which a router outside a group changes the group's expert map:
 * which step it holds, how it finishes the change of another router, and how much memory a group
 * takes.
 *
 * Orders to ranks: prepare (copy a version of the map), hold (do not begin a step), arm (switch to
 * the prepared version at that step), go (release the step), disarm (do not switch). After a disarm
 * all ranks prepare a newer version with the old map, the fence: with it they reject arm orders of
 * the aborted version that arrive late.
 */
#include "controllers/map_switch.h"
#include "test/unit.h"

#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

/* Delivers the same report from all ranks. */
static void
report_all (struct ash_map_switch *sw, struct ash_time now, uint64_t step)
{
  for (uint32_t i = 0; i < sw->rank_count; i++)
    {
      struct ash_rank_report report = {
        .group = "g", .epoch = 1, .rank = i, .rank_count = sw->rank_count, .step = step
      };

      ash_map_switch_report (sw, now, &report);
    }
}

/* Answers all orders with 200 until a step is to be held. @return that step. */
static uint64_t
order_until_hold (struct ash_map_switch *sw, struct ash_time now)
{
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  uint32_t count = ash_map_switch_orders (sw, now, orders);

  for (uint32_t i = 0; i < count; i++)
    ash_map_switch_handle_answer (sw, now, &orders[i], 200);
  count = ash_map_switch_orders (sw, now, orders);
  CU_ASSERT (count == 1 && orders[0].kind == ASH_RANK_HOLD);
  return orders[0].step;
}

/* The held step must be near: until the group reaches it, all ranks stay armed and the map can't be
 * changed again. */
static void
test_hold_is_near (void)
{
  static const uint32_t copy_ms[ASH_LAYER_RANKS_MAX];
  struct ash_time now = { 65000000 };
  struct ash_map_switch sw;
  uint64_t step;

  /* No step has been reported yet, though streams have shown how long a pass takes. */
  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 0);
  ash_map_switch_set_pass_ms (&sw, 50);
  CU_ASSERT (ash_map_switch_ready (&sw, now));
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  CU_ASSERT_EQUAL (order_until_hold (&sw, now), 1);
  /* The group has been idle since its last step. */
  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  ash_map_switch_set_pass_ms (&sw, 50);
  now = ash_time_add (now, 60000);
  report_all (&sw, now, 100);
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  CU_ASSERT_EQUAL (order_until_hold (&sw, now), 101);
  /* The group is working: the router adds the steps that have passed since the last report. */
  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  ash_map_switch_set_pass_ms (&sw, 50);
  now = ash_time_add (now, 300);
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  CU_ASSERT (order_until_hold (&sw, now) >= 106);
  /* No stream of this router shows the time of passes, but ranks have reported steps, from which it
   * is derived. Without that, the router tried nine steps, a round trip each, before it found one
   * that had not begun. */
  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  ash_map_switch_sample_step (&sw, now, 110);
  ash_map_switch_sample_step (&sw, ash_time_add (now, 2), 111);
  now = ash_time_add (now, 130);
  ash_map_switch_sample_step (&sw, now, 112);
  now = ash_time_add (now, 300);
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  step = order_until_hold (&sw, now);
  CU_ASSERT (step >= 115 && step <= 118);
}

/* Answers all due orders, which must be of @p kind, with 200, and that of @p other_rank with @p
 * other_status. */
static void
answer_all (struct ash_map_switch *sw,
            struct ash_time now,
            enum ash_rank_order_kind kind,
            uint32_t other_rank,
            uint16_t other_status)
{
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  uint32_t count = ash_map_switch_orders (sw, now, orders);

  CU_ASSERT (count > 0);
  for (uint32_t i = 0; i < count; i++)
    {
      CU_ASSERT_EQUAL (orders[i].kind, kind);
      ash_map_switch_handle_answer (sw, now, &orders[i],
                                    orders[i].rank == other_rank ? other_status : 200);
    }
}

/* Guards against a pass with two maps: a rank that copied for longer than expected rejected its arm
 * order seven times in 0.3 s, so the change was aborted, all ranks were disarmed and the step was
 * released. The last arm order arrived after the disarm order, when the rank had just finished
 * copying, and only this rank took the new map. */
static void
test_late_arm (void)
{
  static const uint32_t copy_ms[ASH_LAYER_RANKS_MAX];
  struct ash_time now = { 65000000 };
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  struct ash_map_switch sw;
  uint64_t version;

  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  version = ash_map_switch_new_version (&sw, 1);
  ash_map_switch_begin (&sw, now, version, copy_ms);
  answer_all (&sw, now, ASH_RANK_PREPARE, 4, 0);
  answer_all (&sw, now, ASH_RANK_HOLD, 4, 0);
  /* The rank is still copying: its reports, newer than the arm orders, show nothing prepared. */
  for (int i = 0; i < 10; i++)
    {
      answer_all (&sw, now, ASH_RANK_ARM, 3, 409);
      now = ash_time_add (now, 50);
      report_all (&sw, now, 100);
      CU_ASSERT_EQUAL (sw.phase, ASH_MAP_ARM);
    }
  now = ash_time_add (now, 5000);
  answer_all (&sw, now, ASH_RANK_DISARM, 4, 0);
  /* Disarming all ranks is not enough to release the step: an arm order may still arrive late, so a
   * newer version must be prepared first (fence). */
  CU_ASSERT (ash_map_switch_needs_fence (&sw));
  CU_ASSERT_EQUAL (ash_map_switch_orders (&sw, now, orders), 0);
  ash_map_switch_set_fence (&sw, ash_map_switch_new_version (&sw, 2));
  CU_ASSERT (sw.fence > version);
  /* The late arm order was accepted after the disarm order, so the rank rejects the newer version
   * (fence) and must be disarmed again. */
  answer_all (&sw, now, ASH_RANK_PREPARE, 3, 409);
  CU_ASSERT_EQUAL (ash_map_switch_orders (&sw, now, orders), 1);
  CU_ASSERT_EQUAL (orders[0].kind, ASH_RANK_DISARM);
  CU_ASSERT_EQUAL (orders[0].version, version);
  ash_map_switch_handle_answer (&sw, now, &orders[0], 200);
  answer_all (&sw, now, ASH_RANK_PREPARE, 4, 0);
  answer_all (&sw, now, ASH_RANK_GO, 4, 0);
  CU_ASSERT_EQUAL (sw.result, ASH_MAP_ABORTED);
  CU_ASSERT (ash_map_switch_new_version (&sw, 0) > sw.fence);
}

/* A report that a rank is armed with the version must not count as the answer to the arm order: it
 * does not contain the step, and another router may have armed the rank for another step. Counting
 * it led to a pass with two maps. */
static void
test_report_does_not_confirm_arm (void)
{
  static const uint32_t copy_ms[ASH_LAYER_RANKS_MAX];
  struct ash_time now = { 65000000 };
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  struct ash_map_switch sw;

  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  answer_all (&sw, now, ASH_RANK_PREPARE, 4, 0);
  answer_all (&sw, now, ASH_RANK_HOLD, 4, 0);
  answer_all (&sw, now, ASH_RANK_ARM, 3, 0);
  now = ash_time_add (now, 400);
  for (uint32_t rank = 0; rank < 4; rank++)
    {
      struct ash_rank_report report = sw.ranks[rank].report;

      report.rank = rank;
      report.armed = sw.version;
      ash_map_switch_report (&sw, now, &report);
    }
  CU_ASSERT_EQUAL (ash_map_switch_orders (&sw, now, orders), 1);
  CU_ASSERT (orders[0].kind == ASH_RANK_ARM && orders[0].rank == 3);
  CU_ASSERT_EQUAL (sw.phase, ASH_MAP_ARM);
}

/* A rank still holds step 103 for this router, from before the router restarted, so it rejects
 * holds of step 101 and later. That does not show that those steps have begun. If the router
 * assumed so, it would release the change that another router left at step 101 before disarming the
 * ranks. */
static void
test_refused_hold (void)
{
  static const uint32_t copy_ms[ASH_LAYER_RANKS_MAX];
  struct ash_time now = { 65000000 };
  struct ash_map_switch sw;

  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  answer_all (&sw, now, ASH_RANK_PREPARE, 4, 0);
  answer_all (&sw, now, ASH_RANK_HOLD, 0, 409);
  CU_ASSERT_EQUAL (sw.last_step, 100);
  CU_ASSERT_EQUAL (sw.step, 102);
  /* Once the reports show that the held step has begun, the change is aborted, as no rank can be
   * armed for it any more. */
  answer_all (&sw, now, ASH_RANK_HOLD, 4, 0);
  answer_all (&sw, now, ASH_RANK_ARM, 3, 409);
  report_all (&sw, now, 102);
  answer_all (&sw, now, ASH_RANK_GO, 0, 409);
  CU_ASSERT_EQUAL (sw.result, ASH_MAP_ABORTED);
  /* A step that this router has released is not held again. */
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  answer_all (&sw, now, ASH_RANK_PREPARE, 4, 0);
  CU_ASSERT (sw.phase == ASH_MAP_HOLD && sw.step == 103);
  answer_all (&sw, now, ASH_RANK_HOLD, 4, 0);
  answer_all (&sw, now, ASH_RANK_ARM, 4, 0);
  answer_all (&sw, now, ASH_RANK_GO, 4, 0);
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  answer_all (&sw, now, ASH_RANK_PREPARE, 4, 0);
  CU_ASSERT_EQUAL (sw.step, 104);
}

/* A change is aborted after the ranks have prepared its version. Their reports lag, so the next
 * version must be above the former one whether a report shows it or not: ranks refuse a version
 * that is not above all they have had. */
static void
test_version_after_abort (void)
{
  static const uint32_t copy_ms[ASH_LAYER_RANKS_MAX];
  struct ash_time now = { 65000000 };
  struct ash_map_switch sw;
  uint64_t version;

  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  version = ash_map_switch_new_version (&sw, UINT64_MAX);
  ash_map_switch_begin (&sw, now, version, copy_ms);
  answer_all (&sw, now, ASH_RANK_PREPARE, 4, 0);
  while (sw.phase == ASH_MAP_HOLD)
    answer_all (&sw, now, ASH_RANK_HOLD, 0, 409);
  CU_ASSERT_EQUAL (sw.result, ASH_MAP_ABORTED);
  CU_ASSERT (ash_map_switch_new_version (&sw, 0) > version);
}

/* The rank that is watched closely is lost: the next one shows within a second that the group is
 * broken. */
static void
test_watched_rank_lost (void)
{
  struct ash_rank_report report = { .group = "g", .epoch = 1, .rank = 1, .rank_count = 4 };
  struct ash_time lost_at = { 65000000 };
  struct ash_time now = lost_at;
  struct ash_map_switch sw;

  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  while (!ash_map_switch_needs_report (&sw, now, 1))
    now = ash_time_add (now, 20);
  CU_ASSERT (ash_time_diff (lost_at, now) <= 1000);
  CU_ASSERT_FALSE (ash_map_switch_is_broken (&sw));
  report.broken = true;
  ash_map_switch_report (&sw, now, &report);
  CU_ASSERT (ash_map_switch_is_broken (&sw));
  report.broken = false;
  report.epoch = 2;
  ash_map_switch_report (&sw, now, &report);
  CU_ASSERT_FALSE (ash_map_switch_is_broken (&sw));
}

/* For a second four ranks, which wait before a step, report what they have prepared and hold.
 * @return the time afterwards. */
static struct ash_time
report_held (struct ash_map_switch *sw,
             struct ash_time now,
             const uint64_t prepared[4],
             const uint64_t held[4])
{
  for (int i = 0; i < 20; i++)
    {
      for (uint32_t rank = 0; rank < 4; rank++)
        {
          struct ash_rank_report report = {
            .group = "g",
            .epoch = 1,
            .rank = rank,
            .rank_count = 4,
            .step = 100,
            .prepared = prepared[rank],
            .held = held[rank],
          };

          ash_map_switch_report (sw, now, &report);
        }
      now = ash_time_add (now, 50);
    }
  return now;
}

/* Another router died between its hold and go orders, with its version prepared on some ranks only.
 * The router that finishes the change holds the step too, on a rank without a hold of its own
 * former incarnation, and disarms the ranks before it releases the step. */
static void
test_finish_uneven (void)
{
  static const uint64_t prepared[] = { 0, 7, 7, 7 };
  static const uint64_t held[] = { 101, 0, 0, 0 };
  struct ash_time now = { 65000000 };
  struct ash_map_switch sw;

  ash_map_switch_init (&sw, 4, 200, 0);
  now = report_held (&sw, now, prepared, held);
  answer_all (&sw, now, ASH_RANK_HOLD, 4, 0);
  CU_ASSERT_EQUAL (sw.holder, 2);
  CU_ASSERT_EQUAL (sw.step, 101);
  answer_all (&sw, now, ASH_RANK_DISARM, 4, 0);
  CU_ASSERT (ash_map_switch_needs_fence (&sw));
}

/* Two routers died, each with a hold: the group is blocked at the lower step, whichever hold is
 * reported last. That step must be finished, and a differing later report must not restart the
 * wait. */
static void
test_two_holds (void)
{
  static const uint64_t prepared[] = { 7, 7, 7, 7 };
  static const uint64_t held[] = { 0, 101, 103, 0 };
  struct ash_time now = { 65000000 };
  struct ash_map_switch sw;

  ash_map_switch_init (&sw, 4, 200, 0);
  now = report_held (&sw, now, prepared, held);
  answer_all (&sw, now, ASH_RANK_HOLD, 4, 0);
  CU_ASSERT_EQUAL (sw.step, 101);
  CU_ASSERT (sw.taking_over);
}

/* A rank where this router has already released a step, or a later one, must not hold that step
 * again: a delayed go order for the first hold would end the second. */
static void
test_released_step (void)
{
  static const uint32_t copy_ms[ASH_LAYER_RANKS_MAX];
  static const uint64_t prepared[] = { 7, 7, 7, 7 };
  static const uint64_t held[] = { 0, 0, 101, 0 };
  struct ash_time now = { 65000000 };
  struct ash_map_switch sw;

  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  for (uint64_t step = 101; step <= 102; step++)
    {
      ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, step), copy_ms);
      answer_all (&sw, now, ASH_RANK_PREPARE, 4, 0);
      CU_ASSERT_EQUAL (sw.step, step);
      answer_all (&sw, now, ASH_RANK_HOLD, 4, 0);
      answer_all (&sw, now, ASH_RANK_ARM, 4, 0);
      answer_all (&sw, now, ASH_RANK_GO, 4, 0);
    }
  now = report_held (&sw, now, prepared, held);
  answer_all (&sw, now, ASH_RANK_HOLD, 4, 0);
  CU_ASSERT_EQUAL (sw.step, 101);
  CU_ASSERT_NOT_EQUAL (sw.holder, 0);
}

/* The router that takes over a change must not disarm the version that is armed according to a
 * report from before its hold, if the ranks' lists of maps, which are newer, show another version
 * prepared. */
static void
test_stale_armed_report (void)
{
  struct ash_time now = { 65000000 };
  struct ash_map_switch sw;

  ash_map_switch_init (&sw, 4, 200, 0);
  for (uint32_t rank = 0; rank < 4; rank++)
    {
      struct ash_rank_report report = { .group = "g",
                                        .epoch = 1,
                                        .rank = rank,
                                        .rank_count = 4,
                                        .step = 100,
                                        .map = 3,
                                        .prepared = 5,
                                        .armed = rank ? 5 : 0,
                                        .held = rank ? 0 : 101 };

      ash_map_switch_report (&sw, now, &report);
    }
  now = ash_time_add (now, 130);
  for (uint32_t rank = 0; rank < 4; rank++)
    {
      ash_map_switch_set_active (&sw, rank, 1, 3);
      ash_map_switch_set_prepared (&sw, rank, 1, 7, now);
    }
  answer_all (&sw, now, ASH_RANK_HOLD, 4, 0);
  CU_ASSERT (sw.taking_over);
  CU_ASSERT_EQUAL (sw.version, 7);
}

/* @return the number of bytes, in whole pages, of freshly mapped memory that have been written. */
static size_t
written_bytes (void *memory, size_t bytes)
{
  size_t page_bytes = (size_t) sysconf (_SC_PAGESIZE);
  size_t count = (bytes + page_bytes - 1) / page_bytes;
  unsigned char *pages = calloc (count, 1);
  size_t written = 0;

  CU_ASSERT_EQUAL_FATAL (mincore (memory, bytes, pages), 0);
  for (size_t i = 0; i < count; i++)
    written += (pages[i] & 1) * page_bytes;
  free (pages);
  return written;
}

#define SMALL_RANKS 24
#define SMALL_LAYERS 12

/* A small group must not use as much memory as the largest possible group: the leading router keeps
 * the state of every group, and there may be hundreds of small ones. */
static void
test_memory_of_small_group (void)
{
  const int protection = PROT_READ | PROT_WRITE;
  const int flags = MAP_PRIVATE | MAP_ANONYMOUS;
  struct ash_layer_map *map = mmap (NULL, sizeof *map, protection, flags, -1, 0);
  struct ash_map_switch *sw = mmap (NULL, sizeof *sw, protection, flags, -1, 0);

  CU_ASSERT_FATAL (map != MAP_FAILED && sw != MAP_FAILED);
  /* A huge page would count as written as a whole. */
  madvise (map, sizeof *map, MADV_NOHUGEPAGE);
  madvise (sw, sizeof *sw, MADV_NOHUGEPAGE);
  ash_layer_map_init (map, SMALL_LAYERS, SMALL_RANKS, 12, 128);
  CU_ASSERT (written_bytes (map, sizeof *map) < sizeof *map / 10);
  ash_map_switch_init (sw, SMALL_RANKS, 100, 0);
  CU_ASSERT (written_bytes (sw, sizeof *sw) < sizeof *sw / 5);
  munmap (map, sizeof *map);
  munmap (sw, sizeof *sw);
}

void
add_map_tests (CU_pSuite suite)
{
  CU_add_test (suite, "expert layers: a step that was let go before another", test_released_step);
  CU_add_test (suite, "expert layers: what was armed before the hold", test_stale_armed_report);
  CU_add_test (suite, "groups: memory follows the size", test_memory_of_small_group);
  CU_add_test (suite, "expert layers: a hold is near", test_hold_is_near);
  CU_add_test (suite, "expert layers: an arm after the disarm", test_late_arm);
  CU_add_test (suite, "expert layers: a refused hold", test_refused_hold);
  CU_add_test (suite, "expert layers: a report is no answer", test_report_does_not_confirm_arm);
  CU_add_test (suite, "expert layers: finishing what is prepared unevenly", test_finish_uneven);
  CU_add_test (suite, "expert layers: two holds", test_two_holds);
  CU_add_test (suite, "expert layers: the watched rank is lost", test_watched_rank_lost);
  CU_add_test (suite, "expert layers: the version after an abort", test_version_after_abort);
}
