#include "test/raw.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define RECEIVE_TIMEOUT_S 8

int
raw_connect (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct timeval timeout = { .tv_sec = RECEIVE_TIMEOUT_S };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

void
raw_send (int fd, const void *bytes, size_t length)
{
  size_t sent = 0;

  while (sent < length)
    {
      ssize_t n = send (fd, (const char *) bytes + sent, length - sent, MSG_NOSIGNAL);

      if (n <= 0)
        return;
      sent += (size_t) n;
    }
}

bool
raw_read_until_closed (int fd, char *text, size_t room)
{
  size_t length = 0;
  ssize_t n;
  bool closed;

  while ((n = recv (fd, text + length, room - 1 - length, 0)) > 0 && length < room - 1)
    length += (size_t) n;
  closed = n == 0 || (n < 0 && errno != EAGAIN);
  text[length] = '\0';
  close (fd);
  return closed;
}
