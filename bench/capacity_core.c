/* Measures memory and CPU time of the decision core, each at four or more
   sizes, for docs/CAPACITY.md.  Prints lines "QUANTITY,SIZE,VALUE", which
   scripts/capacity.sh fits.  Argument: the name of one part; default all.  */

#include "daisystep/backup.h"
#include "daisystep/catalogue.h"
#include "daisystep/fleet.h"
#include "daisystep/resource.h"
#include "daisystep/router.h"
#include "daisystep/sealed_journal.h"
#include "daisystep/shard.h"

#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ARRAY_LENGTH(array) (sizeof (array) / sizeof *(array))
#define HOSTS 390
#define ZONES 7
#define PAGES 1024
#define SHARDS 4
/* Requests whose journal records a host retains, a reservation and a
   settlement each: the last 20 minutes at 8.5 requests/s.  */
#define REQUESTS_RETAINED 10200
#define TICK_MS 50

static double
cpu_seconds (void)
{
  struct timespec time;

  (void)clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* Bytes allocated on the heap.  */
static double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks + (double)info.hblkhd;
}

static void
print_result (const char *quantity, double size, double value)
{
  printf ("%s,%.0f,%.6g\n", quantity, size, value);
  (void)fflush (stdout);
}

static struct ds_str
format_str (char *buffer, size_t size, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  (void)vsnprintf (buffer, size, format, arguments);
  va_end (arguments);
  return ds_str_from_c (buffer);
}

static struct ds_request_id
make_request_id (uint64_t number)
{
  struct ds_request_id id = { { 0 } };
  uint64_t word = number * 0x9e3779b97f4a7c15U;

  memcpy (id.bytes, &word, sizeof word);
  memcpy (id.bytes + sizeof word, &number, sizeof number);
  return id;
}

/* A host's shards and a platform that responds immediately and stores the
   pages.  */
struct bench_host
{
  struct ds_shard *shards[SHARDS];
  struct ds_ledger *pages[PAGES];
  uint64_t version;
  uint64_t now;
};

static void bench_host_handle (struct bench_host *host, uint32_t shard,
                               const struct ds_event *event);

static void
write_page (struct bench_host *host, uint32_t shard,
            const struct ds_action *action)
{
  uint32_t page = action->page_write.page;
  struct ds_event event
      = { .kind = DS_EVENT_PAGE, .page = { .page = page, .written = true } };

  ds_ledger_free (host->pages[page]);
  if (ds_ledger_copy (&host->pages[page], NULL, action->page_write.ledger) < 0)
    abort ();
  host->pages[page]->version = ++host->version;
  event.page.ledger = host->pages[page];
  bench_host_handle (host, shard, &event);
}

static void
apply_action (struct bench_host *host, uint32_t shard,
              const struct ds_action *action)
{
  struct ds_event event = { .kind = DS_EVENT_PAGE };

  switch (action->kind)
    {
    case DS_ACTION_DISPATCH:
      event.kind = DS_EVENT_END;
      event.end.handle = action->dispatch.handle;
      event.end.end = DS_END_COMPLETE;
      event.end.tokens = 400;
      event.end.input_tokens = 100;
      event.end.output_tokens = 300;
      bench_host_handle (host, shard, &event);
      break;
    case DS_ACTION_PAGE_READ:
      event.page.page = action->page_read.page;
      event.page.ledger = host->pages[action->page_read.page];
      bench_host_handle (host, shard, &event);
      break;
    case DS_ACTION_PAGE_WRITE:
      write_page (host, shard, action);
      break;
    case DS_ACTION_ARCHIVE_WRITE:
      event.kind = DS_EVENT_ARCHIVE_WRITTEN;
      event.archive_written.page = action->archive_write.page;
      event.archive_written.number = action->archive_write.number;
      bench_host_handle (host, shard, &event);
      break;
    case DS_ACTION_REFUSE:
      (void)fprintf (stderr,
                     "shard refused a request that should be dispatched\n");
      abort ();
    default:
      break;
    }
}

