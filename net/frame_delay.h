/**
 * @file
 * How late a frame is. That a link is not silent does not bound it: where the
 * delay grows slowly, each frame comes soon after the one before. So frames
 * carry the sender's clock, and the least difference to the receiver's that was
 * seen on the link stands for both clocks' distance.
 */
#ifndef ASH_FRAME_DELAY_H
#define ASH_FRAME_DELAY_H

#include "common/clock.h"

/** The clocks may drift from each other by one part in this; far more than
 * quartz clocks do, and still little against a frame's bound. */
#define ASH_FRAME_DELAY_DRIFT_DIVISOR 1024

/** One direction of a link. */
struct ash_frame_delay
{
  bool has_baseline;
  int64_t baseline_ms;         /**< least difference of the clocks, drift allowed */
  struct ash_time drift_until; /**< up to when drift is counted in baseline_ms */
  int64_t drift_remainder_ms;  /**< time not counted yet */
};

void ash_frame_delay_init (struct ash_frame_delay *frame_delay);

/**
 * @param sent_ms the sender's clock, modulo 2^32 milliseconds.
 * @return how much later than the least delay the frame came, in milliseconds.
 */
int64_t
ash_frame_delay_ms (struct ash_frame_delay *frame_delay, struct ash_time now, uint32_t sent_ms);

#endif
