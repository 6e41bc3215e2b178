#include "virtual_fleet.h"

#include "daisystep/backup.h"
#include "daisystep/fleet.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define PAGES_MAX 8
#define TICK_US 50000
#define PLATFORM (-1)

enum item_kind
{
  ITEM_TICK,
  ITEM_END,
  ITEM_LINK,
  ITEM_JOURNAL,
  ITEM_ACK,
  ITEM_SEAL,
  ITEM_SEAL_REPLY,
  ITEM_TOKEN_ASK,
  ITEM_TOKEN_GIVE,
  ITEM_PAGE_READ,
  ITEM_PAGE_WRITE,
  ITEM_ARCHIVE_WRITE,
  ITEM_HOST_WRITE,
  ITEM_PAGE_ANSWER,
  ITEM_PAGE_FAILED,
  ITEM_ARCHIVE_ANSWER,
  ITEM_HOST_ANSWER,
  ITEM_HOST_FAILED,
  ITEM_HOST_CHANGED
};

/* Something that happens at a time.  Items of the same time keep their order,
   so that links with a fixed delay do not reorder.  */
struct item
{
  uint64_t at;
  uint64_t order;
  enum item_kind kind;
  int from;
  int to;
  uint64_t from_incarnation;
  uint64_t to_incarnation;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t number;
  uint32_t page;
  bool flag;
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
  bool is_platform_cut;
  uint64_t incarnation;
  struct ds_shard *shard;
  struct ds_fleet *fleet;
  struct ds_backup_store *backups;
  /* Shards of earlier, sealed incarnations of the process.  */
  GPtrArray *retired;
  char name[24];
  char zone[24];
};

struct virtual_fleet
{
  struct virtual_options options;
  TALLOC_CTX *memory;
  uint64_t now;
  uint64_t next_order;
  uint64_t next_incarnation;
  uint64_t next_version;
  GPtrArray *queue;
  GPtrArray *requests;
  struct entry_host hosts[VIRTUAL_HOSTS_MAX];
  bool is_cut[VIRTUAL_HOSTS_MAX][VIRTUAL_HOSTS_MAX];
  uint64_t link[VIRTUAL_HOSTS_MAX][VIRTUAL_HOSTS_MAX];
  struct ds_ledger *pages[PAGES_MAX];
  GPtrArray *archives[PAGES_MAX];
  GHashTable *host_objects;
  /* Settled costs plus running reservations, by the upstreams' account.  */
  uint64_t taken[VIRTUAL_BUDGETS_MAX];
  struct ds_str budgets[VIRTUAL_BUDGETS_MAX];
  struct virtual_totals totals;
};

static void act_shard (struct virtual_fleet *fleet, int host,
                       struct ds_actions *actions);
static void act_fleet (struct virtual_fleet *fleet, int host,
                       struct ds_fleet_actions *actions);

/* The queue: a binary heap.  */

static bool
is_before (const struct item *a, const struct item *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void
swap_items (GPtrArray *queue, guint a, guint b)
{
  gpointer item = queue->pdata[a];

  queue->pdata[a] = queue->pdata[b];
  queue->pdata[b] = item;
}

static void
enqueue (struct virtual_fleet *fleet, struct item *item)
{
  GPtrArray *queue = fleet->queue;
  guint at = queue->len;

  item->order = ++fleet->next_order;
  g_ptr_array_add (queue, item);
  for (; at > 0 && is_before (queue->pdata[at], queue->pdata[(at - 1) / 2]);
       at = (at - 1) / 2)
    swap_items (queue, at, (at - 1) / 2);
}

static struct item *
dequeue (struct virtual_fleet *fleet)
{
  GPtrArray *queue = fleet->queue;
  struct item *first = queue->pdata[0];
  guint at = 0;

  swap_items (queue, 0, queue->len - 1);
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
      swap_items (queue, at, least);
      at = least;
    }
}

/* Adds an item that happens DELAY from now; the caller fills in the rest
   before the next item is taken.  */
static struct item *
schedule (struct virtual_fleet *fleet, enum item_kind kind, int from, int to,
          uint64_t delay)
{
  struct item *item = talloc_zero (fleet->memory, struct item);

  item->kind = kind;
  item->at = fleet->now + delay;
  item->from = from;
  item->to = to;
  if (from != PLATFORM)
    item->from_incarnation = fleet->hosts[from].incarnation;
  if (to != PLATFORM)
    item->to_incarnation = fleet->hosts[to].incarnation;
  enqueue (fleet, item);
  return item;
}

static uint64_t
link_delay (const struct virtual_fleet *fleet, int a, int b)
{
  return strcmp (fleet->hosts[a].zone, fleet->hosts[b].zone) == 0
             ? 100
             : fleet->options.zone_us;
}

