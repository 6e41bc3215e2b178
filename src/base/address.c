#include "daisystep/address.h"
#include "daisystep/error.h"

#include <arpa/inet.h>
#include <string.h>

#define PORT_MAX 65535

/* Parses TEXT, "IP:PORT" with an IPv4 address and a port of 1..65535 without
   leading zeros, into OUT.  Other notations are rejected because addresses are
   compared as text.  Returns DS_EINVAL for any other text.  */
int
ds_address_parse (struct sockaddr_in *out, struct ds_str text)
{
  struct sockaddr_in parsed = { .sin_family = AF_INET };
  char ip[INET_ADDRSTRLEN];
  const char *colon = memchr (text.data, ':', text.length);
  struct ds_str port;
  uint64_t number;

  if (colon == NULL || (size_t)(colon - text.data) >= sizeof ip)
    return DS_EINVAL;
  memcpy (ip, text.data, (size_t)(colon - text.data));
  ip[colon - text.data] = '\0';
  port.data = colon + 1;
  port.length = text.length - (size_t)(port.data - text.data);
  if (inet_pton (AF_INET, ip, &parsed.sin_addr) != 1
      || ds_str_to_u64 (&number, port) != 0 || number > PORT_MAX
      || port.data[0] == '0')
    return DS_EINVAL;
  parsed.sin_port = htons ((uint16_t)number);
  *out = parsed;
  return 0;
}
