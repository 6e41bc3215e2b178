#include "entry/budget_keeper.h"
#include "base/decision_log.h"
#include "core/ledger_page.h"
#include "daisystep/log.h"
#include "daisystep/metrics.h"
#include "io/clock.h"
#include "platform/names.h"

#include <jansson.h>
#include <stdlib.h>

/* All accounts of the two deployments fit one page; an update of one host
   covers all workspaces with one call.  */
#define PAGE_NAME "page-0"
/* An answer of the store takes 4 ms, 240 ms when it is slow.  */
#define CALL_TIMEOUT_MS 1000
/* Pause before an update is tried again after a conflict, spread, and after a
   refusal; every call is paid for, also a refused one.  */
#define CONFLICT_PAUSE_MS 12
#define REFUSED_PAUSE_MS 400
/* Doublings of the pause after conflicts in a row.  */
#define CONFLICT_DOUBLINGS 5
/* The shortest time between two updates of a host.  */
#define UPDATE_GAP_MS 60
/* Hosts that may write a page at the shortest times; with more of them all
   times grow in proportion, since an update takes the page for about 10 ms. */
#define WRITERS_AT_EASE 8
/* Distance of repeated questions to other hosts while requests wait.  */
#define ASK_MS 60
/* Seconds of its own demand that a host keeps when another asks.  */
#define KEEP_S 1.0
/* Time that a request waits for tokens while the store cannot be reached; two
   or three questions to the other hosts.  */
#define AWAY_WAIT_MS 250
/* A call without an answer for so long means that the store may be away; the
   other hosts are asked meanwhile.  */
#define SLOW_CALL_MS 60
/* Time for which the ledger's word that nothing is left is believed; a new
   question before that would cost a call a request.  */
#define EMPTY_BELIEF_MS 1000
/* Seconds of its demand that a host asks for beyond what it lacks.  */
#define ASK_AHEAD_S 2.0

struct ds_budget_wait
{
  struct ds_budget_keeper *keeper;
  struct ds_allotment *allotment;
  struct ds_budget_wait *next;
  uint64_t tokens;
  uint64_t until_ms;
  uint64_t since_ms;
  ds_budget_decided_fn *on_decided;
  void *user_data;
};

enum call_state
{
  CALL_NONE,
  CALL_READ,
  CALL_WRITE
};

struct ds_budget_keeper
{
  struct ds_budget_keeper_options options;
  struct ds_allotment **allotments;
  size_t count;
  struct ds_budget_wait *waits; /* oldest first */
  json_t *page;                 /* as last seen; null when there is none */
  uint64_t revision;
  bool page_known; /* PAGE and REVISION have been read */
  enum call_state state;
  struct ds_store_pending *pending;
  json_t *written; /* what the update under way writes */
  bool unresolved; /* the update was sent and may have been done */
  uint64_t number; /* of the newest update */
  uint64_t not_before_ms;
  uint64_t updated_ms;
  uint64_t ticked_ms;
  uint64_t called_ms; /* start of the call under way */
  uint64_t seen_ms;   /* when the page was last seen */
  uint32_t conflicts; /* in a row */
  bool store_answers;
  bool closing;
  bool closed;
};

static void start_call (struct ds_budget_keeper *keeper, uint64_t now_ms);
static void serve_waits (struct ds_budget_keeper *keeper);

static struct ds_allotment *
find (const struct ds_budget_keeper *keeper, struct ds_str workspace)
{
  for (size_t i = 0; i < keeper->count; i++)
    if (ds_str_equal (keeper->allotments[i]->workspace, workspace))
      return keeper->allotments[i];
  return NULL;
}

