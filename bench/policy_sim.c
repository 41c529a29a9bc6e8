#include "bench/policy_sim.h"

#include "bench/event_queue.h"

#include <stdlib.h>
#include <string.h>

#define TICK_US 50000
#define HEARTBEAT_US 500000
#define RESTART_DELAY_US 3000000
#define STALL_US 5000000
#define PARTITION_US 10000000
#define REPORT_LOSS_US 20000000
#define LINK_TIMEOUT_US 2000000
#define IMMEDIATE_RETRY_US 100000
#define ADVISED_RETRIES_MAX 3
#define IMMEDIATE_RETRIES_MAX 5
#define PREFIX_TOKENS 600
#define PROMPT_TOKENS 100
#define US_PER_MS 1000
#define EVENT_START_UNIX_S 1000000
#define BODY_BYTES 256

/* One byte of an answer stands for one token; a message carries up to this many tokens. */
#define TOKENS_PER_MESSAGE 8

struct box
{
  struct session session;
  struct sim *sim;
  uint32_t index;
  uint32_t hall;
  uint64_t incarnation;
  bool down;
  bool paused;
  struct sim_event *held_frames; /* frames received while the box is paused */
  uint32_t held_frame_count;
  struct engine_model engine;
};

struct sim
{
  const struct sim_setup *setup;
  const struct sim_account *accounts;
  struct sim_call *calls;
  uint32_t call_count;
  char *document;
  struct ash_random random;
  int64_t now_us;
  struct event_queue queue;
  struct box boxes[SIM_BOXES];
  struct sim_event *pending; /* local messages, deferred because cores are not reentrant */
  uint32_t pending_count;
  uint32_t pending_capacity;
  bool partitioned;
  bool reports_lost;
  int64_t paused_since_us;
  uint64_t wasted;
};

static struct ash_time
sim_time (const struct sim *sim)
{
  return (struct ash_time){ sim->now_us / US_PER_MS + 1 };
}

/* ---- messages ---- */

static uint32_t
box_index (const char *name)
{
  uint32_t number = (uint32_t) atoi (name + 1);

  return name[0] == 'e' ? number : SIM_ENTRIES + number;
}

static bool
is_partitioned (const struct sim *sim, uint32_t a, uint32_t b)
{
  return sim->partitioned && (sim->boxes[a].hall == 0) != (sim->boxes[b].hall == 0);
}

/* Queues a local message until the core that caused it has returned; see deliver_pending(). */
static void
defer_message (struct sim *sim, uint32_t box, Ash__Event__KindCase kind, const void *message)
{
  struct Ash__Event event = ash_event_wrap ("", kind, message);

  if (sim->pending_count == sim->pending_capacity)
    {
      sim->pending_capacity = sim->pending_capacity ? 2 * sim->pending_capacity : 64;
      sim->pending = realloc (sim->pending, sim->pending_capacity * sizeof *sim->pending);
      if (!sim->pending)
        abort ();
    }
  sim->pending[sim->pending_count++] =
      (struct sim_event){ .box = box, .event = session_copy_event (&event) };
}

static void
deliver (struct sim *sim, uint32_t box, const struct Ash__Event *event)
{
  session_deliver (&sim->boxes[box].session, sim_time (sim), event);
}

static void
deliver_pending (struct sim *sim)
{
  for (uint32_t i = 0; i < sim->pending_count; i++)
    {
      struct sim_event sim_event = sim->pending[i];

      if (!sim->boxes[sim_event.box].down)
        deliver (sim, sim_event.box, sim_event.event);
      ash__event__free_unpacked (sim_event.event, NULL);
    }
  sim->pending_count = 0;
}

static void
deliver_message (
    struct sim *sim, uint32_t box, uint32_t peer, Ash__Event__KindCase kind, const void *message)
{
  session_deliver_message (&sim->boxes[box].session, sim_time (sim),
                           sim->boxes[peer].session.settings.box, kind, message);
}

/* ---- engines ---- */

