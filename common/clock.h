/**
 * @file
 * The time type of the project: milliseconds on a monotonic clock that keeps counting while the
 * machine is suspended.
 *
 * Only the daemon, tools and tests read the clock (ash_clock_now()); filters and controllers get
 * the time as an argument. After a process was paused, or its machine suspended, the clock has
 * jumped forward; this is how the process detects the pause. The timers of the event loop don't
 * count the time for which the machine was suspended, so code that waits with such a timer must
 * check its deadline again when the process resumes.
 */
#ifndef ASH_CLOCK_H
#define ASH_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

/** A point in monotonic time, in milliseconds. */
struct ash_time
{
  int64_t ms;
};

/** Later than every other time: "never". */
#define ASH_TIME_NEVER ((struct ash_time){ INT64_MAX })

/** Reads CLOCK_BOOTTIME, which includes the time for which the machine was suspended. */
struct ash_time ash_clock_now (void);

/** Microseconds on the same clock; for measurements only. */
int64_t ash_clock_now_us (void);

/** @return @p t plus @p ms milliseconds; saturates at ASH_TIME_NEVER. */
static inline struct ash_time
ash_time_add (struct ash_time t, int64_t ms)
{
  if (ms > 0 && t.ms > INT64_MAX - ms)
    return ASH_TIME_NEVER;
  return (struct ash_time){ t.ms + ms };
}

/** @return milliseconds from @p from to @p to; negative if @p to is earlier. */
static inline int64_t
ash_time_diff (struct ash_time from, struct ash_time to)
{
  return to.ms - from.ms;
}

/** @return what is left, at @p to, of an amount of 1 at @p from that halves each @p half_life_ms.
 */
double ash_time_decay (struct ash_time from, struct ash_time to, double half_life_ms);

/** @return whether @p a is earlier than @p b. */
static inline bool
ash_time_before (struct ash_time a, struct ash_time b)
{
  return a.ms < b.ms;
}

#endif
