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

struct sim
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
  bool no_faults; /* end of the schedule: no more losses or delays */
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
random_below (struct sim *sim, uint32_t bound)
{
  return ash_random_below (&sim->random, bound);
}

static void
fail (struct sim *sim, const char *why)
{
  if (!sim->violation)
    sim->violation = why;
}

static void
enqueue (struct sim *sim, const struct frame *frame)
{
  /* When the network is full, further messages are lost. */
  if (sim->frame_count < FRAMES_MAX)
    sim->frames[sim->frame_count++] = *frame;
}

static void
on_order (void *data, const struct Ash__Event *event)
{
  struct sim *sim = data;
  struct frame frame = { .coordinator = sim->sender, .order = *event->rank_order };

  frame.to_rank = atoi (event->peer + 1);
  enqueue (sim, &frame);
}

static void
on_state (void *data, const struct Ash__Event *event)
{
  struct sim *sim = data;
  struct frame frame = { .to_rank = -1, .state = *event->rank_state };

  frame.coordinator = atoi (event->peer + 1);
  enqueue (sim, &frame);
}

/* ---- events ---- */

/* Prints an event when a failing seed is run again with tracing. */
static void
trace (const struct sim *sim, const char *to, Ash__Event__KindCase kind, const void *message)
{
  struct Ash__Event event = ash_event_wrap (to, kind, message);

  if (!sim->traced)
    return;
  fprintf (stderr, "%" PRId64 " ", sim->now.ms);
  ash_event_print (&event, stderr);
  fputc ('\n', stderr);
}

/* ---- engines that do not check orders, behind their agents ---- */

/* The agent polls its engine for its state. An answer ends the wait for orders that may still be on
 * the way to the engine. */
static void
poll_engine (struct sim *sim, int r)
{
  struct Ash__RankState state = ASH__RANK_STATE__INIT;

  state.life = sim->ranks[r].incarnation;
  ash_expert_guard_answer (&sim->guards[r], sim->now, false, &state);
}

