#include "bench/policy_world.h"

#include "bench/event_queue.h"

#include <stdlib.h>
#include <string.h>

#define TICK_US 50000
#define BEAT_US 500000
#define KILLED_US 3000000
#define STALL_US 5000000
#define CUT_US 10000000
#define REPORTS_US 20000000
#define SILENCE_US 2000000
#define STORM_US 100000
#define WAIT_TRIES 3
#define STORM_TRIES 5
#define PREFIX_TOKENS 600
#define PROMPT_TOKENS 100
#define US_PER_MS 1000
#define UNIX_S 1000000
#define BODY_BYTES 256

/* Bytes of an answer are counted by tokens; a message a few tokens. */
#define TOKENS_A_MESSAGE 8

struct box
{
  struct session session;
  struct world *world;
  uint32_t index;
  uint32_t hall;
  uint64_t incarnation;
  bool down;
  bool paused;
  struct item *held; /* frames for a paused box */
  uint32_t held_count;
  struct engine_model engine;
};

struct world
{
  const struct world_setup *setup;
  const struct world_account *accounts;
  struct world_call *calls;
  uint32_t call_count;
  char *document;
  struct ash_random random;
  int64_t now_us;
  struct event_queue queue;
  struct box boxes[WORLD_BOXES];
  struct item *pending; /* local messages for cores, which must not be entered again */
  uint32_t pending_count;
  uint32_t pending_room;
  bool cut;
  bool reports_lost;
  int64_t paused_since_us;
  uint64_t wasted;
};

static struct ash_time
now_of (const struct world *world)
{
  return (struct ash_time){ world->now_us / US_PER_MS + 1 };
}

/* ---- messages ---- */

static uint32_t
box_of (const char *name)
{
  uint32_t number = (uint32_t) atoi (name + 1);

  return name[0] == 'e' ? number : WORLD_ENTRIES + number;
}

static bool
is_cut (const struct world *world, uint32_t a, uint32_t b)
{
  return world->cut && (world->boxes[a].hall == 0) != (world->boxes[b].hall == 0);
}

/* A local message is given when the core that caused it has returned. */
static void
give_later (struct world *world, uint32_t box, Ash__Event__KindCase kind, const void *message)
{
  struct Ash__Event event = ash_event_wrap ("", kind, message);

  if (world->pending_count == world->pending_room)
    {
      world->pending_room = world->pending_room ? 2 * world->pending_room : 64;
      world->pending = realloc (world->pending, world->pending_room * sizeof *world->pending);
      if (!world->pending)
        abort ();
    }
  world->pending[world->pending_count++] =
      (struct item){ .box = box, .event = session_copy_event (&event) };
}

static void
give (struct world *world, uint32_t box, const struct Ash__Event *event)
{
  session_deliver (&world->boxes[box].session, now_of (world), event);
}

static void
give_pending (struct world *world)
{
  for (uint32_t i = 0; i < world->pending_count; i++)
    {
      struct item item = world->pending[i];

      if (!world->boxes[item.box].down)
        give (world, item.box, item.event);
      ash__event__free_unpacked (item.event, NULL);
    }
  world->pending_count = 0;
}

static void
give_message (struct world *world,
              uint32_t box,
              uint32_t peer,
              Ash__Event__KindCase kind,
              const void *message)
{
  session_deliver_message (&world->boxes[box].session, now_of (world),
                           world->boxes[peer].session.settings.box, kind, message);
}

/* ---- engines ---- */

static void
begin_step (struct world *world, uint32_t box)
{
  struct engine_model *engine = &world->boxes[box].engine;

  engine->stepping = engine->busy > 0;
  if (engine->stepping)
    event_queue_push (&world->queue,
                      (struct item){ world->now_us + engine_begin_step (engine, world->now_us), 0,
                                     KIND_STEP, box, 0, NULL });
}

static void
start_run (struct world *world, uint32_t box, const struct Ash__EngineStart *start)
{
  struct engine_model *engine = &world->boxes[box].engine;
  uint32_t index = (uint32_t) atoi ((const char *) start->body.data + BODY_BYTES);
  const struct world_call *call = &world->calls[index];

  if (!engine_start (engine, start->run, call->prefix, PREFIX_TOKENS, PROMPT_TOKENS, call->tokens))
    abort ();
  if (!engine->stepping)
    begin_step (world, box);
}