static void
begin_step (struct sim *sim, uint32_t box)
{
  struct engine_model *engine = &sim->boxes[box].engine;

  engine->stepping = engine->active_runs > 0;
  if (engine->stepping)
    event_queue_push (&sim->queue,
                      (struct sim_event){ sim->now_us + engine_begin_step (engine, sim->now_us), 0,
                                          KIND_STEP, box, 0, NULL });
}

static void
start_run (struct sim *sim, uint32_t box, const struct Ash__EngineStart *start)
{
  struct engine_model *engine = &sim->boxes[box].engine;
  uint32_t index = (uint32_t) atoi ((const char *) start->body.data + BODY_BYTES);
  const struct sim_call *call = &sim->calls[index];

  if (!engine_start (engine, start->run, call->prefix, PREFIX_TOKENS, PROMPT_TOKENS, call->tokens))
    abort ();
  if (!engine->stepping)
    begin_step (sim, box);
}

static void
send_tokens (struct sim *sim, uint32_t box, const struct engine_run *run, uint32_t tokens)
{
  static uint8_t bytes[TOKENS_PER_MESSAGE];
  struct Ash__EngineData data = ASH__ENGINE_DATA__INIT;

  data.run = run->run;
  data.bytes.data = bytes;
  data.bytes.len = tokens;
  defer_message (sim, box, ASH__EVENT__KIND_ENGINE_DATA, &data);
}

static void
end_step (struct sim *sim, uint32_t box)
{
  struct engine_model *engine = &sim->boxes[box].engine;

  for (uint32_t i = 0; i < ENGINE_BATCH; i++)
    {
      struct engine_run *run = &engine->runs[i];
      struct Ash__EngineHead head = ASH__ENGINE_HEAD__INIT;
      struct Ash__EngineEnd end = ASH__ENGINE_END__INIT;

      if (!run->run || run->prompt_remaining)
        continue;
      engine->tokens++;
      run->generated++;
      run->tokens_left--;
      head.run = run->run;
      head.status = 200;
      end.run = run->run;
      end.whole = true;
      if (run->generated == 1)
        {
          defer_message (sim, box, ASH__EVENT__KIND_ENGINE_HEAD, &head);
          send_tokens (sim, box, run, 1);
        }
      else if (run->tokens_left == 0 || run->generated % TOKENS_PER_MESSAGE == 1)
        send_tokens (sim, box, run, (run->generated - 2) % TOKENS_PER_MESSAGE + 1);
      if (run->tokens_left)
        continue;
      defer_message (sim, box, ASH__EVENT__KIND_ENGINE_END, &end);
      run->run = 0;
      engine->active_runs--;
    }
  engine->stepping = false;
  deliver_pending (sim);
  if (!engine->stepping)
    begin_step (sim, box);
}

/* ---- callers ---- */

static void
schedule_retry (struct sim *sim, uint32_t index, uint32_t retry_ms)
{
  struct sim_call *call = &sim->calls[index];
  bool at_once = sim->setup->callers == CALLERS_AT_ONCE;
  int64_t at_us = sim->now_us + sim->setup->client_latency_us +
                  (at_once ? IMMEDIATE_RETRY_US : (int64_t) retry_ms * US_PER_MS);

  call->entry = -1;
  if (!call->first_refusal_us)
    call->first_refusal_us = sim->now_us + sim->setup->client_latency_us;
  if (call->tries > (at_once ? IMMEDIATE_RETRIES_MAX : ADVISED_RETRIES_MAX) ||
      at_us >= call->deadline_us)
    call->abandoned = true;
  else
    event_queue_push (&sim->queue, (struct sim_event){ at_us, 0, KIND_CALL, 0, index, NULL });
}

static void
handle_reply (struct sim *sim, const struct Ash__Reply *reply)
{
  struct sim_call *call = &sim->calls[reply->call];

  if (reply->reason != ASH__REASON__REASON_NONE)
    schedule_retry (sim, (uint32_t) reply->call, reply->retry_ms);
  else if (!call->first_token_us)
    call->first_token_us = sim->now_us + sim->setup->client_latency_us;
}

