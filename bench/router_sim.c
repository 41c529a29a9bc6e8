#include "bench/router_sim.h"

#include "controllers/pass_model.h"
#include "filters/forward.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUTERS 8
#define GROUPS_DEFAULT 2
#define GROUPS_MAX 4
#define ENDPOINTS 16
#define CALLS_MAX 20000

#define READ_TOKENS_STEP 512 /* maximum number of prompt tokens read in a step */
#define PROMPT_DELAY_MS 70   /* from sending a request until its prompt is read */
#define ENDPOINT_SLOTS 12

/* The engine of the first users' data sheets. expert_share 1: the whole work per token grows with
 * skew. */
static const struct ash_engine_facts default_engine = {
  .slots = ENDPOINT_SLOTS,
  .stride = 6,
  .step_ms = 4.84,
  .sequence_ms = 0.362,
  .read_tokens_s = 74800,
  .expert_share = 1,
};

/* Callers, from the same data sheets. */
#define FIRST_EVENT_TARGET_MS 400
#define DEADLINE_MS 8000
#define FIRST_EVENT_TIMEOUT_MS 2000 /* callers disconnect if the first event takes longer */
#define CALLER_LATENCY_MS 2
#define TRIES 2 /* first attempt and one retry */
#define ADDRESS_KEEP_MS 2000
#define LONG_WAIT_MS 50 /* an eighth of FIRST_EVENT_TARGET_MS */
#define LATE_SCORE 0.5
#define EVENTS_MEAN 26.5
#define EVENTS_MAX 66
#define PROMPT_TOKENS_MEAN 800
#define PROMPT_TOKENS_MAX 2850
#define URGENT_PERCENT 70
#define LARGE_SIZE 1300 /* large calls: prompt tokens + 10 * answer tokens > 2 * LARGE_SIZE */

/* Planned stop of a router. */
#define STOP_ACCEPT_MS 3000 /* accepts new calls for this long; then exits once it has none */
#define STOP_GRACE_MS 8000  /* exits after this long even with unfinished calls */
#define RESTART_DELAY_MS 1000
#define LEAVING_RETRY_MS 10

enum call_state
{
  CALL_PENDING, /* not submitted yet, or waiting to retry */
  CALL_WAITING, /* at a router, for a free slot */
  CALL_SENT,    /* at an endpoint */
  CALL_ENDED,
};

struct call
{
  int64_t first_ms; /* first attempt */
  int64_t next_ms;  /* CALL_PENDING: next attempt */
  uint32_t class_index;
  uint32_t prompt_remaining;
  uint32_t prompt;
  uint32_t events;
  uint32_t events_received;
  uint32_t tries;
  uint32_t refusals;
  uint32_t router;
  uint32_t endpoint;
  uint64_t order; /* order of arrival at routers */
  enum call_state state;
  struct ash_forward forward;
  int64_t reads_ms; /* earliest time at which a pass can read the prompt */
  int64_t event_ms; /* last event received */
  bool late;        /* the first event or a pause missed its target */
  bool overtaken;
  bool served;
  double waited_ms;
};

struct router
{
  struct ash_direct_set set;
  struct ash_direct_endpoint *endpoints[ENDPOINTS];
  struct ash_resend_window window;
  uint32_t reported[ENDPOINTS]; /* in_flight as last reported to the other routers */
  bool up;
  bool stopping;
  int64_t since_ms;   /* if stopping: start of the planned stop; if not up: time of the exit */
  bool changed;       /* in_flight has changed since the last report */
  bool check_waiting; /* waiting calls may be sent now */
};

struct group
{
  int64_t pass_ends_ms;
  bool pass_running;
};

struct sim
{
  const struct router_sim_setup *setup;
  struct router_sim_result *result;
  struct ash_random random;
  int64_t now_ms;
  uint64_t arrivals;
  struct router routers[ROUTERS];
  struct group groups[GROUPS_MAX];
  uint32_t group_count;
  struct call *calls;
  uint32_t call_count;
  uint32_t *active; /* indices of the calls that have been submitted and have not ended */
  uint32_t active_count;
  uint32_t next_call;                /* index of the first call that has not been submitted yet */
  uint32_t endpoint_load[ENDPOINTS]; /* requests at each endpoint, from all routers */
  int64_t last_retry_ms;             /* RETRY_BY_RATE: latest retry time of any caller */
  uint32_t released;                 /* slots released in this second */
  uint32_t released_last;            /* slots released in the previous second */
  double pass_sum_ms;
  uint32_t passes;
};

