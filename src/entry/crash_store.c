#include "entry/crash_store.h"
#include "base/decision_log.h"
#include "core/crash_record.h"
#include "daisystep/log.h"
#include "daisystep/metrics.h"
#include "entry/unreadable_entry.h"
#include "io/clock.h"
#include "io/timer.h"
#include "platform/names.h"

#include <stdlib.h>
#include <time.h>

#define CALL_TIMEOUT_MS 1000
/* Time after a change in which others join the same write, and in which a
   popular part is cleared that was on its way to some crashed replicas.  */
#define BATCH_MS 200
/* Delays before a failed call is repeated, with jitter; every call is
   priced.  */
#define RETRY_MIN_MS 300
#define RETRY_MAX_MS 5000
/* Failed reads after which a host starts without the record, as one does whose
   store is away.  */
#define READS_BEFORE_START 3
/* Time after the store has returned from an older copy in which the hosts that
   know of causes, one after another, read the record again.  */
#define READ_SPREAD_MS 3000

/* The record of the causes of crashes in the store.  A host reads it when it
   starts, and again when another has written before it.  */
struct ds_crash_store
{
  struct ds_crash_store_options options;
  struct ds_crash_record stored; /* as last read or written */
  struct ds_crash_record current;
  uint64_t revision;
  bool known;  /* STORED and REVISION have been read */
  bool exists; /* the object does */
  bool writes; /* the call in progress does */
  struct ds_store_pending_call *pending;
  struct ds_timer *timer;
  uint32_t retry_ms;
  uint32_t failed_reads;
  bool settled;
};

static void step (void *user_data);

static uint64_t
wall_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void
schedule (struct ds_crash_store *store, uint32_t after_ms)
{
  if (store->timer == NULL && store->pending == NULL)
    store->timer
        = ds_timer_add (store->options.ev, store, after_ms, step, store);
}

static void
on_change (void *user_data)
{
  schedule (user_data, BATCH_MS);
}

static void
retry (struct ds_crash_store *store)
{
  store->retry_ms = store->retry_ms > 0 ? 2 * store->retry_ms : RETRY_MIN_MS;
  if (store->retry_ms > RETRY_MAX_MS)
    store->retry_ms = RETRY_MAX_MS;
  schedule (store,
            store->retry_ms / 2 + (uint32_t)random () % (store->retry_ms / 2));
}

/* Takes the object in a response for the record, and its causes for known.  */
static void
accept_object (struct ds_crash_store *store, struct ds_str body)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_store_object *object;

  store->known = false;
  if (ds_store_object_decode (&object, store, body, &error) != 0)
    {
      ds_log_error (&error, NULL);
      return;
    }
  /* A record that cannot be read names no cause, and is written anew.  */
  if (object->spec == NULL)
    ds_unreadable_entry_report (DS_KIND_CRASHES, object->name,
                                object->revision, object->problem);
  ds_crash_record_decode (&store->stored, object->spec, wall_ms ());
  store->revision = object->revision;
  store->known = true;
  store->exists = true;
  talloc_free (object);
  for (size_t i = 0; i < store->stored.count; i++)
    ds_crash_evidence_restore (store->options.evidence,
                               &store->stored.reports[i]);
}

static void
log_call (const struct ds_crash_store *store,
          const struct ds_store_result *result)
{
  struct ds_decision_line line
      = ds_decision_line_begin ("crash_record", DS_STR_EMPTY);

  ds_decision_line_add_text (
      &line, "call", store->writes ? DS_STR ("write") : DS_STR ("read"));
  ds_decision_line_add_text (
      &line, "outcome",
      ds_str_from_c (ds_store_outcome_name (result->outcome)));
  ds_decision_line_add_number (&line, "status", result->status);
  ds_decision_line_add_number (&line, "causes", (int64_t)store->stored.count);
  ds_decision_line_add_number (&line, "revision", (int64_t)store->revision);
  ds_decision_line_end (&line);
}

