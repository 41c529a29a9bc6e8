#include "controllers/agent.h"

#include "controllers/agent_admit.h"
#include "controllers/agent_engine.h"
#include "controllers/agent_run.h"
#include "controllers/agent_send.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

void
ash_agent_init (struct ash_agent *agent,
                const struct ash_settings *settings,
                uint64_t incarnation,
                struct ash_time now,
                struct ash_sink sink)
{
  *agent = (struct ash_agent){
    .settings = settings,
    .sink = sink,
    .incarnation = incarnation,
    .started_at = now,
    .stop = ASH_PLANNED_STOP_NONE,
  };
  ash_random_init (&agent->random, incarnation);
  ash_config_init (&agent->config);
  ash_membership_init (&agent->membership);
  ash_ledger_init (&agent->ledger);
}

void
ash_agent_finish (struct ash_agent *agent)
{
  ash_ledger_finish (&agent->ledger);
  ash_membership_finish (&agent->membership);
  ash_config_finish (&agent->config);
}

bool
ash_agent_idle (const struct ash_agent *agent)
{
  return agent->ledger.queued_count == 0 && agent->ledger.running_count == 0;
}

void
ash_agent_heartbeat (const struct ash_agent *agent, struct Ash__Heartbeat *heartbeat)
{
  heartbeat->revision = ash_config_revision (&agent->config);
  heartbeat->leaving = agent->leaving;
  heartbeat->in_flight = agent->ledger.running_count;
  heartbeat->queued = agent->ledger.queued_count;
  heartbeat->stalled = agent->stalled;
  heartbeat->step_us = agent->all_runs.mean_us;
}

/* ---- Submit ---- */

/* Adds a record for the request. @return NULL if the ledger is full or memory is short. */
static struct ash_record *
add_record (struct ash_agent *agent, const struct ash_requester *requester)
{
  struct ash_record *record;

  /* Refusals must be recorded too, so the hard limit is twice that of accepted requests. */
  if (agent->ledger.count >= 2 * agent->settings->ledger_max)
    return NULL;
  record = ash_ledger_add (&agent->ledger, requester->id);
  if (!record)
    return NULL;
  record->keyed = requester->keyed;
  record->no_repeat = requester->no_repeat;
  return record;
}

/* Extends the refusal of the record to cover this requester's attempt. */
static void
extend_refusal (struct ash_record *record, const struct ash_requester *requester)
{
  if (record->refused_upto < ash_requester_covered_attempts (requester))
    record->refused_upto = ash_requester_covered_attempts (requester);
}

/* Whether the agent knows enough to send the outcome "not run" with a refusal for that reason. */
static bool
can_report_outcome (const struct ash_agent *agent,
                    struct ash_time now,
                    const struct ash_requester *requester,
                    int reason)
{
  /* An agent that is not the home can't know what the home has done with other attempts. */
  if (reason == ASH__REASON__NOT_HOME)
    return requester->caller_attempt == 1;
  return ash_agent_all_attempts_known (agent, now, requester);
}

static void
refuse_request (struct ash_agent *agent,
                struct ash_time now,
                const struct ash_requester *requester,
                struct ash_record *record,
                int reason)
{
  bool outcome_known = can_report_outcome (agent, now, requester, reason);

  if (!record)
    record = add_record (agent, requester);
  if (!record)
    {
      /* A refusal that can't be recorded must not be sent with the outcome "not run". */
      ash_log_event (&agent->log, ASH_EV_LEDGER_FULL, "count=%u", agent->ledger.count);
      ash_agent_send_refused (agent, requester, ASH__REASON__OVERLOAD, ASH__OUTCOME__UNKNOWN);
      return;
    }
  extend_refusal (record, requester);
  ash_record_watch (record, requester->peer, requester->attempt);
  ash_agent_refuse (agent, now, record, reason,
                    outcome_known ? ASH__OUTCOME__NOT_RUN : ASH__OUTCOME__UNKNOWN);
}

/* Sends a refusal that is in the ledger already, and extends it to this attempt. The recorded
 * outcome "not run" was valid for the first requester; this one may have had an attempt in the
 * previous incarnation. */