static struct ash_time
sim_time (const struct sim *sim)
{
  return (struct ash_time){ sim->now_ms + 1 };
}

static double
draw (struct sim *sim)
{
  return (ash_random_below (&sim->random, 1000000) + 0.5) / 1e6;
}

/* ---- endpoints ---- */

static const struct ash_engine_facts *
engine_or_default (const struct ash_engine_facts *engine)
{
  return engine ? engine : &default_engine;
}

double
router_sim_pass_ms (const struct ash_engine_facts *engine,
                    double skew,
                    uint32_t writers,
                    uint32_t read_tokens,
                    double slow_factor)
{
  engine = engine_or_default (engine);
  return slow_factor *
         (ash_pass_model_ms (engine, writers, skew) + read_tokens * 1000.0 / engine->read_tokens_s);
}

/* @return whether demand has shifted and ranks still copy the experts that the new map needs. */
static bool
is_shifted (const struct sim *sim)
{
  const struct router_sim_setup *setup = sim->setup;

  return setup->shift_period_ms && sim->now_ms >= setup->shift_period_ms &&
         sim->now_ms % setup->shift_period_ms < setup->shift_duration_ms;
}

static double
group_slow_factor (const struct sim *sim, uint32_t group)
{
  const struct router_sim_setup *setup = sim->setup;
  int64_t since_ms = sim->now_ms - setup->slow_start_ms;
  bool slow = since_ms >= 0 && since_ms < setup->slow_duration_ms;

  /* All ranks of a group wait for the slowest rank. */
  return slow && group < setup->slow_groups ? setup->slow_factor : 1;
}

static void release_slot (struct sim *sim, struct call *call);

/* Ends a call and counts its result. */
static void
end_call (struct sim *sim, struct call *call, bool whole)
{
  struct router_sim_class *class = &sim->result->classes[call->class_index];
  bool in_time = whole && sim->now_ms + CALLER_LATENCY_MS <= call->first_ms + DEADLINE_MS;

  call->state = CALL_ENDED;
  call->served = in_time;
  class->offered++;
  class->on_target += in_time && !call->late;
  class->late += in_time && call->late;
  class->interrupted += !in_time && call->events_received > 0;
  class->refused_once += call->refusals > 0;
  class->refused_twice += call->refusals >= TRIES;
  class->unserved_waits += !in_time && call->waited_ms > LONG_WAIT_MS;
  class->overtaken += call->overtaken;
  if (!in_time)
    class->unserved_wait_s += call->waited_ms / 1000;
  if (call->prompt + 10 * call->events * engine_or_default (sim->setup->engine)->stride >
      LARGE_SIZE * 2)
    {
      class->large++;
      class->large_served += in_time;
    }
}

static void
make_event (struct sim *sim, struct call *call)
{
  struct router *router = &sim->routers[call->router];
  int64_t pause_ms = sim->now_ms - call->event_ms;

  if (call->events_received == 0)
    call->late |= sim->now_ms + 2 * CALLER_LATENCY_MS - call->first_ms > FIRST_EVENT_TARGET_MS;
  else
    {
      call->late |= pause_ms > ROUTER_SIM_PAUSE_MAX_MS;
      ash_direct_note_pause (router->endpoints[call->endpoint], sim_time (sim), pause_ms);
    }
  call->event_ms = sim->now_ms;
  if (++call->events_received < call->events)
    return;
  release_slot (sim, call);
  end_call (sim, call, true);
}

static bool
is_of_group (const struct sim *sim, const struct call *call, uint32_t group)
{
  return call->state == CALL_SENT && call->endpoint / (ENDPOINTS / sim->group_count) == group;
}

/* Ends a pass: each call of the group whose prompt has been read gets an event. */
static void
end_pass (struct sim *sim, uint32_t group)
{
  for (uint32_t i = 0; i < sim->active_count; i++)
    {
      struct call *call = &sim->calls[sim->active[i]];

      if (is_of_group (sim, call, group) && call->prompt_remaining == 0)
        make_event (sim, call);
    }
  sim->groups[group].pass_running = false;
}

