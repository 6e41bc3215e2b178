#include "io/socket_address.h"
#include "daisystep/error.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#define PORT_MAX 65535

/* Splits TEXT at its last colon and removes the brackets of an IPv6
   address.  */
static int
split (struct ds_str *host, uint64_t *port, struct ds_str text,
       bool *bracketed)
{
  const char *colon
      = text.length > 0 ? memrchr (text.data, ':', text.length) : NULL;

  if (colon == NULL)
    return DS_EINVAL;
  host->data = text.data;
  host->length = (size_t)(colon - text.data);
  *bracketed = host->length >= 2 && host->data[0] == '['
               && host->data[host->length - 1] == ']';
  if (*bracketed)
    {
      host->data++;
      host->length -= 2;
    }
  if (ds_str_to_u64 (
          port,
          (struct ds_str){
              .data = colon + 1,
              .length = text.length - (size_t)(colon + 1 - text.data),
          })
          != 0
      || *port > PORT_MAX)
    return DS_EINVAL;
  return 0;
}

/* Parses "IPv4:PORT" or "[IPv6]:PORT".  Returns DS_EINVAL for any other text,
   including host names, which are never resolved.  */
int
ds_socket_address_parse (struct ds_socket_address *out, struct ds_str text)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)&out->storage;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&out->storage;
  char host_text[INET6_ADDRSTRLEN];
  struct ds_str host;
  uint64_t port;
  bool bracketed;

  memset (out, 0, sizeof *out);
  if (split (&host, &port, text, &bracketed) != 0
      || host.length >= sizeof host_text)
    return DS_EINVAL;
  memcpy (host_text, host.data, host.length);
  host_text[host.length] = '\0';
  if (!bracketed && inet_pton (AF_INET, host_text, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons ((uint16_t)port);
      out->length = sizeof *v4;
      return 0;
    }
  if (bracketed && inet_pton (AF_INET6, host_text, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons ((uint16_t)port);
      out->length = sizeof *v6;
      return 0;
    }
  return DS_EINVAL;
}

/* Writes the format that ds_socket_address_parse reads.  */
void
ds_socket_address_format (char out[DS_SOCKET_ADDRESS_BYTES],
                          const struct ds_socket_address *address)
{
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)&address->storage;
  const struct sockaddr_in6 *v6
      = (const struct sockaddr_in6 *)&address->storage;
  char host[INET6_ADDRSTRLEN] = "";

  if (address->storage.ss_family == AF_INET6)
    {
      inet_ntop (AF_INET6, &v6->sin6_addr, host, sizeof host);
      (void)snprintf (out, DS_SOCKET_ADDRESS_BYTES, "[%s]:%u", host,
                      ntohs (v6->sin6_port));
      return;
    }
  inet_ntop (AF_INET, &v4->sin_addr, host, sizeof host);
  (void)snprintf (out, DS_SOCKET_ADDRESS_BYTES, "%s:%u", host,
                  ntohs (v4->sin_port));
}

/* Returns the port in host byte order.  */
uint16_t
ds_socket_address_port (const struct ds_socket_address *address)
{
  return ntohs (
      address->storage.ss_family == AF_INET6
          ? ((const struct sockaddr_in6 *)&address->storage)->sin6_port
          : ((const struct sockaddr_in *)&address->storage)->sin_port);
}

/* Sets the port to 0, so that the address can be bound as the source of a
   connection.  */
void
ds_socket_address_clear_port (struct ds_socket_address *address)
{
  if (address->storage.ss_family == AF_INET6)
    ((struct sockaddr_in6 *)&address->storage)->sin6_port = 0;
  else
    ((struct sockaddr_in *)&address->storage)->sin_port = 0;
}
