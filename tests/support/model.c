#include "model_internal.h"

void
model_fail (struct model *model, const char *format, ...)
{
  va_list arguments;

  if (model->failure[0] != '\0')
    return;
  va_start (arguments, format);
  (void)vsnprintf (model->failure, sizeof model->failure, format, arguments);
  va_end (arguments);
}

bool
model_has_weakness (const struct model *model, enum model_weakness weakness)
{
  return (model->options.weakness & weakness) != 0;
}

int
model_chance (struct model *model, int per_mille)
{
  return per_mille > 0
         && g_rand_int_range (model->random, 0, 1000) < per_mille;
}

char *
model_budget_name (TALLOC_CTX *owner, int budget)
{
  return talloc_asprintf (owner, "budget-%d", budget);
}

uint32_t
model_budget_page (const struct model *model, int budget)
{
  return (uint32_t)(budget % model->options.pages);
}

uint32_t
model_page_by_budget_name (const struct model *model, struct ds_str budget)
{
  return model_budget_page (model, budget.data[budget.length - 1] - '0');
}

void
model_release_message (gpointer data)
{
  struct message *message = data;

  talloc_free (message);
}

struct message *
model_send_message (struct model *model, enum message_kind kind, int from,
                    int to)
{
  struct message *message = talloc_zero (model->memory, struct message);

  message->kind = kind;
  message->from = from;
  message->to = to;
  if (from != PLATFORM)
    message->from_incarnation = model->hosts[from].incarnation;
  if (to != PLATFORM)
    message->to_incarnation = model->hosts[to].incarnation;
  g_ptr_array_add (model->messages, message);
  return message;
}

int
model_find_host (const struct model *model, uint64_t incarnation)
{
  for (int i = 0; i < model->options.hosts; i++)
    if (model->hosts[i].is_alive && model->hosts[i].incarnation == incarnation)
      return i;
  return -1;
}

bool
model_can_connect (const struct model *model, int a, int b)
{
  return a >= 0 && b >= 0 && a != b && model->hosts[a].is_alive
         && model->hosts[b].is_alive && !model->is_cut[a][b]
         && !model->hosts[a].is_disconnected
         && !model->hosts[b].is_disconnected;
}

/* Events.  */

void
model_handle_shard_event (struct model *model, int host,
                          struct ds_shard *shard, const struct ds_event *event)
{
  struct ds_actions actions;

  ds_actions_init (&actions, model->memory);
  ds_shard_handle (shard, event, model->now, &actions);
  model_apply_shard_actions (model, host, &actions);
  ds_actions_clear (&actions);
}

void
model_handle_fleet_event (struct model *model, int host,
                          const struct ds_fleet_event *event)
{
  struct ds_fleet_actions actions;

  ds_fleet_actions_init (&actions, model->memory);
  ds_fleet_handle (model->hosts[host].fleet, event, model->now, &actions);
  model_apply_fleet_actions (model, host, &actions);
  ds_fleet_actions_clear (&actions);
}

static struct ds_str
host_str (const char *text)
{
  return ds_str_from_c (text);
}

/* Reports to host AT that its link to PEER went up or down.  */
void
model_update_link (struct model *model, int at, int peer, bool is_up)
{
  const struct model_host *other = &model->hosts[peer];
  struct ds_fleet_event event = { .kind = DS_FLEET_PEER_DOWN };
  struct ds_event link = { .kind = DS_EVENT_BACKUP_LINK };

  if (!model->hosts[at].is_alive || (!is_up && model->link[at][peer] == 0))
    return;
  if (is_up && model->link[at][peer] != 0)
    model_update_link (model, at, peer, false);
  if (is_up)
    model->link[at][peer] = other->incarnation;
  link.backup_link.backup = model->link[at][peer];
  link.backup_link.is_up = is_up;
  model_handle_shard_event (model, at, model->hosts[at].shard, &link);
  event.peer_down.incarnation = model->link[at][peer];
  if (is_up)
    {
      event.kind = DS_FLEET_PEER_UP;
      event.peer_up.incarnation = other->incarnation;
      event.peer_up.host = host_str (other->name);
      event.peer_up.zone = host_str (other->zone);
      event.peer_up.peer_address = host_str (other->name);
    }
  else
    model->link[at][peer] = 0;
  model_handle_fleet_event (model, at, &event);
}