static void
begin_pass (struct sim *sim, uint32_t group)
{
  const struct ash_engine_facts *engine = engine_or_default (sim->setup->engine);
  uint32_t read_most = READ_TOKENS_STEP * engine->stride;
  uint32_t writers[ENDPOINTS] = { 0 };
  uint32_t read[ENDPOINTS] = { 0 };
  uint32_t most_writers = 0;
  uint32_t most_read = 0;
  bool shifted = is_shifted (sim);
  double ms;

  for (uint32_t i = 0; i < sim->active_count; i++)
    {
      struct call *call = &sim->calls[sim->active[i]];
      uint32_t rank = call->endpoint;
      uint32_t tokens;

      if (!is_of_group (sim, call, group) || sim->now_ms < call->reads_ms ||
          writers[rank] == ENDPOINT_SLOTS)
        continue;
      writers[rank]++;
      tokens = call->prompt_remaining < read_most - read[rank] ? call->prompt_remaining
                                                               : read_most - read[rank];
      call->prompt_remaining -= tokens;
      read[rank] += tokens;
      most_writers = writers[rank] > most_writers ? writers[rank] : most_writers;
      most_read = read[rank] > most_read ? read[rank] : most_read;
    }
  if (!most_writers)
    return;
  ms = router_sim_pass_ms (engine, shifted ? sim->setup->shift_skew : ROUTER_SIM_SKEW, most_writers,
                           most_read, group_slow_factor (sim, group));
  if (shifted)
    ms *= 1 + ASH_PASS_COPY_SLOWDOWN;
  sim->groups[group].pass_running = true;
  sim->groups[group].pass_ends_ms = sim->now_ms + (int64_t) (ms + 0.5);
  sim->pass_sum_ms += ms;
  sim->passes++;
}

/* ---- routers ---- */

static void
release_slot (struct sim *sim, struct call *call)
{
  struct router *router = &sim->routers[call->router];

  router->endpoints[call->endpoint]->in_flight--;
  sim->endpoint_load[call->endpoint]--;
  sim->released++;
  router->changed = true;
  router->check_waiting = true;
}

static void
schedule_retry (struct sim *sim, struct call *call, uint32_t retry_ms)
{
  int64_t left_ms = call->first_ms + DEADLINE_MS - sim->now_ms;
  int64_t wait_ms = retry_ms < left_ms / 3 ? retry_ms : left_ms / 3;

  if (++call->refusals >= TRIES || left_ms <= 0)
    {
      end_call (sim, call, false);
      return;
    }
  call->state = CALL_PENDING;
  call->next_ms = sim->now_ms + 2 * CALLER_LATENCY_MS + wait_ms;
}

/* Marks the waiting calls that arrived before @p sent and are more urgent as overtaken. */
static void
mark_overtaken (struct sim *sim, const struct call *sent)
{
  for (uint32_t i = 0; i < sim->active_count; i++)
    {
      struct call *call = &sim->calls[sim->active[i]];

      if (call->state == CALL_WAITING && call->class_index < sent->class_index &&
          call->order < sent->order)
        call->overtaken = true;
    }
}

static void
send_call (struct sim *sim, struct call *call, struct ash_direct_endpoint *endpoint)
{
  struct router *router = &sim->routers[call->router];
  uint32_t at = (uint32_t) atoi (endpoint->facts.id);

  mark_overtaken (sim, call);
  call->waited_ms += (double) (sim->now_ms + 1 - call->forward.arrived.ms);
  ash_forward_sent (&call->forward, endpoint);
  ash_direct_note_sent (endpoint, sim_time (sim));
  router->changed = true;
  call->state = CALL_SENT;
  call->endpoint = at;
  call->reads_ms = sim->now_ms + PROMPT_DELAY_MS;
  call->prompt_remaining = call->prompt;
  sim->endpoint_load[at]++;
  if (sim->endpoint_load[at] > sim->result->max_at_endpoint)
    sim->result->max_at_endpoint = sim->endpoint_load[at];
}

static bool
is_retry (const struct call *call)
{
  return call->refusals > 0;
}

/* @return delay after which a refused caller retries. @param advised_ms delay from filters/forward.
 */
