#include "entry/entry.h"
#include "base/decision_log.h"
#include "core/gossip_pace.h"
#include "core/ledger_page.h"
#include "daisystep/log.h"
#include "daisystep/metrics.h"
#include "entry/address_service.h"
#include "entry/budget_manager.h"
#include "entry/caller.h"
#include "entry/cold_starts.h"
#include "entry/crash_store.h"
#include "entry/entry_settings.h"
#include "entry/evacuation_watch.h"
#include "entry/exchange.h"
#include "entry/fleet_view.h"
#include "entry/host_monitor.h"
#include "entry/registration.h"
#include "entry/replica_log.h"
#include "entry/store_restore.h"
#include "entry/store_subjects.h"
#include "entry/store_watcher.h"
#include "entry/token_holdings.h"
#include "entry/unreadable_entry.h"
#include "entry/writer_ends.h"
#include "io/clock.h"
#include "io/event_context.h"
#include "io/tcp.h"
#include "io/timer.h"
#include "platform/config_codec.h"
#include "platform/names.h"

#include <inttypes.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

/* Interval of checks of the settings file, which may change without a
   signal.  */
#define SETTINGS_CHECK_MS 2000
/* Divisors of the time in which a configuration must take effect, and in which
   a draining replica may get requests: changes are batched for this part.  The
   rest covers a slow response and the reading of a large configuration.  */
#define CONFIG_BATCH_DIVISOR 6
#define DRAIN_BATCH_DIVISOR 3
/* Hosts seen within this time share budgets and retries.  */
#define SHARING_MEMBER_MS 30000
/* Time after SIGTERM in which new requests are accepted: callers resolve
   addresses again within a few seconds.  A later request may not end within
   the grace period.  */
#define ACCEPT_AFTER_TERM_MS 2800
/* Time before the end of the grace period that is reserved for the last update
   of the ledger.  */
#define FINAL_UPDATE_MS 600

/* Shortest interval of checks of the store because other hosts have lost
   it.  */
#define STORE_CHECK_INTERVAL_MS 3000

/* Readiness, address and metrics questions are GET requests.  */
#define QUESTION_BODY_BYTES_MAX 4096
/* Blocks from this size on are mapped by themselves, so that their memory goes
   back to the system once they are freed.  Without a fixed value, the library
   raises it to the largest block freed, and bodies of several MB stay in the
   heap.  Most configurations are smaller: they need no call to the system.  */
#define MAPPED_BLOCK_BYTES 1048576
#define HEAP_TRIM_BYTES 2097152

struct ds_entry
{
  struct tevent_context *ev;
  char *settings_path;
  struct ds_entry_settings *settings;
  struct timespec settings_changed;
  uint64_t settings_checked_ms;
  uint64_t incarnation;
  char *writer; /* identifies this incarnation in the ledger */

  struct ds_store_client *store;
  struct ds_store_watcher *config_watcher;
  struct ds_store_watcher *replica_watcher;
  struct ds_store_subjects subjects;
  struct ds_evacuation_watch *evacuations; /* null without the setting */
  struct ds_crash_store *crash_store;
  struct ds_store_restore restore;

  struct ds_replica_set *replicas;
  struct ds_fleet_view *fleet;
  struct ds_budget_manager *budgets;
  struct ds_exchange_context exchanges;

  struct ds_address_service addresses;
  struct ds_caller_group callers;
  struct ds_caller_group readiness;
  struct ds_caller_group directory;
  struct ds_caller_group metrics;
  struct ds_tcp_listener *caller_listener;
  struct ds_host_monitor monitor;

  uint64_t store_checked_ms; /* because other hosts have lost the store */
  uint64_t stopping_ms;      /* time of SIGTERM; 0 before */
  bool stopped;
};

/* Publishes whether this host takes requests.  Before the first list of
   replicas, or of evacuations, it would refuse them all; before the recorded
   causes of crashes, it would let some of them crash replicas again.  */
static void
publish_state (struct ds_entry *entry)
{
  entry->addresses.ready
      = entry->exchanges.config != NULL
        && ds_store_watcher_has_listed (entry->replica_watcher)
        && (entry->evacuations == NULL
            || ds_evacuation_watch_has_listed (entry->evacuations))
        && ds_crash_store_is_settled (entry->crash_store)
        && entry->stopping_ms == 0;
  ds_fleet_view_set_state (entry->fleet, entry->addresses.ready,
                           entry->stopping_ms > 0);
}

static void
on_start_progress (void *user_data)
{
  publish_state (user_data);
}

static void
on_request (struct ds_caller *caller, const struct ds_http_head *head,
            struct ds_str body, void *user_data)
{
  struct ds_entry *entry = user_data;

  ds_exchange_start (&entry->exchanges, caller, head, body);
}

static uint64_t
body_wait_ms (const struct ds_http_head *head, void *user_data)
{
  const struct ds_entry *entry = user_data;

  return ds_exchange_body_wait_ms (&entry->exchanges, head);
}