static void
order_agent (struct sim *sim, const struct frame *frame)
{
  struct ash_sink sink = { on_state, sim };
  struct frame forwarded = *frame;
  struct Ash__RankState state = ASH__RANK_STATE__INIT;
  struct ash_expert_guard *guard = &sim->guards[frame->to_rank];

  switch (ash_expert_guard_order (guard, sim->now, &frame->order, &forwarded.order))
    {
    case ASH_EXPERT_WAIT:
      return;
    case ASH_EXPERT_REFUSE:
      state.group = ash_proto_text ("g");
      state.rank = (uint32_t) frame->to_rank;
      ash_expert_guard_refusal (guard, &frame->order, &state);
      ash_emit (&sink, coordinator_names[frame->coordinator], ASH__EVENT__KIND_RANK_STATE, &state);
      return;
    case ASH_EXPERT_FORWARD:
      forwarded.agent_incarnation = guard->incarnation;
      forwarded.sent_at = sim->now;
      if (sim->engine_order_count < FRAMES_MAX)
        sim->engine_orders[sim->engine_order_count++] = forwarded;
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
deliver_to_engine (struct sim *sim, unsigned index)
{
  struct ash_sink to_coordinator = { on_state, sim };
  struct frame frame = sim->engine_orders[index];
  struct ash_expert_rank *rank = &sim->ranks[frame.to_rank];
  struct ash_expert_guard *guard = &sim->guards[frame.to_rank];
  struct Ash__RankState state;
  struct ash_sink sink = { on_engine_state, &state };

  sim->engine_order_count--;
  memmove (&sim->engine_orders[index], &sim->engine_orders[index + 1],
           (sim->engine_order_count - index) * sizeof frame);
  trace (sim, rank_names[frame.to_rank], ASH__EVENT__KIND_RANK_ORDER, &frame.order);
  rank->fence = (struct ash_expert_fence){ 0 };
  frame.order.life = rank->incarnation;
  ash_expert_rank_handle_order (rank, &frame.order, "", &sink);
  if (frame.agent_incarnation != guard->incarnation)
    return;
  ash_expert_guard_answer (guard, sim->now, true, &state);
  ash_emit (&to_coordinator, coordinator_names[frame.coordinator], ASH__EVENT__KIND_RANK_STATE,
            &state);
}

static void
deliver_to_some_engine (struct sim *sim)
{
  if (sim->engine_order_count)
    deliver_to_engine (sim, sim->no_faults ? 0 : random_below (sim, sim->engine_order_count));
}

/* Advances the time and delivers the orders that have been on the way to an engine for
 * ASH_EXPERT_SETTLE_MS: an engine that answers has received them by then. */
static void
advance_time (struct sim *sim, uint32_t wait_ms)
{
  sim->now.ms += wait_ms;
  for (unsigned i = sim->engine_order_count; i > 0; i--)
    if (ash_time_diff (sim->engine_orders[i - 1].sent_at, sim->now) >= ASH_EXPERT_SETTLE_MS)
      deliver_to_engine (sim, i - 1);
}

static void
restart_agent (struct sim *sim, int r)
{
  ash_expert_guard_init (&sim->guards[r], ++sim->last_incarnation << 32, false);
  poll_engine (sim, r);
  totals[TOTAL_RESTARTED]++;
}

/* ---- delivery ---- */

static void
deliver (struct sim *sim, const struct frame *frame)
{
  struct ash_sink sink = { on_state, sim };
  struct ash_expert_change *change = &sim->changes[frame->coordinator];
  enum ash_expert_phase before = change->phase;

  if (frame->to_rank >= 0 && sim->guarded)
    {
      order_agent (sim, frame);
      return;
    }
  if (frame->to_rank >= 0)
    {
      trace (sim, rank_names[frame->to_rank], ASH__EVENT__KIND_RANK_ORDER, &frame->order);
      ash_expert_rank_handle_order (&sim->ranks[frame->to_rank], &frame->order,
                                    coordinator_names[frame->coordinator], &sink);
      return;
    }
  sim->sender = frame->coordinator;
  trace (sim, coordinator_names[frame->coordinator], ASH__EVENT__KIND_RANK_STATE, &frame->state);
  ash_expert_change_handle_state (change, sim->now, &frame->state);
  totals[TOTAL_DONE] += before != ASH_EXPERT_DONE && change->phase == ASH_EXPERT_DONE;
  totals[TOTAL_FAILED] += before != ASH_EXPERT_FAILED && change->phase == ASH_EXPERT_FAILED;
}

static void
deliver_one (struct sim *sim)
{
  unsigned index;
  struct frame frame;
  uint32_t fate = sim->no_faults ? 100 : random_below (sim, 100);

  if (!sim->frame_count)
    return;
  index = sim->no_faults ? 0 : random_below (sim, sim->frame_count);
  frame = sim->frames[index];
  /* One message in ten stays in the network as a duplicate that is delivered again later. */
  if (fate >= 10)
    {
      sim->frame_count--;
      memmove (&sim->frames[index], &sim->frames[index + 1],
               (sim->frame_count - index) * sizeof frame);
    }
  if (fate < 20 && fate >= 10)
    return; /* lost */
  deliver (sim, &frame);
}

/* @return whether rank @p r may begin its next step: all ranks know the map, and none has begun
 * fewer steps. */
static bool
is_behind (const struct sim *sim, int r)
{
  for (int q = 0; q < RANKS; q++)
    if (sim->ranks[q].blank || sim->ranks[q].begun < sim->ranks[r].begun)
      return false;
  return true;
}

/* Ranks run in lock-step: a rank begins a step when all have begun the previous one. */
static void
begin_step (struct sim *sim, int r)
{
  struct ash_expert_rank *rank = &sim->ranks[r];
  uint64_t map;

  if (!ash_expert_rank_may_begin (rank) || !is_behind (sim, r) || rank->begun + 1 >= STEPS_KEPT)
    return;
  map = ash_expert_rank_begin (rank);
  totals[TOTAL_STEPS]++;
  if (sim->traced)
    fprintf (stderr, "%" PRId64 " %s begins step %" PRIu64 " with map %" PRIu64 "\n", sim->now.ms,
             rank_names[r], rank->begun, map);
  sim->step_maps[r][rank->begun] = map;
  for (int q = 0; q < RANKS; q++)
    if (sim->step_maps[q][rank->begun] && sim->step_maps[q][rank->begun] != map)
      fail (sim, "a step with two maps");
}

static void
replace_rank (struct sim *sim, int r)
{
  int others = 0;

  /* If all ranks that know the map were replaced at once, the group would have to be set up again,
   * which this protocol does not cover. */
  for (int q = 0; q < RANKS; q++)
    others += q != r && !sim->ranks[q].blank;
  if (!others)
    return;
  ash_expert_rank_init_blank (&sim->ranks[r], "g", (uint32_t) r, ++sim->last_incarnation);
  memset (sim->step_maps[r], 0, sizeof sim->step_maps[r]);
  totals[TOTAL_REPLACED]++;
}

/* Restarts a coordinator, which loses its state and its ballots. */
static void
restart_coordinator (struct sim *sim, int c)
{
  struct ash_sink sink = { on_order, sim };

  ash_expert_change_init (&sim->changes[c], "g", rank_names, RANKS,
                          (uint32_t) ++sim->last_incarnation, sink);
}

static void
begin_change (struct sim *sim, int c, bool wants)
{
  struct ash_expert_map map = { 0 };

  if (wants)
    map.digest = ++sim->last_map;
  ash_expert_change_start (&sim->changes[c], sim->now, wants ? &map : NULL);
}

static void
start_change (struct sim *sim, int c)
{
  sim->sender = c;
  begin_change (sim, c, random_below (sim, 4) != 0);
}

static void
tick (struct sim *sim, int c)
{
  enum ash_expert_phase before = sim->changes[c].phase;

  sim->sender = c;
  ash_expert_change_tick (&sim->changes[c], sim->now);
  totals[TOTAL_FAILED] += before != ASH_EXPERT_FAILED && sim->changes[c].phase == ASH_EXPERT_FAILED;
}

static void
step (struct sim *sim)
{
  int c = (int) random_below (sim, COORDINATORS);
  int r = (int) random_below (sim, RANKS);
  uint32_t choice = random_below (sim, 100);

  if (sim->guarded && choice < 25)
    deliver_to_some_engine (sim);
  else if (choice < 60)
    deliver_one (sim);
  else if (choice < 80)
    begin_step (sim, r);
  else if (choice < 90)
    {
      advance_time (sim, random_below (sim, 60));
      tick (sim, c);
    }
  else if (choice < 97)
    {
      if (!ash_expert_change_running (&sim->changes[c]))
        start_change (sim, c);
    }
  else if (choice < 98)
    restart_coordinator (sim, c);
  else if (choice < 99)
    start_change (sim, c); /* abandons the current change and begins another */
  else if (random_below (sim, 4) == 0)
    replace_rank (sim, r);
  else if (sim->guarded)
    restart_agent (sim, r);
}

/* ---- end of the schedule: one coordinator, no more faults ---- */

static void
finish_schedule (struct sim *sim)
{
  uint64_t before = sim->ranks[0].begun;

  sim->changes[0].phase = ASH_EXPERT_IDLE;
  for (int i = 0; i < FINAL_ROUNDS && !sim->violation; i++)
    {
      if (sim->changes[0].phase != ASH_EXPERT_DONE && !ash_expert_change_running (&sim->changes[0]))
        {
          sim->sender = 0;
          begin_change (sim, 0, true);
        }
      while (sim->frame_count || sim->engine_order_count)
        {
          deliver_one (sim);
          deliver_to_some_engine (sim);
        }
      for (int r = 0; r < RANKS; r++)
        begin_step (sim, r);
      advance_time (sim, ASH_EXPERT_RESEND_MS);
      for (int r = 0; r < RANKS && sim->guarded; r++)
        poll_engine (sim, r);
      tick (sim, 0);
    }
  if (sim->changes[0].phase != ASH_EXPERT_DONE)
    fail (sim, "the last change did not get through");
  for (int r = 0; r < RANKS; r++)
    if (sim->ranks[r].blank || sim->ranks[r].begun < before + 8)
      fail (sim, "a rank stands still");
}

static const char *
run_schedule (uint64_t seed, int traced)
{
  struct sim *sim = calloc (1, sizeof *sim);
  const char *violation;

  ash_random_init (&sim->random, seed);
  sim->traced = traced != 0;
  sim->last_incarnation = 1;
  sim->last_map = 1;
  for (int r = 0; r < RANKS; r++)
    ash_expert_rank_init (&sim->ranks[r], "g", (uint32_t) r, ++sim->last_incarnation, 1);
  for (int c = 0; c < COORDINATORS; c++)
    restart_coordinator (sim, c);
  sim->guarded = seed % 2 == 0;
  for (int r = 0; r < RANKS && sim->guarded; r++)
    restart_agent (sim, r);
  sim->now.ms = ASH_EXPERT_SETTLE_MS;
  for (int i = 0; i < EVENTS && !sim->violation; i++)
    step (sim);
  sim->no_faults = true;
  if (!sim->violation)
    finish_schedule (sim);
  violation = sim->violation;
  free (sim);
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
