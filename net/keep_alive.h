/**
 * @file
 * TCP keep-alive: detects dead connections while nothing is sent on them.
 */
#ifndef ASH_KEEP_ALIVE_H
#define ASH_KEEP_ALIVE_H

#include <stdint.h>

/**
 * Enables TCP keep-alive probes on a connection, so that a dead peer is detected even while this
 * side has nothing to send.
 * @param silence_ms the connection ends with an error after this time without a response from the
 * peer's kernel. Rounded down to whole seconds for the probes; at least 2000, for one probe.
 */
void ash_keep_alive (int fd, uint32_t silence_ms);

#endif
