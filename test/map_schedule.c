/**
 * @file
 * Random schedules of changes of a group's map by routers outside the group: orders that
 * are lost, answered late, overtaken by later ones or carried out seconds late, ranks that
 * copy for longer than expected, routers that are killed or suspended at any point, two
 * routers that lead at once, groups that restart. In each pass all ranks must use the same
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
  int64_t copied_ms; /* time at which copying the prepared map ends */
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
  struct ash_time lists_requested;
  bool unanswered;
  int router;
  uint32_t incarnation; /* of the router */
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
  int64_t report_requested_ms[RANKS];
  int64_t lists_requested_ms[RANKS];
};

struct sim
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
  uint32_t slow_percent; /* percentage of orders that are delayed: later ones may overtake them */
  bool two_leaders;
  bool traced;
  const char *violation;
};

static bool
chance (struct sim *sim, uint32_t percent)
{
  return ash_random_below (&sim->random, 100) < percent;
}

static struct ash_time
now (const struct sim *sim)
{
  return (struct ash_time){ CLOCK_START_MS + sim->now_ms };
}

static void
enqueue (struct sim *sim, const struct message *message)
{
  for (int i = 0; i < MESSAGES_MAX; i++)
    if (!sim->messages[i].used)
      {
        sim->messages[i] = *message;
        sim->messages[i].used = true;
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

/* ---- ranks of the group ---- */

static uint16_t
prepare (struct sim *sim, struct rank *rank, const struct ash_rank_order *order)
{
  if (order->version == rank->prepared)
    return sim->now_ms >= rank->copied_ms ? 200 : 202;
  if (order->version <= rank->last_prepared || rank->armed)
    return 409;
  rank->last_prepared = order->version;
  rank->prepared = order->version;
  rank->copied_ms =
      sim->now_ms + ash_random_below (&sim->random, sim->slow_percent ? SLOW_COPY_MAX_MS : COPY_MS);
  return 202;
}

static uint16_t
arm (struct sim *sim, struct rank *rank, const struct ash_rank_order *order)
{
  if (rank->armed == order->version && rank->armed_step == order->step)
    return 200;
  if (order->step <= sim->step || rank->prepared != order->version || sim->now_ms < rank->copied_ms)
    return 409;
  rank->armed = order->version;
  rank->armed_step = order->step;
  if (order->step > sim->step + ARMED_AHEAD_MAX_STEPS)
    sim->violation = "a rank is armed for a step far ahead";
  return 202;
}

static uint16_t
apply_order (struct sim *sim, const struct ash_rank_order *order)
{
  struct rank *rank = &sim->ranks[order->rank];

  if (order->epoch != sim->epoch)
    return 409;
  switch (order->kind)
    {
    case ASH_RANK_PREPARE:
      return prepare (sim, rank, order);
    case ASH_RANK_ARM:
      return arm (sim, rank, order);
    case ASH_RANK_HOLD:
      if (rank->held == order->step)
        return 200;
      if (order->step <= sim->step || rank->held)
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
begin_pass (struct sim *sim)
{
  uint64_t step = sim->step + 1;

  for (int i = 0; i < RANKS; i++)
    if (sim->ranks[i].held == step)
      return;
  sim->step = step;
  sim->last_pass_ms = sim->now_ms;
  for (int i = 0; i < RANKS; i++)
    if (sim->ranks[i].armed && sim->ranks[i].armed_step == step)
      {
        sim->ranks[i].map = sim->ranks[i].armed;
        sim->ranks[i].armed = 0;
      }
  for (int i = 1; i < RANKS; i++)
    if (sim->ranks[i].map != sim->ranks[0].map)
      sim->violation = "a pass with two maps";
}

static void
reform_group (struct sim *sim)
{
  memset (sim->ranks, 0, sizeof sim->ranks);
  sim->epoch++;
  sim->step = 0;
}

static struct ash_rank_report
report_of (const struct sim *sim, uint32_t i)
{
  const struct rank *rank = &sim->ranks[i];
  struct ash_rank_report report = {
    .epoch = sim->epoch,
    .rank = i,
    .rank_count = RANKS,
    .active = 1,
    .step = sim->step,
    .map = rank->map,
    .armed = rank->armed,
    .held = rank->held,
  };

  if (sim->now_ms >= rank->copied_ms)
    report.prepared = rank->prepared;
  return report;
}

/* ---- routers ---- */

static void
send_order (struct sim *sim, int r, const struct ash_rank_order *order)
{
  struct message message = {
    .due_ms = sim->now_ms + 1 + ash_random_below (&sim->random, 6),
    .router = r,
    .incarnation = sim->routers[r].incarnation,
    .order = *order,
  };

  if (sim->slow_percent && chance (sim, sim->slow_percent))
    message.due_ms += ash_random_below (&sim->random, SLOW_ORDER_MAX_MS);
  if (chance (sim, sim->loss_percent))
    message.unanswered = true;
  if (chance (sim, sim->late_percent))
    {
      message.unanswered = true;
      message.due_ms += 2000 + ash_random_below (&sim->random, 10000);
    }
  enqueue (sim, &message);
}

static void
request_report (struct sim *sim, int r, uint32_t rank)
{
  struct message message = {
    /* The report contains the present state and is delivered after the delay of reports. */
    .due_ms = sim->now_ms + LAG_MS + ash_random_below (&sim->random, 6),
    .is_report = true,
    .router = r,
    .incarnation = sim->routers[r].incarnation,
    .report = report_of (sim, rank),
  };

  sim->routers[r].report_requested_ms[rank] = sim->now_ms;
  if (!chance (sim, sim->loss_percent))
    enqueue (sim, &message);
}

static void
request_lists (struct sim *sim, int r, uint32_t rank)
{
  struct message message = {
    .due_ms = sim->now_ms + 1 + ash_random_below (&sim->random, 6),
    .is_lists = true,
    .lists_requested = now (sim),
    .router = r,
    .incarnation = sim->routers[r].incarnation,
    .report = { .rank = rank },
  };

  sim->routers[r].lists_requested_ms[rank] = sim->now_ms;
  if (!chance (sim, sim->loss_percent))
    enqueue (sim, &message);
}

static void
restart_router (struct sim *sim, int r)
{
  sim->routers[r].incarnation++;
  ash_map_switch_init (&sim->routers[r].map_switch, RANKS, LAG_MS, (uint32_t) r);
  memset (sim->routers[r].report_requested_ms, 0, sizeof sim->routers[r].report_requested_ms);
  memset (sim->routers[r].lists_requested_ms, 0, sizeof sim->routers[r].lists_requested_ms);
}

static void
count_result (struct router *router)
{
  switch (router->map_switch.result)
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
  router->map_switch.result = ASH_MAP_NONE;
}

static void
run_router (struct sim *sim, int r)
{
  static const uint32_t copy_ms[ASH_LAYER_RANKS_MAX] = { COPY_MS, COPY_MS, COPY_MS, COPY_MS };
  struct router *router = &sim->routers[r];
  struct ash_rank_order orders[ASH_LAYER_RANKS_MAX];
  uint32_t count;

  /* A router that no longer leads still finishes a change in which a step is held. */
  if ((!router->leads && router->map_switch.phase < ASH_MAP_HOLD) ||
      sim->now_ms < router->paused_until_ms)
    return;
  /* A router can measure the time of a pass on its streams before a report shows the step of that
   * pass. */
  if (sim->step && chance (sim, 20))
    ash_map_switch_set_pass_ms (&router->map_switch, PASS_MS);
  for (uint32_t i = 0; i < RANKS; i++)
    if (sim->now_ms - router->report_requested_ms[i] > 100 &&
        ash_map_switch_needs_report (&router->map_switch, now (sim), i))
      request_report (sim, r, i);
  for (uint32_t i = 0; i < RANKS; i++)
    if (sim->now_ms - router->lists_requested_ms[i] > LISTS_RETRY_MS &&
        ash_map_switch_needs_lists (&router->map_switch, i))
      request_lists (sim, r, i);
  if (router->leads && ash_map_switch_ready (&router->map_switch, now (sim)) && chance (sim, 10))
    ash_map_switch_begin (
        &router->map_switch, now (sim),
        ash_map_switch_new_version (&router->map_switch, ash_random_next (&sim->random)), copy_ms);
  /* Before it can fence the ranks, the router may have to request the map in use. */
  if (ash_map_switch_needs_fence (&router->map_switch) && chance (sim, 50))
    ash_map_switch_set_fence (
        &router->map_switch,
        ash_map_switch_new_version (&router->map_switch, ash_random_next (&sim->random)));
  count = ash_map_switch_orders (&router->map_switch, now (sim), orders);
  count_result (router);
  for (uint32_t i = 0; i < count; i++)
    send_order (sim, r, &orders[i]);
}

/* Delivers a request for lists to the rank, or its answer to the router. */
static void
deliver_lists (struct sim *sim, struct message *message, bool reaches_router)
{
  struct ash_map_switch *map_switch = &sim->routers[message->router].map_switch;
  const struct ash_rank_report *report = &message->report;

  if (!message->is_answer)
    {
      message->report = report_of (sim, report->rank);
      message->is_answer = true;
      message->due_ms = sim->now_ms + 1 + ash_random_below (&sim->random, 5);
      enqueue (sim, message);
    }
  else if (reaches_router)
    {
      ash_map_switch_set_active (map_switch, report->rank, report->epoch, report->map);
      ash_map_switch_set_prepared (map_switch, report->rank, report->epoch, report->prepared,
                                   message->lists_requested);
    }
}

static void
deliver (struct sim *sim, struct message *message)
{
  struct message copy = *message;
  struct router *router = &sim->routers[copy.router];
  bool reaches_router =
      copy.incarnation == router->incarnation && sim->now_ms >= router->paused_until_ms;

  message->used = false;
  if (copy.is_lists)
    deliver_lists (sim, &copy, reaches_router);
  else if (copy.is_report)
    {
      if (reaches_router)
        ash_map_switch_report (&router->map_switch, now (sim), &copy.report);
    }
  else if (copy.is_answer)
    {
      if (reaches_router)
        ash_map_switch_handle_answer (&router->map_switch, now (sim), &copy.order, copy.status);
    }
  else
    {
      copy.status = apply_order (sim, &copy.order);
      if (sim->traced)
        printf ("%lld router %d life %u: order %d at rank %u epoch %llu version %llx step %llu: "
                "%u%s (step now %llu)\n",
                (long long) sim->now_ms, copy.router, copy.incarnation, (int) copy.order.kind,
                copy.order.rank, (unsigned long long) copy.order.epoch,
                (unsigned long long) copy.order.version, (unsigned long long) copy.order.step,
                copy.status, copy.unanswered ? " unanswered" : "", (unsigned long long) sim->step);
      copy.is_answer = true;
      copy.due_ms = sim->now_ms + 1 + ash_random_below (&sim->random, 5);
      if (!copy.unanswered)
        enqueue (sim, &copy);
    }
}

/* ---- faults ---- */

static void
inject_fault (struct sim *sim)
{
  int r = (int) ash_random_below (&sim->random, ROUTERS);
  struct router *router = &sim->routers[r];

  switch (ash_random_below (&sim->random, 5))
    {
    case 0: /* killed; the other router leads */
      restart_router (sim, r);
      router->leads = false;
      sim->routers[1 - r].leads = true;
      break;
    case 1: /* suspended; it loses its state, and the other router leads */
      if (sim->now_ms < router->paused_until_ms)
        break;
      router->paused_until_ms = sim->now_ms + 1000 + ash_random_below (&sim->random, 3000);
      restart_router (sim, r);
      router->leads = false;
      sim->routers[1 - r].leads = true;
      break;
    case 2: /* this router leads; depending on the seed the other one does too */
      router->leads = true;
      sim->routers[1 - r].leads = sim->two_leaders;
      break;
    case 3:
      reform_group (sim);
      break;
    default:
      break;
    }
}

static void
stop_faults (struct sim *sim)
{
  sim->loss_percent = 0;
  sim->late_percent = 0;
  sim->slow_percent = 0;
  sim->routers[0].leads = true;
  sim->routers[1].leads = false;
}

static void
run_events (struct sim *sim)
{
  sim->next_pass_ms = ash_random_below (&sim->random, FIRST_PASS_MAX_MS);
  while (sim->now_ms < FAULTS_MS + RECOVERY_MS && !sim->violation)
    {
      sim->now_ms += TICK_MS;
      if (sim->now_ms < FAULTS_MS)
        {
          if (ash_random_below (&sim->random, 400) == 0)
            inject_fault (sim);
        }
      else if (sim->now_ms < FAULTS_MS + TICK_MS)
        stop_faults (sim);
      for (int i = 0; i < MESSAGES_MAX; i++)
        if (sim->messages[i].used && sim->messages[i].due_ms <= sim->now_ms)
          deliver (sim, &sim->messages[i]);
      for (int r = 0; r < ROUTERS; r++)
        run_router (sim, r);
      if (sim->now_ms >= sim->next_pass_ms)
        {
          begin_pass (sim);
          sim->next_pass_ms = sim->now_ms + PASS_MS;
        }
      /* Late orders arrive for up to twelve seconds after the faults have ended. */
      if (sim->now_ms > FAULTS_MS + 15000 && sim->now_ms - sim->last_pass_ms > STALL_MAX_MS)
        sim->violation = "the group stands still";
    }
}

static const char *
run_schedule (uint64_t seed, int traced)
{
  struct sim *sim = calloc (1, sizeof *sim);
  const char *violation;

  if (!sim)
    return "no memory";
  ash_random_init (&sim->random, seed);
  sim->traced = traced != 0;
  sim->epoch = 1;
  sim->loss_percent = ash_random_below (&sim->random, 25);
  sim->late_percent = ash_random_below (&sim->random, 3) ? 0 : ash_random_below (&sim->random, 20);
  sim->two_leaders = seed % 4 == 0;
  sim->slow_percent = seed % 3 == 1 ? 1 + ash_random_below (&sim->random, 25) : 0;
  for (int r = 0; r < ROUTERS; r++)
    ash_map_switch_init (&sim->routers[r].map_switch, RANKS, LAG_MS, (uint32_t) r);
  sim->routers[0].leads = true;
  run_events (sim);
  violation = sim->violation;
  fflush (stdout);
  totals[TOTAL_STEPS] += sim->step;
  free (sim);
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