static void
repeat_refusal (struct ash_agent *agent,
                struct ash_time now,
                const struct ash_requester *requester,
                struct ash_record *record)
{
  int outcome = can_report_outcome (agent, now, requester, record->reason) ? record->outcome
                                                                           : ASH__OUTCOME__UNKNOWN;

  extend_refusal (record, requester);
  ash_agent_send_refused (agent, requester, ASH__REASON__REFUSED_BEFORE, outcome);
}

/* Sends the requester what is known of a request in the ledger, and adds it as a watcher. */
static void
attach (struct ash_agent *agent,
        struct ash_time now,
        struct ash_record *record,
        const struct ash_requester *requester,
        uint64_t offset)
{
  if (offset < record->answer.base || offset > record->answer.base + record->answer.length)
    {
      ash_agent_send_end (agent, record, requester->peer, requester->attempt, false,
                          ASH__REASON__ANSWER_GONE);
      return;
    }
  /* If the request is refused later from the queue, the outcome is sent to this requester too. */
  if (!ash_agent_all_attempts_known (agent, now, requester))
    record->outcome = ASH__OUTCOME__UNKNOWN;
  if (record->state != ASH_RECORD_FINISHED)
    ash_record_watch (record, requester->peer, requester->attempt);
  if (record->answer.status)
    ash_agent_send_head (agent, record, requester->peer, requester->attempt);
  ash_agent_send_data (agent, record, requester->peer, requester->attempt, offset);
  if (record->state == ASH_RECORD_FINISHED)
    ash_agent_send_end (agent, record, requester->peer, requester->attempt, record->whole,
                        record->reason);
}

static struct Ash__Submit *
copy_submit (const struct Ash__Submit *submit)
{
  size_t size = ash__submit__get_packed_size (submit);
  uint8_t *packed = malloc (size ? size : 1);
  struct Ash__Submit *copy;

  if (!packed)
    return NULL;
  ash__submit__pack (submit, packed);
  copy = ash__submit__unpack (NULL, size, packed);
  free (packed);
  return copy;
}

/* Refuses the least urgent request of a full queue in favour of a more urgent one. */
static void
evict_least_urgent (struct ash_agent *agent, struct ash_time now, const struct Ash__Submit *submit)
{
  struct ash_record *last = ash_agent_least_urgent (agent, submit);

  if (last && !ash_agent_has_slot (agent))
    ash_agent_refuse (agent, now, last, ASH__REASON__OVERLOAD, last->outcome);
}

static void
admit (struct ash_agent *agent,
       struct ash_time now,
       const struct ash_requester *requester,
       struct ash_record *record,
       const struct Ash__Submit *submit)
{
  int reason = ash_agent_admission (agent, now, requester, submit);

  if (reason != ASH__REASON__REASON_NONE)
    {
      refuse_request (agent, now, requester, record, reason);
      return;
    }
  if (agent->ledger.queued_count >= agent->settings->queue_max)
    evict_least_urgent (agent, now, submit);
  if (!record)
    record = add_record (agent, requester);
  if (record)
    record->submit = copy_submit (submit);
  if (!record || !record->submit)
    {
      refuse_request (agent, now, requester, record, ASH__REASON__OVERLOAD);
      return;
    }
  record->priority = submit->priority;
  record->arrived = now;
  record->deadline = ash_time_add (now, submit->budget_ms);
  /* The outcome to send if the request is refused from the queue. */
  record->outcome = ash_agent_all_attempts_known (agent, now, requester) ? ASH__OUTCOME__NOT_RUN
                                                                         : ASH__OUTCOME__UNKNOWN;
  record->refused_upto = ash_requester_covered_attempts (requester);
  ash_record_watch (record, requester->peer, requester->attempt);
  ash_ledger_enqueue (&agent->ledger, record);
  ash_agent_start_queued (agent, now);
}

