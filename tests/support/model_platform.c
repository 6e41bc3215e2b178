#include "model_internal.h"

static bool
take_response_loss (struct model *model)
{
  if (model->responses_to_lose > 0)
    {
      model->responses_to_lose--;
      return true;
    }
  return model->loses_response;
}

static void
send_page_response (struct model *model, const struct message *call,
                    bool is_written)
{
  struct platform_page *page = &model->pages[call->page];
  struct message *response = model_send_message (model, MESSAGE_PAGE_RESPONSE,
                                                 PLATFORM, call->from);

  response->to_incarnation = call->from_incarnation;
  response->incarnation = call->incarnation;
  response->page = call->page;
  response->is_written = is_written;
  if (page->ledger != NULL)
    ds_ledger_copy (&response->ledger, response, page->ledger);
}

static void
send_failure (struct model *model, const struct message *call,
              enum message_kind kind)
{
  struct message *response
      = model_send_message (model, kind, PLATFORM, call->from);

  response->to_incarnation = call->from_incarnation;
  response->incarnation = call->incarnation;
  response->page = call->page;
  response->number = call->number;
  response->host
      = call->host != NULL ? talloc_steal (response, call->host) : NULL;
}

static bool
write_page (struct model *model, const struct message *call)
{
  struct platform_page *page = &model->pages[call->page];
  struct ds_ledger *old = page->ledger;
  uint64_t version = page->ledger != NULL ? page->version : 0;

  if (call->number != version
      && !model_has_weakness (model, MODEL_UNCONDITIONAL_UPDATES))
    return false;
  ds_ledger_copy (&page->ledger, model->memory, call->ledger);
  page->version = ++model->next_version;
  page->ledger->version = page->version;
  for (size_t i = 0; i < page->ledger->writer_count; i++)
    {
      if (model_has_weakness (model, MODEL_DROP_OPERATION_NUMBERS))
        page->ledger->writers[i].operation = 0;
      if (model_has_weakness (model, MODEL_DROP_SETTLED_THROUGH))
        page->ledger->writers[i].settled_through = 0;
    }
  model_check_page (model, (int)call->page, old);
  ds_ledger_free (old);
  return true;
}

static void
serve_page_call (struct model *model, struct message *call)
{
  bool is_written = false;

  if (call->kind == MESSAGE_PAGE_READ)
    model->totals.platform_reads++;
  else
    {
      model->totals.platform_writes++;
      is_written = write_page (model, call);
    }
  if (take_response_loss (model))
    send_failure (model, call, MESSAGE_PAGE_FAILED);
  else
    send_page_response (model, call, is_written);
}

static void
serve_archive (struct model *model, struct message *call)
{
  GArray *archives = model->archives[call->page];
  struct message *response;

  model->totals.platform_writes++;
  if (call->number == archives->len)
    {
      struct ds_ledger *copy;

      ds_ledger_copy (&copy, model->memory, call->ledger);
      g_array_append_val (archives, copy);
      model->totals.archives++;
    }
  else if (call->number > archives->len)
    model_fail (model,
                "archive %" PRIu64 " was written before its predecessor",
                call->number);
  response = model_send_message (model, MESSAGE_ARCHIVE_RESPONSE, PLATFORM,
                                 call->from);
  response->is_written = !take_response_loss (model);
  response->to_incarnation = call->from_incarnation;
  response->incarnation = call->incarnation;
  response->page = call->page;
  response->number = call->number;
}

static void
publish_host (struct model *model, const struct ds_host *object)
{
  for (int i = 0; i < model->options.hosts; i++)
    {
      struct message *change;

      if (!model->hosts[i].is_alive)
        continue;
      change = model_send_message (model, MESSAGE_HOST_CHANGED, PLATFORM, i);
      ds_host_copy (&change->host, change, object);
    }
}

static void
serve_host_write (struct model *model, struct message *call)
{
  struct ds_host *current
      = g_hash_table_lookup (model->host_objects, &call->host->incarnation);
  uint64_t version = current != NULL ? current->version : 0;
  bool is_written = version == call->host->version;
  struct message *response;

  model->totals.platform_writes++;
  if (is_written)
    {
      struct ds_host *copy;

      ds_host_copy (&copy, model->memory, call->host);
      copy->version = ++model->next_version;
      g_hash_table_replace (model->host_objects, &copy->incarnation, copy);
      current = copy;
      publish_host (model, copy);
    }
  if (take_response_loss (model))
    {
      send_failure (model, call, MESSAGE_HOST_FAILED);
      return;
    }
  response = model_send_message (model, MESSAGE_HOST_RESPONSE, PLATFORM,
                                 call->from);
  response->to_incarnation = call->from_incarnation;
  response->is_written = is_written;
  ds_host_copy (&response->host, response, current);
}

void
model_serve_platform (struct model *model, struct message *call)
{
  if (!model->is_platform_up)
    {
      if (call->kind == MESSAGE_HOST_WRITE)
        send_failure (model, call, MESSAGE_HOST_FAILED);
      else if (call->kind == MESSAGE_ARCHIVE_WRITE)
        send_failure (model, call, MESSAGE_ARCHIVE_RESPONSE);
      else
        send_failure (model, call, MESSAGE_PAGE_FAILED);
      return;
    }
  switch (call->kind)
    {
    case MESSAGE_PAGE_READ:
    case MESSAGE_PAGE_WRITE:
      serve_page_call (model, call);
      break;
    case MESSAGE_ARCHIVE_WRITE:
      serve_archive (model, call);
      break;
    default:
      serve_host_write (model, call);
      break;
    }
}
