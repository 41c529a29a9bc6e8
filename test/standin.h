/**
 * @file
 * Stand-ins for external systems: the platform, model engines, plain services, and a network link
 * that can be cut. Only tests, benchmarks and the demo use them. They use blocking code, with one
 * thread per connection.
 */
#ifndef ASH_STANDIN_H
#define ASH_STANDIN_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** An HTTP request that a stand-in has received completely. */
struct standin_request
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  char *body; /**< terminated by a zero */
  size_t body_bytes;
};

typedef enum MHD_Result standin_handler (struct standin_request *request);

/**
 * Serves HTTP on a port of 127.0.0.1 until SIGTERM or SIGINT, then exits the process.
 *
 * POST /control/cut?path=TEXT makes it answer requests whose path contains the text with the bytes
 * of the body, and close the connection; with &reset=1 it resets it. An empty body ends this. GET
 * /control/cut returns how many requests were answered so.
 * @return EXIT_FAILURE if the port can't be opened
 */
int standin_serve (uint16_t port, standin_handler *handle);

/** Queues an answer with a copy of the text. */
enum MHD_Result standin_reply (struct standin_request *request,
                               unsigned status,
                               const char *type,
                               const char *text,
                               size_t length);

/** @return a query argument as a number, or @p fallback if the query has no such argument. */
int64_t standin_query_number (struct standin_request *request, const char *name, int64_t fallback);

/** @return milliseconds on a monotonic clock. */
int64_t standin_now_ms (void);

void standin_sleep_ms (int64_t wait_ms);

/** Runs a kind of stand-in; argv[0] is the name of the kind. @return an exit code. */
int standin_platform (int argc, char **argv);
int standin_engine (int argc, char **argv);
int standin_link (int argc, char **argv);
int standin_group (int argc, char **argv);

#endif