static void
on_unread (struct ds_caller *caller, const struct ds_http_head *head,
           void *user_data)
{
  struct ds_entry *entry = user_data;

  ds_exchange_refuse_unread (&entry->exchanges, caller, head);
}

static void
on_disconnect (struct ds_caller *caller, void *request_data, void *user_data)
{
  (void)caller;
  (void)user_data;
  ds_exchange_cancel (request_data);
}

static void
on_drained (struct ds_caller *caller, void *request_data, void *user_data)
{
  (void)caller;
  (void)user_data;
  ds_exchange_on_drained (request_data);
}

static void
ignore_disconnect (struct ds_caller *caller, void *request_data,
                   void *user_data)
{
  (void)caller;
  (void)request_data;
  (void)user_data;
}

static void
on_accept (int fd, void *user_data)
{
  (void)ds_caller_accept (user_data, fd);
}

static void
log_ignored_config (const struct ds_entry *entry,
                    const struct ds_store_object *object, uint64_t version)
{
  struct ds_decision_line line
      = ds_decision_line_begin ("config_ignored", DS_STR_EMPTY);

  ds_decision_line_add_number (&line, "version", (int64_t)version);
  ds_decision_line_add_number (&line, "revision", (int64_t)object->revision);
  ds_decision_line_add_number (&line, "in_force",
                               (int64_t)entry->exchanges.config->version);
  ds_decision_line_end (&line);
}

/* Applies a newer version of the configuration.  An older one, from a stale
   response, is ignored.  */
static void
apply_config (struct ds_entry *entry, const struct ds_store_object *object)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_routing_config *config;
  struct ds_decision_line line;

  if (object->deleted || !ds_str_equal (object->name, DS_STR (DS_CONFIG_NAME)))
    return;
  if (object->problem != NULL
      || ds_config_decode (&config, entry, object->spec, &error) != 0)
    {
      if (ds_store_watcher_is_change (entry->config_watcher, object))
        ds_unreadable_entry_report (
            DS_KIND_CONFIG, object->name, object->revision,
            object->problem != NULL ? object->problem : error.message);
      return;
    }
  if (entry->exchanges.config != NULL
      && config->version <= entry->exchanges.config->version)
    {
      if (config->version < entry->exchanges.config->version)
        log_ignored_config (entry, object, config->version);
      talloc_free (config);
      return;
    }
  line = ds_decision_line_begin ("config_in_force", DS_STR_EMPTY);
  ds_decision_line_add_number (&line, "version", (int64_t)config->version);
  ds_decision_line_add_number (&line, "revision", (int64_t)object->revision);
  ds_decision_line_add_number (&line, "routes", (int64_t)config->route_count);
  ds_decision_line_add_number (&line, "workspaces",
                               (int64_t)config->workspace_count);
  ds_decision_line_end (&line);
  if (entry->exchanges.config != NULL)
    talloc_unlink (entry, entry->exchanges.config);
  entry->exchanges.config = config;
  entry->callers.limits = config->limits;
  ds_budget_manager_configure (entry->budgets, config);
  publish_state (entry);
}

static void
ignore_begin (void *user_data)
{
  (void)user_data;
}

static void
ignore_end (bool complete, void *user_data)
{
  (void)complete;
  (void)user_data;
}

static void
on_config_object (const struct ds_store_object *object, void *user_data)
{
  apply_config (user_data, object);
}

static void
on_replicas_begin (void *user_data)
{
  struct ds_entry *entry = user_data;

  ds_replica_set_begin_list (entry->replicas);
}

static uint64_t
removal_ms (const struct ds_entry *entry)
{
  return ds_store_restore_removal_ms (&entry->restore, ds_clock_ms ());
}

static void
on_replicas_end (bool complete, void *user_data)
{
  struct ds_entry *entry = user_data;

  if (complete)
    ds_replica_set_end_list (entry->replicas, removal_ms (entry));
  publish_state (entry);
}

/* The state of the replicas is that of the store up to the watcher's revision,
   which ends what other hosts have reported before.  */
static void
on_replicas_applied (void *user_data)
{
  struct ds_entry *entry = user_data;

  ds_replica_set_end_reports (
      entry->replicas, ds_store_watcher_revision (entry->replica_watcher),
      ds_store_watcher_asked_ms (entry->replica_watcher), ds_clock_ms ());
  ds_cold_starts_end_doubts (
      entry->exchanges.cold_starts,
      ds_store_watcher_asked_ms (entry->replica_watcher));
}

/* Tells the other hosts that the replica of OBJECT drains or is gone.  One
   that is missing after a store outage may return and is not reported.  */
