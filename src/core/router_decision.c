#include "core/router_state.h"
#include "daisystep/error.h"

/* Appends an element to DECISIONS; returns null if out of memory.  */
struct ds_route_decision *
ds_router_add_decision (struct ds_route_decisions *decisions)
{
  if (decisions->count == decisions->capacity)
    {
      size_t wanted = decisions->capacity * 2 + 8;
      struct ds_route_decision *grown
          = talloc_realloc (decisions->owner, decisions->items,
                            struct ds_route_decision, wanted);

      if (grown == NULL)
        return NULL;
      decisions->items = grown;
      decisions->capacity = wanted;
    }
  return &decisions->items[decisions->count++];
}

/* Frees REQUEST, which must be neither queued nor in flight.  */
void
ds_router_free_request (struct ds_router *router,
                        struct ds_router_request *request)
{
  g_hash_table_remove (router->requests, &request->params.handle);
  talloc_free (request);
}

/* Returns the decision that ends REQUEST, a refusal if never attempted.  */
struct ds_route_decision
ds_router_final_decision (const struct ds_router_request *request,
                          enum ds_route_reason reason, uint64_t retry_after_ms)
{
  return (struct ds_route_decision){
    .kind = request->attempts > 0 ? DS_ROUTE_FAILED : DS_ROUTE_REFUSED,
    .handle = request->params.handle,
    .end = {
        .reason = reason,
        .ran = request->ran,
        .retry_after_ms = retry_after_ms,
    },
  };
}

/* Ends REQUEST, which must not be queued, with a decision.  */
int
ds_router_end_request (struct ds_router *router,
                       struct ds_router_request *request,
                       enum ds_route_reason reason, uint64_t retry_after_ms,
                       struct ds_route_decisions *decisions)
{
  struct ds_route_decision *decision = ds_router_add_decision (decisions);

  if (decision != NULL)
    *decision = ds_router_final_decision (request, reason, retry_after_ms);
  ds_router_free_request (router, request);
  return decision != NULL ? 0 : DS_ENOMEM;
}

/* Starts the next attempt of REQUEST, which must not be queued.  */
struct ds_route_decision
ds_router_start_attempt (struct ds_router *router,
                         struct ds_router_request *request,
                         struct ds_router_upstream *upstream, uint64_t now_ms)
{
  request->attempt = ++router->last_attempt;
  request->tried[request->attempts++] = upstream;
  request->started_ms = now_ms;
  ds_router_link_attempt (upstream, request, now_ms);
  ds_router_record_prefixes (router, request, upstream);
  g_hash_table_insert (router->attempts, &request->attempt, request);
  return (struct ds_route_decision){
    .kind = DS_ROUTE_ATTEMPT,
    .handle = request->params.handle,
    .attempt = {
        .attempt = request->attempt,
        .upstream = upstream->name,
        .address = upstream->address,
        .resume_from = request->resume_from,
    },
  };
}

/* Whether REQUEST must be refused because of its body.  */
bool
ds_router_is_poisonous (const struct ds_router *router,
                        const struct ds_router_request *request)
{
  return ds_crash_tracker_is_poisonous (router->crash_tracker,
                                        request->params.body_digest);
}
