/**
 * @file
 * Random schedules of changes of a group's map, ordered by routers from outside:
 * orders that are lost, answered late, overtaken by later ones or carried out seconds
 * late, ranks that copy for longer than expected, routers that die or are paused at any
 * point, two that lead at once, ranks that restart. In each pass all ranks must use one
 * and the same map, and a group that is left alone goes on.
 */
#include "common/random.h"
#include "controllers/map_switch.h"
#include "test/workers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RANKS 4
#define ROUTERS 2
#define TICK_MS 4
#define PASS_MS 48
#define LAG_MS 200
#define COPY_MS 150
#define LISTS_AGAIN_MS 400

/* In one schedule of three, copies take up to so long, and some orders so long on their way:
 * those sent later on another connection pass them. */
#define SLOW_COPY_MOST_MS 600
#define SLOW_ORDER_MOST_MS 300

/* Trouble lasts so long, then the group has so long to be in order again. */
#define TROUBLE_MS 12000
#define CALM_MS 26000
#define MESSAGES_MAX 512

/* Longest that a group may stand still once all is calm. */
#define STAND_MOST_MS 3000

/* Routers start long after their clock, and the group makes its first pass some time after. */
#define CLOCK_START_MS 60000000
#define FIRST_PASS_MOST_MS 1500

/* Furthest ahead that a rank may be armed: till then it takes no other map. */
#define ARMED_AHEAD_MOST 100

struct rank
{
  uint64_t map;
  uint64_t prepared;
  int64_t copied_ms; /* when what is prepared is all there */
  uint64_t had;
  uint64_t armed;
  uint64_t armed_step;
  uint64_t held;
};

/* Something that happens later: an order or a question for its lists at a rank, the answer, or a
 * report. */
struct message
{
  bool used;
  int64_t due_ms;
  bool is_answer;
  bool is_report;
  bool is_lists;
  struct ash_time asked; /* the question for lists */
  bool unanswered;
  int router;
  uint32_t life; /* of the router */
  uint16_t status;
  struct ash_rank_order order;
  struct ash_rank_report report;
};

struct router
{
  struct ash_map_switch sw;
  uint32_t life;
  bool leads;
  int64_t paused_until;
  int64_t asked[RANKS];
  int64_t asked_lists[RANKS];
};

struct run
{
  struct ash_random random;
  int64_t now_ms;
  uint64_t epoch;
  uint64_t step;
  int64_t next_pass_ms;
  int64_t last_pass_ms;
  struct rank ranks[RANKS];
  struct router routers[ROUTERS];
  struct message messages[MESSAGES_MAX];
  uint32_t loss; /* of a hundred orders, those whose answer is lost */
  uint32_t late; /* those that are carried out seconds late */
  uint32_t slow; /* those that later ones may pass */
  bool two_lead;
  bool traced;
  const char *broken;
};

static bool
chance (struct run *run, uint32_t of_hundred)
{
  return ash_random_below (&run->random, 100) < of_hundred;
}

static struct ash_time
now (const struct run *run)
{
  return (struct ash_time){ CLOCK_START_MS + run->now_ms };
}

static void
post (struct run *run, const struct message *message)
{
  for (int i = 0; i < MESSAGES_MAX; i++)
    if (!run->messages[i].used)
      {
        run->messages[i] = *message;
        run->messages[i].used = true;
        return;
      }
}

enum
{
  TOTAL_CHANGED,
  TOTAL_FINISHED,
  TOTAL_GIVEN_UP,
  TOTAL_STEPS,
  TOTAL_COUNT,
};
static unsigned long totals[TOTAL_COUNT];

/* ---- the group ---- */

static uint16_t
prepare (struct run *run, struct rank *rank, const struct ash_rank_order *order)
{
  if (order->version == rank->prepared)
    return run->now_ms >= rank->copied_ms ? 200 : 202;
  if (order->version <= rank->had || rank->armed)
    return 409;
  rank->had = order->version;
  rank->prepared = order->version;
  rank->copied_ms =
      run->now_ms + ash_random_below (&run->random, run->slow ? SLOW_COPY_MOST_MS : COPY_MS);
  return 202;
}