static int
host_of (const struct virtual_fleet *fleet, uint64_t incarnation)
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
         && fleet->hosts[b].is_alive && !fleet->is_cut[a][b]
         && fleet->link[a][b] == fleet->hosts[b].incarnation;
}

static struct virtual_request *
request_at (const struct virtual_fleet *fleet, uint64_t handle)
{
  return g_ptr_array_index (fleet->requests, handle - 1);
}

/* Events.  */

static void
shard_event (struct virtual_fleet *fleet, int host, struct ds_shard *shard,
             const struct ds_event *event)
{
  struct ds_actions actions;

  ds_actions_init (&actions, NULL);
  ds_shard_handle (shard, event, fleet->now / 1000, &actions);
  act_shard (fleet, host, &actions);
  ds_actions_clear (&actions);
}

static void
fleet_event (struct virtual_fleet *fleet, int host,
             const struct ds_fleet_event *event)
{
  struct ds_fleet_actions actions;

  ds_fleet_actions_init (&actions, NULL);
  ds_fleet_handle (fleet->hosts[host].fleet, event, fleet->now / 1000,
                   &actions);
  act_fleet (fleet, host, &actions);
  ds_fleet_actions_clear (&actions);
}

/* Tells host AT that its link to PEER went up or down.  */
static void
link_event (struct virtual_fleet *fleet, int at, int peer, bool is_up)
{
  const struct entry_host *other = &fleet->hosts[peer];
  struct ds_fleet_event event = { .kind = DS_FLEET_PEER_DOWN };
  struct ds_event link = { .kind = DS_EVENT_BACKUP_LINK };

  if (!fleet->hosts[at].is_alive || (!is_up && fleet->link[at][peer] == 0))
    return;
  if (is_up && fleet->link[at][peer] != 0)
    link_event (fleet, at, peer, false);
  if (is_up)
    fleet->link[at][peer] = other->incarnation;
  link.backup_link.backup = fleet->link[at][peer];
  link.backup_link.is_up = is_up;
  event.peer_down.incarnation = fleet->link[at][peer];
  if (!is_up)
    fleet->link[at][peer] = 0;
  shard_event (fleet, at, fleet->hosts[at].shard, &link);
  if (is_up)
    {
      event.kind = DS_FLEET_PEER_UP;
      event.peer_up.incarnation = other->incarnation;
      event.peer_up.host = ds_str_from_c (other->name);
      event.peer_up.zone = ds_str_from_c (other->zone);
      event.peer_up.peer_address = ds_str_from_c (other->name);
    }
  fleet_event (fleet, at, &event);
}

static void
link_both (struct virtual_fleet *fleet, int a, int b, bool is_up)
{
  link_event (fleet, a, b, is_up);
  link_event (fleet, b, a, is_up);
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

      shard_event (fleet, host, fleet->hosts[host].shard, &event);
    }
}