static uint32_t
retry_delay_ms (struct sim *sim, uint32_t advised_ms)
{
  const struct router_sim_setup *setup = sim->setup;
  int64_t retry_at_ms;

  switch (setup->retry_policy)
    {
    case RETRY_AS_ADVISED:
      return advised_ms;
    case RETRY_RANDOM:
      return setup->retry_min_ms + ash_random_below (&sim->random, setup->retry_spread_ms);
    case RETRY_BY_RATE:
      /* One caller after the other, at the rate at which slots were released in the last second. */
      retry_at_ms = sim->last_retry_ms + 1000 / (sim->released_last + 1);
      if (retry_at_ms < sim->now_ms + setup->retry_min_ms)
        retry_at_ms = sim->now_ms + setup->retry_min_ms;
      sim->last_retry_ms = retry_at_ms;
      return (uint32_t) (retry_at_ms - sim->now_ms);
    }
  return advised_ms;
}

static void
try_forward (struct sim *sim, struct call *call)
{
  struct router *router = &sim->routers[call->router];
  struct ash_forward_context forward_context = {
    .endpoints = &router->set,
    .window = &router->window,
    .bound = { 10000, 0.1, 20 },
    .entries = ROUTERS,
    .wait_ms = is_retry (call) ? sim->setup->retry_queue_ms : sim->setup->wait_ms,
  };
  struct ash_forward_decision decision =
      ash_forward_next (&call->forward, &forward_context, sim_time (sim));

  switch (decision.action)
    {
    case ASH_FORWARD_SEND:
      send_call (sim, call, decision.endpoint);
      break;
    case ASH_FORWARD_WAIT:
      call->state = CALL_WAITING;
      break;
    case ASH_FORWARD_ANSWER:
      call->waited_ms += (double) (sim->now_ms + 1 - call->forward.arrived.ms);
      schedule_retry (sim, call, retry_delay_ms (sim, decision.answer.retry_after_ms));
      break;
    }
}

/* @return whether a is served before b: in order of arrival, or by class and deadline. */
static bool
is_served_first (const struct sim *sim, const struct call *a, const struct call *b)
{
  if (!sim->setup->by_deadline)
    return a->order < b->order;
  if (a->class_index != b->class_index)
    return a->class_index < b->class_index;
  return a->first_ms < b->first_ms || (a->first_ms == b->first_ms && a->order < b->order);
}

static void
forward_waiting (struct sim *sim, uint32_t router)
{
  static uint32_t waiting[CALLS_MAX];
  uint32_t count = 0;

  sim->routers[router].check_waiting = false;
  for (uint32_t i = 0; i < sim->active_count; i++)
    {
      struct call *call = &sim->calls[sim->active[i]];
      uint32_t at = count;

      if (call->state != CALL_WAITING || call->router != router)
        continue;
      for (; at > 0 && is_served_first (sim, call, &sim->calls[waiting[at - 1]]); at--)
        waiting[at] = waiting[at - 1];
      waiting[at] = sim->active[i];
      count++;
    }
  for (uint32_t i = 0; i < count; i++)
    try_forward (sim, &sim->calls[waiting[i]]);
}

/* Reports the number of requests of a router at each endpoint to the other routers. */
static void
report_loads (struct sim *sim, uint32_t index)
{
  struct router *router = &sim->routers[index];

  router->changed = false;
  for (uint32_t e = 0; e < ENDPOINTS; e++)
    router->reported[e] = router->endpoints[e]->in_flight;
  for (uint32_t r = 0; r < ROUTERS; r++)
    {
      if (r == index || !sim->routers[r].up)
        continue;
      for (uint32_t e = 0; e < ENDPOINTS; e++)
        {
          uint32_t sum = 0;

          for (uint32_t q = 0; q < ROUTERS; q++)
            sum += q != r && sim->routers[q].up ? sim->routers[q].reported[e] : 0;
          sim->routers[r].endpoints[e]->peers_in_flight = sum;
        }
      sim->routers[r].check_waiting = true;
    }
}

static void
start_router (struct sim *sim, uint32_t index)
{
  struct router *router = &sim->routers[index];

  *router = (struct router){ .up = true, .changed = true };
  ash_direct_init (&router->set, ash_random_next (&sim->random));
  for (uint32_t e = 0; e < ENDPOINTS; e++)
    {
      struct ash_direct_facts facts = { .service = "model", .slots = ENDPOINT_SLOTS };

      snprintf (facts.id, sizeof facts.id, "%u", e);
      if (!ash_direct_update (&router->set, &facts))
        abort ();
      router->endpoints[e] = ash_direct_find (&router->set, facts.id);
    }
}

