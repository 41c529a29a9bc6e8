/**
 * @file
 * Random schedules of the request cores: callers, two entries, two agents with their
 * engines, links that break, processes that are killed, stopped, or suspended and resumed,
 * and homes that move. The invariants are checked after every event.
 *
 * usage: test-schedule [COUNT [FIRST_SEED [stop]]]
 * A failing seed prints its sessions as golden files; the exit status is then 1.
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

#define KEY_LIFETIME_MS 20000
#define GUARD_MS 400
#define SILENCE_MS 200
#define GRACE_MS 1000

struct frame
{
  struct Ash__Event *event;
  unsigned session; /* of the link when it was sent */
  int64_t sent_ms;
  struct frame *prev;
  struct frame *next;
};

/* A link between an entry and an agent, with a queue in each direction. */
struct link
{
  int e;
  int a;
  bool open;
  unsigned session;       /* number of times that the link was opened */
  unsigned agent_session; /* the session that the agent sends on; 0: none */
  unsigned entry_session;
  int64_t closed_ms;
  struct frame *to_agent;
  struct frame *to_entry;
  struct Ash__Event *last_submit; /* sent again later, on whichever session is open */
  int64_t last_submit_ms;
};

struct process
{
  struct session session;
  bool alive;
  bool paused;
  int64_t resumed_ms;
  int64_t stop_ms; /* start of its planned stop; 0: not stopping */
  uint64_t incarnation;
  char *transcript;
  size_t transcript_bytes;
};

/* A run of a request at an engine. */
struct run
{
  int agent;
  uint64_t incarnation;
  uint64_t number;
  struct ash_id id;
  unsigned serial;
  unsigned step;
  bool active;
  bool refused; /* the engine refuses the connection, so the request certainly did not run */
  bool no_repeat;
  uint32_t attempt; /* number of the caller's attempt, whether stated or not; 0: without a key */
};

/* A request submitted by a caller. */
struct call
{
  int entry;
  uint64_t entry_incarnation;
  int key; /* -1: without a key */
  uint32_t attempt;
  uint32_t stated_attempt;
  bool no_repeat;
  bool stream;
  int64_t sent_ms;
  int64_t deadline_ms;
  bool delivered;
  bool lost;  /* its entry was killed */
  bool ended; /* its final answer has arrived */
  int outcome;
  struct ash_id id;
  char text[512]; /* body of the answer */
  size_t text_bytes;
};