static void
bench_host_handle (struct bench_host *host, uint32_t shard,
                   const struct ds_event *event)
{
  struct ds_actions actions;

  if (ds_actions_init (&actions, NULL) < 0)
    abort ();
  ds_shard_handle (host->shards[shard], event, host->now, &actions);
  for (size_t i = 0; i < actions.count; i++)
    apply_action (host, shard, &actions.items[i]);
  ds_actions_clear (&actions);
}

static struct bench_host *
bench_host_new (void)
{
  struct bench_host *host = g_new0 (struct bench_host, 1);
  struct ds_event proposed = { .kind = DS_EVENT_BACKUPS_PROPOSED };
  struct ds_event adopted = { .kind = DS_EVENT_BACKUPS_ADOPTED };

  host->now = 1000;
  for (uint32_t i = 0; i < SHARDS; i++)
    {
      struct ds_shard_options options = DS_SHARD_OPTIONS_DEFAULT;

      options.incarnation = 7;
      options.index = i;
      options.random_seed = i;
      if (ds_shard_new (&host->shards[i], NULL, &options) < 0)
        abort ();
      bench_host_handle (host, i, &proposed);
      bench_host_handle (host, i, &adopted);
    }
  return host;
}

static void
bench_host_free (struct bench_host *host)
{
  for (size_t i = 0; i < SHARDS; i++)
    ds_shard_free (host->shards[i]);
  for (size_t i = 0; i < PAGES; i++)
    ds_ledger_free (host->pages[i]);
  g_free (host);
}

/* Advances time by MS at the tick interval of the server's control thread.
   Returns the CPU seconds of one tick of all shards.  */
static double
run_ticks (struct bench_host *host, uint64_t ms)
{
  struct ds_event tick = { .kind = DS_EVENT_TICK };
  uint64_t count = ms / TICK_MS;
  double begin = cpu_seconds ();

  for (uint64_t i = 0; i < count; i++)
    {
      host->now += TICK_MS;
      for (uint32_t shard = 0; shard < SHARDS; shard++)
        bench_host_handle (host, shard, &tick);
    }
  return (cpu_seconds () - begin) / (double)count;
}

static void
declare_budgets (struct bench_host *host, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char buffer[32];
      struct ds_str name
          = format_str (buffer, sizeof buffer, "budget-%06u", i);
      uint32_t page = ds_page_of_budget (name, PAGES);
      struct ds_event event = {
        .kind = DS_EVENT_BUDGET,
        .budget = { .name = name,
                    .page = page,
                    .version = i + 1,
                    .prepaid = 1000000000,
                    .draw_percent = 12 },
      };

      bench_host_handle (host, page % SHARDS, &event);
    }
}

static void
measure_budgets (void)
{
  static const uint32_t sizes[] = { 1000, 2500, 5000, 10000, 20000 };

  for (size_t i = 0; i < ARRAY_LENGTH (sizes); i++)
    {
      double before = heap_bytes ();
      double begin = cpu_seconds ();
      struct bench_host *host = bench_host_new ();

      declare_budgets (host, sizes[i]);
      print_result ("budgets_declare_cpu_ms", sizes[i],
                    (cpu_seconds () - begin) * 1e3);
      print_result ("budgets_memory_bytes", sizes[i], heap_bytes () - before);
      (void)run_ticks (host, 1000);
      print_result ("budgets_tick_cpu_us", sizes[i],
                    run_ticks (host, 20000) * 1e6);
      bench_host_free (host);
    }
}

static void
submit_request (struct bench_host *host, uint64_t number, uint32_t budgets)
{
  char buffer[32];
  char workspace[32];
  struct ds_event event = {
    .kind = DS_EVENT_ARRIVE,
    .arrive
    = { .handle = number + 1,
        .id = make_request_id (number),
        .body_digest = number,
        .workspace = format_str (workspace, sizeof workspace, "workspace-%06u",
                                 (uint32_t)(number * 7919 % budgets)),
        .offering = DS_STR ("model-07"),
        .tokens = 3000,
        .repeatable = true },
  };

  event.arrive.budget = format_str (buffer, sizeof buffer, "budget-%06u",
                                    (uint32_t)(number * 7919 % budgets));
  bench_host_handle (
      host, ds_page_of_budget (event.arrive.budget, PAGES) % SHARDS, &event);
}

