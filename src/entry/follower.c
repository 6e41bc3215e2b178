#include "entry/follower.h"
#include "base/decision_log.h"
#include "io/clock.h"
#include "io/timer.h"

#include <stdlib.h>

/* A watch returns after this time when nothing has changed.  A longer wait
   saves calls; a path that is silent is found by probes before.  */
#define WATCH_WAIT_MS 20000
/* Time beyond the wait that an answer may take; store answers are slow by a
   factor of up to 60 of some milliseconds.  */
#define ANSWER_MS 2500
/* First pause after a failed call, and the longest: each call is paid for, and
   a change must be in force two seconds after the store took it.  */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 1000
/* Distance of the looks at a lead that is out of touch, which cost no call,
   and how many there are before a try of its own: what keeps the lead away may
   concern its kind alone.  */
#define LEAD_LOOK_MS 100
#define LEAD_LOOKS 30

struct ds_follower
{
  struct tevent_context *ev;
  struct ds_store_link *link;
  const char *kind;
  struct ds_follower_handlers handlers;
  struct ds_store_pending *pending;
  struct ds_str after; /* where the list under way continues */
  uint64_t revision;   /* what is known is as of this one */
  uint64_t list_revision;
  uint64_t lost_ms;
  uint64_t regained_ms;
  uint32_t retry_ms;
  uint32_t lead_looks; /* since the last call */
  bool listing;
  bool in_touch;
  bool listed; /* once at least */
  bool waits;  /* for the next call */
};

static void call (struct ds_follower *follower);

static void on_retry (void *user_data);

static void
call_later (struct ds_follower *follower, uint32_t pause_ms)
{
  follower->waits = true;
  (void)ds_timer_add (follower->ev, follower, pause_ms, on_retry, follower);
}

static void
on_retry (void *user_data)
{
  struct ds_follower *follower = user_data;
  const struct ds_follower *lead = follower->handlers.lead;

  follower->waits = false;
  if (!follower->in_touch && follower->listed && lead != NULL
      && !lead->in_touch && follower->lead_looks < LEAD_LOOKS)
    {
      follower->lead_looks++;
      call_later (follower, LEAD_LOOK_MS);
      return;
    }
  follower->lead_looks = 0;
  call (follower);
}

static void
set_contact (struct ds_follower *follower, bool in_touch, unsigned status)
{
  struct ds_decision line;

  if (follower->in_touch == in_touch)
    return;
  follower->in_touch = in_touch;
  /* The first contact regains nothing.  */
  if (in_touch && follower->listed)
    follower->regained_ms = ds_clock_ms ();
  else if (!in_touch)
    follower->lost_ms = ds_clock_ms ();
  line = ds_decision_begin (in_touch ? "store_regained" : "store_lost",
                            DS_STR_EMPTY);
  ds_decision_text (&line, "kind", ds_str_from_c (follower->kind));
  ds_decision_number (&line, "status", status);
  ds_decision_number (&line, "revision", (int64_t)follower->revision);
  ds_decision_end (&line);
  if (follower->handlers.on_contact != NULL)
    follower->handlers.on_contact (in_touch, follower->handlers.user_data);
}

static void
retry_later (struct ds_follower *follower)
{
  uint32_t pause;

  follower->retry_ms
      = follower->retry_ms == 0 ? RETRY_MIN_MS : 2 * follower->retry_ms;
  if (follower->retry_ms > RETRY_MAX_MS)
    follower->retry_ms = RETRY_MAX_MS;
  /* Spread, so that the fleet does not come back at one moment.  */
  pause = follower->retry_ms / 2
          + (uint32_t)(random () % (follower->retry_ms / 2 + 1));
  call_later (follower, pause);
}

static void
take_page (struct ds_follower *follower, const struct ds_store_page *page)
{
  if (follower->listing && follower->after.length == 0)
    {
      follower->list_revision = page->revision;
      follower->handlers.on_begin (follower->handlers.user_data);
    }
  for (size_t i = 0; i < page->count; i++)
    follower->handlers.on_object (&page->objects[i],
                                  follower->handlers.user_data);
  if (!follower->listing)
    {
      follower->revision = page->revision;
      return;
    }
  if (page->more && page->count > 0)
    {
      talloc_free ((char *)follower->after.data);
      follower->after
          = ds_str_copy (follower, page->objects[page->count - 1].name);
      return;
    }
  follower->after = DS_STR_EMPTY;
  follower->listing = false;
  follower->listed = true;
  /* The first page's: changes during the list are seen again.  */
  follower->revision = follower->list_revision;
  follower->handlers.on_end (follower->handlers.user_data);
}