static void
tell_tokens (struct world *world, uint32_t box, const struct engine_run *run, uint32_t tokens)
{
  static uint8_t bytes[TOKENS_A_MESSAGE];
  struct Ash__EngineData data = ASH__ENGINE_DATA__INIT;

  data.run = run->run;
  data.bytes.data = bytes;
  data.bytes.len = tokens;
  give_later (world, box, ASH__EVENT__KIND_ENGINE_DATA, &data);
}

static void
end_step (struct world *world, uint32_t box)
{
  struct engine_model *engine = &world->boxes[box].engine;

  for (uint32_t i = 0; i < ENGINE_BATCH; i++)
    {
      struct engine_run *run = &engine->runs[i];
      struct Ash__EngineHead head = ASH__ENGINE_HEAD__INIT;
      struct Ash__EngineEnd end = ASH__ENGINE_END__INIT;

      if (!run->run || run->prompt_left)
        continue;
      engine->tokens++;
      run->made++;
      run->tokens_left--;
      head.run = run->run;
      head.status = 200;
      end.run = run->run;
      end.whole = true;
      if (run->made == 1)
        {
          give_later (world, box, ASH__EVENT__KIND_ENGINE_HEAD, &head);
          tell_tokens (world, box, run, 1);
        }
      else if (run->tokens_left == 0 || run->made % TOKENS_A_MESSAGE == 1)
        tell_tokens (world, box, run, (run->made - 2) % TOKENS_A_MESSAGE + 1);
      if (run->tokens_left)
        continue;
      give_later (world, box, ASH__EVENT__KIND_ENGINE_END, &end);
      run->run = 0;
      engine->busy--;
    }
  engine->stepping = false;
  give_pending (world);
  if (!engine->stepping)
    begin_step (world, box);
}

/* ---- callers ---- */

static void
come_back (struct world *world, uint32_t index, uint32_t retry_ms)
{
  struct world_call *call = &world->calls[index];
  bool storm = world->setup->callers == CALLERS_STORM;
  int64_t at_us =
      world->now_us + world->setup->client_us + (storm ? STORM_US : (int64_t) retry_ms * US_PER_MS);

  call->entry = -1;
  if (!call->refused_us)
    call->refused_us = world->now_us + world->setup->client_us;
  if (call->tries > (storm ? STORM_TRIES : WAIT_TRIES) || at_us >= call->deadline_us)
    call->gave_up = true;
  else
    event_queue_push (&world->queue, (struct item){ at_us, 0, KIND_CALL, 0, index, NULL });
}

static void
take_reply (struct world *world, const struct Ash__Reply *reply)
{
  struct world_call *call = &world->calls[reply->call];

  if (reply->reason != ASH__REASON__REASON_NONE)
    come_back (world, (uint32_t) reply->call, reply->retry_ms);
  else if (!call->first_us)
    call->first_us = world->now_us + world->setup->client_us;
}

static void
take_reply_end (struct world *world, const struct Ash__ReplyEnd *end)
{
  struct world_call *call = &world->calls[end->call];

  call->entry = -1;
  if (end->whole)
    call->done_us = world->now_us + world->setup->client_us;
  else
    come_back (world, (uint32_t) end->call, 1);
}

/* Callers know their account's entries; one that is gone is named no more after a
 * while, and is gone round where a connection is refused. */
static int32_t
choose_entry (struct world *world, const struct ash_account *account)
{
  const struct ash_document *document = &world->boxes[0].session.entry.config.document;
  int64_t paused_us = world->now_us - world->paused_since_us;
  uint32_t half_us = world->boxes[0].session.settings.address_keep_ms * US_PER_MS / 2;
  int64_t keep_us = SILENCE_US + half_us + ash_random_below (&world->random, half_us);
  int32_t found[WORLD_ENTRIES];
  uint32_t count = 0;

  for (int32_t e = 0; e < WORLD_ENTRIES; e++)
    {
      const struct box *box = &world->boxes[e];

      if (ash_document_entry_rank (document, account, box->session.settings.box) < 0 ||
          (box->paused && paused_us > keep_us))
        continue;
      found[count++] = e;
    }
  return count ? found[ash_random_below (&world->random, count)] : -1;
}

