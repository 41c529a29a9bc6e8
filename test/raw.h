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
int open_raw (uint16_t port);

/** Sends all, or as much as the other side takes before it closes. */
void send_raw (int fd, const void *bytes, size_t length);

/**
 * Reads all there is until the other side closes, and closes.
 * @return whether it closed, instead of keeping the connection open without a word.
 */
bool read_to_close (int fd, char *text, size_t room);

#endif
