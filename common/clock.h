/**
 * @file
 * The one clock type of the project: milliseconds on a clock that never goes back and does not
 * stop with the machine.
 *
 * Only the daemon, tools and tests read a clock (ash_clock_now()); filters and
 * controllers are handed a time. A process that was paused, or whose machine was suspended, sees
 * the clock jump, which is how it learns that it was away. The event loop's timers don't count the
 * time for which a machine was suspended: whoever waits by one looks again when the process wakes.
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

/** A point in time that never comes. */
#define ASH_TIME_NEVER ((struct ash_time){ INT64_MAX })

/** Reads CLOCK_BOOTTIME, which counts the time for which the machine was suspended too. */
struct ash_time ash_clock_now (void);

/** Microseconds on the same clock; for measurements only. */
int64_t ash_clock_now_us (void);

/** @return @p t moved on by @p ms; saturates at ASH_TIME_NEVER. */
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

/** @return whether @p a lies before @p b. */
static inline bool
ash_time_before (struct ash_time a, struct ash_time b)
{
  return a.ms < b.ms;
}

#endif
