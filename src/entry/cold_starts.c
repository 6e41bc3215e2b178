#include "entry/cold_starts.h"
#include "core/list_cursor.h"
#include "daisystep/log.h"
#include "daisystep/metrics.h"
#include "io/clock.h"
#include "platform/names.h"

#include <glib.h>

#define CALL_TIMEOUT_MS 1000
/* Pause after a list that failed.  */
#define RETRY_MS 500
/* Time over which hosts spread their lists after the replicas of a zone have
   returned; 390 hosts in a list take 80 KB.  */
#define LIST_SPREAD_MS 1000
/* Shortest interval of checks whether a replica has started again.  */
#define CHECK_INTERVAL_MS 1000
/* Pause after an attempt to write the registration as settled.  */
#define SETTLE_RETRY_MS 5000
/* Seed of the hash that identifies hosts.  */
#define HOST_SEED 31

struct ds_cold_starts
{
  struct ds_store_client *store;
  struct ds_store_watcher *replica_watcher;
  struct ds_replica_set *replicas;
  struct ds_cold_limit limit;
  struct ds_store_pending_call *pending;
  bool outdated; /* the list in progress began in an earlier era */
  GArray *names; /* hashes of the names on the pages read so far */
  struct ds_list_cursor list;
  uint64_t asked_ms;  /* for the first page */
  uint64_t retry_ms;  /* no list before */
  uint64_t due_ms;    /* when a list that is needed is due; 0 for none */
  uint64_t check_ms;  /* the watch is not ended early before */
  bool doubts;        /* about replicas, since the last response */
  uint64_t settle_ms; /* the registration is not written as settled before */
  uint64_t evacuation_ended_ms; /* of the last evacuation noted */
};

static int
destroy (struct ds_cold_starts *starts)
{
  g_array_free (starts->names, TRUE);
  return 0;
}

/* Creates the state of the host with SETTINGS, which sees the replicas in
   REPLICAS.  Returns 0 or DS_ENOMEM.  */
int
ds_cold_starts_new (struct ds_cold_starts **out, TALLOC_CTX *owner,
                    struct ds_store_client *store,
                    struct ds_replica_set *replicas,
                    const struct ds_entry_settings *settings)
{
  struct ds_cold_starts *starts = talloc_zero (owner, struct ds_cold_starts);

  if (starts == NULL)
    return DS_ENOMEM;
  starts->store = store;
  starts->replicas = replicas;
  starts->limit.bounds = (struct ds_cold_bounds){
    .overage = settings->cold_overage,
    .slack = settings->cold_slack,
  };
  starts->limit.self = ds_str_hash (settings->host, HOST_SEED);
  starts->names = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  ds_list_cursor_begin (&starts->list);
  talloc_set_destructor (starts, destroy);
  *out = starts;
  return 0;
}

/* Notes that the store has acknowledged the registration of this host, which
   says whether all other hosts that may send to cold replicas have read it:
   SETTLED.  Until then, this host sends nothing to them.  */
void
ds_cold_starts_set_registered (struct ds_cold_starts *starts, bool settled,
                               uint64_t now_ms)
{
  if (starts->limit.registered_ms == 0)
    starts->limit.registered_ms = now_ms;
  starts->limit.settled = settled;
}

/* Replaces the set of hosts by what the pages have listed.  */
static void
apply_list (struct ds_cold_starts *starts)
{
  bool changed = starts->limit.host_count != starts->names->len;
  struct ds_decision_line line;

  if (ds_cold_limit_set_hosts (&starts->limit, starts,
                               (const uint64_t *)(void *)starts->names->data,
                               starts->names->len, starts->asked_ms)
          != 0
      || !changed)
    return;
  line = ds_decision_line_begin ("cold_hosts", DS_STR_EMPTY);
  ds_decision_line_add_number (&line, "hosts",
                               (int64_t)starts->limit.host_count);
  ds_decision_line_add_number (&line, "took_ms",
                               (int64_t)(ds_clock_ms () - starts->asked_ms));
  ds_decision_line_end (&line);
}

static bool ask_for_page (struct ds_cold_starts *starts);

static void
end_list (struct ds_cold_starts *starts)
{
  ds_list_cursor_begin (&starts->list);
  g_array_set_size (starts->names, 0);
}

