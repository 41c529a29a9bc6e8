/**
 * @file
 * The one model of the policy bench: the queue of an engine that batches
 * continuously. A step takes longer the more requests are in the batch and the more
 * prompt it reads; each request in it gets a token a step. Prompts' prefixes are
 * cached, the least recently used goes. Not calibrated against any engine: figures
 * are for comparing policies.
 */
#ifndef ASH_BENCH_ENGINE_MODEL_H
#define ASH_BENCH_ENGINE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#define ENGINE_BATCH 32
#define ENGINE_PREFIXES 24

#define ENGINE_STEP_US 5000
#define ENGINE_STEP_REQUEST_US 100
#define ENGINE_PROMPT_TOKEN_US 20

/** Prompt that a step reads at most. */
#define ENGINE_STEP_PROMPT_TOKENS 512

/** A request in the batch. */
struct engine_run
{
  uint64_t run; /**< 0: a free place */
  uint32_t prompt_left;
  uint32_t tokens_left;
  uint32_t generated;
};

/** An engine. */
struct engine_model
{
  struct engine_run runs[ENGINE_BATCH];
  uint32_t active_runs;               /**< requests in the batch */
  uint32_t prefixes[ENGINE_PREFIXES]; /**< most recently used first; 0: none */
  int64_t stalled_until_us;
  bool stepping;   /**< a step is under way */
  uint64_t tokens; /**< generated in all */
  uint64_t hits;
  uint64_t misses;
};

/** Takes a request, if there is a place. */
bool engine_start (struct engine_model *engine,
                   uint64_t run,
                   uint32_t prefix,
                   uint32_t prefix_tokens,
                   uint32_t prompt_tokens,
                   uint32_t tokens);

/** Ends a request. @return tokens that were generated for it. */
uint32_t engine_cancel (struct engine_model *engine, uint64_t run);

/** @return how long the step takes that begins now; its prompt counts as read. */
int64_t engine_begin_step (struct engine_model *engine, int64_t now_us);

#endif
