/**
 * @file
 * Limits of sizes on connections that callers keep: those of the configuration in force count from
 * the next request on.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* The limits of the first configuration, and of one with smaller or larger ones. */
#define SMALL 2000
#define LARGE 20000

/* Sizes between these two. */
#define BETWEEN 9000

static void
publish_limits (int version, int max_bytes)
{
  char text[640];
  char line[32];

  snprintf (
      text, sizeof text,
      "{\"Version\":%d,\"Routes\":[{\"Name\":\"r\",\"Host\":\"shop.example\",\"PathPrefix\":\"/"
      "any/\",\"RouteKind\":\"safe\",\"TimeoutMs\":6000,\"Service\":\"stock\"}],"
      "\"Services\":[{\"Name\":\"stock\",\"MaxConns\":100}],\"Limits\":{\"MaxBodyBytes\":%d,"
      "\"MaxHeaderBytes\":%d,\"IdleTimeoutMs\":5000},"
      "\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\"key-1\"]}]}",
      version, max_bytes, max_bytes);
  testbed_publish_text (&testbed, text);
  snprintf (line, sizeof line, "version=%d", version);
  CU_ASSERT (testbed_wait_logged (&testbed, 0, line));
}

/* @return the status of a request with a body, or a head, of about so many bytes. */
static int
request (int fd, int body_bytes, int head_bytes)
{
  static char text[3 * LARGE];
  int length = snprintf (text, sizeof text,
                         "POST /any/x HTTP/1.1\r\n" HEAD "kept\r\nX-More: %0*d\r\n"
                         "Content-Length: %d\r\n\r\n",
                         head_bytes, 1, body_bytes);

  memset (text + length, 'x', (size_t) body_bytes);
  text[length + body_bytes] = '\0';
  testbed_send (fd, text);
  testbed_read (fd, &answer);
  return answer.status;
}

/* Guards against limits that are larger in the configuration in force, and refused all the same. */
static void
test_raised (void)
{
  int fd;

  start ();
  publish_limits (90, SMALL);
  fd = testbed_connect (&testbed, 0);
  CU_ASSERT_EQUAL (request (fd, 5, 1), 200);
  publish_limits (91, LARGE);
  CU_ASSERT_EQUAL (request (fd, BETWEEN, 1), 200);
  CU_ASSERT_EQUAL (request (fd, 5, BETWEEN), 200);
  close (fd);
  testbed_stop (&testbed);
}

static void
test_lowered (void)
{
  int fds[2];

  start ();
  publish_limits (90, LARGE);
  for (int i = 0; i < 2; i++)
    {
      fds[i] = testbed_connect (&testbed, 0);
      CU_ASSERT_EQUAL (request (fds[i], BETWEEN, BETWEEN), 200);
    }
  publish_limits (91, SMALL);
  CU_ASSERT_EQUAL (request (fds[0], BETWEEN, 1), 413);
  CU_ASSERT_EQUAL (request (fds[1], 5, BETWEEN), 431);
  close (fds[0]);
  close (fds[1]);
  testbed_stop (&testbed);
}

const struct fault_test router_kept_connection_tests[] = {
  { "kept connections: limits of sizes are raised", test_raised },
  { "kept connections: limits of sizes are lowered", test_lowered },
  { NULL, NULL },
};
