/**
 * @file
 * Splits the rates of endpoints among the routers: rate limits that endpoints set, and the rates
 * that cold endpoints accept.
 */
#ifndef ASH_FLEET_RATES_H
#define ASH_FLEET_RATES_H

#include "common/clock.h"

struct ash_direct_endpoint;
struct ash_fleet;

/**
 * Applies a report of an endpoint's remaining cold time, in its entry of the list.
 * @param cold_ms 0: the endpoint is not cold; below 0: the report is not valid.
 */
void ash_fleet_report_cold (struct ash_fleet *fleet,
                            struct ash_direct_endpoint *endpoint,
                            int64_t cold_ms);

/**
 * Handles the end of a hall's evacuation: its endpoints may be cold, which they report only with
 * their next entry. Until then they are treated as if they had just started.
 */
void ash_fleet_expect_cold (struct ash_fleet *fleet, const char *hall);

/** Runs the timers: splits the rates again if the set of routers has changed. */
void ash_fleet_split_rates (struct ash_fleet *fleet, struct ash_time now);

#endif
