/**
 * @file
 * Raw TCP connections on loopback, to send what an HTTP or peer library would not send.
 */
#ifndef ASH_TEST_RAW_H
#define ASH_TEST_RAW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @return a socket that is connected to a loopback port, or -1. Reads time out after 8 s. */
int raw_connect (uint16_t port);

/** Sends all bytes, or fewer if the peer closes the connection. */
void raw_send (int fd, const void *bytes, size_t length);

/**
 * Reads until the peer closes the connection, sends nothing for 8 s or @p text is full; then closes
 * the socket. @p text is terminated by a zero.
 * @return whether the peer closed the connection
 */
bool raw_read_until_closed (int fd, char *text, size_t room);

#endif