/* Reads one page of hosts; false if the list has failed.  */
static bool
read_page (struct ds_cold_starts *starts, struct ds_str body)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_str last_name = DS_STR_EMPTY;
  struct ds_store_page *page;
  bool continues;

  if (ds_store_page_decode (&page, starts, body, false, &error) != 0)
    {
      ds_log_error (&error, NULL);
      return false;
    }
  /* A host whose entry cannot be used by others may send all the same.  */
  for (size_t i = 0; i < page->count; i++)
    if (!page->objects[i].deleted)
      {
        uint64_t hash = ds_str_hash (page->objects[i].name, HOST_SEED);

        g_array_append_val (starts->names, hash);
      }
  if (page->count > 0)
    last_name = page->objects[page->count - 1].name;
  continues = ds_list_cursor_advance (&starts->list, starts, last_name,
                                      page->has_more);
  talloc_free (page);
  if (continues)
    return ask_for_page (starts);
  apply_list (starts);
  end_list (starts);
  return true;
}

static void
on_page (const struct ds_store_result *result, void *user_data)
{
  struct ds_cold_starts *starts = user_data;

  bool outdated = starts->outdated;

  starts->pending = NULL;
  starts->outdated = false;
  if (!outdated && result->outcome == DS_STORE_OK
      && read_page (starts, result->body))
    return;
  end_list (starts);
  starts->retry_ms = ds_clock_ms () + RETRY_MS;
}

/* Begins an era of the store: a list of an earlier one does not count, and
   this host sends nothing to cold replicas until its registration has been
   found or written again and is in all lists.  */
void
ds_cold_starts_begin_era (struct ds_cold_starts *starts)
{
  ds_cold_limit_begin_era (&starts->limit);
  starts->settle_ms = 0;
  starts->outdated = starts->pending != NULL;
}

static bool
ask_for_page (struct ds_cold_starts *starts)
{
  struct ds_store_call call = {
    .verb = DS_STORE_LIST,
    .kind = DS_KIND_HOSTS,
    .after = starts->list.after,
  };

  ds_metric_add (DS_METRIC_COLD_HOST_LISTS, 1);
  return ds_store_client_call (&starts->pending, starts->store, &call,
                               CALL_TIMEOUT_MS, on_page, starts)
         == 0;
}

static struct ds_cold_rule
find_rule (const struct ds_routing_config *config, struct ds_str service)
{
  const struct ds_service *found
      = config != NULL ? ds_routing_config_find_service (config, service)
                       : NULL;

  return found != NULL
             ? (struct ds_cold_rule){ .start_ms = found->cold_start_ms,
                                      .per_s = found->cold_per_s }
             : (struct ds_cold_rule){ .per_s = 0 };
}

static bool
has_cold_phase (const struct ds_routing_config *config)
{
  for (size_t i = 0; config != NULL && i < config->service_count; i++)
    if (config->services[i].cold_per_s > 0)
      return true;
  return false;
}

/* Whether this host may be a sender of a replica that is cold.  Others need no
   list before the replicas of a zone return.  */
static bool
may_send_to_cold (struct ds_cold_starts *starts,
                  const struct ds_routing_config *config, uint64_t now_ms)
{
  for (size_t i = 0; i < ds_replica_set_count (starts->replicas); i++)
    {
      struct ds_replica *replica = ds_replica_set_at (starts->replicas, i);
      struct ds_cold_rule rule = find_rule (config, replica->record.service);

      if (ds_cold_state_remaining_ms (&replica->cold, &rule, now_ms) > 0
          && (starts->limit.host_count == 0
              || ds_cold_limit_is_sender (&starts->limit, &rule,
                                          &replica->cold, replica->hash)))
        return true;
    }
  return false;
}

/* Sets the watcher of the registrations of replicas.  */
void
ds_cold_starts_set_watcher (struct ds_cold_starts *starts,
                            struct ds_store_watcher *replica_watcher)
{
  starts->replica_watcher = replica_watcher;
}

/* Counts the replicas of zones whose evacuation has ended since the last call
   as cold: they may have become cold in the meantime, and their registrations
   say so only later.  */
void
ds_cold_starts_note_evacuations (struct ds_cold_starts *starts,
                                 const struct ds_evacuations *evacuations,
                                 uint64_t now_ms)
{
  uint64_t newest_ms = starts->evacuation_ended_ms;

  for (size_t i = 0; i < ds_replica_set_count (starts->replicas); i++)
    {
      struct ds_replica *replica = ds_replica_set_at (starts->replicas, i);
      uint64_t ended_ms
          = ds_evacuations_ended_ms (evacuations, replica->record.zone);

      if (ended_ms <= starts->evacuation_ended_ms)
        continue;
      ds_cold_state_forget (&replica->cold, now_ms);
      if (ended_ms > newest_ms)
        newest_ms = ended_ms;
    }
  starts->evacuation_ended_ms = newest_ms;
}

