/**
 * @file
 * Delay of a received frame relative to the fastest frame of its link.
 *
 * The silence timeout of a link does not bound this delay: if it grows slowly, each frame still
 * arrives soon after the previous one. Frames therefore carry the sender's clock. The smallest
 * difference between the receiver's and the sender's clock seen on the link is taken as the offset
 * between the two clocks.
 */
#ifndef ASH_FRAME_DELAY_H
#define ASH_FRAME_DELAY_H

#include "common/clock.h"

/** The two clocks may drift apart by 1 ms in this many ms: far more than quartz clocks do, but
 * little compared with the largest accepted delay of a frame. */
#define ASH_FRAME_DELAY_DRIFT_DIVISOR 1024

/** Delay estimate for one direction of a link. */
struct ash_frame_delay
{
  bool has_baseline;
  int64_t baseline_ms; /**< smallest receiver-minus-sender clock difference, plus allowed drift */
  struct ash_time drift_until; /**< time up to which baseline_ms includes drift */
  int64_t drift_remainder_ms;  /**< elapsed time too short to add a whole ms of drift */
};

void ash_frame_delay_init (struct ash_frame_delay *frame_delay);

/**
 * Updates the estimate with a received frame.
 * @param sent_ms the sender's clock in ms, modulo 2^32.
 * @return the frame's delay in ms beyond the smallest delay seen; 0 for the first frame.
 */
int64_t
ash_frame_delay_ms (struct ash_frame_delay *frame_delay, struct ash_time now, uint32_t sent_ms);

#endif
