#include "loop/address.h"

#include "base/settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>

gboolean
gg_address_resolve (const char *address, struct sockaddr_in *out, GError **error)
{
  char *host = NULL;
  uint16_t port = 0;
  *out = (struct sockaddr_in){ .sin_family = AF_INET };
  gboolean is_valid
      = gg_address_parse (address, &host, &port) && inet_pton (AF_INET, host, &out->sin_addr) == 1;
  out->sin_port = htons (port);
  g_free (host);
  if (!is_valid)
    g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL, "%s: expected IP:PORT", address);
  return is_valid;
}
