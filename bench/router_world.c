#include "bench/router_world.h"

#include "controllers/pass_model.h"
#include "filters/forward.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUTERS 8
#define GROUPS_USUAL 2
#define GROUPS_MAX 4
#define ENDPOINTS 16
#define CALLS_MAX 20000

/* Tokens read in a step at most, and the wait before a prompt is read. */
#define READ_TOKENS_STEP 512
#define FIRST_MS 70
#define ENDPOINT_SLOTS 12

/* The engine of the first users' sheets; all of a token's work grows with skew. */
static const struct ash_engine_facts usual_engine = {
  .slots = ENDPOINT_SLOTS,
  .stride = 6,
  .step_ms = 4.84,
  .sequence_ms = 0.362,
  .read_tokens_s = 74800,
  .expert_share = 1,
};

/* The sheets' callers. */
#define AIM_MS 400
#define DEADLINE_MS 8000
#define GIVE_UP_MS 2000 /* without a first event */
#define CALLER_MS 2
#define TRIES 2
#define ADDRESS_KEEP_MS 2000
#define HELD_MS 50 /* an eighth of the aim */
#define LATE_WORTH 0.5
#define EVENTS_MEAN 26.5
#define EVENTS_MOST 66
#define PROMPT_MEAN 800
#define PROMPT_MOST 2850
#define URGENT_IN_100 70
#define BIG_SIZE 1300

/* A router's planned stop: what comes later than this is sent elsewhere; its end; its return. */
#define STOP_TAKES_MS 3000
#define STOP_ENDS_MS 8000
#define STOP_AWAY_MS 1000
#define LEAVING_RETRY_MS 10

enum call_state
{
  CALL_AWAY,    /* not asked yet, or told to come back */
  CALL_WAITING, /* at a router, for room */
  CALL_SENT,    /* at an endpoint */
  CALL_OVER,
};

struct call
{
  int64_t first_ms; /* first asked */
  int64_t next_ms;  /* AWAY: asks then */
  uint32_t class_index;
  uint32_t prompt_left;
  uint32_t prompt;
  uint32_t events;
  uint32_t made;
  uint32_t tries;
  uint32_t refusals;
  uint32_t router;
  uint32_t endpoint;
  uint64_t order; /* of its coming to the router */
  enum call_state state;
  struct ash_forward forward;
  int64_t reads_ms; /* reading may begin */
  int64_t event_ms; /* of its last event */
  bool late;
  bool overtaken;
  bool served;
  double held_ms;
};

struct router
{
  struct ash_direct_set set;
  struct ash_direct_endpoint *endpoints[ENDPOINTS];
  struct ash_resend_window window;
  uint32_t told[ENDPOINTS];
  bool up;
  bool stopping;
  int64_t since_ms; /* it stops, or went */
  bool changed;
  bool room;
};

struct group
{
  int64_t pass_ends_ms;
  bool passing;
};

struct world
{
  const struct router_world_setup *setup;
  struct router_world_result *result;
  struct ash_random random;
  int64_t now_ms;
  uint64_t orders;
  struct router routers[ROUTERS];
  struct group groups[GROUPS_MAX];
  uint32_t group_count;
  struct call *calls;
  uint32_t call_count;
  uint32_t *active; /* indices of calls that are waiting or sent */
  uint32_t active_count;
  uint32_t next_call; /* calls before it have been asked */
  uint32_t at_endpoint[ENDPOINTS];
  int64_t last_return_ms; /* the latest that a caller was told, RETURN_BY_RATE */
  uint32_t freed;         /* places, in this second and the last */
  uint32_t freed_last;
  double pass_sum_ms;
  uint32_t passes;
};

static struct ash_time
time_of (const struct world *world)
{
  return (struct ash_time){ world->now_ms + 1 };
}

static double
draw (struct world *world)
{
  return (ash_random_below (&world->random, 1000000) + 0.5) / 1e6;
}

