/**
 * @file
 * Random schedules of changes of a group's map by routers outside the group: orders that
 * are lost, answered late, overtaken by later ones or carried out seconds late, ranks that
 * copy for longer than expected, routers that are killed or suspended at any point, two
 * routers that lead at once, groups that form anew. In each pass all ranks must use the same
 * map, and a group must make progress once the faults have ended.
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
#define LISTS_RETRY_MS 400

/* In a third of the schedules copying takes up to this long, and some orders are delayed by up to
 * this long: later orders on another connection overtake them. */
#define SLOW_COPY_MAX_MS 600
#define SLOW_ORDER_MAX_MS 300

/* Duration of the faults, then of the recovery, by the end of which the group must make
 * progress. */
#define FAULTS_MS 12000
#define RECOVERY_MS 26000
#define MESSAGES_MAX 512

/* The longest time without a pass after the faults have ended. */
#define STALL_MAX_MS 3000

/* Routers start with a clock far from 0; the first pass of the group follows some time later. */
#define CLOCK_START_MS 60000000
#define FIRST_PASS_MAX_MS 1500

/* The most steps in advance that a rank may be armed: until that step it accepts no other map. */
#define ARMED_AHEAD_MAX_STEPS 100

struct rank
{
  uint64_t map;
  uint64_t prepared;
  int64_t copied_ms; /* when copying the prepared map ends */
  uint64_t last_prepared;
  uint64_t armed;
  uint64_t armed_step;
  uint64_t held;
};

/* A message that is delivered later: to a rank an order or a request for its lists; to a router an
 * answer or a report. */
struct message
{
  bool used;
  int64_t due_ms;
  bool is_answer;
  bool is_report;
  bool is_lists;
  struct ash_time asked; /* when the lists were requested */
  bool unanswered;
  int router;
  uint32_t incarnation; /* incarnation of the router */
  uint16_t status;
  struct ash_rank_order order;
  struct ash_rank_report report;
};

struct router
{
  struct ash_map_switch map_switch;
  uint32_t incarnation;
  bool leads;
  int64_t paused_until_ms;
  int64_t asked[RANKS];
  int64_t lists_requested_ms[RANKS];
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
  uint32_t loss_percent; /* percentage of orders whose answer is lost */
  uint32_t late_percent; /* percentage of orders that are carried out seconds late */
  uint32_t slow_percent; /* percentage of orders that later ones may overtake */
  bool two_leaders;
  bool traced;
  const char *violation;
};

static bool
chance (struct run *run, uint32_t percent)
{
  return ash_random_below (&run->random, 100) < percent;
}

static struct ash_time
now (const struct run *run)
{
  return (struct ash_time){ CLOCK_START_MS + run->now_ms };
}

static void
enqueue (struct run *run, const struct message *message)
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
  if (order->version <= rank->last_prepared || rank->armed)
    return 409;
  rank->last_prepared = order->version;
  rank->prepared = order->version;
  rank->copied_ms =
      run->now_ms + ash_random_below (&run->random, run->slow_percent ? SLOW_COPY_MAX_MS : COPY_MS);
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
  if (order->step > run->step + ARMED_AHEAD_MAX_STEPS)
    run->violation = "a rank is armed for a step far ahead";
  return 202;
}

static uint16_t
apply_order (struct run *run, const struct ash_rank_order *order)
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
      run->violation = "a pass with two maps";
}

static void
reform_group (struct run *run)
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
    .incarnation = run->routers[r].incarnation,
    .order = *order,
  };

  if (run->slow_percent && chance (run, run->slow_percent))
    message.due_ms += ash_random_below (&run->random, SLOW_ORDER_MAX_MS);
  if (chance (run, run->loss_percent))
    message.unanswered = true;
  if (chance (run, run->late_percent))
    {
      message.unanswered = true;
      message.due_ms += 2000 + ash_random_below (&run->random, 10000);
    }
  enqueue (run, &message);
}

static void
request_report (struct run *run, int r, uint32_t rank)
{
  struct message message = {
    /* The state of now, delivered with the lag of reports. */
    .due_ms = run->now_ms + LAG_MS + ash_random_below (&run->random, 6),
    .is_report = true,
    .router = r,
    .incarnation = run->routers[r].incarnation,
    .report = report_of (run, rank),
  };

  run->routers[r].asked[rank] = run->now_ms;
  if (!chance (run, run->loss_percent))
    enqueue (run, &message);
}

