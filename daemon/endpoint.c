/**
 * @file
 * The endpoint role: connects an agent's core to its peer links and to the engine of its box.
 */
#include "controllers/agent.h"
#include "daemon/daemon.h"
#include "daemon/group_agent.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* How long the process waits after its last request, so that an entry whose link just failed can
 * reconnect and request the rest of its answer. */
#define IDLE_LINGER_MS 300

struct endpoint;

/* A request that the engine is running. */
struct run
{
  struct endpoint *endpoint;
  uint64_t number; /* assigned by the agent's core */
  struct ash_fetch *fetch;
  struct run *prev;
  struct run *next;
};

struct endpoint
{
  struct ash_daemon daemon;
  struct ash_agent agent;
  struct ash_group_agent group;
  struct run *runs;
  struct ash_time idle_since;
};

static void
send_to_agent (struct endpoint *endpoint, Ash__Event__KindCase kind, const void *message)
{
  struct Ash__Event event = ash_event_wrap ("", kind, message);

  ash_agent_handle (&endpoint->agent, ash_clock_now (), &event);
}

/* ---- the engine ---- */

static void
on_head (void *data, uint32_t status, const char *content_type, uint64_t revision)
{
  struct run *run = data;
  struct Ash__EngineHead head = ASH__ENGINE_HEAD__INIT;

  (void) revision;
  head.run = run->number;
  head.status = status;
  head.content_type = ash_proto_text (content_type);
  send_to_agent (run->endpoint, ASH__EVENT__KIND_ENGINE_HEAD, &head);
}

static void
on_bytes (void *data, const uint8_t *bytes, size_t length)
{
  struct run *run = data;
  struct Ash__EngineData message = ASH__ENGINE_DATA__INIT;

  message.run = run->number;
  message.bytes.data = (uint8_t *) (uintptr_t) bytes;
  message.bytes.len = length;
  send_to_agent (run->endpoint, ASH__EVENT__KIND_ENGINE_DATA, &message);
}

static void
on_end (void *data, enum ash_fetch_result result)
{
  struct run *run = data;
  struct endpoint *endpoint = run->endpoint;
  struct Ash__EngineEnd end = ASH__ENGINE_END__INIT;

  end.run = run->number;
  end.whole = result == ASH_FETCH_COMPLETE;
  end.not_started = result == ASH_FETCH_NOT_SENT;
  DL_DELETE (endpoint->runs, run);
  free (run);
  send_to_agent (endpoint, ASH__EVENT__KIND_ENGINE_END, &end);
}

static void
start_run (struct endpoint *endpoint, const struct Ash__EngineStart *start)
{
  struct ash_id id = { start->id_hi, start->id_lo };
  char id_text[ASH_ID_TEXT_BYTES];
  char url[2 * ASH_OPTION_TEXT_BYTES + 2048];
  struct run *run = calloc (1, sizeof *run);
  struct ash_fetch_handler handler = { on_head, on_bytes, on_end, run };
  struct ash_fetch_request request = {
    .url = url,
    .method = start->method,
    .content_type = start->content_type,
    .request_id = id_text,
    .body = start->body.data,
    .body_bytes = start->body.len,
    .fresh_connection = start->no_repeat,
  };

  /* Out of memory: the core is not informed and ends the run at its deadline. */
  if (!run)
    return;
  run->endpoint = endpoint;
  run->number = start->run;
  ash_id_format (id, id_text);
  snprintf (url, sizeof url, "%s%s", endpoint->daemon.settings->engine_url, start->path);
  DL_APPEND (endpoint->runs, run);
  run->fetch = ash_http_client_start (&endpoint->daemon.http_client, &request, &handler);
}

static void
cancel_run (struct endpoint *endpoint, uint64_t number)
{
  struct run *run;

  DL_FOREACH (endpoint->runs, run)
    if (run->number == number)
      {
        if (run->fetch)
          ash_http_client_cancel (run->fetch);
        DL_DELETE (endpoint->runs, run);
        free (run);
        return;
      }
}

/* ---- callbacks of the core and the daemon ---- */