static void
make_call (struct world *world, uint32_t index)
{
  struct world_call *call = &world->calls[index];
  const struct ash_document *document = &world->boxes[0].session.entry.config.document;
  const struct ash_account *account =
      ash_document_account (document, world->accounts[call->account].name);
  struct Ash__Call message = ASH__CALL__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_CALL, &message);
  char body[BODY_BYTES + 16];
  int32_t e = choose_entry (world, account);

  if (e < 0 || world->now_us >= call->deadline_us)
    {
      call->gave_up = true;
      return;
    }
  call->tries++;
  call->entry = e;
  call->first_us = 0;
  message.call = index;
  message.service = ash_proto_text ("model");
  message.method = ash_proto_text ("POST");
  message.path = ash_proto_text ("/v1/completions");
  message.body.data = (uint8_t *) body;
  /* A prefix that is the same for many, and then what is one's own. */
  memset (body, ' ', BODY_BYTES);
  sprintf (body, "%u", call->prefix);
  message.body.len = (size_t) sprintf (body + BODY_BYTES, "%u", index) + BODY_BYTES + 1;
  message.key_hash.data = (uint8_t *) (uintptr_t) account->key_hash;
  message.key_hash.len = ASH_KEY_HASH_BYTES;
  message.stream = true;
  message.deadline_ms = (uint32_t) ((call->deadline_us - world->now_us) / US_PER_MS);
  if (message.deadline_ms == 0)
    message.deadline_ms = 1;
  message.unix_s = world->setup->event ? UNIX_S : 1;
  event_queue_push (&world->queue,
                    (struct item){ world->now_us + world->setup->client_us, 0, KIND_FRAME,
                                   (uint32_t) e, (uint32_t) e, session_copy_event (&event) });
}

/* ---- what cores give out ---- */

static void
send_frame (struct world *world, uint32_t from, uint32_t to, const struct Ash__Event *event)
{
  struct Ash__Event *copy;

  if (is_cut (world, from, to) || world->boxes[to].down)
    return;
  copy = session_copy_event (event);
  /* What arrives names its sender. */
  if (copy->peer != protobuf_c_empty_string)
    free (copy->peer);
  copy->peer = strdup (world->boxes[from].session.settings.box);
  event_queue_push (&world->queue, (struct item){ world->now_us + world->setup->latency_us, 0,
                                                  KIND_FRAME, to, from, copy });
}

static void
on_emitted (void *data, struct session *session, const struct Ash__Event *event)
{
  struct box *box = data;
  struct world *world = box->world;

  (void) session;
  if (*event->peer)
    {
      send_frame (world, box->index, box_of (event->peer), event);
      return;
    }
  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_REPLY:
      take_reply (world, event->reply);
      break;
    case ASH__EVENT__KIND_REPLY_END:
      take_reply_end (world, event->reply_end);
      break;
    case ASH__EVENT__KIND_ENGINE_START:
      start_run (world, box->index, event->engine_start);
      break;
    case ASH__EVENT__KIND_ENGINE_CANCEL:
      world->wasted += engine_cancel (&box->engine, event->engine_cancel->run);
      break;
    default:
      break;
    }
}

/* ---- links ---- */

static void
link_up (struct world *world, uint32_t box, uint32_t peer)
{
  struct Ash__LinkUp up = ASH__LINK_UP__INIT;

  up.role = peer < WORLD_ENTRIES ? ASH__ROLE__ENTRY : ASH__ROLE__ENDPOINT;
  up.incarnation = world->boxes[peer].incarnation;
  up.revision = 1;
  give_message (world, box, peer, ASH__EVENT__KIND_LINK_UP, &up);
}

static void
link_down (struct world *world, uint32_t box, uint32_t peer)
{
  struct Ash__LinkDown down = ASH__LINK_DOWN__INIT;

  down.incarnation = world->boxes[peer].incarnation;
  if (!world->boxes[box].down)
    give_message (world, box, peer, ASH__EVENT__KIND_LINK_DOWN, &down);
}

