#include "program/server_internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <sys/random.h>
#include <sys/timerfd.h>
#include <unistd.h>

/* Interval of the decision core's timer events.  */
#define TICK_INTERVAL_MS 50
/* Requests of an expired session are kept for longer than this, see
   SESSION_LIFETIME_MS, so the floor is journaled before they are dropped.  */
#define SESSION_FLOOR_INTERVAL_MS 60000

static void execute_fleet_actions (struct ds_server *server,
                                   struct ds_fleet_actions *actions);

/* Handles EVENT in the fleet view and executes the actions without its
   lock.  */
void
server_fleet_handle_event (struct ds_server *server,
                           const struct ds_fleet_event *event)
{
  struct ds_fleet_actions actions;

  if (ds_fleet_actions_init (&actions, NULL) < 0)
    return;
  (void)pthread_mutex_lock (&server->fleet_lock);
  ds_fleet_handle (server->fleet, event, server_now (), &actions);
  (void)pthread_mutex_unlock (&server->fleet_lock);
  execute_fleet_actions (server, &actions);
  ds_fleet_actions_clear (&actions);
}

static void
propose_backups (struct ds_server *server,
                 const struct ds_fleet_action *action)
{
  struct ds_event event = {
    .kind = DS_EVENT_BACKUPS_PROPOSED,
    .backups
    = { .backups = action->propose.backups, .count = action->propose.count },
  };

  server_all_shards_handle_event (server->generation, &event);
}

/* Sends the COUNT records of the sealed INCARNATION to the ledger pages that
   they belong to.  A settlement has no budget and goes to every page; only the
   page with its reservation applies it.  */
static void
seal_pages (struct ds_server *server, uint64_t incarnation,
            const struct ds_record *all, size_t count)
{
  struct ds_record *records = g_new (struct ds_record, count + 1);

  for (uint32_t page = 0; page < server->settings->ledger_pages; page++)
    {
      struct ds_event event = {
        .kind = DS_EVENT_SEAL_HOLDER,
        .seal_holder
        = { .page = page, .incarnation = incarnation, .records = records },
      };

      for (size_t i = 0; i < count; i++)
        if (all[i].kind == DS_RECORD_SETTLE
            || server_page_of_budget (server, all[i].budget) == page)
          records[event.seal_holder.record_count++] = all[i];
      server_shard_handle_event (
          server->generation, server_shard_of_page (server->generation, page),
          &event);
    }
  g_free (records);
}

static int
collect_record (void *context, uint32_t shard, const struct ds_record *record)
{
  (void)shard;
  g_array_append_val ((GArray *)context, *record);
  return 0;
}

/* Recovers this process's sealed generation OLD from its own journal, which is
   never behind its backups.  The Host object of OLD is sealed already, and OLD
   dispatches nothing more.  Without this, two hosts that were each other's
   only backup and were both sealed would leave their bills and grants out of
   the ledger: no other host has the records that a recovery needs.  */
static void
recover_own_journal (struct ds_server *server, struct generation *old)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct ds_record));
  struct ds_backup_store *store;

  if (ds_backup_new (&store, NULL) < 0)
    g_error ("out of memory for a recovery");
  for (uint32_t i = 0; i < old->shard_count; i++)
    {
      const struct ds_record *records;
      struct ds_backup_ack ack;
      size_t count;
      uint64_t last;

      (void)pthread_mutex_lock (&old->shards[i].lock);
      last = ds_shard_journal (old->shards[i].shard, &records, &count);
      (void)ds_backup_append (&ack, store, old->incarnation, i, true, last + 1,
                              records, count);
      (void)pthread_mutex_unlock (&old->shards[i].lock);
    }
  (void)ds_backup_visit_records (store, old->incarnation, collect_record, all);
  seal_pages (server, old->incarnation, (const struct ds_record *)all->data,
              all->len);
  g_array_free (all, TRUE);
  ds_backup_free (store);
}