static struct ds_allotment *
find_or_add (struct ds_budget_keeper *keeper, struct ds_str workspace)
{
  struct ds_allotment *allotment = find (keeper, workspace);
  struct ds_allotment **grown;

  if (allotment != NULL)
    return allotment;
  grown = talloc_realloc (keeper, keeper->allotments, struct ds_allotment *,
                          (unsigned)keeper->count + 1);
  if (grown == NULL)
    return NULL;
  keeper->allotments = grown;
  allotment = talloc_zero (keeper, struct ds_allotment);
  if (allotment == NULL)
    return NULL;
  allotment->workspace = ds_str_copy (allotment, workspace);
  grown[keeper->count++] = allotment;
  return allotment;
}

/* True if ALLOTMENT has anything to enter.  */
static bool
has_news (const struct ds_budget_keeper *keeper,
          const struct ds_allotment *allotment)
{
  if (allotment->spent > 0 || allotment->borrowed_count > 0
      || allotment->revoked || allotment->wanted > allotment->free)
    return true;
  if (keeper->closing)
    return allotment->free > 0;
  return allotment->free
             > 2 * ds_allotment_target (allotment, &keeper->options.policy)
                   + keeper->options.policy.minimum
         || ds_allotment_needs_update (allotment, &keeper->options.policy);
}

static bool
any_news (const struct ds_budget_keeper *keeper)
{
  for (size_t i = 0; i < keeper->count; i++)
    if (has_news (keeper, keeper->allotments[i]))
      return true;
  return false;
}

/* True if the ledger said a moment ago that it has nothing left of the
   budget.  */
static bool
is_empty (const struct ds_budget_keeper *keeper,
          const struct ds_allotment *allotment, uint64_t now_ms)
{
  return allotment->known && allotment->ledger_rest == 0
         && now_ms - keeper->seen_ms < EMPTY_BELIEF_MS;
}

static bool
is_urgent (const struct ds_budget_keeper *keeper, uint64_t now_ms)
{
  for (size_t i = 0; i < keeper->count; i++)
    if (ds_allotment_needs_update (keeper->allotments[i],
                                   &keeper->options.policy)
        && (keeper->allotments[i]->revoked
            || !is_empty (keeper, keeper->allotments[i], now_ms)))
      return true;
  return keeper->closing;
}

/* True if the store answers and the call under way is not late.  */
static bool
store_is_near (const struct ds_budget_keeper *keeper, uint64_t now_ms)
{
  return keeper->store_answers
         && (keeper->state == CALL_NONE
             || now_ms - keeper->called_ms < SLOW_CALL_MS)
         && keeper->conflicts < CONFLICT_DOUBLINGS;
}

/* Takes what the other hosts have told of a budget.  */
static void
look_at_others (const struct ds_budget_keeper *keeper,
                struct ds_allotment *allotment)
{
  uint64_t demand;

  keeper->options.held (allotment->workspace, &allotment->others_free, &demand,
                        keeper->options.user_data);
  allotment->others_demand = (double)demand;
}

/* Asks the other hosts for what ALLOTMENT lacks and some demand ahead.  */
static void
ask_hosts (struct ds_budget_keeper *keeper, struct ds_allotment *allotment,
           uint64_t now_ms)
{
  uint64_t ahead = (uint64_t)(allotment->demand * ASK_AHEAD_S);
  uint64_t needed = allotment->wanted + ahead;

  if (now_ms - allotment->asked_ms < ASK_MS || allotment->free >= needed)
    return;
  allotment->asked_ms = now_ms;
  keeper->options.ask (allotment->workspace, needed - allotment->free,
                       keeper->options.user_data);
}

static void
observe_page (struct ds_budget_keeper *keeper)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_ledger_page *page;

  if (keeper->page == NULL
      || ds_ledger_page_decode (&page, keeper, keeper->page, &error) != 0)
    return;
  for (size_t i = 0; i < keeper->count; i++)
    ds_allotment_observe (keeper->allotments[i], page);
  talloc_free (page);
}

