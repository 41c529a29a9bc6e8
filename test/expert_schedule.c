/**
 * @file
 * Random schedules of changes of an expert map: four ranks in lock-step, three
 * coordinators, orders and answers that are lost, duplicated or late, coordinators that
 * restart, ranks that are replaced. After every event: all ranks that have begun a step
 * have begun it with the same map. At the end one coordinator must complete a change,
 * and all ranks must make progress.
 *
 * In half of the schedules the engines do not check orders; their agents, which restart
 * and lose their state, check the orders instead.
 *
 * usage: test-expert-schedule [COUNT [FIRST_SEED [stop]]]
 */
#include "common/random.h"
#include "controllers/expert_change.h"
#include "controllers/expert_guard.h"
#include "controllers/expert_rank.h"
#include "test/workers.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define RANKS 4
#define COORDINATORS 3
#define STEPS_KEPT 512
#define FRAMES_MAX 256
#define EVENTS 500
#define FINAL_ROUNDS 40

static const char *const rank_names[RANKS] = { "r0", "r1", "r2", "r3" };
static const char *const coordinator_names[COORDINATORS] = { "c0", "c1", "c2" };

struct frame
{
  int to_rank; /* -1: to a coordinator */
  int coordinator;
  uint64_t agent_incarnation; /* at an engine: incarnation of the agent that forwarded the order */
  struct ash_time sent_at;
  struct Ash__RankOrder order;
  struct Ash__RankState state;
};

struct world
{
  struct ash_random random;
  struct ash_time now;
  struct ash_expert_rank ranks[RANKS];
  uint64_t step_maps[RANKS][STEPS_KEPT]; /* map of each step; 0: not begun by this incarnation */
  bool guarded;                          /* engines do not check orders, their agents do */
  struct ash_expert_guard guards[RANKS];
  struct frame engine_orders[FRAMES_MAX]; /* orders on the way from an agent to its engine */
  unsigned engine_order_count;
  struct ash_expert_change changes[COORDINATORS];
  int sender; /* coordinator whose messages are being emitted */
  struct frame frames[FRAMES_MAX];
  unsigned frame_count;
  uint64_t last_incarnation;
  uint64_t last_map;
  bool traced;
  bool calm; /* end of the schedule: no more losses or delays */
  const char *violation;
};

enum total
{
  TOTAL_DONE,
  TOTAL_FAILED,
  TOTAL_STEPS,
  TOTAL_REPLACED,
  TOTAL_RESTARTED,
  TOTAL_COUNT,
};

static unsigned long totals[TOTAL_COUNT];

static uint32_t
pick (struct world *world, uint32_t bound)
{
  return ash_random_below (&world->random, bound);
}

static void
fail (struct world *world, const char *why)
{
  if (!world->violation)
    world->violation = why;
}

static void
enqueue (struct world *world, const struct frame *frame)
{
  /* When the network is full, further messages are lost. */
  if (world->frame_count < FRAMES_MAX)
    world->frames[world->frame_count++] = *frame;
}

static void
on_order (void *data, const struct Ash__Event *event)
{
  struct world *world = data;
  struct frame frame = { .coordinator = world->sender, .order = *event->rank_order };

  frame.to_rank = atoi (event->peer + 1);
  enqueue (world, &frame);
}

static void
on_state (void *data, const struct Ash__Event *event)
{
  struct world *world = data;
  struct frame frame = { .to_rank = -1, .state = *event->rank_state };

  frame.coordinator = atoi (event->peer + 1);
  enqueue (world, &frame);
}

/* ---- events ---- */

/* Prints an event when a failing seed is run again with tracing. */
static void
trace (const struct world *world, const char *to, Ash__Event__KindCase kind, const void *message)
{
  struct Ash__Event event = ash_event_of (to, kind, message);

  if (!world->traced)
    return;
  fprintf (stderr, "%" PRId64 " ", world->now.ms);
  ash_event_print (&event, stderr);
  fputc ('\n', stderr);
}

/* ---- engines that check nothing, behind their agents ---- */

