#include "controllers/pass_model.h"

/* Skew of a map that was made for another demand. Of six engines with 8 to 32 ranks and 3 to 16
 * layers, 2.3 to 3.7 where 50 to 80 in 100 of the demand had changed. */
#define SHIFTED_SKEW 3.5

#define BITS_PER_MB 8.0
#define MS_PER_S 1000.0

/* Milliseconds that a stream adds to a step: its own part, and its experts'. */
static double
stream_ms (const struct ash_engine_facts *engine, double skew)
{
  double context = engine->usual_prompt_tokens + engine->usual_answer_tokens / 2.0;
  double token_ms = engine->sequence_ms + engine->context_ms_1k * context / 1000;

  return token_ms * (1 - engine->expert_share + engine->expert_share * skew);
}

double
ash_pass_model_ms (const struct ash_engine_facts *engine, double streams, double skew)
{
  return engine->stride * (engine->step_ms + streams * stream_ms (engine, skew));
}

double
ash_pass_model_expert_part (const struct ash_engine_facts *engine, double streams)
{
  double even_ms = ash_pass_model_ms (engine, streams, 1);

  return even_ms > 0
             ? engine->expert_share * engine->stride * streams * stream_ms (engine, 1) / even_ms
             : 0;
}

double
ash_pass_model_copy_ms (const struct ash_engine_facts *engine)
{
  return engine->link_mbps > 0 ? engine->expert_mb * BITS_PER_MB * MS_PER_S / engine->link_mbps : 0;
}

uint32_t
ash_pass_model_streams (const struct ash_engine_facts *engine,
                        uint32_t pause_aim_ms,
                        uint32_t bound)
{
  double prompt_ms = engine->read_tokens_s > 0
                         ? engine->usual_prompt_tokens * MS_PER_S / engine->read_tokens_s
                         : 0;
  double most_ms = (pause_aim_ms - prompt_ms) / (1 + ASH_PASS_COPYING_PART);
  uint32_t streams = bound;

  while (streams > 1 && ash_pass_model_ms (engine, streams, SHIFTED_SKEW) > most_ms)
    streams--;
  return streams;
}
