/**
 * @file
 * The bound of a planned stop. Whoever ends a daemon kills it after a time of its own; what is
 * still in hand then is cut without a word. So a daemon ends earlier, and whatever it can't see
 * through by then gets a final answer first.
 */
#ifndef ASH_PLANNED_STOP_H
#define ASH_PLANNED_STOP_H

#include "common/clock.h"
#include "options/settings.h"

/** Callers may hold an address for a moment longer than they were told. */
#define ASH_STOP_LINGER_MS 200

/** When what ends. Times that never come: no stop, or one without a bound. */
struct ash_planned_stop
{
  struct ash_time served_until; /**< callers that keep the address are served as ever until then */
  struct ash_time answer_deadline; /**< what has no answer then gets a final one */
};

/** No stop. */
#define ASH_PLANNED_STOP_NONE ((struct ash_planned_stop){ ASH_TIME_NEVER, ASH_TIME_NEVER })

/** A stop begins now; one that has begun already stays as it is. */
void ash_planned_stop_begin (struct ash_planned_stop *stop,
                             const struct ash_settings *settings,
                             struct ash_time now);

/** @return the earlier of a deadline and the stop's last answers. */
struct ash_time ash_planned_stop_cap (const struct ash_planned_stop *stop,
                                      struct ash_time deadline);

#endif