static void
show_host_objects (struct virtual_fleet *fleet, int host)
{
  GList *objects = g_hash_table_get_values (fleet->host_objects);

  for (GList *item = objects; item != NULL; item = item->next)
    {
      struct item *change = schedule (fleet, ITEM_HOST_CHANGED, PLATFORM, host,
                                      fleet->options.platform_us);

      ds_host_copy (&change->host, change, item->data);
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
  options.suspect_ms = fleet->options.silent_us / 1000;
  ds_backup_new (&host->backups, NULL);
  ds_shard_new (&host->shard, NULL, &shard);
  ds_fleet_new (&host->fleet, NULL, &options);
  declare_budgets (fleet, index);
  show_host_objects (fleet, index);
}

static void
start_host (struct virtual_fleet *fleet, int index)
{
  struct entry_host *host = &fleet->hosts[index];

  host->is_alive = true;
  host->retired = g_ptr_array_new ();
  (void)snprintf (host->name, sizeof host->name, "host%d", index);
  (void)snprintf (host->zone, sizeof host->zone, "zone%d",
                  index % fleet->options.zones);
  open_incarnation (fleet, index);
  (void)schedule (fleet, ITEM_TICK, index, index,
                  (uint64_t)index * TICK_US / VIRTUAL_HOSTS_MAX);
}

/* The process was told that its incarnation is sealed: it opens another one
   and keeps the old shard for the requests that still run.  */
static void
reopen (struct virtual_fleet *fleet, int index)
{
  struct entry_host *host = &fleet->hosts[index];

  for (int i = 0; i < fleet->options.hosts; i++)
    if (i != index)
      link_both (fleet, index, i, false);
  g_ptr_array_add (host->retired, host->shard);
  ds_fleet_free (host->fleet);
  ds_backup_free (host->backups);
  open_incarnation (fleet, index);
  for (int i = 0; i < fleet->options.hosts; i++)
    if (i != index && fleet->hosts[i].is_alive && !fleet->is_cut[index][i])
      link_both (fleet, index, i, true);
}

/* The shard of HOST that has INCARNATION, also a retired one, or null.  */
static struct ds_shard *
shard_of (const struct virtual_fleet *fleet, int host, uint64_t incarnation)
{
  const struct entry_host *entry = &fleet->hosts[host];

  if (!entry->is_alive)
    return NULL;
  if (entry->incarnation == incarnation)
    return entry->shard;
  for (guint i = 0; i < entry->retired->len; i++)
    if (ds_shard_incarnation (g_ptr_array_index (entry->retired, i))
        == incarnation)
      return g_ptr_array_index (entry->retired, i);
  return NULL;
}

/* Platform.  */

static struct item *
answer (struct virtual_fleet *fleet, const struct item *call,
        enum item_kind kind)
{
  struct item *item = schedule (fleet, kind, PLATFORM, call->from,
                                fleet->options.platform_us);

  item->to_incarnation = call->from_incarnation;
  item->incarnation = call->incarnation;
  item->page = call->page;
  item->number = call->number;
  return item;
}

static void
serve_page (struct virtual_fleet *fleet, const struct item *call)
{
  struct ds_ledger **page = &fleet->pages[call->page];
  struct item *item = answer (fleet, call, ITEM_PAGE_ANSWER);

  if (call->kind == ITEM_PAGE_READ)
    fleet->totals.reads++;
  else
    {
      uint64_t version = *page != NULL ? (*page)->version : 0;

      fleet->totals.writes++;
      item->flag = call->number == version;
      if (!item->flag)
        fleet->totals.conflicts++;
      else
        {
          ds_ledger_free (*page);
          ds_ledger_copy (page, fleet->memory, call->ledger);
          (*page)->version = ++fleet->next_version;
          fleet->totals.page_bills
              = MAX (fleet->totals.page_bills, (*page)->bill_count);
        }
    }
  if (*page != NULL)
    ds_ledger_copy (&item->ledger, item, *page);
}

static void
serve_archive (struct virtual_fleet *fleet, const struct item *call)
{
  GPtrArray *archives = fleet->archives[call->page];

  fleet->totals.writes++;
  if (call->number == archives->len)
    {
      struct ds_ledger *copy;

      ds_ledger_copy (&copy, fleet->memory, call->ledger);
      g_ptr_array_add (archives, copy);
    }
  answer (fleet, call, ITEM_ARCHIVE_ANSWER)->flag = true;
}

static void
serve_host_write (struct virtual_fleet *fleet, const struct item *call)
{
  struct ds_host *present
      = g_hash_table_lookup (fleet->host_objects, &call->host->incarnation);
  uint64_t version = present != NULL ? present->version : 0;
  struct item *item = answer (fleet, call, ITEM_HOST_ANSWER);

  fleet->totals.writes++;
  item->flag = version == call->host->version;
  if (item->flag)
    {
      ds_host_copy (&present, fleet->memory, call->host);
      present->version = ++fleet->next_version;
      g_hash_table_replace (fleet->host_objects, &present->incarnation,
                            present);
      for (int i = 0; i < fleet->options.hosts; i++)
        if (fleet->hosts[i].is_alive && !fleet->hosts[i].is_platform_cut)
          {
            struct item *change = schedule (fleet, ITEM_HOST_CHANGED, PLATFORM,
                                            i, fleet->options.platform_us);

            ds_host_copy (&change->host, change, present);
          }
    }
  ds_host_copy (&item->host, item, present);
}

static void
serve_platform (struct virtual_fleet *fleet, const struct item *call)
{
  switch (call->kind)
    {
    case ITEM_PAGE_READ:
    case ITEM_PAGE_WRITE:
      serve_page (fleet, call);
      break;
    case ITEM_ARCHIVE_WRITE:
      serve_archive (fleet, call);
      break;
    default:
      serve_host_write (fleet, call);
      break;
    }
}

/* A call to the platform; one that cannot get through fails after the
   timeout.  */
static struct item *
call_platform (struct virtual_fleet *fleet, int host, enum item_kind kind,
               uint64_t incarnation)
{
  struct item *item;

  if (!fleet->hosts[host].is_platform_cut)
    item = schedule (fleet, kind, host, PLATFORM, fleet->options.platform_us);
  else
    {
      enum item_kind failed = kind == ITEM_HOST_WRITE ? ITEM_HOST_FAILED
                              : kind == ITEM_ARCHIVE_WRITE
                                  ? ITEM_ARCHIVE_ANSWER
                                  : ITEM_PAGE_FAILED;

      item = schedule (fleet, failed, PLATFORM, host,
                       fleet->options.platform_timeout_us);
    }
  item->incarnation = incarnation;
  return item;
}

/* Delivery to hosts.  */

static void
deliver_journal (struct virtual_fleet *fleet, const struct item *item)
{
  struct ds_backup_ack ack;
  struct item *reply;

  if (ds_backup_append (&ack, fleet->hosts[item->to].backups,
                        item->incarnation, 0, item->batch.is_copy,
                        item->batch.base, item->batch.records,
                        item->batch.count)
      < 0)
    return;
  reply = schedule (fleet, ITEM_ACK, item->to, item->from,
                    link_delay (fleet, item->to, item->from));
  reply->to_incarnation = item->from_incarnation;
  reply->incarnation = item->incarnation;
  reply->sequence = ack.sequence;
  reply->flag = ack.sealed;
  reply->is_known = !ack.unknown;
}

static void
deliver_ack (struct virtual_fleet *fleet, const struct item *item)
{
  struct ds_shard *shard = shard_of (fleet, item->to, item->incarnation);
  struct ds_event event = {
    .kind = DS_EVENT_JOURNAL_ACK,
    .journal_ack
    = { .backup = item->from_incarnation, .sequence = item->sequence },
  };

  if (shard == NULL)
    return;
  if (item->flag)
    event.kind = DS_EVENT_SEALED;
  else if (!item->is_known)
    {
      event.kind = DS_EVENT_JOURNAL_RESET;
      event.journal_reset.backup = item->from_incarnation;
    }
  shard_event (fleet, item->to, shard, &event);
}

struct collect
{
  TALLOC_CTX *owner;
  struct ds_sealed_shard *out;
};

static int
collect_record (void *context, uint32_t shard, const struct ds_record *record)
{
  struct collect *collect = context;
  struct ds_record *records
      = talloc_realloc (collect->owner, (void *)collect->out->records,
                        struct ds_record, collect->out->count + 1);
  struct ds_record *added = &records[collect->out->count];

  (void)shard;
  *added = *record;
  added->budget = ds_str_copy (collect->owner, record->budget);
  added->workspace = ds_str_copy (collect->owner, record->workspace);
  added->offering = ds_str_copy (collect->owner, record->offering);
  collect->out->count++;
  collect->out->records = records;
  return 0;
}

static void
collect_sequence (void *context, uint32_t shard, uint64_t sequence)
{
  struct collect *collect = context;

  collect->out->shard = shard;
  collect->out->sequence = sequence;
}

static void
deliver_seal (struct virtual_fleet *fleet, const struct item *item)
{
  const struct ds_backup_store *store = fleet->hosts[item->to].backups;
  struct item *reply = schedule (
      fleet, ITEM_SEAL_REPLY, item->to, item->from,
      item->to == item->from ? 0 : link_delay (fleet, item->to, item->from));
  struct collect collect = { .owner = reply, .out = &reply->sealed };

  reply->to_incarnation = item->from_incarnation;
  reply->incarnation = item->incarnation;
  ds_backup_seal (fleet->hosts[item->to].backups, item->incarnation,
                  &reply->is_known);
  if (!reply->is_known)
    return;
  ds_backup_visit_shards (store, item->incarnation, collect_sequence,
                          &collect);
  ds_backup_visit_records (store, item->incarnation, collect_record, &collect);
}

static void
deliver_seal_reply (struct virtual_fleet *fleet, const struct item *item)
{
  struct ds_fleet_event event = {
    .kind = DS_FLEET_SEAL_REPLY,
    .seal_reply = { .backup = item->from_incarnation,
                    .incarnation = item->incarnation,
                    .known = item->is_known,
                    .shards = &item->sealed,
                    .shard_count = 1 },
  };

  fleet_event (fleet, item->to, &event);
}

static void
deliver_tokens (struct virtual_fleet *fleet, const struct item *item)
{
  struct ds_event event = { .kind = DS_EVENT_TOKEN_ASK };

  if (item->kind == ITEM_TOKEN_ASK)
    {
      event.token_ask.budget = item->budget;
      event.token_ask.amount = item->number;
      event.token_ask.asker = item->from_incarnation;
    }
  else
    {
      event.kind = DS_EVENT_TOKEN_GIVE;
      event.token_give.budget = item->budget;
      event.token_give.giver = item->from_incarnation;
      event.token_give.receiver = item->to_incarnation;
      event.token_give.total = item->number;
    }
  shard_event (fleet, item->to, fleet->hosts[item->to].shard, &event);
}

static void
deliver_page (struct virtual_fleet *fleet, const struct item *item)
{
  struct ds_shard *shard = shard_of (fleet, item->to, item->incarnation);
  struct ds_event event = { .kind = DS_EVENT_PAGE_FAILED,
                            .page_failed = { .page = item->page } };

  if (shard == NULL)
    return;
  if (item->kind == ITEM_PAGE_ANSWER)
    {
      event.kind = DS_EVENT_PAGE;
      event.page.page = item->page;
      event.page.ledger = item->ledger;
      event.page.written = item->flag;
    }
  else if (item->kind == ITEM_ARCHIVE_ANSWER)
    {
      event.kind
          = item->flag ? DS_EVENT_ARCHIVE_WRITTEN : DS_EVENT_ARCHIVE_FAILED;
      event.archive_written.page = item->page;
      event.archive_written.number = item->number;
    }
  shard_event (fleet, item->to, shard, &event);
}

static void
deliver_host (struct virtual_fleet *fleet, const struct item *item)
{
  struct ds_fleet_event event = { .kind = DS_FLEET_HOST_UPDATED };

  event.host.object = item->host;
  if (item->kind == ITEM_HOST_ANSWER)
    event.kind
        = item->flag ? DS_FLEET_HOST_WRITTEN : DS_FLEET_HOST_WRITE_CONFLICT;
  else if (item->kind == ITEM_HOST_FAILED)
    {
      event.kind = DS_FLEET_HOST_WRITE_FAILED;
      event.object.incarnation = item->host->incarnation;
    }
  fleet_event (fleet, item->to, &event);
}

static void
tick_host (struct virtual_fleet *fleet, int index)
{
  struct entry_host *host = &fleet->hosts[index];
  struct ds_event event = { .kind = DS_EVENT_TICK };
  struct ds_fleet_event tick = { .kind = DS_FLEET_TICK };

  if (!host->is_alive)
    return;
  fleet_event (fleet, index, &tick);
  shard_event (fleet, index, host->shard, &event);
  for (guint i = 0; i < host->retired->len; i++)
    shard_event (fleet, index, g_ptr_array_index (host->retired, i), &event);
  (void)schedule (fleet, ITEM_TICK, index, index, TICK_US);
}

static void
end_request (struct virtual_fleet *fleet, uint64_t handle)
{
  struct virtual_request *request = request_at (fleet, handle);
  struct ds_shard *shard
      = shard_of (fleet, request->host, request->incarnation);
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
      /* Nobody saw the end: it counts at its reservation.  */
      request->is_lost = true;
      return;
    }
  fleet->taken[request->budget] -= request->reserve - request->cost;
  shard_event (fleet, request->host, shard, &event);
}