/* Asks the store whether the replicas in doubt are still the same.  */
static void
check_doubts (struct ds_cold_starts *starts, uint64_t now_ms)
{
  if (starts->doubts && now_ms >= starts->check_ms
      && ds_store_watcher_check (starts->replica_watcher,
                                 "a replica may have started again"))
    starts->check_ms = now_ms + CHECK_INTERVAL_MS;
}

/* Reads the list of hosts while this host needs it.  */
static void
update_list (struct ds_cold_starts *starts,
             const struct ds_routing_config *config, uint64_t now_ms)
{
  if (starts->pending != NULL || now_ms < starts->retry_ms
      || !ds_cold_limit_needs_list (&starts->limit, now_ms))
    return;
  if (!may_send_to_cold (starts, config, now_ms))
    {
      starts->due_ms = 0;
      return;
    }
  if (starts->due_ms == 0)
    starts->due_ms = now_ms + starts->limit.self % LIST_SPREAD_MS;
  if (now_ms < starts->due_ms)
    return;
  starts->due_ms = 0;
  starts->asked_ms = now_ms;
  if (!ask_for_page (starts))
    starts->retry_ms = now_ms + RETRY_MS;
}

/* Reads the list of hosts about every five seconds while a replica is cold of
   which this host may be a sender.  Returns whether the registration should be
   written as settled now.  Call it several times a second.  */
bool
ds_cold_starts_tick (struct ds_cold_starts *starts,
                     const struct ds_routing_config *config, uint64_t now_ms)
{
  if (starts->limit.registered_ms == 0 || !has_cold_phase (config))
    return false;
  check_doubts (starts, now_ms);
  update_list (starts, config, now_ms);
  if (starts->limit.settled || now_ms < starts->settle_ms
      || !ds_cold_limit_is_settled (&starts->limit, now_ms))
    return false;
  starts->settle_ms = now_ms + SETTLE_RETRY_MS;
  return true;
}

/* Adds or updates the replica of RECORD, as by ds_replica_set_put, and notes
   what its registration at REVISION says of its cold time.  */
int
ds_cold_starts_put_replica (struct ds_cold_starts *starts,
                            const struct ds_replica_record *record,
                            uint64_t revision, uint64_t now_ms)
{
  int status = ds_replica_set_put (starts->replicas, record);
  struct ds_replica *replica
      = ds_replica_set_find (starts->replicas, record->id);
  struct ds_decision_line line;

  if (status != 0 || replica == NULL
      || replica->record.start_time_ms != record->start_time_ms
      || !ds_cold_state_observe (&replica->cold, record->cold_remaining_ms,
                                 revision, now_ms)
      || record->cold_remaining_ms == DS_COLD_UNKNOWN
      || record->cold_remaining_ms == 0)
    return status;
  line = ds_decision_line_begin ("replica", DS_STR_EMPTY);
  ds_decision_line_add_text (&line, "replica", record->id);
  ds_decision_line_add_text (&line, "state", DS_STR ("registers_cold"));
  ds_decision_line_add_number (&line, "revision", (int64_t)revision);
  ds_decision_line_add_number (&line, "cold_ms",
                               (int64_t)record->cold_remaining_ms);
  ds_decision_line_end (&line);
  return 0;
}

/* Completes REQUEST, whose service is known, with what limits requests to its
   cold replicas.  */
void
ds_cold_starts_fill_request (const struct ds_cold_starts *starts,
                             struct ds_placement_request *request,
                             const struct ds_routing_config *config,
                             unsigned urgency)
{
  request->cold_rule = find_rule (config, request->service);
  request->cold_limit = request->cold_rule.per_s > 0 ? &starts->limit : NULL;
  request->urgency = urgency;
}

/* Returns for how long REPLICA stays cold for REQUEST.  */
static uint64_t
remaining_ms (const struct ds_placement_request *request,
              const struct ds_replica *replica, uint64_t now_ms)
{
  return request->cold_limit == NULL
             ? 0
             : ds_cold_state_remaining_ms (&replica->cold, &request->cold_rule,
                                           now_ms);
}

/* Whether REPLICA is cold for REQUEST, as far as this host knows.  A request
   to a cold one needs a new connection, established within DS_COLD_ARRIVAL_MS:
   on one that is kept, several would arrive at once after a stall of the link.
 */
