#include "entry/ledger_link.h"
#include "base/decision_log.h"
#include "core/ledger_page.h"
#include "daisystep/log.h"
#include "daisystep/metrics.h"
#include "io/clock.h"
#include "platform/names.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

/* An answer of the store takes 4 ms, 240 ms when it is slow.  */
#define CALL_TIMEOUT_MS 1000
/* Pause before an update is tried again after a conflict, spread, and after a
   refusal; every call is paid for, also a refused one.  */
#define CONFLICT_PAUSE_MS 12
#define REFUSED_PAUSE_MS 400
/* Doublings of the pause after conflicts in a row.  */
#define CONFLICT_DOUBLINGS 5
/* The shortest time between two updates of a page by one host.  */
#define UPDATE_GAP_MS 60
/* A call without an answer for so long means that the store may be away.  */
#define SLOW_CALL_MS 60

enum call_state
{
  CALL_NONE,
  CALL_READ,
  CALL_WRITE
};

/* One page of the ledger as this host reads and updates it.  */
struct ds_ledger_link
{
  struct ds_ledger_link_options options;
  char *name;
  struct ds_allotment **allotments;
  size_t count;
  json_t *page; /* as last seen; null when there is none */
  uint64_t revision;
  bool page_known; /* PAGE and REVISION have been read */
  enum call_state state;
  struct ds_store_pending *pending;
  json_t *written; /* what the update under way writes */
  bool unresolved; /* the update was sent and may have been done */
  uint64_t number; /* of the newest update */
  uint64_t not_before_ms;
  uint64_t updated_ms;
  uint64_t called_ms; /* start of the call under way */
  uint32_t conflicts; /* in a row */
  bool store_answers;
};

/* Decodes the page as last seen, or gives an empty one when there is none.  */
static int
decode_page (struct ds_ledger_page **out, struct ds_ledger_link *link)
{
  struct ds_error error = DS_ERROR_NONE;
  int status;

  if (link->page == NULL)
    return ds_ledger_page_new (out, link);
  status = ds_ledger_page_decode (out, link, link->page, &error);
  if (status != 0)
    ds_log_error (&error, NULL);
  return status;
}

/* Takes the object that an answer holds; false when it cannot be read.  */
static bool
take_object (struct ds_ledger_link *link, struct ds_str body)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_store_object object;
  json_t *document;

  if (ds_store_object_decode (&object, &document, body, &error) != 0)
    {
      ds_log_error (&error, NULL);
      return false;
    }
  json_decref (link->page);
  link->page = json_incref (object.spec);
  link->revision = object.revision;
  link->page_known = true;
  json_decref (document);
  return true;
}

static void
confirm_all (struct ds_ledger_link *link)
{
  for (size_t i = 0; i < link->count; i++)
    ds_allotment_confirm (link->allotments[i]);
  link->unresolved = false;
}

static void
withdraw_all (struct ds_ledger_link *link)
{
  for (size_t i = 0; i < link->count; i++)
    ds_allotment_withdraw (link->allotments[i]);
  link->unresolved = false;
}

/* Compares the newest update's number with the one in the page as last seen,
   which tells whether the update was done.  */
static void
resolve (struct ds_ledger_link *link)
{
  struct ds_ledger_page *page;

  if (decode_page (&page, link) != 0)
    {
      /* Another read may bring a page that can be read.  */
      link->page_known = false;
      link->unresolved = true;
      return;
    }
  if (ds_ledger_page_operation (page, link->options.writer) == link->number)
    confirm_all (link);
  else
    withdraw_all (link);
  talloc_free (page);
}

static void
observe_page (struct ds_ledger_link *link, uint64_t now_ms)
{
  struct ds_ledger_page *page;

  if (link->page == NULL || decode_page (&page, link) != 0)
    return;
  for (size_t i = 0; i < link->count; i++)
    ds_allotment_observe (link->allotments[i], page, now_ms);
  talloc_free (page);
}

static const char *
outcome_name (enum ds_store_outcome outcome)
{
  switch (outcome)
    {
    case DS_STORE_DONE:
      return "done";
    case DS_STORE_CONFLICT:
      return "conflict";
    case DS_STORE_MISSING:
      return "missing";
    case DS_STORE_UNKNOWN:
      return "unknown";
    case DS_STORE_GONE:
    case DS_STORE_REFUSED:
    default:
      return "refused";
    }
}

