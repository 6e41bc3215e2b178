#ifndef DS_CORE_RETRY_BUDGET_H
#define DS_CORE_RETRY_BUDGET_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

/* Limit of the fleet for retries, the arrivals at a service beyond the first
   of each request: in any WINDOW_MS at most RATIO x requests + SLACK.
   STARTED_MS is when the process of the host started; 0 if no other ran before
   it, or long ago.  */
struct ds_retry_limit
{
  double ratio;
  double slack;
  uint64_t window_ms;
  uint64_t started_ms;
};

struct ds_retry_budget;

int ds_retry_budget_new (struct ds_retry_budget **out, TALLOC_CTX *owner,
                         const struct ds_retry_limit *limit);
void ds_retry_budget_record_request (struct ds_retry_budget *budget,
                                     struct ds_str service, uint64_t now_ms);
bool ds_retry_budget_take (struct ds_retry_budget *budget,
                           struct ds_str service, size_t hosts,
                           uint64_t now_ms);

#endif
