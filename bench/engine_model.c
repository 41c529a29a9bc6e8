#include "bench/engine_model.h"

#include <string.h>

/* Moves a prefix to the front of the LRU cache. @return whether it was cached. */
static bool
use_prefix (struct engine_model *engine, uint32_t prefix)
{
  uint32_t position = 0;
  bool hit;

  while (position < ENGINE_PREFIXES - 1 && engine->prefixes[position] != prefix)
    position++;
  hit = engine->prefixes[position] == prefix;
  memmove (&engine->prefixes[1], &engine->prefixes[0], position * sizeof engine->prefixes[0]);
  engine->prefixes[0] = prefix;
  return hit;
}

bool
engine_start (struct engine_model *engine,
              uint64_t run,
              uint32_t prefix,
              uint32_t prefix_tokens,
              uint32_t prompt_tokens,
              uint32_t tokens)
{
  for (uint32_t i = 0; i < ENGINE_BATCH; i++)
    {
      if (engine->runs[i].run)
        continue;
      if (use_prefix (engine, prefix))
        engine->hits++;
      else
        {
          engine->misses++;
          prompt_tokens += prefix_tokens;
        }
      engine->runs[i] = (struct engine_run){ run, prompt_tokens, tokens, 0 };
      engine->active_runs++;
      return true;
    }
  return false;
}

uint32_t
engine_cancel (struct engine_model *engine, uint64_t run)
{
  for (uint32_t i = 0; i < ENGINE_BATCH; i++)
    if (run && engine->runs[i].run == run)
      {
        engine->runs[i].run = 0;
        engine->active_runs--;
        return engine->runs[i].generated;
      }
  return 0;
}

int64_t
engine_begin_step (struct engine_model *engine, int64_t now_us)
{
  int64_t took_us = ENGINE_STEP_US + (int64_t) engine->active_runs * ENGINE_STEP_REQUEST_US;
  uint32_t budget = ENGINE_STEP_PROMPT_TOKENS;

  for (uint32_t i = 0; i < ENGINE_BATCH && budget; i++)
    {
      struct engine_run *run = &engine->runs[i];
      uint32_t read = run->prompt_remaining < budget ? run->prompt_remaining : budget;

      if (!run->run)
        continue;
      run->prompt_remaining -= read;
      budget -= read;
      took_us += (int64_t) read * ENGINE_PROMPT_TOKEN_US;
    }
  if (engine->stalled_until_us > now_us)
    took_us += engine->stalled_until_us - now_us;
  return took_us;
}
