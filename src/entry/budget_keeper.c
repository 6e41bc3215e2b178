#include "entry/budget_keeper.h"
#include "core/ledger_page.h"
#include "daisystep/metrics.h"
#include "entry/ledger_link.h"
#include "io/clock.h"
#include "io/timer.h"

#include <stdlib.h>

/* Distance of repeated questions to other hosts while requests wait; some
   round trips between zones.  */
#define ASK_MS 30
/* A home that has not helped a waiting request for so long may be gone; the
   host then draws from the ledger itself.  */
#define HOME_PATIENCE_MS 120
/* Time that a request waits for tokens while the ledger cannot be reached;
   several questions to the other hosts.  */
#define AWAY_WAIT_MS 250
/* Time for which the word that the ledger has nothing left is believed; a new
   question before that would cost a call a request.  */
#define EMPTY_BELIEF_MS 1000
/* After a call without success the ledger counts as out of reach for so long.
 */
#define AWAY_BELIEF_MS 1000
/* Distance of the transfers to the home, of use and of what is left over.  */
#define HAND_OVER_MS 600
/* What other hosts asked for is drawn for them this long after they asked.  */
#define ASKED_MS 200
/* Distance of the looks at demand.  */
#define DEMAND_S 0.2

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

/* A page with the accounts of this host's workspaces in it.  */
struct kept_page
{
  struct ds_ledger_link *link;
  struct ds_allotment **allotments;
  size_t count;
};

struct ds_budget_keeper
{
  struct ds_budget_keeper_options options;
  struct kept_page *pages;
  size_t page_count;
  struct ds_allotment **allotments;
  size_t count;
  struct ds_budget_wait *waits; /* oldest first */
  struct ds_timer *wait_timer;  /* runs while requests wait */
  uint64_t ticked_ms;
  uint64_t silent_ms; /* when a call failed last; 0 after one succeeded */
  bool closing;
};

static void serve_waits (struct ds_budget_keeper *keeper);

static struct ds_allotment *
find (const struct ds_budget_keeper *keeper, struct ds_str workspace)
{
  for (size_t i = 0; i < keeper->count; i++)
    if (ds_str_equal (keeper->allotments[i]->workspace, workspace))
      return keeper->allotments[i];
  return NULL;
}

static struct kept_page *
page_of (struct ds_budget_keeper *keeper, struct ds_str workspace)
{
  uint32_t index = ds_ledger_page_index (workspace);

  for (size_t i = 0; i < keeper->page_count; i++)
    if (ds_ledger_link_index (keeper->pages[i].link) == index)
      return &keeper->pages[i];
  return NULL;
}

static bool
is_empty (const struct ds_allotment *allotment, uint64_t now_ms)
{
  return allotment->known && allotment->ledger_rest == 0
         && now_ms - allotment->ledger_seen_ms < EMPTY_BELIEF_MS;
}

/* True if the ledger of PAGE can be asked.  */
static bool
page_is_near (const struct ds_budget_keeper *keeper,
              const struct kept_page *page, uint64_t now_ms)
{
  return (keeper->silent_ms == 0
          || now_ms - keeper->silent_ms > AWAY_BELIEF_MS)
         && ds_ledger_link_is_near (page->link, now_ms);
}

/* True if the ledger should hear of PAGE without waiting for the interval.  */
static bool
is_urgent (const struct ds_budget_keeper *keeper, const struct kept_page *page,
           uint64_t now_ms)
{
  for (size_t i = 0; i < page->count; i++)
    {
      const struct ds_allotment *allotment = page->allotments[i];

      if (ds_allotment_needs_update (allotment, &keeper->options.policy)
          && (allotment->revoked || !is_empty (allotment, now_ms)))
        return true;
      if (keeper->closing && allotment->home != DS_HOME_OTHER
          && (allotment->spent > 0 || allotment->free > 0))
        return true;
    }
  return ds_ledger_link_is_unresolved (page->link);
}

