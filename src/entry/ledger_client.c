#include "entry/ledger_client.h"
#include "base/decision_log.h"
#include "core/ledger_page.h"
#include "daisystep/log.h"
#include "daisystep/metrics.h"
#include "entry/unreadable_entry.h"
#include "io/clock.h"
#include "platform/names.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

/* The store responds within 4 ms, or 240 ms when it is slow.  */
#define CALL_TIMEOUT_MS 1000
/* Delay before an update is retried after a conflict, with jitter, and after a
   refusal; every call is billed, even a refused one.  */
#define CONFLICT_BACKOFF_MS 12
#define REFUSED_BACKOFF_MS 400
/* Limit of the doublings after consecutive conflicts.  */
#define CONFLICT_DOUBLINGS_MAX 5
/* Shortest interval of this host's updates of a page.  */
#define UPDATE_INTERVAL_MIN_MS 60
/* Part of the hold of a page in which the hosts that have seen it raise it, at
   random times: the rest is for conflicts among them.  */
#define RAISE_DELAY_DIVISOR 2
/* Time without a response after which the store may be unavailable.  */
#define SLOW_CALL_MS 60

enum call_state
{
  CALL_NONE,
  CALL_READ,
  CALL_WRITE
};

/* Local copy of one ledger page, and this host's updates of it.  */
struct ds_ledger_client
{
  struct ds_ledger_client_options options;
  char *name;
  struct ds_allotment **allotments;
  size_t count;
  json_t *page; /* as last read; null if it does not exist */
  uint64_t revision;
  uint64_t unreadable_revision; /* the last one reported; 0 for none */
  bool page_known;              /* PAGE and REVISION have been read */
  enum call_state state;
  struct ds_store_pending_call *pending;
  json_t *update_spec; /* the page that the current update writes */
  bool unresolved;     /* the update was sent and may have been applied */
  uint64_t number;     /* of the newest update */
  uint64_t reclaimed;  /* tokens, in the page as last decoded */
  uint64_t returned;   /* tokens of ended writers, by the newest update */
  uint64_t not_before_ms;
  uint64_t updated_ms;
  uint64_t called_ms; /* start of the current call */
  uint32_t conflicts; /* consecutive */
  bool store_responds;
  struct ds_ledger_restore restore;
  uint64_t page_era; /* in which the page was completed */
};

/* What build_update has made.  */
enum build_result
{
  BUILD_FAILED,
  BUILD_UNCHANGED, /* the page is held, and nothing has to be written */
  BUILD_UPDATE
};

static const struct ds_store_era *
store_era (const struct ds_ledger_client *client)
{
  return ds_store_client_era (client->options.store);
}

/* Counts and logs REVISION of the page, which cannot be read, unless that has
   been done before.  */
static void
report_unreadable (struct ds_ledger_client *client, uint64_t revision,
                   const char *reason)
{
  if (revision > 0 && revision == client->unreadable_revision)
    return;
  client->unreadable_revision = revision;
  ds_unreadable_entry_report (DS_KIND_LEDGER, ds_str_from_c (client->name),
                              revision, reason);
}

/* Decodes the page as last read, or creates an empty one if none exists.  What
   writers that have ended have not released is part of what is left: the next
   update returns it.  In a page that no host has completed in the present era
   of the store the records are of a copy: what they name may have been
   returned and drawn again in the lost part.  */
static int
decode_page (struct ds_ledger_page **out, struct ds_ledger_client *client)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_writer_ends ends;
  int status;

  client->reclaimed = 0;
  if (client->page == NULL)
    return ds_ledger_page_new (out, client);
  status = ds_ledger_page_decode (out, client, client->page, &error);
  if (status != 0)
    {
      report_unreadable (client, client->revision, error.message);
      return status;
    }
  if ((*out)->era != store_era (client)->era)
    return 0;
  ends = client->options.writer_ends (client->options.user_data);
  client->reclaimed
      = ds_ledger_page_reclaim (*out, client->options.writer, &ends);
  return 0;
}

