#include "bench/part_sim.h"

#include "common/random.h"
#include "controllers/part_quarantine.h"

#include <stdlib.h>
#include <string.h>

#define ROUTERS_MAX 320
#define ENDPOINTS_MAX 128
#define REQUESTS_MAX 4096
#define MESSAGES_MAX 8192

/* Endpoints that a request may be sent to. */
#define ATTEMPTS_MAX 2

#define SERVICE 7
#define FIRST_PART 1000
#define BAD_PART 2000
#define COMPANION 3000
#define SUBJECT 10000

/* Times of a request at its endpoint, in ms. */
#define WAIT_MIN_MS 40
#define WAIT_SPREAD_MS 100
#define FIRST_EVENT_MS 110
#define EVENT_MS 50
#define EVENTS 25
#define EXIT_MIN_MS 30
#define EXIT_SPREAD_MS 80

/* Times of endpoints and messages. */
#define RESTART_MS 3300
#define FORM_MS 600
#define MESSAGE_MIN_MS 1
#define MESSAGE_SPREAD_MS 4

/* Delays after which the platform counts requests. */
#define CONTACT_MS 3000
#define LATE_MS 6000

#define NO_BAD_PART UINT32_MAX

struct request
{
  bool active;
  uint32_t bad; /* index of its bad part, or NO_BAD_PART */
  uint32_t router;
  uint32_t endpoint;
  uint32_t attempts;
  struct ash_id id;
  struct ash_prompt_parts parts;
  int64_t sent_ms;
  int64_t begun_ms;
  int64_t exit_ms; /* when its endpoint exits because of it; INT64_MAX: never */
  uint32_t events;
};

struct endpoint
{
  uint64_t hash; /* of the current incarnation */
  int64_t up_ms;
};

enum message_kind
{
  MESSAGE_RUN,
  MESSAGE_PASSED,
  MESSAGE_QUARANTINED,
};

struct message
{
  int64_t due_ms;
  enum message_kind kind;
  uint32_t from;
  struct ash_part_run run;
  struct ash_prompt_part part;
  int64_t left_ms;
};

struct sim
{
  const struct part_sim_setup *setup;
  struct part_sim_result *result;
  struct ash_random random;
  int64_t now_ms;
  struct ash_part_quarantine *routers;
  int64_t quarantined_ms[ROUTERS_MAX]; /* when each quarantined the first bad part; -1: not */
  struct endpoint endpoints[ENDPOINTS_MAX];
  struct request *requests;
  uint32_t request_count; /* requests after these were never used */
  struct message *messages;
  uint32_t first_message;
  uint32_t message_count;
  uint64_t next_hash;
  uint64_t next_id;
  uint32_t exits[PART_SIM_BAD_MAX];
  int64_t fifth_exit_ms[PART_SIM_BAD_MAX];
  int64_t first_quarantine_ms;
};

static struct ash_time
now_of (const struct sim *sim)
{
  /* Zero means "never" in the controller. */
  return (struct ash_time){ 1000000 + sim->now_ms };
}

static uint32_t
endpoint_count (const struct sim *sim)
{
  return sim->setup->groups * sim->setup->group_size;
}

static bool
is_linked (const struct sim *sim, uint32_t router)
{
  bool cut = sim->now_ms >= sim->setup->cut_start_ms && sim->now_ms < sim->setup->cut_end_ms;

  return router != 0 || !cut;
}

static bool
is_bad_now (const struct sim *sim)
{
  return sim->now_ms >= sim->setup->bad_start_ms && sim->now_ms < sim->setup->bad_end_ms;
}

static bool
is_sound (const struct request *request)
{
  return request->bad == NO_BAD_PART;
}

/* Whether the platform counts refused sound requests by now. */
static bool
is_late (const struct sim *sim)
{
  return sim->first_quarantine_ms >= 0 && sim->now_ms > sim->first_quarantine_ms + LATE_MS;
}

/* ---- messages ---- */

static void
tell (struct sim *sim, struct message message)
{
  message.due_ms =
      sim->now_ms + MESSAGE_MIN_MS + ash_random_below (&sim->random, MESSAGE_SPREAD_MS);
  sim->result->messages += sim->setup->routers - 1;
  if (sim->message_count - sim->first_message == MESSAGES_MAX)
    abort ();
  sim->messages[sim->message_count++ % MESSAGES_MAX] = message;
}

