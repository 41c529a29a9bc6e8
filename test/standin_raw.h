/**
 * @file
 * Answers of stand-ins that an HTTP library would not write: bytes that a test gives, in a text in
 * which \r, \n and \xHH stand for bytes, \h for header fields of the stand-in, and \* marks the
 * start of what may be repeated without end.
 */
#ifndef ASH_STANDIN_RAW_H
#define ASH_STANDIN_RAW_H

#include "net/http_conn.h"

/** Sends the bytes. @param fields what \h stands for. */
void standin_raw_send (struct ash_http_conn *conn, const char *text, const char *fields);

/** Bytes that are repeated as fast as the caller reads them are queued up to this many ahead. */
#define STANDIN_RAW_QUEUE_BYTES (256 * 1024)

/** Queues what follows \* again, as often as it takes to have @p queue_bytes queued. */
void standin_raw_repeat (struct ash_http_conn *conn, const char *text, size_t queue_bytes);

#endif
