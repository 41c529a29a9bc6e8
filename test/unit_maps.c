/**
 * @file
 * Unit tests of a change of a group's map from outside: when it begins, what it holds, what another
 * router finishes, and what a group takes of memory.
 */
#include "controllers/map_switch.h"
#include "test/unit.h"

#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

/* All ranks tell the same. */
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

/* Answers whatever is ordered until a step is to be held. @return that step. */
static uint64_t
held_step (struct ash_map_switch *sw, struct ash_time now)
{
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  uint32_t count = ash_map_switch_orders (sw, now, orders);

  for (uint32_t i = 0; i < count; i++)
    ash_map_switch_handle_answer (sw, now, &orders[i], 200);
  count = ash_map_switch_orders (sw, now, orders);
  CU_ASSERT (count == 1 && orders[0].kind == ASH_RANK_HOLD);
  return orders[0].step;
}

/* A step that is held far ahead would leave all ranks armed, and the map as it is, for as
 * long as it takes to get there. */
static void
test_hold_is_near (void)
{
  static const uint32_t copy_ms[ASH_LAYER_RANKS_MAX];
  struct ash_time now = { 65000000 };
  struct ash_map_switch sw;
  uint64_t step;

  /* No step was seen as yet, though streams have told how long a pass takes. */
  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 0);
  ash_map_switch_set_pass_ms (&sw, 50);
  CU_ASSERT (ash_map_switch_ready (&sw, now));
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  CU_ASSERT_EQUAL (held_step (&sw, now), 1);
  /* The group has been idle since its last step. */
  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  ash_map_switch_set_pass_ms (&sw, 50);
  now = ash_time_add (now, 60000);
  report_all (&sw, now, 100);
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  CU_ASSERT_EQUAL (held_step (&sw, now), 101);
  /* It is at work: what it has gone on since it told is counted in. */
  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  ash_map_switch_set_pass_ms (&sw, 50);
  now = ash_time_add (now, 300);
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  CU_ASSERT (held_step (&sw, now) >= 106);
  /* No stream of this router shows its passes, but ranks have told steps: of the second group of a
   * deployment nine steps were tried, each a round trip, before one had not begun. */
  ash_map_switch_init (&sw, 4, 200, 0);
  report_all (&sw, now, 100);
  ash_map_switch_sample_step (&sw, now, 110);
  ash_map_switch_sample_step (&sw, ash_time_add (now, 2), 111);
  now = ash_time_add (now, 130);
  ash_map_switch_sample_step (&sw, now, 112);
  now = ash_time_add (now, 300);
  ash_map_switch_begin (&sw, now, ash_map_switch_new_version (&sw, 1), copy_ms);
  step = held_step (&sw, now);
  CU_ASSERT (step >= 115 && step <= 118);
}

/* Answers all that is due, which must be of that kind; that rank with another status. */
static void
answer_all (struct ash_map_switch *sw,
            struct ash_time now,
            enum ash_rank_order_kind kind,
            uint32_t odd_rank,
            uint16_t odd_status)
{
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  uint32_t count = ash_map_switch_orders (sw, now, orders);

  CU_ASSERT (count > 0);
  for (uint32_t i = 0; i < count; i++)
    {
      CU_ASSERT_EQUAL (orders[i].kind, kind);
      ash_map_switch_handle_answer (sw, now, &orders[i],
                                    orders[i].rank == odd_rank ? odd_status : 200);
    }
}

/* Users of a group had passes with two maps: a rank that copied longer than expected refused its
 * arm seven times in 0.3 s, which was taken for never; all were disarmed and the step let go. The
 * arm sent last came after the disarm, as the rank had just copied all, and was taken there alone.
 * Seen at 12.368 s of a day of rolling stops, step 108: one rank with version 6127193. */
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
  /* It still copies: its reports, newer than the arms, tell of nothing prepared. */
  for (int i = 0; i < 10; i++)
    {
      answer_all (&sw, now, ASH_RANK_ARM, 3, 409);
      now = ash_time_add (now, 50);
      report_all (&sw, now, 100);
      CU_ASSERT_EQUAL (sw.phase, ASH_MAP_ARM);
    }
  now = ash_time_add (now, 5000);
  answer_all (&sw, now, ASH_RANK_DISARM, 4, 0);
  /* Disarmed is not enough to let go. */
  CU_ASSERT (ash_map_switch_needs_fence (&sw));
  CU_ASSERT_EQUAL (ash_map_switch_orders (&sw, now, orders), 0);
  ash_map_switch_set_fence (&sw, ash_map_switch_new_version (&sw, 2));
  CU_ASSERT (sw.fence > version);
  /* The late arm was taken after the disarm: the rank refuses the fence. */
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

/* A report that a rank is armed with the version does not say for which step: another router may
 * have armed it for another one. Taken for the answer to the arm, a pass had two maps. */
static void
test_report_is_no_answer (void)
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

/* A rank of this router's still holds step 103, from before it was started anew; so its holds of
 * 101 and on are refused. That does not tell that those steps have begun: taken for it, the change
 * that another router left at 101 was let go before anything was taken back. */
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
  /* Once another router's word is that the step has begun, nothing is armed any more. */
  answer_all (&sw, now, ASH_RANK_HOLD, 4, 0);
  answer_all (&sw, now, ASH_RANK_ARM, 3, 409);
  report_all (&sw, now, 102);
  answer_all (&sw, now, ASH_RANK_GO, 0, 409);
  CU_ASSERT_EQUAL (sw.result, ASH_MAP_ABORTED);
  /* A step that was let go here is not held again. */
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

/* Four ranks that stand before a step tell for a second what they have prepared and hold. @return
 * the time after it. */
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

/* A router died between hold and go, ranks with its version prepared unevenly; the one that
 * finishes holds the step too, beside a hold of its own former life, and takes back before it lets
 * go. */
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

/* Two routers died, each with a hold: the group stands at the lower step, whichever is told last,
 * and that one is finished without a new wait each time. */
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

/* Another router's order to go for a first hold of a step would end a second one at that rank. */
static void
test_let_go_before (void)
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

/* What a report from before the hold told to be armed is not what is to be taken back. */
static void
test_armed_before (void)
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

/* @return bytes of fresh memory that were written. */
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

/* The router that leads keeps each group, and there may be hundreds of small ones. */
static void
test_memory_of_small_group (void)
{
  const int protection = PROT_READ | PROT_WRITE;
  const int flags = MAP_PRIVATE | MAP_ANONYMOUS;
  struct ash_layer_map *map = mmap (NULL, sizeof *map, protection, flags, -1, 0);
  struct ash_map_switch *sw = mmap (NULL, sizeof *sw, protection, flags, -1, 0);

  CU_ASSERT_FATAL (map != MAP_FAILED && sw != MAP_FAILED);
  /* A huge page would count as written whole. */
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
  CU_add_test (suite, "expert layers: a step that was let go before another", test_let_go_before);
  CU_add_test (suite, "expert layers: what was armed before the hold", test_armed_before);
  CU_add_test (suite, "groups: memory follows the size", test_memory_of_small_group);
  CU_add_test (suite, "expert layers: a hold is near", test_hold_is_near);
  CU_add_test (suite, "expert layers: an arm after the disarm", test_late_arm);
  CU_add_test (suite, "expert layers: a refused hold", test_refused_hold);
  CU_add_test (suite, "expert layers: a report is no answer", test_report_is_no_answer);
  CU_add_test (suite, "expert layers: finishing what is prepared unevenly", test_finish_uneven);
  CU_add_test (suite, "expert layers: two holds", test_two_holds);
}
