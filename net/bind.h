/**
 * @file
 * Parses an `IP:PORT` address and binds a TCP socket to it.
 */
#ifndef ASH_BIND_H
#define ASH_BIND_H

#include <netinet/in.h>
#include <stdbool.h>

/** Parses `IP:PORT`. @return false if @p text is not an IPv4 address with a port. */
bool ash_socket_address (const char *text, struct sockaddr_in *address);

/**
 * Binds a non-blocking TCP socket without listening. Sets SO_REUSEADDR, so that connections in
 * TIME_WAIT do not prevent the bind, but not SO_REUSEPORT: no other process can share the address.
 * @param text as `IP:PORT`.
 * @return the socket, or -1 with errno set.
 */
int ash_bind (const char *text);

/** Binds as ash_bind() does, and listens. @return the socket, or -1 with errno set. */
int ash_listen (const char *text);

#endif