void
model_drop_messages_between (struct model *model, int a, int b)
{
  for (guint i = model->messages->len; i-- > 0;)
    {
      struct message *message = g_ptr_array_index (model->messages, i);

      if ((message->from == a && message->to == b)
          || (message->from == b && message->to == a))
        g_ptr_array_remove_index (model->messages, i);
    }
}

void
model_set_link (struct model *model, int a, int b, bool is_up)
{
  model_drop_messages_between (model, a, b);
  if (model->hosts[a].is_alive && model->hosts[b].is_alive)
    {
      model_update_link (model, a, b, is_up);
      model_update_link (model, b, a, is_up);
    }
}

/* Sends every budget to HOST.  */
void
model_declare_budgets (struct model *model, int host)
{
  for (int i = 0; i < model->options.budgets; i++)
    {
      char *name = model_budget_name (model->memory, i);
      struct ds_event event = {
        .kind = DS_EVENT_BUDGET,
        .budget = { .name = ds_str_from_c (name),
                    .page = model_budget_page (model, i),
                    .version = model->budget_version[i],
                    .prepaid = model->prepaid[i],
                    .draw_percent = 12,
                    .responsible = true },
      };

      model_handle_shard_event (model, host, model->hosts[host].shard, &event);
      talloc_free (name);
    }
}

static void
open_incarnation (struct model *model, int index)
{
  struct model_host *host = &model->hosts[index];
  struct ds_shard_options shard_options = DS_SHARD_OPTIONS_DEFAULT;
  struct ds_fleet_options fleet_options = DS_FLEET_OPTIONS_DEFAULT;
  struct ds_event floor
      = { .kind = DS_EVENT_SESSION_FLOOR, .session_floor = { .number = 1 } };

  host->incarnation = ++model->next_incarnation;
  shard_options.incarnation = host->incarnation;
  shard_options.random_seed = model->options.seed + host->incarnation;
  fleet_options.incarnation = host->incarnation;
  fleet_options.host = host_str (host->name);
  fleet_options.zone = host_str (host->zone);
  fleet_options.peer_address = host_str (host->name);
  fleet_options.caller_address = host_str (host->name);
  fleet_options.page_count = (uint32_t)model->options.pages;
  ds_shard_new (&host->shard, NULL, &shard_options);
  ds_fleet_new (&host->fleet, NULL, &fleet_options);
  model_handle_shard_event (model, index, host->shard, &floor);
  model_declare_budgets (model, index);
}

void
model_start_host (struct model *model, int index)
{
  struct model_host *host = &model->hosts[index];
  GHashTableIter iterator;
  gpointer object;

  host->is_alive = true;
  host->is_paused = false;
  host->is_disconnected = false;
  host->is_stopping = false;
  host->retired_shards = g_ptr_array_new ();
  (void)snprintf (host->name, sizeof host->name, "host%d", index);
  (void)snprintf (host->zone, sizeof host->zone, "zone%d", index % 3);
  ds_backup_new (&host->backups, NULL);
  open_incarnation (model, index);
  g_hash_table_iter_init (&iterator, model->host_objects);
  while (g_hash_table_iter_next (&iterator, NULL, &object))
    {
      struct ds_fleet_event event
          = { .kind = DS_FLEET_HOST_UPDATED, .host = { .object = object } };

      model_handle_fleet_event (model, index, &event);
    }
  for (int i = 0; i < model->options.hosts; i++)
    if (model_can_connect (model, index, i))
      {
        model_update_link (model, index, i, true);
        model_update_link (model, i, index, true);
      }
}

void
model_release_host (struct model_host *host)
{
  ds_shard_free (host->shard);
  ds_fleet_free (host->fleet);
  ds_backup_free (host->backups);
  for (guint i = 0; i < host->retired_shards->len; i++)
    ds_shard_free (g_ptr_array_index (host->retired_shards, i));
  g_ptr_array_free (host->retired_shards, TRUE);
}

static int
append_own_record (void *context, uint32_t shard,
                   const struct ds_record *record)
{
  (void)shard;
  g_array_append_val ((GArray *)context, *record);
  return 0;
}

/* Seals the pages for the host's previous incarnation with the journal of OLD,
   as the server does: its backups may have been sealed too and have dropped
   their records.  */