/* Applies the object in a response; false when it is invalid.  */
static bool
accept_object (struct ds_ledger_client *client, struct ds_str body)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_store_object *object;

  if (ds_store_object_decode (&object, client, body, &error) != 0)
    {
      ds_log_error (&error, NULL);
      return false;
    }
  if (object->spec == NULL)
    {
      report_unreadable (client, object->revision, object->problem);
      talloc_free (object);
      return false;
    }
  json_decref (client->page);
  client->page = json_incref (object->spec);
  client->revision = object->revision;
  client->page_known = true;
  talloc_free (object);
  return true;
}

static void
confirm_all (struct ds_ledger_client *client)
{
  for (size_t i = 0; i < client->count; i++)
    ds_allotment_confirm (client->allotments[i]);
  ds_metric_add (DS_METRIC_TOKENS_RECLAIMED, (int64_t)client->returned);
  client->unresolved = false;
}

static void
withdraw_all (struct ds_ledger_client *client)
{
  for (size_t i = 0; i < client->count; i++)
    ds_allotment_withdraw (client->allotments[i]);
  client->unresolved = false;
}

/* Determines whether the latest update was applied, by comparing its number
   with the one in the page as last read.  */
static void
resolve (struct ds_ledger_client *client)
{
  struct ds_ledger_page *page;

  if (decode_page (&page, client) != 0)
    {
      /* Another read may return a valid page.  */
      client->page_known = false;
      client->unresolved = true;
      return;
    }
  if (ds_ledger_page_update_number (page, client->options.writer)
      == client->number)
    confirm_all (client);
  else
    withdraw_all (client);
  talloc_free (page);
}

static void
observe_page (struct ds_ledger_client *client, uint64_t now_ms)
{
  struct ds_ledger_page *page;

  client->page_era = 0;
  if (client->page == NULL || decode_page (&page, client) != 0)
    return;
  client->page_era = page->era;
  ds_ledger_restore_observe (&client->restore, page, store_era (client),
                             now_ms);
  for (size_t i = 0; i < client->count; i++)
    ds_allotment_observe (client->allotments[i], page, now_ms);
  talloc_free (page);
}

static void
log_update (const struct ds_ledger_client *client,
            const struct ds_store_result *result)
{
  struct ds_decision_line line
      = ds_decision_line_begin ("ledger_update", DS_STR_EMPTY);

  ds_decision_line_add_text (&line, "page", ds_str_from_c (client->name));
  ds_decision_line_add_text (
      &line, "outcome",
      ds_str_from_c (ds_store_outcome_name (result->outcome)));
  ds_decision_line_add_number (&line, "status", result->status);
  ds_decision_line_add_number (&line, "number", (int64_t)client->number);
  ds_decision_line_add_number (&line, "revision", (int64_t)client->revision);
  ds_decision_line_add_number (&line, "reclaimed", (int64_t)client->returned);
  ds_decision_line_end (&line);
}

/* Handles an update that found another revision: either an earlier attempt at
   it was applied, or another host wrote first.  */
static void
on_conflict (struct ds_ledger_client *client, struct ds_str body,
             uint64_t now_ms)
{
  uint32_t doublings;

  if (!accept_object (client, body))
    {
      /* The next read shows which.  */
      client->page_known = false;
      client->unresolved = true;
      return;
    }
  ds_metric_add (DS_METRIC_PLATFORM_CONFLICTS, 1);
  resolve (client);
  observe_page (client, now_ms);
  client->conflicts++;
  doublings = client->conflicts < CONFLICT_DOUBLINGS_MAX
                  ? client->conflicts
                  : CONFLICT_DOUBLINGS_MAX;
  client->not_before_ms
      = now_ms + 1
        + (uint64_t)random () % ((uint64_t)CONFLICT_BACKOFF_MS << doublings);
}

