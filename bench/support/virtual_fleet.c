#include "virtual_fleet.h"

#include "daisystep/backup.h"
#include "daisystep/fleet.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define PAGES_MAX 8
#define TICK_US 50000
#define PLATFORM (-1)

enum sim_event_kind
{
  SIM_TICK,
  SIM_REQUEST_END,
  SIM_LINK_CHANGE,
  SIM_JOURNAL_APPEND,
  SIM_JOURNAL_ACK,
  SIM_SEAL,
  SIM_SEAL_REPLY,
  SIM_TOKEN_ASK,
  SIM_TOKEN_GIVE,
  SIM_PAGE_READ,
  SIM_PAGE_WRITE,
  SIM_ARCHIVE_WRITE,
  SIM_HOST_WRITE,
  SIM_PAGE_RESPONSE,
  SIM_PAGE_FAILED,
  SIM_ARCHIVE_RESPONSE,
  SIM_HOST_RESPONSE,
  SIM_HOST_FAILED,
  SIM_HOST_CHANGED
};

/* A scheduled event.  Events of the same time keep the order in which they
   were scheduled, so that links do not reorder messages.  */
struct sim_event
{
  uint64_t at;
  uint64_t order;
  enum sim_event_kind kind;
  int from;
  int to;
  uint64_t from_incarnation;
  uint64_t to_incarnation;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t number;
  uint32_t page;
  bool flag; /* link is up, write succeeded or journal is sealed */
  bool is_known;
  struct ds_str budget;
  struct ds_journal_batch batch;
  struct ds_ledger *ledger;
  struct ds_host *host;
  struct ds_sealed_shard sealed;
};

struct entry_host
{
  bool is_alive;
  bool is_platform_disconnected;
  uint64_t incarnation;
  struct ds_shard *shard;
  struct ds_fleet *fleet;
  struct ds_backup_store *backups;
  /* Shards of earlier, sealed incarnations of the process.  */
  GPtrArray *sealed_shards;
  char name[24];
  char zone[24];
};

struct virtual_fleet
{
  struct virtual_fleet_options options;
  TALLOC_CTX *memory;
  uint64_t now;
  uint64_t next_order;
  uint64_t next_incarnation;
  uint64_t next_version;
  GPtrArray *queue;
  GPtrArray *requests;
  struct entry_host hosts[VIRTUAL_FLEET_HOSTS_MAX];
  bool is_disconnected[VIRTUAL_FLEET_HOSTS_MAX][VIRTUAL_FLEET_HOSTS_MAX];
  uint64_t linked_incarnation[VIRTUAL_FLEET_HOSTS_MAX]
                             [VIRTUAL_FLEET_HOSTS_MAX];
  struct ds_ledger *pages[PAGES_MAX];
  GPtrArray *archives[PAGES_MAX];
  GHashTable *host_objects;
  /* Costs of ended requests plus the reservations of running ones, as the
     upstreams count them.  */
  uint64_t committed_tokens[VIRTUAL_FLEET_BUDGETS_MAX];
  struct ds_str budgets[VIRTUAL_FLEET_BUDGETS_MAX];
  struct virtual_fleet_totals totals;
};

static void apply_shard_actions (struct virtual_fleet *fleet, int host,
                                 struct ds_actions *actions);
static void apply_fleet_actions (struct virtual_fleet *fleet, int host,
                                 struct ds_fleet_actions *actions);

/* Event queue, a binary heap.  */