/* Ends the process of a router, which interrupts its calls. */
static void
stop_router (struct sim *sim, uint32_t index)
{
  struct router *router = &sim->routers[index];

  for (uint32_t i = 0; i < sim->active_count; i++)
    {
      struct call *call = &sim->calls[sim->active[i]];

      if (call->router != index || (call->state != CALL_SENT && call->state != CALL_WAITING))
        continue;
      if (call->state == CALL_SENT)
        release_slot (sim, call);
      end_call (sim, call, false);
    }
  report_loads (sim, index);
  ash_direct_finish (&router->set);
  router->up = false;
  router->stopping = false;
  router->since_ms = sim->now_ms;
}

static bool
has_work (const struct sim *sim, uint32_t index)
{
  for (uint32_t i = 0; i < sim->active_count; i++)
    {
      const struct call *call = &sim->calls[sim->active[i]];

      if (call->router == index && (call->state == CALL_SENT || call->state == CALL_WAITING))
        return true;
    }
  return false;
}

static void
update_rolling_restart (struct sim *sim, uint32_t index)
{
  const struct router_sim_setup *setup = sim->setup;
  struct router *router = &sim->routers[index];
  int64_t since_ms = sim->now_ms - router->since_ms;

  for (uint32_t i = 0; i < setup->rolling_restarts; i++)
    if (router->up && !router->stopping &&
        sim->now_ms == setup->restart_start_ms[i] + (int64_t) index * setup->restart_gap_ms)
      {
        router->stopping = true;
        router->since_ms = sim->now_ms;
        return;
      }
  if (router->stopping &&
      (since_ms >= STOP_GRACE_MS || (since_ms >= STOP_ACCEPT_MS && !has_work (sim, index))))
    stop_router (sim, index);
  else if (!router->up && since_ms >= RESTART_DELAY_MS)
    start_router (sim, index);
}

/* ---- callers ---- */

/* Picks a random router. Callers cache the list of addresses for up to ADDRESS_KEEP_MS, so they may
 * pick a stopping router; they skip a router that does not listen. */
static int32_t
choose_router (struct sim *sim)
{
  int64_t age_ms = ash_random_below (&sim->random, ADDRESS_KEEP_MS);
  int32_t found[ROUTERS] = { 0 };
  uint32_t count = 0;

  for (int32_t r = 0; r < ROUTERS; r++)
    {
      const struct router *router = &sim->routers[r];

      if (router->up && !(router->stopping && sim->now_ms - router->since_ms > age_ms))
        found[count++] = r;
    }
  return count ? found[ash_random_below (&sim->random, count)] : -1;
}

static void
submit_call (struct sim *sim, uint32_t index)
{
  struct call *call = &sim->calls[index];
  int32_t r = choose_router (sim);
  struct router *router;

  if (r < 0)
    {
      call->next_ms = sim->now_ms + 100;
      return;
    }
  router = &sim->routers[r];
  call->router = (uint32_t) r;
  call->order = ++sim->arrivals;
  call->tries++;
  if (router->stopping && sim->now_ms - router->since_ms > STOP_ACCEPT_MS)
    {
      schedule_retry (sim, call, LEAVING_RETRY_MS);
      return;
    }
  call->forward = (struct ash_forward){
    .repeat = ASH_REPEAT_SAFE,
    .servers_max = 2,
    .answer_target_ms = FIRST_EVENT_TARGET_MS,
    .service = "model",
    .cap = (uint32_t) ((int32_t) sim->setup->cap +
                       (is_retry (call) ? sim->setup->retry_cap_extra : 0)),
    .pause_target_ms = sim->setup->fixed_cap ? 0 : ROUTER_SIM_PAUSE_MAX_MS,
    .arrived = sim_time (sim),
    .deadline = { call->first_ms + DEADLINE_MS },
  };
  try_forward (sim, call);
}

static double
demand (const struct sim *sim, double at_ms)
{
  const struct router_sim_setup *setup = sim->setup;
  double since_ms = at_ms - setup->burst_start_ms;

  return setup->calls_per_s *
         (since_ms >= 0 && since_ms < setup->burst_duration_ms ? setup->burst_factor : 1);
}

