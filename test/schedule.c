/**
 * @file
 * Random schedules of the request cores: callers, two entries, two agents with
 * their engines, links that break, processes that die, are paused and wake
 * late, and homes that move. After every event the promises are checked.
 *
 * usage: schedule [COUNT [FIRST_SEED]]
 * A failing seed prints its sessions as golden files and exits 1.
 */
#include "test/session.h"
#include "test/workers.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define ENTRIES 2
#define AGENTS 2
#define KEYS 2
#define CALLS_MAX 24
#define RUNS_MAX 64
#define PIECES 3
#define STEPS 200
#define FRAMES_MAX 100
#define UNIX_BASE_S 1000000

#define KEY_LIFE_MS 20000
#define GUARD_MS 400
#define SILENCE_MS 200
#define GRACE_MS 1000

struct frame
{
  struct Ash__Event *event;
  unsigned session; /* of the wire that it is on */
  int64_t sent_ms;
  struct frame *prev;
  struct frame *next;
};

/* One link between an entry and an agent: a queue each way. */
struct wire
{
  int e;
  int a;
  bool open;
  unsigned session;       /* counts how often the link was opened */
  unsigned agent_session; /* the one that the agent knows; 0: none */
  unsigned entry_session;
  int64_t closed_ms;
  struct frame *to_agent;
  struct frame *to_entry;
  struct Ash__Event *last_submit; /* to come once more, on whichever link */
  int64_t last_submit_ms;
};

struct process
{
  struct session session;
  bool alive;
  bool paused;
  int64_t woke_ms;
  int64_t stop_ms; /* since when it stops as planned; 0: it does not */
  uint64_t life;
  char *transcript;
  size_t transcript_bytes;
};

/* A run at an engine. */
struct run
{
  int agent;
  uint64_t life;
  uint64_t number;
  struct ash_id id;
  unsigned serial;
  unsigned step;
  bool active;
  bool refused; /* the engine takes no connection: certainly not run */
  bool no_repeat;
  uint32_t attempt; /* the caller's, stated or not; 0: without a key */
};

/* A submission by a caller. */
struct call
{
  int entry;
  uint64_t entry_life;
  int key; /* -1: without a key */
  uint32_t attempt;
  uint32_t stated;
  bool no_repeat;
  bool stream;
  int64_t sent_ms;
  int64_t deadline_ms;
  bool delivered;
  bool lost;  /* its entry died */
  bool ended; /* it has its final answer */
  int outcome;
  struct ash_id id;
  char text[512]; /* of the answer */
  size_t text_bytes;
};

struct world
{
  uint64_t seed;
  struct ash_random random;
  struct ash_time now;
  struct process entries[ENTRIES];
  struct process agents[AGENTS];
  struct wire wires[ENTRIES][AGENTS];
  struct run runs[RUNS_MAX];
  unsigned run_count;
  struct call calls[CALLS_MAX];
  unsigned call_count;
  uint32_t key_attempts[KEYS];
  uint64_t revision;
  unsigned set; /* which endpoints the newest document declares */
  uint64_t lives;
  bool record;
  const char *broken;
};

enum total
{
  TOTAL_CALLS,
  TOTAL_RAN,
  TOTAL_NOT_RUN,
  TOTAL_UNKNOWN,
  TOTAL_LOST,
  TOTAL_RUNS,
  TOTAL_COUNT,
};

static unsigned long totals[TOTAL_COUNT];
static const char *const entry_names[ENTRIES] = { "e0", "e1" };
static const char *const agent_names[AGENTS] = { "a0", "a1" };

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

/* ---- documents ---- */