static bool
is_before (const struct sim_event *a, const struct sim_event *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void
swap_events (GPtrArray *queue, guint a, guint b)
{
  gpointer sim_event = queue->pdata[a];

  queue->pdata[a] = queue->pdata[b];
  queue->pdata[b] = sim_event;
}

static void
enqueue (struct virtual_fleet *fleet, struct sim_event *sim_event)
{
  GPtrArray *queue = fleet->queue;
  guint at = queue->len;

  sim_event->order = ++fleet->next_order;
  g_ptr_array_add (queue, sim_event);
  for (; at > 0 && is_before (queue->pdata[at], queue->pdata[(at - 1) / 2]);
       at = (at - 1) / 2)
    swap_events (queue, at, (at - 1) / 2);
}

static struct sim_event *
dequeue (struct virtual_fleet *fleet)
{
  GPtrArray *queue = fleet->queue;
  struct sim_event *first = queue->pdata[0];
  guint at = 0;

  swap_events (queue, 0, queue->len - 1);
  g_ptr_array_set_size (queue, (gint)queue->len - 1);
  for (;;)
    {
      guint least = at;

      for (guint child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < queue->len
            && is_before (queue->pdata[child], queue->pdata[least]))
          least = child;
      if (least == at)
        return first;
      swap_events (queue, at, least);
      at = least;
    }
}

/* Schedules an event DELAY microseconds from now.  The caller sets its other
   members before the next event is dequeued.  */
static struct sim_event *
schedule (struct virtual_fleet *fleet, enum sim_event_kind kind, int from,
          int to, uint64_t delay)
{
  struct sim_event *sim_event = talloc_zero (fleet->memory, struct sim_event);

  sim_event->kind = kind;
  sim_event->at = fleet->now + delay;
  sim_event->from = from;
  sim_event->to = to;
  if (from != PLATFORM)
    sim_event->from_incarnation = fleet->hosts[from].incarnation;
  if (to != PLATFORM)
    sim_event->to_incarnation = fleet->hosts[to].incarnation;
  enqueue (fleet, sim_event);
  return sim_event;
}

static uint64_t
link_delay (const struct virtual_fleet *fleet, int a, int b)
{
  return strcmp (fleet->hosts[a].zone, fleet->hosts[b].zone) == 0
             ? 100
             : fleet->options.cross_zone_delay_us;
}

static int
find_host (const struct virtual_fleet *fleet, uint64_t incarnation)
{
  for (int i = 0; i < fleet->options.hosts; i++)
    if (fleet->hosts[i].is_alive && fleet->hosts[i].incarnation == incarnation)
      return i;
  return -1;
}

static bool
is_linked (const struct virtual_fleet *fleet, int a, int b)
{
  return a >= 0 && b >= 0 && a != b && fleet->hosts[a].is_alive
         && fleet->hosts[b].is_alive && !fleet->is_disconnected[a][b]
         && fleet->linked_incarnation[a][b] == fleet->hosts[b].incarnation;
}

static struct virtual_request *
find_request (const struct virtual_fleet *fleet, uint64_t handle)
{
  return g_ptr_array_index (fleet->requests, handle - 1);
}

/* Events.  */

static void
handle_shard_event (struct virtual_fleet *fleet, int host,
                    struct ds_shard *shard, const struct ds_event *event)
{
  struct ds_actions actions;

  ds_actions_init (&actions, NULL);
  ds_shard_handle (shard, event, fleet->now / 1000, &actions);
  apply_shard_actions (fleet, host, &actions);
  ds_actions_clear (&actions);
}

static void
handle_fleet_event (struct virtual_fleet *fleet, int host,
                    const struct ds_fleet_event *event)
{
  struct ds_fleet_actions actions;

  ds_fleet_actions_init (&actions, NULL);
  ds_fleet_handle (fleet->hosts[host].fleet, event, fleet->now / 1000,
                   &actions);
  apply_fleet_actions (fleet, host, &actions);
  ds_fleet_actions_clear (&actions);
}

/* Reports to host AT that its link to PEER went up or down.  */
static void
set_link_state (struct virtual_fleet *fleet, int at, int peer, bool is_up)
{
  const struct entry_host *other = &fleet->hosts[peer];
  struct ds_fleet_event event = { .kind = DS_FLEET_PEER_DOWN };
  struct ds_event link = { .kind = DS_EVENT_BACKUP_LINK };

  if (!fleet->hosts[at].is_alive
      || (!is_up && fleet->linked_incarnation[at][peer] == 0))
    return;
  if (is_up && fleet->linked_incarnation[at][peer] != 0)
    set_link_state (fleet, at, peer, false);
  if (is_up)
    fleet->linked_incarnation[at][peer] = other->incarnation;
  link.backup_link.backup = fleet->linked_incarnation[at][peer];
  link.backup_link.is_up = is_up;
  event.peer_down.incarnation = fleet->linked_incarnation[at][peer];
  if (!is_up)
    fleet->linked_incarnation[at][peer] = 0;
  handle_shard_event (fleet, at, fleet->hosts[at].shard, &link);
  if (is_up)
    {
      event.kind = DS_FLEET_PEER_UP;
      event.peer_up.incarnation = other->incarnation;
      event.peer_up.host = ds_str_from_c (other->name);
      event.peer_up.zone = ds_str_from_c (other->zone);
      event.peer_up.peer_address = ds_str_from_c (other->name);
    }
  handle_fleet_event (fleet, at, &event);
}

static void
set_link_states (struct virtual_fleet *fleet, int a, int b, bool is_up)
{
  set_link_state (fleet, a, b, is_up);
  set_link_state (fleet, b, a, is_up);
}

static void
declare_budgets (struct virtual_fleet *fleet, int host)
{
  for (int i = 0; i < fleet->options.budgets; i++)
    {
      struct ds_event event = {
        .kind = DS_EVENT_BUDGET,
        .budget = { .name = fleet->budgets[i],
                    .page = ds_page_of_budget (fleet->budgets[i],
                                               (uint32_t)fleet->options.pages),
                    .version = (uint64_t)i + 1,
                    .prepaid = fleet->options.prepaid[i],
                    .draw_percent = fleet->options.draw_percent },
      };

      handle_shard_event (fleet, host, fleet->hosts[host].shard, &event);
    }
}

static void
schedule_host_changes (struct virtual_fleet *fleet, int host)
{
  GList *objects = g_hash_table_get_values (fleet->host_objects);

  for (GList *node = objects; node != NULL; node = node->next)
    {
      struct sim_event *change
          = schedule (fleet, SIM_HOST_CHANGED, PLATFORM, host,
                      fleet->options.platform_delay_us);

      ds_host_copy (&change->host, change, node->data);
    }
  g_list_free (objects);
}

static void
open_incarnation (struct virtual_fleet *fleet, int index)
{
  struct entry_host *host = &fleet->hosts[index];
  struct ds_shard_options shard = DS_SHARD_OPTIONS_DEFAULT;
  struct ds_fleet_options options = DS_FLEET_OPTIONS_DEFAULT;

  host->incarnation = ++fleet->next_incarnation;
  shard.incarnation = host->incarnation;
  shard.random_seed = fleet->options.seed + host->incarnation;
  options.incarnation = host->incarnation;
  options.host = ds_str_from_c (host->name);
  options.zone = ds_str_from_c (host->zone);
  options.peer_address = ds_str_from_c (host->name);
  options.caller_address = ds_str_from_c (host->name);
  options.page_count = (uint32_t)fleet->options.pages;
  options.suspect_ms = fleet->options.link_timeout_us / 1000;
  ds_backup_new (&host->backups, NULL);
  ds_shard_new (&host->shard, NULL, &shard);
  ds_fleet_new (&host->fleet, NULL, &options);
  declare_budgets (fleet, index);
  schedule_host_changes (fleet, index);
}

static void
start_host (struct virtual_fleet *fleet, int index)
{
  struct entry_host *host = &fleet->hosts[index];

  host->is_alive = true;
  host->sealed_shards = g_ptr_array_new ();
  (void)snprintf (host->name, sizeof host->name, "host%d", index);
  (void)snprintf (host->zone, sizeof host->zone, "zone%d",
                  index % fleet->options.zones);
  open_incarnation (fleet, index);
  (void)schedule (fleet, SIM_TICK, index, index,
                  (uint64_t)index * TICK_US / VIRTUAL_FLEET_HOSTS_MAX);
}

/* Opens a new incarnation after the current one was sealed and keeps the old
   shard for the requests that still run.  */
static void
open_after_seal (struct virtual_fleet *fleet, int index)
{
  struct entry_host *host = &fleet->hosts[index];

  for (int i = 0; i < fleet->options.hosts; i++)
    if (i != index)
      set_link_states (fleet, index, i, false);
  g_ptr_array_add (host->sealed_shards, host->shard);
  ds_fleet_free (host->fleet);
  ds_backup_free (host->backups);
  open_incarnation (fleet, index);
  for (int i = 0; i < fleet->options.hosts; i++)
    if (i != index && fleet->hosts[i].is_alive
        && !fleet->is_disconnected[index][i])
      set_link_states (fleet, index, i, true);
}

/* The shard of INCARNATION on HOST, also a sealed one, or null.  */
static struct ds_shard *
find_shard (const struct virtual_fleet *fleet, int host, uint64_t incarnation)
{
  const struct entry_host *entry = &fleet->hosts[host];

  if (!entry->is_alive)
    return NULL;
  if (entry->incarnation == incarnation)
    return entry->shard;
  for (guint i = 0; i < entry->sealed_shards->len; i++)
    if (ds_shard_incarnation (g_ptr_array_index (entry->sealed_shards, i))
        == incarnation)
      return g_ptr_array_index (entry->sealed_shards, i);
  return NULL;
}

/* Simulated platform.  */

static struct sim_event *
schedule_response (struct virtual_fleet *fleet, const struct sim_event *call,
                   enum sim_event_kind kind)
{
  struct sim_event *sim_event = schedule (fleet, kind, PLATFORM, call->from,
                                          fleet->options.platform_delay_us);

  sim_event->to_incarnation = call->from_incarnation;
  sim_event->incarnation = call->incarnation;
  sim_event->page = call->page;
  sim_event->number = call->number;
  return sim_event;
}

static void
serve_page (struct virtual_fleet *fleet, const struct sim_event *call)
{
  struct ds_ledger **page = &fleet->pages[call->page];
  struct sim_event *sim_event
      = schedule_response (fleet, call, SIM_PAGE_RESPONSE);

  if (call->kind == SIM_PAGE_READ)
    fleet->totals.reads++;
  else
    {
      uint64_t version = *page != NULL ? (*page)->version : 0;

      fleet->totals.writes++;
      sim_event->flag = call->number == version;
      if (!sim_event->flag)
        fleet->totals.conflicts++;
      else
        {
          ds_ledger_free (*page);
          ds_ledger_copy (page, fleet->memory, call->ledger);
          (*page)->version = ++fleet->next_version;
          fleet->totals.max_page_bills
              = MAX (fleet->totals.max_page_bills, (*page)->bill_count);
        }
    }
  if (*page != NULL)
    ds_ledger_copy (&sim_event->ledger, sim_event, *page);
}

static void
serve_archive (struct virtual_fleet *fleet, const struct sim_event *call)
{
  GPtrArray *archives = fleet->archives[call->page];

  fleet->totals.writes++;
  if (call->number == archives->len)
    {
      struct ds_ledger *copy;

      ds_ledger_copy (&copy, fleet->memory, call->ledger);
      g_ptr_array_add (archives, copy);
    }
  schedule_response (fleet, call, SIM_ARCHIVE_RESPONSE)->flag = true;
}

static void
serve_host_write (struct virtual_fleet *fleet, const struct sim_event *call)
{
  struct ds_host *present
      = g_hash_table_lookup (fleet->host_objects, &call->host->incarnation);
  uint64_t version = present != NULL ? present->version : 0;
  struct sim_event *sim_event
      = schedule_response (fleet, call, SIM_HOST_RESPONSE);

  fleet->totals.writes++;
  sim_event->flag = version == call->host->version;
  if (sim_event->flag)
    {
      ds_host_copy (&present, fleet->memory, call->host);
      present->version = ++fleet->next_version;
      g_hash_table_replace (fleet->host_objects, &present->incarnation,
                            present);
      for (int i = 0; i < fleet->options.hosts; i++)
        if (fleet->hosts[i].is_alive
            && !fleet->hosts[i].is_platform_disconnected)
          {
            struct sim_event *change
                = schedule (fleet, SIM_HOST_CHANGED, PLATFORM, i,
                            fleet->options.platform_delay_us);

            ds_host_copy (&change->host, change, present);
          }
    }
  ds_host_copy (&sim_event->host, sim_event, present);
}

static void
serve_platform (struct virtual_fleet *fleet, const struct sim_event *call)
{
  switch (call->kind)
    {
    case SIM_PAGE_READ:
    case SIM_PAGE_WRITE:
      serve_page (fleet, call);
      break;
    case SIM_ARCHIVE_WRITE:
      serve_archive (fleet, call);
      break;
    default:
      serve_host_write (fleet, call);
      break;
    }
}

/* Schedules a platform call; without a connection it fails after the
   timeout.  */
static struct sim_event *
call_platform (struct virtual_fleet *fleet, int host, enum sim_event_kind kind,
               uint64_t incarnation)
{
  struct sim_event *sim_event;

  if (!fleet->hosts[host].is_platform_disconnected)
    sim_event = schedule (fleet, kind, host, PLATFORM,
                          fleet->options.platform_delay_us);
  else
    {
      enum sim_event_kind failed = kind == SIM_HOST_WRITE ? SIM_HOST_FAILED
                                   : kind == SIM_ARCHIVE_WRITE
                                       ? SIM_ARCHIVE_RESPONSE
                                       : SIM_PAGE_FAILED;

      sim_event = schedule (fleet, failed, PLATFORM, host,
                            fleet->options.platform_timeout_us);
    }
  sim_event->incarnation = incarnation;
  return sim_event;
}

/* Delivery to hosts.  */

static void
deliver_journal (struct virtual_fleet *fleet,
                 const struct sim_event *sim_event)
{
  struct ds_backup_ack ack;
  struct sim_event *reply;

  if (ds_backup_append (&ack, fleet->hosts[sim_event->to].backups,
                        sim_event->incarnation, 0, sim_event->batch.is_copy,
                        sim_event->batch.base, sim_event->batch.records,
                        sim_event->batch.count)
      < 0)
    return;
  reply = schedule (fleet, SIM_JOURNAL_ACK, sim_event->to, sim_event->from,
                    link_delay (fleet, sim_event->to, sim_event->from));
  reply->to_incarnation = sim_event->from_incarnation;
  reply->incarnation = sim_event->incarnation;
  reply->sequence = ack.sequence;
  reply->flag = ack.sealed;
  reply->is_known = !ack.unknown;
}

static void
deliver_ack (struct virtual_fleet *fleet, const struct sim_event *sim_event)
{
  struct ds_shard *shard
      = find_shard (fleet, sim_event->to, sim_event->incarnation);
  struct ds_event event = {
    .kind = DS_EVENT_JOURNAL_ACK,
    .journal_ack = { .backup = sim_event->from_incarnation,
                     .sequence = sim_event->sequence },
  };

  if (shard == NULL)
    return;
  if (sim_event->flag)
    event.kind = DS_EVENT_SEALED;
  else if (!sim_event->is_known)
    {
      event.kind = DS_EVENT_JOURNAL_RESET;
      event.journal_reset.backup = sim_event->from_incarnation;
    }
  handle_shard_event (fleet, sim_event->to, shard, &event);
}

struct collector
{
  TALLOC_CTX *owner;
  struct ds_sealed_shard *out;
};

static int
collect_record (void *context, uint32_t shard, const struct ds_record *record)
{
  struct collector *collector = context;
  struct ds_record *records
      = talloc_realloc (collector->owner, (void *)collector->out->records,
                        struct ds_record, collector->out->count + 1);
  struct ds_record *added = &records[collector->out->count];

  (void)shard;
  *added = *record;
  added->budget = ds_str_copy (collector->owner, record->budget);
  added->workspace = ds_str_copy (collector->owner, record->workspace);
  added->offering = ds_str_copy (collector->owner, record->offering);
  collector->out->count++;
  collector->out->records = records;
  return 0;
}

static void
collect_sequence (void *context, uint32_t shard, uint64_t sequence)
{
  struct collector *collector = context;

  collector->out->shard = shard;
  collector->out->sequence = sequence;
}

static void
deliver_seal (struct virtual_fleet *fleet, const struct sim_event *sim_event)
{
  const struct ds_backup_store *store = fleet->hosts[sim_event->to].backups;
  struct sim_event *reply
      = schedule (fleet, SIM_SEAL_REPLY, sim_event->to, sim_event->from,
                  sim_event->to == sim_event->from
                      ? 0
                      : link_delay (fleet, sim_event->to, sim_event->from));
  struct collector collector = { .owner = reply, .out = &reply->sealed };

  reply->to_incarnation = sim_event->from_incarnation;
  reply->incarnation = sim_event->incarnation;
  ds_backup_seal (fleet->hosts[sim_event->to].backups, sim_event->incarnation,
                  &reply->is_known);
  if (!reply->is_known)
    return;
  ds_backup_visit_shards (store, sim_event->incarnation, collect_sequence,
                          &collector);
  ds_backup_visit_records (store, sim_event->incarnation, collect_record,
                           &collector);
}

static void
deliver_seal_reply (struct virtual_fleet *fleet,
                    const struct sim_event *sim_event)
{
  struct ds_fleet_event event = {
    .kind = DS_FLEET_SEAL_REPLY,
    .seal_reply = { .backup = sim_event->from_incarnation,
                    .incarnation = sim_event->incarnation,
                    .known = sim_event->is_known,
                    .shards = &sim_event->sealed,
                    .shard_count = 1 },
  };

  handle_fleet_event (fleet, sim_event->to, &event);
}

static void
deliver_tokens (struct virtual_fleet *fleet, const struct sim_event *sim_event)
{
  struct ds_event event = { .kind = DS_EVENT_TOKEN_ASK };

  if (sim_event->kind == SIM_TOKEN_ASK)
    {
      event.token_ask.budget = sim_event->budget;
      event.token_ask.amount = sim_event->number;
      event.token_ask.asker = sim_event->from_incarnation;
    }
  else
    {
      event.kind = DS_EVENT_TOKEN_GIVE;
      event.token_give.budget = sim_event->budget;
      event.token_give.giver = sim_event->from_incarnation;
      event.token_give.receiver = sim_event->to_incarnation;
      event.token_give.total = sim_event->number;
    }
  handle_shard_event (fleet, sim_event->to, fleet->hosts[sim_event->to].shard,
                      &event);
}

static void
deliver_page (struct virtual_fleet *fleet, const struct sim_event *sim_event)
{
  struct ds_shard *shard
      = find_shard (fleet, sim_event->to, sim_event->incarnation);
  struct ds_event event = { .kind = DS_EVENT_PAGE_FAILED,
                            .page_failed = { .page = sim_event->page } };

  if (shard == NULL)
    return;
  if (sim_event->kind == SIM_PAGE_RESPONSE)
    {
      event.kind = DS_EVENT_PAGE;
      event.page.page = sim_event->page;
      event.page.ledger = sim_event->ledger;
      event.page.written = sim_event->flag;
    }
  else if (sim_event->kind == SIM_ARCHIVE_RESPONSE)
    {
      event.kind = sim_event->flag ? DS_EVENT_ARCHIVE_WRITTEN
                                   : DS_EVENT_ARCHIVE_FAILED;
      event.archive_written.page = sim_event->page;
      event.archive_written.number = sim_event->number;
    }
  handle_shard_event (fleet, sim_event->to, shard, &event);
}

static void
deliver_host (struct virtual_fleet *fleet, const struct sim_event *sim_event)
{
  struct ds_fleet_event event = { .kind = DS_FLEET_HOST_UPDATED };

  event.host.object = sim_event->host;
  if (sim_event->kind == SIM_HOST_RESPONSE)
    event.kind = sim_event->flag ? DS_FLEET_HOST_WRITTEN
                                 : DS_FLEET_HOST_WRITE_CONFLICT;
  else if (sim_event->kind == SIM_HOST_FAILED)
    {
      event.kind = DS_FLEET_HOST_WRITE_FAILED;
      event.object.incarnation = sim_event->host->incarnation;
    }
  handle_fleet_event (fleet, sim_event->to, &event);
}

static void
tick_host (struct virtual_fleet *fleet, int index)
{
  struct entry_host *host = &fleet->hosts[index];
  struct ds_event event = { .kind = DS_EVENT_TICK };
  struct ds_fleet_event tick = { .kind = DS_FLEET_TICK };

  if (!host->is_alive)
    return;
  handle_fleet_event (fleet, index, &tick);
  handle_shard_event (fleet, index, host->shard, &event);
  for (guint i = 0; i < host->sealed_shards->len; i++)
    handle_shard_event (fleet, index,
                        g_ptr_array_index (host->sealed_shards, i), &event);
  (void)schedule (fleet, SIM_TICK, index, index, TICK_US);
}

static void
end_request (struct virtual_fleet *fleet, uint64_t handle)
{
  struct virtual_request *request = find_request (fleet, handle);
  struct ds_shard *shard
      = find_shard (fleet, request->host, request->incarnation);
  struct ds_event event = {
    .kind = DS_EVENT_END,
    .end = { .handle = handle,
             .end = DS_END_COMPLETE,
             .tokens = request->cost,
             .output_tokens = request->cost },
  };

  request->is_ended = true;
  if (shard == NULL)
    {
      /* No host saw the end: the reservation stays charged.  */
      request->is_lost = true;
      return;
    }
  fleet->committed_tokens[request->budget] -= request->reserve - request->cost;
  handle_shard_event (fleet, request->host, shard, &event);
}

static bool
is_stale (const struct virtual_fleet *fleet, const struct sim_event *sim_event)
{
  const struct entry_host *to = &fleet->hosts[sim_event->to];

  if (!to->is_alive)
    return true;
  if (sim_event->from == PLATFORM)
    return sim_event->to_incarnation != to->incarnation
           && find_shard (fleet, sim_event->to, sim_event->incarnation)
                  == NULL;
  return sim_event->to_incarnation != to->incarnation
         || (sim_event->from != sim_event->to
             && fleet->is_disconnected[sim_event->from][sim_event->to]);
}

static void
deliver_message (struct virtual_fleet *fleet,
                 const struct sim_event *sim_event)
{
  if (is_stale (fleet, sim_event))
    return;
  switch (sim_event->kind)
    {
    case SIM_JOURNAL_APPEND:
      deliver_journal (fleet, sim_event);
      break;
    case SIM_JOURNAL_ACK:
      deliver_ack (fleet, sim_event);
      break;
    case SIM_SEAL:
      deliver_seal (fleet, sim_event);
      break;
    case SIM_SEAL_REPLY:
      deliver_seal_reply (fleet, sim_event);
      break;
    case SIM_TOKEN_ASK:
    case SIM_TOKEN_GIVE:
      deliver_tokens (fleet, sim_event);
      break;
    case SIM_PAGE_RESPONSE:
    case SIM_PAGE_FAILED:
    case SIM_ARCHIVE_RESPONSE:
      deliver_page (fleet, sim_event);
      break;
    default:
      if (sim_event->to_incarnation == fleet->hosts[sim_event->to].incarnation)
        deliver_host (fleet, sim_event);
      break;
    }
}

static void
process_event (struct virtual_fleet *fleet, const struct sim_event *sim_event)
{
  if (sim_event->to == PLATFORM)
    {
      serve_platform (fleet, sim_event);
      return;
    }
  switch (sim_event->kind)
    {
    case SIM_TICK:
      tick_host (fleet, sim_event->to);
      break;
    case SIM_REQUEST_END:
      end_request (fleet, sim_event->number);
      break;
    case SIM_LINK_CHANGE:
      if (fleet->hosts[sim_event->to].is_alive
          && (sim_event->flag
                  ? !fleet->is_disconnected[sim_event->from][sim_event->to]
                        && fleet->hosts[sim_event->from].is_alive
                  : fleet->is_disconnected[sim_event->from][sim_event->to]
                        || !fleet->hosts[sim_event->from].is_alive))
        set_link_state (fleet, sim_event->to, sim_event->from,
                        sim_event->flag);
      break;
    default:
      deliver_message (fleet, sim_event);
      break;
    }
}

/* Actions.  */

static void
apply_dispatch (struct virtual_fleet *fleet, uint64_t handle)
{
  struct virtual_request *request = find_request (fleet, handle);
  uint64_t *committed_tokens = &fleet->committed_tokens[request->budget];
  uint64_t prepaid = fleet->options.prepaid[request->budget];

  request->dispatches++;
  fleet->totals.dispatched++;
  *committed_tokens += request->reserve;
  if (*committed_tokens > prepaid
      && *committed_tokens - prepaid > fleet->totals.overspend)
    fleet->totals.overspend = *committed_tokens - prepaid;
  schedule (fleet, SIM_REQUEST_END, request->host, request->host,
            request->duration_us)
      ->number
      = handle;
}

static void
apply_refusal (struct virtual_fleet *fleet, const struct ds_action *action)
{
  struct virtual_request *request
      = find_request (fleet, action->refuse.handle);
  bool is_for_tokens
      = action->refuse.reason == DS_REFUSAL_BUDGET_EXHAUSTED
        || action->refuse.reason == DS_REFUSAL_PLATFORM_UNAVAILABLE;

  request->is_refused = true;
  request->is_reported_not_run = !action->refuse.is_outcome_unknown;
  request->reason = action->refuse.reason;
  fleet->totals.refused[action->refuse.reason]++;
  if (is_for_tokens
      && fleet->committed_tokens[request->budget] + request->reserve
             <= fleet->options.prepaid[request->budget])
    fleet->totals.false_refusals++;
}

static void
send_journal (struct virtual_fleet *fleet, int host,
              const struct ds_journal_batch *batch, uint64_t incarnation)
{
  int to = find_host (fleet, batch->backup);
  struct sim_event *sim_event;
  struct ds_record *records;

  if (!is_linked (fleet, host, to))
    return;
  sim_event = schedule (fleet, SIM_JOURNAL_APPEND, host, to,
                        link_delay (fleet, host, to));
  sim_event->incarnation = incarnation;
  sim_event->batch = *batch;
  records = talloc_array (sim_event, struct ds_record, batch->count);
  for (size_t i = 0; i < batch->count; i++)
    {
      records[i] = batch->records[i];
      records[i].budget = ds_str_copy (records, records[i].budget);
      records[i].workspace = ds_str_copy (records, records[i].workspace);
      records[i].offering = ds_str_copy (records, records[i].offering);
    }
  sim_event->batch.records = records;
}

static void
call_page (struct virtual_fleet *fleet, int host,
           const struct ds_action *action, uint64_t incarnation)
{
  struct sim_event *call;

  switch (action->kind)
    {
    case DS_ACTION_PAGE_READ:
      call = call_platform (fleet, host, SIM_PAGE_READ, incarnation);
      call->page = action->page_read.page;
      break;
    case DS_ACTION_PAGE_WRITE:
      call = call_platform (fleet, host, SIM_PAGE_WRITE, incarnation);
      call->page = action->page_write.page;
      call->number = action->page_write.base_version;
      ds_ledger_copy (&call->ledger, call, action->page_write.ledger);
      break;
    default:
      call = call_platform (fleet, host, SIM_ARCHIVE_WRITE, incarnation);
      call->page = action->archive_write.page;
      call->number = action->archive_write.number;
      ds_ledger_copy (&call->ledger, call, action->archive_write.ledger);
      break;
    }
}

static void
send_token_message (struct virtual_fleet *fleet, int host,
                    const struct ds_action *action)
{
  bool is_ask = action->kind == DS_ACTION_TOKEN_ASK;
  int to = find_host (fleet, is_ask ? action->token_ask.holder
                                    : action->token_give.receiver);
  struct sim_event *sim_event;

  if (!is_linked (fleet, host, to))
    return;
  sim_event = schedule (fleet, is_ask ? SIM_TOKEN_ASK : SIM_TOKEN_GIVE, host,
                        to, link_delay (fleet, host, to));
  sim_event->budget
      = ds_str_copy (sim_event, is_ask ? action->token_ask.budget
                                       : action->token_give.budget);
  sim_event->number
      = is_ask ? action->token_ask.amount : action->token_give.total;
}

static void
apply_shard_actions (struct virtual_fleet *fleet, int host,
                     struct ds_actions *actions)
{
  uint64_t incarnation = actions->incarnation;
  bool is_current = incarnation == fleet->hosts[host].incarnation;

  for (size_t i = 0; i < actions->count; i++)
    {
      const struct ds_action *action = &actions->items[i];
      struct ds_fleet_event event = { .kind = DS_FLEET_SHARD_SYNCED };

      switch (action->kind)
        {
        case DS_ACTION_DISPATCH:
          apply_dispatch (fleet, action->dispatch.handle);
          break;
        case DS_ACTION_REFUSE:
          apply_refusal (fleet, action);
          break;
        case DS_ACTION_JOURNAL_SEND:
          send_journal (fleet, host, &action->journal_send, incarnation);
          break;
        case DS_ACTION_PAGE_READ:
        case DS_ACTION_PAGE_WRITE:
        case DS_ACTION_ARCHIVE_WRITE:
          call_page (fleet, host, action, incarnation);
          break;
        case DS_ACTION_TOKEN_ASK:
        case DS_ACTION_TOKEN_GIVE:
          send_token_message (fleet, host, action);
          break;
        case DS_ACTION_BACKUPS_SYNCED:
          if (is_current)
            handle_fleet_event (fleet, host, &event);
          break;
        case DS_ACTION_HOLDER_SEALED:
          event.kind = DS_FLEET_PAGE_SEALED;
          event.page_sealed.page = action->holder_sealed.page;
          event.page_sealed.incarnation = action->holder_sealed.incarnation;
          event.page_sealed.was_sealed = action->holder_sealed.was_sealed;
          handle_fleet_event (fleet, host, &event);
          break;
        case DS_ACTION_SEALED:
          if (incarnation == fleet->hosts[host].incarnation)
            open_after_seal (fleet, host);
          break;
        case DS_ACTION_DUPLICATE:
        case DS_ACTION_STOPPED:
          break;
        }
    }
}

static void
seal_pages_of_host (struct virtual_fleet *fleet, int host,
                    const struct ds_fleet_action *action)
{
  struct ds_record *records
      = talloc_array (NULL, struct ds_record, action->seal_pages.count + 1);

  for (uint32_t p = 0; p < (uint32_t)fleet->options.pages; p++)
    {
      size_t count = 0;
      struct ds_event event = { .kind = DS_EVENT_SEAL_HOLDER };

      for (size_t i = 0; i < action->seal_pages.count; i++)
        {
          const struct ds_record *record = &action->seal_pages.records[i];

          if (record->kind == DS_RECORD_SETTLE
              || ds_page_of_budget (record->budget,
                                    (uint32_t)fleet->options.pages)
                     == p)
            records[count++] = *record;
        }
      event.seal_holder.page = p;
      event.seal_holder.incarnation = action->seal_pages.incarnation;
      event.seal_holder.records = records;
      event.seal_holder.record_count = count;
      handle_shard_event (fleet, host, fleet->hosts[host].shard, &event);
    }
  talloc_free (records);
}

static void
send_seal_request (struct virtual_fleet *fleet, int host,
                   const struct ds_fleet_action *action)
{
  int to = find_host (fleet, action->send_seal.backup);

  if (to != host && !is_linked (fleet, host, to))
    return;
  schedule (fleet, SIM_SEAL, host, to,
            to == host ? 0 : link_delay (fleet, host, to))
      ->incarnation
      = action->send_seal.incarnation;
}

static void
apply_fleet_actions (struct virtual_fleet *fleet, int host,
                     struct ds_fleet_actions *actions)
{
  uint64_t incarnation = fleet->hosts[host].incarnation;

  for (size_t i = 0; i < actions->count; i++)
    {
      const struct ds_fleet_action *action = &actions->items[i];
      struct ds_event event = { .kind = DS_EVENT_SEALED };

      if (fleet->hosts[host].incarnation != incarnation)
        return;
      switch (action->kind)
        {
        case DS_FLEET_WRITE_HOST:
          {
            struct sim_event *call
                = call_platform (fleet, host, SIM_HOST_WRITE, incarnation);

            ds_host_copy (&call->host, call, action->host);
          }
          break;
        case DS_FLEET_PROPOSE_BACKUPS:
          event.kind = DS_EVENT_BACKUPS_PROPOSED;
          event.backups.backups = action->propose.backups;
          event.backups.count = action->propose.count;
          handle_shard_event (fleet, host, fleet->hosts[host].shard, &event);
          break;
        case DS_FLEET_ADOPT_BACKUPS:
          event.kind = DS_EVENT_BACKUPS_ADOPTED;
          handle_shard_event (fleet, host, fleet->hosts[host].shard, &event);
          break;
        case DS_FLEET_SEND_SEAL:
          send_seal_request (fleet, host, action);
          break;
        case DS_FLEET_SEAL_PAGES:
          seal_pages_of_host (fleet, host, action);
          break;
        case DS_FLEET_HOST_CLOSED:
          event.kind = DS_EVENT_HOST_CLOSED;
          event.host_closed.incarnation = action->closed.incarnation;
          handle_shard_event (fleet, host, fleet->hosts[host].shard, &event);
          break;
        case DS_FLEET_HOST_RECOVERED:
          fleet->totals.recoveries++;
          break;
        case DS_FLEET_SELF_SEALED:
          handle_shard_event (fleet, host, fleet->hosts[host].shard, &event);
          break;
        case DS_FLEET_DELETE_HOST:
        case DS_FLEET_CONNECT:
        case DS_FLEET_DISCONNECT:
          break;
        }
    }
}

/* Sets the budget limits and the initial settled tokens in the pages.  */
static void
init_pages (struct virtual_fleet *fleet)
{
  for (int i = 0; i < fleet->options.budgets; i++)
    {
      uint32_t number = ds_page_of_budget (fleet->budgets[i],
                                           (uint32_t)fleet->options.pages);
      struct ds_ledger **page = &fleet->pages[number];
      struct ds_ledger_op op = {
        .kind = DS_LEDGER_SET_LIMIT,
        .budget = fleet->budgets[i],
        .set_limit = { .prepaid = fleet->options.prepaid[i],
                       .budget_version = (uint64_t)i + 1 },
      };

      if (*page == NULL)
        ds_ledger_new (page, fleet->memory);
      if (ds_ledger_apply (*page, &op) < 0)
        g_error ("ledger page rejected the limit of a budget");
      ds_ledger_account (*page, fleet->budgets[i])->settled
          = fleet->options.settled[i];
      (*page)->version = ++fleet->next_version;
      fleet->committed_tokens[i] = fleet->options.settled[i];
    }
}

/* Creates a fleet whose hosts have just started and are connected.  */
struct virtual_fleet *
virtual_fleet_new (const struct virtual_fleet_options *options)
{
  struct virtual_fleet *fleet = g_new0 (struct virtual_fleet, 1);

  fleet->options = *options;
  fleet->memory = talloc_new (NULL);
  fleet->now = 1000000;
  fleet->queue = g_ptr_array_new ();
  fleet->requests = g_ptr_array_new_with_free_func (g_free);
  fleet->host_objects = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (int i = 0; i < options->pages; i++)
    fleet->archives[i] = g_ptr_array_new ();
  for (int i = 0; i < options->budgets; i++)
    fleet->budgets[i] = ds_str_from_c (
        talloc_asprintf (fleet->memory, "budget-%02d", i + 1));
  init_pages (fleet);
  for (int i = 0; i < options->hosts; i++)
    start_host (fleet, i);
  for (int i = 0; i < options->hosts; i++)
    for (int j = 0; j < i; j++)
      set_link_states (fleet, i, j, true);
  return fleet;
}

static void
release_host (struct entry_host *host)
{
  host->is_alive = false;
  ds_shard_free (host->shard);
  ds_fleet_free (host->fleet);
  ds_backup_free (host->backups);
  for (guint i = 0; i < host->sealed_shards->len; i++)
    ds_shard_free (g_ptr_array_index (host->sealed_shards, i));
  g_ptr_array_free (host->sealed_shards, TRUE);
}

void
virtual_fleet_free (struct virtual_fleet *fleet)
{
  for (int i = 0; i < fleet->options.hosts; i++)
    if (fleet->hosts[i].is_alive)
      release_host (&fleet->hosts[i]);
  for (int i = 0; i < fleet->options.pages; i++)
    g_ptr_array_free (fleet->archives[i], TRUE);
  g_ptr_array_free (fleet->queue, TRUE);
  g_ptr_array_free (fleet->requests, TRUE);
  g_hash_table_destroy (fleet->host_objects);
  talloc_free (fleet->memory);
  g_free (fleet);
}

uint64_t
virtual_fleet_now (const struct virtual_fleet *fleet)
{
  return fleet->now;
}

struct virtual_fleet_totals
virtual_fleet_totals (const struct virtual_fleet *fleet)
{
  return fleet->totals;
}

/* Processes the events that are due up to AT_US.  */
void
virtual_fleet_run_until (struct virtual_fleet *fleet, uint64_t at_us)
{
  while (fleet->queue->len > 0
         && ((struct sim_event *)fleet->queue->pdata[0])->at <= at_us)
    {
      struct sim_event *sim_event = dequeue (fleet);

      fleet->now = sim_event->at;
      process_event (fleet, sim_event);
      talloc_free (sim_event);
    }
  fleet->now = at_us;
}

static void
send_request (struct virtual_fleet *fleet,
              const struct virtual_request *request, uint64_t handle)
{
  struct ds_event event = {
    .kind = DS_EVENT_ARRIVE,
    .arrive = { .handle = handle,
                .id = request->id,
                .budget = fleet->budgets[request->budget],
                .workspace = fleet->budgets[request->budget],
                .offering = DS_STR ("chat"),
                .tokens = request->reserve },
  };

  handle_shard_event (fleet, request->host, fleet->hosts[request->host].shard,
                      &event);
}

/* Submits a new request at HOST; RESERVE and COST are tokens.  Returns its
   number, counted from zero.  */
int
virtual_fleet_submit (struct virtual_fleet *fleet, int host, int budget,
                      uint64_t reserve, uint64_t cost, uint64_t duration_us)
{
  struct virtual_request *request = g_new0 (struct virtual_request, 1);

  g_ptr_array_add (fleet->requests, request);
  request->handle = fleet->requests->len;
  memcpy (request->id.bytes, &request->handle, sizeof request->handle);
  request->host = host;
  request->incarnation = fleet->hosts[host].incarnation;
  request->budget = budget;
  request->reserve = reserve;
  request->cost = cost;
  request->duration_us = duration_us;
  fleet->totals.arrived++;
  send_request (fleet, request, request->handle);
  return (int)request->handle - 1;
}

/* Submits a request again at its host with the same id and handle.  A second
   run shows as a second dispatch of the request.  */
void
virtual_fleet_resubmit (struct virtual_fleet *fleet, int number)
{
  const struct virtual_request *request
      = virtual_fleet_request_at (fleet, number);

  if (fleet->hosts[request->host].is_alive
      && fleet->hosts[request->host].incarnation == request->incarnation
      && !request->is_refused)
    send_request (fleet, request, request->handle);
}

/* Queries HOST for the state of a request whose host has crashed.  */
enum ds_identity
virtual_fleet_query_recovered (struct virtual_fleet *fleet, int host,
                               int number)
{
  struct virtual_request *request
      = g_ptr_array_index (fleet->requests, (guint)number);
  enum ds_identity known = ds_fleet_recovered_request_state (
      fleet->hosts[host].fleet, request->incarnation, &request->id,
      DS_STR_EMPTY);

  if (known == DS_IDENTITY_NOT_SEEN)
    request->is_reported_not_run = true;
  return known;
}

const struct virtual_request *
virtual_fleet_request_at (const struct virtual_fleet *fleet, int request)
{
  return g_ptr_array_index (fleet->requests, (guint)request);
}

int
virtual_fleet_request_count (const struct virtual_fleet *fleet)
{
  return (int)fleet->requests->len;
}

static void
count_bill (struct virtual_fleet *fleet, const struct ds_bill *bill)
{
  uint64_t handle;
  struct virtual_request *request;

  memcpy (&handle, bill->id.bytes, sizeof handle);
  request = find_request (fleet, handle);
  request->bills++;
  request->billed += bill->tokens;
  request->is_estimated = bill->estimated;
}

/* Counts the bills in the platform for each request.  */
void
virtual_fleet_count_bills (struct virtual_fleet *fleet)
{
  for (guint i = 0; i < fleet->requests->len; i++)
    ((struct virtual_request *)fleet->requests->pdata[i])->bills = 0;
  for (int p = 0; p < fleet->options.pages; p++)
    {
      const struct ds_ledger *page = fleet->pages[p];

      if (page == NULL)
        continue;
      for (uint64_t i = 0; i < page->archived; i++)
        for (size_t j = 0; j < DS_LEDGER_ARCHIVE_BILLS; j++)
          count_bill (fleet, &((struct ds_ledger *)g_ptr_array_index (
                                   fleet->archives[p], i))
                                  ->bills[j]);
      for (size_t j = 0; j < page->bill_count; j++)
        count_bill (fleet, &page->bills[j]);
    }
}

/* The host at RANK in the address response for a budget's workspace.  */
int
virtual_fleet_host_at_rank (struct virtual_fleet *fleet, int budget, int rank)
{
  const struct ds_host **hosts = NULL;
  int found = rank % fleet->options.hosts;
  size_t count;

  count = ds_fleet_hosts_for_workspace (fleet->hosts[0].fleet, fleet->memory,
                                        fleet->budgets[budget], &hosts);
  if ((size_t)rank < count)
    found = find_host (fleet, hosts[rank]->incarnation);
  talloc_free (hosts);
  return found >= 0 ? found : 0;
}

bool
virtual_fleet_is_host_alive (const struct virtual_fleet *fleet, int host)
{
  return fleet->hosts[host].is_alive;
}

uint64_t
virtual_fleet_host_incarnation (const struct virtual_fleet *fleet, int host)
{
  return fleet->hosts[host].incarnation;
}

/* Stops the host; its peers detect this after the link timeout.  */
void
virtual_fleet_crash_host (struct virtual_fleet *fleet, int index)
{
  for (int i = 0; i < fleet->options.hosts; i++)
    if (i != index)
      (void)schedule (fleet, SIM_LINK_CHANGE, index, i,
                      fleet->options.link_timeout_us);
  release_host (&fleet->hosts[index]);
  memset (fleet->linked_incarnation[index], 0,
          sizeof fleet->linked_incarnation[index]);
}

static void
schedule_links (struct virtual_fleet *fleet, int a, int b, bool is_up,
                uint64_t delay)
{
  schedule (fleet, SIM_LINK_CHANGE, a, b, delay)->flag = is_up;
  schedule (fleet, SIM_LINK_CHANGE, b, a, delay)->flag = is_up;
}

void
virtual_fleet_disconnect_hosts (struct virtual_fleet *fleet, int a, int b)
{
  fleet->is_disconnected[a][b] = fleet->is_disconnected[b][a] = true;
  schedule_links (fleet, a, b, false, fleet->options.link_timeout_us);
}

/* The link comes up after one second.  */
void
virtual_fleet_reconnect_hosts (struct virtual_fleet *fleet, int a, int b)
{
  fleet->is_disconnected[a][b] = fleet->is_disconnected[b][a] = false;
  schedule_links (fleet, a, b, true, 1000000);
}

void
virtual_fleet_disconnect_platform (struct virtual_fleet *fleet, int host,
                                   bool is_disconnected)
{
  fleet->hosts[host].is_platform_disconnected = is_disconnected;
  if (!is_disconnected)
    schedule_host_changes (fleet, host);
}

/* Whether no page of the platform counts free tokens as granted to the crashed
   INCARNATION.  */
bool
virtual_fleet_is_grant_recovered (const struct virtual_fleet *fleet,
                                  uint64_t incarnation)
{
  for (int p = 0; p < fleet->options.pages; p++)
    for (size_t i = 0;
         fleet->pages[p] != NULL && i < fleet->pages[p]->account_count; i++)
      {
        const struct ds_holder *holder
            = ds_account_holder (&fleet->pages[p]->accounts[i], incarnation);

        if (holder != NULL && !holder->sealed && holder->granted > 0)
          return false;
      }
  return true;
}