static void
request_lists (struct run *run, int r, uint32_t rank)
{
  struct message message = {
    .due_ms = run->now_ms + 1 + ash_random_below (&run->random, 6),
    .is_lists = true,
    .asked = now (run),
    .router = r,
    .incarnation = run->routers[r].incarnation,
    .report = { .rank = rank },
  };

  run->routers[r].lists_requested_ms[rank] = run->now_ms;
  if (!chance (run, run->loss_percent))
    enqueue (run, &message);
}

static void
restart_router (struct run *run, int r)
{
  run->routers[r].incarnation++;
  ash_map_switch_init (&run->routers[r].map_switch, RANKS, LAG_MS, (uint32_t) r);
  memset (run->routers[r].asked, 0, sizeof run->routers[r].asked);
  memset (run->routers[r].lists_requested_ms, 0, sizeof run->routers[r].lists_requested_ms);
}

static void
count_result (struct router *router)
{
  switch (router->map_switch.result)
    {
    case ASH_MAP_CHANGED:
      totals[TOTAL_CHANGED]++;
      break;
    case ASH_MAP_FINISHED:
      totals[TOTAL_FINISHED]++;
      break;
    case ASH_MAP_ABORTED:
    case ASH_MAP_GROUP_REFORMED:
      totals[TOTAL_GIVEN_UP]++;
      break;
    case ASH_MAP_NONE:
      break;
    }
  router->map_switch.result = ASH_MAP_NONE;
}

static void
run_router (struct run *run, int r)
{
  static const uint32_t copy_ms[ASH_LAYER_RANKS_MAX] = { COPY_MS, COPY_MS, COPY_MS, COPY_MS };
  struct router *router = &run->routers[r];
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  uint32_t count;

  /* A router that no longer leads still finishes a change in which a step is held. */
  if ((!router->leads && router->map_switch.phase < ASH_MAP_HOLD) ||
      run->now_ms < router->paused_until_ms)
    return;
  /* Streams show the time of a pass earlier than reports show its step. */
  if (run->step && chance (run, 20))
    ash_map_switch_set_pass_ms (&router->map_switch, PASS_MS);
  for (uint32_t i = 0; i < RANKS; i++)
    if (run->now_ms - router->asked[i] > 100 &&
        ash_map_switch_needs_report (&router->map_switch, now (run), i))
      request_report (run, r, i);
  for (uint32_t i = 0; i < RANKS; i++)
    if (run->now_ms - router->lists_requested_ms[i] > LISTS_RETRY_MS &&
        ash_map_switch_needs_lists (&router->map_switch, i))
      request_lists (run, r, i);
  if (router->leads && ash_map_switch_ready (&router->map_switch, now (run)) && chance (run, 10))
    ash_map_switch_begin (
        &router->map_switch, now (run),
        ash_map_switch_new_version (&router->map_switch, ash_random_next (&run->random)), copy_ms);
  /* The router may have to request the map in use first. */
  if (ash_map_switch_needs_fence (&router->map_switch) && chance (run, 50))
    ash_map_switch_set_fence (
        &router->map_switch,
        ash_map_switch_new_version (&router->map_switch, ash_random_next (&run->random)));
  count = ash_map_switch_orders (&router->map_switch, now (run), orders);
  count_result (router);
  for (uint32_t i = 0; i < count; i++)
    send_order (run, r, &orders[i]);
}

/* Delivers a request for lists to the rank, or its answer to the router. */
static void
deliver_lists (struct run *run, struct message *message, bool reaches_router)
{
  struct ash_map_switch *map_switch = &run->routers[message->router].map_switch;
  const struct ash_rank_report *report = &message->report;

  if (!message->is_answer)
    {
      message->report = report_of (run, report->rank);
      message->is_answer = true;
      message->due_ms = run->now_ms + 1 + ash_random_below (&run->random, 5);
      enqueue (run, message);
    }
  else if (reaches_router)
    {
      ash_map_switch_set_active (map_switch, report->rank, report->epoch, report->map);
      ash_map_switch_set_prepared (map_switch, report->rank, report->epoch, report->prepared,
                                   message->asked);
    }
}