static void
write_document (const struct world *world, unsigned set, int64_t since_s, char *text)
{
  char *p = text;
  uint8_t hash[ASH_KEY_HASH_BYTES];

  (void) world;
  ash_key_hash ("key", 3, hash);
  p += sprintf (p,
                "{\"hall\":[{\"name\":\"h\"}],\"class\":[{\"name\":\"c\"}],"
                "\"service\":[{\"name\":\"s\",\"homes_since_s\":%lld}],"
                "\"account\":[{\"name\":\"a\",\"class\":\"c\",\"rate_per_s\":1000000,"
                "\"burst\":1000000,\"key_hash\":\"",
                (long long) since_s);
  for (unsigned i = 0; i < sizeof hash; i++)
    p += sprintf (p, "%02x", hash[i]);
  p += sprintf (p, "\"}],\"entry\":[");
  for (int e = 0; e < ENTRIES; e++)
    p += sprintf (p,
                  "%s{\"box\":\"e%d\",\"hall\":\"h\",\"http\":\"127.0.0.1:1\",\"peer\":"
                  "\"127.0.0.1:2\"}",
                  e ? "," : "", e);
  p += sprintf (p, "],\"endpoint\":[");
  for (int a = 0, first = 1; a < AGENTS; a++)
    if (set & (1u << a))
      {
        p += sprintf (p,
                      "%s{\"box\":\"a%d\",\"service\":\"s\",\"hall\":\"h\",\"slots\":2,\"peer\":"
                      "\"127.0.0.1:3\"}",
                      first ? "" : ",", a);
        first = 0;
      }
  strcpy (p, "]}");
}

static int64_t
unix_s (const struct world *world)
{
  return UNIX_BASE_S + world->now.ms / 1000;
}

static char published[2048];

static void
offer (struct world *world, struct process *process)
{
  session_offer_config (&process->session, world->now, world->revision, published,
                        strlen (published));
}

/* ---- links ---- */

static void
append (struct wire *wire, struct frame **queue, int64_t sent_ms, const struct Ash__Event *event)
{
  struct frame *frame = calloc (1, sizeof *frame);

  frame->session = wire->session;
  frame->sent_ms = sent_ms;
  frame->event = session_copy_event (event);
  DL_APPEND (*queue, frame);
}

static void
append_message (struct wire *wire,
                struct frame **queue,
                const char *peer,
                Ash__Event__KindCase kind,
                const void *message)
{
  struct Ash__Event event = ash_event_wrap (peer, kind, message);

  append (wire, queue, INT64_MAX, &event);
}

static void
drop_frame (struct frame **queue, struct frame *frame)
{
  DL_DELETE (*queue, frame);
  ash__event__free_unpacked (frame->event, NULL);
  free (frame);
}

/* Loses everything from a random frame on, then ends the link for that side. */
static void
break_queue (struct world *world, struct wire *wire, struct frame **queue, const char *peer)
{
  struct Ash__LinkDown down = ASH__LINK_DOWN__INIT;
  struct frame *frame;
  unsigned count = 0;
  unsigned keep;

  DL_COUNT (*queue, frame, count);
  keep = pick (world, count + 1);
  while (count-- > keep)
    drop_frame (queue, (*queue)->prev);
  append_message (wire, queue, peer, ASH__EVENT__KIND_LINK_DOWN, &down);
}

static void
close_wire (struct world *world, int e, int a)
{
  struct wire *wire = &world->wires[e][a];

  if (!wire->open)
    return;
  wire->open = false;
  wire->closed_ms = world->now.ms;
  break_queue (world, wire, &wire->to_agent, entry_names[e]);
  break_queue (world, wire, &wire->to_entry, agent_names[a]);
}

static void
open_wire (struct world *world, int e, int a)
{
  struct wire *wire = &world->wires[e][a];
  struct Ash__LinkUp up = ASH__LINK_UP__INIT;

  if (wire->open || !world->entries[e].alive || !world->agents[a].alive ||
      world->entries[e].paused || world->agents[a].paused)
    return;
  wire->open = true;
  wire->session++;
  up.role = ASH__ROLE__ENTRY;
  up.incarnation = world->entries[e].life;
  append_message (wire, &wire->to_agent, entry_names[e], ASH__EVENT__KIND_LINK_UP, &up);
  up.role = ASH__ROLE__ENDPOINT;
  up.incarnation = world->agents[a].life;
  append_message (wire, &wire->to_entry, agent_names[a], ASH__EVENT__KIND_LINK_UP, &up);
}

static void
clear_queue (struct frame **queue)
{
  while (*queue)
    drop_frame (queue, *queue);
}

/* Whether what a side sends now goes out on the link that is open: it may still
 * believe in an earlier one. */
static bool
knows (const struct wire *wire, bool entry_side)
{
  return wire->open && wire->session == (entry_side ? wire->entry_session : wire->agent_session);
}

/* ---- what cores give out ---- */

static struct run *
find_run (struct world *world, int agent, uint64_t number)
{
  for (unsigned i = 0; i < world->run_count; i++)
    if (world->runs[i].agent == agent && world->runs[i].number == number &&
        world->runs[i].life == world->agents[agent].life)
      return &world->runs[i];
  return NULL;
}