static void
handle_reply_end (struct sim *sim, const struct Ash__ReplyEnd *end)
{
  struct sim_call *call = &sim->calls[end->call];

  call->entry = -1;
  if (end->whole)
    call->done_us = sim->now_us + sim->setup->client_latency_us;
  else
    schedule_retry (sim, (uint32_t) end->call, 1);
}

/* Picks a random entry among those of the account. A paused entry is no longer listed after some
 * time, which depends on how long the caller has cached the addresses. */
static int32_t
choose_entry (struct sim *sim, const struct ash_account *account)
{
  const struct ash_document *document = &sim->boxes[0].session.entry.config.document;
  int64_t paused_us = sim->now_us - sim->paused_since_us;
  uint32_t half_us = sim->boxes[0].session.settings.address_keep_ms * US_PER_MS / 2;
  int64_t keep_us = LINK_TIMEOUT_US + half_us + ash_random_below (&sim->random, half_us);
  int32_t found[SIM_ENTRIES];
  uint32_t count = 0;

  for (int32_t e = 0; e < SIM_ENTRIES; e++)
    {
      const struct box *box = &sim->boxes[e];

      if (ash_document_entry_rank (document, account, box->session.settings.box) < 0 ||
          (box->paused && paused_us > keep_us))
        continue;
      found[count++] = e;
    }
  return count ? found[ash_random_below (&sim->random, count)] : -1;
}

static void
make_call (struct sim *sim, uint32_t index)
{
  struct sim_call *call = &sim->calls[index];
  const struct ash_document *document = &sim->boxes[0].session.entry.config.document;
  const struct ash_account *account =
      ash_document_account (document, sim->accounts[call->account].name);
  struct Ash__Call message = ASH__CALL__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_CALL, &message);
  char body[BODY_BYTES + 16];
  int32_t e = choose_entry (sim, account);

  if (e < 0 || sim->now_us >= call->deadline_us)
    {
      call->abandoned = true;
      return;
    }
  call->tries++;
  call->entry = e;
  call->first_token_us = 0;
  message.call = index;
  message.service = ash_proto_text ("model");
  message.method = ash_proto_text ("POST");
  message.path = ash_proto_text ("/v1/completions");
  message.body.data = (uint8_t *) body;
  /* The body starts with a prefix that is shared by many calls; the unique part follows. */
  memset (body, ' ', BODY_BYTES);
  sprintf (body, "%u", call->prefix);
  message.body.len = (size_t) sprintf (body + BODY_BYTES, "%u", index) + BODY_BYTES + 1;
  message.key_hash.data = (uint8_t *) (uintptr_t) account->key_hash;
  message.key_hash.len = ASH_KEY_HASH_BYTES;
  message.stream = true;
  message.deadline_ms = (uint32_t) ((call->deadline_us - sim->now_us) / US_PER_MS);
  if (message.deadline_ms == 0)
    message.deadline_ms = 1;
  message.unix_s = sim->setup->event ? EVENT_START_UNIX_S : 1;
  event_queue_push (&sim->queue,
                    (struct sim_event){ sim->now_us + sim->setup->client_latency_us, 0, KIND_FRAME,
                                        (uint32_t) e, (uint32_t) e, session_copy_event (&event) });
}

/* ---- output of the cores ---- */

static void
send_frame (struct sim *sim, uint32_t from, uint32_t to, const struct Ash__Event *event)
{
  struct Ash__Event *copy;

  if (is_partitioned (sim, from, to) || sim->boxes[to].down)
    return;
  copy = session_copy_event (event);
  /* In a received message, peer is the sender. */
  if (copy->peer != protobuf_c_empty_string)
    free (copy->peer);
  copy->peer = strdup (sim->boxes[from].session.settings.box);
  event_queue_push (&sim->queue, (struct sim_event){ sim->now_us + sim->setup->latency_us, 0,
                                                     KIND_FRAME, to, from, copy });
}