/* ---- endpoints ---- */

static const struct ash_engine_facts *
or_usual (const struct ash_engine_facts *engine)
{
  return engine ? engine : &usual_engine;
}

double
router_world_pass_ms (const struct ash_engine_facts *engine,
                      double skew,
                      uint32_t writers,
                      uint32_t read_tokens,
                      double slow_times)
{
  engine = or_usual (engine);
  return slow_times *
         (ash_pass_model_ms (engine, writers, skew) + read_tokens * 1000.0 / engine->read_tokens_s);
}

/* Demand has just shifted, and ranks copy what the map lacks. */
static bool
is_shifted (const struct world *world)
{
  const struct router_world_setup *setup = world->setup;

  return setup->shift_every_ms && world->now_ms >= setup->shift_every_ms &&
         world->now_ms % setup->shift_every_ms < setup->shift_takes_ms;
}

static double
slowness (const struct world *world, uint32_t group)
{
  const struct router_world_setup *setup = world->setup;
  int64_t since_ms = world->now_ms - setup->slow_at_ms;
  bool slow = since_ms >= 0 && since_ms < setup->slow_for_ms;

  /* A group is as slow as its slowest rank. */
  return slow && group < setup->slow_groups ? setup->slow_times : 1;
}

static void free_place (struct world *world, struct call *call);

/* Counts what arrived of a call. */
static void
end_call (struct world *world, struct call *call, bool whole)
{
  struct router_world_class *class = &world->result->classes[call->class_index];
  bool in_time = whole && world->now_ms + CALLER_MS <= call->first_ms + DEADLINE_MS;

  call->state = CALL_OVER;
  call->served = in_time;
  class->asked++;
  class->in_aim += in_time && !call->late;
  class->late += in_time && call->late;
  class->cut += !in_time && call->made > 0;
  class->refused_once += call->refusals > 0;
  class->refused_twice += call->refusals >= TRIES;
  class->held += !in_time && call->held_ms > HELD_MS;
  class->overtaken += call->overtaken;
  if (!in_time)
    class->held_s += call->held_ms / 1000;
  if (call->prompt + 10 * call->events * or_usual (world->setup->engine)->stride > BIG_SIZE * 2)
    {
      class->big++;
      class->big_served += in_time;
    }
}

static void
make_event (struct world *world, struct call *call)
{
  struct router *router = &world->routers[call->router];
  int64_t pause_ms = world->now_ms - call->event_ms;

  if (call->made == 0)
    call->late |= world->now_ms + 2 * CALLER_MS - call->first_ms > AIM_MS;
  else
    {
      call->late |= pause_ms > ROUTER_WORLD_PAUSE_MS;
      ash_direct_note_pause (router->endpoints[call->endpoint], time_of (world), pause_ms);
    }
  call->event_ms = world->now_ms;
  if (++call->made < call->events)
    return;
  free_place (world, call);
  end_call (world, call, true);
}

static bool
is_of_group (const struct world *world, const struct call *call, uint32_t group)
{
  return call->state == CALL_SENT && call->endpoint / (ENDPOINTS / world->group_count) == group;
}

/* All that have read their prompts get an event; @return whether any call is there. */
static void
end_pass (struct world *world, uint32_t group)
{
  for (uint32_t i = 0; i < world->active_count; i++)
    {
      struct call *call = &world->calls[world->active[i]];

      if (is_of_group (world, call, group) && call->prompt_left == 0)
        make_event (world, call);
    }
  world->groups[group].passing = false;
}

