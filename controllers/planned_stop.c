#include "controllers/planned_stop.h"

/* Last answers go out so long before the grace is over, which is 1,000 ms at least: an agent waits
 * 300 ms for an entry that was just cut off to come for the end of its answer, and looks at the
 * time each 50 ms. */
#define MARGIN_MS 500

/* After the time to keep an address: callers that had connected by then send their request. */
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
