/**
 * @file
 * A step that another router holds: what this one must know before it finishes the change, and
 * where it can hold the step itself.
 */
#ifndef ASH_MAP_TAKEOVER_H
#define ASH_MAP_TAKEOVER_H

#include "controllers/map_switch.h"

/**
 * What is prepared may have been armed by orders that are still under way. Of two versions the
 * lower one has got that far.
 * @return what all ranks are to take at a step that another router holds, or what none may; 0:
 * there is nothing.
 */
uint64_t ash_map_takeover_version (const struct ash_map_switch *sw);

/** @return whether what tells what another router had done is newer than its hold. */
bool ash_map_takeover_state_is_current (const struct ash_map_switch *sw, struct ash_time since);

/** @return a rank where this router can hold a step beside what is held. */
uint32_t ash_map_takeover_rank (const struct ash_map_switch *sw, uint64_t step);

#endif
