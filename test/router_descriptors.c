/**
 * @file
 * A router that has no file descriptors left: it goes on running, answers each request, tells the
 * truth about what ran, and serves again once there are descriptors.
 */
#include "test/router_tests.h"

#include <CUnit/CUnit.h>
#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

/* Callers at once: connections_max of the testbed. */
#define CALLERS 10

/* More servers than a request remembers to have tried. */
#define MORE_SERVERS 20

static rlim_t
count_descriptors (pid_t pid)
{
  char path[64];
  DIR *folder;
  rlim_t count = 0;

  snprintf (path, sizeof path, "/proc/%d/fd", (int) pid);
  folder = opendir (path);
  if (!folder)
    abort ();
  for (const struct dirent *entry = readdir (folder); entry; entry = readdir (folder))
    count += entry->d_name[0] != '.';
  closedir (folder);
  return count;
}

/* @return a request whose servers answer after 300 ms. */
static const char *
request_text (char text[512], const char *path, int number)
{
  snprintf (text, 512,
            "POST %s HTTP/1.1\r\nHost: shop.example\r\nAshspindle-Attempt-Id: fd-%d\r\n"
            "Ashspindle-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\nX-Do: *=slow\r\n"
            "Content-Length: 5\r\n\r\nhello",
            path, number);
  return text;
}

/* All callers send a request while there are descriptors for @p sockets connections to servers.
 * @return how many are served. */
static int
serve_with (rlim_t sockets, const char *path, int first)
{
  struct rlimit before;
  struct rlimit lowered;
  pid_t pid = testbed.routers[0].pid;
  int fds[CALLERS];
  int served = 0;
  char text[512];
  char id[16];

  for (int i = 0; i < CALLERS; i++)
    fds[i] = testbed_connect (&testbed, 0);
  fleet_sleep_ms (200);
  CU_ASSERT_EQUAL (prlimit (pid, RLIMIT_NOFILE, NULL, &before), 0);
  lowered = (struct rlimit){ count_descriptors (pid) + sockets, before.rlim_max };
  CU_ASSERT_EQUAL (prlimit (pid, RLIMIT_NOFILE, &lowered, NULL), 0);
  for (int i = 0; i < CALLERS; i++)
    testbed_send (fds[i], request_text (text, path, first + i));
  for (int i = 0; i < CALLERS; i++)
    {
      int runs;

      testbed_read (fds[i], &answer);
      snprintf (id, sizeof id, "fd-%d", first + i);
      runs = testbed_count_runs (&testbed, id);
      served += answer.status == 200;
      CU_ASSERT (answer.status == 200 || (answer.status == 503 && !runs));
      CU_ASSERT (answer.status == 200 || answer_has ("Retry-After:"));
      CU_ASSERT (answer.complete);
      close (fds[i]);
    }
  CU_ASSERT_EQUAL (waitpid (pid, NULL, WNOHANG), 0);
  CU_ASSERT_EQUAL (prlimit (pid, RLIMIT_NOFILE, &before, NULL), 0);
  return served;
}

static void
list_more (int count, bool listed)
{
  list_dead_servers (count, listed);
  fleet_sleep_ms (count ? 700 : 0);
}

/* @param more servers besides those that run */
static void
check_descriptors (const char *path, int more)
{
  int number = 1;

  start ();
  for (rlim_t sockets = 0; sockets < 3; sockets++, number += CALLERS)
    {
      int served;

      list_more (more, true);
      served = serve_with (sockets, path, number);
      CU_ASSERT (served < CALLERS);
      list_more (more, false);
      /* As soon as there are descriptors again, all are served. */
      for (int i = 0; i < 4; i++)
        {
          testbed_call (&testbed, "fd-after", path, NULL, "", &answer);
          CU_ASSERT_EQUAL (answer.status, 200);
        }
      fleet_sleep_ms (500);
    }
  testbed_stop (&testbed);
}

static void
test_safe (void)
{
  check_descriptors ("/safe/x", 0);
  check_descriptors ("/safe/x", MORE_SERVERS);
}

static void
test_once (void)
{
  check_descriptors ("/once/x", 0);
  check_descriptors ("/once/x", MORE_SERVERS);
}

const struct fault_test router_descriptor_tests[] = {
  { "no descriptors left: requests that may be repeated", test_safe },
  { "no descriptors left: requests that may not be repeated", test_once },
  { NULL, NULL },
};