static uint16_t
arm (struct run *run, struct rank *rank, const struct ash_rank_order *order)
{
  if (rank->armed == order->version && rank->armed_step == order->step)
    return 200;
  if (order->step <= run->step || rank->prepared != order->version || run->now_ms < rank->copied_ms)
    return 409;
  rank->armed = order->version;
  rank->armed_step = order->step;
  if (order->step > run->step + ARMED_AHEAD_MOST)
    run->broken = "a rank is armed for a step far ahead";
  return 202;
}

static uint16_t
carry_out (struct run *run, const struct ash_rank_order *order)
{
  struct rank *rank = &run->ranks[order->rank];

  if (order->epoch != run->epoch)
    return 409;
  switch (order->kind)
    {
    case ASH_RANK_PREPARE:
      return prepare (run, rank, order);
    case ASH_RANK_ARM:
      return arm (run, rank, order);
    case ASH_RANK_HOLD:
      if (rank->held == order->step)
        return 200;
      if (order->step <= run->step || rank->held)
        return 409;
      rank->held = order->step;
      return 202;
    case ASH_RANK_DISARM:
      if (rank->map == order->version)
        return 409;
      if (rank->armed == order->version)
        rank->armed = 0;
      return 200;
    case ASH_RANK_GO:
      if (rank->held != order->step)
        return 409;
      rank->held = 0;
      return 200;
    }
  return 400;
}

static void
begin_pass (struct run *run)
{
  uint64_t step = run->step + 1;

  for (int i = 0; i < RANKS; i++)
    if (run->ranks[i].held == step)
      return;
  run->step = step;
  run->last_pass_ms = run->now_ms;
  for (int i = 0; i < RANKS; i++)
    if (run->ranks[i].armed && run->ranks[i].armed_step == step)
      {
        run->ranks[i].map = run->ranks[i].armed;
        run->ranks[i].armed = 0;
      }
  for (int i = 1; i < RANKS; i++)
    if (run->ranks[i].map != run->ranks[0].map)
      run->broken = "a pass with two maps";
}

static void
form_anew (struct run *run)
{
  memset (run->ranks, 0, sizeof run->ranks);
  run->epoch++;
  run->step = 0;
}

static struct ash_rank_report
report_of (const struct run *run, uint32_t i)
{
  const struct rank *rank = &run->ranks[i];
  struct ash_rank_report report = {
    .epoch = run->epoch,
    .rank = i,
    .rank_count = RANKS,
    .active = 1,
    .step = run->step,
    .map = rank->map,
    .armed = rank->armed,
    .held = rank->held,
  };

  if (run->now_ms >= rank->copied_ms)
    report.prepared = rank->prepared;
  return report;
}

/* ---- routers ---- */

static void
send_order (struct run *run, int r, const struct ash_rank_order *order)
{
  struct message message = {
    .due_ms = run->now_ms + 1 + ash_random_below (&run->random, 6),
    .router = r,
    .life = run->routers[r].life,
    .order = *order,
  };

  if (run->slow && chance (run, run->slow))
    message.due_ms += ash_random_below (&run->random, SLOW_ORDER_MOST_MS);
  if (chance (run, run->loss))
    message.unanswered = true;
  if (chance (run, run->late))
    {
      message.unanswered = true;
      message.due_ms += 2000 + ash_random_below (&run->random, 10000);
    }
  post (run, &message);
}

static void
ask_report (struct run *run, int r, uint32_t rank)
{
  struct message message = {
    /* As it stands now, told when it is old. */
    .due_ms = run->now_ms + LAG_MS + ash_random_below (&run->random, 6),
    .is_report = true,
    .router = r,
    .life = run->routers[r].life,
    .report = report_of (run, rank),
  };

  run->routers[r].asked[rank] = run->now_ms;
  if (!chance (run, run->loss))
    post (run, &message);
}

static void
ask_lists (struct run *run, int r, uint32_t rank)
{
  struct message message = {
    .due_ms = run->now_ms + 1 + ash_random_below (&run->random, 6),
    .is_lists = true,
    .asked = now (run),
    .router = r,
    .life = run->routers[r].life,
    .report = { .rank = rank },
  };

  run->routers[r].asked_lists[rank] = run->now_ms;
  if (!chance (run, run->loss))
    post (run, &message);
}