static void
begin_pass (struct world *world, uint32_t group)
{
  const struct ash_engine_facts *engine = or_usual (world->setup->engine);
  uint32_t read_most = READ_TOKENS_STEP * engine->stride;
  uint32_t writers[ENDPOINTS] = { 0 };
  uint32_t read[ENDPOINTS] = { 0 };
  uint32_t most_writers = 0;
  uint32_t most_read = 0;
  bool shifted = is_shifted (world);
  double ms;

  for (uint32_t i = 0; i < world->active_count; i++)
    {
      struct call *call = &world->calls[world->active[i]];
      uint32_t rank = call->endpoint;
      uint32_t part;

      if (!is_of_group (world, call, group) || world->now_ms < call->reads_ms ||
          writers[rank] == ENDPOINT_SLOTS)
        continue;
      writers[rank]++;
      part =
          call->prompt_left < read_most - read[rank] ? call->prompt_left : read_most - read[rank];
      call->prompt_left -= part;
      read[rank] += part;
      most_writers = writers[rank] > most_writers ? writers[rank] : most_writers;
      most_read = read[rank] > most_read ? read[rank] : most_read;
    }
  if (!most_writers)
    return;
  ms = router_world_pass_ms (engine, shifted ? world->setup->shift_skew : ROUTER_WORLD_SKEW,
                             most_writers, most_read, slowness (world, group));
  if (shifted)
    ms *= 1 + ASH_PASS_COPY_SLOWDOWN;
  world->groups[group].passing = true;
  world->groups[group].pass_ends_ms = world->now_ms + (int64_t) (ms + 0.5);
  world->pass_sum_ms += ms;
  world->passes++;
}

/* ---- routers ---- */

static void
free_place (struct world *world, struct call *call)
{
  struct router *router = &world->routers[call->router];

  router->endpoints[call->endpoint]->in_flight--;
  world->at_endpoint[call->endpoint]--;
  world->freed++;
  router->changed = true;
  router->room = true;
}

static void
come_back (struct world *world, struct call *call, uint32_t retry_ms)
{
  int64_t left_ms = call->first_ms + DEADLINE_MS - world->now_ms;
  int64_t wait_ms = retry_ms < left_ms / 3 ? retry_ms : left_ms / 3;

  if (++call->refusals >= TRIES || left_ms <= 0)
    {
      end_call (world, call, false);
      return;
    }
  call->state = CALL_AWAY;
  call->next_ms = world->now_ms + 2 * CALLER_MS + wait_ms;
}

/* Those that arrived earlier, are more urgent and still wait were overtaken. */
static void
note_overtaken (struct world *world, const struct call *sent)
{
  for (uint32_t i = 0; i < world->active_count; i++)
    {
      struct call *call = &world->calls[world->active[i]];

      if (call->state == CALL_WAITING && call->class_index < sent->class_index &&
          call->order < sent->order)
        call->overtaken = true;
    }
}

static void
send_call (struct world *world, struct call *call, struct ash_direct_endpoint *endpoint)
{
  struct router *router = &world->routers[call->router];
  uint32_t at = (uint32_t) atoi (endpoint->facts.id);

  note_overtaken (world, call);
  call->held_ms += (double) (world->now_ms + 1 - call->forward.arrived.ms);
  ash_forward_sent (&call->forward, endpoint);
  ash_direct_note_sent (endpoint, time_of (world));
  router->changed = true;
  call->state = CALL_SENT;
  call->endpoint = at;
  call->reads_ms = world->now_ms + FIRST_MS;
  call->prompt_left = call->prompt;
  world->at_endpoint[at]++;
  if (world->at_endpoint[at] > world->result->most_at_endpoint)
    world->result->most_at_endpoint = world->at_endpoint[at];
}

static bool
has_returned (const struct call *call)
{
  return call->refusals > 0;
}