static void
seal_own_incarnation (struct model *model, int index, struct ds_shard *old)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct ds_record));
  struct ds_fleet_action action = { .kind = DS_FLEET_SEAL_PAGES };
  const struct ds_record *records;
  struct ds_backup_store *store;
  struct ds_backup_ack ack;
  size_t count;
  uint64_t last = ds_shard_journal (old, &records, &count);

  ds_backup_new (&store, NULL);
  (void)ds_backup_append (&ack, store, ds_shard_incarnation (old), 0, true,
                          last + 1, records, count);
  (void)ds_backup_visit_records (store, ds_shard_incarnation (old),
                                 append_own_record, all);
  action.seal_pages.incarnation = ds_shard_incarnation (old);
  action.seal_pages.records = (const struct ds_record *)all->data;
  action.seal_pages.count = all->len;
  model_seal_pages (model, index, &action);
  g_array_free (all, TRUE);
  ds_backup_free (store);
}

/* The current incarnation of the process has been sealed: opens the next one
   and keeps the old shard for the streams that still run.  */
void
model_open_next_incarnation (struct model *model, int index)
{
  struct model_host *host = &model->hosts[index];
  struct ds_shard *old = host->shard;
  GHashTableIter iterator;
  gpointer object;

  for (int i = 0; i < model->options.hosts; i++)
    if (model_can_connect (model, index, i))
      model_set_link (model, index, i, false);
  g_ptr_array_add (host->retired_shards, host->shard);
  ds_fleet_free (host->fleet);
  /* The records held for other hosts belong to the old incarnation.  */
  ds_backup_free (host->backups);
  ds_backup_new (&host->backups, NULL);
  open_incarnation (model, index);
  g_hash_table_iter_init (&iterator, model->host_objects);
  while (g_hash_table_iter_next (&iterator, NULL, &object))
    {
      struct ds_fleet_event event
          = { .kind = DS_FLEET_HOST_UPDATED, .host = { .object = object } };

      model_handle_fleet_event (model, index, &event);
    }
  for (int i = 0; i < model->options.hosts; i++)
    if (model_can_connect (model, index, i))
      model_set_link (model, index, i, true);
  seal_own_incarnation (model, index, old);
}

/* The current or retired shard of HOST with INCARNATION, or null.  */
struct ds_shard *
model_find_shard (const struct model *model, int host, uint64_t incarnation,
                  bool *is_current)
{
  const struct model_host *entry = &model->hosts[host];

  *is_current = entry->incarnation == incarnation;
  if (*is_current)
    return entry->shard;
  for (guint i = 0; i < entry->retired_shards->len; i++)
    {
      struct ds_shard *shard = g_ptr_array_index (entry->retired_shards, i);

      if (ds_shard_incarnation (shard) == incarnation)
        return shard;
    }
  return NULL;
}

/* Creates a fleet whose hosts all run and have received the budgets.  The
   caller releases it with model_free.  */
struct model *
model_new (const struct model_options *options)
{
  struct model *model = g_new0 (struct model, 1);

  model->options = *options;
  model->memory = talloc_new (NULL);
  model->random = g_rand_new_with_seed ((guint32)options->seed);
  model->now = 1000;
  model->is_platform_up = true;
  model->messages = g_ptr_array_new_with_free_func (model_release_message);
  model->requests = g_ptr_array_new_with_free_func (g_free);
  model->host_objects = g_hash_table_new (g_int64_hash, g_int64_equal);
  model->lost = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (int i = 0; i < options->pages; i++)
    model->archives[i]
        = g_array_new (FALSE, FALSE, sizeof (struct ds_ledger *));
  for (int i = 0; i < options->budgets; i++)
    {
      model->prepaid[i] = options->prepaid;
      model->highest_prepaid[i] = options->prepaid;
      model->budget_version[i] = ++model->next_version;
    }
  for (int i = 0; i < options->hosts; i++)
    model_start_host (model, i);
  return model;
}

void
model_free (struct model *model)
{
  for (int i = 0; i < model->options.hosts; i++)
    if (model->hosts[i].is_alive)
      model_release_host (&model->hosts[i]);
  for (int i = 0; i < model->options.pages; i++)
    g_array_free (model->archives[i], TRUE);
  g_ptr_array_free (model->messages, TRUE);
  g_ptr_array_free (model->requests, TRUE);
  g_hash_table_destroy (model->host_objects);
  g_hash_table_destroy (model->lost);
  g_rand_free (model->random);
  talloc_free (model->memory);
  g_free (model);
}

const char *
model_failure (const struct model *model)
{
  return model->failure[0] != '\0' ? model->failure : NULL;
}

struct model_totals
model_totals (const struct model *model)
{
  return model->totals;
}