static bool
is_stale (const struct virtual_fleet *fleet, const struct item *item)
{
  const struct entry_host *to = &fleet->hosts[item->to];

  if (!to->is_alive)
    return true;
  if (item->from == PLATFORM)
    return item->to_incarnation != to->incarnation
           && shard_of (fleet, item->to, item->incarnation) == NULL;
  return item->to_incarnation != to->incarnation
         || (item->from != item->to && fleet->is_cut[item->from][item->to]);
}

static void
deliver_message (struct virtual_fleet *fleet, const struct item *item)
{
  if (is_stale (fleet, item))
    return;
  switch (item->kind)
    {
    case ITEM_JOURNAL:
      deliver_journal (fleet, item);
      break;
    case ITEM_ACK:
      deliver_ack (fleet, item);
      break;
    case ITEM_SEAL:
      deliver_seal (fleet, item);
      break;
    case ITEM_SEAL_REPLY:
      deliver_seal_reply (fleet, item);
      break;
    case ITEM_TOKEN_ASK:
    case ITEM_TOKEN_GIVE:
      deliver_tokens (fleet, item);
      break;
    case ITEM_PAGE_ANSWER:
    case ITEM_PAGE_FAILED:
    case ITEM_ARCHIVE_ANSWER:
      deliver_page (fleet, item);
      break;
    default:
      if (item->to_incarnation == fleet->hosts[item->to].incarnation)
        deliver_host (fleet, item);
      break;
    }
}