static void
note_quarantine (struct sim *sim, uint32_t router, struct ash_prompt_part part)
{
  bool is_bad = part.id >= BAD_PART && part.id < BAD_PART + sim->setup->bad_parts;

  if (!is_bad && part.id != COMPANION)
    sim->result->quarantined++;
  if (part.id == BAD_PART && sim->quarantined_ms[router] < 0)
    sim->quarantined_ms[router] = sim->now_ms;
  if (sim->first_quarantine_ms < 0)
    sim->first_quarantine_ms = sim->now_ms;
}

static void
judge (struct sim *sim, uint32_t router, const struct ash_part_run *run)
{
  const struct ash_quarantined_part *part;
  struct ash_part_verdict verdict;

  while ((part = ash_part_quarantine_judge (&sim->routers[router], run, now_of (sim), &verdict)))
    {
      note_quarantine (sim, router, part->part);
      if (ash_part_quarantine_is_told (run, sim->setup->routers, &sim->random))
        tell (sim, (struct message){ .kind = MESSAGE_QUARANTINED,
                                     .from = router,
                                     .part = part->part,
                                     .left_ms = ash_time_diff (now_of (sim), part->until) });
    }
}

static void
receive (struct sim *sim, uint32_t router, const struct message *message)
{
  struct ash_part_quarantine *quarantine = &sim->routers[router];
  const struct ash_quarantined_part *part;
  const struct ash_part_run *run;

  switch (message->kind)
    {
    case MESSAGE_RUN:
      run = ash_part_quarantine_add_run (quarantine, &message->run, now_of (sim));
      if (run)
        judge (sim, router, run);
      break;
    case MESSAGE_PASSED:
      ash_part_quarantine_clear (quarantine, message->part, now_of (sim));
      break;
    case MESSAGE_QUARANTINED:
      part = ash_part_quarantine_take_over (quarantine, message->part, message->left_ms, 0,
                                            now_of (sim));
      if (part)
        note_quarantine (sim, router, part->part);
      break;
    }
}

static void
deliver_messages (struct sim *sim)
{
  while (sim->first_message < sim->message_count &&
         sim->messages[sim->first_message % MESSAGES_MAX].due_ms <= sim->now_ms)
    {
      const struct message *message = &sim->messages[sim->first_message++ % MESSAGES_MAX];

      if (!is_linked (sim, message->from))
        continue;
      for (uint32_t r = 0; r < sim->setup->routers; r++)
        if (r != message->from && is_linked (sim, r))
          receive (sim, r, message);
    }
}

/* A link between two routers has come up: one sends the other its quarantined parts. */
static void
link_up (struct sim *sim, uint32_t from, uint32_t to)
{
  const struct ash_quarantined_part *part = sim->routers[from].parts;

  for (; part; part = part->hh.next)
    receive (sim, to,
             &(struct message){ .kind = MESSAGE_QUARANTINED,
                                .part = part->part,
                                .left_ms = ash_time_diff (now_of (sim), part->until) });
}

static void
restart_router (struct sim *sim, uint32_t router)
{
  ash_part_quarantine_finish (&sim->routers[router]);
  sim->routers[router] = (struct ash_part_quarantine){ 0 };
}

static void
restart_routers (struct sim *sim)
{
  for (uint32_t r = 0; r < sim->setup->routers; r++)
    restart_router (sim, r);
}

static void
replace_router (struct sim *sim, uint32_t router)
{
  restart_router (sim, router);
  link_up (sim, 0, router);
}

/* ---- requests ---- */

static void
add_part (struct ash_prompt_parts *parts, uint64_t id)
{
  parts->ids[parts->count++] = id;
}

/* A subject; the lower numbers are more common. */
static uint64_t
pick_subject (struct sim *sim, uint32_t route)
{
  uint32_t subject = sim->setup->subjects;

  while (subject > 1 && ash_random_below (&sim->random, 100) < 60)
    subject = 1 + ash_random_below (&sim->random, subject);
  return SUBJECT * (1 + route) + subject;
}