static void
seal_own_shards (struct ds_server *server)
{
  struct ds_event event = { .kind = DS_EVENT_SEALED };

  server_all_shards_handle_event (server->generation, &event);
}

static void
host_closed (struct ds_server *server, uint64_t incarnation)
{
  struct ds_event event = { .kind = DS_EVENT_HOST_CLOSED,
                            .host_closed = { .incarnation = incarnation } };
  struct closed_incarnation entry
      = { .incarnation = incarnation, .closed_at = server_now () };

  server_all_shards_handle_event (server->generation, &event);
  g_array_append_val (server->closed_incarnations, entry);
}

/* Drops the backup records of closed incarnations after the retention period
   of ended requests.  */
static void
drop_expired_records (struct ds_server *server)
{
  uint64_t now = server_now ();

  while (server->closed_incarnations->len > 0)
    {
      const struct closed_incarnation *first = &g_array_index (
          server->closed_incarnations, struct closed_incarnation, 0);

      if (now - first->closed_at < 2 * SESSION_LIFETIME_MS)
        return;
      ds_backup_drop_incarnation (server->backups, first->incarnation);
      g_array_remove_index (server->closed_incarnations, 0);
    }
}

static void
log_recovered (uint64_t incarnation)
{
  struct ds_log_fields fields = DS_LOG_FIELDS_DEFAULT;
  char peer[24];

  (void)snprintf (peer, sizeof peer, "%016" PRIx64, incarnation);
  fields.step = "recovery";
  fields.peer = peer;
  ds_metric_add (DS_METRIC_RECOVERIES, 1);
  ds_log (DS_LOG_INFO, &fields,
          "recovered: the tokens of the failed host are available again");
}

static void
execute_fleet_actions (struct ds_server *server,
                       struct ds_fleet_actions *actions)
{
  for (size_t i = 0; i < actions->count; i++)
    {
      const struct ds_fleet_action *action = &actions->items[i];
      struct ds_event adopted = { .kind = DS_EVENT_BACKUPS_ADOPTED };

      switch (action->kind)
        {
        case DS_FLEET_WRITE_HOST:
          server_host_write (server, action->host);
          break;
        case DS_FLEET_PROPOSE_BACKUPS:
          propose_backups (server, action);
          break;
        case DS_FLEET_ADOPT_BACKUPS:
          server_all_shards_handle_event (server->generation, &adopted);
          break;
        case DS_FLEET_SEND_SEAL:
          server_send_seal (server, action->send_seal.backup,
                            action->send_seal.incarnation);
          break;
        case DS_FLEET_SEAL_PAGES:
          seal_pages (server, action->seal_pages.incarnation,
                      action->seal_pages.records, action->seal_pages.count);
          break;
        case DS_FLEET_HOST_RECOVERED:
          log_recovered (action->recovered.incarnation);
          break;
        case DS_FLEET_HOST_CLOSED:
          host_closed (server, action->closed.incarnation);
          break;
        case DS_FLEET_DELETE_HOST:
          server_host_delete (server, action->host);
          break;
        case DS_FLEET_SELF_SEALED:
          seal_own_shards (server);
          break;
        case DS_FLEET_CONNECT:
          /* Earlier incarnations of this host have the same address.  */
          if (!ds_str_equal (action->link.peer_address,
                             server->settings->peer_address))
            (void)ds_peer_hub_add_target (server->hub, action->link.host,
                                          action->link.peer_address);
          break;
        case DS_FLEET_DISCONNECT:
          ds_peer_hub_remove_target (server->hub, action->link.host);
          break;
        }
    }
}

static void
on_shard_synced (struct generation *generation, uint32_t shard)
{
  struct ds_fleet_event event
      = { .kind = DS_FLEET_SHARD_SYNCED, .synced = { .shard = shard } };

  if (generation == generation->server->generation)
    server_fleet_handle_event (generation->server, &event);
}

static void
page_sealed (struct generation *generation, const struct ds_action *action)
{
  struct ds_fleet_event event = {
    .kind = DS_FLEET_PAGE_SEALED,
    .page_sealed = { .page = action->holder_sealed.page,
                     .incarnation = action->holder_sealed.incarnation,
                     .was_sealed = action->holder_sealed.was_sealed },
  };

  server_fleet_handle_event (generation->server, &event);
}

