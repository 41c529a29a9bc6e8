/**
 * @file
 * A library to preload before the C library in a process under test. CLOCK_BOOTTIME, which counts
 * suspended time, runs ahead by the milliseconds in the file that ASH_TEST_CLOCK names, as after a
 * suspension of that length; all other clocks are unchanged.
 */
#include <fcntl.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

/* Reads the file at each call, since it changes while the process is stopped. */
static long long
ahead_ms (void)
{
  const char *path = getenv ("ASH_TEST_CLOCK");
  char text[32] = "";
  int fd = path ? open (path, O_RDONLY | O_CLOEXEC) : -1;
  ssize_t length = fd >= 0 ? read (fd, text, sizeof text - 1) : 0;

  if (fd >= 0)
    close (fd);
  return length > 0 ? strtoll (text, NULL, 10) : 0;
}

int
clock_gettime (clockid_t clock_id, struct timespec *tp)
{
  int result = (int) syscall (SYS_clock_gettime, clock_id, tp);

  if (result == 0 && clock_id == CLOCK_BOOTTIME)
    {
      long long ahead = ahead_ms ();

      tp->tv_sec += ahead / 1000;
      tp->tv_nsec += ahead % 1000 * 1000000;
      if (tp->tv_nsec >= 1000000000)
        {
          tp->tv_sec++;
          tp->tv_nsec -= 1000000000;
        }
    }
  return result;
}
