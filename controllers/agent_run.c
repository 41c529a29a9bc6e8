#include "controllers/agent_run.h"

#include "controllers/agent_admit.h"
#include "controllers/agent_send.h"

#include <inttypes.h>

static struct ash_time
expiry (const struct ash_agent *agent, struct ash_time now, const struct ash_record *record)
{
  return ash_time_add (now,
                       record->keyed ? agent->settings->key_life_ms : agent->settings->id_life_ms);
}

void
ash_agent_refuse (struct ash_agent *agent,
                  struct ash_time now,
                  struct ash_record *record,
                  int reason,
                  int outcome)
{
  struct ash_watcher *watcher;
  char id[ASH_ID_TEXT_BYTES];

  record->reason = reason;
  record->outcome = outcome;
  ash_ledger_end (&agent->ledger, record, ASH_RECORD_REFUSED, expiry (agent, now, record));
  ash_id_format (record->id, id);
  ash_log_event (&agent->log, ASH_EV_RUN_REFUSED, "id=%s reason=%d outcome=%d", id, reason,
                 outcome);
  while ((watcher = record->watchers))
    {
      struct ash_requester requester = { .peer = watcher->peer,
                                         .id = record->id,
                                         .attempt = watcher->attempt };

      ash_agent_send_refused (agent, &requester, reason, outcome);
      ash_record_unwatch (record, watcher);
    }
}

void
ash_agent_finish_run (
    struct ash_agent *agent, struct ash_time now, struct ash_record *record, bool whole, int reason)
{
  struct ash_watcher *watcher;

  char id[ASH_ID_TEXT_BYTES];

  record->whole = whole;
  record->reason = reason;
  ash_id_format (record->id, id);
  ash_log_event (&agent->log, ASH_EV_RUN_ENDED, "id=%s whole=%d bytes=%" PRIu64 " reason=%d", id,
                 whole, record->answer.base + record->answer.length, reason);
  ash_ledger_end (&agent->ledger, record, ASH_RECORD_FINISHED, expiry (agent, now, record));
  while ((watcher = record->watchers))
    {
      ash_agent_send_end (agent, record, watcher->peer, watcher->attempt, whole, reason);
      ash_record_unwatch (record, watcher);
    }
}

void
ash_agent_cancel_run (struct ash_agent *agent,
                      struct ash_time now,
                      struct ash_record *record,
                      int reason)
{
  struct Ash__EngineCancel cancel = ASH__ENGINE_CANCEL__INIT;
  char id[ASH_ID_TEXT_BYTES];

  cancel.run = record->run;
  ash_emit (&agent->sink, "", ASH__EVENT__KIND_ENGINE_CANCEL, &cancel);
  ash_id_format (record->id, id);
  ash_log_event (&agent->log, ASH_EV_RUN_CANCELLED, "id=%s reason=%d", id, reason);
  ash_agent_finish_run (agent, now, record, false, reason);
}

static void
start_run (struct ash_agent *agent, struct ash_time now, struct ash_record *record)
{
  const struct Ash__Submit *submit = record->submit;
  struct Ash__EngineStart start = ASH__ENGINE_START__INIT;
  char id[ASH_ID_TEXT_BYTES];

  record->run = ++agent->last_run;
  record->started = now;
  record->wait_ms = (uint32_t) ash_time_diff (record->arrived, now);
  start.run = record->run;
  start.id_hi = record->id.hi;
  start.id_lo = record->id.lo;
  start.method = submit->method;
  start.path = submit->path;
  start.content_type = submit->content_type;
  start.body = submit->body;
  start.no_repeat = submit->no_repeat;
  start.priority = submit->priority;
  ash_emit (&agent->sink, "", ASH__EVENT__KIND_ENGINE_START, &start);
  ash_ledger_start (&agent->ledger, record);
  ash_id_format (record->id, id);
  ash_log_event (&agent->log, ASH_EV_RUN_STARTED, "id=%s wait_ms=%u", id, record->wait_ms);
}

/* A queued request is given up if its deadline has passed, if it would end after its deadline, or
 * if it would end after the final answers of a planned stop. */
int
ash_agent_give_up_reason (const struct ash_agent *agent,
                          struct ash_time now,
                          const struct ash_record *record,
                          int64_t wait_ms)
{
  struct ash_time end = ash_time_add (now, wait_ms + ash_agent_run_ms (agent, record->priority));

  if (!ash_time_before (now, record->deadline))
    return ASH__REASON__DEADLINE;
  if (!ash_time_before (end, agent->stop.answer_deadline))
    return ASH__REASON__LEAVING;
  return ash_time_before (record->deadline, end) ? ASH__REASON__OVERLOAD : ASH__REASON__REASON_NONE;
}

void
ash_agent_start_queued (struct ash_agent *agent, struct ash_time now)
{
  while (agent->ledger.queued && ash_agent_has_slot (agent))
    {
      struct ash_record *record = agent->ledger.queued;
      int reason = ash_agent_give_up_reason (agent, now, record, 0);

      if (reason == ASH__REASON__REASON_NONE)
        start_run (agent, now, record);
      else
        ash_agent_refuse (agent, now, record, reason, record->outcome);
    }
}
