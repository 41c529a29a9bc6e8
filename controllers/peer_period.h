/**
 * @file
 * Periods of the messages between routers. Within a hall, the periods are those of the settings. To
 * routers of other halls, a router sends a bounded number of messages per second in total, so the
 * period for each grows with their number.
 */
#ifndef ASH_PEER_PERIOD_H
#define ASH_PEER_PERIOD_H

#include <stdint.h>

/** @param remote_count number of routers in other halls. @return ms between two heartbeats to one
 * of them. */
uint32_t ash_peer_period_remote_heartbeat_ms (uint32_t heartbeat_ms, uint32_t remote_count);

/** @return ms between two load messages to a router of another hall. */
uint32_t ash_peer_period_remote_load_ms (uint32_t load_period_ms, uint32_t remote_count);

/**
 * The more routers there are in other halls, the later a router learns their load on an endpoint,
 * and all routers that know of the same free slot would send a request to it. Each router therefore
 * uses only a part of the endpoints of other halls.
 * @return number of parts; 1 if loads are sent to other halls as often as within a hall.
 */
uint32_t ash_peer_period_remote_parts (uint32_t load_period_ms, uint32_t remote_count);

/** @param period_ms heartbeat period announced by the peer; 0: not announced. @return ms for which
 * the link to the peer may be silent. */
uint32_t
ash_peer_period_silence_ms (uint32_t link_silence_ms, uint32_t heartbeat_ms, uint32_t period_ms);

#endif
