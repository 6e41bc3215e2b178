#include "entry/store_watcher.h"
#include "base/decision_log.h"
#include "core/list_cursor.h"
#include "entry/unreadable_entry.h"
#include "io/clock.h"
#include "io/timer.h"

#include <stdlib.h>

/* Time for a response; slow responses of the store take up to 60 times their
   usual few milliseconds, and a list on a slow link up to a second.  */
#define RESPONSE_TIMEOUT_MS 2500
/* Time beyond its wait after which a watch is restarted.  Shorter than the
   time for a response: a restart that was not needed costs one call.  */
#define WATCH_OVERDUE_MS 750
/* Wait of a watch that only checks whether the store responds.  */
#define CHECK_WAIT_MS 1
/* Place of a watcher that has not been told of other hosts.  */
#define PLACE_ALONE                                                           \
  {                                                                           \
    .hosts = 1, .interval_ms = 1000                                           \
  }
/* First and longest delay of a retry: each call is billed, and a change must
   take effect two seconds after the store accepted it.  */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 1000
/* Interval of checks of a disconnected primary, which cost no call, and their
   number before the watcher calls the store itself: the primary's failure may
   be limited to its kind.  */
#define PRIMARY_CHECK_MS 100
#define PRIMARY_CHECKS_MAX 30

struct ds_store_watcher
{
  struct tevent_context *ev;
  struct ds_store_client *store;
  const char *kind;
  struct ds_store_watcher_handlers handlers;
  struct ds_store_pending_call *pending;
  struct ds_list_cursor list; /* the current or last one */
  uint64_t revision;          /* of the known state */
  uint64_t list_revision;
  uint64_t era;             /* of the store, in which the revisions count */
  uint64_t object_revision; /* the highest of an object or its removal */
  struct ds_watch_place place;
  uint64_t asked_ms;     /* start of the last call */
  uint64_t responded_ms; /* when the last response arrived; 0 before */
  uint32_t retry_ms;
  uint32_t primary_checks; /* since the last call */
  bool listing;
  bool checking; /* the call tests whether the store responds */
  bool idle;     /* the last watch ended without a change */
  bool connected;
  bool listed; /* at least once */
  bool call_scheduled;
};

static void start_call (struct ds_store_watcher *watcher);

static void on_retry (void *user_data);

static void
schedule_call (struct ds_store_watcher *watcher, uint32_t pause_ms)
{
  watcher->call_scheduled = true;
  (void)ds_timer_add (watcher->ev, watcher, pause_ms, on_retry, watcher);
}

static void
on_retry (void *user_data)
{
  struct ds_store_watcher *watcher = user_data;
  const struct ds_store_watcher *primary = watcher->handlers.primary;

  watcher->call_scheduled = false;
  if (!watcher->connected && watcher->listed && primary != NULL
      && !primary->connected && watcher->primary_checks < PRIMARY_CHECKS_MAX)
    {
      watcher->primary_checks++;
      schedule_call (watcher, PRIMARY_CHECK_MS);
      return;
    }
  watcher->primary_checks = 0;
  start_call (watcher);
}

static void
set_connected (struct ds_store_watcher *watcher, bool connected,
               unsigned status)
{
  struct ds_decision_line line;

  if (watcher->connected == connected)
    return;
  watcher->connected = connected;
  line = ds_decision_line_begin (connected ? "store_regained" : "store_lost",
                                 DS_STR_EMPTY);
  ds_decision_line_add_text (&line, "kind", ds_str_from_c (watcher->kind));
  ds_decision_line_add_number (&line, "status", status);
  ds_decision_line_add_number (&line, "revision", (int64_t)watcher->revision);
  ds_decision_line_end (&line);
  if (watcher->handlers.on_connection_change != NULL)
    watcher->handlers.on_connection_change (connected,
                                            watcher->handlers.user_data);
}

static void
begin_list (struct ds_store_watcher *watcher)
{
  watcher->listing = true;
  ds_list_cursor_begin (&watcher->list);
}

/* Begins a list of the objects as they are.

   Load: a configuration of 53 KB changes three times a second.  A host with a
   link of 10 Mbit/s that was cut off for eight seconds did not get through the
   720 KB of all versions in time, again and again, and served callers by an
   old one.  */
static void
list_newest (struct ds_store_watcher *watcher)
{
  if (watcher->listing || !watcher->handlers.list_newest)
    return;
  begin_list (watcher);
}

