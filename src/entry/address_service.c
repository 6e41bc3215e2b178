#include "entry/address_service.h"
#include "core/address_choice.h"
#include "daisystep/metrics.h"
#include "io/clock.h"
#include "platform/caller_codec.h"
#include "platform/names.h"

#include <stdlib.h>
#include <string.h>

/* Answers a request of a port that this host answers by itself.  */
static void
reply (struct ds_caller *caller, unsigned status, struct ds_str body)
{
  struct ds_byte_buffer out = { .data = NULL };

  if (ds_wire_write_refusal (caller, &out, status, DS_STR_EMPTY, 0, body,
                             ds_caller_closes (caller))
      == 0)
    ds_caller_write (caller, ds_byte_buffer_content (&out));
  ds_byte_buffer_release (&out);
  ds_caller_finish (caller);
}

static bool
has_path (const struct ds_http_head *head, const char *path)
{
  size_t length = strlen (path);

  return head->target.length >= length
         && memcmp (head->target.data, path, length) == 0
         && (head->target.length == length
             || head->target.data[length] == '?');
}

/* Answers whether this host may be handed out to callers.  */
void
ds_address_service_readiness (struct ds_caller *caller,
                              const struct ds_http_head *head,
                              struct ds_str body, void *user_data)
{
  const struct ds_address_service *service = user_data;

  (void)body;
  if (!has_path (head, DS_PATH_READINESS))
    reply (caller, 404, DS_STR ("{\"error\":\"no such path\"}"));
  else if (service->ready)
    reply (caller, 200, DS_STR ("{\"ready\":true}"));
  else
    reply (caller, 503, DS_STR ("{\"ready\":false}"));
}

/* The value of KEY in the query of TARGET; empty when it is missing.  */
static struct ds_str
query_value (struct ds_str target, const char *key)
{
  size_t key_length = strlen (key);
  const char *at = memchr (target.data, '?', target.length);
  const char *end = target.data + target.length;

  while (at != NULL)
    {
      const char *item = at + 1;
      const char *next = memchr (item, '&', (size_t)(end - item));
      const char *stop = next != NULL ? next : end;

      if ((size_t)(stop - item) > key_length
          && memcmp (item, key, key_length) == 0 && item[key_length] == '=')
        return (struct ds_str){ .data = item + key_length + 1,
                                .length
                                = (size_t)(stop - item) - key_length - 1 };
      at = next;
    }
  return DS_STR_EMPTY;
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
    };
  for (size_t i = 0; i < members; i++)
    {
      const struct ds_fleet_member *member
          = ds_fleet_view_at (service->fleet, i);

      if (ds_fleet_member_is_alive (member, now_ms) && member->ready
          && !member->draining)
        (*out)[count++] = (struct ds_address_candidate){
          .zone = member->zone,
          .region = member->region,
          .address = member->caller_address,
        };
    }
  return count;
}

/* Answers which addresses a caller shall use.  */
void
ds_address_service_addresses (struct ds_caller *caller,
                              const struct ds_http_head *head,
                              struct ds_str body, void *user_data)
{
  const struct ds_address_service *service = user_data;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct ds_address_candidate *candidates;
  struct ds_str addresses[DS_ADDRESSES_MAX];
  size_t count;
  char *text;

  (void)body;
  if (!has_path (head, DS_PATH_ADDRESSES))
    {
      reply (caller, 404, DS_STR ("{\"error\":\"no such path\"}"));
      talloc_free (scratch);
      return;
    }
  count = list_candidates (service, scratch, &candidates);
  count = count == 0 ? 0
                     : ds_address_choose (addresses, candidates, count,
                                          query_value (head->target, "zone"),
                                          query_value (head->target, "region"),
                                          (size_t)random () % count);
  if (count == 0)
    {
      reply (caller, 503, DS_STR ("{\"error\":\"no host is ready\"}"));
      talloc_free (scratch);
      return;
    }
  text = talloc_strdup (scratch, "{\"addresses\":[");
  for (size_t i = 0; i < count; i++)
    text = talloc_asprintf_append (text, "%s\"%.*s\"", i > 0 ? "," : "",
                                   DS_STR_ARG (addresses[i]));
  text = talloc_asprintf_append (text, "],\"ttl_s\":%g}", service->ttl_s);
  reply (caller, 200, ds_str_from_c (text != NULL ? text : "{}"));
  talloc_free (scratch);
}

/* Answers with the metrics of this process.  */
void
ds_address_service_metrics (struct ds_caller *caller,
                            const struct ds_http_head *head,
                            struct ds_str body, void *user_data)
{
  char *text = ds_metrics_exposition (NULL);
  char *times = ds_histograms_exposition (text);

  (void)head;
  (void)body;
  (void)user_data;
  if (text != NULL && times != NULL)
    text = talloc_strdup_append_buffer (text, times);
  reply (caller, 200, ds_str_from_c (text != NULL ? text : ""));
  talloc_free (text);
}