/* Log-normal distribution; the sum of 12 uniform numbers minus 6 approximates a normal variable. */
static uint32_t
draw_size (struct sim *sim, double mean, double spread, uint32_t most)
{
  double sum = -6;
  double size;

  for (int i = 0; i < 12; i++)
    sum += draw (sim);
  size = mean * exp (spread * sum - spread * spread / 2);
  return size < 1 ? 1 : size > most ? most : (uint32_t) size;
}

static void
make_calls (struct sim *sim)
{
  double at_ms = 0;

  sim->calls = calloc (CALLS_MAX, sizeof *sim->calls);
  sim->active = calloc (CALLS_MAX, sizeof *sim->active);
  if (!sim->calls || !sim->active)
    abort ();
  while (sim->call_count < CALLS_MAX)
    {
      at_ms -= log (draw (sim)) * 1000 / demand (sim, at_ms);
      if (at_ms >= sim->setup->duration_ms)
        break;
      sim->calls[sim->call_count++] = (struct call){
        .first_ms = (int64_t) at_ms,
        .next_ms = (int64_t) at_ms + CALLER_LATENCY_MS,
        .class_index = ash_random_below (&sim->random, 100) < URGENT_PERCENT ? 0 : 1,
        .prompt = draw_size (sim, PROMPT_TOKENS_MEAN, 0.95, PROMPT_TOKENS_MAX),
        .events = draw_size (sim, EVENTS_MEAN, 0.75, EVENTS_MAX),
      };
    }
}

/* ---- event loop ---- */

static void
submit_due_calls (struct sim *sim)
{
  uint32_t remaining = 0;

  while (sim->next_call < sim->call_count && sim->calls[sim->next_call].next_ms <= sim->now_ms)
    sim->active[sim->active_count++] = sim->next_call++;
  for (uint32_t i = 0; i < sim->active_count; i++)
    {
      struct call *call = &sim->calls[sim->active[i]];

      if (call->state == CALL_PENDING && call->next_ms <= sim->now_ms)
        submit_call (sim, sim->active[i]);
    }
  for (uint32_t i = 0; i < sim->active_count; i++)
    if (sim->calls[sim->active[i]].state != CALL_ENDED)
      sim->active[remaining++] = sim->active[i];
  sim->active_count = remaining;
}

static bool
caller_left (const struct sim *sim, const struct call *call)
{
  return sim->now_ms >= call->first_ms + DEADLINE_MS ||
         (!call->events_received &&
          sim->now_ms - call->forward.arrived.ms >= FIRST_EVENT_TIMEOUT_MS);
}

/* Refuses waiting calls whose maximum wait is over, and ends the calls whose callers disconnect: at
 * the deadline, or without a first event in time. */
static void
end_due_calls (struct sim *sim)
{
  for (uint32_t i = 0; i < sim->active_count; i++)
    {
      struct call *call = &sim->calls[sim->active[i]];

      if (call->state == CALL_WAITING)
        try_forward (sim, call);
      if (call->state == CALL_ENDED || call->state == CALL_PENDING || !caller_left (sim, call))
        continue;
      if (call->state == CALL_SENT)
        release_slot (sim, call);
      else
        call->waited_ms += (double) (sim->now_ms + 1 - call->forward.arrived.ms);
      end_call (sim, call, false);
    }
}

static void
simulate_ms (struct sim *sim)
{
  uint32_t report_period_ms = sim->setup->report_period_ms;

  if (sim->now_ms % 1000 == 0)
    {
      sim->released_last = sim->released;
      sim->released = 0;
    }
  for (uint32_t g = 0; g < sim->group_count; g++)
    {
      if (sim->groups[g].pass_running && sim->groups[g].pass_ends_ms <= sim->now_ms)
        end_pass (sim, g);
      if (!sim->groups[g].pass_running)
        begin_pass (sim, g);
    }
  for (uint32_t r = 0; r < ROUTERS; r++)
    {
      update_rolling_restart (sim, r);
      if (sim->routers[r].up && sim->routers[r].changed &&
          (sim->now_ms + r * report_period_ms / ROUTERS) % report_period_ms == 0)
        report_loads (sim, r);
      if (sim->routers[r].up && sim->routers[r].check_waiting)
        forward_waiting (sim, r);
    }
  submit_due_calls (sim);
  end_due_calls (sim);
}