static void
happen (struct virtual_fleet *fleet, const struct item *item)
{
  if (item->to == PLATFORM)
    {
      serve_platform (fleet, item);
      return;
    }
  switch (item->kind)
    {
    case ITEM_TICK:
      tick_host (fleet, item->to);
      break;
    case ITEM_END:
      end_request (fleet, item->number);
      break;
    case ITEM_LINK:
      if (fleet->hosts[item->to].is_alive
          && (item->flag ? !fleet->is_cut[item->from][item->to]
                               && fleet->hosts[item->from].is_alive
                         : fleet->is_cut[item->from][item->to]
                               || !fleet->hosts[item->from].is_alive))
        link_event (fleet, item->to, item->from, item->flag);
      break;
    default:
      deliver_message (fleet, item);
      break;
    }
}

/* Actions.  */

static void
act_dispatch (struct virtual_fleet *fleet, uint64_t handle)
{
  struct virtual_request *request = request_at (fleet, handle);
  uint64_t *taken = &fleet->taken[request->budget];
  uint64_t prepaid = fleet->options.prepaid[request->budget];

  request->dispatches++;
  fleet->totals.dispatched++;
  *taken += request->reserve;
  if (*taken > prepaid && *taken - prepaid > fleet->totals.overspend)
    fleet->totals.overspend = *taken - prepaid;
  schedule (fleet, ITEM_END, request->host, request->host,
            request->duration_us)
      ->number
      = handle;
}

