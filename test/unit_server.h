/**
 * @file
 * A server in the event loop of a unit test, which answers each request with bytes that the test
 * gives, and then keeps, closes or resets the connection.
 */
#ifndef ASH_TEST_UNIT_SERVER_H
#define ASH_TEST_UNIT_SERVER_H

#include "net/http_conn.h"
#include "test/answer_cases.h"

/** What the server does with a connection after an answer. */
enum unit_server_end
{
  UNIT_SERVER_KEEPS,
  UNIT_SERVER_CLOSES,
  UNIT_SERVER_RESETS,
};

struct unit_server
{
  struct ash_http_listener listener;
  char address[32];          /**< IP:PORT */
  struct answer_case answer; /**< bytes of the next answer */
  enum unit_server_end end;  /**< how it ends */
  char targets[1024];        /**< of the requests, a line each */
  uint32_t requests;         /**< received so far */
  uint32_t connections;      /**< on which requests were received */
};

/** Starts the server, which keeps connections. @return false if it can't listen. */
bool unit_server_start (struct unit_server *server, struct ev_loop *loop);

void unit_server_finish (struct unit_server *server);

/** Runs the loop until a callback breaks it, or for @p seconds. */
void unit_run_loop (struct ev_loop *loop, double seconds);

#endif