/* When a refused caller is told to come back. */
static uint32_t
return_ms (struct world *world, uint32_t told_ms)
{
  const struct router_world_setup *setup = world->setup;
  int64_t turn_ms;

  switch (setup->returning)
    {
    case RETURN_AS_TOLD:
      return told_ms;
    case RETURN_SPREAD:
      return setup->return_least_ms + ash_random_below (&world->random, setup->return_spread_ms);
    case RETURN_BY_RATE:
      /* One after the other, as fast as places became free in the last second. */
      turn_ms = world->last_return_ms + 1000 / (world->freed_last + 1);
      if (turn_ms < world->now_ms + setup->return_least_ms)
        turn_ms = world->now_ms + setup->return_least_ms;
      world->last_return_ms = turn_ms;
      return (uint32_t) (turn_ms - world->now_ms);
    }
  return told_ms;
}

static void
step (struct world *world, struct call *call)
{
  struct router *router = &world->routers[call->router];
  struct ash_forward_context forward_world = {
    .endpoints = &router->set,
    .window = &router->window,
    .bound = { 10000, 0.1, 20 },
    .entries = ROUTERS,
    .wait_ms = has_returned (call) ? world->setup->returned_wait_ms : world->setup->wait_ms,
  };
  struct ash_forward_decision verdict =
      ash_forward_next (&call->forward, &forward_world, time_of (world));

  switch (verdict.action)
    {
    case ASH_FORWARD_SEND:
      send_call (world, call, verdict.endpoint);
      break;
    case ASH_FORWARD_WAIT:
      call->state = CALL_WAITING;
      break;
    case ASH_FORWARD_ANSWER:
      call->held_ms += (double) (world->now_ms + 1 - call->forward.arrived.ms);
      come_back (world, call, return_ms (world, verdict.answer.retry_after_ms));
      break;
    }
}

/* @return whether a is looked at before b: as they arrived, or by class and deadline. */
static bool
goes_first (const struct world *world, const struct call *a, const struct call *b)
{
  if (!world->setup->by_deadline)
    return a->order < b->order;
  if (a->class_index != b->class_index)
    return a->class_index < b->class_index;
  return a->first_ms < b->first_ms || (a->first_ms == b->first_ms && a->order < b->order);
}

static void
look_at_waiting (struct world *world, uint32_t router)
{
  static uint32_t waiting[CALLS_MAX];
  uint32_t count = 0;

  world->routers[router].room = false;
  for (uint32_t i = 0; i < world->active_count; i++)
    {
      struct call *call = &world->calls[world->active[i]];
      uint32_t at = count;

      if (call->state != CALL_WAITING || call->router != router)
        continue;
      for (; at > 0 && goes_first (world, call, &world->calls[waiting[at - 1]]); at--)
        waiting[at] = waiting[at - 1];
      waiting[at] = world->active[i];
      count++;
    }
  for (uint32_t i = 0; i < count; i++)
    step (world, &world->calls[waiting[i]]);
}

/* A router tells the others what it has at each endpoint. */
static void
tell_loads (struct world *world, uint32_t index)
{
  struct router *router = &world->routers[index];

  router->changed = false;
  for (uint32_t e = 0; e < ENDPOINTS; e++)
    router->told[e] = router->endpoints[e]->in_flight;
  for (uint32_t r = 0; r < ROUTERS; r++)
    {
      if (r == index || !world->routers[r].up)
        continue;
      for (uint32_t e = 0; e < ENDPOINTS; e++)
        {
          uint32_t sum = 0;

          for (uint32_t q = 0; q < ROUTERS; q++)
            sum += q != r && world->routers[q].up ? world->routers[q].told[e] : 0;
          world->routers[r].endpoints[e]->elsewhere = sum;
        }
      world->routers[r].room = true;
    }
}

static void
start_router (struct world *world, uint32_t index)
{
  struct router *router = &world->routers[index];

  *router = (struct router){ .up = true, .changed = true };
  ash_direct_init (&router->set, ash_random_next (&world->random));
  for (uint32_t e = 0; e < ENDPOINTS; e++)
    {
      struct ash_direct_facts facts = { .service = "model", .slots = ENDPOINT_SLOTS };

      snprintf (facts.id, sizeof facts.id, "%u", e);
      if (!ash_direct_update (&router->set, &facts))
        abort ();
      router->endpoints[e] = ash_direct_find (&router->set, facts.id);
    }
}