void
router_sim_run (const struct router_sim_setup *setup, struct router_sim_result *result)
{
  struct sim sim = { .setup = setup, .result = result };

  *result = (struct router_sim_result){ 0 };
  sim.group_count = setup->groups ? setup->groups : GROUPS_DEFAULT;
  ash_random_init (&sim.random, setup->seed);
  make_calls (&sim);
  for (uint32_t r = 0; r < ROUTERS; r++)
    start_router (&sim, r);
  for (; sim.now_ms < setup->duration_ms + 2 * DEADLINE_MS; sim.now_ms++)
    simulate_ms (&sim);
  for (uint32_t r = 0; r < ROUTERS; r++)
    if (sim.routers[r].up)
      ash_direct_finish (&sim.routers[r].set);
  result->pass_ms = sim.passes ? sim.pass_sum_ms / sim.passes : 0;
  free (sim.calls);
  free (sim.active);
}

struct router_sim_class
router_sim_total (const struct router_sim_result *result)
{
  struct router_sim_class all = { 0 };

  for (uint32_t c = 0; c < ROUTER_SIM_CLASSES; c++)
    {
      const struct router_sim_class *class = &result->classes[c];

      all.offered += class->offered;
      all.on_target += class->on_target;
      all.late += class->late;
      all.refused_once += class->refused_once;
      all.refused_twice += class->refused_twice;
      all.unserved_waits += class->unserved_waits;
      all.interrupted += class->interrupted;
      all.overtaken += class->overtaken;
      all.large += class->large;
      all.large_served += class->large_served;
      all.unserved_wait_s += class->unserved_wait_s;
    }
  return all;
}

double
router_sim_score (const struct router_sim_class *class)
{
  return class->offered ? (class->on_target + LATE_SCORE * class->late) / class->offered : 0;
}

/* ---- engines and shifts of demand ---- */

#define SHIFT_PERIOD_MS 3600
#define SHIFTED_SKEW 3.2
#define SHIFT_REACTION_MS 450 /* to detect the shift, count the loads and order the map */
#define SHIFT_SEEDS 2
#define EXPERT_MB 1000.0
#define BITS_PER_BYTE 8

void
router_sim_engine (struct ash_engine_facts *engine, double sequence_ms, double copy_ms)
{
  *engine = (struct ash_engine_facts){
    .slots = ENDPOINT_SLOTS,
    .stride = 5,
    .step_ms = 4.7,
    .sequence_ms = sequence_ms,
    .read_tokens_s = 65000,
    .usual_prompt_tokens = PROMPT_TOKENS_MEAN,
    .usual_answer_tokens = 130,
    .expert_share = 0.85,
    .expert_mb = EXPERT_MB,
    .link_mbps = EXPERT_MB * BITS_PER_BYTE * 1000 / copy_ms,
  };
}

double
router_sim_shift_score (const struct ash_engine_facts *engine, uint32_t streams)
{
  const uint32_t half = ENDPOINT_SLOTS / 2;
  struct router_sim_setup setup = {
    .duration_ms = 10000,
    .engine = engine,
    .groups = 1,
    .cap = streams,
    .report_period_ms = 50,
    .wait_ms = 80,
    .retry_queue_ms = 80,
    .calls_per_s = ENDPOINTS * half * 1000 /
                   (EVENTS_MEAN * router_sim_pass_ms (engine, ROUTER_SIM_SKEW, half,
                                                      PROMPT_TOKENS_MEAN * 3 / 2, 1)),
    .shift_period_ms = SHIFT_PERIOD_MS,
    .shift_duration_ms = SHIFT_REACTION_MS + (uint32_t) ash_pass_model_copy_ms (engine),
    .shift_skew = SHIFTED_SKEW,
  };
  double worth = 0;

  for (setup.seed = 1; setup.seed <= SHIFT_SEEDS; setup.seed++)
    {
      struct router_sim_result result;
      struct router_sim_class all;

      router_sim_run (&setup, &result);
      all = router_sim_total (&result);
      worth += router_sim_score (&all) / SHIFT_SEEDS;
    }
  return worth;
}
