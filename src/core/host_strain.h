#ifndef DS_CORE_HOST_STRAIN_H
#define DS_CORE_HOST_STRAIN_H

#include <stdbool.h>
#include <stdint.h>

/* Whether this host is short of processor or link, judged by how late its
   timers fire and how long its connections to replicas take.  Start with all
   members 0.  */
struct ds_host_strain
{
  double connect_ms;      /* average time to connect */
  uint64_t strained_ms;   /* time of the last sign; 0 for none */
  uint32_t late_in_a_row; /* ticks */
};

void ds_host_strain_record_tick (struct ds_host_strain *strain,
                                 uint64_t late_ms, uint64_t now_ms);
void ds_host_strain_record_connect (struct ds_host_strain *strain,
                                    uint64_t took_ms, uint64_t now_ms);
bool ds_host_strain_is_strained (const struct ds_host_strain *strain,
                                 uint64_t now_ms);
uint32_t
ds_host_strain_connect_timeout_ms (const struct ds_host_strain *strain,
                                   uint64_t left_ms);

#endif
