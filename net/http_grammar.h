/**
 * @file
 * The parts of HTTP/1.1's grammar (RFC 9110, RFC 9112) that libraries do not check, or not in all
 * builds: what a lenient parser accepts may be read differently by the next one. No I/O.
 */
#ifndef ASH_HTTP_GRAMMAR_H
#define ASH_HTTP_GRAMMAR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Range of the status codes (RFC 9110, 15). */
#define ASH_HTTP_STATUS_MIN 100
#define ASH_HTTP_STATUS_MAX 599

/** First status code that is not of an interim response. */
#define ASH_HTTP_STATUS_FINAL 200

/** @return whether the bytes are visible characters, blanks and tabs (RFC 9110, 5.5). */
bool ash_http_is_text (const char *bytes, size_t length);

/** @return whether a field can carry the text whole: it is not empty, consists of visible
 * characters, blanks and tabs, and has none of the latter two at its ends (RFC 9110, 5.5). */
bool ash_http_is_field_value (const char *text);

/** @return whether the bytes are a token, as the name of a field is (RFC 9110, 5.6.2). */
bool ash_http_is_token (const char *bytes, size_t length);

/**
 * @param line the line without its line end.
 * @return whether it is the status line of a response of HTTP/1.x whose status code is in range
 * (RFC 9112, 4).
 */
bool ash_http_is_status_line (const char *line, size_t length);

/**
 * @param line the line without its line end.
 * @return whether it is a field line, in a head or a trailer (RFC 9112, 5).
 */
bool ash_http_is_field_line (const char *line, size_t length);

/**
 * Reads the line before a chunk's data (RFC 9112, 7.1): its size, and extensions, which are checked
 * and ignored.
 * @param line the line without its line end.
 * @return false if the line is malformed, or the size is 2^60 or more.
 */
bool ash_http_chunk_size_read (const char *line, size_t length, uint64_t *size_bytes);

#endif