/* Lets the host start once the record was read, or after some failures.  */
static void
settle (struct ds_crash_store *store)
{
  if (store->settled)
    return;
  if (!store->known)
    store->failed_reads++;
  if (!store->known && store->failed_reads < READS_BEFORE_START)
    return;
  store->settled = true;
  store->options.on_settled (store->options.user_data);
}

static void
on_done (const struct ds_store_result *result, void *user_data)
{
  struct ds_crash_store *store = user_data;
  bool failed = false;

  store->pending = NULL;
  if (store->writes
      && result->sent_era != ds_store_client_era (store->options.store)->era)
    {
      /* The revision that the write was based on is of an earlier era.  */
      store->known = false;
      retry (store);
      return;
    }
  switch (result->outcome)
    {
    case DS_STORE_OK:
      accept_object (store, result->body);
      failed = !store->known;
      break;
    case DS_STORE_CONFLICT:
      accept_object (store, result->body);
      failed = true;
      break;
    case DS_STORE_NOT_FOUND:
      store->stored.count = 0;
      store->revision = 0;
      store->known = true;
      store->exists = false;
      break;
    case DS_STORE_HISTORY_EXPIRED:
    case DS_STORE_REFUSED:
    case DS_STORE_UNKNOWN:
      failed = true;
      break;
    }
  if (store->writes && result->outcome == DS_STORE_OK)
    ds_metric_add (DS_METRIC_CRASH_RECORD_WRITES, 1);
  log_call (store, result);
  settle (store);
  if (failed)
    retry (store);
  else
    {
      store->retry_ms = 0;
      schedule (store, BATCH_MS);
    }
}

/* Whether the record has to be written.  */
static bool
is_behind (struct ds_crash_store *store)
{
  const struct ds_crash_suspects *suspects
      = ds_crash_evidence_suspects (store->options.evidence);

  store->current.count = ds_crash_suspects_list_causes (
      suspects, store->current.reports, DS_CRASH_RECORD_MAX, ds_clock_ms ());
  return ds_crash_record_is_behind (
      &store->stored, &store->current, suspects,
      ds_crash_evidence_host (store->options.evidence));
}

/* Reads the record if it is not known, or writes it if it is behind.  */
static void
step (void *user_data)
{
  struct ds_crash_store *store = user_data;
  struct ds_store_call call = {
    .verb = DS_STORE_GET,
    .kind = DS_KIND_CRASHES,
    .name = DS_STR (DS_CRASHES_NAME),
  };
  json_t *spec = NULL;

  store->timer = NULL;
  store->writes = store->known;
  if (store->known)
    {
      if (!is_behind (store))
        return;
      spec = ds_crash_record_encode (&store->current, wall_ms ());
      call.verb = store->exists ? DS_STORE_REPLACE : DS_STORE_CREATE;
      call.conditional = store->exists;
      call.revision = store->revision;
      call.spec = spec;
    }
  if (ds_store_client_call (&store->pending, store->options.store, &call,
                            CALL_TIMEOUT_MS, on_done, store)
      != 0)
    {
      settle (store);
      retry (store);
    }
  json_decref (spec);
}

/* Creates a store of the evidence in OPTIONS and begins to read the record.
   Changes of the evidence are written from then on.  */
int
ds_crash_store_new (struct ds_crash_store **out, TALLOC_CTX *owner,
                    const struct ds_crash_store_options *options)
{
  struct ds_crash_store *store = talloc_zero (owner, struct ds_crash_store);

  if (store == NULL)
    return DS_ENOMEM;
  store->options = *options;
  ds_crash_evidence_set_listener (options->evidence, on_change, store);
  step (store);
  *out = store;
  return 0;
}

/* Whether a host may start: the record was read, or the store is away.  */
bool
ds_crash_store_is_settled (const struct ds_crash_store *store)
{
  return store->settled;
}

/* Reads the record again after the store has returned from an older copy, and
   writes what this host is to record if it is missing.  A host that knows of
   no cause does so when it learns of one.  */
void
ds_crash_store_begin_era (struct ds_crash_store *store)
{
  bool had_causes = store->stored.count > 0;

  store->known = false;
  if (had_causes)
    schedule (store, (uint32_t)random () % READ_SPREAD_MS);
}