/* Takes the object that an answer holds; false when it cannot be read.  */
static bool
take_object (struct ds_budget_keeper *keeper, struct ds_str body)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_store_object object;
  json_t *document;

  if (ds_store_object_decode (&object, &document, body, &error) != 0)
    return false;
  json_decref (keeper->page);
  keeper->page = json_incref (object.spec);
  keeper->revision = object.revision;
  keeper->page_known = true;
  json_decref (document);
  keeper->seen_ms = ds_clock_ms ();
  return true;
}

static void
confirm_all (struct ds_budget_keeper *keeper)
{
  for (size_t i = 0; i < keeper->count; i++)
    ds_allotment_confirm (keeper->allotments[i]);
  keeper->unresolved = false;
  if (keeper->closing)
    keeper->closed = !any_news (keeper);
}

static void
withdraw_all (struct ds_budget_keeper *keeper)
{
  for (size_t i = 0; i < keeper->count; i++)
    ds_allotment_withdraw (keeper->allotments[i]);
  keeper->unresolved = false;
}

static uint64_t
number_in_page (struct ds_budget_keeper *keeper)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_ledger_page *page;
  uint64_t number;

  if (keeper->page == NULL
      || ds_ledger_page_decode (&page, keeper, keeper->page, &error) != 0)
    return 0;
  number = ds_ledger_page_operation (page, keeper->options.writer);
  talloc_free (page);
  return number;
}

/* MS, longer in a fleet whose hosts would get in each other's way.  */
static uint64_t
paced (const struct ds_budget_keeper *keeper, uint64_t ms)
{
  size_t hosts = keeper->options.policy.hosts;

  return hosts > WRITERS_AT_EASE ? ms * hosts / WRITERS_AT_EASE : ms;
}

static void
log_update (struct ds_budget_keeper *keeper, const char *outcome,
            unsigned status)
{
  struct ds_decision line = ds_decision_begin ("ledger_update", DS_STR_EMPTY);

  ds_decision_text (&line, "outcome", ds_str_from_c (outcome));
  ds_decision_number (&line, "status", status);
  ds_decision_number (&line, "number", (int64_t)keeper->number);
  ds_decision_number (&line, "revision", (int64_t)keeper->revision);
  ds_decision_end (&line);
}

/* The update met another revision: either an earlier try of it was done after
   all, or another host was first.  */
static void
resolve_conflict (struct ds_budget_keeper *keeper, struct ds_str body,
                  uint64_t now_ms)
{
  if (!take_object (keeper, body))
    {
      /* A read will tell which.  */
      keeper->page_known = false;
      keeper->unresolved = true;
      return;
    }
  ds_metric_add (DS_METRIC_PLATFORM_CONFLICTS, 1);
  if (number_in_page (keeper) == keeper->number)
    confirm_all (keeper);
  else
    withdraw_all (keeper);
  observe_page (keeper);
  keeper->conflicts++;
  keeper->not_before_ms = now_ms + 1
                          + (uint64_t)random ()
                                % ((uint64_t)CONFLICT_PAUSE_MS
                                   << (keeper->conflicts < CONFLICT_DOUBLINGS
                                           ? keeper->conflicts
                                           : CONFLICT_DOUBLINGS));
}

static void
on_written (struct ds_budget_keeper *keeper,
            const struct ds_store_result *result, uint64_t now_ms)
{
  switch (result->outcome)
    {
    case DS_STORE_DONE:
      if (!take_object (keeper, result->body))
        {
          /* Done, but the revision is not known.  */
          keeper->page_known = false;
        }
      confirm_all (keeper);
      observe_page (keeper);
      keeper->conflicts = 0;
      keeper->updated_ms = now_ms;
      keeper->not_before_ms = now_ms + paced (keeper, UPDATE_GAP_MS);
      break;
    case DS_STORE_CONFLICT:
      resolve_conflict (keeper, result->body, now_ms);
      break;
    case DS_STORE_MISSING:
      /* Nobody removes pages; the next update makes it anew only if a read
         finds none.  */
      withdraw_all (keeper);
      keeper->page_known = false;
      break;
    case DS_STORE_UNKNOWN:
      keeper->unresolved = true;
      keeper->not_before_ms = now_ms + REFUSED_PAUSE_MS;
      break;
    default:
      /* An earlier try may still be done; this one was not.  */
      if (!keeper->unresolved)
        withdraw_all (keeper);
      keeper->not_before_ms = now_ms + REFUSED_PAUSE_MS / 2
                              + (uint64_t)(random () % (REFUSED_PAUSE_MS / 2));
      break;
    }
}