static void
log_update (const struct ds_ledger_link *link,
            const struct ds_store_result *result)
{
  struct ds_decision line = ds_decision_begin ("ledger_update", DS_STR_EMPTY);

  ds_decision_text (&line, "page", ds_str_from_c (link->name));
  ds_decision_text (&line, "outcome",
                    ds_str_from_c (outcome_name (result->outcome)));
  ds_decision_number (&line, "status", result->status);
  ds_decision_number (&line, "number", (int64_t)link->number);
  ds_decision_number (&line, "revision", (int64_t)link->revision);
  ds_decision_end (&line);
}

/* The update met another revision: either an earlier try of it was done after
   all, or another host was first.  */
static void
on_conflict (struct ds_ledger_link *link, struct ds_str body, uint64_t now_ms)
{
  uint32_t doublings;

  if (!take_object (link, body))
    {
      /* A read will tell which.  */
      link->page_known = false;
      link->unresolved = true;
      return;
    }
  ds_metric_add (DS_METRIC_PLATFORM_CONFLICTS, 1);
  resolve (link);
  observe_page (link, now_ms);
  link->conflicts++;
  doublings = link->conflicts < CONFLICT_DOUBLINGS ? link->conflicts
                                                   : CONFLICT_DOUBLINGS;
  link->not_before_ms
      = now_ms + 1
        + (uint64_t)random () % ((uint64_t)CONFLICT_PAUSE_MS << doublings);
}

static void
on_written (struct ds_ledger_link *link, const struct ds_store_result *result,
            uint64_t now_ms)
{
  switch (result->outcome)
    {
    case DS_STORE_DONE:
      /* Without a readable answer it is done, but the revision is not known.
       */
      if (!take_object (link, result->body))
        link->page_known = false;
      confirm_all (link);
      observe_page (link, now_ms);
      link->conflicts = 0;
      link->updated_ms = now_ms;
      link->not_before_ms = now_ms + UPDATE_GAP_MS;
      break;
    case DS_STORE_CONFLICT:
      on_conflict (link, result->body, now_ms);
      break;
    case DS_STORE_MISSING:
      /* Nobody removes pages; the next update makes it anew only if a read
         finds none.  */
      withdraw_all (link);
      link->page_known = false;
      break;
    case DS_STORE_UNKNOWN:
      link->unresolved = true;
      link->not_before_ms = now_ms + REFUSED_PAUSE_MS;
      break;
    case DS_STORE_GONE:
    case DS_STORE_REFUSED:
    default:
      /* An earlier try may still be done; this one was not.  */
      if (!link->unresolved)
        withdraw_all (link);
      link->not_before_ms = now_ms + REFUSED_PAUSE_MS / 2
                            + (uint64_t)(random () % (REFUSED_PAUSE_MS / 2));
      break;
    }
}

static void
on_read (struct ds_ledger_link *link, const struct ds_store_result *result,
         uint64_t now_ms)
{
  switch (result->outcome)
    {
    case DS_STORE_DONE:
      if (!take_object (link, result->body))
        {
          link->not_before_ms = now_ms + REFUSED_PAUSE_MS;
          return;
        }
      break;
    case DS_STORE_MISSING:
      json_decref (link->page);
      link->page = NULL;
      link->revision = 0;
      link->page_known = true;
      break;
    default:
      link->not_before_ms = now_ms + REFUSED_PAUSE_MS;
      return;
    }
  if (link->unresolved)
    resolve (link);
  observe_page (link, now_ms);
}

static void
on_done (const struct ds_store_result *result, void *user_data)
{
  struct ds_ledger_link *link = user_data;
  enum call_state state = link->state;
  uint64_t now_ms = ds_clock_ms ();

  link->pending = NULL;
  link->state = CALL_NONE;
  link->store_answers = result->outcome != DS_STORE_UNKNOWN
                        && result->outcome != DS_STORE_REFUSED;
  if (result->outcome == DS_STORE_UNKNOWN)
    link->options.on_silent (link->options.user_data);
  if (state == CALL_WRITE)
    {
      on_written (link, result, now_ms);
      log_update (link, result);
    }
  else
    on_read (link, result, now_ms);
  link->options.on_changed (link->options.user_data);
}

/* Builds the next update from the page as last seen; false when it cannot be
   read or memory is short.  */