static void
on_emit (void *data, const struct Ash__Event *event)
{
  struct endpoint *endpoint = data;

  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_ENGINE_START:
      start_run (endpoint, event->engine_start);
      break;
    case ASH__EVENT__KIND_ENGINE_CANCEL:
      cancel_run (endpoint, event->engine_cancel->run);
      break;
    default:
      ash_daemon_send (&endpoint->daemon, event);
    }
}

static void
on_event (void *data, const struct Ash__Event *event)
{
  struct endpoint *endpoint = data;

  if (ash_group_agent_handle (&endpoint->group, event))
    return;
  ash_agent_handle (&endpoint->agent, ash_clock_now (), event);
  if (event->kind_case == ASH__EVENT__KIND_TICK)
    ash_group_agent_tick (&endpoint->group);
}

static void
on_configured (void *data)
{
  struct endpoint *endpoint = data;

  ash_group_agent_configured (&endpoint->group);
}

static void
on_heartbeat (void *data, struct Ash__Heartbeat *heartbeat)
{
  const struct endpoint *endpoint = data;

  ash_agent_heartbeat (&endpoint->agent, heartbeat);
}

static json_t *
explain_request (const struct endpoint *endpoint, struct ash_id id)
{
  static const char *const states[] = {
    [ASH_RECORD_NEW] = "new",         [ASH_RECORD_QUEUED] = "queued",
    [ASH_RECORD_RUNNING] = "running", [ASH_RECORD_FINISHED] = "finished",
    [ASH_RECORD_REFUSED] = "refused",
  };
  const struct ash_record *record = ash_ledger_find (&endpoint->agent.ledger, id);
  const char *reason;

  if (!record)
    return NULL;
  reason = protobuf_c_enum_descriptor_get_value (&ash__reason__descriptor, record->reason)->name;
  return json_pack ("{s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:I}", "role", "endpoint", "state",
                    states[record->state], "reason", reason, "whole", (int) record->whole,
                    "disowned", (int) record->disowned, "priority", (int) record->priority,
                    "wait_ms", (int) record->wait_ms, "arrived_ms_ago",
                    (json_int_t) ash_time_diff (record->arrived, ash_clock_now ()));
}

static json_t *
explain (void *data, const struct Ash__Query *query)
{
  const struct endpoint *endpoint = data;

  switch (query->kind)
    {
    case ASH__QUERY__KIND__GROUP:
      return ash_group_agent_explain (&endpoint->group, query->name);
    case ASH__QUERY__KIND__REQUEST:
      return explain_request (endpoint, (struct ash_id){ query->id_hi, query->id_lo });
    default:
      return NULL;
    }
}

static void
on_resumed (void *data)
{
  (void) data;
}

static bool
may_exit (void *data)
{
  struct endpoint *endpoint = data;
  struct ash_time now = ash_clock_now ();

  if (!ash_agent_idle (&endpoint->agent))
    {
      endpoint->idle_since = now;
      return false;
    }
  if (!endpoint->idle_since.ms)
    endpoint->idle_since = now;
  return ash_time_diff (endpoint->idle_since, now) >= IDLE_LINGER_MS;
}

bool
ash_run_endpoint (const struct ash_settings *settings)
{
  struct endpoint endpoint = { 0 };
  struct ash_daemon *daemon = &endpoint.daemon;
  bool ok = false;

  if (!ash_daemon_init (daemon, settings))
    return false;
  ash_agent_init (&endpoint.agent, settings, daemon->incarnation, ash_clock_now (),
                  (struct ash_sink){ on_emit, &endpoint });
  endpoint.agent.log = (struct ash_log){ &daemon->log_sink, "agent" };
  endpoint.agent.metrics = &daemon->metrics;
  ash_group_agent_init (&endpoint.group, daemon);
  daemon->config = &endpoint.agent.config;
  daemon->membership = &endpoint.agent.membership;
  daemon->role = (struct ash_role){
    .event = on_event,
    .configured = on_configured,
    .heartbeat = on_heartbeat,
    .resumed = on_resumed,
    .may_exit = may_exit,
    .explain = explain,
    .data = &endpoint,
  };
  ok = ash_daemon_run (daemon);
  while (endpoint.runs)
    cancel_run (&endpoint, endpoint.runs->number);
  ash_agent_finish (&endpoint.agent);
  ash_daemon_finish (daemon);
  ash_group_agent_finish (&endpoint.group);
  return ok;
}