static void
on_read (struct ds_budget_keeper *keeper, const struct ds_store_result *result,
         uint64_t now_ms)
{
  switch (result->outcome)
    {
    case DS_STORE_DONE:
      if (!take_object (keeper, result->body))
        keeper->not_before_ms = now_ms + REFUSED_PAUSE_MS;
      break;
    case DS_STORE_MISSING:
      json_decref (keeper->page);
      keeper->page = NULL;
      keeper->revision = 0;
      keeper->page_known = true;
      break;
    default:
      keeper->not_before_ms = now_ms + REFUSED_PAUSE_MS;
      return;
    }
  if (keeper->unresolved)
    {
      if (number_in_page (keeper) == keeper->number)
        confirm_all (keeper);
      else
        withdraw_all (keeper);
    }
  observe_page (keeper);
}

static void
on_done (const struct ds_store_result *result, void *user_data)
{
  struct ds_budget_keeper *keeper = user_data;
  enum call_state state = keeper->state;
  uint64_t now_ms = ds_clock_ms ();

  keeper->pending = NULL;
  keeper->state = CALL_NONE;
  keeper->store_answers = result->outcome != DS_STORE_UNKNOWN
                          && result->outcome != DS_STORE_REFUSED;
  if (result->outcome == DS_STORE_UNKNOWN)
    keeper->options.silent (keeper->options.user_data);
  if (state == CALL_WRITE)
    {
      on_written (keeper, result, now_ms);
      log_update (keeper,
                  result->outcome == DS_STORE_DONE       ? "done"
                  : result->outcome == DS_STORE_CONFLICT ? "conflict"
                  : result->outcome == DS_STORE_UNKNOWN  ? "unknown"
                                                         : "refused",
                  result->status);
    }
  else
    on_read (keeper, result, now_ms);
  serve_waits (keeper);
  if (is_urgent (keeper, now_ms) && keeper->state == CALL_NONE
      && keeper->not_before_ms <= now_ms)
    start_call (keeper, now_ms);
}

/* Builds the next update from the page as last seen; false when there is
   nothing to write.  */
static bool
build_update (struct ds_budget_keeper *keeper)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_ledger_page *page;
  int status;

  if (keeper->page != NULL)
    status = ds_ledger_page_decode (&page, keeper, keeper->page, &error);
  else
    status = ds_ledger_page_new (&page, keeper);
  if (status != 0)
    {
      ds_log_error (&error, NULL);
      return false;
    }
  keeper->number++;
  for (size_t i = 0; i < keeper->count && status == 0; i++)
    status = ds_allotment_apply (keeper->allotments[i], page,
                                 keeper->options.writer,
                                 &keeper->options.policy, keeper->closing);
  if (status == 0)
    status = ds_ledger_page_set_operation (page, keeper->options.writer,
                                           keeper->number);
  if (status == 0)
    {
      json_decref (keeper->written);
      keeper->written = ds_ledger_page_encode (page);
    }
  else
    withdraw_all (keeper);
  talloc_free (page);
  return status == 0;
}

