/**
 * @file
 * Time limits of a graceful shutdown. The supervisor kills a daemon some time after asking it to
 * stop, which breaks requests in flight without an answer. A daemon therefore stops earlier, and
 * first sends a final answer to every request that it can't complete in time.
 */
#ifndef ASH_PLANNED_STOP_H
#define ASH_PLANNED_STOP_H

#include "common/clock.h"
#include "options/settings.h"

/** Callers may use an address this much longer than its advertised lifetime. */
#define ASH_STOP_LINGER_MS 200

/** Time limits of a shutdown. ASH_TIME_NEVER if there is no shutdown, or it has no time limit. */
struct ash_planned_stop
{
  struct ash_time served_until;    /**< callers that still use the address are served until then */
  struct ash_time answer_deadline; /**< requests in flight get a final answer at that time */
};

/** Initial value: no shutdown. */
#define ASH_PLANNED_STOP_NONE ((struct ash_planned_stop){ ASH_TIME_NEVER, ASH_TIME_NEVER })

/** Starts the shutdown. Has no effect if one with a time limit has begun already. */
void ash_planned_stop_begin (struct ash_planned_stop *stop,
                             const struct ash_settings *settings,
                             struct ash_time now);

/** @return the earlier of @p deadline and the shutdown's answer_deadline. */
struct ash_time ash_planned_stop_cap (const struct ash_planned_stop *stop,
                                      struct ash_time deadline);

#endif
