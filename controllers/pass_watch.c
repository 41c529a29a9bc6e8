#include "controllers/pass_watch.h"

#include "controllers/pass_model.h"

/* Part of the newest pause: the mean follows within about a dozen pauses, a pass or two of
 * a few streams. */
#define NEW_PAUSE_WEIGHT 0.12

/* Pauses that it takes to know anything. */
#define PAUSES_MIN 12

/* Passes are too long above this, against what is explained. Prompts that are read add about
 * 10 in 100; a shift adds 40 and more. A false alarm has the price of a look at the counts,
 * which fewer streams share where there are fewer ranks: 1.3 for 16 of them, 1.22 for 64. */
#define SLOW_RATIO 1.2
#define SLOW_RATIO_RANKS 1.6

/* A pause beyond this is no pass: the stream stood still for another reason. */
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
  watch->pass_ms +=
      watch->seen ? NEW_PAUSE_WEIGHT * ((double) pause_ms - watch->pass_ms) : (double) pause_ms;
  watch->ratio += watch->seen ? NEW_PAUSE_WEIGHT * (ratio - watch->ratio) : ratio;
  watch->seen++;
  if (watch->ratio < watch->accepted)
    watch->accepted = watch->ratio;
}

void
ash_pass_watch_accept_ratio (struct ash_pass_watch *watch)
{
  watch->accepted = watch->ratio;
}

bool
ash_pass_watch_is_slow (const struct ash_pass_watch *watch, uint32_t ranks, double skew)
{
  double times = SLOW_RATIO + SLOW_RATIO_RANKS / (ranks ? ranks : 1);
  double explained = 1 + watch->expert_fraction * (skew - 1);

  if (explained < watch->accepted)
    explained = watch->accepted;
  return watch->seen > PAUSES_MIN && watch->ratio > times * explained;
}