static void
announce_departure (struct ds_entry *entry,
                    const struct ds_store_object *object, bool gone)
{
  const struct ds_replica *replica
      = ds_replica_set_find (entry->replicas, object->name);
  struct ds_departure departure
      = { .revision = object->revision, .gone = gone };

  if (replica == NULL || !ds_replica_is_available (replica)
      || (object->deleted && removal_ms (entry) > 0))
    return;
  departure.replica = replica->hash;
  ds_fleet_view_announce_departure (entry->fleet, &departure);
}

/* Stops the use of a replica that another host has seen leave, until this
   host's own watch has come as far.  What the store said to this host later
   goes before the report.  */
static bool
on_peer_departure (const struct ds_departure *departure, struct ds_str sender,
                   void *user_data)
{
  struct ds_entry *entry = user_data;
  struct ds_decision_line line;

  if (!ds_replica_set_report_departure (
          entry->replicas, departure->replica, departure->revision,
          ds_store_watcher_revision (entry->replica_watcher), ds_clock_ms ()))
    return false;
  line = ds_decision_line_begin ("replica", DS_STR_EMPTY);
  ds_decision_line_add_text (
      &line, "replica",
      ds_replica_set_find_by_hash (entry->replicas, departure->replica)
          ->record.id);
  ds_decision_line_add_number (&line, "revision",
                               (int64_t)departure->revision);
  ds_decision_line_add_text (&line, "state",
                             departure->gone ? DS_STR ("reported_gone")
                                             : DS_STR ("reported_draining"));
  ds_decision_line_add_text (&line, "peer", sender);
  ds_decision_line_end (&line);
  return true;
}

/* Handles an entry that names no replica to use.  A replica that it named
   before is gone at once: unlike a missing entry, it has not expired in an
   outage.  */
static void
on_unreadable_replica (struct ds_entry *entry,
                       const struct ds_store_object *object,
                       const char *reason)
{
  announce_departure (entry, object, true);
  ds_replica_set_remove (entry->replicas, object->name, 0);
  if (!ds_store_watcher_is_change (entry->replica_watcher, object))
    return;
  ds_metric_add (DS_METRIC_UNREADABLE_ENTRIES, 1);
  ds_replica_log (object, DS_STR ("unreadable"), NULL, reason);
}

static void
on_replica_object (const struct ds_store_object *object, void *user_data)
{
  struct ds_entry *entry = user_data;
  struct ds_error error = DS_ERROR_NONE;
  struct ds_replica_record record;

  if (object->deleted)
    {
      announce_departure (entry, object, true);
      ds_replica_set_remove (entry->replicas, object->name,
                             removal_ms (entry));
      ds_replica_log (object, DS_STR ("gone"), NULL, NULL);
    }
  else if (object->problem != NULL)
    on_unreadable_replica (entry, object, object->problem);
  else if (ds_replica_decode (&record, object->name, object->spec, &error)
           != 0)
    on_unreadable_replica (entry, object, error.message);
  else
    {
      if (record.draining)
        announce_departure (entry, object, false);
      (void)ds_cold_starts_put_replica (entry->exchanges.cold_starts, &record,
                                        object->revision, ds_clock_ms ());
      ds_replica_log (object,
                      record.draining ? DS_STR ("draining") : DS_STR ("ready"),
                      &record, NULL);
    }
}

static uint64_t
give_to_peer (struct ds_str workspace, uint64_t tokens, uint64_t needed,
              void *user_data)
{
  struct ds_entry *entry = user_data;
  uint64_t given
      = ds_budget_manager_give (entry->budgets, workspace, tokens, needed);
  struct ds_decision_line line;

  if (given == 0)
    return 0;
  line = ds_decision_line_begin ("tokens_given", DS_STR_EMPTY);
  ds_decision_line_add_text (&line, "workspace", workspace);
  ds_decision_line_add_number (&line, "asked", (int64_t)tokens);
  ds_decision_line_add_number (&line, "needed", (int64_t)needed);
  ds_decision_line_add_number (&line, "given", (int64_t)given);
  ds_decision_line_end (&line);
  return given;
}

static void
receive_from_peer (struct ds_str workspace,
                   const struct ds_token_transfer *transfer,
                   struct ds_str sender, void *user_data)
{
  struct ds_entry *entry = user_data;
  struct ds_decision_line line
      = ds_decision_line_begin ("tokens_taken", DS_STR_EMPTY);

  ds_decision_line_add_text (&line, "workspace", workspace);
  ds_decision_line_add_text (&line, "peer", sender);
  ds_decision_line_add_number (&line, "tokens", (int64_t)transfer->tokens);
  ds_decision_line_add_number (&line, "spent", (int64_t)transfer->spent);
  ds_decision_line_end (&line);
  ds_budget_manager_receive (entry->budgets, workspace, transfer);
}

static void
on_peer_suspect (struct ds_suspect_key key, enum ds_suspect_change change,
                 struct ds_str sender, void *user_data)
{
  struct ds_entry *entry = user_data;

  ds_crash_evidence_log_change (entry->exchanges.crashes, key, change, sender);
}