static void
handle_submit (struct ash_agent *agent,
               struct ash_time now,
               const char *peer,
               const struct Ash__Submit *submit)
{
  struct ash_requester requester = {
    .peer = peer,
    .id = { submit->id_hi, submit->id_lo },
    .attempt = submit->attempt,
    .caller_attempt = submit->caller_attempt,
    .keyed = submit->keyed,
    .minted = submit->minted,
    .no_repeat = submit->no_repeat,
  };
  struct ash_record *record = ash_ledger_find (&agent->ledger, requester.id);

  if (submit->incarnation != agent->incarnation)
    {
      /* All copies of this message name the earlier incarnation, so the request can't run here
       * because of any of them, and nothing needs to be recorded. The earlier incarnation may have
       * run the request. */
      ash_agent_send_refused (agent, &requester, ASH__REASON__STALE_INCARNATION,
                              ASH__OUTCOME__UNKNOWN);
      return;
    }
  if (!record)
    {
      admit (agent, now, &requester, NULL, submit);
      return;
    }
  if (record->state != ASH_RECORD_REFUSED)
    {
      /* A duplicate of the same message: this attempt is a watcher already. */
      if (ash_record_watcher (record, peer, requester.attempt))
        return;
      extend_refusal (record, &requester);
      attach (agent, now, record, &requester, 0);
    }
  else if (record->keyed && !record->disowned && requester.caller_attempt > record->refused_upto)
    {
      ash_ledger_reopen (&agent->ledger, record);
      admit (agent, now, &requester, record, submit);
    }
  else
    repeat_refusal (agent, now, &requester, record);
}

/* Whether the ledger would still have a record of the request if it had arrived. An entry that was
 * suspended for long may try to resume a request that has finished and expired. */
static bool
is_within_lifetime (const struct ash_agent *agent, const struct Ash__Resume *resume)
{
  uint32_t lifetime_ms = resume->keyed ? agent->settings->key_life_ms : agent->settings->id_life_ms;

  return (uint64_t) resume->age_ms + agent->settings->link_silence_ms < lifetime_ms;
}

static void
handle_resume (struct ash_agent *agent,
               struct ash_time now,
               const char *peer,
               const struct Ash__Resume *resume)
{
  struct ash_requester requester = {
    .peer = peer,
    .id = { resume->id_hi, resume->id_lo },
    .attempt = resume->attempt,
    .caller_attempt = resume->caller_attempt,
    .keyed = resume->keyed,
    .minted = resume->minted,
    .no_repeat = resume->no_repeat,
  };
  struct ash_record *record = ash_ledger_find (&agent->ledger, requester.id);

  if (resume->incarnation != agent->incarnation)
    ash_agent_send_refused (agent, &requester, ASH__REASON__STALE_INCARNATION,
                            ASH__OUTCOME__UNKNOWN);
  else if (!record && !is_within_lifetime (agent, resume))
    ash_agent_send_refused (agent, &requester, ASH__REASON__ANSWER_GONE, ASH__OUTCOME__UNKNOWN);
  else if (!record)
    refuse_request (agent, now, &requester, NULL, ASH__REASON__NOT_RECEIVED);
  else if (record->state == ASH_RECORD_REFUSED)
    repeat_refusal (agent, now, &requester, record);
  else
    attach (agent, now, record, &requester, resume->offset);
}

/* ---- other messages ---- */

static bool
can_cancel_at_once (const struct ash_record *record)
{
  /* The caller of a keyed request may still fetch the answer through another entry. */
  return !record->keyed;
}

/* Handles the loss of a watcher: if it was the last one, the request is cancelled or becomes an
 * orphan. */
static void
handle_unwatched (struct ash_agent *agent,
                  struct ash_time now,
                  struct ash_record *record,
                  bool cancel)
{
  if (record->watchers)
    return;
  if (cancel && can_cancel_at_once (record))
    {
      if (record->state == ASH_RECORD_QUEUED)
        ash_agent_refuse (agent, now, record, ASH__REASON__CANCELLED, record->outcome);
      else
        ash_agent_cancel_run (agent, now, record, ASH__REASON__CANCELLED);
    }
  else
    record->orphan_since = now;
}

static void
handle_cancel (struct ash_agent *agent,
               struct ash_time now,
               const char *peer,
               const struct Ash__Cancel *cancel)
{
  struct ash_id id = { cancel->id_hi, cancel->id_lo };
  struct ash_record *record = ash_ledger_find (&agent->ledger, id);
  struct ash_watcher *watcher;

  if (cancel->incarnation != agent->incarnation || !record)
    return;
  /* A late cancel of an earlier attempt must not end a later one. */
  watcher = ash_record_watcher (record, peer, cancel->attempt);
  if (!watcher)
    return;
  ash_record_unwatch (record, watcher);
  handle_unwatched (agent, now, record, true);
  ash_agent_start_queued (agent, now);
}

