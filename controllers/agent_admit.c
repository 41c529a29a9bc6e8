#include "controllers/agent_admit.h"

#include <string.h>
#include <utlist.h>

#define US_PER_MS 1000

int64_t
ash_agent_age_ms (const struct ash_agent *agent, struct ash_time now)
{
  return ash_time_diff (agent->born, now);
}

/* Whether a caller's first attempt may have been sent before this life began:
 * it may be on its way to the entry for guard_ms, and from there for as long
 * as a link may be silent. */
bool
ash_agent_guarded (const struct ash_agent *agent, struct ash_time now)
{
  return ash_agent_age_ms (agent, now) <
         agent->settings->guard_ms + agent->settings->link_silence_ms;
}

/* Whether this life can know of every earlier attempt of the request. Requests
 * without a key have only the one that is asked about. */
bool
ash_agent_knows_all (const struct ash_agent *agent,
                     struct ash_time now,
                     const struct ash_asker *asker)
{
  if (!asker->keyed || asker->minted || asker->caller_attempt == 1)
    return true;
  return ash_agent_age_ms (agent, now) >= agent->settings->key_life_ms;
}

/* Up to which of the caller's attempts a refusal holds. Where the caller has
 * not said which one this is, any other may be an earlier one that is still
 * under way: then it holds for all, and the key is used up. */
uint32_t
ash_asker_covers (const struct ash_asker *asker)
{
  return asker->caller_attempt ? asker->caller_attempt : UINT32_MAX;
}

uint32_t
ash_agent_slots (const struct ash_agent *agent)
{
  const struct ash_endpoint *endpoint =
      agent->config.ready ? ash_document_endpoint (&agent->config.document, agent->settings->box)
                          : NULL;

  return endpoint ? endpoint->slots : agent->settings->slots;
}

/* How long a new request of that priority would wait, as far as can be told. */
static int64_t
expected_wait_ms (const struct ash_agent *agent, uint32_t priority)
{
  const struct ash_record *record;
  int64_t ahead = 1;

  if (agent->ledger.running_count < ash_agent_slots (agent))
    return 0;
  DL_FOREACH (agent->ledger.queued, record)
    if (record->priority <= priority)
      ahead++;
  return ahead * agent->service_us / US_PER_MS / ash_agent_slots (agent);
}

/* Why a request that the ledger does not hold can't be taken, or REASON_NONE. */
int
ash_agent_admission (const struct ash_agent *agent,
                     struct ash_time now,
                     const struct ash_asker *asker,
                     const struct Ash__Submit *submit)
{
  const struct ash_endpoint *home;

  if (agent->leaving)
    return ASH__REASON__LEAVING;
  if (asker->keyed && asker->no_repeat)
    {
      if (!ash_agent_knows_all (agent, now, asker))
        return ASH__REASON__NEW_LIFE;
      /* A later attempt may have run in the life before. */
      if (!asker->minted && ash_agent_guarded (agent, now))
        return ASH__REASON__NEW_LIFE;
      home = agent->config.ready
                 ? ash_document_home (&agent->config.document, submit->service, asker->id)
                 : NULL;
      if (home && !asker->minted && !submit->moved &&
          submit->revision <= agent->config.document.revision &&
          strcmp (home->name, agent->settings->box) != 0)
        return ASH__REASON__NOT_HOME;
    }
  if (agent->ledger.count >= agent->settings->ledger_max)
    return ASH__REASON__OVERLOAD;
  if (agent->ledger.queued_count >= agent->settings->queue_max &&
      agent->ledger.running_count >= ash_agent_slots (agent))
    return ASH__REASON__OVERLOAD;
  if (expected_wait_ms (agent, submit->priority) > submit->budget_ms)
    return ASH__REASON__OVERLOAD;
  return ASH__REASON__REASON_NONE;
}