static void
schedule_retry (struct ds_store_watcher *watcher)
{
  uint32_t pause;

  watcher->retry_ms
      = watcher->retry_ms == 0 ? RETRY_MIN_MS : 2 * watcher->retry_ms;
  if (watcher->retry_ms > RETRY_MAX_MS)
    watcher->retry_ms = RETRY_MAX_MS;
  /* Jitter, so that the hosts do not all reconnect at once.  */
  pause = watcher->retry_ms / 2
          + (uint32_t)(random () % (watcher->retry_ms / 2 + 1));
  schedule_call (watcher, pause);
}

/* Reports entries without a readable name, whose changes cannot be told from
   what earlier lists held.  */
static void
report_unnamed (const struct ds_store_watcher *watcher,
                const struct ds_store_page *page)
{
  if (watcher->listing && watcher->listed)
    return;
  for (size_t i = 0; i < page->unnamed; i++)
    ds_unreadable_entry_report (watcher->kind, DS_STR_EMPTY, 0,
                                "no readable name");
}

static void
log_incomplete_list (const struct ds_store_watcher *watcher)
{
  struct ds_decision_line line
      = ds_decision_line_begin ("list_incomplete", DS_STR_EMPTY);

  ds_decision_line_add_text (&line, "kind", ds_str_from_c (watcher->kind));
  ds_decision_line_add_text (&line, "after", watcher->list.after);
  ds_decision_line_add_number (&line, "revision",
                               (int64_t)watcher->list_revision);
  ds_decision_line_end (&line);
}

/* Ends a list.  What an incomplete one does not have may exist.  */
static void
end_list (struct ds_store_watcher *watcher)
{
  if (watcher->list.incomplete)
    log_incomplete_list (watcher);
  watcher->listing = false;
  watcher->listed = true;
  /* The first page's revision: changes during the list are seen again.  */
  watcher->revision = watcher->list_revision;
  watcher->handlers.on_end (!watcher->list.incomplete,
                            watcher->handlers.user_data);
}

/* Whether the changes of PAGE may remove the entry that kept the last list
   from continuing.  */
static bool
may_complete_list (const struct ds_store_watcher *watcher,
                   const struct ds_store_page *page)
{
  bool removes = page->unnamed > 0;

  for (size_t i = 0; i < page->count; i++)
    removes = removes || page->objects[i].deleted;
  return watcher->list.incomplete && removes;
}

static void
apply_page (struct ds_store_watcher *watcher, const struct ds_store_page *page)
{
  struct ds_str last_name
      = page->count > 0 ? page->objects[page->count - 1].name : DS_STR_EMPTY;

  report_unnamed (watcher, page);
  if (watcher->listing && ds_list_cursor_is_first (&watcher->list))
    {
      watcher->list_revision = page->revision;
      watcher->handlers.on_begin (watcher->handlers.user_data);
    }
  for (size_t i = 0; i < page->count; i++)
    {
      if (page->objects[i].revision > watcher->object_revision)
        watcher->object_revision = page->objects[i].revision;
      watcher->handlers.on_object (&page->objects[i],
                                   watcher->handlers.user_data);
    }
  if (!watcher->listing)
    {
      watcher->revision = page->revision;
      if (may_complete_list (watcher, page))
        begin_list (watcher);
    }
  else if (!ds_list_cursor_advance (&watcher->list, watcher, last_name,
                                    page->has_more))
    end_list (watcher);
}

static void
log_restart (const struct ds_store_watcher *watcher, const char *reason)
{
  struct ds_decision_line line
      = ds_decision_line_begin ("watch_restarted", DS_STR_EMPTY);

  ds_decision_line_add_text (&line, "kind", ds_str_from_c (watcher->kind));
  ds_decision_line_add_text (&line, "reason", ds_str_from_c (reason));
  ds_decision_line_add_number (&line, "revision", (int64_t)watcher->revision);
  ds_decision_line_add_number (
      &line, "age_ms", (int64_t)(ds_clock_ms () - watcher->responded_ms));
  ds_decision_line_end (&line);
}

/* Whether the store has returned from an older copy since the list began that
   the known state, or the list that continues, is from.  */
static bool
is_of_earlier_era (const struct ds_store_watcher *watcher)
{
  return ds_store_client_era (watcher->store)->era != watcher->era
         && !(watcher->listing && ds_list_cursor_is_first (&watcher->list));
}

