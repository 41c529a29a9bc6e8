#include "net/keep_alive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Idle time before the first keep-alive probe, and the interval of further probes. The kernel
 * supports whole seconds only. */
#define PROBE_S 1

void
ash_keep_alive (int fd, uint32_t silence_ms)
{
  int on = 1;
  int probe_s = PROBE_S;
  int probes =
      (int) (silence_ms / (PROBE_S * 1000)) - 1; /* one period passes before the first probe */
  int user_timeout_ms = (int) silence_ms;

  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s, sizeof probe_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof probe_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
}