static void
on_emitted (void *data, struct session *session, const struct Ash__Event *event)
{
  struct box *box = data;
  struct sim *sim = box->sim;

  (void) session;
  if (*event->peer)
    {
      send_frame (sim, box->index, box_index (event->peer), event);
      return;
    }
  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_REPLY:
      handle_reply (sim, event->reply);
      break;
    case ASH__EVENT__KIND_REPLY_END:
      handle_reply_end (sim, event->reply_end);
      break;
    case ASH__EVENT__KIND_ENGINE_START:
      start_run (sim, box->index, event->engine_start);
      break;
    case ASH__EVENT__KIND_ENGINE_CANCEL:
      sim->wasted += engine_cancel (&box->engine, event->engine_cancel->run);
      break;
    default:
      break;
    }
}

/* ---- links ---- */

static void
link_up (struct sim *sim, uint32_t box, uint32_t peer)
{
  struct Ash__LinkUp up = ASH__LINK_UP__INIT;

  up.role = peer < SIM_ENTRIES ? ASH__ROLE__ENTRY : ASH__ROLE__ENDPOINT;
  up.incarnation = sim->boxes[peer].incarnation;
  up.revision = 1;
  deliver_message (sim, box, peer, ASH__EVENT__KIND_LINK_UP, &up);
}

static void
link_down (struct sim *sim, uint32_t box, uint32_t peer)
{
  struct Ash__LinkDown down = ASH__LINK_DOWN__INIT;

  down.incarnation = sim->boxes[peer].incarnation;
  if (!sim->boxes[box].down)
    deliver_message (sim, box, peer, ASH__EVENT__KIND_LINK_DOWN, &down);
}

/* Calls @p change in both directions for each link between an entry and an agent for which
 * @p applies returns true; NULL: for all links. */
static void
for_each_link (struct sim *sim,
               bool (*applies) (const struct sim *sim, uint32_t entry, uint32_t agent),
               void (*change) (struct sim *sim, uint32_t box, uint32_t peer))
{
  for (uint32_t e = 0; e < SIM_ENTRIES; e++)
    for (uint32_t a = SIM_ENTRIES; a < SIM_BOXES; a++)
      if (!applies || applies (sim, e, a))
        {
          change (sim, e, a);
          change (sim, a, e);
        }
}

static bool
crosses_halls (const struct sim *sim, uint32_t entry, uint32_t agent)
{
  return (sim->boxes[entry].hall == 0) != (sim->boxes[agent].hall == 0);
}

/* ---- timers ---- */

static void
tick (struct sim *sim, uint32_t index)
{
  struct Ash__Tick message = ASH__TICK__INIT;

  if (!sim->boxes[index].down && !sim->boxes[index].paused)
    session_deliver_message (&sim->boxes[index].session, sim_time (sim), "", ASH__EVENT__KIND_TICK,
                             &message);
  event_queue_push (&sim->queue,
                    (struct sim_event){ sim->now_us + TICK_US, 0, KIND_TICK, index, 0, NULL });
}

static void
send_heartbeat (struct sim *sim, uint32_t index)
{
  struct box *box = &sim->boxes[index];
  struct Ash__Heartbeat heartbeat = ASH__HEARTBEAT__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_HEARTBEAT, &heartbeat);

  event_queue_push (&sim->queue, (struct sim_event){ sim->now_us + HEARTBEAT_US, 0, KIND_HEARTBEAT,
                                                     index, 0, NULL });
  if (box->down)
    return;
  ash_agent_heartbeat (&box->session.agent, &heartbeat);
  if (sim->reports_lost)
    {
      heartbeat.in_flight = 0;
      heartbeat.queued = 0;
    }
  for (uint32_t e = 0; e < SIM_ENTRIES; e++)
    send_frame (sim, index, e, &event);
}

/* ---- faults ---- */

#define KILLED_BOX SIM_ENTRIES /* the first agent, in hall 2 */
#define PAUSED_BOX 1

static void start_box (struct sim *sim, uint32_t index);

static void
kill_agent (struct sim *sim)
{
  struct box *box = &sim->boxes[KILLED_BOX];

  for (uint32_t i = 0; i < ENGINE_BATCH; i++)
    sim->wasted += engine_cancel (&box->engine, box->engine.runs[i].run);
  box->down = true;
  for (uint32_t e = 0; e < SIM_ENTRIES; e++)
    link_down (sim, e, KILLED_BOX);
  session_finish (&box->session);
}

