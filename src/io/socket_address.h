#ifndef DAISYSTEP_IO_SOCKET_ADDRESS_H
#define DAISYSTEP_IO_SOCKET_ADDRESS_H

#include "daisystep/str.h"

#include <sys/socket.h>

/* Size of "[IPv6]:PORT" with its zero byte.  */
#define DS_SOCKET_ADDRESS_BYTES 64

struct ds_socket_address
{
  struct sockaddr_storage storage;
  socklen_t length;
};

int ds_socket_address_parse (struct ds_socket_address *out,
                             struct ds_str text);
void ds_socket_address_format (char out[DS_SOCKET_ADDRESS_BYTES],
                               const struct ds_socket_address *address);
uint16_t ds_socket_address_port (const struct ds_socket_address *address);
void ds_socket_address_clear_port (struct ds_socket_address *address);

#endif
