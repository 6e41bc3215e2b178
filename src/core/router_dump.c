#include "core/router_state.h"

#include <jansson.h>

static json_t *
text (struct ds_str string)
{
  return json_stringn (string.data, string.length);
}

static const char *
state_name (const struct ds_router_upstream *upstream, uint64_t now_ms)
{
  if (upstream->removed)
    return "removed";
  if (upstream->state == DS_UPSTREAM_LEAVING)
    return "leaving";
  if (ds_router_usable_at (upstream) > now_ms)
    return "paused";
  if (upstream->needs_probe)
    return "probing";
  return upstream->slow_start_ms != 0 ? "slow_start" : "active";
}

static json_t *
dump_upstream (const struct ds_router_upstream *upstream, uint64_t now_ms)
{
  uint64_t usable_at = ds_router_usable_at (upstream);

  return json_pack (
      "{s:o, s:o, s:o, s:s, s:I, s:I, s:I, s:f, s:I, s:I, s:I, s:I}", "name",
      text (upstream->name), "address", text (upstream->address), "zone",
      text (upstream->zone), "state", state_name (upstream, now_ms), "version",
      (json_int_t)upstream->version, "max_in_flight",
      (json_int_t)upstream->max_in_flight, "in_flight",
      (json_int_t)upstream->local_in_flight, "reported_others",
      upstream->reported_others, "report_age_ms",
      upstream->has_report ? (json_int_t)(now_ms - upstream->report_time_ms)
                           : (json_int_t)-1,
      "failures", (json_int_t)upstream->failures, "paused_ms",
      usable_at > now_ms ? (json_int_t)(usable_at - now_ms) : (json_int_t)0,
      "suspects_in_flight", (json_int_t)upstream->suspects);
}

static json_t *
dump_offering (const struct ds_router_offering *offering)
{
  return json_pack (
      "{s:o, s:I, s:I, s:I, s:f, s:f}", "name", text (offering->name),
      "upstreams", (json_int_t)offering->upstream_count, "queued",
      (json_int_t)offering->queue_count, "in_flight",
      (json_int_t)offering->in_flight, "mean_duration_ms",
      offering->duration_ms, "mean_first_byte_ms", offering->first_byte_ms);
}

/* Returns the state of ROUTER at NOW_MS for operators.  The caller owns the
   object; null if out of memory.  */
struct json_t *
ds_router_dump (const struct ds_router *router, uint64_t now_ms)
{
  json_t *upstreams = json_array ();
  json_t *offerings = json_array ();

  for (size_t i = 0; i < router->upstream_count; i++)
    json_array_append_new (upstreams,
                           dump_upstream (router->upstreams[i], now_ms));
  for (size_t i = 0; i < router->offering_count; i++)
    json_array_append_new (offerings, dump_offering (router->offerings[i]));
  return json_pack ("{s:o, s:o, s:I, s:f, s:o}", "upstreams", upstreams,
                    "offerings", offerings, "queued",
                    (json_int_t)router->queued, "retry_tokens",
                    router->retry_tokens, "crashes",
                    ds_crash_tracker_dump (router->crash_tracker, now_ms));
}