static bool
build_update (struct ds_ledger_link *link, bool closing)
{
  struct ds_ledger_page *page;
  int status = decode_page (&page, link);

  if (status != 0)
    return false;
  link->number++;
  for (size_t i = 0; i < link->count && status == 0; i++)
    status = ds_allotment_apply (link->allotments[i], page,
                                 link->options.policy, closing);
  ds_ledger_page_forget_lives (page, link->options.writer);
  if (status == 0)
    status = ds_ledger_page_set_operation (page, link->options.writer,
                                           link->number);
  if (status == 0)
    {
      json_decref (link->written);
      link->written = ds_ledger_page_encode (page);
    }
  else
    withdraw_all (link);
  talloc_free (page);
  return status == 0;
}

/* Reads the page when it is not known, else enters what the accounts have to
   tell, unless a call is under way or the last one asks for a pause.  */
void
ds_ledger_link_update (struct ds_ledger_link *link, uint64_t now_ms,
                       bool closing)
{
  struct ds_store_call call = {
    .verb = DS_STORE_GET,
    .kind = DS_KIND_LEDGER,
    .name = ds_str_from_c (link->name),
  };

  if (link->state != CALL_NONE || link->not_before_ms > now_ms)
    return;
  link->state = CALL_READ;
  if (link->page_known)
    {
      /* A try whose outcome is not known is sent again as it was: the store
         does it once at most, since its condition is the revision.  */
      if (!link->unresolved && !build_update (link, closing))
        {
          link->state = CALL_NONE;
          link->not_before_ms = now_ms + REFUSED_PAUSE_MS;
          return;
        }
      link->state = CALL_WRITE;
      call.verb = link->page != NULL ? DS_STORE_REPLACE : DS_STORE_CREATE;
      call.spec = link->written;
      call.conditional = link->page != NULL;
      call.revision = link->revision;
    }
  link->called_ms = now_ms;
  if (ds_store_link_call (&link->pending, link->options.link, &call,
                          CALL_TIMEOUT_MS, on_done, link)
      != 0)
    {
      if (link->state == CALL_WRITE && !link->unresolved)
        withdraw_all (link);
      link->state = CALL_NONE;
      link->not_before_ms = now_ms + REFUSED_PAUSE_MS;
    }
}

static int
destroy (struct ds_ledger_link *link)
{
  json_decref (link->page);
  json_decref (link->written);
  return 0;
}

/* Makes a link to a page without reading it.  */
int
ds_ledger_link_new (struct ds_ledger_link **out, TALLOC_CTX *owner,
                    const struct ds_ledger_link_options *options)
{
  struct ds_ledger_link *link = talloc_zero (owner, struct ds_ledger_link);

  if (link == NULL)
    return DS_ENOMEM;
  link->options = *options;
  link->name = talloc_asprintf (link, "page-%" PRIu32, options->index);
  if (link->name == NULL)
    {
      talloc_free (link);
      return DS_ENOMEM;
    }
  /* The store is taken to be there until a call has failed.  */
  link->store_answers = true;
  talloc_set_destructor (link, destroy);
  *out = link;
  return 0;
}

/* ALLOTMENT's account is in this page.  An update under way does not cover
   it.  */
int
ds_ledger_link_add (struct ds_ledger_link *link,
                    struct ds_allotment *allotment)
{
  struct ds_allotment **grown
      = talloc_realloc (link, link->allotments, struct ds_allotment *,
                        (unsigned)link->count + 1);

  if (grown == NULL)
    return DS_ENOMEM;
  link->allotments = grown;
  grown[link->count++] = allotment;
  return 0;
}

uint32_t
ds_ledger_link_index (const struct ds_ledger_link *link)
{
  return link->options.index;
}

/* True if the store answers and the call under way is not late.  */
bool
ds_ledger_link_is_near (const struct ds_ledger_link *link, uint64_t now_ms)
{
  return link->store_answers
         && (link->state == CALL_NONE
             || now_ms - link->called_ms < SLOW_CALL_MS)
         && link->conflicts < CONFLICT_DOUBLINGS;
}

/* True if no update is under way that may draw.  */
bool
ds_ledger_link_is_settled (const struct ds_ledger_link *link)
{
  return link->state == CALL_NONE && !link->unresolved;
}

bool
ds_ledger_link_is_unresolved (const struct ds_ledger_link *link)
{
  return link->unresolved;
}

/* When this host last entered an update, 0 for never.  */
uint64_t
ds_ledger_link_updated_ms (const struct ds_ledger_link *link)
{
  return link->updated_ms;
}
