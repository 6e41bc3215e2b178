#ifndef DAISYSTEP_ADDRESS_H
#define DAISYSTEP_ADDRESS_H

#include "daisystep/str.h"

#include <netinet/in.h>

int ds_address_parse (struct sockaddr_in *out, struct ds_str text);

#endif