/* The agent polls its engine for its state. An answer ends the wait for orders that may still be on
 * the way to the engine. */
static void
poll_engine (struct world *world, int r)
{
  struct Ash__RankState state = ASH__RANK_STATE__INIT;

  state.life = world->ranks[r].life;
  ash_expert_guard_answer (&world->guards[r], world->now, false, &state);
}

static void
order_agent (struct world *world, const struct frame *frame)
{
  struct ash_sink sink = { on_state, world };
  struct frame forwarded = *frame;
  struct Ash__RankState state = ASH__RANK_STATE__INIT;
  struct ash_expert_guard *guard = &world->guards[frame->to_rank];

  switch (ash_expert_guard_order (guard, world->now, &frame->order, &forwarded.order))
    {
    case ASH_EXPERT_WAIT:
      return;
    case ASH_EXPERT_REFUSE:
      state.group = ash_text ("g");
      state.rank = (uint32_t) frame->to_rank;
      ash_expert_guard_refusal (guard, &frame->order, &state);
      ash_emit (&sink, coordinator_names[frame->coordinator], ASH__EVENT__KIND_RANK_STATE, &state);
      return;
    case ASH_EXPERT_FORWARD:
      forwarded.agent_incarnation = guard->incarnation;
      forwarded.sent_at = world->now;
      if (world->engine_order_count < FRAMES_MAX)
        world->engine_orders[world->engine_order_count++] = forwarded;
      else
        ash_expert_guard_lost (guard);
      return;
    }
}

static void
on_engine_state (void *data, const struct Ash__Event *event)
{
  *(struct Ash__RankState *) data = *event->rank_state;
}

/* Delivers an order to its engine, even if the agent that forwarded it has restarted. */
static void
deliver_to_engine (struct world *world, unsigned index)
{
  struct ash_sink to_coordinator = { on_state, world };
  struct frame frame = world->engine_orders[index];
  struct ash_expert_rank *rank = &world->ranks[frame.to_rank];
  struct ash_expert_guard *guard = &world->guards[frame.to_rank];
  struct Ash__RankState state;
  struct ash_sink sink = { on_engine_state, &state };

  world->engine_order_count--;
  memmove (&world->engine_orders[index], &world->engine_orders[index + 1],
           (world->engine_order_count - index) * sizeof frame);
  trace (world, rank_names[frame.to_rank], ASH__EVENT__KIND_RANK_ORDER, &frame.order);
  rank->fence = (struct ash_expert_fence){ 0 };
  frame.order.life = rank->life;
  ash_expert_rank_handle_order (rank, &frame.order, "", &sink);
  if (frame.agent_incarnation != guard->incarnation)
    return;
  ash_expert_guard_answer (guard, world->now, true, &state);
  ash_emit (&to_coordinator, coordinator_names[frame.coordinator], ASH__EVENT__KIND_RANK_STATE,
            &state);
}

static void
deliver_to_some_engine (struct world *world)
{
  if (world->engine_order_count)
    deliver_to_engine (world, world->calm ? 0 : pick (world, world->engine_order_count));
}

/* Advances the time and delivers the orders that have been on the way to an engine for
 * ASH_EXPERT_SETTLE_MS: an engine that answers has received them by then. */
static void
advance_time (struct world *world, uint32_t wait_ms)
{
  world->now.ms += wait_ms;
  for (unsigned i = world->engine_order_count; i > 0; i--)
    if (ash_time_diff (world->engine_orders[i - 1].sent_at, world->now) >= ASH_EXPERT_SETTLE_MS)
      deliver_to_engine (world, i - 1);
}

static void
restart_agent (struct world *world, int r)
{
  ash_expert_guard_init (&world->guards[r], ++world->last_incarnation << 32, false);
  poll_engine (world, r);
  totals[TOTAL_RESTARTED]++;
}

/* ---- delivery ---- */