/* Memory and CPU time of a host that retains the requests of 2 to 20 minutes
   at 8.5 requests/s in its journal and tables.  */
static void
measure_journal (void)
{
  static const uint32_t minutes[] = { 2, 5, 10, 15, 20 };

  for (size_t i = 0; i < ARRAY_LENGTH (minutes); i++)
    {
      struct bench_host *host = bench_host_new ();
      uint32_t count = minutes[i] * 510;
      double before;
      double begin;

      declare_budgets (host, 20000);
      before = heap_bytes ();
      begin = cpu_seconds ();
      for (uint32_t n = 0; n < count; n++)
        {
          submit_request (host, n, 20000);
          if (n % 17 == 16)
            (void)run_ticks (host, 2000);
        }
      print_result ("journal_request_and_tick_cpu_ms", count * 2.0,
                    (cpu_seconds () - begin) * 1e3);
      /* The platform's copies are not memory of the host.  */
      for (size_t page = 0; page < PAGES; page++)
        {
          ds_ledger_free (host->pages[page]);
          host->pages[page] = NULL;
        }
      print_result ("journal_own_memory_bytes", count * 2.0,
                    heap_bytes () - before);
      bench_host_free (host);
    }
}

static struct ds_record *
make_records (uint32_t requests, uint32_t budgets)
{
  struct ds_record *records
      = talloc_zero_array (NULL, struct ds_record, (size_t)requests * 2);

  for (uint32_t i = 0; records != NULL && i < requests; i++)
    {
      char buffer[32];
      struct ds_record *reserve = &records[2 * (size_t)i];

      *reserve = (struct ds_record){
        .sequence = 2 * (uint64_t)i + 1,
        .kind = DS_RECORD_RESERVE,
        .id = make_request_id (i),
        .budget = ds_str_copy (
            records, format_str (buffer, sizeof buffer, "budget-%06u",
                                 (uint32_t)((uint64_t)i * 7919 % budgets))),
        .workspace = ds_str_copy (
            records, format_str (buffer, sizeof buffer, "workspace-%06u", i)),
        .offering = DS_STR ("model-07"),
        .tokens = 3000,
        .repeatable = true,
      };
      reserve[1] = (struct ds_record){ .sequence = reserve->sequence + 1,
                                       .kind = DS_RECORD_SETTLE,
                                       .id = reserve->id,
                                       .tokens = 400,
                                       .input_tokens = 100,
                                       .output_tokens = 300 };
    }
  return records;
}

/* Measures a backup of three hosts.  */
static void
measure_backup (void)
{
  static const uint32_t minutes[] = { 2, 5, 10, 15, 20 };

  for (size_t i = 0; i < ARRAY_LENGTH (minutes); i++)
    {
      uint32_t requests = minutes[i] * 510;
      struct ds_record *records = make_records (requests, 20000);
      struct ds_backup_store *store;
      struct ds_backup_ack ack;
      double before = heap_bytes ();
      double begin = cpu_seconds ();

      if (ds_backup_new (&store, NULL) < 0)
        abort ();
      for (uint64_t host = 1; host <= 3; host++)
        for (size_t n = 0; n < (size_t)requests * 2; n++)
          if (ds_backup_append (&ack, store, host, 0, false, 0, &records[n], 1)
                  < 0
              || ack.unknown)
            abort ();
      print_result ("backup_append_cpu_ms", 6.0 * requests,
                    (cpu_seconds () - begin) * 1e3);
      print_result ("backup_memory_bytes", 6.0 * requests,
                    heap_bytes () - before);
      ds_backup_free (store);
      talloc_free (records);
    }
}

/* Repeats the work of seal_pages in src/program/server_control.c for a crashed
   host: creates the sealed journal of each page from the page's records and
   all settlements.  Returns the CPU seconds.  */
static double
seal_all_pages (const struct ds_record *records, size_t total, uint32_t pages)
{
  double begin = cpu_seconds ();
  struct ds_record *page_records = g_new (struct ds_record, total + 1);

  for (uint32_t page = 0; page < pages; page++)
    {
      struct ds_sealed_journal *seal;
      size_t count = 0;

      for (size_t i = 0; i < total; i++)
        if (records[i].kind == DS_RECORD_SETTLE
            || ds_page_of_budget (records[i].budget, pages) == page)
          page_records[count++] = records[i];
      if (ds_sealed_journal_new (&seal, NULL, 1, page_records, count) < 0)
        abort ();
      ds_sealed_journal_free (seal);
    }
  g_free (page_records);
  return cpu_seconds () - begin;
}

