#include "entry/address_service.h"
#include "core/address_regions.h"
#include "daisystep/metrics.h"
#include "io/clock.h"
#include "platform/address_codec.h"
#include "platform/caller_codec.h"

#include <stdlib.h>
#include <string.h>

#define STRAINED_CAPACITY_DIVISOR 16

/* Responds to a request that this host handles itself.  */
static void
send_response (struct ds_caller *caller, const struct ds_http_head *head,
               unsigned status, struct ds_str body)
{
  struct ds_byte_buffer out = { .data = NULL };

  if (ds_wire_write_local_response (
          caller, &out, status, DS_STR_EMPTY, 0, body,
          ds_str_equal (head->method, DS_STR ("HEAD")),
          ds_caller_will_close (caller))
      == 0)
    ds_caller_write (caller, ds_byte_buffer_content (&out));
  ds_byte_buffer_release (&out);
  ds_caller_finish_response (caller);
}

/* Responds to a readiness check: 200 when ready for callers.  */
void
ds_address_service_readiness (struct ds_caller *caller,
                              const struct ds_http_head *head,
                              struct ds_str body, void *user_data)
{
  const struct ds_address_service *service = user_data;

  (void)body;
  if (!ds_wire_is_readiness_query (head))
    send_response (caller, head, 404, DS_STR ("{\"error\":\"no such path\"}"));
  else if (service->ready)
    send_response (caller, head, 200, DS_STR ("{\"ready\":true}"));
  else
    send_response (caller, head, 503, DS_STR ("{\"ready\":false}"));
}

/* The capacity of a host for callers.  A strained host is offered only if the
   zone has few others.  */
static uint32_t
offered_capacity (uint32_t capacity, bool strained)
{
  return strained ? capacity / STRAINED_CAPACITY_DIVISOR : capacity;
}

static size_t
list_candidates (const struct ds_address_service *service, TALLOC_CTX *owner,
                 struct ds_address_candidate **out)
{
  size_t members = ds_fleet_view_count (service->fleet);
  uint64_t now_ms = ds_clock_ms ();
  size_t count = 0;

  *out = talloc_array (owner, struct ds_address_candidate,
                       (unsigned)members + 1);
  if (*out == NULL)
    return 0;
  if (service->ready)
    (*out)[count++] = (struct ds_address_candidate){
      .zone = service->zone,
      .region = service->region,
      .address = service->caller_address,
      .capacity = offered_capacity (service->capacity, service->strained),
      .machine_capacity = service->capacity,
      .id = ds_fleet_view_id (service->fleet),
      .level = service->level,
    };
  for (size_t i = 0; i < members; i++)
    {
      const struct ds_fleet_member *member
          = ds_fleet_view_at (service->fleet, i);

      if (ds_fleet_member_is_alive (member, now_ms) && member->ready
          && !member->draining && member->caller_address.length > 0)
        (*out)[count++] = (struct ds_address_candidate){
          .zone = member->zone,
          .region = member->region,
          .address = member->caller_address,
          .capacity = offered_capacity (member->capacity, member->strained),
          .machine_capacity = member->capacity,
          .id = member->id,
          .level = member->load_level,
        };
    }
  return count;
}

/* Chooses addresses for CALLER; COUNT candidates, at least one.  */
static size_t
choose_addresses (const struct ds_address_service *service, struct ds_str *out,
                  const struct ds_address_candidate *candidates, size_t count,
                  const struct ds_address_query *query, uint64_t caller)
{
  struct ds_str usual[DS_ADDRESSES_MAX];
  size_t usual_count = ds_address_choose (usual, candidates, count,
                                          query->zone, query->region, caller);
  size_t found;
  bool differs;

  if (service->heavy == NULL)
    {
      memcpy (out, usual, usual_count * sizeof usual[0]);
      return usual_count;
    }
  found
      = ds_address_spread (out, candidates, count, query->zone, query->region,
                           caller, service->heavy, ds_clock_ms ());
  differs = found != usual_count;
  for (size_t i = 0; i < found && !differs; i++)
    differs = !ds_str_equal (out[i], usual[i]);
  ds_metric_add (DS_METRIC_ADDRESSES_SPREAD, differs ? 1 : 0);
  return found;
}

/* Responds to an address query with addresses for the caller.  */
void
ds_address_service_addresses (struct ds_caller *caller,
                              const struct ds_http_head *head,
                              struct ds_str body, void *user_data)
{
  const struct ds_address_service *service = user_data;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct ds_address_candidate *candidates;
  struct ds_address_query query;
  struct ds_str addresses[DS_ADDRESSES_MAX];
  size_t count;
  char *text;

  (void)body;
  if (!ds_wire_read_address_query (&query, head))
    {
      send_response (caller, head, 404,
                     DS_STR ("{\"error\":\"no such path\"}"));
      talloc_free (scratch);
      return;
    }
  count = list_candidates (service, scratch, &candidates);
  count = ds_address_limit_regions (candidates, count, *service->config,
                                    query.name, query.region);
  count = count == 0 ? 0
                     : choose_addresses (service, addresses, candidates, count,
                                         &query, ds_caller_origin (caller));
  if (count == 0)
    {
      send_response (caller, head, 503,
                     DS_STR ("{\"error\":\"no host is ready\"}"));
      talloc_free (scratch);
      return;
    }
  text = ds_wire_write_addresses (scratch, addresses, count, service->ttl_s);
  send_response (caller, head, 200,
                 ds_str_from_c (text != NULL ? text : "{}"));
  talloc_free (scratch);
}

/* Responds with the metrics of this process.  */
void
ds_address_service_metrics (struct ds_caller *caller,
                            const struct ds_http_head *head,
                            struct ds_str body, void *user_data)
{
  char *text = ds_metrics_exposition (NULL);
  char *times = ds_histograms_exposition (text);

  (void)body;
  (void)user_data;
  if (text != NULL && times != NULL)
    text = talloc_strdup_append_buffer (text, times);
  send_response (caller, head, 200, ds_str_from_c (text != NULL ? text : ""));
  talloc_free (text);
}