/* Another host has sealed this incarnation: all shards stop, and the next tick
   opens a new incarnation.  */
static void
on_incarnation_sealed (struct generation *generation)
{
  struct ds_server *server = generation->server;
  struct ds_event event = { .kind = DS_EVENT_SEALED };
  struct ds_log_fields fields = DS_LOG_FIELDS_DEFAULT;

  if (generation != server->generation || server->is_reopen_pending)
    return;
  server->is_reopen_pending = true;
  ds_metric_add (DS_METRIC_SEALED, 1);
  fields.step = "seal";
  ds_log (DS_LOG_WARNING, &fields,
          "another host has sealed this incarnation; opening a new one");
  server_all_shards_handle_event (generation, &event);
}

/* Executes a shard's action that belongs to the control thread.  */
void
server_execute_control_action (struct generation *generation, uint32_t shard,
                               const struct ds_action *action)
{
  switch (action->kind)
    {
    case DS_ACTION_JOURNAL_SEND:
      server_send_journal (generation, shard, &action->journal_send);
      break;
    case DS_ACTION_PAGE_READ:
      server_page_read (generation, action->page_read.page);
      break;
    case DS_ACTION_PAGE_WRITE:
      server_page_write (generation, action);
      break;
    case DS_ACTION_ARCHIVE_WRITE:
      server_archive_write (generation, action);
      break;
    case DS_ACTION_TOKEN_ASK:
    case DS_ACTION_TOKEN_GIVE:
      server_send_tokens (generation, action);
      break;
    case DS_ACTION_BACKUPS_SYNCED:
      on_shard_synced (generation, shard);
      break;
    case DS_ACTION_HOLDER_SEALED:
      page_sealed (generation, action);
      break;
    case DS_ACTION_SEALED:
      on_incarnation_sealed (generation);
      break;
    case DS_ACTION_STOPPED:
      if (generation == generation->server->generation)
        generation->server->stopped_shards++;
      break;
    case DS_ACTION_DISPATCH:
    case DS_ACTION_REFUSE:
    case DS_ACTION_DUPLICATE:
      /* Posted to the workers.  */
      break;
    }
}

static uint64_t
random_incarnation (void)
{
  uint64_t number = 0;

  while (number == 0)
    if (getrandom (&number, sizeof number, 0) != sizeof number)
      number = 0;
  return number;
}

static int
replace_fleet (struct ds_server *server, uint64_t incarnation)
{
  const struct ds_settings *settings = server->settings;
  struct ds_fleet_options options = DS_FLEET_OPTIONS_DEFAULT;
  struct ds_fleet *fleet;
  struct ds_fleet *old;

  options.incarnation = incarnation;
  options.host = settings->host;
  options.zone = settings->zone;
  options.peer_address = settings->peer_address;
  options.caller_address = settings->caller_address;
  options.shard_count = (uint32_t)settings->shards;
  options.page_count = (uint32_t)settings->ledger_pages;
  options.backups = (uint32_t)settings->backups;
  options.suspect_ms = settings->suspect_ms;
  if (ds_fleet_new (&fleet, NULL, &options) < 0)
    return DS_ENOMEM;
  (void)pthread_mutex_lock (&server->fleet_lock);
  old = server->fleet;
  server->fleet = fleet;
  (void)pthread_mutex_unlock (&server->fleet_lock);
  ds_fleet_free (old);
  return 0;
}

/* Opens an incarnation: shards, fleet view, peer links and the store of other
   hosts' records.  A sealed incarnation stays until its streams have
   ended.  */