static void
on_peer_holdings (void *user_data)
{
  struct ds_entry *entry = user_data;

  ds_budget_manager_peers_updated (entry->budgets);
}

static void
request_tokens (uint32_t page, struct ds_str workspace, uint64_t tokens,
                uint64_t needed, void *user_data)
{
  struct ds_entry *entry = user_data;

  ds_fleet_view_request_tokens (entry->fleet, page, workspace, tokens, needed);
}

static bool
transfer_tokens (uint32_t page, struct ds_str workspace,
                 const struct ds_token_transfer *transfer, void *user_data)
{
  struct ds_entry *entry = user_data;

  return ds_fleet_view_transfer_tokens (entry->fleet, page, workspace,
                                        transfer);
}

static enum ds_allotment_home
page_home (uint32_t page, void *user_data)
{
  struct ds_entry *entry = user_data;

  return ds_fleet_view_home (entry->fleet, page);
}

static struct ds_release_moment
release_moment (void *user_data)
{
  struct ds_entry *entry = user_data;

  return ds_fleet_view_release_moment (entry->fleet);
}

static struct ds_writer_ends
writer_ends (void *user_data)
{
  struct ds_entry *entry = user_data;

  return ds_fleet_view_writer_ends (entry->fleet);
}

static size_t
list_holdings (struct ds_token_holding *out, void *user_data)
{
  const struct ds_entry *entry = user_data;

  return ds_token_holdings_list (entry->budgets, out);
}

static struct ds_token_holding
get_holding (struct ds_str workspace, void *user_data)
{
  struct ds_entry *entry = user_data;

  return ds_token_holdings_get (entry->budgets, entry->fleet, entry->store,
                                workspace);
}

static struct ds_budget_peer_state
get_peer_state (uint32_t page, struct ds_str workspace, void *user_data)
{
  struct ds_entry *entry = user_data;

  return ds_fleet_view_peer_state (entry->fleet, page, workspace);
}

static uint64_t
unmet_tokens (struct ds_str workspace, void *user_data)
{
  const struct ds_entry *entry = user_data;

  return ds_fleet_view_unmet_tokens (entry->fleet, workspace);
}

static enum ds_reporter_state
reporter_state (uint64_t id, uint64_t since_ms, void *user_data)
{
  const struct ds_entry *entry = user_data;

  return ds_fleet_view_reporter_state (entry->fleet, id, since_ms);
}

static void
on_peer_era (uint64_t era, void *user_data)
{
  struct ds_entry *entry = user_data;

  ds_store_client_hear_era (entry->store, era);
}

static void
on_tokens (void *user_data)
{
  struct ds_entry *entry = user_data;

  ds_fleet_view_serve_unmet_requests (entry->fleet);
}

static size_t
pending_transfers (void *user_data)
{
  const struct ds_entry *entry = user_data;

  return ds_fleet_view_pending_transfers (entry->fleet);
}

static void
probe_store (void *user_data)
{
  struct ds_entry *entry = user_data;

  ds_store_subjects_probe (&entry->subjects);
}

static void
count_hosts (struct ds_entry *entry, uint64_t now_ms)
{
  size_t hosts = 1;

  for (size_t i = 0; i < ds_fleet_view_count (entry->fleet); i++)
    {
      const struct ds_fleet_member *member
          = ds_fleet_view_at (entry->fleet, i);

      if (member->last_seen_ms > 0
          && now_ms - member->last_seen_ms < SHARING_MEMBER_MS)
        hosts++;
    }
  entry->exchanges.hosts = hosts;
}

static struct ds_allotment_policy
make_policy (const struct ds_budget_settings *budget)
{
  return (struct ds_allotment_policy){
    .hold_s = (double)budget->hold_ms / 1000,
    .max_fraction = (double)budget->part_percent / 100,
    .minimum = budget->minimum_tokens,
    .initial_fraction = (double)budget->start_percent / 100,
    .cushion_s = (double)budget->cushion_ms / 1000,
  };
}

static struct ds_release_policy
make_release_policy (const struct ds_budget_settings *budget)
{
  return (struct ds_release_policy){
    .span_ms = budget->release.span_ms,
    .rate_percent = budget->release.rate_percent,
    .usable_ms = budget->release.usable_ms,
  };
}

static void
apply_settings (struct ds_entry *entry)
{
  struct ds_entry_settings *loaded;
  struct ds_allotment_policy policy;
  struct ds_release_policy release;
  struct ds_error error = DS_ERROR_NONE;
  struct ds_decision_line line;

  if (ds_entry_settings_load (&loaded, entry, entry->settings_path, &error)
      != 0)
    {
      ds_log_error (&error, NULL);
      return;
    }
  /* The budget policy, grace period and address TTL may change.  */
  entry->settings->grace_s = loaded->grace_s;
  entry->addresses.ttl_s = loaded->address_ttl_s;
  entry->settings->budget = loaded->budget;
  policy = make_policy (&loaded->budget);
  release = make_release_policy (&loaded->budget);
  ds_budget_manager_set_policy (entry->budgets, &policy, &release,
                                (uint32_t)loaded->budget.settle_ms);
  ds_entry_settings_free (loaded);
  line = ds_decision_line_begin ("reload", DS_STR_EMPTY);
  ds_decision_line_add_text (&line, "file",
                             ds_str_from_c (entry->settings_path));
  ds_decision_line_end (&line);
}