static void
start_call (struct ds_budget_keeper *keeper, uint64_t now_ms)
{
  struct ds_store_call call = {
    .verb = DS_STORE_GET,
    .kind = DS_KIND_LEDGER,
    .name = DS_STR (PAGE_NAME),
  };

  if (keeper->state != CALL_NONE || keeper->not_before_ms > now_ms)
    return;
  keeper->state = CALL_READ;
  if (keeper->page_known)
    {
      /* A try whose outcome is not known is sent again as it was: the store
         does it once at most, since its condition is the revision.  */
      if (!keeper->unresolved && !build_update (keeper))
        {
          keeper->state = CALL_NONE;
          keeper->not_before_ms = now_ms + REFUSED_PAUSE_MS;
          return;
        }
      keeper->state = CALL_WRITE;
      call.verb = keeper->page != NULL ? DS_STORE_REPLACE : DS_STORE_CREATE;
      call.spec = keeper->written;
      call.conditional = keeper->page != NULL;
      call.revision = keeper->revision;
    }
  keeper->called_ms = now_ms;
  if (ds_store_link_call (&keeper->pending, keeper->options.link, &call,
                          CALL_TIMEOUT_MS, on_done, keeper)
      != 0)
    {
      if (keeper->state == CALL_WRITE && !keeper->unresolved)
        withdraw_all (keeper);
      keeper->state = CALL_NONE;
      keeper->not_before_ms = now_ms + REFUSED_PAUSE_MS;
    }
}

static int
destroy (struct ds_budget_keeper *keeper)
{
  json_decref (keeper->page);
  json_decref (keeper->written);
  return 0;
}

/* Makes a keeper without any tokens.  */
int
ds_budget_keeper_new (struct ds_budget_keeper **out, TALLOC_CTX *owner,
                      const struct ds_budget_keeper_options *options)
{
  struct ds_budget_keeper *keeper
      = talloc_zero (owner, struct ds_budget_keeper);

  if (keeper == NULL)
    return DS_ENOMEM;
  keeper->options = *options;
  keeper->options.writer = ds_str_copy (keeper, options->writer);
  keeper->ticked_ms = ds_clock_ms ();
  /* The store is taken to be there until a call has failed.  */
  keeper->store_answers = true;
  talloc_set_destructor (keeper, destroy);
  *out = keeper;
  return 0;
}

/* Takes the limits of a newer configuration.  */
void
ds_budget_keeper_configure (struct ds_budget_keeper *keeper,
                            const struct ds_routing_config *config)
{
  for (size_t i = 0; i < config->workspace_count; i++)
    {
      const struct ds_routing_workspace *workspace = &config->workspaces[i];
      struct ds_allotment *allotment;

      if (!workspace->has_budget)
        continue;
      allotment = find_or_add (keeper, workspace->name);
      if (allotment != NULL)
        ds_allotment_set_limit (allotment, workspace->prepaid,
                                config->version);
    }
  if (is_urgent (keeper, ds_clock_ms ()))
    start_call (keeper, ds_clock_ms ());
}

/* HOSTS share the budgets, this one among them.  */
void
ds_budget_keeper_set_hosts (struct ds_budget_keeper *keeper, size_t hosts)
{
  keeper->options.policy.hosts = hosts;
}

static void
tick_demand (struct ds_budget_keeper *keeper, uint64_t now_ms)
{
  double seconds = (double)(now_ms - keeper->ticked_ms) / 1000;

  if (seconds < 0.2)
    return;
  keeper->ticked_ms = now_ms;
  for (size_t i = 0; i < keeper->count; i++)
    {
      ds_allotment_tick (keeper->allotments[i], seconds < 2 ? seconds : 2);
      look_at_others (keeper, keeper->allotments[i]);
    }
}

/* Works out demand, ends waits that took too long, and writes the ledger when
   it is time.  Call it several times a second.  */
void
ds_budget_keeper_tick (struct ds_budget_keeper *keeper, uint64_t now_ms)
{
  bool due;

  tick_demand (keeper, now_ms);
  /* While the store is away the hosts even out what they hold before a request
     has to wait for it.  */
  if (!store_is_near (keeper, now_ms))
    for (size_t i = 0; i < keeper->count; i++)
      ask_hosts (keeper, keeper->allotments[i], now_ms);
  serve_waits (keeper);
  due = now_ms - keeper->updated_ms
            >= paced (keeper, keeper->options.settle_ms)
        && any_news (keeper);
  if ((due || is_urgent (keeper, now_ms) || keeper->unresolved)
      && keeper->not_before_ms <= now_ms && !keeper->closed)
    start_call (keeper, now_ms);
}

