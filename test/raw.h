/**
 * @file
 * Bare TCP connections of loopback, for what a well-behaved client never does.
 */
#ifndef ASH_TEST_RAW_H
#define ASH_TEST_RAW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @return a connected socket, or -1. */
int raw_connect (uint16_t port);

/** Sends all, or as much as the other side takes before it closes. */
void raw_send (int fd, const void *bytes, size_t length);

/**
 * Reads all there is until the other side closes, and closes.
 * @return whether it closed, instead of keeping the connection open without a word.
 */
bool raw_read_until_closed (int fd, char *text, size_t room);

#endif
