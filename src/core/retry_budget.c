#include "core/retry_budget.h"
#include "daisystep/error.h"

/* Parts of a window that are counted apart, so that old ones can be dropped.
 */
#define SLICES 10
/* Part of the slack that this host's share of the fleet may use; the rest
   covers hosts that have not yet heard how many they are.  */
#define SLACK_SHARE 0.8
/* Part of the ratio; requests are counted over a window that the bound may
   see shifted.  */
#define RATIO_SHARE 0.8

struct service
{
  struct ds_str name;
  uint64_t slice; /* number of the newest slice */
  uint32_t requests[SLICES];
  uint32_t retries[SLICES];
};

struct ds_retry_budget
{
  struct ds_retry_limit bound;
  struct service **services;
  size_t count;
};

/* Makes an allowance without a share for the past.  */
int
ds_retry_budget_new (struct ds_retry_budget **out, TALLOC_CTX *owner,
                     const struct ds_retry_limit *bound)
{
  *out = talloc_zero (owner, struct ds_retry_budget);
  if (*out == NULL)
    return DS_ENOMEM;
  (*out)->bound = *bound;
  return 0;
}

static struct service *
find (struct ds_retry_budget *allowance, struct ds_str name)
{
  struct service **grown;
  struct service *service;

  for (size_t i = 0; i < allowance->count; i++)
    if (ds_str_equal (allowance->services[i]->name, name))
      return allowance->services[i];
  grown = talloc_realloc (allowance, allowance->services, struct service *,
                          (unsigned)allowance->count + 1);
  if (grown == NULL)
    return NULL;
  allowance->services = grown;
  service = talloc_zero (allowance, struct service);
  if (service == NULL)
    return NULL;
  service->name = ds_str_copy (service, name);
  grown[allowance->count++] = service;
  return service;
}

/* Moves to the slice of NOW and empties those that were passed.  */
static void
advance (const struct ds_retry_budget *allowance, struct service *service,
         uint64_t now_ms)
{
  uint64_t slice = now_ms / (allowance->bound.window_ms / SLICES + 1);

  for (uint64_t i = 0; service->slice < slice && i < SLICES; i++)
    {
      uint64_t at = slice - i;

      if (at <= service->slice)
        break;
      service->requests[at % SLICES] = 0;
      service->retries[at % SLICES] = 0;
    }
  if (slice > service->slice)
    service->slice = slice;
}

/* A caller's request for SERVICE has come.  */
void
ds_retry_budget_record_request (struct ds_retry_budget *allowance,
                                struct ds_str name, uint64_t now_ms)
{
  struct service *service = find (allowance, name);

  if (service == NULL)
    return;
  advance (allowance, service, now_ms);
  service->requests[service->slice % SLICES]++;
}

/* Takes one further arrival at SERVICE out of this host's share of the bound;
   false when the share is used up.

   Load: replicas fail or fill up while callers come at full rate.  Without a
   bound each request arrives several times and keeps the rest overloaded.  No
   call is made to share it: each of HOSTS uses the ratio on its own requests
   and an equal part of the slack.  */
bool
ds_retry_budget_take (struct ds_retry_budget *allowance, struct ds_str name,
                      size_t hosts, uint64_t now_ms)
{
  struct service *service = find (allowance, name);
  double requests = 0;
  double retries = 0;

  if (service == NULL)
    return false;
  advance (allowance, service, now_ms);
  for (size_t i = 0; i < SLICES; i++)
    {
      requests += service->requests[i];
      retries += service->retries[i];
    }
  if (retries + 1 > allowance->bound.ratio * RATIO_SHARE * requests
                        + allowance->bound.slack * SLACK_SHARE
                              / (double)(hosts > 0 ? hosts : 1))
    return false;
  service->retries[service->slice % SLICES]++;
  return true;
}