static void
resume_entry (struct sim *sim)
{
  struct box *box = &sim->boxes[PAUSED_BOX];

  box->paused = false;
  /* The entry detects that its process was suspended, and closes and reopens all links. */
  for (uint32_t a = SIM_ENTRIES; a < SIM_BOXES; a++)
    link_down (sim, PAUSED_BOX, a);
  for (uint32_t i = 0; i < box->held_frame_count; i++)
    {
      if (box->held_frames[i].event->kind_case == ASH__EVENT__KIND_CALL)
        deliver (sim, PAUSED_BOX, box->held_frames[i].event);
      ash__event__free_unpacked (box->held_frames[i].event, NULL);
    }
  box->held_frame_count = 0;
  for (uint32_t a = SIM_ENTRIES; a < SIM_BOXES; a++)
    {
      link_up (sim, PAUSED_BOX, a);
      link_up (sim, a, PAUSED_BOX);
    }
}

static void
begin_fault (struct sim *sim)
{
  int64_t fault_duration_us = 0;

  switch (sim->setup->fault)
    {
    case FAULT_KILL:
      kill_agent (sim);
      fault_duration_us = RESTART_DELAY_US;
      break;
    case FAULT_STALL:
      sim->boxes[KILLED_BOX].engine.stalled_until_us = sim->now_us + STALL_US;
      break;
    case FAULT_PARTITION:
      sim->partitioned = true;
      fault_duration_us = PARTITION_US;
      event_queue_push (&sim->queue, (struct sim_event){ sim->now_us + LINK_TIMEOUT_US, 0,
                                                         KIND_LINK_TIMEOUT, 0, 0, NULL });
      break;
    case FAULT_PAUSE:
      sim->boxes[PAUSED_BOX].paused = true;
      sim->paused_since_us = sim->now_us;
      fault_duration_us = PARTITION_US;
      event_queue_push (&sim->queue, (struct sim_event){ sim->now_us + LINK_TIMEOUT_US, 0,
                                                         KIND_LINK_TIMEOUT, 0, 0, NULL });
      break;
    case FAULT_REPORTS_LOST:
      sim->reports_lost = true;
      fault_duration_us = REPORT_LOSS_US;
      break;
    case FAULT_NONE:
      break;
    }
  if (fault_duration_us)
    event_queue_push (&sim->queue, (struct sim_event){ sim->now_us + fault_duration_us, 0,
                                                       KIND_FAULT_END, 0, 0, NULL });
}

static void
time_out_links (struct sim *sim)
{
  if (sim->setup->fault == FAULT_PARTITION)
    for_each_link (sim, crosses_halls, link_down);
  else
    for (uint32_t a = SIM_ENTRIES; a < SIM_BOXES; a++)
      link_down (sim, a, PAUSED_BOX);
}

static void
end_fault (struct sim *sim)
{
  switch (sim->setup->fault)
    {
    case FAULT_KILL:
      start_box (sim, KILLED_BOX);
      for (uint32_t e = 0; e < SIM_ENTRIES; e++)
        {
          link_up (sim, e, KILLED_BOX);
          link_up (sim, KILLED_BOX, e);
        }
      break;
    case FAULT_PARTITION:
      sim->partitioned = false;
      for_each_link (sim, crosses_halls, link_up);
      break;
    case FAULT_PAUSE:
      resume_entry (sim);
      break;
    default:
      sim->reports_lost = false;
    }
}

/* ---- event loop ---- */

static void
handle_frame (struct sim *sim, const struct sim_event *sim_event)
{
  struct box *box = &sim->boxes[sim_event->box];

  if (box->down || is_partitioned (sim, sim_event->box, sim_event->index))
    {
      ash__event__free_unpacked (sim_event->event, NULL);
      return;
    }
  if (box->paused)
    {
      box->held_frames =
          realloc (box->held_frames, (box->held_frame_count + 1) * sizeof *box->held_frames);
      if (!box->held_frames)
        abort ();
      box->held_frames[box->held_frame_count++] = *sim_event;
      return;
    }
  deliver (sim, sim_event->box, sim_event->event);
  ash__event__free_unpacked (sim_event->event, NULL);
}