static void
reload_if_changed (struct ds_entry *entry, uint64_t now_ms)
{
  struct stat status;

  if (now_ms - entry->settings_checked_ms < SETTINGS_CHECK_MS)
    return;
  entry->settings_checked_ms = now_ms;
  if (stat (entry->settings_path, &status) != 0
      || (status.st_mtim.tv_sec == entry->settings_changed.tv_sec
          && status.st_mtim.tv_nsec == entry->settings_changed.tv_nsec))
    return;
  entry->settings_changed = status.st_mtim;
  apply_settings (entry);
}

/* Stops the process when no work is left or the grace period is over.  */
static void
advance_shutdown (struct ds_entry *entry, uint64_t now_ms)
{
  uint64_t grace_ms = (uint64_t)(entry->settings->grace_s * 1000);
  uint64_t since_ms = now_ms - entry->stopping_ms;

  if (since_ms > ACCEPT_AFTER_TERM_MS && !entry->exchanges.stopping)
    {
      entry->exchanges.stopping = true;
      ds_tcp_listener_free (entry->caller_listener);
      entry->caller_listener = NULL;
    }
  if (since_ms > ACCEPT_AFTER_TERM_MS && entry->callers.responding == 0)
    {
      ds_budget_manager_close (entry->budgets);
      if (ds_budget_manager_is_closed (entry->budgets)
          || since_ms > ACCEPT_AFTER_TERM_MS + 2 * FINAL_UPDATE_MS)
        entry->stopped = true;
    }
  if (since_ms + FINAL_UPDATE_MS > grace_ms)
    ds_budget_manager_close (entry->budgets);
  if (since_ms + FINAL_UPDATE_MS / 4 > grace_ms)
    entry->stopped = true;
}

static void
on_tick (void *user_data)
{
  struct ds_entry *entry = user_data;
  uint64_t now_ms = ds_clock_ms ();

  (void)ds_timer_add (entry->ev, entry, DS_GOSSIP_INTERVAL_MS, on_tick, entry);
  ds_host_monitor_tick (&entry->monitor, now_ms);
  ds_replica_set_remove_expired (entry->replicas, now_ms);
  ds_connection_pool_close_expired (entry->exchanges.pool, now_ms);
  count_hosts (entry, now_ms);
  ds_store_restore_note_outage (&entry->restore, now_ms);
  ds_store_subjects_update (&entry->subjects, entry->fleet, now_ms);
  if (entry->evacuations != NULL)
    {
      ds_evacuation_watch_expire (entry->evacuations, now_ms);
      ds_cold_starts_note_evacuations (
          entry->exchanges.cold_starts,
          ds_evacuation_watch_set (entry->evacuations), now_ms);
    }
  if (ds_cold_starts_tick (entry->exchanges.cold_starts,
                           entry->exchanges.config, now_ms))
    ds_registration_settle (entry->restore.registration);
  ds_budget_manager_tick (entry->budgets, now_ms);
  ds_fleet_view_set_ledger_reachable (
      entry->fleet, ds_store_client_is_reachable (entry->store));
  ds_fleet_view_tick (entry->fleet, now_ms);
  if (ds_store_client_is_reachable (entry->store)
      && ds_fleet_view_others_lost_ledger (entry->fleet)
      && now_ms - entry->store_checked_ms >= STORE_CHECK_INTERVAL_MS
      && ds_store_watcher_check (entry->config_watcher,
                                 "other hosts have lost the store"))
    entry->store_checked_ms = now_ms;
  reload_if_changed (entry, now_ms);
  if (entry->stopping_ms > 0)
    advance_shutdown (entry, now_ms);
  ds_decision_log_flush ();
}

static void
on_term (struct tevent_context *ev, struct tevent_signal *se, int signum,
         int count, void *siginfo, void *user_data)
{
  struct ds_entry *entry = user_data;
  struct ds_decision_line line;

  (void)ev;
  (void)se;
  (void)signum;
  (void)count;
  (void)siginfo;
  if (entry->stopping_ms > 0)
    return;
  entry->stopping_ms = ds_clock_ms ();
  entry->callers.closing = true;
  publish_state (entry);
  line = ds_decision_line_begin ("stop", DS_STR_EMPTY);
  ds_decision_line_add_number (&line, "answering",
                               (int64_t)entry->callers.responding);
  ds_decision_line_add_number (&line, "connections",
                               (int64_t)entry->callers.connections);
  ds_decision_line_end (&line);
}

