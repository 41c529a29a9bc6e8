/**
 * @file
 * Messages from an agent to entries: refusals, and answers in pieces. Part of the agent's core.
 */
#ifndef ASH_AGENT_SEND_H
#define ASH_AGENT_SEND_H

#include "controllers/agent.h"

/** The common fields of Submit and Resume: the request and the entry that sent the message. */
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

/** Sends a refusal, with a randomized retry delay. */
void ash_agent_send_refused (struct ash_agent *agent,
                             const struct ash_requester *requester,
                             int reason,
                             int outcome);

/** Sends the start of an answer: status and content type. */
void ash_agent_send_head (struct ash_agent *agent,
                          const struct ash_record *record,
                          const char *peer,
                          uint64_t attempt);

/** Sends the kept bytes of an answer from @p offset on. */
void ash_agent_send_data (struct ash_agent *agent,
                          const struct ash_record *record,
                          const char *peer,
                          uint64_t attempt,
                          uint64_t offset);

/** Sends the end of an answer. @param whole whether the answer is complete. */
void ash_agent_send_end (struct ash_agent *agent,
                         const struct ash_record *record,
                         const char *peer,
                         uint64_t attempt,
                         bool whole,
                         int reason);

#endif