/* True if this host has anything to enter at the next interval.  */
static bool
has_news (const struct ds_budget_keeper *keeper, const struct kept_page *page)
{
  for (size_t i = 0; i < page->count; i++)
    {
      const struct ds_allotment *allotment = page->allotments[i];
      uint64_t target;

      if (allotment->home != DS_HOME_SELF)
        continue;
      target = ds_allotment_target (allotment, &keeper->options.policy);
      if (allotment->spent > 0
          || allotment->free > 2 * target + keeper->options.policy.minimum)
        return true;
    }
  return false;
}

static void
update_if_urgent (struct ds_budget_keeper *keeper, struct kept_page *page,
                  uint64_t now_ms)
{
  if (is_urgent (keeper, page, now_ms))
    ds_ledger_link_update (page->link, now_ms, keeper->closing);
}

static void
update_urgent_pages (struct ds_budget_keeper *keeper, uint64_t now_ms)
{
  for (size_t i = 0; i < keeper->page_count; i++)
    update_if_urgent (keeper, &keeper->pages[i], now_ms);
}

static void
on_changed (void *user_data)
{
  struct ds_budget_keeper *keeper = user_data;
  uint64_t now_ms = ds_clock_ms ();

  keeper->silent_ms = 0;
  for (size_t i = 0; i < keeper->page_count; i++)
    if (!ds_ledger_link_is_near (keeper->pages[i].link, now_ms))
      keeper->silent_ms = now_ms;
  serve_waits (keeper);
  update_urgent_pages (keeper, now_ms);
}

static void
on_silent (void *user_data)
{
  struct ds_budget_keeper *keeper = user_data;

  keeper->options.peers.silent (keeper->options.peers.user_data);
}

static struct kept_page *
add_page (struct ds_budget_keeper *keeper, uint32_t index)
{
  struct ds_ledger_link_options options = {
    .link = keeper->options.link,
    .writer = keeper->options.writer,
    .policy = &keeper->options.policy,
    .index = index,
    .on_changed = on_changed,
    .on_silent = on_silent,
    .user_data = keeper,
  };
  struct kept_page *grown
      = talloc_realloc (keeper, keeper->pages, struct kept_page,
                        (unsigned)keeper->page_count + 1);
  struct ds_ledger_link *link;

  if (grown == NULL)
    return NULL;
  keeper->pages = grown;
  if (ds_ledger_link_new (&link, keeper, &options) != 0)
    return NULL;
  grown[keeper->page_count] = (struct kept_page){ .link = link };
  return &grown[keeper->page_count++];
}

static struct ds_allotment *
find_or_add (struct ds_budget_keeper *keeper, struct ds_str workspace)
{
  struct ds_allotment *allotment = find (keeper, workspace);
  struct kept_page *page = page_of (keeper, workspace);
  struct ds_allotment **all;
  struct ds_allotment **in_page;

  if (allotment != NULL)
    return allotment;
  if (page == NULL)
    page = add_page (keeper, ds_ledger_page_index (workspace));
  if (page == NULL)
    return NULL;
  all = talloc_realloc (keeper, keeper->allotments, struct ds_allotment *,
                        (unsigned)keeper->count + 1);
  if (all == NULL)
    return NULL;
  keeper->allotments = all;
  in_page = talloc_realloc (keeper, page->allotments, struct ds_allotment *,
                            (unsigned)page->count + 1);
  if (in_page == NULL)
    return NULL;
  page->allotments = in_page;
  allotment = talloc_zero (keeper, struct ds_allotment);
  if (allotment == NULL || ds_ledger_link_add (page->link, allotment) != 0)
    {
      talloc_free (allotment);
      return NULL;
    }
  allotment->workspace = ds_str_copy (allotment, workspace);
  all[keeper->count++] = allotment;
  in_page[page->count++] = allotment;
  return allotment;
}

/* Takes what the other hosts have told of a budget.  The home's look at the
   ledger counts when it is newer than the own.  */
