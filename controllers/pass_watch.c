#include "controllers/pass_watch.h"

/* Part of the newest pause: the mean follows within about a dozen pauses, a pass or two of
 * a few streams. */
#define NEWEST_PART 0.12

/* Pauses that it takes to know anything. */
#define SEEN_LEAST 12

/* Passes are too long above this, against what the map explains: copying adds 15 in 100,
 * prompts that are read about 10. */
#define SLOWER_TIMES 1.3

/* A pause beyond this is no pass: the stream stood still for another reason. */
#define PAUSE_MOST_MS 600

void
ash_pass_watch_reset (struct ash_pass_watch *watch)
{
  *watch = (struct ash_pass_watch){ 0 };
}

void
ash_pass_watch_pause (struct ash_pass_watch *watch,
                      const struct ash_engine_facts *engine,
                      double streams,
                      int64_t pause_ms)
{
  double even_ms = engine->stride * (engine->step_ms + streams * engine->sequence_ms);
  double ratio = even_ms > 0 ? (double) pause_ms / even_ms : 0;

  if (pause_ms < 1 || pause_ms > PAUSE_MOST_MS || even_ms <= 0)
    return;
  watch->pass_ms +=
      watch->seen ? NEWEST_PART * ((double) pause_ms - watch->pass_ms) : (double) pause_ms;
  watch->ratio += watch->seen ? NEWEST_PART * (ratio - watch->ratio) : ratio;
  watch->seen++;
}

bool
ash_pass_watch_slower (const struct ash_pass_watch *watch,
                       const struct ash_engine_facts *engine,
                       double skew)
{
  /* The experts' part of the work takes as long as the most loaded rank's. */
  double explained = 1 - engine->expert_share + engine->expert_share * skew;

  return watch->seen > SEEN_LEAST && watch->ratio > SLOWER_TIMES * explained;
}