/* All links between entries and agents that a condition holds for. */
static void
for_links (struct world *world,
           bool (*applies) (const struct world *world, uint32_t entry, uint32_t agent),
           void (*change) (struct world *world, uint32_t box, uint32_t peer))
{
  for (uint32_t e = 0; e < WORLD_ENTRIES; e++)
    for (uint32_t a = WORLD_ENTRIES; a < WORLD_BOXES; a++)
      if (!applies || applies (world, e, a))
        {
          change (world, e, a);
          change (world, a, e);
        }
}

static bool
crosses_halls (const struct world *world, uint32_t entry, uint32_t agent)
{
  return (world->boxes[entry].hall == 0) != (world->boxes[agent].hall == 0);
}

/* ---- time ---- */

static void
tick (struct world *world, uint32_t index)
{
  struct Ash__Tick message = ASH__TICK__INIT;

  if (!world->boxes[index].down && !world->boxes[index].paused)
    session_deliver_message (&world->boxes[index].session, now_of (world), "",
                             ASH__EVENT__KIND_TICK, &message);
  event_queue_push (&world->queue,
                    (struct item){ world->now_us + TICK_US, 0, KIND_TICK, index, 0, NULL });
}

static void
beat (struct world *world, uint32_t index)
{
  struct box *box = &world->boxes[index];
  struct Ash__Heartbeat heartbeat = ASH__HEARTBEAT__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_HEARTBEAT, &heartbeat);

  event_queue_push (&world->queue,
                    (struct item){ world->now_us + BEAT_US, 0, KIND_BEAT, index, 0, NULL });
  if (box->down)
    return;
  ash_agent_heartbeat (&box->session.agent, &heartbeat);
  if (world->reports_lost)
    {
      heartbeat.in_flight = 0;
      heartbeat.queued = 0;
    }
  for (uint32_t e = 0; e < WORLD_ENTRIES; e++)
    send_frame (world, index, e, &event);
}

/* ---- faults ---- */

#define KILLED WORLD_ENTRIES /* the first agent; it is in hall 2 */
#define PAUSED 1

static void start_box (struct world *world, uint32_t index);

static void
kill_agent (struct world *world)
{
  struct box *box = &world->boxes[KILLED];

  for (uint32_t i = 0; i < ENGINE_BATCH; i++)
    world->wasted += engine_cancel (&box->engine, box->engine.runs[i].run);
  box->down = true;
  for (uint32_t e = 0; e < WORLD_ENTRIES; e++)
    link_down (world, e, KILLED);
  session_finish (&box->session);
}

static void
wake_entry (struct world *world)
{
  struct box *box = &world->boxes[PAUSED];

  box->paused = false;
  /* It knows that it was away: all links are closed, and opened anew. */
  for (uint32_t a = WORLD_ENTRIES; a < WORLD_BOXES; a++)
    link_down (world, PAUSED, a);
  for (uint32_t i = 0; i < box->held_count; i++)
    {
      if (box->held[i].event->kind_case == ASH__EVENT__KIND_CALL)
        give (world, PAUSED, box->held[i].event);
      ash__event__free_unpacked (box->held[i].event, NULL);
    }
  box->held_count = 0;
  for (uint32_t a = WORLD_ENTRIES; a < WORLD_BOXES; a++)
    {
      link_up (world, PAUSED, a);
      link_up (world, a, PAUSED);
    }
}

static void
begin_fault (struct world *world)
{
  int64_t heal_us = 0;

  switch (world->setup->fault)
    {
    case FAULT_KILL:
      kill_agent (world);
      heal_us = KILLED_US;
      break;
    case FAULT_STALL:
      world->boxes[KILLED].engine.stalled_until_us = world->now_us + STALL_US;
      break;
    case FAULT_CUT:
      world->cut = true;
      heal_us = CUT_US;
      event_queue_push (&world->queue,
                        (struct item){ world->now_us + SILENCE_US, 0, KIND_SILENCE, 0, 0, NULL });
      break;
    case FAULT_PAUSE:
      world->boxes[PAUSED].paused = true;
      world->paused_since_us = world->now_us;
      heal_us = CUT_US;
      event_queue_push (&world->queue,
                        (struct item){ world->now_us + SILENCE_US, 0, KIND_SILENCE, 0, 0, NULL });
      break;
    case FAULT_REPORTS:
      world->reports_lost = true;
      heal_us = REPORTS_US;
      break;
    case FAULT_NONE:
      break;
    }
  if (heal_us)
    event_queue_push (&world->queue,
                      (struct item){ world->now_us + heal_us, 0, KIND_HEAL, 0, 0, NULL });
}