/* Begins a list in the present era, in which the known revisions mean
   nothing.  */
static void
list_in_new_era (struct ds_store_watcher *watcher)
{
  log_restart (watcher, "new era of the store");
  begin_list (watcher);
  watcher->checking = false;
  watcher->revision = 0;
  watcher->object_revision = 0;
}

/* Whether the store does not take the name after which the list continues.
 */
static bool
is_rejected_name (const struct ds_store_watcher *watcher,
                  const struct ds_store_result *result)
{
  return watcher->listing && !ds_list_cursor_is_first (&watcher->list)
         && result->status == DS_STORE_STATUS_BAD_REQUEST;
}

static void
on_done (const struct ds_store_result *result, void *user_data)
{
  struct ds_store_watcher *watcher = user_data;
  struct ds_error error = DS_ERROR_NONE;
  struct ds_store_page *page = NULL;
  bool was_connected = watcher->connected;
  bool changed;
  bool several;

  watcher->pending = NULL;
  if (is_of_earlier_era (watcher))
    {
      list_in_new_era (watcher);
      start_call (watcher);
      return;
    }
  if (result->outcome == DS_STORE_HISTORY_EXPIRED)
    {
      begin_list (watcher);
      start_call (watcher);
      return;
    }
  if (result->timed_out && watcher->connected && !watcher->listing
      && !watcher->checking)
    {
      log_restart (watcher, "overdue");
      watcher->checking = true;
      start_call (watcher);
      return;
    }
  if (is_rejected_name (watcher, result))
    {
      watcher->list.incomplete = true;
      end_list (watcher);
      if (watcher->handlers.on_applied != NULL)
        watcher->handlers.on_applied (watcher->handlers.user_data);
      start_call (watcher);
      return;
    }
  if (result->outcome != DS_STORE_OK
      || ds_store_page_decode (&page, watcher, result->body, !watcher->listing,
                               &error)
             != 0)
    {
      watcher->checking = false;
      set_connected (watcher, false, result->status);
      list_newest (watcher);
      schedule_retry (watcher);
      return;
    }
  watcher->checking = false;
  set_connected (watcher, true, result->status);
  watcher->responded_ms = ds_clock_ms ();
  watcher->retry_ms = 0;
  /* A list is followed by a watch at once, and so is the first response after
     a disconnection, which may hold only some of the changes made
     meanwhile.  */
  changed = was_connected && !watcher->listing && page->count > 0;
  several = changed && page->count > 1;
  watcher->idle = !watcher->listing && page->count == 0;
  if (watcher->listing && ds_list_cursor_is_first (&watcher->list))
    watcher->era = ds_store_client_era (watcher->store)->era;
  apply_page (watcher, page);
  talloc_free (page);
  if (!watcher->listing && watcher->handlers.on_applied != NULL)
    watcher->handlers.on_applied (watcher->handlers.user_data);
  if (several)
    list_newest (watcher);
  if (changed && watcher->handlers.batch_ms > 0)
    schedule_call (watcher, watcher->handlers.batch_ms);
  else
    start_call (watcher);
}

static uint32_t
watch_wait_ms (const struct ds_store_watcher *watcher)
{
  if (!watcher->connected || watcher->checking)
    return CHECK_WAIT_MS;
  return watcher->idle ? ds_watch_next_wait_ms (&watcher->place)
                       : ds_watch_first_wait_ms (&watcher->place);
}

static uint32_t
call_timeout_ms (const struct ds_store_watcher *watcher, uint32_t wait_ms)
{
  return wait_ms == CHECK_WAIT_MS || watcher->listing
             ? RESPONSE_TIMEOUT_MS
             : wait_ms + WATCH_OVERDUE_MS;
}

static void
start_call (struct ds_store_watcher *watcher)
{
  struct ds_store_call list = {
    .verb = DS_STORE_LIST,
    .kind = watcher->kind,
    .after = watcher->list.after,
  };
  struct ds_store_call watch = {
    .verb = DS_STORE_WATCH,
    .kind = watcher->kind,
    .revision = watcher->revision,
    .wait_ms = watch_wait_ms (watcher),
  };

  watcher->asked_ms = ds_clock_ms ();
  if (ds_store_client_call (
          &watcher->pending, watcher->store, watcher->listing ? &list : &watch,
          call_timeout_ms (watcher, watch.wait_ms), on_done, watcher)
      != 0)
    {
      watcher->checking = false;
      set_connected (watcher, false, 0);
      schedule_retry (watcher);
    }
}

