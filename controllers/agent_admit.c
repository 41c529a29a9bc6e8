#include "controllers/agent_admit.h"

#include <string.h>
#include <utlist.h>

#define US_PER_MS 1000

/* A new run has a weight of 1/8 in the mean and of 1/4 in the deviation. Nearly all runs end within
 * the mean plus twice the deviation. */
#define MEAN_SHIFT 3
#define SPREAD_SHIFT 2
#define SPREADS 2

int64_t
ash_agent_age_ms (const struct ash_agent *agent, struct ash_time now)
{
  return ash_time_diff (agent->started_at, now);
}

/* Whether a caller's first attempt that arrives now may have been sent before this incarnation
 * started. An attempt may take guard_ms to reach the entry. From the entry to this agent it may
 * take as long as a link may be silent before it is closed. */
bool
ash_agent_guarded (const struct ash_agent *agent, struct ash_time now)
{
  return ash_agent_age_ms (agent, now) <
         agent->settings->guard_ms + agent->settings->link_silence_ms;
}

/* An earlier attempt with the same key may have been handled by a previous incarnation, until a
 * key's lifetime has passed since this one started. Requests without a key have only one attempt,
 * and a minted key is valid for one incarnation only. */
bool
ash_agent_all_attempts_known (const struct ash_agent *agent,
                              struct ash_time now,
                              const struct ash_requester *requester)
{
  if (!requester->keyed || requester->minted || requester->caller_attempt == 1)
    return true;
  return ash_agent_age_ms (agent, now) >= agent->settings->key_life_ms;
}

/* If the caller does not number its attempts, any other attempt may be an earlier one that is still
 * in flight. The refusal then covers all attempts, and the key can't be used again. */
uint32_t
ash_requester_covered_attempts (const struct ash_requester *requester)
{
  return requester->caller_attempt ? requester->caller_attempt : UINT32_MAX;
}

uint32_t
ash_agent_slots (const struct ash_agent *agent)
{
  const struct ash_endpoint *endpoint =
      agent->config.ready ? ash_document_endpoint (&agent->config.document, agent->settings->box)
                          : NULL;

  return endpoint ? endpoint->slots : agent->settings->slots;
}

static uint32_t
run_index (uint32_t priority)
{
  return priority < ASH_PRIORITIES ? priority : ASH_PRIORITIES - 1;
}

static const struct ash_run_time *
run_time (const struct ash_agent *agent, uint32_t priority)
{
  return &agent->runs[run_index (priority)];
}

bool
ash_agent_is_model (const struct ash_agent *agent)
{
  const struct ash_document *document = &agent->config.document;
  const struct ash_endpoint *endpoint =
      agent->config.ready ? ash_document_endpoint (document, agent->settings->box) : NULL;
  const struct ash_service *service =
      endpoint ? ash_document_service (document, endpoint->service) : NULL;

  return service && service->kind == ASH_SERVICE_MODEL;
}

bool
ash_agent_has_slot (const struct ash_agent *agent)
{
  return agent->ledger.running_count < ash_agent_slots (agent);
}

/* Smoothed like a round-trip time and its variation in RFC 6298. */
static void
smooth (struct ash_run_time *time, uint32_t took_us)
{
  int64_t deviation_us = (int64_t) took_us - time->mean_us;

  if (!time->mean_us)
    {
      *time = (struct ash_run_time){ took_us, took_us / 2 };
      return;
    }
  time->mean_us += (int32_t) (deviation_us / (1 << MEAN_SHIFT));
  deviation_us = deviation_us < 0 ? -deviation_us : deviation_us;
  time->spread_us += (int32_t) ((deviation_us - (int64_t) time->spread_us) / (1 << SPREAD_SHIFT));
}

void
ash_agent_add_run_time (struct ash_agent *agent, uint32_t priority, uint32_t took_us)
{
  smooth (&agent->runs[run_index (priority)], took_us);
  smooth (&agent->all_runs, took_us);
}

int64_t
ash_agent_run_ms (const struct ash_agent *agent, uint32_t priority)
{
  const struct ash_run_time *time = run_time (agent, priority);

  return ((int64_t) time->mean_us + SPREADS * (int64_t) time->spread_us) / US_PER_MS;
}

int64_t
ash_agent_expected_run_us (const struct ash_agent *agent, const struct ash_record *record)
{
  uint32_t mean_us = run_time (agent, record->priority)->mean_us;

  /* Before the first run of its priority has ended, the mean of all runs is used. */
  return mean_us ? mean_us : agent->all_runs.mean_us;
}

/* Adds the mean duration of a run, since the running requests must end first. The slots share the
 * work. */
int64_t
ash_agent_wait_ms (const struct ash_agent *agent, int64_t work_us, uint32_t slots)
{
  return (work_us + agent->all_runs.mean_us) / US_PER_MS / slots;
}

/* Estimated time in the queue of a new request. */
static int64_t
expected_wait_ms (const struct ash_agent *agent, const struct Ash__Submit *submit)
{
  const struct ash_record *record;
  int64_t work_us = 0;

  if (ash_agent_has_slot (agent))
    return 0;
  DL_FOREACH (agent->ledger.queued, record)
    if (record->priority <= submit->priority)
      work_us += ash_agent_expected_run_us (agent, record);
  return ash_agent_wait_ms (agent, work_us, ash_agent_slots (agent));
}

struct ash_record *
ash_agent_least_urgent (const struct ash_agent *agent, const struct Ash__Submit *submit)
{
  struct ash_record *last = agent->ledger.queued ? agent->ledger.queued->prev : NULL;

  return last && last->priority > submit->priority ? last : NULL;
}

int
ash_agent_admission (const struct ash_agent *agent,
                     struct ash_time now,
                     const struct ash_requester *requester,
                     const struct Ash__Submit *submit)
{
  const struct ash_endpoint *home;

  if (agent->leaving)
    return ASH__REASON__LEAVING;
  if (requester->keyed && requester->no_repeat)
    {
      if (!ash_agent_all_attempts_known (agent, now, requester))
        return ASH__REASON__NEW_LIFE;
      /* A later attempt may have overtaken this one and run in the previous incarnation. */
      if (!requester->minted && ash_agent_guarded (agent, now))
        return ASH__REASON__NEW_LIFE;
      home = agent->config.ready
                 ? ash_document_home (&agent->config.document, submit->service, requester->id)
                 : NULL;
      if (home && !requester->minted && !submit->moved &&
          submit->revision <= agent->config.document.revision &&
          strcmp (home->name, agent->settings->box) != 0)
        return ASH__REASON__NOT_HOME;
    }
  else if (agent->stalled)
    return ASH__REASON__STALLED;
  if (agent->ledger.count >= agent->settings->ledger_max)
    return ASH__REASON__OVERLOAD;
  if (agent->ledger.queued_count >= agent->settings->queue_max && !ash_agent_has_slot (agent) &&
      !ash_agent_least_urgent (agent, submit))
    return ASH__REASON__OVERLOAD;
  if (expected_wait_ms (agent, submit) + ash_agent_run_ms (agent, submit->priority) >
      submit->budget_ms)
    return ASH__REASON__OVERLOAD;
  return ASH__REASON__REASON_NONE;
}