static void
on_done (const struct ds_store_result *result, void *user_data)
{
  struct ds_follower *follower = user_data;
  struct ds_error error = DS_ERROR_NONE;
  struct ds_store_page *page = NULL;
  bool was_in_touch = follower->in_touch;
  bool changed;

  follower->pending = NULL;
  if (result->outcome == DS_STORE_GONE)
    {
      follower->listing = true;
      follower->after = DS_STR_EMPTY;
      call (follower);
      return;
    }
  if (result->outcome != DS_STORE_DONE
      || ds_store_page_decode (&page, follower, result->body,
                               !follower->listing, &error)
             != 0)
    {
      set_contact (follower, false, result->status);
      retry_later (follower);
      return;
    }
  set_contact (follower, true, result->status);
  follower->retry_ms = 0;
  /* A list is followed by a watch at once, and so is the first answer after
     the store was lost, which may hold a part only of what has changed
     meanwhile.  */
  changed = was_in_touch && !follower->listing && page->count > 0;
  take_page (follower, page);
  talloc_free (page);
  if (changed && follower->handlers.gather_ms > 0)
    call_later (follower, follower->handlers.gather_ms);
  else
    call (follower);
}

static void
call (struct ds_follower *follower)
{
  struct ds_store_call list = {
    .verb = DS_STORE_LIST,
    .kind = follower->kind,
    .after = follower->after,
  };
  struct ds_store_call watch = {
    .verb = DS_STORE_WATCH,
    .kind = follower->kind,
    .revision = follower->revision,
    /* After a disturbance a short wait proves that the store answers.  */
    .wait_ms = follower->in_touch ? WATCH_WAIT_MS : 1,
  };

  if (ds_store_link_call (&follower->pending, follower->link,
                          follower->listing ? &list : &watch,
                          ANSWER_MS + (follower->listing ? 0 : watch.wait_ms),
                          on_done, follower)
      != 0)
    {
      set_contact (follower, false, 0);
      retry_later (follower);
    }
}

/* Follows all objects of KIND: lists them and watches for changes, for as long
   as the process runs.  */
int
ds_follower_new (struct ds_follower **out, TALLOC_CTX *owner,
                 struct tevent_context *ev, struct ds_store_link *link,
                 const char *kind, const struct ds_follower_handlers *handlers)
{
  struct ds_follower *follower = talloc_zero (owner, struct ds_follower);

  if (follower == NULL)
    return DS_ENOMEM;
  follower->ev = ev;
  follower->link = link;
  follower->kind = kind;
  follower->handlers = *handlers;
  follower->listing = true;
  follower->after = DS_STR_EMPTY;
  call (follower);
  *out = follower;
  return 0;
}

/* Another call to the store had no answer.  A watch that waits cannot tell a
   quiet store from a silent one: it is made anew with a short wait.  */
void
ds_follower_doubt (struct ds_follower *follower)
{
  if (!follower->in_touch)
    return;
  set_contact (follower, false, 0);
  if (follower->waits)
    return;
  ds_store_pending_cancel (follower->pending);
  follower->pending = NULL;
  call (follower);
}

bool
ds_follower_is_in_touch (const struct ds_follower *follower)
{
  return follower->in_touch;
}

/* When the store was last lost; 0 if it never was.  */
uint64_t
ds_follower_lost_ms (const struct ds_follower *follower)
{
  return follower->lost_ms;
}

/* When the store was last regained; 0 before the first contact.  */
uint64_t
ds_follower_regained_ms (const struct ds_follower *follower)
{
  return follower->regained_ms;
}

/* The store's revision that what is known is as of.  */
uint64_t
ds_follower_revision (const struct ds_follower *follower)
{
  return follower->revision;
}