static void
on_written (struct ds_ledger_client *client,
            const struct ds_store_result *result, uint64_t now_ms)
{
  switch (result->outcome)
    {
    case DS_STORE_OK:
      /* With an invalid response, the update is applied but the revision is
         unknown.  */
      if (!accept_object (client, result->body))
        {
          json_decref (client->page);
          client->page = json_incref (client->update_spec);
          client->page_known = false;
        }
      confirm_all (client);
      observe_page (client, now_ms);
      client->conflicts = 0;
      client->updated_ms = now_ms;
      client->not_before_ms = now_ms + UPDATE_INTERVAL_MIN_MS;
      break;
    case DS_STORE_CONFLICT:
      on_conflict (client, result->body, now_ms);
      break;
    case DS_STORE_NOT_FOUND:
      /* Pages are never deleted; the next update creates it again only if a
         read finds none.  */
      withdraw_all (client);
      client->page_known = false;
      break;
    case DS_STORE_UNKNOWN:
      client->unresolved = true;
      client->not_before_ms = now_ms + REFUSED_BACKOFF_MS;
      break;
    case DS_STORE_HISTORY_EXPIRED:
    case DS_STORE_REFUSED:
    default:
      /* An earlier attempt may still be applied; this one was not.  */
      if (!client->unresolved)
        withdraw_all (client);
      client->not_before_ms
          = now_ms + REFUSED_BACKOFF_MS / 2
            + (uint64_t)(random () % (REFUSED_BACKOFF_MS / 2));
      break;
    }
}

static void
on_read (struct ds_ledger_client *client, const struct ds_store_result *result,
         uint64_t now_ms)
{
  switch (result->outcome)
    {
    case DS_STORE_OK:
      if (!accept_object (client, result->body))
        {
          client->not_before_ms = now_ms + REFUSED_BACKOFF_MS;
          return;
        }
      break;
    case DS_STORE_NOT_FOUND:
      json_decref (client->page);
      client->page = NULL;
      client->revision = 0;
      client->page_known = true;
      break;
    default:
      client->not_before_ms = now_ms + REFUSED_BACKOFF_MS;
      return;
    }
  if (client->unresolved)
    resolve (client);
  observe_page (client, now_ms);
}

static void
on_done (const struct ds_store_result *result, void *user_data)
{
  struct ds_ledger_client *client = user_data;
  enum call_state state = client->state;
  uint64_t now_ms = ds_clock_ms ();

  client->pending = NULL;
  client->state = CALL_NONE;
  client->store_responds = result->outcome != DS_STORE_UNKNOWN
                           && result->outcome != DS_STORE_REFUSED;
  if (result->outcome == DS_STORE_UNKNOWN)
    client->options.on_timeout (client->options.user_data);
  if (state == CALL_WRITE && result->sent_era != store_era (client)->era)
    {
      /* The store has returned from an older copy since the update was sent,
         so it may hold it or not, whatever it responded.  */
      client->page_known = false;
      client->unresolved = true;
      log_update (client, result);
    }
  else if (state == CALL_WRITE)
    {
      on_written (client, result, now_ms);
      log_update (client, result);
    }
  else
    on_read (client, result, now_ms);
  client->options.on_response (client->options.user_data);
}

static void
log_raise (const struct ds_ledger_client *client,
           const struct ds_ledger_restore_result *result)
{
  struct ds_decision_line line;

  ds_metric_add (DS_METRIC_LEDGER_RAISES, 1);
  ds_metric_add (DS_METRIC_TOKENS_HELD_BACK, (int64_t)result->held_back);
  line = ds_decision_line_begin ("ledger_raised", DS_STR_EMPTY);
  ds_decision_line_add_text (&line, "page", ds_str_from_c (client->name));
  ds_decision_line_add_number (&line, "era", (int64_t)store_era (client)->era);
  ds_decision_line_add_number (&line, "held", result->held);
  ds_decision_line_add_number (&line, "tokens", (int64_t)result->raised);
  ds_decision_line_add_number (&line, "held_back", (int64_t)result->held_back);
  ds_decision_line_end (&line);
}

/* Builds the next update from the page as last read.  It fails when the page
   is invalid or memory is short.  */