static void
silence (struct world *world)
{
  if (world->setup->fault == FAULT_CUT)
    for_links (world, crosses_halls, link_down);
  else
    for (uint32_t a = WORLD_ENTRIES; a < WORLD_BOXES; a++)
      link_down (world, a, PAUSED);
}

static void
heal (struct world *world)
{
  switch (world->setup->fault)
    {
    case FAULT_KILL:
      start_box (world, KILLED);
      for (uint32_t e = 0; e < WORLD_ENTRIES; e++)
        {
          link_up (world, e, KILLED);
          link_up (world, KILLED, e);
        }
      break;
    case FAULT_CUT:
      world->cut = false;
      for_links (world, crosses_halls, link_up);
      break;
    case FAULT_PAUSE:
      wake_entry (world);
      break;
    default:
      world->reports_lost = false;
    }
}

/* ---- running ---- */

static void
take_frame (struct world *world, const struct item *item)
{
  struct box *box = &world->boxes[item->box];

  if (box->down || is_cut (world, item->box, item->index))
    {
      ash__event__free_unpacked (item->event, NULL);
      return;
    }
  if (box->paused)
    {
      box->held = realloc (box->held, (box->held_count + 1) * sizeof *box->held);
      if (!box->held)
        abort ();
      box->held[box->held_count++] = *item;
      return;
    }
  give (world, item->box, item->event);
  ash__event__free_unpacked (item->event, NULL);
}

static void
handle (struct world *world, const struct item *item)
{
  switch (item->kind)
    {
    case KIND_CALL:
      make_call (world, item->index);
      break;
    case KIND_FRAME:
      take_frame (world, item);
      break;
    case KIND_STEP:
      end_step (world, item->box);
      break;
    case KIND_TICK:
      tick (world, item->box);
      break;
    case KIND_BEAT:
      beat (world, item->box);
      break;
    case KIND_FAULT:
      begin_fault (world);
      break;
    case KIND_HEAL:
      heal (world);
      break;
    case KIND_SILENCE:
      silence (world);
      break;
    }
  give_pending (world);
}

void
world_run (struct world *world)
{
  while (world->queue.count)
    {
      struct item item = event_queue_pop (&world->queue);

      if (item.at_us > world->setup->end_us)
        {
          if (item.event)
            ash__event__free_unpacked (item.event, NULL);
          return;
        }
      world->now_us = item.at_us;
      handle (world, &item);
    }
}

/* ---- making ---- */

