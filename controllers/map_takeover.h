/**
 * @file
 * Taking over a change of a map that another router abandoned while it held a step: the state that
 * this router must know before it reverts the change, and the rank at which it can hold the step
 * itself.
 */
#ifndef ASH_MAP_TAKEOVER_H
#define ASH_MAP_TAKEOVER_H

#include "controllers/map_switch.h"

/**
 * Finds the version of another router's change. A version that is only prepared may be armed by
 * orders that are still under way. Of several prepared versions, the lowest is the one that may
 * have been armed.
 * @return the version that some rank may already be armed with, and that no rank may switch to any
 * more; 0: there is none.
 */
uint64_t ash_map_takeover_version (const struct ash_map_switch *sw);

/** @return whether the known state of all ranks is newer than @p since, the time when another
 * router's hold was first observed. */
bool ash_map_takeover_state_is_current (const struct ash_map_switch *sw, struct ash_time since);

/** @return a rank at which this router can hold @p step in addition to the present holds. */
uint32_t ash_map_takeover_rank (const struct ash_map_switch *sw, uint64_t step);

#endif