static void
check_run (struct world *world, const struct run *run)
{
  unsigned runs = 0;

  for (unsigned i = 0; i < world->run_count; i++)
    runs += !world->runs[i].refused && ash_id_equal (world->runs[i].id, run->id);
  if (run->no_repeat && runs > 1)
    fail (world, "a request that may not be repeated ran twice");
  for (unsigned i = 0; i < world->call_count; i++)
    {
      const struct call *call = &world->calls[i];

      if (ash_id_equal (call->id, run->id) && call->ended &&
          call->outcome == ASH__OUTCOME__NOT_RUN && run->attempt <= call->attempt)
        fail (world, "an attempt ran after it was told not run");
    }
}

static void
start_run (struct world *world, int agent, const struct Ash__EngineStart *start)
{
  struct run *run = &world->runs[world->run_count];

  if (world->run_count == RUNS_MAX)
    {
      fail (world, "more runs than the schedule can make");
      return;
    }
  if (!ash_time_before (world->now, world->agents[agent].session.agent.stop.answer_deadline))
    fail (world, "a run begins after a planned stop's last answers");
  world->run_count++;
  *run = (struct run){
    .agent = agent,
    .life = world->agents[agent].life,
    .number = start->run,
    .id = { start->id_hi, start->id_lo },
    .serial = world->run_count,
    .active = true,
    .refused = pick (world, 20) == 0,
    .no_repeat = start->no_repeat,
    .attempt = start->body.data[0],
  };
  if (!run->refused)
    check_run (world, run);
}

static void
agent_emitted (void *data, struct session *session, const struct Ash__Event *event)
{
  struct world *world = data;
  int a = session == &world->agents[1].session;
  struct Ash__Event copy = *event;
  struct run *run;

  if (event->kind_case == ASH__EVENT__KIND_ENGINE_START)
    {
      start_run (world, a, event->engine_start);
      return;
    }
  if (event->kind_case == ASH__EVENT__KIND_ENGINE_CANCEL)
    {
      run = find_run (world, a, event->engine_cancel->run);
      if (run)
        run->active = false;
      return;
    }
  copy.peer = ash_proto_text (agent_names[a]);
  for (int e = 0; e < ENTRIES; e++)
    if (strcmp (event->peer, entry_names[e]) == 0 && knows (&world->wires[e][a], false))
      append (&world->wires[e][a], &world->wires[e][a].to_entry, world->now.ms, &copy);
}

/* What the engine generates in run @p serial of that request. */
static void
piece_text (struct ash_id id, unsigned serial, unsigned index, char text[64])
{
  snprintf (text, 64, "%08llx/%u/%u;", (unsigned long long) (id.lo & 0xffffffff), serial, index);
}

static void
check_text (struct world *world, struct call *call, bool whole)
{
  char expected[PIECES * 64] = "";
  char piece[64];
  unsigned serial = 0;

  if (call->text_bytes == 0 && !whole)
    return;
  if (sscanf (call->text, "%*8[0-9a-f]/%u/", &serial) != 1)
    {
      fail (world, "an answer that no engine generated");
      return;
    }
  for (unsigned i = 0; i < PIECES; i++)
    {
      piece_text (call->id, serial, i, piece);
      strcat (expected, piece);
    }
  if (whole && strcmp (expected, call->text) != 0)
    fail (world, "a whole answer that is not what the engine generated");
  if (!whole && strncmp (expected, call->text, call->text_bytes) != 0)
    fail (world, "bytes that are not of this answer");
}

static void
end_call (struct world *world, struct call *call, int outcome)
{
  unsigned runs = 0;
  bool upto_ran = false;

  if (call->ended)
    fail (world, "two final answers to one call");
  call->ended = true;
  call->outcome = outcome;
  for (unsigned i = 0; i < world->run_count; i++)
    {
      const struct run *run = &world->runs[i];

      if (run->refused || !ash_id_equal (run->id, call->id))
        continue;
      runs++;
      upto_ran |= run->attempt <= call->attempt;
    }
  if (outcome == ASH__OUTCOME__RAN && runs == 0)
    fail (world, "told that it ran, and it did not");
  if (outcome != ASH__OUTCOME__NOT_RUN)
    return;
  if (upto_ran)
    fail (world, "told not run, but it ran");
}

