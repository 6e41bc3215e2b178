#ifndef DS_CORE_RESERVATION_ORDER_H
#define DS_CORE_RESERVATION_ORDER_H

#include <stdbool.h>
#include <stdint.h>

uint64_t ds_reservation_rank (uint64_t queued_ms, uint32_t urgency,
                              uint64_t tokens);
bool ds_reservation_is_aged (uint64_t queued_ms, uint64_t now_ms);

#endif