static enum build_result
build_update (struct ds_ledger_client *client, bool closing, uint64_t now_ms)
{
  struct ds_release_moment moment
      = client->options.release_moment (client->options.user_data);
  struct ds_ledger_restore_result restored;
  struct ds_ledger_page *page;
  int status = decode_page (&page, client);

  if (status != 0)
    return BUILD_FAILED;
  status = ds_ledger_restore_apply (&client->restore, page, store_era (client),
                                    client->options.policy->max_fraction,
                                    now_ms, &restored);
  if (status != 0 || (restored.held && !restored.changed))
    {
      talloc_free (page);
      return status != 0 ? BUILD_FAILED : BUILD_UNCHANGED;
    }
  if (restored.changed)
    log_raise (client, &restored);
  client->number++;
  client->returned = client->reclaimed;
  for (size_t i = 0; i < client->count && status == 0 && !restored.held; i++)
    {
      status = ds_allotment_apply (client->allotments[i], page,
                                   client->options.policy, closing);
      if (status == 0)
        status = ds_allotment_lock (client->allotments[i], page,
                                    client->options.writer,
                                    client->options.release, &moment, closing);
    }
  ds_ledger_page_remove_old_writers (page, client->options.writer);
  if (status == 0)
    status = ds_ledger_page_set_update_number (page, client->options.writer,
                                               client->number);
  if (status == 0)
    {
      json_decref (client->update_spec);
      client->update_spec = ds_ledger_page_encode (page);
    }
  else
    withdraw_all (client);
  talloc_free (page);
  return status == 0 ? BUILD_UPDATE : BUILD_FAILED;
}

/* Reads the page if it is unknown, else writes the changes of the accounts,
   unless a call is in progress or a delay has not passed.  */
void
ds_ledger_client_update (struct ds_ledger_client *client, uint64_t now_ms,
                         bool closing)
{
  struct ds_store_call call = {
    .verb = DS_STORE_GET,
    .kind = DS_KIND_LEDGER,
    .name = ds_str_from_c (client->name),
  };

  if (client->state != CALL_NONE || client->not_before_ms > now_ms)
    return;
  if (client->restore.read_again
      && ds_ledger_client_needs_raise (client, now_ms))
    {
      client->restore.read_again = false;
      client->page_known = client->unresolved && client->page_known;
    }
  if (ds_store_client_may_miss_era (client->options.store))
    client->page_known = false;
  if (ds_ledger_client_is_held (client, now_ms) && !client->unresolved
      && !ds_ledger_client_needs_raise (client, now_ms))
    return;
  client->state = CALL_READ;
  if (client->page_known)
    {
      /* An update with unknown outcome is sent again unchanged: the store
         applies it at most once, since it is conditional on the revision.  */
      if (!client->unresolved
          && build_update (client, closing, now_ms) != BUILD_UPDATE)
        {
          client->state = CALL_NONE;
          client->not_before_ms = now_ms + REFUSED_BACKOFF_MS;
          return;
        }
      client->state = CALL_WRITE;
      call.verb = client->page != NULL ? DS_STORE_REPLACE : DS_STORE_CREATE;
      call.spec = client->update_spec;
      call.conditional = client->page != NULL;
      call.revision = client->revision;
    }
  client->called_ms = now_ms;
  if (ds_store_client_call (&client->pending, client->options.store, &call,
                            CALL_TIMEOUT_MS, on_done, client)
      != 0)
    {
      if (client->state == CALL_WRITE && !client->unresolved)
        withdraw_all (client);
      client->state = CALL_NONE;
      client->not_before_ms = now_ms + REFUSED_BACKOFF_MS;
    }
}

static int
destroy (struct ds_ledger_client *client)
{
  json_decref (client->page);
  json_decref (client->update_spec);
  return 0;
}

/* Keeps what this host has seen of the accounts, now that the store has
   returned from an older copy.  What others have reported is in the
   allotments.  Nothing is written before the page has been read again.  */
void
ds_ledger_client_begin_era (struct ds_ledger_client *client, uint64_t now_ms)
{
  struct ds_ledger_page *copy = NULL;
  uint32_t delay_ms = store_era (client)->hold_ms / RAISE_DELAY_DIVISOR;
  int status = 0;

  if (client->page != NULL)
    status = decode_page (&copy, client);
  if (status == 0)
    status = ds_ledger_restore_begin (&client->restore, client, copy, now_ms,
                                      (uint32_t)random () % (delay_ms + 1));
  for (size_t i = 0; i < client->count && status == 0; i++)
    {
      const struct ds_allotment *allotment = client->allotments[i];
      struct ds_ledger_report report = {
        .workspace = allotment->workspace,
        .reporter = allotment->ledger_reporter,
        .era = store_era (client)->previous,
        .limit = allotment->limit,
        .version = allotment->version,
        .settled = allotment->ledger_settled,
        .ungranted = allotment->ledger_ungranted,
      };

      if (allotment->known && report.reporter != 0)
        status
            = ds_ledger_restore_add_report (&client->restore, client, &report);
    }
  if (status != 0)
    report_unreadable (client, client->revision, "cannot keep what was seen");
  talloc_free (copy);
  for (size_t i = 0; i < client->count; i++)
    ds_allotment_drop_returned (client->allotments[i]);
  client->page_known = false;
  client->conflicts = 0;
}