static void
set_sound_parts (struct sim *sim, struct request *request)
{
  uint32_t route = ash_random_below (&sim->random, sim->setup->routes);

  add_part (&request->parts, FIRST_PART + route);
  if (sim->setup->bad_was_sound && !is_bad_now (sim) && ash_random_below (&sim->random, 20) == 0)
    add_part (&request->parts, BAD_PART);
  else
    add_part (&request->parts, pick_subject (sim, route));
}

static void
set_bad_parts (struct sim *sim, struct request *request)
{
  uint32_t route = request->bad < sim->setup->routes ? request->bad : 0;
  uint64_t bad = BAD_PART + request->bad;
  enum part_sim_place place = sim->setup->bad_place;
  uint32_t index = place == PART_SIM_FIRST    ? 0
                   : place == PART_SIM_MIDDLE ? 1
                                              : ash_random_below (&sim->random, 3);

  for (uint32_t i = 0; i < 3; i++)
    if (i == index)
      add_part (&request->parts, bad);
    else if (i == 0)
      add_part (&request->parts, FIRST_PART + route);
    else
      add_part (&request->parts, pick_subject (sim, route));
  if (sim->setup->bad_has_companion)
    add_part (&request->parts, COMPANION);
}

/* @return an endpoint that is up, other than @p but; the number of endpoints if there is none. */
static uint32_t
pick_endpoint (struct sim *sim, uint32_t but)
{
  uint32_t count = endpoint_count (sim);
  uint32_t start = ash_random_below (&sim->random, count);

  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t e = (start + i) % count;

      if (e != but && sim->endpoints[e].up_ms <= sim->now_ms)
        return e;
    }
  return count;
}

static void
count_bad_sent (struct sim *sim, const struct request *request)
{
  struct part_sim_result *result = sim->result;
  uint32_t exits = sim->exits[request->bad];

  result->sent_after_3 += exits >= 3;
  result->sent_after_4 += exits >= 4;
  result->sent_after_5 += exits >= 5;
  if (exits >= 5 && is_linked (sim, request->router) &&
      sim->now_ms > sim->fifth_exit_ms[request->bad] + CONTACT_MS)
    result->sent_in_breach++;
}

/* Sends the request to an endpoint, or ends it. */
static void
send_request (struct sim *sim, struct request *request, uint32_t but)
{
  struct ash_part_quarantine *quarantine = &sim->routers[request->router];
  bool leads = request->router == 0;

  request->active = false;
  if (ash_part_quarantine_left_ms (quarantine, &request->parts, now_of (sim), leads))
    {
      sim->result->sound_refused += is_sound (request);
      sim->result->sound_late_refused += is_sound (request) && is_late (sim);
      return;
    }
  request->endpoint = pick_endpoint (sim, but);
  if (request->endpoint == endpoint_count (sim))
    return;
  if (!request->attempts++)
    ash_part_history_note_request (&quarantine->evidence.history, &request->parts);
  ash_part_quarantine_note_sent (quarantine, &request->parts, now_of (sim));
  request->active = true;
  request->events = 0;
  request->sent_ms = sim->now_ms;
  request->begun_ms = sim->now_ms + WAIT_MIN_MS + ash_random_below (&sim->random, WAIT_SPREAD_MS);
  request->exit_ms = INT64_MAX;
  if (is_sound (request) || !is_bad_now (sim))
    return;
  count_bad_sent (sim, request);
  request->exit_ms =
      request->begun_ms + EXIT_MIN_MS + ash_random_below (&sim->random, EXIT_SPREAD_MS);
}

static void
new_request (struct sim *sim, uint32_t bad)
{
  struct request *request;
  uint32_t i = 0;

  while (i < sim->request_count && sim->requests[i].active)
    i++;
  if (i == REQUESTS_MAX)
    abort ();
  if (i == sim->request_count)
    sim->request_count++;
  request = &sim->requests[i];
  *request = (struct request){
    .bad = bad,
    .router = ash_random_below (&sim->random, sim->setup->routers),
    .id = { 1, sim->next_id++ },
    .parts.service = SERVICE,
  };
  if (is_sound (request))
    set_sound_parts (sim, request);
  else
    set_bad_parts (sim, request);
  sim->result->sound += is_sound (request);
  sim->result->sound_late += is_sound (request) && is_late (sim);
  send_request (sim, request, UINT32_MAX);
}

