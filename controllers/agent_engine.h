/**
 * @file
 * Handling of engine messages and timers for the requests of an agent. Part of the agent's core.
 */
#ifndef ASH_AGENT_ENGINE_H
#define ASH_AGENT_ENGINE_H

#include "controllers/agent.h"

/** Handles the start of an answer. */
void ash_agent_engine_head (struct ash_agent *agent,
                            struct ash_time now,
                            const struct Ash__EngineHead *head);

/** Handles a piece of an answer. */
void ash_agent_engine_data (struct ash_agent *agent,
                            struct ash_time now,
                            const struct Ash__EngineData *data);

/** Handles the end of a run. */
void ash_agent_engine_end (struct ash_agent *agent,
                           struct ash_time now,
                           const struct Ash__EngineEnd *end);

/** Runs the timers: deadlines, requests without watchers, detection of a stalled engine, expiry of
 * records. */
void ash_agent_tick (struct ash_agent *agent, struct ash_time now);

#endif