/* True if the page grants nothing yet, since other hosts may still have to
   raise it.  */
bool
ds_ledger_client_is_held (const struct ds_ledger_client *client,
                          uint64_t now_ms)
{
  return client->page_known
         && ds_store_era_is_held (store_era (client), client->page_era,
                                  now_ms);
}

/* True if this host is to raise the page to what it has seen.  */
bool
ds_ledger_client_needs_raise (struct ds_ledger_client *client, uint64_t now_ms)
{
  uint64_t held_back = ds_ledger_restore_check_reports (
      &client->restore, store_era (client),
      client->options.policy->max_fraction, &client->options.peers, now_ms);

  if (held_back > 0)
    {
      struct ds_decision_line line
          = ds_decision_line_begin ("tokens_held_back", DS_STR_EMPTY);

      ds_metric_add (DS_METRIC_TOKENS_HELD_BACK, (int64_t)held_back);
      ds_decision_line_add_text (&line, "page", ds_str_from_c (client->name));
      ds_decision_line_add_number (&line, "era",
                                   (int64_t)store_era (client)->era);
      ds_decision_line_add_number (&line, "tokens", (int64_t)held_back);
      ds_decision_line_end (&line);
    }
  return ds_ledger_restore_is_due (&client->restore, now_ms);
}

/* Creates a client for a page without reading it.  */
int
ds_ledger_client_new (struct ds_ledger_client **out, TALLOC_CTX *owner,
                      const struct ds_ledger_client_options *options)
{
  struct ds_ledger_client *client
      = talloc_zero (owner, struct ds_ledger_client);

  if (client == NULL)
    return DS_ENOMEM;
  client->options = *options;
  client->name = talloc_asprintf (client, "page-%" PRIu32, options->index);
  if (client->name == NULL)
    {
      talloc_free (client);
      return DS_ENOMEM;
    }
  /* The store counts as available until a call fails.  */
  client->store_responds = true;
  talloc_set_destructor (client, destroy);
  *out = client;
  return 0;
}

/* Adds ALLOTMENT, whose account is in this page.  An update in progress does
   not include it.  */
int
ds_ledger_client_add (struct ds_ledger_client *client,
                      struct ds_allotment *allotment)
{
  struct ds_allotment **grown
      = talloc_realloc (client, client->allotments, struct ds_allotment *,
                        (unsigned)client->count + 1);

  if (grown == NULL)
    return DS_ENOMEM;
  client->allotments = grown;
  grown[client->count++] = allotment;
  return 0;
}

uint32_t
ds_ledger_client_index (const struct ds_ledger_client *client)
{
  return client->options.index;
}

/* True if the store responds in time and with few consecutive conflicts.  */
bool
ds_ledger_client_is_reachable (const struct ds_ledger_client *client,
                               uint64_t now_ms)
{
  return client->store_responds
         && (client->state == CALL_NONE
             || now_ms - client->called_ms < SLOW_CALL_MS)
         && client->conflicts < CONFLICT_DOUBLINGS_MAX;
}

/* True if no update is in progress that may draw tokens.  */
bool
ds_ledger_client_is_idle (const struct ds_ledger_client *client)
{
  return client->state == CALL_NONE && !client->unresolved;
}

bool
ds_ledger_client_is_unresolved (const struct ds_ledger_client *client)
{
  return client->unresolved;
}

/* Time of this host's last successful update, 0 for never.  */
uint64_t
ds_ledger_client_updated_ms (const struct ds_ledger_client *client)
{
  return client->updated_ms;
}
