/**
 * @file
 * Random schedules of changes of an expert map: four ranks in lock-step, three
 * coordinators, orders and answers that are lost, doubled and late, coordinators
 * that stop or forget, ranks that are replaced. After every event: whatever ranks
 * have begun a step have begun it with one map. At the end one coordinator must
 * bring the group into order, and all ranks go on.
 *
 * In half of the schedules the engines check no orders, and their agents, which
 * restart and forget, do so in their place.
 *
 * usage: test-expert-schedule [COUNT [FIRST_SEED]]
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
#define LAST_ROUNDS 40

static const char *const boxes[RANKS] = { "r0", "r1", "r2", "r3" };
static const char *const names[COORDINATORS] = { "c0", "c1", "c2" };

struct frame
{
  int to_rank; /* -1: to a coordinator */
  int coordinator;
  uint64_t agent_life; /* at an engine: the agent's that gave the order */
  struct ash_time given;
  struct Ash__RankOrder order;
  struct Ash__RankState state;
};

struct world
{
  struct ash_random random;
  struct ash_time now;
  struct ash_expert_rank ranks[RANKS];
  uint64_t used[RANKS][STEPS_KEPT]; /* map of each step; 0: not begun by this life */
  bool guarded;                     /* engines check nothing, their agents do */
  struct ash_expert_guard guards[RANKS];
  struct frame at_engines[FRAMES_MAX]; /* orders under way from an agent to its engine */
  unsigned at_engines_count;
  struct ash_expert_change changes[COORDINATORS];
  int sender; /* whose messages are being emitted */
  struct frame frames[FRAMES_MAX];
  unsigned frame_count;
  uint64_t lives;
  uint64_t maps;
  bool traced;
  bool calm; /* the end: nothing is lost or late any more */
  const char *broken;
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
  if (!world->broken)
    world->broken = why;
}

static void
put (struct world *world, const struct frame *frame)
{
  /* A full network loses what comes. */
  if (world->frame_count < FRAMES_MAX)
    world->frames[world->frame_count++] = *frame;
}

static void
on_order (void *data, const struct Ash__Event *event)
{
  struct world *world = data;
  struct frame frame = { .coordinator = world->sender, .order = *event->rank_order };

  frame.to_rank = atoi (event->peer + 1);
  put (world, &frame);
}

static void
on_state (void *data, const struct Ash__Event *event)
{
  struct world *world = data;
  struct frame frame = { .to_rank = -1, .state = *event->rank_state };

  frame.coordinator = atoi (event->peer + 1);
  put (world, &frame);
}

/* ---- events ---- */

/* A failing seed is played again with this, as its session. */
static void
trace (const struct world *world, const char *to, Ash__Event__KindCase kind, const void *message)
{
  struct Ash__Event event = ash_event_wrap (to, kind, message);

  if (!world->traced)
    return;
  fprintf (stderr, "%" PRId64 " ", world->now.ms);
  ash_event_print (&event, stderr);
  fputc ('\n', stderr);
}

/* ---- engines that check nothing, behind their agents ---- */

/* The agent asks its engine for its state now and then: that settles it. */
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
  struct frame given = *frame;
  struct Ash__RankState state = ASH__RANK_STATE__INIT;
  struct ash_expert_guard *guard = &world->guards[frame->to_rank];

  switch (ash_expert_guard_order (guard, world->now, &frame->order, &given.order))
    {
    case ASH_EXPERT_WAIT:
      return;
    case ASH_EXPERT_REFUSE:
      state.group = ash_proto_text ("g");
      state.rank = (uint32_t) frame->to_rank;
      ash_expert_guard_refusal (guard, &frame->order, &state);
      ash_emit (&sink, names[frame->coordinator], ASH__EVENT__KIND_RANK_STATE, &state);
      return;
    case ASH_EXPERT_FORWARD:
      given.agent_life = guard->incarnation;
      given.given = world->now;
      if (world->at_engines_count < FRAMES_MAX)
        world->at_engines[world->at_engines_count++] = given;
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

/* An order reaches its engine, whatever has become of the agent meanwhile. */
static void
reach_engine (struct world *world, unsigned index)
{
  struct ash_sink to_coordinator = { on_state, world };
  struct frame frame = world->at_engines[index];
  struct ash_expert_rank *rank = &world->ranks[frame.to_rank];
  struct ash_expert_guard *guard = &world->guards[frame.to_rank];
  struct Ash__RankState state;
  struct ash_sink sink = { on_engine_state, &state };

  world->at_engines_count--;
  memmove (&world->at_engines[index], &world->at_engines[index + 1],
           (world->at_engines_count - index) * sizeof frame);
  trace (world, boxes[frame.to_rank], ASH__EVENT__KIND_RANK_ORDER, &frame.order);
  rank->fence = (struct ash_expert_fence){ 0 };
  frame.order.life = rank->life;
  ash_expert_rank_handle_order (rank, &frame.order, "", &sink);
  if (frame.agent_life != guard->incarnation)
    return;
  ash_expert_guard_answer (guard, world->now, true, &state);
  ash_emit (&to_coordinator, names[frame.coordinator], ASH__EVENT__KIND_RANK_STATE, &state);
}

static void
reach_some_engine (struct world *world)
{
  if (world->at_engines_count)
    reach_engine (world, world->calm ? 0 : pick (world, world->at_engines_count));
}

/* What was given to an engine reaches it soon, if the engine answers at all. */
static void
pass_time (struct world *world, uint32_t wait_ms)
{
  world->now.ms += wait_ms;
  for (unsigned i = world->at_engines_count; i > 0; i--)
    if (ash_time_diff (world->at_engines[i - 1].given, world->now) >= ASH_EXPERT_SETTLE_MS)
      reach_engine (world, i - 1);
}

static void
restart_agent (struct world *world, int r)
{
  ash_expert_guard_init (&world->guards[r], ++world->lives << 32, false);
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
      trace (world, boxes[frame->to_rank], ASH__EVENT__KIND_RANK_ORDER, &frame->order);
      ash_expert_rank_handle_order (&world->ranks[frame->to_rank], &frame->order,
                                    names[frame->coordinator], &sink);
      return;
    }
  world->sender = frame->coordinator;
  trace (world, names[frame->coordinator], ASH__EVENT__KIND_RANK_STATE, &frame->state);
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
  /* One in ten stays in the network as a copy that comes again, late. */
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

/* Lock-step: a rank begins a step when all have begun the one before. */
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
             boxes[r], rank->begun, map);
  world->used[r][rank->begun] = map;
  for (int q = 0; q < RANKS; q++)
    if (world->used[q][rank->begun] && world->used[q][rank->begun] != map)
      fail (world, "a step with two maps");
}