/* A process ends: what it has is cut. */
static void
end_router (struct world *world, uint32_t index)
{
  struct router *router = &world->routers[index];

  for (uint32_t i = 0; i < world->active_count; i++)
    {
      struct call *call = &world->calls[world->active[i]];

      if (call->router != index || (call->state != CALL_SENT && call->state != CALL_WAITING))
        continue;
      if (call->state == CALL_SENT)
        free_place (world, call);
      end_call (world, call, false);
    }
  tell_loads (world, index);
  ash_direct_finish (&router->set);
  router->up = false;
  router->stopping = false;
  router->since_ms = world->now_ms;
}

static bool
has_work (const struct world *world, uint32_t index)
{
  for (uint32_t i = 0; i < world->active_count; i++)
    {
      const struct call *call = &world->calls[world->active[i]];

      if (call->router == index && (call->state == CALL_SENT || call->state == CALL_WAITING))
        return true;
    }
  return false;
}

static void
roll (struct world *world, uint32_t index)
{
  const struct router_world_setup *setup = world->setup;
  struct router *router = &world->routers[index];
  int64_t since_ms = world->now_ms - router->since_ms;

  for (uint32_t i = 0; i < setup->rolls; i++)
    if (router->up && !router->stopping &&
        world->now_ms == setup->roll_at_ms[i] + (int64_t) index * setup->roll_gap_ms)
      {
        router->stopping = true;
        router->since_ms = world->now_ms;
        return;
      }
  if (router->stopping &&
      (since_ms >= STOP_ENDS_MS || (since_ms >= STOP_TAKES_MS && !has_work (world, index))))
    end_router (world, index);
  else if (!router->up && since_ms >= STOP_AWAY_MS)
    start_router (world, index);
}

/* ---- callers ---- */

/* A caller's addresses are of up to two seconds ago, and one where nobody listens is passed. */
static int32_t
choose_router (struct world *world)
{
  int64_t age_ms = ash_random_below (&world->random, ADDRESS_KEEP_MS);
  int32_t found[ROUTERS] = { 0 };
  uint32_t count = 0;

  for (int32_t r = 0; r < ROUTERS; r++)
    {
      const struct router *router = &world->routers[r];

      if (router->up && !(router->stopping && world->now_ms - router->since_ms > age_ms))
        found[count++] = r;
    }
  return count ? found[ash_random_below (&world->random, count)] : -1;
}

static void
ask (struct world *world, uint32_t index)
{
  struct call *call = &world->calls[index];
  int32_t r = choose_router (world);
  struct router *router;

  if (r < 0)
    {
      call->next_ms = world->now_ms + 100;
      return;
    }
  router = &world->routers[r];
  call->router = (uint32_t) r;
  call->order = ++world->orders;
  call->tries++;
  if (router->stopping && world->now_ms - router->since_ms > STOP_TAKES_MS)
    {
      come_back (world, call, LEAVING_RETRY_MS);
      return;
    }
  call->forward = (struct ash_forward){
    .repeat = ASH_REPEAT_SAFE,
    .servers_max = 2,
    .aim_ms = AIM_MS,
    .service = "model",
    .cap =
        (uint32_t) ((int32_t) world->setup->cap + (has_returned (call) ? world->setup->kept : 0)),
    .pause_aim_ms = world->setup->fixed_cap ? 0 : ROUTER_WORLD_PAUSE_MS,
    .arrived = time_of (world),
    .deadline = { call->first_ms + DEADLINE_MS },
  };
  step (world, call);
}

static double
demand (const struct world *world, double at_ms)
{
  const struct router_world_setup *setup = world->setup;
  double since_ms = at_ms - setup->burst_at_ms;

  return setup->calls_s *
         (since_ms >= 0 && since_ms < setup->burst_for_ms ? setup->burst_times : 1);
}

