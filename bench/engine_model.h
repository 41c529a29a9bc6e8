/**
 * @file
 * Model of an inference engine with continuous batching, for the policy bench. The
 * duration of a step grows with the number of requests in the batch and with the
 * number of prompt tokens that the step reads. Each request whose prompt has been read
 * gets one token per step. Prompt prefixes are kept in an LRU cache. The model is not
 * calibrated against any engine: use the figures only to compare policies.
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

/** Maximum number of prompt tokens that one step reads. */
#define ENGINE_STEP_PROMPT_TOKENS 512

/** A request in the batch. */
struct engine_run
{
  uint64_t run; /**< 0: unused slot */
  uint32_t prompt_remaining;
  uint32_t tokens_left;
  uint32_t generated;
};

struct engine_model
{
  struct engine_run runs[ENGINE_BATCH];
  uint32_t active_runs;               /**< requests in the batch */
  uint32_t prefixes[ENGINE_PREFIXES]; /**< most recently used first; 0: none */
  int64_t stalled_until_us;
  bool stepping;   /**< a step is in progress */
  uint64_t tokens; /**< generated since the start */
  uint64_t hits;
  uint64_t misses;
};

/** Adds a request to the batch. @return false if the batch is full. */
bool engine_start (struct engine_model *engine,
                   uint64_t run,
                   uint32_t prefix,
                   uint32_t prefix_tokens,
                   uint32_t prompt_tokens,
                   uint32_t tokens);

/** Removes a request. @return number of tokens generated for it; 0 if @p run is not in the batch.
 */
uint32_t engine_cancel (struct engine_model *engine, uint64_t run);

/** Starts a step and counts its prompt tokens as read. @return duration of the step in us. */
int64_t engine_begin_step (struct engine_model *engine, int64_t now_us);

#endif