static void
look_at_others (const struct ds_budget_keeper *keeper,
                struct ds_allotment *allotment)
{
  const struct ds_budget_peers *peers = &keeper->options.peers;
  struct ds_budget_others others
      = peers->others (ds_ledger_page_index (allotment->workspace),
                       allotment->workspace, peers->user_data);

  allotment->others_free = others.free;
  allotment->others_demand = (double)others.demand;
  if (allotment->home != DS_HOME_OTHER || !others.home_known
      || others.home_heard_ms <= allotment->ledger_seen_ms)
    return;
  allotment->known = true;
  allotment->ledger_rest = others.home_rest;
  allotment->ledger_settled = others.home_settled;
  allotment->ledger_seen_ms = others.home_heard_ms;
}

/* Asks the other hosts for what ALLOTMENT lacks and a cushion: the home alone
   if it has that or can draw it, else all that hold some.  */
static void
ask_hosts (struct ds_budget_keeper *keeper, struct ds_allotment *allotment,
           bool home_only, uint64_t now_ms)
{
  const struct ds_budget_peers *peers = &keeper->options.peers;
  uint64_t cushion
      = (uint64_t)(allotment->demand * keeper->options.policy.cushion_s);
  uint64_t lacking = allotment->wanted > allotment->free
                         ? allotment->wanted - allotment->free
                         : 0;

  if (now_ms - allotment->asked_ms < ASK_MS || lacking == 0)
    return;
  allotment->asked_ms = now_ms;
  peers->ask (ds_ledger_page_index (allotment->workspace),
              allotment->workspace, home_only ? lacking + cushion : lacking,
              home_only ? lacking : 0, peers->user_data);
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
  *out = keeper;
  return 0;
}

/* Takes new settings; they apply from the next update on.  */
void
ds_budget_keeper_set_policy (struct ds_budget_keeper *keeper,
                             const struct ds_allotment_policy *policy,
                             uint32_t settle_ms)
{
  keeper->options.policy = *policy;
  keeper->options.settle_ms = settle_ms;
}

/* Finds out who keeps each page's budgets now.  */
static void
find_homes (struct ds_budget_keeper *keeper)
{
  const struct ds_budget_peers *peers = &keeper->options.peers;

  for (size_t i = 0; i < keeper->page_count; i++)
    {
      const struct kept_page *page = &keeper->pages[i];
      enum ds_allotment_home home
          = peers->home (ds_ledger_link_index (page->link), peers->user_data);

      for (size_t k = 0; k < page->count; k++)
        page->allotments[k]->home = home;
    }
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
  find_homes (keeper);
  update_urgent_pages (keeper, ds_clock_ms ());
}

static void
tick_demand (struct ds_budget_keeper *keeper, uint64_t now_ms)
{
  double seconds = (double)(now_ms - keeper->ticked_ms) / 1000;

  if (seconds < DEMAND_S)
    return;
  keeper->ticked_ms = now_ms;
  for (size_t i = 0; i < keeper->count; i++)
    {
      struct ds_allotment *allotment = keeper->allotments[i];

      ds_allotment_tick (allotment, seconds < 2 ? seconds : 2);
      look_at_others (keeper, allotment);
      if (now_ms - allotment->others_asked_ms > ASKED_MS)
        allotment->asked = 0;
    }
}

/* Passes use and surplus to the home of each budget that another host keeps.
 */
static void
hand_over (struct ds_budget_keeper *keeper, uint64_t now_ms)
{
  const struct ds_budget_peers *peers = &keeper->options.peers;

  for (size_t i = 0; i < keeper->count; i++)
    {
      struct ds_allotment *allotment = keeper->allotments[i];
      struct ds_token_transfer transfer;

      if (allotment->home != DS_HOME_OTHER
          || (!keeper->closing && !allotment->revoked
              && now_ms - allotment->handed_over_ms < HAND_OVER_MS))
        continue;
      if (!ds_allotment_hand_over (allotment, &transfer,
                                   &keeper->options.policy, keeper->closing))
        continue;
      if (peers->transfer (ds_ledger_page_index (allotment->workspace),
                           allotment->workspace, &transfer, peers->user_data))
        allotment->handed_over_ms = now_ms;
      else
        ds_allotment_receive (allotment, &transfer);
    }
}

