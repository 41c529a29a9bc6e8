#include "controllers/planned_stop.h"

/* Final answers are sent this long before the grace period ends, which is at least 1,000 ms. An
 * agent waits 300 ms for a disconnected entry to reconnect and fetch the end of its answer, and
 * checks its timers every 50 ms. */
#define MARGIN_MS 500

/* Added to the lifetime of an address: callers that connected within the lifetime may send their
 * request this much later. */
#define CONNECTED_MS 500

void
ash_planned_stop_begin (struct ash_planned_stop *stop,
                        const struct ash_settings *settings,
                        struct ash_time now)
{
  int64_t grace_ms = settings->grace_ms;

  if (!grace_ms || ash_time_before (stop->answer_deadline, ASH_TIME_NEVER))
    return;
  stop->answer_deadline = ash_time_add (now, grace_ms - MARGIN_MS);
  stop->served_until =
      ash_time_add (now, (int64_t) settings->address_keep_ms + ASH_STOP_LINGER_MS + CONNECTED_MS);
}

struct ash_time
ash_planned_stop_cap (const struct ash_planned_stop *stop, struct ash_time deadline)
{
  return ash_time_before (stop->answer_deadline, deadline) ? stop->answer_deadline : deadline;
}