static void
take_reply (struct world *world, struct call *call, const struct Ash__Reply *reply)
{
  struct ash_id id = { reply->id_hi, reply->id_lo };

  if (call->key < 0)
    call->id = id;
  else if (reply->reason == ASH__REASON__REASON_NONE && !ash_id_equal (id, call->id))
    fail (world, "another request's answer");
  if (!reply->final)
    return;
  if (reply->reason == ASH__REASON__REASON_NONE)
    {
      memcpy (call->text, reply->body.data, reply->body.len);
      call->text_bytes = reply->body.len;
      check_text (world, call, true);
    }
  end_call (world, call, (int) reply->outcome);
}

static void
remember_submit (struct world *world, struct wire *wire, const struct Ash__Event *event)
{
  ash__event__free_unpacked (wire->last_submit, NULL);
  wire->last_submit = session_copy_event (event);
  wire->last_submit_ms = world->now.ms;
}

static void
entry_emitted (void *data, struct session *session, const struct Ash__Event *event)
{
  struct world *world = data;
  int e = session == &world->entries[1].session;
  struct Ash__Event copy = *event;
  struct call *call;

  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_REPLY:
      take_reply (world, &world->calls[event->reply->call - 1], event->reply);
      return;
    case ASH__EVENT__KIND_REPLY_DATA:
      call = &world->calls[event->reply_data->call - 1];
      memcpy (call->text + call->text_bytes, event->reply_data->bytes.data,
              event->reply_data->bytes.len);
      call->text_bytes += event->reply_data->bytes.len;
      check_text (world, call, false);
      return;
    case ASH__EVENT__KIND_REPLY_END:
      call = &world->calls[event->reply_end->call - 1];
      if (event->reply_end->whole)
        check_text (world, call, true);
      end_call (world, call, (int) event->reply_end->outcome);
      return;
    default:
      break;
    }
  copy.peer = ash_proto_text (entry_names[e]);
  for (int a = 0; a < AGENTS; a++)
    if (strcmp (event->peer, agent_names[a]) == 0 && knows (&world->wires[e][a], true))
      {
        struct wire *wire = &world->wires[e][a];

        append (wire, &wire->to_agent, world->now.ms, &copy);
        if (event->kind_case == ASH__EVENT__KIND_SUBMIT)
          remember_submit (world, wire, &copy);
      }
}

/* ---- processes ---- */

static void
start_process (struct world *world, struct process *process, const char *name, bool is_entry)
{
  struct session *session = &process->session;
  struct ash_settings *settings = &session->settings;

  session_settings (settings, name, is_entry);
  settings->key_life_ms = KEY_LIFE_MS;
  settings->id_life_ms = 500;
  settings->guard_ms = GUARD_MS;
  settings->link_silence_ms = SILENCE_MS;
  settings->orphan_ms = 150;
  settings->keyed_orphan_ms = 600;
  settings->resume_ms = 100;
  settings->retry_after_ms = 10;
  settings->address_keep_ms = 100;
  settings->grace_ms = GRACE_MS;
  process->life = ++world->lives * 1000 + 7;
  process->alive = true;
  process->paused = false;
  process->stop_ms = 0;
  session->core = is_entry ? SESSION_ENTRY : SESSION_AGENT;
  session->emitted = is_entry ? entry_emitted : agent_emitted;
  session->data = world;
  session->transcript =
      world->record ? open_memstream (&process->transcript, &process->transcript_bytes) : NULL;
  if (world->record)
    fprintf (session->transcript, "core %s %s %llu\n", is_entry ? "entry" : "agent", name,
             (unsigned long long) process->life);
  session_init (session, process->life, world->now);
  offer (world, process);
}

static void
end_process (struct process *process)
{
  if (!process->alive)
    return;
  session_finish (&process->session);
  process->alive = false;
  if (process->session.transcript)
    {
      fclose (process->session.transcript);
      fprintf (stderr, "%s\n", process->transcript);
      free (process->transcript);
    }
}

static void
kill_entry (struct world *world, int e)
{
  for (int a = 0; a < AGENTS; a++)
    {
      close_wire (world, e, a);
      clear_queue (&world->wires[e][a].to_entry);
      world->wires[e][a].entry_session = 0;
    }
  end_process (&world->entries[e]);
  for (unsigned i = 0; i < world->call_count; i++)
    if (world->calls[i].entry == e && !world->calls[i].ended)
      world->calls[i].lost = true;
  start_process (world, &world->entries[e], entry_names[e], true);
}