int
model_arrive (struct model *model, int host, int budget, uint64_t reserve,
              uint64_t cost)
{
  struct model_request *request = g_new0 (struct model_request, 1);
  char *name = model_budget_name (model->memory, budget);
  struct ds_event event = { .kind = DS_EVENT_ARRIVE };

  g_ptr_array_add (model->requests, request);
  request->handle = model->requests->len;
  memcpy (request->id.bytes, &request->handle, sizeof request->handle);
  request->host = host;
  request->incarnation = model->hosts[host].incarnation;
  request->budget = budget;
  request->reserve = reserve;
  request->cost = cost;
  event.arrive.handle = request->handle;
  event.arrive.id = request->id;
  event.arrive.budget = ds_str_from_c (name);
  event.arrive.workspace = DS_STR ("workspace");
  event.arrive.offering = DS_STR ("offering");
  event.arrive.tokens = reserve;
  model->totals.arrived++;
  model_handle_shard_event (model, host, model->hosts[host].shard, &event);
  talloc_free (name);
  model_check (model);
  return (int)request->handle - 1;
}

bool
model_is_running (const struct model *model, int request)
{
  const struct model_request *entry
      = g_ptr_array_index (model->requests, (guint)request);

  return entry->dispatches > 0 && !entry->is_ended;
}

bool
model_was_refused (const struct model *model, int request)
{
  return ((const struct model_request *)g_ptr_array_index (model->requests,
                                                           (guint)request))
      ->is_refused;
}

int
model_bill_count (const struct model *model, int request)
{
  return ((const struct model_request *)g_ptr_array_index (model->requests,
                                                           (guint)request))
      ->bills;
}

void
model_end_request (struct model *model, int number)
{
  struct model_request *request
      = g_ptr_array_index (model->requests, (guint)number);
  bool is_current;
  struct ds_shard *shard;
  struct ds_event event = { .kind = DS_EVENT_END };

  if (request->dispatches == 0 || request->is_ended)
    return;
  request->is_ended = true;
  if (!model->hosts[request->host].is_alive)
    return;
  shard = model_find_shard (model, request->host, request->incarnation,
                            &is_current);
  if (shard == NULL)
    return;
  event.end.handle = request->handle;
  event.end.end = DS_END_COMPLETE;
  event.end.tokens = request->cost;
  event.end.output_tokens = request->cost;
  model_handle_shard_event (model, request->host, shard, &event);
  model_check (model);
}

/* The state of REQUEST at a host that has recovered the request's host.  All
   requests of a host belong to its session 1.  */
static const char *
query_recovered_state (struct model *model, int host,
                       struct model_request *request)
{
  char text[48];

  (void)snprintf (text, sizeof text, "%016" PRIx64 "-1.%" PRIu64,
                  request->incarnation, request->handle);
  switch (ds_fleet_recovered_request_state (model->hosts[host].fleet,
                                            request->incarnation, &request->id,
                                            ds_str_from_c (text)))
    {
    case DS_IDENTITY_CLAIMED:
      request->is_reported_not_run = true;
      model_check (model);
      return "no";
    case DS_IDENTITY_DONE:
      return "yes";
    default:
      return "unknown";
    }
}

const char *
model_repeat_request (struct model *model, int host, int number)
{
  struct model_request *request
      = g_ptr_array_index (model->requests, (guint)number);
  bool is_current;
  struct ds_shard *shard;

  if (!model->hosts[host].is_alive || model->hosts[host].is_paused)
    return "unknown";
  shard = model->hosts[request->host].is_alive
                  && !model->hosts[request->host].is_paused
                  && (host == request->host
                      || model_can_connect (model, host, request->host))
              ? model_find_shard (model, request->host, request->incarnation,
                                  &is_current)
              : NULL;
  if (shard == NULL)
    return query_recovered_state (model, host, request);
  switch (ds_shard_claim (shard, &request->id, model->now))
    {
    case DS_IDENTITY_NOT_SEEN:
    case DS_IDENTITY_CLAIMED:
      request->is_reported_not_run = true;
      model_check (model);
      return "no";
    case DS_IDENTITY_RUNNING:
    case DS_IDENTITY_DONE:
      return "yes";
    default:
      return "unknown";
    }
}

void
model_crash (struct model *model, int index)
{
  struct model_host *host = &model->hosts[index];

  if (!host->is_alive)
    return;
  for (int i = 0; i < model->options.hosts; i++)
    {
      model_drop_messages_between (model, index, i);
      if (i != index && !model->hosts[i].is_paused)
        model_update_link (model, i, index, false);
    }
  model_release_host (host);
  host->is_alive = false;
  memset (model->link[index], 0, sizeof model->link[index]);
}