/* True if the ledger knows all and no update is under way that may draw.  */
static bool
is_settled (const struct ds_budget_keeper *keeper)
{
  return keeper->state == CALL_NONE && !keeper->unresolved
         && !any_news (keeper);
}

/* Returns all that is free, and what running requests leave over as they
   end.  */
void
ds_budget_keeper_close (struct ds_budget_keeper *keeper)
{
  keeper->closing = true;
  keeper->closed = is_settled (keeper);
}

/* True once the ledger has all that this host can tell it.  */
bool
ds_budget_keeper_is_closed (const struct ds_budget_keeper *keeper)
{
  return keeper->closed && is_settled (keeper);
}

/* Another host asks for TOKENS.  */
uint64_t
ds_budget_keeper_give (struct ds_budget_keeper *keeper,
                       struct ds_str workspace, uint64_t tokens)
{
  struct ds_allotment *allotment = find (keeper, workspace);

  return allotment != NULL ? ds_allotment_give (allotment, tokens,
                                                keeper->closing ? 0 : KEEP_S)
                           : 0;
}

/* Another host has given TOKENS.  */
void
ds_budget_keeper_take (struct ds_budget_keeper *keeper,
                       struct ds_str workspace, uint64_t tokens,
                       struct ds_str giver)
{
  struct ds_allotment *allotment = find_or_add (keeper, workspace);

  if (allotment == NULL
      || ds_allotment_borrow (keeper, allotment, giver, tokens) != 0)
    return;
  serve_waits (keeper);
}

static void
unlink_wait (struct ds_budget_wait *wait)
{
  struct ds_budget_wait **at = &wait->keeper->waits;

  while (*at != NULL && *at != wait)
    at = &(*at)->next;
  if (*at == wait)
    *at = wait->next;
  wait->allotment->wanted -= wait->tokens;
}

/* The answer for a request that this host's share does not cover.  What cannot
   be had is refused at once; waiting helps only while the ledger or another
   host may have tokens.  */
static enum ds_budget_answer
judge (struct ds_budget_keeper *keeper, struct ds_allotment *allotment,
       uint64_t tokens, uint64_t waited_ms, uint64_t now_ms)
{
  uint64_t used = allotment->ledger_settled + allotment->reserved
                  + allotment->spent + allotment->update.settled;
  bool near = store_is_near (keeper, now_ms);

  if (allotment->known && used + tokens > allotment->limit)
    return DS_BUDGET_EXHAUSTED;
  if (near && !is_empty (keeper, allotment, now_ms))
    return DS_BUDGET_WAITING;
  look_at_others (keeper, allotment);
  if (waited_ms >= AWAY_WAIT_MS
      || allotment->free + allotment->others_free < tokens)
    return DS_BUDGET_AWAY;
  ask_hosts (keeper, allotment, now_ms);
  return DS_BUDGET_WAITING;
}

static void
decide (struct ds_budget_wait *wait, enum ds_budget_answer answer)
{
  ds_budget_decided_fn *on_decided = wait->on_decided;
  void *user_data = wait->user_data;

  unlink_wait (wait);
  talloc_free (wait);
  on_decided (answer, user_data);
}

/* Serves the waiting reservations that can be decided, oldest first.  Those of
   other workspaces are not held up by one that cannot.  */
