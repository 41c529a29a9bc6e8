#include "controllers/agent_engine.h"

#include "controllers/agent_admit.h"
#include "controllers/agent_run.h"
#include "controllers/agent_send.h"

#include <string.h>
#include <utlist.h>

#define US_PER_MS 1000

void
ash_agent_engine_head (struct ash_agent *agent,
                       struct ash_time now,
                       const struct Ash__EngineHead *head)
{
  struct ash_record *record = ash_ledger_find_run (&agent->ledger, head->run);
  struct ash_watcher *watcher;

  agent->progress = now;
  if (!record || record->answer.status)
    return;
  record->answer.status = head->status;
  record->answer.content_type = strdup (head->content_type);
  LL_FOREACH (record->watchers, watcher)
    ash_agent_send_head (agent, record, watcher->peer, watcher->attempt);
}

void
ash_agent_engine_data (struct ash_agent *agent,
                       struct ash_time now,
                       const struct Ash__EngineData *data)
{
  struct ash_record *record = ash_ledger_find_run (&agent->ledger, data->run);
  struct ash_watcher *watcher;
  uint64_t offset;

  agent->progress = now;
  if (!record)
    return;
  offset = record->answer.base + record->answer.length;
  if (!ash_answer_append (&record->answer, data->bytes.data, data->bytes.len,
                          agent->settings->answer_keep_bytes))
    {
      ash_agent_cancel_run (agent, now, record, ASH__REASON__ANSWER_TOO_LARGE);
      return;
    }
  LL_FOREACH (record->watchers, watcher)
    ash_agent_send_data (agent, record, watcher->peer, watcher->attempt, offset);
}

void
ash_agent_engine_end (struct ash_agent *agent,
                      struct ash_time now,
                      const struct Ash__EngineEnd *end)
{
  struct ash_record *record = ash_ledger_find_run (&agent->ledger, end->run);

  agent->progress = now;
  if (!record)
    return;
  if (end->not_started)
    ash_agent_refuse (agent, now, record, ASH__REASON__ENDPOINT_FAILED, record->outcome);
  else
    {
      ash_agent_add_run_time (agent, record->priority,
                              (uint32_t) ash_time_diff (record->started, now) * US_PER_MS);
      ash_agent_finish_run (agent, now, record, end->whole,
                            end->whole ? ASH__REASON__REASON_NONE : ASH__REASON__ENDPOINT_FAILED);
    }
  ash_agent_start_queued (agent, now);
}

/* ---- timers ---- */

static bool
is_orphan (const struct ash_agent *agent, struct ash_time now, const struct ash_record *record)
{
  uint32_t grace_ms = record->keyed ? agent->settings->keyed_orphan_ms : agent->settings->orphan_ms;

  return !ash_time_before (now, ash_time_add (record->orphan_since, grace_ms));
}

/* Refuses queued requests that have lost all watchers, or can't meet their deadline any more
 * because more urgent ones arrived later. The refusal is sent as soon as that is known, not at the
 * deadline. */
static void
check_queued (struct ash_agent *agent, struct ash_time now)
{
  struct ash_record *record;
  struct ash_record *next;
  uint32_t slots = ash_agent_slots (agent);
  int64_t work_us = 0;

  DL_FOREACH_SAFE (agent->ledger.queued, record, next)
    {
      int64_t wait_ms = ash_agent_wait_ms (agent, work_us, slots);
      int reason = ash_agent_give_up_reason (agent, now, record, wait_ms);

      if (is_orphan (agent, now, record))
        reason = ASH__REASON__CANCELLED;
      if (reason != ASH__REASON__REASON_NONE)
        ash_agent_refuse (agent, now, record, reason, record->outcome);
      else
        work_us += ash_agent_expected_run_us (agent, record);
    }
}

static void
check_running (struct ash_agent *agent, struct ash_time now)
{
  struct ash_record *record;
  struct ash_record *next;

  DL_FOREACH_SAFE (agent->ledger.running, record, next)
    {
      /* A keyed request may run past its deadline for the orphan grace period, since the caller may
       * still fetch the answer. */
      struct ash_time late = record->keyed
                                 ? ash_time_add (record->deadline, agent->settings->keyed_orphan_ms)
                                 : record->deadline;

      if (is_orphan (agent, now, record))
        ash_agent_cancel_run (agent, now, record, ASH__REASON__CANCELLED);
      else if (!ash_time_before (now, late))
        ash_agent_cancel_run (agent, now, record, ASH__REASON__DEADLINE);
      else if (!ash_time_before (now, agent->stop.answer_deadline))
        ash_agent_cancel_run (agent, now, record, ASH__REASON__STOPPED);
    }
}

/* A batching engine sends output to every request that it has begun to answer in each step. If none
 * of them gets any for many steps, the engine has stalled, and its group with it. A plain service
 * may be silent without having stalled. */
static bool
is_stalled (const struct ash_agent *agent, struct ash_time now)
{
  const struct ash_record *record;

  if (ash_time_diff (agent->progress, now) < agent->settings->stall_ms)
    return false;
  DL_FOREACH (agent->ledger.running, record)
    if (record->answer.status)
      return ash_agent_is_model (agent);
  return false;
}

/* Refuses queued requests, which certainly did not run, so that entries can send them to another
 * endpoint. Requests that only their home may run stay queued. */
static void
release_queued (struct ash_agent *agent, struct ash_time now)
{
  struct ash_record *record;
  struct ash_record *next;

  DL_FOREACH_SAFE (agent->ledger.queued, record, next)
    if (!record->keyed || !record->no_repeat)
      ash_agent_refuse (agent, now, record, ASH__REASON__STALLED, record->outcome);
}

static void
check_progress (struct ash_agent *agent, struct ash_time now)
{
  bool stalled = is_stalled (agent, now);

  if (stalled != agent->stalled)
    ash_log_event (&agent->log, stalled ? ASH_EV_STALLED : ASH_EV_GOES_ON, "running=%u queued=%u",
                   agent->ledger.running_count, agent->ledger.queued_count);
  agent->stalled = stalled;
  if (stalled)
    release_queued (agent, now);
}

void
ash_agent_tick (struct ash_agent *agent, struct ash_time now)
{
  check_progress (agent, now);
  check_queued (agent, now);
  check_running (agent, now);
  ash_ledger_expire (&agent->ledger, now, agent->settings->answers_keep_bytes);
  ash_agent_start_queued (agent, now);
}