static void
new_requests (struct sim *sim)
{
  const struct part_sim_setup *setup = sim->setup;

  if (ash_random_below (&sim->random, 1000000) < setup->requests_per_s * 1000)
    new_request (sim, NO_BAD_PART);
  if (setup->bad_parts && sim->now_ms >= setup->bad_start_ms &&
      ash_random_below (&sim->random, 1000000) < setup->bad_per_s * 1000)
    new_request (sim, ash_random_below (&sim->random, setup->bad_parts));
}

static void
report_pass (struct sim *sim, const struct request *request)
{
  struct ash_prompt_parts told;

  ash_part_quarantine_note_pass (&sim->routers[request->router], &request->parts, now_of (sim),
                                 &told);
  for (uint32_t i = 0; i < told.count; i++)
    tell (sim, (struct message){ .kind = MESSAGE_PASSED,
                                 .from = request->router,
                                 .part = ash_prompt_parts_get (&told, i) });
}

/* ---- endpoints ---- */

static const struct ash_part_run *
prove_run (struct sim *sim, const struct request *request)
{
  struct ash_part_quarantine *quarantine = &sim->routers[request->router];
  uint64_t hash = sim->endpoints[request->endpoint].hash;
  bool has_head = sim->now_ms >= request->begun_ms && !sim->setup->heads_come_late;
  struct ash_part_run run = {
    .request = request->id,
    .endpoint = hash,
    .sent = ash_time_add (now_of (sim), request->sent_ms - sim->now_ms),
    .ended = now_of (sim),
    .begun = has_head && !request->events,
    .parts = request->parts,
  };

  if (request->events >= ASH_PART_PASS_EVENTS)
    return NULL;
  ash_part_quarantine_note_run (quarantine, &run, now_of (sim));
  return ash_part_quarantine_prove_run (quarantine, request->id, hash, now_of (sim));
}

/* Sends a request whose endpoint has exited to another one, unless it may be the cause. */
static void
resend (struct sim *sim, struct request *request)
{
  uint32_t suspicion =
      ash_part_quarantine_suspicion (&sim->routers[request->router], &request->parts, now_of (sim));

  if (suspicion >= ASH_PART_SUSPECTED_EXITS || request->attempts >= ATTEMPTS_MAX)
    request->active = false;
  else
    send_request (sim, request, request->endpoint);
}

/* The endpoint exits; its group loses its streams, and forms again when the endpoint is back. */
static void
exit_endpoint (struct sim *sim, uint32_t endpoint)
{
  uint32_t group = endpoint / sim->setup->group_size;
  const struct ash_part_run *runs[ASH_PART_RUNS];
  uint32_t routers[ASH_PART_RUNS];
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->request_count && count < ASH_PART_RUNS; i++)
    {
      const struct request *request = &sim->requests[i];

      if (!request->active || request->endpoint != endpoint)
        continue;
      runs[count] = prove_run (sim, request);
      routers[count] = request->router;
      count += runs[count] != NULL;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      struct message message = { .kind = MESSAGE_RUN, .from = routers[i], .run = *runs[i] };

      message.run.reported = true;
      tell (sim, message);
      judge (sim, routers[i], runs[i]);
    }
  sim->endpoints[endpoint].hash = sim->next_hash++;
  for (uint32_t e = 0; e < endpoint_count (sim); e++)
    if (e / sim->setup->group_size == group)
      sim->endpoints[e].up_ms = sim->now_ms + RESTART_MS + FORM_MS;
  for (uint32_t i = 0; i < sim->request_count; i++)
    if (sim->requests[i].active && sim->requests[i].endpoint == endpoint)
      resend (sim, &sim->requests[i]);
}

static void
count_exit (struct sim *sim, uint32_t bad)
{
  sim->result->exits++;
  if (++sim->exits[bad] == 5)
    sim->fifth_exit_ms[bad] = sim->now_ms;
}

