/* Listening sockets. */
#include "libserver.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <apr_network_io.h>
#include <apr_portable.h>

#define LISTEN_BACKLOG 1024

/* The port that the kernel chose; APR keeps the one that was asked for. */
static int
port_of (int fd)
{
  struct sockaddr_in6 sa = { 0 };
  socklen_t len = sizeof sa;

  if (getsockname (fd, (struct sockaddr *)&sa, &len) != 0)
    return 0;
  /* The port stands at the same place for IPv4. */
  return ntohs (sa.sin6_port);
}

/* The settings' check has seen to the form; APR's parser refuses port 0. */
static char *
split_address (const char *address, apr_port_t *port)
{
  const char *colon = strrchr (address, ':');
  size_t n = (size_t)(colon - address);

  *port = (apr_port_t)atoi (colon + 1);
  if (address[0] == '[')
    return g_strndup (address + 1, n - 2);
  return g_strndup (address, n);
}

static int
listen_failed (const char *address)
{
  log_event (LOG_LEVEL_ERROR, "listen", "address=%s error=\"%s\"", address,
             strerror (errno));
  return -1;
}

int
server_listen (struct server *s, const char *address)
{
  apr_pool_t *pool = s->pool;
  apr_sockaddr_t *sa;
  apr_socket_t *sock;
  apr_port_t port = 0;
  g_autofree char *host = split_address (address, &port);
  apr_os_sock_t fd;

  if (apr_sockaddr_info_get (&sa, host, APR_UNSPEC, port, 0, pool)
          != APR_SUCCESS
      || apr_socket_create (&sock, sa->family, SOCK_STREAM, APR_PROTO_TCP,
                            pool)
             != APR_SUCCESS)
    return listen_failed (address);
  apr_socket_opt_set (sock, APR_SO_REUSEADDR, 1);
  apr_socket_opt_set (sock, APR_SO_NONBLOCK, 1);
  if (apr_socket_bind (sock, sa) != APR_SUCCESS
      || apr_socket_listen (sock, LISTEN_BACKLOG) != APR_SUCCESS)
    return listen_failed (address);
  apr_os_sock_get (&fd, sock);
  log_event (LOG_LEVEL_INFO, "listen", "address=%s:%d workers=%d", host,
             port_of (fd), s->nworkers);
  return fd;
}

char *
server_address (int fd, const char *address)
{
  apr_port_t port;
  g_autofree char *host = split_address (address, &port);

  return g_strdup_printf ("%s:%d", host, port_of (fd));
}