static void
kill_agent (struct world *world, int a)
{
  for (int e = 0; e < ENTRIES; e++)
    {
      close_wire (world, e, a);
      clear_queue (&world->wires[e][a].to_agent);
      world->wires[e][a].agent_session = 0;
    }
  end_process (&world->agents[a]);
  for (unsigned i = 0; i < world->run_count; i++)
    if (world->runs[i].agent == a)
      world->runs[i].active = false;
  start_process (world, &world->agents[a], agent_names[a], false);
}

/* A planned stop: it goes on with what it has until it is over. */
static void
begin_stop (struct world *world, struct process *process)
{
  struct Ash__Stop stop = ASH__STOP__INIT;

  if (!process->alive || process->paused || process->stop_ms)
    return;
  process->stop_ms = world->now.ms;
  session_deliver_message (&process->session, world->now, "", ASH__EVENT__KIND_STOP, &stop);
}

/* Whether a process that stops ends now: when nothing is in its hands, at the latest when its
 * grace is over. */
static bool
is_stopped (struct world *world, const struct process *process)
{
  const struct session *session = &process->session;
  bool idle = session->core == SESSION_ENTRY ? ash_entry_idle (&session->entry)
                                             : ash_agent_idle (&session->agent);

  if (!process->stop_ms || process->paused)
    return false;
  if (!idle && world->now.ms - process->stop_ms >= GRACE_MS)
    fail (world, "a planned stop that outlasts its grace");
  return idle && pick (world, 2);
}

static void
end_stopped (struct world *world)
{
  for (int e = 0; e < ENTRIES; e++)
    if (is_stopped (world, &world->entries[e]))
      kill_entry (world, e);
  for (int a = 0; a < AGENTS; a++)
    if (is_stopped (world, &world->agents[a]))
      kill_agent (world, a);
}

/* A process that wakes finds all its links too old, and closes them. */
static void
wake (struct world *world, struct process *process, int index, bool is_entry)
{
  struct Ash__LinkDown down = ASH__LINK_DOWN__INIT;

  process->paused = false;
  process->woke_ms = world->now.ms;
  for (int other = 0; other < 2; other++)
    {
      int e = is_entry ? index : other;
      int a = is_entry ? other : index;
      struct wire *wire = &world->wires[e][a];

      close_wire (world, e, a);
      clear_queue (is_entry ? &wire->to_entry : &wire->to_agent);
      *(is_entry ? &wire->entry_session : &wire->agent_session) = 0;
      session_deliver_message (&process->session, world->now,
                               is_entry ? agent_names[other] : entry_names[other],
                               ASH__EVENT__KIND_LINK_DOWN, &down);
    }
}

/* ---- callers ---- */

static void
submit (struct world *world)
{
  struct call *call = &world->calls[world->call_count];
  int kind = (int) pick (world, 4);

  if (world->call_count == CALLS_MAX)
    return;
  world->call_count++;
  *call = (struct call){
    .entry = (int) pick (world, ENTRIES),
    .key = kind < 2 ? (int) pick (world, KEYS) : -1,
    .no_repeat = kind < 3,
    .stream = pick (world, 2),
    .sent_ms = world->now.ms,
    .deadline_ms = 200 + pick (world, 1500),
  };
  call->entry_life = world->entries[call->entry].life;
  if (call->key >= 0)
    {
      char key[16];

      call->attempt = ++world->key_attempts[call->key];
      call->stated = pick (world, 8) ? call->attempt : 0;
      snprintf (key, sizeof key, "k%d", call->key);
      call->id = ash_id_from_key ("a", "s", key);
    }
}

static void
deliver_call (struct world *world, unsigned index)
{
  struct call *call = &world->calls[index];
  struct process *process = &world->entries[call->entry];
  struct Ash__Call message = ASH__CALL__INIT;
  uint8_t hash[ASH_KEY_HASH_BYTES];
  /* Goes through to the engine: which attempt it is, stated or not. */
  uint8_t body = (uint8_t) call->attempt;
  char key[16];

  if (call->delivered || process->paused)
    return;
  call->delivered = true;
  if (call->lost)
    return;
  ash_key_hash ("key", 3, hash);
  message.call = index + 1;
  message.service = ash_proto_text ("s");
  message.method = ash_proto_text ("POST");
  message.path = ash_proto_text ("/");
  message.key_hash.data = hash;
  message.key_hash.len = sizeof hash;
  message.body.data = &body;
  message.body.len = sizeof body;
  message.no_repeat = call->no_repeat;
  message.stream = call->stream;
  message.caller_attempt = call->stated;
  message.deadline_ms = (uint32_t) call->deadline_ms;
  message.unix_s = unix_s (world);
  message.may_be_old = process->woke_ms && world->now.ms - process->woke_ms < 50;
  if (call->key >= 0)
    {
      snprintf (key, sizeof key, "k%d", call->key);
      message.idempotency_key = key;
    }
  session_deliver_message (&process->session, world->now, "", ASH__EVENT__KIND_CALL, &message);
}

