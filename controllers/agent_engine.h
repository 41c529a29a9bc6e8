/**
 * @file
 * What the engine and time do to the requests of an agent. Part of the agent's core.
 */
#ifndef ASH_AGENT_ENGINE_H
#define ASH_AGENT_ENGINE_H

#include "controllers/agent.h"

/** An answer begins. */
void ash_agent_engine_head (struct ash_agent *agent,
                            struct ash_time now,
                            const struct Ash__EngineHead *head);

/** A piece of an answer. */
void ash_agent_engine_data (struct ash_agent *agent,
                            struct ash_time now,
                            const struct Ash__EngineData *data);

/** A run is over. */
void ash_agent_engine_end (struct ash_agent *agent,
                           struct ash_time now,
                           const struct Ash__EngineEnd *end);

/** Time goes on: deadlines, work that nobody waits for, an engine that stands still. */
void ash_agent_tick (struct ash_agent *agent, struct ash_time now);

#endif