/* Works out demand, tells the homes, ends waits that took too long, and writes
   the ledger when it is time.  Call it several times a second.  */
void
ds_budget_keeper_tick (struct ds_budget_keeper *keeper, uint64_t now_ms)
{
  find_homes (keeper);
  tick_demand (keeper, now_ms);
  serve_waits (keeper);
  hand_over (keeper, now_ms);
  for (size_t i = 0; i < keeper->page_count; i++)
    {
      struct kept_page *page = &keeper->pages[i];

      if (is_urgent (keeper, page, now_ms)
          || (now_ms - ds_ledger_link_updated_ms (page->link)
                  >= keeper->options.settle_ms
              && has_news (keeper, page)))
        ds_ledger_link_update (page->link, now_ms, keeper->closing);
    }
}

/* Passes on all that is free, and what running requests leave over as they
   end: to the homes, or to the ledger where there is no other host.  */
void
ds_budget_keeper_close (struct ds_budget_keeper *keeper)
{
  if (keeper->closing)
    return;
  keeper->closing = true;
  ds_budget_keeper_tick (keeper, ds_clock_ms ());
}

/* True once the other hosts or the ledger have all that this host can tell
   them.  */
bool
ds_budget_keeper_is_closed (const struct ds_budget_keeper *keeper)
{
  const struct ds_budget_peers *peers = &keeper->options.peers;

  if (!keeper->closing || peers->pending (peers->user_data) > 0)
    return false;
  for (size_t i = 0; i < keeper->page_count; i++)
    if (!ds_ledger_link_is_settled (keeper->pages[i].link))
      return false;
  for (size_t i = 0; i < keeper->count; i++)
    if (keeper->allotments[i]->free > 0 || keeper->allotments[i]->spent > 0)
      return false;
  return true;
}

/* Another host asks for TOKENS, of which it lacks NEEDED.  */
uint64_t
ds_budget_keeper_give (struct ds_budget_keeper *keeper,
                       struct ds_str workspace, uint64_t tokens,
                       uint64_t needed)
{
  struct ds_allotment *allotment = find (keeper, workspace);
  struct kept_page *page = page_of (keeper, workspace);
  uint64_t now_ms = ds_clock_ms ();
  uint64_t given;

  if (allotment == NULL || page == NULL)
    return 0;
  given = ds_allotment_give (allotment, tokens, needed, now_ms);
  update_if_urgent (keeper, page, now_ms);
  return given;
}

/* Another host has passed on tokens, or the use of some.  */
void
ds_budget_keeper_take (struct ds_budget_keeper *keeper,
                       struct ds_str workspace,
                       const struct ds_token_transfer *transfer)
{
  struct ds_allotment *allotment = find_or_add (keeper, workspace);

  if (allotment == NULL)
    return;
  ds_allotment_receive (allotment, transfer);
  serve_waits (keeper);
}

/* Another host has told what it holds.  */
void
ds_budget_keeper_hear (struct ds_budget_keeper *keeper)
{
  if (keeper->waits != NULL)
    serve_waits (keeper);
}

/* True if the ledger can be asked as far as is known.  */
bool
ds_budget_keeper_is_near (const struct ds_budget_keeper *keeper,
                          uint64_t now_ms)
{
  return keeper->silent_ms == 0 || now_ms - keeper->silent_ms > AWAY_BELIEF_MS;
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
  if (wait->allotment->wanted == 0)
    wait->allotment->overdue = false;
}

/* The answer for a request that this host's share does not cover.  What cannot
   be had is refused at once; waiting helps only while the ledger or another
   host may have tokens.  */
