/**
 * @file
 * A TCP socket at an address of the settings.
 */
#ifndef ASH_BIND_H
#define ASH_BIND_H

#include <netinet/in.h>
#include <stdbool.h>

/** Reads `IP:PORT`. @return false if it is none. */
bool ash_socket_address (const char *text, struct sockaddr_in *address);

/**
 * Binds a non-blocking socket, without listening. Connections that ended may
 * still be in TIME_WAIT there, but no other process can share the address.
 * @return the socket, or -1 with errno set.
 */
int ash_bind (const char *text);

#endif