/* Log-normal by the sum of twelve draws. */
static uint32_t
draw_size (struct world *world, double mean, double spread, uint32_t most)
{
  double sum = -6;
  double size;

  for (int i = 0; i < 12; i++)
    sum += draw (world);
  size = mean * exp (spread * sum - spread * spread / 2);
  return size < 1 ? 1 : size > most ? most : (uint32_t) size;
}

static void
make_calls (struct world *world)
{
  double at_ms = 0;

  world->calls = calloc (CALLS_MAX, sizeof *world->calls);
  world->active = calloc (CALLS_MAX, sizeof *world->active);
  if (!world->calls || !world->active)
    abort ();
  while (world->call_count < CALLS_MAX)
    {
      at_ms -= log (draw (world)) * 1000 / demand (world, at_ms);
      if (at_ms >= world->setup->length_ms)
        break;
      world->calls[world->call_count++] = (struct call){
        .first_ms = (int64_t) at_ms,
        .next_ms = (int64_t) at_ms + CALLER_MS,
        .class_index = ash_random_below (&world->random, 100) < URGENT_IN_100 ? 0 : 1,
        .prompt = draw_size (world, PROMPT_MEAN, 0.95, PROMPT_MOST),
        .events = draw_size (world, EVENTS_MEAN, 0.75, EVENTS_MOST),
      };
    }
}

/* ---- running ---- */

static void
ask_those_due (struct world *world)
{
  uint32_t kept = 0;

  while (world->next_call < world->call_count &&
         world->calls[world->next_call].next_ms <= world->now_ms)
    world->active[world->active_count++] = world->next_call++;
  for (uint32_t i = 0; i < world->active_count; i++)
    {
      struct call *call = &world->calls[world->active[i]];

      if (call->state == CALL_AWAY && call->next_ms <= world->now_ms)
        ask (world, world->active[i]);
    }
  for (uint32_t i = 0; i < world->active_count; i++)
    if (world->calls[world->active[i]].state != CALL_OVER)
      world->active[kept++] = world->active[i];
  world->active_count = kept;
}

static bool
has_left (const struct world *world, const struct call *call)
{
  return world->now_ms >= call->first_ms + DEADLINE_MS ||
         (!call->made && world->now_ms - call->forward.arrived.ms >= GIVE_UP_MS);
}

/* Callers leave at their deadline, or when nothing comes; those whose wait is over are answered. */
static void
end_those_due (struct world *world)
{
  for (uint32_t i = 0; i < world->active_count; i++)
    {
      struct call *call = &world->calls[world->active[i]];

      if (call->state == CALL_WAITING)
        step (world, call);
      if (call->state == CALL_OVER || call->state == CALL_AWAY || !has_left (world, call))
        continue;
      if (call->state == CALL_SENT)
        free_place (world, call);
      else
        call->held_ms += (double) (world->now_ms + 1 - call->forward.arrived.ms);
      end_call (world, call, false);
    }
}

static void
play_ms (struct world *world)
{
  uint32_t tell_ms = world->setup->tell_ms;

  if (world->now_ms % 1000 == 0)
    {
      world->freed_last = world->freed;
      world->freed = 0;
    }
  for (uint32_t g = 0; g < world->group_count; g++)
    {
      if (world->groups[g].passing && world->groups[g].pass_ends_ms <= world->now_ms)
        end_pass (world, g);
      if (!world->groups[g].passing)
        begin_pass (world, g);
    }
  for (uint32_t r = 0; r < ROUTERS; r++)
    {
      roll (world, r);
      if (world->routers[r].up && world->routers[r].changed &&
          (world->now_ms + r * tell_ms / ROUTERS) % tell_ms == 0)
        tell_loads (world, r);
      if (world->routers[r].up && world->routers[r].room)
        look_at_waiting (world, r);
    }
  ask_those_due (world);
  end_those_due (world);
}

