#include "controllers/pass_model.h"

/* Skew of a map just after the demand has shifted. On six engines with 8 to 32 ranks and 3 to 16
 * layers it was 2.3 to 3.7 when 50 to 80 % of the demand had changed. */
#define SHIFTED_SKEW 3.5

/* Skew of a map that is adapted to the demand; 1.2 to 1.4 on the same engines. */
#define USUAL_SKEW 1.3

/* Fraction of all streams that run at some time while the map is not adapted to the demand yet: the
 * demand shifts every 3 to 4 s, the map is adapted 0.5 to 1 s later, and a stream lasts 1 to 2 s.
 */
#define SHIFTED_STREAM_FRACTION 0.6

/* Fraction of a stream's value that is lost if one of its pauses is too long. */
#define LATE_STREAM_LOSS 0.5

#define BITS_PER_MB 8.0
#define MS_PER_S 1000.0

/* Milliseconds that a stream adds to a step: a fixed part and a part that grows with the skew. */
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
ash_pass_model_expert_fraction (const struct ash_engine_facts *engine, double streams)
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

/* Milliseconds that a rank takes to read a prompt of usual length. */
static double
prompt_ms (const struct ash_engine_facts *engine)
{
  return engine->read_tokens_s > 0 ? engine->usual_prompt_tokens * MS_PER_S / engine->read_tokens_s
                                   : 0;
}

/* Useful output of a rank with so many streams: streams, less the value lost to late ones, per
 * millisecond of a pass. */
static double
useful_rate (const struct ash_engine_facts *engine, uint32_t pause_target_ms, uint32_t streams)
{
  double usual_ms = ash_pass_model_ms (engine, streams, USUAL_SKEW) + prompt_ms (engine);
  double shifted_ms =
      ash_pass_model_ms (engine, streams, SHIFTED_SKEW) * (1 + ASH_PASS_COPY_SLOWDOWN) +
      prompt_ms (engine);
  double late_fraction = 0;

  if (usual_ms > pause_target_ms)
    late_fraction = 1;
  else if (shifted_ms > pause_target_ms)
    late_fraction = SHIFTED_STREAM_FRACTION;
  return streams * (1 - late_fraction * LATE_STREAM_LOSS) / usual_ms;
}

uint32_t
ash_pass_model_streams (const struct ash_engine_facts *engine,
                        uint32_t pause_target_ms,
                        uint32_t bound)
{
  uint32_t best = bound;
  double best_value;

  if (ash_pass_model_ms (engine, 1, USUAL_SKEW) <= 0)
    return bound;
  best_value = useful_rate (engine, pause_target_ms, bound);
  for (uint32_t streams = bound; streams-- > 1;)
    {
      double value = useful_rate (engine, pause_target_ms, streams);

      if (value <= best_value)
        continue;
      best = streams;
      best_value = value;
    }
  return best;
}
