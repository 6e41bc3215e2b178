#include "core/retry_budget.h"
#include "daisystep/error.h"

/* Subdivisions of the sliding window; expired ones are reset.  The newest one
   has only begun, so one more than the window has is counted: a burst of
   retries leaves the count when it has left the window.  */
#define WINDOW_SLICES 10
#define SLICES (WINDOW_SLICES + 1)
/* Share of the slack that is divided among the hosts; the rest covers hosts
   that do not know the current number of hosts yet.  */
#define SLACK_SHARE 0.8
/* Share of the ratio that is used, as the window of the limit may be shifted
   against the window counted here.  */
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
  struct ds_retry_limit limit;
  struct service **services;
  size_t count;
};

/* Creates a budget for LIMIT without recorded requests.  Returns 0 or
   DS_ENOMEM.  */
int
ds_retry_budget_new (struct ds_retry_budget **out, TALLOC_CTX *owner,
                     const struct ds_retry_limit *limit)
{
  *out = talloc_zero (owner, struct ds_retry_budget);
  if (*out == NULL)
    return DS_ENOMEM;
  (*out)->limit = *limit;
  return 0;
}

static struct service *
find (struct ds_retry_budget *budget, struct ds_str name)
{
  struct service **grown;
  struct service *service;

  for (size_t i = 0; i < budget->count; i++)
    if (ds_str_equal (budget->services[i]->name, name))
      return budget->services[i];
  grown = talloc_realloc (budget, budget->services, struct service *,
                          (unsigned)budget->count + 1);
  if (grown == NULL)
    return NULL;
  budget->services = grown;
  service = talloc_zero (budget, struct service);
  if (service == NULL)
    return NULL;
  service->name = ds_str_copy (service, name);
  grown[budget->count++] = service;
  return service;
}

/* Advances to the slice of NOW_MS and resets those in between.  */
static void
advance (const struct ds_retry_budget *budget, struct service *service,
         uint64_t now_ms)
{
  uint64_t slice = now_ms / (budget->limit.window_ms / WINDOW_SLICES + 1);

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

/* Records a request of a caller for service NAME.  */
void
ds_retry_budget_record_request (struct ds_retry_budget *budget,
                                struct ds_str name, uint64_t now_ms)
{
  struct service *service = find (budget, name);

  if (service == NULL)
    return;
  advance (budget, service, now_ms);
  service->requests[service->slice % SLICES]++;
}

/* Returns the part of the slack that this host may use.  Incarnations before
   it may have used theirs in the current window, and nothing tells of it:
   until a window has passed since its start, it uses only what they left.  */
static double
own_slack (const struct ds_retry_budget *budget, size_t hosts, uint64_t now_ms)
{
  const struct ds_retry_limit *limit = &budget->limit;
  bool has_just_started
      = limit->started_ms > 0 && now_ms < limit->started_ms + limit->window_ms;

  return limit->slack * (has_just_started ? 1 - SLACK_SHARE : SLACK_SHARE)
         / (double)(hosts > 0 ? hosts : 1);
}

/* Takes one retry for service NAME from the share of this host; returns false
   if the share is used up.

   When replicas fail or are full at the full request rate, unlimited retries
   send each request several times and overload the remaining replicas.  The
   hosts do not coordinate: each of HOSTS applies the ratio to its own requests
   and uses an equal part of the slack.  */
bool
ds_retry_budget_take (struct ds_retry_budget *budget, struct ds_str name,
                      size_t hosts, uint64_t now_ms)
{
  struct service *service = find (budget, name);
  double requests = 0;
  double retries = 0;

  if (service == NULL)
    return false;
  advance (budget, service, now_ms);
  for (size_t i = 0; i < SLICES; i++)
    {
      requests += service->requests[i];
      retries += service->retries[i];
    }
  if (retries + 1 > budget->limit.ratio * RATIO_SHARE * requests
                        + own_slack (budget, hosts, now_ms))
    return false;
  service->retries[service->slice % SLICES]++;
  return true;
}
