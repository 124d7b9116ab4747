#include "adapters/rpc/rpc_address.h"

#include "base/settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

socklen_t
gg_rpc_address_parse (const char *text, struct sockaddr_storage *storage)
{
  char *host = NULL;
  uint16_t port;
  socklen_t length = 0;
  if (!gg_address_parse (text, &host, &port))
    return 0;

  memset (storage, 0, sizeof *storage);
  struct sockaddr_in *in4 = (struct sockaddr_in *) storage;
  struct sockaddr_in6 *in6 = (struct sockaddr_in6 *) storage;
  if (inet_pton (AF_INET, host, &in4->sin_addr) == 1)
    {
      in4->sin_family = AF_INET;
      in4->sin_port = htons (port);
      length = sizeof *in4;
    }
  else if (inet_pton (AF_INET6, host, &in6->sin6_addr) == 1)
    {
      in6->sin6_family = AF_INET6;
      in6->sin6_port = htons (port);
      length = sizeof *in6;
    }
  g_free (host);
  return length;
}
