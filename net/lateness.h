/**
 * @file
 * How late a frame is. That a link is not silent does not bound it: where the
 * delay grows slowly, each frame comes soon after the one before. So frames
 * carry the sender's clock, and the least difference to the receiver's that was
 * seen on the link stands for both clocks' distance.
 */
#ifndef ASH_LATENESS_H
#define ASH_LATENESS_H

#include "common/clock.h"

/** The clocks may drift from each other by one part in this; far more than
 * quartz clocks do, and still little against a frame's bound. */
#define ASH_LATENESS_DRIFT 1024

/** One direction of a link. */
struct ash_lateness
{
  bool known;
  int64_t least_ms;      /**< least difference of the clocks, drift allowed */
  struct ash_time since; /**< up to when drift is counted in least_ms */
  int64_t drift_rest_ms; /**< time not counted yet */
};

void ash_lateness_init (struct ash_lateness *lateness);

/**
 * @param sent_ms the sender's clock, modulo 2^32 milliseconds.
 * @return how much later than the least delay the frame came, in milliseconds.
 */
int64_t ash_lateness_of (struct ash_lateness *lateness, struct ash_time now, uint32_t sent_ms);

#endif