static enum ds_budget_answer
judge (struct ds_budget_keeper *keeper, struct ds_allotment *allotment,
       uint64_t tokens, uint64_t waited_ms, uint64_t now_ms)
{
  const struct ds_budget_peers *peers = &keeper->options.peers;
  const struct kept_page *page = page_of (keeper, allotment->workspace);
  bool near = page != NULL && page_is_near (keeper, page, now_ms);
  struct ds_budget_others others;
  uint64_t used;

  look_at_others (keeper, allotment);
  used = allotment->ledger_settled + allotment->reserved + allotment->spent
         + allotment->update.settled;
  if (allotment->known && used + tokens > allotment->limit)
    return DS_BUDGET_EXHAUSTED;
  others = peers->others (ds_ledger_page_index (allotment->workspace),
                          allotment->workspace, peers->user_data);
  if (allotment->home == DS_HOME_OTHER && waited_ms < HOME_PATIENCE_MS
      && others.home_heard_ms > 0
      && (others.home_free + allotment->free >= tokens
          || (others.home_near && !is_empty (allotment, now_ms))))
    {
      ask_hosts (keeper, allotment, true, now_ms);
      return DS_BUDGET_WAITING;
    }
  if (near && !is_empty (allotment, now_ms))
    {
      allotment->overdue = true;
      return DS_BUDGET_WAITING;
    }
  if (waited_ms >= AWAY_WAIT_MS
      || allotment->free + allotment->others_free < tokens)
    return DS_BUDGET_AWAY;
  ask_hosts (keeper, allotment, false, now_ms);
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

      if (ds_allotment_reserve (allotment, wait->tokens))
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

static void
on_wait_timer (void *user_data)
{
  struct ds_budget_keeper *keeper = user_data;

  keeper->wait_timer = NULL;
  serve_waits (keeper);
  update_urgent_pages (keeper, ds_clock_ms ());
  if (keeper->waits != NULL && keeper->wait_timer == NULL)
    keeper->wait_timer = ds_timer_add (keeper->options.ev, keeper, ASK_MS,
                                       on_wait_timer, keeper);
}

/* Queues a reservation that ANSWER says may be covered soon.  */
static struct ds_budget_wait *
add_wait (struct ds_budget_keeper *keeper, const struct ds_budget_wait *values)
{
  struct ds_budget_wait *added = talloc (keeper, struct ds_budget_wait);
  struct ds_budget_wait **at = &keeper->waits;

  if (added == NULL)
    return NULL;
  *added = *values;
  while (*at != NULL)
    at = &(*at)->next;
  *at = added;
  if (keeper->wait_timer == NULL)
    keeper->wait_timer = ds_timer_add (keeper->options.ev, keeper, ASK_MS,
                                       on_wait_timer, keeper);
  return added;
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
  struct ds_budget_wait values = {
    .keeper = keeper,
    .allotment = allotment,
    .tokens = tokens,
    .until_ms = until_ms,
    .since_ms = now_ms,
    .on_decided = on_decided,
    .user_data = user_data,
  };
  struct kept_page *page = page_of (keeper, workspace);
  enum ds_budget_answer answer;

  if (allotment == NULL || page == NULL)
    return DS_BUDGET_AWAY;
  allotment->demanded += tokens;
  if (ds_allotment_reserve (allotment, tokens))
    {
      update_if_urgent (keeper, page, now_ms);
      return DS_BUDGET_GRANTED;
    }
  allotment->wanted += tokens;
  answer = judge (keeper, allotment, tokens, 0, now_ms);
  if (answer == DS_BUDGET_WAITING)
    *wait = add_wait (keeper, &values);
  if (answer != DS_BUDGET_WAITING || *wait == NULL)
    {
      allotment->wanted -= tokens;
      if (allotment->wanted == 0)
        allotment->overdue = false;
      /* Callers come back with what was refused: it counts as half.  */
      allotment->demanded -= tokens / 2;
      return answer != DS_BUDGET_WAITING ? answer : DS_BUDGET_AWAY;
    }
  update_if_urgent (keeper, page, now_ms);
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