static void
replace (struct world *world, int r)
{
  int others = 0;

  /* If all that knew are replaced at once, the group is started anew, which is
   * not this protocol's matter. */
  for (int q = 0; q < RANKS; q++)
    others += q != r && !world->ranks[q].blank;
  if (!others)
    return;
  ash_expert_rank_init_blank (&world->ranks[r], "g", (uint32_t) r, ++world->lives);
  memset (world->used[r], 0, sizeof world->used[r]);
  totals[TOTAL_REPLACED]++;
}

/* A coordinator that forgets all, and its ballots. */
static void
forget (struct world *world, int c)
{
  struct ash_sink sink = { on_order, world };

  ash_expert_change_init (&world->changes[c], "g", boxes, RANKS, (uint32_t) ++world->lives, sink);
}

static void
start_wanting (struct world *world, int c, bool wants)
{
  struct ash_expert_map map = { 0 };

  if (wants)
    map.digest = ++world->maps;
  ash_expert_change_start (&world->changes[c], world->now, wants ? &map : NULL);
}

static void
start_change (struct world *world, int c)
{
  world->sender = c;
  start_wanting (world, c, pick (world, 4) != 0);
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
    reach_some_engine (world);
  else if (choice < 60)
    deliver_one (world);
  else if (choice < 80)
    begin_step (world, r);
  else if (choice < 90)
    {
      pass_time (world, pick (world, 60));
      tick (world, c);
    }
  else if (choice < 97)
    {
      if (!ash_expert_change_running (&world->changes[c]))
        start_change (world, c);
    }
  else if (choice < 98)
    forget (world, c);
  else if (choice < 99)
    start_change (world, c); /* gives its own up and begins another */
  else if (pick (world, 4) == 0)
    replace (world, r);
  else if (world->guarded)
    restart_agent (world, r);
}

/* ---- the end: one coordinator, and nothing goes wrong any more ---- */

static void
go_on (struct world *world)
{
  uint64_t before = world->ranks[0].begun;

  world->changes[0].phase = ASH_EXPERT_IDLE;
  for (int i = 0; i < LAST_ROUNDS && !world->broken; i++)
    {
      if (world->changes[0].phase != ASH_EXPERT_DONE &&
          !ash_expert_change_running (&world->changes[0]))
        {
          world->sender = 0;
          start_wanting (world, 0, true);
        }
      while (world->frame_count || world->at_engines_count)
        {
          deliver_one (world);
          reach_some_engine (world);
        }
      for (int r = 0; r < RANKS; r++)
        begin_step (world, r);
      pass_time (world, ASH_EXPERT_RESEND_MS);
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
  const char *broken;

  ash_random_init (&world->random, seed);
  world->traced = traced != 0;
  world->lives = 1;
  world->maps = 1;
  for (int r = 0; r < RANKS; r++)
    ash_expert_rank_init (&world->ranks[r], "g", (uint32_t) r, ++world->lives, 1);
  for (int c = 0; c < COORDINATORS; c++)
    forget (world, c);
  world->guarded = seed % 2 == 0;
  for (int r = 0; r < RANKS && world->guarded; r++)
    restart_agent (world, r);
  world->now.ms = ASH_EXPERT_SETTLE_MS;
  for (int i = 0; i < EVENTS && !world->broken; i++)
    step (world);
  world->calm = true;
  if (!world->broken)
    go_on (world);
  broken = world->broken;
  free (world);
  return broken;
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