static void
forget (struct run *run, int r)
{
  run->routers[r].life++;
  ash_map_switch_init (&run->routers[r].sw, RANKS, LAG_MS, (uint32_t) r);
  memset (run->routers[r].asked, 0, sizeof run->routers[r].asked);
  memset (run->routers[r].asked_lists, 0, sizeof run->routers[r].asked_lists);
}

static void
count_result (struct router *router)
{
  switch (router->sw.result)
    {
    case ASH_MAP_CHANGED:
      totals[TOTAL_CHANGED]++;
      break;
    case ASH_MAP_TAKEN_OVER:
      totals[TOTAL_FINISHED]++;
      break;
    case ASH_MAP_ABORTED:
    case ASH_MAP_GROUP_REFORMED:
      totals[TOTAL_GIVEN_UP]++;
      break;
    case ASH_MAP_NONE:
      break;
    }
  router->sw.result = ASH_MAP_NONE;
}

static void
run_router (struct run *run, int r)
{
  static const uint32_t copy_ms[ASH_LAYER_RANKS_MAX] = { COPY_MS, COPY_MS, COPY_MS, COPY_MS };
  struct router *router = &run->routers[r];
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  uint32_t count;

  /* One that no longer leads finishes what holds the group. */
  if ((!router->leads && router->sw.phase < ASH_MAP_HOLD) || run->now_ms < router->paused_until)
    return;
  /* Streams tell how long a pass takes, sooner than reports tell of its step. */
  if (run->step && chance (run, 20))
    ash_map_switch_set_pass_ms (&router->sw, PASS_MS);
  for (uint32_t i = 0; i < RANKS; i++)
    if (run->now_ms - router->asked[i] > 100 &&
        ash_map_switch_needs_report (&router->sw, now (run), i))
      ask_report (run, r, i);
  for (uint32_t i = 0; i < RANKS; i++)
    if (run->now_ms - router->asked_lists[i] > LISTS_AGAIN_MS &&
        ash_map_switch_needs_lists (&router->sw, i))
      ask_lists (run, r, i);
  if (router->leads && ash_map_switch_ready (&router->sw, now (run)) && chance (run, 10))
    ash_map_switch_begin (&router->sw, now (run),
                          ash_map_switch_new_version (&router->sw, ash_random_next (&run->random)),
                          copy_ms);
  /* What map is in use may have to be asked first. */
  if (ash_map_switch_needs_fence (&router->sw) && chance (run, 50))
    ash_map_switch_set_fence (
        &router->sw, ash_map_switch_new_version (&router->sw, ash_random_next (&run->random)));
  count = ash_map_switch_orders (&router->sw, now (run), orders);
  count_result (router);
  for (uint32_t i = 0; i < count; i++)
    send_order (run, r, &orders[i]);
}

/* A rank is asked for its lists, or its answer comes. */
static void
deliver_lists (struct run *run, struct message *message, bool here)
{
  struct ash_map_switch *sw = &run->routers[message->router].sw;
  const struct ash_rank_report *report = &message->report;

  if (!message->is_answer)
    {
      message->report = report_of (run, report->rank);
      message->is_answer = true;
      message->due_ms = run->now_ms + 1 + ash_random_below (&run->random, 5);
      post (run, message);
    }
  else if (here)
    {
      ash_map_switch_set_active (sw, report->rank, report->epoch, report->map);
      ash_map_switch_set_prepared (sw, report->rank, report->epoch, report->prepared,
                                   message->asked);
    }
}

static void
deliver (struct run *run, struct message *message)
{
  struct message copy = *message;
  struct router *router = &run->routers[copy.router];
  bool here = copy.life == router->life && run->now_ms >= router->paused_until;

  message->used = false;
  if (copy.is_lists)
    deliver_lists (run, &copy, here);
  else if (copy.is_report)
    {
      if (here)
        ash_map_switch_report (&router->sw, now (run), &copy.report);
    }
  else if (copy.is_answer)
    {
      if (here)
        ash_map_switch_handle_answer (&router->sw, now (run), &copy.order, copy.status);
    }
  else
    {
      copy.status = carry_out (run, &copy.order);
      if (run->traced)
        printf ("%lld router %d life %u: order %d at rank %u epoch %llu version %llx step %llu: "
                "%u%s (step now %llu)\n",
                (long long) run->now_ms, copy.router, copy.life, (int) copy.order.kind,
                copy.order.rank, (unsigned long long) copy.order.epoch,
                (unsigned long long) copy.order.version, (unsigned long long) copy.order.step,
                copy.status, copy.unanswered ? " unanswered" : "", (unsigned long long) run->step);
      copy.is_answer = true;
      copy.due_ms = run->now_ms + 1 + ash_random_below (&run->random, 5);
      if (!copy.unanswered)
        post (run, &copy);
    }
}