static void
deliver (struct world *world, const struct frame *frame)
{
  struct ash_sink sink = { on_state, world };
  struct ash_expert_change *change = &world->changes[frame->coordinator];
  enum ash_expert_phase before = change->phase;

  if (frame->to_rank >= 0 && world->guarded)
    {
      order_agent (world, frame);
      return;
    }
  if (frame->to_rank >= 0)
    {
      trace (world, rank_names[frame->to_rank], ASH__EVENT__KIND_RANK_ORDER, &frame->order);
      ash_expert_rank_handle_order (&world->ranks[frame->to_rank], &frame->order,
                                    coordinator_names[frame->coordinator], &sink);
      return;
    }
  world->sender = frame->coordinator;
  trace (world, coordinator_names[frame->coordinator], ASH__EVENT__KIND_RANK_STATE, &frame->state);
  ash_expert_change_handle_state (change, world->now, &frame->state);
  totals[TOTAL_DONE] += before != ASH_EXPERT_DONE && change->phase == ASH_EXPERT_DONE;
  totals[TOTAL_FAILED] += before != ASH_EXPERT_FAILED && change->phase == ASH_EXPERT_FAILED;
}

static void
deliver_one (struct world *world)
{
  unsigned index;
  struct frame frame;
  uint32_t fate = world->calm ? 100 : pick (world, 100);

  if (!world->frame_count)
    return;
  index = world->calm ? 0 : pick (world, world->frame_count);
  frame = world->frames[index];
  /* One message in ten stays in the network as a duplicate that is delivered again later. */
  if (fate >= 10)
    {
      world->frame_count--;
      memmove (&world->frames[index], &world->frames[index + 1],
               (world->frame_count - index) * sizeof frame);
    }
  if (fate < 20 && fate >= 10)
    return; /* lost */
  deliver (world, &frame);
}

static bool
is_behind (const struct world *world, int r)
{
  for (int q = 0; q < RANKS; q++)
    if (world->ranks[q].blank || world->ranks[q].begun < world->ranks[r].begun)
      return false;
  return true;
}

/* Ranks run in lock-step: a rank begins a step when all have begun the previous one. */
static void
begin_step (struct world *world, int r)
{
  struct ash_expert_rank *rank = &world->ranks[r];
  uint64_t map;

  if (!ash_expert_rank_may_begin (rank) || !is_behind (world, r) || rank->begun + 1 >= STEPS_KEPT)
    return;
  map = ash_expert_rank_begin (rank);
  totals[TOTAL_STEPS]++;
  if (world->traced)
    fprintf (stderr, "%" PRId64 " %s begins step %" PRIu64 " with map %" PRIu64 "\n", world->now.ms,
             rank_names[r], rank->begun, map);
  world->step_maps[r][rank->begun] = map;
  for (int q = 0; q < RANKS; q++)
    if (world->step_maps[q][rank->begun] && world->step_maps[q][rank->begun] != map)
      fail (world, "a step with two maps");
}

static void
replace_rank (struct world *world, int r)
{
  int others = 0;

  /* If all ranks that know the map are replaced at once, the group must be started anew, which this
   * protocol does not cover. */
  for (int q = 0; q < RANKS; q++)
    others += q != r && !world->ranks[q].blank;
  if (!others)
    return;
  ash_expert_rank_init_blank (&world->ranks[r], "g", (uint32_t) r, ++world->last_incarnation);
  memset (world->step_maps[r], 0, sizeof world->step_maps[r]);
  totals[TOTAL_REPLACED]++;
}

/* Restarts a coordinator, which loses its state and its ballots. */
static void
restart_coordinator (struct world *world, int c)
{
  struct ash_sink sink = { on_order, world };

  ash_expert_change_init (&world->changes[c], "g", rank_names, RANKS,
                          (uint32_t) ++world->last_incarnation, sink);
}

static void
begin_change (struct world *world, int c, bool wants)
{
  struct ash_expert_map map = { 0 };

  if (wants)
    map.digest = ++world->last_map;
  ash_expert_change_start (&world->changes[c], world->now, wants ? &map : NULL);
}

