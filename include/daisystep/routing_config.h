#ifndef DAISYSTEP_ROUTING_CONFIG_H
#define DAISYSTEP_ROUTING_CONFIG_H

#include "daisystep/error.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

/* Whether a request may be repeated.  A stream is repeatable only if it can be
   resumed.  */
enum ds_call_kind
{
  DS_CALL_IDEMPOTENT,
  DS_CALL_AT_MOST_ONCE,
  DS_CALL_STREAM
};

/* One service of a route and its weight in the traffic split.  */
struct ds_route_target
{
  struct ds_str service;
  uint32_t weight;
};

struct ds_route
{
  struct ds_str name;
  struct ds_str host;
  struct ds_str path_prefix; /* begins and ends with a slash */
  enum ds_call_kind kind;
  bool resumable;               /* a stream may continue on another replica */
  bool has_prompt;              /* requests carry a model and prompt parts */
  bool is_public;               /* requires no API key */
  uint32_t max_attempts;        /* maximum runs of one request */
  uint32_t timeout_ms;          /* maximum time a caller waits */
  uint32_t target_latency_ms;   /* to the response or first event */
  uint32_t target_event_gap_ms; /* target time between events */
  uint32_t priority;            /* 0 is the most urgent */
  struct ds_route_target *targets;
  size_t target_count;
};

struct ds_service
{
  struct ds_str name;
  struct ds_str health_path;
  uint32_t max_connections; /* per replica, from all hosts together */
  bool is_engine;
  uint32_t slots;
  uint64_t kv_capacity;      /* tokens in the cache of one replica */
  uint32_t tokens_per_event; /* maximum per event of a stream */
  uint64_t cold_start_ms;    /* cold time of a replica after its start */
  double cold_per_s;         /* requests that it takes until then; 0: any */
};

/* The owner of API keys and of a prepaid token budget.  */
struct ds_routing_workspace
{
  struct ds_str name;
  struct ds_str *keys;
  size_t key_count;
  uint32_t priority;
  bool has_budget;
  uint64_t prepaid; /* tokens */
};

/* Size limits and timeouts for caller connections.  */
struct ds_caller_limits
{
  uint32_t header_bytes;
  uint64_t body_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
};

#define DS_CALLER_LIMITS_DEFAULT                                              \
  ((struct ds_caller_limits){                                                 \
      .header_bytes = 16384,                                                  \
      .body_bytes = 4194304,                                                  \
      .header_timeout_ms = 3000,                                              \
      .idle_timeout_ms = 15000,                                               \
  })

struct ds_routing_index;

/* One version of the configuration.  It owns everything it points to and is
   immutable once it is indexed.  */
struct ds_routing_config
{
  uint64_t version;
  struct ds_route *routes;
  size_t route_count;
  struct ds_service *services;
  size_t service_count;
  struct ds_routing_workspace *workspaces;
  size_t workspace_count;
  struct ds_caller_limits limits;
  struct ds_routing_index *index;
};

int ds_routing_config_index (struct ds_routing_config *config);
const struct ds_route *
ds_routing_config_find_route (const struct ds_routing_config *config,
                              struct ds_str host, struct ds_str path);
const struct ds_routing_workspace *
ds_routing_config_find_workspace (const struct ds_routing_config *config,
                                  struct ds_str key);
const struct ds_service *
ds_routing_config_find_service (const struct ds_routing_config *config,
                                struct ds_str name);
struct ds_str ds_route_choose_service (const struct ds_route *route,
                                       uint64_t draw);

#endif