static void
measure_recovery (void)
{
  static const uint32_t minutes[] = { 2, 5, 10, 15, 20 };
  static const uint32_t pages[] = { 64, 128, 256, 512, 1024 };
  struct ds_record *records = make_records (REQUESTS_RETAINED, 20000);

  for (size_t i = 0; i < ARRAY_LENGTH (minutes); i++)
    print_result ("recovery_records_cpu_ms", minutes[i] * 1020.0,
                  seal_all_pages (records, (size_t)minutes[i] * 1020, PAGES)
                      * 1e3);
  for (size_t i = 0; i < ARRAY_LENGTH (pages); i++)
    print_result (
        "recovery_pages_cpu_ms", pages[i],
        seal_all_pages (records, (size_t)REQUESTS_RETAINED * 2, pages[i])
            * 1e3);
  talloc_free (records);
}

static struct ds_resource *
make_workspace (uint32_t number)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_resource *resource;
  json_t *json;
  char name[32];
  char budget[32];
  char key[65];

  (void)snprintf (name, sizeof name, "workspace-%06u", number);
  (void)snprintf (budget, sizeof budget, "budget-%06u", number % 20000);
  (void)snprintf (key, sizeof key, "%064x", number);
  json = json_pack ("{s:s, s:s, s:{s:s, s:i, s:[sss], s:[s]}}", "kind",
                    "Workspace", "name", name, "spec", "budget", budget,
                    "priority", 5, "offerings", "model-01", "model-02",
                    "model-03", "key_sha256", key);
  if (ds_resource_from_json (&resource, NULL, json, &error) < 0)
    {
      (void)fprintf (stderr, "%s\n", error.message);
      abort ();
    }
  json_decref (json);
  return resource;
}

static void
measure_workspaces (void)
{
  static const uint32_t sizes[] = { 5000, 10000, 20000, 30000, 43000 };

  for (size_t i = 0; i < ARRAY_LENGTH (sizes); i++)
    {
      double before = heap_bytes ();
      double begin = cpu_seconds ();
      struct ds_catalogue *catalogue;

      if (ds_catalogue_new (&catalogue, NULL) < 0)
        abort ();
      for (uint32_t n = 0; n < sizes[i]; n++)
        {
          struct ds_resource *resource = make_workspace (n);

          if (ds_catalogue_put (catalogue, DS_STR ("Workspace"),
                                resource->name, n + 1, resource)
              < 0)
            abort ();
        }
      print_result ("workspaces_put_cpu_ms", sizes[i],
                    (cpu_seconds () - begin) * 1e3);
      print_result ("workspaces_memory_bytes", sizes[i],
                    heap_bytes () - before);
      ds_catalogue_free (catalogue);
    }
}

static void
apply_op (struct ds_ledger *ledger, const struct ds_ledger_op *op)
{
  if (ds_ledger_apply (ledger, op) < 0)
    abort ();
}

/* Makes a page of 20 budgets with grants of the first to HOLDERS hosts, with
   WRITERS writer entries and BILLS bills that are not archived.  */