static void
act_refuse (struct virtual_fleet *fleet, const struct ds_action *action)
{
  struct virtual_request *request = request_at (fleet, action->refuse.handle);
  bool is_for_tokens
      = action->refuse.reason == DS_REFUSAL_BUDGET_EXHAUSTED
        || action->refuse.reason == DS_REFUSAL_PLATFORM_UNAVAILABLE;

  request->is_refused = true;
  request->is_answered_no = !action->refuse.is_outcome_unknown;
  request->reason = action->refuse.reason;
  fleet->totals.refused[action->refuse.reason]++;
  if (is_for_tokens
      && fleet->taken[request->budget] + request->reserve
             <= fleet->options.prepaid[request->budget])
    fleet->totals.false_refusals++;
}

static void
act_journal (struct virtual_fleet *fleet, int host,
             const struct ds_journal_batch *batch, uint64_t incarnation)
{
  int to = host_of (fleet, batch->backup);
  struct item *item;
  struct ds_record *records;

  if (!is_linked (fleet, host, to))
    return;
  item
      = schedule (fleet, ITEM_JOURNAL, host, to, link_delay (fleet, host, to));
  item->incarnation = incarnation;
  item->batch = *batch;
  records = talloc_array (item, struct ds_record, batch->count);
  for (size_t i = 0; i < batch->count; i++)
    {
      records[i] = batch->records[i];
      records[i].budget = ds_str_copy (records, records[i].budget);
      records[i].workspace = ds_str_copy (records, records[i].workspace);
      records[i].offering = ds_str_copy (records, records[i].offering);
    }
  item->batch.records = records;
}

static void
act_page (struct virtual_fleet *fleet, int host,
          const struct ds_action *action, uint64_t incarnation)
{
  struct item *call;

  switch (action->kind)
    {
    case DS_ACTION_PAGE_READ:
      call = call_platform (fleet, host, ITEM_PAGE_READ, incarnation);
      call->page = action->page_read.page;
      break;
    case DS_ACTION_PAGE_WRITE:
      call = call_platform (fleet, host, ITEM_PAGE_WRITE, incarnation);
      call->page = action->page_write.page;
      call->number = action->page_write.base_version;
      ds_ledger_copy (&call->ledger, call, action->page_write.ledger);
      break;
    default:
      call = call_platform (fleet, host, ITEM_ARCHIVE_WRITE, incarnation);
      call->page = action->archive_write.page;
      call->number = action->archive_write.number;
      ds_ledger_copy (&call->ledger, call, action->archive_write.ledger);
      break;
    }
}

static void
act_tokens (struct virtual_fleet *fleet, int host,
            const struct ds_action *action)
{
  bool is_ask = action->kind == DS_ACTION_TOKEN_ASK;
  int to = host_of (fleet, is_ask ? action->token_ask.holder
                                  : action->token_give.receiver);
  struct item *item;

  if (!is_linked (fleet, host, to))
    return;
  item = schedule (fleet, is_ask ? ITEM_TOKEN_ASK : ITEM_TOKEN_GIVE, host, to,
                   link_delay (fleet, host, to));
  item->budget = ds_str_copy (item, is_ask ? action->token_ask.budget
                                           : action->token_give.budget);
  item->number = is_ask ? action->token_ask.amount : action->token_give.total;
}

