#include "entry/evacuation_watch.h"
#include "base/decision_log.h"
#include "daisystep/metrics.h"
#include "io/clock.h"
#include "platform/names.h"

/* Divisor of the time in which an evacuation must take effect: changes are
   batched for this part, so that several zones at once cost one watch.  */
#define BATCH_DIVISOR 10

struct ds_evacuation_watch
{
  struct ds_evacuations *set;
  struct ds_store_watcher *watcher;
  struct ds_evacuation_watch_options options;
  int64_t counted; /* zones in the metric */
};

static void
log_change (struct ds_str zone, const char *state, uint64_t revision,
            struct ds_str peer)
{
  struct ds_decision_line line
      = ds_decision_line_begin ("evacuation", DS_STR_EMPTY);

  ds_decision_line_add_text (&line, "zone", zone);
  ds_decision_line_add_text (&line, "state", ds_str_from_c (state));
  ds_decision_line_add_number (&line, "revision", (int64_t)revision);
  if (peer.length > 0)
    ds_decision_line_add_text (&line, "peer", peer);
  ds_decision_line_end (&line);
}

static void
update_metric (struct ds_evacuation_watch *watch)
{
  int64_t count = (int64_t)ds_evacuations_count (watch->set);

  ds_metric_add (DS_METRIC_EVACUATIONS, count - watch->counted);
  watch->counted = count;
}

static void
on_begin (void *user_data)
{
  struct ds_evacuation_watch *watch = user_data;

  ds_evacuations_begin_list (watch->set);
}

/* The name alone counts: an object whose spec cannot be read requests an
   evacuation all the same.  */
static void
on_object (const struct ds_store_object *object, void *user_data)
{
  struct ds_evacuation_watch *watch = user_data;

  if (object->deleted)
    {
      if (ds_evacuations_remove (watch->set, object->name, ds_clock_ms ()))
        log_change (object->name, "ended", object->revision, DS_STR_EMPTY);
    }
  else if (ds_evacuations_put (watch->set, object->name, object->revision))
    log_change (object->name, "begun", object->revision, DS_STR_EMPTY);
}

static void
on_end (bool complete, void *user_data)
{
  struct ds_evacuation_watch *watch = user_data;
  size_t before = ds_evacuations_count (watch->set);
  size_t ended;

  if (complete)
    ds_evacuations_end_list (watch->set, ds_clock_ms ());
  else
    ds_evacuations_end_incomplete_list (watch->set);
  ended = before - ds_evacuations_count (watch->set);
  if (ended > 0)
    {
      struct ds_decision_line line
          = ds_decision_line_begin ("evacuations_gone", DS_STR_EMPTY);

      ds_decision_line_add_number (&line, "zones", (int64_t)ended);
      ds_decision_line_end (&line);
    }
  watch->options.on_listed (watch->options.user_data);
}

static void
on_applied (void *user_data)
{
  struct ds_evacuation_watch *watch = user_data;

  ds_evacuations_apply (watch->set, ds_store_watcher_revision (watch->watcher),
                        ds_store_watcher_asked_ms (watch->watcher),
                        ds_clock_ms ());
  update_metric (watch);
}

static size_t
list_reports (struct ds_evacuation_report *out, void *user_data)
{
  const struct ds_evacuation_watch *watch = user_data;

  return ds_evacuations_list_reports (watch->set, out, ds_clock_ms ());
}

static void
on_report (const struct ds_evacuation_report *report, struct ds_str sender,
           void *user_data)
{
  struct ds_evacuation_watch *watch = user_data;

  if (!ds_evacuations_report (watch->set, report, ds_clock_ms ()))
    return;
  log_change (report->zone, "reported", report->revision, sender);
  update_metric (watch);
}

/* Watches the evacuations in the store and exchanges them with the other
   hosts.  */
int
ds_evacuation_watch_new (struct ds_evacuation_watch **out, TALLOC_CTX *owner,
                         const struct ds_evacuation_watch_options *options)
{
  struct ds_evacuation_watch *watch
      = talloc_zero (owner, struct ds_evacuation_watch);
  struct ds_store_watcher_handlers handlers = {
    .on_begin = on_begin,
    .on_object = on_object,
    .on_end = on_end,
    .on_applied = on_applied,
    .user_data = watch,
    .batch_ms = (uint32_t)(options->apply_ms / BATCH_DIVISOR),
    .list_newest = true,
    .primary = options->primary,
  };
  struct ds_fleet_evacuation_handlers reports = {
    .list = list_reports,
    .on_report = on_report,
    .user_data = watch,
  };

  if (watch == NULL)
    return DS_ENOMEM;
  watch->options = *options;
  if (ds_evacuations_new (&watch->set, watch) != 0
      || ds_store_watcher_new (&watch->watcher, watch, options->ev,
                               options->store, DS_KIND_EVACUATIONS, &handlers)
             != 0)
    {
      talloc_free (watch);
      return DS_ENOMEM;
    }
  ds_store_subjects_add (options->subjects, DS_STORE_EVACUATIONS,
                         watch->watcher, options->apply_ms);
  ds_fleet_view_set_evacuations (options->fleet, &reports);
  *out = watch;
  return 0;
}

/* Returns the evacuations, which live as long as WATCH.  */
const struct ds_evacuations *
ds_evacuation_watch_set (const struct ds_evacuation_watch *watch)
{
  return watch->set;
}

/* True once the evacuations have been listed.  */
bool
ds_evacuation_watch_has_listed (const struct ds_evacuation_watch *watch)
{
  return ds_evacuations_is_listed (watch->set);
}

/* Begins an era of the store; evacuations that it does not have stay until
   KEEP_MS.  The watch lists again with the next tick.  */
void
ds_evacuation_watch_begin_era (struct ds_evacuation_watch *watch,
                               uint64_t keep_ms)
{
  ds_evacuations_begin_era (watch->set, keep_ms);
}

/* Ends reports that are too old.  */
void
ds_evacuation_watch_expire (struct ds_evacuation_watch *watch, uint64_t now_ms)
{
  ds_evacuations_expire (watch->set, now_ms);
  update_metric (watch);
}