static struct ds_ledger *
make_page (uint32_t holders, uint32_t writers, uint32_t bills)
{
  struct ds_ledger *ledger;
  char buffer[32];

  if (ds_ledger_new (&ledger, NULL) < 0)
    abort ();
  for (uint32_t i = 0; i < 20; i++)
    {
      struct ds_ledger_op op = {
        .kind = DS_LEDGER_SET_LIMIT,
        .budget = format_str (buffer, sizeof buffer, "budget-%06u", i),
        .set_limit = { .prepaid = 1000000000000, .budget_version = 100 + i },
      };

      apply_op (ledger, &op);
    }
  for (uint64_t i = 0; i < (writers > holders ? writers : holders); i++)
    {
      uint64_t incarnation = (i + 1) * 0x9e3779b97f4a7c15U;
      struct ds_ledger_op op
          = { .kind = DS_LEDGER_DRAW,
              .incarnation = incarnation,
              .budget = DS_STR ("budget-000000"),
              .draw = { .wanted = 10000000, .minimum = 1 } };

      if (ds_ledger_record_update (ledger, incarnation, 1000 + i) < 0)
        abort ();
      if (i < holders)
        apply_op (ledger, &op);
    }
  for (uint32_t i = 0; i < bills; i++)
    {
      struct ds_ledger_op op = {
        .kind = DS_LEDGER_SETTLE,
        .incarnation = 0x9e3779b97f4a7c15U,
        .budget = DS_STR ("budget-000000"),
        .settle = { .bill = { .id = make_request_id (i),
                              .budget = DS_STR ("budget-000000"),
                              .workspace = DS_STR ("workspace-000000"),
                              .offering = DS_STR ("model-07"),
                              .incarnation = 0x9e3779b97f4a7c15U,
                              .input_tokens = 100,
                              .output_tokens = 300,
                              .tokens = 400 },
                    .settle_sequence = i + 1 },
      };

      apply_op (ledger, &op);
    }
  return ledger;
}

/* Updates a page like a host: copies it, records the update, settles a bill,
   checks, encodes, and decodes as after a conflict.  */
static void
update_page (const struct ds_ledger *ledger, size_t *bytes)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_ledger *copy;
  struct ds_ledger *decoded;
  json_t *json;
  char *text;
  struct ds_ledger_op op = {
    .kind = DS_LEDGER_SETTLE,
    .incarnation = 0x9e3779b97f4a7c15U,
    .budget = DS_STR ("budget-000000"),
    .settle = { .bill = { .id = make_request_id (1 << 30),
                          .budget = DS_STR ("budget-000000"),
                          .workspace = DS_STR ("workspace-000000"),
                          .offering = DS_STR ("model-07"),
                          .tokens = 400 },
                .settle_sequence = 1 << 30 },
  };

  if (ds_ledger_copy (&copy, NULL, ledger) < 0
      || ds_ledger_record_update (copy, op.incarnation, 1 << 30) < 0)
    abort ();
  apply_op (copy, &op);
  if (ds_ledger_check (copy, NULL) < 0 || ds_ledger_to_json (&json, copy) < 0)
    abort ();
  text = json_dumps (json, JSON_COMPACT);
  *bytes = strlen (text);
  json_decref (json);
  json = json_loads (text, 0, NULL);
  if (ds_ledger_from_json (&decoded, NULL, json, &error) < 0)
    abort ();
  json_decref (json);
  free (text);
  ds_ledger_free (decoded);
  ds_ledger_free (copy);
}

static void
measure_page (const char *name, uint32_t size, uint32_t holders,
              uint32_t writers, uint32_t bills)
{
  struct ds_ledger *ledger = make_page (holders, writers, bills);
  const int rounds = size > 2000 ? 10 : 100;
  size_t bytes = 0;
  double begin;
  char quantity[64];

  /* The first updates run with cold caches.  */
  for (int i = 0; i < rounds / 2; i++)
    update_page (ledger, &bytes);
  begin = cpu_seconds ();
  for (int i = 0; i < rounds; i++)
    update_page (ledger, &bytes);
  (void)snprintf (quantity, sizeof quantity, "%s_update_cpu_us", name);
  print_result (quantity, size, (cpu_seconds () - begin) / rounds * 1e6);
  (void)snprintf (quantity, sizeof quantity, "%s_json_bytes", name);
  print_result (quantity, size, (double)bytes);
  ds_ledger_free (ledger);
}

static void
measure_pages (void)
{
  static const uint32_t holders[] = { 8, 50, 100, 200, 390 };
  static const uint32_t bills[] = { 8, 64, 256, 1024, 2048 };
  static const uint32_t writers[] = { 390, 1000, 2000, 4000, 8000 };

  for (size_t i = 0; i < ARRAY_LENGTH (holders); i++)
    measure_page ("page_holders", holders[i], holders[i], holders[i], 0);
  for (size_t i = 0; i < ARRAY_LENGTH (bills); i++)
    measure_page ("page_bills", bills[i], 8, 8, bills[i]);
  for (size_t i = 0; i < ARRAY_LENGTH (writers); i++)
    measure_page ("page_writers", writers[i], 8, writers[i], 0);
}

