/**
 * @file
 * Which step a group is at, by the words of its ranks and the time that its passes take. For the
 * files of a map's change only.
 */
#ifndef ASH_MAP_STEPS_H
#define ASH_MAP_STEPS_H

#include "controllers/map_switch.h"

/** A step was running then. */
void ash_map_record_step (struct ash_map_switch *sw, struct ash_time at, uint64_t step);

/** @return whether steps were seen lately: an idle group makes none, however long a pass took
 * before. */
bool ash_map_is_stepping (const struct ash_map_switch *sw, struct ash_time now);

/** @return the step that surely runs by now. */
uint64_t ash_map_current_step (const struct ash_map_switch *sw, struct ash_time now);

#endif
