/**
 * @file
 * Estimates the step that a group is running, from the steps that its ranks report and the duration
 * of its passes. Internal to map_switch and map_takeover.
 */
#ifndef ASH_MAP_STEPS_H
#define ASH_MAP_STEPS_H

#include "controllers/map_switch.h"

/** Records that @p step was running at the time @p at. */
void ash_map_record_step (struct ash_map_switch *sw, struct ash_time at, uint64_t step);

/** @return whether a new step was observed recently; an idle group runs no steps. */
bool ash_map_is_stepping (const struct ash_map_switch *sw, struct ash_time now);

/** @return a step that the group has almost certainly begun by now. */
uint64_t ash_map_current_step (const struct ash_map_switch *sw, struct ash_time now);

#endif