/* ---- steps ---- */

static void
deliver_frame (struct world *world, struct wire *wire, bool to_agent)
{
  struct frame **queue = to_agent ? &wire->to_agent : &wire->to_entry;
  unsigned *session = to_agent ? &wire->agent_session : &wire->entry_session;
  struct process *process = to_agent ? &world->agents[wire->a] : &world->entries[wire->e];
  struct frame *frame = *queue;
  bool doubled = pick (world, 12) == 0;
  Ash__Event__KindCase kind;

  if (!frame || !process->alive || process->paused)
    return;
  kind = frame->event->kind_case;
  if (kind == ASH__EVENT__KIND_LINK_UP)
    *session = frame->session;
  else if (kind == ASH__EVENT__KIND_LINK_DOWN)
    *session = 0;
  /* What is too late is not acted on: the link is closed instead. */
  if (frame->sent_ms != INT64_MAX && world->now.ms - frame->sent_ms > SILENCE_MS)
    {
      drop_frame (queue, frame);
      close_wire (world, wire->e, wire->a);
      return;
    }
  /* A piece of an answer is lost now and then; the next one shows the hole. */
  if (kind == ASH__EVENT__KIND_DATA && pick (world, 30) == 0)
    {
      drop_frame (queue, frame);
      return;
    }
  session_deliver (&process->session, world->now, frame->event);
  if (doubled && kind != ASH__EVENT__KIND_LINK_UP && kind != ASH__EVENT__KIND_LINK_DOWN)
    session_deliver (&process->session, world->now, frame->event);
  drop_frame (queue, frame);
}

/* A Submit once more, late, perhaps to another life than it was meant for. */
static void
repeat_submit (struct world *world, struct wire *wire)
{
  if (wire->last_submit && wire->open && world->now.ms - wire->last_submit_ms <= SILENCE_MS)
    append (wire, &wire->to_agent, wire->last_submit_ms, wire->last_submit);
}

static struct run *
pick_active (struct world *world)
{
  uint32_t start = pick (world, world->run_count);

  for (unsigned i = 0; i < world->run_count; i++)
    {
      struct run *run = &world->runs[(start + i) % world->run_count];

      if (run->active)
        return run;
    }
  return NULL;
}

static void
step_engine (struct world *world)
{
  struct run *run = pick_active (world);
  struct session *session;
  struct Ash__EngineHead head = ASH__ENGINE_HEAD__INIT;
  struct Ash__EngineData data = ASH__ENGINE_DATA__INIT;
  struct Ash__EngineEnd end = ASH__ENGINE_END__INIT;
  char text[64];

  if (!run || world->agents[run->agent].paused)
    return;
  session = &world->agents[run->agent].session;
  head.run = data.run = end.run = run->number;
  if (run->refused || run->step > PIECES)
    {
      run->active = false;
      end.whole = !run->refused;
      end.not_started = run->refused;
      session_deliver_message (session, world->now, "", ASH__EVENT__KIND_ENGINE_END, &end);
    }
  else if (run->step++ == 0)
    {
      head.status = 200;
      session_deliver_message (session, world->now, "", ASH__EVENT__KIND_ENGINE_HEAD, &head);
    }
  else if (pick (world, 25) == 0)
    {
      run->active = false;
      session_deliver_message (session, world->now, "", ASH__EVENT__KIND_ENGINE_END, &end);
    }
  else
    {
      piece_text (run->id, run->serial, run->step - 2, text);
      data.bytes.data = (uint8_t *) text;
      data.bytes.len = strlen (text);
      session_deliver_message (session, world->now, "", ASH__EVENT__KIND_ENGINE_DATA, &data);
    }
}

