#include "program/call.h"
#include "program/server_internal.h"

struct route_decision_message
{
  struct worker *worker;
  struct ds_route_decision decision;
  char address[64];
};

static void
handle_route_decision (void *payload, void *context)
{
  struct route_decision_message *message = payload;

  (void)context;
  if (message->decision.kind == DS_ROUTE_ATTEMPT)
    message->decision.attempt.address = ds_str_from_c (message->address);
  call_on_route_decision (message->worker, &message->decision);
}

/* Posts each decision to the worker that owns the request.  Called with the
   router's lock, since the decisions' strings are valid until its next
   call.  */
static void
post_decisions (struct ds_server *server,
                const struct ds_route_decisions *decisions)
{
  for (size_t i = 0; i < decisions->count; i++)
    {
      const struct ds_route_decision *decision = &decisions->items[i];
      struct route_decision_message *message
          = g_new0 (struct route_decision_message, 1);

      message->worker = server_worker_for_request (server, decision->handle);
      message->decision = *decision;
      if (decision->kind == DS_ROUTE_ATTEMPT)
        (void)g_snprintf (message->address, sizeof message->address, "%.*s",
                          DS_STR_ARG (decision->attempt.address));
      if (server_post (message->worker->mailbox, handle_route_decision,
                       message, g_free)
          < 0)
        g_free (message);
    }
}

/* Reports the end of an attempt to the router and posts its decisions.  Safe
   from any thread.  */
void
server_attempt_ended (struct ds_server *server,
                      const struct ds_attempt_end *end)
{
  struct ds_route_decisions decisions;

  if (ds_route_decisions_init (&decisions, NULL) < 0)
    g_error ("out of memory for a request");
  (void)pthread_mutex_lock (&server->router_lock);
  (void)ds_router_end_attempt (server->router, end, server_now (), &decisions);
  post_decisions (server, &decisions);
  (void)pthread_mutex_unlock (&server->router_lock);
  ds_route_decisions_clear (&decisions);
}

/* Advances the router's queues and pauses, and sends new reports of requests
   that crash upstreams to the peers.  */
void
server_router_tick (struct ds_server *server)
{
  struct ds_route_decisions decisions;

  if (ds_route_decisions_init (&decisions, NULL) < 0)
    return;
  (void)pthread_mutex_lock (&server->router_lock);
  (void)ds_router_tick (server->router, server_now (), &decisions);
  post_decisions (server, &decisions);
  (void)pthread_mutex_unlock (&server->router_lock);
  ds_route_decisions_clear (&decisions);
  server_send_crash_reports (server);
}

/* Adds or updates a declared upstream.  */
void
server_router_put (struct ds_server *server,
                   const struct ds_resource *resource)
{
  struct ds_upstream_spec spec = {
    .name = resource->name,
    .address = resource->upstream.address,
    .zone = resource->upstream.zone,
    .offerings = resource->upstream.offerings.items,
    .offering_count = resource->upstream.offerings.count,
    .state = resource->upstream.state,
    .max_in_flight = (uint32_t)resource->upstream.max_in_flight,
    .version = resource->version,
  };

  (void)pthread_mutex_lock (&server->router_lock);
  (void)ds_router_put_upstream (server->router, &spec, server_now ());
  (void)pthread_mutex_unlock (&server->router_lock);
}

/* Removes an upstream that is no longer declared.  */
void
server_router_remove (struct ds_server *server, struct ds_str name,
                      uint64_t version)
{
  (void)pthread_mutex_lock (&server->router_lock);
  (void)ds_router_remove_upstream (server->router, name, version,
                                   server_now ());
  (void)pthread_mutex_unlock (&server->router_lock);
}