static struct ds_router *
make_router (uint32_t replicas)
{
  struct ds_router_options options = DS_ROUTER_OPTIONS_DEFAULT;
  struct ds_router *router;

  options.zone = DS_STR ("zone-1");
  if (ds_router_new (&router, NULL, &options) < 0)
    abort ();
  for (uint32_t i = 0; i < replicas; i++)
    {
      char name[32];
      char offering[32];
      char zone[32];
      struct ds_str offerings[1]
          = { format_str (offering, sizeof offering, "model-%02u", i % 13) };
      struct ds_upstream_spec spec = {
        .name = format_str (name, sizeof name, "replica-%04u", i),
        .address = DS_STR ("127.5.0.1:1"),
        .zone = format_str (zone, sizeof zone, "zone-%u", i % ZONES),
        .offerings = offerings,
        .offering_count = 1,
        .max_in_flight = 64,
        .version = i + 1,
      };

      if (ds_router_put_upstream (router, &spec, 1) < 0)
        abort ();
    }
  return router;
}

static void
route_one (struct ds_router *router, uint64_t number, uint64_t now,
           struct ds_route_decisions *decisions)
{
  char offering[32];
  struct ds_route_decision decision;
  struct ds_route_request request = {
    .handle = number + 1,
    .offering = format_str (offering, sizeof offering, "model-%02u",
                            (unsigned)(number % 13)),
    .priority = 5,
    .deadline_left_ms = 1000,
    .prefix_count = 8,
    .body_digest = number,
    .repeatable = true,
  };
  struct ds_attempt_end end = { .outcome = DS_ATTEMPT_COMPLETE };

  for (size_t i = 0; i < request.prefix_count; i++)
    request.prefix_digests[i] = (number % 500) * 131 + i;
  if (ds_router_submit (router, &request, now, &decision) < 0
      || decision.kind != DS_ROUTE_ATTEMPT)
    abort ();
  end.attempt = decision.attempt.attempt;
  if (ds_router_record_first_byte (router, end.attempt, now) < 0
      || ds_router_end_attempt (router, &end, now, decisions) < 0)
    abort ();
}

static void
measure_router (void)
{
  static const uint32_t sizes[] = { 65, 150, 300, 450, 600 };

  for (size_t i = 0; i < ARRAY_LENGTH (sizes); i++)
    {
      double before = heap_bytes ();
      struct ds_router *router = make_router (sizes[i]);
      struct ds_route_decisions decisions;
      const uint64_t rounds = 50000;
      double begin;

      print_result ("router_memory_bytes", sizes[i], heap_bytes () - before);
      if (ds_route_decisions_init (&decisions, NULL) < 0)
        abort ();
      begin = cpu_seconds ();
      for (uint64_t n = 0; n < rounds; n++)
        route_one (router, n, 20000 + n, &decisions);
      print_result ("router_decision_cpu_us", sizes[i],
                    (cpu_seconds () - begin) / (double)rounds * 1e6);
      begin = cpu_seconds ();
      for (uint64_t n = 0; n < 2000; n++)
        (void)ds_router_tick (router, 100000 + n * TICK_MS, &decisions);
      print_result ("router_tick_cpu_us", sizes[i],
                    (cpu_seconds () - begin) / 2000 * 1e6);
      ds_route_decisions_clear (&decisions);
      ds_router_free (router);
    }
}

static void
handle_fleet_event (struct ds_fleet *fleet, const struct ds_fleet_event *event,
                    uint64_t now)
{
  struct ds_fleet_actions actions;

  if (ds_fleet_actions_init (&actions, NULL) < 0)
    abort ();
  ds_fleet_handle (fleet, event, now, &actions);
  ds_fleet_actions_clear (&actions);
}