static void
tick (struct world *world, struct process *process)
{
  struct Ash__Tick message = ASH__TICK__INIT;

  if (process->alive && !process->paused)
    session_deliver_message (&process->session, world->now, "", ASH__EVENT__KIND_TICK, &message);
}

/* Frames are never later than a silent link is kept, nor a caller's request
 * later than the guard: when time moves on, what would be is dropped or done. */
static void
settle_late (struct world *world)
{
  for (int e = 0; e < ENTRIES; e++)
    for (int a = 0; a < AGENTS; a++)
      {
        struct wire *wire = &world->wires[e][a];

        if (wire->open || world->now.ms - wire->closed_ms <= SILENCE_MS)
          continue;
        while (wire->to_agent && wire->to_agent != wire->to_agent->prev)
          drop_frame (&wire->to_agent, wire->to_agent);
        while (wire->to_entry && wire->to_entry != wire->to_entry->prev)
          drop_frame (&wire->to_entry, wire->to_entry);
        deliver_frame (world, wire, true);
        deliver_frame (world, wire, false);
      }
}

/* On an open link frames arrive in time, or the link is closed. */
static void
deliver_in_time (struct world *world)
{
  for (int e = 0; e < ENTRIES; e++)
    for (int a = 0; a < AGENTS; a++)
      {
        struct wire *wire = &world->wires[e][a];

        if (!wire->open)
          continue;
        if (pick (world, 16) == 0 || world->entries[e].paused || world->agents[a].paused)
          {
            close_wire (world, e, a);
            continue;
          }
        for (int i = 0; i < FRAMES_MAX && (wire->to_agent || wire->to_entry); i++)
          {
            deliver_frame (world, wire, true);
            deliver_frame (world, wire, false);
          }
      }
}

static void
advance (struct world *world)
{
  static const int64_t spans_ms[] = { 1, 5, 20, 60, 150, 400, 1200 };
  int64_t span_ms = spans_ms[pick (world, sizeof spans_ms / sizeof spans_ms[0])];

  for (unsigned i = 0; i < world->call_count; i++)
    if (world->now.ms + span_ms - world->calls[i].sent_ms >= GUARD_MS)
      deliver_call (world, i);
  if (span_ms >= SILENCE_MS)
    deliver_in_time (world);
  world->now.ms += span_ms;
  settle_late (world);
  for (int i = 0; i < ENTRIES; i++)
    tick (world, &world->entries[i]);
  for (int i = 0; i < AGENTS; i++)
    tick (world, &world->agents[i]);
  end_stopped (world);
}

static void
publish (struct world *world)
{
  unsigned set = 1 + pick (world, 3);

  if (set == world->set)
    return;
  world->set = set;
  world->revision++;
  write_document (world, set, unix_s (world), published);
}

static void
step (struct world *world)
{
  int e = (int) pick (world, ENTRIES);
  int a = (int) pick (world, AGENTS);
  uint32_t choice = pick (world, 100);

  if (choice < 8)
    submit (world);
  else if (choice < 22 && world->call_count)
    deliver_call (world, pick (world, world->call_count));
  else if (choice < 40)
    deliver_frame (world, &world->wires[e][a], true);
  else if (choice < 56)
    deliver_frame (world, &world->wires[e][a], false);
  else if (choice < 73)
    step_engine (world);
  else if (choice < 79)
    advance (world);
  else if (choice < 88)
    open_wire (world, e, a);
  else if (choice < 89)
    close_wire (world, e, a);
  else if (choice < 90)
    {
      if (pick (world, 2))
        kill_agent (world, a);
      else
        begin_stop (world, &world->agents[a]);
    }
  else if (choice < 91)
    {
      if (pick (world, 2))
        kill_entry (world, e);
      else
        begin_stop (world, &world->entries[e]);
    }
  else if (choice < 92)
    world->entries[e].paused = true;
  else if (choice < 93)
    world->agents[a].paused = true;
  else if (choice < 96 && world->entries[e].paused)
    wake (world, &world->entries[e], e, true);
  else if (choice < 98 && world->agents[a].paused)
    wake (world, &world->agents[a], a, false);
  else if (choice < 99)
    {
      if (pick (world, 2))
        publish (world);
      else
        repeat_submit (world, &world->wires[e][a]);
    }
  else
    {
      offer (world, &world->entries[e]);
      offer (world, &world->agents[a]);
    }
}