/* A request of a group that stands still makes no progress until its endpoint is up. */
static void
continue_request (struct sim *sim, struct request *request)
{
  int64_t event_ms = request->begun_ms + FIRST_EVENT_MS + EVENT_MS * (int64_t) request->events;

  if (sim->now_ms >= request->exit_ms)
    {
      count_exit (sim, request->bad);
      exit_endpoint (sim, request->endpoint);
      return;
    }
  if (sim->now_ms < event_ms)
    return;
  if (sim->endpoints[request->endpoint].up_ms > sim->now_ms)
    {
      request->active = false;
      return;
    }
  request->events++;
  if (request->events == 1 && request->attempts == 1)
    sim->result->sound_begun += is_sound (request);
  if (request->events == ASH_PART_PASS_EVENTS)
    report_pass (sim, request);
  if (request->events == EVENTS)
    request->active = false;
}

static void
kill_endpoints (struct sim *sim)
{
  const struct part_sim_setup *setup = sim->setup;

  for (uint32_t k = 0; k < setup->kill_count; k++)
    for (uint32_t e = 0; sim->now_ms == setup->kills[k].at_ms && e < setup->kills[k].endpoints; e++)
      exit_endpoint (sim, e);
}

/* ---- the run ---- */

static void
step (struct sim *sim)
{
  const struct part_sim_setup *setup = sim->setup;

  deliver_messages (sim);
  kill_endpoints (sim);
  if (setup->restart_at_ms && sim->now_ms == setup->restart_at_ms)
    restart_routers (sim);
  if (setup->replaced_at_ms && sim->now_ms == setup->replaced_at_ms)
    replace_router (sim, setup->routers - 1);
  if (setup->cut_end_ms && sim->now_ms == setup->cut_end_ms)
    link_up (sim, 1, 0);
  for (uint32_t i = 0; i < sim->request_count; i++)
    if (sim->requests[i].active)
      continue_request (sim, &sim->requests[i]);
  new_requests (sim);
  for (uint32_t r = 0; r < setup->routers && sim->now_ms % 100 == 0; r++)
    {
      const struct ash_part_run *run;

      while ((run = ash_part_evidence_next_settled (&sim->routers[r].evidence, now_of (sim))))
        judge (sim, r, run);
      ash_part_quarantine_tick (&sim->routers[r], now_of (sim));
    }
}

static void
summarize (struct sim *sim)
{
  struct part_sim_result *result = sim->result;
  int64_t first_ms = INT64_MAX;
  int64_t last_ms = 0;
  bool all_know = true;

  result->free_at_end = true;
  for (uint32_t r = 0; r < sim->setup->routers; r++)
    {
      if (sim->quarantined_ms[r] >= 0 && sim->quarantined_ms[r] < first_ms)
        first_ms = sim->quarantined_ms[r];
      if (sim->quarantined_ms[r] > last_ms)
        last_ms = sim->quarantined_ms[r];
      all_know = all_know && (sim->quarantined_ms[r] >= 0 || !is_linked (sim, r));
      result->free_at_end = result->free_at_end && !sim->routers[r].parts;
    }
  result->known_ms = all_know ? (int32_t) (last_ms - first_ms) : -1;
}

void
part_sim_run (const struct part_sim_setup *setup, struct part_sim_result *result)
{
  struct sim *sim = calloc (1, sizeof *sim);

  if (!sim)
    abort ();
  *result = (struct part_sim_result){ 0 };
  sim->setup = setup;
  sim->result = result;
  sim->first_quarantine_ms = -1;
  sim->next_hash = 1;
  sim->routers = calloc (setup->routers, sizeof *sim->routers);
  sim->requests = calloc (REQUESTS_MAX, sizeof *sim->requests);
  sim->messages = calloc (MESSAGES_MAX, sizeof *sim->messages);
  if (!sim->routers || !sim->requests || !sim->messages || setup->routers > ROUTERS_MAX ||
      endpoint_count (sim) > ENDPOINTS_MAX)
    abort ();
  ash_random_init (&sim->random, setup->seed);
  for (uint32_t r = 0; r < setup->routers; r++)
    sim->quarantined_ms[r] = -1;
  for (uint32_t e = 0; e < endpoint_count (sim); e++)
    sim->endpoints[e].hash = sim->next_hash++;
  for (; sim->now_ms < setup->duration_ms; sim->now_ms++)
    step (sim);
  summarize (sim);
  for (uint32_t r = 0; r < setup->routers; r++)
    ash_part_quarantine_finish (&sim->routers[r]);
  free (sim->routers);
  free (sim->requests);
  free (sim->messages);
  free (sim);
}
