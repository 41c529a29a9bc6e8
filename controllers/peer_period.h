/**
 * @file
 * How often routers talk to each other. Those of one hall talk as often as the settings say. To
 * those of other halls a router sends a bounded number of messages a second, however many they are:
 * each hears from it the less often, the more there are.
 */
#ifndef ASH_PEER_PERIOD_H
#define ASH_PEER_PERIOD_H

#include <stdint.h>

/** @return ms between two heartbeats to a router of another hall. @param remote_count of these. */
uint32_t ash_peer_period_remote_heartbeat_ms (uint32_t heartbeat_ms, uint32_t remote_count);

/** @return ms between two messages of loads to a router of another hall. */
uint32_t ash_peer_period_remote_load_ms (uint32_t load_period_ms, uint32_t remote_count);

/**
 * What routers of other halls do at an endpoint is known the later, the more they are: all that
 * saw the same free place would send there meanwhile.
 * @return parts that the endpoints of other halls are dealt into, each router taking one: 1 where
 * loads are told as often as in the own hall.
 */
uint32_t ash_peer_period_remote_parts (uint32_t load_period_ms, uint32_t remote_count);

/** @return how long a link may be silent whose peer says that a heartbeat comes every
 * @p period_ms; 0: it does not say. */
uint32_t
ash_peer_period_silence_ms (uint32_t link_silence_ms, uint32_t heartbeat_ms, uint32_t period_ms);

#endif
