#include "bench/engine_model.h"

#include <string.h>

/* Puts a prefix first. @return whether it was cached. */
static bool
use_prefix (struct engine_model *engine, uint32_t prefix)
{
  uint32_t at = 0;
  bool hit;

  while (at < ENGINE_PREFIXES - 1 && engine->prefixes[at] != prefix)
    at++;
  hit = engine->prefixes[at] == prefix;
  memmove (&engine->prefixes[1], &engine->prefixes[0], at * sizeof engine->prefixes[0]);
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
  uint32_t room = ENGINE_STEP_PROMPT_TOKENS;

  for (uint32_t i = 0; i < ENGINE_BATCH && room; i++)
    {
      struct engine_run *run = &engine->runs[i];
      uint32_t read = run->prompt_left < room ? run->prompt_left : room;

      if (!run->run)
        continue;
      run->prompt_left -= read;
      room -= read;
      took_us += (int64_t) read * ENGINE_PROMPT_TOKEN_US;
    }
  if (engine->stalled_until_us > now_us)
    took_us += engine->stalled_until_us - now_us;
  return took_us;
}