/* Lets everything come to rest, then checks that nothing is left over. */
static void
finish_schedule (struct world *world)
{
  for (int e = 0; e < ENTRIES; e++)
    if (world->entries[e].paused)
      wake (world, &world->entries[e], e, true);
  for (int a = 0; a < AGENTS; a++)
    if (world->agents[a].paused)
      wake (world, &world->agents[a], a, false);
  for (unsigned i = 0; i < world->call_count; i++)
    deliver_call (world, i);
  for (int i = 0; i < 10; i++)
    {
      world->now.ms += 1000;
      settle_late (world);
      for (int e = 0; e < ENTRIES; e++)
        tick (world, &world->entries[e]);
      for (int a = 0; a < AGENTS; a++)
        tick (world, &world->agents[a]);
    }
  for (unsigned i = 0; i < world->call_count; i++)
    if (!world->calls[i].lost && !world->calls[i].ended)
      fail (world, "a call without a final answer");
  for (int e = 0; e < ENTRIES; e++)
    if (!ash_entry_idle (&world->entries[e].session.entry))
      fail (world, "an entry that holds on to a request");
  for (int a = 0; a < AGENTS; a++)
    if (!ash_agent_idle (&world->agents[a].session.agent))
      fail (world, "an agent that holds on to work");
}

static struct world *
new_world (uint64_t seed, bool record)
{
  struct world *world = calloc (1, sizeof *world);

  world->seed = seed;
  world->record = record;
  world->revision = 1;
  world->set = 3;
  world->now.ms = 1000;
  ash_random_init (&world->random, seed);
  write_document (world, world->set, 1, published);
  for (int e = 0; e < ENTRIES; e++)
    start_process (world, &world->entries[e], entry_names[e], true);
  for (int a = 0; a < AGENTS; a++)
    start_process (world, &world->agents[a], agent_names[a], false);
  /* Two schedules in three are of lives that are old enough to know all. */
  if (seed % 3)
    world->now.ms += 2 * KEY_LIFE_MS;
  for (int e = 0; e < ENTRIES; e++)
    for (int a = 0; a < AGENTS; a++)
      {
        world->wires[e][a].e = e;
        world->wires[e][a].a = a;
        open_wire (world, e, a);
        deliver_frame (world, &world->wires[e][a], true);
        deliver_frame (world, &world->wires[e][a], false);
      }
  return world;
}

static void
free_world (struct world *world)
{
  for (int e = 0; e < ENTRIES; e++)
    {
      end_process (&world->entries[e]);
      for (int a = 0; a < AGENTS; a++)
        {
          clear_queue (&world->wires[e][a].to_agent);
          clear_queue (&world->wires[e][a].to_entry);
          ash__event__free_unpacked (world->wires[e][a].last_submit, NULL);
        }
    }
  for (int a = 0; a < AGENTS; a++)
    end_process (&world->agents[a]);
  free (world);
}

static void
count_calls (const struct world *world)
{
  totals[TOTAL_RUNS] += world->run_count;
  for (unsigned i = 0; i < world->call_count; i++)
    {
      const struct call *call = &world->calls[i];

      totals[TOTAL_CALLS]++;
      totals[TOTAL_LOST] += !call->ended;
      totals[TOTAL_RAN] += call->ended && call->outcome == ASH__OUTCOME__RAN;
      totals[TOTAL_NOT_RUN] += call->ended && call->outcome == ASH__OUTCOME__NOT_RUN;
      totals[TOTAL_UNKNOWN] += call->ended && call->outcome == ASH__OUTCOME__UNKNOWN;
    }
}

static const char *
run_schedule (uint64_t seed, int record)
{
  struct world *world = new_world (seed, record != 0);
  const char *broken;

  for (unsigned i = 0; i < STEPS && !world->broken; i++)
    step (world);
  if (!world->broken)
    finish_schedule (world);
  count_calls (world);
  broken = world->broken;
  free_world (world);
  return broken;
}

int
main (int argc, char **argv)
{
  const struct workers workers = { run_schedule, totals, TOTAL_COUNT };
  int failures = workers_run (&workers, argc, argv);

  printf ("%lu calls, %lu ran, %lu not run, %lu unknown, %lu without an answer (entry died), %lu "
          "runs\n",
          totals[TOTAL_CALLS], totals[TOTAL_RAN], totals[TOTAL_NOT_RUN], totals[TOTAL_UNKNOWN],
          totals[TOTAL_LOST], totals[TOTAL_RUNS]);
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
