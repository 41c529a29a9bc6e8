/**
 * @file
 * Stand-ins for what lies outside the system: the platform, model engines,
 * plain services, and a link that can be cut. Only tests, benches and the demo
 * use them. They are plain blocking code, a thread a connection.
 */
#ifndef ASH_STANDIN_H
#define ASH_STANDIN_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A request of any stand-in, body included. */
struct standin_request
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  char *body; /**< closed by a zero */
  size_t body_bytes;
};

typedef enum MHD_Result standin_handler (struct standin_request *request);

/** Serves HTTP at the port of 127.0.0.1 until SIGTERM or SIGINT. */
int standin_serve (uint16_t port, standin_handler *handle);

/** Answers with a text. */
enum MHD_Result standin_reply (struct standin_request *request,
                               unsigned status,
                               const char *type,
                               const char *text,
                               size_t length);

/** @return a query argument as a number, or @p fallback. */
int64_t standin_query_number (struct standin_request *request, const char *name, int64_t fallback);

/** @return milliseconds on a monotonic clock. */
int64_t standin_now_ms (void);

void standin_sleep_ms (int64_t wait_ms);

/** The kinds of stand-in; each returns an exit code. */
int standin_platform (int argc, char **argv);
int standin_engine (int argc, char **argv);
int standin_link (int argc, char **argv);
int standin_group (int argc, char **argv);

#endif