static void
act_shard (struct virtual_fleet *fleet, int host, struct ds_actions *actions)
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
          act_dispatch (fleet, action->dispatch.handle);
          break;
        case DS_ACTION_REFUSE:
          act_refuse (fleet, action);
          break;
        case DS_ACTION_JOURNAL_SEND:
          act_journal (fleet, host, &action->journal_send, incarnation);
          break;
        case DS_ACTION_PAGE_READ:
        case DS_ACTION_PAGE_WRITE:
        case DS_ACTION_ARCHIVE_WRITE:
          act_page (fleet, host, action, incarnation);
          break;
        case DS_ACTION_TOKEN_ASK:
        case DS_ACTION_TOKEN_GIVE:
          act_tokens (fleet, host, action);
          break;
        case DS_ACTION_BACKUPS_SYNCED:
          if (is_current)
            fleet_event (fleet, host, &event);
          break;
        case DS_ACTION_HOLDER_SEALED:
          event.kind = DS_FLEET_PAGE_SEALED;
          event.page_sealed.page = action->holder_sealed.page;
          event.page_sealed.incarnation = action->holder_sealed.incarnation;
          event.page_sealed.was_sealed = action->holder_sealed.was_sealed;
          fleet_event (fleet, host, &event);
          break;
        case DS_ACTION_SEALED:
          if (incarnation == fleet->hosts[host].incarnation)
            reopen (fleet, host);
          break;
        case DS_ACTION_DUPLICATE:
        case DS_ACTION_STOPPED:
          break;
        }
    }
}

static void
act_seal_pages (struct virtual_fleet *fleet, int host,
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
      shard_event (fleet, host, fleet->hosts[host].shard, &event);
    }
  talloc_free (records);
}

static void
act_send_seal (struct virtual_fleet *fleet, int host,
               const struct ds_fleet_action *action)
{
  int to = host_of (fleet, action->send_seal.backup);

  if (to != host && !is_linked (fleet, host, to))
    return;
  schedule (fleet, ITEM_SEAL, host, to,
            to == host ? 0 : link_delay (fleet, host, to))
      ->incarnation
      = action->send_seal.incarnation;
}

static void
act_fleet (struct virtual_fleet *fleet, int host,
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
            struct item *call
                = call_platform (fleet, host, ITEM_HOST_WRITE, incarnation);

            ds_host_copy (&call->host, call, action->host);
          }
          break;
        case DS_FLEET_PROPOSE_BACKUPS:
          event.kind = DS_EVENT_BACKUPS_PROPOSED;
          event.backups.backups = action->propose.backups;
          event.backups.count = action->propose.count;
          shard_event (fleet, host, fleet->hosts[host].shard, &event);
          break;
        case DS_FLEET_ADOPT_BACKUPS:
          event.kind = DS_EVENT_BACKUPS_ADOPTED;
          shard_event (fleet, host, fleet->hosts[host].shard, &event);
          break;
        case DS_FLEET_SEND_SEAL:
          act_send_seal (fleet, host, action);
          break;
        case DS_FLEET_SEAL_PAGES:
          act_seal_pages (fleet, host, action);
          break;
        case DS_FLEET_HOST_CLOSED:
          event.kind = DS_EVENT_HOST_CLOSED;
          event.host_closed.incarnation = action->closed.incarnation;
          shard_event (fleet, host, fleet->hosts[host].shard, &event);
          break;
        case DS_FLEET_HOST_RECOVERED:
          fleet->totals.recoveries++;
          break;
        case DS_FLEET_SELF_SEALED:
          shard_event (fleet, host, fleet->hosts[host].shard, &event);
          break;
        case DS_FLEET_DELETE_HOST:
        case DS_FLEET_CONNECT:
        case DS_FLEET_DISCONNECT:
          break;
        }
    }
}

/* Fills the pages with what was settled before the run.  */
static void
fill_pages (struct virtual_fleet *fleet)
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
        g_error ("cannot set a limit");
      ds_ledger_account (*page, fleet->budgets[i])->settled
          = fleet->options.settled[i];
      (*page)->version = ++fleet->next_version;
      fleet->taken[i] = fleet->options.settled[i];
    }
}

/* Makes a fleet whose hosts have just started and are linked.  */
struct virtual_fleet *
virtual_new (const struct virtual_options *options)
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
  fill_pages (fleet);
  for (int i = 0; i < options->hosts; i++)
    start_host (fleet, i);
  for (int i = 0; i < options->hosts; i++)
    for (int j = 0; j < i; j++)
      link_both (fleet, i, j, true);
  return fleet;
}

static void
release_host (struct entry_host *host)
{
  host->is_alive = false;
  ds_shard_free (host->shard);
  ds_fleet_free (host->fleet);
  ds_backup_free (host->backups);
  for (guint i = 0; i < host->retired->len; i++)
    ds_shard_free (g_ptr_array_index (host->retired, i));
  g_ptr_array_free (host->retired, TRUE);
}

void
virtual_free (struct virtual_fleet *fleet)
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
virtual_now (const struct virtual_fleet *fleet)
{
  return fleet->now;
}

