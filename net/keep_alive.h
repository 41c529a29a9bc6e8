/**
 * @file
 * Connections that fall silent while nothing is sent on them.
 */
#ifndef ASH_KEEP_ALIVE_H
#define ASH_KEEP_ALIVE_H

#include <stdint.h>

/**
 * Has the peer's kernel asked whether it is there when a TCP connection rests, so that one that
 * falls silent is noticed though this side has nothing to send.
 * @param silence_ms it ends as a reset after so long, at least one probe included.
 */
void ash_keep_alive (int fd, uint32_t silence_ms);

#endif