static void
unwatch_box (struct ash_agent *agent,
             struct ash_time now,
             struct ash_record *list,
             const char *peer)
{
  struct ash_record *record;

  DL_FOREACH (list, record)
    if (ash_record_unwatch_box (record, peer))
      handle_unwatched (agent, now, record, false);
}

static void
handle_link_down (struct ash_agent *agent, struct ash_time now, const char *peer)
{
  ash_membership_link_down (&agent->membership, peer);
  unwatch_box (agent, now, agent->ledger.queued, peer);
  unwatch_box (agent, now, agent->ledger.running, peer);
}

static void
handle_disown (struct ash_agent *agent,
               struct ash_time now,
               const char *peer,
               const struct Ash__Disown *disown)
{
  struct ash_requester requester = { .peer = peer,
                                     .id = { disown->id_hi, disown->id_lo },
                                     .keyed = true };
  struct ash_record *record = ash_ledger_find (&agent->ledger, requester.id);
  struct Ash__Disowned disowned = ASH__DISOWNED__INIT;

  if (!record)
    {
      record = add_record (agent, &requester);
      if (record)
        ash_agent_refuse (agent, now, record, ASH__REASON__NOT_HOME, ASH__OUTCOME__UNKNOWN);
    }
  /* If the refusal could not be recorded, the request could still run here, so the other home must
   * not run it. */
  disowned.has_it = !record || record->state != ASH_RECORD_REFUSED;
  if (!disowned.has_it)
    {
      /* From now on the request may run at the other home, so its outcome is not known here. */
      record->disowned = true;
      record->outcome = ASH__OUTCOME__UNKNOWN;
    }
  disowned.id_hi = disown->id_hi;
  disowned.id_lo = disown->id_lo;
  disowned.incarnation = agent->incarnation;
  disowned.attempt = disown->attempt;
  disowned.unsure = ash_agent_age_ms (agent, now) < agent->settings->key_life_ms;
  disowned.guarded = ash_agent_guarded (agent, now);
  disowned.refused_upto = record ? record->refused_upto : 0;
  ash_emit (&agent->sink, peer, ASH__EVENT__KIND_DISOWNED, &disowned);
}

void
ash_agent_handle (struct ash_agent *agent, struct ash_time now, const struct Ash__Event *event)
{
  const char *peer = event->peer;

  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_SUBMIT:
      handle_submit (agent, now, peer, event->submit);
      break;
    case ASH__EVENT__KIND_RESUME:
      handle_resume (agent, now, peer, event->resume);
      break;
    case ASH__EVENT__KIND_CANCEL:
      handle_cancel (agent, now, peer, event->cancel);
      break;
    case ASH__EVENT__KIND_DISOWN:
      handle_disown (agent, now, peer, event->disown);
      break;
    case ASH__EVENT__KIND_HEARTBEAT:
      ash_membership_heartbeat (&agent->membership, peer, event->heartbeat);
      break;
    case ASH__EVENT__KIND_LINK_UP:
      ash_membership_link_up (&agent->membership, now, peer, (int) event->link_up->role,
                              event->link_up->incarnation, event->link_up->revision);
      break;
    case ASH__EVENT__KIND_LINK_DOWN:
      handle_link_down (agent, now, peer);
      break;
    case ASH__EVENT__KIND_ENGINE_HEAD:
      ash_agent_engine_head (agent, now, event->engine_head);
      break;
    case ASH__EVENT__KIND_ENGINE_DATA:
      ash_agent_engine_data (agent, now, event->engine_data);
      break;
    case ASH__EVENT__KIND_ENGINE_END:
      ash_agent_engine_end (agent, now, event->engine_end);
      break;
    case ASH__EVENT__KIND_TICK:
      ash_agent_tick (agent, now);
      break;
    case ASH__EVENT__KIND_STOP:
      ash_planned_stop_begin (&agent->stop, agent->settings, now);
      agent->leaving = true;
      break;
    case ASH__EVENT__KIND_DRAIN:
      agent->leaving = true;
      break;
    default:
      /* All other messages are handled by entries, or by the daemon itself. */
      break;
    }
}