static void
on_hup (struct tevent_context *ev, struct tevent_signal *se, int signum,
        int count, void *siginfo, void *user_data)
{
  (void)ev;
  (void)se;
  (void)signum;
  (void)count;
  (void)siginfo;
  apply_settings (user_data);
}

static struct ds_fleet_self
make_self (const struct ds_entry *entry)
{
  const struct ds_entry_settings *settings = entry->settings;

  return (struct ds_fleet_self){
    .host = settings->host,
    .incarnation = entry->incarnation,
    .zone = settings->zone,
    .region = settings->region,
    .caller_address = settings->caller_address,
    .gossip_address = settings->gossip_address,
    .capacity = ds_host_capacity (settings),
  };
}

static int
open_fleet (struct ds_entry *entry, struct ds_error *error)
{
  struct ds_fleet_self self = make_self (entry);
  struct ds_fleet_handlers handlers = {
    .list_holdings = list_holdings,
    .get_holding = get_holding,
    .on_token_request = give_to_peer,
    .on_token_transfer = receive_from_peer,
    .on_holdings = on_peer_holdings,
    .on_suspect = on_peer_suspect,
    .on_departure = on_peer_departure,
    .on_store_era = on_peer_era,
    .user_data = entry,
  };

  if (ds_fleet_view_new (&entry->fleet, entry, entry->ev, &self,
                         entry->replicas,
                         ds_crash_evidence_suspects (entry->exchanges.crashes),
                         &handlers, error)
      != 0)
    return error->code;
  entry->exchanges.fleet = entry->fleet;
  entry->restore = (struct ds_store_restore){ .store = entry->store,
                                              .fleet = entry->fleet,
                                              .budgets = entry->budgets,
                                              .replicas = entry->replicas,
                                              .cold_starts
                                              = entry->exchanges.cold_starts };
  ds_store_client_watch_era (
      entry->store, (uint32_t)entry->settings->restore_hold_ms,
      entry->settings->first_start, ds_store_restore_on_era, &entry->restore);
  entry->addresses = (struct ds_address_service){
    .fleet = entry->fleet,
    .config = &entry->exchanges.config,
    .zone = self.zone,
    .region = self.region,
    .caller_address = self.caller_address,
    .capacity = self.capacity,
    .ttl_s = entry->settings->address_ttl_s,
  };
  return 0;
}

static int
open_state (struct ds_entry *entry, struct ds_error *error)
{
  const struct ds_entry_settings *settings = entry->settings;
  struct ds_retry_limit retry_limit = {
    .ratio = settings->retry.ratio,
    .slack = settings->retry.slack,
    .window_ms = (uint64_t)(settings->retry.window_s * 1000),
    .started_ms = settings->first_start ? 0 : ds_clock_ms (),
  };
  struct ds_budget_manager_options budgets = {
    .ev = entry->ev,
    .store = entry->store,
    .writer = ds_str_from_c (entry->writer),
    .settle_ms = (uint32_t)settings->budget.settle_ms,
    .policy = make_policy (&settings->budget),
    .release = make_release_policy (&settings->budget),
    .peers = {
      .home = page_home,
      .request_tokens = request_tokens,
      .transfer = transfer_tokens,
      .peer_state = get_peer_state,
      .pending = pending_transfers,
      .unmet = unmet_tokens,
      .release_moment = release_moment,
      .writer_ends = writer_ends,
      .reporter_state = reporter_state,
      .on_tokens = on_tokens,
      .on_store_timeout = probe_store,
      .user_data = entry,
    },
  };

  if (ds_replica_set_new (&entry->replicas, entry) != 0
      || ds_cold_starts_new (&entry->exchanges.cold_starts, entry,
                             entry->store, entry->replicas, settings)
             != 0
      || ds_connection_pool_new (&entry->exchanges.pool, entry, entry->ev,
                                 &entry->exchanges.memory)
             != 0
      || ds_crash_evidence_new (&entry->exchanges.crashes, entry, entry->ev,
                                entry->exchanges.pool, settings->host)
             != 0
      || ds_retry_budget_new (&entry->exchanges.retries, entry, &retry_limit)
             != 0
      || ds_budget_manager_new (&entry->budgets, entry, &budgets) != 0)
    return ds_error_set (error, DS_ENOMEM, "start entry host", "",
                         "out of memory");
  ds_replica_set_learn_capacity (entry->replicas, &settings->replica_capacity);
  entry->exchanges.ev = entry->ev;
  entry->exchanges.replicas = entry->replicas;
  entry->exchanges.budgets = entry->budgets;
  entry->exchanges.zone = settings->zone;
  entry->exchanges.zones = &settings->zones;
  entry->exchanges.drain_ms = (uint64_t)settings->drain_ms;
  entry->exchanges.hosts = 1;
  return 0;
}