static void
serve_waits (struct ds_budget_keeper *keeper)
{
  uint64_t now_ms = ds_clock_ms ();
  struct ds_budget_wait *wait = keeper->waits;

  while (wait != NULL)
    {
      struct ds_budget_wait *next = wait->next;
      struct ds_allotment *allotment = wait->allotment;
      enum ds_budget_answer answer;

      if (ds_allotment_reserve (allotment, wait->tokens, now_ms))
        {
          decide (wait, DS_BUDGET_GRANTED);
          /* The callback may have added or ended waits.  */
          wait = keeper->waits;
          continue;
        }
      answer = now_ms >= wait->until_ms
                   ? DS_BUDGET_AWAY
                   : judge (keeper, allotment, wait->tokens,
                            now_ms - wait->since_ms, now_ms);
      if (answer != DS_BUDGET_WAITING)
        {
          decide (wait, answer);
          wait = keeper->waits;
          continue;
        }
      wait = next;
    }
}

/* Reserves TOKENS of WORKSPACE for a request.  With DS_BUDGET_WAITING the
   outcome is told to ON_DECIDED at UNTIL_MS at the latest, and *WAIT is valid
   until then.  */
enum ds_budget_answer
ds_budget_reserve (struct ds_budget_keeper *keeper,
                   struct ds_budget_wait **wait, struct ds_str workspace,
                   uint64_t tokens, uint64_t until_ms,
                   ds_budget_decided_fn *on_decided, void *user_data)
{
  struct ds_allotment *allotment = find_or_add (keeper, workspace);
  uint64_t now_ms = ds_clock_ms ();
  struct ds_budget_wait **at = &keeper->waits;
  struct ds_budget_wait *added;
  enum ds_budget_answer answer;

  if (allotment == NULL)
    return DS_BUDGET_AWAY;
  allotment->demanded += tokens;
  if (ds_allotment_reserve (allotment, tokens, now_ms))
    {
      if (is_urgent (keeper, now_ms))
        start_call (keeper, now_ms);
      return DS_BUDGET_GRANTED;
    }
  answer = judge (keeper, allotment, tokens, 0, now_ms);
  if (answer != DS_BUDGET_WAITING)
    {
      /* Callers come back with what was refused: it counts as half.  */
      allotment->demanded -= tokens / 2;
      return answer;
    }
  added = talloc_zero (keeper, struct ds_budget_wait);
  if (added == NULL)
    return DS_BUDGET_AWAY;
  *added = (struct ds_budget_wait){
    .keeper = keeper,
    .allotment = allotment,
    .tokens = tokens,
    .until_ms = until_ms,
    .since_ms = now_ms,
    .on_decided = on_decided,
    .user_data = user_data,
  };
  while (*at != NULL)
    at = &(*at)->next;
  *at = added;
  allotment->wanted += tokens;
  *wait = added;
  if (!is_empty (keeper, allotment, now_ms))
    start_call (keeper, now_ms);
  return DS_BUDGET_WAITING;
}

/* The request has gone; nothing is reserved for it.  */
void
ds_budget_cancel_wait (struct ds_budget_wait *wait)
{
  unlink_wait (wait);
  talloc_free (wait);
}

/* The request has ended and used USED of the RESERVED tokens.  */
void
ds_budget_settle (struct ds_budget_keeper *keeper, struct ds_str workspace,
                  uint64_t reserved, uint64_t used)
{
  struct ds_allotment *allotment = find (keeper, workspace);

  if (allotment == NULL)
    return;
  ds_allotment_settle (allotment, reserved, used);
  ds_metric_add (DS_METRIC_TOKENS_BILLED, (int64_t)used);
  if (keeper->closing)
    keeper->closed = false;
}

/* What this host holds of WORKSPACE's budget, or null.  */
const struct ds_allotment *
ds_budget_keeper_find (const struct ds_budget_keeper *keeper,
                       struct ds_str workspace)
{
  return find (keeper, workspace);
}

size_t
ds_budget_keeper_count (const struct ds_budget_keeper *keeper)
{
  return keeper->count;
}

const struct ds_allotment *
ds_budget_keeper_at (const struct ds_budget_keeper *keeper, size_t index)
{
  return keeper->allotments[index];
}
