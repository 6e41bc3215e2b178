#ifndef DAISYSTEP_IO_DATAGRAM_H
#define DAISYSTEP_IO_DATAGRAM_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

void ds_datagram_enable_ages (int fd);
ssize_t ds_datagram_receive (int fd, void *bytes, size_t size,
                             uint64_t *age_ms);

#endif