static struct ds_fleet *
make_fleet (uint32_t hosts)
{
  struct ds_fleet_options options = DS_FLEET_OPTIONS_DEFAULT;
  struct ds_fleet *fleet;

  options.incarnation = 1;
  options.host = DS_STR ("host-000");
  options.zone = DS_STR ("zone-0");
  options.peer_address = DS_STR ("127.5.0.1:18082");
  options.caller_address = DS_STR ("127.5.0.1:18080");
  options.page_count = PAGES;
  if (ds_fleet_new (&fleet, NULL, &options) < 0)
    abort ();
  for (uint32_t i = 1; i < hosts; i++)
    {
      char name[32];
      char zone[32];
      char peer[32];
      char caller[32];
      struct ds_host object = {
        .version = i,
        .incarnation = i * 0x9e3779b97f4a7c15U,
        .host = format_str (name, sizeof name, "host-%03u", i),
        .zone = format_str (zone, sizeof zone, "zone-%u", i % ZONES),
        .peer_address = format_str (peer, sizeof peer, "127.5.%u.%u:18082",
                                    i / 250, i % 250),
        .caller_address = format_str (caller, sizeof caller,
                                      "127.5.%u.%u:18080", i / 250, i % 250),
      };
      struct ds_fleet_event up = {
        .kind = DS_FLEET_PEER_UP,
        .peer_up = { .incarnation = object.incarnation,
                     .host = object.host,
                     .zone = object.zone,
                     .peer_address = object.peer_address },
      };
      struct ds_fleet_event updated
          = { .kind = DS_FLEET_HOST_UPDATED, .host = { .object = &object } };

      handle_fleet_event (fleet, &up, 1000);
      handle_fleet_event (fleet, &updated, 1000);
    }
  return fleet;
}

static size_t
make_address_response (struct ds_fleet *fleet, struct ds_str workspace)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  const struct ds_host **hosts;
  size_t count
      = ds_fleet_hosts_for_workspace (fleet, memory, workspace, &hosts);
  json_t *addresses = json_array ();
  char *text;
  size_t bytes;

  for (size_t i = 0; i < count; i++)
    json_array_append_new (addresses,
                           json_pack ("{s:s%, s:s%, s:i}", "address",
                                      hosts[i]->caller_address.data,
                                      hosts[i]->caller_address.length, "zone",
                                      hosts[i]->zone.data,
                                      hosts[i]->zone.length, "weight", 100));
  text = json_dumps (addresses, JSON_COMPACT);
  bytes = strlen (text);
  free (text);
  json_decref (addresses);
  talloc_free (memory);
  return bytes;
}

static void
measure_fleet (void)
{
  static const uint32_t sizes[] = { 12, 48, 100, 200, 390 };

  for (size_t i = 0; i < ARRAY_LENGTH (sizes); i++)
    {
      double before = heap_bytes ();
      struct ds_fleet *fleet = make_fleet (sizes[i]);
      struct ds_fleet_event tick = { .kind = DS_FLEET_TICK };
      size_t bytes = 0;
      double begin;

      print_result ("fleet_memory_bytes", sizes[i], heap_bytes () - before);
      begin = cpu_seconds ();
      for (uint64_t n = 0; n < 1000; n++)
        handle_fleet_event (fleet, &tick, 3000 + n * TICK_MS);
      print_result ("fleet_tick_cpu_us", sizes[i],
                    (cpu_seconds () - begin) / 1000 * 1e6);
      begin = cpu_seconds ();
      for (uint64_t n = 0; n < 500; n++)
        bytes = make_address_response (fleet, DS_STR ("workspace-000001"));
      print_result ("address_answer_cpu_us", sizes[i],
                    (cpu_seconds () - begin) / 500 * 1e6);
      print_result ("address_answer_bytes", sizes[i], (double)bytes);
      ds_fleet_free (fleet);
    }
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    void (*measure) (void);
  } parts[] = {
    { "budgets", measure_budgets }, { "workspaces", measure_workspaces },
    { "pages", measure_pages },     { "journal", measure_journal },
    { "backup", measure_backup },   { "recovery", measure_recovery },
    { "router", measure_router },   { "fleet", measure_fleet },
  };

  for (size_t i = 0; i < ARRAY_LENGTH (parts); i++)
    if (argc < 2 || strcmp (argv[1], parts[i].name) == 0)
      parts[i].measure ();
  return EXIT_SUCCESS;
}