static int
open_incarnation (struct ds_server *server, struct ds_error *error)
{
  uint64_t incarnation = random_incarnation ();
  struct generation *generation;

  if (server->generation_count == GENERATIONS_MAX)
    return ds_error_set (
        error, DS_ELIMIT, "open incarnation", NULL,
        "limit of %d incarnations reached; restart the process",
        GENERATIONS_MAX);
  if (server_generation_new (server, &generation, incarnation) < 0
      || replace_fleet (server, incarnation) < 0)
    return ds_error_set (error, DS_ENOMEM, "open incarnation", NULL,
                         "out of memory");
  server->generations[server->generation_count++] = generation;
  server->generation = generation;
  if (server->backups != NULL)
    ds_metric_add (DS_METRIC_BACKUP_RECORDS,
                   -(int64_t)ds_backup_record_count (server->backups));
  ds_backup_free (server->backups);
  server->backups = NULL;
  if (ds_backup_new (&server->backups, NULL) < 0)
    return ds_error_set (error, DS_ENOMEM, "open incarnation", NULL,
                         "out of memory");
  return server_peers_start (server, error);
}

/* Replaces the sealed incarnation by a new one.  */
int
server_open_next_incarnation (struct ds_server *server, struct ds_error *error)
{
  struct generation *old = server->generation;
  int result;

  server_peers_stop (server);
  server->session_floor_sent_at = 0;
  result = open_incarnation (server, error);
  server->is_reopen_pending = false;
  if (result < 0)
    return result;
  server_platform_replay (server);
  recover_own_journal (server, old);
  return 0;
}

static void
start_drain (struct ds_server *server)
{
  struct ds_fleet_event event = { .kind = DS_FLEET_DRAIN };
  struct ds_log_fields fields = DS_LOG_FIELDS_DEFAULT;

  if (server->is_draining)
    return;
  fields.step = "drain";
  ds_log (DS_LOG_INFO, &fields,
          "draining: no new sessions, requests in progress continue");
  server->is_draining = true;
  server->drain_started_at = server_now ();
  ds_peer_hub_set_draining (server->hub, true);
  server_fleet_handle_event (server, &event);
}

static void
stop_shards (struct ds_server *server)
{
  struct ds_event event = { .kind = DS_EVENT_STOP };

  server->is_closing = true;
  for (uint32_t i = 0; i < server->worker_count; i++)
    server_worker_quiesce (&server->workers[i]);
  server_all_shards_handle_event (server->generation, &event);
}

static bool
are_shards_idle (struct ds_server *server)
{
  for (uint32_t g = 0; g < server->generation_count; g++)
    {
      struct generation *generation = server->generations[g];

      for (uint32_t i = 0; i < generation->shard_count; i++)
        {
          bool idle;

          (void)pthread_mutex_lock (&generation->shards[i].lock);
          idle = ds_shard_is_idle (generation->shards[i].shard);
          (void)pthread_mutex_unlock (&generation->shards[i].lock);
          if (!idle)
            return false;
        }
    }
  return true;
}

/* Journals the lowest session whose requests are all kept, well before
   requests of older sessions are dropped.  */
static void
journal_session_floor (struct ds_server *server)
{
  struct generation *generation = server->generation;
  uint64_t now = server_now ();
  struct ds_event event = { .kind = DS_EVENT_SESSION_FLOOR };

  if (server->session_floor_sent_at > 0
      && now - server->session_floor_sent_at < SESSION_FLOOR_INTERVAL_MS)
    return;
  server->session_floor_sent_at = now;
  (void)pthread_mutex_lock (&generation->sessions_lock);
  event.session_floor.number
      = ds_sessions_lowest_open (generation->sessions, now);
  (void)pthread_mutex_unlock (&generation->sessions_lock);
  server_all_shards_handle_event (generation, &event);
}

/* Advances a shutdown: once callers no longer use a cached address and no
   request runs, returns the grants and closes the Host object.  */
