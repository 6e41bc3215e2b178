#include "shard_internal.h"

#include <jansson.h>

static json_t *
dump_grant (const struct ds_shard *shard, const struct grant *grant)
{
  return json_pack (
      "{s:s%, s:i, s:I, s:I, s:I, s:I, s:I, s:I, s:i}", "budget",
      grant->budget.data, grant->budget.length, "page",
      (int)grant->page->number, "prepaid", (json_int_t)grant->prepaid,
      "granted", (json_int_t)grant->granted, "reserved",
      (json_int_t)grant->reserved, "used", (json_int_t)grant->used,
      "available", (json_int_t)grant_available (shard, grant), "demand",
      (json_int_t)grant_demand (shard, grant), "waiting",
      (int)grant->waiting->len);
}

static json_t *
dump_page (const struct page *page)
{
  return json_pack (
      "{s:i, s:b, s:b, s:I, s:b, s:i, s:i, s:I}", "page", (int)page->number,
      "known", page->is_loaded, "failing", page->is_failing, "version",
      (json_int_t)(page->ledger != NULL ? page->ledger->version : 0),
      "updating", page->update != NULL, "unsettled", (int)page->unbilled->len,
      "seals", (int)page->seals->len, "operation",
      (json_int_t)page->next_operation);
}

/* The state of SHARD for the operator's dump; the caller owns the result.  */
struct json_t *
ds_shard_dump (const struct ds_shard *shard)
{
  json_t *grants = json_array ();
  json_t *pages = json_array ();
  GHashTableIter iterator;
  gpointer item;

  g_hash_table_iter_init (&iterator, shard->grants);
  while (g_hash_table_iter_next (&iterator, NULL, &item))
    json_array_append_new (grants, dump_grant (shard, item));
  g_hash_table_iter_init (&iterator, shard->pages);
  while (g_hash_table_iter_next (&iterator, NULL, &item))
    json_array_append_new (pages, dump_page (item));
  return json_pack (
      "{s:i, s:b, s:b, s:i, s:i, s:i, s:I, s:I, s:i, s:o, s:o}", "shard",
      (int)shard->options.index, "sealed", shard->is_sealed, "stopping",
      shard->is_stopping, "running", (int)shard->running, "journaling",
      (int)g_queue_get_length (shard->journaling), "remembered",
      (int)g_queue_get_length (shard->retained), "journal_last",
      (json_int_t)ds_journal_last_sequence (shard->journal),
      "journal_committed",
      (json_int_t)ds_journal_committed_sequence (shard->journal),
      "journal_records", (int)ds_journal_record_count (shard->journal),
      "grants", grants, "pages", pages);
}