static void
handle (struct sim *sim, const struct sim_event *sim_event)
{
  switch (sim_event->kind)
    {
    case KIND_CALL:
      make_call (sim, sim_event->index);
      break;
    case KIND_FRAME:
      handle_frame (sim, sim_event);
      break;
    case KIND_STEP:
      end_step (sim, sim_event->box);
      break;
    case KIND_TICK:
      tick (sim, sim_event->box);
      break;
    case KIND_HEARTBEAT:
      send_heartbeat (sim, sim_event->box);
      break;
    case KIND_FAULT:
      begin_fault (sim);
      break;
    case KIND_FAULT_END:
      end_fault (sim);
      break;
    case KIND_LINK_TIMEOUT:
      time_out_links (sim);
      break;
    }
  deliver_pending (sim);
}

void
sim_run (struct sim *sim)
{
  while (sim->queue.count)
    {
      struct sim_event sim_event = event_queue_pop (&sim->queue);

      if (sim_event.at_us > sim->setup->end_us)
        {
          if (sim_event.event)
            ash__event__free_unpacked (sim_event.event, NULL);
          return;
        }
      sim->now_us = sim_event.at_us;
      handle (sim, &sim_event);
    }
}

/* ---- set-up ---- */

static void
write_document (struct sim *sim)
{
  static const char *const classes[SIM_CLASSES] = { "counter", "shop", "batch" };
  size_t length;
  FILE *out = open_memstream (&sim->document, &length);

  fprintf (out, "[[service]]\nname='model'\n");
  for (uint32_t h = 0; h < SIM_HALLS; h++)
    fprintf (out, "[[hall]]\nname='h%u'\n", h);
  for (uint32_t c = 0; c < SIM_CLASSES; c++)
    fprintf (out, "[[class]]\nname='%s'\npriority=%u\n", classes[c], c + 1);
  for (uint32_t e = 0; e < SIM_ENTRIES; e++)
    fprintf (out, "[[entry]]\nbox='e%u'\nhall='h%u'\nhttp='127.0.0.1:1'\npeer='127.0.0.1:2'\n", e,
             e % SIM_HALLS);
  for (uint32_t a = 0; a < SIM_AGENTS; a++)
    fprintf (out,
             "[[endpoint]]\nbox='m%u'\nhall='h%u'\nservice='model'\npeer='127.0.0.1:3'\n"
             "slots=%u\n",
             a, (a + SIM_ENTRIES) % SIM_HALLS, ENGINE_BATCH);
  fprintf (out, "[[event]]\nname='opening'\nstart_s=%u\n", EVENT_START_UNIX_S);
  for (uint32_t i = 0; i < SIM_ACCOUNTS; i++)
    {
      const struct sim_account *account = &sim->accounts[i];
      uint8_t hash[ASH_KEY_HASH_BYTES];

      ash_key_hash (account->name, strlen (account->name), hash);
      fprintf (out, "[[account]]\nname='%s'\nclass='%s'\nrate_per_s=%u\nburst=%u\nkey_hash='",
               account->name, classes[account->class_index], account->rate_per_s,
               account->rate_per_s);
      for (size_t b = 0; b < sizeof hash; b++)
        fprintf (out, "%02x", hash[b]);
      fprintf (out, "'\n");
      if (account->reserved_per_s)
        fprintf (out,
                 "[[reservation]]\nname='%s'\nevent='opening'\naccount='%s'\n"
                 "service='model'\nrate_per_s=%u\n",
                 account->name, account->name, account->reserved_per_s);
    }
  fclose (out);
}

static int
route_of (const char *name)
{
  if (strcmp (name, "random") == 0)
    return ASH_ROUTE_RANDOM;
  if (strcmp (name, "round robin") == 0)
    return ASH_ROUTE_ROUND_ROBIN;
  return strcmp (name, "least reported") == 0 ? ASH_ROUTE_LEAST_REPORTED : ASH_ROUTE_TWO_CHOICES;
}