static void
deliver (struct run *run, struct message *message)
{
  struct message copy = *message;
  struct router *router = &run->routers[copy.router];
  bool reaches_router =
      copy.incarnation == router->incarnation && run->now_ms >= router->paused_until_ms;

  message->used = false;
  if (copy.is_lists)
    deliver_lists (run, &copy, reaches_router);
  else if (copy.is_report)
    {
      if (reaches_router)
        ash_map_switch_report (&router->map_switch, now (run), &copy.report);
    }
  else if (copy.is_answer)
    {
      if (reaches_router)
        ash_map_switch_handle_answer (&router->map_switch, now (run), &copy.order, copy.status);
    }
  else
    {
      copy.status = apply_order (run, &copy.order);
      if (run->traced)
        printf ("%lld router %d life %u: order %d at rank %u epoch %llu version %llx step %llu: "
                "%u%s (step now %llu)\n",
                (long long) run->now_ms, copy.router, copy.incarnation, (int) copy.order.kind,
                copy.order.rank, (unsigned long long) copy.order.epoch,
                (unsigned long long) copy.order.version, (unsigned long long) copy.order.step,
                copy.status, copy.unanswered ? " unanswered" : "", (unsigned long long) run->step);
      copy.is_answer = true;
      copy.due_ms = run->now_ms + 1 + ash_random_below (&run->random, 5);
      if (!copy.unanswered)
        enqueue (run, &copy);
    }
}

/* ---- trouble ---- */

static void
inject_fault (struct run *run)
{
  int r = (int) ash_random_below (&run->random, ROUTERS);
  struct router *router = &run->routers[r];

  switch (ash_random_below (&run->random, 5))
    {
    case 0: /* killed; the other router leads */
      restart_router (run, r);
      router->leads = false;
      run->routers[1 - r].leads = true;
      break;
    case 1: /* suspended; it loses its state, and the other router leads */
      if (run->now_ms < router->paused_until_ms)
        break;
      router->paused_until_ms = run->now_ms + 1000 + ash_random_below (&run->random, 3000);
      restart_router (run, r);
      router->leads = false;
      run->routers[1 - r].leads = true;
      break;
    case 2: /* this router leads; depending on the seed the other one does too */
      router->leads = true;
      run->routers[1 - r].leads = run->two_leaders;
      break;
    case 3:
      reform_group (run);
      break;
    default:
      break;
    }
}

static void
stop_faults (struct run *run)
{
  run->loss_percent = 0;
  run->late_percent = 0;
  run->slow_percent = 0;
  run->routers[0].leads = true;
  run->routers[1].leads = false;
}

static void
run_events (struct run *run)
{
  run->next_pass_ms = ash_random_below (&run->random, FIRST_PASS_MAX_MS);
  while (run->now_ms < FAULTS_MS + RECOVERY_MS && !run->violation)
    {
      run->now_ms += TICK_MS;
      if (run->now_ms < FAULTS_MS)
        {
          if (ash_random_below (&run->random, 400) == 0)
            inject_fault (run);
        }
      else if (run->now_ms < FAULTS_MS + TICK_MS)
        stop_faults (run);
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
      /* Late orders arrive for up to twelve seconds after the faults have ended. */
      if (run->now_ms > FAULTS_MS + 15000 && run->now_ms - run->last_pass_ms > STALL_MAX_MS)
        run->violation = "the group stands still";
    }
}

static const char *
run_schedule (uint64_t seed, int traced)
{
  struct run *run = calloc (1, sizeof *run);
  const char *violation;

  if (!run)
    return "no memory";
  ash_random_init (&run->random, seed);
  run->traced = traced != 0;
  run->epoch = 1;
  run->loss_percent = ash_random_below (&run->random, 25);
  run->late_percent = ash_random_below (&run->random, 3) ? 0 : ash_random_below (&run->random, 20);
  run->two_leaders = seed % 4 == 0;
  run->slow_percent = seed % 3 == 1 ? 1 + ash_random_below (&run->random, 25) : 0;
  for (int r = 0; r < ROUTERS; r++)
    ash_map_switch_init (&run->routers[r].map_switch, RANKS, LAG_MS, (uint32_t) r);
  run->routers[0].leads = true;
  run_events (run);
  violation = run->violation;
  fflush (stdout);
  totals[TOTAL_STEPS] += run->step;
  free (run);
  return violation;
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