static void
advance_drain (struct ds_server *server)
{
  const struct ds_settings *settings = server->settings;
  uint64_t elapsed_ms = server_now () - server->drain_started_at;
  struct ds_fleet_event event = { .kind = DS_FLEET_CLOSE };

  if (elapsed_ms >= settings->drain_max_ms)
    {
      ds_log (DS_LOG_WARNING, NULL,
              "drain_max_ms reached; stopping with requests in progress");
      server->is_done = true;
      return;
    }
  if (!server->is_closing)
    {
      if (elapsed_ms >= settings->drain_min_ms
          && ds_metric_get (DS_METRIC_REQUESTS_RUNNING) == 0
          && are_shards_idle (server))
        stop_shards (server);
      return;
    }
  if (server->stopped_shards < settings->shards || server->is_host_closed)
    return;
  if (!server->is_host_closing)
    {
      server->is_host_closing = true;
      server_fleet_handle_event (server, &event);
    }
}

static void
tick (struct tevent_context *events, struct tevent_fd *timer, uint16_t flags,
      void *private_data)
{
  struct ds_server *server = private_data;
  struct ds_event event = { .kind = DS_EVENT_TICK };
  struct ds_fleet_event fleet_event = { .kind = DS_FLEET_TICK };
  struct ds_error error = DS_ERROR_NONE;
  uint64_t expirations;

  (void)events;
  (void)timer;
  (void)flags;
  if (read (server->tick_fd, &expirations, sizeof expirations) < 0)
    return;
  if (server->is_reopen_pending
      && server_open_next_incarnation (server, &error) < 0)
    {
      ds_log_error (&error, NULL);
      server->is_done = true;
    }
  server_fleet_handle_event (server, &fleet_event);
  for (uint32_t g = 0; g < server->generation_count; g++)
    server_all_shards_handle_event (server->generations[g], &event);
  server_router_tick (server);
  server_expire_queries (server);
  journal_session_floor (server);
  drop_expired_records (server);
  if (server->is_draining)
    advance_drain (server);
}

/* Starts the tick timer on the monotonic clock; tevent's own timers stall
   while the wall clock is set back.  */
static int
start_ticks (struct ds_server *server, struct ds_error *error)
{
  const struct timespec period = { .tv_nsec = TICK_INTERVAL_MS * 1000000L };
  const struct itimerspec times
      = { .it_interval = period, .it_value = period };

  server->tick_fd
      = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (server->tick_fd < 0
      || timerfd_settime (server->tick_fd, 0, &times, NULL) != 0
      || tevent_add_fd (server->events, server->memory, server->tick_fd,
                        TEVENT_FD_READ, tick, server)
             == NULL)
    return ds_error_set (error, DS_EIO, "start", NULL,
                         "cannot create the tick timer");
  return 0;
}

static void
on_stop_signal (struct tevent_context *events, struct tevent_signal *event,
                int signum, int count, void *info, void *private_data)
{
  (void)events;
  (void)event;
  (void)signum;
  (void)count;
  (void)info;
  start_drain (private_data);
}

static void
on_dump_signal (struct tevent_context *events, struct tevent_signal *event,
                int signum, int count, void *info, void *private_data)
{
  json_t *dump = server_dump (private_data);
  char *text = json_dumps (dump, JSON_COMPACT);

  (void)events;
  (void)event;
  (void)signum;
  (void)count;
  (void)info;
  if (text != NULL)
    (void)fprintf (stderr, "%s\n", text);
  free (text);
  json_decref (dump);
}

/* Opens the first incarnation and installs the timer and signal handlers.  */
int
server_control_start (struct ds_server *server, struct ds_error *error)
{
  static const int stop_signals[] = { SIGTERM, SIGINT };
  int result = open_incarnation (server, error);

  if (result < 0)
    return result;
  for (size_t i = 0; i < G_N_ELEMENTS (stop_signals); i++)
    if (tevent_add_signal (server->events, server->memory, stop_signals[i], 0,
                           on_stop_signal, server)
        == NULL)
      return ds_error_set (error, DS_ENOMEM, "start", NULL, "out of memory");
  if (tevent_add_signal (server->events, server->memory, SIGUSR1, 0,
                         on_dump_signal, server)
      == NULL)
    return ds_error_set (error, DS_ENOMEM, "start", NULL, "out of memory");
  return start_ticks (server, error);
}