void
model_restart (struct model *model, int host)
{
  if (!model->hosts[host].is_alive)
    model_start_host (model, host);
}

void
model_pause (struct model *model, int host)
{
  model->hosts[host].is_paused = true;
}

/* Closes the links of a paused host at its peers.  */
void
model_disconnect_paused (struct model *model, int host)
{
  if (!model->hosts[host].is_alive || !model->hosts[host].is_paused
      || model->hosts[host].is_disconnected)
    return;
  for (int i = 0; i < model->options.hosts; i++)
    if (model_can_connect (model, host, i))
      {
        model_drop_messages_between (model, host, i);
        model_update_link (model, i, host, false);
      }
  model->hosts[host].is_disconnected = true;
}

void
model_resume (struct model *model, int host)
{
  bool was_disconnected = model->hosts[host].is_disconnected;

  model->hosts[host].is_paused = false;
  model->hosts[host].is_disconnected = false;
  for (int i = 0; i < model->options.hosts; i++)
    {
      if (!was_disconnected && model->hosts[i].is_alive
          && model->hosts[i].incarnation == model->link[host][i])
        continue;
      model_update_link (model, host, i, false);
      if (model_can_connect (model, host, i))
        model_set_link (model, host, i, true);
    }
}

void
model_cut (struct model *model, int a, int b)
{
  if (model->is_cut[a][b])
    return;
  if (model_can_connect (model, a, b))
    model_set_link (model, a, b, false);
  model->is_cut[a][b] = model->is_cut[b][a] = true;
}

void
model_heal (struct model *model, int a, int b)
{
  if (!model->is_cut[a][b])
    return;
  model->is_cut[a][b] = model->is_cut[b][a] = false;
  if (model_can_connect (model, a, b))
    model_set_link (model, a, b, true);
}

void
model_set_platform_state (struct model *model, bool is_up)
{
  model->is_platform_up = is_up;
}

void
model_lose_responses (struct model *model, int count)
{
  model->responses_to_lose = count;
}

void
model_set_prepaid (struct model *model, int budget, uint64_t prepaid)
{
  model->prepaid[budget] = prepaid;
  model->budget_version[budget] = ++model->next_version;
  if (prepaid > model->highest_prepaid[budget])
    model->highest_prepaid[budget] = prepaid;
  for (int i = 0; i < model->options.hosts; i++)
    if (model->hosts[i].is_alive && !model->hosts[i].is_paused)
      model_declare_budgets (model, i);
  model_check (model);
}

void
model_stop_host (struct model *model, int host)
{
  struct ds_event event = { .kind = DS_EVENT_STOP };

  model->hosts[host].is_stopping = true;
  model_handle_shard_event (model, host, model->hosts[host].shard, &event);
  model_check (model);
}

void
model_run (struct model *model, uint64_t ms)
{
  uint64_t end = model->now + ms;

  while (model->now < end && model->failure[0] == '\0')
    {
      guint budget = 10000;

      model_tick_all (model);
      while (model->messages->len > 0 && budget-- > 0)
        {
          guint before = model->messages->len;

          model_deliver_random (model);
          if (model->messages->len >= before && budget < 9000)
            break;
        }
      model->now += 50;
    }
}

uint64_t
model_settled_tokens (const struct model *model, int budget)
{
  const struct ds_ledger *ledger
      = model->pages[model_budget_page (model, budget)].ledger;
  char *name = model_budget_name (model->memory, budget);
  const struct ds_account *account
      = ledger != NULL ? ds_ledger_account (ledger, ds_str_from_c (name))
                       : NULL;

  talloc_free (name);
  return account != NULL ? account->settled : 0;
}

uint64_t
model_granted_tokens (const struct model *model, int budget)
{
  const struct ds_ledger *ledger
      = model->pages[model_budget_page (model, budget)].ledger;
  char *name = model_budget_name (model->memory, budget);
  const struct ds_account *account
      = ledger != NULL ? ds_ledger_account (ledger, ds_str_from_c (name))
                       : NULL;

  talloc_free (name);
  return account != NULL ? ds_account_granted (account) : 0;
}

uint64_t
model_host_available_tokens (struct model *model, int host, int budget)
{
  char *name = model_budget_name (model->memory, budget);
  uint64_t available
      = ds_shard_available (model->hosts[host].shard, ds_str_from_c (name));

  talloc_free (name);
  return available;
}