bool
ds_cold_starts_is_cold (const struct ds_placement_request *request,
                        const struct ds_replica *replica, uint64_t now_ms)
{
  return remaining_ms (request, replica, now_ms) > 0;
}

/* Records that REQUEST is sent to REPLICA.  Those to warm replicas count as
   well, since one may become cold at any time.  */
void
ds_cold_starts_record_sent (struct ds_replica *replica,
                            const struct ds_placement_request *request,
                            uint64_t now_ms)
{
  if (remaining_ms (request, replica, now_ms) > 0)
    ds_metric_add (DS_METRIC_COLD_REQUESTS, 1);
  replica->cold.sent_ms = now_ms;
}

/* Records what a response from REPLICA, which may have been dropped and added
   again since, says of its cold time.  Only one that names the request
   REQUEST_ID is known to be current.  */
void
ds_cold_starts_record_response (struct ds_cold_starts *starts,
                                const struct ds_replica *replica,
                                const struct ds_upstream_response *response,
                                struct ds_str request_id, uint64_t now_ms)
{
  struct ds_replica *current;

  if (response->cold_ms == DS_COLD_UNKNOWN)
    return;
  current = ds_replica_set_find_by_hash (starts->replicas, replica->hash);
  if (current == NULL)
    return;
  ds_cold_state_hear (&current->cold, response->cold_ms,
                      ds_str_equal (response->request_id, request_id), now_ms);
}

/* Records that a connection to REPLICA, for REQUEST, was not established or
   broke.  The replica may have started again unseen, and counts as cold until
   the store has answered; a waiting watch does not show whether the store can
   be reached, so it is ended early.  */
void
ds_cold_starts_record_failure (struct ds_cold_starts *starts,
                               const struct ds_replica *replica,
                               const struct ds_placement_request *request,
                               uint64_t now_ms)
{
  struct ds_replica *current
      = ds_replica_set_find_by_hash (starts->replicas, replica->hash);

  if (current == NULL || request->cold_limit == NULL)
    return;
  ds_cold_state_doubt (&current->cold, now_ms);
  starts->doubts = true;
  check_doubts (starts, now_ms);
}

/* Ends doubts about replicas that a call to the store begun at ASKED_MS still
   names.  */
void
ds_cold_starts_end_doubts (struct ds_cold_starts *starts, uint64_t asked_ms)
{
  starts->doubts = false;
  for (size_t i = 0; i < ds_replica_set_count (starts->replicas); i++)
    {
      struct ds_cold_state *state
          = &ds_replica_set_at (starts->replicas, i)->cold;

      ds_cold_state_end_doubt (state, asked_ms);
      starts->doubts = starts->doubts || state->doubted_ms > 0;
    }
}

/* Records that REQUEST was refused although PLACEMENT knew a replica that will
   take it.  */
void
ds_cold_starts_record_refusal (struct ds_cold_starts *starts,
                               const struct ds_placement_request *request,
                               const struct ds_placement *placement,
                               struct ds_str request_id, uint64_t now_ms)
{
  struct ds_decision_line line;
  uint64_t wait_ms;

  if (placement->obstacle != DS_PLACEMENT_COLD)
    return;
  wait_ms = ds_placement_wait_ms (starts->replicas, request, now_ms);
  ds_metric_add (DS_METRIC_COLD_REFUSED, 1);
  ds_cold_limit_record_refusal (&starts->limit, request->urgency, wait_ms,
                                now_ms);
  line = ds_decision_line_begin ("cold_refused", request_id);
  ds_decision_line_add_text (&line, "service", request->service);
  ds_decision_line_add_text (&line, "replica",
                             placement->passed_over->record.id);
  ds_decision_line_add_number (&line, "urgency", request->urgency);
  ds_decision_line_add_number (&line, "wait_ms", (int64_t)wait_ms);
  ds_decision_line_add_number (&line, "hosts",
                               (int64_t)starts->limit.host_count);
  ds_decision_line_add_number (&line, "list_age_ms",
                               starts->limit.host_count > 0
                                   ? (int64_t)(now_ms - starts->limit.asked_ms)
                                   : -1);
  ds_decision_line_end (&line);
}

/* Adds to the LINE of a placement for how long the chosen REPLICA is cold.  */
void
ds_cold_starts_describe (struct ds_decision_line *line,
                         const struct ds_placement_request *request,
                         const struct ds_replica *replica, uint64_t now_ms)
{
  uint64_t cold_ms = remaining_ms (request, replica, now_ms);

  if (cold_ms > 0)
    ds_decision_line_add_number (line, "cold_ms", (int64_t)cold_ms);
}
