/**
 * @file
 * What an agent tells entries: refusals, and answers piece by piece. Part of the
 * agent's core.
 */
#ifndef ASH_AGENT_SEND_H
#define ASH_AGENT_SEND_H

#include "controllers/agent.h"

/** What Submit and Resume have in common: who asks for which request. */
struct ash_requester
{
  const char *peer;
  struct ash_id id;
  uint64_t attempt;
  uint32_t caller_attempt;
  bool keyed;
  bool minted;
  bool no_repeat;
};

/** Tells a refusal, with a time to come back that is spread. */
void ash_agent_send_refused (struct ash_agent *agent,
                             const struct ash_requester *requester,
                             int reason,
                             int outcome);

/** Tells the status of an answer, and that it begins. */
void ash_agent_send_head (struct ash_agent *agent,
                          const struct ash_record *record,
                          const char *peer,
                          uint64_t attempt);

/** Tells the kept bytes of an answer from that offset on. */
void ash_agent_send_data (struct ash_agent *agent,
                          const struct ash_record *record,
                          const char *peer,
                          uint64_t attempt,
                          uint64_t offset);

/** Tells that an answer has ended, whole or not. */
void ash_agent_send_end (struct ash_agent *agent,
                         const struct ash_record *record,
                         const char *peer,
                         uint64_t attempt,
                         bool whole,
                         int reason);

#endif