static void
start_change (struct world *world, int c)
{
  world->sender = c;
  begin_change (world, c, pick (world, 4) != 0);
}

static void
tick (struct world *world, int c)
{
  enum ash_expert_phase before = world->changes[c].phase;

  world->sender = c;
  ash_expert_change_tick (&world->changes[c], world->now);
  totals[TOTAL_FAILED] +=
      before != ASH_EXPERT_FAILED && world->changes[c].phase == ASH_EXPERT_FAILED;
}

static void
step (struct world *world)
{
  int c = (int) pick (world, COORDINATORS);
  int r = (int) pick (world, RANKS);
  uint32_t choice = pick (world, 100);

  if (world->guarded && choice < 25)
    deliver_to_some_engine (world);
  else if (choice < 60)
    deliver_one (world);
  else if (choice < 80)
    begin_step (world, r);
  else if (choice < 90)
    {
      advance_time (world, pick (world, 60));
      tick (world, c);
    }
  else if (choice < 97)
    {
      if (!ash_expert_change_running (&world->changes[c]))
        start_change (world, c);
    }
  else if (choice < 98)
    restart_coordinator (world, c);
  else if (choice < 99)
    start_change (world, c); /* abandons the current change and begins another */
  else if (pick (world, 4) == 0)
    replace_rank (world, r);
  else if (world->guarded)
    restart_agent (world, r);
}

/* ---- the end: one coordinator, and nothing goes wrong any more ---- */

static void
finish_schedule (struct world *world)
{
  uint64_t before = world->ranks[0].begun;

  world->changes[0].phase = ASH_EXPERT_IDLE;
  for (int i = 0; i < FINAL_ROUNDS && !world->violation; i++)
    {
      if (world->changes[0].phase != ASH_EXPERT_DONE &&
          !ash_expert_change_running (&world->changes[0]))
        {
          world->sender = 0;
          begin_change (world, 0, true);
        }
      while (world->frame_count || world->engine_order_count)
        {
          deliver_one (world);
          deliver_to_some_engine (world);
        }
      for (int r = 0; r < RANKS; r++)
        begin_step (world, r);
      advance_time (world, ASH_EXPERT_RESEND_MS);
      for (int r = 0; r < RANKS && world->guarded; r++)
        poll_engine (world, r);
      tick (world, 0);
    }
  if (world->changes[0].phase != ASH_EXPERT_DONE)
    fail (world, "the last change did not get through");
  for (int r = 0; r < RANKS; r++)
    if (world->ranks[r].blank || world->ranks[r].begun < before + 8)
      fail (world, "a rank stands still");
}

static const char *
run_schedule (uint64_t seed, int traced)
{
  struct world *world = calloc (1, sizeof *world);
  const char *violation;

  ash_random_init (&world->random, seed);
  world->traced = traced != 0;
  world->last_incarnation = 1;
  world->last_map = 1;
  for (int r = 0; r < RANKS; r++)
    ash_expert_rank_init (&world->ranks[r], "g", (uint32_t) r, ++world->last_incarnation, 1);
  for (int c = 0; c < COORDINATORS; c++)
    restart_coordinator (world, c);
  world->guarded = seed % 2 == 0;
  for (int r = 0; r < RANKS && world->guarded; r++)
    restart_agent (world, r);
  world->now.ms = ASH_EXPERT_SETTLE_MS;
  for (int i = 0; i < EVENTS && !world->violation; i++)
    step (world);
  world->calm = true;
  if (!world->violation)
    finish_schedule (world);
  violation = world->violation;
  free (world);
  return violation;
}

int
main (int argc, char **argv)
{
  const struct workers workers = { run_schedule, totals, TOTAL_COUNT };
  int failures = workers_run (&workers, argc, argv);

  printf ("%lu changes done, %lu given up, %lu steps begun, %lu ranks replaced, %lu "
          "agents restarted\n",
          totals[TOTAL_DONE], totals[TOTAL_FAILED], totals[TOTAL_STEPS], totals[TOTAL_REPLACED],
          totals[TOTAL_RESTARTED]);
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