struct virtual_totals
virtual_totals (const struct virtual_fleet *fleet)
{
  return fleet->totals;
}

/* Lets everything happen that is due up to AT_US.  */
void
virtual_run_until (struct virtual_fleet *fleet, uint64_t at_us)
{
  while (fleet->queue->len > 0
         && ((struct item *)fleet->queue->pdata[0])->at <= at_us)
    {
      struct item *item = dequeue (fleet);

      fleet->now = item->at;
      happen (fleet, item);
      talloc_free (item);
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

  shard_event (fleet, request->host, fleet->hosts[request->host].shard,
               &event);
}

int
virtual_arrive (struct virtual_fleet *fleet, int host, int budget,
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

/* A dispatch under the repeated handle would be a second run of the same
   request: it is counted there.  */
void
virtual_repeat (struct virtual_fleet *fleet, int number)
{
  const struct virtual_request *request = virtual_request_at (fleet, number);

  if (fleet->hosts[request->host].is_alive
      && fleet->hosts[request->host].incarnation == request->incarnation
      && !request->is_refused)
    send_request (fleet, request, request->handle);
}

enum ds_identity
virtual_ask_dead (struct virtual_fleet *fleet, int host, int number)
{
  struct virtual_request *request
      = g_ptr_array_index (fleet->requests, (guint)number);
  enum ds_identity known = ds_fleet_recovered_request_state (
      fleet->hosts[host].fleet, request->incarnation, &request->id,
      DS_STR_EMPTY);

  if (known == DS_IDENTITY_NOT_SEEN)
    request->is_answered_no = true;
  return known;
}

const struct virtual_request *
virtual_request_at (const struct virtual_fleet *fleet, int request)
{
  return g_ptr_array_index (fleet->requests, (guint)request);
}

int
virtual_request_count (const struct virtual_fleet *fleet)
{
  return (int)fleet->requests->len;
}

static void
count_bill (struct virtual_fleet *fleet, const struct ds_bill *bill)
{
  uint64_t handle;
  struct virtual_request *request;

  memcpy (&handle, bill->id.bytes, sizeof handle);
  request = request_at (fleet, handle);
  request->bills++;
  request->billed += bill->tokens;
  request->is_estimated = bill->estimated;
}

void
virtual_count_bills (struct virtual_fleet *fleet)
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

int
virtual_host_at (struct virtual_fleet *fleet, int budget, int rank)
{
  const struct ds_host **hosts = NULL;
  int found = rank % fleet->options.hosts;
  size_t count;

  count = ds_fleet_hosts_for_workspace (fleet->hosts[0].fleet, fleet->memory,
                                        fleet->budgets[budget], &hosts);
  if ((size_t)rank < count)
    found = host_of (fleet, hosts[rank]->incarnation);
  talloc_free (hosts);
  return found >= 0 ? found : 0;
}

bool
virtual_is_alive (const struct virtual_fleet *fleet, int host)
{
  return fleet->hosts[host].is_alive;
}

uint64_t
virtual_incarnation (const struct virtual_fleet *fleet, int host)
{
  return fleet->hosts[host].incarnation;
}

/* The host vanishes; its peers notice when their links have been silent. */
void
virtual_crash (struct virtual_fleet *fleet, int index)
{
  for (int i = 0; i < fleet->options.hosts; i++)
    if (i != index)
      (void)schedule (fleet, ITEM_LINK, index, i, fleet->options.silent_us);
  release_host (&fleet->hosts[index]);
  memset (fleet->link[index], 0, sizeof fleet->link[index]);
}

static void
schedule_links (struct virtual_fleet *fleet, int a, int b, bool is_up,
                uint64_t delay)
{
  schedule (fleet, ITEM_LINK, a, b, delay)->flag = is_up;
  schedule (fleet, ITEM_LINK, b, a, delay)->flag = is_up;
}

void
virtual_cut (struct virtual_fleet *fleet, int a, int b)
{
  fleet->is_cut[a][b] = fleet->is_cut[b][a] = true;
  schedule_links (fleet, a, b, false, fleet->options.silent_us);
}

/* The link is made again within a second.  */
void
virtual_heal (struct virtual_fleet *fleet, int a, int b)
{
  fleet->is_cut[a][b] = fleet->is_cut[b][a] = false;
  schedule_links (fleet, a, b, true, 1000000);
}

void
virtual_cut_platform (struct virtual_fleet *fleet, int host, bool is_cut)
{
  fleet->hosts[host].is_platform_cut = is_cut;
  if (!is_cut)
    show_host_objects (fleet, host);
}

bool
virtual_is_returned (const struct virtual_fleet *fleet, uint64_t incarnation)
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