/* Watches evacuations if the settings say how soon they take effect.  */
static int
open_evacuations (struct ds_entry *entry, struct ds_error *error)
{
  struct ds_evacuation_watch_options options = {
    .ev = entry->ev,
    .store = entry->store,
    .primary = entry->config_watcher,
    .fleet = entry->fleet,
    .subjects = &entry->subjects,
    .apply_ms = entry->settings->evacuation_ms,
    .on_listed = on_start_progress,
    .user_data = entry,
  };

  if (options.apply_ms <= 0)
    return 0;
  if (ds_evacuation_watch_new (&entry->evacuations, entry, &options) != 0)
    return ds_error_set (error, DS_ENOMEM, "watch the store", "store",
                         "out of memory");
  entry->exchanges.evacuations = ds_evacuation_watch_set (entry->evacuations);
  entry->restore.evacuations = entry->evacuations;
  return 0;
}

static int
open_watchers (struct ds_entry *entry, struct ds_error *error)
{
  struct ds_store_watcher_handlers config = {
    .on_begin = ignore_begin,
    .on_object = on_config_object,
    .on_end = ignore_end,
    .user_data = entry,
    .batch_ms
    = (uint32_t)(entry->settings->config_apply_ms / CONFIG_BATCH_DIVISOR),
    .list_newest = true,
  };
  struct ds_store_watcher_handlers replicas = {
    .on_begin = on_replicas_begin,
    .on_object = on_replica_object,
    .on_end = on_replicas_end,
    .on_applied = on_replicas_applied,
    .user_data = entry,
    .batch_ms = (uint32_t)(entry->settings->drain_ms / DRAIN_BATCH_DIVISOR),
  };

  if (ds_store_watcher_new (&entry->config_watcher, entry, entry->ev,
                            entry->store, DS_KIND_CONFIG, &config)
      != 0)
    return ds_error_set (error, DS_ENOMEM, "watch the store", "store",
                         "out of memory");
  entry->exchanges.config_watcher = entry->config_watcher;
  replicas.primary = entry->config_watcher;
  if (ds_store_watcher_new (&entry->replica_watcher, entry, entry->ev,
                            entry->store, DS_KIND_REPLICAS, &replicas)
      != 0)
    return ds_error_set (error, DS_ENOMEM, "watch the store", "store",
                         "out of memory");
  ds_cold_starts_set_watcher (entry->exchanges.cold_starts,
                              entry->replica_watcher);
  ds_store_subjects_add (&entry->subjects, DS_STORE_CONFIG,
                         entry->config_watcher,
                         entry->settings->config_apply_ms);
  ds_store_subjects_add (&entry->subjects, DS_STORE_REPLICAS,
                         entry->replica_watcher, entry->settings->drain_ms);
  return open_evacuations (entry, error);
}

/* A group for questions to this host, which need no body.  */
static struct ds_caller_group
make_group (struct ds_entry *entry,
            void (*handler) (struct ds_caller *, const struct ds_http_head *,
                             struct ds_str, void *))
{
  struct ds_caller_group group = {
    .ev = entry->ev,
    .handlers = {
      .on_request = handler,
      .on_disconnect = ignore_disconnect,
      .user_data = &entry->addresses,
    },
    .limits = DS_CALLER_LIMITS_DEFAULT,
    .memory = &entry->exchanges.memory,
  };

  group.limits.body_bytes = QUESTION_BODY_BYTES_MAX;
  return group;
}

static struct ds_caller_group
make_caller_group (struct ds_entry *entry)
{
  return (struct ds_caller_group){
    .ev = entry->ev,
    .handlers = {
      .on_request = on_request,
      .on_disconnect = on_disconnect,
      .on_drained = on_drained,
      .body_wait_ms = body_wait_ms,
      .on_unread = on_unread,
      .user_data = entry,
    },
    .limits = DS_CALLER_LIMITS_DEFAULT,
    .memory = &entry->exchanges.memory,
  };
}

static int
open_listeners (struct ds_entry *entry, struct ds_error *error)
{
  const struct ds_entry_settings *settings = entry->settings;
  struct ds_tcp_listener *listener;
  int status;

  ds_host_memory_init (&entry->exchanges.memory, settings->memory_mb);
  entry->callers = make_caller_group (entry);
  entry->monitor = (struct ds_host_monitor){
    .settings = settings,
    .strain = &entry->exchanges.strain,
    .fleet = entry->fleet,
    .store = entry->store,
    .callers = &entry->callers,
    .addresses = &entry->addresses,
  };
  ds_host_monitor_start (&entry->monitor);
  entry->readiness = make_group (entry, ds_address_service_readiness);
  entry->directory = make_group (entry, ds_address_service_addresses);
  entry->metrics = make_group (entry, ds_address_service_metrics);
  status = ds_tcp_listen (&entry->caller_listener, entry, entry->ev,
                          settings->caller_address, on_accept, &entry->callers,
                          error);
  if (status == 0)
    status = ds_tcp_listen (&listener, entry, entry->ev,
                            settings->readiness_address, on_accept,
                            &entry->readiness, error);
  if (status == 0)
    status = ds_tcp_listen (&listener, entry, entry->ev,
                            settings->directory_address, on_accept,
                            &entry->directory, error);
  if (status == 0)
    status = ds_tcp_listen (&listener, entry, entry->ev,
                            settings->metrics_address, on_accept,
                            &entry->metrics, error);
  return status;
}

