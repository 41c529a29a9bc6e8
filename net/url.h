/**
 * @file
 * Writer of the variable parts of a request target (RFC 3986). No I/O.
 */
#ifndef ASH_URL_H
#define ASH_URL_H

#include <stdbool.h>
#include <stddef.h>

/** Bytes that an escaped text takes at most, its terminating NUL included. */
#define ASH_URL_ESCAPED_BYTES(length) (3 * (length) + 1)

/**
 * Escapes a text as a segment of a path or a value of a query: each byte other than a letter, a
 * digit and `-._~` becomes `%XX`.
 * @param out receives a string; what it holds after a failure is not to be used.
 * @return false if the text does not fit.
 */
bool ash_url_escape (char *out, size_t out_bytes, const char *text);

#endif