/* Lists all objects of KIND and watches them for as long as the process runs.
   KIND must outlive the watcher.  */
int
ds_store_watcher_new (struct ds_store_watcher **out, TALLOC_CTX *owner,
                      struct tevent_context *ev, struct ds_store_client *store,
                      const char *kind,
                      const struct ds_store_watcher_handlers *handlers)
{
  struct ds_store_watcher *watcher
      = talloc_zero (owner, struct ds_store_watcher);

  if (watcher == NULL)
    return DS_ENOMEM;
  watcher->ev = ev;
  watcher->store = store;
  watcher->kind = kind;
  watcher->handlers = *handlers;
  begin_list (watcher);
  watcher->place = (struct ds_watch_place)PLACE_ALONE;
  start_call (watcher);
  *out = watcher;
  return 0;
}

/* Sets the place of this host among those that watch the store.  */
void
ds_store_watcher_set_place (struct ds_store_watcher *watcher,
                            const struct ds_watch_place *place)
{
  watcher->place = *place;
}

/* Restarts a waiting watch whose response may be lost, with a short wait, and
   logs REASON.  The store counts as lost only if it does not respond then.
   Returns false if no watch is waiting.  */
bool
ds_store_watcher_check (struct ds_store_watcher *watcher, const char *reason)
{
  if (!watcher->connected || watcher->call_scheduled || watcher->listing
      || watcher->checking
      || ds_store_pending_call_has_response (watcher->pending))
    return false;
  log_restart (watcher, reason);
  ds_store_pending_call_cancel (watcher->pending);
  watcher->pending = NULL;
  watcher->checking = true;
  start_call (watcher);
  return true;
}

/* Begins a list if the store has returned from an older copy.  A call whose
   response has begun to arrive does so when it ends.  */
void
ds_store_watcher_check_era (struct ds_store_watcher *watcher)
{
  if (!is_of_earlier_era (watcher)
      || (watcher->pending != NULL
          && ds_store_pending_call_has_response (watcher->pending)))
    return;
  list_in_new_era (watcher);
  if (watcher->call_scheduled)
    return;
  if (watcher->pending != NULL)
    ds_store_pending_call_cancel (watcher->pending);
  watcher->pending = NULL;
  start_call (watcher);
}

/* Checks the connection after another call to the store had no response.  A
   waiting watch cannot tell an idle store from an unreachable one, so it is
   restarted with a short wait.  */
void
ds_store_watcher_probe (struct ds_store_watcher *watcher)
{
  if (!watcher->connected)
    return;
  set_connected (watcher, false, 0);
  if (watcher->call_scheduled)
    return;
  ds_store_pending_call_cancel (watcher->pending);
  watcher->pending = NULL;
  watcher->checking = false;
  list_newest (watcher);
  start_call (watcher);
}

/* True if OBJECT, which is being handled, has changed since the last complete
   list or watch; false if a repeated list has it again.  */
bool
ds_store_watcher_is_change (const struct ds_store_watcher *watcher,
                            const struct ds_store_object *object)
{
  return !watcher->listing || !watcher->listed
         || object->revision > watcher->revision;
}

/* True once all objects of the kind have been listed.  */
bool
ds_store_watcher_has_listed (const struct ds_store_watcher *watcher)
{
  return watcher->listed;
}

/* Time of the last complete response of the store; 0 before the first.  */
uint64_t
ds_store_watcher_responded_ms (const struct ds_store_watcher *watcher)
{
  return watcher->responded_ms;
}

/* Time when the last call began.  */
uint64_t
ds_store_watcher_asked_ms (const struct ds_store_watcher *watcher)
{
  return watcher->asked_ms;
}

/* Highest revision of an object that the store has reported, or of its
   removal; 0 before the first.  */
uint64_t
ds_store_watcher_object_revision (const struct ds_store_watcher *watcher)
{
  return is_of_earlier_era (watcher) ? 0 : watcher->object_revision;
}

/* Revision of the store that the known state corresponds to; 0 if it is of an
   earlier era.  */
uint64_t
ds_store_watcher_revision (const struct ds_store_watcher *watcher)
{
  return is_of_earlier_era (watcher) ? 0 : watcher->revision;
}