static void
write_document (struct world *world)
{
  static const char *const classes[WORLD_CLASSES] = { "counter", "shop", "batch" };
  size_t length;
  FILE *out = open_memstream (&world->document, &length);

  fprintf (out, "[[service]]\nname='model'\n");
  for (uint32_t h = 0; h < WORLD_HALLS; h++)
    fprintf (out, "[[hall]]\nname='h%u'\n", h);
  for (uint32_t c = 0; c < WORLD_CLASSES; c++)
    fprintf (out, "[[class]]\nname='%s'\npriority=%u\n", classes[c], c + 1);
  for (uint32_t e = 0; e < WORLD_ENTRIES; e++)
    fprintf (out, "[[entry]]\nbox='e%u'\nhall='h%u'\nhttp='127.0.0.1:1'\npeer='127.0.0.1:2'\n", e,
             e % WORLD_HALLS);
  for (uint32_t a = 0; a < WORLD_AGENTS; a++)
    fprintf (out,
             "[[endpoint]]\nbox='m%u'\nhall='h%u'\nservice='model'\npeer='127.0.0.1:3'\n"
             "slots=%u\n",
             a, (a + WORLD_ENTRIES) % WORLD_HALLS, ENGINE_BATCH);
  fprintf (out, "[[event]]\nname='opening'\nstart_s=%u\n", UNIX_S);
  for (uint32_t i = 0; i < WORLD_ACCOUNTS; i++)
    {
      const struct world_account *account = &world->accounts[i];
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
start_box (struct world *world, uint32_t index)
{
  struct box *box = &world->boxes[index];
  bool is_entry = index < WORLD_ENTRIES;
  char name[16];

  snprintf (name, sizeof name, "%c%u", is_entry ? 'e' : 'm',
            is_entry ? index : index - WORLD_ENTRIES);
  box->world = world;
  box->index = index;
  box->hall = index % WORLD_HALLS;
  box->incarnation++;
  box->down = false;
  box->session = (struct session){ .core = is_entry ? SESSION_ENTRY : SESSION_AGENT,
                                   .emitted = on_emitted,
                                   .data = box };
  session_settings (&box->session.settings, name, is_entry);
  snprintf (box->session.settings.hall, sizeof box->session.settings.hall, "h%u", box->hall);
  box->session.settings.route = route_of (world->setup->route);
  if (strcmp (world->setup->route, "two choices") == 0)
    box->session.settings.prefix_bytes = 0;
  session_init (&box->session, index + 1000 * box->incarnation, now_of (world));
  box->incarnation = is_entry ? box->incarnation : index + 1000 * box->incarnation;
  if (session_offer_config (&box->session, now_of (world), 1, world->document,
                            strlen (world->document)) != ASH_CONFIG_ACCEPTED)
    abort ();
}

struct world *
world_new (const struct world_setup *setup,
           const struct world_account *accounts,
           struct world_call *calls,
           uint32_t call_count,
           uint64_t seed)
{
  struct world *world = calloc (1, sizeof *world);

  if (!world)
    abort ();
  world->setup = setup;
  world->accounts = accounts;
  world->calls = calls;
  world->call_count = call_count;
  ash_random_init (&world->random, seed);
  write_document (world);
  for (uint32_t i = 0; i < WORLD_BOXES; i++)
    start_box (world, i);
  for_links (world, NULL, link_up);
  for (uint32_t i = 0; i < WORLD_BOXES; i++)
    {
      event_queue_push (&world->queue,
                        (struct item){ TICK_US * i / WORLD_BOXES, 0, KIND_TICK, i, 0, NULL });
      if (i >= WORLD_ENTRIES)
        event_queue_push (&world->queue,
                          (struct item){ BEAT_US * i / WORLD_BOXES, 0, KIND_BEAT, i, 0, NULL });
    }
  for (uint32_t i = 0; i < call_count; i++)
    event_queue_push (&world->queue, (struct item){ calls[i].at_us, 0, KIND_CALL, 0, i, NULL });
  if (setup->fault)
    event_queue_push (&world->queue, (struct item){ setup->fault_us, 0, KIND_FAULT, 0, 0, NULL });
  return world;
}

void
world_work (const struct world *world, struct world_work *work)
{
  *work = (struct world_work){ .wasted = world->wasted };
  for (uint32_t a = 0; a < WORLD_AGENTS; a++)
    {
      const struct engine_model *engine = &world->boxes[WORLD_ENTRIES + a].engine;

      work->tokens += engine->tokens;
      work->hits += engine->hits;
      work->misses += engine->misses;
      work->by_engine[a] = engine->tokens;
    }
  for (uint32_t i = 0; i < world->call_count; i++)
    if (world->calls[i].done_us > world->calls[i].deadline_us)
      work->wasted += world->calls[i].tokens;
}

void
world_free (struct world *world)
{
  while (world->queue.count)
    {
      struct item item = event_queue_pop (&world->queue);

      if (item.event)
        ash__event__free_unpacked (item.event, NULL);
    }
  for (uint32_t i = 0; i < WORLD_BOXES; i++)
    {
      if (!world->boxes[i].down)
        session_finish (&world->boxes[i].session);
      for (uint32_t h = 0; h < world->boxes[i].held_count; h++)
        ash__event__free_unpacked (world->boxes[i].held[h].event, NULL);
      free (world->boxes[i].held);
    }
  event_queue_finish (&world->queue);
  free (world->pending);
  free (world->document);
  free (world);
}