/* Returns an incarnation above those of earlier starts of the host, and seeds
   random().  If the wall clock was set back between starts, it may be lower,
   but its microseconds still keep the writer's name in the ledger
   distinct.  */
static uint64_t
choose_incarnation (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_REALTIME, &now);
  srandom ((unsigned)now.tv_nsec ^ (unsigned)now.tv_sec);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

/* Creates an entry host from its settings file.  */
int
ds_entry_new (struct ds_entry **out, const char *settings_path,
              struct ds_error *error)
{
  struct ds_entry *entry = talloc_zero (NULL, struct ds_entry);
  struct stat file;
  int status;

  if (entry == NULL)
    return ds_error_set (error, DS_ENOMEM, "start entry host", "",
                         "out of memory");
  (void)mallopt (M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
  (void)mallopt (M_TRIM_THRESHOLD, HEAP_TRIM_BYTES);
  entry->settings_path = talloc_strdup (entry, settings_path);
  if (stat (settings_path, &file) == 0)
    entry->settings_changed = file.st_mtim;
  status
      = ds_entry_settings_load (&entry->settings, entry, settings_path, error);
  if (status != 0)
    goto fail;
  entry->incarnation = choose_incarnation ();
  entry->writer = talloc_asprintf (entry, "%.*s#%" PRIu64,
                                   DS_STR_ARG (entry->settings->host),
                                   entry->incarnation);
  entry->ev = ds_event_context_new (entry);
  if (entry->ev == NULL || entry->writer == NULL)
    {
      status = ds_error_set (error, DS_ENOMEM, "start entry host", "",
                             "out of memory");
      goto fail;
    }
  status = ds_store_client_new (&entry->store, entry, entry->ev,
                                entry->settings->store_address, error);
  if (status == 0)
    status = open_state (entry, error);
  if (status == 0)
    status = open_fleet (entry, error);
  if (status == 0)
    status = open_listeners (entry, error);
  if (status == 0)
    status = open_watchers (entry, error);
  if (status != 0)
    goto fail;
  *out = entry;
  return 0;

fail:
  talloc_free (entry);
  return status;
}

/* Serves until shutdown after SIGTERM is complete.  */
int
ds_entry_run (struct ds_entry *entry)
{
  struct ds_fleet_self self = make_self (entry);
  struct ds_crash_store_options crashes = {
    .ev = entry->ev,
    .store = entry->store,
    .evidence = entry->exchanges.crashes,
    .on_settled = on_start_progress,
    .user_data = entry,
  };
  struct ds_decision_line line;

  ds_decision_log_open (entry->settings->host.data,
                        (uint32_t)entry->settings->log_lines_per_s);
  line = ds_decision_line_begin ("start", DS_STR_EMPTY);
  ds_decision_line_add_number (&line, "incarnation",
                               (int64_t)entry->incarnation);
  ds_decision_line_add_text (&line, "callers",
                             entry->settings->caller_address);
  ds_decision_line_end (&line);
  (void)tevent_add_signal (entry->ev, entry, SIGTERM, 0, on_term, entry);
  (void)tevent_add_signal (entry->ev, entry, SIGINT, 0, on_term, entry);
  (void)tevent_add_signal (entry->ev, entry, SIGHUP, 0, on_hup, entry);
  if (ds_crash_store_new (&entry->crash_store, entry, &crashes) != 0
      || ds_registration_start (&entry->restore.registration, entry, entry->ev,
                                entry->store, entry->fleet,
                                entry->exchanges.cold_starts, &self)
             != 0)
    return DS_ENOMEM;
  entry->restore.crashes = entry->crash_store;
  on_tick (entry);
  while (!entry->stopped)
    if (tevent_loop_once (entry->ev) != 0)
      return DS_EIO;
  line = ds_decision_line_begin ("stopped", DS_STR_EMPTY);
  ds_decision_line_add_number (&line, "answering",
                               (int64_t)entry->callers.responding);
  ds_decision_line_end (&line);
  ds_decision_log_flush ();
  return 0;
}

void
ds_entry_free (struct ds_entry *entry)
{
  ds_caller_group_stop (&entry->callers);
  ds_caller_group_stop (&entry->readiness);
  ds_caller_group_stop (&entry->directory);
  ds_caller_group_stop (&entry->metrics);
  talloc_free (entry);
}