/* ---- trouble ---- */

static void
make_trouble (struct run *run)
{
  int r = (int) ash_random_below (&run->random, ROUTERS);
  struct router *router = &run->routers[r];

  switch (ash_random_below (&run->random, 5))
    {
    case 0: /* killed; the other one leads */
      forget (run, r);
      router->leads = false;
      run->routers[1 - r].leads = true;
      break;
    case 1: /* paused: wakes and forgets */
      if (run->now_ms < router->paused_until)
        break;
      router->paused_until = run->now_ms + 1000 + ash_random_below (&run->random, 3000);
      forget (run, r);
      router->leads = false;
      run->routers[1 - r].leads = true;
      break;
    case 2: /* both believe that they lead, or one only */
      router->leads = true;
      run->routers[1 - r].leads = run->two_lead;
      break;
    case 3:
      form_anew (run);
      break;
    default:
      break;
    }
}

static void
calm_down (struct run *run)
{
  run->loss = 0;
  run->late = 0;
  run->slow = 0;
  run->routers[0].leads = true;
  run->routers[1].leads = false;
}

static void
play (struct run *run)
{
  run->next_pass_ms = ash_random_below (&run->random, FIRST_PASS_MOST_MS);
  while (run->now_ms < TROUBLE_MS + CALM_MS && !run->broken)
    {
      run->now_ms += TICK_MS;
      if (run->now_ms < TROUBLE_MS)
        {
          if (ash_random_below (&run->random, 400) == 0)
            make_trouble (run);
        }
      else if (run->now_ms < TROUBLE_MS + TICK_MS)
        calm_down (run);
      for (int i = 0; i < MESSAGES_MAX; i++)
        if (run->messages[i].used && run->messages[i].due_ms <= run->now_ms)
          deliver (run, &run->messages[i]);
      for (int r = 0; r < ROUTERS; r++)
        run_router (run, r);
      if (run->now_ms >= run->next_pass_ms)
        {
          begin_pass (run);
          run->next_pass_ms = run->now_ms + PASS_MS;
        }
      /* Late orders come for twelve seconds after the trouble. */
      if (run->now_ms > TROUBLE_MS + 15000 && run->now_ms - run->last_pass_ms > STAND_MOST_MS)
        run->broken = "the group stands still";
    }
}

static const char *
run_schedule (uint64_t seed, int traced)
{
  struct run *run = calloc (1, sizeof *run);
  const char *broken;

  if (!run)
    return "no memory";
  ash_random_init (&run->random, seed);
  run->traced = traced != 0;
  run->epoch = 1;
  run->loss = ash_random_below (&run->random, 25);
  run->late = ash_random_below (&run->random, 3) ? 0 : ash_random_below (&run->random, 20);
  run->two_lead = seed % 4 == 0;
  run->slow = seed % 3 == 1 ? 1 + ash_random_below (&run->random, 25) : 0;
  for (int r = 0; r < ROUTERS; r++)
    ash_map_switch_init (&run->routers[r].sw, RANKS, LAG_MS, (uint32_t) r);
  run->routers[0].leads = true;
  play (run);
  broken = run->broken;
  fflush (stdout);
  totals[TOTAL_STEPS] += run->step;
  free (run);
  return broken;
}

int
main (int argc, char **argv)
{
  const struct workers workers = { run_schedule, totals, TOTAL_COUNT };
  int failures = workers_run (&workers, argc, argv);

  printf ("%lu changes done, %lu finished for another, %lu given up, %lu steps\n",
          totals[TOTAL_CHANGED], totals[TOTAL_FINISHED], totals[TOTAL_GIVEN_UP],
          totals[TOTAL_STEPS]);
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