static void
start_box (struct sim *sim, uint32_t index)
{
  struct box *box = &sim->boxes[index];
  bool is_entry = index < SIM_ENTRIES;
  char name[16];

  snprintf (name, sizeof name, "%c%u", is_entry ? 'e' : 'm',
            is_entry ? index : index - SIM_ENTRIES);
  box->sim = sim;
  box->index = index;
  box->hall = index % SIM_HALLS;
  box->incarnation++;
  box->down = false;
  box->session = (struct session){ .core = is_entry ? SESSION_ENTRY : SESSION_AGENT,
                                   .emitted = on_emitted,
                                   .data = box };
  session_settings (&box->session.settings, name, is_entry);
  snprintf (box->session.settings.hall, sizeof box->session.settings.hall, "h%u", box->hall);
  box->session.settings.route = route_of (sim->setup->route);
  if (strcmp (sim->setup->route, "two choices") == 0)
    box->session.settings.prefix_bytes = 0;
  session_init (&box->session, index + 1000 * box->incarnation, sim_time (sim));
  box->incarnation = is_entry ? box->incarnation : index + 1000 * box->incarnation;
  if (session_offer_config (&box->session, sim_time (sim), 1, sim->document,
                            strlen (sim->document)) != ASH_CONFIG_ACCEPTED)
    abort ();
}

struct sim *
sim_new (const struct sim_setup *setup,
         const struct sim_account *accounts,
         struct sim_call *calls,
         uint32_t call_count,
         uint64_t seed)
{
  struct sim *sim = calloc (1, sizeof *sim);

  if (!sim)
    abort ();
  sim->setup = setup;
  sim->accounts = accounts;
  sim->calls = calls;
  sim->call_count = call_count;
  ash_random_init (&sim->random, seed);
  write_document (sim);
  for (uint32_t i = 0; i < SIM_BOXES; i++)
    start_box (sim, i);
  for_each_link (sim, NULL, link_up);
  for (uint32_t i = 0; i < SIM_BOXES; i++)
    {
      event_queue_push (&sim->queue,
                        (struct sim_event){ TICK_US * i / SIM_BOXES, 0, KIND_TICK, i, 0, NULL });
      if (i >= SIM_ENTRIES)
        event_queue_push (&sim->queue, (struct sim_event){ HEARTBEAT_US * i / SIM_BOXES, 0,
                                                           KIND_HEARTBEAT, i, 0, NULL });
    }
  for (uint32_t i = 0; i < call_count; i++)
    event_queue_push (&sim->queue, (struct sim_event){ calls[i].at_us, 0, KIND_CALL, 0, i, NULL });
  if (setup->fault)
    event_queue_push (&sim->queue,
                      (struct sim_event){ setup->fault_us, 0, KIND_FAULT, 0, 0, NULL });
  return sim;
}

void
sim_work (const struct sim *sim, struct sim_work *work)
{
  *work = (struct sim_work){ .wasted = sim->wasted };
  for (uint32_t a = 0; a < SIM_AGENTS; a++)
    {
      const struct engine_model *engine = &sim->boxes[SIM_ENTRIES + a].engine;

      work->tokens += engine->tokens;
      work->hits += engine->hits;
      work->misses += engine->misses;
      work->by_engine[a] = engine->tokens;
    }
  for (uint32_t i = 0; i < sim->call_count; i++)
    if (sim->calls[i].done_us > sim->calls[i].deadline_us)
      work->wasted += sim->calls[i].tokens;
}

void
sim_free (struct sim *sim)
{
  while (sim->queue.count)
    {
      struct sim_event sim_event = event_queue_pop (&sim->queue);

      if (sim_event.event)
        ash__event__free_unpacked (sim_event.event, NULL);
    }
  for (uint32_t i = 0; i < SIM_BOXES; i++)
    {
      if (!sim->boxes[i].down)
        session_finish (&sim->boxes[i].session);
      for (uint32_t h = 0; h < sim->boxes[i].held_frame_count; h++)
        ash__event__free_unpacked (sim->boxes[i].held_frames[h].event, NULL);
      free (sim->boxes[i].held_frames);
    }
  event_queue_finish (&sim->queue);
  free (sim->pending);
  free (sim->document);
  free (sim);
}