struct sim
{
  uint64_t seed;
  struct ash_random random;
  struct ash_time now;
  struct process entries[ENTRIES];
  struct process agents[AGENTS];
  struct link links[ENTRIES][AGENTS];
  struct run runs[RUNS_MAX];
  unsigned run_count;
  struct call calls[CALLS_MAX];
  unsigned call_count;
  uint32_t key_attempts[KEYS];
  uint64_t revision;
  unsigned endpoint_set; /* bit mask of the agents that the newest document declares */
  uint64_t last_incarnation;
  bool record;
  const char *violation;
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

/* ---- documents ---- */

static void
write_document (const struct sim *sim, unsigned endpoint_set, int64_t since_s, char *text)
{
  char *p = text;
  uint8_t hash[ASH_KEY_HASH_BYTES];

  (void) sim;
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
    if (endpoint_set & (1u << a))
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
unix_s (const struct sim *sim)
{
  return UNIX_BASE_S + sim->now.ms / 1000;
}

static char published[2048];

static void
offer (struct sim *sim, struct process *process)
{
  session_offer_config (&process->session, sim->now, sim->revision, published, strlen (published));
}

/* ---- links ---- */

static void
append (struct link *link, struct frame **queue, int64_t sent_ms, const struct Ash__Event *event)
{
  struct frame *frame = calloc (1, sizeof *frame);

  frame->session = link->session;
  frame->sent_ms = sent_ms;
  frame->event = session_copy_event (event);
  DL_APPEND (*queue, frame);
}

static void
append_message (struct link *link,
                struct frame **queue,
                const char *peer,
                Ash__Event__KindCase kind,
                const void *message)
{
  struct Ash__Event event = ash_event_wrap (peer, kind, message);

  append (link, queue, INT64_MAX, &event);
}

static void
drop_frame (struct frame **queue, struct frame *frame)
{
  DL_DELETE (*queue, frame);
  ash__event__free_unpacked (frame->event, NULL);
  free (frame);
}

/* Drops all frames of the queue from a random one on, then queues LINK_DOWN. */
static void
break_queue (struct sim *sim, struct link *link, struct frame **queue, const char *peer)
{
  struct Ash__LinkDown down = ASH__LINK_DOWN__INIT;
  struct frame *frame;
  unsigned count = 0;
  unsigned keep;

  DL_COUNT (*queue, frame, count);
  keep = random_below (sim, count + 1);
  while (count-- > keep)
    drop_frame (queue, (*queue)->prev);
  append_message (link, queue, peer, ASH__EVENT__KIND_LINK_DOWN, &down);
}

static void
close_link (struct sim *sim, int e, int a)
{
  struct link *link = &sim->links[e][a];

  if (!link->open)
    return;
  link->open = false;
  link->closed_ms = sim->now.ms;
  break_queue (sim, link, &link->to_agent, entry_names[e]);
  break_queue (sim, link, &link->to_entry, agent_names[a]);
}

static void
open_link (struct sim *sim, int e, int a)
{
  struct link *link = &sim->links[e][a];
  struct Ash__LinkUp up = ASH__LINK_UP__INIT;

  if (link->open || !sim->entries[e].alive || !sim->agents[a].alive || sim->entries[e].paused ||
      sim->agents[a].paused)
    return;
  link->open = true;
  link->session++;
  up.role = ASH__ROLE__ENTRY;
  up.incarnation = sim->entries[e].incarnation;
  append_message (link, &link->to_agent, entry_names[e], ASH__EVENT__KIND_LINK_UP, &up);
  up.role = ASH__ROLE__ENDPOINT;
  up.incarnation = sim->agents[a].incarnation;
  append_message (link, &link->to_entry, agent_names[a], ASH__EVENT__KIND_LINK_UP, &up);
}

static void
clear_queue (struct frame **queue)
{
  while (*queue)
    drop_frame (queue, *queue);
}

/* @return whether this side of the link uses the session that is open now; it may not have noticed
 * yet that an earlier session was closed. */
static bool
is_current_link (const struct link *link, bool entry_side)
{
  return link->open && link->session == (entry_side ? link->entry_session : link->agent_session);
}

/* ---- output of the cores ---- */

static struct run *
find_run (struct sim *sim, int agent, uint64_t number)
{
  for (unsigned i = 0; i < sim->run_count; i++)
    if (sim->runs[i].agent == agent && sim->runs[i].number == number &&
        sim->runs[i].incarnation == sim->agents[agent].incarnation)
      return &sim->runs[i];
  return NULL;
}

static void
check_run (struct sim *sim, const struct run *run)
{
  unsigned runs = 0;

  for (unsigned i = 0; i < sim->run_count; i++)
    runs += !sim->runs[i].refused && ash_id_equal (sim->runs[i].id, run->id);
  if (run->no_repeat && runs > 1)
    fail (sim, "a request that may not be repeated ran twice");
  for (unsigned i = 0; i < sim->call_count; i++)
    {
      const struct call *call = &sim->calls[i];

      if (ash_id_equal (call->id, run->id) && call->ended &&
          call->outcome == ASH__OUTCOME__NOT_RUN && run->attempt <= call->attempt)
        fail (sim, "an attempt ran after it was told not run");
    }
}

static void
start_run (struct sim *sim, int agent, const struct Ash__EngineStart *start)
{
  struct run *run = &sim->runs[sim->run_count];

  if (sim->run_count == RUNS_MAX)
    {
      fail (sim, "more runs than the schedule can make");
      return;
    }
  if (!ash_time_before (sim->now, sim->agents[agent].session.agent.stop.answer_deadline))
    fail (sim, "a run begins after a planned stop's last answers");
  sim->run_count++;
  *run = (struct run){
    .agent = agent,
    .incarnation = sim->agents[agent].incarnation,
    .number = start->run,
    .id = { start->id_hi, start->id_lo },
    .serial = sim->run_count,
    .active = true,
    .refused = random_below (sim, 20) == 0,
    .no_repeat = start->no_repeat,
    .attempt = start->body.data[0],
  };
  if (!run->refused)
    check_run (sim, run);
}

static void
agent_emitted (void *data, struct session *session, const struct Ash__Event *event)
{
  struct sim *sim = data;
  int a = session == &sim->agents[1].session;
  struct Ash__Event copy = *event;
  struct run *run;

  if (event->kind_case == ASH__EVENT__KIND_ENGINE_START)
    {
      start_run (sim, a, event->engine_start);
      return;
    }
  if (event->kind_case == ASH__EVENT__KIND_ENGINE_CANCEL)
    {
      run = find_run (sim, a, event->engine_cancel->run);
      if (run)
        run->active = false;
      return;
    }
  copy.peer = ash_proto_text (agent_names[a]);
  for (int e = 0; e < ENTRIES; e++)
    if (strcmp (event->peer, entry_names[e]) == 0 && is_current_link (&sim->links[e][a], false))
      append (&sim->links[e][a], &sim->links[e][a].to_entry, sim->now.ms, &copy);
}

/* Fills in the piece of output that run @p serial of the request generates at that index. */
static void
format_piece (struct ash_id id, unsigned serial, unsigned index, char text[64])
{
  snprintf (text, 64, "%08llx/%u/%u;", (unsigned long long) (id.lo & 0xffffffff), serial, index);
}

static void
check_text (struct sim *sim, struct call *call, bool whole)
{
  char expected[PIECES * 64] = "";
  char piece[64];
  unsigned serial = 0;

  if (call->text_bytes == 0 && !whole)
    return;
  if (sscanf (call->text, "%*8[0-9a-f]/%u/", &serial) != 1)
    {
      fail (sim, "an answer that no engine generated");
      return;
    }
  for (unsigned i = 0; i < PIECES; i++)
    {
      format_piece (call->id, serial, i, piece);
      strcat (expected, piece);
    }
  if (whole && strcmp (expected, call->text) != 0)
    fail (sim, "a whole answer that is not what the engine generated");
  if (!whole && strncmp (expected, call->text, call->text_bytes) != 0)
    fail (sim, "bytes that are not of this answer");
}

static void
end_call (struct sim *sim, struct call *call, int outcome)
{
  unsigned runs = 0;
  bool covered_attempt_ran = false;

  if (call->ended)
    fail (sim, "two final answers to one call");
  call->ended = true;
  call->outcome = outcome;
  for (unsigned i = 0; i < sim->run_count; i++)
    {
      const struct run *run = &sim->runs[i];

      if (run->refused || !ash_id_equal (run->id, call->id))
        continue;
      runs++;
      covered_attempt_ran |= run->attempt <= call->attempt;
    }
  if (outcome == ASH__OUTCOME__RAN && runs == 0)
    fail (sim, "told that it ran, and it did not");
  if (outcome != ASH__OUTCOME__NOT_RUN)
    return;
  if (covered_attempt_ran)
    fail (sim, "told not run, but it ran");
}

static void
handle_reply (struct sim *sim, struct call *call, const struct Ash__Reply *reply)
{
  struct ash_id id = { reply->id_hi, reply->id_lo };

  if (call->key < 0)
    call->id = id;
  else if (reply->reason == ASH__REASON__REASON_NONE && !ash_id_equal (id, call->id))
    fail (sim, "another request's answer");
  if (!reply->final)
    return;
  if (reply->reason == ASH__REASON__REASON_NONE)
    {
      memcpy (call->text, reply->body.data, reply->body.len);
      call->text_bytes = reply->body.len;
      check_text (sim, call, true);
    }
  end_call (sim, call, (int) reply->outcome);
}

static void
remember_submit (struct sim *sim, struct link *link, const struct Ash__Event *event)
{
  ash__event__free_unpacked (link->last_submit, NULL);
  link->last_submit = session_copy_event (event);
  link->last_submit_ms = sim->now.ms;
}

static void
entry_emitted (void *data, struct session *session, const struct Ash__Event *event)
{
  struct sim *sim = data;
  int e = session == &sim->entries[1].session;
  struct Ash__Event copy = *event;
  struct call *call;

  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_REPLY:
      handle_reply (sim, &sim->calls[event->reply->call - 1], event->reply);
      return;
    case ASH__EVENT__KIND_REPLY_DATA:
      call = &sim->calls[event->reply_data->call - 1];
      memcpy (call->text + call->text_bytes, event->reply_data->bytes.data,
              event->reply_data->bytes.len);
      call->text_bytes += event->reply_data->bytes.len;
      check_text (sim, call, false);
      return;
    case ASH__EVENT__KIND_REPLY_END:
      call = &sim->calls[event->reply_end->call - 1];
      if (event->reply_end->whole)
        check_text (sim, call, true);
      end_call (sim, call, (int) event->reply_end->outcome);
      return;
    default:
      break;
    }
  copy.peer = ash_proto_text (entry_names[e]);
  for (int a = 0; a < AGENTS; a++)
    if (strcmp (event->peer, agent_names[a]) == 0 && is_current_link (&sim->links[e][a], true))
      {
        struct link *link = &sim->links[e][a];

        append (link, &link->to_agent, sim->now.ms, &copy);
        if (event->kind_case == ASH__EVENT__KIND_SUBMIT)
          remember_submit (sim, link, &copy);
      }
}

/* ---- processes ---- */

static void
start_process (struct sim *sim, struct process *process, const char *name, bool is_entry)
{
  struct session *session = &process->session;
  struct ash_settings *settings = &session->settings;

  session_settings (settings, name, is_entry);
  settings->key_life_ms = KEY_LIFETIME_MS;
  settings->id_life_ms = 500;
  settings->guard_ms = GUARD_MS;
  settings->link_silence_ms = SILENCE_MS;
  settings->orphan_ms = 150;
  settings->keyed_orphan_ms = 600;
  settings->resume_ms = 100;
  settings->retry_after_ms = 10;
  settings->address_keep_ms = 100;
  settings->grace_ms = GRACE_MS;
  process->incarnation = ++sim->last_incarnation * 1000 + 7;
  process->alive = true;
  process->paused = false;
  process->stop_ms = 0;
  session->core = is_entry ? SESSION_ENTRY : SESSION_AGENT;
  session->emitted = is_entry ? entry_emitted : agent_emitted;
  session->data = sim;
  session->transcript =
      sim->record ? open_memstream (&process->transcript, &process->transcript_bytes) : NULL;
  if (sim->record)
    fprintf (session->transcript, "core %s %s %llu\n", is_entry ? "entry" : "agent", name,
             (unsigned long long) process->incarnation);
  session_init (session, process->incarnation, sim->now);
  offer (sim, process);
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
kill_entry (struct sim *sim, int e)
{
  for (int a = 0; a < AGENTS; a++)
    {
      close_link (sim, e, a);
      clear_queue (&sim->links[e][a].to_entry);
      sim->links[e][a].entry_session = 0;
    }
  end_process (&sim->entries[e]);
  for (unsigned i = 0; i < sim->call_count; i++)
    if (sim->calls[i].entry == e && !sim->calls[i].ended)
      sim->calls[i].lost = true;
  start_process (sim, &sim->entries[e], entry_names[e], true);
}

static void
kill_agent (struct sim *sim, int a)
{
  for (int e = 0; e < ENTRIES; e++)
    {
      close_link (sim, e, a);
      clear_queue (&sim->links[e][a].to_agent);
      sim->links[e][a].agent_session = 0;
    }
  end_process (&sim->agents[a]);
  for (unsigned i = 0; i < sim->run_count; i++)
    if (sim->runs[i].agent == a)
      sim->runs[i].active = false;
  start_process (sim, &sim->agents[a], agent_names[a], false);
}

/* Starts a planned stop: the process finishes its work and accepts no more. */
static void
begin_stop (struct sim *sim, struct process *process)
{
  struct Ash__Stop stop = ASH__STOP__INIT;

  if (!process->alive || process->paused || process->stop_ms)
    return;
  process->stop_ms = sim->now.ms;
  session_deliver_message (&process->session, sim->now, "", ASH__EVENT__KIND_STOP, &stop);
}

/* @return whether a stopping process exits now. It may exit when it is idle, and must be idle when
 * its grace time is over. */
static bool
is_stopped (struct sim *sim, const struct process *process)
{
  const struct session *session = &process->session;
  bool idle = session->core == SESSION_ENTRY ? ash_entry_idle (&session->entry)
                                             : ash_agent_idle (&session->agent);

  if (!process->stop_ms || process->paused)
    return false;
  if (!idle && sim->now.ms - process->stop_ms >= GRACE_MS)
    fail (sim, "a planned stop that outlasts its grace");
  return idle && random_below (sim, 2);
}

static void
end_stopped_processes (struct sim *sim)
{
  for (int e = 0; e < ENTRIES; e++)
    if (is_stopped (sim, &sim->entries[e]))
      kill_entry (sim, e);
  for (int a = 0; a < AGENTS; a++)
    if (is_stopped (sim, &sim->agents[a]))
      kill_agent (sim, a);
}

/* Resumes a suspended process: it finds that all its links have been silent for too long, and
 * closes them. */
static void
resume_process (struct sim *sim, struct process *process, int index, bool is_entry)
{
  struct Ash__LinkDown down = ASH__LINK_DOWN__INIT;

  process->paused = false;
  process->resumed_ms = sim->now.ms;
  for (int other = 0; other < 2; other++)
    {
      int e = is_entry ? index : other;
      int a = is_entry ? other : index;
      struct link *link = &sim->links[e][a];

      close_link (sim, e, a);
      clear_queue (is_entry ? &link->to_entry : &link->to_agent);
      *(is_entry ? &link->entry_session : &link->agent_session) = 0;
      session_deliver_message (&process->session, sim->now,
                               is_entry ? agent_names[other] : entry_names[other],
                               ASH__EVENT__KIND_LINK_DOWN, &down);
    }
}

/* ---- callers ---- */

static void
submit_call (struct sim *sim)
{
  struct call *call = &sim->calls[sim->call_count];
  int kind = (int) random_below (sim, 4);

  if (sim->call_count == CALLS_MAX)
    return;
  sim->call_count++;
  *call = (struct call){
    .entry = (int) random_below (sim, ENTRIES),
    .key = kind < 2 ? (int) random_below (sim, KEYS) : -1,
    .no_repeat = kind < 3,
    .stream = random_below (sim, 2),
    .sent_ms = sim->now.ms,
    .deadline_ms = 200 + random_below (sim, 1500),
  };
  call->entry_incarnation = sim->entries[call->entry].incarnation;
  if (call->key >= 0)
    {
      char key[16];

      call->attempt = ++sim->key_attempts[call->key];
      call->stated_attempt = random_below (sim, 8) ? call->attempt : 0;
      snprintf (key, sizeof key, "k%d", call->key);
      call->id = ash_id_from_key ("a", "s", key);
    }
}

static void
deliver_call (struct sim *sim, unsigned index)
{
  struct call *call = &sim->calls[index];
  struct process *process = &sim->entries[call->entry];
  struct Ash__Call message = ASH__CALL__INIT;
  uint8_t hash[ASH_KEY_HASH_BYTES];
  /* The body is passed through to the engine. It contains the number of the attempt even if the
   * call does not state it. */
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
  message.caller_attempt = call->stated_attempt;
  message.deadline_ms = (uint32_t) call->deadline_ms;
  message.unix_s = unix_s (sim);
  message.may_be_old = process->resumed_ms && sim->now.ms - process->resumed_ms < 50;
  if (call->key >= 0)
    {
      snprintf (key, sizeof key, "k%d", call->key);
      message.idempotency_key = key;
    }
  session_deliver_message (&process->session, sim->now, "", ASH__EVENT__KIND_CALL, &message);
}

/* ---- steps ---- */

static void
deliver_frame (struct sim *sim, struct link *link, bool to_agent)
{
  struct frame **queue = to_agent ? &link->to_agent : &link->to_entry;
  unsigned *session = to_agent ? &link->agent_session : &link->entry_session;
  struct process *process = to_agent ? &sim->agents[link->a] : &sim->entries[link->e];
  struct frame *frame = *queue;
  bool doubled = random_below (sim, 12) == 0;
  Ash__Event__KindCase kind;

  if (!frame || !process->alive || process->paused)
    return;
  kind = frame->event->kind_case;
  if (kind == ASH__EVENT__KIND_LINK_UP)
    *session = frame->session;
  else if (kind == ASH__EVENT__KIND_LINK_DOWN)
    *session = 0;
  /* A frame that is older than the silence limit is not processed; the link is closed instead. */
  if (frame->sent_ms != INT64_MAX && sim->now.ms - frame->sent_ms > SILENCE_MS)
    {
      drop_frame (queue, frame);
      close_link (sim, link->e, link->a);
      return;
    }
  /* Sometimes a DATA frame is lost; the receiver detects the gap with the next one. */
  if (kind == ASH__EVENT__KIND_DATA && random_below (sim, 30) == 0)
    {
      drop_frame (queue, frame);
      return;
    }
  session_deliver (&process->session, sim->now, frame->event);
  if (doubled && kind != ASH__EVENT__KIND_LINK_UP && kind != ASH__EVENT__KIND_LINK_DOWN)
    session_deliver (&process->session, sim->now, frame->event);
  drop_frame (queue, frame);
}

/* Sends the last SUBMIT again, possibly to a later incarnation than the one it was addressed to. */
static void
repeat_submit (struct sim *sim, struct link *link)
{
  if (link->last_submit && link->open && sim->now.ms - link->last_submit_ms <= SILENCE_MS)
    append (link, &link->to_agent, link->last_submit_ms, link->last_submit);
}

static struct run *
pick_active (struct sim *sim)
{
  uint32_t start = random_below (sim, sim->run_count);

  for (unsigned i = 0; i < sim->run_count; i++)
    {
      struct run *run = &sim->runs[(start + i) % sim->run_count];

      if (run->active)
        return run;
    }
  return NULL;
}

static void
step_engine (struct sim *sim)
{
  struct run *run = pick_active (sim);
  struct session *session;
  struct Ash__EngineHead head = ASH__ENGINE_HEAD__INIT;
  struct Ash__EngineData data = ASH__ENGINE_DATA__INIT;
  struct Ash__EngineEnd end = ASH__ENGINE_END__INIT;
  char text[64];

  if (!run || sim->agents[run->agent].paused)
    return;
  session = &sim->agents[run->agent].session;
  head.run = data.run = end.run = run->number;
  if (run->refused || run->step > PIECES)
    {
      run->active = false;
      end.whole = !run->refused;
      end.not_started = run->refused;
      session_deliver_message (session, sim->now, "", ASH__EVENT__KIND_ENGINE_END, &end);
    }
  else if (run->step++ == 0)
    {
      head.status = 200;
      session_deliver_message (session, sim->now, "", ASH__EVENT__KIND_ENGINE_HEAD, &head);
    }
  else if (random_below (sim, 25) == 0)
    {
      run->active = false;
      session_deliver_message (session, sim->now, "", ASH__EVENT__KIND_ENGINE_END, &end);
    }
  else
    {
      format_piece (run->id, run->serial, run->step - 2, text);
      data.bytes.data = (uint8_t *) text;
      data.bytes.len = strlen (text);
      session_deliver_message (session, sim->now, "", ASH__EVENT__KIND_ENGINE_DATA, &data);
    }
}

static void
tick (struct sim *sim, struct process *process)
{
  struct Ash__Tick message = ASH__TICK__INIT;

  if (process->alive && !process->paused)
    session_deliver_message (&process->session, sim->now, "", ASH__EVENT__KIND_TICK, &message);
}

/* Drops or delivers the frames of closed links after the time has advanced: a frame can't arrive
 * later than the silence limit. All but the last frame of each queue are dropped; the last one,
 * LINK_DOWN, is delivered. */
static void
settle_late_frames (struct sim *sim)
{
  for (int e = 0; e < ENTRIES; e++)
    for (int a = 0; a < AGENTS; a++)
      {
        struct link *link = &sim->links[e][a];

        if (link->open || sim->now.ms - link->closed_ms <= SILENCE_MS)
          continue;
        while (link->to_agent && link->to_agent != link->to_agent->prev)
          drop_frame (&link->to_agent, link->to_agent);
        while (link->to_entry && link->to_entry != link->to_entry->prev)
          drop_frame (&link->to_entry, link->to_entry);
        deliver_frame (sim, link, true);
        deliver_frame (sim, link, false);
      }
}

/* Delivers all frames of open links, or closes the link. */
static void
deliver_in_time (struct sim *sim)
{
  for (int e = 0; e < ENTRIES; e++)
    for (int a = 0; a < AGENTS; a++)
      {
        struct link *link = &sim->links[e][a];

        if (!link->open)
          continue;
        if (random_below (sim, 16) == 0 || sim->entries[e].paused || sim->agents[a].paused)
          {
            close_link (sim, e, a);
            continue;
          }
        for (int i = 0; i < FRAMES_MAX && (link->to_agent || link->to_entry); i++)
          {
            deliver_frame (sim, link, true);
            deliver_frame (sim, link, false);
          }
      }
}

static void
advance (struct sim *sim)
{
  static const int64_t spans_ms[] = { 1, 5, 20, 60, 150, 400, 1200 };
  int64_t span_ms = spans_ms[random_below (sim, sizeof spans_ms / sizeof spans_ms[0])];

  for (unsigned i = 0; i < sim->call_count; i++)
    if (sim->now.ms + span_ms - sim->calls[i].sent_ms >= GUARD_MS)
      deliver_call (sim, i);
  if (span_ms >= SILENCE_MS)
    deliver_in_time (sim);
  sim->now.ms += span_ms;
  settle_late_frames (sim);
  for (int i = 0; i < ENTRIES; i++)
    tick (sim, &sim->entries[i]);
  for (int i = 0; i < AGENTS; i++)
    tick (sim, &sim->agents[i]);
  end_stopped_processes (sim);
}

static void
publish (struct sim *sim)
{
  unsigned endpoint_set = 1 + random_below (sim, 3);

  if (endpoint_set == sim->endpoint_set)
    return;
  sim->endpoint_set = endpoint_set;
  sim->revision++;
  write_document (sim, endpoint_set, unix_s (sim), published);
}

static void
step (struct sim *sim)
{
  int e = (int) random_below (sim, ENTRIES);
  int a = (int) random_below (sim, AGENTS);
  uint32_t choice = random_below (sim, 100);

  if (choice < 8)
    submit_call (sim);
  else if (choice < 22 && sim->call_count)
    deliver_call (sim, random_below (sim, sim->call_count));
  else if (choice < 40)
    deliver_frame (sim, &sim->links[e][a], true);
  else if (choice < 56)
    deliver_frame (sim, &sim->links[e][a], false);
  else if (choice < 73)
    step_engine (sim);
  else if (choice < 79)
    advance (sim);
  else if (choice < 88)
    open_link (sim, e, a);
  else if (choice < 89)
    close_link (sim, e, a);
  else if (choice < 90)
    {
      if (random_below (sim, 2))
        kill_agent (sim, a);
      else
        begin_stop (sim, &sim->agents[a]);
    }
  else if (choice < 91)
    {
      if (random_below (sim, 2))
        kill_entry (sim, e);
      else
        begin_stop (sim, &sim->entries[e]);
    }
  else if (choice < 92)
    sim->entries[e].paused = true;
  else if (choice < 93)
    sim->agents[a].paused = true;
  else if (choice < 96 && sim->entries[e].paused)
    resume_process (sim, &sim->entries[e], e, true);
  else if (choice < 98 && sim->agents[a].paused)
    resume_process (sim, &sim->agents[a], a, false);
  else if (choice < 99)
    {
      if (random_below (sim, 2))
        publish (sim);
      else
        repeat_submit (sim, &sim->links[e][a]);
    }
  else
    {
      offer (sim, &sim->entries[e]);
      offer (sim, &sim->agents[a]);
    }
}

/* Lets all work end, then checks that nothing is left over. */
static void
finish_schedule (struct sim *sim)
{
  for (int e = 0; e < ENTRIES; e++)
    if (sim->entries[e].paused)
      resume_process (sim, &sim->entries[e], e, true);
  for (int a = 0; a < AGENTS; a++)
    if (sim->agents[a].paused)
      resume_process (sim, &sim->agents[a], a, false);
  for (unsigned i = 0; i < sim->call_count; i++)
    deliver_call (sim, i);
  for (int i = 0; i < 10; i++)
    {
      sim->now.ms += 1000;
      settle_late_frames (sim);
      for (int e = 0; e < ENTRIES; e++)
        tick (sim, &sim->entries[e]);
      for (int a = 0; a < AGENTS; a++)
        tick (sim, &sim->agents[a]);
    }
  for (unsigned i = 0; i < sim->call_count; i++)
    if (!sim->calls[i].lost && !sim->calls[i].ended)
      fail (sim, "a call without a final answer");
  for (int e = 0; e < ENTRIES; e++)
    if (!ash_entry_idle (&sim->entries[e].session.entry))
      fail (sim, "an entry that holds on to a request");
  for (int a = 0; a < AGENTS; a++)
    if (!ash_agent_idle (&sim->agents[a].session.agent))
      fail (sim, "an agent that holds on to work");
}

static struct sim *
new_sim (uint64_t seed, bool record)
{
  struct sim *sim = calloc (1, sizeof *sim);

  sim->seed = seed;
  sim->record = record;
  sim->revision = 1;
  sim->endpoint_set = 3;
  sim->now.ms = 1000;
  ash_random_init (&sim->random, seed);
  write_document (sim, sim->endpoint_set, 1, published);
  for (int e = 0; e < ENTRIES; e++)
    start_process (sim, &sim->entries[e], entry_names[e], true);
  for (int a = 0; a < AGENTS; a++)
    start_process (sim, &sim->agents[a], agent_names[a], false);
  /* In two of three schedules the processes have been running for longer than the lifetime of keys,
   * so they know all earlier requests with a key. */
  if (seed % 3)
    sim->now.ms += 2 * KEY_LIFETIME_MS;
  for (int e = 0; e < ENTRIES; e++)
    for (int a = 0; a < AGENTS; a++)
      {
        sim->links[e][a].e = e;
        sim->links[e][a].a = a;
        open_link (sim, e, a);
        deliver_frame (sim, &sim->links[e][a], true);
        deliver_frame (sim, &sim->links[e][a], false);
      }
  return sim;
}

static void
free_sim (struct sim *sim)
{
  for (int e = 0; e < ENTRIES; e++)
    {
      end_process (&sim->entries[e]);
      for (int a = 0; a < AGENTS; a++)
        {
          clear_queue (&sim->links[e][a].to_agent);
          clear_queue (&sim->links[e][a].to_entry);
          ash__event__free_unpacked (sim->links[e][a].last_submit, NULL);
        }
    }
  for (int a = 0; a < AGENTS; a++)
    end_process (&sim->agents[a]);
  free (sim);
}

static void
count_calls (const struct sim *sim)
{
  totals[TOTAL_RUNS] += sim->run_count;
  for (unsigned i = 0; i < sim->call_count; i++)
    {
      const struct call *call = &sim->calls[i];

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
  struct sim *sim = new_sim (seed, record != 0);
  const char *violation;

  for (unsigned i = 0; i < STEPS && !sim->violation; i++)
    step (sim);
  if (!sim->violation)
    finish_schedule (sim);
  count_calls (sim);
  violation = sim->violation;
  free_sim (sim);
  return violation;
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
