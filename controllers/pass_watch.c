#include "controllers/pass_watch.h"

#include "controllers/pass_model.h"

/* Weight of the newest pause: the smoothed duration follows within about 12 pauses, which a few
 * streams have in one or two passes. */
#define NEW_PAUSE_WEIGHT 0.12

/* Number of pauses needed before passes can be reported as slow. */
#define PAUSES_MIN 12

/* Passes are slow if they take more than SLOW_RATIO + SLOW_RATIO_RANKS / ranks times the explained
 * duration: 1.3 times with 16 ranks, 1.22 times with 64. Prompts add about 10 % to a pass, a shift
 * at least 40 %. A false alarm costs a query for the experts' token counts, which is relatively
 * more expensive in a group with few ranks and streams. */
#define SLOW_RATIO 1.2
#define SLOW_RATIO_RANKS 1.6

/* Longer pauses are ignored: they are not the duration of a pass, the stream stalled for another
 * reason. */
#define PAUSE_MAX_MS 600

void
ash_pass_watch_reset (struct ash_pass_watch *watch)
{
  *watch = (struct ash_pass_watch){ 0 };
}

void
ash_pass_watch_add_pause (struct ash_pass_watch *watch,
                          const struct ash_engine_facts *engine,
                          double streams,
                          int64_t pause_ms)
{
  double even_ms = ash_pass_model_ms (engine, streams, 1);
  double ratio = even_ms > 0 ? (double) pause_ms / even_ms : 0;

  if (pause_ms < 1 || pause_ms > PAUSE_MAX_MS || even_ms <= 0)
    return;
  watch->expert_fraction = ash_pass_model_expert_fraction (engine, streams);
  watch->pass_ms += watch->pause_count ? NEW_PAUSE_WEIGHT * ((double) pause_ms - watch->pass_ms)
                                       : (double) pause_ms;
  watch->ratio += watch->pause_count ? NEW_PAUSE_WEIGHT * (ratio - watch->ratio) : ratio;
  watch->pause_count++;
  if (watch->ratio < watch->accepted_ratio)
    watch->accepted_ratio = watch->ratio;
}

void
ash_pass_watch_accept_ratio (struct ash_pass_watch *watch)
{
  watch->accepted_ratio = watch->ratio;
}

bool
ash_pass_watch_is_slow (const struct ash_pass_watch *watch, uint32_t ranks, double skew)
{
  double limit = SLOW_RATIO + SLOW_RATIO_RANKS / (ranks ? ranks : 1);
  double expected = 1 + watch->expert_fraction * (skew - 1);

  if (expected < watch->accepted_ratio)
    expected = watch->accepted_ratio;
  return watch->pause_count > PAUSES_MIN && watch->ratio > limit * expected;
}
