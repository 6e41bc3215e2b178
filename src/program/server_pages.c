#include "program/call.h"
#include "program/server_internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* A pending platform request for a page.  LEDGER is what is written.  */
struct page_call
{
  struct generation *generation;
  uint32_t page;
  uint64_t number;
  struct ds_ledger *ledger;
};

static char *
page_name (TALLOC_CTX *owner, uint32_t page)
{
  return talloc_asprintf (owner, "page-%" PRIu32, page);
}

static void
send_page_event (const struct page_call *call, const struct ds_event *event)
{
  server_shard_handle_event (
      call->generation, server_shard_of_page (call->generation, call->page),
      event);
}

static void
page_failed (const struct page_call *call, const struct ds_error *error)
{
  struct ds_event event = { .kind = DS_EVENT_PAGE_FAILED,
                            .page_failed = { .page = call->page } };

  if (error->code != 0)
    ds_log_error (error, NULL);
  send_page_event (call, &event);
}

static void
report_page (const struct page_call *call, const struct ds_ledger *ledger,
             bool is_written)
{
  struct ds_event event = {
    .kind = DS_EVENT_PAGE,
    .page = { .page = call->page, .ledger = ledger, .written = is_written },
  };

  send_page_event (call, &event);
}

/* Reports the page object in RESULT to its shard.  */
static void
report_page_object (const struct page_call *call,
                    const struct ds_platform_result *result)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_ledger *ledger;

  if (result->json == NULL)
    {
      page_failed (call, &result->error);
      return;
    }
  if (ds_ledger_from_json (&ledger, NULL,
                           json_object_get (result->json, "spec"), &error)
      < 0)
    {
      page_failed (call, &error);
      return;
    }
  ledger->version = result->version;
  report_page (call, ledger, false);
  ds_ledger_free (ledger);
}

static void
release_page_call (struct page_call *call)
{
  ds_ledger_free (call->ledger);
  g_free (call);
}

static void
on_page_read (const struct ds_platform_result *result, void *user_data)
{
  struct page_call *call = user_data;

  if (result->outcome == DS_PLATFORM_OK)
    report_page_object (call, result);
  else if (result->outcome == DS_PLATFORM_NOT_FOUND)
    report_page (call, NULL, false);
  else
    page_failed (call, &result->error);
  release_page_call (call);
}

static void
on_page_written (const struct ds_platform_result *result, void *user_data)
{
  struct page_call *call = user_data;

  switch (result->outcome)
    {
    case DS_PLATFORM_OK:
      call->ledger->version = result->version;
      report_page (call, call->ledger, true);
      break;
    case DS_PLATFORM_CONFLICT:
      ds_metric_add (DS_METRIC_PLATFORM_CONFLICTS, 1);
      report_page_object (call, result);
      break;
    case DS_PLATFORM_NOT_FOUND:
      report_page (call, NULL, false);
      break;
    case DS_PLATFORM_OUTCOME_UNKNOWN:
    case DS_PLATFORM_UNAVAILABLE:
    case DS_PLATFORM_REJECTED:
      page_failed (call, &result->error);
      break;
    }
  release_page_call (call);
}

static struct page_call *
page_call_new (struct generation *generation, uint32_t page)
{
  struct page_call *call = g_new0 (struct page_call, 1);

  call->generation = generation;
  call->page = page;
  return call;
}

/* Reads PAGE from the platform and reports the result to its shard.  */
void
server_page_read (struct generation *generation, uint32_t page)
{
  struct page_call *call = page_call_new (generation, page);
  struct ds_platform_callback callback
      = { .on_done = on_page_read, .user_data = call };
  struct ds_error error = DS_ERROR_NONE;
  char *name = page_name (NULL, page);

  if (ds_platform_get (generation->server->platform, "LedgerPage", name,
                       callback, &error)
      < 0)
    {
      page_failed (call, &error);
      release_page_call (call);
    }
  talloc_free (name);
}

/* Returns the object to write to the platform.  Takes ownership of SPEC.  */
json_t *
server_object_json (const char *kind, const char *name, json_t *spec)
{
  return json_pack ("{s:s, s:s, s:o}", "kind", kind, "name", name, "spec",
                    spec);
}

/* Writes a page if it still has the version that the update is based on.  */
void
server_page_write (struct generation *generation,
                   const struct ds_action *action)
{
  struct page_call *call = page_call_new (generation, action->page_write.page);
  struct ds_platform_callback callback
      = { .on_done = on_page_written, .user_data = call };
  struct ds_error error = DS_ERROR_NONE;
  char *name = page_name (NULL, call->page);
  json_t *spec = NULL;
  json_t *object = NULL;

  if (action->page_write.ledger == NULL
      || ds_ledger_copy (&call->ledger, NULL, action->page_write.ledger) < 0
      || ds_ledger_to_json (&spec, call->ledger) < 0)
    ds_error_set (&error, DS_ENOMEM, "write page", NULL, "out of memory");
  else
    object = server_object_json ("LedgerPage", name, spec);
  if (object == NULL
      || ds_platform_put (generation->server->platform, "LedgerPage", name,
                          action->page_write.base_version, object, callback,
                          &error)
             < 0)
    {
      page_failed (call, &error);
      release_page_call (call);
    }
  json_decref (object);
  talloc_free (name);
}

static void
on_archive_written (const struct ds_platform_result *result, void *user_data)
{
  struct page_call *call = user_data;
  bool exists = result->outcome == DS_PLATFORM_OK
                || result->outcome == DS_PLATFORM_CONFLICT;
  struct ds_event event = {
    .kind = exists ? DS_EVENT_ARCHIVE_WRITTEN : DS_EVENT_ARCHIVE_FAILED,
    .archive_written = { .page = call->page, .number = call->number },
  };

  send_page_event (call, &event);
  release_page_call (call);
}

/* Creates an archive of bills; another host may have created it already with
   the same content.  */
void
server_archive_write (struct generation *generation,
                      const struct ds_action *action)
{
  struct page_call *call
      = page_call_new (generation, action->archive_write.page);
  struct ds_platform_callback callback
      = { .on_done = on_archive_written, .user_data = call };
  struct ds_platform_result failed = { .outcome = DS_PLATFORM_UNAVAILABLE };
  json_t *bills = json_array ();
  json_t *object;
  char *name = talloc_asprintf (NULL, "page-%" PRIu32 "-%" PRIu64, call->page,
                                action->archive_write.number);

  call->number = action->archive_write.number;
  for (size_t i = 0; i < action->archive_write.count; i++)
    {
      json_t *bill = NULL;

      ds_bill_to_json (&bill, &action->archive_write.ledger->bills[i]);
      json_array_append_new (bills, bill);
    }
  object = server_object_json ("BillArchive", name,
                               json_pack ("{s:o}", "bills", bills));
  if (ds_platform_put (generation->server->platform, "BillArchive", name, 0,
                       object, callback, NULL)
      < 0)
    on_archive_written (&failed, call);
  json_decref (object);
  talloc_free (name);
}