void
router_world_play (const struct router_world_setup *setup, struct router_world_result *result)
{
  struct world world = { .setup = setup, .result = result };

  *result = (struct router_world_result){ 0 };
  world.group_count = setup->groups ? setup->groups : GROUPS_USUAL;
  ash_random_init (&world.random, setup->seed);
  make_calls (&world);
  for (uint32_t r = 0; r < ROUTERS; r++)
    start_router (&world, r);
  for (; world.now_ms < setup->length_ms + 2 * DEADLINE_MS; world.now_ms++)
    play_ms (&world);
  for (uint32_t r = 0; r < ROUTERS; r++)
    if (world.routers[r].up)
      ash_direct_finish (&world.routers[r].set);
  result->pass_ms = world.passes ? world.pass_sum_ms / world.passes : 0;
  free (world.calls);
  free (world.active);
}

struct router_world_class
router_world_all (const struct router_world_result *result)
{
  struct router_world_class all = { 0 };

  for (uint32_t c = 0; c < ROUTER_WORLD_CLASSES; c++)
    {
      const struct router_world_class *class = &result->classes[c];

      all.asked += class->asked;
      all.in_aim += class->in_aim;
      all.late += class->late;
      all.refused_once += class->refused_once;
      all.refused_twice += class->refused_twice;
      all.held += class->held;
      all.cut += class->cut;
      all.overtaken += class->overtaken;
      all.big += class->big;
      all.big_served += class->big_served;
      all.held_s += class->held_s;
    }
  return all;
}

double
router_world_worth (const struct router_world_class *class)
{
  return class->asked ? (class->in_aim + LATE_WORTH * class->late) / class->asked : 0;
}

/* ---- engines and shifts ---- */

#define SHIFT_EVERY_MS 3600
#define SHIFTED_SKEW 3.2
#define SHIFT_SEEN_MS 450 /* seen, counted, ordered */
#define SHIFT_SEEDS 2
#define EXPERT_MB 1000.0
#define BITS_PER_BYTE 8

void
router_world_engine (struct ash_engine_facts *engine, double sequence_ms, double copy_ms)
{
  *engine = (struct ash_engine_facts){
    .slots = ENDPOINT_SLOTS,
    .stride = 5,
    .step_ms = 4.7,
    .sequence_ms = sequence_ms,
    .read_tokens_s = 65000,
    .usual_prompt_tokens = PROMPT_MEAN,
    .usual_answer_tokens = 130,
    .expert_share = 0.85,
    .expert_mb = EXPERT_MB,
    .link_mbps = EXPERT_MB * BITS_PER_BYTE * 1000 / copy_ms,
  };
}

double
router_world_shifted_worth (const struct ash_engine_facts *engine, uint32_t streams)
{
  const uint32_t half = ENDPOINT_SLOTS / 2;
  struct router_world_setup setup = {
    .length_ms = 10000,
    .engine = engine,
    .groups = 1,
    .cap = streams,
    .tell_ms = 50,
    .wait_ms = 80,
    .returned_wait_ms = 80,
    .calls_s = ENDPOINTS * half * 1000 /
               (EVENTS_MEAN *
                router_world_pass_ms (engine, ROUTER_WORLD_SKEW, half, PROMPT_MEAN * 3 / 2, 1)),
    .shift_every_ms = SHIFT_EVERY_MS,
    .shift_takes_ms = SHIFT_SEEN_MS + (uint32_t) ash_pass_model_copy_ms (engine),
    .shift_skew = SHIFTED_SKEW,
  };
  double worth = 0;

  for (setup.seed = 1; setup.seed <= SHIFT_SEEDS; setup.seed++)
    {
      struct router_world_result result;
      struct router_world_class all;

      router_world_play (&setup, &result);
      all = router_world_all (&result);
      worth += router_world_worth (&all) / SHIFT_SEEDS;
    }
  return worth;
}
