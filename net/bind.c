#include "net/bind.h"

#include "options/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 512

bool
ash_socket_address (const char *text, struct sockaddr_in *address)
{
  char ip[16];
  uint16_t port;

  if (!ash_address_parse (text, ip, &port))
    return false;
  *address = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons (port) };
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

int
ash_bind (const char *text)
{
  struct sockaddr_in address;
  int error;
  int fd;

  if (!ash_socket_address (text, &address))
    {
      errno = EINVAL;
      return -1;
    }
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 }, sizeof (int));
  if (bind (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  error = errno;
  close (fd);
  errno = error;
  return -1;
}

int
ash_listen (const char *text)
{
  int fd = ash_bind (text);
  int error;

  if (fd < 0 || listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  error = errno;
  close (fd);
  errno = error;
  return -1;
}
